//! Tests what callers are told of cancellations, and what the leader keeps of cancelled jobs.

#[path = "cell/harness.rs"]
#[allow(dead_code)]
mod harness;
#[path = "cell/world.rs"]
#[allow(dead_code)]
mod world;

use harness::LeaderHarness;
use std::sync::Arc;
use world::{change_set, queue_address, step};
use yuccalink_coordination::jobs::{
    CellRequest, CellResponse, JobState, Leader, LeaderConfig, RequestToken,
};
use yuccalink_fakes::emulator::TaskBehavior;
use yuccalink_state::jobs::{CANCELLATIONS_MAX, ChangeSet, JobCommand, JobId, JobSpec};

const JOB: JobId = JobId(1);

fn harness() -> LeaderHarness {
    LeaderHarness::new(1, None, TaskBehavior::default())
}

fn submission() -> CellRequest {
    let spec = Arc::new(JobSpec { steps: vec![step(1, 4, 1_000).0], ..JobSpec::default() });
    CellRequest::Submit { at: queue_address(), id: JOB, spec }
}

fn cancellation() -> CellRequest {
    CellRequest::Cancel { at: queue_address(), id: JOB }
}

/// Guards against a final answer to a cancellation that was not stored.
#[test]
fn a_cancellation_above_the_bound_is_refused() {
    let mut harness = harness();
    let mut state = harness.leader.state().clone();
    let at_ms = harness.leader_now().unix_ms;
    for id in 0..CANCELLATIONS_MAX as u64 {
        state.apply(JobCommand::CancelInactive { id: JobId(1_000 + id), at_ms });
    }
    let now = harness.leader_now();
    harness.leader = Leader::new(LeaderConfig::default(), harness.leader_term, state, now);
    let answer = harness.request(cancellation());
    assert!(matches!(answer, CellResponse::Refused { .. }), "{answer:?}");
}

/// Guards against a job that is shown as gone because its queue was renamed.
#[test]
fn a_job_of_a_renamed_queue_is_shown() {
    let mut harness = harness();
    assert_eq!(harness.request(submission()), CellResponse::Accepted);
    let mut set = ChangeSet { version: 99, ..change_set() };
    set.queues[0].name = "renamed".into();
    assert_eq!(harness.request(CellRequest::Change(Arc::new(set))), CellResponse::Ok);
    let shown = harness.request(CellRequest::State { at: queue_address(), id: JOB });
    assert_eq!(shown, CellResponse::State(JobState::Queued));
}

/// Guards against a step that is ranked for ever because its job was cancelled beside its
/// submission.
#[test]
fn a_job_that_is_cancelled_beside_its_submission_waits_no_more() {
    let mut harness = harness();
    let now = harness.leader_now();
    harness.leader.handle_request(now, RequestToken(1_000), submission());
    harness.request(cancellation());
    assert_eq!(harness.leader.waiting_len(), 0);
}

/// Guards against a log that cancellations of unknown jobs fill without end.
#[test]
fn a_full_log_refuses_the_cancellation_of_an_unknown_job() {
    const COMMANDS_MAX: u64 = 8 * 1024;
    let mut harness = harness();
    let now = harness.leader_now();
    for id in 0..COMMANDS_MAX {
        let cancel = CellRequest::Cancel { at: queue_address(), id: JobId(1_000 + id) };
        harness.leader.handle_request(now, RequestToken(id), cancel);
    }
    assert_eq!(harness.leader.take_answers(), []);
    harness.leader.handle_request(now, RequestToken(COMMANDS_MAX), cancellation());
    let answers = harness.leader.take_answers();
    assert!(matches!(&answers[..], [(_, CellResponse::Refused { .. })]), "{answers:?}");
}
