//! Starts and stops the servers and threads of a daemon.

use crate::admin::AdminHandler;
use crate::clock::Clock;
use crate::config::Config;
use crate::control::{self, ControlParts, Storage};
use crate::error::{Error, Result};
use crate::journal::Journal;
use crate::shared::{CONTROL_QUEUE, Shared};
use crate::traffic::RequestHandler;
use rand::TryRng as _;
use rand::rngs::SysRng;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot, watch};
use yuccalink_state::id::Incarnation;
use yuccalink_transport::auth::Keys;
use yuccalink_transport::server::{Server, ServerLimits};

/// Threads that serve targets and operators.
const CONTROL_THREADS: usize = 1;
/// Time to send the last responses once no request is in flight; then connections are closed.
const RESPONSE_FLUSH_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which a draining daemon checks whether requests are still in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running daemon.
pub struct Daemon {
    shared: Arc<Shared>,
    callers: Server,
    admin: Server,
    peer: SocketAddr,
    stop: watch::Sender<bool>,
    control: JoinHandle<Result<()>>,
    disk_failure: oneshot::Receiver<yuccalink_state::Error>,
}

impl std::fmt::Debug for Daemon {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Daemon").field("config", &self.shared.config).finish_non_exhaustive()
    }
}

impl Daemon {
    /// Recovers the state, listens, and serves.
    ///
    /// # Errors
    /// [`Error`] when a port is taken or the data folder cannot be used; then
    /// nothing is left running.
    ///
    /// ```
    /// use yuccalink_daemon::{Config, Daemon};
    /// let folder = tempfile::tempdir()?;
    /// let any = "127.0.0.1:0".parse()?;
    /// let config = Config::builder().name("e1").data(folder.path());
    /// let config = config.callers(any).control(any).peer(any).build()?;
    /// let daemon = Daemon::start(config)?;
    /// assert_ne!(daemon.callers().port(), 0);
    /// daemon.kill();
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn start(mut config: Config) -> Result<Self> {
        let keys = Keys::open(config.peer_keys.clone())
            .map_err(|bad| Error::Setting { flag: "peer-keys", detail: bad.to_string().into() })?;
        let callers = listen(config.callers, "callers", "callers")?;
        let admin = listen(config.control, "targets and operators", "control")?;
        let peers = listen(config.peer, "daemons", "peer")?;
        config.callers = address(&callers);
        config.control = address(&admin);
        config.peer = address(&peers);
        let peer = config.peer;
        let storage = match &config.data {
            Some(folder) => Some(recover(folder)?),
            None => None,
        };
        let (requests_tx, requests) = mpsc::channel(CONTROL_QUEUE);
        let shared = Arc::new(Shared::new(config, keys, Clock::start(), requests_tx));
        let (stop, stopped) = watch::channel(false);
        let (disk_failure_tx, disk_failure) = oneshot::channel();
        let parts = ControlParts {
            shared: shared.clone(),
            peer_listener: peers,
            requests,
            storage,
            incarnation: Incarnation(random_u64()),
            stop: stopped,
            disk_failure: disk_failure_tx,
        };
        let control = thread::Builder::new()
            .name("control".into())
            .spawn(move || control::run(parts))
            .map_err(Error::Thread)?;
        let callers = serve_callers(&shared, callers)?;
        let admin = serve_admin(&shared, admin)?;
        log::info!(
            "entry {} in zone {}: callers at {}, targets and operators at {}, daemons at {peer}",
            shared.config.name,
            shared.config.zone,
            callers.address(),
            admin.address()
        );
        Ok(Self { shared, callers, admin, peer, stop, control, disk_failure })
    }

    /// Address for callers' requests.
    pub fn callers(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Address for targets and operators.
    pub fn control(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Address for other daemons.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns the disk error once the disk has failed; the daemon must then be stopped.
    pub fn failure(&mut self) -> Option<yuccalink_state::Error> {
        self.disk_failure.try_recv().ok()
    }

    /// Stops gracefully: fails the health check, serves until the load balancer has noticed,
    /// then refuses new requests, waits for those in flight, and returns.
    ///
    /// # Errors
    /// [`Error::Stopped`] when the control thread ended with a panic.
    pub fn drain(self) -> Result<()> {
        let config = &self.shared.config;
        log::info!(
            "draining: failing the health check, still serving for {:?}",
            config.drain_delay
        );
        self.shared.start_draining();
        thread::sleep(config.drain_delay);
        self.shared.start_refusing();
        let deadline = Instant::now() + config.drain_timeout;
        while self.shared.in_flight.load(Ordering::Acquire) > 0 && Instant::now() < deadline {
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
        let left = self.shared.in_flight.load(Ordering::Acquire);
        if left > 0 {
            log::warn!("{left} requests were still in flight after {:?}", config.drain_timeout);
        }
        self.callers.stop(RESPONSE_FLUSH_TIMEOUT);
        let result = stop_control(&self.stop, self.control);
        self.admin.stop(Duration::ZERO);
        log::info!("stopped");
        result
    }

    /// Stops at once, for tests: requests in flight are cut off, and acknowledged writes
    /// are on the disk.
    pub fn kill(self) {
        self.shared.start_refusing();
        self.callers.stop(Duration::ZERO);
        self.admin.stop(Duration::ZERO);
        let _ = stop_control(&self.stop, self.control);
    }
}

fn stop_control(stop: &watch::Sender<bool>, thread: JoinHandle<Result<()>>) -> Result<()> {
    let _ = stop.send(true);
    thread.join().unwrap_or(Err(Error::Stopped))
}

fn listen(at: SocketAddr, clients: &'static str, flag: &'static str) -> Result<TcpListener> {
    TcpListener::bind(at).map_err(|source| Error::Listen {
        address: at.to_string().into(),
        clients,
        flag,
        source,
    })
}

fn address(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().unwrap_or_else(|_| SocketAddr::from(([0, 0, 0, 0], 0)))
}

fn recover(folder: &std::path::Path) -> Result<Storage> {
    let started = Instant::now();
    let (journal, recovered) = Journal::open(folder, random_u64())?;
    log::info!(
        "replica {:016x}: read {} with a snapshot of record {} and {} records after it in {:?}",
        recovered.replica,
        folder.display(),
        recovered.meta.index,
        recovered.records.len(),
        started.elapsed()
    );
    Ok(Storage { journal, recovered })
}

fn serve_callers(shared: &Arc<Shared>, listener: TcpListener) -> Result<Server> {
    let config = &shared.config;
    let limits = ServerLimits {
        threads: config.traffic_threads,
        connections: config.connections,
        head_timeout: config.head_timeout,
        idle_timeout: config.idle_timeout,
        stall_timeout: config.stall_timeout,
    };
    let shared = shared.clone();
    Server::start(listener, limits, move || RequestHandler::new(shared.clone(), random_u64()))
        .map_err(Error::Thread)
}

fn serve_admin(shared: &Arc<Shared>, listener: TcpListener) -> Result<Server> {
    let limits = ServerLimits {
        threads: CONTROL_THREADS,
        connections: shared.config.control_connections,
        ..ServerLimits::default()
    };
    let shared = shared.clone();
    Server::start(listener, limits, move || AdminHandler::new(shared.clone(), random_u64()))
        .map_err(Error::Thread)
}

/// Returns a random number from the operating system, for seeds and the incarnation.
fn random_u64() -> u64 {
    SysRng.try_next_u64().unwrap_or_else(|_| crate::clock::unix_ms())
}
