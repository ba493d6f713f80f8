//! Runs a scenario: the real coordination parts, with fakes for what is outside.

use super::{Event, Expect, Scenario, Step};
use crate::directory::{Directory, HEARTBEAT, Heard, Usage, WORKER_LEASE};
use crate::dispatch::{Dispatch, Due, Order};
use crate::entries::{Entries, Hello, Lease};
use crate::invariants::{self, RequestWatch, TaskWatch, Told};
use crate::moment::Moment;
use crate::placement;
use crate::router::{Admission, Arrival, Ended, Grant, Router, Ticket, Turn};
use crate::workers;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use yuccalink_state::command::{Apply, Submit, TaskEvent, TaskReport};
use yuccalink_state::document::{Document, GivesUp, TaskKind};
use yuccalink_state::id::{Epoch, Incarnation, Name, Revision, TaskId, WorkerKey};
use yuccalink_state::target::{RunnerSpec, TargetSpec};
use yuccalink_state::task::{Ending, TaskPhase};
use yuccalink_state::worker::{WorkerPhase, WorkerSpec};
use yuccalink_state::{Command, Machine, Outcome};

/// How often the parts look at the time.
const TICK: Duration = Duration::from_millis(50);
/// How often an entry renews its lease.
const SYNC: Duration = Duration::from_millis(500);
/// Scenarios begin when leases of an earlier leader have surely ended.
const START: Moment = Moment::from_millis(10_000);

/// Why a scenario failed.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
/// line {line}: {what}
pub struct Failure {
    /// The line whose expectation does not hold, or after which an invariant broke.
    pub line: usize,
    /// What was found.
    pub what: Box<str>,
}

impl std::error::Error for Failure {}

/// Runs a scenario to its end.
///
/// # Errors
/// [`Failure`] at the first line that does not hold.
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
        world.settle();
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
    next_beat: Moment,
    running: BTreeMap<TaskId, Epoch>,
    seen: BTreeMap<TaskId, Epoch>,
    reports: Vec<TaskReport>,
}

struct FakeRunner {
    spec: RunnerSpec,
    known: bool,
    silent: bool,
    leaving: bool,
    next_beat: Moment,
    busy: u32,
}

struct FakeEntry {
    name: Name,
    zone: Name,
    run: Incarnation,
    router: Router,
    lease: Lease,
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
    machine: Machine,
    directory: Directory,
    entries: Entries,
    dispatch: Dispatch,
    service: Name,
    workers: Vec<FakeWorker>,
    runners: Vec<FakeRunner>,
    fakes: Vec<FakeEntry>,
    tasks: BTreeMap<Box<str>, TaskId>,
    requests: BTreeMap<Box<str>, Request>,
    task_watch: TaskWatch,
    request_watch: RequestWatch,
    next_run: u64,
}

fn name(text: &str) -> Name {
    Name::new(text).unwrap_or_else(|_| unreachable!("a constant name"))
}

impl World {
    fn new(scenario: &Scenario) -> Self {
        let mut world = Self {
            now: START,
            machine: Machine::new(),
            directory: Directory::new(),
            entries: Entries::new(Moment::ZERO),
            dispatch: Dispatch::new(),
            service: name("scenario"),
            workers: Vec::new(),
            runners: Vec::new(),
            fakes: Vec::new(),
            tasks: BTreeMap::new(),
            requests: BTreeMap::new(),
            task_watch: TaskWatch::default(),
            request_watch: RequestWatch::default(),
            next_run: 1,
        };
        world.set_up(scenario);
        world.settle();
        world
    }

    fn run_number(&mut self) -> Incarnation {
        self.next_run += 1;
        Incarnation(self.next_run)
    }

    fn set_up(&mut self, scenario: &Scenario) {
        self.apply_document(scenario);
        for line in &scenario.workers {
            let spec = WorkerSpec {
                name: line.name.clone(),
                incarnation: self.run_number(),
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
                next_beat: START,
                running: BTreeMap::new(),
                seen: BTreeMap::new(),
                reports: Vec::new(),
            });
        }
        for line in &scenario.runners {
            let spec = RunnerSpec {
                name: line.name.clone(),
                incarnation: self.run_number(),
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
                next_beat: START,
                busy: 0,
            });
        }
        for line in &scenario.entries {
            let run = self.run_number();
            self.fakes.push(FakeEntry {
                name: line.name.clone(),
                zone: line.zone.clone(),
                run,
                router: Router::new(line.zone.clone()),
                lease: Lease::default(),
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
        let gives_up = GivesUp { checkpoint, evictions: 1000, ..GivesUp::default() };
        let document = Document {
            service: self.service.clone(),
            team: self.service.clone(),
            version: 1,
            peak: None,
            requests: [].into(),
            tasks: kinds.collect(),
            gives_up,
        };
        let apply = Apply { document, text: "".into(), digest: [0; 32], author: "scenario".into() };
        self.machine.apply(Command::Apply(Box::new(apply)));
    }

    fn advance(&mut self, to: Moment) {
        while self.now + TICK <= to {
            self.now = self.now + TICK;
            self.settle();
        }
        self.now = self.now.max(to);
        self.settle();
    }

    /// Everything that is due now.
    fn settle(&mut self) {
        self.end_leases();
        self.sync_entries();
        self.beat_workers();
        self.beat_runners();
        self.directory.tick(self.now, &self.entries);
        self.sync_entries();
        self.give_up_workers();
        self.place();
        self.deliver_orders();
        self.expire_requests();
    }

    // ---- workers ----

    /// A worker whose lease has ended drops everything, cut off or not.
    fn end_leases(&mut self) {
        for worker in &mut self.workers {
            if self.now < worker.lease_until {
                continue;
            }
            for (task, epoch) in std::mem::take(&mut worker.running) {
                self.task_watch.stopped(task, epoch);
                worker.reports.push(TaskReport { task, epoch, event: TaskEvent::Stopped });
            }
        }
    }

    fn beat_workers(&mut self) {
        for at in 0..self.workers.len() {
            let worker = &self.workers[at];
            if worker.silent || (self.now < worker.next_beat && worker.reports.is_empty()) {
                continue;
            }
            if self.worker_beat(at) {
                let worker = &mut self.workers[at];
                worker.lease_until = self.now + WORKER_LEASE;
                worker.next_beat = self.now + HEARTBEAT;
            }
        }
    }

    /// True when the lease was renewed.
    fn worker_beat(&mut self, at: usize) -> bool {
        let worker = &mut self.workers[at];
        let spec = worker.spec.clone();
        if !worker.known {
            let target = TargetSpec::Worker(spec.clone());
            if self.directory.announce(self.now, target, 0) != Heard::Noted {
                return false;
            }
            if let Some(former) = workers::former_run(&self.machine, &spec) {
                self.machine.apply(Command::WorkerGone(spec.name.clone(), former));
            }
            let up = self.machine.apply(Command::WorkerUp(Box::new(spec)));
            self.workers[at].known = matches!(up, Outcome::WorkerUp(_));
            return self.workers[at].known;
        }
        let usage = Usage::default();
        let heard = self.directory.heartbeat(self.now, &spec.name, spec.incarnation, usage);
        let record = self.machine.worker(&spec.name);
        let gone = record.is_none_or(|(_, worker)| worker.phase == WorkerPhase::Gone);
        if heard != Heard::Noted || gone {
            worker.known = false;
            return false;
        }
        let reports = std::mem::take(&mut worker.reports);
        if worker.leaving {
            self.directory.leave(&spec.name, spec.incarnation);
            self.machine.apply(Command::WorkerLeaving(spec.name, spec.incarnation));
        }
        self.machine.apply(Command::Report(reports.into()));
        true
    }

    fn give_up_workers(&mut self) {
        for (name, run) in workers::lost(&self.machine, &self.directory, START, self.now) {
            self.machine.apply(Command::WorkerGone(name.clone(), run));
            self.directory.drop_worker(&name);
        }
    }

    fn place(&mut self) {
        let plan = placement::plan(&self.machine);
        if !plan.decisions.is_empty() {
            self.machine.apply(Command::Place(plan.placements()));
        }
    }

    fn deliver_orders(&mut self) {
        for at in 0..self.workers.len() {
            let spec = &self.workers[at].spec;
            let Some((key, record)) = self.machine.worker(&spec.name) else { continue };
            if record.spec.incarnation != spec.incarnation {
                continue;
            }
            let due = self.dispatch.due(self.now, &self.machine, key);
            let mut reports = Vec::new();
            for due in due {
                match self.workers[at].silent {
                    true => self.dispatch.failed(&due),
                    false => reports.extend(self.obey(at, &due)),
                }
            }
            self.machine.apply(Command::Report(reports.into()));
        }
    }

    fn obey(&mut self, at: usize, due: &Due) -> Option<TaskReport> {
        let Due { task, epoch, order } = *due;
        let worker = &mut self.workers[at];
        let report = |event| Some(TaskReport { task, epoch, event });
        match order {
            Order::Start if self.now >= worker.lease_until => {
                report(TaskEvent::Refused { reason: "the lease has ended".into() })
            }
            Order::Start if worker.seen.get(&task).is_some_and(|seen| *seen >= epoch) => None,
            Order::Start => {
                worker.seen.insert(task, epoch);
                worker.running.insert(task, epoch);
                self.task_watch.started(task, epoch);
                report(TaskEvent::Started)
            }
            Order::Checkpoint | Order::Stop => {
                if worker.running.get(&task) == Some(&epoch) {
                    worker.running.remove(&task);
                    self.task_watch.stopped(task, epoch);
                }
                report(TaskEvent::Stopped)
            }
        }
    }

    // ---- runners and entries ----

    fn beat_runners(&mut self) {
        for runner in &mut self.runners {
            if runner.silent || self.now < runner.next_beat {
                continue;
            }
            let spec = &runner.spec;
            if !runner.known {
                let target = TargetSpec::Runner(spec.clone());
                self.directory.announce(self.now, target, runner.busy);
                runner.known = true;
            }
            let usage = Usage { busy: runner.busy, ..Usage::default() };
            let heard = if runner.leaving {
                self.directory.leave(&spec.name, spec.incarnation)
            } else {
                self.directory.heartbeat(self.now, &spec.name, spec.incarnation, usage)
            };
            runner.known = heard == Heard::Noted;
            runner.next_beat = self.now + HEARTBEAT;
        }
    }

    fn sync_entries(&mut self) {
        for at in 0..self.fakes.len() {
            let entry = &self.fakes[at];
            let news = self.directory.version() > entry.version;
            if entry.silent || (self.now < entry.next_sync && !news) {
                continue;
            }
            self.sync_entry(at);
        }
    }

    fn sync_entry(&mut self, at: usize) {
        let entry = &mut self.fakes[at];
        let hello = Hello {
            name: entry.name.clone(),
            incarnation: entry.run,
            callers: "127.0.0.1:1".into(),
            zone: entry.zone.clone(),
            acked: Revision(1),
            draining: entry.draining,
        };
        if self.entries.hear(self.now, &hello) {
            self.directory.owner_restarted(self.now, &entry.name);
        }
        let done: Vec<Name> = entry
            .releasing
            .iter()
            .filter(|name| entry.router.in_flight(name).is_none_or(|busy| busy == 0))
            .cloned()
            .collect();
        for name in done {
            entry.releasing.remove(&name);
            entry.router.disown(&name);
            self.directory.let_go(&name, &entry.name);
        }
        let changes = self.directory.changes(entry.version);
        entry.version = self.directory.version();
        let mut turns = Vec::new();
        for change in changes {
            let name = &change.spec.name;
            let mine = change.owner.as_ref() == Some(&entry.name);
            if mine && change.usable {
                entry.router.reported(self.now, name, change.busy, &mut turns);
                entry.router.own(self.now, change.spec.clone(), change.busy, &mut turns);
            } else if entry.router.in_flight(name).is_some() {
                entry.router.close(name);
                if !mine {
                    entry.releasing.insert(name.clone());
                }
            }
        }
        entry.lease.renew(self.now);
        entry.next_sync = self.now + SYNC;
        self.take_turns(at, turns);
    }

    fn take_turns(&mut self, entry: usize, turns: Vec<Turn>) {
        for turn in turns {
            let found = self.requests.iter().find(|(_, request)| {
                request.entry == entry
                    && matches!(&request.state, RequestState::Waiting(t) if *t == turn.ticket)
            });
            if let Some(name) = found.map(|(name, _)| name.clone()) {
                self.send(&name, turn.grant);
            }
        }
    }

    fn send(&mut self, name: &str, grant: Grant) {
        let Some(request) = self.requests.get_mut(name) else { return };
        let router = &self.fakes[request.entry].router;
        let Some(runner) = router.runner(grant.runner).map(|r| r.spec.name.clone()) else { return };
        if let Some(fake) = self.runners.iter_mut().find(|fake| fake.spec.name == runner) {
            fake.busy += 1;
            self.request_watch.ran(name, runner.as_str(), fake.spec.slots);
        }
        request.state = RequestState::At(grant, runner);
    }

    fn expire_requests(&mut self) {
        let late: Vec<Box<str>> = self
            .requests
            .iter()
            .filter(|(_, r)| self.now >= r.deadline && matches!(r.state, RequestState::Waiting(_)))
            .map(|(name, _)| name.clone())
            .collect();
        for name in late {
            let Some(request) = self.requests.get_mut(&name) else { continue };
            if let RequestState::Waiting(ticket) = request.state {
                self.fakes[request.entry].router.abandon(ticket);
                request.state = RequestState::NotRun;
                self.request_watch.told(&name, Told::NotRun);
            }
        }
    }

    // ---- events ----

    fn step(&mut self, step: &Step) -> Result<(), Box<str>> {
        match &step.event {
            Event::Submit { name, kind, count, urgent } => self.submit(name, kind, *count, *urgent),
            Event::Cancel(name) => {
                let ids = self.ids(name)?;
                self.machine.apply(Command::Cancel(ids));
                Ok(())
            }
            Event::Evict(name) => {
                let ids = self.ids(name)?;
                self.machine.apply(Command::Evict(ids));
                Ok(())
            }
            Event::Finish(name) => self.end(name, &TaskEvent::Finished),
            Event::Fail(name) => self.end(name, &TaskEvent::Failed { reason: "scenario".into() }),
            Event::Silence(name) => self.set_silent(name, true),
            Event::Hear(name) => self.set_silent(name, false),
            Event::Leave(name) => self.leave(name),
            Event::Restart(name) => self.restart(name),
            Event::Request { name, service, entry, deadline, worth } => {
                self.request(name, service, entry, *deadline, *worth)
            }
            Event::Answer(name) => self.answer(name, Ended::Answered),
            Event::Break(name) => self.answer(name, Ended::Failed),
            Event::Expect(expect) => self.expect(expect),
        }
    }

    fn submit(
        &mut self,
        name: &str,
        kind: &Name,
        count: u32,
        urgent: bool,
    ) -> Result<(), Box<str>> {
        let submit = Submit {
            key: name.into(),
            service: self.service.clone(),
            kind: kind.clone(),
            count,
            urgent,
            payload: "".into(),
            at_ms: 0,
        };
        match self.machine.apply(Command::Submit(submit)) {
            Outcome::Submitted { first, .. } => {
                for at in 0..count {
                    let label = if count == 1 { name.into() } else { format!("{name}.{}", at + 1) };
                    self.tasks.insert(label.into(), TaskId(first.0 + u64::from(at)));
                }
                Ok(())
            }
            other => Err(format!("submitting came to {other:?}").into()),
        }
    }

    /// The tasks called `name`, or `name.1` and so on.
    fn ids(&self, name: &str) -> Result<Box<[TaskId]>, Box<str>> {
        let group = format!("{name}.");
        let found: Box<[TaskId]> = self
            .tasks
            .iter()
            .filter(|(label, _)| ***label == *name || label.starts_with(&group))
            .map(|(_, id)| *id)
            .collect();
        match found.is_empty() {
            true => Err(format!("no task is called {name}").into()),
            false => Ok(found),
        }
    }

    fn end(&mut self, name: &str, event: &TaskEvent) -> Result<(), Box<str>> {
        for task in self.ids(name)? {
            let holder = self.workers.iter_mut().find(|w| w.running.contains_key(&task));
            let Some(worker) = holder else { return Err(format!("{name} runs nowhere").into()) };
            let Some(epoch) = worker.running.remove(&task) else { continue };
            match event {
                TaskEvent::Finished => self.task_watch.finished(task, epoch),
                _ => self.task_watch.stopped(task, epoch),
            }
            worker.reports.push(TaskReport { task, epoch, event: event.clone() });
        }
        Ok(())
    }

    fn set_silent(&mut self, name: &Name, silent: bool) -> Result<(), Box<str>> {
        if let Some(worker) = self.workers.iter_mut().find(|w| w.spec.name == *name) {
            worker.silent = silent;
        } else if let Some(runner) = self.runners.iter_mut().find(|r| r.spec.name == *name) {
            runner.silent = silent;
        } else if let Some(entry) = self.fakes.iter_mut().find(|e| e.name == *name) {
            entry.silent = silent;
        } else {
            return Err(format!("nothing is called {name}").into());
        }
        Ok(())
    }

    fn leave(&mut self, name: &Name) -> Result<(), Box<str>> {
        if let Some(worker) = self.workers.iter_mut().find(|w| w.spec.name == *name) {
            worker.leaving = true;
            worker.next_beat = self.now;
        } else if let Some(runner) = self.runners.iter_mut().find(|r| r.spec.name == *name) {
            runner.leaving = true;
            runner.next_beat = self.now;
        } else if let Some(entry) = self.fakes.iter_mut().find(|e| e.name == *name) {
            entry.draining = true;
            entry.next_sync = self.now;
        } else {
            return Err(format!("nothing is called {name}").into());
        }
        Ok(())
    }

    fn restart(&mut self, name: &Name) -> Result<(), Box<str>> {
        let run = self.run_number();
        if let Some(worker) = self.workers.iter_mut().find(|w| w.spec.name == *name) {
            for (task, epoch) in std::mem::take(&mut worker.running) {
                self.task_watch.stopped(task, epoch);
            }
            worker.spec.incarnation = run;
            worker.known = false;
            worker.seen.clear();
            worker.reports.clear();
            worker.next_beat = self.now;
            Ok(())
        } else if let Some(runner) = self.runners.iter_mut().find(|r| r.spec.name == *name) {
            runner.spec.incarnation = run;
            runner.known = false;
            runner.busy = 0;
            runner.next_beat = self.now;
            Ok(())
        } else if let Some(entry) = self.fakes.iter_mut().find(|e| e.name == *name) {
            entry.run = run;
            entry.router = Router::new(entry.zone.clone());
            entry.version = 0;
            entry.lease = Lease::default();
            entry.next_sync = self.now;
            Ok(())
        } else {
            Err(format!("nothing is called {name}").into())
        }
    }

    fn request(
        &mut self,
        name: &str,
        service: &Name,
        entry: &Name,
        deadline: Duration,
        worth: u32,
    ) -> Result<(), Box<str>> {
        let at = self.fakes.iter().position(|fake| fake.name == *entry);
        let at = at.ok_or_else(|| format!("no entry is called {entry}"))?;
        self.request_watch.sent(name, 0, true);
        let deadline = self.now + deadline;
        let fake = &mut self.fakes[at];
        let state = if fake.lease.holds(self.now) {
            let arrival = Arrival { service, deadline, worth, avoid: None };
            fake.router.admit(self.now, arrival)
        } else {
            Admission::Refuse(crate::router::Refusal::NoneHealthy, Duration::ZERO)
        };
        let mut request = Request { entry: at, deadline, state: RequestState::NotRun };
        match state {
            Admission::Refuse(..) => self.request_watch.told(name, Told::NotRun),
            Admission::Wait(ticket) => request.state = RequestState::Waiting(ticket),
            Admission::Go(_) => {}
        }
        self.requests.insert(name.into(), request);
        if let Admission::Go(grant) = state {
            self.send(name, grant);
        }
        Ok(())
    }

    fn answer(&mut self, name: &str, ended: Ended) -> Result<(), Box<str>> {
        let request = self.requests.get_mut(name).ok_or_else(|| format!("no request {name}"))?;
        let RequestState::At(grant, runner) = request.state.clone() else {
            return Err(format!("request {name} is at no runner").into());
        };
        request.state = match ended {
            Ended::Answered => RequestState::Answered,
            Ended::Failed | Ended::Abandoned => RequestState::Broken,
        };
        if let Some(fake) = self.runners.iter_mut().find(|fake| fake.spec.name == runner) {
            fake.busy = fake.busy.saturating_sub(1);
            self.request_watch.done(runner.as_str());
        }
        let at = request.entry;
        let mut turns = Vec::new();
        self.fakes[at].router.release(self.now, grant, ended, &mut turns);
        self.take_turns(at, turns);
        Ok(())
    }

    // ---- expectations ----

    fn expect(&self, expect: &Expect) -> Result<(), Box<str>> {
        match expect {
            Expect::State(name, want) => same(&self.state_of(name)?, want, name),
            Expect::On(name, want) => {
                let found = self.place_of(name)?;
                same(
                    &found.map_or_else(|| "nowhere".into(), |at| at.to_string()),
                    want.as_str(),
                    name,
                )
            }
            Expect::Holds(name, want) => {
                same(&self.held_at(name)?, &want.to_string(), name.as_str())
            }
            Expect::Owner(name, want) => {
                let target = self.directory.get(name);
                let owner = target.and_then(|target| target.owner.clone());
                let found = owner.map_or_else(|| "nobody".into(), |owner| owner.to_string());
                same(&found, want.as_str(), name.as_str())
            }
        }
    }

    fn state_of(&self, name: &str) -> Result<String, Box<str>> {
        if let Some(id) = self.tasks.get(name) {
            let phase = self.machine.task(*id).map(|task| &task.phase);
            let found = match phase {
                None => "forgotten",
                Some(TaskPhase::Waiting) => "waiting",
                Some(TaskPhase::Placed(_)) => "placed",
                Some(TaskPhase::Running(_)) => "running",
                Some(TaskPhase::Stopping(..)) => "stopping",
                Some(TaskPhase::Ended(Ending::Finished)) => "finished",
                Some(TaskPhase::Ended(Ending::Failed(_))) => "failed",
                Some(TaskPhase::Ended(Ending::Cancelled)) => "cancelled",
            };
            return Ok(found.into());
        }
        let request = self.requests.get(name).ok_or_else(|| format!("nothing is called {name}"))?;
        let found = match request.state {
            RequestState::Waiting(_) => "queued",
            RequestState::At(..) => "sent",
            RequestState::Answered => "answered",
            RequestState::Broken => "broken",
            RequestState::NotRun => "not-run",
        };
        Ok(found.into())
    }

    fn place_of(&self, name: &str) -> Result<Option<Name>, Box<str>> {
        if let Some(id) = self.tasks.get(name) {
            let key: Option<WorkerKey> = self.machine.task(*id).and_then(|task| task.worker());
            return Ok(key.map(|key| self.machine.worker_at(key).spec.name.clone()));
        }
        let request = self.requests.get(name).ok_or_else(|| format!("nothing is called {name}"))?;
        Ok(match &request.state {
            RequestState::At(_, runner) => Some(runner.clone()),
            _ => None,
        })
    }

    fn held_at(&self, name: &Name) -> Result<String, Box<str>> {
        if let Some(worker) = self.workers.iter().find(|worker| worker.spec.name == *name) {
            return Ok(worker.running.len().to_string());
        }
        let runner = self.runners.iter().find(|runner| runner.spec.name == *name);
        let runner = runner.ok_or_else(|| format!("nothing is called {name}"))?;
        Ok(runner.busy.to_string())
    }

    fn check(&self) -> Result<(), Box<str>> {
        let mut found = invariants::commitments(&self.machine);
        found.extend(self.task_watch.breaches().iter().cloned());
        found.extend(self.request_watch.breaches());
        match found.first() {
            None => Ok(()),
            Some(breach) => Err(format!("a promise is broken: {breach}").into()),
        }
    }
}

fn same(found: &str, want: &str, name: &str) -> Result<(), Box<str>> {
    match found == want {
        true => Ok(()),
        false => Err(format!("{name} is {found}, expected {want}").into()),
    }
}
