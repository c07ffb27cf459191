//! A sum over the recent past, kept in fixed buckets of time that are used again in a ring.

use crate::host::Nanos;

#[derive(Clone, Debug)]
pub struct Ring {
    width: Nanos,
    /// Which stretch of time a bucket holds, and its sum.
    buckets: Vec<(u64, f64)>,
}

impl Ring {
    /// Covers `span`, in `count` buckets.
    pub fn new(span: Nanos, count: usize) -> Self {
        Ring { width: (span / count as u64).max(1), buckets: vec![(0, 0.0); count] }
    }

    pub fn add(&mut self, now: Nanos, amount: f64) {
        let stretch = now / self.width + 1;
        let place = stretch as usize % self.buckets.len();
        let bucket = &mut self.buckets[place];
        if bucket.0 != stretch {
            *bucket = (stretch, 0.0);
        }
        bucket.1 += amount;
    }

    /// The sum over the span that ends now; the oldest bucket may be partly past it.
    pub fn sum(&self, now: Nanos) -> f64 {
        let stretch = now / self.width + 1;
        let live = |bucket: &&(u64, f64)| bucket.0 + self.buckets.len() as u64 > stretch;
        self.buckets.iter().filter(live).map(|bucket| bucket.1).sum()
    }

    /// The sum a second.
    pub fn rate(&self, now: Nanos) -> f64 {
        self.sum(now) * 1e9 / (self.width * self.buckets.len() as u64) as f64
    }
}
