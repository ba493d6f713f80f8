//! Bounds the memory that jobs take in each process of the cell.
//!
//! Only the leader refuses, before it proposes a submission: every replica applies what is
//! committed, so that all hold the same state. The queue that has filled the memory is refused
//! first; some is always left for the jobs of others.

use crate::jobs::leader::Leader;
use crate::jobs::report_rate::{millis, spread};
use std::collections::BTreeMap;
use std::time::Duration;
use yuccalink_state::jobs::{JobId, JobSubmission, MemoryUse};

/// One part in this many of a process's memory is for jobs. The rest is for the log, snapshots,
/// connections and runners.
const JOBS_PART: u64 = 2;
/// One part in this many is for submissions that are not committed. Each is also held encoded, by
/// the log and by messages to other replicas.
const UNCOMMITTED_PART: u64 = 16;
/// A queue takes at most this many times the memory that is left.
const QUEUE_TO_FREE: u64 = 3;
/// Mean retry delay. Memory becomes free as ended jobs are forgotten, some every second.
const RETRY_AFTER: Duration = Duration::from_secs(5);

/// Memory of a process for which none is configured, in bytes.
pub const PROCESS_MEMORY: u64 = 512 << 20;

/// Bounds on the memory of jobs, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobRoom {
    jobs: u64,
    uncommitted: u64,
}

impl JobRoom {
    /// The bounds in a process that has `bytes` of memory.
    ///
    /// ```
    /// use yuccalink_coordination::jobs::room::JobRoom;
    /// assert_eq!(JobRoom::of_process(512 << 20).limit(), 256 << 20);
    /// ```
    pub fn of_process(bytes: u64) -> Self {
        Self { jobs: bytes / JOBS_PART, uncommitted: bytes / UNCOMMITTED_PART }
    }

    /// Memory that all jobs may take.
    pub fn limit(self) -> u64 {
        self.jobs
    }

    /// Whether a job fits beside those in `held` and `uncommitted`.
    fn admits(self, held: &MemoryUse, uncommitted: &MemoryUse, queue: &str, memory: u64) -> bool {
        let of_queue = held.of_queue(queue) + uncommitted.of_queue(queue) + memory;
        let total = held.total() + uncommitted.total() + memory;
        let free = self.jobs.saturating_sub(total);
        // A single submission is always proposed, however large it is.
        let proposable =
            uncommitted.total() == 0 || uncommitted.total() + memory <= self.uncommitted;
        proposable && of_queue <= free.saturating_mul(QUEUE_TO_FREE)
    }
}

/// Submissions that are proposed but not committed.
#[derive(Debug, Default)]
pub(in crate::jobs) struct Submitting {
    /// Number of proposed copies of each.
    copies: BTreeMap<JobId, u32>,
    memory: MemoryUse,
}

impl Submitting {
    pub(in crate::jobs) fn contains(&self, id: JobId) -> bool {
        self.copies.contains_key(&id)
    }

    pub(in crate::jobs) fn add(&mut self, submission: &JobSubmission) {
        *self.copies.entry(submission.id).or_default() += 1;
        self.memory.replace(&submission.queue, 0, submission.spec.memory());
    }

    /// Removes a submission that is committed; this leader may not have proposed it.
    pub(in crate::jobs) fn remove(&mut self, submission: &JobSubmission) {
        let Some(copies) = self.copies.get_mut(&submission.id) else { return };
        *copies -= 1;
        if *copies == 0 {
            self.copies.remove(&submission.id);
        }
        self.memory.replace(&submission.queue, submission.spec.memory(), 0);
    }
}

impl Leader {
    /// Retry delay in milliseconds if there is no memory for a new job of a queue.
    pub(in crate::jobs) fn memory_retry_ms(&mut self, queue: &str, memory: u64) -> Option<u64> {
        let room = self.cfg.room;
        if room.admits(self.state.memory(), &self.submitting.memory, queue, memory) {
            return None;
        }
        self.counts.refused_for_memory += 1;
        // Spread, so that the callers do not return all at once.
        Some(millis(spread(RETRY_AFTER, self.counts.refused_for_memory)))
    }

    /// Memory that jobs may take, in bytes.
    pub fn memory_limit(&self) -> u64 {
        self.cfg.room.limit()
    }
}
