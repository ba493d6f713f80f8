//! Invariants of every history, checked during it and at its end.

use super::*;

impl World {
    pub(super) fn check_order(&mut self, _: usize, task: TaskKey, checkpoint: &str) {
        if !self.accepted.contains(&task.job) {
            self.broken.push(format!("{task} was never submitted"));
        }
        // A checkpoint of any member is valid for the whole gang.
        let gang = self.specs[&task.job].steps[usize::from(task.step)].gang;
        let own = match gang {
            true => format!("{}.{}.{}.", task.job, task.occurrence, task.step),
            false => format!("{task}/"),
        };
        if !checkpoint.is_empty() && !checkpoint.starts_with(&own) {
            self.broken
                .push(format!("{task} resumes from the checkpoint of another task: {checkpoint}"));
        }
    }

    pub(super) fn noted(&mut self, at: usize, upto: u64) {
        let rest = self.slots[at].listed.split_off(&(upto + 1));
        let noted = std::mem::replace(&mut self.slots[at].listed, rest);
        for (task, run, outcome) in noted.into_values() {
            let past = self.past.entry(task).or_default();
            match outcome {
                RunOutcome::Done => {
                    if let Some(done) = past.dones.iter_mut().find(|done| done.run == run) {
                        done.noted = Some(self.now);
                    }
                }
                RunOutcome::Failed => past.failures_noted.push(self.now),
                _ => {}
            }
        }
    }

    /// Removes ends that were reported before the lease expired and are acknowledged after it.
    /// The cell had to give up those runs without telling anyone, so they don't count.
    pub(super) fn lapsed(&mut self, at: usize) {
        let listed: Vec<(TaskKey, u32, RunOutcome)> =
            self.slots[at].listed.values().copied().collect();
        self.slots[at].listed.retain(|_, (_, _, outcome)| *outcome != RunOutcome::Failed);
        for (task, run, outcome) in listed {
            if outcome == RunOutcome::Done
                && let Some(past) = self.past.get_mut(&task)
                && let Some(found) = past.dones.iter().position(|done| done.run == run)
            {
                past.lapsed_dones.push(past.dones.remove(found).at);
            }
        }
    }

    pub(super) fn started(&mut self, at: usize, task: TaskKey, run: u32, when: Moment) {
        let Some(spec) = self.specs.get(&task.job).cloned() else { return };
        let step = &spec.steps[usize::from(task.step)];
        let elsewhere = self.slots.iter().enumerate().any(|(other, slot)| {
            other != at && slot.runner.as_ref().is_some_and(|runner| runner.is_running(task))
        });
        if elsewhere && !step.speculative {
            self.broken.push(format!("{task} runs on two runners"));
        }
        let past = self.past.entry(task).or_default();
        if !past.runs.insert(run) {
            self.broken.push(format!("{task} run {run} starts twice"));
        }
        past.starts.push((when, run));
        if let Some(third) = past.crashes.get(2)
            && past.starts.iter().filter(|(at, _)| at > third).count() >= 3
        {
            self.broken.push(format!("{task} starts three more times after three crashes"));
        }
        // A copy may be ordered while the other run ends; a runner drops an order that is older
        // than one second.
        let grace = if step.speculative { Duration::from_secs(1) } else { Duration::ZERO };
        let known = |noted: Moment| when.since(noted) >= grace;
        let failures = past.failures_noted.iter().filter(|noted| known(**noted)).count();
        if failures >= ATTEMPTS as usize && !step.long_running {
            self.broken.push(format!("{task} starts after {ATTEMPTS} failures"));
        }
        if past.dones.iter().filter_map(|done| done.noted).any(known) {
            self.broken.push(format!("{task} starts after its end was acknowledged"));
        }
        for before in &step.depends_on {
            let count = spec.steps[usize::from(*before)].count;
            for index in 0..count {
                let index = u16::try_from(index).unwrap_or(u16::MAX);
                let key = TaskKey { step: *before, index, ..task };
                if !self.is_done(&spec, key) {
                    self.broken.push(format!("{task} starts before {key} is done"));
                }
            }
        }
        let per_runner = usize::try_from(step.per_runner_max).unwrap_or(0);
        if per_runner > 0 {
            let here = self.slots[at].runner.as_ref().map_or(0, |runner| {
                let same = |key: &TaskKey| (key.job, key.step) == (task.job, task.step);
                runner.running().filter(same).count()
            });
            if here > per_runner {
                self.broken.push(format!("{here} tasks of the step of {task} on one runner"));
            }
        }
    }

    /// Whether a task has ever completed. The end of any member counts for its whole gang.
    pub(super) fn is_done(&self, spec: &JobSpec, key: TaskKey) -> bool {
        let ended = |key: TaskKey| self.past.get(&key).is_some_and(Past::ever_done);
        let step = &spec.steps[usize::from(key.step)];
        let members = 0..u16::try_from(step.count).unwrap_or(u16::MAX);
        ended(key) || step.gang && members.into_iter().any(|i| ended(TaskKey { index: i, ..key }))
    }

    /// Checks the rules that can only be judged at the end of a history.
    pub fn close(&mut self) {
        for (task, past) in &self.past {
            // Copies may start while another run ends; see `started`.
            if self.specs[&task.job].steps[usize::from(task.step)].speculative {
                continue;
            }
            for done in &past.dones {
                let again = past.starts.iter().any(|(at, _)| *at > done.at);
                if done.noted.is_some() && again {
                    self.broken
                        .push(format!("{task} starts after an end that was acknowledged later"));
                }
            }
        }
    }

    /// Reports committed jobs that are completed although a task is not done.
    pub fn check_completed(&mut self) {
        let mut wrong = Vec::new();
        for (id, job) in self.committed.all() {
            if job.phase != yuccalink_state::jobs::JobPhase::Completed {
                continue;
            }
            for (s, step) in job.spec.steps.iter().enumerate() {
                for index in 0..step.count {
                    let key = TaskKey {
                        job: id,
                        occurrence: 0,
                        step: u16::try_from(s).unwrap_or(u16::MAX),
                        index: u16::try_from(index).unwrap_or(u16::MAX),
                    };
                    if !self.is_done(&job.spec, key) {
                        wrong.push(format!("{id} is completed but {key} is not done"));
                    }
                }
            }
        }
        self.broken.extend(wrong);
    }

    /// Reports jobs that failed although no task failed, or lost its runner, often enough.
    pub fn check_failed(&mut self) {
        let mut wrong = Vec::new();
        for (id, job) in self.committed.all() {
            if job.phase != yuccalink_state::jobs::JobPhase::Failed {
                continue;
            }
            let steps = job.occurrences.iter().flat_map(|occurrence| &occurrence.steps);
            let failed = steps.zip(&job.spec.steps).any(|(step, spec)| {
                let failures = step.tasks.iter().map(|task| task.failures);
                let most = if spec.gang { failures.sum() } else { failures.max().unwrap_or(0) };
                most >= ATTEMPTS
            });
            let lost = |(task, past): (&TaskKey, &Past)| task.job == id && past.lost_runners >= 2;
            if !failed && !self.past.iter().any(lost) {
                wrong.push(format!("{id} failed although no task failed often enough"));
            }
        }
        self.broken.extend(wrong);
    }

    /// Checks a finished history in which `jobs` jobs were submitted, and returns all
    /// violations.
    pub fn close_all(&mut self, jobs: u64) -> Vec<String> {
        self.close();
        self.check_completed();
        self.check_failed();
        if self.accepted.len() as u64 != jobs {
            self.broken.push(format!("{} of {jobs} jobs accepted", self.accepted.len()));
        }
        if self.open_jobs() > 0 {
            self.broken.push(format!("{} jobs never ended", self.open_jobs()));
        }
        self.broken.clone()
    }

    /// Panics if any invariant was violated.
    pub fn assert_kept(&mut self) {
        self.close();
        self.check_completed();
        self.check_failed();
        assert!(self.broken.is_empty(), "{:#?}", self.broken);
    }

    /// Number of active jobs: neither ended nor cancelled.
    pub fn open_jobs(&self) -> usize {
        let open =
            |job: &yuccalink_state::jobs::Job| job.phase == yuccalink_state::jobs::JobPhase::Active;
        self.committed.all().filter(|(_, job)| open(job)).count()
    }

    /// Whether a job is still active.
    pub fn is_open(&self, id: JobId) -> bool {
        self.committed.is_active(id)
    }

    /// Reports tasks of cancelled jobs that still run `grace` after the cancellation.
    pub fn check_cancelled(&mut self, grace: Duration) {
        for slot in &self.slots {
            let Some(runner) = &slot.runner else { continue };
            for task in runner.running() {
                let late = |at: &Moment| self.now.since(*at) > grace;
                if self.cancelled.get(&task.job).is_some_and(late) {
                    self.broken.push(format!("{task} runs long after its cancellation"));
                }
            }
        }
    }
}
