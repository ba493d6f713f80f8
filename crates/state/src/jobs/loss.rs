//! Losses: runs that ended because their runner was lost, by task.
//!
//! When a runner crashes, all its runs end, and one of their tasks may be the cause, or none.
//! A task is a suspect after its first losses. It fails its job once it has lost more runners
//! than chance explains.

use super::task::{IncarnationKey, JobId, TaskKey};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Crashes of runners right after they were ordered to start a task, at which the task's job
/// fails.
pub const CRASHES_AT_START_MAX: usize = 3;
/// Crashes of runners under a task at which its job fails, whatever was reported of its runs.
pub const CRASHES_MAX: usize = 4;
/// Crashes after which the number of further runs of a task is limited.
const CRASHES_BEFORE_RUN_LIMIT: usize = 3;
/// Runs of a task after its third crash, however they end, at which its job fails.
pub const RUNS_AFTER_THIRD_CRASH_MAX: u32 = 2;
/// Runners lost under a task at which its job fails, whether or not they are known to have
/// crashed.
pub const LOSSES_MAX: usize = 5;

/// The last thing that was reported of a run before its runner was lost.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum LossEvidence {
    /// The runner never reported to the leader that recorded the loss.
    #[display("nothing")]
    Nothing,
    /// The run was ordered, and its runner has not reported since.
    #[display("ordered")]
    Ordered,
    /// The runner listed the run in a report.
    #[display("working")]
    Working,
    /// The runner listed the run for so long that the run is not the cause of the loss.
    #[display("proven")]
    Proven,
}

/// Whether a lost runner is known to have crashed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunnerFate {
    /// The runner has not reported since; it may be partitioned.
    #[display("unknown")]
    Unknown,
    /// A later incarnation of the runner has reported, or another runner at its address.
    #[display("crashed")]
    Crashed,
}

/// A run that ended because its runner was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    /// Number of the run.
    pub run: u32,
    /// The lost runner incarnation.
    #[serde(rename = "life")]
    pub incarnation: IncarnationKey,
    /// The last thing that was reported of the run.
    #[serde(rename = "seen")]
    pub evidence: LossEvidence,
    /// Whether the runner is known to have crashed.
    pub fate: RunnerFate,
    /// Time at which the leader recorded the end of the run, in Unix milliseconds.
    pub at_ms: u64,
}

/// Numbers of runners known to have crashed under one task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Crashes {
    /// All crashed runners.
    pub all: usize,
    /// Crashed runners that had not reported since they were ordered to start the task.
    pub at_start: usize,
}

impl Crashes {
    /// Whether the task reaches a crash limit if `more` runners crash at its start.
    ///
    /// ```
    /// use yuccalink_state::jobs::Crashes;
    /// let twice = Crashes { all: 2, at_start: 2 };
    /// assert!(!twice.would_reach_limit(0) && twice.would_reach_limit(1));
    /// ```
    pub fn would_reach_limit(self, more: usize) -> bool {
        self.at_start + more >= CRASHES_AT_START_MAX || self.all + more >= CRASHES_MAX
    }
}

/// The losses of tasks that are not done. Only tasks with losses have an entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Losses {
    by_task: BTreeMap<TaskKey, Vec<Loss>>,
}

impl Losses {
    /// The losses of a task, oldest first.
    ///
    /// ```
    /// use yuccalink_state::jobs::{JobId, Losses, TaskKey};
    /// let task = TaskKey { job: JobId(1), occurrence: 0, step: 0, index: 0 };
    /// assert!(Losses::default().of(task).is_empty());
    /// ```
    pub fn of(&self, task: TaskKey) -> &[Loss] {
        self.by_task.get(&task).map_or(&[], Vec::as_slice)
    }

    /// All tasks with losses.
    pub fn tasks(&self) -> impl Iterator<Item = (TaskKey, &[Loss])> {
        self.by_task.iter().map(|(task, losses)| (*task, losses.as_slice()))
    }

    /// Tasks of one job with losses.
    pub fn of_job(&self, job: JobId) -> impl Iterator<Item = (TaskKey, &[Loss])> {
        let first = TaskKey { job, occurrence: 0, step: 0, index: 0 };
        let of_job = self.by_task.range(first..).take_while(move |(task, _)| task.job == job);
        of_job.map(|(task, losses)| (*task, losses.as_slice()))
    }

    /// Whether no task has losses.
    pub fn is_empty(&self) -> bool {
        self.by_task.is_empty()
    }

    /// Counts the runners known to have crashed under a task.
    ///
    /// ```
    /// use yuccalink_state::jobs::{JobId, Losses, TaskKey};
    /// let task = TaskKey { job: JobId(1), occurrence: 0, step: 0, index: 0 };
    /// assert_eq!(Losses::default().crashes(task).all, 0);
    /// ```
    pub fn crashes(&self, task: TaskKey) -> Crashes {
        let crashed = self.of(task).iter().filter(|loss| loss.fate == RunnerFate::Crashed);
        let at_start =
            crashed.clone().filter(|loss| loss.evidence == LossEvidence::Ordered).count();
        Crashes { all: crashed.count(), at_start }
    }

    /// Whether a task has lost too many runners to be started again; `last_run` is the
    /// number of its newest run.
    pub(crate) fn exceed_limit(&self, task: TaskKey, last_run: u32) -> bool {
        let losses = self.of(task);
        let third_crash = losses
            .iter()
            .filter(|loss| loss.fate == RunnerFate::Crashed)
            .nth(CRASHES_BEFORE_RUN_LIMIT - 1);
        self.crashes(task).would_reach_limit(0)
            || losses.len() >= LOSSES_MAX
            || third_crash.is_some_and(|loss| last_run >= loss.run + RUNS_AFTER_THIRD_CRASH_MAX)
    }

    /// Whether a runner incarnation has losses and is not known to have crashed.
    pub fn is_unconfirmed(&self, incarnation: IncarnationKey) -> bool {
        let mut losses = self.by_task.values().flatten();
        losses.any(|loss| loss.incarnation == incarnation && loss.fate == RunnerFate::Unknown)
    }

    /// Runner incarnations with losses that are not known to have crashed.
    pub fn unconfirmed_incarnations(&self) -> BTreeSet<IncarnationKey> {
        let losses = self.by_task.values().flatten();
        losses
            .filter(|loss| loss.fate == RunnerFate::Unknown)
            .map(|loss| loss.incarnation)
            .collect()
    }

    /// Jobs with losses on runners that are not known to have crashed.
    pub fn jobs_with_unconfirmed_losses(&self) -> BTreeSet<JobId> {
        let open = |losses: &[Loss]| losses.iter().any(|loss| loss.fate == RunnerFate::Unknown);
        self.tasks().filter(|(_, losses)| open(losses)).map(|(task, _)| task.job).collect()
    }

    /// Records a loss of a task.
    pub(crate) fn add(&mut self, task: TaskKey, loss: Loss) {
        match loss.evidence {
            // The run lasted long enough to clear the task of earlier suspicion.
            LossEvidence::Proven => self.remove(task),
            LossEvidence::Nothing | LossEvidence::Ordered | LossEvidence::Working => {
                self.by_task.entry(task).or_default().push(loss);
            }
        }
    }

    /// Marks lost runner incarnations as crashed and returns the tasks with losses on them.
    pub(crate) fn mark_crashed(&mut self, incarnations: &BTreeSet<IncarnationKey>) -> Vec<TaskKey> {
        let mut tasks = Vec::new();
        for (task, losses) in &mut self.by_task {
            for loss in losses {
                if loss.fate == RunnerFate::Unknown && incarnations.contains(&loss.incarnation) {
                    loss.fate = RunnerFate::Crashed;
                    tasks.push(*task);
                }
            }
        }
        tasks
    }

    /// Removes the losses on a runner incarnation that was only partitioned.
    pub(crate) fn remove_unconfirmed(&mut self, incarnation: IncarnationKey) {
        for losses in self.by_task.values_mut() {
            losses
                .retain(|loss| loss.incarnation != incarnation || loss.fate != RunnerFate::Unknown);
        }
        self.by_task.retain(|_, losses| !losses.is_empty());
    }

    /// Removes the losses of a task that is done or no longer suspected.
    pub(crate) fn remove(&mut self, task: TaskKey) {
        self.by_task.remove(&task);
    }

    /// Removes the losses of all tasks of a job.
    pub(crate) fn remove_job(&mut self, job: JobId) {
        let tasks: Vec<TaskKey> = self.of_job(job).map(|(task, _)| task).collect();
        for task in tasks {
            self.by_task.remove(&task);
        }
    }
}
