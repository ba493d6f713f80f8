//! Histogram of durations, for metrics.

use std::time::Duration;

/// Upper bounds of the buckets.
const BOUNDS_MS: [u64; 13] = [1, 2, 5, 10, 20, 50, 100, 250, 1_000, 2_500, 5_000, 10_000, 20_000];

/// Histogram of durations.
///
/// ```
/// use std::time::Duration;
/// use yuccalink_coordination::histogram::Histogram;
/// let mut times = Histogram::default();
/// times.record(Duration::from_millis(30));
/// assert_eq!(times.cumulative().find(|(bound_ms, _)| *bound_ms >= 30), Some((50, 1)));
/// assert_eq!((times.count(), times.sum()), (1, Duration::from_millis(30)));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Histogram {
    buckets: [u64; BOUNDS_MS.len()],
    count: u64,
    sum: Duration,
}

impl Histogram {
    /// Adds a duration.
    ///
    /// ```
    /// use std::time::Duration;
    /// use yuccalink_coordination::histogram::Histogram;
    /// let mut times = Histogram::default();
    /// times.record(Duration::from_secs(60));
    /// assert_eq!((times.count(), times.cumulative().last()), (1, Some((20_000, 0))));
    /// ```
    pub fn record(&mut self, took: Duration) {
        let ms = took.as_millis();
        if let Some(at) = BOUNDS_MS.iter().position(|bound| ms <= u128::from(*bound)) {
            self.buckets[at] += 1;
        }
        self.count += 1;
        self.sum += took;
    }

    /// Upper bounds in milliseconds, each with the number of durations up to it.
    pub fn cumulative(&self) -> impl Iterator<Item = (u64, u64)> {
        BOUNDS_MS.into_iter().zip(self.buckets).scan(0, |total, (bound_ms, count)| {
            *total += count;
            Some((bound_ms, *total))
        })
    }

    /// Number of durations.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Sum of the durations.
    pub fn sum(&self) -> Duration {
        self.sum
    }
}
