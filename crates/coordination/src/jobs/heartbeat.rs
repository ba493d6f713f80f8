//! Heartbeats of runners: the leader processes the report and responds with orders to start
//! or stop runs.

use super::leader::{Leader, Now, OnCommit, PendingHeartbeat, RequestToken};
use super::lost::LossReason;
use super::messages::{
    CellResponse, FinishedRun, RunnerOrders, RunnerReport, RunnerState, StartOrder,
};
use super::policy::{Millis, Switch};
use super::ready::{StepInfo, StepKey};
use super::report_rate;
use super::runner::{Runner, lease_expiry_bound};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;
use yuccalink_state::jobs::{
    IncarnationKey, JobCommand, JobOutcome, JobPhase, RunEnd, RunOutcome, RunStart,
    RunnerIncarnation, Task, TaskKey,
};

/// Interval for a runner without free capacity, which also reports after each run end.
const REPORT_INTERVAL_FULL: Duration = Duration::from_millis(500);
/// Interval for a runner that tries a suspect, to learn soon whether it survived the start.
const REPORT_INTERVAL_TRIAL: Duration = Duration::from_millis(150);
/// Time before the announced end of a draining runner in which no run should end. The
/// runner leaves a little after the time that it announced, and runs that end with it lose
/// their work.
const LEAVE_MARGIN: Duration = Duration::from_millis(300);

/// How long-running tasks leave a draining runner.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct LeavingPolicy {
    /// Whether the tasks stay while no other runner has capacity for them. Otherwise they are
    /// stopped at once and serve nobody until another runner has capacity.
    pub mode: Switch,
    /// Time before the runner's end at which the tasks are stopped in any case.
    #[serde(rename = "margin-ms")]
    pub margin: Millis,
}

impl Default for LeavingPolicy {
    fn default() -> Self {
        Self { mode: Switch::On, margin: Millis(1_200) }
    }
}

/// Whether the response to a report may start runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NewStarts {
    Allowed,
    Deferred,
}

impl Leader {
    pub(super) fn heartbeat(&mut self, now: Now, token: RequestToken, report: Box<RunnerReport>) {
        self.counts.heartbeats += 1;
        let change = self.state.change_set();
        if change.is_some_and(|change| change.pool(&report.pool).is_none()) {
            log::info!("runner={} ignored: no pool {}", report.runner, report.pool);
            let message = format!("there is no pool {}; correct the name", report.pool);
            return self.answer(token, CellResponse::Invalid(message.into()));
        }
        let known = self.incarnations.newest(&report.runner);
        let newest_ms = known
            .and_then(|key| self.state.incarnation(key))
            .map(|incarnation| incarnation.started_ms);
        match (known, newest_ms) {
            (Some(key), Some(newest_ms)) if newest_ms == report.started_ms => {
                self.process_report(now, token, key, &report, NewStarts::Allowed);
            }
            (_, Some(newest_ms)) if report.started_ms < newest_ms => {
                log::info!(
                    "runner={} report of earlier incarnation ignored: born={} newest={newest_ms}",
                    report.runner,
                    report.started_ms
                );
                let answer = self.empty_orders();
                self.answer(token, answer);
            }
            _ => self.propose_incarnation(token, report),
        }
    }

    /// Renews the lease of a known runner that reports no end, without looking for work for it.
    pub(super) fn heartbeat_briefly(
        &mut self,
        now: Now,
        token: RequestToken,
        report: Box<RunnerReport>,
    ) {
        let known = self.incarnations.newest(&report.runner).filter(|key| {
            let incarnation = self.state.incarnation(*key);
            !self.incarnations.has_ended(*key)
                && incarnation.is_some_and(|known| known.started_ms == report.started_ms)
        });
        let runner = known.and_then(|key| self.runners.get_mut(&key));
        let Some(runner) = runner.filter(|runner| {
            report.finished.is_empty()
                && report.state == runner.state
                && report.sequence > runner.sequence
        }) else {
            return self.heartbeat(now, token, report);
        };
        let key = runner.key;
        runner.update(&report, now.at);
        self.counts.heartbeats += 1;
        self.counts.brief_heartbeats += 1;
        self.send_orders(now, token, key);
    }

    fn propose_incarnation(&mut self, token: RequestToken, report: Box<RunnerReport>) {
        let incarnation = RunnerIncarnation {
            id: report.runner.clone(),
            started_ms: report.started_ms,
            address: report.address.clone(),
        };
        self.propose(JobCommand::Meet(incarnation), OnCommit::Met { token, report });
    }

    /// Handles the commit of a new runner incarnation: ends the runs of the incarnations that it
    /// replaces.
    pub(super) fn incarnation_committed(
        &mut self,
        now: Now,
        token: RequestToken,
        report: &RunnerReport,
        outcome: &JobOutcome,
    ) {
        let JobOutcome::Met(key) = *outcome else { return };
        self.incarnations.add(key, &self.state);
        log::info!("runner={} {key} registered: born={}", report.runner, report.started_ms);
        let mut ends = Vec::new();
        for ended in self.incarnations.ended_with_runs() {
            self.collect_lost(now, ended, LossReason::NextLife, &mut ends);
            self.remove_runner(ended);
            let assigned = self.state.assigned_runs(ended).next().is_some();
            if !assigned && self.starting.on(ended).next().is_none() {
                self.incarnations.runs_given_up(ended);
            }
        }
        // Interrupted tasks come before tasks that never ran, but they wait only once the ends
        // proposed here are committed. Until then no other task may take their capacity.
        let new_starts = if ends.is_empty() { NewStarts::Allowed } else { NewStarts::Deferred };
        self.propose_ends(now, ends, OnCommit::Nothing);
        self.process_report(now, token, key, report, new_starts);
    }

    fn process_report(
        &mut self,
        now: Now,
        token: RequestToken,
        key: IncarnationKey,
        report: &RunnerReport,
        new_starts: NewStarts,
    ) {
        let runner = self.runners.entry(key).or_insert_with(|| Runner::new(key, report, now.at));
        let late = report.sequence <= runner.sequence && runner.sequence > 0;
        if late || self.incarnations.has_ended(key) {
            log::info!("runner={} late report {} ignored", report.runner, report.sequence);
            let answer = self.empty_orders();
            return self.answer(token, answer);
        }
        if runner.state != report.state {
            log::info!("runner={} state={} was={}", report.runner, report.state, runner.state);
        }
        runner.update(report, now.at);
        runner.zone_evacuated = self.state.evacuations().excludes(&runner.zone);
        self.note_report_after_loss(now, key);
        let ends = self.new_ends(key, &report.finished);
        let ended: BTreeSet<(TaskKey, u32)> =
            report.finished.iter().filter_map(|f| f.task.map(|task| (task, f.run))).collect();
        let mut all_ends = ends;
        self.collect_never_started(now, key, &ended, &mut all_ends);
        self.mark_runs_to_stop(now, key);
        let colocation = self.pace(now, key);
        self.update_free_capacity(now, key, &ended);
        let starts = match new_starts {
            NewStarts::Allowed => self.pick(now, key, colocation),
            NewStarts::Deferred => Vec::new(),
        };
        if let Some(runner) = self.runners.get(&key) {
            self.free_index.update(runner);
        }
        self.commit_report(now, token, key, report, all_ends, starts);
    }

    /// Reported run ends that are not yet proposed or committed. A run that is not assigned
    /// has an end in the log already, or was given up when its lease expired.
    fn new_ends(&self, key: IncarnationKey, finished: &[FinishedRun]) -> Vec<RunEnd> {
        let mut ends = Vec::new();
        for end in finished {
            let Some(task) = end.task else { continue };
            let assigned = self.state.is_assigned(key, task, end.run);
            if assigned && !self.ending.contains(&(task, end.run)) {
                let checkpoint = end.checkpoint.clone();
                ends.push(RunEnd {
                    task,
                    run: end.run,
                    incarnation: key,
                    outcome: end.outcome,
                    checkpoint,
                });
            }
        }
        ends
    }

    /// Collects ends for runs that were assigned but never started and must not start any more:
    /// the job has ended, or the run was withheld for so long that it certainly does not run.
    fn collect_never_started(
        &self,
        now: Now,
        key: IncarnationKey,
        ended: &BTreeSet<(TaskKey, u32)>,
        ends: &mut Vec<RunEnd>,
    ) {
        let Some(runner) = self.runners.get(&key) else { return };
        let order_expiry = lease_expiry_bound(self.cfg.lease);
        for (task, run) in self.state.assigned_runs(key) {
            let listed = runner.view(task, run).is_some();
            let under_way = self.ending.contains(&(task, run));
            let wanted = self.is_wanted(task)
                && self.may_be_ordered(now, key, task)
                && !runner.is_withheld(task, run, order_expiry, now.at);
            // A delayed order may still start the run. If its capacity were given to another run
            // meanwhile, the runner would be overcommitted.
            let late = runner.may_yet_start(task, run, now.at);
            if listed || under_way || ended.contains(&(task, run)) || wanted || late {
                continue;
            }
            ends.push(RunEnd {
                task,
                run,
                incarnation: key,
                outcome: RunOutcome::Gone,
                checkpoint: Box::default(),
            });
        }
    }

    /// Whether the runner would accept an order to start a task. It rejects an order whose
    /// ticket has expired.
    fn may_be_ordered(&self, now: Now, incarnation: IncarnationKey, task: TaskKey) -> bool {
        let step_key = StepKey::of(task);
        !self.needs_ticket(step_key) || self.advice.ticket(step_key, incarnation, now.at).is_some()
    }

    /// Whether a task still has to run.
    fn is_wanted(&self, task: TaskKey) -> bool {
        let active = self.state.job(task.job).is_some_and(|job| job.phase == JobPhase::Active);
        active && self.state.task(task).is_some_and(|task| !task.done)
    }

    /// Whether another member of a run's gang has ended or was given up, so that the gang never
    /// gets together.
    fn has_lost_gang_member(&self, task: TaskKey, run: u32) -> bool {
        if !self.state.step_spec(task).is_some_and(|step| step.gang) {
            return false;
        }
        let job = self.state.job(task.job);
        let step = job.and_then(|job| job.step(task.occurrence, task.step));
        let runs = |member: &Task| member.assignments.iter().any(|other| other.run == run);
        step.is_some_and(|step| step.tasks.iter().any(|member| !runs(member)))
    }

    /// Marks runs to be stopped: stalled runs, and runs that will not end before their runner
    /// leaves.
    fn mark_runs_to_stop(&mut self, now: Now, key: IncarnationKey) {
        let stalled_after = self.cfg.policy.distrust.stalled_after;
        let tasks_to_keep = self.tasks_to_keep(now, key);
        let Some(runner) = self.runners.get_mut(&key) else { return };
        let leaving = runner.state == RunnerState::Draining;
        let mut stalled_count = 0;
        for (task, view) in &mut runner.running {
            let Some(step) = self.ready.step_of(*task) else { continue };
            if view.stopping {
                continue;
            }
            if step.long_running {
                // The task moves to another runner as soon as one has capacity.
                view.stopping = leaving && !tasks_to_keep.contains(task);
                continue;
            }
            let stalled = !step.opportunistic && view.is_stalled(now.at, stalled_after);
            let ends_too_late = leaving
                && runner.terminates_at.is_some_and(|at| {
                    let left = at.since(now.at + LEAVE_MARGIN);
                    view.time_left(now.at, step.estimate_ms) > left && left < LEAVE_MARGIN * 4
                });
            if stalled {
                stalled_count += 1;
                log::info!(
                    "stop task={task} run={} runner={} why=standing percent={} for={:?}",
                    view.run,
                    runner.id,
                    view.percent,
                    now.at.since(view.progressed_at)
                );
            } else if ends_too_late {
                log::info!(
                    "stop task={task} run={} runner={} why=leaving percent={}",
                    view.run,
                    runner.id,
                    view.percent
                );
            }
            view.stopping = stalled || ends_too_late;
        }
        for _ in 0..stalled_count {
            runner.health.record_failure(now.at);
        }
        self.counts.stalled_runs += stalled_count;
    }

    /// Long-running tasks on a draining runner that no other runner has capacity for. Tasks
    /// that already move are counted against the free capacity, so that several tasks do not
    /// move to the same capacity.
    fn tasks_to_keep(&mut self, now: Now, key: IncarnationKey) -> BTreeSet<TaskKey> {
        let policy = self.cfg.policy.leaving;
        let mut tasks_to_keep = BTreeSet::new();
        let Some(runner) = self.runners.get(&key) else { return tasks_to_keep };
        let soon = now.at + policy.margin.to_duration();
        let leaves_later = runner.terminates_at.is_some_and(|at| at > soon);
        if policy.mode == Switch::Off || runner.state == RunnerState::Ready || !leaves_later {
            return tasks_to_keep;
        }
        let mut moving = self.moving_long_running;
        for (task, view) in &runner.running {
            let Some(step) = self.ready.step_of(*task).filter(|step| step.long_running) else {
                continue;
            };
            let most = moving.saturating_add(1);
            if view.stopping || self.capacity_elsewhere(now, runner, *task, step, most) > moving {
                moving += u32::from(!view.stopping);
            } else {
                tasks_to_keep.insert(*task);
            }
        }
        self.moving_long_running = moving;
        tasks_to_keep
    }

    /// Number of tasks of a step that other runners have capacity for, counted up to `most`.
    pub(super) fn capacity_elsewhere(
        &self,
        now: Now,
        leaving: &Runner,
        task: TaskKey,
        step: &StepInfo,
        most: u32,
    ) -> u32 {
        let step_key = StepKey::of(task);
        let mut slots_left = 0;
        let with_cpu = self.free_index.with_cpu(step.reserved.millicores);
        for runner in with_cpu.filter_map(|key| self.runners.get(&key)) {
            if slots_left >= most {
                break;
            }
            let may = runner.key != leaving.key
                && runner.takes_tasks()
                && runner.reported_recently(now.at)
                && runner.free.covers(step.reserved);
            let Some((_, spec)) = self.may_host(now, runner, step_key).filter(|_| may) else {
                continue;
            };
            let capacity = runner.free.millicores / step.reserved.millicores.max(1);
            let capacity = u32::try_from(capacity).unwrap_or(u32::MAX);
            slots_left += capacity.min(self.slots_left(runner, step_key, spec));
        }
        slots_left
    }

    fn remove_runner(&mut self, key: IncarnationKey) {
        self.runners.remove(&key);
        self.free_index.remove(key);
    }

    fn commit_report(
        &mut self,
        now: Now,
        token: RequestToken,
        key: IncarnationKey,
        report: &RunnerReport,
        ends: Vec<RunEnd>,
        starts: Vec<RunStart>,
    ) {
        let newest = report.finished.iter().map(|end| end.number).max().unwrap_or(0);
        let commands = u32::from(!ends.is_empty()) + u32::from(!starts.is_empty());
        let acknowledgeable = self.newest_acknowledgeable(key, &report.finished);
        let Some(runner) = self.runners.get_mut(&key) else { return };
        if commands == 0 {
            // No run end that the report lists still waits for its commit.
            if runner.proposed_through <= runner.acked_through {
                runner.acked_through = runner.acked_through.max(acknowledgeable);
                runner.proposed_through = runner.acked_through;
            }
            return self.send_orders(now, token, key);
        }
        runner.proposed_through = runner.proposed_through.max(newest);
        let heartbeat = self.next_heartbeat;
        self.next_heartbeat += 1;
        let finished = report.finished.clone();
        let since = now.at;
        let pending = PendingHeartbeat {
            token,
            incarnation: key,
            commands,
            finished,
            since,
            answered: false,
        };
        self.heartbeats.insert(heartbeat, pending);
        self.propose_ends(now, ends, OnCommit::Heartbeat(heartbeat));
        if !starts.is_empty() {
            starts.iter().for_each(|start| self.starting.add(*start));
            self.counts.starts += starts.len() as u64;
            self.propose(JobCommand::Start(starts), OnCommit::Heartbeat(heartbeat));
        }
    }

    /// Handles the commit of one of a heartbeat's commands.
    pub(super) fn heartbeat_committed(&mut self, now: Now, heartbeat: u64) {
        let Some(pending) = self.heartbeats.get_mut(&heartbeat) else { return };
        pending.commands -= 1;
        if pending.commands > 0 {
            return;
        }
        let Some(pending) = self.heartbeats.remove(&heartbeat) else { return };
        let acknowledgeable = self.newest_acknowledgeable(pending.incarnation, &pending.finished);
        if let Some(runner) = self.runners.get_mut(&pending.incarnation) {
            runner.acked_through = runner.acked_through.max(acknowledgeable);
            let newest = pending.finished.iter().map(|end| end.number).max().unwrap_or(0);
            // Ends that are withheld do not wait for a commit any more.
            if runner.proposed_through == newest {
                runner.proposed_through = runner.acked_through;
            }
        }
        if !pending.answered {
            self.send_orders(now, pending.token, pending.incarnation);
        }
    }

    /// Answers a heartbeat with orders from the committed state.
    pub(super) fn send_orders(&mut self, now: Now, token: RequestToken, key: IncarnationKey) {
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
        let has_capacity = runner.takes_tasks() && runner.free.millicores > 0;
        let retry =
            if has_capacity { report_interval } else { REPORT_INTERVAL_FULL.max(report_interval) };
        let retry = match self.report_rate.is_slowed() {
            true => report_rate::spread(retry, self.counts.heartbeats),
            false => retry,
        };
        let retry = retry.min(self.cfg.heartbeat);
        let retry = match self.trial_on(now, runner) {
            Some(_) => retry.min(REPORT_INTERVAL_TRIAL),
            None => retry,
        };
        let Some(runner) = self.runners.get_mut(&key) else { return };
        runner.withhold(withheld, now.at);
        runner.note_orders(start.iter().map(|order| (order.task, order.run)), now.at);
        let rates = runner.pace_orders(&self.ready);
        runner.lease_end = now.at + lease_expiry_bound(self.cfg.lease);
        runner.expect_report(now.at, retry);
        let orders = RunnerOrders {
            lease_ms: millis(self.cfg.lease),
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
    /// no tasks or has no capacity for them, or their gang never gets together.
    fn runs_to_withhold(&self, now: Now, runner: &Runner) -> BTreeSet<(TaskKey, u32)> {
        let runs = self.state.assigned_runs(runner.key);
        let unlisted = runs.filter(|(task, run)| runner.view(*task, *run).is_none());
        if !runner.takes_tasks() {
            return unlisted.collect();
        }
        let mut withheld = self.runs_over_capacity(now, runner);
        withheld.extend(unlisted.filter(|(task, run)| self.has_lost_gang_member(*task, *run)));
        withheld
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

    /// Handles the leave of a runner: all of its runs have ended, and it sends no more reports.
    pub(super) fn leave(
        &mut self,
        now: Now,
        token: RequestToken,
        id: &str,
        started_ms: Option<u64>,
    ) {
        let known = self.incarnations.newest(id);
        let incarnation = known.and_then(|key| {
            self.state.incarnation(key).map(|incarnation| (key, incarnation.started_ms))
        });
        if let Some((key, newest_ms)) = incarnation
            && started_ms.is_none_or(|reported| reported == newest_ms)
        {
            log::info!("runner={id} {key} left");
            match (started_ms, self.runners.get_mut(&key)) {
                (Some(_), _) => {
                    let mut ends = Vec::new();
                    self.collect_lost(now, key, LossReason::Left, &mut ends);
                    self.propose_ends(now, ends, OnCommit::Nothing);
                    self.incarnations.mark_ended(key);
                    self.remove_runner(key);
                }
                // The message may be a delayed one of an earlier incarnation: no run is started
                // there, but its runs are given up only when their lease has expired.
                (None, Some(runner)) => runner.state = RunnerState::Draining,
                (None, None) => {}
            }
        }
        self.answer(token, CellResponse::Ok);
    }
}

/// Converts a duration to whole milliseconds.
pub(super) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
