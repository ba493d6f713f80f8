//! Callers who were refused: when they may return, and that those who do come before newcomers.
//!
//! The load: a burst at 2.6 times the usual rate. Callers refused in the same second who are all
//! told the same delay return in the same second.
//!
//! Each refused job gets a time of its own: as long after the one before as the pool takes to
//! start its work. What is kept of it is bounded in number and time, and only the leader that
//! refused the job knows it.

use crate::jobs::report_rate::millis;
use crate::moment::Moment;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use yuccalink_state::jobs::JobId;

/// Refused jobs that are remembered. Beyond it, the one that was to return first is forgotten.
pub const REFUSED_MAX: usize = 4_096;
/// Shortest delay. The header names whole seconds.
pub const RETRY_MIN: Duration = Duration::from_secs(1);
/// Longest delay, but for a millisecond. Who is told to wait longer is better told now that there is no room.
pub const RETRY_MAX: Duration = Duration::from_secs(15);
/// For how long after its time a job still counts as returned when told.
pub const RETURN_GRACE: Duration = Duration::from_secs(5);

/// Whether a job was refused before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It was not, as far as this leader knows.
    Newcomer,
    /// It was, and it returns when told.
    Returned,
    /// It was refused, and has this long to wait.
    TooEarly(Duration),
}

/// Refused jobs, each with the time at which it may return.
///
/// ```
/// use std::time::Duration;
/// use yuccalink_coordination::Moment;
/// use yuccalink_coordination::jobs::returning::{Refused, Standing};
/// use yuccalink_state::jobs::JobId;
/// let (mut refused, now) = (Refused::default(), Moment::from_millis(1_000));
/// let first = refused.add(JobId(1), now, Duration::ZERO, Duration::from_secs(2));
/// let second = refused.add(JobId(2), now, Duration::ZERO, Duration::from_secs(2));
/// assert!(second > first);
/// assert_eq!(refused.standing(JobId(2), now), Standing::TooEarly(second));
/// assert_eq!(refused.standing(JobId(2), now + second), Standing::Returned);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Refused {
    returns: BTreeMap<JobId, Moment>,
    by_time: BTreeSet<(Moment, JobId)>,
    /// Time by which the work of all refused jobs has been started.
    booked_until: Moment,
}

impl Refused {
    /// Number of jobs that are remembered.
    pub fn len(&self) -> usize {
        self.returns.len()
    }

    /// Whether none are remembered.
    pub fn is_empty(&self) -> bool {
        self.returns.is_empty()
    }

    /// Whether the job is remembered, and may return.
    pub fn standing(&self, id: JobId, now: Moment) -> Standing {
        match self.returns.get(&id) {
            Some(at) if now < *at => Standing::TooEarly(at.since(now)),
            Some(at) if now <= *at + RETURN_GRACE => Standing::Returned,
            _ => Standing::Newcomer,
        }
    }

    /// Remembers a refused job and returns its delay. Room is expected in `room_in`, and `work`
    /// is the time that the pool takes to start the job's work.
    pub fn add(&mut self, id: JobId, now: Moment, room_in: Duration, work: Duration) -> Duration {
        self.forget(id);
        let room_at = self.booked_until.max(now + room_in.max(RETRY_MIN));
        let delay = match room_at.since(now) {
            delay if delay <= RETRY_MAX => {
                self.booked_until = room_at + work;
                delay
            }
            _ => spread(id, now),
        };
        // Callers are told whole milliseconds.
        let delay = Duration::from_millis(millis(delay) + 1);
        let at = now + delay;
        self.returns.insert(id, at);
        self.by_time.insert((at, id));
        while self.returns.len() > REFUSED_MAX
            && let Some((_, oldest)) = self.by_time.first().copied()
        {
            self.forget(oldest);
        }
        delay
    }

    /// Forgets a job. Returns whether it was remembered.
    pub fn forget(&mut self, id: JobId) -> bool {
        let Some(at) = self.returns.remove(&id) else { return false };
        self.by_time.remove(&(at, id))
    }

    /// Forgets the jobs that did not return in time.
    pub fn forget_late(&mut self, now: Moment) {
        while let Some((at, id)) = self.by_time.first().copied()
            && now > at + RETURN_GRACE
        {
            self.forget(id);
        }
    }
}

/// A delay in the second half of the longest one, which differs between jobs.
fn spread(id: JobId, now: Moment) -> Duration {
    let hash = (id.0 ^ now.0).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    RETRY_MAX / 2 + (RETRY_MAX / 2).mul_f64(hash as f64 / f64::from(u32::MAX))
}
