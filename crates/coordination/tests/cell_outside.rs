//! Tests the leader with services outside the cell: a policy service that issues tickets, and a
//! service that maintains machines.

#[path = "cell/desk.rs"]
#[allow(dead_code)]
mod desk;
#[path = "cell/world.rs"]
#[allow(dead_code)]
mod world;

use desk::Desk;
use std::time::Duration;
use world::{CAPACITY, step};
use yuccalink_coordination::jobs::external::{ExternalCall, ExternalReply, Machine, MachineState};
use yuccalink_coordination::jobs::{CellRequest, CellResponse};
use yuccalink_fakes::emulator::{EmulatedRunner, TaskBehavior};
use yuccalink_state::jobs::change::Advisor;
use yuccalink_state::jobs::{StepSpec, Wave};

const POLICY: Advisor = Advisor { decision_ms: 20, per_runner_ms: 1, validity_ms: 3_000 };

const TICK: Duration = Duration::from_millis(150);

fn advice(runner: &str) -> ExternalReply {
    ExternalReply::Advice { allowed: vec![(runner.into(), "ticket-7".into())], validity_ms: 3_000 }
}

/// The policy service allows one runner of three. A start on another runner or without the
/// ticket would be rejected and cost a round trip.
#[test]
fn a_step_starts_only_where_the_policy_allows_and_with_its_ticket() {
    let (spec, behavior) = step(2, 1, 5_000);
    let mut desk = Desk::new(3, Some(POLICY), behavior);
    desk.round();
    desk.submit(vec![spec]);
    assert!(desk.round().iter().all(|orders| orders.start.is_empty()), "no ticket yet");
    desk.pass(TICK);
    let (id, call) = desk.call().expect("a question");
    let ExternalCall::Advise { runners, .. } = call else { panic!("{call:?}") };
    assert_eq!(runners.len(), 3);
    desk.told(id, advice("w1"));
    let orders = desk.round();
    assert_eq!(orders[1].start.len(), 2);
    assert!(orders[1].start.iter().all(|start| start.ticket.as_deref() == Some("ticket-7")));
    assert!(orders[0].start.is_empty() && orders[2].start.is_empty());
}

/// The policy service takes one call at a time and refuses calls when too many wait. A question
/// in flight is not repeated; a question without an answer is repeated after its timeout.
#[test]
fn one_question_is_under_way_at_a_time() {
    let (spec, behavior) = step(2, 1, 5_000);
    let mut desk = Desk::new(2, Some(POLICY), behavior);
    desk.round();
    desk.submit(vec![spec]);
    desk.pass(TICK);
    assert!(desk.call().is_some());
    desk.pass(TICK);
    assert!(desk.call().is_none(), "the call is in flight");
    desk.pass(Duration::from_secs(4));
    desk.round();
    desk.pass(TICK);
    assert!(desk.call().is_some(), "the first call got no reply");
}

/// A start is committed, its order is lost, and meanwhile the ticket expires. The same order
/// would be rejected, so the leader gives up the run and asks for a new ticket.
#[test]
fn an_order_whose_ticket_ran_out_is_not_given_again() {
    let (spec, behavior) = step(1, 1, 5_000);
    let mut desk = Desk::new(1, Some(POLICY), behavior);
    desk.round();
    desk.submit(vec![spec]);
    desk.pass(TICK);
    let (id, _) = desk.call().expect("a question");
    desk.told(id, advice("w0"));
    let report = Box::new(desk.runners[0].report(desk.now));
    let CellResponse::Orders(lost) = desk.ask(CellRequest::Heartbeat(report)) else { panic!() };
    assert_eq!(lost.start.len(), 1);
    desk.pass(Duration::from_millis(2_500));
    assert!(desk.round()[0].start.is_empty());
    desk.pass(TICK);
    let (id, _) = desk.call().expect("another question");
    desk.told(id, advice("w0"));
    assert_eq!(desk.round()[0].start[0].run, 2);
}

fn lasting(count: u32, disruptions_max: Option<u32>) -> (StepSpec, TaskBehavior) {
    let (spec, behavior) = step(count, 8, 0);
    let spec = StepSpec { long_running: true, disruptions_max, ..spec };
    (spec, TaskBehavior { long_running: true, ..behavior })
}

fn machines(desk: &Desk, away: &[usize]) -> ExternalReply {
    let machine = |at: usize| Machine {
        name: format!("m{at}").into(),
        state: if away.contains(&at) { MachineState::Away } else { MachineState::Up },
        runner: Some(desk.runners[at].id.clone()),
    };
    ExternalReply::Machines { machines: (0..desk.runners.len()).map(machine).collect(), next: None }
}

fn wave(machines: &[&str], at_once: u32) -> Wave {
    let machines = machines.iter().map(|name| Box::from(*name)).collect();
    Wave { id: 1, machines, until_ms: 1_900_000_000_000, at_once }
}

/// Two machines of a wave each run one of two tasks of a step that allows one task to be
/// missing. Emptied at the same time, they would leave no task running, so the second machine
/// waits for the first.
#[test]
fn a_wave_takes_no_more_of_a_step_than_its_document_allows() {
    let (spec, behavior) = lasting(2, Some(1));
    let spec = StepSpec { per_runner_max: 1, ..spec };
    let mut desk = Desk::new(2, None, behavior);
    desk.round();
    desk.submit(vec![spec]);
    for _ in 0..3 {
        desk.pass(TICK);
        desk.round();
    }
    assert_eq!(desk.ask(CellRequest::WaveStart(wave(&["m0", "m1"], 2))), CellResponse::Ok);
    desk.pass(TICK);
    let (id, call) = desk.call().expect("a call that lists the machines");
    assert_eq!(call, ExternalCall::Machines { page: None });
    desk.told(id, machines(&desk, &[]));
    desk.pass(TICK);
    let stops: usize = desk.round().iter().map(|orders| orders.stop.len()).sum();
    assert_eq!(stops, 1, "one task may be missing, not two");
}

/// A machine goes down only when it is empty, by an order with the leader's term. The wave is
/// done when the machine is up again with another runner. Starting the same wave again changes
/// nothing.
#[test]
fn a_wave_is_done_when_its_machines_are_up_again() {
    let mut desk = Desk::new(1, None, TaskBehavior::default());
    desk.round();
    assert_eq!(desk.ask(CellRequest::WaveStart(wave(&["m0"], 1))), CellResponse::Ok);
    assert_eq!(desk.ask(CellRequest::WaveStart(wave(&["m0"], 1))), CellResponse::Ok);
    desk.pass(TICK);
    let (id, _) = desk.call().expect("a call that lists the machines");
    desk.told(id, machines(&desk, &[]));
    desk.pass(TICK);
    let (id, call) = desk.call().expect("an upkeep call");
    let ExternalCall::Upkeep { machine, wave, holder, token } = call else { panic!("{call:?}") };
    assert_eq!((&*machine, wave, &*holder, token), ("m0", 1, "e1", 3));
    desk.told(id, ExternalReply::Later);
    desk.pass(Duration::from_secs(1));
    let calls = desk.leader.take_calls();
    let again = calls.into_iter().find(|(_, call)| matches!(call, ExternalCall::Upkeep { .. }));
    let (id, _) = again.expect("the upkeep call may not have taken effect, so it is repeated");
    desk.told(id, ExternalReply::Done);
    assert_eq!(desk.ask(CellRequest::WaveState(1)), CellResponse::Wave { done: false });
    desk.runners[0] = EmulatedRunner::new("w9", "r1", 6, CAPACITY, desk.now);
    for _ in 0..8 {
        desk.pass(Duration::from_millis(800));
        if let Some((id, ExternalCall::Machines { .. })) = desk.call() {
            desk.told(id, machines(&desk, &[]));
        }
    }
    assert_eq!(desk.ask(CellRequest::WaveState(1)), CellResponse::Wave { done: true });
    assert_eq!(desk.ask(CellRequest::WaveState(2)), CellResponse::Gone);
}

/// A delayed report that arrives after newer ones does not list a run that began meanwhile. If
/// the leader acted on it, it would order that run again and renew a lease by a report that is
/// seconds old.
#[test]
fn a_late_report_gets_no_orders() {
    let (spec, behavior) = step(1, 1, 5_000);
    let mut desk = Desk::new(1, None, behavior);
    let held_up = desk.runners[0].report(desk.now);
    desk.round();
    desk.submit(vec![spec]);
    assert_eq!(desk.round()[0].start.len(), 1);
    desk.round();
    let CellResponse::Orders(orders) = desk.ask(CellRequest::Heartbeat(Box::new(held_up))) else {
        panic!()
    };
    assert_eq!((orders.lease_ms, orders.start.len(), orders.stop.len()), (0, 0, 0));
}

/// A task fails on a runner that may be at fault. Retries on that runner would use up the
/// attempts of the job within a second, so the task waits for another runner.
#[test]
fn a_second_try_goes_to_another_runner() {
    let (spec, behavior) = step(1, 1, 100);
    let mut desk = Desk::new(1, None, TaskBehavior { fails: true, ..behavior });
    desk.round();
    desk.submit(vec![spec]);
    assert_eq!(desk.round()[0].start.len(), 1);
    for _ in 0..4 {
        desk.pass(TICK);
        assert!(desk.round()[0].start.is_empty(), "started again on the runner where it failed");
    }
    let other = EmulatedRunner::new("w1", "r1", 5, CAPACITY, desk.now);
    desk.runners.push(other);
    desk.round();
    assert_eq!(desk.round()[1].start.len() + desk.runners[1].running().count(), 1);
}
