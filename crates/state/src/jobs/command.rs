//! Commands that change the state of a job cell, and their outcomes.

use super::change::ChangeSet;
use super::knowledge::Knowledge;
use super::loss::LossEvidence;
use super::settings::ConfiguredChangeSet;
use super::spec::JobSpec;
use super::task::{IncarnationKey, JobId, TaskKey};
use crate::evacuation::{ZoneOrder, ZoneOutcome};
use serde::{Deserialize, Serialize};

/// A command, which is applied after a majority of voters has committed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum JobCommand {
    /// Put a change set into force if its version is the highest so far.
    Change(Box<ChangeSet>),
    /// Add a job.
    Submit(Box<JobSubmission>),
    /// Cancel a job.
    Cancel {
        /// The job to cancel.
        id: JobId,
        /// Time of the cancellation, in Unix milliseconds.
        at_ms: u64,
    },
    /// Register a runner incarnation that reports for the first time.
    Meet(RunnerIncarnation),
    /// Record runs that have ended, or that certainly run no longer.
    End {
        /// The ended runs.
        ends: Vec<RunEnd>,
        /// Time at which the leader recorded the ends, in Unix milliseconds.
        at_ms: u64,
    },
    /// Record runs before their runners are ordered to start them.
    Start(Vec<RunStart>),
    /// Remove jobs that ended long ago.
    Forget(Vec<JobId>),
    /// Store the learnt interference of pairs of images, with which a later leader
    /// begins.
    Learn(Vec<PairWeight>),
    /// Add a maintenance wave.
    Wave(Wave),
    /// Record that a machine's maintenance has begun.
    UpkeepBegun {
        /// Number of the maintenance wave.
        wave: u64,
        /// The machine.
        machine: Box<str>,
        /// The runner that was on the machine and has ended, if there was one.
        runner: Option<Box<str>>,
    },
    /// Record that a machine is up again after its maintenance, or was removed for
    /// good.
    UpkeepDone {
        /// Number of the maintenance wave.
        wave: u64,
        /// The machine.
        machine: Box<str>,
    },
    /// Remove the losses of a runner that reports again: it had not crashed but was
    /// partitioned.
    Alive(IncarnationKey),
    /// Evacuate a zone, or give it work again.
    Zone {
        /// The operator's order.
        order: ZoneOrder,
        /// Time of the order, in Unix milliseconds.
        at_ms: u64,
    },
    /// Cancel a job that its leader does not find active: it is unknown, or has ended. The
    /// cancellation also holds for a submission that arrives later.
    CancelInactive {
        /// The job to cancel.
        id: JobId,
        /// Time of the cancellation, in Unix milliseconds.
        at_ms: u64,
    },
    /// Forget old cancellations of jobs that were not active.
    ForgetCancellations(Vec<JobId>),
    /// Put a change set and the settings of its queues into force together, if its version is
    /// the highest so far. A change set without settings is a [`JobCommand::Change`], which
    /// earlier releases read too.
    ChangeWithSettings(Box<ConfiguredChangeSet>),
    /// Tell the other replicas what the leader has learnt. It changes no state; each replica
    /// keeps what it heard outside of it.
    Tell(Box<Knowledge>),
}

/// A maintenance wave, as its operator ordered it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct Wave {
    /// The wave's number; a resend with the same number is ignored.
    pub id: u64,
    /// Machines to take down for maintenance.
    pub machines: Vec<Box<str>>,
    /// Time by which all machines are to be done, in Unix milliseconds.
    pub until_ms: u64,
    /// Maximum number of machines that are down at once.
    pub at_once: u32,
}

/// How much background tasks of one image slow serving tasks of another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PairWeight {
    /// Image of the serving tasks.
    pub serving: Box<str>,
    /// Image of the background tasks.
    #[serde(rename = "filling")]
    pub background: Box<str>,
    /// Margin that a serving task would lose if background tasks used its whole runner.
    pub mean: f32,
    /// Variance of the estimate of `mean`.
    pub variance: f32,
}

/// A job to add.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSubmission {
    /// The job's number; a resend with the same number adds nothing.
    pub id: JobId,
    /// Name of the job's queue.
    pub queue: Box<str>,
    /// The queue's pool at submission, used after the queue has been removed.
    pub pool: Box<str>,
    /// Number of failed runs of one task at which the job fails.
    pub attempts: u32,
    /// Time of the submission, in Unix milliseconds.
    pub at_ms: u64,
    /// The steps to run.
    pub spec: JobSpec,
}

/// One run of a runner process from start to exit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerIncarnation {
    /// The runner's name, which later incarnations may share.
    pub id: Box<str>,
    /// Start of the process, in Unix milliseconds by the runner's own clock.
    #[serde(rename = "born_ms")]
    pub started_ms: u64,
    /// Address that the runner listens on; two incarnations never listen on it at once.
    pub address: Box<str>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// The run did its work.
    Done,
    /// The run failed, through its own fault or its runner's.
    Failed,
    /// The run was ordered to stop.
    Stopped,
    /// The run's lease expired, as reported by its runner.
    Lapsed,
    /// Another member of the run's gang ended.
    Broken,
    /// The other members of the run's gang did not start.
    Alone,
    /// The runner refused to start the run.
    Refused,
    /// The run was never started, or its runner left as announced.
    Gone,
    /// The runner incarnation ended without announcing that it leaves.
    Crashed(LossEvidence),
    /// The run's lease has expired for certain, without a report from its runner.
    Silent(LossEvidence),
}

/// The end of one run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnd {
    /// The task that ran.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// The runner incarnation that it was assigned to.
    #[serde(rename = "life")]
    pub incarnation: IncarnationKey,
    /// How the run ended.
    #[serde(rename = "how")]
    pub outcome: RunOutcome,
    /// The newest checkpoint, empty for none.
    #[serde(rename = "saved")]
    pub checkpoint: Box<str>,
}

/// A run to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunStart {
    /// The task to run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// The runner incarnation to assign it to.
    #[serde(rename = "life")]
    pub incarnation: IncarnationKey,
}

/// The result of a [`JobCommand`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// Applied, without a result.
    Done,
    /// The job is in the table.
    Accepted {
        /// Whether this command added it.
        new: bool,
    },
    /// Whether a job of that number exists. Either way, none starts from now on.
    Cancelled(bool),
    /// The cancellation of an inactive job was not stored, because too many are remembered.
    TooManyCancellations,
    /// The key of the registered runner incarnation.
    Met(IncarnationKey),
    /// The starts of the command that were made; the others were rejected.
    Started(Vec<RunStart>),
    /// Whether the change set is in force now; if not, an equal or higher version is.
    Changed(bool),
    /// The result of an order for a zone.
    Zone(ZoneOutcome),
}
