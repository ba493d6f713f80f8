//! Estimates of the memory that jobs take, in bytes: that of their state, and that of the leader's
//! index of it. They err on the high side, and depend on the state alone, so that all replicas
//! find the same.

use super::job::{Job, Occurrence};
use super::spec::{JobSpec, StepSpec};
use super::task::Task;
use std::collections::BTreeMap;

/// A job without its payload, steps and tasks.
const JOB_BYTES: u64 = 1_300;
/// The specification of a step without its texts and lists, and what the leader derives from it.
const STEP_SPEC_BYTES: u64 = 400;
/// An occurrence without its steps.
const OCCURRENCE_BYTES: u64 = 128;
/// A step of an opened occurrence, and its entry among the waiting steps.
const STEP_BYTES: u64 = 450;
/// A task that has begun, its run and the leader's view of it.
const TASK_BYTES: u64 = 350;
/// The record of a task that returned to a runner on which it had failed.
const RETRIED_BYTES: u64 = 64;
/// What an allocation takes beyond its content.
const ALLOCATION_BYTES: u64 = 16;

/// Estimate of the memory that the jobs of a cell take, in bytes, with that of each queue.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemoryUse {
    total: u64,
    by_queue: BTreeMap<Box<str>, u64>,
}

impl MemoryUse {
    /// Memory of all jobs.
    ///
    /// ```
    /// use yuccalink_state::jobs::MemoryUse;
    /// assert_eq!((MemoryUse::default().total(), MemoryUse::default().of_queue("q")), (0, 0));
    /// ```
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Memory of the jobs of one queue.
    pub fn of_queue(&self, queue: &str) -> u64 {
        self.by_queue.get(queue).copied().unwrap_or(0)
    }

    /// Memory of the jobs of each queue that has any.
    pub fn queues(&self) -> impl Iterator<Item = (&str, u64)> {
        self.by_queue.iter().map(|(queue, bytes)| (&**queue, *bytes))
    }

    /// Replaces the memory of one job of a queue; 0 stands for no job.
    pub fn replace(&mut self, queue: &str, before: u64, after: u64) {
        if before == after {
            return;
        }
        self.total = (self.total + after).saturating_sub(before);
        let of_queue = (self.of_queue(queue) + after).saturating_sub(before);
        match self.by_queue.get_mut(queue) {
            _ if of_queue == 0 => drop(self.by_queue.remove(queue)),
            Some(bytes) => *bytes = of_queue,
            None => drop(self.by_queue.insert(queue.into(), of_queue)),
        }
    }
}

impl JobSpec {
    /// Estimate of the memory that a job takes before any of its tasks begins, in bytes.
    ///
    /// ```
    /// use yuccalink_state::jobs::{JobSpec, StepSpec};
    /// let declares = |count| JobSpec {
    ///     steps: vec![StepSpec { count, ..StepSpec::default() }],
    ///     ..JobSpec::default()
    /// };
    /// assert_eq!(declares(1).memory(), declares(4_096).memory());
    /// ```
    pub fn memory(&self) -> u64 {
        of_spec(self) + OCCURRENCE_BYTES + self.steps.len() as u64 * STEP_BYTES
    }
}

pub(super) fn of_job(job: &Job) -> u64 {
    let occurrences = job.occurrences.iter().map(of_occurrence).sum::<u64>();
    of_spec(&job.spec) + occurrences
}

pub(super) fn of_occurrence(occurrence: &Occurrence) -> u64 {
    let tasks = occurrence.steps.iter().map(|step| step.tasks.memory());
    OCCURRENCE_BYTES + occurrence.steps.len() as u64 * STEP_BYTES + tasks.sum::<u64>()
}

pub(super) fn of_task(task: &Task) -> u64 {
    let failed_on = size_of_val(task.failed_on.as_slice()) as u64;
    let retries = task
        .retries
        .iter()
        .map(|retried| RETRIED_BYTES + size_of_val(retried.failed_runs.as_slice()) as u64);
    TASK_BYTES + of_text(&task.checkpoint) + failed_on + retries.sum::<u64>()
}

fn of_spec(spec: &JobSpec) -> u64 {
    let steps = spec.steps.iter().map(of_step_spec).sum::<u64>();
    JOB_BYTES + of_text(&spec.payload) + steps
}

fn of_step_spec(step: &StepSpec) -> u64 {
    let texts = [&step.required_label, &step.data_rack, &step.image];
    let texts = texts.into_iter().flatten().map(|text| of_text(text)).sum::<u64>();
    STEP_SPEC_BYTES + texts + size_of_val(step.depends_on.as_slice()) as u64
}

fn of_text(text: &str) -> u64 {
    match text.len() {
        0 => 0,
        len => len as u64 + ALLOCATION_BYTES,
    }
}
