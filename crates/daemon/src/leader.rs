//! The leader: handles the requests of entries, proposes commands to the log and
//! acts on committed ones. It does no network I/O.

mod entries;
mod orders;
mod requests;
mod time;

use crate::clock::{Clock, millis, unix_ms};
use crate::shared::{Shared, no_leader};
use crate::views;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot, watch};
use yuccalink_coordination::directory::{
    Directory, HEARTBEAT_INTERVAL, HeartbeatOutcome, Usage, WORKER_LEASE,
};
use yuccalink_coordination::dispatch::{Differences, Dispatch, DueOrder, Order, Reconcile};
use yuccalink_coordination::entries::{EntryReport, EntryTable, RolloutStatus};
use yuccalink_coordination::moment::Moment;
use yuccalink_coordination::placement::{self, Decision, PLAN_MAX};
use yuccalink_coordination::pressure::{self, Pressure, PressureChange, Throttle};
use yuccalink_coordination::workers;
use yuccalink_protocol::api::{
    Applied, Cancelled, EntryView, Heartbeat, HeartbeatReply, LIST_MAX, LogView, MemberView,
    OrderTask, PAYLOAD_MAX, ReportedTask, SUBMIT_MAX, Status, SubmitTasks, Submitted, TargetView,
    TaskStart, held_digest,
};
use yuccalink_protocol::document;
use yuccalink_protocol::peer::{
    EntryState, EntryUpdate, LeaderRequest, LeaderResponse, PeerEntry, RunnerChange, TaskFilter,
};
use yuccalink_protocol::problem::{ExecutionStatus, Problem, ProblemKind};
use yuccalink_state::command::{
    Apply, Command, Missing, Outcome, TaskEvent, TaskReport, TaskSubmission,
};
use yuccalink_state::id::{Epoch, Incarnation, Name, Revision, TaskId, WorkerKey};
use yuccalink_state::target::TargetSpec;
use yuccalink_state::task::{Task, TaskPhase};
use yuccalink_state::worker::WorkerPhase;
use yuccalink_state::{Resources, StateMachine};

/// Limit of commands that wait for the log; further requests are refused as "not run".
const QUEUE_MAX: usize = 16 * 1024;
/// Longest time that a request waits until a revision is in force at all entries.
const FORCE_WAIT: Duration = Duration::from_millis(2_000);
/// Largest number of tasks in one list response.
const PAGE_MAX: u32 = 1000;
/// Interval at which all workers with tasks are checked for unconfirmed orders.
const SWEEP: Duration = Duration::from_secs(1);

type Reply = oneshot::Sender<LeaderResponse>;

/// Action to take with the outcome of a committed command.
enum Then {
    Applied { service: Name, version: u64, reply: Reply },
    Submitted(Reply),
    Cancelled { tasks: Vec<TaskId>, reply: Reply },
    Placed(Vec<Decision>),
    Announced(Reply),
    Reported(Option<(Reply, bool)>),
    Request(Reply),
    Done(Reply),
    WorkerGone(Name),
    FormerRunGone(Name),
}

/// A request that waits until a revision is in force at all entries.
struct ForceWaiter {
    revision: Revision,
    until: Moment,
    reply: Reply,
}

/// Orders to send to one worker in one message.
pub(crate) struct OrderBatch {
    pub(crate) worker: WorkerKey,
    pub(crate) name: Name,
    pub(crate) incarnation: Incarnation,
    pub(crate) address: Box<str>,
    pub(crate) due: Vec<DueOrder>,
    pub(crate) orders: Vec<OrderTask>,
}

pub(crate) struct Leader {
    shared: Arc<Shared>,
    clock: Clock,
    term: u64,
    started: Moment,
    state: StateMachine,
    directory: Directory,
    entries: EntryTable,
    dispatch: Dispatch,
    reconcile: Reconcile,
    proposed: VecDeque<(Command, Then)>,
    /// Actions of the batch that was taken for the log and has no log index yet.
    batch: VecDeque<Then>,
    /// Log index and action of each command that is not committed yet.
    committing: VecDeque<(u64, Then)>,
    placing: bool,
    plan_due: bool,
    /// Workers whose removal was proposed and is not committed yet.
    going: BTreeSet<Name>,
    /// Workers that may have new orders.
    dirty: BTreeSet<WorkerKey>,
    /// Tasks that a worker reports but that are not assigned to it; they are to be stopped.
    strays: BTreeMap<WorkerKey, Vec<(TaskId, Epoch)>>,
    pressure: Pressure,
    /// Throttle orders to send, by worker.
    throttles: BTreeMap<WorkerKey, Vec<Throttle>>,
    swept: Moment,
    force: Vec<ForceWaiter>,
    /// Whether the directory lists all runners; see [`EntryUpdate::runner_table_complete`].
    settled: bool,
    /// Wakes the task that sends orders.
    orders: Arc<Notify>,
    /// Counter that is incremented when an entry update may be due.
    news: watch::Sender<u64>,
}

impl Leader {
    pub(crate) fn new(
        shared: Arc<Shared>,
        term: u64,
        state: StateMachine,
        orders: Arc<Notify>,
    ) -> Self {
        let clock = shared.clock;
        let started = clock.now();
        Self {
            shared,
            clock,
            term,
            started,
            state,
            directory: Directory::new(),
            entries: EntryTable::new(started),
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
            pressure: Pressure::default(),
            throttles: BTreeMap::new(),
            swept: started,
            force: Vec::new(),
            settled: false,
            orders,
            news: watch::Sender::new(0),
        }
    }

    pub(crate) fn state(&self) -> &StateMachine {
        &self.state
    }

    /// Returns the state to a replica that no longer leads. Pending requests get the
    /// response that there is no leader: their commands may still be committed.
    pub(crate) fn into_state(self) -> StateMachine {
        self.state
    }

    /// Returns a receiver that is notified when an entry update may be due.
    pub(crate) fn watch(&self) -> watch::Receiver<u64> {
        self.news.subscribe()
    }

    fn bump(&self) {
        self.news.send_modify(|count| *count += 1);
    }

    // ---- log ----

    fn propose_for<F>(&mut self, command: Command, then: F, reply: Reply)
    where
        F: FnOnce(Reply) -> Then,
    {
        if self.proposed.len() >= QUEUE_MAX {
            let what = "too many commands wait for the log; send the request again later";
            let problem = Problem::new(ProblemKind::Overloaded, ExecutionStatus::NotRun, what)
                .retry_after(1000);
            let _ = reply.send(LeaderResponse::Problem(problem));
            return;
        }
        self.propose(command, then(reply));
    }

    fn propose(&mut self, command: Command, then: Then) {
        self.proposed.push_back((command, then));
    }

    /// Takes the next batch of commands for the log; empty while another batch is not committed.
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

    /// Records that the batch was appended to the log from index `first` on.
    pub(crate) fn proposed(&mut self, first: u64) {
        self.committing.extend((first..).zip(self.batch.drain(..)));
    }

    /// Drops the batch, which was not appended to the log. Its requests get the response that
    /// there is no leader.
    pub(crate) fn not_proposed(&mut self) {
        self.batch.clear();
        self.placing = false;
    }

    /// Applies a committed command and responds to its request.
    pub(crate) fn committed(&mut self, index: u64, command: Command) {
        let outcome = self.state.apply(command);
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
                if let Some((reply, send_held)) = reply {
                    let _ = reply.send(LeaderResponse::Welcome(worker_welcome(send_held)));
                }
            }
            Then::Request(reply) => {
                let answer = match outcome {
                    Outcome::Request(verdict) => LeaderResponse::Request(verdict),
                    other => unexpected(&other),
                };
                let _ = reply.send(answer);
            }
            Then::Done(reply) => {
                let _ = reply.send(LeaderResponse::Done);
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
                LeaderResponse::Applied(Applied {
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
                LeaderResponse::Problem(Problem::new(
                    ProblemKind::Conflict,
                    ExecutionStatus::NotRun,
                    what,
                ))
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
            if let Some(key) = self.state.task(*id).and_then(Task::worker) {
                self.dirty.insert(key);
            }
        }
        self.orders.notify_one();
        let done =
            tasks.iter().zip(outcomes).map(|(task, outcome)| Cancelled { task: *task, outcome });
        let _ = reply.send(LeaderResponse::Cancelled(done.collect()));
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
        let Some(task) = self.state.task(placed.task) else { return };
        let worker = self.state.worker_at(placed.worker);
        let service = &self.state.service_at(task.service).accepted.document.service;
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
            Outcome::WorkerUp(_) => LeaderResponse::Welcome(worker_welcome(true)),
            Outcome::WorkerBusy => {
                let what = "tasks of its previous incarnation are not released yet; announce again";
                let problem = Problem::new(ProblemKind::InProgress, ExecutionStatus::NotRun, what);
                LeaderResponse::Problem(problem.retry_after(1000))
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
                "gave up worker {name}: its lease has ended; {count} tasks wait to be placed again"
            ));
        }
    }

    fn plan(&mut self) {
        if !self.plan_due || self.placing || self.state.waiting_len() == 0 {
            return;
        }
        self.plan_due = false;
        let plan = placement::plan(&self.state);
        if plan.no_room > 0 {
            log::debug!("{} tasks wait for free capacity", plan.no_room);
        }
        if plan.decisions.is_empty() {
            return;
        }
        self.placing = true;
        let command = Command::Place(plan.placements());
        self.propose(command, Then::Placed(plan.decisions));
    }
}

fn runner_welcome() -> HeartbeatReply {
    HeartbeatReply { heartbeat_ms: millis(HEARTBEAT_INTERVAL), lease_ms: None, send_held: false }
}

fn worker_welcome(send_held: bool) -> HeartbeatReply {
    let lease_ms = Some(millis(WORKER_LEASE));
    HeartbeatReply { heartbeat_ms: millis(HEARTBEAT_INTERVAL), lease_ms, send_held }
}

fn busy_problem(target: &TargetSpec, wait: Duration) -> Problem {
    let what = format!(
        "another incarnation of {} may still be alive; announce again when its lease has ended",
        target.name()
    );
    Problem::new(ProblemKind::InProgress, ExecutionStatus::NotRun, what)
        .retry_after(millis(wait).max(1))
}

fn not_found(what: String) -> LeaderResponse {
    LeaderResponse::Problem(Problem::new(ProblemKind::NotFound, ExecutionStatus::NotRun, what))
}

fn unexpected(outcome: &Outcome) -> LeaderResponse {
    log::error!("unexpected outcome of a command: {outcome:?}; please report this");
    LeaderResponse::Problem(Problem::new(
        ProblemKind::NotServing,
        ExecutionStatus::Unknown,
        "an internal error; see the log",
    ))
}

fn submitted(outcome: Outcome) -> LeaderResponse {
    match outcome {
        Outcome::Submitted { first, count, resent } => {
            LeaderResponse::Submitted(Submitted { first, count, resent })
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

/// Builds the response to a document that fails validation.
pub(crate) fn unacceptable_document(
    faults: &yuccalink_protocol::fields::ValidationErrors,
) -> Problem {
    let what = "the document has faults; correct them and apply it again";
    Problem::new(ProblemKind::Unacceptable, ExecutionStatus::NotRun, what)
        .with_faults(faults.0.iter().map(|fault| fault.to_string().into()).collect())
}
