//! Flags and variables of `yuccalinkd cell`.

use crate::args::{self, ArgumentError, Invocation, Setting};
use lexopt::Parser;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use yuccalink_daemon::cell::{CellConfig, CellConfigBuilder, SeedSource, policy};

/// All settings, in the order of the help.
pub(crate) const SETTINGS: [Setting<CellConfigBuilder>; 15] = [
    Setting {
        flag: "name",
        value: "NAME",
        short: "name of this entry VM [entry]",
        long: "Unique among the processes of the cell.",
        set: |config, text| Ok(config.name(text)),
    },
    Setting {
        flag: "zone",
        value: "NAME",
        short: "availability zone of this entry VM [zone]",
        long: "Voters are spread over zones.",
        set: |config, text| Ok(config.zone(text)),
    },
    Setting {
        flag: "data",
        value: "FOLDER",
        short: "folder for the state, on a VM with a disk",
        long: "A process without one takes requests and passes them on.",
        set: |config, text| Ok(config.data(PathBuf::from(text))),
    },
    Setting {
        flag: "peer",
        value: "IP:PORT",
        short: "where other processes connect [127.0.0.1:8082]",
        long: "Keep it reachable from entry VMs only.",
        set: |config, text| Ok(config.peer(args::parse_address(text)?)),
    },
    Setting {
        flag: "peer-advertised",
        value: "IP:PORT",
        short: "where other processes reach it [as --peer]",
        long: "Needed behind a forwarder.",
        set: |config, text| Ok(config.peer_advertised(args::parse_address(text)?)),
    },
    Setting {
        flag: "seeds",
        value: "IP:PORT,...",
        short: "where some other processes listen for peers",
        long: "The same list everywhere when the cell is founded; later any that are up.",
        set: |config, text| Ok(config.seeds(parse_addresses(text)?)),
    },
    Setting {
        flag: "found",
        value: "yes|no",
        short: "whether the cell is new [no]",
        long: "The first of the seeds with a disk founds it, if that disk is empty.",
        set: |config, text| Ok(config.bootstrap(parse_yes_no(text)?)),
    },
    Setting {
        flag: "losses",
        value: "N",
        short: "disks that may be lost at once [1]",
        long: "Decides how many vote: 3 for 1, 5 for 2.",
        set: |config, text| Ok(config.tolerated_disk_losses(args::parse_number(text)?)),
    },
    Setting {
        flag: "callers",
        value: "IP:PORT",
        short: "where callers connect [none]",
        long: "Behind the platform's balancer.",
        set: |config, text| Ok(config.callers(args::parse_address(text)?)),
    },
    Setting {
        flag: "control",
        value: "IP:PORT",
        short: "where runners and operators connect [none]",
        long: "Runners stay with the process that they reached first.",
        set: |config, text| Ok(config.control(args::parse_address(text)?)),
    },
    Setting {
        flag: "ready",
        value: "IP:PORT",
        short: "where the balancer asks whether it is ready [none]",
        long: "200 while it can serve callers, else 503.",
        set: |config, text| Ok(config.ready(args::parse_address(text)?)),
    },
    Setting {
        flag: "metrics",
        value: "IP:PORT",
        short: "where counters and histograms are read [none]",
        long: "As text, one figure a line.",
        set: |config, text| Ok(config.metrics(args::parse_address(text)?)),
    },
    Setting {
        flag: "policy",
        value: "FILE",
        short: "what the leader decides by [as shipped]",
        long: "TOML, a section a mechanism; what it does not name stays as shipped. The same \
               file on every VM, since any may lead.",
        set: |config, text| {
            let policy = policy::read(Path::new(text)).map_err(|error| error.to_string())?;
            Ok(config.policy(policy))
        },
    },
    Setting {
        flag: "connections-max",
        value: "N",
        short: "connections of callers, runners and operators held at once [800]",
        long: "Further ones are told to come back. Keep it below the limit of open files, of \
               which other processes of the cell and the data folder need some.",
        set: |config, text| Ok(config.connections_max(args::parse_number(text)?)),
    },
    Setting {
        flag: "drain",
        value: "TIME",
        short: "how long a stopping process goes on serving [3s]",
        long: "For the balancer to notice that it is not ready any more.",
        set: |config, text| Ok(config.drain(args::parse_duration(text)?)),
    },
];

/// Reads the environment, then the command line after the word `cell`.
pub(crate) fn parse<E>(
    parser: Parser,
    environment: E,
) -> Result<Invocation<CellConfigBuilder>, ArgumentError>
where
    E: Fn(&str) -> Option<OsString>,
{
    let default_peer = SocketAddr::from(([127, 0, 0, 1], 8_082));
    args::parse_settings(parser, environment, &SETTINGS, CellConfig::builder("entry", default_peer))
}

/// The help: a line a setting, or with `long` a paragraph each.
pub(crate) fn help(long: bool) -> String {
    let head = "yuccalinkd cell - one process of a job cell\n\n\
         Usage: yuccalinkd cell [--FLAG VALUE]...\n\n\
         Every flag can also be set as a variable: --found as YUCCALINK_FOUND.\n\nFlags:\n";
    let tail = "\nSIGTERM and SIGINT stop it gracefully; SIGHUP is taken and changes nothing, since\n\
         flags cannot change.\n\n\
         Exit codes: 0 stopped as asked, 1 failed while running, 2 wrong settings.\n";
    args::render_help(&SETTINGS, head, if long { tail } else { "" }, long)
}

fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>, String> {
    let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
    parts.map(args::parse_address).collect()
}

fn parse_yes_no(text: &str) -> Result<bool, String> {
    match text {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err("write yes or no".into()),
    }
}

/// Flags do not change while a process runs.
pub(crate) struct FixedSeeds(pub(crate) Vec<SocketAddr>);

impl SeedSource for FixedSeeds {
    fn seeds(&self) -> Result<Vec<SocketAddr>, Box<str>> {
        Ok(self.0.clone())
    }
}
