//! Which nodes are left out for a while: outlier ejection by failures, probes, and slow start of cold nodes.
//! Cold nodes must not be pushed over by all proxies together.

use crate::balance::Balance;
use crate::fleet::Finder;
use crate::host::{Host, Nanos, Node, Outcome};
use crate::policy::{FEW, SECOND, TICK};
use crate::state::Cache;
use smallvec::SmallVec;

/// Failures beyond the answers since, of the whole fleet, that set a node aside; probes that bring it back.
const FAILURES: f64 = 9.0;
const PROBES: usize = 2;
/// A node that let a first attempt run out counts as refusing for FEW of this proxy's asks, no longer than
/// this.
const SLOW_LAST: Nanos = 10 * SECOND;

impl<H: Host, F: Finder> Balance<H, F> {
    pub(crate) fn warm(&self, node: Node) -> bool {
        self.nodes.caches[node].warm(self.now, self.rules.cold)
    }

    /// Rule 4: a cold node gets its part of normal work, spread evenly, and nothing heavy for all its parts.
    pub(crate) fn within_budget(&self, node: Node, work: f64) -> bool {
        self.warm(node)
            || self.now >= self.nodes.caches[node].rests_until
                && self.pause(node, work) <= self.fleet * self.rules.fall as f64
    }

    /// How long this work takes up this proxy's part of a cold node. Normal is what warm ones did at best.
    pub(crate) fn pause(&self, node: Node, work: f64) -> f64 {
        let part = self.nodes.caches[node].part(self.now, &self.rules);
        let normal = self.pace.normal.most_mean(self.now).unwrap_or(0.0);
        let usual = self.pace.asked.mean(self.now).unwrap_or(work);
        SECOND as f64 * work / usual / (normal * part).max(1.0 / self.fleet)
    }

    /// A node's process is new. Guards it from the first requests of many proxies at once.
    pub(crate) fn cool(&mut self, node: Node) {
        let pause = self.pause(node, self.pace.asked.mean(self.now).unwrap_or(1.0));
        let until = self.now + (pause * f64::from(self.rng.rand_float())) as Nanos;
        self.nodes.change(node, |cache| cache.rests_until = until);
        self.host.log(&format!("node {node} cold: one exchange in {:.1} s at first", pause / 1e9));
    }

    pub(crate) fn learn(&mut self, node: Node, sent: Nanos, outcome: Outcome, late: Option<Nanos>) {
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
                // An error may be the request's own: others must show that it is not.
                Outcome::Errored | Outcome::Withdrawn | Outcome::Unsent | Outcome::Rejected => {}
                // Slow while its request has time left; else a failure if attempts waited for an objective in
                // vain.
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
    /// bring them back, they count as refusing for a while. Without a second attempt errors show nothing.
    pub(crate) fn blame(&mut self, node: Node, outcome: Outcome) {
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

    /// Guards what may be a sick node from the probes of many proxies.
    pub(crate) fn probe_ejected(&mut self) {
        let idle = |cache: &Cache| cache.ready() && !cache.probing;
        let due = self.nodes.aside().filter(|&node| idle(&self.nodes.caches[node]));
        for node in due.collect::<SmallVec<[Node; 8]>>() {
            if f64::from(self.rng.rand_float()) < (FEW / self.fleet).max(0.1) {
                self.nodes.caches[node].probing = true;
                self.host.probe(node);
            }
        }
    }
}
