//! What callers, runners and operators ask of the leader, and its answers.

use crate::raft::ReplicaId;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use yuccalink_state::Resources;
use yuccalink_state::jobs::{ChangeSet, JobId, JobSpec, RunOutcome, TaskKey, Wave};

/// Where a caller's request goes: the host that it names, and the path up to the
/// job's number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueAddress {
    /// As the caller wrote it, without a port.
    pub host: Box<str>,
    /// With the slash at its end.
    pub path: Box<str>,
}

/// What is asked of the leader. Each may be sent again, with the same effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CellRequest {
    /// Add a job.
    Submit {
        /// Its queue.
        at: QueueAddress,
        /// Its number.
        id: JobId,
        /// What to do.
        spec: Arc<JobSpec>,
    },
    /// How far is a job?
    State {
        /// Its queue.
        at: QueueAddress,
        /// Its number.
        id: JobId,
    },
    /// Cancel a job.
    Cancel {
        /// Its queue.
        at: QueueAddress,
        /// Its number.
        id: JobId,
    },
    /// How many jobs of a queue have not begun?
    Pending {
        /// The queue.
        at: QueueAddress,
    },
    /// A request that no interface knows: is there a queue at all?
    Other {
        /// Where it goes.
        at: QueueAddress,
    },
    /// A runner reports.
    Heartbeat(Box<RunnerReport>),
    /// A runner has left.
    Leave {
        /// Its name.
        runner: Box<str>,
        /// When its life began, where it says so.
        #[serde(rename = "born_ms")]
        started_ms: Option<u64>,
    },
    /// Put a change set in force.
    Change(Arc<ChangeSet>),
    /// The text of the change set in force.
    Document,
    /// Take machines down for upkeep.
    WaveStart(Wave),
    /// How far is a wave?
    WaveState(u64),
}

/// Whether a runner takes new tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
pub enum RunnerState {
    /// It does.
    #[default]
    #[display("ready")]
    Ready,
    /// It finishes what it has and leaves.
    #[display("draining")]
    Draining,
}

/// What a runner says of itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct RunnerReport {
    /// Its name.
    pub runner: Box<str>,
    /// When its life began, in Unix milliseconds by its own clock.
    #[serde(rename = "born-ms")]
    pub started_ms: u64,
    /// Higher with each report of this life.
    pub sequence: u64,
    /// Its pool.
    pub pool: Box<str>,
    /// Where it listens.
    pub address: Box<str>,
    /// Its availability zone.
    pub zone: Box<str>,
    /// Whether it takes new tasks.
    pub state: RunnerState,
    /// How much longer it stays at least, while it drains, in milliseconds.
    pub remaining_ms: Option<u64>,
    /// All that it has.
    pub capacity: Resources,
    /// Its kind, its rack, and whatever else.
    pub labels: Vec<Box<str>>,
    /// Its rack.
    pub rack: Box<str>,
    /// What runs.
    pub running: Vec<ReportedRun>,
    /// What ended and was not yet noted.
    pub finished: Vec<FinishedRun>,
}

/// A run under way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ReportedRun {
    /// Whose.
    pub task: TaskKey,
    /// Which.
    pub run: u32,
    /// The newest checkpoint, empty for none.
    #[serde(rename = "saved")]
    pub checkpoint: Box<str>,
    /// How far it is; 100 for a long-running task at work.
    pub percent: u8,
    /// A tail in milliseconds for a task with a target, else processors in use.
    #[serde(rename = "gauge")]
    pub usage_or_tail: Option<u64>,
}

/// The end of a run, as its runner lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct FinishedRun {
    /// From 1 on in each life.
    pub number: u64,
    /// Whose, where the name is one of ours.
    pub task: Option<TaskKey>,
    /// Which run.
    pub run: u32,
    /// How.
    #[serde(rename = "how")]
    pub outcome: RunOutcome,
    /// The newest checkpoint, empty for none.
    #[serde(rename = "saved")]
    pub checkpoint: Box<str>,
}

/// How far a job is, as its caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// No task has started.
    #[display("queued")]
    Queued,
    /// A task has started.
    #[display("running")]
    Running,
    /// All tasks are done.
    #[display("completed")]
    Completed,
    /// A task failed too often.
    #[display("failed")]
    Failed,
    /// Its caller cancelled it.
    #[display("cancelled")]
    Cancelled,
}

/// A run to start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct StartOrder {
    /// Whose.
    pub task: TaskKey,
    /// Which.
    pub run: u32,
    /// The job's payload.
    pub payload: Arc<str>,
    /// The checkpoint to resume from, empty for none.
    #[serde(rename = "saved")]
    pub checkpoint: Box<str>,
    /// Of the outside policy, where the queue has one.
    pub ticket: Option<Box<str>>,
}

/// What a runner is to do; without a lease it keeps what it has and starts nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RunnerOrders {
    /// Lease on all that runs, counted from when the report was sent; 0 for none.
    pub lease_ms: u64,
    /// Orders with a lower one are of an earlier leader.
    pub token: u64,
    /// Ends up to this number are noted for good.
    #[serde(rename = "noted")]
    pub acked_through: u64,
    /// Runs to start.
    pub start: Vec<StartOrder>,
    /// Runs to stop.
    pub stop: Vec<(TaskKey, u32)>,
    /// Shares in percent at which runs are to work.
    pub rates: Vec<(TaskKey, u32, u8)>,
    /// When to report again.
    pub retry_after_ms: u64,
    /// Where to report from now on; set by the process that answers the runner.
    pub report_to: Option<SocketAddr>,
}

/// What the leader answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CellResponse {
    /// The job is stored.
    Accepted,
    /// How far the job is.
    State(JobState),
    /// No such job.
    Gone,
    /// No such queue.
    NoQueue,
    /// The queue is there, the request is not one that it takes.
    NotTaken,
    /// Jobs of the queue that have not begun.
    Pending(u64),
    /// Too much to do: not run. Come back after this many milliseconds.
    Refused {
        /// When.
        after_ms: u64,
    },
    /// No answer can be given now, and nothing was done. Come back after this
    /// many milliseconds.
    NotServing {
        /// When.
        after_ms: u64,
    },
    /// It may or may not have been done; ask again with the same number.
    Unknown,
    /// What a runner is to do.
    Orders(Box<RunnerOrders>),
    /// Whether a wave is done.
    Wave {
        /// All its machines are up again.
        done: bool,
    },
    /// Done.
    Ok,
    /// The text of the change set in force.
    Document(Arc<[u8]>),
    /// What is wrong with the request, and the remedy.
    Invalid(Box<str>),
    /// The process that was asked does not lead.
    NotLeader {
        /// Who does, as far as it knows.
        leader: Option<ReplicaId>,
    },
    /// Too large to be passed on between processes: ask the leader itself.
    AskLeader {
        /// Where runners and operators reach it.
        control: SocketAddr,
    },
    /// The job has failed; why, in words.
    Failed(Box<str>),
}
