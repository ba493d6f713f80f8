//! Runs that must stop, and runners that leave.

use crate::jobs::capacity::KeptFree;
use crate::jobs::leader::{Leader, Now, OnCommit, RequestToken};
use crate::jobs::lost::LossReason;
use crate::jobs::messages::{CellResponse, RunnerState};
use crate::jobs::policy::{Millis, Switch};
use crate::jobs::ready::{StepInfo, StepKey, long_running_tasks};
use crate::jobs::runner::{RunView, Runner, Trust};
use crate::jobs::scarcity::{Claim, JobShare, Offer, Scarcity};
use crate::jobs::suspects::CrashSuspicion;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;
use yuccalink_state::jobs::{IncarnationKey, JobId, JobPhase, TaskKey};

/// Time before the announced end of a draining runner in which no run should end. The
/// runner leaves a little after the time that it announced, and runs that end with it lose
/// their work.
const LEAVE_MARGIN: Duration = Duration::from_millis(300);

/// Jobs without any task for which room is looked for, for each task that may be given.
const NEEDY_PER_GIFT: usize = 4;

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

impl Leader {
    /// Marks runs to be stopped: stalled runs, and runs that will not end before their runner
    /// leaves.
    pub(in crate::jobs) fn mark_runs_to_stop(&mut self, now: Now, key: IncarnationKey) {
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
        let mut running: Vec<(&TaskKey, &RunView)> = runner.running.iter().collect();
        if self.ready.is_scarce() {
            running.sort_by_key(|(task, _)| self.claim_of(task.job));
        }
        let mut moving = Vec::new();
        for (task, view) in running {
            let Some(step) = self.ready.step_of(*task).filter(|step| step.long_running) else {
                continue;
            };
            let moves = u32::try_from(moving.len()).unwrap_or(u32::MAX);
            let ahead = match self.has_room_kept(*task)
                && !moving.iter().any(|moved| StepKey::of(*moved) == StepKey::of(*task))
            {
                true => 0,
                false => self.moving_before(task.job).saturating_add(moves),
            };
            let most = ahead.saturating_add(1);
            // The tasks of a queue on hold start nowhere else.
            let may_move = !self.ready.is_held(task.job)
                && self.capacity_elsewhere(now, runner, *task, step, most) > ahead;
            if view.stopping || may_move {
                if !view.stopping {
                    moving.push(*task);
                }
            } else {
                tasks_to_keep.insert(*task);
            }
        }
        let claims: Vec<Claim> = moving.iter().map(|task| self.claim_of(task.job)).collect();
        self.moving_long_running += u32::try_from(claims.len()).unwrap_or(u32::MAX);
        if self.ready.is_scarce() {
            for claim in claims {
                *self.waiting_by_claim.entry(claim).or_default() += 1;
            }
        }
        tasks_to_keep
    }

    /// Number of moving or waiting long-running tasks that get room before those of a job.
    fn moving_before(&self, job: JobId) -> u32 {
        if !self.ready.is_scarce() {
            return self.moving_long_running;
        }
        self.waiting_by_claim.range(..=self.claim_of(job)).map(|(_, count)| *count).sum()
    }

    /// Whether a runner is kept free for the task's step alone, none of whose tasks waits.
    fn has_room_kept(&self, task: TaskKey) -> bool {
        let step_key = StepKey::of(task);
        self.ready.since(step_key).is_none()
            && self.kept_free.values().any(|kept| kept.only_for == Some(step_key))
    }

    fn claim_of(&self, job: JobId) -> Claim {
        self.state.job(job).map(|known| self.ready.claim(job, known)).unwrap_or_default()
    }

    /// The runners that drain, go down for maintenance or are in an evacuated zone.
    pub(in crate::jobs) fn leaving_runners(&self) -> BTreeSet<IncarnationKey> {
        let leaving = self.runners.values().filter(|runner| !runner.takes_tasks());
        leaving.map(|runner| runner.key).collect()
    }

    /// Records what long-running jobs lack, and lets whole jobs give tasks to jobs that have
    /// none at work.
    pub(in crate::jobs) fn share_long_running(&mut self, now: Now) {
        let policy = self.cfg.policy.scarcity;
        if !self.scarcity.is_due(now.at) {
            return;
        }
        let shares: Vec<JobShare> =
            self.ready.long_running().filter_map(|id| self.job_share(id)).collect();
        let state = &self.state;
        self.scarcity.observe(now.at, &policy, &shares, |id| state.job(id).map(|job| &*job.queue));
        if policy.give == Switch::Off || !self.ready.is_scarce() {
            return;
        }
        let mut needy = self.scarcity.needy(now.at, &policy, &shares);
        needy.retain(|(job, _)| !self.ready.is_held(*job));
        if needy.is_empty() {
            return;
        }
        let givers = shares.iter().filter(|share| self.scarcity.may_give(share));
        let offers = givers.flat_map(|giver| self.offers(now, giver));
        let mut offers = Scarcity::sort_offers(&policy, offers);
        let mut gifts_left = (self.usable_runners_len() / policy.one_in.max(1)).max(1);
        for (receiver, lacked) in needy.into_iter().take(gifts_left * NEEDY_PER_GIFT) {
            let found = offers.iter().find_map(|offer| {
                self.step_to_receive(now, receiver, offer).map(|step_key| (*offer, step_key))
            });
            let Some((offer, step_key)) = found else { continue };
            offers.retain(|other| other.task.job != offer.task.job && other.runner != offer.runner);
            self.give(now, offer, step_key, lacked);
            gifts_left -= 1;
            if gifts_left == 0 {
                return;
            }
        }
    }

    fn job_share(&self, id: JobId) -> Option<JobShare> {
        let job = self.state.job(id).filter(|job| job.phase == JobPhase::Active)?;
        let mut share = JobShare { job: id, tasks: 0, working: 0, staying: 0, held: 0 };
        let stays = |incarnation| self.runners.get(&incarnation).is_some_and(Runner::takes_tasks);
        for (key, task) in long_running_tasks(id, job) {
            let held = task.assignments.iter().any(|run| stays(run.incarnation))
                || self.starting.contains(key);
            let working = self.is_working(key);
            share.tasks += 1;
            share.held += u32::from(held);
            share.working += u32::from(working);
            share.staying += u32::from(working && held);
        }
        Some(share)
    }

    /// Tasks of a whole job that it may give as far as its disruption budget allows.
    fn offers(&self, now: Now, giver: &JobShare) -> impl Iterator<Item = Offer> {
        let job = self.state.job(giver.job);
        let tasks = job.into_iter().flat_map(|job| long_running_tasks(giver.job, job));
        let has_budget =
            |task| self.state.step_spec(task).is_some_and(|s| s.disruptions_max > Some(0));
        tasks.filter_map(move |(task, state)| {
            let runner = self.runners.get(&state.assignments.first()?.incarnation)?;
            let view = runner.running.get(&task)?;
            let offer = Offer {
                task,
                run: view.run,
                runner: runner.key,
                tasks: giver.tasks,
                millicores: self.ready.step_of(task)?.reserved.millicores,
                worked_for: now.at.since(view.first_seen),
            };
            has_budget(task).then_some(offer)
        })
    }

    /// The step of a job that a given task's room is for, if the room is enough and no other
    /// runner has any.
    fn step_to_receive(&self, now: Now, receiver: JobId, offer: &Offer) -> Option<StepKey> {
        let runner = self.runners.get(&offer.runner)?;
        let given = self.ready.step_of(offer.task)?;
        let free = runner.free.plus(given.reserved)?;
        let usable = runner.reported_recently(now.at)
            && self.trust(now, runner) == Trust::Full
            && self.trial_on(now, runner).is_none()
            && !self.kept_free.contains_key(&runner.key);
        if !usable {
            return None;
        }
        let (task, step) = long_running_tasks(receiver, self.state.job(receiver)?)
            .filter(|(task, _)| self.crash_suspicion(now, *task) == CrashSuspicion::Clear)
            .find_map(|(task, _)| {
                let step = self.ready.step_of(task)?;
                (free.covers(step.reserved) && !step.may_interfere()).then_some((task, step))
            })?;
        let step_key = StepKey::of(task);
        let (_, spec) = self.may_host(now, runner, step_key)?;
        let fits = self.slots_left(runner, step_key, spec) > 0
            && self.may_disrupt(offer.task, &BTreeSet::new())
            && self.capacity_elsewhere(now, runner, task, step, 1) == 0;
        fits.then_some(step_key)
    }

    /// Stops a task and keeps its room for a step of another job.
    fn give(&mut self, now: Now, offer: Offer, to: StepKey, lacked: Duration) {
        let span = self.cfg.policy.kept_free.span.to_duration();
        let Some(runner) = self.runners.get_mut(&offer.runner) else { return };
        let Some(view) = runner.running.get_mut(&offer.task) else { return };
        view.stopping = true;
        log::info!(
            "stop task={} run={} runner={} why=scarcity tasks={} worked={:?} for={} \
             nothing-for={lacked:?}",
            offer.task,
            offer.run,
            runner.id,
            offer.tasks,
            offer.worked_for,
            to.job
        );
        let kept = KeptFree { until: now.at + span, for_first_run: false, only_for: Some(to) };
        self.kept_free.insert(offer.runner, kept);
        self.scarcity.record(now.at, offer.task.job, to.job);
        self.counts.tasks_given += 1;
    }

    /// Number of tasks of a step that other runners have capacity for, counted up to `most`.
    pub(in crate::jobs) fn capacity_elsewhere(
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
                && runner.free.covers(step.reserved)
                && self.kept_free.get(&runner.key).is_none_or(|kept| kept.admits(step_key, step));
            let Some((_, spec)) = self.may_host(now, runner, step_key).filter(|_| may) else {
                continue;
            };
            let capacity = runner.free.millicores / step.reserved.millicores.max(1);
            let capacity = u32::try_from(capacity).unwrap_or(u32::MAX);
            slots_left += capacity.min(self.slots_left(runner, step_key, spec));
        }
        slots_left
    }

    /// Handles the leave of a runner: all of its runs have ended, and it sends no more reports.
    pub(in crate::jobs) fn leave(
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
