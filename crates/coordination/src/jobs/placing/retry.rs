//! Where and when a failed task starts again.
//!
//! A runner at fault fails all that it starts, usually for some seconds, and would use up the
//! attempts of a sound task within one. A failed task therefore prefers runners on which it has not
//! failed, and its last attempt a trusted runner. A label, a size or a ticket may leave no such
//! runner, so each preference ends after a while.

use crate::jobs::leader::{Leader, Now};
use crate::jobs::place::label_fits;
use crate::jobs::ready::StepKey;
use crate::jobs::runner::{Runner, Trust};
use crate::moment::Moment;
use std::collections::BTreeMap;
use std::time::Duration;
use yuccalink_state::jobs::{Job, JobId, StepSpec, Task, TaskKey};

/// Delay before a task returns to a runner on which it failed, if no other one can run it. It
/// doubles with each failure.
const RETURN_DELAY: Duration = Duration::from_secs(2);
/// A last attempt waits this many times as long for a trusted runner if there is one, since it
/// takes tasks as others end.
const TRUSTED_RUNNER_FACTOR: u32 = 4;

/// Times of the last failures of tasks that this leader has seen.
#[derive(Debug, Default)]
pub(in crate::jobs) struct FailureTimes(BTreeMap<TaskKey, Moment>);

impl FailureTimes {
    pub(in crate::jobs) fn add(&mut self, task: TaskKey, now: Moment) {
        self.0.insert(task, now);
    }

    /// Removes the tasks of a job that has ended.
    pub(in crate::jobs) fn remove_job(&mut self, job: JobId) {
        let first = TaskKey { job, occurrence: 0, step: 0, index: 0 };
        let of_job = self.0.range(first..).take_while(|(task, _)| task.job == job);
        let tasks: Vec<TaskKey> = of_job.map(|(task, _)| *task).collect();
        for task in tasks {
            self.0.remove(&task);
        }
    }
}

/// Delay before a task that has failed `failures` times returns to a runner on which it failed.
fn return_delay(failures: u32) -> Duration {
    RETURN_DELAY.saturating_mul(1 << failures.saturating_sub(1).min(8))
}

impl Leader {
    /// Whether the next run of a task may start on a runner, given where and how often it failed.
    pub(in crate::jobs) fn may_retry_on(
        &self,
        now: Now,
        job: &Job,
        task: TaskKey,
        state: &Task,
        runner: &Runner,
        trust: Trust,
    ) -> bool {
        let failed_here = state.failed_on.contains(&runner.key);
        let risks_job = state.failures + 1 >= job.attempts && trust != Trust::Full;
        if !failed_here && !risks_job {
            return true;
        }
        let waited = self.waited_to_retry(now, task);
        let patience = self.cfg.policy.distrust.forgiven.to_duration();
        if waited < return_delay(state.failures).min(patience) || (risks_job && waited < patience) {
            return false;
        }
        let Some(step) = job.spec.steps.get(usize::from(task.step)) else { return false };
        let step_key = StepKey::of(task);
        let mut wait = Duration::ZERO;
        if failed_here {
            let untried = |other: &Runner| !state.failed_on.contains(&other.key);
            wait = match self.any_runner_for(now, job, step, step_key, untried) {
                true => patience,
                false => return_delay(state.failures).min(patience),
            };
        }
        if risks_job {
            let trusted = |other: &Runner| self.trust(now, other) == Trust::Full;
            wait = wait.max(match self.any_runner_for(now, job, step, step_key, trusted) {
                true => patience * TRUSTED_RUNNER_FACTOR,
                false => patience,
            });
        }
        waited >= wait
    }

    /// Whether each task of a step has a single attempt and still waits for a trusted runner.
    pub(in crate::jobs) fn is_only_attempt_at_risk(
        &self,
        now: Now,
        job: &Job,
        step: &StepSpec,
        step_key: StepKey,
        trust: Trust,
    ) -> bool {
        let patience = self.cfg.policy.distrust.forgiven.to_duration();
        !step.long_running
            && job.attempts == 1
            && trust != Trust::Full
            && self.waited_to_start(now, step_key) < patience
    }

    /// Which runners a gang may start on, given where and how often its members failed. `untried`
    /// are the trusted runners on which none has failed.
    pub(in crate::jobs) fn gang_preference(
        &self,
        now: Now,
        step_key: StepKey,
        untried: &[&Runner],
    ) -> GangPreference {
        let job = self.state.job(step_key.job);
        let step = job.and_then(|job| job.step(step_key.occurrence, step_key.step));
        let begun = step.into_iter().flat_map(|step| step.tasks.begun());
        let (mut failures, mut waited) = (0, self.waited_to_start(now, step_key));
        for (index, member) in begun {
            let StepKey { job, occurrence, step } = step_key;
            let task = TaskKey { job, occurrence, step, index };
            failures += member.failures;
            waited = waited.min(self.waited_to_retry(now, task));
        }
        let patience = self.cfg.policy.distrust.forgiven.to_duration();
        let delay = match untried.is_empty() {
            true => return_delay(failures).min(patience),
            false => patience,
        };
        GangPreference {
            returns: failures > 0 && waited >= delay,
            any_trust: waited >= patience * TRUSTED_RUNNER_FACTOR,
        }
    }

    /// How long a task has waited since it last failed, or since its step has waited if this leader
    /// has not seen it fail.
    fn waited_to_retry(&self, now: Now, task: TaskKey) -> Duration {
        match self.failure_times.0.get(&task) {
            Some(at) => now.at.since(*at),
            None => self.waited_to_start(now, StepKey::of(task)),
        }
    }

    fn waited_to_start(&self, now: Now, step_key: StepKey) -> Duration {
        self.ready.since(step_key).map_or(Duration::ZERO, |since| now.at.since(since))
    }

    /// Whether a runner that meets `accepts` could run a task of a step, now or once it has room.
    fn any_runner_for<F>(
        &self,
        now: Now,
        job: &Job,
        step: &StepSpec,
        step_key: StepKey,
        accepts: F,
    ) -> bool
    where
        F: Fn(&Runner) -> bool,
    {
        let pool = self.pool_of(job);
        let fits = |runner: &&Runner| {
            &*runner.pool == pool
                && runner.takes_tasks()
                && runner.reported_recently(now.at)
                && label_fits(step, runner)
                && runner.capacity.covers(step.reserved())
                && self.ticket_fits(now, step_key, runner)
        };
        self.runners.values().filter(fits).any(accepts)
    }
}

/// Runners that a gang may start on beside trusted ones on which no member has failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(in crate::jobs) struct GangPreference {
    /// Runners on which a member has failed.
    pub(in crate::jobs) returns: bool,
    /// Runners that are not fully trusted, but not in quarantine either.
    pub(in crate::jobs) any_trust: bool,
}
