//! Tests what becomes of the ends of runs that were given up, once their runner is back.

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
use yuccalink_coordination::jobs::external::ExternalReply;
use yuccalink_coordination::jobs::messages::FINISHED_PER_REPORT_MAX;
use yuccalink_coordination::jobs::{CellRequest, CellResponse, HeardKnowledge, RunnerOrders};
use yuccalink_fakes::emulator::{EmulatedRunner, TaskBehavior};
use yuccalink_state::Resources;
use yuccalink_state::jobs::change::Advisor;
use yuccalink_state::jobs::{JobId, JobPhase, JobSpec, RunOutcome, Schedule, StepSpec};

const RUN_TIME: Duration = Duration::from_millis(1_000);
const ROUND: Duration = Duration::from_millis(50);
/// Longer than any lease.
const SILENCE: Duration = Duration::from_millis(5_600);
/// Time after the return of a runner within which its ends are acknowledged, if work waits.
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_secs(2);
/// Longer than the state of an ended job is kept.
const RETENTION: Duration = Duration::from_secs(140);
/// Time of the first occurrence, before the start of the harness.
const DUE_MS: u64 = 1_800_000_000_000;

fn behavior(fails: bool) -> TaskBehavior {
    TaskBehavior { run_time: RUN_TIME, fails, ..TaskBehavior::default() }
}

/// One runner reports and carries out its orders, under which its tasks behave as given.
fn report(harness: &mut LeaderHarness, at: usize, behavior: TaskBehavior) -> RunnerOrders {
    let now = harness.now;
    let report = Box::new(harness.runners[at].report(now));
    let CellResponse::Orders(orders) = harness.request(CellRequest::Heartbeat(report)) else {
        panic!("no orders")
    };
    harness.runners[at].apply_orders(now, now, &orders, |_| Some(behavior));
    *orders
}

fn submit(harness: &mut LeaderHarness, id: u64, step: StepSpec, schedule: Option<Schedule>) {
    let spec = Arc::new(JobSpec { payload: "p".into(), steps: vec![step], schedule });
    let request = CellRequest::Submit { at: queue_address(), id: JobId(id), spec };
    assert_eq!(harness.request(request), CellResponse::Accepted);
}

fn cancel(harness: &mut LeaderHarness, id: u64) {
    let request = CellRequest::Cancel { at: queue_address(), id: JobId(id) };
    assert_eq!(harness.request(request), CellResponse::Ok);
}

fn lists_expired_run(runner: &EmulatedRunner) -> bool {
    runner.unacknowledged().iter().any(|end| end.outcome == RunOutcome::Lapsed)
}

/// What became of the task whose run was given up, by the time its runner is back.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Waits,
    RunsElsewhere,
    EndedElsewhere,
    Cancelled,
    Forgotten,
}

/// The step whose only task is given up.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    Plain,
    Speculative,
    Scheduled,
}

/// Runner 0 gets the only task, ends it and stays silent until the run is given up.
fn ended_and_given_up(kind: Kind, fails: bool) -> LeaderHarness {
    let mut harness = LeaderHarness::new(2, None, behavior(false));
    harness.report_round();
    let spec = StepSpec { speculative: kind == Kind::Speculative, ..step(1, 4, 1_000).0 };
    let schedule = Schedule { first_ms: DUE_MS, interval_ms: 1_000, count: 1 };
    submit(&mut harness, 1, spec, (kind == Kind::Scheduled).then_some(schedule));
    harness.advance(ROUND);
    assert_eq!(report(&mut harness, 0, behavior(fails)).start.len(), 1);
    let until = harness.now + RUN_TIME;
    while harness.now < until {
        harness.advance(ROUND);
    }
    let now = harness.now;
    harness.runners[0].advance(now);
    assert_eq!(harness.runners[0].unacknowledged().len(), 1);
    let until = harness.now + SILENCE;
    while harness.now < until {
        harness.advance(ROUND);
    }
    harness
}

fn meet_fate(harness: &mut LeaderHarness, fate: Fate) {
    let elsewhere = |harness: &mut LeaderHarness, span: Duration| {
        let until = harness.now + span;
        while harness.now < until {
            report(harness, 1, behavior(false));
            harness.advance(ROUND * 4);
        }
    };
    match fate {
        Fate::Waits => {}
        Fate::RunsElsewhere => {
            assert!(!report(harness, 1, behavior(false)).start.is_empty());
        }
        Fate::EndedElsewhere => elsewhere(harness, RUN_TIME * 2),
        Fate::Cancelled => cancel(harness, 1),
        Fate::Forgotten => {
            elsewhere(harness, ROUND * 4);
            cancel(harness, 1);
            elsewhere(harness, RETENTION);
            assert!(harness.leader.state().job(JobId(1)).is_none(), "the job is forgotten");
        }
    }
}

/// Guards against an end that is never acknowledged, or that is although its task has started
/// again and the runner has listed no expired lease.
#[test]
fn each_end_of_a_given_up_run_is_acknowledged_in_the_end() {
    let kinds = [Kind::Plain, Kind::Speculative, Kind::Scheduled];
    let fates =
        [Fate::Waits, Fate::RunsElsewhere, Fate::EndedElsewhere, Fate::Cancelled, Fate::Forgotten];
    let rows = kinds.into_iter().flat_map(|kind| fates.map(|fate| (kind, fate)));
    let rows = rows.flat_map(|row| [false, true].map(|fails| (row, fails)));
    for (((kind, fate), fails), new_leader) in rows.flat_map(|row| [(row, false), (row, true)]) {
        let row = format!("{kind:?} {fate:?} fails={fails} new-leader={new_leader}");
        let mut harness = ended_and_given_up(kind, fails);
        meet_fate(&mut harness, fate);
        if new_leader {
            harness.replace_leader(&HeardKnowledge::default());
        }
        // A task that was cancelled while it waited has never started again, and copies may.
        let needs_expiry =
            fate != Fate::Cancelled && (kind, fate) != (Kind::Speculative, Fate::EndedElsewhere);
        submit(&mut harness, 2, step(60, 1, 1_000).0, None);
        let until = harness.now + ACKNOWLEDGED_WITHIN;
        let mut expired = false;
        while harness.now < until && !harness.runners[0].unacknowledged().is_empty() {
            let now = harness.now;
            harness.runners[0].advance(now);
            expired |= lists_expired_run(&harness.runners[0]);
            let acked = report(&mut harness, 0, behavior(false)).acked_through;
            assert!(acked == 0 || expired || !needs_expiry, "{row}: acknowledged {acked}");
            report(&mut harness, 1, behavior(false));
            harness.advance(ROUND);
        }
        let left = harness.runners[0].unacknowledged();
        assert!(left.is_empty(), "{row}: {left:?}");
        assert_eq!(harness.leader.blocked_runners().count(), 0, "{row}");
        report(&mut harness, 0, behavior(false));
        assert!(harness.runners[0].running().count() > 1, "{row}: the runner takes no work");
    }
}

/// The only task fails on the only runner and starts there again. The second run ends, and the
/// runner stays silent until it is given up.
fn retried_and_given_up(fails: bool) -> LeaderHarness {
    let mut harness = LeaderHarness::new(2, None, behavior(false));
    report(&mut harness, 0, behavior(false));
    submit(&mut harness, 1, step(1, 4, 1_000).0, None);
    harness.advance(ROUND);
    assert_eq!(report(&mut harness, 0, behavior(true)).start.len(), 1);
    let until = harness.now + RUN_TIME * 2;
    while harness.now < until {
        harness.advance(ROUND);
        let orders = report(&mut harness, 0, behavior(fails));
        assert!(orders.start.is_empty(), "the task returns at once");
    }
    while report(&mut harness, 0, behavior(fails)).start.is_empty() {
        harness.advance(ROUND);
    }
    let until = harness.now + RUN_TIME;
    while harness.now < until {
        harness.advance(ROUND);
    }
    let now = harness.now;
    harness.runners[0].advance(now);
    let until = harness.now + SILENCE;
    while harness.now < until {
        harness.advance(ROUND);
    }
    harness
}

/// Guards against the end of a given-up run that is acknowledged because an earlier run of its task
/// failed on the same runner.
#[test]
fn each_end_of_a_given_up_retry_is_acknowledged_in_the_end() {
    let fates = [Fate::Waits, Fate::RunsElsewhere, Fate::EndedElsewhere, Fate::Cancelled];
    let rows = fates.into_iter().flat_map(|fate| [false, true].map(|fails| (fate, fails)));
    for ((fate, fails), new_leader) in rows.flat_map(|row| [(row, false), (row, true)]) {
        let row = format!("{fate:?} fails={fails} new-leader={new_leader}");
        let mut harness = retried_and_given_up(fails);
        meet_fate(&mut harness, fate);
        if new_leader {
            harness.replace_leader(&HeardKnowledge::default());
        }
        let ended = harness.runners[0].unacknowledged().iter().map(|end| end.number).max();
        let ended = ended.expect("the end of the second run");
        submit(&mut harness, 2, step(60, 1, 1_000).0, None);
        let until = harness.now + ACKNOWLEDGED_WITHIN;
        let mut expired = false;
        while harness.now < until && !harness.runners[0].unacknowledged().is_empty() {
            let now = harness.now;
            harness.runners[0].advance(now);
            expired |= lists_expired_run(&harness.runners[0]);
            let acked = report(&mut harness, 0, behavior(false)).acked_through;
            let early = acked >= ended && !expired && fate != Fate::Cancelled;
            assert!(!early, "{row}: acknowledged {acked}");
            report(&mut harness, 1, behavior(false));
            harness.advance(ROUND);
        }
        let left = harness.runners[0].unacknowledged();
        assert!(left.is_empty(), "{row}: {left:?}");
    }
}

/// Guards against tasks that wait for ever on idle runners because their ends are not listed.
#[test]
fn a_runner_works_for_minutes_after_a_run_on_it_was_given_up() {
    const JOBS: u64 = 120;
    let mut harness = ended_and_given_up(Kind::Plain, false);
    let short = TaskBehavior { run_time: ROUND * 4, ..TaskBehavior::default() };
    for id in 2..2 + JOBS {
        submit(&mut harness, id, step(32, 1, 200).0, None);
        for _ in 0..8 {
            report(&mut harness, 0, short);
            report(&mut harness, 1, short);
            harness.advance(ROUND);
        }
    }
    let active = harness.leader.state().all().filter(|(_, job)| job.phase == JobPhase::Active);
    assert_eq!(active.count(), 0, "jobs that never end");
    for runner in &harness.runners {
        assert!(runner.unacknowledged().len() <= 32, "{}", runner.unacknowledged().len());
    }
}

/// Guards against tasks that never end because a report has no room for the end.
#[test]
fn a_runner_whose_report_is_full_of_withheld_ends_gets_no_task() {
    let mut harness = LeaderHarness::new(2, None, behavior(false));
    harness.report_round();
    let need = Resources { millicores: 10, memory_mib: 10, accelerators: 0 };
    let count = u32::try_from(FINISHED_PER_REPORT_MAX).expect("a count") + 140;
    submit(&mut harness, 1, StepSpec { need, ..step(count, 1, 1_000).0 }, None);
    // The last tasks start before the first ones end.
    while harness.runners[0].running().count() < count as usize {
        report(&mut harness, 0, behavior(false));
        harness.advance(Duration::from_millis(20));
    }
    for _ in 0..130 {
        let now = harness.now;
        harness.runners[0].advance(now);
        harness.advance(ROUND);
    }
    for id in 2..22 {
        submit(&mut harness, id, step(16, 1, 1_000).0, None);
        for _ in 0..40 {
            assert!(report(&mut harness, 0, behavior(false)).start.is_empty());
            report(&mut harness, 1, behavior(false));
            harness.advance(ROUND);
        }
    }
    let active = harness.leader.state().all().filter(|(_, job)| job.phase == JobPhase::Active);
    assert_eq!(active.count(), 0, "jobs that never end");
    assert_eq!(harness.leader.blocked_runners().count(), 1);
}

/// Guards against orders for runs that have ended, because a report has no room for their ends.
#[test]
fn a_run_whose_end_a_full_report_leaves_out_is_not_ordered_again() {
    let mut harness = LeaderHarness::new(1, None, behavior(false));
    harness.report_round();
    let need = Resources { millicores: 10, memory_mib: 10, accelerators: 0 };
    let count = FINISHED_PER_REPORT_MAX + 140;
    let tasks = u32::try_from(count).expect("a count");
    submit(&mut harness, 1, StepSpec { need, ..step(tasks, 1, 1_000).0 }, None);
    // The last tasks start before the first ones end.
    while harness.runners[0].running().count() < count {
        report(&mut harness, 0, behavior(false));
        harness.advance(Duration::from_millis(20));
    }
    for _ in 0..30 {
        harness.advance(ROUND);
    }
    let now = harness.now;
    harness.runners[0].advance(now);
    assert_eq!(harness.runners[0].unacknowledged().len(), count);
    assert!(report(&mut harness, 0, behavior(false)).start.is_empty());
    while !harness.runners[0].unacknowledged().is_empty() {
        assert!(report(&mut harness, 0, behavior(false)).start.is_empty());
        harness.advance(ROUND);
    }
    assert_eq!(
        harness.leader.state().job(JobId(1)).map(|job| job.phase),
        Some(JobPhase::Completed)
    );
}

/// Guards against a task that runs twice because its end was left out of a full report when its
/// ticket expired.
#[test]
fn a_run_whose_end_a_full_report_leaves_out_is_not_given_up() {
    const POLICY: Advisor = Advisor { decision_ms: 20, per_runner_ms: 1, validity_ms: 3_000 };
    let mut harness = LeaderHarness::new(1, Some(POLICY), behavior(false));
    harness.report_round();
    let need = Resources { millicores: 10, memory_mib: 10, accelerators: 0 };
    let count = FINISHED_PER_REPORT_MAX + 140;
    let tasks = u32::try_from(count).expect("a count");
    submit(&mut harness, 1, StepSpec { need, ..step(tasks, 1, 1_000).0 }, None);
    harness.advance(ROUND * 2);
    let (call, _) = harness.take_call().expect("a query");
    let allowed = vec![("w0".into(), "t".into())];
    let validity_ms = POLICY.validity_ms;
    harness.reply_to_call(call, ExternalReply::Advice { allowed, validity_ms });
    while harness.runners[0].running().count() < count {
        report(&mut harness, 0, behavior(false));
        harness.advance(Duration::from_millis(20));
    }
    // All tasks have ended and all orders and tickets have expired before the next report.
    for _ in 0..60 {
        let now = harness.now;
        harness.runners[0].advance(now);
        harness.advance(ROUND);
    }
    assert_eq!(harness.runners[0].unacknowledged().len(), count);
    for _ in 0..4 {
        report(&mut harness, 0, behavior(false));
        harness.advance(ROUND);
    }
    assert_eq!(
        harness.leader.state().job(JobId(1)).map(|job| job.phase),
        Some(JobPhase::Completed)
    );
    let counts = harness.leader.counts();
    assert_eq!((counts.done, counts.lost), (u64::from(tasks), 0));
}

/// Guards against a failed run whose committed end a later leader holds back for ever.
#[test]
fn a_later_leader_acknowledges_a_committed_failure_of_a_task_that_started_again() {
    let mut harness = LeaderHarness::new(2, None, behavior(false));
    harness.report_round();
    submit(&mut harness, 1, step(1, 4, 1_000).0, None);
    report(&mut harness, 0, behavior(true));
    harness.advance(RUN_TIME);
    let now = harness.now;
    let lost = Box::new(harness.runners[0].report(now));
    // The answer, with the acknowledgement, is lost.
    harness.request(CellRequest::Heartbeat(lost));
    assert!(!report(&mut harness, 1, behavior(false)).start.is_empty(), "it starts again");
    harness.replace_leader(&HeardKnowledge::default());
    let acked = report(&mut harness, 0, behavior(false)).acked_through;
    assert_eq!((acked, harness.leader.blocked_runners().count()), (1, 0));
}

/// Guards against a start that is ordered for ever although the runner never lists it.
#[test]
fn a_task_whose_order_is_ignored_starts_elsewhere() {
    let mut harness = LeaderHarness::new(2, None, behavior(false));
    harness.report_round();
    submit(&mut harness, 1, step(1, 4, 1_000).0, None);
    let mut started = false;
    for _ in 0..80 {
        let now = harness.now;
        // The answer is lost.
        let unanswered = Box::new(harness.runners[0].report(now));
        harness.request(CellRequest::Heartbeat(unanswered));
        started |= !report(&mut harness, 1, behavior(false)).start.is_empty();
        harness.advance(ROUND * 4);
    }
    assert!(started);
    assert_eq!(harness.leader.counts().orders_ignored, 1);
}
