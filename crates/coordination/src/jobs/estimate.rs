//! How long jobs take, from what teams guess, and what a finished job is worth.
//!
//! Guesses are up to 90 % off, so nothing here is a promise: the figures only
//! order jobs against each other.

use std::time::Duration;
use yuccalink_state::jobs::{Job, JobSpec, Queue};

/// Least time a task is taken to need, so that a guess of nothing orders no job
/// before all others.
const TASK_MIN: Duration = Duration::from_millis(60);
/// A job that took up to this many times its objective still counts a little.
const LATE_FACTOR: u32 = 3;
/// Part of a job's worth that does not depend on its work.
const WORTH_FIXED: f64 = 0.3;
/// Part of a job's worth that grows with its work.
const WORTH_PER_WORK: f64 = 0.7;

/// Where a job stands against its objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Lateness {
    /// It can be done within its objective.
    OnTime,
    /// It can be done within three times its objective, which counts a little.
    Late,
    /// Nobody waits for it any more, but it was accepted.
    Overdue,
}

/// What a job's description says of its length and work.
#[derive(Clone, Debug, Default)]
pub(super) struct JobEstimate {
    /// For each step: from its start to the job's end, at the least.
    pub(super) paths_to_end: Vec<Duration>,
    /// The longest chain.
    pub(super) critical_path: Duration,
    /// Core-seconds of each step's one task.
    pub(super) task_work: Vec<f64>,
    /// Core-seconds of all.
    pub(super) total_work: f64,
}

impl JobEstimate {
    pub(super) fn of(spec: &JobSpec) -> Self {
        let length = |ms: u64| Duration::from_millis(ms).max(TASK_MIN);
        let mut paths_to_end: Vec<Duration> =
            spec.steps.iter().map(|step| length(step.estimate_ms)).collect();
        // Steps only come after earlier ones, so one pass from the end is enough.
        for at in (0..spec.steps.len()).rev() {
            let own = paths_to_end[at];
            for dependency in &spec.steps[at].depends_on {
                let dependency = usize::from(*dependency);
                let path = length(spec.steps[dependency].estimate_ms) + own;
                paths_to_end[dependency] = paths_to_end[dependency].max(path);
            }
        }
        let task_work: Vec<f64> = spec
            .steps
            .iter()
            .map(|step| {
                length(step.estimate_ms).as_secs_f64() * step.need.millicores as f64 / 1000.0
            })
            .collect();
        let total_work = spec
            .steps
            .iter()
            .zip(&task_work)
            .map(|(step, per_task)| f64::from(step.count) * per_task)
            .sum();
        let critical_path = paths_to_end.iter().copied().max().unwrap_or_default();
        Self { paths_to_end, critical_path, task_work, total_work }
    }

    /// Time within which the job counts as prompt.
    pub(super) fn objective(&self, queue: Option<&Queue>) -> Duration {
        let slack = queue.map_or(1.0, |queue| queue.slack.clamp(1.0, 100.0));
        let extra = queue.map_or(0, |queue| queue.objective_ms);
        self.critical_path.mul_f64(slack) + Duration::from_millis(extra)
    }

    /// Core-seconds that are not done yet.
    pub(super) fn work_left(&self, job: &Job) -> f64 {
        let Some(occurrence) = job.occurrences.last() else { return self.total_work };
        let steps = occurrence.steps.iter().zip(&self.task_work);
        steps.map(|(step, per_task)| f64::from(step.left) * per_task).sum()
    }

    /// Where a job stands that came in `age` ago and whose next step has `tail`
    /// before it.
    pub(super) fn lateness(objective: Duration, age: Duration, path_to_end: Duration) -> Lateness {
        let earliest_end = age + path_to_end;
        if earliest_end <= objective {
            Lateness::OnTime
        } else if earliest_end <= objective * LATE_FACTOR {
            Lateness::Late
        } else {
            Lateness::Overdue
        }
    }

    /// Worth for each core-second that is left, against other jobs of its queue
    /// whose mean work is `mean`. A job that is nearly done comes before one
    /// that has just begun: it frees its caller for the least room. The size left
    /// counts by `size_weight`.
    pub(super) fn density(&self, left: f64, mean: f64, size_weight: f64) -> f64 {
        let mean = if mean > 0.0 { mean } else { self.total_work.max(1e-3) };
        (WORTH_FIXED + WORTH_PER_WORK * self.total_work / mean) / left.max(1e-3).powf(size_weight)
    }
}
