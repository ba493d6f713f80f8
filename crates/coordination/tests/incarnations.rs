//! Tests which incarnation of a runner is the newest when names, addresses and start times
//! overlap.

#[path = "cell/world.rs"]
#[allow(dead_code)]
mod world;

#[path = "cell/desk.rs"]
#[allow(dead_code)]
mod desk;

use desk::Desk;
use yuccalink_coordination::jobs::{CellRequest, CellResponse, RunnerReport};
use yuccalink_fakes::emulator::TaskBehavior;
use yuccalink_state::jobs::{JobCommand, RunnerIncarnation};

fn incarnation(id: &str, address: &str, started_ms: u64) -> JobCommand {
    JobCommand::Meet(RunnerIncarnation { id: id.into(), started_ms, address: address.into() })
}

fn lease_of(desk: &mut Desk, id: &str, address: &str, started_ms: u64) -> u64 {
    let report = RunnerReport {
        runner: id.into(),
        started_ms,
        sequence: 1,
        pool: "pool".into(),
        address: address.into(),
        ..RunnerReport::default()
    };
    match desk.ask(CellRequest::Heartbeat(Box::new(report))) {
        CellResponse::Orders(orders) => orders.lease_ms,
        other => panic!("{other:?}"),
    }
}

/// A new leader must not refuse the reports of a live runner because another runner now has its
/// former address.
#[test]
fn a_runner_that_moved_is_taken_by_a_new_leader() {
    let incarnations =
        vec![incarnation("a", "x:1", 5), incarnation("b", "x:1", 7), incarnation("a", "y:1", 6)];
    let mut desk = Desk::with(0, None, TaskBehavior::default(), incarnations);
    assert!(lease_of(&mut desk, "a", "y:1", 6) > 0, "it runs at another address");
    assert!(lease_of(&mut desk, "b", "x:1", 7) > 0);
    assert_eq!(lease_of(&mut desk, "a", "x:1", 5), 0, "this incarnation has ended");
}

/// A late report of an incarnation must not renew its lease once another runner has its address.
#[test]
fn a_life_is_over_once_its_name_or_address_is_anothers() {
    let incarnations = vec![incarnation("a", "x:1", 5), incarnation("b", "x:1", 7)];
    let mut desk = Desk::with(0, None, TaskBehavior::default(), incarnations);
    assert_eq!(lease_of(&mut desk, "a", "x:1", 5), 0);
    assert!(lease_of(&mut desk, "b", "x:1", 7) > 0);
}
