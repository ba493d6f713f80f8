//! Runs a scenario with the real coordination components and fakes for everything outside them.

mod events;
mod expectations;
mod routing;
mod tasks;

use super::{Event, Expect, Scenario, Step};
use crate::directory::{Directory, HEARTBEAT_INTERVAL, HeartbeatOutcome, Usage, WORKER_LEASE};
use crate::dispatch::{Dispatch, DueOrder, Order};
use crate::entries::{ConfigLease, EntryReport, EntryTable};
use crate::invariants::{self, CallerOutcome, RequestChecker, TaskChecker};
use crate::moment::Moment;
use crate::placement;
use crate::router::{
    Admission, DequeuedRequest, Grant, Router, RoutingRequest, RunnerOutcome, Ticket,
};
use crate::workers;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use yuccalink_state::command::{Apply, TaskEvent, TaskReport, TaskSubmission};
use yuccalink_state::document::{DisruptionTolerance, Document, TaskKind};
use yuccalink_state::id::{Epoch, Incarnation, Name, Revision, TaskId, WorkerKey};
use yuccalink_state::target::{RunnerSpec, TargetSpec};
use yuccalink_state::task::{TaskOutcome, TaskPhase};
use yuccalink_state::worker::{WorkerPhase, WorkerSpec};
use yuccalink_state::{Command, Outcome, StateMachine};

/// Interval at which the components are ticked.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which an entry renews its lease.
const ENTRY_SYNC_INTERVAL: Duration = Duration::from_millis(500);
/// Scenarios start after leases of an earlier leader have certainly expired.
const START: Moment = Moment::from_millis(10_000);

/// Why a scenario failed.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
/// line {line}: {what}
pub struct Failure {
    /// The line whose expectation failed or after which an invariant was violated.
    pub line: usize,
    /// The observed difference or violation.
    pub what: Box<str>,
}

impl std::error::Error for Failure {}

/// Runs a scenario to its end.
///
/// # Errors
/// [`Failure`] for the first line that fails.
///
/// ```
/// use yuccalink_coordination::scenario::{parse, run};
/// let scenario = parse("
///     worker w1 cores=2 memory=10
///     kind k cores=1 memory=1
///     at 0ms submit a kind=k
///     at 200ms expect a on w1
///     at 300ms finish a
///     at 2s expect a finished
/// ")?;
/// run(&scenario)?;
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub fn run(scenario: &Scenario) -> Result<(), Failure> {
    let mut world = World::new(scenario);
    for step in &scenario.steps {
        world.advance(START + step.at);
        world.step(step).map_err(|what| Failure { line: step.line, what })?;
        world.perform_due();
        world.check().map_err(|what| Failure { line: step.line, what })?;
    }
    Ok(())
}

struct FakeWorker {
    spec: WorkerSpec,
    known: bool,
    silent: bool,
    leaving: bool,
    lease_until: Moment,
    next_heartbeat: Moment,
    running: BTreeMap<TaskId, Epoch>,
    seen: BTreeMap<TaskId, Epoch>,
    reports: Vec<TaskReport>,
}

struct FakeRunner {
    spec: RunnerSpec,
    known: bool,
    silent: bool,
    leaving: bool,
    next_heartbeat: Moment,
    busy: u32,
}

struct FakeEntry {
    name: Name,
    zone: Name,
    incarnation: Incarnation,
    router: Router,
    lease: ConfigLease,
    silent: bool,
    draining: bool,
    next_sync: Moment,
    version: u64,
    releasing: BTreeSet<Name>,
}

#[derive(Clone, Debug)]
enum RequestState {
    Waiting(Ticket),
    At(Grant, Name),
    Answered,
    Broken,
    NotRun,
}

struct Request {
    entry: usize,
    deadline: Moment,
    state: RequestState,
}

struct World {
    now: Moment,
    state: StateMachine,
    directory: Directory,
    entries: EntryTable,
    dispatch: Dispatch,
    service: Name,
    workers: Vec<FakeWorker>,
    runners: Vec<FakeRunner>,
    fake_entries: Vec<FakeEntry>,
    tasks: BTreeMap<Box<str>, TaskId>,
    requests: BTreeMap<Box<str>, Request>,
    task_checker: TaskChecker,
    request_checker: RequestChecker,
    last_incarnation: u64,
}

fn name(text: &str) -> Name {
    Name::new(text).unwrap_or_else(|_| unreachable!("a constant name"))
}

impl World {
    fn new(scenario: &Scenario) -> Self {
        let mut world = Self {
            now: START,
            state: StateMachine::new(),
            directory: Directory::new(),
            entries: EntryTable::new(Moment::ZERO),
            dispatch: Dispatch::new(),
            service: name("scenario"),
            workers: Vec::new(),
            runners: Vec::new(),
            fake_entries: Vec::new(),
            tasks: BTreeMap::new(),
            requests: BTreeMap::new(),
            task_checker: TaskChecker::default(),
            request_checker: RequestChecker::default(),
            last_incarnation: 1,
        };
        world.set_up(scenario);
        world.perform_due();
        world
    }

    fn next_incarnation(&mut self) -> Incarnation {
        self.last_incarnation += 1;
        Incarnation(self.last_incarnation)
    }

    fn set_up(&mut self, scenario: &Scenario) {
        self.apply_document(scenario);
        for line in &scenario.workers {
            let spec = WorkerSpec {
                name: line.name.clone(),
                incarnation: self.next_incarnation(),
                address: "127.0.0.1:1".into(),
                capacity: line.capacity,
                rack: line.rack.clone(),
                zone: line.zone.clone(),
            };
            self.workers.push(FakeWorker {
                spec,
                known: false,
                silent: false,
                leaving: false,
                lease_until: Moment::ZERO,
                next_heartbeat: START,
                running: BTreeMap::new(),
                seen: BTreeMap::new(),
                reports: Vec::new(),
            });
        }
        for line in &scenario.runners {
            let spec = RunnerSpec {
                name: line.name.clone(),
                incarnation: self.next_incarnation(),
                service: line.service.clone(),
                address: "127.0.0.1:1".into(),
                slots: line.slots,
                connections: line.slots * 8,
                zone: line.zone.clone(),
            };
            self.runners.push(FakeRunner {
                spec,
                known: false,
                silent: false,
                leaving: false,
                next_heartbeat: START,
                busy: 0,
            });
        }
        for line in &scenario.entries {
            let incarnation = self.next_incarnation();
            self.fake_entries.push(FakeEntry {
                name: line.name.clone(),
                zone: line.zone.clone(),
                incarnation,
                router: Router::new(line.zone.clone()),
                lease: ConfigLease::default(),
                silent: false,
                draining: false,
                next_sync: START,
                version: 0,
                releasing: BTreeSet::new(),
            });
        }
    }

    fn apply_document(&mut self, scenario: &Scenario) {
        let kinds = scenario.kinds.iter().map(|line| TaskKind {
            name: line.name.clone(),
            need: line.need,
            duration_ms: 0,
            class: line.class,
            spread: line.spread,
        });
        let checkpoint = scenario.kinds.iter().any(|line| line.checkpoint);
        let disruption_tolerance =
            DisruptionTolerance { checkpoint, evictions: 1000, ..DisruptionTolerance::default() };
        let document = Document {
            service: self.service.clone(),
            team: self.service.clone(),
            version: 1,
            peak: None,
            requests: [].into(),
            tasks: kinds.collect(),
            disruption_tolerance,
        };
        let apply = Apply { document, text: "".into(), digest: [0; 32], author: "scenario".into() };
        self.state.apply(Command::Apply(Box::new(apply)));
    }

    fn advance(&mut self, to: Moment) {
        while self.now + TICK_INTERVAL <= to {
            self.now = self.now + TICK_INTERVAL;
            self.perform_due();
        }
        self.now = self.now.max(to);
        self.perform_due();
    }

    /// Performs everything that is due now.
    fn perform_due(&mut self) {
        self.expire_leases();
        self.sync_due_entries();
        self.send_worker_heartbeats();
        self.send_runner_heartbeats();
        self.directory.tick(self.now, &self.entries);
        self.sync_due_entries();
        self.remove_expired_workers();
        self.place();
        self.deliver_orders();
        self.expire_requests();
    }
}

fn expect_equal(found: &str, want: &str, name: &str) -> Result<(), Box<str>> {
    match found == want {
        true => Ok(()),
        false => Err(format!("{name} is {found}, expected {want}").into()),
    }
}
