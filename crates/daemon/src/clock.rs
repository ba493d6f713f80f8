//! The runtime's clock as the coordination parts count it, and the wall clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;
use yuccalink_coordination::Moment;

/// Moments since this daemon started. Starts at one second, so that zero stays
/// free for "never".
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

const OFFSET: Duration = Duration::from_secs(1);

impl Clock {
    pub(crate) fn start() -> Self {
        Self { start: Instant::now() }
    }

    pub(crate) fn now(&self) -> Moment {
        Moment::ZERO + OFFSET + self.start.elapsed()
    }
}

/// Unix milliseconds by the wall clock.
pub(crate) fn unix_ms() -> u64 {
    millis(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default())
}

/// Whole milliseconds of a span.
pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
