//! Heartbeats of runners: the leader processes the report and responds with orders to start
//! or stop runs.

use crate::jobs::leader::{Leader, Now, OnCommit, PendingHeartbeat, RequestToken};
use crate::jobs::lost::LossReason;
use crate::jobs::messages::{CellResponse, FinishedRun, RunnerReport};
use crate::jobs::ready::StepKey;
use crate::jobs::runner::{Runner, lease_expiry_bound};
use std::collections::BTreeSet;
use yuccalink_state::jobs::{
    IncarnationKey, JobCommand, JobOutcome, JobPhase, RunEnd, RunOutcome, RunStart,
    RunnerIncarnation, TaskKey,
};

/// Whether the response to a report may start runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NewStarts {
    Allowed,
    Deferred,
}

impl Leader {
    pub(in crate::jobs) fn heartbeat(
        &mut self,
        now: Now,
        token: RequestToken,
        report: Box<RunnerReport>,
    ) {
        self.counts.heartbeats += 1;
        let change = self.state.change_set();
        if change.is_some_and(|change| change.pool(&report.pool).is_none()) {
            log::info!("runner={} ignored: no pool {}", report.runner, report.pool);
            let orders = self.orders_without_lease(&report, "its pool is gone");
            if !orders.stop.is_empty() {
                return self.answer(token, CellResponse::Orders(Box::new(orders)));
            }
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
                let orders = self.orders_without_lease(&report, "an earlier incarnation");
                self.answer(token, CellResponse::Orders(Box::new(orders)));
            }
            _ => self.propose_incarnation(token, report),
        }
    }

    /// Renews the lease of a known runner that reports no end, without looking for work for it.
    pub(in crate::jobs) fn heartbeat_briefly(
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
                && runner.awaited_expiry.is_none()
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
    pub(in crate::jobs) fn incarnation_committed(
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
        let recalled = &mut self.recalled_health;
        let runner = self.runners.entry(key).or_insert_with(|| {
            let mut runner = Runner::new(key, report, now.at);
            runner.health = recalled.remove(&key).unwrap_or_default();
            runner
        });
        let late = report.sequence <= runner.sequence && runner.sequence > 0;
        if late || self.incarnations.has_ended(key) {
            log::info!("runner={} late report {} ignored", report.runner, report.sequence);
            let why = "a late report, or of an ended incarnation";
            let orders = self.orders_without_lease(report, why);
            return self.answer(token, CellResponse::Orders(Box::new(orders)));
        }
        if runner.state != report.state {
            log::info!("runner={} state={} was={}", report.runner, report.state, runner.state);
        }
        runner.update(report, now.at);
        runner.zone_evacuated = self.state.evacuations().excludes(&runner.zone);
        self.note_report_after_loss(now, key);
        self.note_unacknowledged_ends(now, key, &report.finished);
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
        if runner.may_hide_ends {
            // A run that is not listed may have ended.
            return;
        }
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
    pub(in crate::jobs) fn is_wanted(&self, task: TaskKey) -> bool {
        let active = self.state.job(task.job).is_some_and(|job| job.phase == JobPhase::Active);
        active && self.state.task(task).is_some_and(|task| !task.done)
    }

    /// Whether another member of a run's gang has ended or was given up, so that the gang never
    /// gets together.
    pub(in crate::jobs) fn has_lost_gang_member(&self, task: TaskKey, run: u32) -> bool {
        if !self.state.step_spec(task).is_some_and(|step| step.gang) {
            return false;
        }
        let job = self.state.job(task.job);
        let step = job.and_then(|job| job.step(task.occurrence, task.step));
        step.is_some_and(|step| !step.runs_whole(run))
    }

    pub(in crate::jobs) fn remove_runner(&mut self, key: IncarnationKey) {
        if let Some(runner) = self.runners.remove(&key) {
            self.job_harms.replace(&runner.serving_tasks, &[], runner.last_report_at);
        }
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
    pub(in crate::jobs) fn heartbeat_committed(&mut self, now: Now, heartbeat: u64) {
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
}
