//! The replicated state machine: documents, workers, tasks and the request
//! ledger. [`StateMachine::apply`] is deterministic and applies a command as a whole.

mod documents;
mod queries;
mod tasks;
mod workers;

use crate::command::{
    Apply, CancelOutcome, Command, Committed, Missing, Outcome, Placement, TaskEvent, TaskReport,
    TaskSubmission,
};
use crate::document::{Accepted, Document, PastVersion, TaskClass, TaskKind};
use crate::evacuation::Evacuations;
use crate::id::{Epoch, Incarnation, Name, Revision, ServiceKey, TaskId, WorkerKey};
use crate::ledger::Ledger;
use crate::resources::Resources;
use crate::snapshot;
use crate::task::{Checkpoint, StopReason, Task, TaskOutcome, TaskPhase};
use crate::worker::{Worker, WorkerPhase, WorkerSpec};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Number of accepted versions that are kept per service, to recognize resends.
pub const PAST_VERSIONS: usize = 1024;
/// Number of submissions that are kept, to recognize resends.
pub const PAST_SUBMISSIONS: usize = 10_000;
/// Number of ended tasks that are kept.
pub const PAST_TASKS: usize = 20_000;
/// How far revisions, task numbers and epochs are advanced when a snapshot is
/// restored; more than can have been used since the snapshot was taken.
pub const RESTORE_JUMP: u64 = 1 << 32;
/// Number of failures at which a task ends as failed.
pub const FAILURES_MAX: u32 = 3;

/// A service and its document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The document in force.
    pub accepted: Accepted,
    /// Accepted versions, oldest first, the one in force last.
    pub past: VecDeque<PastVersion>,
}

/// The order in which waiting tasks are placed, first to last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// The task was marked urgent when it was submitted.
    Urgent,
    /// The task is of a latency-critical kind.
    LatencyCritical,
    /// All other tasks.
    Batch,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Submission {
    first: TaskId,
    count: u32,
}

/// The replicated state of services, workers, tasks and at-most-once requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateMachine {
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
    tasks_by_worker: Vec<BTreeSet<TaskId>>,
    /// The last field, so that states of earlier releases, which lack it, can be read.
    #[serde(deserialize_with = "snapshot::added_field")]
    evacuations: Evacuations,
}

impl StateMachine {
    /// An empty state.
    ///
    /// ```
    /// use yuccalink_state::StateMachine;
    /// assert_eq!(StateMachine::new().tasks().count(), 0);
    /// ```
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies `command` and returns its outcome.
    ///
    /// ```
    /// use yuccalink_state::{Command, StateMachine, Outcome};
    /// let mut state = StateMachine::new();
    /// assert_eq!(state.apply(Command::Place([].into())), Outcome::Placed([].into()));
    /// ```
    pub fn apply(&mut self, command: Command) -> Outcome {
        match command {
            Command::Apply(apply) => self.apply_document(*apply),
            Command::Submit(submission) => self.submit(submission),
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
            Command::WorkerLeaving(name, incarnation) => self.worker_leaving(&name, incarnation),
            Command::WorkerGone(name, incarnation) => self.worker_gone(&name, incarnation),
            Command::RequestBegin(begin) => Outcome::Request(self.ledger.begin(&begin)),
            Command::RequestEnd(end) => {
                self.ledger.finish(&end.key, end.attempt, end.ended);
                Outcome::Done
            }
            Command::Zone { order, at_ms } => Outcome::Zone(self.evacuations.apply(&order, at_ms)),
        }
    }

    /// Prepares an older state for use after all later changes were lost: advances
    /// its revisions, task numbers and epochs by [`RESTORE_JUMP`].
    ///
    /// Entry VMs may have seen later revisions, and workers later epochs and tasks.
    /// Without the jump they would ignore the restored state as outdated.
    ///
    /// ```
    /// # use yuccalink_state::{StateMachine, id::Revision, machine::RESTORE_JUMP};
    /// let mut state = StateMachine::new();
    /// state.restore_jump();
    /// assert_eq!(state.revision(), Revision(RESTORE_JUMP));
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

    /// Rebuilds the indexes, which are not written to snapshots.
    pub(crate) fn reindex(&mut self) {
        self.tasks_by_worker = vec![BTreeSet::new(); self.workers.len()];
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
            self.tasks_by_worker[key.0 as usize].insert(id);
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

    fn requeue(&mut self, id: TaskId) {
        self.set_phase(id, TaskPhase::Waiting);
    }

    fn end(&mut self, id: TaskId, outcome: TaskOutcome) {
        self.set_phase(id, TaskPhase::Ended(outcome));
        self.ended.push_back(id);
        if self.ended.len() > PAST_TASKS
            && let Some(oldest) = self.ended.pop_front()
        {
            self.tasks.remove(&oldest);
        }
    }

    /// Changes a task's phase. A task leaves its worker only here, so that reserved
    /// resources and indexes always match the phases.
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
            self.tasks_by_worker[key.0 as usize].remove(&id);
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
