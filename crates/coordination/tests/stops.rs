//! Tests that runs of cancelled jobs are stopped by every answer of a leader, whether it renews
//! the runner's lease or not.

#[path = "cell/harness.rs"]
#[allow(dead_code)]
mod harness;
#[path = "cell/world.rs"]
#[allow(dead_code)]
mod world;

use harness::LeaderHarness;
use std::sync::Arc;
use std::time::Duration;
use world::{key, queue_address, step};
use yuccalink_coordination::jobs::{CellRequest, CellResponse, RunnerOrders, RunnerReport};
use yuccalink_fakes::emulator::TaskBehavior;
use yuccalink_state::jobs::{ChangeSet, JobId, StepSpec};

/// A runner at work on a long-running task, which has reported the run.
fn runner_at_work() -> LeaderHarness {
    let (spec, behavior) = step(1, 1, 60_000);
    let behavior = TaskBehavior { long_running: true, ..behavior };
    let mut harness = LeaderHarness::new(1, None, behavior);
    harness.report_round();
    harness.submit(vec![StepSpec { long_running: true, ..spec }]);
    harness.report_round();
    harness.advance(Duration::from_millis(500));
    harness.report_round();
    assert!(harness.runners[0].is_running(key(1, 0, 0)));
    harness
}

fn cancel(harness: &mut LeaderHarness) {
    let cancel = CellRequest::Cancel { at: queue_address(), id: JobId(1) };
    assert_eq!(harness.request(cancel), CellResponse::Ok);
}

fn next_report(harness: &mut LeaderHarness) -> Box<RunnerReport> {
    harness.advance(Duration::from_millis(500));
    Box::new(harness.runners[0].report(harness.now))
}

fn orders(response: CellResponse) -> RunnerOrders {
    match response {
        CellResponse::Orders(orders) => *orders,
        other => panic!("{other:?}"),
    }
}

/// The orders stop the run and renew no lease.
fn assert_stops(orders: &RunnerOrders) {
    assert_eq!((orders.lease_ms, &*orders.stop), (0, &[(key(1, 0, 0), 1)][..]));
}

/// Guards against a cancelled job at work until its lease ends, because reports wait too long.
#[test]
fn an_expired_report_is_answered_with_stops() {
    let mut harness = runner_at_work();
    cancel(&mut harness);
    let report = next_report(&mut harness);
    let now = harness.leader_now();
    let orders = orders(harness.leader.reject(now, &CellRequest::Heartbeat(report)));
    assert_stops(&orders);
    let now = harness.now;
    harness.runners[0].apply_orders(now, now, &orders, |_| None);
    harness.advance(Duration::from_millis(500));
    let now = harness.now;
    harness.runners[0].advance(now);
    assert!(!harness.runners[0].is_running(key(1, 0, 0)));
}

/// Guards against stops for work that goes on, in answers that look at the report alone.
#[test]
fn an_expired_report_stops_no_run_of_an_active_job() {
    let mut harness = runner_at_work();
    let report = next_report(&mut harness);
    let now = harness.leader_now();
    let orders = orders(harness.leader.reject(now, &CellRequest::Heartbeat(report)));
    assert_eq!((orders.lease_ms, orders.stop.len()), (0, 0));
}

/// Guards against a stop that is lost with the answer to the report that overtook this one.
#[test]
fn a_late_report_is_answered_with_stops() {
    let mut harness = runner_at_work();
    let late = next_report(&mut harness);
    let newer = next_report(&mut harness);
    cancel(&mut harness);
    harness.request(CellRequest::Heartbeat(newer));
    assert_stops(&orders(harness.request(CellRequest::Heartbeat(late))));
}

/// Guards against a runner that works on after another one has taken its name.
#[test]
fn an_earlier_incarnation_is_told_to_stop_its_runs() {
    let mut harness = runner_at_work();
    let report = next_report(&mut harness);
    let later = RunnerReport {
        started_ms: report.started_ms + 1,
        running: Vec::new(),
        ..RunnerReport::clone(&report)
    };
    harness.request(CellRequest::Heartbeat(Box::new(later)));
    assert_stops(&orders(harness.request(CellRequest::Heartbeat(report))));
}

/// Guards against a cancelled job at work until its lease ends, because its pool was removed.
#[test]
fn a_runner_whose_pool_was_removed_is_told_to_stop() {
    let mut harness = runner_at_work();
    cancel(&mut harness);
    let without_pool = ChangeSet { version: 2, ..ChangeSet::default() };
    assert_eq!(harness.request(CellRequest::Change(Arc::new(without_pool))), CellResponse::Ok);
    let report = next_report(&mut harness);
    assert_stops(&orders(harness.request(CellRequest::Heartbeat(report))));
}
