//! The account for what clients make a process hold: connections, and the bytes of heads, bodies,
//! parsed requests, responses and frames.
//!
//! Everything is charged before it is held and given back when its [`Client`] is dropped. Each
//! class of clients has a reserve that the others cannot use up, and a part of the room of each
//! class is for clients that hold little. When there is no room, the client that transfers slowest
//! gives way.

mod ledger;

pub use ledger::Phase;
use ledger::{ClientKey, Ledger};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Memory of an open connection that sends small requests, in bytes: buffers, task and socket.
pub const CONNECTION_BYTES: usize = 16 * 1024;

/// Who connects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientClass {
    /// Callers.
    Callers,
    /// Runners and operators.
    Control,
    /// Other processes of the same system.
    Peers,
    /// Load balancers and readers of metrics.
    Observers,
}

impl ClientClass {
    /// All classes.
    pub const ALL: [Self; 4] = [Self::Callers, Self::Control, Self::Peers, Self::Observers];

    /// Name in metrics and log lines.
    ///
    /// ```
    /// assert_eq!(yuccalink_transport::account::ClientClass::Peers.name(), "peers");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Control => "control",
            Self::Peers => "peers",
            Self::Observers => "observers",
        }
    }

    /// Whether the class shares its places for connections with another one.
    fn shares_places(self) -> bool {
        matches!(self, Self::Callers | Self::Control)
    }
}

/// Bounds of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassBounds {
    /// Connections that may be open.
    pub connections: usize,
    /// Bytes that the other classes leave to this one.
    pub reserve: usize,
}

/// Bounds of an account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AccountBounds {
    /// Bytes that all clients together may make the process hold.
    pub bytes: usize,
    /// Connections that callers, runners and operators may have open together.
    pub connections: usize,
    /// Bounds of each class, in the order of [`ClientClass::ALL`].
    pub classes: [ClassBounds; ClientClass::ALL.len()],
}

/// Why a client is turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum Exhausted {
    /// all places for connections are taken
    Connections,
    /// the memory for clients is in use
    Memory,
    /// it needs more than the memory for clients of its kind
    TooLarge,
}

impl std::error::Error for Exhausted {}

/// What a class holds now, and its counters since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassUse {
    /// Bytes held.
    pub held: usize,
    /// Most bytes that the class may hold.
    pub bound: usize,
    /// Open connections.
    pub open: usize,
    /// Connections turned away.
    pub refused_connections: u64,
    /// Requests and messages refused for lack of memory.
    pub refused_requests: u64,
    /// Clients that gave way to others.
    pub gave_way: u64,
    /// Connections closed because of a time limit.
    pub timed_out: u64,
}

/// Time limits of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientTimeouts {
    /// Time without a request.
    pub idle: Duration,
    /// Time for the head of a request.
    pub head: Duration,
    /// Time for reading a response.
    pub unread: Duration,
}

/// The account of one process.
///
/// ```
/// use yuccalink_transport::account::{AccountBounds, ClassBounds, ClientAccount, ClientClass};
/// let class = ClassBounds { connections: 1, reserve: 0 };
/// let bounds = AccountBounds { bytes: 1 << 20, connections: 1, classes: [class; 4] };
/// let account = ClientAccount::new(bounds);
/// let client = account.connect(ClientClass::Callers)?;
/// client.set_known();
/// assert!(account.connect(ClientClass::Callers).is_err());
/// drop(client);
/// assert_eq!(account.usage(ClientClass::Callers).held, 0);
/// # Ok::<(), yuccalink_transport::account::Exhausted>(())
/// ```
#[derive(Debug)]
pub struct ClientAccount(Mutex<Ledger>);

/// A connection, or a request on it. Gives everything back when it is dropped.
#[derive(Debug)]
pub struct Client {
    account: Arc<ClientAccount>,
    key: ClientKey,
    wake: Arc<Notify>,
}

impl ClientAccount {
    /// Creates an account.
    pub fn new(bounds: AccountBounds) -> Arc<Self> {
        Arc::new(Self(Mutex::new(Ledger::new(bounds))))
    }

    /// Admits a connection and charges what every connection takes. If there is no place, the
    /// slowest connection gives way.
    ///
    /// # Errors
    /// [`Exhausted`] if no connection gives way.
    pub fn connect(self: &Arc<Self>, class: ClientClass) -> Result<Client, Exhausted> {
        let (key, wake) = self.ledger().connect(class, Instant::now())?;
        Ok(Client { account: self.clone(), key, wake })
    }

    /// Adds a client that holds nothing yet and takes no place.
    pub fn open(self: &Arc<Self>, class: ClientClass) -> Client {
        let (key, wake) = self.ledger().insert(class, false, Instant::now());
        Client { account: self.clone(), key, wake }
    }

    /// What a class holds, and its counters.
    pub fn usage(&self, class: ClientClass) -> ClassUse {
        self.ledger().usage(class)
    }

    /// Sends away the connections of a class that have exceeded a time limit.
    pub fn expire(&self, class: ClientClass, timeouts: ClientTimeouts) {
        self.ledger().expire(class, timeouts, Instant::now());
    }

    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Client {
    /// Adds a client of the same class that holds nothing yet and takes no place.
    pub fn sibling(&self) -> Self {
        let class = self.account.ledger().class(self.key);
        self.account.open(class)
    }

    /// Charges `bytes` more. If there is no room, slower clients of the class give way.
    ///
    /// # Errors
    /// [`Exhausted::TooLarge`] if they never fit, [`Exhausted::Memory`] if they do not fit now.
    pub fn charge(&self, bytes: usize) -> Result<(), Exhausted> {
        self.account.ledger().charge(self.key, bytes, Instant::now())
    }

    /// Counts a refusal of what the client asked for.
    pub fn count_refusal(&self) {
        self.account.ledger().count_refusal(self.key);
    }

    /// Gives `bytes` back.
    pub fn release(&self, bytes: usize) {
        self.account.ledger().release(self.key, bytes);
    }

    /// Bytes held.
    pub fn held(&self) -> usize {
        self.account.ledger().held(self.key)
    }

    /// Begins a phase, if the client is in another one.
    pub fn enter(&self, phase: Phase) {
        self.account.ledger().enter(self.key, phase, Instant::now());
    }

    /// What the client is doing.
    pub fn phase(&self) -> Phase {
        self.account.ledger().phase(self.key)
    }

    /// Counts transferred bytes.
    pub fn transferred(&self, bytes: usize) {
        self.account.ledger().transferred(self.key, bytes, Instant::now());
    }

    /// Notes that the client has shown what it is, such as by a complete request. Unknown ones give
    /// way first, and at once while they say nothing.
    pub fn set_known(&self) {
        self.account.ledger().set_known(self.key);
    }

    /// Whether the client must go.
    pub fn is_sent_away(&self) -> bool {
        self.account.ledger().is_sent_away(self.key)
    }

    /// Waits until the client must go.
    pub async fn sent_away(&self) {
        while !self.is_sent_away() {
            self.wake.notified().await;
        }
        // Several tasks may wait for the same client.
        self.wake.notify_one();
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.account.ledger().remove(self.key);
    }
}
