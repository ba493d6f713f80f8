//! Tests that no run of a job is at work after the answer to its cancellation, whatever arrives
//! later in whatever order.

#[path = "cell/harness.rs"]
#[allow(dead_code)]
mod harness;
#[path = "cell/world.rs"]
#[allow(dead_code)]
mod world;

use harness::LeaderHarness;
use std::sync::Arc;
use std::time::Duration;
use world::{CallerCounts, CancelTime, FaultProfile, World, change_set, job, queue_address, step};
use yuccalink_coordination::intake::{Intake, Next, RequestClass};
use yuccalink_coordination::jobs::messages::QueueAddress;
use yuccalink_coordination::jobs::{
    CellRequest, CellResponse, JobState, Leader, LeaderConfig, RequestToken,
};
use yuccalink_fakes::emulator::TaskBehavior;
use yuccalink_state::jobs::{JobId, JobSpec, Queue, Schedule, StepSpec};

const RUNNERS: usize = 2;
const JOB: JobId = JobId(1);
/// Time between two reports of a runner.
const ROUND: Duration = Duration::from_millis(200);
/// Longest time from the answer to a cancellation until all runs of its job have stopped.
const STOP_MAX: Duration = Duration::from_millis(4_400);

fn harness() -> LeaderHarness {
    let behavior = TaskBehavior { long_running: true, ..TaskBehavior::default() };
    let mut harness = LeaderHarness::new(RUNNERS, None, behavior);
    harness.report_round();
    harness
}

fn spec() -> Arc<JobSpec> {
    let steps = vec![StepSpec { long_running: true, ..step(2, 4, 60_000).0 }];
    Arc::new(JobSpec { payload: "p".into(), steps, schedule: None })
}

fn submission() -> CellRequest {
    CellRequest::Submit { at: queue_address(), id: JOB, spec: spec() }
}

fn cancellation() -> CellRequest {
    CellRequest::Cancel { at: queue_address(), id: JOB }
}

/// A harness with a job that is at work.
fn harness_with_runs() -> LeaderHarness {
    let mut harness = harness();
    assert_eq!(harness.request(submission()), CellResponse::Accepted);
    run_for(&mut harness, ROUND * 3);
    assert_eq!(runs_at_work(&harness), 2);
    harness
}

fn run_for(harness: &mut LeaderHarness, duration: Duration) {
    let until = harness.now + duration;
    while harness.now < until {
        harness.advance(ROUND);
        harness.report_round();
    }
}

fn runs_at_work(harness: &LeaderHarness) -> usize {
    harness.runners.iter().map(|runner| runner.running().count()).sum()
}

/// Hands a request to the leader whose commands are not committed.
fn propose(harness: &mut LeaderHarness, request: CellRequest) {
    let now = harness.leader_now();
    harness.leader.handle_request(now, RequestToken(u64::MAX), request);
}

/// Replaces the leader by one that knows what is committed; the rest is lost.
fn lose_leader(harness: &mut LeaderHarness) {
    let state = harness.leader.state().clone();
    let term = harness.leader_term + 1;
    harness.leader_term = term;
    harness.leader = Leader::new(LeaderConfig::default(), term, state, harness.leader_now());
}

/// Puts queues with these names and prefixes into force.
fn set_queues(harness: &mut LeaderHarness, version: u64, queues: &[(&str, &str)]) {
    let mut set = change_set();
    let like = set.queues.remove(0);
    let queue = |(name, prefix): &(&str, &str)| Queue {
        name: (*name).into(),
        prefix: (*prefix).into(),
        ..like.clone()
    };
    set.queues = queues.iter().map(queue).collect();
    set.version = version;
    assert_eq!(harness.request(CellRequest::Change(Arc::new(set))), CellResponse::Ok);
}

fn cancel(harness: &mut LeaderHarness) {
    let answer = harness.request(cancellation());
    assert!(matches!(answer, CellResponse::Ok | CellResponse::Gone), "{answer:?}");
}

/// Panics unless every run of the job stops in time and none starts, and the job is shown
/// neither as queued nor as running.
fn assert_stays_cancelled(harness: &mut LeaderHarness) {
    let before = runs_at_work(harness);
    for _ in 0..(STOP_MAX.as_millis() / ROUND.as_millis()) {
        harness.advance(ROUND);
        for orders in harness.report_round() {
            assert!(orders.start.is_empty(), "ordered after the answer: {:?}", orders.start);
        }
        let state = harness.request(CellRequest::State { at: queue_address(), id: JOB });
        let is_active = matches!(
            state,
            CellResponse::State(JobState::Queued) | CellResponse::State(JobState::Running)
        );
        assert!(!is_active, "shown after the answer: {state:?}");
    }
    assert_eq!(runs_at_work(harness), 0, "of {before} runs at the time of the answer");
    let pending = harness.request(CellRequest::Pending { at: queue_address() });
    assert_eq!(pending, CellResponse::Pending(0));
}

/// Guards against a job that runs because its submission is committed after the answer.
#[test]
fn a_submission_that_is_not_committed_yet_starts_nothing_after_its_cancellation() {
    let mut harness = harness();
    propose(&mut harness, submission());
    cancel(&mut harness);
    assert_stays_cancelled(&mut harness);
}

/// Guards against a job that runs because its submission is appended and committed later.
#[test]
fn a_submission_that_is_in_the_log_uncommitted_starts_nothing_after_its_cancellation() {
    let mut harness = harness();
    propose(&mut harness, submission());
    harness.hold_commits();
    propose(&mut harness, cancellation());
    harness.release_commits();
    let answers = harness.leader.take_answers();
    let is_final = |(_, answer): &(RequestToken, CellResponse)| {
        matches!(answer, CellResponse::Ok | CellResponse::Gone)
    };
    assert!(answers.iter().any(is_final), "{answers:?}");
    assert_stays_cancelled(&mut harness);
}

/// Guards against a cancellation that is handled before the submission that waits in front of it.
#[test]
fn a_submission_that_its_cancellation_overtakes_starts_nothing() {
    let mut harness = harness();
    let mut intake = Intake::default();
    for request in [submission(), cancellation()] {
        intake.push(RequestClass::of(&request), request, harness.now);
    }
    while let Some(next) = intake.pop(harness.now) {
        let Next::Handle(request, _) = next else { panic!("expired") };
        harness.request(request);
    }
    assert_stays_cancelled(&mut harness);
}

/// Guards against a copy of a submission that the network delivers after the answer.
#[test]
fn a_copy_of_a_submission_that_arrives_after_its_cancellation_starts_nothing() {
    let mut harness = harness();
    cancel(&mut harness);
    harness.advance(Duration::from_secs(3));
    harness.request(submission());
    assert_stays_cancelled(&mut harness);
}

/// Guards against a cancellation that only the leader that answered it remembers.
#[test]
fn a_copy_of_a_submission_that_arrives_at_the_next_leader_starts_nothing() {
    let mut harness = harness();
    cancel(&mut harness);
    lose_leader(&mut harness);
    harness.request(submission());
    assert_stays_cancelled(&mut harness);
}

/// Guards against a submission that is lost with its leader and sent again after the answer.
#[test]
fn a_submission_lost_with_its_leader_and_sent_again_starts_nothing_after_its_cancellation() {
    let mut harness = harness();
    propose(&mut harness, submission());
    lose_leader(&mut harness);
    cancel(&mut harness);
    harness.request(submission());
    assert_stays_cancelled(&mut harness);
}

/// Guards against a cancelled job that a copy of its submission starts again.
#[test]
fn a_copy_of_the_submission_of_a_cancelled_job_starts_nothing() {
    let mut harness = harness_with_runs();
    cancel(&mut harness);
    harness.request(submission());
    lose_leader(&mut harness);
    harness.request(submission());
    assert_stays_cancelled(&mut harness);
}

/// Guards against a cancellation that is lost with its leader and taken for answered.
#[test]
fn a_cancellation_lost_with_its_leader_is_sent_again_and_stops_the_job() {
    let mut harness = harness_with_runs();
    propose(&mut harness, cancellation());
    lose_leader(&mut harness);
    cancel(&mut harness);
    assert_stays_cancelled(&mut harness);
}

/// Guards against a job that runs on because its queue was renamed before its cancellation.
#[test]
fn a_job_of_a_renamed_queue_stops_after_its_cancellation() {
    let mut harness = harness_with_runs();
    set_queues(&mut harness, 2, &[("renamed", "/q/")]);
    cancel(&mut harness);
    assert_stays_cancelled(&mut harness);
}

/// Guards against waiting jobs that nobody counts once their queue was renamed.
#[test]
fn jobs_of_a_renamed_queue_are_counted_as_pending() {
    let mut harness = harness();
    let job = CellRequest::Submit { at: queue_address(), id: JOB, spec: spec() };
    harness.runners.clear();
    assert_eq!(harness.request(job), CellResponse::Accepted);
    set_queues(&mut harness, 2, &[("renamed", "/q/"), ("q", "/other/")]);
    let pending = |at| CellRequest::Pending { at };
    assert_eq!(harness.request(pending(queue_address())), CellResponse::Pending(1));
    let other = QueueAddress { path: "/other/".into(), ..queue_address() };
    assert_eq!(harness.request(pending(other)), CellResponse::Pending(0));
}

/// Guards against a job that runs on because two queues swapped their names.
#[test]
fn a_job_of_a_queue_that_swapped_its_name_stops_after_its_cancellation() {
    let mut harness = harness();
    set_queues(&mut harness, 2, &[("q", "/q/"), ("other", "/other/")]);
    assert_eq!(harness.request(submission()), CellResponse::Accepted);
    run_for(&mut harness, ROUND * 3);
    set_queues(&mut harness, 3, &[("other", "/q/"), ("q", "/other/")]);
    cancel(&mut harness);
    assert_stays_cancelled(&mut harness);
}

/// Guards against a job that runs on because its queue came back under another name.
#[test]
fn a_job_of_a_queue_that_came_back_under_another_name_stops_after_its_cancellation() {
    let mut harness = harness_with_runs();
    set_queues(&mut harness, 2, &[("other", "/other/")]);
    assert_eq!(harness.request(cancellation()), CellResponse::NoQueue);
    run_for(&mut harness, ROUND * 3);
    set_queues(&mut harness, 3, &[("other", "/other/"), ("again", "/q/")]);
    cancel(&mut harness);
    assert_stays_cancelled(&mut harness);
}

/// Lets the runners report until all runs have stopped; returns the time that it took.
fn time_to_stop<F>(harness: &mut LeaderHarness, mut answer: F) -> Duration
where
    F: FnMut(&mut LeaderHarness, Duration, CellRequest) -> CellResponse,
{
    const STEP: Duration = Duration::from_millis(50);
    let begin = harness.now;
    let mut next_reports = [begin; RUNNERS];
    while runs_at_work(harness) > 0 {
        harness.advance(STEP);
        let now = harness.now;
        for (at, next_report) in next_reports.iter_mut().enumerate() {
            harness.runners[at].advance(now);
            if now < *next_report {
                continue;
            }
            let report = Box::new(harness.runners[at].report(now));
            let response = answer(harness, now.since(begin), CellRequest::Heartbeat(report));
            let CellResponse::Orders(orders) = response else {
                *next_report = now + Duration::from_secs(1);
                continue;
            };
            harness.runners[at].apply_orders(now, now, &orders, |_| None);
            *next_report = now + Duration::from_millis(orders.retry_after_ms).max(STEP);
        }
    }
    harness.now.since(begin)
}

/// Guards against a run that works until its lease ends because its runner's reports are rejected.
#[test]
fn a_cancelled_run_stops_in_time_though_reports_are_rejected() {
    const REJECTED_FOR: Duration = Duration::from_secs(4);
    let mut harness = harness_with_runs();
    cancel(&mut harness);
    let took = time_to_stop(&mut harness, |harness, passed, report| {
        let now = harness.leader_now();
        match passed < REJECTED_FOR {
            true => harness.leader.reject(now, &report),
            false => harness.request(report),
        }
    });
    assert!(took <= STOP_MAX, "stopped after {took:?}");
}

/// Guards against a run that works until its lease ends because its runner's pool was removed.
#[test]
fn a_cancelled_run_stops_in_time_though_its_pool_was_removed() {
    let mut harness = harness_with_runs();
    let mut set = change_set();
    set.version = 2;
    set.pools[0].name = "other".into();
    set.queues[0].pool = "other".into();
    assert_eq!(harness.request(CellRequest::Change(Arc::new(set))), CellResponse::Ok);
    cancel(&mut harness);
    let took = time_to_stop(&mut harness, |harness, _, report| harness.request(report));
    assert!(took <= STOP_MAX, "stopped after {took:?}");
}

/// Guards against runs of cancelled jobs in any order of requests, changes, losses and crashes.
#[test]
fn no_run_is_at_work_after_a_cancellation_in_random_histories() {
    let mut failed = Vec::new();
    for seed in 0..HISTORIES {
        let violations = run_history(seed).cancelling_violations();
        if !violations.is_empty() {
            failed.push((seed, violations));
        }
    }
    let seeds: Vec<u64> = failed.iter().map(|(seed, _)| *seed).collect();
    let count = seeds.len();
    assert!(failed.is_empty(), "{count} of {HISTORIES} seeds fail: {seeds:?}; {:#?}", failed[0]);
}

/// Guards against histories that don't cancel in every phase of a job any more.
#[test]
fn the_histories_cancel_in_every_phase_of_a_job() {
    let counts: Vec<CallerCounts> = (0..20).map(|seed| run_history(seed).caller_counts()).collect();
    for phase in PHASES {
        let cancelled = counts.iter().filter_map(|counts| counts.cancelled_in.get(&phase));
        assert!(cancelled.sum::<usize>() > 0, "no cancellation {phase:?}");
    }
    let has = |count: fn(&CallerCounts) -> usize| counts.iter().map(count).sum::<usize>() > 0;
    assert!(has(|counts| counts.copies_after_answer), "no copies after an answer");
    assert!(has(|counts| counts.of_renamed_queues), "no jobs of renamed queues");
    assert!(has(|counts| counts.sent_again), "no requests of lost leaders");
}

const PHASES: [CancelTime; 7] = [
    CancelTime::BeforeSubmission,
    CancelTime::BesideSubmission,
    CancelTime::Queued,
    CancelTime::Begun,
    CancelTime::GangIncomplete,
    CancelTime::AtWork,
    CancelTime::Ended,
];

/// Histories in each test run.
const HISTORIES: u64 = 300;
const JOBS: u64 = 25;

fn run_history(seed: u64) -> World {
    let mut world = World::new(seed, 6, FaultProfile::CANCELLING);
    for id in 1..=JOBS {
        let (spec, behaviors) = random_job(&mut world);
        world.submit(JobId(id), spec, behaviors);
        let pause = 100 + world.random_below(1_200);
        world.run_for(Duration::from_millis(pause));
    }
    world.stop_faults();
    world.run_for(Duration::from_secs(40));
    world
}

fn random_job(world: &mut World) -> (JobSpec, Vec<TaskBehavior>) {
    let kind = match world.random_below(8) {
        0 | 1 => JobKind::LongRunning,
        2 => JobKind::Scheduled,
        3 | 4 => JobKind::Gang,
        _ => JobKind::Batch,
    };
    let mut steps = Vec::new();
    for at in 0..1 + world.random_below(2) {
        let (count, cores) = (1 + world.random_below(6), 1 + world.random_below(5));
        let work = 300 + world.random_below(4_000);
        let (mut spec, mut behavior) = step(u32::try_from(count).unwrap_or(1), cores, work);
        if at > 0 && world.random_below(2) == 0 && kind != JobKind::LongRunning {
            spec.depends_on = vec![u16::try_from(at - 1).unwrap_or(0)];
        }
        spec.checkpointing = world.random_below(2) == 0;
        spec.gang = kind == JobKind::Gang;
        spec.speculative = kind == JobKind::Batch && world.random_below(3) == 0;
        spec.long_running = kind == JobKind::LongRunning;
        behavior.long_running = spec.long_running;
        behavior.fails = !spec.long_running && world.random_below(20) == 0;
        steps.push((spec, behavior));
    }
    let (mut spec, behaviors) = job(steps);
    if kind == JobKind::Scheduled {
        let first_ms = world.unix_ms() + world.random_below(2_000);
        let interval_ms = 500 + world.random_below(3_000);
        spec.schedule = Some(Schedule { first_ms, interval_ms, count: 4 });
    }
    (spec, behaviors)
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum JobKind {
    Batch,
    Gang,
    LongRunning,
    Scheduled,
}
