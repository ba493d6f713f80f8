//! Tests of the memory that jobs take at a leader: who is refused when it is used up, and what work
//! grows with the tasks that jobs declare.

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
use yuccalink_coordination::jobs::messages::QueueAddress;
use yuccalink_coordination::jobs::room::JobRoom;
use yuccalink_coordination::jobs::{CellRequest, CellResponse, HeardKnowledge, LeaderConfig};
use yuccalink_fakes::emulator::TaskBehavior;
use yuccalink_state::jobs::{ChangeSet, JobCommand, JobId, JobPhase, JobSpec, Queue, StepSpec};

/// Memory of the process, in bytes: room for some dozens of the largest jobs.
const PROCESS_BYTES: u64 = 8 << 20;
const SECOND: Duration = Duration::from_secs(1);
/// Cores of a task that fits no runner.
const TOO_LARGE: u64 = 48;

fn harness() -> LeaderHarness {
    let cfg = LeaderConfig { room: JobRoom::of_process(PROCESS_BYTES), ..LeaderConfig::default() };
    let behavior = TaskBehavior { run_time: SECOND / 4, ..TaskBehavior::default() };
    let mut set: ChangeSet = world::change_set();
    set.version += 1;
    let other = Queue { name: "other".into(), prefix: "/other/".into(), ..set.queues[0].clone() };
    set.queues.push(other);
    let commands = vec![JobCommand::Change(Box::new(set))];
    let mut harness = LeaderHarness::with_config(cfg, 2, None, behavior, commands);
    harness.report_round();
    harness
}

fn other_queue() -> QueueAddress {
    QueueAddress { path: "/other/1".into(), ..queue_address() }
}

/// A job of the most steps and tasks, none of which fits a runner.
fn wide() -> Arc<JobSpec> {
    let steps = vec![StepSpec { count: 4_096, ..step(1, TOO_LARGE, 800).0 }; 64];
    Arc::new(JobSpec { payload: "p".into(), steps, schedule: None })
}

fn small() -> Arc<JobSpec> {
    Arc::new(JobSpec { payload: "p".into(), steps: vec![step(1, 1, 100).0], schedule: None })
}

fn submit(
    harness: &mut LeaderHarness,
    at: QueueAddress,
    id: u64,
    spec: Arc<JobSpec>,
) -> CellResponse {
    harness.request(CellRequest::Submit { at, id: JobId(id), spec })
}

/// Submits wide jobs until one is refused, and returns the numbers of the accepted ones.
fn fill(harness: &mut LeaderHarness) -> Vec<u64> {
    let accepted = (1..10_000)
        .take_while(|id| submit(harness, queue_address(), *id, wide()) == CellResponse::Accepted);
    accepted.collect()
}

/// Guards against a caller whose submissions take the memory of every process, or all of it from
/// the callers of other queues.
#[test]
fn the_queue_that_fills_the_memory_is_refused_and_others_are_not() {
    let mut harness = harness();
    let filled = fill(&mut harness);
    assert!(filled.len() > 20, "{} wide jobs", filled.len());
    let limit = harness.leader.memory_limit();
    assert!(harness.leader.state().memory().total() <= limit);
    let refused = submit(&mut harness, queue_address(), 10_000, wide());
    assert!(matches!(refused, CellResponse::Refused { after_ms } if after_ms > 0), "{refused:?}");
    assert!(harness.leader.state().job(JobId(10_000)).is_none(), "a refused job never runs");
    for id in 20_000..20_100 {
        assert_eq!(submit(&mut harness, other_queue(), id, small()), CellResponse::Accepted);
    }
    for _ in 0..40 {
        harness.advance(SECOND / 4);
        harness.report_round();
    }
    let ended = |id: &u64| {
        let job = harness.leader.state().job(JobId(*id));
        job.is_some_and(|job| job.phase == JobPhase::Completed)
    };
    assert_eq!((20_000..20_100).filter(ended).count(), 100);
}

/// Guards against memory that is not given back, and against cancellations that are refused.
#[test]
fn a_full_cell_takes_cancellations_and_then_new_jobs() {
    let mut harness = harness();
    let filled = fill(&mut harness);
    let more = filled.len() as u64 + 1;
    for id in filled {
        let cancel = CellRequest::Cancel { at: queue_address(), id: JobId(id) };
        assert_eq!(harness.request(cancel), CellResponse::Ok);
    }
    let deadline = harness.now + LeaderConfig::default().job_retention + SECOND * 30;
    while harness.now < deadline && harness.leader.state().memory().total() > 0 {
        harness.advance(SECOND);
        harness.report_round();
    }
    assert_eq!(harness.leader.state().memory().total(), 0);
    assert_eq!(submit(&mut harness, queue_address(), more, wide()), CellResponse::Accepted);
}

/// Guards against a resend that is refused although its job is stored, and against a next leader
/// that takes what the one before refused.
#[test]
fn a_full_cell_acknowledges_known_jobs_and_its_next_leader_refuses_alike() {
    let mut harness = harness();
    let refused = fill(&mut harness).len() as u64 + 1;
    for _ in 0..2 {
        assert_eq!(submit(&mut harness, queue_address(), 1, wide()), CellResponse::Accepted);
        let answer = submit(&mut harness, queue_address(), refused, wide());
        assert!(matches!(answer, CellResponse::Refused { .. }), "{answer:?}");
        harness.replace_leader(&HeardKnowledge::default());
    }
}

/// Guards against submissions that wait for the log and together take the memory before they are
/// counted.
#[test]
fn submissions_that_are_not_committed_are_bounded_and_their_copies_are_not_refused() {
    let mut harness = harness();
    let mut answers = Vec::new();
    for id in 1..=40 {
        let (at, spec) = (queue_address(), wide());
        answers.push(harness.send(CellRequest::Submit { at, id: JobId(id), spec }));
    }
    let refused =
        |answer: &Option<CellResponse>| matches!(answer, Some(CellResponse::Refused { .. }));
    let first_refused = answers.iter().position(refused).expect("a refusal");
    assert!(answers[..first_refused].iter().all(Option::is_none), "{answers:?}");
    assert!(answers[first_refused..].iter().all(refused), "{answers:?}");
    let copy = CellRequest::Submit { at: queue_address(), id: JobId(1), spec: wide() };
    assert_eq!(harness.send(copy), Some(CellResponse::Unknown));
    harness.commit();
    assert!(harness.leader.state().job(JobId(1)).is_some());
    assert!(harness.leader.state().job(JobId(first_refused as u64 + 1)).is_none());
}

/// Guards against a leader whose work grows with the tasks that jobs declare.
#[test]
fn a_tick_and_a_report_cost_the_same_however_many_tasks_are_declared() {
    let cost = |steps: usize, count: u32| {
        let mut harness = harness();
        let steps = vec![StepSpec { count, ..step(1, TOO_LARGE, 800).0 }; steps];
        harness.submit(steps);
        let before = harness.leader.counts().steps_examined;
        for _ in 0..40 {
            harness.advance(SECOND / 40);
            harness.report_round();
        }
        let job = harness.leader.state().job(JobId(1)).expect("a job");
        let begun = job.occurrences[0].steps.iter().map(|step| step.tasks.begun().count());
        (harness.leader.counts().steps_examined - before, begun.sum::<usize>())
    };
    assert_eq!(cost(1, 1), cost(1, 1_000));
    assert_eq!(cost(64, 1), cost(64, 4_096));
}
