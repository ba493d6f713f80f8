//! The table of jobs and runner incarnations.

use super::cancellations::Cancellations;
use super::change::ChangeSet;
use super::command::{
    JobCommand, JobOutcome, JobSubmission, PairWeight, RunEnd, RunOutcome, RunStart,
    RunnerIncarnation,
};
use super::loss::{Loss, LossEvidence, Losses, RunnerFate};
use super::settings::{ConfiguredChangeSet, QueueSettings};
use super::spec::{JobSpec, StepSpec};
use super::task::{IncarnationKey, JobId, RunAssignment, Task, TaskKey};
use super::wave::WaveState;
use crate::evacuation::Evacuations;
use crate::snapshot;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};

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
    /// The tasks, in the order of their numbers.
    pub tasks: Vec<Task>,
    /// Number of runs that may be running.
    #[serde(skip)]
    assigned: u32,
}

/// The replicated state of a job cell: its jobs, its runner incarnations, the change set in
/// force, the learnt interference of images and the maintenance waves.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CellState {
    #[serde(rename = "change")]
    change_set: Option<Box<ChangeSet>>,
    jobs: BTreeMap<JobId, Job>,
    #[serde(rename = "lives")]
    incarnations: Vec<RunnerIncarnation>,
    learnt: Vec<PairWeight>,
    waves: BTreeMap<u64, WaveState>,
    #[serde(skip)]
    assigned_runs: Vec<BTreeMap<TaskKey, u32>>,
    /// Incarnations by the name of their runner.
    #[serde(skip)]
    incarnations_by_id: HashMap<Box<str>, Vec<IncarnationKey>>,
    /// Behind the fields of earlier releases, so that their states can be read.
    #[serde(deserialize_with = "snapshot::added_field")]
    losses: Losses,
    /// Behind the losses, for the same reason.
    #[serde(deserialize_with = "snapshot::added_field")]
    evacuations: Evacuations,
    /// Behind the evacuations, for the same reason.
    #[serde(deserialize_with = "snapshot::added_field")]
    cancellations: Cancellations,
    /// The last field, for the same reason. Not written while it is empty, so that the bytes are
    /// those of earlier releases.
    #[serde(
        deserialize_with = "snapshot::added_field",
        skip_serializing_if = "BTreeMap::is_empty"
    )]
    queue_settings: BTreeMap<Box<str>, QueueSettings>,
}

impl CellState {
    /// An empty state.
    ///
    /// ```
    /// assert!(yuccalink_state::jobs::CellState::new().change_set().is_none());
    /// ```
    pub fn new() -> Self {
        Self::default()
    }

    /// The change set in force.
    pub fn change_set(&self) -> Option<&ChangeSet> {
        self.change_set.as_deref()
    }

    /// The job with this number, whatever its queue is called now.
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// Whether a job exists and has not ended.
    pub fn is_active(&self, id: JobId) -> bool {
        self.job(id).is_some_and(|job| job.phase == JobPhase::Active)
    }

    /// All jobs, in the order of their numbers.
    pub fn all(&self) -> impl Iterator<Item = (JobId, &Job)> {
        self.jobs.iter().map(|(id, job)| (*id, job))
    }

    /// The task with this key, if its occurrence was opened.
    pub fn task(&self, key: TaskKey) -> Option<&Task> {
        let step = self.jobs.get(&key.job)?.step(key.occurrence, key.step)?;
        step.tasks.get(usize::from(key.index))
    }

    /// The specification of a task's step.
    pub fn step_spec(&self, key: TaskKey) -> Option<&StepSpec> {
        self.jobs.get(&key.job)?.spec.steps.get(usize::from(key.step))
    }

    /// All runner incarnations, in the order in which they were registered.
    pub fn incarnations(&self) -> impl Iterator<Item = (IncarnationKey, &RunnerIncarnation)> {
        self.incarnations
            .iter()
            .enumerate()
            .map(|(at, incarnation)| (incarnation_key(at), incarnation))
    }

    /// The runner incarnation with this key.
    pub fn incarnation(&self, key: IncarnationKey) -> Option<&RunnerIncarnation> {
        self.incarnations.get(key.0 as usize)
    }

    /// Runs that are assigned to a runner incarnation and may still be running there.
    pub fn assigned_runs(&self, key: IncarnationKey) -> impl Iterator<Item = (TaskKey, u32)> {
        self.assigned_runs
            .get(key.0 as usize)
            .into_iter()
            .flatten()
            .map(|(task, run)| (*task, *run))
    }

    /// Runs that ended because their runner was lost.
    pub fn losses(&self) -> &Losses {
        &self.losses
    }

    /// The zones under evacuation.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Cancellations of jobs that were not active.
    pub fn cancellations(&self) -> &Cancellations {
        &self.cancellations
    }

    /// Settings by the name of their queue; queues without settings are not listed.
    pub fn queue_settings(&self) -> &BTreeMap<Box<str>, QueueSettings> {
        &self.queue_settings
    }

    /// Settings of the queue called `name`.
    ///
    /// ```
    /// use yuccalink_state::jobs::CellState;
    /// assert!(CellState::new().settings_of("q").is_empty());
    /// ```
    pub fn settings_of(&self, name: &str) -> QueueSettings {
        self.queue_settings.get(name).copied().unwrap_or_default()
    }

    /// Whether a task has lost too many runners to be started again.
    ///
    /// ```
    /// use yuccalink_state::jobs::{JobId, CellState, TaskKey};
    /// let task = TaskKey { job: JobId(1), occurrence: 0, step: 0, index: 0 };
    /// assert!(!CellState::new().exceeds_loss_limit(task));
    /// ```
    pub fn exceeds_loss_limit(&self, key: TaskKey) -> bool {
        let last_run = self.task(key).map_or(0, |task| task.last_run);
        self.losses.exceed_limit(key, last_run)
    }

    /// Whether a run is assigned to a runner incarnation and may still be running there.
    pub fn is_assigned(&self, key: IncarnationKey, task: TaskKey, run: u32) -> bool {
        self.assigned_runs.get(key.0 as usize).is_some_and(|runs| runs.get(&task) == Some(&run))
    }

    /// Applies `command` and returns its outcome.
    ///
    /// ```
    /// use yuccalink_state::jobs::{JobCommand, JobOutcome, CellState};
    /// assert_eq!(CellState::new().apply(JobCommand::Forget(vec![])), JobOutcome::Done);
    /// ```
    pub fn apply(&mut self, command: JobCommand) -> JobOutcome {
        match command {
            JobCommand::Change(change) => {
                JobOutcome::Changed(self.set_change_set(change, BTreeMap::new()))
            }
            JobCommand::ChangeWithSettings(change) => {
                let ConfiguredChangeSet { change_set, settings } = *change;
                JobOutcome::Changed(self.set_change_set(Box::new(change_set), settings))
            }
            JobCommand::Submit(job) => JobOutcome::Accepted { new: self.submit(*job) },
            JobCommand::Cancel { id, at_ms } => JobOutcome::Cancelled(self.cancel(id, at_ms)),
            JobCommand::CancelInactive { id, at_ms } => self.cancel_inactive(id, at_ms),
            JobCommand::ForgetCancellations(ids) => {
                for id in ids {
                    self.cancellations.remove(id);
                }
                JobOutcome::Done
            }
            JobCommand::Meet(incarnation) => JobOutcome::Met(self.register(incarnation)),
            JobCommand::End { ends, at_ms } => {
                for end in ends {
                    self.end(&end, at_ms);
                }
                JobOutcome::Done
            }
            JobCommand::Start(starts) => {
                JobOutcome::Started(starts.into_iter().filter(|start| self.start(*start)).collect())
            }
            JobCommand::Forget(ids) => {
                for id in ids {
                    self.forget(id);
                }
                JobOutcome::Done
            }
            JobCommand::Learn(learnt) => {
                self.learnt = learnt;
                JobOutcome::Done
            }
            JobCommand::Wave(wave) => {
                self.waves.entry(wave.id).or_insert_with(|| WaveState::new(wave));
                JobOutcome::Done
            }
            JobCommand::UpkeepBegun { wave, machine, runner } => {
                if let Some(wave) = self.waves.get_mut(&wave) {
                    wave.begin(machine, runner);
                }
                JobOutcome::Done
            }
            JobCommand::UpkeepDone { wave, machine } => {
                if let Some(wave) = self.waves.get_mut(&wave) {
                    wave.finish(machine);
                }
                JobOutcome::Done
            }
            JobCommand::Alive(incarnation) => {
                self.losses.remove_unconfirmed(incarnation);
                JobOutcome::Done
            }
            JobCommand::Tell(_) => JobOutcome::Done,
            JobCommand::Zone { order, at_ms } => {
                JobOutcome::Zone(self.evacuations.apply(&order, at_ms))
            }
        }
    }

    /// All maintenance waves, in the order of their numbers.
    pub fn waves(&self) -> impl Iterator<Item = &WaveState> {
        self.waves.values()
    }

    /// The maintenance wave with this number.
    pub fn wave(&self, id: u64) -> Option<&WaveState> {
        self.waves.get(&id)
    }

    /// The interference of pairs of images, as learnt by earlier leaders.
    pub fn learnt(&self) -> &[PairWeight] {
        &self.learnt
    }

    /// Rebuilds the indexes, which are not written to snapshots.
    pub(crate) fn reindex(&mut self) {
        self.assigned_runs = vec![BTreeMap::new(); self.incarnations.len()];
        self.incarnations_by_id.clear();
        for (at, incarnation) in self.incarnations.iter().enumerate() {
            let keys = self.incarnations_by_id.entry(incarnation.id.clone()).or_default();
            keys.push(incarnation_key(at));
        }
        for job in self.jobs.values_mut() {
            job.reindex();
        }
        for (id, job) in &self.jobs {
            for (task, assignment) in job.assignments(*id) {
                self.assigned_runs[assignment.incarnation.0 as usize].insert(task, assignment.run);
            }
        }
    }

    fn set_change_set(
        &mut self,
        change: Box<ChangeSet>,
        settings: BTreeMap<Box<str>, QueueSettings>,
    ) -> bool {
        // An equal version is a resend, or a different text that came later: the
        // first one committed stays.
        if self.change_set.as_ref().is_some_and(|current| current.version >= change.version) {
            return false;
        }
        if let Some(current) = &self.change_set {
            let renamed = change.renamed_since(current);
            let jobs = self.jobs.values_mut().filter(|_| !renamed.is_empty());
            for job in jobs {
                if let Some(name) = renamed.get(&*job.queue) {
                    job.queue = (*name).into();
                }
            }
        }
        self.change_set = Some(change);
        self.queue_settings = settings;
        true
    }

    fn submit(&mut self, submission: JobSubmission) -> bool {
        let JobSubmission { id, queue, pool, attempts, at_ms, spec } = submission;
        if self.jobs.contains_key(&id) {
            return false;
        }
        let was_cancelled = self.cancellations.remove(id);
        let mut job = Job {
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
        };
        if was_cancelled {
            job.finish(JobPhase::Cancelled, at_ms);
        } else if job.spec.schedule.is_none() {
            job.open_through(0);
        }
        self.jobs.insert(id, job);
        !was_cancelled
    }

    fn cancel(&mut self, id: JobId, at_ms: u64) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else { return false };
        if job.phase == JobPhase::Active {
            job.finish(JobPhase::Cancelled, at_ms);
            self.losses.remove_job(id);
        }
        true
    }

    fn cancel_inactive(&mut self, id: JobId, at_ms: u64) -> JobOutcome {
        let known = self.cancel(id, at_ms);
        if self.cancellations.add(id) || known {
            JobOutcome::Cancelled(known)
        } else {
            JobOutcome::TooManyCancellations
        }
    }

    fn register(&mut self, incarnation: RunnerIncarnation) -> IncarnationKey {
        let of_runner = self.incarnations_by_id.get(&incarnation.id).into_iter().flatten();
        let same = |key: &IncarnationKey| {
            let known = self.incarnation(*key);
            known.is_some_and(|known| known.started_ms == incarnation.started_ms)
        };
        if let Some(key) = of_runner.copied().find(same) {
            return key;
        }
        let crashed = self.crashed_before(&incarnation);
        for task in self.losses.mark_crashed(&crashed) {
            self.fail_if_over_loss_limit(task);
        }
        let key = incarnation_key(self.incarnations.len());
        self.incarnations_by_id.entry(incarnation.id.clone()).or_default().push(key);
        self.incarnations.push(incarnation);
        self.assigned_runs.push(BTreeMap::new());
        key
    }

    /// Lost runner incarnations that are now known to have crashed: older ones with the same
    /// name or the same address as `newer`.
    fn crashed_before(&self, newer: &RunnerIncarnation) -> BTreeSet<IncarnationKey> {
        let has_ended = |incarnation: &RunnerIncarnation| {
            incarnation.started_ms < newer.started_ms
                && (incarnation.id == newer.id || incarnation.address == newer.address)
        };
        let mut incarnations = self.losses.unconfirmed_incarnations();
        incarnations.retain(|key| self.incarnation(*key).is_some_and(has_ended));
        incarnations
    }

    /// Fails the job of a task if the task has lost too many runners.
    fn fail_if_over_loss_limit(&mut self, task: TaskKey) {
        if !self.exceeds_loss_limit(task) {
            return;
        }
        let at_ms = self.losses.of(task).last().map_or(0, |loss| loss.at_ms);
        if let Some(job) = self.jobs.get_mut(&task.job).filter(|job| job.phase == JobPhase::Active)
        {
            job.finish(JobPhase::Failed, at_ms);
        }
    }

    fn start(&mut self, start: RunStart) -> bool {
        let RunStart { task: key, run, incarnation } = start;
        if self.assigned_runs.len() <= incarnation.0 as usize {
            return false;
        }
        let Some(job) = self.jobs.get_mut(&key.job) else { return false };
        if job.phase != JobPhase::Active || key.occurrence >= job.spec.occurrences() {
            return false;
        }
        job.open_through(key.occurrence);
        if !job.may_run(key.occurrence, key.step) {
            return false;
        }
        let speculative =
            job.spec.steps.get(usize::from(key.step)).is_some_and(|step| step.speculative);
        let copies = if speculative { COPIES_MAX } else { 1 };
        if job.spec.steps.get(usize::from(key.step)).is_some_and(|step| step.gang) {
            job.share_checkpoint(key);
        }
        let Some(task) = job.task_mut(key) else { return false };
        let already_here =
            task.assignments.iter().any(|assignment| assignment.incarnation == incarnation);
        if task.done || run <= task.last_run || task.assignments.len() >= copies || already_here {
            return false;
        }
        task.last_run = run;
        task.assignments.push(RunAssignment { run, incarnation });
        job.count_assigned(key, 1);
        job.begun = true;
        self.assigned_runs[incarnation.0 as usize].insert(key, run);
        true
    }

    fn end(&mut self, end: &RunEnd, at_ms: u64) {
        let Some(job) = self.jobs.get_mut(&end.task.job) else { return };
        let Some(spec) = job.spec.steps.get(usize::from(end.task.step)) else { return };
        let (long_running, gang) = (spec.long_running, spec.gang);
        let attempts = job.attempts;
        let Some(task) = job.task_mut(end.task) else { return };
        let ended = RunAssignment { run: end.run, incarnation: end.incarnation };
        let Some(at) = task.assignments.iter().position(|assignment| *assignment == ended) else {
            return;
        };
        task.assignments.swap_remove(at);
        if !end.checkpoint.is_empty() {
            task.checkpoint = end.checkpoint.clone();
        }
        let mut failed = false;
        if end.outcome == RunOutcome::Failed {
            task.failures += 1;
            if !task.failed_on.contains(&end.incarnation) {
                task.failed_on.push(end.incarnation);
            }
            let failures = if gang { job.failures_of_step(end.task) } else { task.failures };
            failed = !long_running && failures >= attempts;
        }
        if let Some(runs) = self.assigned_runs.get_mut(end.incarnation.0 as usize) {
            runs.remove(&end.task);
        }
        job.count_assigned(end.task, -1);
        if job.phase != JobPhase::Active {
            return;
        }
        if end.outcome == RunOutcome::Done && !long_running {
            job.mark_done(end.task, gang, at_ms);
            job.close_if_ended(end.task.occurrence);
            self.losses.remove(end.task);
        } else if failed {
            job.finish(JobPhase::Failed, at_ms);
        }
        if let Some(loss) = loss_of(end, at_ms) {
            self.losses.add(end.task, loss);
        }
        self.fail_if_over_loss_limit(end.task);
    }

    fn forget(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.phase != JobPhase::Active && job.assignments(id).next().is_none() {
            self.jobs.remove(&id);
            self.losses.remove_job(id);
        }
    }

    /// Up to `limit` jobs that ended before `before_ms`. [`JobCommand::Forget`] removes those
    /// without runs that may still be running.
    pub fn forgettable(&self, before_ms: u64, limit: usize) -> Vec<JobId> {
        let old = |job: &Job| job.phase != JobPhase::Active && job.ended_ms < before_ms;
        self.jobs.iter().filter(|(_, job)| old(job)).map(|(id, _)| *id).take(limit).collect()
    }

    /// Runner incarnations with runs that may still be running.
    pub fn incarnations_with_runs(&self) -> impl Iterator<Item = IncarnationKey> {
        let with_runs = |(at, runs): (usize, &BTreeMap<TaskKey, u32>)| {
            (!runs.is_empty()).then(|| incarnation_key(at))
        };
        self.assigned_runs.iter().enumerate().filter_map(with_runs)
    }
}

impl Step {
    /// Whether all tasks of a gang's step are assigned under one run.
    pub fn runs_whole(&self, run: u32) -> bool {
        let first = self.tasks.first().into_iter().flat_map(|task| &task.assignments);
        // The members start together under one number, and none has a copy.
        self.assigned == count_u32(&self.tasks) && first.into_iter().any(|first| first.run == run)
    }
}

impl Occurrence {
    /// Whether all tasks are done and no run may be running.
    fn has_ended(&self) -> bool {
        self.steps.iter().all(|step| step.left == 0 && step.assigned == 0)
    }
}

impl Job {
    /// Opens all occurrences up to `last`: adds their steps and tasks.
    fn open_through(&mut self, last: u32) {
        for occurrence in self.opened()..=last {
            let steps = self.spec.steps.iter().map(|spec| Step {
                left: spec.count,
                tasks: vec![Task::default(); spec.count as usize],
                assigned: 0,
            });
            self.occurrences.push(Occurrence { steps: steps.collect() });
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
        let assigned = steps.filter(|(_, _, step)| step.assigned > 0);
        assigned.flat_map(move |(occurrence, step, found)| {
            (0_u16..).zip(&found.tasks).flat_map(move |(index, task)| {
                let key = TaskKey { job: id, occurrence, step, index };
                task.assignments.iter().map(move |assignment| (key, *assignment))
            })
        })
    }

    fn reindex(&mut self) {
        for step in self.occurrences.iter_mut().flat_map(|occurrence| &mut occurrence.steps) {
            step.assigned = step.tasks.iter().map(|task| count_u32(&task.assignments)).sum();
        }
        let unfinished = (0..).zip(&self.occurrences).filter(|(_, found)| !found.has_ended());
        self.unfinished = unfinished.map(|(k, _)| k).collect();
    }

    /// Counts a run of a task that was assigned or has ended.
    fn count_assigned(&mut self, key: TaskKey, change: i32) {
        let occurrence = self.occurrences.get_mut(key.occurrence as usize);
        let step = occurrence.and_then(|found| found.steps.get_mut(usize::from(key.step)));
        if let Some(step) = step {
            step.assigned = step.assigned.saturating_add_signed(change);
        }
        self.close_if_ended(key.occurrence);
    }

    fn close_if_ended(&mut self, occurrence: u32) {
        if self.occurrences.get(occurrence as usize).is_some_and(Occurrence::has_ended) {
            self.unfinished.remove(&occurrence);
        }
    }

    fn task_mut(&mut self, key: TaskKey) -> Option<&mut Task> {
        let occurrence = self.occurrences.get_mut(key.occurrence as usize)?;
        occurrence.steps.get_mut(usize::from(key.step))?.tasks.get_mut(usize::from(key.index))
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
        step.into_iter().flat_map(|step| &step.tasks).map(|task| task.failures).sum()
    }

    /// Gives all members of a gang the checkpoint of the first member that has one, because
    /// they must resume from the same checkpoint.
    fn share_checkpoint(&mut self, key: TaskKey) {
        let occurrence = self.occurrences.get_mut(key.occurrence as usize);
        let Some(step) = occurrence.and_then(|found| found.steps.get_mut(usize::from(key.step)))
        else {
            return;
        };
        if step.assigned > 0 {
            // The first member to start has shared it.
            return;
        }
        let checkpoint = step.tasks.iter().find(|task| !task.checkpoint.is_empty());
        let Some(checkpoint) = checkpoint.map(|task| task.checkpoint.clone()) else { return };
        for task in &mut step.tasks {
            task.checkpoint.clone_from(&checkpoint);
        }
    }

    fn mark_done(&mut self, key: TaskKey, gang: bool, at_ms: u64) {
        let Some(occurrence) = self.occurrences.get_mut(key.occurrence as usize) else { return };
        let Some(step) = occurrence.steps.get_mut(usize::from(key.step)) else { return };
        if step.tasks.get(usize::from(key.index)).is_none_or(|task| task.done) {
            // The end of another copy, or of another member of its gang, came first.
            return;
        }
        // When one member of a gang is done, the whole gang is done.
        let gang_len = if gang { step.tasks.len() } else { 0 };
        for (at, task) in step.tasks.iter_mut().enumerate() {
            if (at < gang_len || at == usize::from(key.index)) && !task.done {
                task.done = true;
                step.left -= 1;
            }
        }
        if occurrence.steps.iter().all(|step| step.left == 0) {
            self.finished += 1;
            if self.finished == self.spec.occurrences() {
                self.finish(JobPhase::Completed, at_ms);
            }
        }
    }

    fn finish(&mut self, phase: JobPhase, at_ms: u64) {
        self.phase = phase;
        self.ended_ms = at_ms;
    }
}

/// The loss that a run's end stands for, if its runner was lost.
fn loss_of(end: &RunEnd, at_ms: u64) -> Option<Loss> {
    let (evidence, fate): (LossEvidence, RunnerFate) = match end.outcome {
        RunOutcome::Crashed(evidence) => (evidence, RunnerFate::Crashed),
        RunOutcome::Silent(evidence) => (evidence, RunnerFate::Unknown),
        RunOutcome::Done
        | RunOutcome::Failed
        | RunOutcome::Stopped
        | RunOutcome::Lapsed
        | RunOutcome::Broken
        | RunOutcome::Alone
        | RunOutcome::Refused
        | RunOutcome::Gone => return None,
    };
    Some(Loss { run: end.run, incarnation: end.incarnation, evidence, fate, at_ms })
}

fn count_u32<T>(items: &[T]) -> u32 {
    u32::try_from(items.len()).unwrap_or(u32::MAX)
}

fn incarnation_key(at: usize) -> IncarnationKey {
    IncarnationKey(u32::try_from(at).unwrap_or(u32::MAX))
}
