//! Measures the memory that jobs take, in the replicated state and at a leader, beside the estimate
//! by which new jobs are refused, and the size of their snapshot.
//!
//! `cargo bench -p yuccalink-coordination --bench memory`

use std::fs;
use yuccalink_coordination::jobs::{Leader, LeaderConfig, Now};
use yuccalink_state::Resources;
use yuccalink_state::jobs::{
    CellState, ChangeSet, IncarnationKey, JobCommand, JobId, JobPhase, JobSpec, JobSubmission,
    Pool, Queue, RunEnd, RunOutcome, RunStart, RunnerIncarnation, StepSpec, TaskKey,
};
use yuccalink_state::snapshot::{self, Meta};

/// What has become of the tasks of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Progress {
    Declared,
    Assigned,
    FailedOnce,
    DoneAtOnce,
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    line.and_then(|l| l.split_whitespace().nth(1)?.parse::<u64>().ok()).unwrap_or(0) * 1024
}

fn change_set() -> ChangeSet {
    let queue = Queue {
        name: "q".into(),
        prefix: "/q/".into(),
        pool: "p".into(),
        timeout_ms: 1_000,
        ..Queue::default()
    };
    let pool = Pool { name: "p".into(), ..Pool::default() };
    ChangeSet { version: 1, queues: vec![queue], pools: vec![pool], ..ChangeSet::default() }
}

fn spec(steps: usize, count: u32) -> JobSpec {
    let need = Resources { millicores: 500, memory_mib: 256, accelerators: 0 };
    let step = StepSpec {
        count,
        need,
        estimate_ms: 900,
        required_label: Some("gpu-a100".into()),
        image: Some("image-7".into()),
        ..StepSpec::default()
    };
    JobSpec { payload: "run=400".into(), steps: vec![step; steps], schedule: None }
}

fn advance_task(state: &mut CellState, task: TaskKey, progress: Progress) {
    let incarnation = IncarnationKey(0);
    let outcome = match progress {
        Progress::Declared => return,
        Progress::Assigned => None,
        Progress::FailedOnce => Some(RunOutcome::Failed),
        Progress::DoneAtOnce => Some(RunOutcome::Done),
    };
    state.apply(JobCommand::Start(vec![RunStart { task, run: 1, incarnation }]));
    if let Some(outcome) = outcome {
        let end = RunEnd { task, run: 1, incarnation, outcome, checkpoint: "".into() };
        state.apply(JobCommand::End { ends: vec![end], at_ms: 1 });
    }
}

fn measure(jobs: u64, steps: usize, count: u32, progress: Progress) {
    let before = resident_bytes();
    let mut state = CellState::new();
    state.apply(JobCommand::Change(Box::new(change_set())));
    let runner = RunnerIncarnation { id: "w".into(), started_ms: 1, address: "w".into() };
    state.apply(JobCommand::Meet(runner));
    for id in 0..jobs {
        let submission = JobSubmission {
            id: JobId(id),
            queue: "q".into(),
            pool: "p".into(),
            attempts: 3,
            at_ms: 1,
            spec: spec(steps, count),
        };
        state.apply(JobCommand::Submit(Box::new(submission)));
        for step in 0..steps as u16 {
            for index in 0..count as u16 {
                let task = TaskKey { job: JobId(id), occurrence: 0, step, index };
                advance_task(&mut state, task, progress);
            }
        }
    }
    let of_state = resident_bytes().saturating_sub(before);
    let estimate = state.memory().total();
    let encoded = snapshot::encode(&Meta::default(), &state).map_or(0, |bytes| bytes.len() as u64);
    let ended = state.all().filter(|(_, job)| job.phase != JobPhase::Active).count();
    let before_leader = resident_bytes();
    let leader = Leader::new(LeaderConfig::default(), 1, state, Now::default());
    let of_leader = resident_bytes().saturating_sub(before_leader);
    println!(
        "{jobs} jobs ({ended} ended) of {steps} steps of {count} tasks {progress:?}: bytes a job: \
         state {}, leader {}, estimate {}, snapshot {}",
        of_state / jobs,
        of_leader / jobs,
        estimate / jobs,
        encoded / jobs
    );
    drop(leader);
}

fn main() {
    use Progress::{Assigned, Declared, DoneAtOnce, FailedOnce};
    // Each case runs in a process of its own: freed memory would hide what the next one takes.
    let cases = [
        (20_000, 1, 1, Declared),
        (20_000, 2, 10, Declared),
        (2_000, 64, 1, Declared),
        (2_000, 64, 4_096, Declared),
        (20_000, 2, 10, DoneAtOnce),
        (2_000, 64, 1, DoneAtOnce),
        (20, 2, 4_096, Assigned),
        (20, 2, 4_096, FailedOnce),
        (200, 2, 4_096, DoneAtOnce),
    ];
    let case = std::env::args().nth(1).and_then(|arg| arg.parse::<usize>().ok());
    for (at, (jobs, steps, count, progress)) in cases.into_iter().enumerate() {
        if case.is_none_or(|case| case == at) {
            measure(jobs, steps, count, progress);
        }
    }
}
