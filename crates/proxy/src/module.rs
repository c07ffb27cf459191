//! The module actor: the decisions, their mailbox, and the host that carries out what they ask for.
//! Nothing here waits for anyone.

use crate::desk::{Order, PROBE, Whose};
use crate::fleet::prober::Prober;
use crate::log_limiter::LogLimiter;
use crate::long::Value;
use crate::memory::MemoryWatch;
use crate::messages::{Answer, Back, Cargo, Event, ListPart, Mailbox, Named};
use crate::nodes::{NodeEntry, NodeTable};
use crate::phases::Phase;
use crate::shared::Shared;
use crate::turns;
use crate::upstream::attempt::{self, NodeOperation, Target};
use bytes::Bytes;
use hashbrown::{HashMap, HashSet};
use pumicebay_core::{Ask, Balance, GiveUp, Held, Host, Nanos, Node, Outcome, RequestId, Settings};
use pumicebay_names::identity;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

/// As long as it takes to notice that no timer is set.
const FAR: Nanos = 1_000_000_000;
/// How often it is looked how much memory is in use.
const MEMORY_EVERY: Nanos = 1_000_000_000;

pub struct Module {
    balance: Balance<Acts>,
    mailbox: Mailbox,
    memory: MemoryWatch,
    memory_due: Nanos,
    /// The nodes of a whole list as far as it has come.
    whole: Vec<Node>,
}

/// Carries out what the decisions ask for.
struct Acts {
    shared: Shared,
    follow: mpsc::Sender<()>,
    nodes: NodeTable,
    lines: LogLimiter,
    open: HashMap<RequestId, Open>,
    /// The ids of the exchanges that await their answers.
    ids: HashSet<Bytes>,
    timers: BinaryHeap<Reverse<(Nanos, u64)>>,
    /// Tries that could not be sent, and probes, to be reported once the decisions have returned.
    unsent: Vec<(RequestId, usize, Node)>,
    unprobed: Vec<Node>,
    /// The fleet's way to probe, where there is one: then one process probes for many.
    prober: Option<Prober>,
}

struct Open {
    cargo: Arc<Cargo>,
    /// Taken with the final answer.
    answer: Option<oneshot::Sender<Answer>>,
    tries: usize,
    /// Takes back the last try, as long as its last byte isn't sent.
    recall: CancellationToken,
}

impl Module {
    pub fn new(shared: Shared, settings: Settings, follow: mpsc::Sender<()>, mailbox: Mailbox) -> Module {
        let (clock, config) = (shared.clock, shared.config.clone());
        let acts = Acts {
            shared,
            follow,
            nodes: NodeTable::default(),
            lines: LogLimiter::default(),
            open: HashMap::new(),
            ids: HashSet::new(),
            timers: BinaryHeap::new(),
            unsent: Vec::new(),
            unprobed: Vec::new(),
            prober: None,
        };
        let balance = Balance::new(acts, settings, config.seed, clock.now());
        let memory = MemoryWatch::new(config.memory_limit_kb);
        Module { balance, mailbox, memory, memory_due: 0, whole: Vec::new() }
    }

    /// From here on the fleet decides who probes.
    pub fn probes_by(&mut self, prober: Prober) {
        self.balance.host.prober = Some(prober);
    }

    pub async fn run(mut self) {
        loop {
            let acts = &self.balance.host;
            let now = acts.shared.clock.now();
            let due = acts.timers.peek().map_or(now + FAR, |Reverse((at, _))| *at);
            let wake = acts.shared.clock.instant(due);
            tokio::select! {
                biased;
                Some(order) = self.mailbox.1.recv() => self.obey(order),
                () = sleep_until(wake) => self.wake(),
                event = self.mailbox.0.recv() => match event {
                    Some(event) => {
                        let counters = self.balance.host.shared.counters.clone();
                        let about = event.about();
                        turns::noted(&counters, || about.to_string(), || self.handle(event));
                    }
                    None => return,
                },
            }
            self.report_unsent();
        }
    }

    fn wake(&mut self) {
        let now = self.balance.host.shared.clock.now();
        let counters = self.balance.host.shared.counters.clone();
        while let Some(Reverse((at, token))) = self.balance.host.due(now) {
            turns::timer(&counters, Duration::from_nanos(now.saturating_sub(at)));
            self.balance.woke(now, token);
        }
        let resting = self.balance.host.shared.upstream.idle_count();
        counters.gauges.take(&self.balance.status(), resting);
        self.balance.host.lines.report_at(now);
        if self.memory_due <= now {
            self.memory_due = now + MEMORY_EVERY;
            self.memory.look();
        }
    }

    fn obey(&mut self, order: Order) {
        let now = self.balance.host.shared.clock.now();
        match order {
            Order::Whose(uid, answer) => {
                let acts = &self.balance.host;
                let known = acts.nodes.find_by_uid(&uid).and_then(|node| acts.nodes.get(node));
                let whose = |known: &NodeEntry| if known.origin { Whose::Origin } else { Whose::Cache };
                let _ = answer.send(known.map_or(Whose::Nobody, whose));
            }
            Order::Maintained(uid, out, done) => {
                self.maintained(now, &uid, out);
                let _ = done.send(());
            }
            Order::Probe(uid) => {
                let acts = &mut self.balance.host;
                let sent = acts.nodes.find_by_uid(&uid).is_some_and(|node| acts.send_probe(node));
                if let Some(prober) = acts.prober.as_ref().filter(|_| !sent) {
                    prober.probed(&uid, false);
                }
            }
            Order::Told(uid, answered) => {
                if let Some(node) = self.balance.host.nodes.find_by_uid(&uid) {
                    let outcome = if answered { Outcome::Completed } else { Outcome::Unreachable };
                    self.balance.probed(node, outcome);
                }
            }
            Order::Retuned(settings, done) => {
                self.balance.retuned(now, &settings);
                let _ = done.send(());
            }
        }
    }

    /// Takes a node out of service or puts it back, known or not.
    pub fn maintained(&mut self, now: Nanos, uid: &str, out: bool) {
        tracing::info!("maintenance: {uid} {}", if out { "out" } else { "back" });
        self.balance.maintained(now, identity(uid), out);
    }

    fn handle(&mut self, event: Event) {
        let now = self.balance.host.shared.clock.now();
        match event {
            // Nodes tell exchanges apart by their ids: of two with one id either might get the other's value.
            Event::Arrived(_, _, cargo, answer) if self.balance.host.ids.contains(&cargo.id) => {
                self.balance.host.shared.counters.exchanges_rejected.add();
                let _ = answer.send(Answer::Rejected(Bytes::from_static(b"ERR id of an open request")));
            }
            Event::Arrived(xchg, ask, cargo, answer) => {
                // What its client has left is reckoned once, from when its last byte came.
                let grace = cargo.ends.saturating_sub(now);
                self.balance.host.ids.insert(cargo.id.clone());
                self.balance.host.shared.counters.exchanges_taken.add();
                let recall = CancellationToken::new();
                let open = Open { cargo, answer: Some(answer), tries: 0, recall };
                self.balance.host.open.insert(xchg, open);
                self.balance.arrived(now, xchg, Ask { grace, ..ask });
            }
            Event::Dropped(xchg) => {
                if self.balance.host.take_answer(xchg).is_some() {
                    self.balance.host.shared.counters.exchanges_dropped.add();
                    self.balance.dropped(now, xchg);
                }
            }
            Event::Ended(xchg, try_no, node, back) => self.ended(now, xchg, try_no, node, back),
            Event::Probed(node, back) => {
                if back.outcome != Outcome::Completed {
                    self.balance.host.shared.counters.probes_failed.add();
                }
                self.reported(now, node, back.held);
                let acts = &self.balance.host;
                match (&acts.prober, acts.nodes.get(node)) {
                    // It tells this process too, where its decisions asked.
                    (Some(prober), Some(known)) => {
                        prober.probed(&known.uid, back.outcome == Outcome::Completed)
                    }
                    _ => self.balance.probed(node, back.outcome),
                }
            }
            Event::Listed(part) => self.listed_part(part),
            Event::ListFailed => self.balance.list_failed(now),
        }
    }

    fn ended(&mut self, now: Nanos, xchg: RequestId, try_no: usize, node: Node, back: Back) {
        let acts = &mut self.balance.host;
        let counters = acts.shared.counters.clone();
        counters.tried(back.outcome);
        if let Some(open) = acts.open.get(&xchg) {
            let (id, outcome) = (String::from_utf8_lossy(&open.cargo.id), back.outcome);
            tracing::debug!("request {id}: attempt {try_no} at node {node} ended: {outcome:?}");
        }
        // What the node says to the client itself is passed on.
        let answer = match (back.outcome, back.value) {
            (Outcome::Completed, value) => Some((&counters.exchanges_completed, Answer::Completed(value))),
            (Outcome::Rejected, Value::Whole(why)) => {
                Some((&counters.exchanges_rejected, Answer::Rejected(why)))
            }
            _ => None,
        };
        if let Some((counter, answer)) = answer
            && let Some(client) = acts.take_answer(xchg)
        {
            counter.add();
            let _ = client.send(answer);
        }
        let over = acts.open.get(&xchg).is_none_or(|open| open.answer.is_none());
        self.reported(now, node, back.held);
        self.balance.ended(now, xchg, try_no, back.outcome, over);
    }

    fn reported(&mut self, now: Nanos, node: Node, held: Option<Held>) {
        if let Some(held) = held {
            self.balance.reported(now, node, held);
        }
    }

    /// Takes in a whole list, or changes to it.
    pub fn listed(&mut self, whole: bool, named: Vec<Named>) {
        self.listed_part(ListPart { named, whole, first: true, last: true });
    }

    /// Takes in some entries of a list. What a whole one does not name is gone once its last part has come.
    fn listed_part(&mut self, part: ListPart) {
        let now = self.balance.host.shared.clock.now();
        if part.first {
            self.whole.clear();
        }
        for named in part.named {
            let Some(node) = self.balance.host.node(&named) else { continue };
            self.balance.listed(now, node, named.listed);
            self.whole.extend(part.whole.then_some(node));
        }
        if part.whole && part.last {
            let nodes = std::mem::take(&mut self.whole);
            self.balance.listed_all(&nodes);
        }
    }

    /// Ends what the decisions asked for in vain, until they ask for nothing more.
    fn report_unsent(&mut self) {
        while let Some((xchg, try_no, node)) = self.balance.host.unsent.pop() {
            let now = self.balance.host.shared.clock.now();
            self.ended(now, xchg, try_no, node, Outcome::Unsent.into());
        }
        while let Some(node) = self.balance.host.unprobed.pop() {
            self.balance.probed(node, Outcome::Unsent);
        }
    }
}

impl Acts {
    fn due(&mut self, now: Nanos) -> Option<Reverse<(Nanos, u64)>> {
        let due = self.timers.peek().is_some_and(|Reverse((at, _))| *at <= now);
        if due { self.timers.pop() } else { None }
    }

    fn take_answer(&mut self, xchg: RequestId) -> Option<oneshot::Sender<Answer>> {
        let open = self.open.get_mut(&xchg)?;
        let answer = open.answer.take()?;
        self.ids.remove(&open.cargo.id);
        Some(answer)
    }

    /// A line about nodes, which come in thousands.
    fn log_node(&mut self, line: impl std::fmt::Display) {
        if self.lines.allow(self.shared.clock.now()) {
            tracing::info!("{line}");
        } else {
            tracing::debug!("{line}");
        }
    }

    /// The number of a node, a new one where it is not known yet. None for one that left before it was known.
    fn node(&mut self, named: &Named) -> Option<Node> {
        let (node, new) = self.nodes.upsert(named)?;
        if new {
            self.shared.counters.nodes_known.add();
            let logged = self.lines.allow(self.shared.clock.now());
            if let Some(known) = self.nodes.get_mut(node).filter(|_| logged) {
                known.log_number(node);
            }
        }
        Some(node)
    }

    fn send_probe(&mut self, node: Node) -> bool {
        let sent = self.begin(node, NodeOperation::Probe { deadline: Instant::now() + PROBE });
        if sent {
            self.shared.counters.probes_sent.add();
        }
        sent
    }

    /// Begins it, unless the node is known no more.
    fn begin(&mut self, node: Node, errand: NodeOperation) -> bool {
        let Some(known) = self.nodes.get_mut(node) else { return false };
        if !known.logged {
            known.log_number(node);
        }
        let target = Target { node, address: known.address, origin: known.origin };
        attempt::spawn(&self.shared, target, errand);
        true
    }
}

impl Host for Acts {
    fn send(&mut self, xchg: RequestId, node: Node, timeout: Nanos) {
        let until = self.shared.clock.instant(self.shared.clock.now() + timeout);
        let Some(open) = self.open.get_mut(&xchg) else { return };
        let try_no = open.tries;
        open.tries += 1;
        if open.recall.is_cancelled() {
            open.recall = CancellationToken::new();
        }
        let (cargo, recall) = (open.cargo.clone(), open.recall.clone());
        let errand = NodeOperation::Attempt {
            request_id: xchg,
            attempt_number: try_no,
            request: cargo,
            deadline: until,
            cancel: recall,
        };
        // Once the proxy leaves, nothing is sent any more.
        if self.shared.watch.now() >= Phase::Leaving || !self.begin(node, errand) {
            self.unsent.push((xchg, try_no, node));
        } else {
            self.shared.counters.tries_sent.add();
            if let Some(open) = self.open.get(&xchg) {
                let id = String::from_utf8_lossy(&open.cargo.id);
                tracing::debug!("request {id}: attempt {try_no} to node {node}, {timeout} ns at most");
            }
        }
    }

    fn recall(&mut self, xchg: RequestId) {
        self.open.get(&xchg).into_iter().for_each(|open| open.recall.cancel());
    }

    fn shed(&mut self, xchg: RequestId, pause: Nanos) {
        if let Some(answer) = self.take_answer(xchg) {
            self.shared.counters.exchanges_shed.add();
            let _ = answer.send(Answer::Shed(pause));
        }
    }

    fn error(&mut self, xchg: RequestId) {
        if let Some(answer) = self.take_answer(xchg) {
            self.shared.counters.exchanges_errored.add();
            let _ = answer.send(Answer::Errored);
        }
    }

    fn forget(&mut self, xchg: RequestId) {
        self.open.remove(&xchg);
    }

    fn wake(&mut self, at: Nanos, token: u64) {
        self.timers.push(Reverse((at, token)));
    }

    fn probe(&mut self, node: Node) {
        let asked = match (&self.prober, self.nodes.get(node)) {
            (Some(prober), Some(known)) => prober.wanted(&known.uid),
            _ => self.send_probe(node),
        };
        if !asked {
            self.unprobed.push(node);
        }
    }

    fn dismiss(&mut self, node: Node) {
        if let Some(NodeEntry { uid, .. }) = self.nodes.remove(node) {
            self.log_node(format_args!("node {node} is {uid} no more"));
            self.shared.counters.nodes_dismissed.add();
            self.shared.upstream.close_idle(node);
        }
    }

    fn follow(&mut self) {
        // A call that is still waiting to be made is the same call.
        let _ = self.follow.try_send(());
    }

    fn log(&mut self, line: &str) {
        self.log_node(line);
    }

    fn given_up(&mut self, xchg: RequestId, reason: GiveUp, attempts: usize) {
        self.shared.counters.given_up.add(reason, attempts);
        if let Some(open) = self.open.get(&xchg) {
            let (id, reason) = (String::from_utf8_lossy(&open.cargo.id), reason.name());
            tracing::debug!("request {id}: given up after {attempts} attempts: {reason}");
        }
    }
}
