//! The leader: decides what entries ask, proposes commands to the log, and
//! carries out what follows from committed ones. Knows nothing of sockets.

use crate::clock::{Clock, unix_ms};
use crate::shared::{Shared, no_leader};
use crate::views;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot, watch};
use yuccalink_coordination::directory::{Directory, HEARTBEAT, Health, Heard, Usage, WORKER_LEASE};
use yuccalink_coordination::dispatch::{Dispatch, Due, Order, Reconcile};
use yuccalink_coordination::entries::{Entries, Hello, InForce};
use yuccalink_coordination::moment::Moment;
use yuccalink_coordination::placement::{self, Decision, PLAN_MAX};
use yuccalink_coordination::workers;
use yuccalink_protocol::api::{
    Applied, Cancelled, EntryView, Heartbeat, Held, LIST_MAX, LogView, MemberView, OrderTask,
    PAYLOAD_MAX, SUBMIT_MAX, Start, Status, SubmitTasks, Submitted, TargetView, Welcome,
};
use yuccalink_protocol::document;
use yuccalink_protocol::peer::{
    Answer, Ask, EntryState, Neighbour, News, RunnerChange, TaskFilter,
};
use yuccalink_protocol::problem::{Kind, Problem, Ran};
use yuccalink_state::command::{Apply, Command, Missing, Outcome, Submit, TaskEvent, TaskReport};
use yuccalink_state::id::{Epoch, Incarnation, Name, Revision, TaskId, WorkerKey};
use yuccalink_state::target::TargetSpec;
use yuccalink_state::task::Task;
use yuccalink_state::worker::WorkerPhase;
use yuccalink_state::{Machine, Resources};

/// Commands waiting for the log; more are refused as "not run".
const QUEUE_MAX: usize = 16 * 1024;
/// Longest wait of a caller that asks whether a revision is in force.
const FORCE_WAIT: Duration = Duration::from_millis(2_000);
/// Tasks listed at once.
const PAGE_MAX: u32 = 1000;
/// How often all unconfirmed orders are looked through.
const SWEEP: Duration = Duration::from_secs(1);

type Reply = oneshot::Sender<Answer>;

/// What to do with the outcome of a command.
enum Then {
    Applied { service: Name, version: u64, reply: Reply },
    Submitted(Reply),
    Cancelled { tasks: Vec<TaskId>, reply: Reply },
    Placed(Vec<Decision>),
    Announced(Reply),
    Reported(Option<Reply>),
    Request(Reply),
    Done(Reply),
    WorkerGone(Name),
    FormerRunGone(Name),
}

struct ForceWaiter {
    revision: Revision,
    until: Moment,
    reply: Reply,
}

/// Orders for one worker, ready to be sent.
pub(crate) struct OrderBatch {
    pub(crate) worker: WorkerKey,
    pub(crate) name: Name,
    pub(crate) incarnation: Incarnation,
    pub(crate) address: Box<str>,
    pub(crate) due: Vec<Due>,
    pub(crate) orders: Vec<OrderTask>,
}

pub(crate) struct Leader {
    shared: Arc<Shared>,
    clock: Clock,
    term: u64,
    started: Moment,
    machine: Machine,
    directory: Directory,
    entries: Entries,
    dispatch: Dispatch,
    reconcile: Reconcile,
    proposed: VecDeque<(Command, Then)>,
    /// Waits for its index in the log.
    batch: VecDeque<Then>,
    committing: VecDeque<(u64, Then)>,
    placing: bool,
    plan_due: bool,
    going: BTreeSet<Name>,
    dirty: BTreeSet<WorkerKey>,
    /// Tasks that workers hold and should not, to be stopped.
    strays: BTreeMap<WorkerKey, Vec<(TaskId, Epoch)>>,
    swept: Moment,
    force: Vec<ForceWaiter>,
    /// Whether the directory is complete; see [`News::settled`].
    settled: bool,
    /// Wakes the task that sends orders.
    orders: Arc<Notify>,
    news: watch::Sender<u64>,
}

impl Leader {
    pub(crate) fn new(
        shared: Arc<Shared>,
        term: u64,
        machine: Machine,
        orders: Arc<Notify>,
    ) -> Self {
        let clock = shared.clock;
        let started = clock.now();
        Self {
            shared,
            clock,
            term,
            started,
            machine,
            directory: Directory::new(),
            entries: Entries::new(started),
            dispatch: Dispatch::new(),
            reconcile: Reconcile::default(),
            proposed: VecDeque::new(),
            batch: VecDeque::new(),
            committing: VecDeque::new(),
            placing: false,
            plan_due: true,
            going: BTreeSet::new(),
            dirty: BTreeSet::new(),
            strays: BTreeMap::new(),
            swept: started,
            force: Vec::new(),
            settled: false,
            orders,
            news: watch::Sender::new(0),
        }
    }

    pub(crate) fn machine(&self) -> &Machine {
        &self.machine
    }

    /// The state, for a replica that no longer leads. Whoever waits for an answer
    /// is told that there is no leader: what it asked may yet be decided.
    pub(crate) fn into_machine(self) -> Machine {
        self.machine
    }

    /// Tells when there may be news for entries.
    pub(crate) fn watch(&self) -> watch::Receiver<u64> {
        self.news.subscribe()
    }

    fn bump(&self) {
        self.news.send_modify(|count| *count += 1);
    }

    // ---- what entries ask ----

    pub(crate) fn ask(&mut self, ask: Ask, reply: Reply) {
        let answer = match ask {
            Ask::Apply { text, author } => return self.apply(text, author, reply),
            Ask::InForce { revision } => return self.wait_in_force(Revision(revision), reply),
            Ask::Submit { key, tasks } => return self.submit(key, tasks, reply),
            Ask::Cancel(tasks) => return self.cancel(tasks, reply),
            Ask::Announce { target, busy } => return self.announce(target, busy, reply),
            Ask::Heartbeat { name, beat } => return self.heartbeat(&name, beat, reply),
            Ask::Leave { name, incarnation } => return self.leave(name, incarnation, reply),
            Ask::RequestBegin(begin) => {
                return self.propose_for(Command::RequestBegin(begin), Then::Request, reply);
            }
            Ask::RequestEnd(end) => {
                return self.propose_for(Command::RequestEnd(end), Then::Done, reply);
            }
            Ask::Services => {
                let all = self.machine.services();
                Answer::Services(all.map(|s| views::service(&s.accepted, false)).collect())
            }
            Ask::Service(name) => match self.machine.service(&name) {
                Some(found) => Answer::Service(views::service(&found.accepted, true)),
                None => {
                    not_found(format!("no service is called {name}; `yuccalink list` shows all"))
                }
            },
            Ask::Task(id) => match self.machine.task(id) {
                Some(task) => Answer::Task(views::task(&self.machine, task)),
                None => not_found(format!("no task {id} is known; it may have ended long ago")),
            },
            Ask::Tasks(filter) => Answer::Tasks(self.tasks(&filter)),
            Ask::Status => Answer::Status(Box::new(self.status(LogView::default(), Vec::new()))),
            Ask::Targets => Answer::Targets(self.targets()),
            Ask::Decisions => Answer::Decisions(self.shared.decisions.list()),
            // Answered by the replica, which knows the log.
            Ask::Snapshot => Answer::Problem(no_leader()),
        };
        let _ = reply.send(answer);
    }

    fn apply(&mut self, text: Box<str>, author: Box<str>, reply: Reply) {
        let document = match document::read(&text) {
            Ok(document) => document,
            Err(faults) => {
                let _ = reply.send(Answer::Problem(unacceptable_document(&faults)));
                return;
            }
        };
        let service = document.service.clone();
        let version = document.version;
        let digest = document::digest(&text);
        let command = Command::Apply(Box::new(Apply { document, text, digest, author }));
        let then = |reply| Then::Applied { service, version, reply };
        self.propose_for(command, then, reply);
    }

    fn wait_in_force(&mut self, revision: Revision, reply: Reply) {
        let until = self.clock.now() + FORCE_WAIT;
        self.force.push(ForceWaiter { revision, until, reply });
        self.answer_in_force();
    }

    fn answer_in_force(&mut self) {
        let now = self.clock.now();
        for waiter in std::mem::take(&mut self.force) {
            let state = self.entries.in_force(now, waiter.revision);
            let everywhere = state == InForce::Everywhere;
            if !everywhere && now < waiter.until {
                self.force.push(waiter);
                continue;
            }
            let waiting_for = match state {
                InForce::Not(names) => names.into(),
                InForce::Everywhere | InForce::LeaderTooNew => Vec::new(),
            };
            let _ = waiter.reply.send(Answer::InForce { everywhere, waiting_for });
        }
    }

    fn submit(&mut self, key: Box<str>, tasks: SubmitTasks, reply: Reply) {
        if let Some(problem) = self.unacceptable(&tasks) {
            let _ = reply.send(Answer::Problem(problem));
            return;
        }
        let command = Command::Submit(Submit {
            key,
            service: tasks.service,
            kind: tasks.kind,
            count: tasks.count,
            urgent: tasks.urgent,
            payload: tasks.payload,
            at_ms: unix_ms(),
        });
        self.propose_for(command, Then::Submitted, reply);
    }

    fn unacceptable(&self, tasks: &SubmitTasks) -> Option<Problem> {
        let refuse = |what: String| Some(Problem::new(Kind::Unacceptable, Ran::NotRun, what));
        if tasks.count == 0 || tasks.count > SUBMIT_MAX {
            return refuse(format!(
                "count must be from 1 to {SUBMIT_MAX}; submit in several parts"
            ));
        }
        if tasks.payload.len() > PAYLOAD_MAX {
            return refuse(format!(
                "the payload is over {PAYLOAD_MAX} bytes; put it in your own storage and pass its name"
            ));
        }
        let service = self.machine.service(&tasks.service)?;
        let need = service.accepted.document.task_kind(&tasks.kind)?.need;
        match placement::possible(&self.machine, need) {
            Err(never @ placement::Impossible::TooLarge { .. }) => {
                refuse(format!("{}/{} can never run: {never}", tasks.service, tasks.kind))
            }
            Ok(()) | Err(placement::Impossible::NoWorker) => None,
        }
    }

    fn cancel(&mut self, tasks: Vec<TaskId>, reply: Reply) {
        if tasks.len() > LIST_MAX {
            let what =
                format!("at most {LIST_MAX} tasks can be cancelled at once; send several parts");
            let problem = Problem::new(Kind::Unacceptable, Ran::NotRun, what);
            let _ = reply.send(Answer::Problem(problem));
            return;
        }
        let command = Command::Cancel(tasks.clone().into());
        self.propose_for(command, |reply| Then::Cancelled { tasks, reply }, reply);
    }

    fn announce(&mut self, target: TargetSpec, busy: u32, reply: Reply) {
        let now = self.clock.now();
        let new_run = self
            .directory
            .get(target.name())
            .is_none_or(|known| known.spec.incarnation() != target.incarnation());
        if let Some(wait) = self.former_run(&target, now) {
            let _ = reply.send(Answer::Problem(busy_problem(&target, wait)));
            return;
        }
        match self.directory.announce(now, target.clone(), busy) {
            Heard::Busy(wait) => {
                let _ = reply.send(Answer::Problem(busy_problem(&target, wait)));
                return;
            }
            Heard::Noted | Heard::AnnounceAgain => {}
        }
        if new_run {
            log::info!("target {} announced itself at {}", target.name(), target.address());
        }
        self.directory.tick(now, &self.entries);
        self.bump();
        match target {
            TargetSpec::Runner(_) => {
                let _ = reply.send(Answer::Welcome(runner_welcome()));
            }
            TargetSpec::Worker(spec) => {
                let known = self.machine.worker(&spec.name);
                if known.is_some_and(|(_, w)| w.spec == spec && w.phase == WorkerPhase::Live) {
                    let _ = reply.send(Answer::Welcome(worker_welcome()));
                    return;
                }
                if let Some(former) = workers::former_run(&self.machine, &spec) {
                    let name = spec.name.clone();
                    let gone = Command::WorkerGone(name.clone(), former);
                    self.propose(gone, Then::FormerRunGone(name));
                }
                let command = Command::WorkerUp(Box::new(spec));
                self.propose_for(command, Then::Announced, reply);
            }
        }
    }

    /// After a change of leader the directory is empty, but the state knows the
    /// worker: its former run may hold a lease of the last leader.
    fn former_run(&self, target: &TargetSpec, now: Moment) -> Option<Duration> {
        let TargetSpec::Worker(spec) = target else { return None };
        workers::former_run(&self.machine, spec)?;
        if self.directory.get(&spec.name).is_some() {
            return None;
        }
        let wait = workers::wait_after_election(self.started, now);
        (wait > Duration::ZERO).then_some(wait)
    }

    fn heartbeat(&mut self, name: &Name, beat: Heartbeat, reply: Reply) {
        let now = self.clock.now();
        let usage =
            Usage { busy: beat.busy, millicores: beat.millicores, memory_mib: beat.memory_mib };
        let before = self.directory.version();
        if self.directory.heartbeat(now, name, beat.incarnation, usage) != Heard::Noted {
            let what = format!("target {name} is not known in this run; announce it first");
            let problem = Problem::new(Kind::NotFound, Ran::NotRun, what);
            let _ = reply.send(Answer::Problem(problem));
            return;
        }
        if self.directory.version() != before {
            self.bump();
        }
        let is_worker = matches!(
            self.directory.get(name).map(|target| &target.spec),
            Some(TargetSpec::Worker(_))
        );
        if !is_worker {
            let _ = reply.send(Answer::Welcome(runner_welcome()));
            return;
        }
        self.worker_beat(name, beat, reply);
    }

    fn worker_beat(&mut self, name: &Name, beat: Heartbeat, reply: Reply) {
        let known = self.machine.worker(name).filter(|(_, w)| {
            w.spec.incarnation == beat.incarnation && w.phase != WorkerPhase::Gone
        });
        let Some((key, _)) = known else {
            // It was given up: whatever it still holds is somebody else's by now.
            let what = format!("worker {name} was given up; stop its tasks and announce it again");
            let problem = Problem::new(Kind::NotFound, Ran::NotRun, what);
            let _ = reply.send(Answer::Problem(problem));
            return;
        };
        let held: Vec<_> = beat.held.iter().map(|held| (held.task, held.epoch)).collect();
        let differences = self.reconcile.compare(&self.machine, key, &held);
        if !differences.stray.is_empty() {
            log::warn!("worker {name} holds {} tasks it should not", differences.stray.len());
            self.strays.insert(key, differences.stray);
            self.dirty.insert(key);
            self.orders.notify_one();
        }
        let lost = differences.lost.into_iter();
        let lost = lost.map(|(task, epoch)| TaskReport { task, epoch, event: TaskEvent::Stopped });
        let reports: Box<[TaskReport]> = beat.reports.into_iter().chain(lost).collect();
        if reports.is_empty() {
            let _ = reply.send(Answer::Welcome(worker_welcome()));
            return;
        }
        let then = |reply| Then::Reported(Some(reply));
        self.propose_for(Command::Report(reports), then, reply);
    }

    /// Reports that came as the answer to orders.
    pub(crate) fn reported(&mut self, reports: Vec<TaskReport>) {
        if !reports.is_empty() {
            self.propose(Command::Report(reports.into()), Then::Reported(None));
        }
    }

    fn leave(&mut self, name: Name, run: Incarnation, reply: Reply) {
        let now = self.clock.now();
        if self.directory.leave(&name, run) != Heard::Noted {
            let what = format!("target {name} is not known in this run");
            let _ = reply.send(not_found(what));
            return;
        }
        log::info!("target {name} leaves");
        self.directory.tick(now, &self.entries);
        self.bump();
        if self.machine.worker(&name).is_some() {
            let command = Command::WorkerLeaving(name, run);
            self.propose_for(command, Then::Done, reply);
        } else {
            let _ = reply.send(Answer::Done);
        }
    }

    fn tasks(&self, filter: &TaskFilter) -> Vec<yuccalink_protocol::api::TaskView> {
        let limit = filter.limit.clamp(1, PAGE_MAX) as usize;
        let of_service = |task: &&Task| {
            let service = &self.machine.service_at(task.service).accepted.document.service;
            filter.service.as_ref().is_none_or(|want| want == service)
        };
        let in_phase =
            |task: &&Task| filter.phase.as_ref().is_none_or(|want| **want == *views::phase(task));
        let found = self.machine.tasks_after(TaskId(filter.after)).filter(of_service);
        found.filter(in_phase).take(limit).map(|task| views::task(&self.machine, task)).collect()
    }

    pub(crate) fn status(&self, log: LogView, members: Vec<MemberView>) -> Status {
        let now = self.clock.now();
        let entries = self.entries.iter().map(|(name, entry)| EntryView {
            entry: name.clone(),
            zone: entry.zone.clone(),
            callers: entry.callers.clone(),
            revision: entry.acked.0,
            lease: entry.may_hold_lease(now),
            draining: entry.draining,
            silent_ms: millis(now.since(entry.heard)),
        });
        let on_workers = self.machine.workers().map(|(_, worker)| u64::from(worker.tasks)).sum();
        Status {
            entry: self.shared.config.name.clone(),
            leader: Some(self.shared.config.name.clone()),
            term: self.term,
            revision: self.machine.revision().0,
            entries: entries.collect(),
            waiting: self.machine.waiting_len() as u64,
            on_workers,
            ledger_requests: self.machine.ledger().len() as u64,
            ledger_bytes: self.machine.ledger().bytes() as u64,
            log,
            members,
        }
    }

    fn targets(&self) -> Vec<TargetView> {
        let now = self.clock.now();
        let view =
            |(name, target): (&Name, &yuccalink_coordination::directory::Target)| TargetView {
                target: target.spec.clone(),
                health: health_name(target.health).into(),
                busy: target.usage.busy,
                owner: target.owner.clone(),
                silent_ms: millis(now.since(target.heard)),
                committed: self.committed_on(name),
            };
        self.directory.iter().map(view).collect()
    }

    fn committed_on(&self, name: &Name) -> Option<Resources> {
        self.machine.worker(name).map(|(_, worker)| worker.committed)
    }

    // ---- entries ----

    /// Takes in an entry's word; its lease is renewed by the answer.
    pub(crate) fn hear(&mut self, state: &EntryState) {
        let now = self.clock.now();
        if state.leaving {
            log::info!("entry {} has stopped", state.entry);
            self.entries.leave(&state.entry);
            self.directory.tick(now, &self.entries);
            self.bump();
            return;
        }
        let hello = Hello {
            name: state.entry.clone(),
            incarnation: state.incarnation,
            callers: state.callers.clone(),
            zone: state.zone.clone(),
            acked: Revision(state.acked),
            draining: state.draining,
        };
        let known = self.entries.get(&state.entry);
        let news = known.is_none_or(|entry| {
            entry.draining != state.draining || entry.incarnation != state.incarnation
        });
        if self.entries.hear(now, &hello) {
            log::info!("entry {} was restarted", state.entry);
            self.directory.owner_restarted(now, &state.entry);
        }
        for spec in &state.owned {
            self.directory.adopt(now, spec.clone(), &state.entry);
        }
        for name in &state.let_go {
            self.directory.let_go(name, &state.entry);
        }
        if news || !state.owned.is_empty() || !state.let_go.is_empty() {
            self.directory.tick(now, &self.entries);
            self.bump();
        }
        self.answer_in_force();
    }

    /// What is new for an entry, and whether that is anything at all.
    pub(crate) fn news_for(&self, state: &EntryState) -> (News, bool) {
        let same_term = state.term == self.term;
        let table_version = if same_term { state.table_version } else { 0 };
        let documents: Vec<_> = self
            .machine
            .services()
            .filter(|service| service.accepted.revision.0 > state.acked)
            .map(|service| service.accepted.clone())
            .collect();
        let runners = self.directory.changes(table_version);
        let any = !same_term
            || self.machine.revision().0 > state.acked
            || (self.settled && !state.settled)
            || self.directory.version() > table_version;
        let runners = runners.into_iter().map(|change| RunnerChange {
            spec: change.spec,
            usable: change.usable,
            busy: change.busy,
            owner: change.owner,
        });
        let news = News {
            term: self.term,
            revision: self.machine.revision().0,
            documents,
            table_version: self.directory.version(),
            runners: runners.collect(),
            entries: self.neighbours(),
            settled: self.settled,
        };
        (news, any)
    }

    fn neighbours(&self) -> Vec<Neighbour> {
        let now = self.clock.now();
        let alive = self.entries.iter().filter(|(_, entry)| entry.may_hold_lease(now));
        alive
            .map(|(name, entry)| Neighbour {
                name: name.clone(),
                callers: entry.callers.clone(),
                zone: entry.zone.clone(),
                draining: entry.draining,
            })
            .collect()
    }

    // ---- the log ----

    fn propose_for<F>(&mut self, command: Command, then: F, reply: Reply)
    where
        F: FnOnce(Reply) -> Then,
    {
        if self.proposed.len() >= QUEUE_MAX {
            let what = "the log has too much to write; send it again later";
            let problem = Problem::new(Kind::Overloaded, Ran::NotRun, what).retry_after(1000);
            let _ = reply.send(Answer::Problem(problem));
            return;
        }
        self.propose(command, then(reply));
    }

    fn propose(&mut self, command: Command, then: Then) {
        self.proposed.push_back((command, then));
    }

    /// The next batch for the log, if none is under way.
    pub(crate) fn next_batch(&mut self, most: usize) -> Vec<Command> {
        self.plan();
        if !self.committing.is_empty() {
            return Vec::new();
        }
        let count = self.proposed.len().min(most);
        let batch: Vec<_> = self.proposed.drain(..count).collect();
        let mut commands = Vec::with_capacity(batch.len());
        for (command, then) in batch {
            commands.push(command);
            self.batch.push_back(then);
        }
        commands
    }

    /// The batch stands in the log from index `first` on.
    pub(crate) fn proposed(&mut self, first: u64) {
        self.committing.extend((first..).zip(self.batch.drain(..)));
    }

    /// The batch did not get into the log; whoever waits is told that there is no leader.
    pub(crate) fn not_proposed(&mut self) {
        self.batch.clear();
        self.placing = false;
    }

    /// A command is agreed on: applies it and answers.
    pub(crate) fn committed(&mut self, index: u64, command: Command) {
        let outcome = self.machine.apply(command);
        if self.committing.front().is_some_and(|(at, _)| *at == index)
            && let Some((_, then)) = self.committing.pop_front()
        {
            self.finish(then, outcome);
        }
    }

    fn finish(&mut self, then: Then, outcome: Outcome) {
        match then {
            Then::Applied { service, version, reply } => {
                self.finish_apply(service, version, outcome, reply);
            }
            Then::Submitted(reply) => {
                self.plan_due = true;
                let _ = reply.send(submitted(outcome));
            }
            Then::Cancelled { tasks, reply } => self.finish_cancel(&tasks, outcome, reply),
            Then::Placed(decisions) => self.finish_place(&decisions, &outcome),
            Then::Announced(reply) => self.finish_announce(&outcome, reply),
            Then::Reported(reply) => {
                self.plan_due = true;
                if let Some(reply) = reply {
                    let _ = reply.send(Answer::Welcome(worker_welcome()));
                }
            }
            Then::Request(reply) => {
                let answer = match outcome {
                    Outcome::Request(verdict) => Answer::Request(verdict),
                    other => unexpected(&other),
                };
                let _ = reply.send(answer);
            }
            Then::Done(reply) => {
                let _ = reply.send(Answer::Done);
            }
            Then::WorkerGone(name) => {
                self.directory.drop_worker(&name);
                self.finish_gone(&name, &outcome);
            }
            Then::FormerRunGone(name) => self.finish_gone(&name, &outcome),
        }
    }

    fn finish_apply(&mut self, service: Name, version: u64, outcome: Outcome, reply: Reply) {
        let answer = match outcome {
            Outcome::Accepted { revision, resent } => {
                if !resent {
                    log::info!("accepted {service} version {version} as revision {revision}");
                    self.plan_due = true;
                    self.bump();
                }
                Answer::Applied(Applied {
                    service,
                    version,
                    revision: revision.0,
                    resent,
                    in_force_everywhere: false,
                    waiting_for: Vec::new(),
                })
            }
            Outcome::Conflict { version: winner, author, revision } => {
                let what = format!(
                    "{service} version {winner} by {author} is in force (revision {revision}); get \
                     it, merge your change and apply it as version {}",
                    winner + 1
                );
                Answer::Problem(Problem::new(Kind::Conflict, Ran::NotRun, what))
            }
            other => unexpected(&other),
        };
        let _ = reply.send(answer);
    }

    fn finish_cancel(&mut self, tasks: &[TaskId], outcome: Outcome, reply: Reply) {
        let Outcome::Cancelled(outcomes) = outcome else {
            let _ = reply.send(unexpected(&outcome));
            return;
        };
        for id in tasks {
            if let Some(key) = self.machine.task(*id).and_then(Task::worker) {
                self.dirty.insert(key);
            }
        }
        self.orders.notify_one();
        let done =
            tasks.iter().zip(outcomes).map(|(task, outcome)| Cancelled { task: *task, outcome });
        let _ = reply.send(Answer::Cancelled(done.collect()));
    }

    fn finish_place(&mut self, decisions: &[Decision], outcome: &Outcome) {
        self.placing = false;
        let Outcome::Placed(committed) = outcome else { return };
        for placed in committed {
            self.dirty.insert(placed.worker);
            let passed = decisions.iter().find(|d| d.task == placed.task);
            self.log_placement(placed, passed.map_or(0, |d| d.passed_over));
        }
        self.shared.metrics.count("placements", committed.len() as u64);
        self.plan_due |= decisions.len() >= PLAN_MAX;
        self.orders.notify_one();
    }

    fn log_placement(&self, placed: &yuccalink_state::command::Committed, passed_over: usize) {
        let Some(task) = self.machine.task(placed.task) else { return };
        let worker = self.machine.worker_at(placed.worker);
        let service = &self.machine.service_at(task.service).accepted.document.service;
        self.shared.decisions.note(format!(
            "placed {} epoch {} of {service}/{} on {} in {}/{}; {} live workers had no room",
            placed.task,
            placed.epoch,
            task.kind,
            worker.spec.name,
            worker.spec.zone,
            worker.spec.rack,
            passed_over
        ));
    }

    fn finish_announce(&mut self, outcome: &Outcome, reply: Reply) {
        self.plan_due = true;
        let answer = match outcome {
            Outcome::WorkerUp(_) => Answer::Welcome(worker_welcome()),
            Outcome::WorkerBusy => {
                let what = "tasks of an earlier run are not given up yet; announce again";
                let problem = Problem::new(Kind::InProgress, Ran::NotRun, what);
                Answer::Problem(problem.retry_after(1000))
            }
            other => unexpected(other),
        };
        let _ = reply.send(answer);
    }

    fn finish_gone(&mut self, name: &Name, outcome: &Outcome) {
        self.going.remove(name);
        self.plan_due = true;
        if let Outcome::Freed(tasks) = outcome {
            let count = tasks.len();
            self.shared.decisions.note(format!(
                "gave up worker {name}: its lease has ended; {count} tasks wait for a new place"
            ));
        }
    }

    fn plan(&mut self) {
        if !self.plan_due || self.placing || self.machine.waiting_len() == 0 {
            return;
        }
        self.plan_due = false;
        let plan = placement::plan(&self.machine);
        if plan.no_room > 0 {
            log::debug!("{} tasks wait for room", plan.no_room);
        }
        if plan.decisions.is_empty() {
            return;
        }
        self.placing = true;
        let command = Command::Place(plan.placements());
        self.propose(command, Then::Placed(plan.decisions));
    }

    // ---- time ----

    /// Everything that only time brings about.
    pub(crate) fn tick(&mut self) {
        let now = self.clock.now();
        let before = self.directory.version();
        for name in self.directory.tick(now, &self.entries) {
            let owner = self.directory.get(&name).and_then(|target| target.owner.clone());
            let owner = owner.map_or_else(|| "nobody".into(), |owner| owner.to_string());
            self.shared.decisions.note(format!("runner {name} is routed to by entry {owner}"));
        }
        if self.directory.version() != before {
            self.bump();
        }
        if !self.settled && !self.entries.too_new(now) {
            self.settled = true;
            self.bump();
        }
        self.entries.tidy(now);
        self.give_up_workers(now);
        self.answer_in_force();
        if now.since(self.swept) >= SWEEP {
            self.swept = now;
            self.dispatch.tidy(&self.machine);
            self.dirty.extend(self.machine.workers().filter(|(_, w)| w.tasks > 0).map(|(k, _)| k));
            self.plan_due |= self.machine.waiting_len() > 0;
            self.orders.notify_one();
            self.gauges();
        }
    }

    fn gauges(&self) {
        let metrics = &self.shared.metrics;
        metrics.gauge("tasks_waiting", self.machine.waiting_len() as u64);
        metrics.gauge("ledger_bytes", self.machine.ledger().bytes() as u64);
    }

    fn give_up_workers(&mut self, now: Moment) {
        for (name, run) in workers::lost(&self.machine, &self.directory, self.started, now) {
            if !self.going.insert(name.clone()) {
                continue;
            }
            self.propose(Command::WorkerGone(name.clone(), run), Then::WorkerGone(name));
        }
    }

    // ---- orders ----

    /// Orders that are due at workers with something new.
    pub(crate) fn orders_due(&mut self, busy: &BTreeSet<WorkerKey>) -> Vec<OrderBatch> {
        let now = self.clock.now();
        let ready: Vec<WorkerKey> =
            self.dirty.iter().copied().filter(|key| !busy.contains(key)).collect();
        let mut batches = Vec::new();
        for key in ready {
            self.dirty.remove(&key);
            let mut due = self.dispatch.due(now, &self.machine, key);
            for (task, epoch) in self.strays.remove(&key).unwrap_or_default() {
                due.push(Due { task, epoch, order: Order::Stop });
            }
            if due.is_empty() {
                continue;
            }
            let worker = &self.machine.worker_at(key).spec;
            batches.push(OrderBatch {
                worker: key,
                name: worker.name.clone(),
                incarnation: worker.incarnation,
                address: worker.address.clone(),
                orders: due.iter().filter_map(|due| self.order(due)).collect(),
                due,
            });
        }
        batches
    }

    fn order(&self, due: &Due) -> Option<OrderTask> {
        let held = Held { task: due.task, epoch: due.epoch };
        match due.order {
            Order::Stop => Some(OrderTask::Stop(held)),
            Order::Checkpoint => Some(OrderTask::Checkpoint(held)),
            Order::Start => {
                let task = self.machine.task(due.task)?;
                let document = &self.machine.service_at(task.service).accepted.document;
                let kind = document.task_kind(&task.kind);
                Some(OrderTask::Start(Start {
                    task: task.id,
                    epoch: task.epoch,
                    service: document.service.clone(),
                    kind: task.kind.clone(),
                    need: task.need,
                    duration_ms: kind.map_or(0, |kind| kind.duration_ms),
                    done_ms: task.checkpoint.map_or(0, |saved| saved.done_ms),
                    checkpoint: task.checkpoint.map(|saved| saved.epoch),
                    payload: task.payload.clone(),
                }))
            }
        }
    }

    /// Orders could not be delivered: they are due again at the next sweep.
    pub(crate) fn orders_failed(&mut self, due: &[Due]) {
        for due in due {
            self.dispatch.failed(due);
        }
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

fn runner_welcome() -> Welcome {
    Welcome { heartbeat_ms: millis(HEARTBEAT), lease_ms: None }
}

fn worker_welcome() -> Welcome {
    Welcome { heartbeat_ms: millis(HEARTBEAT), lease_ms: Some(millis(WORKER_LEASE)) }
}

fn busy_problem(target: &TargetSpec, wait: Duration) -> Problem {
    let what = format!(
        "another run of {} may still be alive; announce again when its lease has ended",
        target.name()
    );
    Problem::new(Kind::InProgress, Ran::NotRun, what).retry_after(millis(wait).max(1))
}

fn health_name(health: Health) -> &'static str {
    match health {
        Health::Live => "live",
        Health::Suspected => "suspected",
        Health::Leaving => "leaving",
        Health::Gone => "gone",
    }
}

fn not_found(what: String) -> Answer {
    Answer::Problem(Problem::new(Kind::NotFound, Ran::NotRun, what))
}

fn unexpected(outcome: &Outcome) -> Answer {
    log::error!("a command came to {outcome:?}, which it never should; please report this");
    Answer::Problem(Problem::new(Kind::NotServing, Ran::Unknown, "an internal error; see the log"))
}

fn submitted(outcome: Outcome) -> Answer {
    match outcome {
        Outcome::Submitted { first, count, resent } => {
            Answer::Submitted(Submitted { first, count, resent })
        }
        Outcome::Unknown(Missing::Service(name)) => {
            not_found(format!("no service is called {name}; apply its document first"))
        }
        Outcome::Unknown(Missing::Kind(name)) => not_found(format!(
            "the document has no kind of task {name}; add a [[task]] with that name"
        )),
        other => unexpected(&other),
    }
}

/// The problem of a document with faults.
pub(crate) fn unacceptable_document(faults: &yuccalink_protocol::fields::Faults) -> Problem {
    let what = "the document has faults; correct them and apply it again";
    Problem::new(Kind::Unacceptable, Ran::NotRun, what)
        .with_faults(faults.0.iter().map(|fault| fault.to_string().into()).collect())
}
