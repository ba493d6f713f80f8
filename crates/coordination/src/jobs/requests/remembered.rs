//! How long cancellations of jobs that are not active are remembered.

use crate::jobs::leader::{Leader, Now, OnCommit};
use crate::moment::Moment;
use std::collections::{BTreeMap, VecDeque};
use yuccalink_state::jobs::{CellState, JobCommand, JobId};

/// Cancellations forgotten by one command, so that no batch for the log becomes large.
const FORGOTTEN_MAX: usize = 1_024;

/// When this leader applied the last cancellation of each job, or took over. Not the wall clock,
/// which may jump.
#[derive(Debug, Default)]
pub(in crate::jobs) struct RememberedCancellations {
    latest: BTreeMap<JobId, Moment>,
    /// In the order of their times; a job that was cancelled again is in it several times.
    by_time: VecDeque<(Moment, JobId)>,
}

impl RememberedCancellations {
    pub(in crate::jobs) fn from_state(state: &CellState, now: Moment) -> Self {
        let mut remembered = Self::default();
        state.cancellations().iter().for_each(|id| remembered.add(id, now));
        remembered
    }

    pub(in crate::jobs) fn add(&mut self, id: JobId, now: Moment) {
        self.latest.insert(id, now);
        self.by_time.push_back((now, id));
    }

    /// Takes at most [`FORGOTTEN_MAX`] jobs whose last cancellation was before `before`.
    fn take_older(&mut self, before: Moment) -> Vec<JobId> {
        let mut old = Vec::new();
        while old.len() < FORGOTTEN_MAX
            && let Some((at, id)) = self.by_time.front().copied()
            && at < before
        {
            self.by_time.pop_front();
            if self.latest.get(&id) == Some(&at) {
                self.latest.remove(&id);
                old.push(id);
            }
        }
        old
    }
}

impl Leader {
    /// Forgets the cancellations that are older than ended jobs may be.
    pub(in crate::jobs) fn forget_old_cancellations(&mut self, now: Now) {
        let ids = self.remembered.take_older(now.at - self.cfg.job_retention);
        if !ids.is_empty() {
            self.propose(JobCommand::ForgetCancellations(ids), OnCommit::Nothing);
        }
    }
}
