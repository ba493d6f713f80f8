//! Clocks: the runtime's monotonic clock and the boot-time clock as [`Moment`]s, and the
//! wall clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;
use yuccalink_coordination::Moment;

/// Monotonic time since this daemon started. It starts at one second, because zero
/// stands for "never".
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

/// Offset of [`Clock`] and [`BootClock`], so that no time equals zero.
const OFFSET: Duration = Duration::from_secs(1);

impl Clock {
    pub(crate) fn start() -> Self {
        Self { start: Instant::now() }
    }

    pub(crate) fn now(&self) -> Moment {
        Moment::ZERO + OFFSET + self.start.elapsed()
    }
}

/// Wall clock time in Unix milliseconds.
pub(crate) fn unix_ms() -> u64 {
    millis(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default())
}

/// A duration in whole milliseconds.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Time since this clock was created, including time during which the machine was
/// suspended. The monotonic clock stops during a suspension: a lease measured with it
/// would still look valid to its holder after others had taken over.
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
