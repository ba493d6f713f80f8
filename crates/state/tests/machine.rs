//! Tests of the state machine: concurrent operators, placements, evictions, the ledger.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use yuccalink_state::command::{
    Apply, CancelOutcome, Placement, RequestBegin, RequestEnd, TaskEvent, TaskReport,
    TaskSubmission,
};
use yuccalink_state::document::{DisruptionTolerance, Document, TaskClass, TaskKind};
use yuccalink_state::id::{Epoch, Incarnation, Name, Revision, TaskId, WorkerKey};
use yuccalink_state::ledger::{
    ANSWER_MAX, RETAINED_BYTES_MAX, RETENTION_MS, RequestKey, RequestOutcome, StoredResponse,
    Verdict,
};
use yuccalink_state::snapshot::Meta;
use yuccalink_state::task::{TaskOutcome, TaskPhase};
use yuccalink_state::worker::WorkerSpec;
use yuccalink_state::{Command, Outcome, Resources, StateMachine, snapshot};

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

fn apply(version: u64, text: &str, author: &str) -> Command {
    let kind = |name: Name, millicores| TaskKind {
        name,
        need: Resources { millicores, memory_mib: 10, accelerators: 0 },
        duration_ms: 1,
        class: TaskClass::Batch,
        spread: Default::default(),
    };
    let document = Document {
        service: name("s"),
        team: name("t"),
        version,
        peak: None,
        requests: [].into(),
        tasks: [kind(name("small"), 300), kind(name("large"), 700)].into(),
        disruption_tolerance: DisruptionTolerance {
            checkpoint: true,
            evictions: 9,
            ..DisruptionTolerance::default()
        },
    };
    let mut digest = [0; 32];
    digest[..text.len()].copy_from_slice(text.as_bytes());
    Command::Apply(Box::new(Apply { document, text: text.into(), digest, author: author.into() }))
}

fn submit(kind: &str, count: u32) -> Command {
    Command::Submit(TaskSubmission {
        key: format!("{kind}{count}").into(),
        service: name("s"),
        kind: name(kind),
        count,
        urgent: false,
        payload: "".into(),
        at_ms: 0,
    })
}

fn worker(label: &str, incarnation: u64) -> Command {
    Command::WorkerUp(Box::new(WorkerSpec {
        name: name(label),
        incarnation: Incarnation(incarnation),
        address: "127.0.0.1:1".into(),
        capacity: Resources { millicores: 1000, memory_mib: 100, accelerators: 0 },
        rack: name("r"),
        zone: name("z"),
    }))
}

fn place(task: u64, worker: u32) -> Command {
    Command::Place([Placement { task: TaskId(task), worker: WorkerKey(worker) }].into())
}

fn report(task: u64, epoch: u64, event: TaskEvent) -> Command {
    Command::Report([TaskReport { task: TaskId(task), epoch: Epoch(epoch), event }].into())
}

fn state(commands: impl IntoIterator<Item = Command>) -> StateMachine {
    let mut state = StateMachine::new();
    for command in commands {
        state.apply(command);
    }
    state
}

fn phase(state: &StateMachine, task: u64) -> TaskPhase {
    state.task(TaskId(task)).expect("a task").phase.clone()
}

/// Two operators apply different texts with the same version at the same time.
/// Exactly one may come into force, and the other operator must be told who won.
#[test]
fn of_two_texts_with_one_version_the_first_wins() {
    let mut state = StateMachine::new();
    let won = state.apply(apply(1, "a", "anna"));
    assert_eq!(won, Outcome::Accepted { revision: Revision(1), resent: false });
    let lost = state.apply(apply(1, "b", "ben"));
    let winner = Outcome::Conflict { version: 1, author: "anna".into(), revision: Revision(1) };
    assert_eq!(lost, winner);
    assert_eq!(&*state.service(&name("s")).expect("a service").accepted.text, "a");
}

/// An operator misses the answer and resends the change after others have applied
/// hundreds more. The resend must get the first answer and revert nothing.
#[test]
fn a_resend_gets_its_first_answer_and_reverts_nothing() {
    let mut state = state((1..=300).map(|v| apply(v, &v.to_string(), "anna")));
    let again = state.apply(apply(7, "7", "anna"));
    assert_eq!(again, Outcome::Accepted { revision: Revision(7), resent: true });
    assert_eq!(state.service(&name("s")).expect("a service").accepted.document.version, 300);
    assert!(matches!(state.apply(apply(7, "x", "ben")), Outcome::Conflict { version: 7, .. }));
    assert!(matches!(state.apply(apply(299, "x", "ben")), Outcome::Conflict { version: 299, .. }));
    assert_eq!(state.revision(), Revision(300));
}

#[test]
fn a_submission_sent_again_adds_nothing() {
    let mut state = state([apply(1, "a", "a"), submit("small", 3)]);
    let again = state.apply(submit("small", 3));
    assert_eq!(again, Outcome::Submitted { first: TaskId(1), count: 3, resent: true });
    assert_eq!(state.tasks().count(), 3);
}

/// Two placements that were planned from the same older state name the same worker.
/// The second would exceed the worker's capacity and must be dropped.
#[test]
fn a_placement_beyond_capacity_is_dropped() {
    let mut state = state([apply(1, "a", "a"), submit("large", 2), worker("w", 1)]);
    assert!(matches!(state.apply(place(1, 0)), Outcome::Placed(p) if p.len() == 1));
    assert_eq!(state.apply(place(2, 0)), Outcome::Placed([].into()));
    assert_eq!(phase(&state, 2), TaskPhase::Waiting);
}

/// A partitioned worker reports the end of a task that has since been placed on
/// another worker. The late report must not end or free the new placement.
#[test]
fn a_late_report_of_an_old_epoch_changes_nothing() {
    let mut state = state([
        apply(1, "a", "a"),
        submit("small", 1),
        worker("w", 1),
        worker("v", 1),
        place(1, 0),
        Command::WorkerGone(name("w"), Incarnation(1)),
        place(1, 1),
    ]);
    let before = state.clone();
    state.apply(report(1, 1, TaskEvent::Finished));
    state.apply(report(1, 1, TaskEvent::Checkpointed { done_ms: 5 }));
    state.apply(report(1, 1, TaskEvent::Stopped));
    assert_eq!(state, before);
    state.apply(report(1, 2, TaskEvent::Finished));
    assert_eq!(phase(&state, 1), TaskPhase::Ended(TaskOutcome::Finished));
}

#[test]
fn an_evicted_task_resumes_from_its_checkpoint() {
    let mut state = state([
        apply(1, "a", "a"),
        submit("small", 1),
        worker("w", 1),
        place(1, 0),
        report(1, 1, TaskEvent::Started),
        Command::Evict([TaskId(1)].into()),
        report(1, 1, TaskEvent::Checkpointed { done_ms: 70 }),
        report(1, 1, TaskEvent::Stopped),
    ]);
    let task = state.task(TaskId(1)).expect("a task");
    assert_eq!((task.evictions, task.checkpoint.expect("a checkpoint").done_ms), (1, 70));
    assert_eq!(task.phase, TaskPhase::Waiting);
    state.apply(place(1, 0));
    assert_eq!(state.task(TaskId(1)).expect("a task").epoch, Epoch(2));
}

/// A cancelled task may be reported as "not run" only if it was never on a worker.
#[test]
fn a_cancelled_task_is_called_not_run_only_if_it_never_ran() {
    let mut state = state([apply(1, "a", "a"), submit("small", 2), worker("w", 1), place(1, 0)]);
    let both = Command::Cancel([TaskId(1), TaskId(2), TaskId(9)].into());
    let outcomes = [CancelOutcome::Stopping, CancelOutcome::NotRun, CancelOutcome::Unknown];
    assert_eq!(state.apply(both), Outcome::Cancelled(outcomes.into()));
    state.apply(report(1, 1, TaskEvent::Stopped));
    assert_eq!(phase(&state, 1), TaskPhase::Ended(TaskOutcome::Cancelled));
    let again = state.apply(Command::Cancel([TaskId(1)].into()));
    let ended = CancelOutcome::Ended(TaskOutcome::Cancelled);
    assert_eq!(again, Outcome::Cancelled([ended].into()));
}

#[test]
fn a_task_that_fails_three_times_ends_with_its_reason() {
    let mut state = state([apply(1, "a", "a"), submit("small", 1), worker("w", 1)]);
    for epoch in 1..=3 {
        state.apply(place(1, 0));
        state.apply(report(1, epoch, TaskEvent::Failed { reason: "bad input".into() }));
    }
    assert_eq!(phase(&state, 1), TaskPhase::Ended(TaskOutcome::Failed("bad input".into())));
}

fn key(text: &str) -> RequestKey {
    RequestKey { service: name("s"), key: text.into() }
}

fn begin(text: &str, attempt: u64, at_ms: u64) -> Command {
    Command::RequestBegin(RequestBegin {
        key: key(text),
        digest: [1; 32],
        attempt,
        at_ms,
        until_ms: at_ms + 1000,
    })
}

fn end(text: &str, attempt: u64, ended: RequestOutcome) -> Command {
    Command::RequestEnd(RequestEnd { key: key(text), attempt, ended })
}

fn answer(size: usize) -> StoredResponse {
    StoredResponse { status: 200, headers: [].into(), body: vec![7; size].into() }
}

/// A caller resends a request through another entry VM while the first is running,
/// after it was answered, and after its answer was lost. It must run only once.
#[test]
fn a_request_with_a_key_runs_once() {
    let mut state = StateMachine::new();
    assert_eq!(state.apply(begin("a", 1, 0)), Outcome::Request(Verdict::Go));
    assert_eq!(state.apply(begin("a", 1, 0)), Outcome::Request(Verdict::Go), "the same attempt");
    assert_eq!(state.apply(begin("a", 2, 10)), Outcome::Request(Verdict::Running));
    assert_eq!(state.apply(begin("a", 2, 5000)), Outcome::Request(Verdict::Unknown));
    state.apply(end("a", 1, RequestOutcome::Answered(answer(3))));
    let given = Outcome::Request(Verdict::Answered(answer(3)));
    assert_eq!(state.apply(begin("a", 3, 20)), given);
    state.apply(end("a", 1, RequestOutcome::NotRun));
    assert_eq!(state.apply(begin("a", 4, 30)), given, "the first outcome counts");
}

#[test]
fn a_request_that_did_not_run_may_be_sent_again() {
    let mut state = state([begin("a", 1, 0), end("a", 1, RequestOutcome::NotRun)]);
    assert_eq!(state.apply(begin("a", 2, 10)), Outcome::Request(Verdict::Go));
}

/// A request is running through one entry VM, and its caller resends it through
/// another, which cannot reach the leader and records its own attempt as "not run".
/// If that freed the key, a third attempt would run the request again.
#[test]
fn one_attempts_end_does_not_free_anothers_key() {
    let mut state = state([begin("a", 1, 0)]);
    state.apply(end("a", 2, RequestOutcome::NotRun));
    assert_eq!(state.apply(begin("a", 3, 10)), Outcome::Request(Verdict::Running));
    state.apply(end("a", 2, RequestOutcome::Unknown));
    state.apply(end("a", 1, RequestOutcome::Answered(answer(3))));
    let given = Outcome::Request(Verdict::Answered(answer(3)));
    assert_eq!(state.apply(begin("a", 4, 20)), given);
}

#[test]
fn a_key_used_for_another_request_is_refused() {
    let mut state = state([begin("a", 1, 0)]);
    let Command::RequestBegin(mut other) = begin("a", 2, 0) else { unreachable!() };
    other.digest = [2; 32];
    let outcome = state.apply(Command::RequestBegin(other));
    assert_eq!(outcome, Outcome::Request(Verdict::KeyReused));
}

/// Callers send new keys faster than old ones expire. The ledger must refuse new
/// requests before it has too little space to keep the response of one that ran.
#[test]
fn a_full_ledger_refuses_before_it_loses_an_answer() {
    let mut state = StateMachine::new();
    let mut accepted = 0;
    loop {
        let text = format!("k{accepted}");
        match state.apply(begin(&text, accepted, 0)) {
            Outcome::Request(Verdict::Go) => {}
            Outcome::Request(Verdict::Full) => break,
            other => panic!("{other:?}"),
        }
        state.apply(end(&text, accepted, RequestOutcome::Answered(answer(ANSWER_MAX))));
        accepted += 1;
    }
    assert!(state.ledger().bytes() <= RETAINED_BYTES_MAX);
    assert!(accepted > 200, "only {accepted} were accepted");
    assert!(matches!(state.apply(begin("k0", 999, 1)), Outcome::Request(Verdict::Answered(_))));
    let later = state.apply(begin("new", 1, RETENTION_MS + 1));
    assert_eq!(later, Outcome::Request(Verdict::Go));
    assert_eq!(state.ledger().len(), 1);
}

fn any_command() -> impl Strategy<Value = Command> {
    let task = 1u64..8;
    let event = prop_oneof![
        Just(TaskEvent::Started),
        (0u64..50).prop_map(|done_ms| TaskEvent::Checkpointed { done_ms }),
        Just(TaskEvent::Finished),
        Just(TaskEvent::Failed { reason: "r".into() }),
        Just(TaskEvent::Stopped),
        Just(TaskEvent::Refused { reason: "r".into() }),
    ];
    let label = prop::sample::select(vec!["w", "v", "u"]);
    prop_oneof![
        (1u64..4).prop_map(|v| apply(v, &v.to_string(), "a")),
        (1u32..3, prop::sample::select(vec!["small", "large"])).prop_map(|(n, k)| submit(k, n)),
        (label.clone(), 1u64..3).prop_map(|(w, incarnation)| worker(w, incarnation)),
        (label.clone(), 1u64..3)
            .prop_map(|(w, incarnation)| Command::WorkerGone(name(w), Incarnation(incarnation))),
        (label, 1u64..3)
            .prop_map(|(w, incarnation)| Command::WorkerLeaving(name(w), Incarnation(incarnation))),
        (task.clone(), 0u32..3).prop_map(|(t, w)| place(t, w)),
        (task.clone(), 1u64..4, event).prop_map(|(t, e, event)| report(t, e, event)),
        task.clone().prop_map(|t| Command::Evict([TaskId(t)].into())),
        task.prop_map(|t| Command::Cancel([TaskId(t)].into())),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// After any sequence of commands, no worker's capacity is exceeded, reserved
    /// sums match the tasks, epochs and revisions never decrease, and a snapshot
    /// restores the same state.
    #[test]
    fn any_history_keeps_the_invariants(commands in proptest::collection::vec(any_command(), 0..120)) {
        let mut state = StateMachine::new();
        for command in commands {
            let before: Vec<(TaskId, Epoch)> = state.tasks().map(|t| (t.id, t.epoch)).collect();
            let revision = state.revision();
            state.apply(command);
            prop_assert!(state.revision() >= revision);
            for (id, epoch) in before {
                prop_assert!(state.task(id).is_none_or(|task| task.epoch >= epoch));
            }
            for (key, worker) in state.workers() {
                let sum = state
                    .tasks()
                    .filter(|task| task.worker() == Some(key))
                    .try_fold(Resources::ZERO, |sum, task| sum.plus(task.need));
                prop_assert_eq!(sum, Some(worker.committed));
                prop_assert!(worker.spec.capacity.covers(worker.committed));
                prop_assert_eq!(state.tasks_on_worker(key).count(), worker.tasks as usize);
            }
            let waiting = state.tasks().filter(|t| t.phase == TaskPhase::Waiting).count();
            prop_assert_eq!(state.waiting_len(), waiting);
        }
        let bytes = snapshot::encode(&Meta::default(), &state).expect("a snapshot");
        prop_assert_eq!(snapshot::decode(&bytes, "memory").expect("decoded").state, state);
    }

    #[test]
    fn any_bytes_are_a_snapshot_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = snapshot::decode(&bytes, "memory");
        let _ = yuccalink_state::store::decode(&bytes);
    }
}
