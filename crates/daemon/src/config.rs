//! Settings of one daemon. All settings are validated together before it starts.

use crate::error::{Error, Result};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use yuccalink_state::id::Name;
use yuccalink_transport::account::{AccountBounds, ClassBounds, ClientClass};
use yuccalink_transport::rpc::CONNECTIONS_MAX;
use yuccalink_transport::server::CONNECTION_BYTES_MAX;

/// Another daemon of the system.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the daemon.
    pub name: Name,
    /// Address on which it accepts connections of other daemons.
    pub address: SocketAddr,
}

/// Validated settings of a daemon, created with [`Config::builder`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Name of this entry VM.
    pub name: Name,
    /// Availability zone of this entry VM.
    pub zone: Name,
    /// Listen address for callers' requests.
    pub callers: SocketAddr,
    /// Address to which other entries forward callers' requests; `callers` if unset.
    pub callers_advertised: Option<SocketAddr>,
    /// Listen address for targets and operators.
    pub control: SocketAddr,
    /// Listen address for other daemons.
    pub peer: SocketAddr,
    /// Folder for the replicated state, on an entry VM with a disk.
    pub data: Option<PathBuf>,
    /// The daemons that store the replicated state; empty if this daemon runs alone.
    pub voters: Vec<Peer>,
    /// File with the keys that all daemons share. Without it any daemon is trusted.
    pub peer_keys: Option<PathBuf>,
    /// Number of threads for callers' requests.
    pub traffic_threads: usize,
    /// Maximum number of concurrent connections of callers.
    pub connections: usize,
    /// Maximum number of concurrent connections of targets and operators.
    pub control_connections: usize,
    /// Memory that the process may use, in bytes.
    pub memory: usize,
    /// Maximum size of a request body, in bytes.
    pub body_max: usize,
    /// Maximum time for receiving the head of a request.
    pub head_timeout: Duration,
    /// Maximum time for receiving the body of a request.
    pub body_timeout: Duration,
    /// Time without a request after which a caller's connection is closed.
    pub idle_timeout: Duration,
    /// Time after which a caller that does not read its response is disconnected.
    pub stall_timeout: Duration,
    /// Maximum time for connecting to a runner.
    pub connect_timeout: Duration,
    /// Time at shutdown between the readiness check failing and refusing new requests.
    pub drain_delay: Duration,
    /// Maximum wait at shutdown for requests in flight.
    pub drain_timeout: Duration,
    /// Address of the StatsD server that receives metrics over UDP.
    pub statsd: Option<SocketAddr>,
}

/// Builder for [`Config`]; starts from the defaults.
///
/// ```
/// use yuccalink_daemon::Config;
/// let config = Config::builder().name("e1").data("/tmp/yuccalink-doc").build()?;
/// assert!(config.voters.is_empty());
/// assert!(Config::builder().name("E 1").data("/tmp/x").build().is_err());
/// # Ok::<(), yuccalink_daemon::Error>(())
/// ```
#[derive(Clone, Debug)]
pub struct ConfigBuilder {
    name: Box<str>,
    zone: Box<str>,
    config: Config,
}

macro_rules! setters {
    ($($(#[$doc:meta])* $field:ident: $kind:ty;)*) => {
        $(
            $(#[$doc])*
            #[must_use]
            pub fn $field(mut self, value: $kind) -> Self {
                self.config.$field = value;
                self
            }
        )*
    };
}

/// Default memory of the process, in bytes.
const MEMORY: usize = 768 * 1024 * 1024;
/// One part in this many of the memory is for open connections.
const CONNECTIONS_PART: usize = 2;
/// One part in this many of the memory is for requests, responses and messages of daemons.
const CLIENTS_PART: usize = 4;
/// One part in this many of the latter is kept for each of callers, control and daemons.
const RESERVE_PART: usize = 8;
const LOOPBACK: [u8; 4] = [127, 0, 0, 1];

impl Config {
    /// Returns a builder with the defaults: a daemon that runs alone on the loopback
    /// address.
    pub fn builder() -> ConfigBuilder {
        let name = Name::new("entry").unwrap_or_else(|_| unreachable!("a constant name"));
        let loopback = |port: u16| SocketAddr::from((LOOPBACK, port));
        let config = Self {
            name: name.clone(),
            zone: name,
            callers: loopback(8080),
            callers_advertised: None,
            control: loopback(8081),
            peer: loopback(8082),
            data: None,
            voters: Vec::new(),
            peer_keys: None,
            traffic_threads: 2,
            connections: 4096,
            control_connections: 4096,
            memory: MEMORY,
            body_max: 1024 * 1024,
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
            stall_timeout: Duration::from_secs(10),
            connect_timeout: Duration::from_millis(500),
            drain_delay: Duration::from_secs(5),
            drain_timeout: Duration::from_secs(60),
            statsd: None,
        };
        ConfigBuilder { name: "entry".into(), zone: "zone".into(), config }
    }

    /// The address to which other entries forward callers' requests.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers_advertised.unwrap_or(self.callers)
    }

    /// Bounds on what clients may make the process hold beside their connections.
    pub(crate) fn account_bounds(&self) -> AccountBounds {
        let bytes = self.memory / CLIENTS_PART;
        let class = |class| match class {
            ClientClass::Callers | ClientClass::Control => {
                ClassBounds { connections: 0, reserve: bytes / RESERVE_PART }
            }
            ClientClass::Peers => {
                ClassBounds { connections: CONNECTIONS_MAX, reserve: bytes / RESERVE_PART }
            }
            ClientClass::Observers => ClassBounds::default(),
        };
        AccountBounds { bytes, connections: 0, classes: ClientClass::ALL.map(class) }
    }

    /// Whether this daemon stores the replicated state.
    pub fn is_voter(&self) -> bool {
        self.voters.is_empty() || self.voters.iter().any(|voter| voter.name == self.name)
    }
}

impl ConfigBuilder {
    setters! {
        /// See [`Config::callers`].
        callers: SocketAddr;
        /// See [`Config::callers_advertised`].
        callers_advertised: Option<SocketAddr>;
        /// See [`Config::control`].
        control: SocketAddr;
        /// See [`Config::peer`].
        peer: SocketAddr;
        /// See [`Config::voters`].
        voters: Vec<Peer>;
        /// See [`Config::peer_keys`].
        peer_keys: Option<PathBuf>;
        /// See [`Config::traffic_threads`].
        traffic_threads: usize;
        /// See [`Config::connections`].
        connections: usize;
        /// See [`Config::control_connections`].
        control_connections: usize;
        /// See [`Config::memory`].
        memory: usize;
        /// See [`Config::body_max`].
        body_max: usize;
        /// See [`Config::head_timeout`].
        head_timeout: Duration;
        /// See [`Config::body_timeout`].
        body_timeout: Duration;
        /// See [`Config::idle_timeout`].
        idle_timeout: Duration;
        /// See [`Config::stall_timeout`].
        stall_timeout: Duration;
        /// See [`Config::connect_timeout`].
        connect_timeout: Duration;
        /// See [`Config::drain_delay`].
        drain_delay: Duration;
        /// See [`Config::drain_timeout`].
        drain_timeout: Duration;
        /// See [`Config::statsd`].
        statsd: Option<SocketAddr>;
    }

    /// See [`Config::name`].
    #[must_use]
    pub fn name(mut self, name: impl Into<Box<str>>) -> Self {
        self.name = name.into();
        self
    }

    /// See [`Config::zone`].
    #[must_use]
    pub fn zone(mut self, zone: impl Into<Box<str>>) -> Self {
        self.zone = zone.into();
        self
    }

    /// See [`Config::data`].
    #[must_use]
    pub fn data(mut self, folder: impl Into<PathBuf>) -> Self {
        self.config.data = Some(folder.into());
        self
    }

    /// Validates all settings together.
    ///
    /// # Errors
    /// Returns [`Error::Setting`] with the flag and the remedy if a setting is invalid.
    pub fn build(self) -> Result<Config> {
        let mut config = self.config;
        config.name = parse_name("name", &self.name)?;
        config.zone = parse_name("zone", &self.zone)?;
        check(config)
    }
}

fn setting_error(flag: &'static str, detail: impl Into<Box<str>>) -> Error {
    Error::Setting { flag, detail: detail.into() }
}

fn parse_name(flag: &'static str, text: &str) -> Result<Name> {
    Name::new(text).map_err(|error| setting_error(flag, error.to_string()))
}

fn check(config: Config) -> Result<Config> {
    let addresses = [config.callers, config.control, config.peer];
    let is_same_address = |a: SocketAddr, b: SocketAddr| a == b && a.port() != 0;
    if is_same_address(addresses[0], addresses[1])
        || is_same_address(addresses[1], addresses[2])
        || is_same_address(addresses[0], addresses[2])
    {
        return Err(setting_error(
            "control",
            "callers, control and peer need three different ports",
        ));
    }
    if config.voters.len().is_multiple_of(2) && !config.voters.is_empty() {
        let detail = format!("names {} daemons; name 1, 3 or 5", config.voters.len());
        return Err(setting_error("voters", detail));
    }
    for (index, voter) in config.voters.iter().enumerate() {
        if config.voters[..index].iter().any(|v| v.name == voter.name || v.address == voter.address)
        {
            return Err(setting_error(
                "voters",
                format!("names {} twice; name each once", voter.name),
            ));
        }
    }
    match (config.is_voter(), config.data.is_some()) {
        (true, false) => {
            let detail = "is needed by a daemon that keeps the state; name a folder on a disk";
            return Err(setting_error("data", detail));
        }
        (false, true) => {
            let detail = "is for voters, and this daemon is not among --voters; leave it out or add it there";
            return Err(setting_error("data", detail));
        }
        _ => {}
    }
    at_least_one("traffic-threads", config.traffic_threads)?;
    at_least_one("connections", config.connections)?;
    at_least_one("control-connections", config.control_connections)?;
    at_least_one("body-max", config.body_max)?;
    let connections = config.connections.saturating_add(config.control_connections);
    let needed = connections.saturating_mul(CONNECTION_BYTES_MAX * CONNECTIONS_PART);
    if needed > config.memory {
        let detail = format!(
            "{connections} connections need {} MiB; set that, or lower connections or \
             control-connections",
            needed.div_ceil(1024 * 1024)
        );
        return Err(setting_error("memory-mb", detail));
    }
    let timeouts = [
        ("head-timeout", config.head_timeout),
        ("body-timeout", config.body_timeout),
        ("idle-timeout", config.idle_timeout),
        ("stall-timeout", config.stall_timeout),
        ("connect-timeout", config.connect_timeout),
        ("drain-timeout", config.drain_timeout),
    ];
    for (flag, timeout) in timeouts {
        if timeout.is_zero() {
            return Err(setting_error(flag, "must be longer than zero"));
        }
    }
    Ok(config)
}

fn at_least_one(flag: &'static str, value: usize) -> Result<()> {
    match value {
        0 => Err(setting_error(flag, "must be at least 1")),
        _ => Ok(()),
    }
}
