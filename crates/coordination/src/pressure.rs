//! CPU pressure on a worker: while nearly all of its CPU is in use and it runs latency-critical
//! tasks, the batch tasks whose services allow it are throttled.
//!
//! A throttle expires at the worker after a short time and is renewed with each heartbeat under
//! pressure, so the loss of the leader never leaves tasks throttled for good.

use std::collections::BTreeSet;
use std::time::Duration;
use yuccalink_state::StateMachine;
use yuccalink_state::document::TaskClass;
use yuccalink_state::id::{Epoch, TaskId, WorkerKey};
use yuccalink_state::task::{Task, TaskPhase};

/// Share of a worker's CPU in use from which it is under pressure, in thousandths.
pub const PRESSURE_START_PERMILLE: u64 = 900;
/// Share of CPU in use below which the pressure ends, in thousandths; the gap avoids flapping.
pub const PRESSURE_END_PERMILLE: u64 = 700;
/// Share of its CPU that a throttled task gets, in thousandths.
pub const THROTTLED_SHARE_PERMILLE: u32 = 500;
/// How long a throttle lasts unless it is renewed.
pub const THROTTLE_DURATION: Duration = Duration::from_secs(5);

/// A task to be throttled now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Throttle {
    /// The task.
    pub task: TaskId,
    /// The epoch of its placement.
    pub epoch: Epoch,
}

/// A change of a worker's pressure state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PressureChange {
    /// The worker came under pressure.
    Pressed,
    /// The worker is no longer under pressure.
    Eased,
}

/// The workers that are under pressure.
#[derive(Debug, Default)]
pub struct Pressure {
    pressed: BTreeSet<WorkerKey>,
}

impl Pressure {
    /// Handles a worker's reported CPU use. Returns the tasks to throttle now and the change of the
    /// worker's pressure state, if any.
    ///
    /// ```
    /// # use yuccalink_coordination::pressure::Pressure;
    /// # use yuccalink_state::{StateMachine, id::WorkerKey};
    /// let (throttles, change) = Pressure::default().note(&StateMachine::new(), WorkerKey(0), 900);
    /// assert!(throttles.is_empty() && change.is_none());
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
        let was_pressed = self.pressed.contains(&worker);
        let threshold = if was_pressed { PRESSURE_END_PERMILLE } else { PRESSURE_START_PERMILLE };
        let is_pressed = critical && used_permille(state, worker, used_millicores) >= threshold;
        let change = match (was_pressed, is_pressed) {
            (false, true) => Some(PressureChange::Pressed),
            (true, false) => Some(PressureChange::Eased),
            _ => None,
        };
        if !is_pressed {
            self.pressed.remove(&worker);
            return (Vec::new(), change);
        }
        self.pressed.insert(worker);
        let throttles = state.tasks_on_worker(worker).filter(|task| may_throttle(state, task));
        (throttles.map(|task| Throttle { task: task.id, epoch: task.epoch }).collect(), change)
    }
}

/// CPU in use, in thousandths of the worker's capacity.
fn used_permille(state: &StateMachine, worker: WorkerKey, used_millicores: u64) -> u64 {
    let all = state.worker_at(worker).spec.capacity.millicores;
    used_millicores.saturating_mul(1000) / all.max(1)
}

fn may_throttle(state: &StateMachine, task: &Task) -> bool {
    state.document_of(task).disruption_tolerance.throttle
        && !task.urgent
        && matches!(task.phase, TaskPhase::Running(_))
        && state.class_of(task) == TaskClass::Batch
}
