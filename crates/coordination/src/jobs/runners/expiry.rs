//! Lets the lease of a runner expire while a task runs there.
//!
//! A runner was cut off, its last run ended, and its lease expired with nothing left to run. The
//! leader has given that run up, so its end and all later ones cannot be acknowledged until the
//! runner lists a run that expired with the lease. Meanwhile the unacknowledged ends would fill
//! the reports, and the ends of new runs would not be seen. So the runner gets one task with a
//! short lease, and nothing else until that lease has expired.

use crate::jobs::colocation::Colocation;
use crate::jobs::leader::{Leader, Now};
use crate::jobs::messages::{FINISHED_PER_REPORT_MAX, FinishedRun, StartOrder};
use crate::jobs::place::{Chosen, starts_allowed};
use crate::jobs::ready::WaitingStep;
use crate::jobs::runner::Runner;
use crate::moment::Moment;
use std::time::Duration;
use yuccalink_state::jobs::{IncarnationKey, RunOutcome, RunStart, TaskKey};

/// First short lease: an order arrives within it, and few tasks end within it.
const LEASE_FIRST: Duration = Duration::from_millis(100);
const LEASE_MIN: Duration = Duration::from_millis(10);
/// Runners drop a response that arrives a second after its report.
const LEASE_MAX: Duration = Duration::from_millis(800);

/// A lease that must expire while a task runs.
#[derive(Clone, Copy, Debug)]
pub(in crate::jobs) struct AwaitedExpiry {
    since: Moment,
    lease: Duration,
    /// The run that was last ordered with the short lease.
    ordered: Option<(TaskKey, u32)>,
}

impl AwaitedExpiry {
    fn new(now: Moment) -> Self {
        Self { since: now, lease: LEASE_FIRST, ordered: None }
    }

    /// Adapts the short lease to what became of the last run with it.
    fn observe(&mut self, running: bool, ended: Option<RunOutcome>) {
        match ended {
            None if running => return,
            // The order was lost, or arrived after the lease.
            None => self.lease = (self.lease * 2).min(LEASE_MAX),
            Some(RunOutcome::Refused) => {}
            Some(_) => self.lease = (self.lease / 2).max(LEASE_MIN),
        }
        self.ordered = None;
    }
}

impl Leader {
    /// Determines from the ends in a report whether the runner's lease must expire, and whether
    /// the report may lack ends.
    pub(in crate::jobs) fn note_unacknowledged_ends(
        &mut self,
        now: Now,
        key: IncarnationKey,
        finished: &[FinishedRun],
    ) {
        let given_up = self.ends_given_up(key, finished);
        let Some(runner) = self.runners.get_mut(&key) else { return };
        let is_full = finished.len() >= FINISHED_PER_REPORT_MAX;
        if is_full && !runner.may_hide_ends {
            log::info!("runner={} takes no tasks: its report has no room for more ends", runner.id);
        }
        runner.may_hide_ends = is_full;
        match (given_up.first(), runner.awaited_expiry) {
            (Some(first), None) => {
                log::info!(
                    "runner={} takes no tasks until its lease expires: ends={} first={first} \
                     of runs that were given up",
                    runner.id,
                    given_up.len()
                );
                runner.awaited_expiry = Some(AwaitedExpiry::new(now.at));
                self.counts.expiries_awaited += 1;
            }
            (Some(_), Some(mut awaited)) => {
                if let Some((task, run)) = awaited.ordered {
                    let ended = finished.iter().find(|e| e.task == Some(task) && e.run == run);
                    let running = runner.view(task, run).is_some();
                    awaited.observe(running, ended.map(|end| end.outcome));
                }
                runner.awaited_expiry = Some(awaited);
            }
            (None, Some(awaited)) => {
                let waited = now.at.since(awaited.since);
                log::info!("runner={} takes tasks again: waited={waited:?}", runner.id);
                runner.awaited_expiry = None;
            }
            (None, None) => {}
        }
    }

    /// Chooses the task to run until the awaited expiry.
    pub(in crate::jobs) fn pick_to_expire(
        &mut self,
        now: Now,
        key: IncarnationKey,
        colocation: Colocation,
    ) -> Vec<RunStart> {
        let Some(runner) = self.runners.get(&key) else { return Vec::new() };
        let is_assigned = self.state.assigned_runs(key).next().is_some()
            || self.starting.on(key).next().is_some();
        if !runner.may_run_to_expiry() || is_assigned {
            return Vec::new();
        }
        let trust = self.trust(now, runner);
        let mut chosen = Chosen {
            starts: Vec::new(),
            free: runner.free,
            starts_max: starts_allowed(trust, runner).min(1),
            colocation,
            lending: false,
            yielded: Vec::new(),
        };
        // A long-running task is not at work yet when the lease expires, so that no disruption
        // budget is touched.
        let (long, short): (Vec<WaitingStep<'_>>, Vec<_>) =
            self.considered_steps().partition(|waiting| waiting.step.long_running);
        let steps = short.into_iter().chain(long).map(|waiting| waiting.step_key).collect();
        self.pick_from_steps(now, runner, trust, steps, &mut chosen);
        self.apply_chosen(now, key, chosen)
    }

    /// The assigned run that may be ordered with the short lease.
    pub(in crate::jobs) fn run_to_expire(&self, runner: &Runner) -> Option<(TaskKey, u32)> {
        if !runner.may_run_to_expiry() {
            return None;
        }
        let may_run = |task: TaskKey, run: u32| {
            self.state.step_spec(task).is_some_and(|step| !step.gang)
                && self.is_wanted(task)
                && !self.ending.contains(&(task, run))
                && !self.ready.is_held(task.job)
        };
        let runs = self.state.assigned_runs(runner.key).filter(|(task, run)| may_run(*task, *run));
        runs.min_by_key(|(task, _)| self.is_long_running(*task))
    }

    fn is_long_running(&self, task: TaskKey) -> bool {
        self.ready.step_of(task).is_some_and(|step| step.long_running)
    }

    /// Lease for the runs of a runner that gets these orders; zero for none.
    pub(in crate::jobs) fn lease_with(&self, runner: &Runner, start: &[StartOrder]) -> Duration {
        let Some(awaited) = runner.awaited_expiry else { return self.cfg.lease };
        let ordered = awaited.ordered.map(|(task, _)| task);
        let mut others = runner.running.keys().filter(|task| Some(**task) != ordered);
        if others.any(|task| self.is_long_running(*task)) {
            // An expired lease would interrupt tasks beyond the disruption budgets of their steps.
            return self.cfg.lease;
        }
        if start.is_empty() { Duration::ZERO } else { awaited.lease }
    }

    /// Number of runners that take no tasks until their lease expires.
    pub fn awaited_expiries_len(&self) -> usize {
        self.runners.values().filter(|runner| runner.awaited_expiry.is_some()).count()
    }

    /// Number of runners that take no tasks because their reports have no room for more ends.
    pub fn runners_hiding_ends_len(&self) -> usize {
        self.runners.values().filter(|runner| runner.may_hide_ends).count()
    }

    /// The runners that take no tasks because of unacknowledged ends, by name, and why.
    pub fn blocked_runners(&self) -> impl Iterator<Item = (&str, &'static str)> {
        self.runners.values().filter_map(|runner| Some((&*runner.id, runner.blocked()?)))
    }
}

impl Runner {
    /// Why the runner takes no tasks although it is ready; `None` if it takes some.
    pub(in crate::jobs) fn blocked(&self) -> Option<&'static str> {
        if self.may_hide_ends {
            return Some("its report has no room for more ends");
        }
        self.awaited_expiry.map(|_| "its lease must expire before its ends are acknowledged")
    }

    /// Whether a task may start there to run until the awaited expiry. What else runs expires
    /// with the lease as well.
    fn may_run_to_expiry(&self) -> bool {
        self.awaited_expiry.is_some()
            && !self.may_hide_ends
            && !self.is_leaving()
            && !self.zone_evacuated
            && self.running.is_empty()
    }

    /// Records the run that is ordered, if its lease is short. Returns whether it is.
    pub(in crate::jobs) fn note_short_lease(&mut self, run: Option<(TaskKey, u32)>) -> bool {
        let Some(awaited) = &mut self.awaited_expiry else { return false };
        awaited.ordered = run.or(awaited.ordered);
        run.is_some()
    }
}
