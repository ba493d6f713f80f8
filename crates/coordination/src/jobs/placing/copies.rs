//! Second copies of stragglers, for steps that allow them: the first copy to finish
//! counts.
//!
//! The expected fault is that a sixth of the runners become four to six times as slow for
//! some seconds, or their tasks stall, while they report as usual. A short task there
//! takes as long as its whole job may take. A copy elsewhere ends within one usual run
//! time but repeats the work. Therefore only stragglers are copied, only into capacity
//! that no waiting task needs, and only a limited number at once.

use crate::jobs::capacity::saturating_sub;
use crate::jobs::leader::{Leader, Now};
use crate::jobs::place::{Chosen, label_fits};
use crate::jobs::policy::{Millis, Switch};
use crate::jobs::ready::StepKey;
use crate::jobs::runner::{RunView, Runner, Trust};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use yuccalink_state::jobs::{RunStart, TaskKey};

/// Starts second copies of stragglers whose step allows it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct CopiesPolicy {
    /// Whether copies are started.
    pub mode: Switch,
    /// A run that is expected to take this many times its estimate is a straggler.
    /// Estimates are usually off by half, and a sound run on a busy runner takes more
    /// than 1.5 times its estimate.
    #[serde(rename = "lags-by")]
    pub straggler_factor: u32,
    /// Shortest time that a copy must be expected to save, in milliseconds; ordering a
    /// copy takes a third of this time.
    #[serde(rename = "gain-ms")]
    pub gain: Millis,
    /// Time without progress, in milliseconds, after which a run counts as stalled for
    /// copies; two reports arrive in that time.
    #[serde(rename = "unmoved-ms")]
    pub stalled_after: Millis,
    /// One in this many running tasks whose step allows copies may have a copy.
    pub one_in: usize,
    /// Copies allowed at any time: the last tasks of a job are few, and all of them may
    /// be stragglers.
    pub at_least: usize,
}

impl Default for CopiesPolicy {
    fn default() -> Self {
        Self {
            mode: Switch::On,
            straggler_factor: 2,
            gain: Millis(400),
            stalled_after: Millis(900),
            one_in: 10,
            at_least: 8,
        }
    }
}

impl Leader {
    /// Finds the stragglers and sorts them by the time left, longest first.
    pub(in crate::jobs) fn find_stragglers(&mut self, now: Now) {
        let policy = self.cfg.policy.copies;
        if policy.mode == Switch::Off {
            return;
        }
        let mut stragglers = Vec::new();
        let (mut running, mut copies) = (0, 0);
        for runner in self.runners.values() {
            for (task, view) in &runner.running {
                let Some(step) = self.ready.step_of(*task).filter(|step| step.speculative) else {
                    continue;
                };
                running += 1;
                let has_copy =
                    self.state.task(*task).is_some_and(|state| state.assignments.len() > 1);
                if has_copy {
                    copies += 1;
                } else if self.ready.is_held(task.job) {
                    // A copy would be a start.
                    continue;
                } else if let Some(left) =
                    policy.straggler_time_left(now, runner, view, step.estimate_ms)
                {
                    stragglers.push((left, *task));
                }
            }
        }
        // `copies` counts both runs of a task that has a copy.
        let budget = (running / policy.one_in).max(policy.at_least);
        stragglers.sort_unstable_by(|a, b| b.cmp(a));
        stragglers.truncate(budget.saturating_sub(copies / 2));
        self.stragglers = stragglers.into_iter().map(|(_, task)| task).collect();
    }

    /// Starts copies in the capacity that is left on a runner.
    pub(in crate::jobs) fn pick_copies(&self, runner: &Runner, trust: Trust, chosen: &mut Chosen) {
        if trust != Trust::Full {
            return;
        }
        for task in &self.stragglers {
            if chosen.starts.len() >= chosen.starts_max {
                return;
            }
            if let Some(start) = self.copy_start(*task, runner, chosen) {
                let Some(step) = self.ready.step_of(*task) else { continue };
                chosen.free = saturating_sub(chosen.free, step.reserved);
                chosen.starts.push(start);
            }
        }
    }

    fn copy_start(&self, task: TaskKey, runner: &Runner, chosen: &Chosen) -> Option<RunStart> {
        let job = self.state.job(task.job)?;
        let step = job.spec.steps.get(usize::from(task.step))?;
        let state = self.state.task(task)?;
        let [original] = state.assignments.as_slice() else { return None };
        let step_key = StepKey::of(task);
        let chosen_here =
            chosen.starts.iter().filter(|start| StepKey::of(start.task) == step_key).count();
        let count_on_runner = self.task_count_on(runner.key, step_key) as usize + chosen_here;
        let fits = !state.done
            && original.incarnation != runner.key
            && !self.starting.contains(task)
            // A failure of the copy after one of the original would end the job.
            && state.failures == 0
            && self.may_have_copy(task)
            && !step.gang
            && !step.opportunistic
            && chosen.free.covers(step.reserved())
            && self.pool_of(job) == &*runner.pool
            && label_fits(step, runner)
            && step.data_rack.as_ref().is_none_or(|rack| *rack == runner.rack)
            && (step.per_runner_max == 0 || count_on_runner < step.per_runner_max as usize);
        fits.then(|| RunStart { task, run: state.last_run + 1, incarnation: runner.key })
    }
}

impl CopiesPolicy {
    /// Returns the remaining time of a run if it is a straggler and a copy would save
    /// enough time.
    fn straggler_time_left(
        &self,
        now: Now,
        runner: &Runner,
        view: &RunView,
        estimate_ms: u64,
    ) -> Option<Duration> {
        if view.stopping || !runner.reported_recently(now.at) {
            return None;
        }
        let estimate = Duration::from_millis(estimate_ms);
        let gain = self.gain.to_duration();
        let is_stalled = view.percent < 100
            && now.at.since(view.progressed_at) > self.stalled_after.to_duration();
        let left = match is_stalled {
            true => estimate * self.straggler_factor + gain,
            false => view.time_left(now.at, estimate_ms),
        };
        let elapsed = now.at.since(view.first_seen);
        let is_straggler = elapsed > estimate / 2
            && elapsed + left > estimate * self.straggler_factor
            && left > estimate + gain;
        is_straggler.then_some(left)
    }
}
