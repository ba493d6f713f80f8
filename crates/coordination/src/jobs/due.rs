//! Periodic work: ranking, expired leases, due occurrences, and removal of ended jobs.

use super::account::ACCOUNT_INTERVAL;
use super::knowledge::TELL_INTERVAL;
use super::leader::{Leader, Now, OnCommit};
use super::lost::LossReason;
use super::messages::{CellResponse, RunnerOrders};
use super::runner::lease_expiry_bound;
use std::ops::Range;
use std::time::Duration;
use yuccalink_state::jobs::{JobCommand, JobId, JobPhase, RunEnd};

/// Longest time that a heartbeat waits for its commands to be committed. A runner drops a
/// response that arrives after one second, and the way back takes part of it.
const HEARTBEAT_COMMIT_WAIT_MAX: Duration = Duration::from_millis(600);
/// Interval at which waiting steps are ranked, well below the shortest objective.
const RANK_INTERVAL: Duration = Duration::from_millis(100);
/// Steps of due occurrences in the ready queue, of all scheduled jobs together; each job has
/// those of one occurrence in any case. A report starts fewer tasks than this.
const DUE_STEPS_MAX: usize = 256;
/// Jobs removed by one command, so that no batch for the log becomes large.
const REMOVED_JOBS_MAX: usize = 256;
/// Interval at which ended jobs are checked for removal.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(2);

impl Leader {
    /// Does all periodic work that is due at `now`.
    pub fn tick(&mut self, now: Now) {
        if now.at.since(self.last_ranked) >= RANK_INTERVAL {
            self.last_ranked = now.at;
            let room = self.room(now);
            self.ready.set_room(room, self.leaving_runners());
            self.ready.rank_all(&self.state, now.at);
            self.counts.steps_examined += self.ready.len() as u64;
            self.report_rate.note_longest_waiting(now.at, self.ready.longest_wait(now.at));
            self.measure_pools(now);
            self.update_reserves(now);
            self.measure_shares(now);
            self.measure_backlogs(now);
            self.count_moving_long_running();
            self.advance_evacuations(now);
            self.share_long_running(now);
            self.find_stragglers(now);
            self.find_suspects(now);
            self.reserve_runners(now);
            self.place_gangs(now);
            self.query_advice(now);
            self.advance_waves(now);
            self.end_expired_leases(now);
        }
        if now.at.since(self.last_accounted) >= ACCOUNT_INTERVAL {
            self.last_accounted = now.at;
            self.update_accounts(now);
        }
        if now.at.since(self.last_told) >= TELL_INTERVAL {
            self.last_told = now.at;
            self.tell_knowledge(now);
        }
        self.report_rate.tick(now.at, self.runners.len(), self.cfg.lease);
        self.answer_late_heartbeats(now);
        self.log_late_runs(now);
        self.add_due_occurrences(now);
        if now.at.since(self.last_cleanup) >= CLEANUP_INTERVAL {
            self.last_cleanup = now.at;
            self.remove_ended_jobs(now);
            self.forget_old_cancellations(now);
            self.remove_ended_forecasts();
            self.log_load(now);
            self.log_lacks();
            self.log_waves(now);
            self.log_forecasts(now);
            self.commit_learnt_weights();
        }
    }

    fn answer_late_heartbeats(&mut self, now: Now) {
        let mut late = Vec::new();
        for waiting in self.heartbeats.values_mut() {
            if !waiting.answered && now.at.since(waiting.since) > HEARTBEAT_COMMIT_WAIT_MAX {
                waiting.answered = true;
                late.push((waiting.token, waiting.incarnation));
            }
        }
        for (token, incarnation) in late {
            // The log is slow, but this process still leads: it renews the lease now. The
            // orders follow with the next heartbeat, once they are committed.
            self.send_orders(now, token, incarnation);
        }
    }

    /// Ends the runs whose lease has certainly expired. To start them elsewhere any earlier
    /// could run a task twice.
    fn end_expired_leases(&mut self, now: Now) {
        let inherited = self.started + lease_expiry_bound(self.cfg.lease);
        let mut ends = Vec::new();
        let mut silent = Vec::new();
        for incarnation in self.state.incarnations_with_runs() {
            let granted =
                self.runners.get(&incarnation).map_or(inherited, |runner| runner.lease_end);
            let until = granted.max(inherited);
            if now.at > until {
                self.collect_lost(now, incarnation, LossReason::Lease, &mut ends);
                silent.push(incarnation);
            }
        }
        for incarnation in silent {
            // What it last reported of its serving tasks is no longer so.
            if let Some(runner) = self.runners.get_mut(&incarnation) {
                let former = std::mem::take(&mut runner.serving_tasks);
                self.job_harms.replace(&former, &[], now.at);
            }
        }
        self.propose_ends(now, ends, OnCommit::Nothing);
    }

    pub(super) fn propose_ends(&mut self, now: Now, ends: Vec<RunEnd>, then: OnCommit) {
        if ends.is_empty() {
            return;
        }
        self.ending.extend(ends.iter().map(|end| (end.task, end.run)));
        self.propose(JobCommand::End { ends, at_ms: now.unix_ms }, then);
    }

    /// Adds the first due occurrences of scheduled jobs to the ready queue. All of them together
    /// have a bounded number of steps there, however many are due.
    fn add_due_occurrences(&mut self, now: Now) {
        let scheduled = self.ready.scheduled().into_iter();
        let due: Vec<(JobId, Range<u32>)> =
            scheduled.map(|id| (id, self.due_occurrences(id, now.unix_ms))).collect();
        let waiting = due.iter().filter(|(_, occurrences)| !occurrences.is_empty()).count();
        for (id, occurrences) in due {
            let queued = match occurrences.is_empty() {
                true => occurrences,
                false => {
                    let steps = DUE_STEPS_MAX / waiting / self.first_steps_len(id);
                    let most = u32::try_from(steps.max(1)).unwrap_or(u32::MAX);
                    let last = occurrences.start.saturating_add(most);
                    occurrences.start..occurrences.end.min(last)
                }
            };
            let changed = self.ready.set_due_occurrences(id, queued, &self.state, now.at);
            self.counts.steps_examined += 1 + u64::from(changed);
        }
    }

    /// Occurrences of a scheduled job that are due and were not opened.
    fn due_occurrences(&self, id: JobId, unix_ms: u64) -> Range<u32> {
        let job = self.state.job(id).filter(|job| job.phase == JobPhase::Active);
        let schedule = job.and_then(|job| Some((job.opened(), job.spec.schedule?)));
        schedule.map_or(0..0, |(opened, schedule)| opened..schedule.due_through(unix_ms))
    }

    /// Number of steps with which an occurrence of a job begins, at least 1.
    fn first_steps_len(&self, id: JobId) -> usize {
        let steps = self.state.job(id).into_iter().flat_map(|job| &job.spec.steps);
        steps.filter(|step| step.depends_on.is_empty()).count().max(1)
    }

    /// Commits the learned interference weights for later leaders. To learn them again after
    /// each change of leader, serving tasks would exceed their bounds for some ten seconds.
    fn commit_learnt_weights(&mut self) {
        let learnt = self.interference.learnt_weights();
        if !learnt.is_empty() && learnt != self.state.learnt() {
            self.propose(JobCommand::Learn(learnt), OnCommit::Nothing);
        }
    }

    fn remove_ended_jobs(&mut self, now: Now) {
        let keep = u64::try_from(self.cfg.job_retention.as_millis()).unwrap_or(u64::MAX);
        let ids = self.state.forgettable(now.unix_ms.saturating_sub(keep), REMOVED_JOBS_MAX);
        if !ids.is_empty() {
            self.propose(JobCommand::Forget(ids), OnCommit::Nothing);
        }
    }

    fn remove_ended_forecasts(&mut self) {
        let state = &self.state;
        self.forecasts.retain(|step_key| state.is_active(step_key.job));
        self.teller.retain(|id| state.is_active(id));
        self.job_harms.retain(|step_key| state.is_active(step_key.job));
    }

    pub(super) fn empty_orders(&self) -> CellResponse {
        CellResponse::Orders(Box::new(RunnerOrders { token: self.term, ..RunnerOrders::default() }))
    }
}
