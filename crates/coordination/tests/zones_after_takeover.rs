//! Tests what the leader says of a zone before its runners have reported to it.

#[path = "cell/harness.rs"]
#[allow(dead_code)]
mod harness;
#[path = "cell/world.rs"]
#[allow(dead_code)]
mod world;

use harness::LeaderHarness;
use std::time::Duration;
use world::step;
use yuccalink_coordination::jobs::{CellRequest, CellResponse, Leader, LeaderConfig};
use yuccalink_fakes::emulator::TaskBehavior;
use yuccalink_state::evacuation::{ZoneAction, ZoneOrder};

/// Guards against a zone that operators take for empty while its runners are at work.
#[test]
fn a_new_leader_does_not_say_that_a_zone_with_runs_is_empty() {
    let run_time = Duration::from_secs(60);
    let mut harness =
        LeaderHarness::new(1, None, TaskBehavior { run_time, ..TaskBehavior::default() });
    harness.report_round();
    harness.submit(vec![step(1, 4, 60_000).0]);
    harness.report_round();
    harness.advance(Duration::from_millis(500));
    harness.report_round();
    let order =
        ZoneOrder { zone: "z0".into(), action: ZoneAction::Evacuate, empty: false, number: None };
    let answer = harness.request(CellRequest::Zone(Box::new(order)));
    assert!(matches!(&answer, CellResponse::Zone(zone) if zone.busy == 1), "{answer:?}");
    let state = harness.leader.state().clone();
    harness.leader_term += 1;
    let now = harness.leader_now();
    harness.leader = Leader::new(LeaderConfig::default(), harness.leader_term, state, now);
    let answer = harness.request(CellRequest::Zones);
    let says_empty = matches!(
        &answer,
        CellResponse::Zones(zones) if zones.iter().any(|zone| &*zone.zone == "z0" && zone.busy == 0)
    );
    assert!(!says_empty, "a run is at work: {answer:?}");
}
