//! Every decision of a proxy. Make a `Balance` with the settings, then call the method that is named
//! after what happened, with the time it happened at; it acts by calling the `Host` it was given.
//! The interface is the `pub fn`s below, the `Host` trait and the plain types in `host.rs`.
//!
//! The ordinary path (PRESS): `table` maps a key to its set of cache nodes. The set's least loaded
//! member serves; past the threshold T the least loaded cache of all joins the set. A member that
//! lacks the key says so, and the origin is asked. All else here is for when that goes wrong.

use crate::fetches::{Fetch, Fetches};
use crate::host::{Ask, Host, Listed, Nanos, Node, Outcome, Repeat, Scope, Standing, Xchg};
use crate::settings::Settings;
use crate::state::{Cache, Cx, Report, Route, Tenants, Try};
use crate::table::{Table, rendezvous};
use hashbrown::HashMap;
use oorandom::Rand32;
use std::collections::VecDeque;
use std::num::NonZeroUsize;

const SECOND: Nanos = 1_000_000_000;
/// T is this multiple of the mean load over the ready caches, and no less than its floor.
const T_FACTOR: f64 = 1.5;
const T_FLOOR: f64 = 3.0;
/// Keys in the table; members leave their set when unpicked for so long.
const TABLE_KEYS: NonZeroUsize = NonZeroUsize::new(1 << 16).unwrap();
const UNPICKED: Nanos = 10 * SECOND;
/// A change of load that peers hear of, and how long news count: guards against peers that died.
const NEWS: usize = 4;
const NEWS_LAST: Nanos = 5 * SECOND;
/// How long a refusal counts as over T.
const REFUSAL: Nanos = SECOND / 10;
/// Failures beyond the answers since that set a node aside, and answered probes that bring it back.
const FAILURES: usize = 3;
const PROBES: usize = 2;
/// In flight at a node is bounded by what it held when it did best (answers enough to tell), times
/// this room to find out that it can do more. Guards nodes that lose capacity when crowded: the room
/// shrinks while they take longer than SLOW times their best, and the few unmeasured are a fleet's.
const ORIGIN_ROOM: f64 = 2.0;
const ROOM: f64 = 1.5;
const ENOUGH: u32 = 10;
const SLOW: f64 = 1.5;
const FEW: f64 = 9.0;
const ORIGIN_FEW: f64 = 2.0;
/// How much more than its part of the traffic a proxy may see.
const UNEVEN: f64 = 1.5;
/// The part of its objective that an exchange waits for room at a cache, as a divisor.
const PATIENCE: u64 = 8;
const TICK: Nanos = SECOND / 10;
/// The wake-up token of the tick; exchanges count from 1.
const TICK_TOKEN: u64 = 0;

pub struct Balance<H: Host> {
    pub host: H,
    settings: Settings,
    rng: Rand32,
    now: Nanos,
    routes: Vec<Route>,
    /// The shortest objective of any route.
    shortest: Nanos,
    few: f64,
    caches: Vec<Cache>,
    origin: Option<Node>,
    table: Table,
    xchgs: HashMap<Xchg, Cx>,
    fetches: Fetches,
    /// Exchanges that wait for room at a cache.
    queue: VecDeque<Xchg>,
    tenants: Tenants,
    /// What a warm cache is sent over the cold budget's window, on average.
    normal: f64,
    following: bool,
}

impl<H: Host> Balance<H> {
    pub fn new(host: H, settings: Settings, seed: u64, now: Nanos) -> Self {
        let routes = Route::all(&settings);
        let mut balance = Balance {
            host,
            rng: Rand32::new(seed),
            now,
            shortest: routes.iter().map(|route| route.objective).min().unwrap_or(SECOND),
            few: (FEW / settings.number("fleet", 1.0)).floor().max(1.0),
            routes,
            caches: Vec::new(),
            origin: None,
            table: Table::new(TABLE_KEYS, UNPICKED),
            xchgs: HashMap::new(),
            fetches: Fetches::default(),
            queue: VecDeque::new(),
            tenants: Tenants::new(&settings),
            normal: 0.0,
            following: false,
            settings,
        };
        balance.tick();
        balance
    }

    // ---- What happens -------------------------------------------------------------------------

    pub fn arrived(&mut self, now: Nanos, xchg: Xchg, ask: Ask) {
        self.now = now;
        self.tenants.ask(now, ask.tenant);
        self.xchgs.insert(xchg, Cx::new(ask, now, self.worth(&ask)));
        self.place(xchg);
    }

    /// A try ended; `over` says that its exchange has its final answer.
    pub fn ended(&mut self, now: Nanos, xchg: Xchg, try_no: usize, outcome: Outcome, over: bool) {
        self.now = now;
        let Some(cx) = self.xchgs.get_mut(&xchg) else { return };
        let Some(this) = cx.end(try_no, outcome) else { return };
        cx.over |= over;
        let held = cx.held();
        self.learn(this.node, this.sent, outcome);
        if self.xchgs[&xchg].over {
            self.settle(xchg, outcome == Outcome::Completed);
        } else if held && outcome == Outcome::Missed {
            self.ask_origin(xchg);
        } else if held {
            self.again(xchg, this.node, outcome);
        }
        self.serve_line();
        self.serve_queue();
    }

    /// The answer streams: the try now belongs to the client.
    pub fn under_way(&mut self, xchg: Xchg) {
        let Some(cx) = self.xchgs.get_mut(&xchg) else { return };
        cx.under_way = true;
    }

    pub fn dropped(&mut self, now: Nanos, xchg: Xchg) {
        self.now = now;
        let Some(cx) = self.xchgs.get_mut(&xchg) else { return };
        cx.over = true;
        self.settle(xchg, false);
    }

    pub fn woke(&mut self, now: Nanos, token: u64) {
        self.now = now;
        if token == TICK_TOKEN {
            self.tick();
        } else if self.xchgs.get(&token).is_some_and(|cx| cx.held() && now >= cx.until) {
            self.conclude(token);
        }
    }

    pub fn listed(&mut self, now: Nanos, node: Node, listed: Listed) {
        if node >= self.caches.len() {
            let peers = self.settings.number("fleet", 1.0) as usize;
            self.caches.resize(node + 1, Cache::new(peers, self.settings.time("fall", SECOND)));
        }
        let cache = &mut self.caches[node];
        let started = listed.started.max(cache.listed.started);
        if started > cache.listed.started && started + self.settings.time("cold", 0) > now {
            let age = now.saturating_sub(started) as f64 / SECOND as f64;
            self.host.log(&format!("node {node} cold: {age:.1} s old, warm nodes get {:.1}", self.normal));
        }
        cache.listed = Listed { started, ..listed };
        self.origin = listed.origin.then_some(node).or(self.origin);
    }

    /// A complete list named these nodes only.
    pub fn listed_all(&mut self, named: &[Node]) {
        for (node, cache) in self.caches.iter_mut().enumerate() {
            if !named.contains(&node) {
                cache.listed.standing = Standing::Gone;
            }
        }
    }

    pub fn list_failed(&mut self) {
        self.following = false;
    }

    pub fn reported(&mut self, node: Node, in_flight: f64) {
        let Some(cache) = self.caches.get_mut(node) else { return };
        cache.heard = true;
        cache.report = Some(Report { in_flight: in_flight.max(0.0) as usize, own: cache.in_flight });
    }

    pub fn probed(&mut self, now: Nanos, node: Node, outcome: Outcome) {
        let Some(cache) = self.caches.get_mut(node) else { return };
        cache.probing = false;
        let Some(answered) = &mut cache.aside else { return };
        *answered = if outcome == Outcome::Completed { *answered + 1 } else { 0 };
        if *answered < PROBES {
            return;
        }
        (cache.aside, cache.failures) = (None, 0);
        if cache.unreachable {
            // Guards a process that restarted cold before the list says so.
            cache.listed.started = now;
        }
        self.host.log(&format!("node {node} back: {PROBES} probes answered"));
    }

    pub fn peer_load(&mut self, now: Nanos, peer: usize, node: Node, in_flight: usize) {
        if let Some(told) = self.caches.get_mut(node).and_then(|cache| cache.peers.get_mut(peer)) {
            *told = (in_flight, now);
        }
    }

    pub fn peer_joined(&mut self, now: Nanos, node: Node, key: u64) {
        if self.caches.get(node).is_some_and(Cache::serves) {
            self.table.pick(now, key, node);
        }
    }

    // ---- The ordinary path --------------------------------------------------------------------

    /// Finds a cache for the exchange and sends it there.
    fn place(&mut self, xchg: Xchg) {
        let ask = self.xchgs[&xchg].ask;
        if ask.write && self.origin.is_some() {
            return self.ask_origin(xchg);
        }
        let filling = self.fetches.get(ask.key).map(|fetch| fetch.fills);
        match self.pick(xchg, ask.key) {
            node if node.is_some() && node == filling => self.wait_for_fetch(xchg),
            Some(node) if self.has_room(node) => self.serve(xchg, node),
            Some(_) => self.wait_for_room(xchg),
            None if self.origin.is_some() => self.ask_origin(xchg),
            None => self.conclude(xchg),
        }
    }

    /// The set's least loaded member; past T, the least loaded cache overall joins it.
    fn pick(&mut self, xchg: Xchg, key: Option<u64>) -> Option<Node> {
        let mean = self.mean_load();
        let Some(key) = key else { return self.least(&self.takers(xchg), mean) };
        let caches = &self.caches;
        let mut set = self.table.set(self.now, key, |node| caches[node].serves());
        set.retain(|&node| self.may_take(xchg, node));
        let mut chosen = match self.least(&set, mean) {
            Some(member) => member,
            None => self.seed(xchg, key, mean)?,
        };
        let threshold = (T_FACTOR * mean).max(T_FLOOR);
        if self.load(chosen, mean) > threshold
            && let Some(joins) = self.least(&self.takers(xchg), mean)
            && self.load(joins, mean) < threshold
        {
            chosen = joins;
        }
        Some(chosen)
    }

    /// Sends the exchange to a cache, which joins its key's set.
    fn serve(&mut self, xchg: Xchg, node: Node) {
        let Ask { key, tenant, .. } = self.xchgs[&xchg].ask;
        if self.xchgs[&xchg].tries.is_empty() {
            self.tenants.serve(self.now, tenant);
        }
        if let Some(key) = key
            && self.table.pick(self.now, key, node)
            && self.settings.flag("peers")
        {
            self.host.tell_joined(node, key);
        }
        self.send(xchg, node);
    }

    /// The less busy of the key's two highest rendezvous-hash caches.
    fn seed(&mut self, xchg: Xchg, key: u64, mean: f64) -> Option<Node> {
        let mut ranked = self.takers(xchg);
        ranked.sort_by_cached_key(|&n| std::cmp::Reverse(rendezvous(key, self.caches[n].listed.identity)));
        ranked.truncate(2);
        self.least(&ranked, mean)
    }

    fn takers(&self, xchg: Xchg) -> Vec<Node> {
        (0..self.caches.len()).filter(|&n| Some(n) != self.origin && self.may_take(xchg, n)).collect()
    }

    /// The least loaded of these, ties broken at random.
    fn least(&mut self, among: &[Node], mean: f64) -> Option<Node> {
        let (mut best, mut lowest, mut ties) = (None, f64::INFINITY, 0);
        for &node in among {
            let load = self.load(node, mean);
            ties = if load < lowest { 1 } else { ties + u32::from(load == lowest) };
            if load < lowest || load == lowest && self.rng.rand_range(0..ties) == 0 {
                (best, lowest) = (Some(node), load);
            }
        }
        best
    }

    /// A refusal counts as over T, a cache not yet heard from as carrying the mean.
    fn load(&self, node: Node, mean: f64) -> f64 {
        let cache = &self.caches[node];
        match cache.load(self.now.saturating_sub(NEWS_LAST)) {
            load if self.now < cache.refuses_until => load + 2.0 * mean + T_FLOOR,
            load if cache.heard => load,
            load => load.max(mean),
        }
    }

    fn mean_load(&self) -> f64 {
        let then = self.now.saturating_sub(NEWS_LAST);
        let loads = self.caches.iter().filter(|cache| cache.serves()).map(|cache| cache.load(then));
        let (count, total) = loads.fold((0u32, 0.0), |(count, total), load| (count + 1, total + load));
        total / f64::from(count.max(1))
    }

    // ---- Misses and the origin ----------------------------------------------------------------

    fn wait_for_fetch(&mut self, xchg: Xchg) {
        let cx = &self.xchgs[&xchg];
        self.fetches.wait(cx.ask.key, xchg, cx.worth);
        self.hold_for_origin(xchg);
    }

    /// One fetch a key, the others wait for it; past the origin's bound a fetch waits in line.
    fn ask_origin(&mut self, xchg: Xchg) {
        let Some(origin) = self.origin.filter(|&node| self.may_take(xchg, node)) else {
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
        if self.has_room(origin) {
            return self.send(xchg, origin);
        }
        self.fetches.line_up(key, xchg, worth);
        self.hold_for_origin(xchg);
        self.shorten_line(origin);
    }

    /// The line is no longer than the origin's rate times an objective: the least worthy is shed.
    fn shorten_line(&mut self, origin: Node) {
        let most = self.caches[origin].answers.rate(self.now) * self.shortest as f64 / SECOND as f64;
        if self.fetches.in_line() as f64 > most.max(ORIGIN_FEW * self.few)
            && let Some(xchg) = self.fetches.least_worthy()
        {
            self.conclude(xchg);
        }
    }

    /// Lets the line into the origin: first the fetch whose answer is worth most, of those the latest.
    fn serve_line(&mut self) {
        let Some(origin) = self.origin else { return };
        while self.has_room(origin)
            && let Some(xchg) = self.fetches.take_worthiest()
        {
            self.ask_origin(xchg);
        }
    }

    /// After a fetch those that waited read the cache; if it came to nothing, the first of them fetches.
    fn end_fetch(&mut self, key: u64, fetched: bool) {
        let Some(Fetch { fills, mut waiting, .. }) = self.fetches.end(key) else { return };
        waiting.retain(|xchg| self.xchgs.get(xchg).is_some_and(Cx::held));
        let stands = self.origin.is_some_and(|node| self.caches[node].ready());
        if fetched || !stands || waiting.is_empty() {
            return waiting.into_iter().for_each(|waiter| self.place(waiter));
        }
        let worth = waiting.iter().map(|xchg| self.xchgs[xchg].worth).sum();
        let first = waiting.remove(0);
        self.fetches.start(key, Fetch { by: first, fills, worth, waiting });
        let cx = self.xchgs.get_mut(&first).expect("held exchanges are known");
        cx.fetching = true;
        if cx.missed().is_none() && self.may_take(first, fills) {
            self.send(first, fills);
        } else {
            self.ask_origin(first);
        }
    }

    // ---- Sending, trying again, answering -------------------------------------------------------

    fn send(&mut self, xchg: Xchg, node: Node) {
        let cx = self.xchgs.get_mut(&xchg).expect("placed exchanges are known");
        cx.start(self.now, node);
        self.caches[node].send(self.now, cx.ask.work());
        self.host.send(xchg, node, cx.ends().saturating_sub(self.now));
        self.tell_load(node);
    }

    /// Peers hear of a load that changed much.
    fn tell_load(&mut self, node: Node) {
        let cache = &mut self.caches[node];
        let news = cache.in_flight.abs_diff(cache.told) >= NEWS && !cache.listed.origin;
        if news && self.settings.flag("peers") {
            cache.told = cache.in_flight;
            self.host.tell_load(node, cache.in_flight);
        }
    }

    /// Nothing is out and the last try failed at this node.
    fn again(&mut self, xchg: Xchg, node: Node, outcome: Outcome) {
        let cx = &self.xchgs[&xchg];
        let at_origin = Some(node) == self.origin;
        let lost = outcome == Outcome::Unsent || at_origin && outcome == Outcome::Saturated;
        if lost || cx.under_way || self.now >= cx.ends() {
            self.conclude(xchg);
        } else if at_origin {
            self.ask_origin(xchg);
        } else {
            self.place(xchg);
        }
    }

    /// Whether the rules let this exchange go to this node now, and the node may be sent it.
    fn may_take(&self, xchg: Xchg, node: Node) -> bool {
        let (cx, cache) = (&self.xchgs[&xchg], &self.caches[node]);
        let here = |t: &Try| t.node == node && (t.out || !t.missed);
        let origin = cache.listed.origin && cache.ready();
        let takes = origin || cache.serves() && self.within_budget(cache, cx.ask.work());
        let most = || self.settings.number("most_tries", 1.0) as usize;
        let again = || cx.tries.len() < most() && self.may_repeat(cx, node);
        takes && (cx.tries.is_empty() || again() && (origin || !cx.tries.iter().any(here)))
    }

    /// Rule 2: no effect twice.
    fn may_repeat(&self, cx: &Cx, node: Node) -> bool {
        let Some(first) = cx.tries.iter().find(|t| t.may_have_run) else { return true };
        let route = &self.routes[cx.ask.route];
        let (here, there) = (&self.caches[node].listed, &self.caches[first.node].listed);
        match route.repeat {
            Repeat::Retriable => true,
            Repeat::NonRetriable => false,
            Repeat::Deduped(scope) => self.now < first.sent + route.window && here.shares(scope, there),
        }
    }

    /// The final answer, at once: shed where that is true, an error else.
    fn conclude(&mut self, xchg: Xchg) {
        let cx = self.xchgs.get_mut(&xchg).expect("concluded exchanges are known");
        cx.over = true;
        let harmless = match self.routes[cx.ask.route].repeat {
            Repeat::Retriable | Repeat::Deduped(Scope::Fleet) => true,
            _ => !cx.may_have_run(),
        };
        if harmless && !cx.under_way {
            self.host.shed(xchg, 0);
        } else {
            self.host.error(xchg);
        }
        self.settle(xchg, false);
    }

    /// An exchange with its answer is forgotten when the last of its tries ended.
    fn settle(&mut self, xchg: Xchg, fetched: bool) {
        let cx = self.xchgs.get_mut(&xchg).expect("settled exchanges are known");
        self.fetches.leave_line(cx.ask.key, xchg, cx.worth);
        let fetching = std::mem::take(&mut cx.fetching);
        let key = cx.ask.key.filter(|_| fetching);
        if cx.out() == 0 {
            self.xchgs.remove(&xchg);
            self.host.forget(xchg);
        } else if let Some(try_no) = cx.tries.iter().position(|t| t.out && Some(t.node) != self.origin)
            && self.settings.flag("cancel")
        {
            // A fetch goes on: its answer may be kept.
            self.host.withdraw(xchg, try_no);
        }
        key.into_iter().for_each(|key| self.end_fetch(key, fetched));
    }

    // ---- Waiting, and shedding what would wait too long ------------------------------------------

    /// Holds an exchange with nothing out, for so long since it arrived; then it is shed.
    fn hold(&mut self, xchg: Xchg, patience: Nanos) {
        let cx = self.xchgs.get_mut(&xchg).expect("held exchanges are known");
        cx.until = (cx.arrived + patience.min(cx.ask.grace)).max(self.now);
        self.host.wake(cx.until, xchg);
    }

    /// A wait for the origin leaves time for the fetch within the objective.
    fn hold_for_origin(&mut self, xchg: Xchg) {
        let objective = self.routes[self.xchgs[&xchg].ask.route].objective;
        let fetch = self.origin.and_then(|node| self.caches[node].answers.mean(self.now)).unwrap_or(0.0);
        let wait = objective.saturating_sub((1.5 * fetch * SECOND as f64) as u64);
        self.hold(xchg, wait.max(objective / PATIENCE));
    }

    /// No cache has room: surplus is shed. Within quota the origin serves if it has room; else the
    /// exchange waits, in a queue so short (rate times time) that waits mostly end in an answer.
    fn wait_for_room(&mut self, xchg: Xchg) {
        let Cx { arrived, ask, .. } = &self.xchgs[&xchg];
        let patience = self.routes[ask.route].objective / PATIENCE;
        let rates = self.caches.iter().filter(|c| c.serves()).map(|c| c.answers.rate(self.now));
        if self.surplus(ask.tenant) || self.now - arrived >= patience {
            self.conclude(xchg);
        } else if self.origin.is_some_and(|node| self.has_room(node)) {
            self.ask_origin(xchg);
        } else if self.queue.len() as f64 >= rates.sum::<f64>() * patience as f64 / SECOND as f64 {
            self.conclude(xchg);
        } else {
            self.hold(xchg, patience);
            self.queue.push_back(xchg);
        }
    }

    /// An outcome may have made room: the queue moves on.
    fn serve_queue(&mut self) {
        for _ in 0..self.queue.len() {
            let Some(xchg) = self.queue.pop_front() else { return };
            let Some(cx) = self.xchgs.get(&xchg).filter(|cx| cx.held()) else { continue };
            match self.pick(xchg, cx.ask.key) {
                Some(node) if !self.has_room(node) => self.queue.push_back(xchg),
                _ => return self.place(xchg),
            }
        }
    }

    /// What an answer is worth, in thousandths: a fetch costs the origin about the same for each.
    fn worth(&self, ask: &Ask) -> u64 {
        let part = if self.surplus(ask.tenant) { self.settings.number("surplus_payoff", 1.0) } else { 1.0 };
        (1000.0 * self.routes[ask.route].payoff * part) as u64
    }

    /// Guards nodes and the origin: a bound from what they do now would follow a queue up, a stall down.
    /// Little or shrunk room is rounded down: with many proxies the odd one more is many at the node.
    fn has_room(&self, node: Node) -> bool {
        let cache = &self.caches[node];
        let (times, few) = if cache.listed.origin { (ORIGIN_ROOM, ORIGIN_FEW) } else { (ROOM, 1.0) };
        let room = cache.squeeze * (times * cache.best).max(few * self.few);
        let little = room < 2.0 || cache.squeeze < 1.0;
        (cache.in_flight as f64) < if little { room.floor().max(1.0) } else { room }
    }

    /// Whether the tenant has had this proxy's part of its quota already and asks for more of it than
    /// the tenants do on average. The average guards against uneven proxies, where a part misleads.
    fn surplus(&self, tenant: Option<usize>) -> bool {
        let Some(tenant) = self.tenants.get(tenant) else { return false };
        let part = tenant.quota / self.settings.number("fleet", 1.0);
        tenant.served.rate(self.now) > UNEVEN * part
            && tenant.asked.rate(self.now) > self.tenants.usage * tenant.quota
    }

    // ---- Health ---------------------------------------------------------------------------------

    /// Rule 4: a cold node gets the part of normal work that it can surely do, or one exchange a window.
    fn within_budget(&self, cache: &Cache, work: f64) -> bool {
        let cold = self.settings.time("cold", 0);
        if cache.warm(self.now, cold) {
            return true;
        }
        let start = self.settings.number("start_capacity", 1.0);
        let part = start + (1.0 - start) * (cache.age(self.now) as f64 / cold as f64);
        let sent = cache.sent.sum(self.now);
        // One exchange a window passes, but not one that is heavy for a warm node: each proxy has one.
        let first = sent == 0.0 && (work <= self.normal || self.normal == 0.0);
        first || sent + work <= self.normal * part
    }

    fn learn(&mut self, node: Node, sent: Nanos, outcome: Outcome) {
        let cache = &mut self.caches[node];
        cache.end(self.now, sent, outcome);
        match outcome {
            Outcome::Completed | Outcome::Missed => {
                let failures = cache.failures.saturating_sub(1);
                (cache.refuses_until, cache.failures, cache.unreachable) = (0, failures, false);
            }
            Outcome::Saturated => cache.refuses_until = self.now + REFUSAL,
            Outcome::Withdrawn | Outcome::Unsent => {}
            Outcome::Overdue if cache.owes_since > sent => {}
            _ => {
                cache.failures += 1;
                cache.unreachable |= outcome == Outcome::Unreachable;
            }
        }
        if cache.failures >= FAILURES && cache.serves() && self.settings.flag("probes") {
            // Guards against nodes that fail quickly: their empty queues would attract load.
            cache.aside = Some(0);
            self.host.log(&format!("node {node} aside: {} failures, last {outcome:?}", cache.failures));
        }
        self.tell_load(node);
    }

    fn tick(&mut self) {
        self.host.wake(self.now + TICK, TICK_TOKEN);
        for node in 0..self.caches.len() {
            let cache = &mut self.caches[node];
            cache.measure(self.now, ENOUGH, SLOW);
            // Guards against nodes that stand still, or that connect and never answer.
            if cache.silent(self.now) > self.shortest / 2 {
                cache.refuses_until = self.now + REFUSAL;
            }
            if cache.aside.is_some() && cache.ready() && !cache.probing {
                cache.probing = true;
                self.host.probe(node);
            }
        }
        let (now, cold) = (self.now, self.settings.time("cold", 0));
        let warm = || self.caches.iter().filter(|cache| cache.serves() && cache.warm(now, cold));
        self.normal = warm().map(|cache| cache.sent.sum(now)).sum::<f64>() / warm().count().max(1) as f64;
        self.tenants.measure(now);
        if !self.following && self.settings.text("discovery") == "ask" {
            self.following = true;
            self.host.follow();
        }
    }
}
