//! Which jobs are refused at the door.

use super::leader::{Leader, Now};
use yuccalink_state::jobs::{JobSpec, Queue};

/// When callers may come back once the log has caught up, in milliseconds.
const LOG_FULL_MS: u64 = 1_000;

impl Leader {
    /// When to come back, for a job that cannot be taken now.
    pub(super) fn refuse(&self, _now: Now, _queue: &Queue, _spec: &JobSpec) -> Option<u64> {
        self.is_full().then_some(LOG_FULL_MS)
    }
}
