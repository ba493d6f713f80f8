//! Forecast of how long a new job waits for its first tasks, and the error of that forecast.
//!
//! The load: callers who together ask for 1.3 to 5 times the CPU of their pool, so that jobs which
//! come late in the order wait until their result helps nobody.
//!
//! A wait is forecast from the work that is ahead of the job in the order and the rate at which
//! work is started. Both are in core-seconds by declared run times, so an error common to all
//! declared run times cancels. What is left is learnt: each outcome adds the ratio of the
//! observed to the forecast wait to a histogram.

use crate::moment::Moment;
use std::time::Duration;

/// Buckets of ratios for each doubling.
const BUCKETS_PER_DOUBLING: i32 = 4;
/// Ratios from 1/64 to 64 are told apart.
const DOUBLINGS: i32 = 6;
const BUCKETS: usize = (2 * DOUBLINGS * BUCKETS_PER_DOUBLING) as usize;
/// Shortest expected duration of the first band, which also has all shorter ones.
const BAND_MIN: Duration = Duration::from_millis(64);
/// The last band begins at 65 s.
const BANDS: usize = 11;
/// Outcomes from which all counts are halved, so that old outcomes fade.
const OUTCOMES_MAX: u32 = 4_096;
/// Weight of a new measurement in the drain rate.
const RATE_WEIGHT: f64 = 0.1;
/// Shortest time over which the drain rate is measured.
const RATE_INTERVAL: Duration = Duration::from_millis(500);

/// Histogram of the ratios of observed to expected durations. An outcome may be censored: it is
/// known only that the duration was longer.
///
/// ```
/// use std::time::Duration;
/// use yuccalink_coordination::jobs::forecast::RatioHistogram;
/// let mut ratios = RatioHistogram::default();
/// ratios.record(Duration::from_secs(1), Duration::from_secs(2));
/// ratios.record_longer(Duration::from_secs(1), Duration::from_secs(1));
/// assert_eq!(ratios.outcomes(), 2);
/// assert!((1.6..=2.0).contains(&ratios.at_least(0.01, 1)));
/// assert!((2.0..=2.4).contains(&ratios.at_most(0.01)));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RatioHistogram {
    /// Counts by ratio; the first bucket also holds all smaller ratios, the last all larger ones.
    exact: [u32; BUCKETS],
    /// Counts of censored outcomes by the ratio that is exceeded.
    longer: [u32; BUCKETS],
    outcomes: u32,
}

impl Default for RatioHistogram {
    fn default() -> Self {
        Self { exact: [0; BUCKETS], longer: [0; BUCKETS], outcomes: 0 }
    }
}

impl RatioHistogram {
    /// Adds an outcome. Without an expected duration there is no ratio.
    pub fn record(&mut self, expected: Duration, observed: Duration) {
        if let Some(at) = self.make_room(expected, observed) {
            self.exact[at] += 1;
        }
    }

    /// Adds an outcome of which it is known only that it is longer than `observed`.
    pub fn record_longer(&mut self, expected: Duration, observed: Duration) {
        if let Some(at) = self.make_room(expected, observed) {
            self.longer[at] += 1;
        }
    }

    /// The bucket of a new outcome.
    fn make_room(&mut self, expected: Duration, observed: Duration) -> Option<usize> {
        if expected.is_zero() {
            return None;
        }
        if self.outcomes >= OUTCOMES_MAX {
            let counts = self.exact.iter_mut().chain(&mut self.longer);
            counts.for_each(|count| *count /= 2);
            self.outcomes = self.exact.iter().chain(&self.longer).sum();
        }
        self.outcomes += 1;
        let doublings = observed.div_duration_f64(expected).max(1e-6).log2();
        let at = (doublings * f64::from(BUCKETS_PER_DOUBLING)).floor() as i32
            + DOUBLINGS * BUCKETS_PER_DOUBLING;
        Some(usize::try_from(at).unwrap_or(0).min(BUCKETS - 1))
    }

    /// Number of outcomes, of which old ones fade.
    pub fn outcomes(&self) -> u32 {
        self.outcomes
    }

    /// Ratio that all outcomes but a share of `quantile` reach, by the product-limit (Kaplan-Meier)
    /// estimate. Ratios for which fewer than `outcomes_min` outcomes are known are not reached.
    pub fn at_least(&self, quantile: f64, outcomes_min: u32) -> f64 {
        let mut left = self.outcomes;
        let mut longer_share = 1.0;
        for (at, (exact, longer)) in self.exact.iter().zip(&self.longer).enumerate() {
            let at_risk = left - longer;
            if at_risk < outcomes_min.max(1) {
                return lower_bound(at);
            }
            longer_share *= 1.0 - f64::from(*exact) / f64::from(at_risk);
            if longer_share < 1.0 - quantile {
                return lower_bound(at);
            }
            left -= longer + exact;
        }
        lower_bound(BUCKETS - 1)
    }

    /// Ratio that at most a share of `quantile` of the outcomes exceeds, those apart of which only
    /// a shorter duration is known; infinite without outcomes.
    pub fn at_most(&self, quantile: f64) -> f64 {
        let above = (f64::from(self.exact.iter().sum::<u32>()) * quantile) as u32;
        let mut seen = 0;
        for (at, count) in self.exact.iter().enumerate().rev() {
            seen += count;
            if seen > above {
                return if at == BUCKETS - 1 { f64::INFINITY } else { lower_bound(at + 1) };
            }
        }
        f64::INFINITY
    }
}

/// Lower bound of the ratios in a bucket.
fn lower_bound(at: usize) -> f64 {
    if at == 0 {
        return 0.0;
    }
    let doublings = at as f64 / f64::from(BUCKETS_PER_DOUBLING) - f64::from(DOUBLINGS);
    doublings.exp2()
}

/// Histograms of ratios, one for each doubling of the expected duration: how wrong a forecast is
/// depends on how long it is.
///
/// ```
/// use std::time::Duration;
/// use yuccalink_coordination::jobs::forecast::BandedRatios;
/// let mut ratios = BandedRatios::default();
/// ratios.record(Duration::from_secs(5), Duration::from_secs(4));
/// assert_eq!(ratios.of(Duration::from_secs(6)).outcomes(), 1);
/// assert_eq!(ratios.of(Duration::from_secs(60)).outcomes(), 0);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BandedRatios {
    bands: [RatioHistogram; BANDS],
}

impl BandedRatios {
    /// Adds an outcome.
    pub fn record(&mut self, expected: Duration, observed: Duration) {
        self.bands[band(expected)].record(expected, observed);
    }

    /// Adds an outcome of which it is known only that it is longer than `observed`.
    pub fn record_longer(&mut self, expected: Duration, observed: Duration) {
        self.bands[band(expected)].record_longer(expected, observed);
    }

    /// The ratios of durations that were expected to be about as long as `expected`.
    pub fn of(&self, expected: Duration) -> &RatioHistogram {
        &self.bands[band(expected)]
    }

    /// The bands with outcomes, with the shortest expected duration of each.
    pub fn known(&self) -> impl Iterator<Item = (Duration, &RatioHistogram)> {
        let bands = self.bands.iter().zip(0..);
        let bands = bands.map(|(ratios, at)| (BAND_MIN * (1 << at), ratios));
        bands.filter(|(_, ratios)| ratios.outcomes() > 0)
    }
}

fn band(expected: Duration) -> usize {
    let doublings = expected.div_duration_f64(BAND_MIN).max(1.0).log2();
    (doublings as usize).min(BANDS - 1)
}

/// Waiting work of one pool in the order of the ranks `K`, and the rate at which work is started.
///
/// ```
/// use std::time::Duration;
/// use yuccalink_coordination::Moment;
/// use yuccalink_coordination::jobs::forecast::Backlog;
/// let mut backlog = Backlog::default();
/// for second in 0..20 {
///     backlog.update(Moment::from_millis(second * 1_000), vec![(1, 60.0), (3, 60.0)]);
///     backlog.started(10.0);
/// }
/// let wait = backlog.wait_at(&2, 0.0).unwrap();
/// assert_eq!(wait.as_secs(), 6);
/// assert_eq!(backlog.wait_at(&0, 0.0), None);
/// ```
#[derive(Clone, Debug)]
pub struct Backlog<K> {
    /// Rank of each waiting step, and the core-seconds up to it and its own.
    steps: Vec<(K, f64)>,
    /// Core-seconds started since the rate was last measured.
    started: f64,
    measured_at: Option<Moment>,
    /// Core-seconds started in a second while work was waiting.
    rate: Option<f64>,
}

impl<K> Default for Backlog<K> {
    fn default() -> Self {
        Self { steps: Vec::new(), started: 0.0, measured_at: None, rate: None }
    }
}

impl<K> Backlog<K>
where
    K: Ord,
{
    /// Replaces the waiting steps, given in their order with their core-seconds.
    pub fn update(&mut self, now: Moment, steps: Vec<(K, f64)>) {
        // While nothing waits, the rate is what callers ask for and not what the pool can do.
        let waited = !self.steps.is_empty();
        let passed = self.measured_at.map(|at| now.since(at));
        if passed.is_none_or(|passed| passed >= RATE_INTERVAL || !waited) {
            if let Some(passed) = passed.filter(|passed| waited && !passed.is_zero()) {
                let rate = self.started / passed.as_secs_f64();
                self.rate = Some(match self.rate {
                    Some(known) => known + (rate - known) * RATE_WEIGHT,
                    None => rate,
                });
            }
            self.started = 0.0;
            self.measured_at = Some(now);
        }
        let mut total = 0.0;
        self.steps = steps;
        for (_, work) in &mut self.steps {
            total += *work;
            *work = total;
        }
    }

    /// Records that tasks with these core-seconds were started.
    pub fn started(&mut self, core_seconds: f64) {
        self.started += core_seconds;
    }

    /// Core-seconds started in a second while work was waiting, once measured.
    pub fn rate(&self) -> Option<f64> {
        self.rate.filter(|rate| *rate > 0.0)
    }

    /// Core-seconds of the steps that come before a new one of this rank.
    pub fn ahead_of(&self, rank: &K) -> f64 {
        let before = self.steps.partition_point(|(known, _)| known <= rank);
        before.checked_sub(1).and_then(|last| self.steps.get(last)).map_or(0.0, |(_, work)| *work)
    }

    /// Forecast of the time until a new step of this rank, with these core-seconds, has started;
    /// `None` if nothing is ahead of it or the rate is not known.
    pub fn wait_at(&self, rank: &K, core_seconds: f64) -> Option<Duration> {
        let ahead = self.ahead_of(rank);
        if ahead <= 0.0 {
            return None;
        }
        Duration::try_from_secs_f64((ahead + core_seconds) / self.rate()?).ok()
    }
}
