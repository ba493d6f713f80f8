//! Tests what scheduled jobs cost the leader: by what is unfinished, not by what is declared.

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
use yuccalink_coordination::jobs::{CellRequest, CellResponse, HeardKnowledge};
use yuccalink_fakes::emulator::TaskBehavior;
use yuccalink_state::jobs::{JobId, JobPhase, JobSpec, Schedule, StepSpec};

/// Unix time at the start of the harness.
const NOW_MS: u64 = 1_800_000_001_000;
const TICK: Duration = Duration::from_millis(25);
/// Cores of a task that fits no runner.
const TOO_LARGE: u64 = 48;
/// Steps that the leader may look at for each of its ticks, in the mean.
const STEPS_PER_TICK_MAX: u64 = 128;

fn harness() -> LeaderHarness {
    let run_time = Duration::from_millis(20);
    let mut harness =
        LeaderHarness::new(2, None, TaskBehavior { run_time, ..TaskBehavior::default() });
    harness.report_round();
    harness
}

fn submit(harness: &mut LeaderHarness, id: u64, steps: Vec<StepSpec>, schedule: Schedule) {
    let spec = Arc::new(JobSpec { payload: "p".into(), steps, schedule: Some(schedule) });
    let request = CellRequest::Submit { at: queue_address(), id: JobId(id), spec };
    assert_eq!(harness.request(request), CellResponse::Accepted);
}

/// A schedule whose occurrences are all due.
fn due(count: u32) -> Schedule {
    Schedule { first_ms: NOW_MS - u64::from(count), interval_ms: 1, count }
}

fn run(harness: &mut LeaderHarness, ticks: u32) {
    for _ in 0..ticks {
        harness.advance(TICK);
    }
}

fn steps_examined(harness: &mut LeaderHarness, ticks: u32) -> u64 {
    let before = harness.leader.counts().steps_examined;
    run(harness, ticks);
    harness.leader.counts().steps_examined - before
}

fn phase(harness: &LeaderHarness, id: u64) -> Option<JobPhase> {
    harness.leader.state().job(JobId(id)).map(|job| job.phase)
}

/// Guards against a leader that is too busy with due occurrences to answer anybody.
#[test]
fn a_tick_costs_the_same_with_ten_thousand_and_a_million_due_occurrences() {
    const TICKS: u32 = 40;
    let cost = |count| {
        let mut harness = harness();
        submit(&mut harness, 1, vec![step(1, TOO_LARGE, 800).0], due(count));
        run(&mut harness, 1);
        steps_examined(&mut harness, TICKS)
    };
    let (few, many, most) = (cost(10), cost(10_000), cost(1_000_000));
    assert_eq!(many, most);
    assert!(few <= many && most <= u64::from(TICKS) * STEPS_PER_TICK_MAX, "{few} {most}");
}

/// Guards against many backlogs that are each bounded and together are not.
#[test]
fn the_backlogs_of_all_schedules_together_are_bounded() {
    const JOBS: u64 = 500;
    let mut harness = harness();
    for id in 1..=JOBS {
        submit(&mut harness, id, vec![step(1, TOO_LARGE, 800).0], due(10_000));
    }
    run(&mut harness, 1);
    assert!(harness.leader.waiting_len() as u64 <= JOBS + 256, "{}", harness.leader.waiting_len());
}

/// Guards against a submission that can never be done and ends the service for all others.
#[test]
fn jobs_run_beside_a_backlog_that_fits_no_runner() {
    let mut harness = harness();
    let steps = vec![step(1, TOO_LARGE, 800).0, step(2, TOO_LARGE, 800).0];
    submit(&mut harness, 1, steps, due(1_000_000));
    for id in 2..22 {
        harness.submit_job(JobId(id), vec![step(4, 2, 100).0]);
        run(&mut harness, 2);
        harness.report_round();
    }
    for _ in 0..10 {
        run(&mut harness, 4);
        harness.report_round();
    }
    for id in 2..22 {
        assert_eq!(phase(&harness, id), Some(JobPhase::Completed), "job {id}");
    }
    let cancel = CellRequest::Cancel { at: queue_address(), id: JobId(1) };
    assert_eq!(harness.request(cancel), CellResponse::Ok);
    run(&mut harness, 1);
    assert_eq!(harness.leader.waiting_len(), 0);
}

/// Guards against occurrences of a backlog that are left out or start out of order.
#[test]
fn all_occurrences_of_a_backlog_run_in_their_order() {
    const COUNT: u32 = 3_000;
    let mut harness = harness();
    submit(&mut harness, 1, vec![step(1, 1, 20).0], due(COUNT));
    let mut started = Vec::new();
    while phase(&harness, 1) == Some(JobPhase::Active) {
        run(&mut harness, 2);
        for orders in harness.report_round() {
            started.extend(orders.start.iter().map(|order| order.task.occurrence));
        }
        assert!(started.len() <= COUNT as usize);
    }
    assert_eq!(phase(&harness, 1), Some(JobPhase::Completed));
    assert!(started.is_sorted(), "{started:?}");
    assert_eq!(started.len(), COUNT as usize);
}

/// Guards against a schedule that costs the more, the longer it has run.
#[test]
fn a_schedule_costs_the_same_after_thousands_of_occurrences() {
    const TICKS: u32 = 200;
    let mut harness = harness();
    let schedule = Schedule { first_ms: NOW_MS, interval_ms: 50, count: 1_000_000 };
    submit(&mut harness, 1, vec![step(1, 1, 20).0], schedule);
    let mut costs = Vec::new();
    for _ in 0..3 {
        let before = harness.leader.counts().steps_examined;
        for _ in 0..TICKS {
            run(&mut harness, 1);
            harness.report_round();
        }
        costs.push(harness.leader.counts().steps_examined - before);
        // Some hundred occurrences run in between.
        for _ in 0..TICKS * 10 {
            run(&mut harness, 1);
            harness.report_round();
        }
    }
    let finished = harness.leader.state().job(JobId(1)).map_or(0, |job| job.finished);
    assert!(finished > 3_000, "{finished}");
    assert!(costs[2] <= costs[0] + costs[0] / 10, "{costs:?}");
    harness.replace_leader(&HeardKnowledge::default());
    let first = steps_examined(&mut harness, 4);
    assert!(first <= 4 * STEPS_PER_TICK_MAX, "a new leader looks at {first} steps");
}

/// Guards against a panic, or a job without occurrences, at the ends of the range of a schedule.
#[test]
fn schedules_at_the_ends_of_their_range_are_served() {
    let mut harness = harness();
    let never = Schedule { first_ms: u64::MAX, interval_ms: u64::MAX, count: u32::MAX };
    let far = Schedule { first_ms: 0, interval_ms: u64::MAX, count: 2 };
    let at_once = Schedule { first_ms: 0, interval_ms: 0, count: u32::MAX };
    for (id, schedule) in (1..).zip([never, far, at_once]) {
        submit(&mut harness, id, vec![step(1, 1, 20).0], schedule);
    }
    for _ in 0..20 {
        run(&mut harness, 2);
        harness.report_round();
    }
    let finished = |id| harness.leader.state().job(JobId(id)).map_or(0, |job| job.finished);
    assert_eq!((finished(1), finished(2)), (0, 1));
    assert!(finished(3) > 100, "{}", finished(3));
}

/// Guards against starts before their time after the wall clock was set back.
#[test]
fn occurrences_leave_the_queue_when_the_clock_is_set_back() {
    let schedule = Schedule { first_ms: 10_000, interval_ms: 1_000, count: 100 };
    assert_eq!(schedule.due_through(20_000), 11);
    let mut harness = harness();
    let ahead = Schedule { first_ms: NOW_MS, interval_ms: 1_000, count: 100 };
    submit(&mut harness, 1, vec![step(1, TOO_LARGE, 20).0], ahead);
    let mut now = harness.leader_now();
    now.unix_ms += 10_000;
    harness.leader.tick(now);
    let queued = harness.leader.waiting_len();
    now.unix_ms -= 10_000;
    harness.leader.tick(now);
    assert!(queued > 10 && harness.leader.waiting_len() == 1, "{queued}");
}
