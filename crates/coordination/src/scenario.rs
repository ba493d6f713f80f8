//! The small test language: one file a scenario, events with their instants,
//! and expectations. Runs the coordination parts under a clock of its own, with
//! fakes where workers, runners and callers would be.
//!
//! A scenario is a list of lines; `#` begins a comment. First what is there:
//!
//! ```text
//! entry e1 zone=z1
//! runner r1 service=quotes slots=2 zone=z1
//! worker w1 cores=4 memory=8192 rack=a zone=z1
//! kind plan cores=1 memory=1024 class=batch spread=racks checkpoint=yes
//! ```
//!
//! then what happens, in order of time:
//!
//! ```text
//! at 0ms submit a kind=plan count=2
//! at 100ms expect a.1 running
//! at 200ms request q service=quotes entry=e1 deadline=500ms worth=5
//! at 300ms answer q
//! ```
//!
//! `docs/SCENARIOS.md` lists every verb. After each step the invariants are checked.

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
    /// Kinds of task.
    pub kinds: Vec<KindLine>,
    /// What happens, in order of time.
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
    /// The service that it answers for.
    pub service: Name,
    /// Its slots.
    pub slots: u32,
    /// Its availability zone.
    pub zone: Name,
}

/// A worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerLine {
    /// Its name.
    pub name: Name,
    /// All that it has.
    pub capacity: Resources,
    /// Its rack.
    pub rack: Name,
    /// Its availability zone.
    pub zone: Name,
}

/// A kind of task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KindLine {
    /// Its name.
    pub name: Name,
    /// What one task needs.
    pub need: Resources,
    /// How urgent it is.
    pub class: TaskClass,
    /// How it is spread.
    pub spread: Spread,
    /// Whether its tasks can be saved and resumed.
    pub checkpoint: bool,
}

/// One line with an instant.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Line in the file, from 1.
    pub line: usize,
    /// When, from the start.
    pub at: Duration,
    /// What.
    pub event: Event,
}

/// What happens or is expected.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Tasks are submitted, named `name`, or `name.1` and so on.
    Submit {
        /// Their name.
        name: Box<str>,
        /// Their kind.
        kind: Name,
        /// How many.
        count: u32,
        /// Whether they go first.
        urgent: bool,
    },
    /// Tasks are cancelled.
    Cancel(Box<str>),
    /// Tasks are ordered to make room.
    Evict(Box<str>),
    /// A running task ends well at its worker.
    Finish(Box<str>),
    /// A running task fails at its worker.
    Fail(Box<str>),
    /// A target or an entry is cut off.
    Silence(Name),
    /// It is back.
    Hear(Name),
    /// A target or an entry says that it leaves.
    Leave(Name),
    /// A worker's or runner's program is started anew.
    Restart(Name),
    /// A caller sends a request.
    Request {
        /// Its name.
        name: Box<str>,
        /// The service asked.
        service: Name,
        /// The entry that the balancer chose.
        entry: Name,
        /// How long the caller waits.
        deadline: Duration,
        /// What a correct answer is worth.
        worth: u32,
    },
    /// A runner answers a request.
    Answer(Box<str>),
    /// A runner fails at a request.
    Break(Box<str>),
    /// Something must be so now.
    Expect(Expect),
}

/// What must be so.
#[derive(Clone, Debug, PartialEq)]
pub enum Expect {
    /// A task or request is in this state.
    State(Box<str>, Box<str>),
    /// A task is on this worker, or a request at this runner.
    On(Box<str>, Name),
    /// A worker holds this many tasks, or a runner this many requests.
    Holds(Name, u32),
    /// A runner is routed to by this entry.
    Owner(Name, Name),
}
