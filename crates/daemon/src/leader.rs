//! The leader: handles the requests of entries, proposes commands to the log and
//! acts on committed ones. It does no network I/O.

mod entries;
mod orders;
mod requests;
mod time;
mod zones;

use crate::clock::{Clock, millis, unix_ms};
use crate::shared::{Shared, no_leader_problem};
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
use yuccalink_state::evacuation::{ZoneOrder, ZoneOutcome, ZoneView, check_zone};
use yuccalink_state::id::{Epoch, Incarnation, Name, Revision, TaskId, WorkerKey};
use yuccalink_state::target::TargetSpec;
use yuccalink_state::task::{Task, TaskPhase};
use yuccalink_state::worker::WorkerPhase;
use yuccalink_state::{Resources, StateMachine};

/// Limit of commands that wait for the log; further requests are refused as "not run".
const PROPOSAL_QUEUE_MAX: usize = 16 * 1024;
/// Longest time that a request waits until a revision is in force at all entries.
const IN_FORCE_WAIT_MAX: Duration = Duration::from_millis(2_000);
/// Largest number of tasks in one list response.
const TASK_LIST_MAX: u32 = 1000;
/// Interval at which all workers with tasks are checked for unconfirmed orders.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

type Reply = oneshot::Sender<LeaderResponse>;

/// Action to take with the outcome of a committed command.
enum OnCommit {
    Applied {
        service: Name,
        version: u64,
        reply: Reply,
    },
    Submitted(Reply),
    Cancelled {
        tasks: Vec<TaskId>,
        reply: Reply,
    },
    Placed(Vec<Decision>),
    Announced(Reply),
    /// Task reports, with the heartbeat to answer, if any, and whether the response asks for
    /// the worker's list of tasks.
    Reported(Option<(Reply, bool)>),
    Request(Reply),
    Zone(ZoneOrder, Reply),
    Done(Reply),
    WorkerGone(Name),
    PreviousIncarnationGone(Name),
}

/// A request that waits until a revision is in force at all entries.
struct InForceWaiter {
    revision: Revision,
    deadline: Moment,
    reply: Reply,
}

/// An operator's order for a zone that waits until all entries route by the directory's
/// version after it.
struct ZoneWaiter {
    zone: Box<str>,
    version: u64,
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
    proposal_queue: VecDeque<(Command, OnCommit)>,
    /// Actions of the batch that was taken for the log and has no log index yet.
    awaiting_index: VecDeque<OnCommit>,
    /// Log index and action of each command that is not committed yet.
    awaiting_commit: VecDeque<(u64, OnCommit)>,
    /// Whether a placement was proposed and is not committed yet.
    placement_pending: bool,
    /// Whether waiting tasks may have become placeable since the last plan.
    plan_due: bool,
    /// Workers whose removal was proposed and is not committed yet.
    removals_pending: BTreeSet<Name>,
    /// Workers that may have new orders.
    dirty_workers: BTreeSet<WorkerKey>,
    /// Tasks that a worker reports but that are not assigned to it; they are to be stopped.
    stray_tasks: BTreeMap<WorkerKey, Vec<(TaskId, Epoch)>>,
    pressure: Pressure,
    /// Throttle orders to send, by worker.
    throttles: BTreeMap<WorkerKey, Vec<Throttle>>,
    last_sweep: Moment,
    in_force_waiters: Vec<InForceWaiter>,
    zone_waiters: Vec<ZoneWaiter>,
    /// Whether the directory lists all runners; see [`EntryUpdate::runner_table_complete`].
    runner_table_complete: bool,
    /// Wakes the task that sends orders.
    order_wake: Arc<Notify>,
    /// Counter that is incremented when an entry update may be due.
    update_signal: watch::Sender<u64>,
    /// Counter that is incremented to answer all entries at once, which renews their leases.
    lease_round: u64,
}

impl Leader {
    pub(crate) fn new(
        shared: Arc<Shared>,
        term: u64,
        state: StateMachine,
        order_wake: Arc<Notify>,
    ) -> Self {
        let clock = shared.clock;
        let started = clock.now();
        let mut directory = Directory::new();
        directory.set_evacuations(state.evacuations());
        Self {
            shared,
            clock,
            term,
            started,
            state,
            directory,
            entries: EntryTable::new(started),
            dispatch: Dispatch::new(),
            reconcile: Reconcile::default(),
            proposal_queue: VecDeque::new(),
            awaiting_index: VecDeque::new(),
            awaiting_commit: VecDeque::new(),
            placement_pending: false,
            plan_due: true,
            removals_pending: BTreeSet::new(),
            dirty_workers: BTreeSet::new(),
            stray_tasks: BTreeMap::new(),
            pressure: Pressure::default(),
            throttles: BTreeMap::new(),
            last_sweep: started,
            in_force_waiters: Vec::new(),
            zone_waiters: Vec::new(),
            runner_table_complete: false,
            order_wake,
            update_signal: watch::Sender::new(0),
            lease_round: 0,
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
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.update_signal.subscribe()
    }

    fn signal_update(&self) {
        self.update_signal.send_modify(|count| *count += 1);
    }

    // ---- log ----

    /// Proposes a command for a request, or refuses the request when the queue is full.
    fn propose_request<F>(&mut self, command: Command, on_commit: F, reply: Reply)
    where
        F: FnOnce(Reply) -> OnCommit,
    {
        if self.proposal_queue.len() >= PROPOSAL_QUEUE_MAX {
            let message = "too many commands wait for the log; send the request again later";
            let problem = Problem::new(ProblemKind::Overloaded, ExecutionStatus::NotRun, message)
                .retry_after(1000);
            let _ = reply.send(LeaderResponse::Problem(problem));
            return;
        }
        self.propose(command, on_commit(reply));
    }

    fn propose(&mut self, command: Command, on_commit: OnCommit) {
        self.proposal_queue.push_back((command, on_commit));
    }

    /// Takes the next batch of commands for the log; empty while another batch is not committed.
    pub(crate) fn next_batch(&mut self, max_len: usize) -> Vec<Command> {
        self.plan();
        if !self.awaiting_commit.is_empty() {
            return Vec::new();
        }
        let count = self.proposal_queue.len().min(max_len);
        let batch: Vec<_> = self.proposal_queue.drain(..count).collect();
        let mut commands = Vec::with_capacity(batch.len());
        for (command, on_commit) in batch {
            commands.push(command);
            self.awaiting_index.push_back(on_commit);
        }
        commands
    }

    /// Records that the batch was appended to the log from index `first` on.
    pub(crate) fn record_batch_index(&mut self, first: u64) {
        self.awaiting_commit.extend((first..).zip(self.awaiting_index.drain(..)));
    }

    /// Drops the batch, which was not appended to the log. Its requests get the response that
    /// there is no leader.
    pub(crate) fn drop_batch(&mut self) {
        self.awaiting_index.clear();
        self.placement_pending = false;
    }

    /// Applies a committed command and responds to its request.
    pub(crate) fn apply_committed(&mut self, index: u64, command: Command) {
        let outcome = self.state.apply(command);
        if self.awaiting_commit.front().is_some_and(|(at, _)| *at == index)
            && let Some((_, on_commit)) = self.awaiting_commit.pop_front()
        {
            self.handle_outcome(on_commit, outcome);
        }
    }

    fn handle_outcome(&mut self, on_commit: OnCommit, outcome: Outcome) {
        match on_commit {
            OnCommit::Applied { service, version, reply } => {
                self.finish_apply(service, version, outcome, reply);
            }
            OnCommit::Submitted(reply) => {
                self.plan_due = true;
                let _ = reply.send(submission_response(outcome));
            }
            OnCommit::Cancelled { tasks, reply } => self.finish_cancel(&tasks, outcome, reply),
            OnCommit::Placed(decisions) => self.finish_place(&decisions, &outcome),
            OnCommit::Announced(reply) => self.finish_announce(&outcome, reply),
            OnCommit::Reported(reply) => {
                self.plan_due = true;
                if let Some((reply, send_held)) = reply {
                    let _ = reply.send(LeaderResponse::Welcome(worker_heartbeat_reply(send_held)));
                }
            }
            OnCommit::Request(reply) => {
                let response = match outcome {
                    Outcome::Request(verdict) => LeaderResponse::Request(verdict),
                    other => unexpected_outcome(&other),
                };
                let _ = reply.send(response);
            }
            OnCommit::Zone(order, reply) => self.finish_zone_order(&order, &outcome, reply),
            OnCommit::Done(reply) => {
                let _ = reply.send(LeaderResponse::Done);
            }
            OnCommit::WorkerGone(name) => {
                self.directory.drop_worker(&name);
                self.finish_worker_removal(&name, &outcome);
            }
            OnCommit::PreviousIncarnationGone(name) => self.finish_worker_removal(&name, &outcome),
        }
    }

    fn finish_apply(&mut self, service: Name, version: u64, outcome: Outcome, reply: Reply) {
        let response = match outcome {
            Outcome::Accepted { revision, resent } => {
                if !resent {
                    log::info!("accepted {service} version {version} as revision {revision}");
                    self.plan_due = true;
                    self.signal_update();
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
                let message = format!(
                    "{service} version {winner} by {author} is in force (revision {revision}); get \
                     it, merge your change and apply it as version {}",
                    winner + 1
                );
                LeaderResponse::Problem(Problem::new(
                    ProblemKind::Conflict,
                    ExecutionStatus::NotRun,
                    message,
                ))
            }
            other => unexpected_outcome(&other),
        };
        let _ = reply.send(response);
    }

    fn finish_cancel(&mut self, tasks: &[TaskId], outcome: Outcome, reply: Reply) {
        let Outcome::Cancelled(outcomes) = outcome else {
            let _ = reply.send(unexpected_outcome(&outcome));
            return;
        };
        for id in tasks {
            if let Some(key) = self.state.task(*id).and_then(Task::worker) {
                self.dirty_workers.insert(key);
            }
        }
        self.order_wake.notify_one();
        let done =
            tasks.iter().zip(outcomes).map(|(task, outcome)| Cancelled { task: *task, outcome });
        let _ = reply.send(LeaderResponse::Cancelled(done.collect()));
    }

    fn finish_place(&mut self, decisions: &[Decision], outcome: &Outcome) {
        self.placement_pending = false;
        let Outcome::Placed(committed) = outcome else { return };
        for placed in committed {
            self.dirty_workers.insert(placed.worker);
            let decision = decisions.iter().find(|d| d.task == placed.task);
            self.log_placement(placed, decision.map_or(0, |d| d.passed_over));
        }
        self.shared.metrics.count("placements", committed.len() as u64);
        self.plan_due |= decisions.len() >= PLAN_MAX;
        self.order_wake.notify_one();
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
        let response = match outcome {
            Outcome::WorkerUp(_) => LeaderResponse::Welcome(worker_heartbeat_reply(true)),
            Outcome::WorkerBusy => {
                let message =
                    "tasks of its previous incarnation are not released yet; announce again";
                let problem =
                    Problem::new(ProblemKind::InProgress, ExecutionStatus::NotRun, message);
                LeaderResponse::Problem(problem.retry_after(1000))
            }
            other => unexpected_outcome(other),
        };
        let _ = reply.send(response);
    }

    fn finish_worker_removal(&mut self, name: &Name, outcome: &Outcome) {
        self.removals_pending.remove(name);
        self.plan_due = true;
        if let Outcome::Freed(tasks) = outcome {
            let count = tasks.len();
            self.shared.decisions.note(format!(
                "gave up worker {name}: its lease has ended; {count} tasks wait to be placed again"
            ));
        }
    }

    /// Plans placements of the waiting tasks and proposes them.
    fn plan(&mut self) {
        if !self.plan_due || self.placement_pending || self.state.waiting_len() == 0 {
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
        self.placement_pending = true;
        let command = Command::Place(plan.placements());
        self.propose(command, OnCommit::Placed(plan.decisions));
    }
}

fn runner_heartbeat_reply() -> HeartbeatReply {
    HeartbeatReply { heartbeat_ms: millis(HEARTBEAT_INTERVAL), lease_ms: None, send_held: false }
}

fn worker_heartbeat_reply(send_held: bool) -> HeartbeatReply {
    let lease_ms = Some(millis(WORKER_LEASE));
    HeartbeatReply { heartbeat_ms: millis(HEARTBEAT_INTERVAL), lease_ms, send_held }
}

fn previous_incarnation_problem(target: &TargetSpec, wait: Duration) -> Problem {
    let message = format!(
        "another incarnation of {} may still be alive; announce again when its lease has ended",
        target.name()
    );
    Problem::new(ProblemKind::InProgress, ExecutionStatus::NotRun, message)
        .retry_after(millis(wait).max(1))
}

fn not_found(message: String) -> LeaderResponse {
    LeaderResponse::Problem(Problem::new(ProblemKind::NotFound, ExecutionStatus::NotRun, message))
}

fn unexpected_outcome(outcome: &Outcome) -> LeaderResponse {
    log::error!("unexpected outcome of a command: {outcome:?}; please report this");
    LeaderResponse::Problem(Problem::new(
        ProblemKind::NotServing,
        ExecutionStatus::Unknown,
        "an internal error; see the log",
    ))
}

fn submission_response(outcome: Outcome) -> LeaderResponse {
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
        other => unexpected_outcome(&other),
    }
}

/// Builds the response to a document that fails validation.
pub(crate) fn unacceptable_document(
    faults: &yuccalink_protocol::fields::ValidationErrors,
) -> Problem {
    let message = "the document has faults; correct them and apply it again";
    Problem::new(ProblemKind::Unacceptable, ExecutionStatus::NotRun, message)
        .with_faults(faults.0.iter().map(|fault| fault.to_string().into()).collect())
}
