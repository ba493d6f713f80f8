//! Tasks: units of batch or latency-critical work placed on workers.

use crate::id::{Epoch, Name, ServiceKey, TaskId, WorkerKey};
use crate::resources::Resources;
use serde::{Deserialize, Serialize};

/// Why a task ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskOutcome {
    /// It ran to its end.
    Finished,
    /// It failed more often than allowed; the last reason.
    Failed(Box<str>),
    /// An operator cancelled it.
    Cancelled,
}

/// Why a running task is being stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StopReason {
    /// An operator cancelled it.
    Cancel,
    /// It makes room; it will resume elsewhere.
    Evict,
}

/// Where a task is in its life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskPhase {
    /// Waits for a place.
    Waiting,
    /// Committed to a worker, which has not yet said that it runs.
    Placed(WorkerKey),
    /// The worker said that it runs.
    Running(WorkerKey),
    /// Ordered to stop; still counted on the worker until the worker says so.
    Stopping(WorkerKey, StopReason),
    /// Over.
    Ended(TaskOutcome),
}

/// The last state that a task saved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Checkpoint {
    /// The epoch that saved it.
    pub epoch: Epoch,
    /// Work done up to it, in milliseconds of run time.
    pub done_ms: u64,
}

/// A task's record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Task {
    /// Its number.
    pub id: TaskId,
    /// The service it belongs to.
    pub service: ServiceKey,
    /// Its kind within the service's document.
    pub kind: Name,
    /// What is committed for it, fixed at submission.
    pub need: Resources,
    /// Urgent tasks are placed before all others.
    pub urgent: bool,
    /// Given to the worker as it is.
    pub payload: Box<str>,
    /// Where it is in its life.
    pub phase: TaskPhase,
    /// Number of its last placement.
    pub epoch: Epoch,
    /// Its last saved state.
    pub checkpoint: Option<Checkpoint>,
    /// How often it was evicted.
    pub evictions: u32,
    /// How often it failed.
    pub failures: u32,
    /// When it was submitted, in Unix milliseconds.
    pub submitted_ms: u64,
}

impl Task {
    /// The worker that its resources are committed on, if any.
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
