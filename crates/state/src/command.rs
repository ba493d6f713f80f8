//! Commands, which are the only way to change the replicated state of services.
//! The outcome of a command depends on the state alone, so every replica computes
//! the same one.

use crate::document::{Digest, Document};
use crate::evacuation::{ZoneOrder, ZoneOutcome};
use crate::id::{Epoch, Incarnation, Name, Revision, TaskId, WorkerKey};
use crate::ledger::{RequestKey, RequestOutcome, Verdict};
use crate::task::TaskOutcome;
use crate::worker::WorkerSpec;
use serde::{Deserialize, Serialize};

/// A change to the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Put a service document into force.
    Apply(Box<Apply>),
    /// Add tasks.
    Submit(TaskSubmission),
    /// Cancel tasks.
    Cancel(Box<[TaskId]>),
    /// Place tasks on workers.
    Place(Box<[Placement]>),
    /// Stop placed or running tasks to free resources; they are requeued.
    Evict(Box<[TaskId]>),
    /// Apply what workers reported of their tasks.
    Report(Box<[TaskReport]>),
    /// Register a worker that announced itself.
    WorkerUp(Box<WorkerSpec>),
    /// Give a worker no new tasks; it finishes the ones that it has.
    WorkerLeaving(Name, Incarnation),
    /// Requeue the tasks of a worker whose lease has expired for certain.
    WorkerGone(Name, Incarnation),
    /// Record an at-most-once request before it is sent.
    RequestBegin(RequestBegin),
    /// Record how an at-most-once request ended.
    RequestEnd(RequestEnd),
    /// Evacuate a zone, or give it work again.
    Zone {
        /// The operator's order.
        order: ZoneOrder,
        /// Time of the order, in Unix milliseconds.
        at_ms: u64,
    },
}

/// See [`Command::Apply`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Apply {
    /// The validated document.
    pub document: Document,
    /// The text that the document was parsed from.
    pub text: Box<str>,
    /// Digest of the text.
    pub digest: Digest,
    /// The person or tool that applies the document.
    pub author: Box<str>,
}

/// See [`Command::Submit`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSubmission {
    /// Chosen by the sender; a resend with the same key gets the first answer.
    pub key: Box<str>,
    /// The service whose document defines the kind.
    pub service: Name,
    /// The kind of task.
    pub kind: Name,
    /// How many tasks to add.
    pub count: u32,
    /// Place these tasks before all that are not urgent.
    pub urgent: bool,
    /// Passed to the workers unchanged.
    pub payload: Box<str>,
    /// Time of the submission, in Unix milliseconds.
    pub at_ms: u64,
}

/// A task to place on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The task, which must be waiting.
    pub task: TaskId,
    /// The worker, which must be live.
    pub worker: WorkerKey,
}

/// A worker's report of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct TaskReport {
    /// The task.
    pub task: TaskId,
    /// The task's epoch as the worker knows it.
    pub epoch: Epoch,
    /// What happened.
    pub event: TaskEvent,
}

/// An event in a worker's report of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskEvent {
    /// The task runs.
    Started,
    /// The task saved its state.
    Checkpointed {
        /// Work done in all epochs so far, in milliseconds.
        done_ms: u64,
    },
    /// The task ran to its end.
    Finished,
    /// The task failed.
    Failed {
        /// Explanation for people.
        reason: Box<str>,
    },
    /// The task was stopped before its end.
    Stopped,
    /// The worker did not start the task.
    Refused {
        /// Explanation for people.
        reason: Box<str>,
    },
}

/// See [`Command::RequestBegin`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestBegin {
    /// The service and idempotency key of the request.
    pub key: RequestKey,
    /// Digest of method, path and body.
    pub digest: Digest,
    /// Random number that the entry VM draws once per attempt, so that the same
    /// attempt sent to the leader again gets the same verdict.
    pub attempt: u64,
    /// Time of this command, in Unix milliseconds.
    pub at_ms: u64,
    /// Latest time at which the request can still be running, in Unix milliseconds.
    pub until_ms: u64,
}

/// See [`Command::RequestEnd`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestEnd {
    /// The service and idempotency key of the request.
    pub key: RequestKey,
    /// The attempt that ended; if another attempt is recorded, nothing changes.
    pub attempt: u64,
    /// How the request ended.
    pub ended: RequestOutcome,
}

/// The result of a [`Command`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The document is accepted, now or when it was first sent.
    Accepted {
        /// The document's position in the order of all document changes.
        revision: Revision,
        /// Whether this document was accepted before.
        resent: bool,
    },
    /// Another document with this or a higher version is in force.
    Conflict {
        /// The version in force.
        version: u64,
        /// The person or tool that applied that version.
        author: Box<str>,
        /// That version's position in the order of all document changes.
        revision: Revision,
    },
    /// Tasks were added, now or when the submission was first sent.
    Submitted {
        /// The first task; the others have the numbers after it.
        first: TaskId,
        /// Number of tasks.
        count: u32,
        /// Whether these tasks were added by an earlier submission.
        resent: bool,
    },
    /// The command names something that does not exist.
    Unknown(Missing),
    /// The result for each task, in the order of the command.
    Cancelled(Box<[CancelOutcome]>),
    /// The placements that were committed.
    Placed(Box<[Committed]>),
    /// The tasks that are now being stopped.
    Stopping(Box<[TaskId]>),
    /// Tasks that left their worker because of this command.
    Freed(Box<[TaskId]>),
    /// A worker's record was created or updated.
    WorkerUp(WorkerKey),
    /// The worker still has tasks of an earlier incarnation, or more than it now offers.
    WorkerBusy,
    /// The ledger's verdict on a request.
    Request(Verdict),
    /// The result of an order for a zone.
    Zone(ZoneOutcome),
    /// Applied, without a result.
    Done,
}

/// An object that a command named and that does not exist.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Missing {
    /// There is no service of this name.
    Service(Name),
    /// The service has no kind of task of this name.
    Kind(Name),
    /// There is no live worker of this name, or only another incarnation of it.
    Worker(Name),
}

/// The result of cancelling one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CancelOutcome {
    /// The task was never placed and never will be.
    NotRun,
    /// The task is being stopped.
    Stopping,
    /// The task has ended.
    Ended(TaskOutcome),
    /// There is no such task, or its record was removed after it ended.
    Unknown,
}

/// A placement that was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Committed {
    /// The task.
    pub task: TaskId,
    /// The worker that the task was placed on.
    pub worker: WorkerKey,
    /// The task's new epoch, which every message about this placement carries.
    pub epoch: Epoch,
}
