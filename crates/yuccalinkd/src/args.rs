//! Flags and environment variables, defined in one table.

use lexopt::{Arg, Parser, ValueExt};
use std::collections::BTreeMap;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::time::Duration;
use yuccalink_daemon::{Config, ConfigBuilder, Peer};
use yuccalink_protocol::units;
use yuccalink_state::id::Name;

/// Error in a flag or environment variable.
#[derive(Debug, displaydoc::Display)]
pub(crate) enum ArgumentError {
    /// {0}; see `yuccalinkd --help`
    Usage(lexopt::Error),
    /// {from}: `{value}` is not accepted: {why}
    Value {
        /// Name of the flag or variable.
        from: Box<str>,
        /// Value of the flag or variable.
        value: Box<str>,
        /// Reason and remedy.
        why: Box<str>,
    },
    /// {0} is not UTF-8; write it in UTF-8
    NotText(Box<str>),
}

impl std::error::Error for ArgumentError {}

/// What the command line requests.
#[derive(Debug)]
pub(crate) enum Invocation<B = ConfigBuilder> {
    /// Run with these settings.
    Run(Box<B>),
    /// Print the short help.
    ShortHelp,
    /// Print the long help.
    LongHelp,
    /// Print the version.
    Version,
}

/// Applies the text of a setting to a configuration.
type Setter<B> = fn(B, &str) -> Result<B, String>;

/// A setting, given as `--flag` or as variable `YUCCALINK_FLAG`.
pub(crate) struct Setting<B = ConfigBuilder> {
    pub(crate) flag: &'static str,
    pub(crate) value: &'static str,
    pub(crate) short: &'static str,
    pub(crate) long: &'static str,
    pub(crate) set: Setter<B>,
}

/// All settings in the order of the help.
pub(crate) const SETTINGS: [Setting; 21] = [
    Setting {
        flag: "name",
        value: "NAME",
        short: "name of this entry VM [entry]",
        long: "Unique among the daemons. A replaced VM may take over the name.",
        set: |config, text| Ok(config.name(text)),
    },
    Setting {
        flag: "zone",
        value: "NAME",
        short: "availability zone of this entry VM [zone]",
        long: "Runners in the same zone are preferred while they have free slots.",
        set: |config, text| Ok(config.zone(text)),
    },
    Setting {
        flag: "data",
        value: "FOLDER",
        short: "folder for the state, on a VM with a disk",
        long: "Needed by a daemon that keeps the state: one that runs alone, or is among --voters. \
               Created if missing.",
        set: |config, text| Ok(config.data(text)),
    },
    Setting {
        flag: "voters",
        value: "NAME=IP:PORT,...",
        short: "the daemons that keep the state [none: this one runs alone]",
        long: "Names and daemon addresses of the entry VMs with a disk, the same list everywhere.",
        set: |config, text| Ok(config.voters(parse_voters(text)?)),
    },
    Setting {
        flag: "callers",
        value: "IP:PORT",
        short: "where callers connect [127.0.0.1:8080]",
        long: "Behind the platform's load balancer. Port 0 selects any free port.",
        set: |config, text| Ok(config.callers(parse_address(text)?)),
    },
    Setting {
        flag: "callers-advertised",
        value: "IP:PORT",
        short: "where other entries forward requests to [as --callers]",
        long: "Needed where --callers is a wildcard such as 0.0.0.0:8080.",
        set: |config, text| Ok(config.callers_advertised(Some(parse_address(text)?))),
    },
    Setting {
        flag: "control",
        value: "IP:PORT",
        short: "where targets and operators connect [127.0.0.1:8081]",
        long: "Also serves /livez and /readyz to the platform.",
        set: |config, text| Ok(config.control(parse_address(text)?)),
    },
    Setting {
        flag: "peer",
        value: "IP:PORT",
        short: "where other daemons connect [127.0.0.1:8082]",
        long: "Keep it reachable from entry VMs only.",
        set: |config, text| Ok(config.peer(parse_address(text)?)),
    },
    Setting {
        flag: "peer-keys",
        value: "FILE",
        short: "keys that daemons share [none: any daemon is trusted]",
        long: "One key of at least 32 characters a line. The first is sent, any is accepted. The \
               file is read again for each connection, so keys can be rotated without a restart.",
        set: |config, text| Ok(config.peer_keys(Some(text.into()))),
    },
    Setting {
        flag: "traffic-threads",
        value: "N",
        short: "threads for callers' traffic [2]",
        long: "Start with one less than the VM's number of processors.",
        set: |config, text| Ok(config.traffic_threads(parse_number(text)?)),
    },
    Setting {
        flag: "connections",
        value: "N",
        short: "callers' connections at once [4096]",
        long: "Further connections wait to be accepted.",
        set: |config, text| Ok(config.connections(parse_number(text)?)),
    },
    Setting {
        flag: "control-connections",
        value: "N",
        short: "connections of targets and operators at once [4096]",
        long: "Further connections wait to be accepted.",
        set: |config, text| Ok(config.control_connections(parse_number(text)?)),
    },
    Setting {
        flag: "memory-mb",
        value: "N",
        short: "memory that the process may use, in MiB [768]",
        long: "Half of it is for open connections, a quarter for requests, responses and messages \
               of daemons; requests beyond get status 503.",
        set: |config, text| Ok(config.memory(parse_number(text)?.saturating_mul(1 << 20))),
    },
    Setting {
        flag: "body-max",
        value: "SIZE",
        short: "largest request body [1MiB]",
        long: "Request bodies are read completely before they are forwarded; response bodies are streamed. In MiB, GiB or TiB.",
        set: |config, text| Ok(config.body_max(parse_size(text)?)),
    },
    Setting {
        flag: "head-timeout",
        value: "TIME",
        short: "time limit for the head of a request [5s]",
        long: "A connection that takes longer gets status 408 and is closed.",
        set: |config, text| Ok(config.head_timeout(parse_duration(text)?)),
    },
    Setting {
        flag: "body-timeout",
        value: "TIME",
        short: "time limit for the body of a request [10s]",
        long: "A request that takes longer gets status 400 and is not run.",
        set: |config, text| Ok(config.body_timeout(parse_duration(text)?)),
    },
    Setting {
        flag: "idle-timeout",
        value: "TIME",
        short: "time after which an unused connection is closed [60s]",
        long: "Longer than the load balancer's idle timeout, so that the balancer closes first.",
        set: |config, text| Ok(config.idle_timeout(parse_duration(text)?)),
    },
    Setting {
        flag: "stall-timeout",
        value: "TIME",
        short: "time that a caller may leave a response unread [10s]",
        long: "After it, the caller's connection is closed and the runner's slot released.",
        set: |config, text| Ok(config.stall_timeout(parse_duration(text)?)),
    },
    Setting {
        flag: "connect-timeout",
        value: "TIME",
        short: "time limit for connecting to a runner [500ms]",
        long: "A request whose runner cannot be reached goes to another runner.",
        set: |config, text| Ok(config.connect_timeout(parse_duration(text)?)),
    },
    Setting {
        flag: "drain-delay",
        value: "TIME",
        short: "time from failing health checks to refusing callers at a stop [5s]",
        long: "As long as the load balancer takes to notice a failed health check.",
        set: |config, text| Ok(config.drain_delay(parse_duration(text)?)),
    },
    Setting {
        flag: "statsd",
        value: "IP:PORT",
        short: "where metrics go, as StatsD over UDP [nowhere]",
        long: "The metrics are listed in docs/OPERATIONS.md.",
        set: |config, text| Ok(config.statsd(Some(parse_address(text)?))),
    },
];

/// Parses the environment and the command line. Flags take precedence over variables.
pub(crate) fn parse<E>(parser: Parser, environment: E) -> Result<Invocation, ArgumentError>
where
    E: Fn(&str) -> Option<OsString>,
{
    parse_settings(parser, environment, &SETTINGS, Config::builder())
}

/// Parses the environment and the command line for a table of settings. Flags take precedence
/// over variables.
pub(crate) fn parse_settings<B, E>(
    parser: Parser,
    environment: E,
    settings: &[Setting<B>],
    mut config: B,
) -> Result<Invocation<B>, ArgumentError>
where
    E: Fn(&str) -> Option<OsString>,
{
    let mut values: BTreeMap<&'static str, (Box<str>, OsString)> = BTreeMap::new();
    for setting in settings {
        let variable = environment_variable(setting.flag);
        if let Some(value) = environment(&variable) {
            values.insert(setting.flag, (variable.into(), value));
        }
    }
    if let Some(invocation) = parse_flags(parser, settings, &mut values)? {
        return Ok(invocation);
    }
    for setting in settings {
        let Some((from, value)) = values.remove(setting.flag) else { continue };
        let text = value.to_str().ok_or_else(|| ArgumentError::NotText(from.clone()))?;
        config = (setting.set)(config, text).map_err(|why| ArgumentError::Value {
            from,
            value: text.into(),
            why: why.into(),
        })?;
    }
    Ok(Invocation::Run(Box::new(config)))
}

fn parse_flags<B>(
    mut parser: Parser,
    settings: &[Setting<B>],
    values: &mut BTreeMap<&'static str, (Box<str>, OsString)>,
) -> Result<Option<Invocation<B>>, ArgumentError> {
    while let Some(arg) = parser.next().map_err(ArgumentError::Usage)? {
        match arg {
            Arg::Short('h') => return Ok(Some(Invocation::ShortHelp)),
            Arg::Long("help") => return Ok(Some(Invocation::LongHelp)),
            Arg::Short('V') | Arg::Long("version") => return Ok(Some(Invocation::Version)),
            Arg::Long(name) => {
                let setting = settings.iter().find(|setting| setting.flag == name);
                let Some(setting) = setting else {
                    return Err(ArgumentError::Usage(Arg::Long(name).unexpected()));
                };
                let value = parser.value().map_err(ArgumentError::Usage)?;
                values.insert(setting.flag, (format!("--{}", setting.flag).into(), value));
            }
            other => return Err(ArgumentError::Usage(other.unexpected())),
        }
    }
    Ok(None)
}

fn environment_variable(flag: &str) -> String {
    format!("YUCCALINK_{}", flag.to_uppercase().replace('-', "_"))
}

pub(crate) fn parse_address(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| "write IP:PORT, such as 127.0.0.1:8080".into())
}

pub(crate) fn parse_number(text: &str) -> Result<usize, String> {
    OsString::from(text).parse().map_err(|_| "write a whole number".into())
}

pub(crate) fn parse_duration(text: &str) -> Result<Duration, String> {
    units::millis(text).map(Duration::from_millis).map_err(|bad| bad.to_string())
}

fn parse_size(text: &str) -> Result<usize, String> {
    const MIB: u64 = 1024 * 1024;
    let mib = units::mebibytes(text).map_err(|bad| bad.to_string())?;
    usize::try_from(mib.saturating_mul(MIB)).map_err(|_| "is too large".into())
}

fn parse_voters(text: &str) -> Result<Vec<Peer>, String> {
    text.split(',').map(str::trim).filter(|part| !part.is_empty()).map(parse_voter).collect()
}

fn parse_voter(part: &str) -> Result<Peer, String> {
    let (name, at) = part.split_once('=').ok_or_else(|| format!("`{part}`: write NAME=IP:PORT"))?;
    let name = Name::new(name).map_err(|bad| bad.to_string())?;
    Ok(Peer { name, address: parse_address(at)? })
}

/// Returns the help, with one line for each setting or, with `long`, a paragraph.
pub(crate) fn help(long: bool) -> String {
    let head = "yuccalinkd - routes callers' requests, receives targets' heartbeats and keeps the state\n\n\
         Usage: yuccalinkd [--FLAG VALUE]...\n       yuccalinkd cell [--FLAG VALUE]...\n       \
         yuccalinkd platform\n\n\
         See `yuccalinkd cell --help` for job cells. With `platform`, all settings come from the\n\
         users' platform. Every flag can also be set as a variable: --drain-delay as\n\
         YUCCALINK_DRAIN_DELAY. A flag takes precedence over its variable. Without --voters\n\
         the daemon runs alone.\n\nFlags:\n";
    let tail = "\nLog lines go to standard output; RUST_LOG filters them, such as\n\
         RUST_LOG=info,yuccalink::decision=off.\n\n\
         SIGTERM and SIGINT stop it gracefully: health checks fail, new requests are served\n\
         for --drain-delay, requests in flight are completed, and it exits with 0.\n\n\
         Exit codes: 0 stopped as asked, 1 failed while running, 2 wrong settings,\n\
         3 the state on the disk cannot be used.\n";
    render_help(&SETTINGS, head, if long { tail } else { "" }, long)
}

/// Returns the help for a table of settings.
pub(crate) fn render_help<B>(
    settings: &[Setting<B>],
    head: &str,
    tail: &str,
    long: bool,
) -> String {
    let mut out = String::from(head);
    for setting in settings {
        let head = format!("--{} {}", setting.flag, setting.value);
        out.push_str(&format!("  {head:<32} {}\n", setting.short));
        if long {
            out.push_str(&format!("      {}\n\n", setting.long));
        }
    }
    out.push_str("  -h, --help                       short help, long help\n");
    out.push_str("  -V, --version                    the version\n");
    out.push_str(tail);
    out
}
