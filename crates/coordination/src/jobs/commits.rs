//! Commands proposed to the log, and their effects once they are committed.

use super::leader::{Leader, Now, OnCommit};
use super::messages::CellResponse;
use super::routes::Routes;
use super::shares::QueueKey;
use std::collections::{BTreeMap, BTreeSet};
use yuccalink_state::jobs::{
    CellState, JobCommand, JobId, JobOutcome, JobPhase, RunEnd, RunOutcome, TaskKey,
};

/// Commands that may wait for the log. Further requests are refused with "not run".
const QUEUE_MAX: usize = 8 * 1024;
/// Retry delay, in milliseconds, while no more cancellations can be stored.
pub(super) const CANCELLATIONS_RETRY_AFTER_MS: u64 = 5_000;

impl Leader {
    /// Whether so many commands wait for the log that new requests must be refused.
    pub(super) fn is_full(&self) -> bool {
        self.proposal_queue.len() >= QUEUE_MAX
    }

    pub(super) fn propose(&mut self, command: JobCommand, then: OnCommit) {
        self.proposal_queue.push_back((command, then));
    }

    /// Takes at most `most` commands as the next batch for the log. Empty while another
    /// batch is being committed, so that the commands in between share one disk sync.
    pub fn next_batch(&mut self, most: usize) -> Vec<JobCommand> {
        if !self.committing.is_empty() || !self.batch.is_empty() {
            return Vec::new();
        }
        let count = self.proposal_queue.len().min(most);
        let mut commands = Vec::with_capacity(count);
        for (command, then) in self.proposal_queue.drain(..count) {
            commands.push(command);
            self.batch.push(then);
        }
        commands
    }

    /// Records that the batch was appended to the log, its first command at index `first`.
    pub fn batch_appended(&mut self, first: u64) {
        self.committing.extend((first..).zip(self.batch.drain(..)));
    }

    /// Applies a committed command and sends the response that waits for it.
    pub fn apply_committed(&mut self, now: Now, index: u64, command: JobCommand) {
        let affected = affected_occurrences(&command, &self.state);
        let detail = command.clone();
        let open: Vec<JobId> =
            affected.keys().copied().filter(|id| self.state.is_active(*id)).collect();
        let unconfirmed = match &command {
            JobCommand::Meet(_) => self.state.losses().unconfirmed_incarnations(),
            _ => BTreeSet::new(),
        };
        let cancelled = match &command {
            JobCommand::Cancel { id, .. } | JobCommand::CancelInactive { id, .. } => {
                Some((*id, self.found(*id)))
            }
            _ => None,
        };
        let freed = self.freed_cpu(&command);
        let outcome = self.state.apply(command);
        for (queue, millicores) in freed {
            self.shares.ended(now.at, queue, millicores);
        }
        self.log_resolved_losses(now, &unconfirmed);
        self.update_after(now, &detail, &outcome);
        if let Some((id, found)) = cancelled {
            self.cancellation_committed(now, index, id, found, &cancellation_response(&outcome));
        }
        for id in open {
            self.log_ended(id, now);
            if !self.state.is_active(id) {
                self.accounts.close(id);
                self.failure_times.remove_job(id);
                if let Some(job) = self.state.job(id) {
                    self.ready.record_end(id, job, now.at);
                    self.admission.ended(id, now.at, job.phase == JobPhase::Completed);
                }
            }
        }
        for (id, occurrences) in affected {
            match occurrences {
                Affected::All => self.refresh(id, now.at),
                Affected::Some(occurrences) => {
                    self.refresh_occurrences(id, occurrences, now.at);
                }
            }
        }
        if self.committing.front().is_some_and(|(at, _)| *at == index)
            && let Some((_, then)) = self.committing.pop_front()
        {
            self.complete(now, then, &outcome);
        }
    }

    /// Updates the state of the leader after a command, whichever leader proposed it.
    fn update_after(&mut self, now: Now, command: &JobCommand, outcome: &JobOutcome) {
        match command {
            JobCommand::Submit(submit) => {
                self.submitting.remove(submit);
                if *outcome == (JobOutcome::Accepted { new: true }) {
                    self.add_job(submit.id, now);
                }
            }
            JobCommand::Start(starts) => {
                for start in starts {
                    self.starting.remove(start.task);
                }
                self.observe_work_started(starts);
            }
            JobCommand::End { ends, .. } => {
                for end in ends {
                    self.ending.remove(&(end.task, end.run));
                    self.record_end(now, end);
                    self.cancelled_run_ended(now, end);
                }
            }
            JobCommand::Forget(ids) => {
                for id in ids {
                    self.ready.drop_job(*id);
                }
            }
            JobCommand::Change(_) | JobCommand::ChangeWithSettings(_) => {
                let routes = Routes::new(&self.state);
                self.log_moved_queues(&routes);
                self.routes = routes;
                if self.ready.apply_change_set(&self.state, &self.routes) {
                    self.ready.rank_all(&self.state, now.at);
                }
            }
            JobCommand::UpkeepDone { wave, machine } => {
                self.proposed_maintenance_ends.remove(&(*wave, machine.clone()));
            }
            JobCommand::Alive(incarnation) => self.clear_report_after_loss(*incarnation),
            JobCommand::Zone { order, .. } => {
                if let JobOutcome::Zone(outcome) = outcome {
                    self.update_zones(now, order, *outcome);
                }
            }
            JobCommand::CancelInactive { id, .. } => {
                if self.state.cancellations().contains(*id) {
                    self.remembered.add(*id, now.at);
                }
            }
            JobCommand::Cancel { .. }
            | JobCommand::ForgetCancellations(_)
            | JobCommand::Meet(_)
            | JobCommand::Learn(_)
            | JobCommand::Tell(_)
            | JobCommand::Wave(_)
            | JobCommand::UpkeepBegun { .. } => {}
        }
    }

    /// CPU that the runs which a command ends have used, by queue.
    fn freed_cpu(&self, command: &JobCommand) -> Vec<(QueueKey, u64)> {
        let JobCommand::End { ends, .. } = command else { return Vec::new() };
        let assigned = |end: &&RunEnd| self.state.is_assigned(end.incarnation, end.task, end.run);
        let steps = ends.iter().filter(assigned).filter_map(|end| self.ready.step_of(end.task));
        let short = steps.filter(|step| !step.long_running);
        short.map(|step| (step.queue, step.used_millicores())).collect()
    }

    fn record_end(&mut self, now: Now, end: &RunEnd) {
        let name = self
            .state
            .incarnation(end.incarnation)
            .map_or("unheard", |incarnation| &*incarnation.id);
        log::info!("end task={} run={} runner={name} how={:?}", end.task, end.run, end.outcome);
        let long_running = self.state.step_spec(end.task).is_some_and(|step| step.long_running);
        match end.outcome {
            RunOutcome::Done => self.counts.done += 1,
            RunOutcome::Failed => {
                self.counts.failed += 1;
                if self.state.is_active(end.task.job) {
                    self.failure_times.add(end.task, now.at);
                }
            }
            RunOutcome::Crashed(_) => {
                self.counts.lost += 1;
                self.counts.crashed += 1;
            }
            RunOutcome::Gone | RunOutcome::Lapsed | RunOutcome::Silent(_) => self.counts.lost += 1,
            RunOutcome::Stopped | RunOutcome::Broken | RunOutcome::Alone | RunOutcome::Refused => {}
        }
        if let Some(runner) = self.runners.get_mut(&end.incarnation) {
            match end.outcome {
                RunOutcome::Done => runner.health.record_success(),
                RunOutcome::Failed if !long_running => runner.health.record_failure(now.at),
                _ => {}
            }
        }
        if matches!(end.outcome, RunOutcome::Crashed(_) | RunOutcome::Silent(_)) {
            self.log_suspicion(now, end.task);
        }
    }

    fn complete(&mut self, now: Now, then: OnCommit, outcome: &JobOutcome) {
        match then {
            OnCommit::Submitted { id, token } => {
                if *outcome == (JobOutcome::Accepted { new: true }) {
                    self.counts.accepted += 1;
                    self.log_accepted(id);
                }
                self.answer(token, CellResponse::Accepted);
            }
            OnCommit::Cancelled(token) => {
                self.answer(token, cancellation_response(outcome));
            }
            OnCommit::Changed { version, token } => {
                let now_in_force = *outcome == JobOutcome::Changed(true);
                log::info!("change version={version} in-force={now_in_force}");
                self.answer(token, CellResponse::Ok);
            }
            OnCommit::Met { token, report } => {
                self.incarnation_committed(now, token, &report, outcome)
            }
            OnCommit::Heartbeat(at) => self.heartbeat_committed(now, at),
            OnCommit::Zone { order, token } => {
                if let JobOutcome::Zone(outcome) = outcome {
                    self.zone_committed(token, &order, *outcome);
                }
            }
            OnCommit::Acknowledged(token) => self.answer(token, CellResponse::Ok),
            OnCommit::Nothing => {}
        }
    }
}

fn cancellation_response(outcome: &JobOutcome) -> CellResponse {
    match outcome {
        JobOutcome::Cancelled(true) => CellResponse::Ok,
        JobOutcome::Cancelled(false) => CellResponse::Gone,
        _ => CellResponse::Refused { after_ms: CANCELLATIONS_RETRY_AFTER_MS },
    }
}

/// Occurrences of one job whose state a command may change.
enum Affected {
    All,
    Some(BTreeSet<u32>),
}

/// Jobs and occurrences whose state a command may change.
fn affected_occurrences(command: &JobCommand, state: &CellState) -> BTreeMap<JobId, Affected> {
    match command {
        JobCommand::Submit(submit) => BTreeMap::from([(submit.id, Affected::All)]),
        JobCommand::Cancel { id, .. } | JobCommand::CancelInactive { id, .. } => {
            BTreeMap::from([(*id, Affected::All)])
        }
        JobCommand::Start(starts) => by_job(starts.iter().map(|start| start.task)),
        JobCommand::End { ends, .. } => by_job(ends.iter().map(|end| end.task)),
        // A new incarnation shows that the lost one crashed, which may end jobs.
        JobCommand::Meet(_) => {
            let jobs = state.losses().jobs_with_unconfirmed_losses();
            jobs.into_iter().map(|id| (id, Affected::All)).collect()
        }
        JobCommand::Change(_)
        | JobCommand::ChangeWithSettings(_)
        | JobCommand::Forget(_)
        | JobCommand::ForgetCancellations(_)
        | JobCommand::Learn(_)
        | JobCommand::Tell(_)
        | JobCommand::Wave(_)
        | JobCommand::UpkeepBegun { .. }
        | JobCommand::UpkeepDone { .. }
        | JobCommand::Alive(_)
        | JobCommand::Zone { .. } => BTreeMap::new(),
    }
}

fn by_job<I>(tasks: I) -> BTreeMap<JobId, Affected>
where
    I: Iterator<Item = TaskKey>,
{
    let mut occurrences: BTreeMap<JobId, BTreeSet<u32>> = BTreeMap::new();
    for task in tasks {
        occurrences.entry(task.job).or_default().insert(task.occurrence);
    }
    occurrences.into_iter().map(|(id, some)| (id, Affected::Some(some))).collect()
}
