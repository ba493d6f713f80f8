//! Chooses the waiting tasks that start on a runner that has just reported: the report is
//! then up to date, and the order is sent in the response.

use crate::jobs::capacity::saturating_sub;
use crate::jobs::colocation::Colocation;
use crate::jobs::leader::{Leader, Now};
use crate::jobs::ready::{StepInfo, StepKey, WaitingStep};
use crate::jobs::runner::{Runner, Trust};
use crate::jobs::shares::QueueKey;
use crate::jobs::suspects::CrashSuspicion;
use yuccalink_state::Resources;
use yuccalink_state::jobs::{IncarnationKey, Job, RunStart, StepSpec, TaskKey, Tasks};

/// Most starts ordered in one response, which keeps the message small.
const STARTS_MAX: usize = 64;

impl Leader {
    /// Chooses the tasks to start on a runner, in the order of the waiting steps.
    pub(in crate::jobs) fn pick(
        &mut self,
        now: Now,
        key: IncarnationKey,
        colocation: Colocation,
    ) -> Vec<RunStart> {
        let Some(runner) = self.runners.get(&key) else { return Vec::new() };
        if runner.awaited_expiry.is_some() {
            return self.pick_to_expire(now, key, colocation);
        }
        let trust = self.trust(now, runner);
        if !runner.takes_tasks() || (self.ready.is_empty() && self.stragglers.is_empty()) {
            return Vec::new();
        }
        let mut chosen = Chosen {
            starts: Vec::new(),
            free: runner.free,
            starts_max: starts_allowed(trust, runner),
            colocation,
            lending: false,
            yielded: Vec::new(),
        };
        if self.trial_on(now, runner).is_some() {
            return Vec::new();
        }
        self.pick_suspect(now, key, &mut chosen);
        if !chosen.starts.is_empty() {
            return self.apply_chosen(now, key, chosen);
        }
        let Some(runner) = self.runners.get(&key) else { return Vec::new() };
        let kept_free = self.kept_free.get(&key).copied().filter(|kept| now.at < kept.until);
        let kept_for_queue = self.kept_for_queue.get(&key).map(|(queue, _)| *queue);
        let mut deferred = Vec::new();
        let long_running_first =
            chosen.colocation.serving.is_empty() && !self.ready.puts_short_first();
        for WaitingStep { step_key, step, .. } in self.offered_steps(&chosen) {
            if !chosen.free.covers(step.reserved) {
                continue;
            }
            if chosen.starts_max == 0 {
                // A long-running task may fail again without harm to its job, so it need
                // not wait when only a distrusted runner has capacity.
                if step.long_running && self.has_waited_for_runner(now, step_key) {
                    chosen.starts_max = 1;
                    self.pick_from_step(now, runner, trust, step_key, &mut chosen);
                    break;
                }
                continue;
            }
            if kept_free.is_some_and(|kept| !kept.admits(step_key, step)) {
                continue;
            }
            if kept_for_queue.is_some_and(|queue| queue != step.queue)
                && !step.long_running
                && step.reserved.millicores > 0
            {
                chosen.yielded.push((step_key, step.queue));
                continue;
            }
            if long_running_first && !self.needs_idle_runner(step) {
                deferred.push(step_key);
                continue;
            }
            if chosen.starts.len() >= chosen.starts_max {
                break;
            }
            self.pick_from_step(now, runner, trust, step_key, &mut chosen);
        }
        self.pick_from_steps(now, runner, trust, deferred, &mut chosen);
        if kept_for_queue.is_none() {
            // Capacity for which no short queue has a task is lent.
            chosen.lending = true;
            let yielded = chosen.yielded.iter().map(|(step_key, _)| *step_key).collect();
            self.pick_from_steps(now, runner, trust, yielded, &mut chosen);
        }
        self.pick_copies(runner, trust, &mut chosen);
        self.apply_chosen(now, key, chosen)
    }

    pub(in crate::jobs) fn pick_from_steps(
        &self,
        now: Now,
        runner: &Runner,
        trust: Trust,
        step_keys: Vec<StepKey>,
        chosen: &mut Chosen,
    ) {
        for step_key in step_keys {
            if chosen.starts.len() >= chosen.starts_max {
                break;
            }
            self.pick_from_step(now, runner, trust, step_key, chosen);
        }
    }

    pub(in crate::jobs) fn apply_chosen(
        &mut self,
        now: Now,
        key: IncarnationKey,
        chosen: Chosen,
    ) -> Vec<RunStart> {
        let Chosen { starts, free, colocation, yielded, .. } = chosen;
        self.record_starts(now, &starts);
        for (step_key, queue) in yielded {
            if starts.iter().all(|start| StepKey::of(start.task) != step_key) {
                self.shares.note_deferred(queue);
            }
        }
        let steps = starts.iter().filter_map(|start| self.ready.step_of(start.task));
        let long_running = steps.filter(|step| step.long_running);
        let long_running_millicores: u64 = long_running.map(|step| step.reserved.millicores).sum();
        if let Some(runner) = self.runners.get_mut(&key) {
            runner.free = free;
            runner.long_running_millicores += long_running_millicores;
            runner.serving_image = colocation.only_serving();
        }
        starts
    }

    /// Returns the waiting steps in the order for a runner, or none if no task would fit.
    fn offered_steps(&self, chosen: &Chosen) -> Vec<WaitingStep<'_>> {
        let fits = |waiting: WaitingStep<'_>| chosen.free.covers(waiting.step.reserved);
        match self.considered_steps().any(fits) {
            true => self.offer_order(&chosen.colocation),
            false => Vec::new(),
        }
    }

    /// Returns what may be started on a runner, given how its runs have ended.
    pub(in crate::jobs) fn trust(&self, now: Now, runner: &Runner) -> Trust {
        runner.health.trust(now.at, &self.cfg.policy.distrust)
    }

    /// Adds the CPU of starts to the use of their queues.
    pub(in crate::jobs) fn record_starts(&mut self, now: Now, starts: &[RunStart]) {
        for start in starts {
            let step = self.ready.step_of(start.task).filter(|step| !step.long_running);
            if let Some(step) = step {
                self.shares.started(now.at, step.queue, step.used_millicores());
            }
        }
    }

    /// Returns whether a step's next task waits for the tasks of queues that are short.
    fn must_yield(&self, step: &StepInfo, chosen: &Chosen) -> bool {
        if step.long_running || chosen.lending || !self.shares.is_active() {
            return false;
        }
        let same_queue = |start: &RunStart| {
            let chosen = self.ready.step_of(start.task);
            chosen.filter(|chosen| chosen.queue == step.queue && !chosen.long_running)
        };
        let chosen = chosen.starts.iter().filter_map(same_queue);
        self.shares.must_yield(step.queue, chosen.map(StepInfo::used_millicores).sum())
    }

    fn pick_from_step(
        &self,
        now: Now,
        runner: &Runner,
        trust: Trust,
        step_key: StepKey,
        chosen: &mut Chosen,
    ) {
        let Some(info) = self.ready.step(step_key.job, step_key.step) else { return };
        if !chosen.free.covers(info.reserved) || !self.is_compatible(now, step_key, info, chosen) {
            return;
        }
        let Some((job, step)) = self.may_host(now, runner, step_key) else { return };
        if self.is_only_attempt_at_risk(now, job, step, step_key, trust) {
            return;
        }
        let mut slots_left = self.slots_left(runner, step_key, step);
        if info.long_running && self.ready.is_scarce() {
            // The next task goes to the job with the smallest share at the next ranking.
            slots_left = slots_left.min(1);
        }
        let unopened = Tasks::new(step.count);
        let opened = job.step(step_key.occurrence, step_key.step);
        for index in opened.map_or(&unopened, |step| &step.tasks).waiting() {
            if chosen.starts.len() >= chosen.starts_max || slots_left == 0 {
                return;
            }
            let (occurrence, step_at) = (step_key.occurrence, step_key.step);
            let task = TaskKey { job: step_key.job, occurrence, step: step_at, index };
            if self.must_yield(info, chosen) {
                chosen.yielded.push((step_key, info.queue));
                return;
            }
            let Some(run) = self.next_run_unless_suspect(now, job, step, task, runner, trust)
            else {
                continue;
            };
            if !chosen.free.covers(info.reserved)
                || !self.is_compatible(now, step_key, info, chosen)
            {
                return;
            }
            chosen.free = saturating_sub(chosen.free, info.reserved);
            let margins = self.serving_margins(&runner.pool);
            chosen.colocation.started(now.at, info, margins, step_key);
            chosen.starts.push(RunStart { task, run, incarnation: runner.key });
            slots_left -= 1;
        }
    }

    /// Returns a step and its job if the step's tasks may run on a runner at all.
    pub(in crate::jobs) fn may_host(
        &self,
        now: Now,
        runner: &Runner,
        step_key: StepKey,
    ) -> Option<(&Job, &StepSpec)> {
        let job = self.state.job(step_key.job)?;
        let step = job.spec.steps.get(usize::from(step_key.step))?;
        let allowed = self.pool_of(job) == &*runner.pool
            && label_fits(step, runner)
            && !step.gang
            && self.ticket_fits(now, step_key, runner)
            && self.rack_fits(now.at, job, step, step_key, runner);
        allowed.then_some((job, step))
    }

    /// Returns how many more tasks of a step may be assigned to a runner.
    pub(in crate::jobs) fn slots_left(
        &self,
        runner: &Runner,
        step_key: StepKey,
        step: &StepSpec,
    ) -> u32 {
        match step.per_runner_max {
            0 => step.count,
            most => most.saturating_sub(self.task_count_on(runner.key, step_key)),
        }
    }

    /// Returns the number of a task's next run if the task may run on a runner and is not a
    /// suspect, so that it may start beside other tasks.
    pub(in crate::jobs) fn next_run_unless_suspect(
        &self,
        now: Now,
        job: &Job,
        step: &StepSpec,
        task: TaskKey,
        runner: &Runner,
        trust: Trust,
    ) -> Option<u32> {
        let run = self.next_run_number(now, job, step, task, runner, trust)?;
        (self.crash_suspicion(now, task) == CrashSuspicion::Clear).then_some(run)
    }

    /// Returns the number of a task's next run if the task may run on a runner at all.
    pub(in crate::jobs) fn next_run_number(
        &self,
        now: Now,
        job: &Job,
        step: &StepSpec,
        task: TaskKey,
        runner: &Runner,
        trust: Trust,
    ) -> Option<u32> {
        if self.starting.contains(task) {
            return None;
        }
        // Tasks of an occurrence that has not begun have no state yet.
        let Some(state) = self.state.task(task) else { return Some(1) };
        if state.done || !state.assignments.is_empty() {
            return None;
        }
        let may_run = step.long_running || self.may_retry_on(now, job, task, state, runner, trust);
        may_run.then_some(state.last_run + 1)
    }

    /// Returns the pool that currently runs a job's tasks.
    pub(in crate::jobs) fn pool_of<'a>(&'a self, job: &'a Job) -> &'a str {
        let queue = self.routes.queue(&job.queue);
        queue.map_or(&*job.pool, |queue| &*queue.pool)
    }

    pub(in crate::jobs) fn ticket_fits(
        &self,
        now: Now,
        step_key: StepKey,
        runner: &Runner,
    ) -> bool {
        !self.needs_ticket(step_key) || self.advice.ticket(step_key, runner.key, now.at).is_some()
    }

    pub(in crate::jobs) fn task_count_on(
        &self,
        incarnation: IncarnationKey,
        step_key: StepKey,
    ) -> u32 {
        let assigned = self.state.assigned_runs(incarnation);
        let assigned = assigned.filter(|(task, _)| StepKey::of(*task) == step_key).count();
        let starting = self.starting.count_of_step(incarnation, step_key);
        u32::try_from(assigned + starting).unwrap_or(u32::MAX)
    }
}

/// Tasks to start in the response to a report, and the capacity left after them.
pub(in crate::jobs) struct Chosen {
    pub(in crate::jobs) starts: Vec<RunStart>,
    pub(in crate::jobs) free: Resources,
    pub(in crate::jobs) starts_max: usize,
    pub(in crate::jobs) colocation: Colocation,
    /// Whether tasks of queues that have their share are chosen as well.
    pub(in crate::jobs) lending: bool,
    /// Steps that wait for the tasks of queues that are short.
    pub(in crate::jobs) yielded: Vec<(StepKey, QueueKey)>,
}

/// Returns how many tasks may be started at once; a distrusted runner that is being
/// probed gets one at a time.
pub(in crate::jobs) fn starts_allowed(trust: Trust, runner: &Runner) -> usize {
    match trust {
        Trust::Full | Trust::RetryableOnly => STARTS_MAX,
        Trust::Probe if runner.running.is_empty() => 1,
        Trust::Probe | Trust::None => 0,
    }
}

pub(in crate::jobs) fn label_fits(step: &StepSpec, runner: &Runner) -> bool {
    step.required_label.as_ref().is_none_or(|label| runner.has_label(label))
}
