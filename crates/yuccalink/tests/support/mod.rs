//! Helpers shared by the tests of `yuccalink`.
#![allow(dead_code, missing_docs)]

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Output};
use yuccalink_fakes::slow_link;

/// Returns the path of the daemon, which is built beside the test programs of the workspace.
pub fn daemon() -> PathBuf {
    let mut path = std::env::current_exe().expect("this test's path");
    path.pop();
    path.pop();
    path.push("yuccalinkd");
    assert!(path.exists(), "{} is missing; run `cargo build --bins` first", path.display());
    path
}

pub const CALLERS: u16 = 8_080;
pub const CONTROL: u16 = 8_081;
pub const PEER: u16 = 8_082;
const FORWARDER: u16 = 8_083;

/// A leader with a disk, e1, and an entry without one, e2.
pub struct Cell {
    children: Vec<Child>,
    pub folder: tempfile::TempDir,
    address_offset: u8,
}

impl Cell {
    /// Starts a cell. `address_offset` is the last byte of e1's address minus one; e2 has the
    /// address after it. No two cells of one test program may share an address.
    pub fn start(address_offset: u8) -> Self {
        Self::start_with(address_offset, &[])
    }

    /// Starts a cell with further flags for both processes.
    pub fn start_with(address_offset: u8, more: &[&str]) -> Self {
        let cell = Self::new(address_offset);
        let leader = cell.at(1, PEER);
        cell.launch_both(leader, more)
    }

    /// Starts a cell whose link from e2 to the leader carries `rate` bytes per second in each
    /// direction.
    pub fn start_with_slow_link(address_offset: u8, rate: u64) -> Self {
        let cell = Self::new(address_offset);
        let forwarder = cell.at(1, FORWARDER);
        slow_link::forward(forwarder, cell.at(1, PEER), rate).expect("its address is free");
        cell.launch_both(forwarder, &[])
    }

    fn new(address_offset: u8) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        Self { children: Vec::new(), folder, address_offset }
    }

    fn launch_both(mut self, leader: SocketAddr, more: &[&str]) -> Self {
        let data = self.folder.path().join("data").display().to_string();
        let advertised = leader.to_string();
        let first = ["--found", "yes", "--data", &data, "--peer-advertised", &advertised];
        self.launch(1, &[&first, more].concat());
        self.launch(2, &[&["--seeds", advertised.as_str()], more].concat());
        self
    }

    /// Returns an address of an entry on a loopback address derived from the process id, so that
    /// the fixed ports are free.
    pub fn at(&self, entry: u8, port: u16) -> SocketAddr {
        let id = std::process::id();
        let host = Ipv4Addr::new(127, (id >> 8) as u8 | 1, id as u8, self.address_offset + entry);
        SocketAddr::new(IpAddr::V4(host), port)
    }

    fn launch(&mut self, entry: u8, more: &[&str]) {
        let log = self.folder.path().join(format!("e{entry}.log"));
        let log = std::fs::File::create(log).expect("a log");
        let child = Command::new(daemon())
            .args(["cell", "--name", &format!("e{entry}")])
            .args(["--peer", &self.at(entry, PEER).to_string()])
            .args(["--callers", &self.at(entry, CALLERS).to_string()])
            .args(["--control", &self.at(entry, CONTROL).to_string()])
            .args(more)
            .stdout(log)
            .spawn()
            .expect("the daemon");
        self.children.push(child);
    }

    /// Sends SIGTERM without waiting for the process to exit.
    pub fn stop(&self, entry: u8) {
        let id = self.children[usize::from(entry) - 1].id().to_string();
        let done = Command::new("kill").args(["-TERM", &id]).status();
        assert!(done.expect("kill").success());
    }

    pub fn run(&self, entry: u8, words: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_yuccalink"))
            .args(["--server", &self.at(entry, CONTROL).to_string(), "--timeout", "20s"])
            .args(words)
            .output()
            .expect("the command")
    }

    pub fn run_ok(&self, entry: u8, words: &[&str]) -> String {
        let output = self.run(entry, words);
        let shown = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{words:?} at e{entry}: {shown}{}", self.log_of(2));
        String::from_utf8_lossy(&output.stdout).trim().into()
    }

    pub fn log_of(&self, entry: u8) -> String {
        let log = self.folder.path().join(format!("e{entry}.log"));
        std::fs::read_to_string(log).unwrap_or_default()
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
