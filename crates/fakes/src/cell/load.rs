//! Load of an emulated cell: jobs of long-running tasks and jobs of short tasks.

use crate::emulator::TaskBehavior;
use std::sync::Arc;
use std::time::Duration;
use yuccalink_coordination::Moment;
use yuccalink_coordination::jobs::CellRequest;
use yuccalink_coordination::jobs::messages::QueueAddress;
use yuccalink_state::Resources;
use yuccalink_state::jobs::{ChangeSet, JobId, JobSpec, Pool, Queue, StepSpec};

/// Images of the long-running tasks.
const IMAGES: u64 = 16;
/// Numbers of the jobs of short tasks begin here.
const BATCH_JOBS_FROM: u64 = 1_000_000;

/// Jobs of long-running serving tasks.
#[derive(Clone, Copy, Debug)]
pub struct LongRunningLoad {
    /// Number of jobs.
    pub jobs: u64,
    /// Tasks of one job.
    pub tasks: u32,
    /// Time of the first submission.
    pub from: Moment,
    /// Time between two submissions.
    pub gap: Duration,
}

/// Jobs of one step of short tasks.
#[derive(Clone, Copy, Debug)]
pub struct BatchLoad {
    /// Jobs submitted a second, from the end of the long-running submissions on.
    pub jobs_per_s: f64,
    /// Tasks of one job.
    pub tasks: u32,
    /// Run time of one task.
    pub run_time: Duration,
    /// Time of the first submission.
    pub from: Moment,
}

impl LongRunningLoad {
    /// One task for every two runners, submitted within two seconds.
    pub fn for_runners(runners: usize) -> Self {
        const TASKS: u32 = 24;
        let jobs = (runners as u64 / 2).div_ceil(u64::from(TASKS));
        let gap = Duration::from_secs(2) / u32::try_from(jobs.max(1)).unwrap_or(u32::MAX);
        Self { jobs, tasks: TASKS, from: Moment::from_millis(8_000), gap }
    }
}

impl BatchLoad {
    /// About one start in a second for every ten runners.
    pub fn for_runners(runners: usize) -> Self {
        const TASKS: u32 = 20;
        let jobs_per_s = runners as f64 / 10.0 / f64::from(TASKS);
        let run_time = Duration::from_millis(1_500);
        Self { jobs_per_s, tasks: TASKS, run_time, from: Moment::from_millis(14_000) }
    }
}

fn cores(cores: u64) -> Resources {
    Resources { millicores: cores * 1_000, memory_mib: cores * 2_000, accelerators: 0 }
}

/// Resources of one runner.
pub(super) const CAPACITY: Resources =
    Resources { millicores: 64_000, memory_mib: 250_000, accelerators: 0 };

pub(super) fn change_set() -> ChangeSet {
    let queue = Queue {
        name: "q".into(),
        host: "h".into(),
        prefix: "/q/".into(),
        pool: "pool".into(),
        timeout_ms: 3_000,
        objective_ms: 2_500,
        slack: 2.0,
        attempts: 2,
        ..Queue::default()
    };
    let pool = Pool { name: "pool".into(), ..Pool::default() };
    ChangeSet { version: 1, queues: vec![queue], pools: vec![pool], ..ChangeSet::default() }
}

fn submission(id: u64, step: StepSpec) -> CellRequest {
    let at = QueueAddress { host: "h".into(), path: "/q/".into() };
    let spec = JobSpec { payload: "p".into(), steps: vec![step], schedule: None };
    CellRequest::Submit { at, id: JobId(id), spec: Arc::new(spec) }
}

/// Submits the job with this number of `load`.
pub(super) fn long_running_job(load: &LongRunningLoad, number: u64) -> CellRequest {
    let step = StepSpec {
        count: load.tasks,
        need: cores(10 + number % 6),
        estimate_ms: 70_000,
        long_running: true,
        tail_bound_ms: 25,
        per_runner_max: 2 * u32::from(number.is_multiple_of(2)),
        image: Some(format!("serving-{}", number % IMAGES).into()),
        ..StepSpec::default()
    };
    submission(number, step)
}

/// Submits the job with this number of `load`.
pub(super) fn batch_job(load: &BatchLoad, number: u64) -> CellRequest {
    let step = StepSpec {
        count: load.tasks,
        need: cores(8),
        estimate_ms: u64::try_from(load.run_time.as_millis()).unwrap_or(u64::MAX),
        ..StepSpec::default()
    };
    submission(BATCH_JOBS_FROM + number, step)
}

/// Number of the job of short tasks with this number of the load.
pub(super) fn batch_id(number: u64) -> JobId {
    JobId(BATCH_JOBS_FROM + number)
}

/// Cancels the job of short tasks with this number.
pub(super) fn cancellation(number: u64) -> CellRequest {
    let at = QueueAddress { host: "h".into(), path: "/q/".into() };
    CellRequest::Cancel { at, id: batch_id(number) }
}

/// How the tasks of a job behave.
pub(super) fn behavior(job: JobId, load: &BatchLoad) -> TaskBehavior {
    match job.0 < BATCH_JOBS_FROM {
        true => TaskBehavior { long_running: true, ..TaskBehavior::default() },
        false => TaskBehavior { run_time: load.run_time, ..TaskBehavior::default() },
    }
}
