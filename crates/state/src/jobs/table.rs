//! The table of jobs and runner incarnations.

use super::cancellations::Cancellations;
use super::change::ChangeSet;
use super::command::{
    JobCommand, JobOutcome, JobSubmission, PairWeight, RunEnd, RunOutcome, RunStart,
    RunnerIncarnation,
};
use super::job::{Job, JobPhase};
use super::loss::{Loss, LossEvidence, Losses, RunnerFate};
use super::memory::MemoryUse;
use super::settings::{ConfiguredChangeSet, QueueSettings};
use super::spec::StepSpec;
use super::task::{IncarnationKey, JobId, Task, TaskKey};
use super::wave::WaveState;
use crate::evacuation::Evacuations;
use crate::snapshot;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};

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
    #[serde(skip)]
    memory: MemoryUse,
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
        step.tasks.get(key.index)
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

    /// Estimate of the memory that the jobs take.
    pub fn memory(&self) -> &MemoryUse {
        &self.memory
    }

    /// Whether each step is listed task by task in a snapshot, so that earlier releases can read
    /// it.
    pub(crate) fn lists_all_tasks(&self) -> bool {
        let occurrences = self.jobs.values().flat_map(|job| &job.occurrences);
        occurrences.flat_map(|occurrence| &occurrence.steps).all(|step| step.tasks.is_listed())
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
        self.memory = MemoryUse::default();
        for job in self.jobs.values_mut() {
            job.reindex();
            self.memory.replace(&job.queue, 0, job.memory());
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
                    self.memory.replace(&job.queue, job.memory(), 0);
                    job.queue = (*name).into();
                    self.memory.replace(&job.queue, 0, job.memory());
                }
            }
        }
        self.change_set = Some(change);
        self.queue_settings = settings;
        true
    }

    fn submit(&mut self, submission: JobSubmission) -> bool {
        let (id, at_ms) = (submission.id, submission.at_ms);
        if self.jobs.contains_key(&id) {
            return false;
        }
        let was_cancelled = self.cancellations.remove(id);
        let mut job = Job::new(submission);
        if was_cancelled {
            job.finish(JobPhase::Cancelled, at_ms);
        } else if job.spec.schedule.is_none() {
            job.open_through(0);
        }
        self.memory.replace(&job.queue, 0, job.memory());
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
        let Some(runs) = self.assigned_runs.get_mut(start.incarnation.0 as usize) else {
            return false;
        };
        let Some(job) = self.jobs.get_mut(&start.task.job) else { return false };
        let before = job.memory();
        let started = job.start(start);
        self.memory.replace(&job.queue, before, job.memory());
        if started {
            runs.insert(start.task, start.run);
        }
        started
    }

    fn end(&mut self, end: &RunEnd, at_ms: u64) {
        let Some(job) = self.jobs.get_mut(&end.task.job) else { return };
        let (was_active, before) = (job.phase == JobPhase::Active, job.memory());
        let ended = job.end(end, at_ms);
        self.memory.replace(&job.queue, before, job.memory());
        if !ended {
            return;
        }
        if let Some(runs) = self.assigned_runs.get_mut(end.incarnation.0 as usize) {
            runs.remove(&end.task);
        }
        if !was_active {
            return;
        }
        let long_running = self.step_spec(end.task).is_some_and(|step| step.long_running);
        if end.outcome == RunOutcome::Done && !long_running {
            self.losses.remove(end.task);
        }
        if let Some(loss) = loss_of(end, at_ms) {
            self.losses.add(end.task, loss);
        }
        self.fail_if_over_loss_limit(end.task);
    }

    fn forget(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.phase != JobPhase::Active && job.assignments(id).next().is_none() {
            self.memory.replace(&job.queue, job.memory(), 0);
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

fn incarnation_key(at: usize) -> IncarnationKey {
    IncarnationKey(u32::try_from(at).unwrap_or(u32::MAX))
}
