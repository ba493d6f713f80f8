//! Tests what the workers of an evacuated zone are ordered to do, in the daemons for services.

use yuccalink_coordination::dispatch::{Dispatch, Order};
use yuccalink_coordination::{Moment, placement};
use yuccalink_state::command::{Apply, Outcome, Placement, TaskSubmission};
use yuccalink_state::document::{DisruptionTolerance, Document, TaskClass, TaskKind};
use yuccalink_state::evacuation::{ZoneAction, ZoneOrder};
use yuccalink_state::id::{Incarnation, Name, TaskId, WorkerKey};
use yuccalink_state::worker::WorkerSpec;
use yuccalink_state::{Command, Resources, StateMachine};

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

const NEED: Resources = Resources { millicores: 1_000, memory_mib: 1, accelerators: 0 };

/// A state with one worker in each of two zones, and waiting tasks.
fn state(tasks: u32) -> StateMachine {
    let mut state = StateMachine::new();
    for at in 0..2 {
        let spec = WorkerSpec {
            name: name(&format!("w{at}")),
            incarnation: Incarnation(1),
            address: "127.0.0.1:1".into(),
            capacity: Resources { millicores: 8_000, memory_mib: 100, accelerators: 0 },
            rack: name("r"),
            zone: name(&format!("z{at}")),
        };
        state.apply(Command::WorkerUp(Box::new(spec)));
    }
    let kind = TaskKind {
        name: name("k"),
        need: NEED,
        duration_ms: 1,
        class: TaskClass::Batch,
        spread: Default::default(),
    };
    let document = Document {
        service: name("s"),
        team: name("t"),
        version: 1,
        peak: None,
        requests: [].into(),
        tasks: [kind].into(),
        disruption_tolerance: DisruptionTolerance::default(),
    };
    let (text, author) = ("version 1".into(), "a".into());
    state.apply(Command::Apply(Box::new(Apply { document, text, digest: [0; 32], author })));
    state.apply(Command::Submit(TaskSubmission {
        key: "1".into(),
        service: name("s"),
        kind: name("k"),
        count: tasks,
        urgent: false,
        payload: "p".into(),
        at_ms: 1,
    }));
    state
}

fn order_zone(state: &mut StateMachine, action: ZoneAction) {
    let order = ZoneOrder { zone: "z0".into(), action, empty: false, number: None };
    state.apply(Command::Zone { order, at_ms: 1 });
}

fn place(state: &mut StateMachine, task: u64, worker: u32) -> usize {
    let placement = Placement { task: TaskId(task), worker: WorkerKey(worker) };
    match state.apply(Command::Place([placement].into())) {
        Outcome::Placed(placed) => placed.len(),
        other => panic!("{other:?}"),
    }
}

/// Guards against tasks that are placed in an evacuated zone, by a new plan or by one that was
/// made before the evacuation.
#[test]
fn no_task_is_placed_in_an_evacuated_zone() {
    let mut state = state(4);
    order_zone(&mut state, ZoneAction::Evacuate);
    let plan = placement::plan(&state);
    assert_eq!(plan.decisions.len(), 4);
    assert!(plan.decisions.iter().all(|decision| decision.worker == WorkerKey(1)));
    assert_eq!(place(&mut state, 1, 0), 0, "a plan made before");
    assert_eq!(place(&mut state, 1, 1), 1);
    order_zone(&mut state, ZoneAction::Restore);
    assert_eq!(place(&mut state, 2, 0), 1);
}

/// Guards against the order for a start that is sent, or sent again, after the evacuation.
#[test]
fn a_placed_task_is_not_started_in_an_evacuated_zone() {
    let mut state = state(1);
    assert_eq!(place(&mut state, 1, 0), 1);
    let due = |state: &StateMachine| -> Vec<Order> {
        let due = Dispatch::new().due(Moment::from_millis(1), state, WorkerKey(0));
        due.iter().map(|due| due.order).collect()
    };
    assert_eq!(due(&state), [Order::Start]);
    order_zone(&mut state, ZoneAction::Evacuate);
    assert!(due(&state).is_empty());
    state.apply(Command::Evict([TaskId(1)].into()));
    assert_eq!(due(&state), [Order::Stop], "the order may have arrived");
}
