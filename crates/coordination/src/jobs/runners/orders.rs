//! Orders to a runner, in the response to its report.

use crate::jobs::leader::{Leader, Now, RequestToken};
use crate::jobs::messages::{CellResponse, RunnerOrders, RunnerReport, StartOrder};
use crate::jobs::ready::StepKey;
use crate::jobs::report_rate;
use crate::jobs::report_rate::millis;
use crate::jobs::runner::{Runner, lease_expiry_bound};
use std::collections::BTreeSet;
use std::time::Duration;
use yuccalink_state::jobs::{IncarnationKey, TaskKey};

/// Interval for a runner without free capacity, which also reports after each run end.
const REPORT_INTERVAL_FULL: Duration = Duration::from_millis(500);
/// Interval for a runner that tries a suspect or a short lease, to learn soon how it ends.
const REPORT_INTERVAL_TRIAL: Duration = Duration::from_millis(150);
impl Leader {
    /// Answers a heartbeat with orders from the committed state.
    pub(in crate::jobs) fn send_orders(
        &mut self,
        now: Now,
        token: RequestToken,
        key: IncarnationKey,
    ) {
        let report_interval = self.report_interval();
        let Some(runner) = self.runners.get(&key) else {
            let answer = self.empty_orders();
            return self.answer(token, answer);
        };
        let withheld = self.runs_to_withhold(now, runner);
        let start = self.start_orders(now, runner, &withheld);
        for order in &start {
            log::info!(
                "start task={} run={} runner={} rack={} resumes={} report={}",
                order.task,
                order.run,
                runner.id,
                runner.rack,
                !order.checkpoint.is_empty(),
                runner.sequence
            );
        }
        let stop = self.stop_orders(runner);
        let acked_through = runner.acked_through;
        let may_start = runner.takes_tasks() || runner.awaited_expiry.is_some();
        let has_capacity = may_start && runner.free.millicores > 0;
        let retry =
            if has_capacity { report_interval } else { REPORT_INTERVAL_FULL.max(report_interval) };
        let retry = match self.report_rate.is_slowed() {
            true => report_rate::spread(retry, self.counts.heartbeats),
            false => retry,
        };
        let retry = retry.min(self.cfg.heartbeat);
        let is_trial = self.trial_on(now, runner).is_some()
            || (runner.awaited_expiry.is_some() && !start.is_empty());
        let retry = if is_trial { retry.min(REPORT_INTERVAL_TRIAL) } else { retry };
        let lease = self.lease_with(runner, &start);
        self.note_ignored_orders(now, key, &withheld);
        let Some(runner) = self.runners.get_mut(&key) else { return };
        runner.withhold(withheld, now.at);
        let first = start.first().map(|order| (order.task, order.run));
        let is_short = runner.note_short_lease(first);
        self.counts.short_leases += u64::from(is_short);
        let ordered = start.iter().map(|order| (order.task, order.run));
        runner.note_orders(ordered, now.at, self.cfg.lease);
        let rates = runner.pace_orders(&self.ready);
        runner.lease_end = now.at + lease_expiry_bound(self.cfg.lease);
        runner.expect_report(now.at, retry);
        self.note_stops(now, key, &stop);
        let orders = RunnerOrders {
            lease_ms: millis(lease),
            token: self.term,
            acked_through,
            start,
            stop,
            rates,
            retry_after_ms: millis(retry),
            report_to: None,
        };
        self.answer(token, CellResponse::Orders(Box::new(orders)));
    }

    /// Interval between the reports of a runner with free capacity.
    pub fn report_interval(&self) -> Duration {
        self.report_rate.interval(self.runners.len(), self.cfg.lease)
    }

    /// Assigned runs that a runner has not listed and must not start any more: the runner takes
    /// no tasks, has no capacity for them or ignores their orders, their queue is on hold, or
    /// their gang never gets together.
    fn runs_to_withhold(&self, now: Now, runner: &Runner) -> BTreeSet<(TaskKey, u32)> {
        let runs = self.state.assigned_runs(runner.key);
        let unlisted = runs.filter(|(task, run)| runner.view(*task, *run).is_none());
        if runner.awaited_expiry.is_some() {
            let ordered = self.run_to_expire(runner);
            return unlisted.filter(|run| Some(*run) != ordered).collect();
        }
        if !runner.takes_tasks() {
            return unlisted.collect();
        }
        let mut withheld = self.runs_over_capacity(now, runner);
        withheld.extend(unlisted.filter(|(task, run)| {
            self.ready.is_held(task.job)
                || self.has_lost_gang_member(*task, *run)
                || runner.has_ignored(*task, *run, now.at, self.cfg.lease)
        }));
        withheld
    }

    /// Counts the runs that are withheld from now on because the runner ignores their orders.
    fn note_ignored_orders(
        &mut self,
        now: Now,
        key: IncarnationKey,
        withheld: &BTreeSet<(TaskKey, u32)>,
    ) {
        let Some(runner) = self.runners.get_mut(&key) else { return };
        for (task, run) in withheld {
            let ignored = runner.has_ignored(*task, *run, now.at, self.cfg.lease);
            if ignored && !runner.withholds(*task, *run) {
                log::info!("task={task} run={run} runner={} ignores the order", runner.id);
                runner.health.record_failure(now.at);
                self.counts.orders_ignored += 1;
            }
        }
    }

    /// Orders for runs that are assigned to the runner and that it does not list. If a
    /// response was lost, the order is sent again with the same run number; a runner that has
    /// ended that run refuses it.
    fn start_orders(
        &self,
        now: Now,
        runner: &Runner,
        withheld: &BTreeSet<(TaskKey, u32)>,
    ) -> Vec<StartOrder> {
        let mut orders = Vec::new();
        for (task, run) in self.state.assigned_runs(runner.key) {
            if withheld.contains(&(task, run)) {
                continue;
            }
            let listed = runner.view(task, run).is_some();
            if listed || self.ending.contains(&(task, run)) || !self.is_wanted(task) {
                continue;
            }
            let step_key = StepKey::of(task);
            let ticket = self.advice.ticket(step_key, runner.key, now.at).map(Box::from);
            if ticket.is_none() && self.needs_ticket(step_key) {
                continue;
            }
            let (Some(job), Some(state)) = (self.state.job(task.job), self.state.task(task)) else {
                continue;
            };
            let payload = job.spec.payload.as_ref().into();
            let checkpoint = state.checkpoint.clone();
            orders.push(StartOrder { task, run, payload, checkpoint, ticket });
        }
        orders
    }

    /// Orders for a report that renews no lease. They stop the listed runs that must not go on,
    /// because no later report may be handled before the lease ends.
    pub(in crate::jobs) fn orders_without_lease(
        &mut self,
        report: &RunnerReport,
        why: &str,
    ) -> RunnerOrders {
        // A run of an earlier incarnation is never assigned to the newest one.
        let newest = self.incarnations.newest(&report.runner);
        let unwanted = |task: TaskKey, run: u32| {
            let given_up = newest.is_some_and(|key| !self.state.is_assigned(key, task, run));
            given_up || !self.is_wanted(task) || self.has_lost_gang_member(task, run)
        };
        let listed = report.running.iter().map(|run| (run.task, run.run));
        let stop: Vec<_> = listed.filter(|(task, run)| unwanted(*task, *run)).collect();
        self.note_stops_without_lease(&report.runner, &stop, why);
        RunnerOrders { token: self.term, stop, ..RunnerOrders::default() }
    }

    fn stop_orders(&self, runner: &Runner) -> Vec<(TaskKey, u32)> {
        let unwanted = |task: TaskKey, run: u32, stopping: bool| {
            stopping
                || !self.state.is_assigned(runner.key, task, run)
                || !self.is_wanted(task)
                || self.has_lost_gang_member(task, run)
        };
        let running = runner.running.iter();
        let stop = running.filter(|(task, view)| unwanted(**task, view.run, view.stopping));
        stop.map(|(task, view)| (*task, view.run)).collect()
    }
}
