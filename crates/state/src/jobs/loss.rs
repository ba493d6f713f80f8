//! Runs that ended with their runners, by task, and what they say of the task.
//!
//! A runner that crashes takes all that it runs along, and one task of them may be the
//! cause, or none. A task is given up once it has lost so many runners that chance does not
//! explain it; until then it is a suspect.

use super::task::{IncarnationKey, JobId, TaskKey};
use derive_more::Display;
use serde::{Deserialize, Deserializer, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Crashes right after the order to start a task after which it is given up.
pub const CRASHES_AT_START_MAX: usize = 3;
/// Crashes under a task after which it is given up, whatever was seen of its runs.
pub const CRASHES_MAX: usize = 4;
/// Crashes after which a task has only so many more runs.
const CRASHES_BORNE: usize = 3;
/// Runs of a task after its third crash, however they end, after which it is given up.
pub const RUNS_AFTER_MAX: u32 = 2;
/// Runners lost under a task after which it is given up, whether they are known to have
/// crashed or not.
pub const LOSSES_MAX: usize = 5;

/// What was seen of a run before its runner was lost.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum LossEvidence {
    /// Nothing: its runner has never reported to the leader at work.
    #[display("nothing")]
    Nothing,
    /// It was ordered, and its runner has not reported since.
    #[display("ordered")]
    Ordered,
    /// Its runner listed it.
    #[display("working")]
    Working,
    /// Its runner listed it for so long that it is no cause of the loss.
    #[display("proven")]
    Proven,
}

/// What became of a runner that was lost.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunnerFate {
    /// Nothing was heard of it since: it may be cut off.
    #[display("unknown")]
    Unknown,
    /// A later life of it has come, or another runner at its address.
    #[display("crashed")]
    Crashed,
}

/// A run that ended with its runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    /// Which run.
    pub run: u32,
    /// Where.
    #[serde(rename = "life")]
    pub incarnation: IncarnationKey,
    /// What was seen of it.
    #[serde(rename = "seen")]
    pub evidence: LossEvidence,
    /// What became of the runner.
    pub fate: RunnerFate,
    /// When it was given up, in Unix milliseconds.
    pub at_ms: u64,
}

/// Runners known to have crashed under one task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Crashes {
    /// All of them.
    pub all: usize,
    /// Those that had not reported since they were told to start it.
    pub at_start: usize,
}

impl Crashes {
    /// Whether `more` crashes at the start would be too many.
    ///
    /// ```
    /// use yuccalink_state::jobs::Crashes;
    /// let twice = Crashes { all: 2, at_start: 2 };
    /// assert!(!twice.reach_bound_with(0) && twice.reach_bound_with(1));
    /// ```
    pub fn reach_bound_with(self, more: usize) -> bool {
        self.at_start + more >= CRASHES_AT_START_MAX || self.all + more >= CRASHES_MAX
    }
}

/// The losses of tasks that are not done. Most tasks have none, and no entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Losses {
    by_task: BTreeMap<TaskKey, Vec<Loss>>,
}

impl Losses {
    /// Those of a task, the oldest first.
    ///
    /// ```
    /// use yuccalink_state::jobs::{JobId, Losses, TaskKey};
    /// let task = TaskKey { job: JobId(1), occurrence: 0, step: 0, index: 0 };
    /// assert!(Losses::default().of(task).is_empty());
    /// ```
    pub fn of(&self, task: TaskKey) -> &[Loss] {
        self.by_task.get(&task).map_or(&[], Vec::as_slice)
    }

    /// Tasks with losses.
    pub fn tasks(&self) -> impl Iterator<Item = (TaskKey, &[Loss])> {
        self.by_task.iter().map(|(task, losses)| (*task, losses.as_slice()))
    }

    /// Tasks of a job with losses.
    pub fn of_job(&self, job: JobId) -> impl Iterator<Item = (TaskKey, &[Loss])> {
        let first = TaskKey { job, occurrence: 0, step: 0, index: 0 };
        let of_job = self.by_task.range(first..).take_while(move |(task, _)| task.job == job);
        of_job.map(|(task, losses)| (*task, losses.as_slice()))
    }

    /// Whether no task has any.
    pub fn is_empty(&self) -> bool {
        self.by_task.is_empty()
    }

    /// Runners known to have crashed under a task.
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

    /// Whether a task, whose newest run is `last_run`, has lost runners too often to be
    /// started again.
    pub(crate) fn are_too_many(&self, task: TaskKey, last_run: u32) -> bool {
        let losses = self.of(task);
        let third =
            losses.iter().filter(|loss| loss.fate == RunnerFate::Crashed).nth(CRASHES_BORNE - 1);
        self.crashes(task).reach_bound_with(0)
            || losses.len() >= LOSSES_MAX
            || third.is_some_and(|third| last_run >= third.run + RUNS_AFTER_MAX)
    }

    /// Whether it is not known of a life with losses whether it crashed.
    pub fn has_unknown(&self, incarnation: IncarnationKey) -> bool {
        let mut losses = self.by_task.values().flatten();
        losses.any(|loss| loss.incarnation == incarnation && loss.fate == RunnerFate::Unknown)
    }

    /// Lives of which it is not known whether they crashed.
    pub fn unknown(&self) -> BTreeSet<IncarnationKey> {
        let losses = self.by_task.values().flatten();
        losses
            .filter(|loss| loss.fate == RunnerFate::Unknown)
            .map(|loss| loss.incarnation)
            .collect()
    }

    /// Jobs with a runner of which it is not known whether it crashed.
    pub fn open_jobs(&self) -> BTreeSet<JobId> {
        let open = |losses: &[Loss]| losses.iter().any(|loss| loss.fate == RunnerFate::Unknown);
        self.tasks().filter(|(_, losses)| open(losses)).map(|(task, _)| task.job).collect()
    }

    /// A run ended with its runner.
    pub(crate) fn add(&mut self, task: TaskKey, loss: Loss) {
        match loss.evidence {
            // It has worked for long enough to clear what was suspected before.
            LossEvidence::Proven => self.remove(task),
            LossEvidence::Nothing | LossEvidence::Ordered | LossEvidence::Working => {
                self.by_task.entry(task).or_default().push(loss);
            }
        }
    }

    /// These lives are over. Names the tasks that lost them.
    pub(crate) fn crashed(&mut self, incarnations: &BTreeSet<IncarnationKey>) -> Vec<TaskKey> {
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

    /// A life was only cut off.
    pub(crate) fn alive(&mut self, incarnation: IncarnationKey) {
        for losses in self.by_task.values_mut() {
            losses
                .retain(|loss| loss.incarnation != incarnation || loss.fate != RunnerFate::Unknown);
        }
        self.by_task.retain(|_, losses| !losses.is_empty());
    }

    /// A task is done, or proven to be sound.
    pub(crate) fn remove(&mut self, task: TaskKey) {
        self.by_task.remove(&task);
    }

    /// A job is forgotten.
    pub(crate) fn remove_job(&mut self, job: JobId) {
        let tasks: Vec<TaskKey> = self.of_job(job).map(|(task, _)| task).collect();
        for task in tasks {
            self.by_task.remove(&task);
        }
    }
}

/// Reads what an earlier release did not write as nothing. Only for the last part of a state
/// whose checksum holds: there an end of the bytes can mean nothing else.
pub(crate) fn or_none<'de, D>(from: D) -> Result<Losses, D::Error>
where
    D: Deserializer<'de>,
{
    Ok(Losses::deserialize(from).unwrap_or_default())
}
