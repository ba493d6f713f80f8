//! Cancellations of jobs that are not active.

use super::task::JobId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Maximum number of cancellations that are remembered.
pub const CANCELLATIONS_MAX: usize = 32 * 1024;

/// Jobs that were cancelled while they were unknown or had ended. A copy of the submission may
/// still arrive, also after an ended job was removed, and must not run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Cancellations {
    jobs: BTreeSet<JobId>,
}

impl Cancellations {
    /// Whether the cancellation of a job is remembered.
    ///
    /// ```
    /// use yuccalink_state::jobs::{Cancellations, JobId};
    /// let mut cancellations = Cancellations::default();
    /// assert!(cancellations.add(JobId(1)));
    /// assert!(cancellations.contains(JobId(1)) && !cancellations.contains(JobId(2)));
    /// ```
    pub fn contains(&self, id: JobId) -> bool {
        self.jobs.contains(&id)
    }

    /// Remembers the cancellation of a job. Returns false if there are [`CANCELLATIONS_MAX`]
    /// already.
    pub fn add(&mut self, id: JobId) -> bool {
        if self.is_full() && !self.contains(id) {
            return false;
        }
        self.jobs.insert(id);
        true
    }

    /// Forgets a cancellation. Returns whether it was remembered.
    pub(super) fn remove(&mut self, id: JobId) -> bool {
        self.jobs.remove(&id)
    }

    /// All jobs whose cancellation is remembered, in the order of their numbers.
    pub fn iter(&self) -> impl Iterator<Item = JobId> {
        self.jobs.iter().copied()
    }

    /// Whether no further cancellation can be remembered.
    pub fn is_full(&self) -> bool {
        self.len() >= CANCELLATIONS_MAX
    }

    /// Whether no cancellation is remembered.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Number of remembered cancellations.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }
}
