//! Tests that the answer to a cancellation holds while what the cell remembers is removed.

#[path = "cell/harness.rs"]
#[allow(dead_code)]
mod harness;
#[path = "cell/world.rs"]
#[allow(dead_code)]
mod world;

use harness::LeaderHarness;
use std::sync::Arc;
use std::time::Duration;
use world::{queue_address, step};
use yuccalink_coordination::jobs::{
    CellRequest, CellResponse, LeaderConfig, Now, RequestToken, RunnerOrders,
};
use yuccalink_fakes::emulator::TaskBehavior;
use yuccalink_state::jobs::{JobId, JobSpec, StepSpec};

const JOB: JobId = JobId(1);
const LATE_COPY: Duration = Duration::from_secs(3);

fn harness() -> LeaderHarness {
    let behavior = TaskBehavior { long_running: true, ..TaskBehavior::default() };
    let mut harness = LeaderHarness::new(1, None, behavior);
    harness.report_round();
    harness
}

fn submission() -> CellRequest {
    let steps = vec![StepSpec { long_running: true, ..step(1, 4, 60_000).0 }];
    let spec = Arc::new(JobSpec { payload: "p".into(), steps, schedule: None });
    CellRequest::Submit { at: queue_address(), id: JOB, spec }
}

fn cancel(harness: &mut LeaderHarness) {
    let answer = harness.request(CellRequest::Cancel { at: queue_address(), id: JOB });
    assert!(matches!(answer, CellResponse::Ok | CellResponse::Gone), "{answer:?}");
}

fn retention() -> Duration {
    LeaderConfig::default().job_retention
}

/// Runs the leader's periodic work.
fn tick(harness: &mut LeaderHarness) {
    let now = harness.leader_now();
    harness.leader.tick(now);
    harness.commit();
}

fn assert_a_late_copy_starts_nothing(harness: &mut LeaderHarness) {
    harness.advance(LATE_COPY);
    tick(harness);
    harness.request(submission());
    for _ in 0..5 {
        let orders: Vec<RunnerOrders> = harness.report_round();
        let started: Vec<_> = orders.iter().flat_map(|orders| &orders.start).collect();
        assert!(started.is_empty(), "started after the answer: {started:?}");
        harness.advance(Duration::from_millis(500));
    }
}

/// Guards against a cancellation that is forgotten early.
#[test]
fn a_cancellation_of_an_unknown_job_holds_for_the_retention() {
    let mut harness = harness();
    cancel(&mut harness);
    harness.advance(retention() - LATE_COPY);
    assert_a_late_copy_starts_nothing(&mut harness);
}

/// Guards against a cancellation that is answered again, and forgotten by its first answer's age.
#[test]
fn a_repeated_cancellation_of_an_unknown_job_holds_from_its_last_answer() {
    let mut harness = harness();
    cancel(&mut harness);
    harness.advance(retention() - Duration::from_secs(1));
    cancel(&mut harness);
    assert_a_late_copy_starts_nothing(&mut harness);
}

/// Guards against a cancellation of an ended job that is forgotten with the job.
#[test]
fn a_cancellation_of_an_ended_job_holds_from_its_answer() {
    let mut harness = harness();
    harness.request(submission());
    cancel(&mut harness);
    harness.advance(retention() - Duration::from_secs(1));
    cancel(&mut harness);
    assert_a_late_copy_starts_nothing(&mut harness);
}

/// Guards against an answer from a table whose entry a waiting command removes.
#[test]
fn a_cancellation_answered_while_its_removal_waits_for_the_log_holds() {
    let mut harness = harness();
    cancel(&mut harness);
    harness.advance(retention() - Duration::from_millis(100));
    tick(&mut harness);
    let mut now = harness.leader_now();
    now.at = now.at + Duration::from_secs(3);
    now.unix_ms += 3_000;
    harness.leader.tick(now);
    let request = CellRequest::Cancel { at: queue_address(), id: JOB };
    harness.leader.handle_request(now, RequestToken(u64::MAX), request);
    harness.commit();
    assert_a_late_copy_starts_nothing(&mut harness);
}

/// Guards against a cancellation that a jump of the wall clock removes.
#[test]
fn a_cancellation_of_an_unknown_job_holds_when_the_wall_clock_jumps() {
    let mut harness = harness();
    cancel(&mut harness);
    let now = harness.leader_now();
    let at = now.at + Duration::from_secs(3);
    harness.leader.tick(Now { at, unix_ms: now.unix_ms + 3_600_000 });
    harness.commit();
    assert_a_late_copy_starts_nothing(&mut harness);
}
