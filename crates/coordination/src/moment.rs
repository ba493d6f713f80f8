//! Instants of a monotonic clock, and a bound on the drift between two such clocks.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};
use std::time::Duration;

/// Maximum rate error of a machine's clock, in parts per million. The granter counts a lease as
/// longer by this drift, so that a holder with the slowest permitted clock still stops before
/// the granter counts the lease as expired.
pub const DRIFT_PPM: u64 = 10_000;

/// Microseconds since an arbitrary origin that one process chose.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{}.{:06}s", _0 / 1_000_000, _0 % 1_000_000)]
#[serde(transparent)]
pub struct Moment(pub u64);

impl Moment {
    /// The origin of the clock.
    pub const ZERO: Self = Self(0);

    /// The moment this many milliseconds after the origin.
    ///
    /// ```
    /// use yuccalink_coordination::Moment;
    /// assert_eq!(Moment::from_millis(2), Moment(2_000));
    /// ```
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// Time from `earlier` to `self`, or zero if `earlier` is later.
    ///
    /// ```
    /// # use yuccalink_coordination::Moment;
    /// # use std::time::Duration;
    /// assert_eq!(Moment(5).since(Moment(2)), Duration::from_micros(3));
    /// assert_eq!(Moment(2).since(Moment(5)), Duration::ZERO);
    /// ```
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(span.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl Sub<Duration> for Moment {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(u64::try_from(span.as_micros()).unwrap_or(u64::MAX)))
    }
}

/// How long the granter of a lease of `span` must wait after it last granted the lease before
/// it may count the lease as expired.
///
/// ```
/// use std::time::Duration;
/// use yuccalink_coordination::moment::lease_span_with_drift;
/// assert_eq!(lease_span_with_drift(Duration::from_secs(1)), Duration::from_millis(1020));
/// ```
#[must_use]
pub fn lease_span_with_drift(span: Duration) -> Duration {
    // The two clocks may err in opposite directions, so the drift counts twice.
    let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX / 2);
    span + Duration::from_micros(
        micros / 1_000_000 * 2 * DRIFT_PPM + micros % 1_000_000 * 2 * DRIFT_PPM / 1_000_000,
    )
}
