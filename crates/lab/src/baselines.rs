//! Policies to compare with. They keep the plain rules of retries and drains (all but the careless one) and
//! nothing else: no bounds, no budgets for cold nodes, no line before the origin.

use crate::policy::Policy;
use hashbrown::HashMap;
use oorandom::Rand32;
use pumicebay_core::host::{DedupScope, RetrySafety};
use pumicebay_core::state::Route;
use pumicebay_core::table::rendezvous;
use pumicebay_core::{
    Host, ListedNode, Nanos, Node, NodeStatus, Outcome, RequestId, RequestParams, Settings,
};

/// How much more than the mean a node may have in flight under bounded load.
const BOUND: f64 = 1.25;
const TICK: Nanos = 100_000_000;
const TICK_TOKEN: u64 = 0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    Random,
    /// The less loaded of two drawn at random.
    LeastOfTwo,
    /// The highest rendezvous hash.
    Rendezvous,
    /// The highest rendezvous hash that is not past its bound.
    Bounded,
    /// Random; sends to whatever was ever listed, and sends again whatever failed.
    Careless,
}

struct Cx {
    ask: RequestParams,
    ends: Nanos,
    tries: Vec<Try>,
    over: bool,
}

struct Try {
    node: Node,
    sent: Nanos,
    out: bool,
    /// Unless it is known not to have.
    may_have_run: bool,
}

pub struct Baseline<H: Host> {
    host: H,
    choice: Choice,
    rng: Rand32,
    routes: Vec<Route>,
    most_tries: usize,
    asks_list: bool,
    nodes: Vec<(ListedNode, usize)>,
    origin: Option<Node>,
    xchgs: HashMap<RequestId, Cx>,
    follow_at: Nanos,
}

impl<H: Host + Send> Baseline<H> {
    pub fn new(host: H, choice: Choice, settings: &Settings, seed: u64, now: Nanos) -> Self {
        let mut baseline = Baseline {
            host,
            choice,
            rng: Rand32::new(seed),
            routes: Route::all_from(settings),
            most_tries: settings.number("most_tries", 1.0) as usize,
            asks_list: settings.text("discovery") == "ask",
            nodes: Vec::new(),
            origin: None,
            xchgs: HashMap::new(),
            follow_at: now,
        };
        baseline.woke(now, TICK_TOKEN);
        baseline
    }

    fn careless(&self) -> bool {
        self.choice == Choice::Careless
    }

    fn candidates(&self, cx: &Cx) -> Vec<Node> {
        let takes = |&node: &Node| {
            let listed = &self.nodes[node].0;
            let known = listed.status == NodeStatus::Ready || self.careless() && listed.identity != 0;
            let again = self.careless() || !cx.tries.iter().any(|t| t.node == node);
            known && !listed.origin && again
        };
        (0..self.nodes.len()).filter(takes).collect()
    }

    fn draw(&mut self, among: &[Node]) -> Option<Node> {
        let count = u32::try_from(among.len()).unwrap_or(u32::MAX);
        (count > 0).then(|| among[self.rng.rand_range(0..count) as usize])
    }

    fn choose(&mut self, xchg: RequestId) -> Option<Node> {
        let cx = &self.xchgs[&xchg];
        let (among, key) = (self.candidates(cx), cx.ask.key.unwrap_or(xchg));
        let rank = |node: &Node| rendezvous(key, self.nodes[*node].0.identity);
        match self.choice {
            Choice::Random | Choice::Careless => self.draw(&among),
            Choice::LeastOfTwo => {
                let two = [self.draw(&among)?, self.draw(&among)?];
                two.into_iter().min_by_key(|&node| self.nodes[node].1)
            }
            Choice::Rendezvous => among.into_iter().max_by_key(rank),
            Choice::Bounded => {
                let sum: usize = among.iter().map(|&node| self.nodes[node].1).sum();
                let most = (BOUND * (sum + 1) as f64 / among.len().max(1) as f64).ceil();
                let free = |node: &Node| (self.nodes[*node].1 as f64) < most;
                among.iter().copied().filter(free).max_by_key(rank).or(among.into_iter().max_by_key(rank))
            }
        }
    }

    fn place(&mut self, now: Nanos, xchg: RequestId) {
        let cx = &self.xchgs[&xchg];
        let missed = |t: &Try| !t.may_have_run && Some(t.node) != self.origin;
        let to_origin = cx.ask.write || cx.tries.last().is_some_and(missed);
        let node = if to_origin { self.origin } else { self.choose(xchg).or(self.origin) };
        match node {
            Some(node) if self.may_send(now, xchg, node) => self.send(now, xchg, node),
            _ => self.conclude(xchg),
        }
    }

    /// Rule 2, which the careless one does not know.
    fn may_send(&self, now: Nanos, xchg: RequestId, node: Node) -> bool {
        let cx = &self.xchgs[&xchg];
        if cx.tries.len() >= self.most_tries || now >= cx.ends {
            return false;
        }
        let first = cx.tries.iter().find(|t| t.may_have_run).filter(|_| !self.careless());
        let route = &self.routes[cx.ask.route];
        first.is_none_or(|first| match route.retry_safety {
            RetrySafety::Retriable => true,
            RetrySafety::NonRetriable => false,
            RetrySafety::Deduped(scope) => {
                let (here, there) = (&self.nodes[node].0, &self.nodes[first.node].0);
                now < first.sent + route.dedup_window && here.shares_dedup_scope(scope, there)
            }
        })
    }

    fn send(&mut self, now: Nanos, xchg: RequestId, node: Node) {
        let cx = self.xchgs.get_mut(&xchg).expect("placed exchanges are known");
        cx.tries.push(Try { node, sent: now, out: true, may_have_run: true });
        self.nodes[node].1 += 1;
        self.host.send(xchg, node, cx.ends - now);
    }

    fn conclude(&mut self, xchg: RequestId) {
        let cx = self.xchgs.get_mut(&xchg).expect("concluded exchanges are known");
        cx.over = true;
        let ran = cx.tries.iter().any(|t| t.may_have_run);
        let repeat = self.routes[cx.ask.route].retry_safety;
        if !ran || matches!(repeat, RetrySafety::Retriable | RetrySafety::Deduped(DedupScope::Fleet)) {
            self.host.shed(xchg, 0);
        } else {
            self.host.error(xchg);
        }
        self.settle(xchg);
    }

    fn settle(&mut self, xchg: RequestId) {
        let cx = &self.xchgs[&xchg];
        if cx.over && !cx.tries.iter().any(|t| t.out) {
            self.xchgs.remove(&xchg);
            self.host.release_request(xchg);
        }
    }
}

impl<H: Host + Send> Policy<H> for Baseline<H> {
    fn arrived(&mut self, now: Nanos, xchg: RequestId, ask: RequestParams) {
        self.xchgs.insert(xchg, Cx { ask, ends: now + ask.client_timeout, tries: Vec::new(), over: false });
        self.place(now, xchg);
    }

    fn ended(&mut self, now: Nanos, xchg: RequestId, try_no: usize, outcome: Outcome, over: bool) {
        let Some(cx) = self.xchgs.get_mut(&xchg) else { return };
        let Some(this) = cx.tries.get_mut(try_no).filter(|t| t.out) else { return };
        this.out = false;
        this.may_have_run = !outcome.never_ran();
        cx.over |= over;
        let (node, at_origin) = (this.node, Some(this.node) == self.origin);
        let lost = outcome == Outcome::Unsent || at_origin && outcome == Outcome::Saturated;
        let over = cx.over;
        self.nodes[node].1 -= 1;
        if over {
            self.settle(xchg);
        } else if lost || self.xchgs[&xchg].tries.iter().any(|t| t.out) {
            self.conclude(xchg);
        } else {
            self.place(now, xchg);
        }
    }

    fn dropped(&mut self, _now: Nanos, xchg: RequestId) {
        if let Some(cx) = self.xchgs.get_mut(&xchg) {
            cx.over = true;
            self.settle(xchg);
        }
    }

    fn woke(&mut self, now: Nanos, token: u64) {
        if token == TICK_TOKEN {
            self.host.set_timer(now + TICK, TICK_TOKEN);
            if self.asks_list && self.follow_at <= now {
                self.follow_at = Nanos::MAX;
                self.host.watch_node_list();
            }
        }
    }

    fn listed(&mut self, _now: Nanos, node: Node, listed: ListedNode) {
        self.nodes.resize(self.nodes.len().max(node + 1), (ListedNode::default(), 0));
        self.nodes[node].0 = listed;
        self.origin = listed.origin.then_some(node).or(self.origin);
    }

    fn listed_all(&mut self, named: &[Node]) {
        for node in (0..self.nodes.len()).filter(|node| !named.contains(node)) {
            self.nodes[node].0.status = NodeStatus::Gone;
        }
    }

    fn list_failed(&mut self, now: Nanos) {
        self.follow_at = now + 10 * TICK;
    }

    fn probed(&mut self, _node: Node, _outcome: Outcome) {}

    fn host(&mut self) -> &mut H {
        &mut self.host
    }
}
