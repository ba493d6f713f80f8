//! Settings of one daemon, checked as a whole before anything starts.

use crate::error::{Error, Result};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use yuccalink_state::id::Name;

/// Another daemon of the system.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: Name,
    /// Where it listens for daemons.
    pub address: SocketAddr,
}

/// Everything that a daemon needs to know. Made by [`Config::builder`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Name of this entry VM.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Where callers' requests come in.
    pub callers: SocketAddr,
    /// The address that other entries hand callers' requests to; `callers` when unset.
    pub callers_advertised: Option<SocketAddr>,
    /// Where targets and operators connect.
    pub control: SocketAddr,
    /// Where other daemons connect.
    pub peer: SocketAddr,
    /// The folder for the state, on an entry VM with a disk.
    pub data: Option<PathBuf>,
    /// The daemons that keep the state; empty when this one runs alone.
    pub voters: Vec<Peer>,
    /// The file of keys that daemons share; without one, any daemon is trusted.
    pub peer_keys: Option<PathBuf>,
    /// Threads for callers' traffic.
    pub traffic_threads: usize,
    /// Callers' connections at once.
    pub connections: usize,
    /// Largest request body, in bytes.
    pub body_max: usize,
    /// Time in which the head of a request must come.
    pub head_timeout: Duration,
    /// Time in which a request's body must come.
    pub body_timeout: Duration,
    /// Time that a caller's connection may stay without a request.
    pub idle_timeout: Duration,
    /// Time that a caller may leave an answer untaken.
    pub stall_timeout: Duration,
    /// Time for a connection to a runner.
    pub connect_timeout: Duration,
    /// Time between turning red and refusing callers at a stop.
    pub drain_delay: Duration,
    /// Longest wait for requests in flight at a stop.
    pub drain_timeout: Duration,
    /// Where metrics go, as StatsD over UDP.
    pub statsd: Option<SocketAddr>,
}

/// Sets what differs from the defaults.
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

const LOOPBACK: [u8; 4] = [127, 0, 0, 1];

impl Config {
    /// The defaults: a daemon that runs alone on the loopback address.
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

    /// The address that others hand callers' requests to.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers_advertised.unwrap_or(self.callers)
    }

    /// Whether this daemon keeps the state.
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

    /// Checks all settings together.
    ///
    /// # Errors
    /// [`Error::Setting`] with the flag and the remedy.
    pub fn build(self) -> Result<Config> {
        let mut config = self.config;
        config.name = parse_name("name", &self.name)?;
        config.zone = parse_name("zone", &self.zone)?;
        check(config)
    }
}

fn setting_error(flag: &'static str, what: impl Into<Box<str>>) -> Error {
    Error::Setting { flag, what: what.into() }
}

fn parse_name(flag: &'static str, text: &str) -> Result<Name> {
    Name::new(text).map_err(|bad| setting_error(flag, bad.to_string()))
}

fn check(config: Config) -> Result<Config> {
    let addresses = [config.callers, config.control, config.peer];
    let is_same_port = |a: SocketAddr, b: SocketAddr| a == b && a.port() != 0;
    if is_same_port(addresses[0], addresses[1])
        || is_same_port(addresses[1], addresses[2])
        || is_same_port(addresses[0], addresses[2])
    {
        return Err(setting_error(
            "control",
            "callers, control and peer need three different ports",
        ));
    }
    if config.voters.len().is_multiple_of(2) && !config.voters.is_empty() {
        let what = format!("names {} daemons; name 1, 3 or 5", config.voters.len());
        return Err(setting_error("voters", what));
    }
    for (at, voter) in config.voters.iter().enumerate() {
        if config.voters[..at].iter().any(|v| v.name == voter.name || v.address == voter.address) {
            return Err(setting_error(
                "voters",
                format!("names {} twice; name each once", voter.name),
            ));
        }
    }
    match (config.is_voter(), config.data.is_some()) {
        (true, false) => {
            let what = "is needed by a daemon that keeps the state; name a folder on a disk";
            return Err(setting_error("data", what));
        }
        (false, true) => {
            let what = "is for voters, and this daemon is not among --voters; leave it out or add it there";
            return Err(setting_error("data", what));
        }
        _ => {}
    }
    at_least_one("traffic-threads", config.traffic_threads)?;
    at_least_one("connections", config.connections)?;
    at_least_one("body-max", config.body_max)?;
    let times = [
        ("head-timeout", config.head_timeout),
        ("body-timeout", config.body_timeout),
        ("idle-timeout", config.idle_timeout),
        ("stall-timeout", config.stall_timeout),
        ("connect-timeout", config.connect_timeout),
        ("drain-timeout", config.drain_timeout),
    ];
    for (flag, time) in times {
        if time.is_zero() {
            return Err(setting_error(flag, "must be longer than nothing"));
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
