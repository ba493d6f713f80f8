//! Trials of suspects: tasks whose runners were lost start alone until they are cleared or
//! given up.
//!
//! This handles tasks that crash each runner that starts them, within milliseconds; the runner
//! is back after some seconds. Runners also crash on their own, and then all of their runs are
//! lost. The evidence comes late, with the next incarnation of the runner. A suspect starts on
//! a runner where little would be lost, no other task starts there until the runner has listed
//! it, and the number of concurrent trials is limited.

use crate::jobs::capacity::saturating_sub;
use crate::jobs::leader::{Leader, Now, OnCommit};
use crate::jobs::lost::PROVEN_AFTER;
use crate::jobs::place::Chosen;
use crate::jobs::policy::{Millis, Switch};
use crate::jobs::ready::StepKey;
use crate::jobs::runner::{Runner, Trust, lease_expiry_bound};
use crate::moment::Moment;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use yuccalink_state::jobs::loss::CRASHES_AT_START_MAX;
use yuccalink_state::jobs::{
    IncarnationKey, JobCommand, JobId, Loss, LossEvidence, RunStart, RunnerFate, Task, TaskKey,
};

/// Concurrent trials of one job while at most one runner has crashed at the start of its
/// tasks.
const TRIALS_PER_JOB_MAX: usize = 3;
/// Concurrent trials that are always allowed, however few runners there are.
const TRIALS_MIN: usize = 2;

/// How tasks whose runners were lost are tried alone.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct SuspectsPolicy {
    /// Whether suspects are tried alone. Otherwise they start like all other tasks until they
    /// are given up.
    pub mode: Switch,
    /// How long a task that has lost several runners waits to learn whether they crashed.
    #[serde(rename = "news-ms")]
    pub fate_wait: Millis,
    /// One runner in this many may try a suspect at a time, but always at least two runners.
    pub one_in: usize,
    /// How long a suspect waits for an empty runner. After that, it may start on a runner
    /// without long-running tasks.
    #[serde(rename = "empty-ms")]
    pub empty_runner_wait: Millis,
    /// How long a suspect waits for a runner without long-running tasks. After that, it may
    /// start on any runner.
    #[serde(rename = "not-lasting-ms")]
    pub no_long_running_wait: Millis,
    /// How long a task that would be given up after its next crash waits for an empty runner.
    #[serde(rename = "last-try-ms")]
    pub last_trial_wait: Millis,
}

impl Default for SuspectsPolicy {
    fn default() -> Self {
        Self {
            mode: Switch::On,
            fate_wait: Millis(10_000),
            one_in: 8,
            empty_runner_wait: Millis(300),
            no_long_running_wait: Millis(900),
            last_trial_wait: Millis(5_000),
        }
    }
}

/// How a task may start, given the runners that were lost during its runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::jobs) enum CrashSuspicion {
    /// The task starts like any other.
    Clear,
    /// The task starts alone.
    Suspect,
    /// The task waits until it is known whether its runners crashed.
    HeldBack,
}

/// Waiting suspects and the number of trials that may start, as of the last ranking.
#[derive(Debug, Default)]
pub(in crate::jobs) struct Suspects {
    /// Waiting suspects, in the order in which they are tried.
    waiting: Vec<TaskKey>,
    /// Since when each suspect has waited.
    since: BTreeMap<TaskKey, Moment>,
    /// Number of further trials that may start.
    trials_left: usize,
    /// Number of further trials that may start for each job.
    trials_left_of_job: BTreeMap<JobId, usize>,
    /// Incarnations that were lost and report again, and since when.
    reporting: BTreeMap<IncarnationKey, Moment>,
}

/// A waiting suspect; sorts in the order in which suspects are tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WaitingSuspect {
    /// Number of runners that crashed right after the order to start a task of the job.
    crashed_of_job: usize,
    job: JobId,
    /// Number of runners lost during runs of the task.
    losses: Reverse<usize>,
    task: TaskKey,
}

impl Leader {
    /// How a task may start.
    pub(in crate::jobs) fn crash_suspicion(&self, now: Now, task: TaskKey) -> CrashSuspicion {
        let losses = self.state.losses();
        if losses.is_empty() {
            return CrashSuspicion::Clear;
        }
        let own = losses.of(task);
        if own.len() >= CRASHES_AT_START_MAX
            && own.iter().any(|loss| self.may_become_known(now, loss))
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

    /// Whether the fate of a lost runner is unknown and may still become known.
    fn may_become_known(&self, now: Now, loss: &Loss) -> bool {
        let wait = u64::from(self.cfg.policy.suspects.fate_wait.0);
        // The wall clock may have been set back since.
        let age = now.unix_ms.checked_sub(loss.at_ms);
        loss.fate == RunnerFate::Unknown && age.is_some_and(|age| age < wait)
    }

    /// Whether at least two runners crashed at the start of tasks of a step, and none of its
    /// tasks is running or done.
    fn has_suspect_step(&self, task: TaskKey) -> bool {
        let step_key = StepKey::of(task);
        if self.incarnations_crashed_at_start(step_key.job, Some(step_key)).len() < 2 {
            return false;
        }
        let Some(job) = self.state.job(task.job) else { return false };
        let step = job.step(task.occurrence, task.step);
        let works = |(index, state): (u16, &Task)| self.is_listed(TaskKey { index, ..task }, state);
        step.is_some_and(|step| !step.tasks.any_done() && !step.tasks.assigned().any(works))
    }

    /// Whether a runner lists a task as running.
    fn is_listed(&self, task: TaskKey, state: &Task) -> bool {
        let mut runners = state
            .assignments
            .iter()
            .filter_map(|assignment| self.runners.get(&assignment.incarnation));
        runners.any(|runner| runner.running.contains_key(&task))
    }

    /// Incarnations that crashed right after the order to start a task of a job, or of one of
    /// its steps.
    fn incarnations_crashed_at_start(
        &self,
        job: JobId,
        step_key: Option<StepKey>,
    ) -> BTreeSet<IncarnationKey> {
        let is_of_step =
            |task: TaskKey| step_key.is_none_or(|step_key| StepKey::of(task) == step_key);
        let losses = self.state.losses().of_job(job).filter(|(task, _)| is_of_step(*task));
        let at_start = losses.flat_map(|(_, losses)| losses).filter(|loss| {
            loss.evidence == LossEvidence::Ordered && loss.fate == RunnerFate::Crashed
        });
        at_start.map(|loss| loss.incarnation).collect()
    }

    /// Updates the waiting suspects. Jobs with the fewest crashed runners come first, because
    /// most of them did not cause the crash. Within a job, the task that lost the most runners
    /// comes first, because its trial shows soonest whether the job must be given up.
    pub(in crate::jobs) fn find_suspects(&mut self, now: Now) {
        self.suspects.waiting.clear();
        self.suspects
            .reporting
            .retain(|incarnation, _| self.state.losses().is_unconfirmed(*incarnation));
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
        let trials_max = (self.usable_runners_len() / one_in).max(TRIALS_MIN);
        let mut trials_left_of_job = BTreeMap::new();
        for WaitingSuspect { crashed_of_job, job, .. } in &waiting {
            trials_left_of_job.entry(*job).or_insert_with(|| {
                let tried = trying.iter().filter(|task| task.job == *job).count();
                self.trials_of_job(*job, *crashed_of_job).saturating_sub(tried)
            });
        }
        let former = std::mem::take(&mut self.suspects.since);
        let since = |task| *former.get(&task).unwrap_or(&now.at);
        self.suspects.since = waiting.iter().map(|s| (s.task, since(s.task))).collect();
        self.suspects.waiting = waiting.into_iter().map(|suspect| suspect.task).collect();
        self.suspects.trials_left = trials_max.saturating_sub(trying.len());
        self.suspects.trials_left_of_job = trials_left_of_job;
    }

    /// How many tasks of a job may be tried at once.
    fn trials_of_job(&self, job: JobId, crashed: usize) -> usize {
        match crashed {
            0 | 1 => TRIALS_PER_JOB_MAX,
            // Each task that has survived its start makes it less likely that the others crash.
            _ => 1 + 2 * self.survivors_of(job),
        }
    }

    /// Number of tasks of a job that lost runners and are running now.
    fn survivors_of(&self, job: JobId) -> usize {
        let works = |task| self.state.task(task).is_some_and(|state| self.is_listed(task, state));
        self.state.losses().of_job(job).filter(|(task, _)| works(*task)).count()
    }

    /// All waiting suspects, unsorted.
    fn waiting_suspects(&self, now: Now) -> Vec<WaitingSuspect> {
        let mut jobs: Vec<JobId> = self.state.losses().tasks().map(|(task, _)| task.job).collect();
        jobs.dedup();
        let mut found = Vec::new();
        for step_key in jobs.into_iter().flat_map(|job| self.ready.keys_of(job)) {
            let Some(job) = self.state.job(step_key.job) else { continue };
            let crashed_of_job = self.incarnations_crashed_at_start(step_key.job, None).len();
            let Some(step) = job.spec.steps.get(usize::from(step_key.step)) else { continue };
            if step.gang || self.ready.is_held(step_key.job) {
                continue;
            }
            for index in 0..step.count {
                let index = u16::try_from(index).unwrap_or(u16::MAX);
                let task = TaskKey {
                    job: step_key.job,
                    occurrence: step_key.occurrence,
                    step: step_key.step,
                    index,
                };
                let waits =
                    self.state.task(task).is_some_and(|t| !t.done && t.assignments.is_empty())
                        && !self.starting.contains(task);
                if waits && self.crash_suspicion(now, task) == CrashSuspicion::Suspect {
                    let losses = Reverse(self.state.losses().of(task).len());
                    found.push(WaitingSuspect { crashed_of_job, job: task.job, losses, task });
                }
            }
        }
        found
    }

    /// Whether a second copy of a task may start. A task that crashes its runners would crash
    /// two at once.
    pub(in crate::jobs) fn may_have_copy(&self, task: TaskKey) -> bool {
        match self.state.losses().of(task) {
            [] => true,
            [loss] => loss.evidence != LossEvidence::Ordered,
            _ => false,
        }
    }

    /// Whether a task is given up after one more crash. In this trial, the crash must not be the
    /// fault of a colocated task.
    fn is_last_trial(&self, task: TaskKey) -> bool {
        self.state.losses().crashes(task).would_reach_limit(1)
    }

    /// Whether a step's job has tasks that lost runners and may not start like any other task.
    pub(in crate::jobs) fn has_suspect(&self, now: Now, step_key: StepKey) -> bool {
        let mut lost = self.state.losses().of_job(step_key.job);
        lost.any(|(task, _)| self.crash_suspicion(now, task) != CrashSuspicion::Clear)
    }

    /// The suspect in a trial on a runner: it was ordered and the runner has not listed it yet,
    /// or it is in its last trial and not listed for long enough to be cleared.
    pub(in crate::jobs) fn trial_on(&self, now: Now, runner: &Runner) -> Option<TaskKey> {
        if self.state.losses().is_empty() {
            return None;
        }
        let starting = self.starting.on(runner.key).map(|start| (start.task, start.run));
        let assigned = self.state.assigned_runs(runner.key).chain(starting);
        let is_tried = |task: TaskKey, run: u32| match runner.view(task, run) {
            Some(view) => view.age < PROVEN_AFTER && self.is_last_trial(task),
            None => self.crash_suspicion(now, task) != CrashSuspicion::Clear,
        };
        assigned.into_iter().find_map(|(task, run)| is_tried(task, run).then_some(task))
    }

    /// Chooses a suspect to start on the reporting runner, if one may be tried there.
    pub(in crate::jobs) fn pick_suspect(
        &mut self,
        now: Now,
        key: IncarnationKey,
        chosen: &mut Chosen,
    ) {
        let Some(runner) = self.runners.get(&key) else { return };
        let trust = self.trust(now, runner);
        if !runner.takes_tasks() || matches!(trust, Trust::None | Trust::Probe) {
            return;
        }
        let suspects = &self.suspects;
        if suspects.trials_left == 0 {
            return;
        }
        let has_trials_left =
            |task: &&TaskKey| suspects.trials_left_of_job.get(&task.job).is_some_and(|n| *n > 0);
        let kept = self.kept_free.get(&key).filter(|kept| now.at < kept.until);
        let only_for = kept.and_then(|kept| kept.only_for);
        let is_admitted =
            |task: &&TaskKey| only_for.is_none_or(|step_key| step_key == StepKey::of(**task));
        let mut waiting = suspects.waiting.iter().filter(has_trials_left).filter(is_admitted);
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
            let margins = self.serving_margins(&runner.pool);
            chosen.colocation.started(now.at, step, margins, StepKey::of(start.task));
        }
        chosen.starts.push(start);
        self.counts.tried += 1;
        self.suspects.trials_left -= 1;
        if let Some(left) = self.suspects.trials_left_of_job.get_mut(&start.task.job) {
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
        let must_be_empty =
            self.is_last_trial(task) && waited < policy.last_trial_wait.to_duration();
        let may_be_shared = waited > policy.no_long_running_wait.to_duration()
            || (waited > policy.empty_runner_wait.to_duration()
                && runner.long_running_millicores == 0);
        let little_to_lose = runner.running.is_empty() || (may_be_shared && !must_be_empty);
        let step_key = StepKey::of(task);
        let info = self.ready.step(step_key.job, step_key.step)?;
        if !little_to_lose || !chosen.free.covers(info.reserved) {
            return None;
        }
        let (job, step) = self.may_host(now, runner, step_key)?;
        if self.slots_left(runner, step_key, step) == 0 {
            return None;
        }
        let run = self.next_run_number(now, job, step, task, runner, trust)?;
        Some(RunStart { task, run, incarnation: runner.key })
    }

    /// Handles a report of a runner whose runs were given up. Once the runner has reported for
    /// the duration of a lease, its losses do not count as crashes. A single report may have
    /// been sent before a crash.
    pub(in crate::jobs) fn note_report_after_loss(&mut self, now: Now, key: IncarnationKey) {
        if !self.state.losses().is_unconfirmed(key) {
            return;
        }
        let since = *self.suspects.reporting.entry(key).or_insert(now.at);
        if now.at.since(since) > lease_expiry_bound(self.cfg.lease) {
            log::info!("{key} reports again: its losses are no crash");
            // Restarts the wait, so that the command is proposed again only if this one is lost.
            self.suspects.reporting.insert(key, now.at);
            self.propose(JobCommand::Alive(key), OnCommit::Nothing);
        }
    }

    /// Handles the commit of the command which removes the losses of an incarnation that reports
    /// again.
    pub(in crate::jobs) fn clear_report_after_loss(&mut self, key: IncarnationKey) {
        self.suspects.reporting.remove(&key);
    }

    /// Logs the verdict on tasks that lost runners in `unconfirmed_before`, if the fate of these
    /// runners is known now.
    pub(in crate::jobs) fn log_resolved_losses(
        &self,
        now: Now,
        unconfirmed_before: &BTreeSet<IncarnationKey>,
    ) {
        if unconfirmed_before.is_empty() {
            return;
        }
        let losses = self.state.losses();
        let still_unconfirmed = losses.unconfirmed_incarnations();
        let resolved = |loss: &Loss| {
            unconfirmed_before.contains(&loss.incarnation)
                && !still_unconfirmed.contains(&loss.incarnation)
        };
        for (task, _) in losses.tasks().filter(|(_, own)| own.iter().any(resolved)) {
            self.log_suspicion(now, task);
        }
    }

    /// Logs the verdict on a task that has lost runners.
    pub(in crate::jobs) fn log_suspicion(&self, now: Now, task: TaskKey) {
        let losses = self.state.losses();
        let own = losses.of(task);
        if own.is_empty() {
            return;
        }
        let crashed = own.iter().filter(|loss| loss.fate == RunnerFate::Crashed).count();
        let at_start = own.iter().filter(|loss| loss.evidence == LossEvidence::Ordered).count();
        let verdict = match (self.state.exceeds_loss_limit(task), self.crash_suspicion(now, task)) {
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
