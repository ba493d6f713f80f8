//! The specification of a job: one or more steps, as its caller submits them.

use crate::Resources;
use serde::{Deserialize, Serialize};

/// Maximum number of steps in one job.
pub const STEPS_MAX: usize = 64;
/// Maximum number of tasks in one step; a larger step cannot be described in one order.
pub const TASKS_MAX: u32 = 4_096;
/// Maximum size of a payload in bytes, which is the limit of the runners.
pub const PAYLOAD_MAX: usize = 4_000;

/// A job as its caller specified it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct JobSpec {
    /// Passed to the runner unchanged with each start.
    pub payload: Box<str>,
    /// The steps, in the order of their numbers.
    pub steps: Vec<StepSpec>,
    /// When the job runs; without a schedule it runs once, immediately.
    #[serde(default)]
    pub schedule: Option<Schedule>,
}

/// When the occurrences of a job are due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Schedule {
    /// Due time of the first occurrence, in Unix milliseconds.
    pub first_ms: u64,
    /// Time from one occurrence to the next, in milliseconds.
    pub interval_ms: u64,
    /// Number of occurrences.
    pub count: u32,
}

impl Schedule {
    /// Number of occurrences that are due at `unix_ms`, from the first on.
    ///
    /// ```
    /// use yuccalink_state::jobs::Schedule;
    /// let schedule = Schedule { first_ms: 1_000, interval_ms: 500, count: 10 };
    /// assert_eq!(schedule.due_through(999), 0);
    /// assert_eq!(schedule.due_through(1_500), 2);
    /// assert_eq!(schedule.due_through(u64::MAX), 10);
    /// ```
    pub fn due_through(&self, unix_ms: u64) -> u32 {
        let Some(passed) = unix_ms.checked_sub(self.first_ms) else { return 0 };
        let later = passed.checked_div(self.interval_ms).unwrap_or(u64::MAX);
        let due = u32::try_from(later.saturating_add(1)).unwrap_or(u32::MAX);
        due.min(self.count)
    }
}

/// A step: a number of identical tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resources that one task needs.
    pub need: Resources,
    /// The team's estimate of one task's run time, in milliseconds; often inaccurate.
    pub estimate_ms: u64,
    /// Steps whose tasks must all be done before this step starts.
    #[serde(rename = "after")]
    pub depends_on: Vec<u16>,
    /// The tasks resume from checkpoints.
    pub checkpointing: bool,
    /// The tasks form a gang, so all run together or none does.
    pub gang: bool,
    /// The tasks run slower when they are spread over several racks.
    pub rack_affinity: bool,
    /// Label that the runner must have.
    pub required_label: Option<Box<str>>,
    /// Rack that holds the step's data; the tasks run slower elsewhere.
    pub data_rack: Option<Box<str>>,
    /// Maximum number of tasks of this step on one runner; 0 for no limit.
    pub per_runner_max: u32,
    /// Two runs of the same task may be active at once.
    pub speculative: bool,
    /// The tasks run until the job is cancelled, and are started again however they end.
    pub long_running: bool,
    /// The image that the tasks run; tasks of the same image behave alike.
    pub image: Option<Box<str>>,
    /// Bound on the tasks' own tail latency, in milliseconds; 0 for none.
    #[serde(rename = "target-ms")]
    pub tail_bound_ms: u64,
    /// The tasks use CPU that other tasks leave idle; no CPU is reserved for them.
    pub opportunistic: bool,
    /// Maximum number of tasks that the scheduler may interrupt at once; no limit if unset.
    pub disruptions_max: Option<u32>,
}

/// Why a job specification is invalid.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum InvalidJob {
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

impl std::error::Error for InvalidJob {}

impl JobSpec {
    /// Validates the steps and the payload.
    ///
    /// # Errors
    /// The first problem that is found.
    ///
    /// ```
    /// use yuccalink_state::jobs::{JobSpec, StepSpec, spec::InvalidJob};
    /// let mut job = JobSpec::default();
    /// assert_eq!(job.check(), Err(InvalidJob::NoSteps));
    /// job.steps.push(StepSpec { count: 1, ..StepSpec::default() });
    /// assert_eq!(job.check(), Ok(()));
    /// ```
    pub fn check(&self) -> Result<(), InvalidJob> {
        if self.steps.is_empty() {
            return Err(InvalidJob::NoSteps);
        }
        if self.steps.len() > STEPS_MAX {
            return Err(InvalidJob::TooManySteps(self.steps.len()));
        }
        if self.payload.len() > PAYLOAD_MAX {
            return Err(InvalidJob::Payload(self.payload.len()));
        }
        for (at, step) in self.steps.iter().enumerate() {
            if step.count == 0 || step.count > TASKS_MAX {
                return Err(InvalidJob::Tasks(at, step.count));
            }
            if let Some(later) = step.depends_on.iter().find(|step| usize::from(**step) >= at) {
                return Err(InvalidJob::Order(at, *later));
            }
        }
        Ok(())
    }

    /// Number of occurrences, which is 1 without a schedule.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count.max(1))
    }
}

impl StepSpec {
    /// Resources that are reserved for one task. For opportunistic tasks these are
    /// only memory and accelerators, since they use CPU that other tasks leave idle.
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
