//! Pacing: tasks that disturb work at a lower share while a serving task beside
//! them is near its bound, and get the room back when it is not.

use super::leader::{Leader, Now};
use super::ready::Kind;
use super::runner::Runner;
use std::time::Duration;
use yuccalink_state::jobs::{Jobs, LifeKey, StepSpec, TaskKey};

/// Share of its bound from which a serving task's neighbours are slowed. The
/// figure is half a second old and swings; above this a bound is broken before
/// the next figure comes.
const NEAR_PERCENT: u64 = 80;
/// Share of its bound below which its neighbours get room back.
const CALM_PERCENT: u64 = 55;
/// Least time between changes: a change is seen in a figure this much later.
const SETTLE: Duration = Duration::from_millis(600);
/// What is left of a pace that proved too high.
const SLOW_DOWN_PERCENT: u8 = 50;
/// Added to a pace that proved low enough, in percent.
const SPEED_UP: u8 = 15;
/// Lowest pace but standing still, in percent.
const PACE_MIN: u8 = 5;

impl Leader {
    /// Sets the pace of a runner by the newest figures of the tasks that serve.
    pub(super) fn pace(&mut self, now: Now, key: LifeKey) {
        let Some(runner) = self.runners.get_mut(&key) else { return };
        let worst = worst_share(runner, &self.jobs);
        runner.serving = worst.is_some();
        let Some(worst) = worst else {
            runner.pace = 100;
            return;
        };
        if now.at.since(runner.paced_at) < SETTLE {
            return;
        }
        let former = runner.pace;
        if worst >= NEAR_PERCENT {
            let slower = u16::from(former) * u16::from(SLOW_DOWN_PERCENT) / 100;
            runner.pace = u8::try_from(slower).unwrap_or(former);
            if runner.pace < PACE_MIN {
                runner.pace = 0;
            }
        } else if worst < CALM_PERCENT && former < 100 {
            runner.pace = former.saturating_add(SPEED_UP).min(100);
        }
        if runner.pace != former {
            runner.paced_at = now.at;
            log::info!(
                "pace runner={} percent={} was={former} worst-tail-percent={worst}",
                runner.id,
                runner.pace
            );
        }
    }
}

impl Runner {
    /// Orders for runs that do not work at the runner's pace yet.
    pub(super) fn rate_orders(&mut self, jobs: &Jobs) -> Vec<(TaskKey, u32, u8)> {
        let pace = self.pace;
        let mut orders = Vec::new();
        for (task, view) in &mut self.running {
            let Some(step) = jobs.step_spec(*task) else { continue };
            if disturbs(step) && view.rate != pace {
                view.rate = pace;
                orders.push((*task, view.run, pace));
            }
        }
        orders
    }
}

/// Whether a task may disturb those that serve.
fn disturbs(step: &StepSpec) -> bool {
    step.image.is_some() && Kind::of(step) == Kind::Filling
}

/// How near the worst serving task is to its bound, in percent of it.
fn worst_share(runner: &Runner, jobs: &Jobs) -> Option<u64> {
    let share = |(task, view): (&TaskKey, &super::runner::RunView)| {
        let target = jobs.step_spec(*task)?.target_ms;
        (target > 0).then(|| view.gauge.unwrap_or(0) * 100 / target)
    };
    runner.running.iter().filter_map(share).max()
}
