//! The JSON bodies that targets and operators exchange with the daemon.

use serde::{Deserialize, Serialize};
use yuccalink_state::Resources;
use yuccalink_state::command::{CancelOutcome, TaskReport};
use yuccalink_state::evacuation::{ZoneAction, ZoneOrder};
use yuccalink_state::id::{Epoch, Incarnation, Name, TaskId};
use yuccalink_state::target::{RunnerSpec, TargetSpec};
use yuccalink_state::worker::WorkerSpec;

/// Maximum number of task reports, reported tasks or task ids in one message.
pub const LIST_MAX: usize = 20_000;
/// Maximum number of tasks in one submission.
pub const SUBMIT_MAX: u32 = 100_000;
/// Maximum payload of a task, in bytes.
pub const PAYLOAD_MAX: usize = 16 * 1024;

/// Announcement by which a runner or worker registers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Announce {
    /// A runner.
    Runner {
        /// Name, address and other properties of the runner.
        #[serde(flatten)]
        spec: RunnerSpec,
        /// Number of requests that the runner is processing.
        #[serde(default)]
        busy: u32,
    },
    /// A worker.
    Worker {
        /// Name, address and other properties of the worker.
        #[serde(flatten)]
        spec: WorkerSpec,
    },
}

impl Announce {
    /// Returns the target and its number of running requests, which is 0 for a worker.
    pub fn into_parts(self) -> (TargetSpec, u32) {
        match self {
            Self::Runner { spec, busy } => (TargetSpec::Runner(spec), busy),
            Self::Worker { spec } => (TargetSpec::Worker(spec), 0),
        }
    }
}

/// Response to an announcement or heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct HeartbeatReply {
    /// Time until the target should send the next heartbeat, in milliseconds.
    pub heartbeat_ms: u64,
    /// For workers: lease in milliseconds, counted from when the worker sent the
    /// request. When it expires, the worker must stop its tasks.
    #[serde(default)]
    pub lease_ms: Option<u64>,
    /// For workers: whether the next heartbeat must list every task in `held`.
    #[serde(default)]
    pub send_held: bool,
}

/// Periodic report of a target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Heartbeat {
    /// Incarnation of the target process.
    pub incarnation: Incarnation,
    /// Number of requests or tasks that are running on the target.
    #[serde(default)]
    pub busy: u32,
    /// CPU in use, in thousandths of a core; may be out of date.
    #[serde(default)]
    pub millicores: u64,
    /// Memory in use, in MiB; may be out of date.
    #[serde(default)]
    pub memory_mib: u64,
    /// For workers: every task on the worker, and every task with a report that is not
    /// yet acknowledged. May be omitted if `held-digest` is set and the last response
    /// did not request the list.
    #[serde(default)]
    pub held: Option<Vec<ReportedTask>>,
    /// For workers: [`held_digest`] of the same tasks.
    #[serde(default)]
    pub held_digest: u32,
    /// For workers: task events since the last acknowledged report.
    #[serde(default)]
    pub reports: Vec<TaskReport>,
}

/// A task that a worker reports as its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ReportedTask {
    /// The task.
    pub task: TaskId,
    /// Epoch of the task's placement on the worker.
    pub epoch: Epoch,
}

/// Digest of the tasks on a worker. If worker and leader have equal digests, the
/// worker need not send the list. The digest is the 32-bit wrapping sum of a hash of
/// each task and epoch, so the order of the tasks does not matter.
///
/// ```
/// # use yuccalink_protocol::api::{ReportedTask, held_digest};
/// # use yuccalink_state::id::{Epoch, TaskId};
/// let held = |task, epoch| ReportedTask { task: TaskId(task), epoch: Epoch(epoch) };
/// assert_eq!(held_digest([]), 0);
/// assert_eq!(held_digest([held(7, 2), held(9, 1)]), held_digest([held(9, 1), held(7, 2)]));
/// assert_ne!(held_digest([held(7, 2)]), held_digest([held(7, 3)]));
/// ```
pub fn held_digest(held: impl IntoIterator<Item = ReportedTask>) -> u32 {
    const MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;
    held.into_iter().fold(0, |sum, ReportedTask { task, epoch }| {
        let hash = task.0.wrapping_mul(31).wrapping_add(epoch.0).wrapping_mul(MULTIPLIER);
        sum.wrapping_add((hash >> 32) as u32)
    })
}

/// Request by which a target deregisters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Leave {
    /// Incarnation of the target process.
    pub incarnation: Incarnation,
}

/// Orders to a worker, sent to `POST /v1/orders` at its address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Orders {
    /// Worker incarnation that the orders are for; any other incarnation refuses them all.
    pub incarnation: Incarnation,
    /// Orders, one for each task.
    pub orders: Vec<OrderTask>,
}

/// Order for one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "order")]
pub enum OrderTask {
    /// Starts the task. A worker that has already seen this task with this or a later
    /// epoch must not start it again.
    Start(TaskStart),
    /// Saves the state of the task, reports the checkpoint and stops the task.
    Checkpoint(ReportedTask),
    /// Stops the task.
    Stop(ReportedTask),
    /// Limits the task to a share of its processors for a limited time.
    Throttle {
        /// The task.
        task: TaskId,
        /// Epoch of the task's placement.
        epoch: Epoch,
        /// Share of the processors in thousandths; 1000 is full speed.
        share: u32,
        /// Duration of the limit in milliseconds. Then the task runs at full speed
        /// again, unless the order was repeated.
        #[serde(rename = "for-ms")]
        for_ms: u64,
    },
}

/// A task to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct TaskStart {
    /// The task.
    pub task: TaskId,
    /// Epoch of the placement, carried by every message about the task.
    pub epoch: Epoch,
    /// Service that the task belongs to.
    pub service: Name,
    /// Kind of the task.
    pub kind: Name,
    /// Resources that the task may use.
    pub need: Resources,
    /// Declared run time of the task, in milliseconds.
    pub duration_ms: u64,
    /// Run time saved by the checkpoint that the task resumes from, in milliseconds.
    pub done_ms: u64,
    /// Epoch of the placement that saved the checkpoint.
    pub checkpoint: Option<Epoch>,
    /// Payload, unchanged from the submission.
    pub payload: Box<str>,
}

/// Response of a worker to orders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct OrdersTaken {
    /// Task events that are known already: started, refused or stopped.
    pub reports: Vec<TaskReport>,
}

/// Response to an accepted document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Applied {
    /// The service.
    pub service: Name,
    /// The accepted version.
    pub version: u64,
    /// Revision that the document was given; every accepted document raises it.
    pub revision: u64,
    /// Whether the document had been accepted before, so the request was a retry.
    pub resent: bool,
    /// Whether every entry that may be serving has applied the document.
    pub in_force_everywhere: bool,
    /// Entries that may still be serving with an older version.
    #[serde(default)]
    pub waiting_for: Vec<Name>,
}

/// A stored document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ServiceView {
    /// The service.
    pub service: Name,
    /// The team that owns it.
    pub team: Name,
    /// The version in force.
    pub version: u64,
    /// Revision that the document was given when it was accepted.
    pub revision: u64,
    /// Author who applied the document.
    pub author: Box<str>,
    /// Text of the document.
    #[serde(default)]
    pub text: Option<Box<str>>,
}

/// Tasks to add.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct SubmitTasks {
    /// The service.
    pub service: Name,
    /// The kind of task.
    pub kind: Name,
    /// Number of tasks; 1 if absent.
    #[serde(default = "default_count")]
    pub count: u32,
    /// Whether the tasks are placed before all other tasks.
    #[serde(default)]
    pub urgent: bool,
    /// Payload, passed to the workers unchanged.
    #[serde(default)]
    pub payload: Box<str>,
}

fn default_count() -> u32 {
    1
}

/// Response to a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Submitted {
    /// Id of the first task; the other tasks have the ids that follow.
    pub first: TaskId,
    /// Number of tasks.
    pub count: u32,
    /// Whether the tasks had been accepted before, so the request was a retry.
    pub resent: bool,
}

/// Tasks to cancel.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct CancelTasks {
    /// Ids of the tasks.
    pub tasks: Vec<TaskId>,
}

/// Result of cancelling one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Cancelled {
    /// The task.
    pub task: TaskId,
    /// Outcome of the cancellation.
    pub outcome: CancelOutcome,
}

/// A task as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TaskView {
    /// Id of the task.
    pub task: TaskId,
    /// The service.
    pub service: Name,
    /// Kind of the task.
    pub kind: Name,
    /// `waiting`, `placed`, `running`, `stopping`, `finished`, `failed` or `cancelled`.
    pub phase: Box<str>,
    /// Reason for the phase, if any.
    #[serde(default)]
    pub reason: Option<Box<str>>,
    /// Worker that the task is placed on, if any.
    #[serde(default)]
    pub worker: Option<Name>,
    /// Epoch of the last placement.
    pub epoch: Epoch,
    /// Run time saved by checkpoints, in milliseconds.
    pub done_ms: u64,
    /// Number of evictions.
    pub evictions: u32,
    /// Number of failures.
    pub failures: u32,
    /// Whether the task is placed before all other tasks.
    pub urgent: bool,
}

/// Status of a daemon and of the system as the leader sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Status {
    /// Daemon that received the request.
    pub entry: Name,
    /// Daemon that is the leader, if known.
    pub leader: Option<Name>,
    /// The leader's term.
    pub term: u64,
    /// Revision of the last accepted document.
    pub revision: u64,
    /// Every entry that has reported to the leader.
    pub entries: Vec<EntryView>,
    /// Number of tasks that wait for a placement.
    pub waiting: u64,
    /// Number of tasks on workers.
    pub on_workers: u64,
    /// Number of requests kept in the ledger.
    pub ledger_requests: u64,
    /// Size of the ledger in bytes.
    pub ledger_bytes: u64,
    /// Counters of the leader's log.
    pub log: LogView,
    /// Replicas of the state.
    pub members: Vec<MemberView>,
}

/// A replica of the state as the leader sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct MemberView {
    /// Daemon of the replica.
    pub name: Name,
    /// Id of the replica, stored on its disk.
    pub replica: Box<str>,
    /// Whether the replica votes; otherwise it only follows so far.
    pub voter: bool,
    /// Whether the replica is the leader.
    pub leads: bool,
    /// Time since the last message from the replica, in milliseconds.
    pub silent_ms: u64,
}

/// Counters of a log since its daemon started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LogView {
    /// Index of the last durable record.
    pub last: u64,
    /// Number of syncs to disk.
    pub syncs: u64,
    /// Number of records written.
    pub records: u64,
    /// Number of bytes written.
    pub bytes: u64,
}

/// An entry as the leader sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct EntryView {
    /// Name of the entry.
    pub entry: Name,
    /// Availability zone of the entry.
    pub zone: Name,
    /// Address that accepts callers' requests.
    #[serde(rename = "callers")]
    pub caller_address: Box<str>,
    /// Document revision that the entry has applied.
    pub revision: u64,
    /// Whether the entry may be serving, as its configuration lease is valid.
    pub lease: bool,
    /// Whether the entry is about to stop.
    pub draining: bool,
    /// Time since the last message from the entry, in milliseconds.
    pub silent_ms: u64,
}

/// A target as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TargetView {
    /// Properties from the target's announcement.
    pub target: TargetSpec,
    /// `live`, `suspected`, `leaving` or `gone`.
    pub health: Box<str>,
    /// Number of requests or tasks that the target reported as running.
    pub busy: u32,
    /// Entry that routes to the target.
    pub owner: Option<Name>,
    /// Time since the last message from the target, in milliseconds.
    pub silent_ms: u64,
    /// For workers: resources committed to tasks.
    #[serde(default)]
    pub committed: Option<Resources>,
}

/// A decision of the leader. Lists of decisions start with the newest one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct DecisionView {
    /// Time of the decision in Unix milliseconds.
    pub at_ms: u64,
    /// Daemon that made the decision.
    pub entry: Name,
    /// Log line of the decision.
    pub line: Box<str>,
}

/// Body of an operator's order for an availability zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ZoneChange {
    /// Whether the zone gets no new work.
    pub evacuated: bool,
    /// Whether long-running tasks leave the zone as well.
    #[serde(default)]
    pub empty: bool,
    /// Place among the numbered orders for the zone; see [`ZoneOrder::number`].
    #[serde(default)]
    pub number: Option<u64>,
}

impl ZoneChange {
    /// Returns the order that this change stands for.
    ///
    /// ```
    /// use yuccalink_protocol::api::ZoneChange;
    /// use yuccalink_state::evacuation::ZoneAction;
    /// let change = ZoneChange { evacuated: true, ..ZoneChange::default() };
    /// assert_eq!(change.into_order("brno-a").action, ZoneAction::Evacuate);
    /// ```
    pub fn into_order(self, zone: &str) -> ZoneOrder {
        let action = if self.evacuated { ZoneAction::Evacuate } else { ZoneAction::Restore };
        ZoneOrder { zone: zone.into(), action, empty: self.empty, number: self.number }
    }
}
