//! Invariant checks that any test can attach. Each returns all violations that it found, with a
//! readable message.

use std::collections::{BTreeMap, HashMap};
use yuccalink_state::id::{Epoch, Name, TaskId, WorkerKey};
use yuccalink_state::{Resources, StateMachine};

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum Violation {
    /// the committed resources of worker {0} exceed its capacity
    CapacityExceeded(Name),
    /// the committed resources of worker {0} differ from the sum of its tasks
    CommitmentMismatch(Name),
    /// task {task} ran as epoch {first} and epoch {second} at once
    ConcurrentRuns {
        /// The task.
        task: TaskId,
        /// The earlier start.
        first: Epoch,
        /// The later start.
        second: Epoch,
    },
    /// task {0} finished twice
    FinishedTwice(TaskId),
    /// request {0} got the response to another request
    WrongAnswer(Box<str>),
    /// request {0} must run at most once and ran {1} times
    ExecutedRepeatedly(Box<str>, u32),
    /// request {0} was reported as "not run" but had run
    ExecutedDespiteNotRun(Box<str>),
    /// runner {runner} ran {running} requests at once but has {slots} slots
    SlotsExceeded {
        /// The runner.
        runner: Box<str>,
        /// Requests that it executed at once.
        running: u32,
        /// The number of its slots.
        slots: u32,
    },
}

/// Checks the resources committed on each worker against its capacity and the needs of its
/// tasks.
///
/// ```
/// # use yuccalink_coordination::invariants::commitments;
/// assert!(commitments(&yuccalink_state::StateMachine::new()).is_empty());
/// ```
pub fn commitments(state: &StateMachine) -> Vec<Violation> {
    let mut sums: BTreeMap<WorkerKey, Resources> = BTreeMap::new();
    for task in state.tasks() {
        if let Some(key) = task.worker() {
            let sum = sums.entry(key).or_default();
            *sum = sum.plus(task.need).unwrap_or(*sum);
        }
    }
    let mut found = Vec::new();
    for (key, worker) in state.workers() {
        let sum = sums.get(&key).copied().unwrap_or_default();
        if sum != worker.committed {
            found.push(Violation::CommitmentMismatch(worker.spec.name.clone()));
        }
        if !worker.spec.capacity.covers(sum) {
            found.push(Violation::CapacityExceeded(worker.spec.name.clone()));
        }
    }
    found
}

/// Checks the task executions that workers report.
///
/// ```
/// use yuccalink_coordination::invariants::TaskChecker;
/// use yuccalink_state::id::{Epoch, TaskId};
/// let mut checker = TaskChecker::default();
/// checker.started(TaskId(1), Epoch(1));
/// checker.started(TaskId(1), Epoch(2));
/// assert_eq!(checker.violations()[0].to_string(), "task t1 ran as epoch 1 and epoch 2 at once");
/// ```
#[derive(Debug, Default)]
pub struct TaskChecker {
    running: HashMap<TaskId, Epoch>,
    finished: HashMap<TaskId, u32>,
    violations: Vec<Violation>,
}

impl TaskChecker {
    /// Records that a worker started a task.
    pub fn started(&mut self, task: TaskId, epoch: Epoch) {
        if let Some(first) = self.running.insert(task, epoch) {
            self.violations.push(Violation::ConcurrentRuns { task, first, second: epoch });
        }
    }

    /// Records that a worker no longer runs a task.
    pub fn stopped(&mut self, task: TaskId, epoch: Epoch) {
        if self.running.get(&task) == Some(&epoch) {
            self.running.remove(&task);
        }
    }

    /// Records that a worker ran a task to its end.
    pub fn finished(&mut self, task: TaskId, epoch: Epoch) {
        self.stopped(task, epoch);
        let times = self.finished.entry(task).or_default();
        *times += 1;
        if *times > 1 {
            self.violations.push(Violation::FinishedTwice(task));
        }
    }

    /// The violations found so far.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }
}

/// What the caller of a request was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerOutcome {
    /// A complete response with the tag of the request that it answers.
    Answer(u64),
    /// The request was not executed.
    NotRun,
    /// It is unknown whether the request was executed.
    Unknown,
}

#[derive(Clone, Debug, Default)]
struct Request {
    at_most_once: bool,
    tag: u64,
    runs: u32,
    outcomes: Vec<CallerOutcome>,
}

/// Checks the requests that runners execute against what callers are told. Each attempt of a
/// request that may be reported as "not run" needs its own name.
///
/// ```
/// use yuccalink_coordination::invariants::{RequestChecker, CallerOutcome};
/// let mut checker = RequestChecker::default();
/// checker.sent("invoice", 7, true);
/// checker.ran("invoice", "r1", 8);
/// checker.done("r1");
/// checker.record_outcome("invoice", CallerOutcome::NotRun);
/// assert_eq!(checker.violations()[0].to_string(), "request invoice was reported as \"not run\" but had run");
/// ```
#[derive(Debug, Default)]
pub struct RequestChecker {
    requests: BTreeMap<Box<str>, Request>,
    running: BTreeMap<Box<str>, u32>,
    violations: Vec<Violation>,
}

impl RequestChecker {
    /// Records that a caller sent a request; `tag` is the tag that its response must carry.
    pub fn sent(&mut self, name: &str, tag: u64, at_most_once: bool) {
        let request = self.requests.entry(name.into()).or_default();
        request.tag = tag;
        request.at_most_once = at_most_once;
    }

    /// Records that a runner started a request.
    pub fn ran(&mut self, name: &str, runner: &str, slots: u32) {
        self.requests.entry(name.into()).or_default().runs += 1;
        let running = self.running.entry(runner.into()).or_default();
        *running += 1;
        if *running > slots {
            let violation =
                Violation::SlotsExceeded { runner: runner.into(), running: *running, slots };
            self.violations.push(violation);
        }
    }

    /// Records that a runner finished a request.
    pub fn done(&mut self, runner: &str) {
        if let Some(running) = self.running.get_mut(runner) {
            *running = running.saturating_sub(1);
        }
    }

    /// Records what a caller was told.
    pub fn record_outcome(&mut self, name: &str, outcome: CallerOutcome) {
        self.requests.entry(name.into()).or_default().outcomes.push(outcome);
    }

    /// All violations; call this at the end of a run.
    pub fn violations(&self) -> Vec<Violation> {
        let mut found = self.violations.clone();
        for (name, request) in &self.requests {
            if request.at_most_once && request.runs > 1 {
                found.push(Violation::ExecutedRepeatedly(name.clone(), request.runs));
            }
            for outcome in &request.outcomes {
                match outcome {
                    CallerOutcome::Answer(tag) if *tag != request.tag => {
                        found.push(Violation::WrongAnswer(name.clone()));
                    }
                    CallerOutcome::NotRun if request.runs > 0 => {
                        found.push(Violation::ExecutedDespiteNotRun(name.clone()));
                    }
                    CallerOutcome::Answer(_) | CallerOutcome::NotRun | CallerOutcome::Unknown => {}
                }
            }
        }
        found
    }
}
