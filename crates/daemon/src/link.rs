//! How this daemon reaches the leader: directly when it leads itself, over RPC
//! otherwise. Calls that fail are sent again until their caller gives up; every
//! ask is made so that asking twice does no harm.

use crate::leader::Leader;
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
use yuccalink_protocol::peer::{self, Answer, EntryState, News};
use yuccalink_protocol::problem::{Kind, Problem, Ran};
use yuccalink_state::id::Incarnation;
use yuccalink_transport::rpc;

/// How long the leader holds back an answer that has no news.
pub(crate) const HOLD: Duration = Duration::from_millis(500);
/// Longest wait for the answer to one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Asks in one call.
const BATCH_MAX: usize = 256;
/// Calls under way at once.
const CALLS_MAX: usize = 4;
/// First pause after a failed call; doubles up to [`BACKOFF_MAX`].
const BACKOFF_MIN: Duration = Duration::from_millis(50);
const BACKOFF_MAX: Duration = Duration::from_millis(800);

/// Why a call brought no answer.
#[derive(Debug, displaydoc::Display)]
pub(crate) enum CallError {
    /// cannot connect: {0}
    Connect(std::io::Error),
    /// no answer in time
    Timeout,
    /// the call failed: {0}
    Rpc(capnp::Error),
    /// {0}
    Message(peer::BadMessage),
    /// it speaks version {0} of the protocol between daemons; run the same release everywhere
    Version(u32),
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

/// Pauses that grow and are drawn from a range, so that daemons which lost the
/// same leader do not all come back at the same instants.
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

/// The way to the leader.
pub(crate) enum Link {
    /// This daemon leads.
    Local(Rc<RefCell<Leader>>),
    /// Another daemon leads.
    Remote(Rc<Remote>),
}

impl Link {
    /// Tells the leader this entry's state and waits for news.
    pub(crate) async fn sync(&self, state: &EntryState) -> Result<News, CallError> {
        match self {
            Self::Local(leader) => Ok(news(leader, state).await),
            Self::Remote(remote) => remote.sync(state).await,
        }
    }

    /// Carries asks to the leader for ever.
    pub(crate) async fn carry(&self, rx: mpsc::Receiver<ToLeader>) {
        match self {
            Self::Local(leader) => carry_local(leader, rx).await,
            Self::Remote(remote) => remote.clone().carry(rx).await,
        }
    }
}

/// The leader's side of a sync: waits for news, but not longer than [`HOLD`].
pub(crate) async fn news(leader: &Rc<RefCell<Leader>>, state: &EntryState) -> News {
    let mut changes = leader.borrow().watch();
    changes.mark_unchanged();
    leader.borrow_mut().hear(state);
    let until = Instant::now() + HOLD;
    loop {
        changes.mark_unchanged();
        let (news, any) = leader.borrow().news_for(state);
        let left = until.saturating_duration_since(Instant::now());
        if any || left.is_zero() {
            return news;
        }
        let _ = timeout(left, changes.changed()).await;
    }
}

async fn carry_local(leader: &Rc<RefCell<Leader>>, mut rx: mpsc::Receiver<ToLeader>) {
    while let Some(ToLeader { ask, reply }) = rx.recv().await {
        leader.borrow_mut().ask(ask, reply);
    }
}

struct Waiting {
    to: ToLeader,
    until: Instant,
}

/// Connection to a leader on another entry VM.
pub(crate) struct Remote {
    shared: Arc<Shared>,
    incarnation: Incarnation,
    link: RefCell<Option<Rc<rpc::Link>>>,
    connecting: tokio::sync::Mutex<()>,
    outbox: RefCell<VecDeque<Waiting>>,
    wake: Notify,
    seed: Cell<u64>,
}

impl Remote {
    pub(crate) fn new(shared: Arc<Shared>, incarnation: Incarnation) -> Self {
        Self {
            shared,
            incarnation,
            link: RefCell::default(),
            connecting: tokio::sync::Mutex::default(),
            outbox: RefCell::default(),
            wake: Notify::new(),
            seed: Cell::new(incarnation.0),
        }
    }

    async fn link(&self) -> Result<Rc<rpc::Link>, CallError> {
        let _one_at_a_time = self.connecting.lock().await;
        if let Some(link) = &*self.link.borrow() {
            return Ok(link.clone());
        }
        let Some(voter) = self.shared.config.voters.first() else {
            return Err(CallError::Timeout);
        };
        let link = rpc::connect(voter.address).await.map_err(CallError::Connect)?;
        timeout(CALL_TIMEOUT, self.greet(&link)).await.map_err(|_| CallError::Timeout)??;
        let link = Rc::new(link);
        *self.link.borrow_mut() = Some(link.clone());
        Ok(link)
    }

    async fn greet(&self, link: &rpc::Link) -> Result<(), CallError> {
        let mut call = link.peer.hello_request();
        let mut hello = call.get().init_hello();
        hello.set_version(peer::VERSION);
        hello.set_entry(self.shared.config.name.as_str());
        hello.set_incarnation(self.incarnation.0);
        let response = call.send().promise.await?;
        match response.get()?.get_welcome()?.get_version() {
            peer::VERSION => Ok(()),
            other => Err(CallError::Version(other)),
        }
    }

    /// Drops a connection that failed, unless another was made since.
    fn drop_link(&self, failed: &Rc<rpc::Link>) {
        let mut link = self.link.borrow_mut();
        if link.as_ref().is_some_and(|current| Rc::ptr_eq(current, failed)) {
            *link = None;
        }
    }

    async fn sync(&self, state: &EntryState) -> Result<News, CallError> {
        let link = self.link().await?;
        let call = async {
            let mut call = link.peer.sync_request();
            state.fill(call.get().init_state())?;
            let response = call.send().promise.await?;
            Ok(News::read(response.get()?.get_news()?)?)
        };
        // A leader that is cut off silently leaves calls hanging: only time tells.
        let result = timeout(CALL_TIMEOUT, call).await.unwrap_or(Err(CallError::Timeout));
        if result.is_err() {
            self.drop_link(&link);
        }
        result
    }

    async fn carry(self: Rc<Self>, mut rx: mpsc::Receiver<ToLeader>) {
        let feeder = self.clone();
        tokio::task::spawn_local(async move { feeder.feed().await });
        while let Some(to) = rx.recv().await {
            let until = Instant::now() + ASK_TIMEOUT;
            self.outbox.borrow_mut().push_back(Waiting { to, until });
            self.wake.notify_one();
        }
    }

    async fn feed(self: Rc<Self>) {
        let slots = Arc::new(Semaphore::new(CALLS_MAX));
        loop {
            let Ok(slot) = slots.clone().acquire_owned().await else { return };
            let batch = self.next_batch().await;
            let remote = self.clone();
            tokio::task::spawn_local(async move {
                remote.ask_batch(batch).await;
                drop(slot);
            });
        }
    }

    async fn next_batch(&self) -> Vec<Waiting> {
        loop {
            let batch: Vec<Waiting> = {
                let mut outbox = self.outbox.borrow_mut();
                let count = outbox.len().min(BATCH_MAX);
                outbox.drain(..count).collect()
            };
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
            batch.retain(|waiting| waiting.until > now && !waiting.to.reply.is_closed());
            if batch.is_empty() {
                return;
            }
            match self.call(&batch).await {
                Ok(answers) if answers.len() == batch.len() => {
                    for (waiting, answer) in batch.into_iter().zip(answers) {
                        let _ = waiting.to.reply.send(answer);
                    }
                    return;
                }
                Ok(answers) => {
                    log::error!("{} asks got {} answers", batch.len(), answers.len());
                    batch
                        .into_iter()
                        .for_each(|w| drop(w.to.reply.send(Answer::Problem(no_leader()))));
                    return;
                }
                Err(CallError::Message(peer::BadMessage::TooLarge(size))) => {
                    let what = format!("{size} bytes are too much at once; send it in parts");
                    for waiting in batch {
                        let problem = Problem::new(Kind::TooLarge, Ran::NotRun, &*what);
                        let _ = waiting.to.reply.send(Answer::Problem(problem));
                    }
                    return;
                }
                Err(error) => {
                    log::debug!("asking the leader failed: {error}");
                    backoff.pause().await;
                }
            }
        }
    }

    async fn call(&self, batch: &[Waiting]) -> Result<Vec<Answer>, CallError> {
        let link = self.link().await?;
        let call = async {
            let mut call = link.peer.ask_request();
            let asks: Vec<_> = batch.iter().map(|waiting| &waiting.to.ask).collect();
            peer::fill_parts(call.get().init_asks(peer::count(&asks)), &asks)?;
            let response = call.send().promise.await?;
            Ok(peer::read_parts(response.get()?.get_answers()?)?)
        };
        let result = timeout(ASK_TIMEOUT, call).await.unwrap_or(Err(CallError::Timeout));
        if let Err(error) = &result
            && !matches!(error, CallError::Message(_))
        {
            self.drop_link(&link);
        }
        result
    }
}
