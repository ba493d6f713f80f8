//! What may change the state of jobs, and what each change came to.

use super::change::ChangeSet;
use super::loss::LossEvidence;
use super::spec::JobSpec;
use super::task::{IncarnationKey, JobId, TaskKey};
use serde::{Deserialize, Serialize};

/// One change, agreed on by the voters before it is applied.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum JobCommand {
    /// Put this in force if its version is the highest so far.
    Change(Box<ChangeSet>),
    /// Add a job.
    Submit(Box<JobSubmission>),
    /// Cancel a job.
    Cancel {
        /// Which.
        id: JobId,
        /// When, in Unix milliseconds.
        at_ms: u64,
    },
    /// A runner's life is heard of for the first time.
    Meet(RunnerIncarnation),
    /// Runs that have ended, or surely run no more.
    End {
        /// Each of them.
        ends: Vec<RunEnd>,
        /// When, in Unix milliseconds.
        at_ms: u64,
    },
    /// Runs that runners are about to be told to start.
    Start(Vec<RunStart>),
    /// Jobs that ended long ago.
    Forget(Vec<JobId>),
    /// What was learnt of pairs of images, for a later leader to begin with.
    Learn(Vec<PairWeight>),
    /// Machines to take down for upkeep.
    Wave(Wave),
    /// A machine has begun its upkeep.
    UpkeepBegun {
        /// Of this wave.
        wave: u64,
        /// Which.
        machine: Box<str>,
        /// The runner that was on it, which is over.
        runner: Option<Box<str>>,
    },
    /// A machine is up again after its upkeep, or has left for good.
    UpkeepDone {
        /// Of this wave.
        wave: u64,
        /// Which.
        machine: Box<str>,
    },
    /// A runner whose runs were given up reports again: it was only cut off.
    Alive(IncarnationKey),
}

/// A wave of upkeep, as its operator ordered it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct Wave {
    /// Its number: the same number is the same wave.
    pub id: u64,
    /// The machines.
    pub machines: Vec<Box<str>>,
    /// When all are to be done, in Unix milliseconds.
    pub until_ms: u64,
    /// Most machines down at once.
    pub at_once: u32,
}

/// How hard tasks of one image press on those of another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PairWeight {
    /// The image that serves.
    pub serving: Box<str>,
    /// The image that fills.
    pub filling: Box<str>,
    /// Margin that a whole runner of the latter would take.
    pub mean: f32,
    /// How sure that is.
    pub variance: f32,
}

/// A job to add.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSubmission {
    /// Its number: the same number is the same job.
    pub id: JobId,
    /// Name of its queue.
    pub queue: Box<str>,
    /// The queue's pool at that time, for when the queue is gone.
    pub pool: Box<str>,
    /// Runs of one task that may fail.
    pub attempts: u32,
    /// When it came in, in Unix milliseconds.
    pub at_ms: u64,
    /// What to do.
    pub spec: JobSpec,
}

/// One life of a runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerIncarnation {
    /// The runner's name, which its next life may carry too.
    pub id: Box<str>,
    /// When this life began, in Unix milliseconds by the runner's own clock.
    #[serde(rename = "born_ms")]
    pub started_ms: u64,
    /// Where it listens; two lives never listen there at once.
    pub address: Box<str>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// It did its work.
    Done,
    /// Through its own fault or its runner's.
    Failed,
    /// It was told to.
    Stopped,
    /// Its lease ended, as its runner tells.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
    /// The runner did not start it.
    Refused,
    /// It was never started, or its runner left as it had said.
    Gone,
    /// Its runner's life is over, though it did not say that it leaves.
    Crashed(LossEvidence),
    /// Its lease has surely ended, and nothing was heard of its runner.
    Silent(LossEvidence),
}

/// The end of one run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnd {
    /// Whose run.
    pub task: TaskKey,
    /// Which run.
    pub run: u32,
    /// Where.
    #[serde(rename = "life")]
    pub incarnation: IncarnationKey,
    /// How.
    #[serde(rename = "how")]
    pub outcome: RunOutcome,
    /// The newest checkpoint, empty for none.
    #[serde(rename = "saved")]
    pub checkpoint: Box<str>,
}

/// A run to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunStart {
    /// Whose run.
    pub task: TaskKey,
    /// Which run.
    pub run: u32,
    /// Where.
    #[serde(rename = "life")]
    pub incarnation: IncarnationKey,
}

/// What a command came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// Nothing to tell.
    Done,
    /// The job is there; `new` unless it was before.
    Accepted {
        /// Whether this command added it.
        new: bool,
    },
    /// Whether a job of that number was there.
    Cancelled(bool),
    /// The key of the life.
    Met(IncarnationKey),
    /// The starts that hold, of those asked for.
    Started(Vec<RunStart>),
    /// Whether the change is in force now; otherwise a higher version is.
    Changed(bool),
}
