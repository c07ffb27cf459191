//! What the decisions remember: plain records, no choices.

use crate::host::{Ask, Held, Listed, Nanos, Node, Outcome, Repeat, Scope, Standing};
use crate::ring::Ring;
use crate::settings::Settings;
use smallvec::SmallVec;

const SECOND: Nanos = 1_000_000_000;
/// How long the least time of answers takes to be forgotten.
const FORGETS: Nanos = 300 * SECOND;

/// A cache node, or the origin, as this proxy knows it.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    pub listed: Listed,
    pub flow: Flow,
    pub report: Option<Report>,
    /// When it was last seen to be listed, or to owe something.
    pub live: Nanos,
    /// Any word from it: an outcome or a report.
    pub heard: bool,
    /// Until when this proxy has had its part of it, while it is cold.
    pub rests_until: Nanos,
    /// Since when it owes an answer without having given one.
    pub owes_since: Nanos,
    /// How long attempts have waited for it in vain since its last sign of life.
    pub waited: Nanos,
    /// Until when it counts as refusing.
    pub refuses_until: Nanos,
    /// Failures beyond the answers since.
    pub failures: usize,
    /// Set aside, with the count of probes answered since.
    pub aside: Option<usize>,
    pub probing: bool,
    /// Operators took it out of service: it counts as draining, whatever the list says.
    pub banned: bool,
}

/// Requests in flight at a node, or at all caches together, and their answers.
#[derive(Clone, Debug)]
pub struct Flow {
    pub in_flight: usize,
    /// How long the answers took, in seconds: lately, and over the last minute.
    pub answers: Ring<8>,
    pub minute: Ring<20>,
    /// Seconds in flight, lately.
    held: Ring<8>,
    /// The least time that answers took on average, in seconds, as far as it is remembered, and as of when.
    pub least_took: Option<f64>,
    least_at: Nanos,
    /// Attempts that came to nothing for want of room or of time, lately.
    lost: Ring<8>,
    /// The part of its room that is left while answers take far longer than they can.
    pub squeeze: f64,
    /// How many may be in flight on average, and what was saved of that until lately.
    pub room: f64,
    pub saved: f64,
    most_saved: f64,
    saved_at: Nanos,
}

impl Default for Flow {
    fn default() -> Self {
        Flow {
            in_flight: 0,
            answers: Ring::new(2 * SECOND),
            minute: Ring::new(60 * SECOND),
            held: Ring::new(2 * SECOND),
            least_took: None,
            least_at: 0,
            lost: Ring::new(2 * SECOND),
            squeeze: 1.0,
            room: 0.0,
            saved: f64::INFINITY,
            most_saved: 0.0,
            saved_at: 0,
        }
    }
}

impl Flow {
    /// Sets the room, and how much of it is saved at most.
    pub fn saves(&mut self, now: Nanos, most: f64, room: f64) {
        (self.most_saved, self.room) = (most, room);
        self.save(now);
    }

    pub fn start(&mut self, now: Nanos) {
        self.save(now);
        self.in_flight += 1;
    }

    /// Saves room that was not used, by requests that would have gone through it, or spends what was.
    fn save(&mut self, now: Nanos) {
        let past = now.saturating_sub(self.saved_at) as f64 / SECOND as f64;
        let through = past / self.answers.mean(now).unwrap_or(1.0).max(1e-3);
        self.saved = (self.saved + (self.room - self.in_flight as f64) * through).clamp(0.0, self.most_saved);
        self.held.add(now, self.in_flight as f64 * past);
        self.saved_at = now;
    }

    /// How many were in flight when answers came best: the best rate of the last minute times their least time.
    pub fn best(&self, now: Nanos) -> f64 {
        self.minute.peak_rate(now) * self.least_took.unwrap_or(0.0)
    }

    /// The least time of answers, given that of the last minute: what was less before is forgotten slowly.
    pub fn remember_least(&mut self, now: Nanos, minute: Option<f64>) -> Option<f64> {
        if let (Some(minute), Some(least)) = (minute, self.least_took) {
            let past = now.saturating_sub(self.least_at) as f64 / FORGETS as f64;
            self.least_took = Some(minute.min(least + (minute - least) * past.min(1.0)));
        }
        (self.least_took, self.least_at) = (self.least_took.or(minute), now);
        self.least_took
    }

    /// How many were in flight on average, lately.
    pub fn average(&self, now: Nanos) -> f64 {
        self.held.sum_rate(now)
    }

    /// The part of what was sent lately that was answered, and neither turned away nor overdue.
    pub fn answered(&self, now: Nanos) -> f64 {
        let (answers, lost) = (self.answers.rate(now), self.lost.rate(now));
        if lost > 0.0 { answers / (answers + lost) } else { 1.0 }
    }

    pub fn end(&mut self, now: Nanos, sent: Nanos, outcome: Outcome) {
        self.save(now);
        self.in_flight = self.in_flight.saturating_sub(1);
        if matches!(outcome, Outcome::Saturated | Outcome::Overdue) {
            self.lost.add(now, 1.0);
        }
        if matches!(outcome, Outcome::Completed | Outcome::Missed) {
            let took = now.saturating_sub(sent) as f64 / SECOND as f64;
            self.answers.add(now, took);
            self.minute.add(now, took);
        }
    }
}

/// How long answers take, in seconds: of each kind of machine, where it is known, and of all.
#[derive(Clone, Debug)]
pub struct Kinds {
    took: Vec<Took>,
    pub usual: f64,
    /// What nodes that had the key took lately.
    lately: Ring<8>,
    pub hits: f64,
}

impl Default for Kinds {
    fn default() -> Self {
        Kinds { took: Vec::new(), usual: 0.0, lately: Ring::new(2 * SECOND), hits: 0.0 }
    }
}

#[derive(Clone, Debug)]
struct Took {
    minute: Ring<20>,
    /// The mean, as of when it was last settled.
    mean: Option<f64>,
}

impl Kinds {
    pub fn add(&mut self, now: Nanos, kind: usize, took: Nanos) {
        let none = || Took { minute: Ring::new(60 * SECOND), mean: None };
        self.took.resize_with(self.took.len().max(kind + 1), none);
        self.took[kind].minute.add(now, took as f64 / SECOND as f64);
        self.lately.add(now, took as f64 / SECOND as f64);
    }

    /// Takes the means of the last minute, so that nothing sums them up for each decision.
    pub fn settle(&mut self, now: Nanos, all: &Flow) {
        self.usual = all.minute.mean(now).unwrap_or(self.usual);
        self.hits = self.lately.mean(now).unwrap_or(self.usual);
        self.took.iter_mut().for_each(|took| took.mean = took.minute.mean(now).or(took.mean));
    }

    pub fn took(&self, kind: usize) -> f64 {
        self.took.get(kind).and_then(|took| took.mean).unwrap_or(self.usual).max(1e-6)
    }
}

/// What is asked of this proxy, and what a warm cache that serves answers a second: each as of its turn, and all
/// on average.
#[derive(Clone, Debug)]
pub struct Pace {
    pub asked: Ring<8>,
    pub normal: Ring<20>,
    /// Of each cache the part of its capacity that it has, and what it answers a second.
    caches: Vec<(f64, f64)>,
    /// How many warm caches they make all together, one at least.
    pub able: f64,
    /// Whose turn it was last.
    pub turn: Node,
}

impl Default for Pace {
    fn default() -> Self {
        Pace {
            asked: Ring::new(2 * SECOND),
            normal: Ring::new(60 * SECOND),
            caches: Vec::new(),
            able: 0.0,
            turn: 0,
        }
    }
}

impl Pace {
    pub fn settle(&mut self, now: Nanos) {
        let warm = self.caches.iter().filter(|(part, _)| *part == 1.0);
        let (sum, count) = warm.fold((0.0, 0), |(sum, n), (_, rate)| (sum + rate, n + 1));
        self.normal.add(now, sum / f64::from(count.max(1)));
        self.able = self.caches.iter().map(|(part, _)| part).sum::<f64>().max(1.0);
    }

    pub fn rate(&mut self, node: Node, part: f64, rate: f64) {
        self.caches.resize(self.caches.len().max(node + 1), (0.0, 0.0));
        self.caches[node] = (part, rate);
    }
}

/// Lists that are kept for their memory.
#[derive(Clone, Debug, Default)]
pub struct Scratch {
    pub set: Vec<Node>,
    pub ranked: Vec<(u64, Node)>,
    pub not: Vec<Node>,
}

/// What a node reported in flight, and this proxy's own part at that time.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    pub in_flight: usize,
    pub own: usize,
    pub at: Nanos,
}

impl Cache {
    /// Listed as ready and not taken out of service; the origin as well as caches.
    pub fn ready(&self) -> bool {
        self.listed.standing == Standing::Ready && !self.banned
    }

    /// A ready cache that is not set aside.
    pub fn serves(&self) -> bool {
        self.ready() && !self.listed.origin && self.aside.is_none()
    }

    pub fn send(&mut self, now: Nanos) {
        if self.flow.in_flight == 0 {
            self.owes_since = now;
        }
        self.flow.start(now);
    }

    /// Where it tells its queue alone, this proxy's own requests count as in work.
    pub fn report(&mut self, now: Nanos, held: Held) {
        let own = self.flow.in_flight;
        let in_flight = match held {
            Held::InFlight(count) => count as usize,
            Held::Waiting(count) => count as usize + own,
        };
        self.heard = true;
        self.report = Some(Report { in_flight, own, at: now });
    }

    /// Counts an outcome: any sign of life ends its silence.
    pub fn end(&mut self, now: Nanos, sent: Nanos, outcome: Outcome) {
        self.flow.end(now, sent, outcome);
        self.heard = true;
        match outcome {
            Outcome::Overdue => self.waited += now.saturating_sub(sent),
            Outcome::Withdrawn | Outcome::Unsent => {}
            _ => (self.owes_since, self.waited) = (now, 0),
        }
    }

    /// Requests in flight here: as it reported plus own sends since, else own. What is too old is forgotten by
    /// whoever keeps the time.
    pub fn whole_load(&self) -> u64 {
        let own = self.flow.in_flight;
        let since = |report: Report| (report.in_flight + own).saturating_sub(report.own).max(own);
        self.report.map_or(own, since) as u64
    }

    pub fn load(&self) -> f64 {
        self.whole_load() as f64
    }

    /// A cache that has been gone for so long and owes nothing.
    pub fn done(&mut self, now: Nanos, last: Nanos) -> bool {
        let owes = self.flow.in_flight > 0 || self.probing;
        if owes || self.listed.standing != Standing::Gone {
            self.live = now;
        }
        let listed = self.listed.identity != 0 && !self.listed.origin;
        listed && now >= self.live + last
    }

    /// What set it aside, or would soon, is over.
    pub fn back(&mut self) {
        (self.aside, self.failures, self.waited) = (None, 0, 0);
    }

    /// All that was held against it is over.
    pub fn pardon(&mut self) {
        self.back();
        self.refuses_until = 0;
    }

    /// How long ago its process started.
    pub fn age(&self, now: Nanos) -> Nanos {
        now.saturating_sub(self.listed.started)
    }

    /// The part of its capacity that it has at least, none while it does not serve.
    pub fn part(&self, now: Nanos, rules: &Rules) -> f64 {
        let Rules { cold, start_capacity: start, .. } = *rules;
        match () {
            () if !self.serves() => 0.0,
            () if self.warm(now, cold) => 1.0,
            () => start + (1.0 - start) * (self.age(now) as f64 / cold as f64),
        }
    }

    /// Whether its process runs for longer than the warm-up takes.
    pub fn warm(&self, now: Nanos, cold: Nanos) -> bool {
        self.listed.started == 0 || self.age(now) >= cold
    }
}

/// A request that is not wholly over: it awaits its final answer, or outcomes of its attempts.
#[derive(Clone, Debug)]
pub struct RequestState {
    pub ask: Ask,
    /// Its route as it was when the request arrived, whatever became of the settings since.
    pub route: Route,
    pub arrived: Nanos,
    pub attempts: SmallVec<[Attempt; 2]>,
    /// Has its final answer.
    pub over: bool,
    /// The answer has begun to stream.
    pub under_way: bool,
    /// Fetches its key for others too.
    pub fetching: bool,
    /// What its answer is worth.
    pub worth: u64,
    /// How long it is held at most, and how long its client waits once an attempt is out.
    pub until: Nanos,
    /// Waits until those of its key that were taken before it are over.
    pub waits: bool,
}

#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub node: Node,
    pub sent: Nanos,
    pub out: bool,
    pub missed: bool,
    /// Ended in an error that nobody has been blamed for.
    pub errored: bool,
    pub may_have_run: bool,
}

impl RequestState {
    pub fn new(ask: Ask, route: Route, now: Nanos, worth: u64) -> Self {
        RequestState {
            ask,
            route,
            arrived: now,
            attempts: SmallVec::new(),
            over: false,
            under_way: false,
            fetching: false,
            until: 0,
            waits: false,
            worth,
        }
    }

    pub fn start(&mut self, now: Nanos, node: Node) {
        self.attempts.push(Attempt {
            node,
            sent: now,
            out: true,
            missed: false,
            errored: false,
            may_have_run: true,
        });
    }

    /// Notes how an attempt ended; nothing for one that is not out.
    pub fn end(&mut self, attempt: usize, outcome: Outcome, over: bool) -> Option<Attempt> {
        let this = self.attempts.get_mut(attempt).filter(|t| t.out)?;
        self.over |= over;
        this.out = false;
        this.missed = outcome == Outcome::Missed;
        this.errored = outcome == Outcome::Errored;
        this.may_have_run = !outcome.never_ran();
        Some(*this)
    }

    /// Until when its last attempt is discarded where an earlier one ran; for ever where it need not be. Guards rule 2
    /// from a repeat that waits to go out: it goes out within the window or not at all.
    pub fn discarded_until(&self) -> Nanos {
        let earlier =
            self.attempts.split_last().and_then(|(_, earlier)| earlier.iter().find(|t| t.may_have_run));
        match (self.route.repeat, earlier) {
            (Repeat::Deduped(_), Some(first)) => first.sent + self.route.window,
            _ => Nanos::MAX,
        }
    }

    pub fn tried(&self, node: Node) -> bool {
        self.attempts.iter().any(|t| t.node == node)
    }

    /// The nodes that were tried, by number, each once.
    pub fn nodes(&self, into: &mut Vec<Node>) {
        into.clear();
        into.extend(self.attempts.iter().map(|t| t.node));
        into.sort_unstable();
        into.dedup();
    }

    /// The nodes of attempts that ended in errors; each is named once.
    pub fn blamed(&mut self) -> SmallVec<[Node; 2]> {
        let errored = |t: &mut Attempt| std::mem::take(&mut t.errored).then_some(t.node);
        self.attempts.iter_mut().filter_map(errored).collect()
    }

    pub fn errors(&self) -> usize {
        self.attempts.iter().filter(|t| t.errored).count()
    }

    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|t| t.may_have_run)
    }

    pub fn out(&self) -> usize {
        self.attempts.iter().filter(|t| t.out).count()
    }

    /// The key whose order it keeps.
    pub fn ordered(&self) -> Option<u64> {
        self.ask.key.filter(|_| self.route.ordered)
    }

    /// Awaits a decision: no answer yet and nothing out.
    pub fn held(&self) -> bool {
        !self.over && self.out() == 0
    }

    pub fn ends(&self) -> Nanos {
        self.arrived + self.ask.grace
    }

    /// The first node that lacked the key: the origin's answer will be kept there.
    pub fn missed(&self) -> Option<Node> {
        self.attempts.iter().find(|t| t.missed).map(|t| t.node)
    }
}

/// The settings that hold for all routes, as the decisions look them up for each request.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    pub cold: Nanos,
    pub fall: Nanos,
    pub start_capacity: f64,
    /// The shortest of all routes.
    pub objective: Nanos,
    /// The origin stops for a while when it is asked for too much; so it may where nothing is said of it.
    pub origin_falls: bool,
    pub surplus_payoff: f64,
    pub pauses: bool,
    pub probes: bool,
    /// The list must be asked for.
    pub asks_list: bool,
    /// How long a key rests after an attempt that may still run.
    pub turn_gap: Nanos,
}

impl Rules {
    pub fn new(settings: &Settings, routes: &[Route]) -> Rules {
        let objectives = routes.iter().filter(|route| !route.dropped).map(|route| route.objective);
        Rules {
            cold: settings.time("cold", 0),
            fall: settings.time("fall", SECOND),
            start_capacity: settings.number("start_capacity", 1.0),
            objective: objectives.min().unwrap_or(SECOND),
            origin_falls: settings.number("origin_fall_multiple", 1.0) > 0.0,
            surplus_payoff: settings.number("surplus_payoff", 1.0),
            pauses: settings.flag("pauses"),
            probes: settings.flag("probes"),
            asks_list: settings.text("discovery") == "ask",
            turn_gap: settings.time("turn_gap", 0),
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Route {
    pub objective: Nanos,
    pub repeat: Repeat,
    pub window: Nanos,
    pub payoff: f64,
    pub most_attempts: usize,
    /// Its requests of one key run one at a time, in the order in which they were taken.
    pub ordered: bool,
    /// No longer in the settings: kept for clients that still name it.
    pub dropped: bool,
}

impl Route {
    /// May run again anywhere.
    pub fn free(&self) -> bool {
        self.repeat == Repeat::Retriable
    }

    pub fn all(settings: &Settings) -> Vec<Route> {
        (0..settings.number("routes", 0.0) as usize).map(|at| Route::one(settings, at)).collect()
    }

    fn one(settings: &Settings, at: usize) -> Route {
        let name = |field: &str| format!("route.{at}.{field}");
        let scope = match settings.text(&name("scope")) {
            "zone" => Scope::Zone,
            "cell" => Scope::Cell,
            _ => Scope::Fleet,
        };
        Route {
            objective: settings.time(&name("objective"), SECOND),
            repeat: match settings.text(&name("repeat")) {
                "retriable" => Repeat::Retriable,
                "deduped" => Repeat::Deduped(scope),
                _ => Repeat::NonRetriable,
            },
            window: settings.time(&name("window"), 0),
            payoff: settings.number(&name("payoff"), 1.0),
            most_attempts: settings.number("most_tries", 1.0) as usize,
            ordered: settings.flag(&name("ordered")),
            dropped: settings.flag(&name("dropped")),
        }
    }
}

/// What a tenant gets from this proxy, and its quota over all proxies, a second.
#[derive(Clone, Debug)]
pub struct Tenant {
    pub served: Ring<8>,
    pub quota: f64,
}

#[derive(Clone, Debug)]
pub struct Tenants(Vec<Tenant>);

impl Tenants {
    pub fn new(settings: &Settings) -> Self {
        let quota = |at| settings.number(&format!("tenant.{at}.quota"), f64::INFINITY);
        let ring = || Ring::new(8 * SECOND);
        let tenants = 0..settings.number("tenants", 0.0) as usize;
        let each = tenants.map(|at| Tenant { served: ring(), quota: quota(at) }).collect();
        Tenants(each)
    }

    pub fn get(&self, tenant: Option<usize>) -> Option<&Tenant> {
        self.0.get(tenant?)
    }

    /// What all together are served, beside all their quotas.
    pub fn all_had(&self, now: Nanos) -> f64 {
        let served: f64 = self.0.iter().map(|tenant| tenant.served.rate(now)).sum();
        served / self.0.iter().map(|tenant| tenant.quota).sum::<f64>().max(1.0)
    }

    pub fn serve(&mut self, now: Nanos, tenant: Option<usize>) {
        if let Some(tenant) = tenant.and_then(|tenant| self.0.get_mut(tenant)) {
            tenant.served.add(now, 1.0);
        }
    }
}
