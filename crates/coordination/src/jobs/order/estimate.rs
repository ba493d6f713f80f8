//! Estimates of how long jobs take, from the run times that teams declare, and of what a
//! finished job is worth.
//!
//! Declared run times are up to 90 % off. The estimates therefore only order jobs
//! relative to each other.

use std::time::Duration;
use yuccalink_state::jobs::{Job, JobSpec, Queue};

/// Shortest run time assumed for a task, so that a declared run time of zero does not put
/// a job before all others.
const TASK_DURATION_MIN: Duration = Duration::from_millis(60);
/// A job that ends within this many times its objective still has some worth.
pub(in crate::jobs) const LATE_FACTOR: u32 = 3;
/// Part of a job's worth that does not depend on its work.
const WORTH_FIXED: f64 = 0.3;
/// Part of a job's worth that grows with its work.
const WORTH_PER_WORK: f64 = 0.7;

/// Expected end of a job relative to its objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::jobs) enum Lateness {
    /// The job can still end within its objective.
    OnTime,
    /// The job can still end within three times its objective, which has some worth.
    Late,
    /// The job was accepted, but its result no longer counts.
    Overdue,
}

/// Length and work of a job by its description.
#[derive(Clone, Debug, Default)]
pub(in crate::jobs) struct JobEstimate {
    /// For each step, the shortest time from its start to the end of the job.
    pub(in crate::jobs) paths_to_end: Vec<Duration>,
    /// Length of the longest chain of dependent steps.
    pub(in crate::jobs) critical_path: Duration,
    /// Core-seconds of one task of each step.
    pub(in crate::jobs) task_work: Vec<f64>,
    /// Core-seconds of all tasks of the job.
    pub(in crate::jobs) total_work: f64,
}

impl JobEstimate {
    pub(in crate::jobs) fn of(spec: &JobSpec) -> Self {
        let duration = |ms: u64| Duration::from_millis(ms).max(TASK_DURATION_MIN);
        let mut paths_to_end: Vec<Duration> =
            spec.steps.iter().map(|step| duration(step.estimate_ms)).collect();
        // Steps depend on earlier steps only, so one pass from the end is enough.
        for at in (0..spec.steps.len()).rev() {
            let own = paths_to_end[at];
            for dependency in &spec.steps[at].depends_on {
                let dependency = usize::from(*dependency);
                let path = duration(spec.steps[dependency].estimate_ms) + own;
                paths_to_end[dependency] = paths_to_end[dependency].max(path);
            }
        }
        let task_work: Vec<f64> = spec
            .steps
            .iter()
            .map(|step| {
                duration(step.estimate_ms).as_secs_f64() * step.need.millicores as f64 / 1000.0
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

    /// Returns the time within which the job must end to be on time.
    pub(in crate::jobs) fn objective(&self, queue: Option<&Queue>) -> Duration {
        let slack = queue.map_or(1.0, |queue| queue.slack.clamp(1.0, 100.0));
        let extra = queue.map_or(0, |queue| queue.objective_ms);
        self.critical_path.mul_f64(slack) + Duration::from_millis(extra)
    }

    /// Returns the core-seconds that are left to do.
    pub(in crate::jobs) fn work_left(&self, job: &Job) -> f64 {
        let Some(occurrence) = job.occurrences.last() else { return self.total_work };
        let steps = occurrence.steps.iter().zip(&self.task_work);
        steps.map(|(step, per_task)| f64::from(step.left) * per_task).sum()
    }

    /// Returns the lateness of a job of this age. `path_to_end` is the shortest time from
    /// the start of its next step to the end of the job.
    pub(in crate::jobs) fn lateness(
        objective: Duration,
        age: Duration,
        path_to_end: Duration,
    ) -> Lateness {
        let earliest_end = age + path_to_end;
        if earliest_end <= objective {
            Lateness::OnTime
        } else if earliest_end <= objective * LATE_FACTOR {
            Lateness::Late
        } else {
            Lateness::Overdue
        }
    }

    /// Returns the worth per core-second left, relative to other jobs of the queue, whose
    /// mean work is `mean`. A job that is nearly done comes before one that has just
    /// begun, since it takes the least capacity until its caller has the result.
    /// `size_weight` is the exponent of the work left.
    pub(in crate::jobs) fn density(&self, left: f64, mean: f64, size_weight: f64) -> f64 {
        let mean = if mean > 0.0 { mean } else { self.total_work.max(1e-3) };
        (WORTH_FIXED + WORTH_PER_WORK * self.total_work / mean) / left.max(1e-3).powf(size_weight)
    }
}
