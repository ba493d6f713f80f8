//! Tests of what operators see of a cancellation: how it was answered, and what became of its
//! runs.

#[path = "cell/harness.rs"]
#[allow(dead_code)]
mod harness;
#[path = "cell/world.rs"]
#[allow(dead_code)]
mod world;

use harness::LeaderHarness;
use std::sync::Arc;
use std::time::Duration;
use world::{change_set, queue_address, step};
use yuccalink_coordination::jobs::messages::QueueAddress;
use yuccalink_coordination::jobs::{
    CancelCounters, CellRequest, CellResponse, Leader, LeaderConfig, RequestToken, RunnerReport,
};
use yuccalink_fakes::emulator::TaskBehavior;
use yuccalink_state::jobs::{ChangeSet, JobId, JobSpec};

const JOB: JobId = JobId(1);
/// Longer than any test.
const RUN_TIME: Duration = Duration::from_secs(600);

fn harness(runners: usize) -> LeaderHarness {
    let behavior = TaskBehavior { run_time: RUN_TIME, ..TaskBehavior::default() };
    LeaderHarness::new(runners, None, behavior)
}

/// A job of two tasks, one on each of two runners.
fn running() -> LeaderHarness {
    let mut harness = harness(2);
    harness.report_round();
    harness.submit_job(JOB, vec![step(2, 10, 1_000).0]);
    harness.report_round();
    assert!(harness.runners.iter().all(|runner| runner.running().count() == 1));
    harness
}

fn cancel(harness: &mut LeaderHarness) -> CellResponse {
    harness.request(CellRequest::Cancel { at: queue_address(), id: JOB })
}

fn counts(harness: &LeaderHarness) -> CancelCounters {
    harness.leader.counts().cancels
}

fn change(harness: &mut LeaderHarness, version: u64, change: ChangeSet) {
    let change = Arc::new(ChangeSet { version, ..change });
    assert_eq!(harness.request(CellRequest::Change(change)), CellResponse::Ok);
}

/// Guards against cancellations that were answered without effect and cannot be found again.
#[test]
fn a_cancellation_without_effect_is_counted_by_its_cause() {
    let mut harness = harness(1);
    cancel(&mut harness);
    assert_eq!(counts(&harness), CancelCounters { unknown: 1, ..CancelCounters::default() });
    let nowhere = QueueAddress { host: "elsewhere".into(), ..queue_address() };
    harness.request(CellRequest::Cancel { at: nowhere, id: JOB });
    assert_eq!(counts(&harness).without_queue, 1);
    assert_eq!(counts(&harness).unknown, 1);
}

/// Guards against a job that is taken for unknown in the log while its submission is committed.
#[test]
fn a_cancellation_beside_its_submission_is_counted_as_under_way() {
    let mut harness = harness(1);
    let spec = Arc::new(JobSpec { steps: vec![step(1, 4, 1_000).0], ..JobSpec::default() });
    let submit = CellRequest::Submit { at: queue_address(), id: JOB, spec };
    let now = harness.leader_now();
    harness.leader.handle_request(now, RequestToken(1_000), submit);
    let cancel = CellRequest::Cancel { at: queue_address(), id: JOB };
    harness.leader.handle_request(now, RequestToken(1_001), cancel);
    assert_eq!(counts(&harness), CancelCounters { under_way: 1, ..CancelCounters::default() });
}

/// Guards against a second cancellation, or one of an ended job, that is counted as one with an
/// effect.
#[test]
fn only_the_cancellation_that_ends_a_job_is_counted_as_cancelled() {
    let mut harness = running();
    assert_eq!(cancel(&mut harness), CellResponse::Ok);
    assert_eq!((counts(&harness).cancelled, counts(&harness).ended_before), (1, 0));
    assert_eq!(cancel(&mut harness), CellResponse::Ok);
    assert_eq!((counts(&harness).cancelled, counts(&harness).ended_before), (1, 1));
}

/// Guards against two copies of a cancellation in one batch that are both counted as effective.
#[test]
fn a_cancellation_committed_after_another_is_counted_as_late() {
    let mut harness = running();
    let now = harness.leader_now();
    for token in [1_000, 1_001] {
        let cancel = CellRequest::Cancel { at: queue_address(), id: JOB };
        harness.leader.handle_request(now, RequestToken(token), cancel);
    }
    harness.commit();
    assert_eq!((counts(&harness).cancelled, counts(&harness).ended_before), (1, 1));
}

/// Guards against a job whose queue came back under another name, unseen by operators.
#[test]
fn a_cancellation_at_a_queue_of_another_name_is_counted_as_renamed() {
    let mut harness = running();
    let mut set = change_set();
    set.queues.clear();
    change(&mut harness, 98, set);
    let mut set = change_set();
    set.queues[0].name = "again".into();
    change(&mut harness, 99, set);
    cancel(&mut harness);
    let expected = CancelCounters { renamed: 1, cancelled: 1, ..CancelCounters::default() };
    assert_eq!(counts(&harness), expected);
}

/// The next report of a runner, which gets no answer.
fn report(harness: &mut LeaderHarness, at: usize) -> Box<RunnerReport> {
    let now = harness.now;
    Box::new(harness.runners[at].report(now))
}

/// Guards against the end of the first run that is taken for the end of the whole job.
#[test]
fn the_time_of_a_cancellation_lasts_until_its_last_run_has_ended() {
    let mut harness = running();
    cancel(&mut harness);
    assert_eq!(harness.leader.cancelled_with_runs_len(), 1);
    for (at, ended) in [(0, 0), (1, 1)] {
        for wait in [300, 200] {
            harness.advance(Duration::from_millis(wait));
            let report = report(&mut harness, at);
            let CellResponse::Orders(orders) = harness.request(CellRequest::Heartbeat(report))
            else {
                panic!("no orders")
            };
            let now = harness.now;
            harness.runners[at].apply_orders(now, now, &orders, |_| None);
        }
        assert_eq!(harness.leader.cancellation_times().count(), ended);
    }
    let times = harness.leader.cancellation_times();
    assert_eq!((times.count(), times.sum()), (1, Duration::from_millis(1_000)));
    assert_eq!(harness.leader.cancelled_with_runs_len(), 0);
    let counts = counts(&harness);
    assert_eq!((counts.stops_ordered, counts.stops_repeated, counts.stops_late), (2, 0, 0));
}

/// Guards against memory that is kept, and times that are counted, for jobs without any run.
#[test]
fn a_cancelled_job_without_runs_leaves_nothing_behind() {
    let mut harness = harness(0);
    harness.submit_job(JOB, vec![step(2, 10, 1_000).0]);
    cancel(&mut harness);
    assert_eq!(harness.leader.cancelled_with_runs_len(), 0);
    assert_eq!(harness.leader.cancellation_times().count(), 0);
}

/// Guards against a run that goes on after its cancellation and shows nowhere, or at each report.
#[test]
fn a_run_that_does_not_stop_is_counted_as_late_once() {
    let mut harness = running();
    cancel(&mut harness);
    let mut late = Vec::new();
    for _ in 0..8 {
        harness.advance(Duration::from_millis(500));
        for at in 0..2 {
            let report = report(&mut harness, at);
            harness.request(CellRequest::Heartbeat(report));
        }
        late.push(counts(&harness).stops_late);
    }
    assert_eq!(late, [0, 0, 0, 0, 0, 2, 2, 2]);
    assert_eq!(counts(&harness).stops_ordered, 2);
    assert_eq!(counts(&harness).stops_repeated, 14);
}

/// Guards against a silent runner of a cancelled job that shows only when its lease has expired.
#[test]
fn a_run_on_a_silent_runner_is_counted_as_late() {
    let mut harness = running();
    cancel(&mut harness);
    harness.advance(Duration::from_millis(2_900));
    assert_eq!(counts(&harness).stops_late, 0);
    harness.advance(Duration::from_millis(100));
    assert_eq!((counts(&harness).stops_late, counts(&harness).stops_ordered), (2, 0));
}

/// Guards against reports of cancelled runs that a busy leader rejects, unseen by operators.
#[test]
fn a_rejected_report_that_lists_a_cancelled_run_is_counted() {
    let mut harness = running();
    harness.submit_job(JobId(2), vec![step(1, 2, 1_000).0]);
    let listed = CellRequest::Heartbeat(report(&mut harness, 0));
    let now = harness.leader_now();
    harness.leader.reject(now, &listed);
    assert_eq!(counts(&harness).reports_without_lease, 0);
    cancel(&mut harness);
    harness.leader.reject(now, &listed);
    harness.leader.reject(now, &listed);
    assert_eq!(counts(&harness).reports_without_lease, 2);
}

/// Guards against late reports of cancelled runs that no operator sees.
#[test]
fn a_late_report_that_lists_a_cancelled_run_is_counted() {
    let mut harness = running();
    let overtaken = report(&mut harness, 0);
    let latest = report(&mut harness, 0);
    harness.request(CellRequest::Heartbeat(latest));
    cancel(&mut harness);
    let CellResponse::Orders(orders) = harness.request(CellRequest::Heartbeat(overtaken)) else {
        panic!("no orders")
    };
    assert_eq!((orders.lease_ms, orders.stop.len()), (0, 1));
    let counts = counts(&harness);
    assert_eq!((counts.reports_without_lease, counts.stops_ordered), (1, 0));
}

/// Guards against runs of a cancelled job that nobody looks after once the leader has changed.
#[test]
fn a_new_leader_knows_the_cancelled_jobs_with_runs() {
    let mut harness = running();
    cancel(&mut harness);
    harness.now = harness.now + Duration::from_millis(700);
    let (now, state) = (harness.leader_now(), harness.leader.state().clone());
    harness.leader = Leader::new(LeaderConfig::default(), 4, state, now);
    assert_eq!(harness.leader.cancelled_with_runs_len(), 1);
    harness.report_round();
    harness.advance(Duration::from_millis(200));
    harness.report_round();
    assert_eq!(harness.leader.cancelled_with_runs_len(), 0);
    assert_eq!(harness.leader.cancellation_times().sum(), Duration::from_millis(900));
}

/// Guards against a run that goes on after its lease was taken for expired and shows nowhere.
#[test]
fn a_run_that_is_listed_after_its_end_is_counted() {
    let mut harness = running();
    harness.report_round();
    cancel(&mut harness);
    let listed = report(&mut harness, 0);
    for _ in 0..30 {
        harness.advance(Duration::from_millis(200));
    }
    assert_eq!(harness.leader.cancelled_with_runs_len(), 0);
    let CellResponse::Orders(orders) = harness.request(CellRequest::Heartbeat(listed)) else {
        panic!("no orders")
    };
    assert_eq!(orders.stop.len(), 1);
    let counts = counts(&harness);
    assert_eq!((counts.stops_ordered, counts.stops_after_end), (0, 1));
}
