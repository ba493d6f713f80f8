//! Read access to the state.

use super::*;
impl StateMachine {
    /// The revision of the last accepted document.
    ///
    /// ```
    /// # use yuccalink_state::{StateMachine, id::Revision};
    /// assert_eq!(StateMachine::new().revision(), Revision(0));
    /// ```
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// All services, in the order of their first document.
    ///
    /// ```
    /// # use yuccalink_state::StateMachine;
    /// assert_eq!(StateMachine::new().services().count(), 0);
    /// ```
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.iter()
    }

    /// The service called `name`.
    ///
    /// ```
    /// # use yuccalink_state::{StateMachine, id::Name};
    /// assert!(StateMachine::new().service(&Name::new("quotes")?).is_none());
    /// # Ok::<(), yuccalink_state::id::BadName>(())
    /// ```
    pub fn service(&self, name: &Name) -> Option<&Service> {
        self.service_keys.get(name).map(|key| self.service_at(*key))
    }

    /// The service with this key.
    ///
    /// # Panics
    /// If the key is not from this state machine.
    pub fn service_at(&self, key: ServiceKey) -> &Service {
        &self.services[key.0 as usize]
    }

    /// The document of a task's service.
    ///
    /// # Panics
    /// If the task is not from this state machine.
    pub fn document_of(&self, task: &Task) -> &Document {
        &self.service_at(task.service).accepted.document
    }

    /// A task's kind; `None` if the document in force no longer has a kind of that name.
    ///
    /// # Panics
    /// If the task is not from this state machine.
    pub fn kind_of(&self, task: &Task) -> Option<&TaskKind> {
        self.document_of(task).task_kind(&task.kind)
    }

    /// A task's class; batch if the document in force no longer has its kind.
    ///
    /// # Panics
    /// If the task is not from this state machine.
    pub fn class_of(&self, task: &Task) -> TaskClass {
        self.kind_of(task).map_or(TaskClass::Batch, |kind| kind.class)
    }

    /// All worker records, including those of workers that are gone.
    ///
    /// ```
    /// # use yuccalink_state::StateMachine;
    /// assert_eq!(StateMachine::new().workers().count(), 0);
    /// ```
    pub fn workers(&self) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        self.workers.iter().enumerate().map(|(at, worker)| (worker_key(at), worker))
    }

    /// The worker with this key.
    ///
    /// # Panics
    /// If the key is not from this state machine.
    pub fn worker_at(&self, key: WorkerKey) -> &Worker {
        &self.workers[key.0 as usize]
    }

    /// The worker called `name`.
    ///
    /// ```
    /// # use yuccalink_state::{StateMachine, id::Name};
    /// assert!(StateMachine::new().worker(&Name::new("w1")?).is_none());
    /// # Ok::<(), yuccalink_state::id::BadName>(())
    /// ```
    pub fn worker(&self, name: &Name) -> Option<(WorkerKey, &Worker)> {
        let key = *self.worker_keys.get(name)?;
        Some((key, self.worker_at(key)))
    }

    /// The tasks placed on a worker, in the order of their numbers.
    ///
    /// ```
    /// # use yuccalink_state::{StateMachine, id::WorkerKey};
    /// assert_eq!(StateMachine::new().tasks_on_worker(WorkerKey(0)).count(), 0);
    /// ```
    pub fn tasks_on_worker(&self, key: WorkerKey) -> impl Iterator<Item = &Task> {
        self.tasks_by_worker
            .get(key.0 as usize)
            .into_iter()
            .flatten()
            .filter_map(|id| self.tasks.get(id))
    }

    /// All tasks with a record, in the order of their numbers.
    ///
    /// ```
    /// # use yuccalink_state::StateMachine;
    /// assert!(StateMachine::new().tasks().next().is_none());
    /// ```
    pub fn tasks(&self) -> impl Iterator<Item = &Task> {
        self.tasks.values()
    }

    /// Tasks with a record and a number above `after`, in the order of their numbers.
    ///
    /// ```
    /// # use yuccalink_state::{StateMachine, id::TaskId};
    /// assert!(StateMachine::new().tasks_after(TaskId(0)).next().is_none());
    /// ```
    pub fn tasks_after(&self, after: TaskId) -> impl Iterator<Item = &Task> {
        self.tasks.range(TaskId(after.0.saturating_add(1))..).map(|(_, task)| task)
    }

    /// The task with this number.
    ///
    /// ```
    /// # use yuccalink_state::{StateMachine, id::TaskId};
    /// assert!(StateMachine::new().task(TaskId(1)).is_none());
    /// ```
    pub fn task(&self, id: TaskId) -> Option<&Task> {
        self.tasks.get(&id)
    }

    /// Waiting tasks, in the order in which they are placed.
    ///
    /// ```
    /// # use yuccalink_state::StateMachine;
    /// assert!(StateMachine::new().waiting().next().is_none());
    /// ```
    pub fn waiting(&self) -> impl Iterator<Item = &Task> {
        self.waiting.iter().filter_map(|(_, id)| self.tasks.get(id))
    }

    /// The first task and the number of tasks of the submission with this key, if it was accepted.
    ///
    /// ```
    /// # use yuccalink_state::StateMachine;
    /// assert_eq!(StateMachine::new().submission("nightly"), None);
    /// ```
    pub fn submission(&self, key: &str) -> Option<(TaskId, u32)> {
        self.submissions.get(key).map(|known| (known.first, known.count))
    }

    /// Number of waiting tasks.
    ///
    /// ```
    /// # use yuccalink_state::StateMachine;
    /// assert_eq!(StateMachine::new().waiting_len(), 0);
    /// ```
    pub fn waiting_len(&self) -> usize {
        self.waiting.len()
    }

    /// The zones under evacuation.
    ///
    /// ```
    /// # use yuccalink_state::StateMachine;
    /// assert!(StateMachine::new().evacuations().is_empty());
    /// ```
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Whether a worker may be given tasks: it is live, and its zone is not under evacuation.
    ///
    /// # Panics
    /// If the key is not from this state machine.
    pub fn takes_tasks(&self, key: WorkerKey) -> bool {
        let worker = self.worker_at(key);
        worker.phase == WorkerPhase::Live && !self.evacuations.excludes(worker.spec.zone.as_str())
    }

    /// The request ledger.
    ///
    /// ```
    /// # use yuccalink_state::StateMachine;
    /// assert!(StateMachine::new().ledger().is_empty());
    /// ```
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }
}
