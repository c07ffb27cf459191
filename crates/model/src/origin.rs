//! The origin: slow, of fixed capacity, with a line before it. Overrun for too long it stops, and comes back.

use crate::seeds::{Rng, rng};
use crate::spec::Origin as Spec;
use crate::station::{Job, JobId, Site, Station, Taken, Verdict};
use crate::{Nanos, millis, seconds};
use rand_distr::{Distribution, LogNormal};

#[derive(Debug)]
pub struct Origin {
    spec: Spec,
    station: Station,
    rng: Rng,
    spread: LogNormal<f64>,
    pub slow: f64,
    /// By a fault.
    pub down: bool,
    stopped_until: Nanos,
    /// Since when its line is full.
    full_since: Option<Nanos>,
}

impl Origin {
    pub fn new(spec: &Spec, seed: u64) -> Origin {
        Origin {
            station: Station::new(spec.slots, spec.waiting),
            rng: rng(seed, "origin", 0),
            spread: LogNormal::new(-spec.chance * spec.chance / 2.0, spec.chance).expect("a checked spread"),
            slow: 1.0,
            down: false,
            stopped_until: 0,
            full_since: None,
            spec: spec.clone(),
        }
    }

    /// Whether it takes connections.
    pub fn up(&self, now: Nanos) -> bool {
        !self.down && now >= self.stopped_until
    }

    pub fn arrive(&mut self, now: Nanos, job: Job, site: &mut impl Site) {
        if !self.up(now) {
            return;
        }
        match self.station.take(job) {
            Taken::Begin => self.begin(now, job, site),
            Taken::Waits => {}
            Taken::Full => {
                site.answer(job.id, Verdict::Busy);
                let since = *self.full_since.get_or_insert(now);
                if now - since >= seconds(self.spec.overrun_seconds) {
                    self.stop();
                    self.stopped_until = now + seconds(self.spec.stop_seconds);
                    site.fell(now);
                }
            }
        }
    }

    fn begin(&mut self, now: Nanos, job: Job, site: &mut impl Site) {
        self.station.begin(job, Verdict::Done);
        let takes = millis(self.spec.service_ms) as f64 * self.slow * self.spread.sample(&mut self.rng);
        site.ran(job.id);
        site.finish(now + takes as Nanos, job.id);
    }

    pub fn finished(&mut self, now: Nanos, id: JobId, site: &mut impl Site) {
        let Some((_, verdict)) = self.station.end(id) else { return };
        site.answer(id, verdict);
        while let Some(job) = self.station.next_waiting() {
            self.begin(now, job, site);
        }
        // With a line that is not half full it is not overrun.
        if self.station.crowd() < 0.5 {
            self.full_since = None;
        }
    }

    pub fn cancel(&mut self, id: JobId) {
        self.station.cancel(id);
    }

    /// What it had is lost.
    pub fn stop(&mut self) {
        self.station.clear();
        self.full_since = None;
    }

    pub fn in_flight(&self) -> usize {
        self.station.served() + self.station.queued()
    }

    pub fn served(&self) -> usize {
        self.station.served()
    }
}
