//! Tests throttling under pressure: which tasks are throttled, and from when until when.

use yuccalink_coordination::pressure::{Pressure, PressureChange};
use yuccalink_state::command::{Apply, Placement, TaskEvent, TaskReport, TaskSubmission};
use yuccalink_state::document::{DisruptionTolerance, Document, TaskClass, TaskKind};
use yuccalink_state::id::{Epoch, Incarnation, Name, TaskId, WorkerKey};
use yuccalink_state::worker::WorkerSpec;
use yuccalink_state::{Command, Resources, StateMachine};

const WORKER: WorkerKey = WorkerKey(0);

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

fn need(millicores: u64) -> Resources {
    Resources { millicores, memory_mib: 1, accelerators: 0 }
}

/// A worker of ten cores that runs one task of each given class.
fn state(throttle: bool, classes: &[TaskClass]) -> StateMachine {
    let mut state = StateMachine::new();
    let kinds = classes.iter().enumerate().map(|(at, class)| TaskKind {
        name: name(&format!("k{at}")),
        need: need(1000),
        duration_ms: 1,
        class: *class,
        spread: Default::default(),
    });
    let document = Document {
        service: name("s"),
        team: name("t"),
        version: 1,
        peak: None,
        requests: [].into(),
        tasks: kinds.collect(),
        disruption_tolerance: DisruptionTolerance { throttle, ..DisruptionTolerance::default() },
    };
    let apply = Apply { document, text: "".into(), digest: [0; 32], author: "a".into() };
    state.apply(Command::Apply(Box::new(apply)));
    state.apply(Command::WorkerUp(Box::new(WorkerSpec {
        name: name("w"),
        incarnation: Incarnation(1),
        address: "127.0.0.1:1".into(),
        capacity: Resources { millicores: 10_000, memory_mib: 100, accelerators: 0 },
        rack: name("r"),
        zone: name("z"),
    })));
    for at in 0..classes.len() as u64 {
        state.apply(Command::Submit(TaskSubmission {
            key: at.to_string().into(),
            service: name("s"),
            kind: name(&format!("k{at}")),
            count: 1,
            urgent: false,
            payload: "".into(),
            at_ms: 0,
        }));
        let task = TaskId(at + 1);
        state.apply(Command::Place([Placement { task, worker: WORKER }].into()));
        let report = TaskReport { task, epoch: Epoch(1), event: TaskEvent::Started };
        state.apply(Command::Report([report].into()));
    }
    state
}

fn throttled(pressure: &mut Pressure, state: &StateMachine, used: u64) -> Vec<u64> {
    pressure.note(state, WORKER, used).0.iter().map(|throttle| throttle.task.0).collect()
}

/// A batch wave fills a worker that also runs a latency-critical task. Only batch tasks are
/// throttled, until the pressure is well below the limit.
#[test]
fn batch_tasks_are_throttled_for_latency_critical_ones() {
    use TaskClass::{Batch, LatencyCritical};
    let state = state(true, &[LatencyCritical, Batch, Batch]);
    let mut pressure = Pressure::default();
    assert!(throttled(&mut pressure, &state, 8_900).is_empty(), "below the limit");
    assert_eq!(pressure.note(&state, WORKER, 9_100).1, Some(PressureChange::Pressed));
    assert_eq!(throttled(&mut pressure, &state, 9_100), [2, 3], "renewed at each report");
    assert_eq!(
        throttled(&mut pressure, &state, 7_500),
        [2, 3],
        "throttled until well below the limit"
    );
    assert_eq!(pressure.note(&state, WORKER, 6_900).1, Some(PressureChange::Eased));
    assert!(throttled(&mut pressure, &state, 8_000).is_empty());
}

#[test]
fn no_task_is_throttled_without_permission_or_need() {
    use TaskClass::{Batch, LatencyCritical};
    let not_permitted = state(false, &[LatencyCritical, Batch]);
    assert!(throttled(&mut Pressure::default(), &not_permitted, 10_000).is_empty());
    let not_needed = state(true, &[Batch, Batch]);
    assert!(throttled(&mut Pressure::default(), &not_needed, 10_000).is_empty());
}
