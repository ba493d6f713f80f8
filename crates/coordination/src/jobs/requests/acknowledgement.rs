//! Which run ends are acknowledged to their runner.
//!
//! A run is given up once its runner's lease has certainly expired, and its task then starts
//! elsewhere. If the run had ended meanwhile and its end was acknowledged after all, the task
//! would have started again after an end that the cell knows of. Such an end is acknowledged only
//! behind a run that the runner itself lists as expired; see [`crate::jobs::expiry`].

use crate::jobs::leader::Leader;
use crate::jobs::messages::FinishedRun;
use std::collections::BTreeSet;
use yuccalink_state::jobs::{IncarnationKey, RunOutcome};

/// Whether a listed run end may be acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// The end is committed, or changes nothing.
    Settled,
    /// The end, or the loss of its run, is not committed yet.
    Uncommitted,
    /// The run was given up before its end was known.
    GivenUp,
}

impl Leader {
    /// Number of the newest run end that may be acknowledged: all in `finished` before the first
    /// one that is not committed or whose run was given up.
    pub(in crate::jobs) fn newest_acknowledgeable(
        &self,
        key: IncarnationKey,
        finished: &[FinishedRun],
    ) -> u64 {
        let newest = finished.iter().map(|end| end.number).max().unwrap_or(0);
        let expired_through = expired_through(finished);
        let later = finished.iter().filter(|end| end.number > expired_through);
        let withheld = later.filter(|end| self.standing(key, end) != Standing::Settled);
        withheld.map(|end| end.number.saturating_sub(1)).min().unwrap_or(newest)
    }

    /// Numbers of the listed ends that cannot be acknowledged because their runs were given up.
    pub(in crate::jobs) fn ends_given_up(
        &self,
        key: IncarnationKey,
        finished: &[FinishedRun],
    ) -> BTreeSet<u64> {
        let expired_through = expired_through(finished);
        let later = finished.iter().filter(|end| end.number > expired_through);
        let given_up = later.filter(|end| self.standing(key, end) == Standing::GivenUp);
        given_up.map(|end| end.number).collect()
    }

    fn standing(&self, key: IncarnationKey, end: &FinishedRun) -> Standing {
        let Some(task) = end.task else { return Standing::Settled };
        if !matches!(end.outcome, RunOutcome::Done | RunOutcome::Failed) {
            return Standing::Settled;
        }
        let (Some(state), Some(step)) = (self.state.task(task), self.state.step_spec(task)) else {
            // Nothing tells any more whether the task of a removed job had started again.
            return Standing::GivenUp;
        };
        if step.long_running {
            return Standing::Settled;
        }
        if self.state.is_assigned(key, task, end.run) {
            return Standing::Uncommitted;
        }
        // Copies of a speculative task have different numbers.
        let started_again = state.last_run != end.run && !step.speculative;
        let may_start = self.state.is_active(task.job);
        let given_up = match end.outcome {
            RunOutcome::Done => started_again || (may_start && !state.done),
            _ => (started_again || may_start) && !state.has_recorded_failure(key, end.run),
        };
        if given_up { Standing::GivenUp } else { Standing::Settled }
    }
}

/// Number of the newest run that expired with its lease: the runner itself says that its lease
/// expired after all ends up to this one.
fn expired_through(finished: &[FinishedRun]) -> u64 {
    let expired = finished.iter().filter(|end| end.outcome == RunOutcome::Lapsed);
    expired.map(|end| end.number).max().unwrap_or(0)
}
