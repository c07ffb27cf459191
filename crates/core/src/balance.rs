//! Every decision of a proxy. Make a `Balance` with the settings, then call the method that is named
//! after what happened, with the time it happened at; it acts by calling the `Host` it was given.
//! The interface is the `pub fn`s below, the `Host` trait and the plain types in `host.rs`.
//!
//! The ordinary path (PRESS): `table` maps a key to its set of cache nodes. The set's least loaded
//! member serves; past the threshold T the least loaded cache of all joins the set. A member that
//! lacks the key says so, and the origin is asked. All else here is for when that goes wrong.

use crate::host::{Ask, Host, Listed, Nanos, Node, Outcome, Repeat, Scope, Standing, Xchg};
use crate::ring::Ring;
use crate::settings::Settings;
use crate::state::{Cache, Cx, Fetch, Report, Route, Try};
use crate::table::{Table, rendezvous};
use oorandom::Rand32;
use std::collections::HashMap;
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
/// How long a refusal counts as over T.
const REFUSAL: Nanos = 100 * MS;
/// Failures in a row that set a node aside, and answered probes that bring it back.
const FAILURES: usize = 3;
const PROBES: usize = 2;
/// In flight at a node without measuring: enough to see its rate.
const FEW: usize = 4;
/// Measured buckets need so many answers to count.
const ENOUGH: u32 = 10;
/// Room to find out that a node can do more than it was asked.
const GAIN: f64 = 1.5;
const TICK: Nanos = 100 * MS;
/// The wake-up token of the tick; exchanges count from 1.
const TICK_TOKEN: u64 = 0;

pub struct Balance<H: Host> {
    pub host: H,
    settings: Settings,
    rng: Rand32,
    routes: Vec<Route>,
    shortest: Nanos,
    caches: Vec<Cache>,
    origin: Option<Node>,
    table: Table,
    xchgs: HashMap<Xchg, Cx>,
    fetches: HashMap<u64, Fetch>,
    /// Misses that wait for a place at the origin.
    line: Vec<Xchg>,
    /// Arrivals by tenant.
    asked: Vec<Ring>,
    /// What a warm cache is sent over the cold budget's window, on average.
    normal: f64,
    /// What may be in flight at the origin.
    origin_bound: usize,
    following: bool,
}

impl<H: Host> Balance<H> {
    pub fn new(host: H, settings: Settings, seed: u64, now: Nanos) -> Self {
        let routes = Route::all(&settings);
        let mut balance = Balance {
            host,
            rng: Rand32::new(seed),
            shortest: routes.iter().map(|route| route.objective).min().unwrap_or(SECOND),
            routes,
            caches: Vec::new(),
            origin: None,
            table: Table::new(TABLE_KEYS, UNPICKED),
            xchgs: HashMap::new(),
            fetches: HashMap::new(),
            line: Vec::new(),
            asked: vec![Ring::new(2 * SECOND, 8); settings.number("tenants", 0.0) as usize],
            normal: 0.0,
            origin_bound: FEW,
            following: false,
            settings,
        };
        balance.tick(now);
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
        this.missed = outcome == Outcome::Missed;
        this.may_have_run = !outcome.never_ran();
        cx.over |= over;
        let (node, sent, held) = (this.node, this.sent, cx.held());
        self.learn(now, node, sent, outcome);
        if over {
            self.settle(now, xchg, outcome == Outcome::Completed);
        } else if held && outcome == Outcome::Missed {
            self.ask_origin(now, xchg);
        } else if held {
            self.again(now, xchg, node, outcome);
        }
        self.serve_line(now);
    }

    /// The answer streams: the try now belongs to the client.
    pub fn under_way(&mut self, xchg: Xchg, try_no: usize) {
        let Some(cx) = self.xchgs.get_mut(&xchg) else { return };
        cx.under_way = true;
        self.withdraw(xchg, Some(try_no));
    }

    /// The client left.
    pub fn dropped(&mut self, now: Nanos, xchg: Xchg) {
        let Some(cx) = self.xchgs.get_mut(&xchg) else { return };
        cx.over = true;
        self.settle(now, xchg, false);
    }

    pub fn woke(&mut self, now: Nanos, token: u64) {
        match token {
            TICK_TOKEN => self.tick(now),
            xchg if self.xchgs.get(&xchg).is_some_and(Cx::held) => self.out_of_patience(now, xchg),
            xchg => self.unanswered(now, xchg),
        }
    }

    /// Discovery names a node.
    pub fn listed(&mut self, now: Nanos, node: Node, listed: Listed) {
        if node >= self.caches.len() {
            let peers = self.settings.number("fleet", 1.0) as usize;
            self.caches.resize(node + 1, Cache::new(peers, self.settings.time("fall", SECOND)));
        }
        let cache = &mut self.caches[node];
        let started = listed.started.max(cache.listed.started);
        if started > cache.listed.started && started + self.settings.time("cold", 0) > now {
            let age = now.saturating_sub(started) / MS;
            self.host
                .log(&format!("node {node} cold: started {age} ms ago, warm nodes take {}", self.normal));
        }
        cache.listed = Listed { started, ..listed };
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

    /// A call to discovery failed, or the subscription broke off.
    pub fn list_failed(&mut self) {
        self.following = false;
    }

    /// A node told its load.
    pub fn reported(&mut self, now: Nanos, node: Node, in_flight: f64) {
        let Some(cache) = self.caches.get_mut(node) else { return };
        cache.heard = true;
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

    pub fn peer_load(&mut self, peer: usize, node: Node, in_flight: usize) {
        if let Some(told) = self.caches.get_mut(node).and_then(|cache| cache.peers.get_mut(peer)) {
            *told = in_flight;
        }
    }

    pub fn peer_joined(&mut self, now: Nanos, node: Node, key: u64) {
        if node < self.caches.len() && self.usable(now, node, 0.0) {
            self.table.pick(now, key, node);
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
            Some(node) if self.filling(ask.key, node) => self.wait_for_fetch(now, xchg),
            Some(node) if self.has_room(now, xchg, node) => self.send(now, xchg, node),
            None if self.origin.is_some() => self.ask_origin(now, xchg),
            _ => self.conclude(now, xchg),
        }
    }

    /// The set's least loaded member; past T, the least loaded cache overall joins it.
    fn pick(&mut self, now: Nanos, xchg: Xchg, key: Option<u64>) -> Option<Node> {
        let all: Vec<Node> = (0..self.caches.len()).filter(|&n| self.may_take(now, xchg, n)).collect();
        let mean = self.mean_load();
        let Some(key) = key else { return self.least(now, &all, mean) };
        let caches = &self.caches;
        let mut set = self.table.set(now, key, |n| caches[n].ready() && caches[n].aside.is_none());
        set.retain(|n| all.contains(n));
        let mut chosen = match self.least(now, &set, mean) {
            Some(member) => member,
            None => self.seed(now, key, &all, mean)?,
        };
        let threshold = (T_FACTOR * mean).max(T_FLOOR);
        if self.load(now, chosen, mean) > threshold
            && let Some(joins) = self.least(now, &all, mean)
            && self.load(now, joins, mean) < threshold
        {
            chosen = joins;
        }
        if self.table.pick(now, key, chosen) && self.settings.flag("peers") {
            self.host.tell_joined(chosen, key);
        }
        Some(chosen)
    }

    /// The less busy of the key's two highest rendezvous-hash caches.
    fn seed(&mut self, now: Nanos, key: u64, among: &[Node], mean: f64) -> Option<Node> {
        let rank = |&node: &Node| std::cmp::Reverse(rendezvous(key, self.caches[node].listed.identity));
        let mut ranked = among.to_vec();
        ranked.sort_by_cached_key(rank);
        ranked.truncate(2);
        self.least(now, &ranked, mean)
    }

    /// The least loaded of these, ties broken at random.
    fn least(&mut self, now: Nanos, among: &[Node], mean: f64) -> Option<Node> {
        let (mut best, mut lowest, mut ties) = (None, f64::INFINITY, 0);
        for &node in among {
            let load = self.load(now, node, mean);
            ties = if load < lowest { 1 } else { ties + u32::from(load == lowest) };
            if load < lowest || load == lowest && self.rng.rand_range(0..ties) == 0 {
                (best, lowest) = (Some(node), load);
            }
        }
        best
    }

    /// A refusal counts as over T, a cache not yet heard from as carrying the mean.
    fn load(&self, now: Nanos, node: Node, mean: f64) -> f64 {
        let cache = &self.caches[node];
        let load = known_load(cache);
        if now < cache.refuses_until {
            load + 2.0 * mean + T_FLOOR
        } else if cache.heard {
            load
        } else {
            load.max(mean)
        }
    }

    fn mean_load(&self) -> f64 {
        let ready = |cache: &&Cache| cache.ready() && !cache.listed.origin && cache.aside.is_none();
        let (count, total) = self
            .caches
            .iter()
            .filter(ready)
            .fold((0u32, 0.0), |(n, total), c| (n + 1, total + known_load(c)));
        total / f64::from(count.max(1))
    }

    // ---- Misses and the origin ----------------------------------------------------------------

    /// Whether this node is about to get the key from the origin.
    fn filling(&self, key: Option<u64>, node: Node) -> bool {
        key.and_then(|key| self.fetches.get(&key)).is_some_and(|fetch| fetch.fills == node)
    }

    fn wait_for_fetch(&mut self, now: Nanos, xchg: Xchg) {
        if let Some(fetch) = self.xchgs[&xchg].ask.key.and_then(|key| self.fetches.get_mut(&key)) {
            fetch.waiting.push(xchg);
        }
        self.hold(now, xchg);
    }

    /// One fetch a key, the others wait for it; past the origin's bound a fetch waits in line.
    fn ask_origin(&mut self, now: Nanos, xchg: Xchg) {
        let Some(origin) = self.origin.filter(|&n| self.may_take(now, xchg, n)) else {
            return self.conclude(now, xchg);
        };
        let cx = self.xchgs.get_mut(&xchg).expect("placed exchanges are known");
        if let (Some(key), Some(fills), false) = (cx.ask.key, cx.missed(), cx.fetching) {
            if self.fetches.contains_key(&key) {
                return self.wait_for_fetch(now, xchg);
            }
            cx.fetching = true;
            self.fetches.insert(key, Fetch { fills, waiting: Vec::new() });
        }
        if self.caches[origin].in_flight < self.origin_bound {
            return self.send(now, xchg, origin);
        }
        self.line.push(xchg);
        self.hold(now, xchg);
    }

    /// Guards the origin: what may be in flight is bounded by rate times time, as measured.
    fn origin_bound(&self, now: Nanos, origin: Node) -> usize {
        let minute = &self.caches[origin].minute;
        let bound = GAIN * minute.peak_rate(now) * minute.least_mean(now, ENOUGH).unwrap_or(0.0);
        (bound as usize).max(FEW)
    }

    /// Lets the line into the origin: first who brings an answer to most, of those the latest.
    fn serve_line(&mut self, now: Nanos) {
        let Some(origin) = self.origin else { return };
        while !self.line.is_empty() && self.caches[origin].in_flight < self.origin_bound {
            let worth = |xchg: &Xchg| {
                let key = self.xchgs.get(xchg).and_then(|cx| cx.ask.key);
                key.and_then(|key| self.fetches.get(&key)).map_or(0, |fetch| fetch.waiting.len())
            };
            let best = (0..self.line.len()).max_by_key(|&at| (worth(&self.line[at]), at)).unwrap_or(0);
            let xchg = self.line.remove(best);
            if self.xchgs.get(&xchg).is_some_and(Cx::held) {
                self.ask_origin(now, xchg);
            }
        }
    }

    /// After a fetch those that waited read the cache; if it came to nothing, the first of them fetches.
    fn end_fetch(&mut self, now: Nanos, key: u64, fetched: bool) {
        let Some(fetch) = self.fetches.remove(&key) else { return };
        let mut waiting =
            fetch.waiting.into_iter().filter(|x| self.xchgs.get(x).is_some_and(Cx::held)).collect::<Vec<_>>();
        if !fetched && !waiting.is_empty() {
            let first = waiting.remove(0);
            self.fetches.insert(key, Fetch { fills: fetch.fills, waiting });
            let cx = self.xchgs.get_mut(&first).expect("waiting exchanges are known");
            cx.fetching = true;
            if cx.missed().is_none() && self.may_take(now, first, fetch.fills) {
                self.send(now, first, fetch.fills);
            } else {
                self.ask_origin(now, first);
            }
            return;
        }
        for waiter in waiting {
            self.place(now, waiter);
        }
    }

    // ---- Sending, trying again, answering -------------------------------------------------------

    fn send(&mut self, now: Nanos, xchg: Xchg, node: Node) {
        let cx = self.xchgs.get_mut(&xchg).expect("placed exchanges are known");
        cx.tries.push(Try { node, sent: now, out: true, missed: false, may_have_run: true });
        let cache = &mut self.caches[node];
        if cache.in_flight == 0 {
            cache.owes_since = now;
        }
        cache.in_flight += 1;
        cache.sent.add(now, work(&cx.ask));
        self.host.send(xchg, node, cx.ends().saturating_sub(now));
        self.host.wake(now + self.routes[cx.ask.route].objective / 2, xchg);
        self.tell_load(node);
    }

    /// Peers hear of a load that changed much.
    fn tell_load(&mut self, node: Node) {
        let cache = &mut self.caches[node];
        if cache.in_flight.abs_diff(cache.told) >= NEWS && self.settings.flag("peers") && !cache.listed.origin
        {
            cache.told = cache.in_flight;
            self.host.tell_load(node, cache.in_flight);
        }
    }

    /// Nothing is out and the last try failed at this node.
    fn again(&mut self, now: Nanos, xchg: Xchg, node: Node, outcome: Outcome) {
        let cx = &self.xchgs[&xchg];
        let lost = outcome == Outcome::Unsent || now >= cx.ends() || cx.under_way;
        if lost || Some(node) == self.origin && outcome == Outcome::Saturated {
            self.conclude(now, xchg)
        } else if Some(node) == self.origin {
            self.ask_origin(now, xchg)
        } else {
            self.place(now, xchg)
        }
    }

    /// A try has been out for long. Guards against nodes that connected and never answer.
    fn unanswered(&mut self, now: Nanos, xchg: Xchg) {
        let Some(cx) = self.xchgs.get(&xchg).filter(|cx| !cx.over && !cx.under_way && cx.out() == 1) else {
            return;
        };
        let Some((try_no, last)) = cx.tries.iter().enumerate().find(|(_, t)| t.out) else { return };
        let late = now < last.sent + self.routes[cx.ask.route].objective / 2;
        if late || Some(last.node) == self.origin || self.caches[last.node].silent(now) < self.shortest / 2 {
            return;
        }
        if !self.settings.flag("second_copies") {
            if self.settings.flag("cancel") {
                self.host.withdraw(xchg, try_no);
            }
            return;
        }
        if let Some(node) = self.pick(now, xchg, cx.ask.key).filter(|&n| self.has_room(now, xchg, n)) {
            self.send(now, xchg, node);
        }
    }

    /// Whether the rules let this exchange go to this node now, and the node may be sent it.
    fn may_take(&self, now: Nanos, xchg: Xchg, node: Node) -> bool {
        let cx = &self.xchgs[&xchg];
        let usable = if Some(node) == self.origin {
            self.caches[node].ready()
        } else {
            cx.tries.iter().all(|t| t.node != node || t.missed && !t.out)
                && self.usable(now, node, work(&cx.ask))
        };
        usable
            && cx.tries.len() < self.settings.number("most_tries", 1.0) as usize
            && self.may_repeat(now, cx, node)
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
        self.settle(now, xchg, false);
    }

    /// An exchange with its answer is forgotten when the last of its tries ended.
    fn settle(&mut self, now: Nanos, xchg: Xchg, fetched: bool) {
        let cx = self.xchgs.get_mut(&xchg).expect("settled exchanges are known");
        let fetching = std::mem::take(&mut cx.fetching);
        let key = cx.ask.key;
        if cx.out() == 0 {
            self.xchgs.remove(&xchg);
            self.host.forget(xchg);
        } else {
            self.withdraw(xchg, None);
        }
        if let Some(key) = key.filter(|_| fetching) {
            self.end_fetch(now, key, fetched);
        }
    }

    /// Gives up the tries that are out, but for one; a fetch goes on, for its answer may be kept.
    fn withdraw(&mut self, xchg: Xchg, but: Option<usize>) {
        for (try_no, this) in self.xchgs[&xchg].tries.iter().enumerate() {
            if this.out
                && Some(try_no) != but
                && Some(this.node) != self.origin
                && self.settings.flag("cancel")
            {
                self.host.withdraw(xchg, try_no);
            }
        }
    }

    // ---- Waiting, and shedding what would wait too long ------------------------------------------

    /// Holds an exchange with nothing out; it is shed when the objective gets out of reach.
    fn hold(&mut self, now: Nanos, xchg: Xchg) {
        let cx = &self.xchgs[&xchg];
        let objective = self.routes[cx.ask.route].objective;
        let fetch = self.origin.and_then(|n| self.caches[n].answers.mean(now)).unwrap_or(0.0);
        let patience = objective.saturating_sub((1.5 * fetch * SECOND as f64) as u64).max(objective / 4);
        self.host.wake((cx.arrived + patience.min(cx.ask.grace)).max(now), xchg);
    }

    fn out_of_patience(&mut self, now: Nanos, xchg: Xchg) {
        self.conclude(now, xchg);
    }

    /// Bounds what is in flight at a node by rate times time, so that its answers meet the objective.
    /// What a tenant asks beyond its quota gets half of that.
    fn has_room(&self, now: Nanos, xchg: Xchg, node: Node) -> bool {
        let ask = &self.xchgs[&xchg].ask;
        let cache = &self.caches[node];
        let time = self.routes[ask.route].objective as f64 / SECOND as f64;
        let part = if self.surplus(now, ask.tenant) { 0.4 } else { 0.9 };
        cache.in_flight < FEW || (cache.in_flight as f64) < cache.answers.rate(now) * time * part
    }

    /// Whether the tenant asks for more than its quota, judged from this proxy's part of the traffic.
    fn surplus(&self, now: Nanos, tenant: Option<usize>) -> bool {
        let Some(ring) = tenant.and_then(|tenant| self.asked.get(tenant)) else { return false };
        let quota = self.settings.number(&format!("tenant.{}.quota", tenant.unwrap_or(0)), f64::INFINITY);
        ring.rate(now) * self.settings.number("fleet", 1.0) > quota
    }

    // ---- Health ---------------------------------------------------------------------------------

    /// A cache that is ready, not set aside, and within its cold budget.
    fn usable(&self, now: Nanos, node: Node, work: f64) -> bool {
        let cache = &self.caches[node];
        cache.ready() && !cache.listed.origin && cache.aside.is_none() && self.within_budget(now, cache, work)
    }

    /// Rule 4: a cold node gets the part of normal work that it can surely do, or one exchange a window.
    fn within_budget(&self, now: Nanos, cache: &Cache, work: f64) -> bool {
        let (cold, start) = (self.settings.time("cold", 0), self.settings.number("start_capacity", 1.0));
        let age = now.saturating_sub(cache.listed.started);
        if cache.listed.started == 0 || age >= cold {
            return true;
        }
        let part = start + (1.0 - start) * age as f64 / cold as f64;
        let sent = cache.sent.sum(now);
        sent == 0.0 || sent + work <= self.normal * part
    }

    /// What an outcome tells of its node.
    fn learn(&mut self, now: Nanos, node: Node, sent: Nanos, outcome: Outcome) {
        let cache = &mut self.caches[node];
        cache.in_flight = cache.in_flight.saturating_sub(1);
        cache.heard = true;
        if !matches!(outcome, Outcome::Overdue | Outcome::Withdrawn | Outcome::Unsent) {
            cache.owes_since = now;
        }
        match outcome {
            Outcome::Completed | Outcome::Missed => {
                cache.answers.add(now, (now - sent) as f64 / SECOND as f64);
                cache.minute.add(now, (now - sent) as f64 / SECOND as f64);
                cache.refuses_until = 0;
                cache.failures = 0;
                cache.unreachable = false;
            }
            Outcome::Saturated => cache.refuses_until = now + REFUSAL,
            Outcome::Withdrawn | Outcome::Unsent => {}
            Outcome::Overdue if cache.owes_since > sent => {}
            _ => {
                cache.failures += 1;
                cache.unreachable |= outcome == Outcome::Unreachable;
            }
        }
        self.tell_load(node);
        if self.caches[node].failures >= FAILURES {
            self.set_aside(node, outcome);
        }
    }

    /// Guards against nodes that fail quickly: their empty queues would attract load.
    fn set_aside(&mut self, node: Node, outcome: Outcome) {
        let cache = &mut self.caches[node];
        if cache.aside.is_some() || cache.listed.origin || !self.settings.flag("probes") {
            return;
        }
        cache.aside = Some(0);
        let failures = cache.failures;
        self.host.log(&format!("node {node} aside: {failures} failures in a row, the last {outcome:?}"));
    }

    fn bring_back(&mut self, now: Nanos, node: Node) {
        let cache = &mut self.caches[node];
        cache.aside = None;
        cache.failures = 0;
        if cache.unreachable {
            // Guards a process that restarted cold before the list says so.
            cache.listed.started = now;
        }
        self.host.log(&format!("node {node} back: {PROBES} probes answered"));
    }

    fn tick(&mut self, now: Nanos) {
        self.host.wake(now + TICK, TICK_TOKEN);
        let cold = self.settings.time("cold", 0);
        let (mut warm, mut work) = (0u32, 0.0);
        for (node, cache) in self.caches.iter_mut().enumerate() {
            if cache.silent(now) > self.shortest / 2 && !cache.listed.origin {
                cache.refuses_until = now + REFUSAL;
            }
            if cache.aside.is_some() && cache.ready() && !cache.probing {
                cache.probing = true;
                self.host.probe(node);
            }
            if cache.ready() && !cache.listed.origin && now.saturating_sub(cache.listed.started) >= cold {
                warm += 1;
                work += cache.sent.sum(now);
            }
        }
        self.normal = work / f64::from(warm.max(1));
        self.origin_bound = self.origin.map_or(FEW, |origin| self.origin_bound(now, origin));
        if !self.following && self.settings.text("discovery") == "ask" {
            self.following = true;
            self.host.follow();
        }
    }
}

/// Exchanges in flight at a cache: as it reported plus own sends since, or own and peers'.
fn known_load(cache: &Cache) -> f64 {
    match cache.report {
        Some(report) => {
            (report.in_flight + cache.in_flight).saturating_sub(report.own).max(cache.in_flight) as f64
        }
        None => (cache.in_flight + cache.peers.iter().sum::<usize>()) as f64,
    }
}

/// Work is counted by the client's hint where there is one, else by the exchange.
fn work(ask: &Ask) -> f64 {
    ask.hint.map_or(1.0, |hint| hint as f64 / MS as f64)
}
