//! Counts and sums over the recent past, kept in fixed buckets of time that are used again in a ring.

use crate::host::Nanos;

/// `N` buckets, in one piece with whatever has the ring: of many nodes' measures few are in the core's cache.
#[derive(Clone, Debug)]
pub struct Ring<const N: usize> {
    width: Nanos,
    buckets: [Bucket; N],
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Which stretch of time it holds, by its lowest bits: they are the same again after decades.
    stretch: u32,
    /// 0 for a bucket that holds none yet.
    count: u32,
    sum: f64,
}

impl<const N: usize> Ring<N> {
    /// Covers `span`.
    pub fn new(span: Nanos) -> Self {
        Ring { width: (span / N as u64).max(1), buckets: [Bucket::default(); N] }
    }

    pub fn add(&mut self, now: Nanos, amount: f64) {
        let stretch = now / self.width + 1;
        let bucket = &mut self.buckets[stretch as usize % N];
        if bucket.stretch != stretch as u32 {
            *bucket = Bucket { stretch: stretch as u32, ..Bucket::default() };
        }
        bucket.count += 1;
        bucket.sum += amount;
    }

    fn live(&self, now: Nanos) -> impl Iterator<Item = &Bucket> {
        let stretch = (now / self.width + 1) as u32;
        let lately = move |bucket: &&Bucket| stretch.wrapping_sub(bucket.stretch) < N as u32;
        self.buckets.iter().filter(lately).filter(|bucket| bucket.count > 0)
    }

    fn seconds(&self) -> f64 {
        (self.width * self.buckets.len() as u64) as f64 / 1e9
    }

    /// What was added a second over the whole span.
    pub fn sum_rate(&self, now: Nanos) -> f64 {
        self.live(now).map(|bucket| bucket.sum).sum::<f64>() / self.seconds()
    }

    /// Additions a second over the whole span.
    pub fn rate(&self, now: Nanos) -> f64 {
        let count: u32 = self.live(now).map(|bucket| bucket.count).sum();
        f64::from(count) / self.seconds()
    }

    /// Additions a second in the fullest bucket.
    pub fn peak_rate(&self, now: Nanos) -> f64 {
        let most = self.live(now).map(|bucket| bucket.count).max();
        f64::from(most.unwrap_or(0)) * 1e9 / self.width as f64
    }

    /// What an addition is on average.
    pub fn mean(&self, now: Nanos) -> Option<f64> {
        let (count, sum) = self.live(now).fold((0, 0.0), |(n, sum), b| (n + b.count, sum + b.sum));
        (count > 0).then(|| sum / f64::from(count))
    }

    /// The average of the bucket where it is most.
    pub fn most_mean(&self, now: Nanos) -> Option<f64> {
        let full = self.live(now).filter(|bucket| bucket.count > 0);
        full.map(|bucket| bucket.sum / f64::from(bucket.count)).reduce(f64::max)
    }

    /// The average of the bucket where it is least, of those with so many additions.
    pub fn least_mean(&self, now: Nanos, enough: u32) -> Option<f64> {
        let full = self.live(now).filter(|bucket| bucket.count >= enough);
        full.map(|bucket| bucket.sum / f64::from(bucket.count)).reduce(f64::min)
    }
}
