//! Tests that a job starts nothing after its cancellation was applied, whatever is applied later.

use yuccalink_state::Resources;
use yuccalink_state::jobs::*;
use yuccalink_state::snapshot::{self, Meta};

const JOB: JobId = JobId(1);
/// Length of the sequences of commands, which are all tried.
const COMMANDS: u32 = 6;

/// What is applied to a cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    Submit,
    Cancel,
    Start,
    EndRun,
    RenameQueue,
    ReadBack,
}

const ACTIONS: [Action; 6] = [
    Action::Submit,
    Action::Cancel,
    Action::Start,
    Action::EndRun,
    Action::RenameQueue,
    Action::ReadBack,
];

struct Cell {
    state: CellState,
    cancelled: bool,
    version: u64,
}

impl Cell {
    fn new() -> Self {
        let mut state = CellState::new();
        let runner = RunnerIncarnation { id: "w1".into(), started_ms: 1, address: "w1".into() };
        state.apply(JobCommand::Meet(runner));
        Self { state, cancelled: false, version: 0 }
    }

    fn task(&self) -> TaskKey {
        TaskKey { job: JOB, occurrence: 0, step: 0, index: 0 }
    }

    fn last_run(&self) -> u32 {
        self.state.task(self.task()).map_or(0, |task| task.last_run)
    }

    /// Applies an action; true if a run starts.
    fn apply(&mut self, action: Action) -> bool {
        match action {
            Action::Submit => self.submit(),
            Action::Cancel => self.cancel(),
            Action::Start => return self.start(),
            Action::EndRun => self.end_run(),
            Action::RenameQueue => self.rename_queue(),
            Action::ReadBack => self.read_back(),
        }
        false
    }

    fn submit(&mut self) {
        let need = Resources { millicores: 1_000, memory_mib: 100, accelerators: 0 };
        let step = StepSpec { count: 1, need, long_running: true, ..StepSpec::default() };
        let spec = JobSpec { payload: "p".into(), steps: vec![step], schedule: None };
        let (queue, pool) = ("q".into(), "pool".into());
        let submission = JobSubmission { id: JOB, queue, pool, attempts: 2, at_ms: 5, spec };
        self.state.apply(JobCommand::Submit(Box::new(submission)));
    }

    /// Applies the command that a leader with this state proposes.
    fn cancel(&mut self) {
        self.state.apply(match self.state.is_active(JOB) {
            true => JobCommand::Cancel { id: JOB, at_ms: 9 },
            false => JobCommand::CancelInactive { id: JOB, at_ms: 9 },
        });
        self.cancelled = true;
    }

    fn start(&mut self) -> bool {
        let (task, run) = (self.task(), self.last_run() + 1);
        let start = RunStart { task, run, incarnation: IncarnationKey(0) };
        self.state.apply(JobCommand::Start(vec![start])) == JobOutcome::Started(vec![start])
    }

    fn end_run(&mut self) {
        let end = RunEnd {
            task: self.task(),
            run: self.last_run(),
            incarnation: IncarnationKey(0),
            outcome: RunOutcome::Stopped,
            checkpoint: Box::default(),
        };
        self.state.apply(JobCommand::End { ends: vec![end], at_ms: 9 });
    }

    fn rename_queue(&mut self) {
        self.version += 1;
        let queue = Queue { name: format!("q{}", self.version).into(), ..Queue::default() };
        let (version, queues) = (self.version, vec![queue]);
        let change = ChangeSet { version, queues, ..ChangeSet::default() };
        self.state.apply(JobCommand::Change(Box::new(change)));
    }

    fn read_back(&mut self) {
        let bytes = snapshot::encode(&Meta::default(), &self.state).expect("a snapshot");
        let back = snapshot::decode_as::<CellState>(&bytes, "memory").expect("decoded");
        self.state = back.state;
    }
}

/// Guards against a submission that comes into the log behind its cancellation and runs.
#[test]
fn no_run_starts_behind_a_cancellation_in_any_order_of_commands() {
    let count = ACTIONS.len();
    for number in 0..count.pow(COMMANDS) {
        let digits = (0..COMMANDS).map(|at| number / count.pow(at) % count);
        let actions: Vec<Action> = digits.map(|digit| ACTIONS[digit]).collect();
        let mut cell = Cell::new();
        for action in &actions {
            let started = cell.apply(*action);
            let runs = started || cell.state.is_active(JOB);
            assert!(!(cell.cancelled && runs), "{action:?} of {actions:?}");
        }
    }
}
