//! Tasks under which runners were lost are tried alone until they are cleared or given up.
//!
//! The pattern answered here: a task crashes each runner that starts it, within
//! milliseconds, and the runner is back after some seconds; runners crash by themselves too,
//! and all that ran there is lost with them. Evidence comes late, with the runner's next
//! life. A suspect starts where little would be lost, nothing else starts there until the
//! runner has listed it, and only so many are tried at once.

use super::leader::{Leader, Now, OnCommit};
use super::lost::PROVEN_AFTER;
use super::place::Chosen;
use super::policy::{Millis, Switch};
use super::ready::StepKey;
use super::room::saturating_sub;
use super::runner::{Runner, Trust, lease_expiry_bound};
use crate::moment::Moment;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use yuccalink_state::jobs::loss::CRASHES_AT_START_MAX;
use yuccalink_state::jobs::{
    IncarnationKey, JobCommand, JobId, Loss, LossEvidence, RunStart, RunnerFate, Task, TaskKey,
};

/// Tasks of one job that are tried at once, while at most one runner crashed at the start of
/// its tasks.
const TRIED_OF_JOB_MAX: usize = 3;
/// Runners that may be trying a suspect in a pool of any size.
const TRIED_MIN: usize = 2;

/// Tasks under which runners were lost are tried alone.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct SuspectsPolicy {
    /// Whether they are; otherwise they start as all others, until they are given up.
    pub mode: Switch,
    /// How long a task that has lost several runners waits for news of the last ones.
    #[serde(rename = "news-ms")]
    pub news: Millis,
    /// One runner in this many may be trying a suspect, and always two.
    pub one_in: usize,
    /// How long a suspect waits for a runner with nothing on it.
    #[serde(rename = "empty-ms")]
    pub empty: Millis,
    /// How long for one without tasks that last.
    #[serde(rename = "not-lasting-ms")]
    pub not_lasting: Millis,
    /// How long one that the next crash would end waits for a runner with nothing on it.
    #[serde(rename = "last-try-ms")]
    pub last_try: Millis,
}

impl Default for SuspectsPolicy {
    fn default() -> Self {
        Self {
            mode: Switch::On,
            news: Millis(10_000),
            one_in: 8,
            empty: Millis(300),
            not_lasting: Millis(900),
            last_try: Millis(5_000),
        }
    }
}

/// How a task may be started, by the runners lost under it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CrashSuspicion {
    /// As any other.
    Clear,
    /// Alone.
    Suspect,
    /// Not before there is news of the runners.
    HeldBack,
}

/// Suspects that wait, and how many may be tried, as of the last ranking.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    /// In the order in which they are tried.
    waiting: Vec<TaskKey>,
    /// When each first waited.
    since: BTreeMap<TaskKey, Moment>,
    /// How many more may be tried at once,
    left: usize,
    /// and how many of each job.
    left_of_job: BTreeMap<JobId, usize>,
    /// Lives that were lost and report again, since when.
    reporting: BTreeMap<IncarnationKey, Moment>,
}

/// A suspect that waits, in the order in which suspects are tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WaitingSuspect {
    /// Runners that crashed right after the order to start a task of its job.
    crashed_of_job: usize,
    job: JobId,
    /// Runners lost under it.
    losses: Reverse<usize>,
    task: TaskKey,
}

impl Leader {
    /// How a task may be started.
    pub(super) fn standing(&self, now: Now, task: TaskKey) -> CrashSuspicion {
        let losses = self.state.losses();
        if losses.is_empty() {
            return CrashSuspicion::Clear;
        }
        let own = losses.of(task);
        if own.len() >= CRASHES_AT_START_MAX && own.iter().any(|loss| self.may_be_heard(now, loss))
        {
            return CrashSuspicion::HeldBack;
        }
        let at_start = own.iter().any(|loss| loss.evidence == LossEvidence::Ordered);
        let crashed = own.iter().any(|loss| loss.fate == RunnerFate::Crashed);
        let suspect = at_start || (own.len() > 1 && crashed) || self.has_suspect_step(task);
        match suspect && self.cfg.policy.suspects.mode.is_on() {
            true => CrashSuspicion::Suspect,
            false => CrashSuspicion::Clear,
        }
    }

    /// Whether news of a lost runner may still come.
    fn may_be_heard(&self, now: Now, loss: &Loss) -> bool {
        let wait = u64::from(self.cfg.policy.suspects.news.0);
        // The wall clock may have been set back since.
        let age = now.unix_ms.checked_sub(loss.at_ms);
        loss.fate == RunnerFate::Unknown && age.is_some_and(|age| age < wait)
    }

    /// Whether several runners crashed at the start of tasks of a step, and none of its tasks
    /// has ever worked.
    fn has_suspect_step(&self, task: TaskKey) -> bool {
        let group = StepKey::of(task);
        if self.lives_lost_at_start(group.job, Some(group)).len() < 2 {
            return false;
        }
        let Some(job) = self.state.job(task.job) else { return false };
        let occurrence = job.occurrences.get(task.occurrence as usize);
        let step = occurrence.and_then(|found| found.steps.get(usize::from(task.step)));
        let works = |(index, state): (usize, &Task)| {
            let index = u16::try_from(index).unwrap_or(u16::MAX);
            state.done || self.is_listed(TaskKey { index, ..task }, state)
        };
        step.is_some_and(|step| !step.tasks.iter().enumerate().any(works))
    }

    /// Whether some runner lists a task.
    fn is_listed(&self, task: TaskKey, state: &Task) -> bool {
        let mut runners = state
            .assignments
            .iter()
            .filter_map(|assignment| self.runners.get(&assignment.incarnation));
        runners.any(|runner| runner.running.contains_key(&task))
    }

    /// Runners that crashed right after the order to start a task of a job, or of a step.
    fn lives_lost_at_start(&self, job: JobId, group: Option<StepKey>) -> BTreeSet<IncarnationKey> {
        let of_group = |task: TaskKey| group.is_none_or(|group| StepKey::of(task) == group);
        let losses = self.state.losses().of_job(job).filter(|(task, _)| of_group(*task));
        let at_start = losses.flat_map(|(_, losses)| losses).filter(|loss| {
            loss.evidence == LossEvidence::Ordered && loss.fate == RunnerFate::Crashed
        });
        at_start.map(|loss| loss.incarnation).collect()
    }

    /// Finds the suspects that wait. Jobs under which the fewest runners crashed come first,
    /// since most of them are innocent; of a job's tasks that which lost the most, since it
    /// tells soonest whether the job is to be given up.
    pub(super) fn find_suspects(&mut self, now: Now) {
        self.suspects.waiting.clear();
        self.suspects
            .reporting
            .retain(|incarnation, _| self.state.losses().has_unknown(*incarnation));
        if self.state.losses().is_empty() || self.cfg.policy.suspects.mode == Switch::Off {
            self.suspects.since.clear();
            return;
        }
        let not_listed = |runner: &Runner| {
            self.trial_on(now, runner).filter(|task| !runner.running.contains_key(task))
        };
        let trying: Vec<TaskKey> = self.runners.values().filter_map(not_listed).collect();
        let mut waiting = self.waiting_suspects(now);
        waiting.sort_unstable();
        let one_in = self.cfg.policy.suspects.one_in.max(1);
        let most = (self.runners.len() / one_in).max(TRIED_MIN);
        let mut left_of_job = BTreeMap::new();
        for WaitingSuspect { crashed_of_job, job, .. } in &waiting {
            left_of_job.entry(*job).or_insert_with(|| {
                let tried = trying.iter().filter(|task| task.job == *job).count();
                self.trials_of_job(*job, *crashed_of_job).saturating_sub(tried)
            });
        }
        let former = std::mem::take(&mut self.suspects.since);
        let since = |task| *former.get(&task).unwrap_or(&now.at);
        self.suspects.since = waiting.iter().map(|s| (s.task, since(s.task))).collect();
        self.suspects.waiting = waiting.into_iter().map(|suspect| suspect.task).collect();
        self.suspects.left = most.saturating_sub(trying.len());
        self.suspects.left_of_job = left_of_job;
    }

    /// How many tasks of a job may be tried at once.
    fn trials_of_job(&self, job: JobId, crashed: usize) -> usize {
        match crashed {
            0 | 1 => TRIED_OF_JOB_MAX,
            // Each one that has survived its start speaks for the others.
            _ => 1 + 2 * self.survivors_of(job),
        }
    }

    /// Tasks of a job under which runners were lost and that work now.
    fn survivors_of(&self, job: JobId) -> usize {
        let works = |task| self.state.task(task).is_some_and(|state| self.is_listed(task, state));
        self.state.losses().of_job(job).filter(|(task, _)| works(*task)).count()
    }

    /// All suspects that wait, in no order.
    fn waiting_suspects(&self, now: Now) -> Vec<WaitingSuspect> {
        let mut jobs: Vec<JobId> = self.state.losses().tasks().map(|(task, _)| task.job).collect();
        jobs.dedup();
        let mut found = Vec::new();
        for group in jobs.into_iter().flat_map(|job| self.ready.keys_of(job)) {
            let Some(job) = self.state.job(group.job) else { continue };
            let crashed_of_job = self.lives_lost_at_start(group.job, None).len();
            let Some(step) = job.spec.steps.get(usize::from(group.step)) else { continue };
            if step.gang {
                continue;
            }
            for index in 0..step.count {
                let index = u16::try_from(index).unwrap_or(u16::MAX);
                let task = TaskKey {
                    job: group.job,
                    occurrence: group.occurrence,
                    step: group.step,
                    index,
                };
                let waits =
                    self.state.task(task).is_some_and(|t| !t.done && t.assignments.is_empty())
                        && !self.starting.contains_key(&task);
                if waits && self.standing(now, task) == CrashSuspicion::Suspect {
                    let losses = Reverse(self.state.losses().of(task).len());
                    found.push(WaitingSuspect { crashed_of_job, job: task.job, losses, task });
                }
            }
        }
        found
    }

    /// Whether a second copy of a task may start: one that crashes its runners would crash two
    /// more at once.
    pub(super) fn may_have_copy(&self, task: TaskKey) -> bool {
        match self.state.losses().of(task) {
            [] => true,
            [loss] => loss.evidence != LossEvidence::Ordered,
            _ => false,
        }
    }

    /// Whether one more crash would be the last: what else runs beside it must not decide.
    fn is_last_try(&self, task: TaskKey) -> bool {
        self.state.losses().crashes(task).reach_bound_with(1)
    }

    /// Whether a step's job has tasks that may not start beside others.
    pub(super) fn has_suspect(&self, now: Now, group: StepKey) -> bool {
        let mut lost = self.state.losses().of_job(group.job);
        lost.any(|(task, _)| self.standing(now, task) != CrashSuspicion::Clear)
    }

    /// The suspect that a runner was told to start and has not listed yet, or not for long
    /// enough to clear it on its last try.
    pub(super) fn trial_on(&self, now: Now, runner: &Runner) -> Option<TaskKey> {
        if self.state.losses().is_empty() {
            return None;
        }
        let starting = self.starting.values().filter(|start| start.incarnation == runner.key);
        let held = self
            .state
            .assigned_runs(runner.key)
            .chain(starting.map(|start| (start.task, start.run)));
        let is_tried = |task: TaskKey, run: u32| match runner.view(task, run) {
            Some(view) => view.age < PROVEN_AFTER && self.is_last_try(task),
            None => self.standing(now, task) != CrashSuspicion::Clear,
        };
        held.into_iter().find_map(|(task, run)| is_tried(task, run).then_some(task))
    }

    /// Starts a suspect on a runner that has reported, if one may be tried there.
    pub(super) fn pick_suspect(&mut self, now: Now, key: IncarnationKey, chosen: &mut Chosen) {
        let Some(runner) = self.runners.get(&key) else { return };
        let trust = self.trust(now, runner);
        if !runner.takes_tasks() || matches!(trust, Trust::None | Trust::Probe) {
            return;
        }
        let suspects = &self.suspects;
        if suspects.left == 0 {
            return;
        }
        let may = |task: &&TaskKey| suspects.left_of_job.get(&task.job).is_some_and(|n| *n > 0);
        let mut waiting = suspects.waiting.iter().filter(may);
        let Some(start) = waiting.find_map(|task| self.try_on(now, runner, trust, *task, chosen))
        else {
            return;
        };
        let losses = self.state.losses().of(start.task).len();
        log::info!(
            "try task={} run={} runner={} losses={losses} beside={}",
            start.task,
            start.run,
            runner.id,
            runner.running.len()
        );
        if let Some(step) = self.ready.step_of(start.task) {
            chosen.free = saturating_sub(chosen.free, step.reserved);
            chosen.colocation.started(now.at, step, &self.loads, StepKey::of(start.task));
        }
        chosen.starts.push(start);
        self.counts.tried += 1;
        self.suspects.left -= 1;
        if let Some(left) = self.suspects.left_of_job.get_mut(&start.task.job) {
            *left -= 1;
        }
        self.suspects.waiting.retain(|task| *task != start.task);
    }

    fn try_on(
        &self,
        now: Now,
        runner: &Runner,
        trust: Trust,
        task: TaskKey,
        chosen: &Chosen,
    ) -> Option<RunStart> {
        let policy = &self.cfg.policy.suspects;
        let since = self.suspects.since.get(&task).copied().unwrap_or(now.at);
        let waited = now.at.since(since);
        let must_be_empty = self.is_last_try(task) && waited < policy.last_try.to_duration();
        let may_be_shared = waited > policy.not_lasting.to_duration()
            || (waited > policy.empty.to_duration() && runner.lasting_millicores == 0);
        let little_to_lose = runner.running.is_empty() || (may_be_shared && !must_be_empty);
        let group = StepKey::of(task);
        let info = self.ready.step(group.job, group.step)?;
        if !little_to_lose || !chosen.free.covers(info.reserved) {
            return None;
        }
        let (job, step) = self.may_host(now, runner, group)?;
        if self.seats(runner, group, step) == 0 {
            return None;
        }
        let run = self.run_after(job, step, task, runner.key, trust)?;
        Some(RunStart { task, run, incarnation: runner.key })
    }

    /// A runner whose runs were given up reports again: what it lost is no crash, once its
    /// reports have come for a lease's time. A single one may have been sent before a crash.
    pub(super) fn revive(&mut self, now: Now, key: IncarnationKey) {
        if !self.state.losses().has_unknown(key) {
            return;
        }
        let since = *self.suspects.reporting.entry(key).or_insert(now.at);
        if now.at.since(since) > lease_expiry_bound(self.cfg.lease) {
            log::info!("{key} reports again: its losses are no crash");
            // Asked for again only if this one is lost.
            self.suspects.reporting.insert(key, now.at);
            self.propose(JobCommand::Alive(key), OnCommit::Nothing);
        }
    }

    /// That is in the log.
    pub(super) fn revived(&mut self, key: IncarnationKey) {
        self.suspects.reporting.remove(&key);
    }

    /// Says what became of tasks whose runners are now known to have crashed.
    pub(super) fn log_fates(&self, now: Now, were_unknown: &BTreeSet<IncarnationKey>) {
        if were_unknown.is_empty() {
            return;
        }
        let losses = self.state.losses();
        let still = losses.unknown();
        let told = |loss: &Loss| {
            were_unknown.contains(&loss.incarnation) && !still.contains(&loss.incarnation)
        };
        for (task, _) in losses.tasks().filter(|(_, own)| own.iter().any(told)) {
            self.log_standing(now, task);
        }
    }

    /// Says what the loss of a runner means for a task.
    pub(super) fn log_standing(&self, now: Now, task: TaskKey) {
        let losses = self.state.losses();
        let own = losses.of(task);
        if own.is_empty() {
            return;
        }
        let crashed = own.iter().filter(|loss| loss.fate == RunnerFate::Crashed).count();
        let at_start = own.iter().filter(|loss| loss.evidence == LossEvidence::Ordered).count();
        let verdict = match (self.state.exceeds_loss_limit(task), self.standing(now, task)) {
            (true, _) => "given-up",
            (false, CrashSuspicion::Clear) => "clear",
            (false, CrashSuspicion::Suspect) => "suspected",
            (false, CrashSuspicion::HeldBack) => "held-back",
        };
        log::info!(
            "task={task} {verdict} losses={} crashed={crashed} at-start={at_start}",
            own.len()
        );
    }
}
