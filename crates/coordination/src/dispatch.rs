//! Decides which orders to send to a worker. Orders follow from the replicated state: what a
//! worker should run or stop and has not yet confirmed is sent again until it is confirmed, so
//! a lost order or response never leaves a task stuck.

use crate::moment::Moment;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use yuccalink_state::StateMachine;
use yuccalink_state::id::{Epoch, TaskId, WorkerKey};
use yuccalink_state::task::{Task, TaskPhase};

/// Time after which an unconfirmed order is sent again.
pub const RESEND: Duration = Duration::from_secs(1);
/// Maximum number of orders in one message.
pub const BATCH_MAX: usize = 512;

/// What a worker is to do with one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Order {
    /// Run the task, from its last checkpoint if it has one.
    Start,
    /// Save a checkpoint of the task and stop it.
    Checkpoint,
    /// Stop the task.
    Stop,
}

/// An order to send to a worker now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DueOrder {
    /// The task.
    pub task: TaskId,
    /// The epoch of the placement that the order is for.
    pub epoch: Epoch,
    /// What to do.
    pub order: Order,
}

/// Records when each unconfirmed order was last sent.
#[derive(Debug, Default)]
pub struct Dispatch {
    sent: HashMap<(TaskId, Epoch, Order), Moment>,
}

impl Dispatch {
    /// A dispatcher that has sent nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the orders to send to one worker now and records them as sent.
    ///
    /// ```
    /// # use yuccalink_coordination::{Moment, dispatch::Dispatch};
    /// # use yuccalink_state::{StateMachine, id::WorkerKey};
    /// assert!(Dispatch::new().due(Moment::ZERO, &StateMachine::new(), WorkerKey(0)).is_empty());
    /// ```
    pub fn due(&mut self, now: Moment, state: &StateMachine, worker: WorkerKey) -> Vec<DueOrder> {
        let mut due = Vec::new();
        for task in state.tasks_on_worker(worker) {
            let Some(order) = order_for(state, task) else { continue };
            let last_sent = self.sent.entry((task.id, task.epoch, order)).or_insert(Moment::ZERO);
            let first = *last_sent == Moment::ZERO;
            if first || now.since(*last_sent) >= RESEND {
                *last_sent = now.max(Moment(1));
                due.push(DueOrder { task: task.id, epoch: task.epoch, order });
            }
            if due.len() == BATCH_MAX {
                break;
            }
        }
        due
    }

    /// Removes orders that no longer follow from the state.
    pub fn tidy(&mut self, state: &StateMachine) {
        self.sent.retain(|(id, epoch, order), _| {
            let task = state.task(*id).filter(|task| task.epoch == *epoch);
            task.and_then(|task| order_for(state, task)) == Some(*order)
        });
    }

    /// Lets an order be sent again at once after sending it failed.
    pub fn failed(&mut self, due: &DueOrder) {
        self.sent.remove(&(due.task, due.epoch, due.order));
    }

    /// Number of unconfirmed orders.
    pub fn len(&self) -> usize {
        self.sent.len()
    }

    /// Whether every order is confirmed.
    pub fn is_empty(&self) -> bool {
        self.sent.is_empty()
    }
}

fn order_for(state: &StateMachine, task: &Task) -> Option<Order> {
    use yuccalink_state::task::StopReason;
    match task.phase {
        TaskPhase::Placed(worker) => {
            let zone = &state.worker_at(worker).spec.zone;
            (!state.evacuations().excludes(zone.as_str())).then_some(Order::Start)
        }
        TaskPhase::Stopping(_, StopReason::Cancel) => Some(Order::Stop),
        TaskPhase::Stopping(_, StopReason::Evict) => {
            let checkpoint = state.document_of(task).disruption_tolerance.checkpoint;
            Some(if checkpoint { Order::Checkpoint } else { Order::Stop })
        }
        TaskPhase::Waiting | TaskPhase::Running(_) | TaskPhase::Ended(_) => None,
    }
}

/// Compares the tasks that a worker reports with those that the state assigns to it.
///
/// A running task that the worker does not report counts as lost only after two heartbeats in a
/// row without it: a single heartbeat may have crossed with the order.
#[derive(Debug, Default)]
pub struct Reconcile {
    missing: BTreeMap<(TaskId, Epoch), u32>,
}

/// Differences between a heartbeat and the state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Differences {
    /// Tasks that should run on the worker but are lost.
    pub lost: Vec<(TaskId, Epoch)>,
    /// Tasks that the worker reports and must drop.
    pub stray: Vec<(TaskId, Epoch)>,
}

impl Reconcile {
    /// Compares one heartbeat with the state.
    pub fn compare(
        &mut self,
        state: &StateMachine,
        worker: WorkerKey,
        held: &[(TaskId, Epoch)],
    ) -> Differences {
        let mut found = Differences::default();
        for task in state.tasks_on_worker(worker) {
            let key = (task.id, task.epoch);
            let running = matches!(task.phase, TaskPhase::Running(_) | TaskPhase::Stopping(..));
            if !running || held.contains(&key) {
                self.missing.remove(&key);
                continue;
            }
            let times = self.missing.entry(key).or_default();
            *times += 1;
            if *times >= 2 {
                self.missing.remove(&key);
                found.lost.push(key);
            }
        }
        let is_assigned = |id: &TaskId, epoch: &Epoch| {
            let task = state.task(*id);
            task.is_some_and(|t| t.epoch == *epoch && t.worker() == Some(worker))
        };
        found.stray.extend(held.iter().filter(|(id, epoch)| !is_assigned(id, epoch)));
        found
    }
}
