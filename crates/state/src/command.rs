//! Commands: the only way the replicated state changes. Each is decided from
//! the state alone, so that every replica comes to the same outcome.

use crate::document::{Digest, Document};
use crate::id::{Epoch, Incarnation, Name, Revision, TaskId, WorkerKey};
use crate::ledger::{RequestKey, RequestOutcome, Verdict};
use crate::task::TaskOutcome;
use crate::worker::WorkerSpec;
use serde::{Deserialize, Serialize};

/// A change to the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Put a service document in force.
    Apply(Box<Apply>),
    /// Add tasks.
    Submit(TaskSubmission),
    /// Cancel tasks.
    Cancel(Box<[TaskId]>),
    /// Commit tasks to workers.
    Place(Box<[Placement]>),
    /// Order running tasks to make room.
    Evict(Box<[TaskId]>),
    /// What workers say of their tasks.
    Report(Box<[TaskReport]>),
    /// A worker announced itself.
    WorkerUp(Box<WorkerSpec>),
    /// A worker finishes what it has and takes nothing new.
    WorkerLeaving(Name, Incarnation),
    /// A worker's lease has surely ended.
    WorkerGone(Name, Incarnation),
    /// A request is about to be sent that must run at most once.
    RequestBegin(RequestBegin),
    /// Such a request ended.
    RequestEnd(RequestEnd),
}

/// See [`Command::Apply`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Apply {
    /// The checked document.
    pub document: Document,
    /// The text it was read from.
    pub text: Box<str>,
    /// Digest of the text.
    pub digest: Digest,
    /// Who applies it.
    pub author: Box<str>,
}

/// See [`Command::Submit`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSubmission {
    /// Chosen by the sender; the same key again gets the same answer.
    pub key: Box<str>,
    /// The service whose document describes the kind.
    pub service: Name,
    /// The kind of task.
    pub kind: Name,
    /// How many tasks to add.
    pub count: u32,
    /// Place before all others.
    pub urgent: bool,
    /// Given to the workers as it is.
    pub payload: Box<str>,
    /// Unix milliseconds.
    pub at_ms: u64,
}

/// One task committed to one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// A waiting task.
    pub task: TaskId,
    /// A live worker.
    pub worker: WorkerKey,
}

/// One worker's word on one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct TaskReport {
    /// The task.
    pub task: TaskId,
    /// The epoch that the worker holds.
    pub epoch: Epoch,
    /// What happened.
    pub event: TaskEvent,
}

/// What a worker reports of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskEvent {
    /// It runs.
    Started,
    /// It saved its state after this much work, in milliseconds.
    Checkpointed {
        /// Work done in all epochs so far.
        done_ms: u64,
    },
    /// It ran to its end.
    Finished,
    /// It failed.
    Failed {
        /// For people.
        reason: Box<str>,
    },
    /// It was stopped before its end.
    Stopped,
    /// The worker did not start it.
    Refused {
        /// For people.
        reason: Box<str>,
    },
}

/// See [`Command::RequestBegin`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestBegin {
    /// The request.
    pub key: RequestKey,
    /// Digest of method, path and body.
    pub digest: Digest,
    /// Drawn once by the entry: the same attempt asked again gets the same verdict.
    pub attempt: u64,
    /// Unix milliseconds.
    pub at_ms: u64,
    /// When the request is over at the latest, in Unix milliseconds.
    pub until_ms: u64,
}

/// See [`Command::RequestEnd`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestEnd {
    /// The request.
    pub key: RequestKey,
    /// The attempt that ended; another one's fate is not touched.
    pub attempt: u64,
    /// How it ended.
    pub ended: RequestOutcome,
}

/// What a command came to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The document is accepted, now or when it was first sent.
    Accepted {
        /// Its place in the order of changes.
        revision: Revision,
        /// Whether this is the answer to a resend.
        resent: bool,
    },
    /// Another document with this or a higher version is in force.
    Conflict {
        /// The version in force.
        version: u64,
        /// Who applied it.
        author: Box<str>,
        /// Its place in the order of changes.
        revision: Revision,
    },
    /// Tasks were added, now or when first sent.
    Submitted {
        /// The first task; the others follow it.
        first: TaskId,
        /// How many.
        count: u32,
        /// Whether this is the answer to a resend.
        resent: bool,
    },
    /// The command names something that does not exist.
    Unknown(Missing),
    /// What each cancelled task came to, in the order asked.
    Cancelled(Box<[CancelOutcome]>),
    /// The placements that were committed.
    Placed(Box<[Committed]>),
    /// The tasks now ordered to stop.
    Stopping(Box<[TaskId]>),
    /// Tasks that left their worker through this command.
    Freed(Box<[TaskId]>),
    /// A worker's record was made or renewed.
    WorkerUp(WorkerKey),
    /// The worker still holds tasks of an earlier run.
    WorkerBusy,
    /// What the ledger says.
    Request(Verdict),
    /// Done, with nothing to say.
    Done,
}

/// What a command named that does not exist.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Missing {
    /// No such service.
    Service(Name),
    /// The service has no such kind of task.
    Kind(Name),
    /// No such worker, or another run of it.
    Worker(Name),
}

/// What cancelling one task came to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CancelOutcome {
    /// It had not started and never will.
    NotRun,
    /// It is being stopped.
    Stopping,
    /// It had ended before.
    Ended(TaskOutcome),
    /// No such task, or forgotten since it ended.
    Unknown,
}

/// A committed placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Committed {
    /// The task.
    pub task: TaskId,
    /// Its worker.
    pub worker: WorkerKey,
    /// The epoch that every message about it carries.
    pub epoch: Epoch,
}
