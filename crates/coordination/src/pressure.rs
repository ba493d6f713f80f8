//! Pressure on a worker: while its processors are nearly all in use and it runs
//! latency-critical tasks, the batch tasks whose services allow it are throttled.
//!
//! A throttle lasts a short time at the worker and is renewed with each heartbeat
//! under pressure, so that a lost leader never leaves work slow for good.

use std::collections::BTreeSet;
use std::time::Duration;
use yuccalink_state::StateMachine;
use yuccalink_state::document::TaskClass;
use yuccalink_state::id::{Epoch, TaskId, WorkerKey};
use yuccalink_state::task::{Task, TaskPhase};

/// Share of a worker's processors in use from which it is under pressure, in
/// thousandths.
pub const PRESSED_FROM: u64 = 900;
/// Share below which it is not any more; the gap keeps it from going to and fro.
pub const EASED_BELOW: u64 = 700;
/// What a throttled task gets of its processors, in thousandths.
pub const THROTTLED_SHARE_PERMILLE: u32 = 500;
/// How long a throttle lasts unless renewed.
pub const THROTTLE_DURATION: Duration = Duration::from_secs(5);

/// A task to be throttled now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Throttle {
    /// The task.
    pub task: TaskId,
    /// Its placement.
    pub epoch: Epoch,
}

/// How a worker's state changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PressureChange {
    /// It came under pressure.
    Pressed,
    /// The pressure is over.
    Eased,
}

/// Workers under pressure.
#[derive(Debug, Default)]
pub struct Pressure {
    pressed: BTreeSet<WorkerKey>,
}

impl Pressure {
    /// Takes in a worker's use of its processors; returns what to throttle now, and
    /// whether its state changed.
    ///
    /// ```
    /// # use yuccalink_coordination::pressure::Pressure;
    /// # use yuccalink_state::{StateMachine, id::WorkerKey};
    /// let (throttles, turn) = Pressure::default().note(&StateMachine::new(), WorkerKey(0), 900);
    /// assert!(throttles.is_empty() && turn.is_none());
    /// ```
    pub fn note(
        &mut self,
        state: &StateMachine,
        worker: WorkerKey,
        used_millicores: u64,
    ) -> (Vec<Throttle>, Option<PressureChange>) {
        let critical = state
            .tasks_on_worker(worker)
            .any(|task| state.class_of(task) == TaskClass::LatencyCritical);
        let was = self.pressed.contains(&worker);
        let from = if was { EASED_BELOW } else { PRESSED_FROM };
        let is = critical && used_share(state, worker, used_millicores) >= from;
        let turn = match (was, is) {
            (false, true) => Some(PressureChange::Pressed),
            (true, false) => Some(PressureChange::Eased),
            _ => None,
        };
        if !is {
            self.pressed.remove(&worker);
            return (Vec::new(), turn);
        }
        self.pressed.insert(worker);
        let throttles = state.tasks_on_worker(worker).filter(|task| may_throttle(state, task));
        (throttles.map(|task| Throttle { task: task.id, epoch: task.epoch }).collect(), turn)
    }
}

/// In thousandths of what the worker has.
fn used_share(state: &StateMachine, worker: WorkerKey, used_millicores: u64) -> u64 {
    let all = state.worker_at(worker).spec.capacity.millicores;
    used_millicores.saturating_mul(1000) / all.max(1)
}

fn may_throttle(state: &StateMachine, task: &Task) -> bool {
    state.document_of(task).disruption_tolerance.throttle
        && !task.urgent
        && matches!(task.phase, TaskPhase::Running(_))
        && state.class_of(task) == TaskClass::Batch
}
