//! Which jobs are refused at the door.
//!
//! Only those that the log cannot take: a job that will be late is still wanted by its
//! caller, and runs once there is room.

use super::leader::Leader;

/// When callers may come back once the log has caught up, in milliseconds.
const LOG_FULL_MS: u64 = 1_000;

impl Leader {
    /// When to come back, for a job that cannot be taken now.
    pub(super) fn refuse(&self) -> Option<u64> {
        self.is_full().then_some(LOG_FULL_MS)
    }
}
