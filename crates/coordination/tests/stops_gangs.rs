//! Tests that members of a broken gang are stopped by an answer that renews no lease.

#[path = "cell/harness.rs"]
#[allow(dead_code)]
mod harness;
#[path = "cell/world.rs"]
#[allow(dead_code)]
mod world;

use harness::LeaderHarness;
use std::time::Duration;
use world::step;
use yuccalink_coordination::jobs::{CellRequest, CellResponse};
use yuccalink_fakes::emulator::TaskBehavior;
use yuccalink_state::jobs::StepSpec;

/// Guards against members of a gang that work on until their lease ends after one of them is gone.
#[test]
fn an_expired_report_is_answered_with_a_stop_of_a_broken_gang() {
    let run_time = Duration::from_secs(600);
    let mut harness =
        LeaderHarness::new(2, None, TaskBehavior { run_time, ..TaskBehavior::default() });
    harness.report_round();
    harness.submit(vec![StepSpec { gang: true, ..step(2, 10, 600_000).0 }]);
    for _ in 0..5 {
        harness.advance(Duration::from_millis(200));
        harness.report_round();
    }
    let running: Vec<usize> = harness.runners.iter().map(|r| r.running().count()).collect();
    assert_eq!(running, [1, 1]);
    let left = harness.runners[1].report(harness.now);
    let (runner, started_ms) = (left.runner.clone(), Some(left.started_ms));
    harness.request(CellRequest::Leave { runner, started_ms });
    harness.commit();
    let report = Box::new(harness.runners[0].report(harness.now));
    let listed: Vec<_> = report.running.iter().map(|run| (run.task, run.run)).collect();
    let now = harness.leader_now();
    let answer = harness.leader.reject(now, &CellRequest::Heartbeat(report));
    let CellResponse::Orders(orders) = answer else { panic!("{answer:?}") };
    assert_eq!((orders.lease_ms, orders.stop), (0, listed));
}
