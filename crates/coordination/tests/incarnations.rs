//! Tests which incarnation of a runner is the newest when names, addresses and start times
//! overlap.

#[path = "cell/world.rs"]
#[allow(dead_code)]
mod world;

#[path = "cell/harness.rs"]
#[allow(dead_code)]
mod harness;

use harness::LeaderHarness;
use yuccalink_coordination::jobs::{CellRequest, CellResponse, RunnerReport};
use yuccalink_fakes::emulator::TaskBehavior;
use yuccalink_state::jobs::{JobCommand, RunnerIncarnation};

fn incarnation(id: &str, address: &str, started_ms: u64) -> JobCommand {
    JobCommand::Meet(RunnerIncarnation { id: id.into(), started_ms, address: address.into() })
}

fn lease_of(harness: &mut LeaderHarness, id: &str, address: &str, started_ms: u64) -> u64 {
    let report = RunnerReport {
        runner: id.into(),
        started_ms,
        sequence: 1,
        pool: "pool".into(),
        address: address.into(),
        ..RunnerReport::default()
    };
    match harness.request(CellRequest::Heartbeat(Box::new(report))) {
        CellResponse::Orders(orders) => orders.lease_ms,
        other => panic!("{other:?}"),
    }
}

/// A new leader must not refuse the reports of a live runner because another runner now has its
/// former address.
#[test]
fn a_new_leader_accepts_a_runner_that_moved() {
    let incarnations =
        vec![incarnation("a", "x:1", 5), incarnation("b", "x:1", 7), incarnation("a", "y:1", 6)];
    let mut harness = LeaderHarness::with_commands(0, None, TaskBehavior::default(), incarnations);
    assert!(lease_of(&mut harness, "a", "y:1", 6) > 0, "it runs at another address");
    assert!(lease_of(&mut harness, "b", "x:1", 7) > 0);
    assert_eq!(lease_of(&mut harness, "a", "x:1", 5), 0, "this incarnation has ended");
}

/// A late report of an incarnation must not renew its lease once another runner has its address.
#[test]
fn an_incarnation_ends_once_another_has_its_name_or_address() {
    let incarnations = vec![incarnation("a", "x:1", 5), incarnation("b", "x:1", 7)];
    let mut harness = LeaderHarness::with_commands(0, None, TaskBehavior::default(), incarnations);
    assert_eq!(lease_of(&mut harness, "a", "x:1", 5), 0);
    assert!(lease_of(&mut harness, "b", "x:1", 7) > 0);
}
