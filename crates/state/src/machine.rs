//! The replicated state machine: documents, workers, tasks and the request
//! ledger. [`Machine::apply`] is deterministic and never fails half way.

use crate::command::{
    Apply, CancelOutcome, Command, Committed, Missing, Outcome, Placement, Submit, TaskEvent,
    TaskReport,
};
use crate::document::{Accepted, Document, PastVersion, TaskClass, TaskKind};
use crate::id::{Epoch, Incarnation, Name, Revision, ServiceKey, TaskId, WorkerKey};
use crate::ledger::Ledger;
use crate::resources::Resources;
use crate::task::{Checkpoint, Ending, StopReason, Task, TaskPhase};
use crate::worker::{Worker, WorkerPhase, WorkerSpec};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Versions remembered per service for resends.
pub const PAST_VERSIONS: usize = 1024;
/// Submissions remembered for resends.
pub const PAST_SUBMISSIONS: usize = 10_000;
/// Ended tasks remembered.
pub const PAST_TASKS: usize = 20_000;
/// How far numbers jump when a snapshot is restored; more than can have been used
/// since it was taken.
pub const RESTORE_JUMP: u64 = 1 << 32;
/// Failures after which a task is given up.
pub const FAILURES_MAX: u32 = 3;

/// A service and its document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// What is in force.
    pub accepted: Accepted,
    /// Accepted versions, oldest first, the one in force last.
    pub past: VecDeque<PastVersion>,
}

/// The order in which waiting tasks are considered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// Marked urgent when submitted.
    Urgent,
    /// Of a latency-critical kind.
    LatencyCritical,
    /// All others.
    Batch,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Submission {
    first: TaskId,
    count: u32,
}

/// All replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    revision: Revision,
    services: Vec<Service>,
    service_keys: BTreeMap<Name, ServiceKey>,
    workers: Vec<Worker>,
    worker_keys: BTreeMap<Name, WorkerKey>,
    tasks: BTreeMap<TaskId, Task>,
    last_task: u64,
    submissions: BTreeMap<Box<str>, Submission>,
    submission_order: VecDeque<Box<str>>,
    ended: VecDeque<TaskId>,
    ledger: Ledger,
    #[serde(skip)]
    waiting: BTreeSet<(Rank, TaskId)>,
    #[serde(skip)]
    held: Vec<BTreeSet<TaskId>>,
}

impl Machine {
    /// An empty machine.
    ///
    /// ```
    /// use yuccalink_state::Machine;
    /// assert_eq!(Machine::new().tasks().count(), 0);
    /// ```
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes the change that `command` describes and says what it came to.
    ///
    /// ```
    /// use yuccalink_state::{Command, Machine, Outcome};
    /// let mut machine = Machine::new();
    /// assert_eq!(machine.apply(Command::Place([].into())), Outcome::Placed([].into()));
    /// ```
    pub fn apply(&mut self, command: Command) -> Outcome {
        match command {
            Command::Apply(apply) => self.apply_document(*apply),
            Command::Submit(submit) => self.submit(submit),
            Command::Cancel(ids) => {
                Outcome::Cancelled(ids.iter().map(|id| self.cancel(*id)).collect())
            }
            Command::Place(placements) => {
                Outcome::Placed(placements.iter().filter_map(|p| self.place(*p)).collect())
            }
            Command::Evict(ids) => {
                Outcome::Stopping(ids.iter().copied().filter(|id| self.evict(*id)).collect())
            }
            Command::Report(reports) => {
                Outcome::Freed(reports.iter().filter_map(|r| self.report(r)).collect())
            }
            Command::WorkerUp(spec) => self.worker_up(*spec),
            Command::WorkerLeaving(name, run) => self.worker_leaving(&name, run),
            Command::WorkerGone(name, run) => self.worker_gone(&name, run),
            Command::RequestBegin(begin) => Outcome::Request(self.ledger.begin(&begin)),
            Command::RequestEnd(end) => {
                self.ledger.finish(&end.key, end.attempt, end.ended);
                Outcome::Done
            }
        }
    }

    /// The revision of the last accepted document.
    ///
    /// ```
    /// # use yuccalink_state::{Machine, id::Revision};
    /// assert_eq!(Machine::new().revision(), Revision(0));
    /// ```
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// All services, in the order of their first document.
    ///
    /// ```
    /// # use yuccalink_state::Machine;
    /// assert_eq!(Machine::new().services().count(), 0);
    /// ```
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.iter()
    }

    /// The service called `name`.
    ///
    /// ```
    /// # use yuccalink_state::{Machine, id::Name};
    /// assert!(Machine::new().service(&Name::new("quotes")?).is_none());
    /// # Ok::<(), yuccalink_state::id::BadName>(())
    /// ```
    pub fn service(&self, name: &Name) -> Option<&Service> {
        self.service_keys.get(name).map(|key| self.service_at(*key))
    }

    /// The service with `key`, which came from this machine.
    ///
    /// # Panics
    /// With a key of another machine.
    pub fn service_at(&self, key: ServiceKey) -> &Service {
        &self.services[key.0 as usize]
    }

    /// The document of a task's service.
    ///
    /// # Panics
    /// With a task of another machine.
    pub fn document_of(&self, task: &Task) -> &Document {
        &self.service_at(task.service).accepted.document
    }

    /// A task's kind, unless the document in force has none of that name any more.
    ///
    /// # Panics
    /// With a task of another machine.
    pub fn kind_of(&self, task: &Task) -> Option<&TaskKind> {
        self.document_of(task).task_kind(&task.kind)
    }

    /// A task's class; batch when its kind is gone from the document.
    ///
    /// # Panics
    /// With a task of another machine.
    pub fn class_of(&self, task: &Task) -> TaskClass {
        self.kind_of(task).map_or(TaskClass::Batch, |kind| kind.class)
    }

    /// All worker records, gone ones included.
    ///
    /// ```
    /// # use yuccalink_state::Machine;
    /// assert_eq!(Machine::new().workers().count(), 0);
    /// ```
    pub fn workers(&self) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        self.workers.iter().enumerate().map(|(at, worker)| (worker_key(at), worker))
    }

    /// The worker with `key`, which came from this machine.
    ///
    /// # Panics
    /// With a key of another machine.
    pub fn worker_at(&self, key: WorkerKey) -> &Worker {
        &self.workers[key.0 as usize]
    }

    /// The worker called `name`.
    ///
    /// ```
    /// # use yuccalink_state::{Machine, id::Name};
    /// assert!(Machine::new().worker(&Name::new("w1")?).is_none());
    /// # Ok::<(), yuccalink_state::id::BadName>(())
    /// ```
    pub fn worker(&self, name: &Name) -> Option<(WorkerKey, &Worker)> {
        let key = *self.worker_keys.get(name)?;
        Some((key, self.worker_at(key)))
    }

    /// The tasks committed to a worker, in order of their numbers.
    ///
    /// ```
    /// # use yuccalink_state::{Machine, id::WorkerKey};
    /// assert_eq!(Machine::new().held_by(WorkerKey(0)).count(), 0);
    /// ```
    pub fn held_by(&self, key: WorkerKey) -> impl Iterator<Item = &Task> {
        self.held.get(key.0 as usize).into_iter().flatten().filter_map(|id| self.tasks.get(id))
    }

    /// All remembered tasks, in order of their numbers.
    ///
    /// ```
    /// # use yuccalink_state::Machine;
    /// assert!(Machine::new().tasks().next().is_none());
    /// ```
    pub fn tasks(&self) -> impl Iterator<Item = &Task> {
        self.tasks.values()
    }

    /// Remembered tasks numbered above `after`, in order of their numbers.
    ///
    /// ```
    /// # use yuccalink_state::{Machine, id::TaskId};
    /// assert!(Machine::new().tasks_after(TaskId(0)).next().is_none());
    /// ```
    pub fn tasks_after(&self, after: TaskId) -> impl Iterator<Item = &Task> {
        self.tasks.range(TaskId(after.0.saturating_add(1))..).map(|(_, task)| task)
    }

    /// The task numbered `id`.
    ///
    /// ```
    /// # use yuccalink_state::{Machine, id::TaskId};
    /// assert!(Machine::new().task(TaskId(1)).is_none());
    /// ```
    pub fn task(&self, id: TaskId) -> Option<&Task> {
        self.tasks.get(&id)
    }

    /// Waiting tasks, the first to be placed first.
    ///
    /// ```
    /// # use yuccalink_state::Machine;
    /// assert!(Machine::new().waiting().next().is_none());
    /// ```
    pub fn waiting(&self) -> impl Iterator<Item = &Task> {
        self.waiting.iter().filter_map(|(_, id)| self.tasks.get(id))
    }

    /// How many tasks wait.
    ///
    /// ```
    /// # use yuccalink_state::Machine;
    /// assert_eq!(Machine::new().waiting_len(), 0);
    /// ```
    pub fn waiting_len(&self) -> usize {
        self.waiting.len()
    }

    /// The request ledger.
    ///
    /// ```
    /// # use yuccalink_state::Machine;
    /// assert!(Machine::new().ledger().is_empty());
    /// ```
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Makes this older state the newest one again, after everything since was
    /// lost: numbers that others may have seen higher are moved beyond them.
    ///
    /// Entries hold later revisions, workers remember later epochs and tasks;
    /// without the jump they would take what is restored for old news.
    ///
    /// ```
    /// # use yuccalink_state::{Machine, id::Revision, machine::RESTORE_JUMP};
    /// let mut machine = Machine::new();
    /// machine.restore_jump();
    /// assert_eq!(machine.revision(), Revision(RESTORE_JUMP));
    /// ```
    pub fn restore_jump(&mut self) {
        self.revision.0 += RESTORE_JUMP;
        for service in &mut self.services {
            self.revision.0 += 1;
            service.accepted.revision = self.revision;
            if let Some(newest) = service.past.back_mut() {
                newest.revision = self.revision;
            }
        }
        self.last_task += RESTORE_JUMP;
        for task in self.tasks.values_mut() {
            task.epoch.0 += RESTORE_JUMP;
        }
    }

    /// Rebuilds what is derived and so not written to snapshots.
    pub(crate) fn reindex(&mut self) {
        self.held = vec![BTreeSet::new(); self.workers.len()];
        self.waiting.clear();
        let ids: Vec<TaskId> = self.tasks.keys().copied().collect();
        for id in ids {
            self.index(id);
        }
    }

    fn index(&mut self, id: TaskId) {
        let Some(task) = self.tasks.get(&id) else { return };
        if task.phase == TaskPhase::Waiting {
            self.waiting.insert((self.rank(task), id));
        }
        if let Some(key) = task.worker() {
            self.held[key.0 as usize].insert(id);
        }
    }

    fn rank(&self, task: &Task) -> Rank {
        if task.urgent {
            return Rank::Urgent;
        }
        match self.class_of(task) {
            TaskClass::LatencyCritical => Rank::LatencyCritical,
            TaskClass::Batch => Rank::Batch,
        }
    }

    fn apply_document(&mut self, apply: Apply) -> Outcome {
        let name = apply.document.service.clone();
        let Some(key) = self.service_keys.get(&name).copied() else {
            let key = ServiceKey(u32::try_from(self.services.len()).unwrap_or(u32::MAX));
            let service = self.accept(apply, VecDeque::new());
            self.services.push(service);
            self.service_keys.insert(name, key);
            return Outcome::Accepted { revision: self.revision, resent: false };
        };
        let service = self.service_at(key);
        let version = apply.document.version;
        let seen = service.past.iter().find(|past| past.version == version);
        if let Some(past) = seen
            && past.digest == apply.digest
        {
            return Outcome::Accepted { revision: past.revision, resent: true };
        }
        let current = &service.accepted;
        if version <= current.document.version {
            // Of two texts with one version the first committed wins; the other is
            // told which, so that nobody believes that a lost change is in force.
            let winner = seen
                .map_or((current.document.version, &current.author, current.revision), |p| {
                    (p.version, &p.author, p.revision)
                });
            let (version, author, revision) = winner;
            return Outcome::Conflict { version, author: author.clone(), revision };
        }
        let past = std::mem::take(&mut self.services[key.0 as usize].past);
        let service = self.accept(apply, past);
        self.services[key.0 as usize] = service;
        self.rerank(key);
        Outcome::Accepted { revision: self.revision, resent: false }
    }

    fn accept(&mut self, apply: Apply, mut past: VecDeque<PastVersion>) -> Service {
        self.revision = Revision(self.revision.0 + 1);
        let Apply { document, text, digest, author } = apply;
        if past.len() == PAST_VERSIONS {
            past.pop_front();
        }
        past.push_back(PastVersion {
            version: document.version,
            digest,
            revision: self.revision,
            author: author.clone(),
        });
        Service { accepted: Accepted { document, text, revision: self.revision, author }, past }
    }

    /// Waiting tasks are kept by rank, which a new document may change.
    fn rerank(&mut self, key: ServiceKey) {
        let moved: Vec<(Rank, TaskId)> = self
            .waiting
            .iter()
            .copied()
            .filter(|(_, id)| self.tasks.get(id).is_some_and(|task| task.service == key))
            .collect();
        for at in moved {
            self.waiting.remove(&at);
            self.index(at.1);
        }
    }

    fn submit(&mut self, submit: Submit) -> Outcome {
        if let Some(done) = self.submissions.get(&submit.key) {
            return Outcome::Submitted { first: done.first, count: done.count, resent: true };
        }
        let Some(service) = self.service_keys.get(&submit.service).copied() else {
            return Outcome::Unknown(Missing::Service(submit.service));
        };
        let document = &self.service_at(service).accepted.document;
        let Some(kind) = document.task_kind(&submit.kind) else {
            return Outcome::Unknown(Missing::Kind(submit.kind));
        };
        let need = kind.need;
        let first = TaskId(self.last_task + 1);
        for _ in 0..submit.count {
            self.last_task += 1;
            let id = TaskId(self.last_task);
            let task = Task {
                id,
                service,
                kind: submit.kind.clone(),
                need,
                urgent: submit.urgent,
                payload: submit.payload.clone(),
                phase: TaskPhase::Waiting,
                epoch: Epoch(0),
                checkpoint: None,
                evictions: 0,
                failures: 0,
                submitted_ms: submit.at_ms,
            };
            self.tasks.insert(id, task);
            self.index(id);
        }
        self.remember_submission(submit.key, Submission { first, count: submit.count });
        Outcome::Submitted { first, count: submit.count, resent: false }
    }

    fn remember_submission(&mut self, key: Box<str>, submission: Submission) {
        if self.submission_order.len() == PAST_SUBMISSIONS
            && let Some(oldest) = self.submission_order.pop_front()
        {
            self.submissions.remove(&oldest);
        }
        self.submission_order.push_back(key.clone());
        self.submissions.insert(key, submission);
    }

    fn cancel(&mut self, id: TaskId) -> CancelOutcome {
        let Some(task) = self.tasks.get(&id) else { return CancelOutcome::Unknown };
        match task.phase.clone() {
            TaskPhase::Ended(ending) => CancelOutcome::Ended(ending),
            TaskPhase::Waiting => {
                // Only a task that never ran may be called "not run".
                let ran = task.epoch > Epoch(0);
                self.end(id, Ending::Cancelled);
                if ran { CancelOutcome::Ended(Ending::Cancelled) } else { CancelOutcome::NotRun }
            }
            TaskPhase::Placed(key) | TaskPhase::Running(key) | TaskPhase::Stopping(key, _) => {
                self.set_phase(id, TaskPhase::Stopping(key, StopReason::Cancel));
                CancelOutcome::Stopping
            }
        }
    }

    fn place(&mut self, placement: Placement) -> Option<Committed> {
        let task = self.tasks.get(&placement.task)?;
        if task.phase != TaskPhase::Waiting {
            return None;
        }
        let worker = self.workers.get_mut(placement.worker.0 as usize)?;
        let committed = worker.committed.plus(task.need)?;
        // The last guard of "never committed beyond what it holds": whatever a
        // leader proposed from older knowledge is checked against exact sums here.
        if worker.phase != WorkerPhase::Live || !worker.spec.capacity.holds(committed) {
            return None;
        }
        worker.committed = committed;
        worker.tasks += 1;
        let rank = (self.rank(task), placement.task);
        self.waiting.remove(&rank);
        let task = self.tasks.get_mut(&placement.task)?;
        task.epoch = task.epoch.next();
        task.phase = TaskPhase::Placed(placement.worker);
        let epoch = task.epoch;
        self.index(placement.task);
        Some(Committed { task: placement.task, worker: placement.worker, epoch })
    }

    fn evict(&mut self, id: TaskId) -> bool {
        match self.tasks.get(&id).map(|task| task.phase.clone()) {
            Some(TaskPhase::Placed(key) | TaskPhase::Running(key)) => {
                self.set_phase(id, TaskPhase::Stopping(key, StopReason::Evict));
                true
            }
            _ => false,
        }
    }

    /// Returns the task if it left its worker.
    fn report(&mut self, report: &TaskReport) -> Option<TaskId> {
        let id = report.task;
        let task = self.tasks.get_mut(&id)?;
        let worker = task.worker()?;
        // A report of an earlier placement comes late or from a worker that was cut
        // off: acting on it would free or end work that runs elsewhere now.
        if task.epoch != report.epoch {
            return None;
        }
        let phase = task.phase.clone();
        match &report.event {
            TaskEvent::Started => {
                if phase == TaskPhase::Placed(worker) {
                    task.phase = TaskPhase::Running(worker);
                }
                None
            }
            TaskEvent::Checkpointed { done_ms } => {
                let before = task.checkpoint.map_or(0, |saved| saved.done_ms);
                if *done_ms >= before {
                    task.checkpoint = Some(Checkpoint { epoch: report.epoch, done_ms: *done_ms });
                }
                None
            }
            TaskEvent::Finished => {
                self.end(id, Ending::Finished);
                Some(id)
            }
            TaskEvent::Failed { reason } => {
                task.failures += 1;
                let give_up = task.failures >= FAILURES_MAX;
                match phase {
                    TaskPhase::Stopping(_, StopReason::Cancel) => self.end(id, Ending::Cancelled),
                    _ if give_up => self.end(id, Ending::Failed(reason.clone())),
                    _ => self.requeue(id),
                }
                Some(id)
            }
            TaskEvent::Stopped | TaskEvent::Refused { .. } => {
                self.leave_worker(id, &phase);
                Some(id)
            }
        }
    }

    fn leave_worker(&mut self, id: TaskId, phase: &TaskPhase) {
        match phase {
            TaskPhase::Stopping(_, StopReason::Cancel) => self.end(id, Ending::Cancelled),
            TaskPhase::Stopping(_, StopReason::Evict) => {
                if let Some(task) = self.tasks.get_mut(&id) {
                    task.evictions += 1;
                }
                self.requeue(id);
            }
            _ => self.requeue(id),
        }
    }

    fn worker_up(&mut self, spec: WorkerSpec) -> Outcome {
        if let Some(key) = self.worker_keys.get(&spec.name).copied() {
            let worker = &mut self.workers[key.0 as usize];
            let same_run = worker.spec.incarnation == spec.incarnation;
            if worker.tasks > 0 && !same_run {
                return Outcome::WorkerBusy;
            }
            if worker.tasks > 0 && !spec.capacity.holds(worker.committed) {
                return Outcome::WorkerBusy;
            }
            worker.spec = spec;
            worker.phase = WorkerPhase::Live;
            return Outcome::WorkerUp(key);
        }
        let worker =
            Worker { spec, phase: WorkerPhase::Live, committed: Resources::ZERO, tasks: 0 };
        let name = worker.spec.name.clone();
        let key = self.free_slot();
        match self.workers.get_mut(key.0 as usize) {
            Some(old) => {
                self.worker_keys.remove(&old.spec.name);
                *old = worker;
            }
            None => {
                self.workers.push(worker);
                self.held.push(BTreeSet::new());
            }
        }
        self.worker_keys.insert(name, key);
        Outcome::WorkerUp(key)
    }

    fn free_slot(&self) -> WorkerKey {
        let gone = self.workers.iter().position(|worker| worker.phase == WorkerPhase::Gone);
        worker_key(gone.unwrap_or(self.workers.len()))
    }

    fn worker_leaving(&mut self, name: &Name, run: Incarnation) -> Outcome {
        match self.run_of(name, run) {
            Some(key) => {
                self.workers[key.0 as usize].phase = WorkerPhase::Leaving;
                Outcome::Done
            }
            None => Outcome::Unknown(Missing::Worker(name.clone())),
        }
    }

    fn worker_gone(&mut self, name: &Name, run: Incarnation) -> Outcome {
        let Some(key) = self.run_of(name, run) else {
            return Outcome::Unknown(Missing::Worker(name.clone()));
        };
        let held: Box<[TaskId]> = self.held[key.0 as usize].iter().copied().collect();
        for id in &held {
            let phase = self.tasks.get(id).map(|task| task.phase.clone());
            if let Some(phase) = phase {
                self.leave_worker(*id, &phase);
            }
        }
        self.workers[key.0 as usize].phase = WorkerPhase::Gone;
        Outcome::Freed(held)
    }

    fn run_of(&self, name: &Name, run: Incarnation) -> Option<WorkerKey> {
        let key = *self.worker_keys.get(name)?;
        let worker = self.worker_at(key);
        (worker.spec.incarnation == run && worker.phase != WorkerPhase::Gone).then_some(key)
    }

    fn requeue(&mut self, id: TaskId) {
        self.set_phase(id, TaskPhase::Waiting);
    }

    fn end(&mut self, id: TaskId, ending: Ending) {
        self.set_phase(id, TaskPhase::Ended(ending));
        self.ended.push_back(id);
        if self.ended.len() > PAST_TASKS
            && let Some(oldest) = self.ended.pop_front()
        {
            self.tasks.remove(&oldest);
        }
    }

    /// The only place where a task leaves a worker, so that commitments and
    /// indexes always match the phases.
    fn set_phase(&mut self, id: TaskId, phase: TaskPhase) {
        let Some(task) = self.tasks.get_mut(&id) else { return };
        let before = task.worker();
        task.phase = phase;
        let after = task.worker();
        let need = task.need;
        if let Some(key) = before
            && after != before
        {
            let worker = &mut self.workers[key.0 as usize];
            worker.committed = worker.committed.minus(need).unwrap_or(Resources::ZERO);
            worker.tasks -= 1;
            self.held[key.0 as usize].remove(&id);
        }
        if before.is_none()
            && let Some(task) = self.tasks.get(&id)
        {
            let rank = (self.rank(task), id);
            self.waiting.remove(&rank);
        }
        self.index(id);
    }
}

fn worker_key(at: usize) -> WorkerKey {
    WorkerKey(u32::try_from(at).unwrap_or(u32::MAX))
}
