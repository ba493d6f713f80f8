//! Cancellations of jobs that are not in the table.

use super::task::JobId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of cancellations that are remembered.
pub const CANCELLATIONS_MAX: usize = 32 * 1024;

/// Cancellations of jobs that were not in the table, by the job's number. A copy of the
/// submission may still arrive, and must not run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Cancellations {
    /// Times of the cancellations, in Unix milliseconds.
    by_job: BTreeMap<JobId, u64>,
}

impl Cancellations {
    /// Whether a job was cancelled before its submission arrived.
    ///
    /// ```
    /// use yuccalink_state::jobs::{Cancellations, JobId};
    /// let mut cancellations = Cancellations::default();
    /// assert!(cancellations.add(JobId(1), 5));
    /// assert!(cancellations.contains(JobId(1)) && !cancellations.contains(JobId(2)));
    /// ```
    pub fn contains(&self, id: JobId) -> bool {
        self.by_job.contains_key(&id)
    }

    /// Remembers the cancellation of a job at `at_ms`, in Unix milliseconds. Returns false if
    /// there are [`CANCELLATIONS_MAX`] already.
    pub fn add(&mut self, id: JobId, at_ms: u64) -> bool {
        if self.by_job.len() >= CANCELLATIONS_MAX && !self.contains(id) {
            return false;
        }
        self.by_job.entry(id).or_insert(at_ms);
        true
    }

    /// Forgets a cancellation. Returns whether it was remembered.
    pub(super) fn remove(&mut self, id: JobId) -> bool {
        self.by_job.remove(&id).is_some()
    }

    /// Jobs whose cancellation is older than `before_ms`, in Unix milliseconds.
    pub(super) fn older_than(&self, before_ms: u64) -> impl Iterator<Item = JobId> {
        self.by_job.iter().filter(move |(_, at_ms)| **at_ms < before_ms).map(|(id, _)| *id)
    }

    /// Whether no cancellation is remembered.
    pub fn is_empty(&self) -> bool {
        self.by_job.is_empty()
    }

    /// Number of remembered cancellations.
    pub fn len(&self) -> usize {
        self.by_job.len()
    }
}
