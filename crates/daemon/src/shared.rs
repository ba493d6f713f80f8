//! State that all threads share: the routing table, which the control thread replaces
//! as a whole, and the routing state behind one lock that is held only briefly.

use crate::clock::Clock;
use crate::config::Config;
use crate::decisions::Decisions;
use crate::metrics::Metrics;
use arc_swap::ArcSwap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout_at};
use yuccalink_coordination::Moment;
use yuccalink_coordination::router::{
    Admission, DequeuedRequest, Grant, Refusal, Router, RoutingRequest, RunnerOutcome, Ticket,
};
use yuccalink_protocol::peer::{LeaderRequest, LeaderResponse};
use yuccalink_protocol::problem::{ExecutionStatus, Problem, ProblemKind};
use yuccalink_state::document::Document;
use yuccalink_state::id::Name;
use yuccalink_state::target::RunnerSpec;
use yuccalink_transport::account::ClientAccount;
use yuccalink_transport::auth::Keys;
use yuccalink_transport::pool::Destination;

/// Capacity of the request queue to the control thread. Further requests are refused
/// immediately.
pub(crate) const CONTROL_QUEUE: usize = 4096;
/// Delay before a request is sent to the next leader.
const LEADER_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum wait for the leader's response.
pub(crate) const LEADER_REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// An entry that owns runners of a service.
#[derive(Clone, Debug)]
pub(crate) struct Owner {
    pub(crate) name: Name,
    pub(crate) caller_address: SocketAddr,
    pub(crate) slots: u32,
}

/// Documents and runner owners by service, as traffic threads read them. Immutable: a
/// change replaces the whole table.
#[derive(Debug, Default)]
pub(crate) struct RoutingTable {
    pub(crate) services: HashMap<Box<str>, Arc<Document>>,
    pub(crate) owners: HashMap<Box<str>, Vec<Owner>>,
}

/// A request to the leader and the channel for the response.
#[derive(Debug)]
pub(crate) struct ToLeader {
    pub(crate) request: LeaderRequest,
    pub(crate) reply: oneshot::Sender<LeaderResponse>,
}

/// The router and the requests that wait in its queues.
#[derive(Debug)]
pub(crate) struct Routing {
    pub(crate) router: Router,
    waiting: HashMap<Ticket, oneshot::Sender<Grant>>,
    dequeued: Vec<DequeuedRequest>,
}

/// Result of admitting a request: a slot, a place in the queue or a refusal.
#[derive(Debug)]
pub(crate) enum Admitted {
    Granted(Grant),
    Queued(Ticket, oneshot::Receiver<Grant>),
    Refused(Refusal, Duration),
}

#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) config: Config,
    pub(crate) clock: Clock,
    pub(crate) routing_table: ArcSwap<RoutingTable>,
    pub(crate) decisions: Decisions,
    pub(crate) metrics: Metrics,
    pub(crate) in_flight: AtomicUsize,
    pub(crate) keys: Keys,
    /// What clients make this process hold.
    pub(crate) account: Arc<ClientAccount>,
    routing: Mutex<Routing>,
    lease_until: AtomicU64,
    draining: AtomicBool,
    refusing: AtomicBool,
    has_runner_table: AtomicBool,
    /// Wakes the task that reports this entry's state to the leader.
    pub(crate) report_to_leader: Notify,
    leader: mpsc::Sender<ToLeader>,
}

impl Shared {
    pub(crate) fn new(
        config: Config,
        keys: Keys,
        clock: Clock,
        leader: mpsc::Sender<ToLeader>,
    ) -> Self {
        let router = Router::new(config.zone.clone());
        let account = ClientAccount::new(config.account_bounds());
        Self {
            decisions: Decisions::new(config.name.clone()),
            metrics: Metrics::new(config.statsd),
            config,
            clock,
            account,
            routing_table: ArcSwap::default(),
            in_flight: AtomicUsize::new(0),
            keys,
            routing: Mutex::new(Routing { router, waiting: HashMap::new(), dequeued: Vec::new() }),
            lease_until: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
            has_runner_table: AtomicBool::new(false),
            report_to_leader: Notify::new(),
            leader,
        }
    }

    pub(crate) fn routing(&self) -> MutexGuard<'_, Routing> {
        self.routing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this entry may serve requests. An entry whose configuration lease has
    /// expired may be partitioned and route by documents that are no longer in force.
    pub(crate) fn has_lease(&self) -> bool {
        self.clock.now().0 < self.lease_until.load(Ordering::Acquire)
    }

    pub(crate) fn set_lease(&self, until: Moment) {
        self.lease_until.store(until.0, Ordering::Release);
    }

    /// Whether this entry has ever had a complete runner table. If it reported ready
    /// earlier, it would refuse requests that another entry could serve.
    pub(crate) fn has_runner_table(&self) -> bool {
        self.has_runner_table.load(Ordering::Acquire)
    }

    pub(crate) fn set_has_runner_table(&self) {
        self.has_runner_table.store(true, Ordering::Release);
    }

    /// Makes the readiness check for the load balancer fail. Requests are still served.
    pub(crate) fn start_draining(&self) {
        self.draining.store(true, Ordering::Release);
        self.report_to_leader.notify_one();
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Refuses new requests from now on.
    pub(crate) fn start_refusing(&self) {
        self.refusing.store(true, Ordering::Release);
    }

    pub(crate) fn is_refusing(&self) -> bool {
        self.refusing.load(Ordering::Acquire)
    }

    /// Sends a request to the leader and waits for the response, at most
    /// [`LEADER_REQUEST_TIMEOUT`].
    pub(crate) async fn request_leader(&self, request: LeaderRequest) -> LeaderResponse {
        let deadline = Instant::now() + LEADER_REQUEST_TIMEOUT;
        let mut was_sent = false;
        loop {
            let (reply, response) = oneshot::channel();
            if self.leader.try_send(ToLeader { request: request.clone(), reply }).is_err() {
                if was_sent {
                    return LeaderResponse::Problem(no_leader_problem());
                }
                return LeaderResponse::Problem(
                    Problem::new(
                        ProblemKind::Overloaded,
                        ExecutionStatus::NotRun,
                        "too many requests wait for the leader",
                    )
                    .retry_after(500),
                );
            }
            was_sent = true;
            match timeout_at(deadline, response).await {
                Ok(Ok(response)) => return response,
                // The leader lost its leadership meanwhile, so the next leader gets the
                // request. This is safe even if the old leader already decided it.
                Ok(Err(_)) if Instant::now() + LEADER_RETRY_DELAY < deadline => {
                    sleep(LEADER_RETRY_DELAY).await
                }
                Ok(Err(_)) | Err(_) => return LeaderResponse::Problem(no_leader_problem()),
            }
        }
    }

    pub(crate) fn admit(&self, request: RoutingRequest<'_>) -> Admitted {
        let now = self.clock.now();
        let mut routing = self.routing();
        match routing.router.admit(now, request) {
            Admission::Granted(grant) => Admitted::Granted(grant),
            Admission::Wait(ticket) => {
                let (tx, rx) = oneshot::channel();
                routing.waiting.insert(ticket, tx);
                Admitted::Queued(ticket, rx)
            }
            Admission::Refuse(refusal, retry_after) => Admitted::Refused(refusal, retry_after),
        }
    }

    /// Removes a request from the queue. A slot granted at the same moment is released.
    pub(crate) fn abandon(&self, ticket: Ticket, mut rx: oneshot::Receiver<Grant>) {
        let now = self.clock.now();
        let mut routing = self.routing();
        routing.waiting.remove(&ticket);
        if !routing.router.abandon(ticket)
            && let Ok(grant) = rx.try_recv()
        {
            routing.release(now, grant, RunnerOutcome::Abandoned);
        }
    }

    pub(crate) fn release(&self, grant: Grant, outcome: RunnerOutcome) {
        let now = self.clock.now();
        self.routing().release(now, grant, outcome);
    }

    /// The destination and the name of a grant's runner.
    pub(crate) fn runner_of(&self, grant: Grant) -> Option<(Destination, Name)> {
        let routing = self.routing();
        let spec = &routing.router.runner(grant.runner)?.spec;
        let address = spec.address.parse().ok()?;
        let idle = Some(idle_per_thread(spec, self.config.traffic_threads));
        Some((Destination { address, idle }, spec.name.clone()))
    }
}

/// The problem for a request to which no leader responded.
pub(crate) fn no_leader_problem() -> Problem {
    let detail = "no leader responded in time; the request may or may not have been decided. \
                  Send it again with the same key or version";
    Problem::new(ProblemKind::NotServing, ExecutionStatus::Unknown, detail).retry_after(1000)
}

/// Number of idle connections that one thread may keep to a runner. Connections in use
/// never exceed the runner's slots, so all threads together stay within its connection
/// limit.
fn idle_per_thread(spec: &RunnerSpec, threads: usize) -> usize {
    let spare_connections = spec.connections.saturating_sub(spec.slots) as usize;
    spare_connections / threads.max(1)
}

impl Routing {
    fn release(&mut self, now: Moment, grant: Grant, outcome: RunnerOutcome) {
        let mut dequeued = std::mem::take(&mut self.dequeued);
        self.router.release(now, grant, outcome, &mut dequeued);
        self.grant_dequeued(now, dequeued);
    }

    /// Changes the router and sends the resulting grants to the dequeued requests.
    pub(crate) fn change<F>(&mut self, now: Moment, change: F)
    where
        F: FnOnce(&mut Router, &mut Vec<DequeuedRequest>),
    {
        let mut dequeued = std::mem::take(&mut self.dequeued);
        change(&mut self.router, &mut dequeued);
        self.grant_dequeued(now, dequeued);
    }

    fn grant_dequeued(&mut self, now: Moment, mut dequeued: Vec<DequeuedRequest>) {
        while let Some(request) = dequeued.pop() {
            let waiting = self.waiting.remove(&request.ticket);
            let accepted = waiting.is_some_and(|tx| tx.send(request.grant).is_ok());
            if !accepted {
                // The caller has just disconnected: the slot goes to the next request.
                self.router.release(now, request.grant, RunnerOutcome::Abandoned, &mut dequeued);
            }
        }
        self.dequeued = dequeued;
    }
}
