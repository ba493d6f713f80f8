//! Tests of the state of a job cell: what each command may and may not change.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use yuccalink_state::Resources;
use yuccalink_state::jobs::change::InvalidChangeSet;
use yuccalink_state::jobs::*;
use yuccalink_state::snapshot::{self, Meta};

const ATTEMPTS: u32 = 2;

fn step(count: u32) -> StepSpec {
    let need = Resources { millicores: 1_000, memory_mib: 100, accelerators: 0 };
    StepSpec { count, need, ..StepSpec::default() }
}

fn key(index: u16, step: u16) -> TaskKey {
    TaskKey { job: JobId(1), occurrence: 0, step, index }
}

fn table(steps: Vec<StepSpec>) -> CellState {
    let mut jobs = CellState::new();
    for id in ["w1", "w2", "w3"] {
        let incarnation = RunnerIncarnation { id: id.into(), started_ms: 1, address: id.into() };
        jobs.apply(JobCommand::Meet(incarnation));
    }
    let spec = JobSpec { payload: "p".into(), steps, schedule: None };
    let (queue, pool) = ("q".into(), "pool".into());
    let submit = JobSubmission { id: JobId(1), queue, pool, attempts: ATTEMPTS, at_ms: 5, spec };
    assert_eq!(
        jobs.apply(JobCommand::Submit(Box::new(submit))),
        JobOutcome::Accepted { new: true }
    );
    jobs
}

fn start(jobs: &mut CellState, task: TaskKey, run: u32, incarnation: u32) -> bool {
    let start = RunStart { task, run, incarnation: IncarnationKey(incarnation) };
    jobs.apply(JobCommand::Start(vec![start])) == JobOutcome::Started(vec![start])
}

fn end(jobs: &mut CellState, task: TaskKey, run: u32, incarnation: u32, outcome: RunOutcome) {
    let end = RunEnd {
        task,
        run,
        incarnation: IncarnationKey(incarnation),
        outcome,
        checkpoint: "s".into(),
    };
    jobs.apply(JobCommand::End { ends: vec![end], at_ms: 9 });
}

fn phase(jobs: &CellState) -> JobPhase {
    jobs.job(JobId(1)).expect("a job").phase
}

#[test]
fn a_task_runs_in_one_place_and_run_numbers_rise() {
    let mut jobs = table(vec![step(1)]);
    assert!(start(&mut jobs, key(0, 0), 1, 0));
    assert!(!start(&mut jobs, key(0, 0), 2, 1), "it may be running");
    end(&mut jobs, key(0, 0), 1, 0, RunOutcome::Stopped);
    assert!(!start(&mut jobs, key(0, 0), 1, 1), "a run number that was used before");
    assert!(start(&mut jobs, key(0, 0), 2, 1));
    assert_eq!(&*jobs.task(key(0, 0)).expect("a task").checkpoint, "s");
}

#[test]
fn an_end_of_another_run_changes_nothing() {
    let mut jobs = table(vec![step(1)]);
    assert!(start(&mut jobs, key(0, 0), 3, 0));
    end(&mut jobs, key(0, 0), 2, 0, RunOutcome::Done);
    end(&mut jobs, key(0, 0), 3, 1, RunOutcome::Done);
    assert_eq!(phase(&jobs), JobPhase::Active);
    end(&mut jobs, key(0, 0), 3, 0, RunOutcome::Done);
    assert_eq!(phase(&jobs), JobPhase::Completed);
    assert!(!start(&mut jobs, key(0, 0), 4, 0), "the task is done");
}

#[test]
fn a_step_waits_for_all_tasks_before_it() {
    let mut jobs = table(vec![step(2), StepSpec { depends_on: vec![0], ..step(1) }]);
    assert!(!start(&mut jobs, key(0, 1), 1, 0));
    for index in 0..2 {
        assert!(start(&mut jobs, key(index, 0), 1, 0));
        end(&mut jobs, key(index, 0), 1, 0, RunOutcome::Done);
    }
    assert!(start(&mut jobs, key(0, 1), 1, 0));
}

#[test]
fn a_task_that_failed_too_often_fails_its_job() {
    let mut jobs = table(vec![step(1)]);
    for run in 1..=ATTEMPTS {
        assert_eq!(phase(&jobs), JobPhase::Active);
        assert!(start(&mut jobs, key(0, 0), run, run));
        end(&mut jobs, key(0, 0), run, run, RunOutcome::Failed);
    }
    assert_eq!(phase(&jobs), JobPhase::Failed);
}

#[test]
fn only_failures_count_as_attempts() {
    let mut jobs = table(vec![step(1)]);
    let ends = [
        RunOutcome::Stopped,
        RunOutcome::Lapsed,
        RunOutcome::Broken,
        RunOutcome::Alone,
        RunOutcome::Refused,
        RunOutcome::Gone,
    ];
    for (run, outcome) in (1..).zip(ends) {
        assert!(start(&mut jobs, key(0, 0), run, 0));
        end(&mut jobs, key(0, 0), run, 0, outcome);
    }
    assert_eq!(phase(&jobs), JobPhase::Active);
}

const EVIDENCE: [LossEvidence; 3] =
    [LossEvidence::Nothing, LossEvidence::Ordered, LossEvidence::Working];

/// Registers a later incarnation of the runner that incarnation `of` belongs to.
fn restart_runner(jobs: &mut CellState, of: u32) -> IncarnationKey {
    let known = jobs.incarnation(IncarnationKey(of)).expect("an incarnation").clone();
    let incarnation = RunnerIncarnation { started_ms: known.started_ms + 1, ..known };
    match jobs.apply(JobCommand::Meet(incarnation)) {
        JobOutcome::Met(key) => key,
        other => panic!("{other:?}"),
    }
}

/// Guards against crashes under a task being forgotten when its next run starts.
#[test]
fn a_task_under_which_too_many_runners_crashed_fails_its_job() {
    for (evidence, most) in
        [(LossEvidence::Ordered, 3), (LossEvidence::Working, 4), (LossEvidence::Nothing, 4)]
    {
        let mut jobs = table(vec![step(1)]);
        for run in 1..=most {
            assert_eq!(phase(&jobs), JobPhase::Active, "{evidence} run {run}");
            assert!(start(&mut jobs, key(0, 0), run, run % 3));
            end(&mut jobs, key(0, 0), run, run % 3, RunOutcome::Crashed(evidence));
        }
        assert_eq!(phase(&jobs), JobPhase::Failed, "{evidence}");
        assert!(!start(&mut jobs, key(0, 0), most + 1, 0));
    }
}

/// Guards against unlimited starts after the third crash: runs that ended otherwise than by a
/// crash let a task be started a third time after it.
#[test]
fn runs_that_end_otherwise_after_three_crashes_are_bounded() {
    let mut jobs = table(vec![StepSpec { long_running: true, ..step(1) }]);
    for run in 1..=3 {
        assert!(start(&mut jobs, key(0, 0), run, run - 1));
        end(&mut jobs, key(0, 0), run, run - 1, RunOutcome::Crashed(LossEvidence::Working));
    }
    for run in 4..=5 {
        assert!(start(&mut jobs, key(0, 0), run, 0));
        end(&mut jobs, key(0, 0), run, 0, RunOutcome::Failed);
    }
    assert!(!start(&mut jobs, key(0, 0), 6, 0));
    assert_eq!(phase(&jobs), JobPhase::Failed);
}

/// Guards against counting a crash twice: once for the expired lease, and again for the
/// runner's next incarnation.
#[test]
fn one_crash_counts_once_however_it_is_learnt() {
    for evidence in EVIDENCE {
        let mut jobs = table(vec![step(1)]);
        for run in 1..=2 {
            assert!(start(&mut jobs, key(0, 0), run, run));
            end(&mut jobs, key(0, 0), run, run, RunOutcome::Silent(evidence));
            end(&mut jobs, key(0, 0), run, run, RunOutcome::Crashed(evidence));
            restart_runner(&mut jobs, run);
        }
        let losses = jobs.losses().of(key(0, 0));
        assert_eq!(losses.len(), 2, "{evidence}");
        assert!(losses.iter().all(|loss| loss.fate == RunnerFate::Crashed));
        assert_eq!(phase(&jobs), JobPhase::Active);
    }
}

/// Guards against the loss of crashes that become known only after the task was started
/// elsewhere.
#[test]
fn crashes_that_become_known_late_count_against_the_task() {
    let mut jobs = table(vec![step(1)]);
    for run in 1..=3 {
        assert!(start(&mut jobs, key(0, 0), run, run - 1));
        end(&mut jobs, key(0, 0), run, run - 1, RunOutcome::Silent(LossEvidence::Ordered));
    }
    assert_eq!(phase(&jobs), JobPhase::Active, "the runners may be partitioned");
    for incarnation in 0..3 {
        restart_runner(&mut jobs, incarnation);
    }
    assert_eq!(phase(&jobs), JobPhase::Failed);
}

/// Guards against suspecting tasks whose runners were only partitioned and report again.
#[test]
fn losses_of_a_runner_that_reports_again_are_removed() {
    let mut jobs = table(vec![step(1)]);
    for run in 1..=9 {
        assert!(start(&mut jobs, key(0, 0), run, 1));
        end(&mut jobs, key(0, 0), run, 1, RunOutcome::Silent(LossEvidence::Ordered));
        jobs.apply(JobCommand::Alive(IncarnationKey(1)));
        assert!(jobs.losses().is_empty());
    }
    assert_eq!(phase(&jobs), JobPhase::Active);
}

/// Guards against failing a long-running task that loses a runner from time to time.
#[test]
fn a_long_run_clears_earlier_losses() {
    let mut jobs = table(vec![StepSpec { long_running: true, ..step(1) }]);
    for run in 1..=20 {
        assert!(start(&mut jobs, key(0, 0), run, 1));
        let evidence = if run % 3 == 0 { LossEvidence::Proven } else { LossEvidence::Ordered };
        end(&mut jobs, key(0, 0), run, 1, RunOutcome::Crashed(evidence));
    }
    assert_eq!(phase(&jobs), JobPhase::Active);
}

/// Guards against unlimited starts of a task whose runners are lost and never report again.
#[test]
fn runners_that_never_return_limit_the_starts() {
    let mut jobs = table(vec![step(1)]);
    let mut starts = 0;
    while start(&mut jobs, key(0, 0), starts + 1, starts % 3) {
        starts += 1;
        end(
            &mut jobs,
            key(0, 0),
            starts,
            (starts - 1) % 3,
            RunOutcome::Silent(LossEvidence::Working),
        );
    }
    assert_eq!(starts, 5);
}

/// Guards against failing to read a state of an earlier release, which has no losses.
#[test]
fn a_state_without_losses_is_read_as_one_with_none() {
    let jobs = table(vec![step(1)]);
    let bytes = snapshot::encode(&Meta::default(), &jobs).expect("a snapshot");
    let (head, body) = bytes.split_at(16);
    let older = &body[..body.len() - 1];
    let head = [&head[..12], &crc32fast::hash(older).to_le_bytes()].concat();
    let back =
        snapshot::decode_as::<CellState>(&[&head, older].concat(), "memory").expect("decoded");
    assert_eq!(back.state, jobs);
}

/// A long-running task is started again however often it fails.
#[test]
fn long_running_tasks_never_fail_their_job() {
    let mut jobs = table(vec![StepSpec { long_running: true, ..step(1) }]);
    for run in 1..10 {
        assert!(start(&mut jobs, key(0, 0), run, 0));
        end(
            &mut jobs,
            key(0, 0),
            run,
            0,
            if run % 2 == 0 { RunOutcome::Failed } else { RunOutcome::Done },
        );
    }
    assert_eq!(phase(&jobs), JobPhase::Active);
}

#[test]
fn a_gang_is_done_when_one_member_is_done() {
    let mut jobs = table(vec![StepSpec { gang: true, ..step(3) }]);
    for index in 0..3 {
        assert!(start(&mut jobs, key(index, 0), 1, 0));
    }
    end(&mut jobs, key(1, 0), 1, 0, RunOutcome::Done);
    assert_eq!(phase(&jobs), JobPhase::Completed);
}

#[test]
fn a_speculative_task_may_run_twice_but_not_on_one_runner() {
    let mut jobs = table(vec![StepSpec { speculative: true, ..step(1) }]);
    assert!(start(&mut jobs, key(0, 0), 1, 0));
    assert!(!start(&mut jobs, key(0, 0), 2, 0));
    assert!(start(&mut jobs, key(0, 0), 2, 1));
    assert!(!start(&mut jobs, key(0, 0), 3, 2));
    end(&mut jobs, key(0, 0), 2, 1, RunOutcome::Done);
    assert_eq!(phase(&jobs), JobPhase::Completed);
    assert!(jobs.is_assigned(IncarnationKey(0), key(0, 0), 1), "the other copy still runs");
}

/// Guards against a scheduled job that is completed although occurrences are still to come.
#[test]
fn an_occurrence_is_counted_once_however_many_of_its_runs_are_done() {
    let copies = StepSpec { speculative: true, ..step(1) };
    let gang = StepSpec { gang: true, ..step(2) };
    for (spec, second) in [(copies, key(0, 0)), (gang, key(1, 0))] {
        let mut jobs = table(vec![spec.clone()]);
        let schedule = Some(Schedule { first_ms: 0, interval_ms: 1, count: 2 });
        let spec = JobSpec { payload: "p".into(), steps: vec![spec], schedule };
        let (queue, pool) = ("q".into(), "pool".into());
        let submit =
            JobSubmission { id: JobId(2), queue, pool, attempts: ATTEMPTS, at_ms: 5, spec };
        jobs.apply(JobCommand::Submit(Box::new(submit)));
        let (first, second) =
            (TaskKey { job: JobId(2), ..key(0, 0) }, TaskKey { job: JobId(2), ..second });
        let run = if first == second { 2 } else { 1 };
        assert!(start(&mut jobs, first, 1, 0) && start(&mut jobs, second, run, 1));
        end(&mut jobs, first, 1, 0, RunOutcome::Done);
        let unfinished =
            |jobs: &CellState| jobs.job(JobId(2)).map_or(0, |job| job.unfinished().count());
        assert_eq!(unfinished(&jobs), 1, "a run may still be running");
        end(&mut jobs, second, run, 1, RunOutcome::Done);
        let job = jobs.job(JobId(2)).expect("a job");
        assert_eq!((job.finished, job.phase), (1, JobPhase::Active));
        assert_eq!(unfinished(&jobs), 0);
    }
}

/// Guards against a gang that goes on although a member of it has ended.
#[test]
fn a_gang_runs_whole_until_a_member_ends() {
    let mut jobs = table(vec![StepSpec { gang: true, ..step(2) }]);
    let is_whole = |jobs: &CellState, run: u32| {
        jobs.job(JobId(1)).and_then(|job| job.step(0, 0)).is_some_and(|step| step.runs_whole(run))
    };
    assert!(start(&mut jobs, key(0, 0), 1, 0) && !is_whole(&jobs, 1));
    assert!(start(&mut jobs, key(1, 0), 1, 1) && is_whole(&jobs, 1) && !is_whole(&jobs, 2));
    end(&mut jobs, key(1, 0), 1, 1, RunOutcome::Stopped);
    assert!(!is_whole(&jobs, 1));
}

/// Guards against runs or occurrences that a restarted replica does not know of.
#[test]
fn a_snapshot_keeps_what_is_unfinished() {
    let mut jobs = table(vec![step(2)]);
    assert!(start(&mut jobs, key(0, 0), 1, 0) && start(&mut jobs, key(1, 0), 1, 1));
    end(&mut jobs, key(0, 0), 1, 0, RunOutcome::Done);
    let bytes = snapshot::encode(&Meta::default(), &jobs).expect("a snapshot");
    let read: CellState = snapshot::decode_as(&bytes, "a snapshot").expect("the snapshot").state;
    assert_eq!(read, jobs);
    let runs = |jobs: &CellState| -> Vec<_> {
        let job = jobs.job(JobId(1)).expect("a job");
        job.assignments(JobId(1)).map(|(task, _)| task).collect()
    };
    assert_eq!(runs(&read), [key(1, 0)]);
}

#[test]
fn a_cancelled_job_starts_nothing_and_is_kept_while_it_runs() {
    let mut jobs = table(vec![step(2)]);
    assert!(start(&mut jobs, key(0, 0), 1, 0));
    assert_eq!(
        jobs.apply(JobCommand::Cancel { id: JobId(1), at_ms: 7 }),
        JobOutcome::Cancelled(true)
    );
    assert!(!start(&mut jobs, key(1, 0), 1, 0));
    jobs.apply(JobCommand::Forget(vec![JobId(1)]));
    assert!(jobs.job(JobId(1)).is_some(), "a task of it may be running");
    end(&mut jobs, key(0, 0), 1, 0, RunOutcome::Stopped);
    jobs.apply(JobCommand::Forget(vec![JobId(1)]));
    assert!(jobs.job(JobId(1)).is_none());
}

/// A submission with a known job number is a resend, whatever else it contains.
#[test]
fn a_resent_submission_adds_nothing() {
    let mut jobs = table(vec![step(1)]);
    let spec = JobSpec { payload: "other".into(), steps: vec![step(9)], schedule: None };
    let (queue, pool) = ("q".into(), "pool".into());
    let again = JobSubmission { id: JobId(1), queue, pool, attempts: 1, at_ms: 6, spec };
    assert_eq!(
        jobs.apply(JobCommand::Submit(Box::new(again))),
        JobOutcome::Accepted { new: false }
    );
    assert_eq!(&*jobs.job(JobId(1)).expect("a job").spec.payload, "p");
}

/// Of two texts with the same version, the first committed one stays; a lower version
/// never replaces a higher one.
#[test]
fn the_highest_version_stays_in_force() {
    let mut jobs = CellState::new();
    let change = |version, text: &str| {
        let text = text.as_bytes().into();
        JobCommand::Change(Box::new(ChangeSet { version, text, ..ChangeSet::default() }))
    };
    assert_eq!(jobs.apply(change(5, "a")), JobOutcome::Changed(true));
    assert_eq!(jobs.apply(change(5, "b")), JobOutcome::Changed(false));
    assert_eq!(jobs.apply(change(4, "c")), JobOutcome::Changed(false));
    assert_eq!(&*jobs.change_set().expect("a change set").text, b"a");
}

#[test]
fn invalid_change_sets_are_refused() {
    let queue = |name: &str, prefix: &str| Queue {
        name: name.into(),
        prefix: prefix.into(),
        pool: "p".into(),
        timeout_ms: 1,
        ..Queue::default()
    };
    let pool = Pool { name: "p".into(), ..Pool::default() };
    let good =
        ChangeSet { queues: vec![queue("a", "/a/")], pools: vec![pool], ..ChangeSet::default() };
    assert_eq!(good.check(), Ok(()));
    let mut bad = good.clone();
    bad.queues.push(queue("b", "/a/"));
    assert_eq!(bad.check(), Err(InvalidChangeSet::SamePlace("".into(), "/a/".into())));
    let mut bad = good.clone();
    bad.queues[0].timeout_ms = 0;
    assert_eq!(bad.check(), Err(InvalidChangeSet::NoTimeout("a".into())));
    let mut bad = good;
    bad.pools.clear();
    assert_eq!(bad.check(), Err(InvalidChangeSet::UnknownPool("a".into(), "p".into())));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// After any history, a snapshot restores the same state, including the indexes.
    #[test]
    fn a_snapshot_restores_everything(actions in prop::collection::vec((0u16..4, 0u32..3, 0u8..9), 0..60)) {
        let mut jobs = table(vec![step(2), StepSpec { depends_on: vec![0], ..step(2) }]);
        for (at, incarnation, action) in actions {
            let evidence = EVIDENCE[usize::from(at) % EVIDENCE.len()];
            let task = key(at % 2, at / 2);
            let last = jobs.task(task).map_or(0, |task| task.last_run);
            match action {
                0 | 1 => { start(&mut jobs, task, last + 1, incarnation); }
                2 => end(&mut jobs, task, last, incarnation, RunOutcome::Done),
                3 => end(&mut jobs, task, last, incarnation, RunOutcome::Stopped),
                4 => end(&mut jobs, task, last, incarnation, RunOutcome::Failed),
                5 => end(&mut jobs, task, last, incarnation, RunOutcome::Silent(evidence)),
                6 => end(&mut jobs, task, last, incarnation, RunOutcome::Crashed(evidence)),
                7 => { restart_runner(&mut jobs, incarnation); }
                _ => end(&mut jobs, task, last, incarnation, RunOutcome::Lapsed),
            }
        }
        let bytes = snapshot::encode(&Meta::default(), &jobs).expect("a snapshot");
        let back = snapshot::decode_as::<CellState>(&bytes, "memory").expect("decoded").state;
        prop_assert_eq!(&back, &jobs);
    }

    #[test]
    fn task_keys_are_parsed_back(job in any::<u64>(), occurrence in any::<u32>(), step in any::<u16>(), index in any::<u16>()) {
        let key = TaskKey { job: JobId(job), occurrence, step, index };
        prop_assert_eq!(TaskKey::parse(&key.to_string()), Some(key));
    }

    #[test]
    fn other_texts_are_no_task_keys(text in "[0-9a-fA-F.]{0,30}") {
        if let Some(key) = TaskKey::parse(&text) {
            // Accepted texts may differ from the printed form in leading zeros.
            prop_assert_eq!(TaskKey::parse(&key.to_string()), Some(key));
        }
    }
}

fn submission(id: JobId) -> JobCommand {
    let spec = JobSpec { payload: "p".into(), steps: vec![step(1)], schedule: None };
    let (queue, pool) = ("q".into(), "pool".into());
    let submission = JobSubmission { id, queue, pool, attempts: ATTEMPTS, at_ms: 20, spec };
    JobCommand::Submit(Box::new(submission))
}

fn cancel_inactive(id: JobId, at_ms: u64) -> JobCommand {
    JobCommand::CancelInactive { id, at_ms }
}

/// Guards against a job that runs because its cancellation came first.
#[test]
fn a_job_that_was_cancelled_before_its_submission_starts_nothing() {
    let mut jobs = table(vec![]);
    assert_eq!(jobs.apply(cancel_inactive(JobId(2), 7)), JobOutcome::Cancelled(false));
    assert!(jobs.job(JobId(2)).is_none(), "nobody submitted it");
    assert_eq!(jobs.apply(submission(JobId(2))), JobOutcome::Accepted { new: false });
    assert_eq!(jobs.job(JobId(2)).expect("a job").phase, JobPhase::Cancelled);
    assert!(!start(&mut jobs, TaskKey { job: JobId(2), ..key(0, 0) }, 1, 0));
    assert!(jobs.cancellations().is_empty(), "the table holds the job now");
    assert_eq!(jobs.apply(submission(JobId(2))), JobOutcome::Accepted { new: false });
    assert!(!jobs.is_active(JobId(2)));
}

/// Guards against a cancellation that misses a job whose submission is committed just before it.
#[test]
fn a_cancellation_of_an_unknown_job_ends_one_that_was_submitted_meanwhile() {
    let mut jobs = table(vec![step(1)]);
    assert_eq!(jobs.apply(cancel_inactive(JobId(1), 7)), JobOutcome::Cancelled(true));
    assert_eq!(phase(&jobs), JobPhase::Cancelled);
    jobs.apply(JobCommand::Forget(vec![JobId(1)]));
    assert_eq!(jobs.apply(submission(JobId(1))), JobOutcome::Accepted { new: false });
}

/// Guards against cancellations that are remembered without end, or without bound.
#[test]
fn cancellations_of_inactive_jobs_are_bounded_and_forgotten() {
    let mut jobs = CellState::new();
    let most = CANCELLATIONS_MAX as u64;
    for id in 0..most {
        assert_eq!(jobs.apply(cancel_inactive(JobId(id), id)), JobOutcome::Cancelled(false));
    }
    assert_eq!(jobs.apply(cancel_inactive(JobId(0), 9)), JobOutcome::Cancelled(false));
    assert_eq!(jobs.apply(cancel_inactive(JobId(most), 9)), JobOutcome::TooManyCancellations);
    jobs.apply(JobCommand::ForgetCancellations(vec![JobId(0), JobId(1)]));
    assert_eq!(jobs.cancellations().len(), CANCELLATIONS_MAX - 2);
    assert_eq!(jobs.apply(cancel_inactive(JobId(most), 9)), JobOutcome::Cancelled(false));
}

/// Guards against a cancellation that is lost with the log, after a snapshot, and against an
/// earlier release that reads the snapshot without it.
#[test]
fn a_snapshot_keeps_the_cancellations_of_unknown_jobs() {
    let mut jobs = table(vec![step(1)]);
    let format = |jobs: &CellState| {
        let bytes = snapshot::encode(&Meta::default(), jobs).expect("a snapshot");
        u32::from_le_bytes(bytes[8..12].try_into().expect("four bytes"))
    };
    assert_eq!(format(&jobs), snapshot::FORMAT);
    jobs.apply(cancel_inactive(JobId(2), 7));
    assert_eq!(format(&jobs), snapshot::FORMAT_WITH_CANCELLATIONS);
    let bytes = snapshot::encode(&Meta::default(), &jobs).expect("a snapshot");
    let mut back = snapshot::decode_as::<CellState>(&bytes, "memory").expect("decoded").state;
    assert_eq!(back, jobs);
    back.apply(submission(JobId(2)));
    assert!(!back.is_active(JobId(2)));
    assert_eq!(format(&back), snapshot::FORMAT, "the table holds the job now");
}

/// Guards against ended jobs that stay in the table while many cancellations are remembered.
#[test]
fn an_ended_job_is_forgettable_beside_many_old_cancellations() {
    const LIMIT: usize = 256;
    let mut jobs = table(vec![step(1)]);
    for id in 0..2 * LIMIT as u64 {
        jobs.apply(cancel_inactive(JobId(1_000 + id), 7));
    }
    jobs.apply(JobCommand::Cancel { id: JobId(1), at_ms: 7 });
    assert!(jobs.forgettable(10, LIMIT).contains(&JobId(1)));
}
