//! Tasks: units of batch or latency-critical work placed on workers.

use crate::id::{Epoch, Name, ServiceKey, TaskId, WorkerKey};
use crate::resources::Resources;
use serde::{Deserialize, Serialize};

/// Why a task ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskOutcome {
    /// The task ran to its end.
    Finished,
    /// The task failed too often; the reason is that of the last failure.
    Failed(Box<str>),
    /// An operator cancelled the task.
    Cancelled,
}

/// Why a running task is being stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StopReason {
    /// An operator cancelled the task.
    Cancel,
    /// The task frees resources for others and waits to be placed again.
    Evict,
}

/// The phase of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskPhase {
    /// The task waits to be placed.
    Waiting,
    /// The task is placed on a worker, which has not yet reported its start.
    Placed(WorkerKey),
    /// The worker reported that the task runs.
    Running(WorkerKey),
    /// The task was ordered to stop; its resources stay reserved until the worker
    /// reports that it stopped.
    Stopping(WorkerKey, StopReason),
    /// The task has ended.
    Ended(TaskOutcome),
}

/// The newest checkpoint of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Checkpoint {
    /// The epoch in which the checkpoint was saved.
    pub epoch: Epoch,
    /// Work done up to the checkpoint, in milliseconds of run time.
    pub done_ms: u64,
}

/// The record of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Task {
    /// The task's number.
    pub id: TaskId,
    /// The service that the task belongs to.
    pub service: ServiceKey,
    /// The task's kind in the service's document.
    pub kind: Name,
    /// Resources to reserve for the task, fixed at submission.
    pub need: Resources,
    /// Whether the task is placed before all that are not urgent.
    pub urgent: bool,
    /// Passed to the worker unchanged.
    pub payload: Box<str>,
    /// The task's phase.
    pub phase: TaskPhase,
    /// Number of the task's newest placement.
    pub epoch: Epoch,
    /// The task's newest checkpoint.
    pub checkpoint: Option<Checkpoint>,
    /// Number of evictions.
    pub evictions: u32,
    /// Number of failures.
    pub failures: u32,
    /// Time of the submission, in Unix milliseconds.
    pub submitted_ms: u64,
}

impl Task {
    /// The worker on which the task's resources are reserved, if any.
    ///
    /// ```
    /// # use yuccalink_state::{Resources, task::*, id::*};
    /// # let task = Task { id: TaskId(1), service: ServiceKey(0), kind: Name::new("k")?,
    /// #   need: Resources::ZERO, urgent: false, payload: "".into(), phase: TaskPhase::Waiting,
    /// #   epoch: Epoch(0), checkpoint: None, evictions: 0, failures: 0, submitted_ms: 0 };
    /// assert_eq!(task.worker(), None);
    /// # Ok::<(), BadName>(())
    /// ```
    pub fn worker(&self) -> Option<WorkerKey> {
        match self.phase {
            TaskPhase::Placed(key) | TaskPhase::Running(key) | TaskPhase::Stopping(key, _) => {
                Some(key)
            }
            TaskPhase::Waiting | TaskPhase::Ended(_) => None,
        }
    }
}
