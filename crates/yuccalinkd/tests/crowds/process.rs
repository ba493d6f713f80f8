//! One real process of each program, and what the kernel says that it holds.

use crate::exchange::{Request, Response, exchange};
use crate::platform;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tempfile::TempDir;
use yuccalink_fakes::runner::RunnerSettings;
use yuccalink_fakes::wait::{name, wait_until};
use yuccalink_fakes::{Caller, FakeRunner};

const TIMEOUT: Duration = Duration::from_secs(60);
/// Memory that each process is set to use.
pub const MEMORY_MIB: u64 = 96;
/// File descriptors that a process usually has.
pub const DESCRIPTORS_MAX: usize = 1_024;
/// Connections of clients that each process is set to hold.
pub const CONNECTIONS_MAX: usize = 800;
/// Body of a caller's job in a native cell.
pub const JOB: &str = include_str!("../../../../examples/job.json");
const CHANGE: &str = include_str!("../../../../examples/change.json");
const DOCUMENT: &str = include_str!("../../../../examples/quotes.toml");

/// Which program a process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Program {
    /// `yuccalinkd cell`.
    Cell,
    /// `yuccalinkd platform`.
    Platform,
    /// `yuccalinkd`, the daemon for services.
    Services,
}

/// What a process serves on one of its addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listener {
    Callers,
    Control,
    Peer,
    Ready,
    Metrics,
}

impl Listener {
    fn port(self) -> u16 {
        match self {
            Self::Callers => 8_080,
            Self::Control => 8_081,
            Self::Peer => 8_082,
            Self::Ready => 8_083,
            Self::Metrics => 9_100,
        }
    }
}

/// A process that is killed when its test ends.
pub struct Process {
    pub program: Program,
    child: Child,
    host: Ipv4Addr,
    runner: Option<FakeRunner>,
    _folder: TempDir,
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(mut runner) = self.runner.take() {
            runner.stop();
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a loopback address of its own for each process, so that the fixed ports are free.
fn next_host() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let id = std::process::id();
    let number = NEXT.fetch_add(1, Ordering::Relaxed) as u8;
    Ipv4Addr::new(127, (id >> 8) as u8 | 1, id as u8, number)
}

fn address(host: Ipv4Addr, listener: Listener) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(host), listener.port())
}

impl Process {
    /// Starts a process with a queue or service that ordinary requests can use.
    pub fn start(program: Program) -> Self {
        Self::start_with(program, &[])
    }

    /// Starts a process with further settings, as variables.
    pub fn start_with(program: Program, variables: &[(&str, &str)]) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let host = next_host();
        let mut command = Command::new(env!("CARGO_BIN_EXE_yuccalinkd"));
        command.env_clear().stdin(Stdio::null()).stdout(Stdio::null());
        match program {
            Program::Cell => set_up_cell(&mut command, host, folder.path()),
            Program::Platform => set_up_platform(&mut command, host, folder.path()),
            Program::Services => set_up_services(&mut command, host, folder.path()),
        }
        let child = command.envs(variables.iter().copied()).spawn().expect("the program");
        let mut process = Self { program, child, host, runner: None, _folder: folder };
        process.put_change();
        process
    }

    pub fn at(&self, listener: Listener) -> SocketAddr {
        address(self.host, listener)
    }

    /// Sends what operators send before any traffic.
    fn put_change(&mut self) {
        let (method, path, body) = match self.program {
            Program::Cell => ("PUT", "/v1/change", CHANGE),
            Program::Platform => (platform::REPLACE.0, platform::REPLACE.1, platform::CHANGE),
            Program::Services => ("PUT", "/v1/services/quotes?wait=false", DOCUMENT),
        };
        wait_until(TIMEOUT, "a change in force", || {
            self.send(Listener::Control, &Request::new(method, path).body(body.as_bytes()))
                .filter(|response| response.status == 200)
        });
        if self.program == Program::Services {
            self.start_runner();
        }
        self.answers_an_ordinary_request();
    }

    fn start_runner(&mut self) {
        let runner = FakeRunner::start(RunnerSettings {
            name: name("r1"),
            service: name("quotes"),
            zone: name("zone"),
            slots: 1_000,
            connections: 1_000,
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            entries: vec![self.at(Listener::Control)],
            threads: 1,
        });
        self.runner = Some(runner.expect("a runner"));
    }

    /// Sends one request and returns its response, if there is a complete one.
    pub fn send(&self, listener: Listener, request: &Request) -> Option<Response> {
        exchange(self.at(listener), &request.bytes()).ok()
    }

    /// A caller's request with a body of the right form.
    pub fn submission(&self, id: u64) -> Request {
        match self.program {
            Program::Cell => {
                Request::new("POST", &format!("/returns/{id:016x}")).body(JOB.as_bytes())
            }
            Program::Platform => {
                Request::new("POST", &format!("/returns/{id:016x}")).body(platform::JOB.as_bytes())
            }
            Program::Services => Request::new("POST", "/quotes/invoices").body(b"one net"),
        }
    }

    /// Sends an ordinary caller's request until it is answered with success.
    pub fn answers_an_ordinary_request(&self) {
        static NEXT_ID: AtomicU32 = AtomicU32::new(1);
        let id = u64::from(NEXT_ID.fetch_add(1, Ordering::Relaxed));
        wait_until(TIMEOUT, "an ordinary request answered", || {
            let response = match self.program {
                // Requests with the key of an earlier one get its answer.
                Program::Services => {
                    let reply = Caller::new(self.at(Listener::Callers)).get("/quotes/prices/x");
                    return reply.ok().filter(|reply| reply.status == 200).map(drop);
                }
                _ => self.send(Listener::Callers, &self.submission(id)),
            };
            response.filter(|response| response.status == 200).map(drop)
        });
    }

    /// Whether the process has not ended.
    pub fn is_alive(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn host(&self) -> Ipv4Addr {
        self.host
    }
}

fn set_up_cell(command: &mut Command, host: Ipv4Addr, folder: &Path) {
    command.args(["cell", "--found", "yes", "--memory-mb", &MEMORY_MIB.to_string()]);
    command.args(["--connections-max", &CONNECTIONS_MAX.to_string()]).arg("--data").arg(folder);
    for (flag, listener) in [
        ("--callers", Listener::Callers),
        ("--control", Listener::Control),
        ("--peer", Listener::Peer),
        ("--ready", Listener::Ready),
        ("--metrics", Listener::Metrics),
    ] {
        command.args([flag, &address(host, listener).to_string()]);
    }
}

fn set_up_platform(command: &mut Command, host: Ipv4Addr, folder: &Path) {
    let settings = platform::Settings {
        host,
        peer_port: Listener::Peer.port(),
        callers: address(host, Listener::Callers),
        control: address(host, Listener::Control),
        ready: address(host, Listener::Ready),
        data: &folder.join("data"),
        connections: CONNECTIONS_MAX,
        memory: MEMORY_MIB << 20,
    };
    let file = folder.join("settings.toml");
    std::fs::write(&file, settings.text()).expect("its settings");
    command.arg("platform").env(platform::SETTINGS_FILE_VAR, file);
}

fn set_up_services(command: &mut Command, host: Ipv4Addr, folder: &Path) {
    let variables = [
        ("YUCCALINK_MEMORY_MB", MEMORY_MIB.to_string()),
        ("YUCCALINK_CONTROL_CONNECTIONS", "100".into()),
        ("YUCCALINK_CONNECTIONS", CONNECTIONS_MAX.to_string()),
        ("YUCCALINK_CALLERS", address(host, Listener::Callers).to_string()),
        ("YUCCALINK_CONTROL", address(host, Listener::Control).to_string()),
        ("YUCCALINK_PEER", address(host, Listener::Peer).to_string()),
    ];
    command.envs(variables).env("YUCCALINK_DATA", folder);
}
