//! What the decisions remember: plain records, no choices.

use crate::host::{Ask, Listed, Nanos, Node, Outcome, Repeat, Scope, Standing};
use crate::ring::Ring;
use crate::settings::Settings;

const SECOND: Nanos = 1_000_000_000;

/// A cache node, or the origin, as this proxy knows it.
#[derive(Clone, Debug)]
pub struct Cache {
    pub listed: Listed,
    pub in_flight: usize,
    /// In flight from each peer, as it last told, and when.
    pub peers: Vec<(usize, Nanos)>,
    /// What this proxy last told its peers.
    pub told: usize,
    pub report: Option<Report>,
    /// Any word from it: an outcome or a report.
    pub heard: bool,
    /// How long its answers took, in seconds: lately, and over the last minute.
    pub answers: Ring,
    pub minute: Ring,
    /// How many it held in flight when it did best: its best rate times its best time.
    pub best: f64,
    /// The part of its room that is left while it takes far longer than it can.
    pub squeeze: f64,
    /// Work sent over the cold budget's window.
    pub sent: Ring,
    /// Since when it owes an answer without having given one.
    pub owes_since: Nanos,
    /// Until when it counts as refusing.
    pub refuses_until: Nanos,
    /// Failures beyond the answers since.
    pub failures: usize,
    /// Set aside, with the count of probes answered since.
    pub aside: Option<usize>,
    /// No connection came about since the last answer: its process may be new.
    pub unreachable: bool,
    pub probing: bool,
}

/// What a node reported in flight, and this proxy's own part at that time.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    pub in_flight: usize,
    pub own: usize,
}

impl Cache {
    pub fn new(peers: usize, window: Nanos) -> Self {
        Cache {
            listed: Listed::default(),
            in_flight: 0,
            peers: vec![(0, 0); peers],
            told: 0,
            report: None,
            heard: false,
            answers: Ring::new(2 * SECOND, 8),
            best: 0.0,
            squeeze: 1.0,
            minute: Ring::new(60 * SECOND, 20),
            sent: Ring::new(window, 10),
            owes_since: 0,
            refuses_until: 0,
            failures: 0,
            aside: None,
            unreachable: false,
            probing: false,
        }
    }

    /// Listed as ready; the origin as well as caches.
    pub fn ready(&self) -> bool {
        self.listed.standing == Standing::Ready
    }

    /// A ready cache that is not set aside.
    pub fn serves(&self) -> bool {
        self.ready() && !self.listed.origin && self.aside.is_none()
    }

    /// Measures `best`, from stretches with enough answers to tell, and `squeeze`, against its best time
    /// so many times.
    pub fn measure(&mut self, now: Nanos, enough: u32, slow: f64) {
        let least = self.minute.least_mean(now, enough).unwrap_or(0.0);
        self.best = self.minute.peak_rate(now) * least;
        let lately = self.answers.mean(now).filter(|_| least > 0.0 && !self.listed.origin);
        self.squeeze = lately.map_or(self.squeeze, |mean| (slow * least / mean).min(1.0));
    }

    pub fn send(&mut self, now: Nanos, work: f64) {
        if self.in_flight == 0 {
            self.owes_since = now;
        }
        self.in_flight += 1;
        self.sent.add(now, work);
    }

    /// Counts an outcome: any sign of life ends its silence.
    pub fn end(&mut self, now: Nanos, sent: Nanos, outcome: Outcome) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.heard = true;
        if !matches!(outcome, Outcome::Overdue | Outcome::Withdrawn | Outcome::Unsent) {
            self.owes_since = now;
        }
        if matches!(outcome, Outcome::Completed | Outcome::Missed) {
            let took = now.saturating_sub(sent) as f64 / SECOND as f64;
            self.answers.add(now, took);
            self.minute.add(now, took);
        }
    }

    /// Exchanges in flight here: as it reported plus own sends since, else own and what peers told
    /// since then.
    pub fn load(&self, then: Nanos) -> f64 {
        let since = |report: Report| (report.in_flight + self.in_flight).saturating_sub(report.own);
        let fresh = || self.peers.iter().filter(|(_, at)| *at > then).map(|(told, _)| told);
        let told = || self.in_flight + fresh().sum::<usize>();
        self.report.map_or_else(told, |report| since(report).max(self.in_flight)) as f64
    }

    /// How long ago its process started.
    pub fn age(&self, now: Nanos) -> Nanos {
        now.saturating_sub(self.listed.started)
    }

    /// Whether its process runs for longer than the warm-up takes.
    pub fn warm(&self, now: Nanos, cold: Nanos) -> bool {
        self.listed.started == 0 || self.age(now) >= cold
    }

    /// How long it has owed an answer.
    pub fn silent(&self, now: Nanos) -> Nanos {
        if self.in_flight > 0 { now.saturating_sub(self.owes_since) } else { 0 }
    }
}

/// An exchange that is not wholly over: it awaits its final answer, or outcomes of its tries.
#[derive(Clone, Debug)]
pub struct Cx {
    pub ask: Ask,
    pub arrived: Nanos,
    pub tries: Vec<Try>,
    /// Has its final answer.
    pub over: bool,
    /// The answer has begun to stream.
    pub under_way: bool,
    /// Fetches its key for others too.
    pub fetching: bool,
    /// What its answer is worth.
    pub worth: u64,
    /// How long it is held at most.
    pub until: Nanos,
}

#[derive(Clone, Copy, Debug)]
pub struct Try {
    pub node: Node,
    pub sent: Nanos,
    pub out: bool,
    pub missed: bool,
    pub may_have_run: bool,
}

impl Cx {
    pub fn new(ask: Ask, now: Nanos, worth: u64) -> Self {
        Cx {
            ask,
            arrived: now,
            tries: Vec::new(),
            over: false,
            under_way: false,
            fetching: false,
            until: 0,
            worth,
        }
    }

    pub fn start(&mut self, now: Nanos, node: Node) {
        self.tries.push(Try { node, sent: now, out: true, missed: false, may_have_run: true });
    }

    /// Notes how a try ended; nothing for one that is not out.
    pub fn end(&mut self, try_no: usize, outcome: Outcome) -> Option<Try> {
        let this = self.tries.get_mut(try_no).filter(|t| t.out)?;
        this.out = false;
        this.missed = outcome == Outcome::Missed;
        this.may_have_run = !outcome.never_ran();
        Some(*this)
    }

    pub fn may_have_run(&self) -> bool {
        self.tries.iter().any(|t| t.may_have_run)
    }

    pub fn out(&self) -> usize {
        self.tries.iter().filter(|t| t.out).count()
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
        self.tries.iter().find(|t| t.missed).map(|t| t.node)
    }
}

#[derive(Clone, Debug)]
pub struct Route {
    pub objective: Nanos,
    pub repeat: Repeat,
    pub window: Nanos,
    pub payoff: f64,
}

impl Route {
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
        }
    }
}

/// What a tenant asks of this proxy and gets, and its quota over all proxies, a second.
#[derive(Clone, Debug)]
pub struct Tenant {
    pub asked: Ring,
    pub served: Ring,
    pub quota: f64,
}

#[derive(Clone, Debug)]
pub struct Tenants {
    each: Vec<Tenant>,
    /// What all of them ask of their quotas here, as a part.
    pub usage: f64,
}

impl Tenants {
    pub fn new(settings: &Settings) -> Self {
        let quota = |at| settings.number(&format!("tenant.{at}.quota"), f64::INFINITY);
        let ring = || Ring::new(2 * SECOND, 8);
        let tenants = 0..settings.number("tenants", 0.0) as usize;
        let each = tenants.map(|at| Tenant { asked: ring(), served: ring(), quota: quota(at) }).collect();
        Tenants { each, usage: 0.0 }
    }

    pub fn get(&self, tenant: Option<usize>) -> Option<&Tenant> {
        self.each.get(tenant?)
    }

    pub fn ask(&mut self, now: Nanos, tenant: Option<usize>) {
        if let Some(tenant) = tenant.and_then(|tenant| self.each.get_mut(tenant)) {
            tenant.asked.add(now, 1.0);
        }
    }

    pub fn serve(&mut self, now: Nanos, tenant: Option<usize>) {
        if let Some(tenant) = tenant.and_then(|tenant| self.each.get_mut(tenant)) {
            tenant.served.add(now, 1.0);
        }
    }

    pub fn measure(&mut self, now: Nanos) {
        let asked: f64 = self.each.iter().map(|tenant| tenant.asked.rate(now)).sum();
        self.usage = asked / self.each.iter().map(|tenant| tenant.quota).sum::<f64>();
    }
}
