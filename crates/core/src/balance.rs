//! Every decision of a proxy. Make a `Balance` with the settings, then call the method that is named
//! after what happened, with the time it happened at; it answers by calling the `Host` it was given.
//! The interface is the `pub fn`s below, the `Host` trait and the plain types in `host.rs`.
//!
//! The ordinary path (PRESS): `table` maps a key to its set of cache nodes. The set's least loaded
//! member serves; past the threshold T the least loaded cache of all joins the set. A member that
//! lacks the key says so, and the origin is asked. All else here is for when that goes wrong.

use crate::host::{Ask, Host, Listed, Nanos, Node, Outcome, Repeat, Scope, Standing, Xchg};
use crate::ring::Ring;
use crate::settings::Settings;
use crate::state::{Cache, Cx, Fetch, Member, Report, Route, Try};
use lru::LruCache;
use oorandom::Rand32;
use std::collections::{HashMap, VecDeque};
use std::num::NonZeroUsize;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1000 * MS;
/// T is this multiple of the mean load over the ready caches, and no less than its floor.
const T_FACTOR: f64 = 1.5;
const T_FLOOR: f64 = 2.0;
/// Keys in the table; members leave their set when unpicked for so long.
const TABLE_KEYS: NonZeroUsize = NonZeroUsize::new(1 << 16).unwrap();
const UNPICKED: Nanos = 10 * SECOND;
/// A change of load that peers hear of.
const NEWS: usize = 4;
/// A refusal counts as over T for so long.
const REFUSAL: Nanos = 100 * MS;
/// Failures in a row that set a node aside, and answered probes that bring it back.
const FAILURES: usize = 3;
const PROBES: usize = 2;
const TICK: Nanos = 100 * MS;
/// The wake-up token of the tick; exchanges count from 1.
const TICK_TOKEN: u64 = 0;

pub struct Balance<H: Host> {
    pub host: H,
    settings: Settings,
    rng: Rand32,
    routes: Vec<Route>,
    caches: Vec<Cache>,
    origin: Option<Node>,
    table: LruCache<u64, Vec<Member>>,
    xchgs: HashMap<Xchg, Cx>,
    fetches: HashMap<u64, Fetch>,
    /// Misses that wait for a place at the origin.
    line: VecDeque<Xchg>,
    /// Arrivals by tenant.
    asked: Vec<Ring>,
    following: bool,
}

impl<H: Host> Balance<H> {
    pub fn new(host: H, settings: Settings, seed: u64, now: Nanos) -> Self {
        let routes = Route::all(&settings);
        let tenants = settings.number("tenants", 0.0) as usize;
        let mut balance = Balance {
            host,
            rng: Rand32::new(seed),
            routes,
            caches: Vec::new(),
            origin: None,
            table: LruCache::new(TABLE_KEYS),
            xchgs: HashMap::new(),
            fetches: HashMap::new(),
            line: VecDeque::new(),
            asked: vec![Ring::new(2 * SECOND, 8); tenants],
            following: false,
            settings,
        };
        balance.host.wake(now + TICK, TICK_TOKEN);
        balance.follow();
        balance
    }

    // ---- What happens -------------------------------------------------------------------------

    pub fn arrived(&mut self, now: Nanos, xchg: Xchg, ask: Ask) {
        if let Some(ring) = ask.tenant.and_then(|tenant| self.asked.get_mut(tenant)) {
            ring.add(now, 1.0);
        }
        self.xchgs.insert(xchg, Cx::new(ask, now));
        self.place(now, xchg);
    }

    /// A try ended; `over` says that its exchange has its final answer.
    pub fn ended(&mut self, now: Nanos, xchg: Xchg, try_no: usize, outcome: Outcome, over: bool) {
        let Some(cx) = self.xchgs.get_mut(&xchg) else { return };
        let Some(this) = cx.tries.get_mut(try_no).filter(|t| t.out) else { return };
        this.out = false;
        this.may_have_run = !outcome.never_ran();
        cx.over |= over;
        let node = this.node;
        let sent = this.sent;
        if outcome == Outcome::Missed {
            cx.missed.push(node);
        }
        self.learn(now, node, sent, outcome);
        if Some(node) == self.origin {
            self.fetched(now, xchg, outcome);
        }
        match outcome {
            _ if self.xchgs[&xchg].over => self.settle(xchg),
            Outcome::Missed => self.miss(now, xchg),
            _ if self.xchgs[&xchg].out() > 0 => {}
            _ => self.again(now, xchg, outcome),
        }
    }

    /// The answer streams: the try now belongs to the client.
    pub fn under_way(&mut self, xchg: Xchg, try_no: usize) {
        let Some(cx) = self.xchgs.get_mut(&xchg) else { return };
        cx.under_way = true;
        self.withdraw_all(xchg, Some(try_no));
    }

    /// The client left.
    pub fn dropped(&mut self, xchg: Xchg) {
        let Some(cx) = self.xchgs.get_mut(&xchg) else { return };
        cx.over = true;
        self.settle(xchg);
    }

    pub fn woke(&mut self, now: Nanos, token: u64) {
        match token {
            TICK_TOKEN => self.tick(now),
            xchg => self.overslept(now, xchg),
        }
    }

    /// Discovery names a node.
    pub fn listed(&mut self, now: Nanos, node: Node, listed: Listed) {
        if node >= self.caches.len() {
            let peers = self.settings.number("fleet", 1.0) as usize;
            let window = self.settings.time("fall", SECOND);
            self.caches.resize(node + 1, Cache::new(peers, window));
        }
        let cache = &mut self.caches[node];
        if listed.started > cache.listed.started && listed.started + self.settings.time("cold", 0) > now {
            self.host
                .log(&format!("node {node} cold, started {} ms ago", (now - listed.started.min(now)) / MS));
        }
        cache.listed = Listed { started: listed.started.max(cache.listed.started), ..listed };
        if listed.origin {
            self.origin = Some(node);
        }
    }

    /// A complete list named these nodes only.
    pub fn listed_all(&mut self, named: &[Node]) {
        for (node, cache) in self.caches.iter_mut().enumerate() {
            if !named.contains(&node) {
                cache.listed.standing = Standing::Gone;
            }
        }
    }

    /// Discovery failed us, or broke off.
    pub fn list_failed(&mut self) {
        self.following = false;
    }

    /// A node told its load.
    pub fn reported(&mut self, now: Nanos, node: Node, in_flight: f64) {
        let Some(cache) = self.caches.get_mut(node) else { return };
        cache.report = Some(Report { at: now, in_flight: in_flight.max(0.0) as usize, own: cache.in_flight });
    }

    pub fn probed(&mut self, now: Nanos, node: Node, outcome: Outcome) {
        let Some(cache) = self.caches.get_mut(node) else { return };
        cache.probing = false;
        let Some(answered) = &mut cache.aside else { return };
        *answered = if outcome == Outcome::Completed { *answered + 1 } else { 0 };
        if *answered >= PROBES {
            self.bring_back(now, node);
        }
    }

    /// A peer told news: loads of nodes, or a cache that joined a set.
    pub fn peer_said(&mut self, now: Nanos, peer: usize, news: &str) {
        let mut words = news.split(' ');
        let number = |word: Option<&str>| word.and_then(|word| u64::from_str_radix(word, 16).ok());
        let (Some(kind), Some(node), Some(figure), None) =
            (words.next(), number(words.next()), number(words.next()), words.next())
        else {
            return;
        };
        let Some(node) = self.caches.iter().position(|cache| cache.listed.identity >> 32 == node) else {
            return;
        };
        match kind {
            "l" if peer < self.caches[node].peers.len() => self.caches[node].peers[peer] = figure as usize,
            "s" if self.usable(now, node) => {
                self.join(now, figure, node);
            }
            _ => {}
        }
    }

    // ---- The ordinary path --------------------------------------------------------------------

    /// Finds a cache for the exchange and sends it there.
    fn place(&mut self, now: Nanos, xchg: Xchg) {
        let ask = self.xchgs[&xchg].ask;
        if ask.write && self.origin.is_some() {
            return self.ask_origin(now, xchg);
        }
        match self.pick(now, xchg, ask.key) {
            None if self.origin.is_some() => self.ask_origin(now, xchg),
            None => self.conclude(now, xchg),
            Some(node) if self.filling(ask.key, node) => self.wait_for_fetch(now, xchg),
            Some(node) if self.too_long(now, xchg, node) => self.conclude(now, xchg),
            Some(node) => self.send(now, xchg, node),
        }
    }

    /// The set's least loaded member; past T, the least loaded cache overall joins it.
    fn pick(&mut self, now: Nanos, xchg: Xchg, key: Option<u64>) -> Option<Node> {
        let all: Vec<Node> = (0..self.caches.len()).filter(|&n| self.may_take(now, xchg, n)).collect();
        let Some(key) = key else { return self.least(now, &all) };
        let set = self.set(now, key);
        let set: Vec<Node> = set.into_iter().filter(|n| all.contains(n)).collect();
        let threshold = self.threshold(now);
        let mut chosen = match self.least(now, &set) {
            Some(member) => member,
            None => self.seed(now, key, &all)?,
        };
        if self.load(now, chosen) > threshold
            && let Some(joins) = self.least(now, &all)
            && self.load(now, joins) < threshold
        {
            chosen = joins;
        }
        if self.join(now, key, chosen) && self.settings.flag("peers") {
            let identity = self.caches[chosen].listed.identity >> 32;
            self.host.tell(&format!("s {identity:x} {key:x}"));
        }
        Some(chosen)
    }

    /// The key's set, without members that failed, drain or went unpicked.
    fn set(&mut self, now: Nanos, key: u64) -> Vec<Node> {
        let caches = &self.caches;
        let Some(set) = self.table.get_mut(&key) else { return Vec::new() };
        set.retain(|m| now < m.picked + UNPICKED && caches[m.node].ready() && caches[m.node].aside.is_none());
        set.iter().map(|member| member.node).collect()
    }

    /// Puts a cache in the key's set, or marks it picked; says whether it is new there.
    fn join(&mut self, now: Nanos, key: u64, node: Node) -> bool {
        let set = self.table.get_or_insert_mut(key, Vec::new);
        if let Some(member) = set.iter_mut().find(|member| member.node == node) {
            member.picked = now;
            return false;
        }
        set.push(Member { node, picked: now });
        true
    }

    /// The less busy of the key's two highest rendezvous-hash caches.
    fn seed(&mut self, now: Nanos, key: u64, among: &[Node]) -> Option<Node> {
        let mut ranked: Vec<(u64, Node)> =
            among.iter().map(|&n| (rendezvous(key, self.caches[n].listed.identity), n)).collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let two: Vec<Node> = ranked.iter().take(2).map(|&(_, node)| node).collect();
        self.least(now, &two)
    }

    /// The least loaded of these, ties broken at random.
    fn least(&mut self, now: Nanos, among: &[Node]) -> Option<Node> {
        let (mut best, mut lowest, mut ties) = (None, f64::INFINITY, 0);
        for &node in among {
            let load = self.load(now, node);
            ties = if load < lowest { 1 } else { ties + u32::from(load == lowest) };
            if load < lowest || load == lowest && self.rng.rand_range(0..ties) == 0 {
                (best, lowest) = (Some(node), load);
            }
        }
        best
    }

    /// Exchanges in flight at a cache: as it reported, plus own sends since; else own and peers'.
    fn load(&self, now: Nanos, node: Node) -> f64 {
        let cache = &self.caches[node];
        if now < cache.refused + REFUSAL && cache.refused > 0 {
            return self.threshold(now) + 1.0 + cache.in_flight as f64;
        }
        self.plain_load(now, cache)
    }

    fn plain_load(&self, now: Nanos, cache: &Cache) -> f64 {
        match cache.report {
            Some(report) if now < report.at + SECOND => {
                (report.in_flight + cache.in_flight).saturating_sub(report.own).max(cache.in_flight) as f64
            }
            _ => (cache.in_flight + cache.peers.iter().sum::<usize>()) as f64,
        }
    }

    fn threshold(&self, now: Nanos) -> f64 {
        let ready = || self.caches.iter().filter(|cache| cache.ready() && cache.aside.is_none());
        let total: f64 = ready().map(|cache| self.plain_load(now, cache)).sum();
        (T_FACTOR * total / ready().count().max(1) as f64).max(T_FLOOR)
    }

    // ---- Misses and the origin ----------------------------------------------------------------

    fn miss(&mut self, now: Nanos, xchg: Xchg) {
        let cx = &self.xchgs[&xchg];
        if cx.out() > 0 {
            return;
        }
        if cx.ask.key.is_some_and(|key| self.fetches.contains_key(&key)) {
            return self.wait_for_fetch(now, xchg);
        }
        self.ask_origin(now, xchg);
    }

    /// Whether this node is about to get the key from the origin.
    fn filling(&self, key: Option<u64>, node: Node) -> bool {
        key.and_then(|key| self.fetches.get(&key)).is_some_and(|fetch| fetch.fills == node)
    }

    fn wait_for_fetch(&mut self, now: Nanos, xchg: Xchg) {
        let Some(key) = self.xchgs[&xchg].ask.key else { return };
        if let Some(fetch) = self.fetches.get_mut(&key) {
            fetch.waiting.push(xchg);
        }
        self.hold(now, xchg);
    }

    /// One fetch a key; others wait for it. Past the origin's bound the exchange waits in line.
    fn ask_origin(&mut self, now: Nanos, xchg: Xchg) {
        let Some(origin) = self.origin.filter(|&n| self.caches[n].listed.standing == Standing::Ready) else {
            return self.conclude(now, xchg);
        };
        let cx = self.xchgs.get_mut(&xchg).expect("placed exchanges are known");
        if let (Some(key), Some(&fills), false) = (cx.ask.key, cx.missed.first(), cx.fetching) {
            cx.fetching = true;
            self.fetches.insert(key, Fetch { fills, waiting: Vec::new() });
        }
        if self.caches[origin].in_flight < self.origin_bound(now, origin) {
            return self.send(now, xchg, origin);
        }
        self.line.push_back(xchg);
        self.hold(now, xchg);
    }

    /// What may be in flight is bounded by rate times time, as measured.
    fn origin_bound(&self, now: Nanos, origin: Node) -> usize {
        let shortest = self.routes.iter().map(|route| route.objective).min().unwrap_or(SECOND);
        let bound = self.caches[origin].answers.rate(now) * shortest as f64 / SECOND as f64 / 2.0;
        (bound as usize).max(4)
    }

    /// A fetch ended: those that waited for it read the cache; after a failure the first of them fetches.
    fn fetched(&mut self, now: Nanos, xchg: Xchg, outcome: Outcome) {
        let cx = self.xchgs.get_mut(&xchg).expect("ended exchanges are known");
        if cx.fetching && (outcome == Outcome::Completed || cx.over) {
            self.end_fetch(now, xchg);
        }
        while let Some(&first) = self.line.front() {
            let Some(origin) = self.origin else { return };
            if self.caches[origin].in_flight >= self.origin_bound(now, origin) {
                return;
            }
            self.line.pop_front();
            if self.xchgs.get(&first).is_some_and(|cx| !cx.over && cx.out() == 0) {
                self.ask_origin(now, first);
            }
        }
    }

    fn end_fetch(&mut self, now: Nanos, xchg: Xchg) {
        let cx = self.xchgs.get_mut(&xchg).expect("fetching exchanges are known");
        cx.fetching = false;
        let Some(fetch) = cx.ask.key.and_then(|key| self.fetches.remove(&key)) else { return };
        for waiter in fetch.waiting {
            if self.xchgs.get(&waiter).is_some_and(|cx| !cx.over && cx.out() == 0) {
                self.place(now, waiter);
            }
        }
    }

    // ---- Sending, trying again, answering -------------------------------------------------------

    fn send(&mut self, now: Nanos, xchg: Xchg, node: Node) {
        let cx = self.xchgs.get_mut(&xchg).expect("placed exchanges are known");
        cx.tries.push(Try { node, sent: now, out: true, may_have_run: true });
        let cache = &mut self.caches[node];
        cache.in_flight += 1;
        cache.sent.add(now, 1.0);
        self.host.send(xchg, node, cx.ends().saturating_sub(now));
        self.tell_load(node);
    }

    /// Peers hear of a load that changed much.
    fn tell_load(&mut self, node: Node) {
        let cache = &mut self.caches[node];
        if cache.in_flight.abs_diff(cache.told) >= NEWS && self.settings.flag("peers") && !cache.listed.origin
        {
            cache.told = cache.in_flight;
            self.host.tell(&format!("l {:x} {:x}", cache.listed.identity >> 32, cache.in_flight));
        }
    }

    /// All tries failed so far.
    fn again(&mut self, now: Nanos, xchg: Xchg, outcome: Outcome) {
        let cx = &self.xchgs[&xchg];
        let last = cx.tries.last().map(|t| t.node);
        if outcome == Outcome::Unsent || now >= cx.ends() || cx.under_way {
            self.conclude(now, xchg)
        } else if last != self.origin {
            self.place_again(now, xchg)
        } else if outcome == Outcome::Saturated {
            self.conclude(now, xchg)
        } else if self.may_take(now, xchg, last.expect("a try ended")) {
            self.ask_origin(now, xchg)
        } else {
            self.conclude(now, xchg)
        }
    }

    fn place_again(&mut self, now: Nanos, xchg: Xchg) {
        self.place(now, xchg)
    }

    /// Whether the rules let this exchange go to this node now, and the node may be sent it.
    fn may_take(&self, now: Nanos, xchg: Xchg, node: Node) -> bool {
        let cx = &self.xchgs[&xchg];
        if cx.tries.len() >= self.settings.number("most_tries", 1.0) as usize {
            return false;
        }
        let failed_here = cx.tries.iter().any(|t| t.node == node && !cx.missed.contains(&node));
        let usable = if Some(node) == self.origin {
            self.caches[node].listed.standing == Standing::Ready
        } else {
            !failed_here && self.usable(now, node)
        };
        usable && self.may_repeat(now, cx, node)
    }

    /// Rule 2: no effect twice.
    fn may_repeat(&self, now: Nanos, cx: &Cx, node: Node) -> bool {
        let Some(first) = cx.tries.iter().find(|t| t.may_have_run) else { return true };
        let route = &self.routes[cx.ask.route];
        let (here, there) = (&self.caches[node].listed, &self.caches[first.node].listed);
        match route.repeat {
            Repeat::Retriable => true,
            Repeat::NonRetriable => false,
            Repeat::Deduped(_) if now >= first.sent + route.window => false,
            Repeat::Deduped(Scope::Fleet) => true,
            Repeat::Deduped(Scope::Zone) => here.zone == there.zone,
            Repeat::Deduped(Scope::Cell) => here.cell == there.cell,
        }
    }

    /// The final answer, at once: shed where that is true, an error else.
    fn conclude(&mut self, now: Nanos, xchg: Xchg) {
        let cx = self.xchgs.get_mut(&xchg).expect("concluded exchanges are known");
        cx.over = true;
        let harmless = match self.routes[cx.ask.route].repeat {
            Repeat::Retriable | Repeat::Deduped(Scope::Fleet) => true,
            _ => !cx.tries.iter().any(|t| t.may_have_run),
        };
        if harmless && !cx.under_way {
            self.host.shed(xchg, 0);
        } else {
            self.host.error(xchg);
        }
        if cx.fetching && cx.out() == 0 {
            self.end_fetch(now, xchg);
        }
        self.settle(xchg);
    }

    /// An exchange that has its answer is forgotten when the last of its tries ended.
    fn settle(&mut self, xchg: Xchg) {
        if self.xchgs[&xchg].out() == 0 {
            self.xchgs.remove(&xchg);
            self.host.forget(xchg);
        } else {
            self.withdraw_all(xchg, None);
        }
    }

    fn withdraw_all(&mut self, xchg: Xchg, but: Option<usize>) {
        if !self.settings.flag("cancel") {
            return;
        }
        for (try_no, this) in self.xchgs[&xchg].tries.iter().enumerate() {
            if this.out && Some(try_no) != but && Some(this.node) != self.origin {
                self.host.withdraw(xchg, try_no);
            }
        }
    }

    // ---- Waiting, and shedding what would wait too long ------------------------------------------

    /// Holds an exchange with nothing out; it is shed when the objective is out of reach.
    fn hold(&mut self, now: Nanos, xchg: Xchg) {
        let cx = &self.xchgs[&xchg];
        let patience = (self.routes[cx.ask.route].objective * 4 / 5).min(cx.ask.grace);
        self.host.wake((cx.arrived + patience).max(now), xchg);
    }

    fn overslept(&mut self, now: Nanos, xchg: Xchg) {
        if self.xchgs.get(&xchg).is_some_and(|cx| !cx.over && cx.out() == 0) {
            self.conclude(now, xchg);
        }
    }

    /// Whether this proxy's exchanges at the node already wait past the objective.
    fn too_long(&self, now: Nanos, xchg: Xchg, node: Node) -> bool {
        let cx = &self.xchgs[&xchg];
        let cache = &self.caches[node];
        let wait = cache.in_flight as f64 / cache.answers.rate(now).max(1.0);
        let objective = self.routes[cx.ask.route].objective as f64 / SECOND as f64;
        let part = if self.surplus(now, cx.ask.tenant) { 0.4 } else { 0.9 };
        cache.in_flight >= 4 && wait > objective * part
    }

    /// Whether the tenant asks for more than its quota, judged from this proxy's part of the traffic.
    fn surplus(&self, now: Nanos, tenant: Option<usize>) -> bool {
        let Some(ring) = tenant.and_then(|tenant| self.asked.get(tenant)) else { return false };
        let quota = self.settings.number(&format!("tenant.{}.quota", tenant.unwrap_or(0)), f64::INFINITY);
        ring.rate(now) * self.settings.number("fleet", 1.0) > quota
    }

    // ---- Health ---------------------------------------------------------------------------------

    /// Ready, not set aside, and within its cold budget.
    fn usable(&self, now: Nanos, node: Node) -> bool {
        let cache = &self.caches[node];
        cache.ready() && cache.aside.is_none() && self.within_cold_budget(now, cache)
    }

    /// Guards a node that just started: all proxies together may only send what it can take.
    fn within_cold_budget(&self, now: Nanos, cache: &Cache) -> bool {
        let cold = self.settings.time("cold", 0);
        let age = now.saturating_sub(cache.listed.started);
        if cache.listed.started == 0 || age >= cold {
            return true;
        }
        let start = self.settings.number("start_capacity", 1.0);
        let part = start + (1.0 - start) * age as f64 / cold as f64;
        let warm = |c: &&Cache| c.ready() && now.saturating_sub(c.listed.started) >= cold;
        let (count, total) = self
            .caches
            .iter()
            .filter(warm)
            .fold((0, 0.0), |(count, total), c| (count + 1, total + c.sent.sum(now)));
        let normal = total / f64::from(count.max(1));
        cache.sent.sum(now) + 1.0 <= (normal * part).max(1.0)
    }

    /// What an outcome tells of its node.
    fn learn(&mut self, now: Nanos, node: Node, sent: Nanos, outcome: Outcome) {
        let cache = &mut self.caches[node];
        cache.in_flight = cache.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Completed | Outcome::Missed => {
                cache.answers.add(now, 1.0);
                cache.answered = now;
                cache.refused = 0;
                cache.failures = 0;
            }
            Outcome::Saturated => cache.refused = now,
            Outcome::Overdue if cache.answered >= sent => {}
            Outcome::Withdrawn | Outcome::Unsent => {}
            _ => {
                cache.failures += 1;
                cache.unreachable |= outcome == Outcome::Unreachable;
            }
        }
        self.tell_load(node);
        if self.caches[node].failures >= FAILURES && self.caches[node].ready() {
            self.set_aside(now, node, outcome);
        }
    }

    /// Guards against nodes that fail quickly: their empty queues would attract load.
    fn set_aside(&mut self, now: Nanos, node: Node, outcome: Outcome) {
        let cache = &mut self.caches[node];
        if cache.aside.is_some() || !self.settings.flag("probes") {
            return;
        }
        cache.aside = Some(0);
        let silent = now.saturating_sub(cache.answered) / MS;
        self.host.log(&format!(
            "node {node} aside: {} failures, last {outcome:?}, no answer for {silent} ms",
            cache.failures
        ));
    }

    fn bring_back(&mut self, now: Nanos, node: Node) {
        let cache = &mut self.caches[node];
        cache.aside = None;
        cache.failures = 0;
        if cache.unreachable {
            // It was down: it may have restarted cold before the list says so.
            cache.listed.started = now;
            cache.unreachable = false;
        }
        self.host.log(&format!("node {node} back after {PROBES} probes"));
    }

    fn tick(&mut self, now: Nanos) {
        self.host.wake(now + TICK, TICK_TOKEN);
        for (node, cache) in self.caches.iter_mut().enumerate() {
            if cache.aside.is_some() && cache.ready() && !cache.probing {
                cache.probing = true;
                self.host.probe(node);
            }
        }
        if !self.following && (now / TICK).is_multiple_of(10) {
            self.follow();
        }
    }

    /// Keeps a subscription to the list where discovery must be asked.
    fn follow(&mut self) {
        self.following = true;
        if self.settings.flag("ask_for_list") {
            self.host.follow();
        }
    }
}

/// How high a cache ranks for a key; alike at every proxy.
fn rendezvous(key: u64, identity: u64) -> u64 {
    let mut mixed = key ^ identity;
    for factor in [0xff51_afd7_ed55_8ccd, 0xc4ce_b9fe_1a85_ec53] {
        mixed = (mixed ^ (mixed >> 33)).wrapping_mul(factor);
    }
    mixed ^ (mixed >> 33)
}
