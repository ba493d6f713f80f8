//! Client of the leader: calls it directly while this daemon leads, and over RPC
//! otherwise. Failed calls are retried until the caller's deadline; all requests are
//! idempotent.

use crate::replica::Replica;
use crate::shared::{ASK_TIMEOUT, Shared, ToLeader, no_leader};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, Semaphore, mpsc};
use tokio::time::{Instant, sleep, timeout};
use yuccalink_coordination::raft::ReplicaId;
use yuccalink_protocol::peer::{self, EntryState, EntryUpdate, LeaderRequest, LeaderResponse};
use yuccalink_protocol::problem::{ExecutionStatus, Problem, ProblemKind};
use yuccalink_state::id::{Incarnation, Name};
use yuccalink_transport::auth::AuthError;
use yuccalink_transport::rpc;

/// Time that the leader waits for a change before it responds with an empty update.
pub(crate) const HOLD: Duration = Duration::from_millis(500);
/// Timeout of one call, after which it fails.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Largest number of requests in one call.
const BATCH_MAX: usize = 256;
/// Bytes of request bodies in one call; a larger request is sent in a call of its own.
const BATCH_BYTES: usize = 4 * 1024 * 1024;
/// Largest number of concurrent calls to the leader.
const CALLS_MAX: usize = 4;
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
pub(crate) struct Greeting {
    pub(crate) replica: u64,
    pub(crate) empty: bool,
    pub(crate) leads: bool,
    pub(crate) leader: Option<Name>,
}

/// Sends `hello` over a new connection and checks the protocol version.
pub(crate) async fn greet(
    shared: &Shared,
    incarnation: Incarnation,
    link: &rpc::RpcConnection,
) -> Result<Greeting, CallError> {
    let call = async {
        let mut call = link.peer.hello_request();
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
        Ok(Greeting {
            replica: welcome.get_replica(),
            empty: welcome.get_empty(),
            leads: welcome.get_leads(),
            leader: Name::new(leader).ok(),
        })
    };
    timeout(CALL_TIMEOUT, call).await.unwrap_or(Err(CallError::Timeout))
}

/// A request that waits for a response until its deadline.
struct Waiting {
    ask: LeaderRequest,
    reply: tokio::sync::oneshot::Sender<LeaderResponse>,
    until: Instant,
}

/// Sends requests to the current leader, in this process or over RPC.
pub(crate) struct LeaderClient {
    shared: Arc<Shared>,
    incarnation: Incarnation,
    replica: Option<Rc<RefCell<Replica>>>,
    remote: RefCell<Option<Rc<rpc::RpcConnection>>>,
    connecting: tokio::sync::Mutex<()>,
    next_voter: Cell<usize>,
    /// Incremented with every new connection to a leader and whenever this daemon becomes
    /// leader or ceases to be.
    generation: Cell<u64>,
    local: Cell<bool>,
    outbox: RefCell<VecDeque<Waiting>>,
    wake: Notify,
    seed: Cell<u64>,
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
            remote: RefCell::default(),
            connecting: tokio::sync::Mutex::default(),
            next_voter: Cell::new(0),
            generation: Cell::new(1),
            local: Cell::new(false),
            outbox: RefCell::default(),
            wake: Notify::new(),
            seed: Cell::new(incarnation.0),
        }
    }

    /// Returns a number that changes with the connection to the leader: a new leader has
    /// none of the reports that the previous one received.
    pub(crate) fn generation(&self) -> u64 {
        self.generation.get()
    }

    fn leads(&self) -> bool {
        let leads = self.replica.as_ref().is_some_and(|r| r.borrow_mut().leader().is_some());
        if leads != self.local.replace(leads) {
            self.generation.set(self.generation.get() + 1);
        }
        leads
    }

    /// Connects to the leader unless this daemon leads or is already connected.
    pub(crate) async fn prepare(&self) -> Result<(), CallError> {
        if self.leads() { Ok(()) } else { self.remote().await.map(drop) }
    }

    /// Sends this entry's state to the leader and waits for an update.
    pub(crate) async fn sync(&self, state: &EntryState) -> Result<EntryUpdate, CallError> {
        if self.leads()
            && let Some(replica) = &self.replica
        {
            return news(replica, state).await.ok_or(CallError::NoLeader);
        }
        let link = self.remote().await?;
        let call = async {
            let mut call = link.peer.sync_request();
            state.fill(call.get().init_state())?;
            let response = call.send().promise.await?;
            Ok(EntryUpdate::read(response.get()?.get_news()?)?)
        };
        // Calls to a partitioned leader hang without an error, so only the timeout ends them.
        let result = timeout(CALL_TIMEOUT, call).await.unwrap_or(Err(CallError::Timeout));
        if result.is_err() {
            self.drop_remote(&link);
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
        let link = self.remote().await?;
        let call = crate::voters::ask_to_join(&link, name, address, id);
        let result = timeout(CALL_TIMEOUT, call).await.unwrap_or(Err(CallError::Timeout));
        if result.is_err() {
            self.drop_remote(&link);
        }
        result
    }

    async fn remote(&self) -> Result<Rc<rpc::RpcConnection>, CallError> {
        let _one_at_a_time = self.connecting.lock().await;
        if let Some(link) = &*self.remote.borrow() {
            return Ok(link.clone());
        }
        let link = Rc::new(self.find_leader().await?);
        self.generation.set(self.generation.get() + 1);
        *self.remote.borrow_mut() = Some(link.clone());
        Ok(link)
    }

    /// Tries the voters in turn, first the one that another voter names as the leader.
    async fn find_leader(&self) -> Result<rpc::RpcConnection, CallError> {
        let voters = &self.shared.config.voters;
        let own = &self.shared.config.name;
        let hint = self.replica.as_ref().and_then(|replica| replica.borrow().leader_name());
        let mut hint = hint.filter(|name| name != own);
        let mut last = CallError::NoLeader;
        for _ in 0..voters.len() {
            let turn = self.next_voter.get();
            let hinted = hint.take().and_then(|name| voters.iter().find(|v| v.name == name));
            let voter = hinted.or_else(|| voters.get(turn % voters.len()));
            let Some(voter) = voter else { break };
            if hinted.is_none() {
                self.next_voter.set(turn.wrapping_add(1));
            }
            if voter.name == *own {
                continue;
            }
            match self.try_voter(voter.address).await {
                Ok((link, Greeting { leads: true, .. })) => return Ok(link),
                Ok((_, greeting)) => hint = greeting.leader.filter(|name| name != own),
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    async fn try_voter(
        &self,
        at: std::net::SocketAddr,
    ) -> Result<(rpc::RpcConnection, Greeting), CallError> {
        let link = rpc::connect(at, &self.shared.keys).await.map_err(CallError::Connect)?;
        let greeting = greet(&self.shared, self.incarnation, &link).await?;
        Ok((link, greeting))
    }

    /// Drops a failed connection unless it was already replaced by a new one.
    fn drop_remote(&self, failed: &Rc<rpc::RpcConnection>) {
        let mut link = self.remote.borrow_mut();
        if link.as_ref().is_some_and(|current| Rc::ptr_eq(current, failed)) {
            *link = None;
        }
    }

    /// Forwards requests from the channel to the leader until the channel is closed.
    pub(crate) async fn carry(self: Rc<Self>, mut rx: mpsc::Receiver<ToLeader>) {
        let feeder = self.clone();
        tokio::task::spawn_local(async move { feeder.feed().await });
        while let Some(ToLeader { ask, reply }) = rx.recv().await {
            let until = Instant::now() + ASK_TIMEOUT;
            if let Some(waiting) = self.ask_local(Waiting { ask, reply, until }) {
                self.outbox.borrow_mut().push_back(waiting);
                self.wake.notify_one();
            }
        }
    }

    /// Hands a request to the leader in this process; returns it if this daemon does not lead.
    fn ask_local(&self, waiting: Waiting) -> Option<Waiting> {
        let Some(replica) = &self.replica else { return Some(waiting) };
        if !self.leads() {
            return Some(waiting);
        }
        let Waiting { ask, reply, until } = waiting;
        match replica.borrow_mut().ask(ask, reply) {
            Ok(()) => None,
            Err((ask, reply)) => Some(Waiting { ask, reply, until }),
        }
    }

    async fn feed(self: Rc<Self>) {
        let slots = Arc::new(Semaphore::new(CALLS_MAX));
        loop {
            let Ok(slot) = slots.clone().acquire_owned().await else { return };
            let batch = self.next_batch().await;
            let link = self.clone();
            tokio::task::spawn_local(async move {
                link.ask_batch(batch).await;
                drop(slot);
            });
        }
    }

    async fn next_batch(&self) -> Vec<Waiting> {
        loop {
            let mut batch = Vec::new();
            {
                let mut outbox = self.outbox.borrow_mut();
                let mut bytes = 0;
                while let Some(next) = outbox.front() {
                    bytes += body_size(&next.ask);
                    if batch.len() == BATCH_MAX || (bytes > BATCH_BYTES && !batch.is_empty()) {
                        break;
                    }
                    batch.extend(outbox.pop_front());
                }
            }
            if !batch.is_empty() {
                return batch;
            }
            self.wake.notified().await;
        }
    }

    async fn ask_batch(&self, batch: Vec<Waiting>) {
        let seed = self.seed.get().wrapping_add(1);
        self.seed.set(seed);
        let mut backoff = Backoff::new(seed);
        let mut batch = batch;
        loop {
            let now = Instant::now();
            batch.retain(|waiting| waiting.until > now && !waiting.reply.is_closed());
            // This daemon may have become the leader since the last attempt.
            batch = batch.into_iter().filter_map(|waiting| self.ask_local(waiting)).collect();
            if batch.is_empty() {
                return;
            }
            match self.call(&batch).await {
                Ok(answers) if answers.len() == batch.len() => {
                    for (waiting, answer) in batch.into_iter().zip(answers) {
                        let _ = waiting.reply.send(answer);
                    }
                    return;
                }
                Ok(answers) => {
                    log::error!(
                        "{} requests got {} responses from the leader",
                        batch.len(),
                        answers.len()
                    );
                    for waiting in batch {
                        let _ = waiting.reply.send(LeaderResponse::Problem(no_leader()));
                    }
                    return;
                }
                Err(CallError::Message(peer::BadMessage::TooLarge(size))) => {
                    let what = format!("{size} bytes are too much at once; send it in parts");
                    for waiting in batch {
                        let problem =
                            Problem::new(ProblemKind::TooLarge, ExecutionStatus::NotRun, &*what);
                        let _ = waiting.reply.send(LeaderResponse::Problem(problem));
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

    async fn call(&self, batch: &[Waiting]) -> Result<Vec<LeaderResponse>, CallError> {
        let link = self.remote().await?;
        let call = async {
            let mut call = link.peer.ask_request();
            let asks: Vec<_> = batch.iter().map(|waiting| &waiting.ask).collect();
            peer::fill_parts(call.get().init_asks(peer::count(&asks)), &asks)?;
            let response = call.send().promise.await?;
            Ok(peer::read_parts(response.get()?.get_answers()?)?)
        };
        let result = timeout(ASK_TIMEOUT, call).await.unwrap_or(Err(CallError::Timeout));
        if let Err(error) = &result
            && !matches!(error, CallError::Message(_))
        {
            self.drop_remote(&link);
        }
        result
    }
}

fn body_size(ask: &LeaderRequest) -> usize {
    use yuccalink_state::ledger::RequestOutcome;
    const SMALL: usize = 256;
    match ask {
        LeaderRequest::Apply { text, .. } => text.len(),
        LeaderRequest::RequestEnd(end) => match &end.ended {
            RequestOutcome::Answered(answer) => answer.body.len() + SMALL,
            RequestOutcome::AnsweredTooLarge | RequestOutcome::NotRun | RequestOutcome::Unknown => {
                SMALL
            }
        },
        LeaderRequest::Heartbeat { beat, .. } => {
            (beat.held.as_ref().map_or(0, Vec::len) + beat.reports.len()) * SMALL + SMALL
        }
        _ => SMALL,
    }
}

/// Handles `sync` on the leader: waits for a change, at most [`HOLD`], and returns the update.
/// Returns `None` when this replica does not lead or stops leading meanwhile.
pub(crate) async fn news(
    replica: &Rc<RefCell<Replica>>,
    state: &EntryState,
) -> Option<EntryUpdate> {
    if !replica.borrow_mut().hear(state) {
        return None;
    }
    let mut changes = replica.borrow_mut().leader()?.watch();
    let until = Instant::now() + HOLD;
    loop {
        changes.mark_unchanged();
        let (news, any) = replica.borrow_mut().news_for(state)?;
        let left = until.saturating_duration_since(Instant::now());
        if any || left.is_zero() {
            return Some(news);
        }
        // The channel closes when this replica stops leading.
        if let Ok(Err(_)) = timeout(left, changes.changed()).await {
            return None;
        }
    }
}
