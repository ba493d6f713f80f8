//! Flags and environment variables of `yuccalinkd cell`.

use crate::args::{self, ArgumentError, Invocation, Setting};
use lexopt::Parser;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use yuccalink_daemon::cell::{CellConfig, CellConfigBuilder, SeedSource, policy};

/// All settings in the order of the help.
pub(crate) const SETTINGS: [Setting<CellConfigBuilder>; 17] = [
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
        long: "A process without a data folder forwards requests to the leader.",
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
        long: "Needed behind a port forwarder.",
        set: |config, text| Ok(config.peer_advertised(args::parse_address(text)?)),
    },
    Setting {
        flag: "seeds",
        value: "IP:PORT,...",
        short: "where some other processes listen for peers",
        long: "The same list on all VMs when the cell is bootstrapped; later any running processes.",
        set: |config, text| Ok(config.seeds(parse_addresses(text)?)),
    },
    Setting {
        flag: "found",
        value: "yes|no",
        short: "whether the cell is new [no]",
        long: "The first of the seeds with a disk bootstraps the cell if that disk is empty.",
        set: |config, text| Ok(config.bootstrap(parse_yes_no(text)?)),
    },
    Setting {
        flag: "losses",
        value: "N",
        short: "disks that may be lost at the same time [1]",
        long: "Sets the number of voters: 3 for 1, 5 for 2.",
        set: |config, text| Ok(config.tolerated_disk_losses(args::parse_number(text)?)),
    },
    Setting {
        flag: "callers",
        value: "IP:PORT",
        short: "where callers connect [none]",
        long: "Behind the platform's load balancer.",
        set: |config, text| Ok(config.callers(args::parse_address(text)?)),
    },
    Setting {
        flag: "control",
        value: "IP:PORT",
        short: "where runners and operators connect [none]",
        long: "Runners keep reporting to the process that they reached first.",
        set: |config, text| Ok(config.control(args::parse_address(text)?)),
    },
    Setting {
        flag: "ready",
        value: "IP:PORT",
        short: "where the load balancer checks readiness [none]",
        long: "Status 200 while the process can serve callers, otherwise 503.",
        set: |config, text| Ok(config.ready(args::parse_address(text)?)),
    },
    Setting {
        flag: "metrics",
        value: "IP:PORT",
        short: "where counters and histograms are read [none]",
        long: "As text, one value a line.",
        set: |config, text| Ok(config.metrics(args::parse_address(text)?)),
    },
    Setting {
        flag: "policy",
        value: "FILE",
        short: "settings of the leader's decisions [as shipped]",
        long: "TOML with one section for each mechanism; settings not named stay as shipped. Use the \
               same file on every VM, since any process may become leader.",
        set: |config, text| {
            let policy = policy::read(Path::new(text)).map_err(|error| error.to_string())?;
            Ok(config.policy(policy))
        },
    },
    Setting {
        flag: "connections-max",
        value: "N",
        short: "connections of callers, runners and operators held at once [800]",
        long: "Beyond them the slowest connection is closed, or else the new one refused with status \
               503. Keep it below the limit of open files: the other processes of the cell and the \
               data folder need some of them.",
        set: |config, text| Ok(config.connections_max(args::parse_number(text)?)),
    },
    Setting {
        flag: "peers-max",
        value: "N",
        short: "connections from other processes of the cell held at once [160]",
        long: "More than the cell has processes. Beyond them the slowest connection is closed.",
        set: |config, text| Ok(config.peers_max(args::parse_number(text)?)),
    },
    Setting {
        flag: "memory-mb",
        value: "N",
        short: "memory that the process may use, in MiB [512]",
        long: "Half of it is for jobs; a leader refuses new ones beyond, with status 429. Five \
               sixteenths, or ten without a data folder, are for what clients send and have not \
               been answered; requests beyond get status 503. Set the same on every VM with a disk, \
               since all hold the same jobs.",
        set: |config, text| {
            let mib =
                u64::try_from(args::parse_number(text)?).map_err(|error| error.to_string())?;
            Ok(config.memory(mib.saturating_mul(1 << 20)))
        },
    },
    Setting {
        flag: "drain",
        value: "TIME",
        short: "time that a stopping process continues to serve [3s]",
        long: "As long as the load balancer takes to notice that the process is not ready.",
        set: |config, text| Ok(config.drain(args::parse_duration(text)?)),
    },
];

/// Parses the environment and the command line after the word `cell`. Flags take precedence
/// over variables.
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

/// Returns the help, with one line for each setting or, with `long`, a paragraph.
pub(crate) fn help(long: bool) -> String {
    let head = "yuccalinkd cell - one process of a job cell\n\n\
         Usage: yuccalinkd cell [--FLAG VALUE]...\n\n\
         Every flag can also be set as a variable: --found as YUCCALINK_FOUND.\n\nFlags:\n";
    let tail = "\nSIGTERM and SIGINT stop it gracefully; SIGHUP is accepted and has no effect,\n\
         since flags cannot change.\n\n\
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

/// Seed addresses from the flags, which do not change while the process runs.
pub(crate) struct FixedSeeds(pub(crate) Vec<SocketAddr>);

impl SeedSource for FixedSeeds {
    fn seeds(&self) -> Result<Vec<SocketAddr>, Box<str>> {
        Ok(self.0.clone())
    }
}
