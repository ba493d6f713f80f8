//! A job and its state.

use super::command::{JobSubmission, RunEnd, RunOutcome, RunStart};
use super::memory;
use super::spec::JobSpec;
use super::task::{JobId, RunAssignment, Task, TaskKey};
use super::tasks::Tasks;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Maximum number of runs of one speculative task that may be active at once.
pub const COPIES_MAX: usize = 2;

/// The phase of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    /// The job has tasks that are waiting, running or not yet due.
    #[default]
    Active,
    /// All tasks of the job are done.
    Completed,
    /// A task of the job failed, or lost runners, too often.
    Failed,
    /// The job's caller cancelled it.
    Cancelled,
}

/// A job and its state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Name of the job's queue; follows the queue when a change set renames it.
    pub queue: Box<str>,
    /// The queue's pool at submission.
    pub pool: Box<str>,
    /// Number of failed runs of one task at which the job fails.
    pub attempts: u32,
    /// Time of the submission, in Unix milliseconds.
    pub at_ms: u64,
    /// The steps to run.
    pub spec: JobSpec,
    /// The job's phase.
    pub phase: JobPhase,
    /// Time at which the job ended, in Unix milliseconds; 0 while it is active.
    pub ended_ms: u64,
    /// Whether any task of the job was ever started.
    pub begun: bool,
    /// Occurrences that were opened, from the first on.
    pub occurrences: Vec<Occurrence>,
    /// Number of occurrences that are done.
    pub finished: u32,
    /// Opened occurrences with tasks that are not done or runs that may be running.
    #[serde(skip)]
    unfinished: BTreeSet<u32>,
    /// Estimate of the memory that the job takes, in bytes.
    #[serde(skip)]
    memory: u64,
}

/// One of the times that a job runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Occurrence {
    /// The steps, in the order of the job's specification.
    pub steps: Vec<Step>,
}

/// The tasks of one step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks that are not done.
    pub left: u32,
    /// The tasks.
    pub tasks: Tasks,
}

impl Step {
    /// Whether all tasks of a gang's step are assigned under one run.
    pub fn runs_whole(&self, run: u32) -> bool {
        let first = self.tasks.get(0).into_iter().flat_map(|task| &task.assignments);
        // The members start together under one number, and none has a copy.
        self.tasks.assigned_len() == self.tasks.len()
            && first.into_iter().any(|first| first.run == run)
    }
}

impl Occurrence {
    /// Whether all tasks are done and no run may be running.
    fn has_ended(&self) -> bool {
        self.steps.iter().all(|step| step.left == 0 && step.tasks.assigned_len() == 0)
    }
}

impl Job {
    /// A job that has not begun; none of its occurrences is open.
    pub(super) fn new(submission: JobSubmission) -> Self {
        let JobSubmission { id: _, queue, pool, attempts, at_ms, spec } = submission;
        let mut job = Self {
            queue,
            pool,
            attempts: attempts.max(1),
            at_ms,
            spec,
            phase: JobPhase::Active,
            ended_ms: 0,
            begun: false,
            occurrences: Vec::new(),
            finished: 0,
            unfinished: BTreeSet::new(),
            memory: 0,
        };
        job.memory = memory::of_job(&job);
        job
    }

    /// Estimate of the memory that the job takes, in bytes.
    pub fn memory(&self) -> u64 {
        self.memory
    }

    /// Opens all occurrences up to `last`: adds their steps and tasks.
    pub(super) fn open_through(&mut self, last: u32) {
        for occurrence in self.opened()..=last {
            let steps = self.spec.steps.iter();
            let steps = steps.map(|spec| Step { left: spec.count, tasks: Tasks::new(spec.count) });
            let opened = Occurrence { steps: steps.collect() };
            self.memory += memory::of_occurrence(&opened);
            self.occurrences.push(opened);
            self.unfinished.insert(occurrence);
        }
    }

    /// Number of occurrences that were opened, from the first on.
    pub fn opened(&self) -> u32 {
        u32::try_from(self.occurrences.len()).unwrap_or(u32::MAX)
    }

    /// The opened occurrences with tasks that are not done or runs that may be running, by their
    /// numbers.
    pub fn unfinished(&self) -> impl Iterator<Item = (u32, &Occurrence)> {
        self.unfinished.iter().filter_map(|k| Some((*k, self.occurrences.get(*k as usize)?)))
    }

    /// The runs that may be running, by their tasks.
    pub fn assignments(&self, id: JobId) -> impl Iterator<Item = (TaskKey, RunAssignment)> {
        let steps = self.unfinished().flat_map(|(occurrence, found)| {
            (0_u16..).zip(&found.steps).map(move |(step, found)| (occurrence, step, found))
        });
        steps.flat_map(move |(occurrence, step, found)| {
            found.tasks.assigned().flat_map(move |(index, task)| {
                let key = TaskKey { job: id, occurrence, step, index };
                task.assignments.iter().map(move |assignment| (key, *assignment))
            })
        })
    }

    /// Rebuilds what is not written to snapshots.
    pub(super) fn reindex(&mut self) {
        self.memory = memory::of_job(self);
        let unfinished = (0..).zip(&self.occurrences).filter(|(_, found)| !found.has_ended());
        self.unfinished = unfinished.map(|(k, _)| k).collect();
    }

    fn close_if_ended(&mut self, occurrence: u32) {
        if self.occurrences.get(occurrence as usize).is_some_and(Occurrence::has_ended) {
            self.unfinished.remove(&occurrence);
        }
    }

    fn step_mut(&mut self, key: TaskKey) -> Option<&mut Step> {
        let occurrence = self.occurrences.get_mut(key.occurrence as usize)?;
        occurrence.steps.get_mut(usize::from(key.step))
    }

    /// Changes a task; `None` if it does not exist.
    fn update_task<F, T>(&mut self, key: TaskKey, f: F) -> Option<T>
    where
        F: FnOnce(&mut Task) -> T,
    {
        let tasks = &mut self.step_mut(key)?.tasks;
        let before = tasks.memory();
        let result = tasks.update(key.index, f)?;
        let after = tasks.memory();
        self.memory = self.memory - before + after;
        Some(result)
    }

    /// The tasks of a step, if its occurrence was opened.
    pub fn step(&self, occurrence: u32, step: u16) -> Option<&Step> {
        self.occurrences.get(occurrence as usize)?.steps.get(usize::from(step))
    }

    /// Whether all steps that `step` depends on are done.
    ///
    /// ```
    /// use yuccalink_state::jobs::*;
    /// let one = StepSpec { count: 1, ..StepSpec::default() };
    /// let two = StepSpec { count: 1, depends_on: vec![0], ..StepSpec::default() };
    /// let spec = JobSpec { steps: vec![one, two], ..JobSpec::default() };
    /// let submission = JobSubmission {
    ///     id: JobId(1), queue: "q".into(), pool: "p".into(), attempts: 2, at_ms: 0, spec,
    /// };
    /// let mut jobs = CellState::new();
    /// jobs.apply(JobCommand::Submit(Box::new(submission)));
    /// let job = jobs.job(JobId(1)).unwrap();
    /// assert!(job.may_run(0, 0) && !job.may_run(0, 1));
    /// ```
    pub fn may_run(&self, occurrence: u32, step: u16) -> bool {
        let Some(spec) = self.spec.steps.get(usize::from(step)) else { return false };
        let Some(found) = self.occurrences.get(occurrence as usize) else {
            return spec.depends_on.is_empty();
        };
        let done = |step: &u16| found.steps.get(usize::from(*step)).is_some_and(|s| s.left == 0);
        spec.depends_on.iter().all(done)
    }

    /// Sums the failures of all tasks of a step, because a gang fails as a whole.
    fn failures_of_step(&self, key: TaskKey) -> u32 {
        let step = self.step(key.occurrence, key.step);
        step.into_iter().flat_map(|step| step.tasks.begun()).map(|(_, task)| task.failures).sum()
    }

    /// Gives all members of a gang the checkpoint of the first member that has one, because
    /// they must resume from the same checkpoint.
    fn share_checkpoint(&mut self, key: TaskKey) {
        let Some(step) = self.step(key.occurrence, key.step) else { return };
        if step.tasks.assigned_len() > 0 {
            // The first member to start has shared it.
            return;
        }
        let len = step.tasks.len();
        let checkpoint = step.tasks.begun().find(|(_, task)| !task.checkpoint.is_empty());
        let Some(checkpoint) = checkpoint.map(|(_, task)| task.checkpoint.clone()) else { return };
        for index in (0..len).filter_map(|index| u16::try_from(index).ok()) {
            let member = TaskKey { index, ..key };
            self.update_task(member, |task| task.checkpoint.clone_from(&checkpoint));
        }
    }

    fn mark_done(&mut self, key: TaskKey, gang: bool, at_ms: u64) {
        let Some(step) = self.step(key.occurrence, key.step) else { return };
        if step.tasks.get(key.index).is_none_or(|task| task.done) {
            // The end of another copy, or of another member of its gang, came first.
            return;
        }
        // When one member of a gang is done, the whole gang is done.
        let members = if gang { 0..step.tasks.len() } else { 0..0 };
        let members = members.filter_map(|index| u16::try_from(index).ok());
        for index in members.chain([key.index]) {
            let newly_done = self.update_task(TaskKey { index, ..key }, |task| {
                !std::mem::replace(&mut task.done, true)
            });
            if newly_done == Some(true)
                && let Some(step) = self.step_mut(key)
            {
                step.left -= 1;
            }
        }
        let occurrence = self.occurrences.get(key.occurrence as usize);
        if occurrence.is_some_and(|found| found.steps.iter().all(|step| step.left == 0)) {
            self.finished += 1;
            if self.finished == self.spec.occurrences() {
                self.finish(JobPhase::Completed, at_ms);
            }
        }
    }

    /// Assigns a run of a task to a runner incarnation; false if it must not start.
    pub(super) fn start(&mut self, start: RunStart) -> bool {
        let RunStart { task: key, run, incarnation } = start;
        if self.phase != JobPhase::Active || key.occurrence >= self.spec.occurrences() {
            return false;
        }
        self.open_through(key.occurrence);
        if !self.may_run(key.occurrence, key.step) {
            return false;
        }
        let spec = self.spec.steps.get(usize::from(key.step));
        let (speculative, gang) = spec.map_or((false, false), |s| (s.speculative, s.gang));
        let long_running = spec.is_some_and(|step| step.long_running);
        let copies = if speculative { COPIES_MAX } else { 1 };
        if gang {
            self.share_checkpoint(key);
        }
        let started = self.update_task(key, |task| {
            let already_here = task.assignments.iter().any(|a| a.incarnation == incarnation);
            let refused = task.done
                || run <= task.last_run
                || task.assignments.len() >= copies
                || already_here;
            if !refused {
                task.last_run = run;
                if !long_running {
                    task.record_retry(incarnation, run);
                }
                task.assignments.reserve_exact(1);
                task.assignments.push(RunAssignment { run, incarnation });
            }
            !refused
        });
        let started = started.unwrap_or(false);
        self.begun |= started;
        started
    }

    /// Ends a run; false if it was not assigned.
    pub(super) fn end(&mut self, end: &RunEnd, at_ms: u64) -> bool {
        let Some(spec) = self.spec.steps.get(usize::from(end.task.step)) else { return false };
        let (long_running, gang) = (spec.long_running, spec.gang);
        let ended = RunAssignment { run: end.run, incarnation: end.incarnation };
        let failures = self.update_task(end.task, |task| {
            let at = task.assignments.iter().position(|assignment| *assignment == ended)?;
            task.assignments.swap_remove(at);
            if !end.checkpoint.is_empty() {
                task.checkpoint = end.checkpoint.clone();
            }
            if end.outcome == RunOutcome::Failed {
                task.record_failure(end.incarnation, end.run);
            }
            Some(task.failures)
        });
        let Some(failures) = failures.flatten() else { return false };
        let failures = if gang { self.failures_of_step(end.task) } else { failures };
        let failed = end.outcome == RunOutcome::Failed && failures >= self.attempts;
        self.close_if_ended(end.task.occurrence);
        if self.phase != JobPhase::Active || long_running {
            return true;
        }
        if end.outcome == RunOutcome::Done {
            self.mark_done(end.task, gang, at_ms);
            self.close_if_ended(end.task.occurrence);
        } else if failed {
            self.finish(JobPhase::Failed, at_ms);
        }
        true
    }

    /// Ends the job.
    pub(super) fn finish(&mut self, phase: JobPhase, at_ms: u64) {
        self.phase = phase;
        self.ended_ms = at_ms;
    }
}
