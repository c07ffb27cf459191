//! Holds the four rules against what was seen, by reasons of its own: it shares nothing with the decisions.
//! Whoever plays a day tells it what was taken, sent, run, answered and told, in any order within a second
//! or so; each exchange is judged once, some time after its overall timeout.

use crate::advertised_timeout::TimeTold;
use hashbrown::HashMap;
use pumicebay_model::registry::NodeState;
use pumicebay_model::spec::{DedupScope, NodeSpec, RetrySafety, Scenario};
use pumicebay_model::{Nanos, SECOND, millis, seconds};
use serde::Serialize;
use std::collections::VecDeque;

/// How long after its deadline an exchange is judged: what comes later is not seen.
const LATER: Nanos = 3 * SECOND;
/// Broken rules that are kept with their words; more are only counted.
const KEPT: usize = 100;
/// A fall is rule 4's when more than this part of what the node got came from proxies that knew of its start.
const CHARGED: f64 = 2.0 / 3.0;

/// The final answer to an exchange, as the client has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    Served,
    Shed,
    Errored,
}

#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Broken {
    /// 1 to 4; 0 for a value that was not made for its exchange.
    pub rule: u8,
    pub exchange: u64,
    pub node: Option<String>,
    /// Seconds from the start of the day.
    pub at: f64,
    pub what: String,
}

#[derive(Clone, Debug)]
struct Sent {
    at: Nanos,
    node: usize,
}

#[derive(Clone, Debug)]
struct Record {
    proxy: usize,
    route: usize,
    taken: Nanos,
    deadline: Nanos,
    /// Until when its client waits, by the client's own clock.
    client_ends: Nanos,
    answers: Vec<(Nanos, Final)>,
    sent: Vec<Sent>,
    /// When tries were over, and at which node.
    overs: Vec<(Nanos, usize)>,
    ran: Vec<(Nanos, usize)>,
    /// Its client left, or its proxy died.
    lost: Option<Nanos>,
}

/// What a cold process of a node was sent lately.
#[derive(Clone, Debug)]
struct Cold {
    started: Nanos,
    /// Of each request: when it came, its work in requests of mean work, and whether its proxy knew of the start.
    got: VecDeque<(Nanos, f64, bool)>,
    /// A process falls once.
    fell: bool,
}

impl Cold {
    /// Requests of mean work that came in the window, and the part of them from proxies that knew.
    fn sum(&self) -> (f64, f64) {
        let all: f64 = self.got.iter().map(|(_, work, _)| work).sum();
        let knew: f64 = self.got.iter().filter(|(.., knew)| *knew).map(|(_, work, _)| work).sum();
        (all, if all > 0.0 { knew / all } else { 1.0 })
    }
}

pub struct Auditor {
    nodes: NodeSpec,
    /// What one request of each route takes, in requests of mean work, and that mean in seconds.
    works: Vec<f64>,
    mean: f64,
    cold: HashMap<usize, Cold>,
    /// What each proxy was told of a node's start: when, and what it is said to be.
    starts: HashMap<(usize, usize), Vec<(Nanos, Nanos)>>,
    /// The most that a cold node got in its window, as a part of what it falls by.
    pub worst: f64,
    /// Falls that came mostly from proxies that could not know.
    pub uncharged: u64,
    effects: Vec<(RetrySafety, DedupScope, Nanos)>,
    zones: usize,
    grace: Nanos,
    /// What measuring may be off by, and whether the same proxy may have two tries out.
    slack: Nanos,
    records: HashMap<u64, Record>,
    /// The exchanges in the order they were taken.
    line: VecDeque<(Nanos, u64)>,
    /// What each proxy was told of a node, and when.
    told: HashMap<(usize, usize), Vec<(Nanos, NodeState)>>,
    pub time_told: TimeTold,
    pub broken: Vec<Broken>,
    pub counts: [u64; 5],
    judged: u64,
}

impl Auditor {
    /// `slack` is what times may be off by: nothing in virtual time, what the machine takes on sockets.
    pub fn new(day: &Scenario, slack: Nanos) -> Auditor {
        let effect = |route: &pumicebay_model::spec::Route| {
            (route.retry_safety, route.dedup_scope, seconds(route.dedup_window_seconds))
        };
        let shares: f64 = day.route.iter().map(|route| route.share).sum();
        let mean = day.route.iter().map(|route| route.service_ms * route.share / shares).sum::<f64>();
        Auditor {
            nodes: day.nodes.clone(),
            works: day.route.iter().map(|route| route.service_ms / mean).collect(),
            mean: mean / 1000.0,
            cold: HashMap::new(),
            starts: HashMap::new(),
            worst: 0.0,
            uncharged: 0,
            effects: day.route.iter().map(effect).collect(),
            zones: day.nodes.zones,
            grace: millis(day.nodes.drain_grace_ms),
            slack,
            records: HashMap::new(),
            line: VecDeque::new(),
            told: HashMap::new(),
            time_told: TimeTold::default(),
            broken: Vec::new(),
            counts: [0; 5],
            judged: 0,
        }
    }

    /// A proxy has taken an exchange; `deadline` is its overall timeout.
    pub fn taken(&mut self, at: Nanos, xchg: u64, proxy: usize, route: usize, deadline: Nanos) {
        let record = Record {
            proxy,
            route,
            taken: at,
            deadline,
            client_ends: deadline,
            answers: Vec::new(),
            sent: Vec::new(),
            overs: Vec::new(),
            ran: Vec::new(),
            lost: None,
        };
        self.line.push_back((deadline + LATER, xchg));
        self.records.insert(xchg, record);
    }

    /// A try left its proxy. Nodes count from 0, the origin is none of them.
    pub fn sent(&mut self, at: Nanos, xchg: u64, node: Option<usize>) {
        let Some(record) = self.records.get_mut(&xchg) else {
            return self.breaks(1, xchg, node, at, "sent long after its end".into());
        };
        let (proxy, node_no) = (record.proxy, node.unwrap_or(usize::MAX));
        record.sent.push(Sent { at, node: node_no });
        let before = |told: &&(Nanos, NodeState)| told.0 <= at;
        let Some(told) = self.told.get(&(proxy, node_no)) else { return };
        let Some(&(since, state)) = told.iter().rev().find(before) else { return };
        if state != NodeState::Ready && at > since + self.grace + self.slack {
            let late = (at - since) as f64 / 1e9;
            let what = format!("p{} sent it new work {late:.3} s after it was told {state:?}", proxy + 1);
            self.breaks(3, xchg, node, at, what);
        }
    }

    /// Until when its client waits, where that is not the deadline.
    pub fn client_waits_until(&mut self, xchg: u64, until: Nanos) {
        if let Some(record) = self.records.get_mut(&xchg) {
            record.client_ends = until;
        }
    }

    /// The attempt that was sent last told its server that it would be waited for so long; `None` where it told nothing.
    pub fn told_time(&mut self, at: Nanos, xchg: u64, node: Option<usize>, told: Option<Nanos>) {
        let Some(record) = self.records.get(&xchg) else { return };
        let left = record.client_ends.saturating_sub(at);
        let too_much = told.map_or(Nanos::MAX, |told| told.saturating_sub(left));
        let further = record.sent.len() > 1;
        if !self.time_told.add(further, too_much, self.slack) {
            return;
        }
        let what = match told {
            Some(_) => {
                format!("told its server {:.3} s more than its client had left", too_much as f64 / 1e9)
            }
            None => "told its server no time".into(),
        };
        self.breaks(1, xchg, node, at, what);
    }

    /// A try at this node is over, as far as its proxy can know.
    pub fn over(&mut self, at: Nanos, xchg: u64, node: Option<usize>) {
        if let Some(record) = self.records.get_mut(&xchg) {
            record.overs.push((at, node.unwrap_or(usize::MAX)));
        }
    }

    /// A node, or the origin, has run it.
    pub fn ran(&mut self, at: Nanos, xchg: u64, node: Option<usize>) {
        if let Some(record) = self.records.get_mut(&xchg) {
            record.ran.push((at, node.unwrap_or(usize::MAX)));
        }
    }

    /// The proxy has answered; `sound` says that a value was made for this exchange.
    pub fn answered(&mut self, at: Nanos, xchg: u64, answer: Final, sound: bool) {
        let Some(record) = self.records.get_mut(&xchg) else {
            return self.breaks(1, xchg, None, at, "answered long after its end, or never taken".into());
        };
        record.answers.push((at, answer));
        if !sound {
            self.breaks(0, xchg, None, at, "served with what was not made for it".into());
        }
    }

    /// The client has left, or the proxy has died: no answer is owed any more.
    pub fn lost(&mut self, at: Nanos, xchg: u64) {
        if let Some(record) = self.records.get_mut(&xchg) {
            record.lost.get_or_insert(at);
        }
    }

    /// A proxy was told what becomes of a node.
    pub fn told(&mut self, at: Nanos, proxy: usize, node: usize, state: NodeState) {
        let told = self.told.entry((proxy, node)).or_default();
        // Told again the same, it learned nothing.
        if told.last().is_none_or(|&(_, last)| last != state) {
            told.push((at, state));
            told.sort_by_key(|(at, _)| *at);
        }
    }

    /// A proxy starts from nothing, with a list of its own.
    pub fn restarted(&mut self, proxy: usize) {
        self.told.retain(|(told, _), _| *told != proxy);
        self.starts.retain(|(told, _), _| *told != proxy);
    }

    /// A node's process began, cold.
    pub fn started(&mut self, at: Nanos, node: usize) {
        self.cold.insert(node, Cold { started: at, got: VecDeque::new(), fell: false });
    }

    /// A proxy was told when a node's process began.
    pub fn told_start(&mut self, at: Nanos, proxy: usize, node: usize, started: Nanos) {
        self.starts.entry((proxy, node)).or_default().push((at, started));
    }

    /// An exchange has come to a node. Past what a cold one bears it falls, whatever the node itself made of it.
    pub fn got(&mut self, at: Nanos, xchg: u64, node: usize) {
        let (Some(cold), Some(record)) = (self.cold.get_mut(&node), self.records.get(&xchg)) else { return };
        let Some(bound) = bound(&self.nodes, self.mean, at.saturating_sub(cold.started)) else {
            self.cold.remove(&node);
            return;
        };
        let sent = record.sent.iter().rev().find(|sent| sent.node == node).map_or(at, |sent| sent.at);
        let starts = self.starts.get(&(record.proxy, node)).map_or(&[][..], Vec::as_slice);
        // Told of one before it, or of an age that is not its own, a proxy does not know that it is cold.
        let knew = starts.iter().any(|&(told, started)| told + self.slack <= sent && started >= cold.started);
        let window = seconds(self.nodes.overload_window_seconds);
        while cold.got.front().is_some_and(|(came, ..)| came + window <= at) {
            cold.got.pop_front();
        }
        cold.got.push_back((at, self.works[record.route], knew));
        let got = cold.sum().0;
        if !cold.fell {
            self.worst = self.worst.max(got / bound);
        }
        if got > bound {
            self.falls(at, node);
        }
    }

    /// A node fell over while it was cold.
    pub fn buried(&mut self, at: Nanos, node: usize) {
        self.falls(at, node);
    }

    /// Charges a process's fall to those who knew better. What nobody saw come is charged too.
    fn falls(&mut self, at: Nanos, node: usize) {
        let cold = self.cold.get_mut(&node).map(|cold| (std::mem::replace(&mut cold.fell, true), cold.sum()));
        let (again, (got, knew)) = cold.unwrap_or((false, (0.0, 1.0)));
        if again {
            return;
        }
        if knew <= CHARGED {
            self.uncharged += 1;
            return;
        }
        let part = 100.0 * knew;
        let what =
            format!("a cold node was buried: {got:.0} requests, {part:.0}% by proxies told of its start");
        self.breaks(4, 0, Some(node), at, what);
    }

    /// The origin stopped, overrun, with nothing wrong with it but what it was asked. How warm processes are says nothing of
    /// it: long after their warm-up caches that were emptied still miss, and 79 stops of one day went unjudged.
    pub fn origin_stopped(&mut self, at: Nanos) {
        self.breaks(4, 0, None, at, "the origin was stopped by what it was asked".into());
    }

    /// Judges those that are over by now.
    pub fn sweep(&mut self, now: Nanos) {
        while let Some(&(due, xchg)) = self.line.front().filter(|(due, _)| *due <= now) {
            debug_assert!(due <= now);
            self.line.pop_front();
            if let Some(record) = self.records.remove(&xchg) {
                self.judge(xchg, &record);
            }
        }
    }

    /// Judges all that is left; the day is over.
    pub fn finish(&mut self) {
        self.sweep(Nanos::MAX);
    }

    /// How many exchanges were judged.
    pub fn judged(&self) -> u64 {
        self.judged
    }

    fn judge(&mut self, xchg: u64, record: &Record) {
        self.judged += 1;
        self.judge_answers(xchg, record);
        self.judge_tries(xchg, record);
        self.judge_effects(xchg, record);
    }

    fn judge_answers(&mut self, xchg: u64, record: &Record) {
        match record.answers[..] {
            [] if record.lost.is_none() => {
                self.breaks(1, xchg, None, record.deadline, "never answered".into());
            }
            [] => {}
            [(at, _), ..] if at > record.deadline + self.slack => {
                let late = (at - record.deadline) as f64 / 1e9;
                self.breaks(1, xchg, None, at, format!("answered {late:.3} s past its overall timeout"));
            }
            _ => {}
        }
        if let [_, (at, _), ..] = record.answers[..] {
            self.breaks(1, xchg, None, at, format!("answered {} times", record.answers.len()));
        }
    }

    fn judge_tries(&mut self, xchg: u64, record: &Record) {
        let ends = record.answers.first().map(|(at, _)| *at).into_iter().chain(record.lost).min();
        let ends = ends.unwrap_or(Nanos::MAX).min(record.deadline);
        if let Some(late) = record.sent.iter().find(|sent| sent.at > ends + self.slack) {
            self.breaks(1, xchg, named(late.node), late.at, "sent after its final answer".into());
        }
        let (mut sent, mut overs) = (record.sent.clone(), record.overs.clone());
        sent.sort_by_key(|sent| sent.at);
        overs.sort_unstable();
        for (place, this) in sent.iter().enumerate() {
            let over = overs.iter().position(|&(at, node)| node == this.node && at >= this.at);
            let until = over.map_or(Nanos::MAX, |over| overs.remove(over).0);
            if let Some(also) = sent.get(place + 1).filter(|also| also.at + self.slack < until) {
                self.breaks(2, xchg, named(also.node), also.at, "sent while another try was out".into());
                return;
            }
        }
    }

    fn judge_effects(&mut self, xchg: u64, record: &Record) {
        let (effect, scope, window) = self.effects[record.route];
        let mut ran = record.ran.clone();
        ran.sort_unstable();
        let Some(&(first, at_node)) = ran.first() else { return };
        let zones = self.zones;
        let group = |node: usize| if node == usize::MAX { 0 } else { node % zones };
        for &(at, node) in &ran[1..] {
            let discarded = match (effect, scope) {
                (RetrySafety::Retriable, _) => true,
                (RetrySafety::NonRetriable, _) => false,
                (RetrySafety::Deduped, DedupScope::Fleet) => at <= first + window,
                (RetrySafety::Deduped, DedupScope::Zone) => {
                    at <= first + window && group(node) == group(at_node)
                }
            };
            if !discarded {
                self.breaks(2, xchg, named(node), at, "took effect twice".into());
            }
        }
        let answer = record.answers.first();
        let harmless =
            effect == RetrySafety::Retriable || effect == RetrySafety::Deduped && scope == DedupScope::Fleet;
        if let Some(&(at, Final::Shed)) = answer
            && !harmless
            && first < at
        {
            let what = "shed, as if it had never run, though it had".to_string();
            self.breaks(2, xchg, named(at_node), at, what);
        }
        debug_assert!(record.taken <= record.deadline);
    }

    fn breaks(&mut self, rule: u8, exchange: u64, node: Option<usize>, at: Nanos, what: String) {
        self.counts[usize::from(rule)] += 1;
        if self.broken.len() < KEPT {
            let node = node.filter(|&node| node != usize::MAX).map(|node| format!("n{}", node + 1));
            self.broken.push(Broken { rule, exchange, node, at: at as f64 / 1e9, what });
        }
    }
}

fn named(node: usize) -> Option<usize> {
    (node != usize::MAX).then_some(node)
}

/// By how many requests of mean work within its window a cold node of that age falls: what the settings allow it
/// then, and what may come on top by chance. None for one that can't.
fn bound(nodes: &NodeSpec, mean: f64, age: Nanos) -> Option<f64> {
    let warm = age as f64 / 1e9 / nodes.warm_up_seconds;
    if warm.is_nan() || warm >= 1.0 || nodes.overload_multiple <= 0.0 {
        return None;
    }
    let part = nodes.start_capacity + (1.0 - nodes.start_capacity) * warm;
    let allowed = nodes.overload_multiple * nodes.cores as f64 * part * nodes.overload_window_seconds / mean;
    Some(allowed + 2.0 * allowed.sqrt() + 2.0)
}
