//! How long a call waits at a leader whose lease has lapsed.
//!
//! Answers of the voters that are late make the lease lapse for a moment. Callers that were turned
//! away then would all connect again, to each voter in turn, which delays the voters further.

use std::time::Duration;

/// Longest wait for the lease.
pub const LEASE_WAIT_MAX: Duration = Duration::from_millis(500);

/// What a replica may do for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leadership {
    /// It does not lead.
    None,
    /// It leads, but another replica may have been elected.
    Lapsed,
    /// It leads and holds the lease.
    Held,
}

/// What to do with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Handle it.
    Serve,
    /// Decide again shortly.
    Wait,
    /// Refuse it: the caller looks for the leader.
    TurnAway,
}

/// Decides about a call that has waited for this long.
///
/// ```
/// use std::time::Duration;
/// use yuccalink_coordination::lease_wait::{Leadership, Verdict, decide};
/// assert_eq!(decide(Leadership::Held, Duration::ZERO), Verdict::Serve);
/// ```
pub fn decide(leadership: Leadership, waited: Duration) -> Verdict {
    match leadership {
        Leadership::Held => Verdict::Serve,
        Leadership::Lapsed if waited < LEASE_WAIT_MAX => Verdict::Wait,
        Leadership::Lapsed | Leadership::None => Verdict::TurnAway,
    }
}
