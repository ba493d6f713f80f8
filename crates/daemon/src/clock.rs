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
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Moments since some start on the clock that goes on while the machine is
/// suspended. A lease measured by the steady clock would still be valid to its
/// holder after a suspension, when others have long taken over.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BootClock {
    start: Duration,
}

impl BootClock {
    pub(crate) fn start() -> Self {
        Self { start: boot_time() }
    }

    pub(crate) fn now(&self) -> Moment {
        Moment::ZERO + OFFSET + boot_time().saturating_sub(self.start)
    }
}

fn boot_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let secs = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::new(secs, u32::try_from(time.tv_nsec).unwrap_or(0))
}
