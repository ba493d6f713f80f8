//! Settings of one process of a cell.

use crate::error::{Error, Result};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use yuccalink_coordination::jobs::LeaderConfig;
use yuccalink_coordination::jobs::policy::Policy;

/// Connections held at once, where nothing else is set: a system gives a process 1,024
/// descriptors, of which other processes of the cell, files and the balancer need some.
const CONNECTIONS_MAX: usize = 800;

/// What one process needs to know; made by [`CellConfigBuilder`].
#[derive(Clone, Debug)]
pub struct CellConfig {
    pub(crate) name: Box<str>,
    pub(crate) zone: Box<str>,
    pub(crate) callers: Option<SocketAddr>,
    pub(crate) ready: Option<SocketAddr>,
    pub(crate) control: Option<SocketAddr>,
    pub(crate) peer: SocketAddr,
    pub(crate) peer_advertised: Option<SocketAddr>,
    pub(crate) metrics: Option<SocketAddr>,
    pub(crate) data: Option<PathBuf>,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) bootstrap: bool,
    pub(crate) tolerated_disk_losses: usize,
    pub(crate) leader: LeaderConfig,
    pub(crate) drain: Duration,
    pub(crate) connections_max: usize,
}

/// Makes a [`CellConfig`].
#[derive(Clone, Debug)]
pub struct CellConfigBuilder(CellConfig);

impl CellConfig {
    /// Settings of a cell of one process, with nothing to listen on but for peers.
    ///
    /// ```
    /// use yuccalink_daemon::cell::CellConfig;
    /// let any = "127.0.0.1:0".parse()?;
    /// let config = CellConfig::builder("e1", any).control(any).bootstrap(true).build();
    /// assert!(config.is_err(), "a cell of one process needs a data folder");
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn builder(name: &str, peer: SocketAddr) -> CellConfigBuilder {
        CellConfigBuilder(Self {
            name: name.into(),
            zone: "zone".into(),
            callers: None,
            ready: None,
            control: None,
            peer,
            peer_advertised: None,
            metrics: None,
            data: None,
            seeds: Vec::new(),
            bootstrap: false,
            tolerated_disk_losses: 1,
            leader: LeaderConfig::default(),
            drain: Duration::from_millis(3_000),
            connections_max: CONNECTIONS_MAX,
        })
    }
}

impl CellConfig {
    /// Where some other processes listen for peers.
    pub fn seeds(&self) -> &[SocketAddr] {
        &self.seeds
    }

    pub(crate) fn peer_advertised(&self) -> SocketAddr {
        self.peer_advertised.unwrap_or(self.peer)
    }
}

impl CellConfigBuilder {
    /// Name of this entry VM, unique in the cell.
    #[must_use]
    pub fn name(mut self, name: &str) -> Self {
        self.0.name = name.into();
        self
    }

    /// Where other processes connect.
    #[must_use]
    pub fn peer(mut self, address: SocketAddr) -> Self {
        self.0.peer = address;
        self
    }

    /// Where other processes reach it, behind a forwarder.
    #[must_use]
    pub fn peer_advertised(mut self, address: SocketAddr) -> Self {
        self.0.peer_advertised = Some(address);
        self
    }

    /// Availability zone of this VM.
    #[must_use]
    pub fn zone(mut self, zone: &str) -> Self {
        self.0.zone = zone.into();
        self
    }

    /// Where callers connect.
    #[must_use]
    pub fn callers(mut self, address: SocketAddr) -> Self {
        self.0.callers = Some(address);
        self
    }

    /// Where the balancer asks whether this process is ready.
    #[must_use]
    pub fn ready(mut self, address: SocketAddr) -> Self {
        self.0.ready = Some(address);
        self
    }

    /// Where runners and operators connect.
    #[must_use]
    pub fn control(mut self, address: SocketAddr) -> Self {
        self.0.control = Some(address);
        self
    }

    /// Where counters and histograms are read.
    #[must_use]
    pub fn metrics(mut self, address: SocketAddr) -> Self {
        self.0.metrics = Some(address);
        self
    }

    /// Folder for the state, on a VM with a disk.
    #[must_use]
    pub fn data(mut self, folder: PathBuf) -> Self {
        self.0.data = Some(folder);
        self
    }

    /// Where other processes of the cell listen for peers; some of them.
    #[must_use]
    pub fn seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.0.seeds = seeds;
        self
    }

    /// Whether the cell is new, so that its first seed with a disk may found it.
    #[must_use]
    pub fn bootstrap(mut self, allowed: bool) -> Self {
        self.0.bootstrap = allowed;
        self
    }

    /// Disks that may be lost at once.
    #[must_use]
    pub fn tolerated_disk_losses(mut self, losses: usize) -> Self {
        self.0.tolerated_disk_losses = losses;
        self
    }

    /// How the leader decides.
    #[must_use]
    pub fn leader(mut self, leader: LeaderConfig) -> Self {
        self.0.leader = leader;
        self
    }

    /// What the leader decides by.
    #[must_use]
    pub fn policy(mut self, policy: Policy) -> Self {
        self.0.leader.policy = policy;
        self
    }

    /// How long a stopping process goes on serving, for the balancer to notice.
    #[must_use]
    pub fn drain(mut self, drain: Duration) -> Self {
        self.0.drain = drain;
        self
    }

    /// Connections of callers, runners and operators that are held at once.
    #[must_use]
    pub fn connections_max(mut self, max: usize) -> Self {
        self.0.connections_max = max;
        self
    }

    /// Checks the settings against each other.
    ///
    /// # Errors
    /// [`Error::Setting`] naming the setting and the remedy.
    pub fn build(self) -> Result<CellConfig> {
        let config = self.0;
        let invalid = |flag, what: &str| Err(Error::Setting { flag, what: what.into() });
        let is_single = config.seeds.is_empty();
        if is_single && config.data.is_none() {
            return invalid(
                "data",
                "a cell of one process needs a data folder; name one, or seeds",
            );
        }
        if config.callers.is_none() && config.control.is_none() {
            return invalid(
                "callers",
                "the process would serve nobody; name an address to listen on",
            );
        }
        if config.connections_max == 0 {
            return invalid("connections-max", "nobody could connect; allow one at least");
        }
        Ok(config)
    }
}
