//! Tests of steps with many tasks: what they take, and that earlier releases and this one agree.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use yuccalink_state::jobs::*;
use yuccalink_state::snapshot::{self, Meta};
use yuccalink_state::{Error, Resources};

/// Written by a release that keeps the state of each declared task: of three tasks, and of 70, one
/// is done, one has failed and one is assigned.
const FEW_TASKS: &[u8] = include_bytes!("data/few_tasks.snapshot");
const MANY_TASKS: &[u8] = include_bytes!("data/many_tasks.snapshot");

fn step(count: u32) -> StepSpec {
    let need = Resources { millicores: 1_000, memory_mib: 100, accelerators: 0 };
    StepSpec { count, need, ..StepSpec::default() }
}

fn key(index: u16) -> TaskKey {
    TaskKey { job: JobId(1), occurrence: 0, step: 0, index }
}

fn table(steps: Vec<StepSpec>) -> CellState {
    let mut jobs = CellState::new();
    for id in ["w1", "w2"] {
        let incarnation = RunnerIncarnation { id: id.into(), started_ms: 1, address: id.into() };
        jobs.apply(JobCommand::Meet(incarnation));
    }
    let spec = JobSpec { payload: "p".into(), steps, schedule: None };
    let (queue, pool) = ("q".into(), "pool".into());
    let submit = JobSubmission { id: JobId(1), queue, pool, attempts: 3, at_ms: 5, spec };
    jobs.apply(JobCommand::Submit(Box::new(submit)));
    jobs
}

fn start(jobs: &mut CellState, index: u16, run: u32, incarnation: u32) {
    let start = RunStart { task: key(index), run, incarnation: IncarnationKey(incarnation) };
    jobs.apply(JobCommand::Start(vec![start]));
}

fn end(jobs: &mut CellState, index: u16, run: u32, incarnation: u32, outcome: RunOutcome) {
    let incarnation = IncarnationKey(incarnation);
    let end = RunEnd { task: key(index), run, incarnation, outcome, checkpoint: "".into() };
    jobs.apply(JobCommand::End { ends: vec![end], at_ms: 9 });
}

fn with_one_done_one_failed_and_one_assigned(count: u32) -> CellState {
    let mut jobs = table(vec![step(count)]);
    for index in 0..3 {
        start(&mut jobs, index, 1, 1);
    }
    end(&mut jobs, 0, 1, 1, RunOutcome::Done);
    end(&mut jobs, 1, 1, 1, RunOutcome::Failed);
    jobs
}

fn encode(jobs: &CellState) -> Vec<u8> {
    snapshot::encode(&Meta::default(), jobs).expect("a snapshot")
}

fn decode(bytes: &[u8]) -> CellState {
    snapshot::decode_as(bytes, "a snapshot").expect("the snapshot").state
}

fn format(bytes: &[u8]) -> u32 {
    bytes[8..12].try_into().map_or(0, u32::from_le_bytes)
}

/// Guards against replicas of two releases that do not agree, or cannot read each other's state.
#[test]
fn snapshots_of_the_release_before_are_read_and_small_steps_are_written_alike() {
    let few = with_one_done_one_failed_and_one_assigned(3);
    assert_eq!(encode(&few), FEW_TASKS);
    assert_eq!(decode(FEW_TASKS), few);
    let many = with_one_done_one_failed_and_one_assigned(70);
    assert_eq!(decode(MANY_TASKS), many);
    assert_eq!(decode(&encode(&many)), many);
}

/// Guards against a release that reads a step without its tasks and never starts them.
#[test]
fn releases_that_know_no_sparse_steps_refuse_them() {
    assert_eq!(format(&encode(&table(vec![step(64)]))), snapshot::FORMAT);
    let mut bytes = encode(&table(vec![step(65)]));
    assert_eq!(format(&bytes), snapshot::FORMAT_WITH_SPARSE_TASKS);
    bytes[8] += 1;
    let unknown = snapshot::decode_as::<CellState>(&bytes, "a snapshot");
    assert!(matches!(unknown, Err(Error::Version { .. })), "{unknown:?}");
}

/// Guards against submissions whose declared tasks fill the memory and the disk of every replica.
#[test]
fn declared_tasks_take_neither_memory_nor_room_in_a_snapshot() {
    let declares = |count| table(vec![step(count); 64]);
    let (few, many) = (declares(1), declares(4_096));
    assert_eq!(many.memory().total(), few.memory().total());
    assert!(encode(&many).len() < encode(&few).len() + 64 * 8, "{}", encode(&many).len());
    let job = many.job(JobId(1)).expect("a job");
    let steps = job.occurrences.iter().flat_map(|occurrence| &occurrence.steps);
    assert_eq!(steps.map(|step| step.tasks.begun().count()).sum::<usize>(), 0);
}

/// Guards against a job whose state grows by each task that it has done.
#[test]
fn tasks_that_are_done_at_once_take_a_bit_each() {
    let mut jobs = table(vec![step(4_096)]);
    let (memory, bytes) = (jobs.memory().total(), encode(&jobs).len());
    for index in 0..4_095 {
        start(&mut jobs, index, 1, 0);
        end(&mut jobs, index, 1, 0, RunOutcome::Done);
    }
    assert_eq!(jobs.memory().total(), memory);
    assert!(encode(&jobs).len() < bytes + 2 * 4_096 / 8, "{}", encode(&jobs).len());
    assert_eq!(jobs.job(JobId(1)).map(|job| job.occurrences[0].steps[0].left), Some(1));
}

/// Guards against a damaged snapshot that names a task beyond its step.
#[test]
fn a_sparse_step_with_a_task_too_many_is_refused() {
    let mut jobs = table(vec![step(4_096)]);
    start(&mut jobs, 4_095, 1, 0);
    let fewer = encode(&jobs);
    let at = fewer.windows(2).rposition(|pair| pair == [0x80, 0x20]).expect("the number of tasks");
    let mut damaged = fewer;
    damaged[at..at + 2].copy_from_slice(&[0xff, 0x1f]);
    let checksum = crc32fast::hash(&damaged[16..]).to_le_bytes();
    damaged[12..16].copy_from_slice(&checksum);
    let read = snapshot::decode_as::<CellState>(&damaged, "a snapshot");
    assert!(matches!(read, Err(Error::Decode { .. })), "{read:?}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a command that one form of a step applies and the other refuses, and against
    /// counts that drift from the tasks.
    #[test]
    fn both_forms_of_a_step_behave_alike(
        actions in prop::collection::vec((0u16..3, 0u32..2, 0u8..6), 0..60),
        gang in any::<bool>(),
        speculative in any::<bool>(),
    ) {
        let spec = |count| StepSpec { gang, speculative, ..step(count) };
        // The members of a gang end together, so that its size shows.
        let (small, large) = if gang { (3, 3) } else { (3, 70) };
        let mut forms = [table(vec![spec(small)]), table(vec![spec(large)])];
        for jobs in &mut forms {
            for (index, incarnation, action) in &actions {
                let last = jobs.task(key(*index)).map_or(0, |task| task.last_run);
                match action {
                    0 | 1 => start(jobs, *index, last + 1, *incarnation),
                    2 => end(jobs, *index, last, *incarnation, RunOutcome::Done),
                    3 => end(jobs, *index, last, *incarnation, RunOutcome::Failed),
                    4 => end(jobs, *index, last, *incarnation, RunOutcome::Stopped),
                    _ => end(jobs, *index, last, *incarnation, RunOutcome::Lapsed),
                }
            }
            let back = decode(&encode(jobs));
            prop_assert_eq!(&back, &*jobs);
            let tasks = &jobs.job(JobId(1)).expect("a job").occurrences[0].steps[0].tasks;
            let waiting: Vec<u16> = tasks.waiting().collect();
            let waits = |index: &u16| tasks.get(*index).is_some_and(Task::is_waiting);
            let expected: Vec<u16> = (0..tasks.len() as u16).filter(waits).collect();
            prop_assert_eq!(waiting.len(), tasks.waiting_len() as usize);
            prop_assert_eq!(waiting, expected);
            let assigned = tasks.iter().map(|task| task.assignments.len()).sum::<usize>();
            prop_assert_eq!(assigned, tasks.assigned_len() as usize);
        }
        let [few, many] = &forms;
        for index in 0..3 {
            prop_assert_eq!(few.task(key(index)), many.task(key(index)));
        }
    }
}
