//! Invariants of every history, checked during it and at its end.

use super::*;

impl World {
    /// Checks a start that the leader orders: its job was accepted, and its checkpoint, if any,
    /// is of this task or its gang.
    pub(super) fn check_start_order(&mut self, _: usize, task: TaskKey, checkpoint: &str) {
        if !self.accepted.contains(&task.job) {
            self.violations.push(format!("{task} was never submitted"));
        }
        // A checkpoint of any member is valid for the whole gang.
        let gang = self.specs[&task.job].steps[usize::from(task.step)].gang;
        let own = match gang {
            true => format!("{}.{}.{}.", task.job, task.occurrence, task.step),
            false => format!("{task}/"),
        };
        if !checkpoint.is_empty() && !checkpoint.starts_with(&own) {
            self.violations
                .push(format!("{task} resumes from the checkpoint of another task: {checkpoint}"));
        }
    }

    pub(super) fn on_ends_acknowledged(&mut self, at: usize, upto: u64) {
        let rest = self.slots[at].unacknowledged_ends.split_off(&(upto + 1));
        let acknowledged = std::mem::replace(&mut self.slots[at].unacknowledged_ends, rest);
        for (task, run, outcome) in acknowledged.into_values() {
            let history = self.histories.entry(task).or_default();
            match outcome {
                RunOutcome::Done => {
                    if let Some(completion) =
                        history.completions.iter_mut().find(|completion| completion.run == run)
                    {
                        completion.acknowledged_at = Some(self.now);
                    }
                }
                RunOutcome::Failed => history.acknowledged_failures.push(self.now),
                _ => {}
            }
        }
    }

    /// Handles ends that were reported before the lease expired and not acknowledged by then:
    /// drops the failures and moves the completions to `expired_completions`. The cell had to
    /// give up those runs without telling anyone, so these ends don't count against a
    /// later start.
    pub(super) fn on_lease_expired(&mut self, at: usize) {
        let unacknowledged_ends: Vec<(TaskKey, u32, RunOutcome)> =
            self.slots[at].unacknowledged_ends.values().copied().collect();
        self.slots[at]
            .unacknowledged_ends
            .retain(|_, (_, _, outcome)| *outcome != RunOutcome::Failed);
        for (task, run, outcome) in unacknowledged_ends {
            if outcome == RunOutcome::Done
                && let Some(history) = self.histories.get_mut(&task)
                && let Some(position) =
                    history.completions.iter().position(|completion| completion.run == run)
            {
                history.expired_completions.push(history.completions.remove(position).at);
            }
        }
    }

    pub(super) fn on_run_started(&mut self, at: usize, task: TaskKey, run: u32, when: Moment) {
        let Some(spec) = self.specs.get(&task.job).cloned() else { return };
        let step = &spec.steps[usize::from(task.step)];
        let elsewhere = self.slots.iter().enumerate().any(|(other, slot)| {
            other != at && slot.runner.as_ref().is_some_and(|runner| runner.is_running(task))
        });
        if elsewhere && !step.speculative {
            self.violations.push(format!("{task} runs on two runners"));
        }
        // A runner applies an order until one second after its report.
        let order_lifetime = Duration::from_secs(1);
        let evacuated = self.evacuated.get(zone(at));
        if evacuated.is_some_and(|since| when.since(*since) > order_lifetime) {
            self.violations.push(format!("{task} starts in the evacuated zone {}", zone(at)));
        }
        // Users accept a start this much before its time.
        const EARLY_MAX_MS: u64 = 250;
        let due = spec.schedule.map_or(0, |schedule| {
            schedule.first_ms + u64::from(task.occurrence) * schedule.interval_ms
        });
        if due > self.unix_ms() + EARLY_MAX_MS && self.leader_clock_error_ms == 0 {
            self.violations.push(format!("{task} starts before its time"));
        }
        let history = self.histories.entry(task).or_default();
        if !history.runs.insert(run) {
            self.violations.push(format!("{task} run {run} starts twice"));
        }
        history.starts.push((when, run));
        if let Some(third) = history.crashes.get(2)
            && history.starts.iter().filter(|(at, _)| at > third).count() >= 3
        {
            self.violations.push(format!("{task} starts three more times after three crashes"));
        }
        // A copy may be ordered while the other run ends; a runner drops an order that is older
        // than one second.
        let grace = if step.speculative { Duration::from_secs(1) } else { Duration::ZERO };
        let known = |acknowledged: Moment| when.since(acknowledged) >= grace;
        let failures = history
            .acknowledged_failures
            .iter()
            .filter(|acknowledged| known(**acknowledged))
            .count();
        if failures >= ATTEMPTS as usize && !step.long_running {
            self.violations.push(format!("{task} starts after {ATTEMPTS} failures"));
        }
        if history.completions.iter().filter_map(|completion| completion.acknowledged_at).any(known)
        {
            self.violations.push(format!("{task} starts after its end was acknowledged"));
        }
        for required in &step.depends_on {
            let count = spec.steps[usize::from(*required)].count;
            for index in 0..count {
                let index = u16::try_from(index).unwrap_or(u16::MAX);
                let key = TaskKey { step: *required, index, ..task };
                if !self.is_done(&spec, key) {
                    self.violations.push(format!("{task} starts before {key} is done"));
                }
            }
        }
        let per_runner = usize::try_from(step.per_runner_max).unwrap_or(0);
        if per_runner > 0 {
            let here = self.slots[at].runner.as_ref().map_or(0, |runner| {
                let step_of = |key: &TaskKey| (key.job, key.occurrence, key.step);
                let same = |key: &TaskKey| step_of(key) == step_of(&task);
                runner.running().filter(same).count()
            });
            if here > per_runner {
                self.violations.push(format!("{here} tasks of the step of {task} on one runner"));
            }
        }
    }

    /// Whether a task has ever completed. The end of any member counts for its whole gang.
    pub(super) fn is_done(&self, spec: &JobSpec, key: TaskKey) -> bool {
        let ended = |key: TaskKey| self.histories.get(&key).is_some_and(TaskHistory::has_completed);
        let step = &spec.steps[usize::from(key.step)];
        let members = 0..u16::try_from(step.count).unwrap_or(u16::MAX);
        ended(key) || step.gang && members.into_iter().any(|i| ended(TaskKey { index: i, ..key }))
    }

    /// Checks the rules that can only be judged at the end of a history.
    pub fn check_final_state(&mut self) {
        for (task, history) in &self.histories {
            // Copies may start while another run ends; see `on_run_started`.
            if self.specs[&task.job].steps[usize::from(task.step)].speculative {
                continue;
            }
            for completion in &history.completions {
                let again = history.starts.iter().any(|(at, _)| *at > completion.at);
                if completion.acknowledged_at.is_some() && again {
                    self.violations
                        .push(format!("{task} starts after an end that was acknowledged later"));
                }
            }
        }
    }

    /// Reports committed jobs that are completed although a task is not done.
    pub fn check_completed(&mut self) {
        let mut violations = Vec::new();
        for (id, job) in self.committed.all() {
            if job.phase != yuccalink_state::jobs::JobPhase::Completed {
                continue;
            }
            let occurrences = 0..job.spec.occurrences();
            for (occurrence, (s, step)) in
                occurrences.flat_map(|k| job.spec.steps.iter().enumerate().map(move |s| (k, s)))
            {
                for index in 0..step.count {
                    let key = TaskKey {
                        job: id,
                        occurrence,
                        step: u16::try_from(s).unwrap_or(u16::MAX),
                        index: u16::try_from(index).unwrap_or(u16::MAX),
                    };
                    if !self.is_done(&job.spec, key) {
                        violations.push(format!("{id} is completed but {key} is not done"));
                    }
                }
            }
        }
        self.violations.extend(violations);
    }

    /// Reports jobs that failed although none of their tasks or gangs failed `ATTEMPTS` times and
    /// none of their tasks lost two runners.
    pub fn check_failed(&mut self) {
        let mut violations = Vec::new();
        for (id, job) in self.committed.all() {
            if job.phase != yuccalink_state::jobs::JobPhase::Failed {
                continue;
            }
            let occurrences = job.occurrences.iter();
            let mut steps =
                occurrences.flat_map(|occurrence| occurrence.steps.iter().zip(&job.spec.steps));
            let failed = steps.any(|(step, spec)| {
                let failures = step.tasks.iter().map(|task| task.failures);
                let task_failures =
                    if spec.gang { failures.sum() } else { failures.max().unwrap_or(0) };
                task_failures >= ATTEMPTS
            });
            let lost = |(task, history): (&TaskKey, &TaskHistory)| {
                task.job == id && history.runners_lost >= 2
            };
            if !failed && !self.histories.iter().any(lost) {
                violations.push(format!("{id} failed although no task failed often enough"));
            }
        }
        self.violations.extend(violations);
    }

    /// Checks a finished history in which `jobs` jobs were submitted, and returns all
    /// violations.
    pub fn final_violations(&mut self, jobs: u64) -> Vec<String> {
        self.check_final_state();
        self.check_completed();
        self.check_failed();
        if self.accepted.len() as u64 != jobs {
            self.violations.push(format!("{} of {jobs} jobs accepted", self.accepted.len()));
        }
        if self.active_jobs() > 0 {
            self.violations.push(format!("{} jobs never ended", self.active_jobs()));
        }
        self.violations.clone()
    }

    /// Panics if any invariant was violated.
    pub fn assert_no_violations(&mut self) {
        self.check_final_state();
        self.check_completed();
        self.check_failed();
        assert!(self.violations.is_empty(), "{:#?}", self.violations);
    }

    /// Number of active jobs: neither ended nor cancelled.
    pub fn active_jobs(&self) -> usize {
        let is_active =
            |job: &yuccalink_state::jobs::Job| job.phase == yuccalink_state::jobs::JobPhase::Active;
        self.committed.all().filter(|(_, job)| is_active(job)).count()
    }

    /// Whether a job is still active.
    pub fn is_active(&self, id: JobId) -> bool {
        self.committed.is_active(id)
    }

    /// Reports tasks of cancelled jobs that still run `grace` after the cancellation.
    pub fn check_cancelled(&mut self, grace: Duration) {
        for slot in &self.slots {
            let Some(runner) = &slot.runner else { continue };
            for task in runner.running() {
                let late = |at: &Moment| self.now.since(*at) > grace;
                if self.cancelled.get(&task.job).is_some_and(late) {
                    self.violations.push(format!("{task} runs long after its cancellation"));
                }
            }
        }
    }
}
