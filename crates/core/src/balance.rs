//! Every decision of a proxy. Make a `Balance` with the settings, then call the method that is named
//! after what happened, with the time it happened at; it acts by calling the `Host` it was given.
//! The interface is the `pub fn`s below, the `Host` trait and the plain types in `host.rs`.
//!
//! The ordinary path (PRESS): `table` maps a key to its set of cache nodes. The set's least loaded
//! member serves; past the threshold T the least loaded cache of all joins the set. A member that
//! lacks the key says so, and the origin is asked. All else here is for when that goes wrong.

use crate::fetches::{Fetch, Fetches};
use crate::fleet::{Finder, Fleet, Indexed};
use crate::groups::two_highest;
use crate::host::{Ask, Held, Host, Listed, Nanos, Node, Outcome, Repeat, Xchg};
use crate::settings::Settings;
use crate::state::{Cache, Cx, Flow, Kinds, Pace, Route, Rules, Scratch, Tenant, Tenants, Try};
use crate::table::Table;
use crate::turns::Turns;
use hashbrown::HashMap;
use oorandom::Rand32;
use smallvec::SmallVec;
use std::collections::BTreeSet;

const SECOND: Nanos = 1_000_000_000;
const TICK: Nanos = SECOND / 10;
const TICK_TOKEN: u64 = 0; // exchanges count from 1
const FOLLOW_WAIT: Nanos = 4 * SECOND;
/// How long after new settings clients may still mean the old ones.
const CHANGING: Nanos = 2 * SECOND;
/// T is this multiple of the mean load over the ready caches, and no less than this proxy's part of FEW.
const T_FACTOR: f64 = 1.5;
/// Keys in the table; members leave their set when unpicked for so long.
const TABLE_KEYS: usize = 1 << 16;
const UNPICKED: Nanos = 10 * SECOND;
/// How long a report counts: a queue is gone soon.
const REPORT_LAST: Nanos = SECOND / 2;
/// Failures beyond the answers since, of the whole fleet, that set a node aside; probes that bring it back.
const FAILURES: f64 = 9.0;
const PROBES: usize = 2;
/// Nodes at which an exchange ends in errors before it is given up: it would fail at any.
const MOST_ERRORS: usize = 2;
/// In flight is bounded by what was when answers came best (so many enough to tell), times this room to
/// find out that more goes; unmeasured by a few for the whole fleet, at the origin (then measured) a cache.
const ROOM: f64 = 1.5;
const ORIGIN_ROOM: f64 = 2.0;
const ENOUGH: u32 = 10;
const FEW: f64 = 9.0;
const ORIGIN_FEW: [f64; 2] = [1.8, 1.3];
/// Answers are quick below the shortest objective over this: the least room is then so many times as large.
const QUICK: f64 = 3.0;
const ORIGIN_QUICK: f64 = 1.5;
const MORE: f64 = 4.0;
/// How many times their best time answers may take before a node's room shrinks.
const SLOW: f64 = 1.5;
/// A node that let a first try run out counts as refusing for FEW of this proxy's asks, no longer than this.
const SLOW_LAST: Nanos = 10 * SECOND;
/// Exchanges that unused room adds up to at most: a part below one is one now and then.
const SAVED: f64 = 3.0;
/// How much more than its part of the traffic a proxy may see.
const UNEVEN: f64 = 1.5;
/// What an exchange waits for room, a shed client to come back, or a fetch to begin: its objective over this.
const PATIENCE: u64 = 8;
const ORIGIN_PATIENCE: u64 = 3;
/// Nodes that a tick measures: all of a smaller fleet, else by turns, a second for all.
const SLICE: usize = 512;
/// Draws among the least loaded that may come to nothing, before all are looked at.
const DRAWS: usize = 8;

pub struct Balance<H: Host, F: Finder = Indexed> {
    pub host: H,
    rules: Rules,
    rng: Rand32,
    now: Nanos,
    routes: Vec<Route>,
    /// Those before the last change, and until when clients may still mean them.
    before: (Nanos, Vec<Route>),
    fleet: f64,
    nodes: Fleet<F>,
    /// All caches taken as one: where a proxy sees little of each, it still sees enough of all.
    all: Flow,
    origin: Option<Node>,
    table: Table,
    xchgs: HashMap<Xchg, Cx>,
    fetches: Fetches,
    queue: Vec<Xchg>,
    pub turns: Turns,
    tenants: Tenants,
    pace: Pace,
    kinds: Kinds,
    follow_at: Nanos,
    follow_wait: Nanos,
    scratch: Scratch,
}

impl<H: Host> Balance<H> {
    pub fn new(host: H, settings: Settings, seed: u64, now: Nanos) -> Self {
        Balance::with_finder(host, settings, seed, now)
    }
}

impl<H: Host, F: Finder> Balance<H, F> {
    pub fn with_finder(host: H, settings: Settings, seed: u64, now: Nanos) -> Self {
        let routes = Route::all(&settings);
        let mut balance = Balance {
            host,
            rng: Rand32::new(seed),
            now,
            fleet: settings.number("fleet", 1.0),
            rules: Rules::new(&settings, &routes),
            routes,
            before: (0, Vec::new()),
            nodes: Fleet::new(settings.time("cold", 0), REPORT_LAST),
            all: Flow::default(),
            origin: None,
            table: Table::new(TABLE_KEYS, UNPICKED),
            xchgs: HashMap::new(),
            fetches: Fetches::default(),
            queue: Vec::new(),
            turns: Turns::default(),
            tenants: Tenants::new(&settings),
            pace: Pace::default(),
            kinds: Kinds::default(),
            follow_at: 0,
            follow_wait: TICK,
            scratch: Scratch::default(),
        };
        balance.tick();
        balance
    }

    fn at(&mut self, now: Nanos) {
        self.now = now;
        self.nodes.at(now);
    }

    // ---- What happens -------------------------------------------------------------------------

    pub fn arrived(&mut self, now: Nanos, xchg: Xchg, ask: Ask) {
        self.at(now);
        self.pace.asked.add(now, ask.work());
        let route = self.route(ask.route);
        let cx = Cx::new(ask, route, now, self.worth(&ask, &route));
        cx.ordered().into_iter().for_each(|key| self.turns.enter(key, xchg));
        self.xchgs.insert(xchg, cx);
        self.place(xchg);
    }

    /// A try ended; `over` says that its exchange has its final answer.
    pub fn ended(&mut self, now: Nanos, xchg: Xchg, try_no: usize, outcome: Outcome, over: bool) {
        self.at(now);
        let Some(cx) = self.xchgs.get_mut(&xchg) else { return };
        let Some(this) = cx.end(try_no, outcome, over) else { return };
        let (over, held, late) = (cx.over, cx.held(), (now >= cx.ends()).then_some(cx.route.objective));
        let rests = cx.ordered().filter(|_| outcome.may_still_run());
        rests.into_iter().for_each(|key| self.turns.rest(key, now + self.rules.turn_gap));
        // Served here, it was no fault of its own that it failed elsewhere.
        let blamed = if outcome.serves() { cx.blamed() } else { SmallVec::new() };
        self.learn(this.node, this.sent, outcome, late);
        blamed.into_iter().for_each(|node| self.blame(node, Outcome::Errored));
        if over {
            self.settle(xchg);
        } else if held {
            self.again(xchg, this.node, outcome);
        }
        self.serve_line();
        let queue = std::mem::take(&mut self.queue);
        self.place_all(queue);
    }

    pub fn under_way(&mut self, xchg: Xchg) {
        self.xchgs.get_mut(&xchg).into_iter().for_each(|cx| cx.under_way = true);
    }

    pub fn dropped(&mut self, now: Nanos, xchg: Xchg) {
        self.at(now);
        self.xchgs.contains_key(&xchg).then(|| self.settle(xchg));
    }

    pub fn woke(&mut self, now: Nanos, token: u64) {
        self.at(now);
        match self.xchgs.get(&token).filter(|cx| !cx.over).map(|cx| (cx.until, cx.waits)) {
            _ if token == TICK_TOKEN => self.tick(),
            Some((until, _)) if now >= until => self.conclude(token),
            Some((_, true)) => self.place(token),
            _ => {}
        }
    }

    pub fn listed(&mut self, now: Nanos, node: Node, listed: Listed) {
        self.at(now);
        self.follow_wait = TICK;
        let before = self.nodes.caches.get(node).map_or(0, |cache| cache.listed.started);
        let started = listed.started.max(before);
        self.nodes.list(node, Listed { started, ..listed });
        self.origin = listed.origin.then_some(node).or(self.origin);
        (started > before && !self.warm(node)).then(|| self.cool(node));
        (self.nodes.caches[node].flow.room == 0.0).then(|| self.measure_node(node));
        (!self.nodes.caches[node].ready()).then(|| self.recall());
    }

    pub fn listed_all(&mut self, named: &[Node]) {
        self.nodes.list_only(named);
        self.measure_all();
        self.recall();
    }

    /// Takes back what is not yet on its way to nodes that get nothing new: guards rule 3 from sends that wait.
    fn recall(&mut self) {
        let unready = |t: &Try| t.out && !self.nodes.caches[t.node].ready();
        let back = self.xchgs.iter().filter(|(_, cx)| cx.tries.iter().any(unready)).map(|(&xchg, _)| xchg);
        back.collect::<BTreeSet<Xchg>>().into_iter().for_each(|xchg| self.host.recall(xchg));
    }

    /// Operators take a node out of service or put it back, as one that started now, whatever the list tells:
    /// guards a restarted process from all its old work, and from what was held against the last one.
    pub fn maintained(&mut self, now: Nanos, identity: u64, out: bool) {
        self.at(now);
        let (true, Some(node)) = self.nodes.ban(identity, out) else { return };
        if out {
            self.recall();
            return self.host.log(&format!("node {node} out of service"));
        }
        self.nodes.renew(node);
        self.cool(node);
    }

    /// Other routes from now on, under the numbers they had; open exchanges keep theirs. For a while clients
    /// mean either, and the stricter binds: guards from an effect that may no longer come twice.
    pub fn retuned(&mut self, now: Nanos, settings: &Settings) {
        self.at(now);
        let routes = Route::all(settings);
        self.rules = Rules::new(settings, &routes);
        self.before = (now + CHANGING, std::mem::replace(&mut self.routes, routes));
    }

    fn route(&self, at: usize) -> Route {
        let (until, before) = &self.before;
        let mut route = self.routes[at];
        if let Some(before) = before.get(at).filter(|_| self.now < *until) {
            route.repeat = route.repeat.max(before.repeat);
            route.window = route.window.min(before.window);
            route.most_tries = route.most_tries.min(before.most_tries);
            route.ordered |= before.ordered;
        }
        route
    }

    /// Guards the list service, which many proxies that ask again at once would drown.
    pub fn list_failed(&mut self, now: Nanos) {
        self.follow_at = now + (self.follow_wait as f64 * (0.5 + f64::from(self.rng.rand_float()))) as Nanos;
        self.follow_wait = (2 * self.follow_wait).min(FOLLOW_WAIT);
    }

    pub fn reported(&mut self, now: Nanos, node: Node, held: Held) {
        self.at(now);
        (node < self.nodes.caches.len()).then(|| self.nodes.change(node, |cache| cache.report(now, held)));
    }

    pub fn probed(&mut self, node: Node, outcome: Outcome) {
        let Some(cache) = self.nodes.caches.get_mut(node) else { return };
        cache.probing = false;
        let Some(answered) = &mut cache.aside else { return };
        *answered = if outcome == Outcome::Completed { *answered + 1 } else { 0 };
        if *answered >= PROBES {
            self.nodes.change(node, Cache::back);
            self.host.log(&format!("node {node} back: {PROBES} probes answered"));
        }
    }

    // ---- The ordinary path --------------------------------------------------------------------

    fn place(&mut self, xchg: Xchg) {
        if self.waits_for_turn(xchg) {
            return;
        }
        let ask = self.xchgs[&xchg].ask;
        match self.pick(xchg, ask.key) {
            _ if ask.write && self.origin.is_some() => self.ask_origin(xchg),
            node if node.is_some() && node == self.fetches.fills(ask.key) => self.wait_for_fetch(xchg),
            Some(node) if self.fits(xchg, node) => self.serve(xchg, node),
            Some(_) => self.wait_for_room(xchg),
            None if self.origin.is_some() => self.ask_origin(xchg),
            None => self.conclude(xchg),
        }
    }

    /// Whether those of its key that came first, or the key's rest, keep the exchange from going: guards the
    /// order of effects on a key. What can't be first as soon as a fetch would begin is given up at once.
    fn waits_for_turn(&mut self, xchg: Xchg) -> bool {
        let cx = &self.xchgs[&xchg];
        let Some(key) = cx.ordered().filter(|_| cx.tries.is_empty()) else { return false };
        let (before, rests) = (self.turns.before(key, xchg), self.turns.rests_until(key));
        let waits = before > 0 || self.now < rests;
        let last = cx.arrived + cx.route.objective / ORIGIN_PATIENCE;
        // Writes go to the origin.
        let took = self.origin.and_then(|node| self.nodes.caches[node].flow.answers.mean(self.now));
        let turns = (before as f64 * took.unwrap_or(self.kinds.usual) * SECOND as f64) as Nanos;
        self.xchgs.get_mut(&xchg).expect("placed exchanges are known").waits = waits;
        if waits && self.now.max(rests) + turns > last {
            self.conclude(xchg);
        } else if waits {
            self.hold(xchg, ORIGIN_PATIENCE);
            // Behind others it is placed again when those are over.
            (before == 0).then(|| self.host.wake(rests, xchg));
        }
        waits
    }

    /// The set's least loaded member; past T, the least loaded cache overall joins it.
    fn pick(&mut self, xchg: Xchg, key: Option<u64>) -> Option<Node> {
        let (cx, mean) = (&self.xchgs[&xchg], self.nodes.mean_load());
        if !cx.tries.is_empty() && !self.may_try_again(cx) {
            return None;
        }
        let Some(key) = key else { return self.least_of_all(xchg, mean) };
        let (mut set, caches) = (std::mem::take(&mut self.scratch.set), &self.nodes.caches);
        set.clear();
        self.table.set(self.now, key, |node| caches[node].serves(), &mut set);
        set.retain(|&node| self.may_take(&self.xchgs[&xchg], node));
        let member = self.least(&set, mean);
        self.scratch.set = set;
        let chosen = if let Some(member) = member { member } else { self.seed(xchg, key, mean)? };
        let joins = if self.past_t(chosen, mean) { self.least_of_all(xchg, mean) } else { None };
        joins.filter(|&node| !self.past_t(node, mean)).or(Some(chosen))
    }

    /// Past T now, or on average: one of many proxies seldom has two at a node, and would see no hot key. Of
    /// that a few exchanges' worth: guards proxies with little traffic from copies by chance.
    fn past_t(&self, node: Node, mean: f64) -> bool {
        let lately = self.all.average(self.now) / self.serving();
        let some = (2.0 * FEW / self.fleet).max(FEW * self.kinds.usual / 2.0);
        self.load(node, mean) > (T_FACTOR * mean).max(FEW / self.fleet).max(1.0)
            || self.nodes.caches[node].flow.average(self.now) > (T_FACTOR * lately).max(some)
    }

    fn serve(&mut self, xchg: Xchg, node: Node) {
        let Ask { key, tenant, .. } = self.xchgs[&xchg].ask;
        self.tenants.serve(self.now, tenant);
        key.into_iter().for_each(|key| self.table.pick(self.now, key, node));
        self.send(xchg, node);
    }

    /// The first of the key's two highest rendezvous-hash caches; if it is past T the less busy of them.
    /// Guards large fleets from two copies of each key. Where neither takes it, the least of all.
    fn seed(&mut self, xchg: Xchg, key: u64, mean: f64) -> Option<Node> {
        self.rank(key);
        let mut ranked = std::mem::take(&mut self.scratch.ranked);
        let cx = &self.xchgs[&xchg];
        let two = two_highest(&mut ranked, |node| self.may_take(cx, node));
        self.scratch.ranked = ranked;
        let lighter = |one: &Node, other: &Node| self.load(*one, mean).total_cmp(&self.load(*other, mean));
        let first = two.first().copied().filter(|&node| !self.past_t(node, mean));
        first.or_else(|| two.iter().copied().min_by(lighter)).or_else(|| self.least_of_all(xchg, mean))
    }

    /// The least loaded cache overall that may take the exchange.
    fn least_of_all(&mut self, xchg: Xchg, mean: f64) -> Option<Node> {
        let cx = &self.xchgs[&xchg];
        let mut not = std::mem::take(&mut self.scratch.not);
        cx.nodes(&mut not);
        let few = cx.may_have_run() && !cx.route.free();
        let found = if few { None } else { self.draw_least(xchg, mean, &mut not) };
        let all = self.nodes.least(mean, &not).is_none();
        self.scratch.not = not;
        if found.is_some() {
            return found;
        }
        // A repeat that only some nodes discard, or work too heavy for cold ones: looked for one by one.
        let (cx, caches) = (&self.xchgs[&xchg], 0..if all { 0 } else { self.nodes.caches.len() });
        let takes = |&node: &Node| Some(node) != self.origin && self.may_take(cx, node);
        let takers: Vec<Node> = caches.filter(takes).collect();
        self.least(&takers, mean)
    }

    /// Of equals the one that ranks highest for the key, else one by chance. Guards fleets of many proxies,
    /// where most loads are equal, from a copy of each key at every node.
    fn draw_least(&mut self, xchg: Xchg, mean: f64, not: &mut Vec<Node>) -> Option<Node> {
        self.scratch.ranked.clear();
        self.xchgs[&xchg].ask.key.into_iter().for_each(|key| self.rank(key));
        self.scratch.ranked.sort_unstable_by(|one, other| other.cmp(one));
        for _ in 0..DRAWS {
            let least = self.nodes.least(mean, not)?;
            let cx = &self.xchgs[&xchg];
            let equal = |node| self.load(node, mean) == least.load && !not.contains(&node);
            let free = |&node: &Node| equal(node) && self.may_take(cx, node) && !self.past_t(node, mean);
            if let Some(node) = self.scratch.ranked.iter().map(|ranked| ranked.1).find(free) {
                return Some(node);
            }
            let place = self.draw(least.ties);
            let node = self.nodes.tie(mean, not, place)?;
            if self.may_take(&self.xchgs[&xchg], node) {
                return Some(node);
            }
            not.push(node);
        }
        None
    }

    /// The nodes of a key's group by rendezvous hash, each as likely to be first as it has capacity: what the
    /// list says of its size, over what its kind of machine takes for an answer.
    fn rank(&mut self, key: u64) {
        let mut ranked = std::mem::take(&mut self.scratch.ranked);
        self.nodes.ranked(key, &mut ranked);
        for (rank, node) in &mut ranked {
            let Listed { kind, rating, .. } = self.nodes.caches[*node].listed;
            let part = (*rank as f64 + 1.0) / u64::MAX as f64;
            *rank = !(-part.ln().min(0.0) / (rating / self.kinds.took(kind))).to_bits();
        }
        self.scratch.ranked = ranked;
    }

    /// The least loaded of these, ties broken at random.
    fn least(&mut self, among: &[Node], mean: f64) -> Option<Node> {
        let lowest = among.iter().map(|&node| self.load(node, mean)).fold(f64::INFINITY, f64::min);
        let ties = among.iter().filter(|&&node| self.load(node, mean) == lowest).count();
        let place = self.draw(ties);
        among.iter().copied().filter(|&node| self.load(node, mean) == lowest).nth(place)
    }

    fn draw(&mut self, ties: usize) -> usize {
        if ties < 2 { 0 } else { self.rng.rand_range(0..ties as u32) as usize }
    }

    /// A refusal counts as over T, a cache not yet heard from as carrying the mean.
    fn load(&self, node: Node, mean: f64) -> f64 {
        let cache = &self.nodes.caches[node];
        match cache.load() {
            _ if self.now < cache.refuses_until => f64::MAX,
            load if cache.heard => load,
            load => load.max(mean),
        }
    }

    fn serving(&self) -> f64 {
        self.nodes.serving().max(1) as f64
    }

    // ---- Misses and the origin ----------------------------------------------------------------

    fn wait_for_fetch(&mut self, xchg: Xchg) {
        let cx = &self.xchgs[&xchg];
        self.fetches.wait(cx.ask.key, xchg, cx.worth);
        self.hold(xchg, ORIGIN_PATIENCE);
    }

    /// One fetch a key, the others wait for it; past the origin's bound a fetch waits in line.
    fn ask_origin(&mut self, xchg: Xchg) {
        let Some(origin) = self.origin.filter(|&node| self.may_take(&self.xchgs[&xchg], node)) else {
            return self.conclude(xchg);
        };
        let cx = self.xchgs.get_mut(&xchg).expect("placed exchanges are known");
        let (key, worth) = (cx.ask.key, cx.worth);
        if let (Some(key), Some(fills), false) = (key, cx.missed(), cx.fetching) {
            if self.fetches.get(Some(key)).is_some() {
                return self.wait_for_fetch(xchg);
            }
            cx.fetching = true;
            self.fetches.start(key, Fetch { by: xchg, fills, worth, waiting: Vec::new() });
        }
        if self.origin_fits(xchg) {
            return self.send(xchg, origin);
        }
        self.fetches.line_up(key, xchg, worth);
        let wait = self.hold(xchg, ORIGIN_PATIENCE);
        self.shorten_line(origin, wait);
    }

    /// The line is no longer than the origin's rate times what the exchange waits: the least worthy is shed.
    fn shorten_line(&mut self, origin: Node, wait: Nanos) {
        let most = self.nodes.caches[origin].flow.answers.rate(self.now) * wait as f64 / SECOND as f64;
        if self.fetches.in_line() as f64 > most.max(2.0)
            && let Some(xchg) = self.fetches.least_worthy()
        {
            self.conclude(xchg);
        }
    }

    fn serve_line(&mut self) {
        while let Some(xchg) = self.fetches.worthiest().filter(|&xchg| self.origin_fits(xchg)) {
            self.fetches.take_worthiest();
            self.ask_origin(xchg);
        }
    }

    // ---- Sending, trying again, answering -------------------------------------------------------

    fn send(&mut self, xchg: Xchg, node: Node) {
        let cx = self.xchgs.get_mut(&xchg).expect("placed exchanges are known");
        cx.start(self.now, node);
        cx.until = cx.ends();
        let (work, ends) = (cx.ask.work(), cx.until);
        let until = self.try_ends(xchg, node);
        let rests = (!self.warm(node)).then(|| {
            let (fall, pause) = (self.rules.fall, self.pause(node, work));
            // Guards rule 4 from proxies that make up for what they left unused: chance allows for a root of it.
            let saved = (fall / 2).min((fall as f64 * pause).sqrt() as Nanos);
            self.nodes.caches[node].rests_until.max(self.now.saturating_sub(saved)) + pause as Nanos
        });
        self.nodes.send(node, rests);
        (Some(node) != self.origin).then(|| self.all.start(self.now));
        (until > ends).then(|| self.host.wake(ends, xchg));
        self.host.send(xchg, node, until.saturating_sub(self.now));
    }

    /// When a try ends: a first one at a cache halfway to the objective, to leave time for another. Guards
    /// from nodes far slower than the rest, while these are quick and the origin has room for what follows. A
    /// fetch outlives its client, who is answered in time: guards from fetches that hasty clients make in vain.
    fn try_ends(&self, xchg: Xchg, node: Node) -> Nanos {
        let cx = &self.xchgs[&xchg];
        let first = cx.tries.len() == 1 && cx.route.most_tries > 2 && cx.route.free();
        let rest = Some(node) != self.origin && self.kinds.hits * QUICK * 1e9 < self.rules.objective as f64;
        let half = (cx.arrived + cx.route.objective / 2).max(self.now + cx.route.objective / PATIENCE);
        let outlives = cx.fetching && cx.route.free() && !cx.route.ordered;
        match () {
            () if outlives => cx.ends().max(self.now + cx.route.objective),
            () if first && rest && self.origin_fits(xchg) => half.min(cx.ends()),
            () => cx.ends().min(cx.discarded_until()),
        }
    }

    fn again(&mut self, xchg: Xchg, node: Node, outcome: Outcome) {
        let (cx, at_origin) = (&self.xchgs[&xchg], Some(node) == self.origin);
        let unsent = outcome == Outcome::Unsent && self.nodes.caches[node].ready();
        let lost = unsent || at_origin && outcome == Outcome::Saturated;
        if lost || cx.under_way || self.now >= cx.ends() {
            self.conclude(xchg);
        } else if at_origin || outcome == Outcome::Missed {
            self.ask_origin(xchg);
        } else {
            self.place(xchg);
        }
    }

    /// Whether the rules let this exchange go to this node now, and the node may be sent it.
    fn may_take(&self, cx: &Cx, node: Node) -> bool {
        let cache = &self.nodes.caches[node];
        let here = |t: &Try| t.node == node && (t.out || !t.missed);
        let origin = cache.listed.origin && cache.ready();
        let takes = origin || cache.serves() && self.within_budget(node, cx.ask.work());
        let again = || self.may_try_again(cx) && self.may_repeat(cx, node);
        takes && (cx.tries.is_empty() || again() && (origin || !cx.tries.iter().any(here)))
    }

    fn may_try_again(&self, cx: &Cx) -> bool {
        let never = cx.route.repeat == Repeat::NonRetriable && cx.may_have_run();
        cx.tries.len() < cx.route.most_tries && !never && cx.errors() < MOST_ERRORS
    }

    /// Rule 2: no effect twice.
    fn may_repeat(&self, cx: &Cx, node: Node) -> bool {
        let Some(first) = cx.tries.iter().find(|t| t.may_have_run) else { return true };
        let (here, there) = (&self.nodes.caches[node].listed, &self.nodes.caches[first.node].listed);
        match cx.route.repeat {
            Repeat::Retriable => true,
            Repeat::NonRetriable => false,
            Repeat::Deduped(scope) => self.now < first.sent + cx.route.window && here.shares(scope, there),
        }
    }

    /// The final answer, at once: shed where that is true, an error else. Guards from storms of retries.
    fn conclude(&mut self, xchg: Xchg) {
        let cx = &self.xchgs[&xchg];
        let pause = if self.rules.pauses { cx.route.objective / PATIENCE } else { 0 };
        match cx.route.repeat.harmless(cx.may_have_run()) && !cx.under_way {
            true => self.host.shed(xchg, pause),
            false => self.host.error(xchg),
        }
        self.settle(xchg);
    }

    fn settle(&mut self, xchg: Xchg) {
        let cx = self.xchgs.get_mut(&xchg).expect("settled exchanges are known");
        cx.over = true;
        self.fetches.leave_line(cx.ask.key, xchg, cx.worth);
        if cx.out() > 0 {
            // Guards nodes and rule 1 from tries that are written when nobody waits for them any more.
            return self.host.recall(xchg);
        }
        let (ordered, key) = (cx.ordered(), cx.ask.key.filter(|_| cx.fetching));
        self.xchgs.remove(&xchg);
        self.host.forget(xchg);
        let next = ordered.and_then(|key| self.turns.leave(self.now, key, xchg));
        self.place_all(next.into_iter().collect());
        let fetch = key.and_then(|key| self.fetches.end(key));
        fetch.into_iter().for_each(|fetch| self.place_all(fetch.waiting));
    }

    // ---- Waiting, and shedding what would wait too long ------------------------------------------

    /// Holds an exchange with nothing out, for this part of its objective since it arrived; then it is shed.
    fn hold(&mut self, xchg: Xchg, part: u64) -> Nanos {
        let cx = self.xchgs.get_mut(&xchg).expect("held exchanges are known");
        let patience = cx.route.objective / part;
        cx.until = (cx.arrived + patience.min(cx.ask.grace)).max(self.now);
        self.host.wake(cx.until, xchg);
        patience
    }

    /// No cache has room: surplus is shed. Within quota the origin serves if it has room; else the
    /// exchange waits, in a queue so short (rate times time) that waits mostly end in an answer.
    fn wait_for_room(&mut self, xchg: Xchg) {
        let Cx { arrived, ask, route, .. } = &self.xchgs[&xchg];
        let patience = route.objective / PATIENCE;
        let rate = self.all.answers.rate(self.now);
        if self.surplus(ask.tenant) || self.now - arrived >= patience {
            self.conclude(xchg);
        } else if self.origin_fits(xchg) {
            self.ask_origin(xchg);
        } else if self.queue.len() as f64 >= (rate * patience as f64 / SECOND as f64).max(1.0) {
            self.conclude(xchg);
        } else {
            self.hold(xchg, PATIENCE);
            self.queue.push(xchg);
        }
    }

    fn place_all(&mut self, xchgs: Vec<Xchg>) {
        for xchg in xchgs {
            if self.xchgs.get(&xchg).is_some_and(Cx::held) {
                self.place(xchg);
            }
        }
    }

    /// What an answer is worth, in thousandths: a fetch costs the origin about the same for each.
    fn worth(&self, ask: &Ask, route: &Route) -> u64 {
        let part = if self.surplus(ask.tenant) { self.rules.surplus_payoff } else { 1.0 };
        (1000.0 * route.payoff * part) as u64
    }

    /// Guards nodes that lose capacity when crowded; little or shrunk room is rounded down, since the odd one
    /// more from each proxy is many. Guards large fleets, with one from each at every node: all caches are
    /// bounded together, and what room was saved goes first to tenants that had little of their part.
    fn fits(&self, xchg: Xchg, node: Node) -> bool {
        let (here, all) = (&self.nodes.caches[node].flow, &self.all);
        let little = here.room < 2.0 || here.squeeze < 1.0;
        let room = if little { here.room.floor().max(1.0) } else { here.room };
        let had = (self.part_had(self.xchgs[&xchg].ask.tenant) / UNEVEN).min(1.0);
        let in_all = (all.room + all.saved - SAVED * had).max(1.0);
        (here.in_flight as f64) < room && all.in_flight as f64 + 1.0 <= in_all
    }

    /// Guards the origin in the same way; a proxy's part below one is one fetch now and then.
    fn origin_fits(&self, xchg: Xchg) -> bool {
        let Some(Cache { flow, .. }) = self.origin.map(|node| &self.nodes.caches[node]) else { return false };
        let reserve = if self.surplus(self.xchgs[&xchg].ask.tenant) { SAVED - 1.0 } else { 0.0 };
        flow.in_flight as f64 + 1.0 <= flow.room.ceil().min(flow.room + flow.saved - reserve)
    }

    /// What the tenant had lately of this proxy's part of its quota. Guards proxies that see far more than an
    /// equal part of all tenants' traffic: their part of each quota is as much larger.
    fn part_had(&self, tenant: Option<usize>) -> f64 {
        let part = (1.0 / self.fleet).max(self.tenants.all_had(self.now));
        let served = |tenant: &Tenant| tenant.served.rate(self.now) / tenant.quota / part;
        self.tenants.get(tenant).map_or(0.0, served)
    }

    fn surplus(&self, tenant: Option<usize>) -> bool {
        self.part_had(tenant) > UNEVEN
    }

    // ---- Health ---------------------------------------------------------------------------------

    fn warm(&self, node: Node) -> bool {
        self.nodes.caches[node].warm(self.now, self.rules.cold)
    }

    /// Rule 4: a cold node gets its part of normal work, spread evenly, and nothing heavy for all its parts.
    fn within_budget(&self, node: Node, work: f64) -> bool {
        self.warm(node)
            || self.now >= self.nodes.caches[node].rests_until
                && self.pause(node, work) <= self.fleet * self.rules.fall as f64
    }

    /// How long this work takes up this proxy's part of a cold node. Normal is what warm ones did at best.
    fn pause(&self, node: Node, work: f64) -> f64 {
        let part = self.nodes.caches[node].part(self.now, &self.rules);
        let normal = self.pace.normal.most_mean(self.now).unwrap_or(0.0);
        let usual = self.pace.asked.mean(self.now).unwrap_or(work);
        SECOND as f64 * work / usual / (normal * part).max(1.0 / self.fleet)
    }

    /// A node's process is new. Guards it from the first exchanges of many proxies at once.
    fn cool(&mut self, node: Node) {
        let pause = self.pause(node, self.pace.asked.mean(self.now).unwrap_or(1.0));
        let until = self.now + (pause * f64::from(self.rng.rand_float())) as Nanos;
        self.nodes.change(node, |cache| cache.rests_until = until);
        self.host.log(&format!("node {node} cold: one exchange in {:.1} s at first", pause / 1e9));
    }

    fn learn(&mut self, node: Node, sent: Nanos, outcome: Outcome, late: Option<Nanos>) {
        let now = self.now;
        let until = match outcome {
            // Guards from keys that scatter over other nodes where all are full: it then tells of no node.
            Outcome::Saturated => self.for_asks(self.all.answered(now).powi(2)).max(now + TICK),
            _ => self.for_asks(FEW),
        };
        let fails = self.nodes.change(node, |cache| {
            cache.end(now, sent, outcome);
            match outcome {
                _ if outcome.serves() => cache.failures = cache.failures.saturating_sub(1),
                Outcome::Saturated => cache.refuses_until = until,
                // An error may be the exchange's own: others must show that it is not.
                Outcome::Errored | Outcome::Withdrawn | Outcome::Unsent | Outcome::Rejected => {}
                // Slow while its exchange has time left; else a failure if tries waited for an objective in vain.
                Outcome::Overdue if late.is_none() => cache.refuses_until = until,
                Outcome::Overdue if cache.owes_since > sent || Some(cache.waited) < late => {}
                _ => return true,
            }
            false
        });
        fails.then(|| self.blame(node, outcome));
        if Some(node) != self.origin {
            self.all.end(now, sent, outcome);
            if outcome == Outcome::Completed {
                self.kinds.add(now, self.nodes.caches[node].listed.kind, now.saturating_sub(sent));
            }
        }
    }

    /// Guards against nodes that fail quickly: their empty queues would attract load. Where no probe may
    /// bring them back, they count as refusing for a while. Without a second try errors show nothing.
    fn blame(&mut self, node: Node, outcome: Outcome) {
        let (probes, slow, enough) =
            (self.rules.probes, self.for_asks(FEW), (FAILURES / self.fleet).max(1.0));
        let failures = self.nodes.change(node, |cache| {
            cache.failures += 1;
            let fails = cache.failures as f64 >= enough && cache.serves();
            cache.aside = if fails && probes { Some(0) } else { cache.aside };
            cache.refuses_until = if fails && !probes { slow } else { cache.refuses_until };
            (fails && probes).then_some(cache.failures)
        });
        let Some(failures) = failures else { return };
        self.host.log(&format!("node {node} aside: {failures} failures, last {outcome:?}"));
    }

    /// Until when this proxy asks a node so many times on average.
    fn for_asks(&self, asks: f64) -> Nanos {
        let last = asks * self.serving() / self.all.answers.rate(self.now);
        self.now + SLOW_LAST.min((last * SECOND as f64) as Nanos)
    }

    fn measure_all(&mut self) {
        self.pace.settle(self.now);
        self.kinds.settle(self.now, &self.all);
        // Guards warm nodes from what cold ones can't take, and crowded ones from what they turn away.
        let able = self.pace.able * self.all.answered(self.now);
        let few = FEW * able / self.fleet * self.more(self.kinds.hits, QUICK);
        measure(self.now, &mut self.all, (ROOM, few, f64::INFINITY));
        self.origin.into_iter().for_each(|origin| self.measure_node(origin));
    }

    fn measure_node(&mut self, node: Node) {
        let few = (FEW / self.fleet).floor().max(1.0);
        let origin = self.nodes.caches[node].listed.origin.then(|| self.origin_few(node));
        let bounds = origin.map_or((ROOM, few, SLOW), |few| (ORIGIN_ROOM, few, f64::INFINITY));
        let cache = &mut self.nodes.caches[node];
        measure(self.now, &mut cache.flow, bounds);
        let part = cache.part(self.now, &self.rules);
        self.pace.rate(node, part, cache.flow.answers.rate(self.now));
    }

    /// Guards an origin that stops when asked for too much: more than its part only while quicker still.
    fn origin_few(&self, node: Node) -> f64 {
        let flow = &self.nodes.caches[node].flow;
        let known = usize::from(flow.minute.least_mean(self.now, ENOUGH).is_some());
        let quick = if self.rules.origin_falls { QUICK } else { ORIGIN_QUICK };
        let took = flow.answers.mean(self.now).unwrap_or(0.0);
        ORIGIN_FEW[known] * self.more(took, quick) * (self.serving() / self.fleet)
    }

    /// How many times its least part a proxy may have in flight while answers take little of the shortest
    /// objective. Guards busy proxies among many idle ones: what these leave unused shows as quick answers.
    fn more(&self, took: f64, quick: f64) -> f64 {
        (self.rules.objective as f64 / 1e9 / quick / took).clamp(1.0, MORE)
    }

    /// Measures the nodes whose turn it is, and dismisses those that are done.
    fn take_turns(&mut self) {
        let count = self.nodes.caches.len();
        for _ in 0..count.min(SLICE.max(count.div_ceil(10))) {
            self.pace.turn = (self.pace.turn + 1) % count;
            let node = self.pace.turn;
            self.measure_node(node);
            // Guards memory. Past the last mention in any set or exchange, another may have the number.
            let done = self.nodes.caches[node].done(self.now, UNPICKED);
            if done && !self.xchgs.values().any(|cx| cx.tried(node)) {
                self.nodes.forget(node);
                self.host.dismiss(node);
            }
        }
    }

    fn tick(&mut self) {
        self.host.wake(self.now + TICK, TICK_TOKEN);
        self.take_turns();
        self.measure_all();
        // Guards what may be a sick node from the probes of many proxies.
        let idle = |cache: &Cache| cache.ready() && !cache.probing;
        let due = self.nodes.aside().filter(|&node| idle(&self.nodes.caches[node]));
        for node in due.collect::<SmallVec<[Node; 8]>>() {
            if f64::from(self.rng.rand_float()) < (FEW / self.fleet).max(0.1) {
                self.nodes.caches[node].probing = true;
                self.host.probe(node);
            }
        }
        self.serve_line();
        self.turns.sweep(self.now);
        if self.follow_at <= self.now && self.rules.asks_list {
            self.follow_at = Nanos::MAX;
            self.host.follow();
        }
    }
}

/// Room is what was in flight at best, so many times, or a few; it shrinks while answers take far longer.
fn measure(now: Nanos, flow: &mut Flow, (times, few, slow): (f64, f64, f64)) {
    let (least, lately) = (flow.minute.least_mean(now, ENOUGH), flow.answers.mean(now));
    let best = flow.minute.peak_rate(now) * least.unwrap_or(0.0);
    if let (Some(least), Some(lately)) = (least, lately) {
        flow.squeeze = (slow * least / lately).min(1.0);
    }
    flow.saves(now, SAVED, flow.squeeze * (times * best).max(few));
}
