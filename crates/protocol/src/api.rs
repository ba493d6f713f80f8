//! The JSON bodies that targets and operators exchange with the daemon.

use serde::{Deserialize, Serialize};
use yuccalink_state::Resources;
use yuccalink_state::command::{CancelOutcome, TaskReport};
use yuccalink_state::id::{Epoch, Incarnation, Name, TaskId};
use yuccalink_state::target::{RunnerSpec, TargetSpec};
use yuccalink_state::worker::WorkerSpec;

/// Most task reports, held tasks or task numbers in one message.
pub const LIST_MAX: usize = 20_000;
/// Most tasks in one submission.
pub const SUBMIT_MAX: u32 = 100_000;
/// Largest payload of a task, in bytes.
pub const PAYLOAD_MAX: usize = 16 * 1024;

/// A runner or a worker announces itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Announce {
    /// A runner.
    Runner {
        /// What it is.
        #[serde(flatten)]
        spec: RunnerSpec,
        /// Requests that it holds now.
        #[serde(default)]
        busy: u32,
    },
    /// A worker.
    Worker {
        /// What it is.
        #[serde(flatten)]
        spec: WorkerSpec,
    },
}

impl Announce {
    /// The target, and the requests that it holds.
    pub fn into_parts(self) -> (TargetSpec, u32) {
        match self {
            Self::Runner { spec, busy } => (TargetSpec::Runner(spec), busy),
            Self::Worker { spec } => (TargetSpec::Worker(spec), 0),
        }
    }
}

/// Answer to an announcement or heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct HeartbeatReply {
    /// When to send the next heartbeat, in milliseconds.
    pub heartbeat_ms: u64,
    /// For workers: tasks may run this long after the sending of the message
    /// that this answers, in milliseconds. Then they must be stopped.
    #[serde(default)]
    pub lease_ms: Option<u64>,
    /// For workers: the next heartbeat must list every held task.
    #[serde(default)]
    pub send_held: bool,
}

/// A target's regular word.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Heartbeat {
    /// This run of the target's program.
    pub incarnation: Incarnation,
    /// Requests or tasks that it holds.
    #[serde(default)]
    pub busy: u32,
    /// Processor in use, in thousandths; may be late.
    #[serde(default)]
    pub millicores: u64,
    /// Memory in use, in MiB; may be late.
    #[serde(default)]
    pub memory_mib: u64,
    /// For workers: every task held, and every one with a report not yet answered.
    /// May be left out where `held-digest` is given and the list was not asked for.
    #[serde(default)]
    pub held: Option<Vec<ReportedTask>>,
    /// For workers: [`held_digest`] of the same tasks.
    #[serde(default)]
    pub held_digest: u32,
    /// For workers: what happened since the last answered report.
    #[serde(default)]
    pub reports: Vec<TaskReport>,
}

/// A task that a worker holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ReportedTask {
    /// The task.
    pub task: TaskId,
    /// The placement that it holds.
    pub epoch: Epoch,
}

/// Digest of held tasks: equal digests on both sides spare the list. The sum, in
/// 32 bits, of a mix of each task and epoch; the order does not matter.
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
    const MIX: u64 = 0x9E37_79B9_7F4A_7C15;
    held.into_iter().fold(0, |sum, ReportedTask { task, epoch }| {
        let mixed = task.0.wrapping_mul(31).wrapping_add(epoch.0).wrapping_mul(MIX);
        sum.wrapping_add((mixed >> 32) as u32)
    })
}

/// A target leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Leave {
    /// This run of the target's program.
    pub incarnation: Incarnation,
}

/// Orders to a worker, sent to `POST /v1/orders` at its address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Orders {
    /// The run of the worker's program that they are for; another run refuses them all.
    pub incarnation: Incarnation,
    /// What to do.
    pub orders: Vec<OrderTask>,
}

/// What to do with one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "order")]
pub enum OrderTask {
    /// Run it. A worker that has seen this task with this or a later epoch must
    /// not start it again.
    Start(TaskStart),
    /// Save its state, report that, and stop it.
    Checkpoint(ReportedTask),
    /// Stop it.
    Stop(ReportedTask),
    /// Run it with this share of its processors, in thousandths, for a while.
    Throttle {
        /// The task.
        task: TaskId,
        /// The placement.
        epoch: Epoch,
        /// 1000 is full speed.
        share: u32,
        /// Then it runs at full speed again, unless the order came once more.
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
    /// Its placement, carried on every message about it.
    pub epoch: Epoch,
    /// The service it belongs to.
    pub service: Name,
    /// Its kind.
    pub kind: Name,
    /// What it may use.
    pub need: Resources,
    /// Its declared run time, in milliseconds.
    pub duration_ms: u64,
    /// Work already saved, in milliseconds of run time; resume from there.
    pub done_ms: u64,
    /// The epoch that saved it.
    pub checkpoint: Option<Epoch>,
    /// As submitted.
    pub payload: Box<str>,
}

/// A worker's answer to orders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct OrdersTaken {
    /// Reports that are already known: started, refused, stopped.
    pub reports: Vec<TaskReport>,
}

/// Answer to an accepted document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Applied {
    /// The service.
    pub service: Name,
    /// The version accepted.
    pub version: u64,
    /// Its place in the order of changes.
    pub revision: u64,
    /// Whether this answers a resend.
    pub resent: bool,
    /// Whether every entry that may serve has it in force.
    pub in_force_everywhere: bool,
    /// Entries that may still serve an older version.
    #[serde(default)]
    pub waiting_for: Vec<Name>,
}

/// A document as it is kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ServiceView {
    /// The service.
    pub service: Name,
    /// The team that owns it.
    pub team: Name,
    /// The version in force.
    pub version: u64,
    /// Its place in the order of changes.
    pub revision: u64,
    /// Who applied it.
    pub author: Box<str>,
    /// The text.
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
    /// How many, 1 when absent.
    #[serde(default = "one")]
    pub count: u32,
    /// Place before all others.
    #[serde(default)]
    pub urgent: bool,
    /// Given to the workers as it is.
    #[serde(default)]
    pub payload: Box<str>,
}

fn one() -> u32 {
    1
}

/// Answer to a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Submitted {
    /// The first task; the others are numbered on from it.
    pub first: TaskId,
    /// How many.
    pub count: u32,
    /// Whether this answers a resend.
    pub resent: bool,
}

/// Tasks to cancel.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct CancelTasks {
    /// Their numbers.
    pub tasks: Vec<TaskId>,
}

/// What became of one cancellation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Cancelled {
    /// The task.
    pub task: TaskId,
    /// What it came to.
    pub outcome: CancelOutcome,
}

/// A task as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TaskView {
    /// Its number.
    pub task: TaskId,
    /// The service.
    pub service: Name,
    /// Its kind.
    pub kind: Name,
    /// `waiting`, `placed`, `running`, `stopping`, `finished`, `failed` or `cancelled`.
    pub phase: Box<str>,
    /// The reason, where there is one.
    #[serde(default)]
    pub reason: Option<Box<str>>,
    /// Where it is.
    #[serde(default)]
    pub worker: Option<Name>,
    /// Number of its last placement.
    pub epoch: Epoch,
    /// Work saved, in milliseconds.
    pub done_ms: u64,
    /// Times evicted.
    pub evictions: u32,
    /// Times failed.
    pub failures: u32,
    /// Whether it goes before all others.
    pub urgent: bool,
}

/// A daemon and what it knows of the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Status {
    /// The daemon asked.
    pub entry: Name,
    /// The daemon that decides, if known.
    pub leader: Option<Name>,
    /// The leader's term.
    pub term: u64,
    /// Revision of the last accepted document.
    pub revision: u64,
    /// Every entry that the leader has heard.
    pub entries: Vec<EntryView>,
    /// Tasks waiting.
    pub waiting: u64,
    /// Tasks on workers.
    pub on_workers: u64,
    /// Requests kept in the ledger.
    pub ledger_requests: u64,
    /// Bytes kept in the ledger.
    pub ledger_bytes: u64,
    /// The leader's log.
    pub log: LogView,
    /// The daemons that keep the state.
    pub members: Vec<MemberView>,
}

/// A replica of the state as the leader sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct MemberView {
    /// Its daemon.
    pub name: Name,
    /// Its disk.
    pub replica: Box<str>,
    /// Whether it votes, or only follows yet.
    pub voter: bool,
    /// Whether it leads.
    pub leads: bool,
    /// Time since it was heard, in milliseconds.
    pub silent_ms: u64,
}

/// Counts of a log since its daemon started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LogView {
    /// Index of the last durable record.
    pub last: u64,
    /// Syncs.
    pub syncs: u64,
    /// Records.
    pub records: u64,
    /// Bytes.
    pub bytes: u64,
}

/// One entry as the leader sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct EntryView {
    /// Its name.
    pub entry: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Where it takes callers' requests.
    #[serde(rename = "callers")]
    pub caller_address: Box<str>,
    /// The revision it has in force.
    pub revision: u64,
    /// Whether it may be serving.
    pub lease: bool,
    /// Whether it is about to stop.
    pub draining: bool,
    /// Time since it was heard, in milliseconds.
    pub silent_ms: u64,
}

/// A target as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TargetView {
    /// What it announced.
    pub target: TargetSpec,
    /// `live`, `suspected`, `leaving` or `gone`.
    pub health: Box<str>,
    /// Requests or tasks it said it holds.
    pub busy: u32,
    /// The entry that routes to it.
    pub owner: Option<Name>,
    /// Time since it was heard, in milliseconds.
    pub silent_ms: u64,
    /// For workers: what is committed.
    #[serde(default)]
    pub committed: Option<Resources>,
}

/// One decision, newest first in lists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct DecisionView {
    /// Unix milliseconds.
    pub at_ms: u64,
    /// The daemon that decided.
    pub entry: Name,
    /// The log line.
    pub line: Box<str>,
}
