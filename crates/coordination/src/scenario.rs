//! Scenario files for tests: events at given times, and expectations. A scenario runs the
//! coordination components on a simulated clock, with fakes in place of workers, runners and
//! callers.
//!
//! A scenario is a list of lines; `#` starts a comment. The first lines declare the
//! participants:
//!
//! ```text
//! entry e1 zone=z1
//! runner r1 service=quotes slots=2 zone=z1
//! worker w1 cores=4 memory=8192 rack=a zone=z1
//! kind plan cores=1 memory=1024 class=batch spread=racks checkpoint=yes
//! ```
//!
//! The next lines are events, in order of time:
//!
//! ```text
//! at 0ms submit a kind=plan count=2
//! at 100ms expect a.1 running
//! at 200ms request q service=quotes entry=e1 deadline=500ms worth=5
//! at 300ms answer q
//! ```
//!
//! `docs/SCENARIOS.md` lists all verbs. The invariants are checked after each step.

mod parse;
mod world;

pub use parse::{BadLine, parse};
pub use world::{Failure, run};

use std::time::Duration;
use yuccalink_state::Resources;
use yuccalink_state::document::{Spread, TaskClass};
use yuccalink_state::id::Name;

/// A parsed scenario.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scenario {
    /// Entry VMs.
    pub entries: Vec<EntryLine>,
    /// Runners.
    pub runners: Vec<RunnerLine>,
    /// Workers.
    pub workers: Vec<WorkerLine>,
    /// Task kinds.
    pub kinds: Vec<KindLine>,
    /// Events and expectations, in order of time.
    pub steps: Vec<Step>,
}

/// An entry VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryLine {
    /// Its name.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
}

/// A runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerLine {
    /// Its name.
    pub name: Name,
    /// The service that it serves.
    pub service: Name,
    /// Number of requests that it can run at once.
    pub slots: u32,
    /// Its availability zone.
    pub zone: Name,
}

/// A worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerLine {
    /// Its name.
    pub name: Name,
    /// Its total capacity.
    pub capacity: Resources,
    /// Its rack.
    pub rack: Name,
    /// Its availability zone.
    pub zone: Name,
}

/// A task kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KindLine {
    /// Its name.
    pub name: Name,
    /// The resources that one task needs.
    pub need: Resources,
    /// Its class, batch or latency-critical.
    pub class: TaskClass,
    /// Whether its tasks are spread over racks or zones.
    pub spread: Spread,
    /// Whether tasks can be checkpointed and resumed. If it is set for one kind, it applies to
    /// all kinds of the scenario.
    pub checkpoint: bool,
}

/// One line with a time.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Line number in the file, from 1.
    pub line: usize,
    /// Time since the start of the scenario.
    pub at: Duration,
    /// The event or expectation.
    pub event: Event,
}

/// An event or an expectation.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Submits tasks, named `name`, or `name.1`, `name.2` and so on if there are several.
    Submit {
        /// Name of the tasks.
        name: Box<str>,
        /// Kind of the tasks.
        kind: Name,
        /// Number of tasks.
        count: u32,
        /// Whether the tasks go ahead of others.
        urgent: bool,
    },
    /// Cancels tasks.
    Cancel(Box<str>),
    /// Evicts tasks.
    Evict(Box<str>),
    /// A running task finishes successfully at its worker.
    Finish(Box<str>),
    /// A running task fails at its worker.
    Fail(Box<str>),
    /// A worker, runner or entry is disconnected.
    Silence(Name),
    /// A worker, runner or entry is connected again.
    Hear(Name),
    /// A worker, runner or entry announces that it leaves.
    Leave(Name),
    /// The process of a worker, runner or entry restarts.
    Restart(Name),
    /// A caller sends a request.
    Request {
        /// Name of the request.
        name: Box<str>,
        /// The requested service.
        service: Name,
        /// The entry that the load balancer chose.
        entry: Name,
        /// How long the caller waits.
        deadline: Duration,
        /// The worth of a correct answer.
        worth: u32,
    },
    /// A runner answers a request.
    Answer(Box<str>),
    /// A runner fails a request.
    Break(Box<str>),
    /// Something that must be true at this time.
    Expect(Expect),
}

/// An expectation.
#[derive(Clone, Debug, PartialEq)]
pub enum Expect {
    /// A task or request is in this state.
    State(Box<str>, Box<str>),
    /// A task is on this worker, or a request at this runner.
    On(Box<str>, Name),
    /// A worker runs this many tasks, or a runner this many requests.
    Holds(Name, u32),
    /// A runner is owned by this entry.
    Owner(Name, Name),
}
