//! Client of the leader: calls it directly while this daemon leads, and over RPC
//! otherwise. Failed calls are retried until the caller gives up or its deadline passes; all
//! requests are idempotent.

use crate::replica::Replica;
use crate::shared::{LEADER_REQUEST_TIMEOUT, Shared, ToLeader, no_leader_problem};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, Semaphore, mpsc};
use tokio::time::{Instant, sleep, timeout};
use yuccalink_coordination::lease_wait::{self, Verdict};
use yuccalink_coordination::raft::ReplicaId;
use yuccalink_protocol::peer::{self, EntryState, EntryUpdate, LeaderRequest, LeaderResponse};
use yuccalink_protocol::problem::{ExecutionStatus, Problem, ProblemKind};
use yuccalink_state::id::{Incarnation, Name};
use yuccalink_transport::auth::AuthError;
use yuccalink_transport::rpc;

/// Time that the leader waits for a change before it responds with an empty update.
pub(crate) const UPDATE_HOLD_MAX: Duration = Duration::from_millis(500);
/// Interval at which a lapsed lease is checked.
const LEASE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Timeout of a `hello`, `sync`, `join` or Raft call, after which the call fails.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Largest number of requests in one call.
const BATCH_MAX: usize = 256;
/// Bytes of request bodies in one call; a larger request is sent in a call of its own.
const BATCH_BYTES: usize = 4 * 1024 * 1024;
/// Largest number of concurrent calls to the leader.
const CONCURRENT_CALLS_MAX: usize = 4;
/// Longest pause after the first failed call; it doubles with each failure up to
/// [`BACKOFF_MAX`].
const BACKOFF_MIN: Duration = Duration::from_millis(20);
const BACKOFF_MAX: Duration = Duration::from_millis(200);

/// Error of a call to another daemon.
#[derive(Debug, displaydoc::Display)]
pub(crate) enum CallError {
    /// cannot connect: {0}
    Connect(AuthError),
    /// no answer in time
    Timeout,
    /// the call failed: {0}
    Rpc(capnp::Error),
    /// {0}
    Message(peer::BadMessage),
    /// it speaks version {0} of the protocol between daemons; run the same release everywhere
    Version(u32),
    /// the voters know of no leader
    NoLeader,
}

impl From<capnp::Error> for CallError {
    fn from(error: capnp::Error) -> Self {
        Self::Rpc(error)
    }
}

impl From<peer::BadMessage> for CallError {
    fn from(error: peer::BadMessage) -> Self {
        Self::Message(error)
    }
}

/// Exponential backoff with jitter, so that daemons which lost the same leader do not all
/// retry at the same time.
pub(crate) struct Backoff {
    next: Duration,
    rng: Pcg64Mcg,
}

impl Backoff {
    pub(crate) fn new(seed: u64) -> Self {
        Self { next: BACKOFF_MIN, rng: Pcg64Mcg::seed_from_u64(seed) }
    }

    pub(crate) fn reset(&mut self) {
        self.next = BACKOFF_MIN;
    }

    pub(crate) async fn pause(&mut self) {
        let share = self.rng.random_range(0.5..1.0);
        sleep(self.next.mul_f64(share)).await;
        self.next = (self.next * 2).min(BACKOFF_MAX);
    }
}

/// Response of another daemon to `hello` on a new connection.
#[derive(Clone, Debug)]
pub(crate) struct HelloResponse {
    pub(crate) replica: u64,
    pub(crate) empty: bool,
    pub(crate) is_leader: bool,
    pub(crate) leader: Option<Name>,
}

/// Sends `hello` over a new connection and checks the protocol version.
pub(crate) async fn send_hello(
    shared: &Shared,
    incarnation: Incarnation,
    connection: &rpc::RpcConnection,
) -> Result<HelloResponse, CallError> {
    let call = async {
        let mut call = connection.peer.hello_request();
        let mut hello = call.get().init_hello();
        hello.set_version(peer::VERSION);
        hello.set_entry(shared.config.name.as_str());
        hello.set_incarnation(incarnation.0);
        let response = call.send().promise.await?;
        let welcome = response.get()?.get_welcome()?;
        if welcome.get_version() != peer::VERSION {
            return Err(CallError::Version(welcome.get_version()));
        }
        let leader = welcome.get_leader()?.to_str().unwrap_or_default();
        Ok(HelloResponse {
            replica: welcome.get_replica(),
            empty: welcome.get_empty(),
            is_leader: welcome.get_leads(),
            leader: Name::new(leader).ok(),
        })
    };
    timeout(CALL_TIMEOUT, call).await.unwrap_or(Err(CallError::Timeout))
}

/// A request that waits for a response until its deadline.
struct PendingRequest {
    request: LeaderRequest,
    reply: tokio::sync::oneshot::Sender<LeaderResponse>,
    deadline: Instant,
}

/// Sends requests to the current leader, in this process or over RPC.
pub(crate) struct LeaderClient {
    shared: Arc<Shared>,
    incarnation: Incarnation,
    replica: Option<Rc<RefCell<Replica>>>,
    connection: RefCell<Option<Rc<rpc::RpcConnection>>>,
    connect_lock: tokio::sync::Mutex<()>,
    /// Index of the voter to try next; it is taken modulo the number of voters.
    next_voter: Cell<usize>,
    /// Incremented with every new connection to a leader and whenever this daemon becomes
    /// leader or ceases to be.
    generation: Cell<u64>,
    /// Result of the last check whether this daemon leads.
    was_leader: Cell<bool>,
    queue: RefCell<VecDeque<PendingRequest>>,
    queue_wake: Notify,
    backoff_seed: Cell<u64>,
}

impl LeaderClient {
    pub(crate) fn new(
        shared: Arc<Shared>,
        incarnation: Incarnation,
        replica: Option<Rc<RefCell<Replica>>>,
    ) -> Self {
        Self {
            shared,
            incarnation,
            replica,
            connection: RefCell::default(),
            connect_lock: tokio::sync::Mutex::default(),
            next_voter: Cell::new(0),
            generation: Cell::new(1),
            was_leader: Cell::new(false),
            queue: RefCell::default(),
            queue_wake: Notify::new(),
            backoff_seed: Cell::new(incarnation.0),
        }
    }

    /// Returns a number that changes with the connection to the leader: a new leader has
    /// none of the reports that the previous one received.
    pub(crate) fn generation(&self) -> u64 {
        self.generation.get()
    }

    fn is_leader(&self) -> bool {
        let is_leader = self.replica.as_ref().is_some_and(|r| r.borrow_mut().leader().is_some());
        if is_leader != self.was_leader.replace(is_leader) {
            self.generation.set(self.generation.get() + 1);
        }
        is_leader
    }

    /// Connects to the leader unless this daemon leads or is already connected.
    pub(crate) async fn ensure_connected(&self) -> Result<(), CallError> {
        if self.is_leader() { Ok(()) } else { self.connect().await.map(drop) }
    }

    /// Sends this entry's state to the leader and waits for an update.
    pub(crate) async fn sync(&self, state: &EntryState) -> Result<EntryUpdate, CallError> {
        if self.is_leader()
            && let Some(replica) = &self.replica
        {
            return wait_for_update(replica, state).await.ok_or(CallError::NoLeader);
        }
        let connection = self.connect().await?;
        let call = async {
            let mut call = connection.peer.sync_request();
            state.fill(call.get().init_state())?;
            let response = call.send().promise.await?;
            Ok(EntryUpdate::read(response.get()?.get_news()?)?)
        };
        // Calls to a partitioned leader hang without an error, so only the timeout ends them.
        let result = timeout(CALL_TIMEOUT, call).await.unwrap_or(Err(CallError::Timeout));
        if result.is_err() {
            self.drop_connection(&connection);
        }
        result
    }

    /// Asks the leader to add a replica to the voters.
    pub(crate) async fn join(
        &self,
        name: &Name,
        address: &str,
        id: ReplicaId,
    ) -> Result<(), CallError> {
        let connection = self.connect().await?;
        let call = crate::voters::request_join(&connection, name, address, id);
        let result = timeout(CALL_TIMEOUT, call).await.unwrap_or(Err(CallError::Timeout));
        if result.is_err() {
            self.drop_connection(&connection);
        }
        result
    }

    async fn connect(&self) -> Result<Rc<rpc::RpcConnection>, CallError> {
        let _one_at_a_time = self.connect_lock.lock().await;
        if let Some(connection) = &*self.connection.borrow() {
            return Ok(connection.clone());
        }
        let connection = Rc::new(self.find_leader().await?);
        self.generation.set(self.generation.get() + 1);
        *self.connection.borrow_mut() = Some(connection.clone());
        Ok(connection)
    }

    /// Tries the voters in turn, first the one that another voter names as the leader.
    async fn find_leader(&self) -> Result<rpc::RpcConnection, CallError> {
        let voters = &self.shared.config.voters;
        let own_name = &self.shared.config.name;
        let hint = self.replica.as_ref().and_then(|replica| replica.borrow().leader_name());
        let mut hint = hint.filter(|name| name != own_name);
        let mut last_error = CallError::NoLeader;
        for _ in 0..voters.len() {
            let index = self.next_voter.get();
            let hinted = hint.take().and_then(|name| voters.iter().find(|v| v.name == name));
            let voter = hinted.or_else(|| voters.get(index % voters.len()));
            let Some(voter) = voter else { break };
            if hinted.is_none() {
                self.next_voter.set(index.wrapping_add(1));
            }
            if voter.name == *own_name {
                continue;
            }
            match self.try_voter(voter.address).await {
                Ok((connection, HelloResponse { is_leader: true, .. })) => return Ok(connection),
                Ok((_, response)) => hint = response.leader.filter(|name| name != own_name),
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    async fn try_voter(
        &self,
        address: std::net::SocketAddr,
    ) -> Result<(rpc::RpcConnection, HelloResponse), CallError> {
        let connection = rpc::connect(address, &self.shared.keys, &self.shared.account)
            .await
            .map_err(CallError::Connect)?;
        let response = send_hello(&self.shared, self.incarnation, &connection).await?;
        Ok((connection, response))
    }

    /// Drops a failed connection unless it was already replaced by a new one.
    fn drop_connection(&self, failed: &Rc<rpc::RpcConnection>) {
        let mut connection = self.connection.borrow_mut();
        if connection.as_ref().is_some_and(|current| Rc::ptr_eq(current, failed)) {
            *connection = None;
        }
    }

    /// Forwards requests from the channel to the leader until the channel is closed.
    pub(crate) async fn forward_requests(self: Rc<Self>, mut rx: mpsc::Receiver<ToLeader>) {
        let sender = self.clone();
        tokio::task::spawn_local(async move { sender.send_batches().await });
        while let Some(ToLeader { request, reply }) = rx.recv().await {
            let deadline = Instant::now() + LEADER_REQUEST_TIMEOUT;
            if let Some(pending) = self.handle_locally(PendingRequest { request, reply, deadline })
            {
                self.queue.borrow_mut().push_back(pending);
                self.queue_wake.notify_one();
            }
        }
    }

    /// Hands a request to the leader in this process; returns it if this daemon does not lead.
    fn handle_locally(&self, pending: PendingRequest) -> Option<PendingRequest> {
        let Some(replica) = &self.replica else { return Some(pending) };
        if !self.is_leader() {
            return Some(pending);
        }
        let PendingRequest { request, reply, deadline } = pending;
        match replica.borrow_mut().handle_request(request, reply) {
            Ok(()) => None,
            Err((request, reply)) => Some(PendingRequest { request, reply, deadline }),
        }
    }

    async fn send_batches(self: Rc<Self>) {
        let slots = Arc::new(Semaphore::new(CONCURRENT_CALLS_MAX));
        loop {
            let Ok(slot) = slots.clone().acquire_owned().await else { return };
            let batch = self.next_batch().await;
            let client = self.clone();
            tokio::task::spawn_local(async move {
                client.send_batch(batch).await;
                drop(slot);
            });
        }
    }

    async fn next_batch(&self) -> Vec<PendingRequest> {
        loop {
            let mut batch = Vec::new();
            {
                let mut queue = self.queue.borrow_mut();
                let mut bytes = 0;
                while let Some(next) = queue.front() {
                    bytes += body_size(&next.request);
                    if batch.len() == BATCH_MAX || (bytes > BATCH_BYTES && !batch.is_empty()) {
                        break;
                    }
                    batch.extend(queue.pop_front());
                }
            }
            if !batch.is_empty() {
                return batch;
            }
            self.queue_wake.notified().await;
        }
    }

    async fn send_batch(&self, batch: Vec<PendingRequest>) {
        let seed = self.backoff_seed.get().wrapping_add(1);
        self.backoff_seed.set(seed);
        let mut backoff = Backoff::new(seed);
        let mut batch = batch;
        loop {
            let now = Instant::now();
            batch.retain(|pending| pending.deadline > now && !pending.reply.is_closed());
            // This daemon may have become the leader since the last attempt.
            batch = batch.into_iter().filter_map(|pending| self.handle_locally(pending)).collect();
            if batch.is_empty() {
                return;
            }
            match self.call_leader(&batch).await {
                Ok(responses) if responses.len() == batch.len() => {
                    for (pending, response) in batch.into_iter().zip(responses) {
                        let _ = pending.reply.send(response);
                    }
                    return;
                }
                Ok(responses) => {
                    log::error!(
                        "{} requests got {} responses from the leader",
                        batch.len(),
                        responses.len()
                    );
                    for pending in batch {
                        let _ = pending.reply.send(LeaderResponse::Problem(no_leader_problem()));
                    }
                    return;
                }
                Err(CallError::Message(peer::BadMessage::TooLarge(size))) => {
                    let message = format!("{size} bytes are too much at once; send it in parts");
                    for pending in batch {
                        let problem =
                            Problem::new(ProblemKind::TooLarge, ExecutionStatus::NotRun, &*message);
                        let _ = pending.reply.send(LeaderResponse::Problem(problem));
                    }
                    return;
                }
                Err(error) => {
                    log::debug!("request to the leader failed: {error}");
                    backoff.pause().await;
                }
            }
        }
    }

    async fn call_leader(
        &self,
        batch: &[PendingRequest],
    ) -> Result<Vec<LeaderResponse>, CallError> {
        let connection = self.connect().await?;
        let call = async {
            let mut call = connection.peer.ask_request();
            let requests: Vec<_> = batch.iter().map(|pending| &pending.request).collect();
            peer::fill_parts(call.get().init_asks(peer::count(&requests)), &requests)?;
            let response = call.send().promise.await?;
            Ok(peer::read_parts(response.get()?.get_answers()?)?)
        };
        let result = timeout(LEADER_REQUEST_TIMEOUT, call).await.unwrap_or(Err(CallError::Timeout));
        if let Err(error) = &result
            && !matches!(error, CallError::Message(_))
        {
            self.drop_connection(&connection);
        }
        result
    }
}

/// Estimates the encoded size of a request, in bytes.
fn body_size(request: &LeaderRequest) -> usize {
    use yuccalink_state::ledger::RequestOutcome;
    // Estimated size of a small request, and of each task or report in a heartbeat.
    const ITEM_BYTES: usize = 256;
    match request {
        LeaderRequest::Apply { text, .. } => text.len(),
        LeaderRequest::RequestEnd(end) => match &end.ended {
            RequestOutcome::Answered(answer) => answer.body.len() + ITEM_BYTES,
            RequestOutcome::AnsweredTooLarge | RequestOutcome::NotRun | RequestOutcome::Unknown => {
                ITEM_BYTES
            }
        },
        LeaderRequest::Heartbeat { heartbeat, .. } => {
            (heartbeat.held.as_ref().map_or(0, Vec::len) + heartbeat.reports.len()) * ITEM_BYTES
                + ITEM_BYTES
        }
        _ => ITEM_BYTES,
    }
}

/// Waits while this replica leads without its lease; see [`lease_wait`]. Returns whether the call
/// may be handled.
pub(crate) async fn wait_for_lease(replica: &Rc<RefCell<Replica>>) -> bool {
    let started = Instant::now();
    loop {
        let leadership = replica.borrow_mut().leadership();
        match lease_wait::decide(leadership, started.elapsed()) {
            Verdict::Serve => return true,
            Verdict::Wait => sleep(LEASE_POLL_INTERVAL).await,
            Verdict::TurnAway => return false,
        }
    }
}

/// Handles `sync` on the leader: waits for a change, at most [`UPDATE_HOLD_MAX`], and
/// returns the update. Returns `None` when this replica does not lead or stops leading
/// meanwhile.
pub(crate) async fn wait_for_update(
    replica: &Rc<RefCell<Replica>>,
    state: &EntryState,
) -> Option<EntryUpdate> {
    if !wait_for_lease(replica).await || !replica.borrow_mut().handle_entry_report(state) {
        return None;
    }
    let mut changes = replica.borrow_mut().leader()?.subscribe();
    let lease_round = replica.borrow_mut().leader()?.lease_round();
    let deadline = Instant::now() + UPDATE_HOLD_MAX;
    loop {
        changes.mark_unchanged();
        // A leader of a later term, to which the entry has not reported, may lead here by now.
        if !wait_for_lease(replica).await || changes.has_changed().is_err() {
            return None;
        }
        let (update, has_changes) = replica.borrow_mut().entry_update(state)?;
        let left = deadline.saturating_duration_since(Instant::now());
        let renewed = replica.borrow_mut().leader()?.lease_round() != lease_round;
        if has_changes || renewed || left.is_zero() {
            return Some(update);
        }
        // The channel closes when this replica stops leading.
        if let Ok(Err(_)) = timeout(left, changes.changed()).await {
            return None;
        }
    }
}
