//! Measures the cost of a placement and of a routing decision as the system grows.
//!
//! `cargo bench -p yuccalink-coordination --bench placement`

use std::time::{Duration, Instant};
use yuccalink_coordination::Moment;
use yuccalink_coordination::placement::plan;
use yuccalink_coordination::router::{Admission, Router, RoutingRequest, RunnerOutcome};
use yuccalink_state::command::{Apply, TaskSubmission};
use yuccalink_state::document::{DisruptionTolerance, Document, TaskClass, TaskKind};
use yuccalink_state::id::{Incarnation, Name};
use yuccalink_state::target::RunnerSpec;
use yuccalink_state::worker::WorkerSpec;
use yuccalink_state::{Command, Resources, StateMachine};

const ROUTING_DECISIONS: u32 = 200_000;

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

fn state(workers: u64, tasks: u32) -> StateMachine {
    let mut state = StateMachine::new();
    let kind = TaskKind {
        name: name("k"),
        need: Resources { millicores: 700, memory_mib: 900, accelerators: 0 },
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
    let apply = Apply { document, text: "".into(), digest: [0; 32], author: "a".into() };
    state.apply(Command::Apply(Box::new(apply)));
    for at in 0..workers {
        state.apply(Command::WorkerUp(Box::new(WorkerSpec {
            name: name(&format!("w{at}")),
            incarnation: Incarnation(1),
            address: "127.0.0.1:1".into(),
            capacity: Resources { millicores: 64_000, memory_mib: 250_000, accelerators: 0 },
            rack: name(&format!("r{}", at / 6)),
            zone: name("z"),
        })));
    }
    state.apply(Command::Submit(TaskSubmission {
        key: "k".into(),
        service: name("s"),
        kind: name("k"),
        count: tasks,
        urgent: false,
        payload: "".into(),
        at_ms: 0,
    }));
    state
}

fn measure_placement() {
    println!("| workers | placements in a plan | us each |");
    println!("|---|---|---|");
    for workers in [50u64, 571, 16_000] {
        let state = state(workers, 1_000);
        let started = Instant::now();
        let placed = plan(&state).decisions.len();
        let each = started.elapsed().as_secs_f64() * 1e6 / placed as f64;
        println!("| {workers} | {placed} | {each:.1} |");
    }
}

fn measure_routing() {
    println!("\n| runners | us a decision (admit and release) |");
    println!("|---|---|");
    for runners in [5u32, 50, 1_000, 10_000] {
        let service = name("q");
        let mut router = Router::new(name("z"));
        let mut turns = Vec::new();
        for at in 0..runners {
            let spec = RunnerSpec {
                name: name(&format!("r{at}")),
                incarnation: Incarnation(1),
                service: service.clone(),
                address: "127.0.0.1:1".into(),
                slots: 8,
                connections: 64,
                zone: name("z"),
            };
            router.add_runner(Moment::ZERO, spec, 0, &mut turns);
        }
        let count = if runners > 100 { ROUTING_DECISIONS / 100 } else { ROUTING_DECISIONS };
        let started = Instant::now();
        let mut now = Moment::from_millis(1);
        for _ in 0..count {
            now = now + Duration::from_micros(10);
            let deadline = now + Duration::from_secs(1);
            let request = RoutingRequest { service: &service, deadline, worth: 1, avoid: None };
            if let Admission::Granted(grant) = router.admit(now, request) {
                router.release(now, grant, RunnerOutcome::Answered, &mut turns);
            }
        }
        let each = started.elapsed().as_secs_f64() * 1e6 / f64::from(count);
        println!("| {runners} | {each:.2} |");
    }
}

fn main() {
    measure_placement();
    measure_routing();
}
