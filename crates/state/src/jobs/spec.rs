//! What a caller asks for: a job of one or more steps.

use crate::Resources;
use serde::{Deserialize, Serialize};

/// Most steps in one job.
pub const STEPS_MAX: usize = 64;
/// Most tasks in one step; a wider step cannot be described in one order.
pub const TASKS_MAX: u32 = 4_096;
/// Longest payload in bytes, the longest that runners take.
pub const PAYLOAD_MAX: usize = 4_000;

/// A job as its caller described it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct JobSpec {
    /// Handed to runners with each start, unread.
    pub payload: Box<str>,
    /// In the order of their numbers.
    pub steps: Vec<StepSpec>,
    /// Runs once, at once, without one.
    #[serde(default)]
    pub schedule: Option<Schedule>,
}

/// When the occurrences of a job are due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Schedule {
    /// The first, in Unix milliseconds.
    pub first_ms: u64,
    /// Between one and the next, in milliseconds.
    pub interval_ms: u64,
    /// How many there are.
    pub count: u32,
}

/// One step: tasks that are alike.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct StepSpec {
    /// How many tasks.
    pub count: u32,
    /// What one task takes of a runner.
    pub need: Resources,
    /// The team's guess of one task's time, in milliseconds; often far off.
    pub estimate_ms: u64,
    /// Steps whose tasks must all be done first.
    #[serde(rename = "after")]
    pub depends_on: Vec<u16>,
    /// Resumes from checkpoints.
    pub checkpointing: bool,
    /// All tasks run together or not at all.
    pub gang: bool,
    /// Slower when its tasks are spread over racks.
    pub rack_affinity: bool,
    /// The runner must carry this label.
    pub required_label: Option<Box<str>>,
    /// The rack that holds its data; slower elsewhere.
    pub data_rack: Option<Box<str>>,
    /// Most tasks of this step on one runner; 0 for no limit.
    pub per_runner_max: u32,
    /// Two runs of one task may run at once.
    pub speculative: bool,
    /// Runs until the job is cancelled, and is started again however it ends.
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<Box<str>>,
    /// Bound on the tail of the task's own response times in milliseconds; 0 for none.
    #[serde(rename = "target-ms")]
    pub tail_bound_ms: u64,
    /// Uses the processors that others leave; its processors are not committed.
    pub opportunistic: bool,
    /// Tasks that the system itself may take away at once; none where unset.
    pub disruptions_max: Option<u32>,
}

/// What is wrong with a job.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum BadJob {
    /// a job needs at least one step; add one
    NoSteps,
    /// {0} steps are more than 64; split the job
    TooManySteps(usize),
    /// step {0} has {1} tasks; give it 1 to 4096
    Tasks(usize, u32),
    /// step {0} comes after step {1}, which is not an earlier one; list only earlier steps
    Order(usize, u16),
    /// the payload has {0} bytes; shorten it to 4000
    Payload(usize),
}

impl std::error::Error for BadJob {}

impl JobSpec {
    /// Checks the parts against each other.
    ///
    /// # Errors
    /// The first fault that is found.
    ///
    /// ```
    /// use yuccalink_state::jobs::{JobSpec, StepSpec, spec::BadJob};
    /// let mut job = JobSpec::default();
    /// assert_eq!(job.check(), Err(BadJob::NoSteps));
    /// job.steps.push(StepSpec { count: 1, ..StepSpec::default() });
    /// assert_eq!(job.check(), Ok(()));
    /// ```
    pub fn check(&self) -> Result<(), BadJob> {
        if self.steps.is_empty() {
            return Err(BadJob::NoSteps);
        }
        if self.steps.len() > STEPS_MAX {
            return Err(BadJob::TooManySteps(self.steps.len()));
        }
        if self.payload.len() > PAYLOAD_MAX {
            return Err(BadJob::Payload(self.payload.len()));
        }
        for (at, step) in self.steps.iter().enumerate() {
            if step.count == 0 || step.count > TASKS_MAX {
                return Err(BadJob::Tasks(at, step.count));
            }
            if let Some(wrong) = step.depends_on.iter().find(|after| usize::from(**after) >= at) {
                return Err(BadJob::Order(at, *wrong));
            }
        }
        Ok(())
    }

    /// Occurrences: one without a schedule.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count.max(1))
    }
}

impl StepSpec {
    /// What one task is committed of a runner: opportunistic tasks take only
    /// memory and accelerators, their processors are those that others leave.
    ///
    /// ```
    /// use yuccalink_state::{Resources, jobs::StepSpec};
    /// let need = Resources { millicores: 500, memory_mib: 64, accelerators: 0 };
    /// let step = StepSpec { need, opportunistic: true, ..StepSpec::default() };
    /// assert_eq!(step.reserved().millicores, 0);
    /// ```
    pub fn reserved(&self) -> Resources {
        match self.opportunistic {
            true => Resources { millicores: 0, ..self.need },
            false => self.need,
        }
    }
}
