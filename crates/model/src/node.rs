//! One cache node: it serves what it holds, turns away what it has no room for, starts cold, and falls over
//! when it is buried while cold.

use crate::registry::{Entry, State};
use crate::seeds::{Rng, rng};
use crate::spec::Nodes;
use crate::station::{Job, JobId, Site, Station, Taken, Verdict};
use crate::store::Store;
use crate::{Nanos, millis, seconds};
use rand::RngExt;
use rand_distr::{Distribution, LogNormal};
use std::collections::VecDeque;

/// What a look-up that finds nothing costs, as a part of a hit.
const MISS: f64 = 0.2;

#[derive(Debug)]
pub struct CacheNode {
    spec: Nodes,
    station: Station,
    pub store: Store,
    rng: Rng,
    spread: LogNormal<f64>,
    /// How many times its work this machine takes, by nature and by a fault.
    nature: f64,
    pub slow: f64,
    pub up: bool,
    /// When its process started; 0 for long ago.
    pub started: Nanos,
    /// The part of its exchanges that it answers at once with an error, and that with something spoilt.
    pub errors: f64,
    pub spoils: f64,
    /// Connections are refused; what arrives is never answered.
    pub refuses: bool,
    pub silent: bool,
    /// Since when it drains: some time later it takes nothing new.
    pub drains: Option<Nanos>,
    paused: Nanos,
    connections: usize,
    /// What it was offered while cold: when, and the work of it.
    offered: VecDeque<(Nanos, Nanos)>,
    offered_sum: Nanos,
}

impl CacheNode {
    pub fn new(spec: &Nodes, seed: u64, number: usize) -> CacheNode {
        let mut rng = rng(seed, "node", number as u64);
        let uneven = rng.random_range(-1.0..=1.0) * spec.uneven;
        CacheNode {
            station: Station::new(spec.slots, spec.waiting),
            store: Store::new((spec.memory_mb * 1e6) as u64),
            spread: LogNormal::new(-spec.chance * spec.chance / 2.0, spec.chance).expect("a checked spread"),
            rng,
            nature: 1.0 + uneven,
            slow: 1.0,
            up: true,
            started: 0,
            errors: 0.0,
            spoils: 0.0,
            refuses: false,
            silent: false,
            drains: None,
            paused: 0,
            connections: 0,
            offered: VecDeque::new(),
            offered_sum: 0,
            spec: spec.clone(),
        }
    }

    /// Takes up a connection, unless the machine is gone, refuses, or has as many as it can hold.
    pub fn connect(&mut self) -> bool {
        let takes = self.up && !self.refuses && self.connections < self.spec.connections;
        self.connections += usize::from(takes);
        takes
    }

    pub fn disconnect(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    pub fn connections(&self) -> usize {
        self.connections
    }

    /// A job whose last byte has come.
    pub fn arrive(&mut self, now: Nanos, job: Job, site: &mut impl Site) {
        if !self.up || self.silent {
            return;
        }
        if self.errors > 0.0 && self.rng.random::<f64>() < self.errors {
            return site.answer(job.id, Verdict::Failed);
        }
        if self.drains.is_some_and(|since| now > since + millis(self.spec.drain_grace_ms)) {
            return site.answer(job.id, Verdict::Busy);
        }
        if self.buried(now, job.work) {
            self.stop();
            return site.fell(now);
        }
        match self.station.take(job) {
            Taken::Begin => self.begin(now, job, site),
            Taken::Waits => {}
            Taken::Full => site.answer(job.id, Verdict::Busy),
        }
    }

    fn begin(&mut self, now: Nanos, job: Job, site: &mut impl Site) {
        let hit = job.write || self.store.read(job.key);
        let spoilt = hit && self.spoils > 0.0 && self.rng.random::<f64>() < self.spoils;
        let verdict = match hit {
            _ if spoilt => Verdict::Spoilt,
            true => Verdict::Done,
            false => Verdict::Missed,
        };
        self.station.begin(job, verdict);
        let crowded = (self.station.served() as f64 / self.spec.cores as f64).max(1.0)
            * (1.0 + self.spec.crowd * self.station.crowd());
        let part = if hit { 1.0 } else { MISS };
        let slowness = self.nature * self.slow * crowded / self.warmth(now);
        let takes = job.work as f64 * part * slowness * self.spread.sample(&mut self.rng);
        if hit {
            site.ran(job.id);
        }
        site.finish(now.max(self.paused) + takes as Nanos, job.id);
    }

    /// The time that was asked for has come.
    pub fn finished(&mut self, now: Nanos, id: JobId, site: &mut impl Site) {
        if self.station.serves(id) && now < self.paused {
            return site.finish(self.paused, id);
        }
        let Some((_, verdict)) = self.station.end(id) else { return };
        if !self.silent {
            site.answer(id, verdict);
        }
        while let Some(job) = self.station.next_waiting() {
            self.begin(now, job, site);
        }
    }

    pub fn cancel(&mut self, id: JobId) {
        self.station.cancel(id);
    }

    /// The part of its capacity that its process has by now: it grows from the start on.
    pub fn warmth(&self, now: Nanos) -> f64 {
        let warm_up = seconds(self.spec.warm_up_seconds);
        if self.started == 0 || now >= self.started + warm_up {
            return 1.0;
        }
        let age = now.saturating_sub(self.started) as f64 / warm_up as f64;
        self.spec.start_capacity + (1.0 - self.spec.start_capacity) * age
    }

    /// Whether a cold node was offered more within its window than it can ever catch up with.
    fn buried(&mut self, now: Nanos, work: Nanos) -> bool {
        let warmth = self.warmth(now);
        if warmth >= 1.0 || self.spec.fall_multiple <= 0.0 {
            self.offered.clear();
            self.offered_sum = 0;
            return false;
        }
        let window = seconds(self.spec.fall_seconds);
        while let Some(&(at, work)) = self.offered.front().filter(|(at, _)| at + window <= now) {
            debug_assert!(at <= now);
            self.offered_sum -= work;
            self.offered.pop_front();
        }
        self.offered.push_back((now, work));
        self.offered_sum += work;
        let bears = self.spec.fall_multiple * self.spec.cores as f64 * warmth * window as f64;
        // In jobs of mean work two roots and two more, so that chance alone does not end it.
        let mean = self.offered_sum as f64 / self.offered.len() as f64;
        self.offered_sum as f64 > bears + 2.0 * (bears * mean).sqrt() + 2.0 * mean
    }

    /// Its process ends: what it had is lost, and so are its copies.
    pub fn stop(&mut self) {
        self.up = false;
        self.connections = 0;
        self.station.clear();
        self.store.clear();
        self.offered.clear();
        self.offered_sum = 0;
    }

    /// A new process, empty and cold.
    pub fn start(&mut self, now: Nanos) {
        self.stop();
        (self.up, self.started, self.paused, self.drains) = (true, now, 0, None);
    }

    /// Nothing is done until then.
    pub fn pause(&mut self, until: Nanos) {
        self.paused = self.paused.max(until);
    }

    /// What it says of itself to discovery; `clock` is by how much what it takes for its start is off now.
    pub fn entry(&self, node: usize, now: Nanos, gone: bool, clock: Option<i64>) -> Entry {
        let state = match self.drains {
            _ if !self.up || gone => State::Left,
            Some(_) => State::Draining,
            None => State::Ready,
        };
        let started = clock.map_or(self.started, |off| now.saturating_add_signed(off));
        Entry { node, state, started }
    }

    pub fn in_flight(&self) -> usize {
        self.station.served() + self.station.queued()
    }

    pub fn served(&self) -> usize {
        self.station.served()
    }
}
