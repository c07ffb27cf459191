//! A cache node, or the origin, as this proxy knows it. A plain record, no choices.

use crate::host::{Held, Listed, Nanos, Outcome, Standing};
use crate::state::{Flow, Rules};

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
