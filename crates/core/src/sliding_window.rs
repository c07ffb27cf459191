//! Counts and sums over the recent past, kept in a ring of fixed time buckets.

use crate::host::Nanos;

/// A window of `N` buckets. They are stored inline with their owner: with many nodes, few of their statistics
/// are in the CPU cache.
#[derive(Clone, Debug)]
pub struct SlidingWindow<const N: usize> {
    width: Nanos,
    buckets: [Bucket; N],
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// The lowest bits of the number of the interval that this bucket holds. They repeat only after decades.
    interval: u32,
    /// 0 for a bucket that holds no interval yet.
    count: u32,
    sum: f64,
}

impl<const N: usize> SlidingWindow<N> {
    /// Creates a window that covers `span`.
    pub fn new(span: Nanos) -> Self {
        SlidingWindow { width: (span / N as u64).max(1), buckets: [Bucket::default(); N] }
    }

    /// Records one sample.
    pub fn add(&mut self, now: Nanos, amount: f64) {
        let interval = now / self.width + 1;
        let bucket = &mut self.buckets[interval as usize % N];
        if bucket.interval != interval as u32 {
            *bucket = Bucket { interval: interval as u32, ..Bucket::default() };
        }
        bucket.count += 1;
        bucket.sum += amount;
    }

    fn recent(&self, now: Nanos) -> impl Iterator<Item = &Bucket> {
        let interval = (now / self.width + 1) as u32;
        let is_recent = move |bucket: &&Bucket| interval.wrapping_sub(bucket.interval) < N as u32;
        self.buckets.iter().filter(is_recent).filter(|bucket| bucket.count > 0)
    }

    fn span_seconds(&self) -> f64 {
        (self.width * self.buckets.len() as u64) as f64 / 1e9
    }

    /// The sum of the samples per second over the whole window.
    pub fn sum_per_second(&self, now: Nanos) -> f64 {
        self.recent(now).map(|bucket| bucket.sum).sum::<f64>() / self.span_seconds()
    }

    /// Samples per second over the whole window.
    pub fn rate(&self, now: Nanos) -> f64 {
        let count: u32 = self.recent(now).map(|bucket| bucket.count).sum();
        f64::from(count) / self.span_seconds()
    }

    /// Samples per second in the fullest bucket.
    pub fn peak_rate(&self, now: Nanos) -> f64 {
        let fullest = self.recent(now).map(|bucket| bucket.count).max();
        f64::from(fullest.unwrap_or(0)) * 1e9 / self.width as f64
    }

    /// The mean of the samples; None without any.
    pub fn mean(&self, now: Nanos) -> Option<f64> {
        let (count, sum) =
            self.recent(now).fold((0, 0.0), |(count, sum), bucket| (count + bucket.count, sum + bucket.sum));
        (count > 0).then(|| sum / f64::from(count))
    }

    /// The highest mean of a bucket; None without samples.
    pub fn max_bucket_mean(&self, now: Nanos) -> Option<f64> {
        let filled = self.recent(now).filter(|bucket| bucket.count > 0);
        filled.map(|bucket| bucket.sum / f64::from(bucket.count)).reduce(f64::max)
    }

    /// The lowest mean of a bucket, among buckets with at least `min_count` samples; None without such a
    /// bucket.
    pub fn min_bucket_mean(&self, now: Nanos, min_count: u32) -> Option<f64> {
        let filled = self.recent(now).filter(|bucket| bucket.count >= min_count);
        filled.map(|bucket| bucket.sum / f64::from(bucket.count)).reduce(f64::min)
    }
}
