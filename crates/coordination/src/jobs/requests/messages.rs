//! Requests of callers, runners and operators to the leader, and its responses.

use crate::raft::ReplicaId;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use yuccalink_state::Resources;
use yuccalink_state::evacuation::{ZoneOrder, ZoneView};
use yuccalink_state::jobs::settings::QueueView;
use yuccalink_state::jobs::{
    ChangeSet, ConfiguredChangeSet, Job, JobId, JobPhase, JobSpec, RunOutcome, TaskKey, Wave,
};

/// The queue that a caller's request is for, as the host and the path in front of the
/// job's number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueAddress {
    /// Host as the caller wrote it, without a port.
    pub host: Box<str>,
    /// Path including the final slash.
    pub path: Box<str>,
}

/// A request to the leader. Each is idempotent, so it may be sent again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CellRequest {
    /// Add a job.
    Submit {
        /// Queue of the job.
        at: QueueAddress,
        /// Job number.
        id: JobId,
        /// Description of the job.
        spec: Arc<JobSpec>,
    },
    /// Read the state of a job.
    State {
        /// Queue of the job.
        at: QueueAddress,
        /// Job number.
        id: JobId,
    },
    /// Cancel a job.
    Cancel {
        /// Queue of the job.
        at: QueueAddress,
        /// Job number.
        id: JobId,
    },
    /// Count the jobs of a queue that have not begun.
    Pending {
        /// Queue whose jobs are counted.
        at: QueueAddress,
    },
    /// A request that no interface knows. The response says whether its queue exists.
    Other {
        /// Address that the request names.
        at: QueueAddress,
    },
    /// Heartbeat of a runner.
    Heartbeat(Box<RunnerReport>),
    /// A runner leaves the cell.
    Leave {
        /// Runner's name.
        runner: Box<str>,
        /// Start of the runner incarnation, if the runner sent it.
        #[serde(rename = "born_ms")]
        started_ms: Option<u64>,
    },
    /// Apply a change set.
    Change(Arc<ChangeSet>),
    /// Read the text of the change set in force.
    Document,
    /// Start a maintenance wave, which takes machines down a few at a time.
    WaveStart(Wave),
    /// Read the progress of a maintenance wave.
    WaveState(u64),
    /// Evacuate an availability zone, or give it work again.
    Zone(Box<ZoneOrder>),
    /// List the availability zones.
    Zones,
    /// Apply a change set together with the settings of its queues.
    ChangeWithSettings(Arc<ConfiguredChangeSet>),
    /// List the queues.
    Queues,
}

impl CellRequest {
    /// The request that applies a change set. Without settings it is the request of earlier
    /// releases.
    ///
    /// ```
    /// use yuccalink_coordination::jobs::CellRequest;
    /// use yuccalink_state::jobs::ConfiguredChangeSet;
    /// let request = CellRequest::change(ConfiguredChangeSet::default());
    /// assert!(matches!(request, CellRequest::Change(_)));
    /// ```
    pub fn change(change: ConfiguredChangeSet) -> Self {
        match change.settings.is_empty() {
            true => Self::Change(Arc::new(change.change_set)),
            false => Self::ChangeWithSettings(Arc::new(change)),
        }
    }
}

/// Whether a runner takes new tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
pub enum RunnerState {
    /// The runner takes new tasks.
    #[default]
    #[display("ready")]
    Ready,
    /// The runner finishes its runs and then leaves.
    #[display("draining")]
    Draining,
}

/// Most run ends in one report of a runner. Later ends are listed once these are acknowledged.
pub const FINISHED_PER_REPORT_MAX: usize = 500;

/// Report of a runner in a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct RunnerReport {
    /// Runner's name.
    pub runner: Box<str>,
    /// Start of this runner incarnation, in Unix milliseconds by the runner's clock.
    #[serde(rename = "born-ms")]
    pub started_ms: u64,
    /// Sequence number, which rises with each report of this runner incarnation.
    pub sequence: u64,
    /// Name of the runner's pool.
    pub pool: Box<str>,
    /// Address at which the runner listens.
    pub address: Box<str>,
    /// Availability zone.
    pub zone: Box<str>,
    /// Whether the runner takes new tasks.
    pub state: RunnerState,
    /// Minimum time until a draining runner leaves, in milliseconds.
    pub remaining_ms: Option<u64>,
    /// Total capacity.
    pub capacity: Resources,
    /// Labels, such as the runner's kind and its rack.
    pub labels: Vec<Box<str>>,
    /// Name of the rack.
    pub rack: Box<str>,
    /// Runs that are active.
    pub running: Vec<ReportedRun>,
    /// Runs that ended and that the leader has not acknowledged yet, the first
    /// [`FINISHED_PER_REPORT_MAX`] of them.
    pub finished: Vec<FinishedRun>,
}

/// A run that a runner reports as active.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ReportedRun {
    /// Task of the run.
    pub task: TaskKey,
    /// Number of the run among the task's runs.
    pub run: u32,
    /// The newest checkpoint, empty for none.
    #[serde(rename = "saved")]
    pub checkpoint: Box<str>,
    /// Progress in percent; 100 for a long-running task that works.
    pub percent: u8,
    /// Tail latency in milliseconds for a task with a tail bound, otherwise the CPU in use.
    #[serde(rename = "gauge")]
    pub usage_or_tail: Option<u64>,
}

/// A run that a runner reports as ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct FinishedRun {
    /// Number of this end, counted from 1 in each runner incarnation.
    pub number: u64,
    /// Task of the run, or `None` if the reported name is no task of this cell.
    pub task: Option<TaskKey>,
    /// Number of the run among the task's runs.
    pub run: u32,
    /// How the run ended.
    #[serde(rename = "how")]
    pub outcome: RunOutcome,
    /// The newest checkpoint, empty for none.
    #[serde(rename = "saved")]
    pub checkpoint: Box<str>,
}

/// State of a job as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// No task has started.
    #[display("queued")]
    Queued,
    /// A task has started.
    #[display("running")]
    Running,
    /// All tasks have finished.
    #[display("completed")]
    Completed,
    /// A task failed too often.
    #[display("failed")]
    Failed,
    /// The caller cancelled the job.
    #[display("cancelled")]
    Cancelled,
}

impl JobState {
    pub(in crate::jobs) fn of(job: &Job) -> Self {
        match job.phase {
            JobPhase::Active if job.begun => Self::Running,
            JobPhase::Active => Self::Queued,
            JobPhase::Completed => Self::Completed,
            JobPhase::Failed => Self::Failed,
            JobPhase::Cancelled => Self::Cancelled,
        }
    }
}

/// Order to a runner to start a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct StartOrder {
    /// Task of the run.
    pub task: TaskKey,
    /// Number of the run among the task's runs.
    pub run: u32,
    /// The job's payload.
    pub payload: Arc<str>,
    /// The checkpoint to resume from, empty for none.
    #[serde(rename = "saved")]
    pub checkpoint: Box<str>,
    /// Ticket of the external placement policy, if the queue has one.
    pub ticket: Option<Box<str>>,
}

/// Orders for a runner. Without a lease the runner keeps its runs and starts none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RunnerOrders {
    /// Lease on all runs of the runner, in milliseconds from the sending of the report; 0 for none.
    pub lease_ms: u64,
    /// Fencing token. Orders with a lower token come from an earlier leader.
    pub token: u64,
    /// Run ends up to this number are committed and need not be reported again.
    #[serde(rename = "noted")]
    pub acked_through: u64,
    /// Runs to start.
    pub start: Vec<StartOrder>,
    /// Runs to stop.
    pub stop: Vec<(TaskKey, u32)>,
    /// Pace of each listed run, as a percentage of full speed.
    pub rates: Vec<(TaskKey, u32, u8)>,
    /// Delay in milliseconds until the next report.
    pub retry_after_ms: u64,
    /// Address for the reports from now on; set by the process that answers the runner.
    pub report_to: Option<SocketAddr>,
}

/// Response of the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CellResponse {
    /// The job is stored.
    Accepted,
    /// State of the job.
    State(JobState),
    /// There is no such job.
    Gone,
    /// There is no such queue.
    NoQueue,
    /// The queue exists but does not accept this kind of request.
    NotTaken,
    /// Number of jobs in the queue that have not begun.
    Pending(u64),
    /// The leader is overloaded and did not execute the request.
    Refused {
        /// Delay until the caller may retry, in milliseconds.
        after_ms: u64,
    },
    /// The leader cannot serve the request yet and did not execute it.
    NotServing {
        /// Delay until the caller may retry, in milliseconds.
        after_ms: u64,
    },
    /// The request may or may not have been executed; retry with the same job number.
    Unknown,
    /// Orders for a runner.
    Orders(Box<RunnerOrders>),
    /// Progress of a maintenance wave.
    Wave {
        /// Whether all machines of the wave are up again.
        done: bool,
    },
    /// The request was executed.
    Ok,
    /// The text of the change set in force.
    Document(Arc<[u8]>),
    /// The request is invalid; says what is wrong and how to correct it.
    Invalid(Box<str>),
    /// The process that received the request is not the leader.
    NotLeader {
        /// Current leader, if known.
        leader: Option<ReplicaId>,
    },
    /// The request is too large to be forwarded; send it to the leader directly.
    AskLeader {
        /// Leader's address for runners and operators.
        control: SocketAddr,
    },
    /// The job has failed, with the reason as text.
    Failed(Box<str>),
    /// The order for an availability zone is committed; what holds there now.
    Zone(ZoneView),
    /// All availability zones.
    Zones(Vec<ZoneView>),
    /// A later order is in force; says which, and what to do.
    Conflict(Box<str>),
    /// All queues.
    Queues(Vec<QueueView>),
}

impl CellResponse {
    /// Whether only a process that holds the lease of a leader sends this response.
    ///
    /// ```
    /// use yuccalink_coordination::jobs::CellResponse;
    /// assert!(CellResponse::Accepted.shows_leadership());
    /// assert!(!CellResponse::NotLeader { leader: None }.shows_leadership());
    /// ```
    pub fn shows_leadership(&self) -> bool {
        !matches!(self, Self::NotLeader { .. } | Self::NotServing { .. } | Self::Unknown)
    }
}
