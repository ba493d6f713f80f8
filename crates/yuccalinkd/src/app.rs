//! Starts the daemon from its settings and stops it on a signal.

use crate::args::{self, ArgumentError, Invocation};
use crate::cell;
use std::io::{self, Write};
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use yuccalink_daemon::cell::Native;
use yuccalink_daemon::{Config, Daemon};

const VERSION: &str = concat!("yuccalinkd ", env!("CARGO_PKG_VERSION"), "\n");
/// Interval at which the daemon is checked for a failed disk.
const DISK_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// First argument that starts a process of a cell with the platform's settings.
const PLATFORM_COMMAND: &str = "platform";
/// First argument that starts a process of a job cell with flags.
const CELL_COMMAND: &str = "cell";

/// Error with which the program ends.
#[derive(Debug, displaydoc::Display)]
pub(crate) enum Failure {
    /// {0}
    Settings(ArgumentError),
    /// {0}
    Daemon(yuccalink_daemon::Error),
    /// the disk failed: {0}
    Disk(yuccalink_state::Error),
    /// cannot start: {0}
    Start(io::Error),
    /// {0}
    Platform(yuccalink_platform::Error),
}

impl Failure {
    pub(crate) fn exit_code(&self) -> ExitCode {
        use yuccalink_daemon::Error;
        ExitCode::from(match self {
            Self::Settings(_) | Self::Daemon(Error::Setting { .. }) => 2,
            Self::Disk(_) | Self::Daemon(Error::State(_)) => 3,
            Self::Platform(yuccalink_platform::Error::Settings(_)) => 2,
            Self::Daemon(_) | Self::Start(_) | Self::Platform(_) => 1,
        })
    }
}

pub(crate) fn run() -> Result<(), Failure> {
    let command = std::env::args_os().nth(1);
    match command.as_deref().and_then(|command| command.to_str()) {
        Some(PLATFORM_COMMAND) => return run_on_platform(),
        Some(CELL_COMMAND) => return run_cell_process(),
        _ => {}
    }
    let parser = lexopt::Parser::from_env();
    match args::parse(parser, |name| std::env::var_os(name)).map_err(Failure::Settings)? {
        Invocation::ShortHelp => print(&args::help(false)),
        Invocation::LongHelp => print(&args::help(true)),
        Invocation::Version => print(VERSION),
        Invocation::Run(config) => serve(config.build().map_err(Failure::Daemon)?),
    }
}

/// Runs a process of a cell with the platform's settings.
fn run_on_platform() -> Result<(), Failure> {
    start_logging()?;
    let result = yuccalink_platform::run().map_err(Failure::Platform);
    yuccalink_daemon::finish_logging();
    result
}

/// Runs a process of a cell with the settings from its flags.
fn run_cell_process() -> Result<(), Failure> {
    let parser = lexopt::Parser::from_args(std::env::args_os().skip(2));
    let builder = match cell::parse(parser, |name| std::env::var_os(name)) {
        Ok(Invocation::ShortHelp) => return print(&cell::help(false)),
        Ok(Invocation::LongHelp) => return print(&cell::help(true)),
        Ok(Invocation::Version) => return print(VERSION),
        Ok(Invocation::Run(builder)) => *builder,
        Err(bad) => return Err(Failure::Settings(bad)),
    };
    let config = builder.build().map_err(Failure::Daemon)?;
    start_logging()?;
    let flags = Box::new(cell::FixedSeeds(config.seeds().to_vec()));
    let result = yuccalink_daemon::cell::run(config, Box::new(Native), flags);
    yuccalink_daemon::finish_logging();
    result.map_err(Failure::Daemon)
}

fn start_logging() -> Result<(), Failure> {
    let lines = yuccalink_daemon::start_logging().map_err(Failure::Start)?;
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .target(env_logger::Target::Pipe(lines))
        .format_timestamp_micros()
        .init();
    Ok(())
}

/// Prints to standard output. A closed pipe, as with `head`, is not an error.
fn print(text: &str) -> Result<(), Failure> {
    match io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => Err(Failure::Start(error)),
        _ => Ok(()),
    }
}

fn serve(config: Config) -> Result<(), Failure> {
    start_logging()?;
    let mut daemon = Daemon::start(config).map_err(Failure::Daemon)?;
    let result = match wait_for_end(&mut daemon)? {
        Some(error) => Err(Failure::Disk(error)),
        None => daemon.drain().map_err(Failure::Daemon),
    };
    yuccalink_daemon::finish_logging();
    result
}

/// Waits for SIGTERM or SIGINT, or for the disk to fail. Returns the error of the disk.
fn wait_for_end(daemon: &mut Daemon) -> Result<Option<yuccalink_state::Error>, Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Failure::Start)?;
    runtime.block_on(async {
        let mut term = signal(SignalKind::terminate()).map_err(Failure::Start)?;
        let mut int = signal(SignalKind::interrupt()).map_err(Failure::Start)?;
        let mut disk_check = tokio::time::interval(DISK_CHECK_INTERVAL);
        loop {
            tokio::select! {
                _ = term.recv() => return Ok(None),
                _ = int.recv() => return Ok(None),
                _ = disk_check.tick() => {
                    if let Some(error) = daemon.failure() {
                        return Ok(Some(error));
                    }
                }
            }
        }
    })
}
