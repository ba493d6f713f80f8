//! Configuration of one process of a cell.

use crate::error::{Error, Result};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use yuccalink_coordination::jobs::LeaderConfig;
use yuccalink_coordination::jobs::policy::Policy;
use yuccalink_coordination::jobs::room::{JobRoom, PROCESS_MEMORY};

/// Default limit of concurrent connections. A process usually has 1,024 file descriptors, some
/// of which are needed for other processes of the cell, files and the load balancer.
const CONNECTIONS_MAX: usize = 800;
/// Default limit of concurrent connections from other processes of the cell.
const PEERS_MAX: usize = 160;
/// Least memory that a process can work with, in bytes.
const MEMORY_MIN: u64 = 32 << 20;

/// Configuration of one process, created by [`CellConfigBuilder`].
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
    pub(crate) peers_max: usize,
    /// Memory that the process may use, in bytes.
    pub(crate) memory: u64,
}

/// Builds a [`CellConfig`].
#[derive(Clone, Debug)]
pub struct CellConfigBuilder(CellConfig);

impl CellConfig {
    /// Starts from the configuration of a one-process cell that listens only for peers.
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
            peers_max: PEERS_MAX,
            memory: PROCESS_MEMORY,
        })
    }
}

impl CellConfig {
    /// Peer addresses of some other processes of the cell.
    pub fn seeds(&self) -> &[SocketAddr] {
        &self.seeds
    }

    pub(crate) fn peer_advertised(&self) -> SocketAddr {
        self.peer_advertised.unwrap_or(self.peer)
    }
}

impl CellConfigBuilder {
    /// Sets the name of this entry VM, unique in the cell.
    #[must_use]
    pub fn name(mut self, name: &str) -> Self {
        self.0.name = name.into();
        self
    }

    /// Sets the address on which this process listens for its peers.
    #[must_use]
    pub fn peer(mut self, address: SocketAddr) -> Self {
        self.0.peer = address;
        self
    }

    /// Sets the address that peers use to reach this process behind a port forwarder.
    #[must_use]
    pub fn peer_advertised(mut self, address: SocketAddr) -> Self {
        self.0.peer_advertised = Some(address);
        self
    }

    /// Sets the availability zone of this VM.
    #[must_use]
    pub fn zone(mut self, zone: &str) -> Self {
        self.0.zone = zone.into();
        self
    }

    /// Sets the address on which this process listens for callers.
    #[must_use]
    pub fn callers(mut self, address: SocketAddr) -> Self {
        self.0.callers = Some(address);
        self
    }

    /// Sets the address of the load balancer's readiness check.
    #[must_use]
    pub fn ready(mut self, address: SocketAddr) -> Self {
        self.0.ready = Some(address);
        self
    }

    /// Sets the address on which this process listens for runners and operators.
    #[must_use]
    pub fn control(mut self, address: SocketAddr) -> Self {
        self.0.control = Some(address);
        self
    }

    /// Sets the address that serves counters and histograms.
    #[must_use]
    pub fn metrics(mut self, address: SocketAddr) -> Self {
        self.0.metrics = Some(address);
        self
    }

    /// Sets the data folder of the replicated state, on a VM with a disk.
    #[must_use]
    pub fn data(mut self, folder: PathBuf) -> Self {
        self.0.data = Some(folder);
        self
    }

    /// Sets the peer addresses of some other processes of the cell.
    #[must_use]
    pub fn seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.0.seeds = seeds;
        self
    }

    /// Sets whether the cell is new, so that its first seed with a disk may bootstrap it.
    #[must_use]
    pub fn bootstrap(mut self, allowed: bool) -> Self {
        self.0.bootstrap = allowed;
        self
    }

    /// Sets how many disks may fail at the same time without loss of state.
    #[must_use]
    pub fn tolerated_disk_losses(mut self, losses: usize) -> Self {
        self.0.tolerated_disk_losses = losses;
        self
    }

    /// Sets the configuration of the leader.
    #[must_use]
    pub fn leader(mut self, leader: LeaderConfig) -> Self {
        self.0.leader = leader;
        self
    }

    /// Sets the memory that this process may use, in bytes.
    #[must_use]
    pub fn memory(mut self, bytes: u64) -> Self {
        self.0.memory = bytes;
        self.0.leader.room = JobRoom::of_process(bytes);
        self
    }

    /// Sets the scheduling policy of the leader.
    #[must_use]
    pub fn policy(mut self, policy: Policy) -> Self {
        self.0.leader.policy = policy;
        self
    }

    /// Sets how long a stopping process still serves, so that the load balancer can notice.
    #[must_use]
    pub fn drain(mut self, drain: Duration) -> Self {
        self.0.drain = drain;
        self
    }

    /// Sets the limit of concurrent connections of callers, runners and operators.
    #[must_use]
    pub fn connections_max(mut self, max: usize) -> Self {
        self.0.connections_max = max;
        self
    }

    /// Sets the limit of concurrent connections from other processes of the cell.
    #[must_use]
    pub fn peers_max(mut self, max: usize) -> Self {
        self.0.peers_max = max;
        self
    }

    /// Checks that the settings are consistent.
    ///
    /// # Errors
    /// Returns [`Error::Setting`], which names the setting and the remedy.
    pub fn build(self) -> Result<CellConfig> {
        let config = self.0;
        let invalid = |flag, detail: &str| Err(Error::Setting { flag, detail: detail.into() });
        let is_single = config.seeds.is_empty();
        if is_single && config.data.is_none() {
            return invalid(
                "data",
                "a cell of one process needs a data folder; set it, or set seeds",
            );
        }
        if config.callers.is_none() && config.control.is_none() {
            return invalid(
                "callers",
                "the process has no address for callers, runners or operators; set one",
            );
        }
        if config.memory < MEMORY_MIN {
            return invalid("memory-mb", "the process cannot work with so little; set at least 32");
        }
        if config.connections_max == 0 {
            return invalid("connections-max", "0 allows no connection; set at least 1");
        }
        if config.peers_max == 0 {
            return invalid("peers-max", "0 allows no connection; set at least 1");
        }
        Ok(config)
    }
}
