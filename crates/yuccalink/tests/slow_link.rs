//! The operator's commands at an entry without a disk whose link to the leader is slow.

mod support;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::{Child, Command, Output};
use support::daemon;
use yuccalink_fakes::slow_link;

const CALLERS: u16 = 8_080;
const CONTROL: u16 = 8_081;
const PEER: u16 = 8_082;
const FORWARDER: u16 = 8_083;

/// What the slow link carries, in bytes a second and direction: a fifth of 2 Mbit/s, so
/// that no speed of the machine decides whether a large body passes within a second.
const RATE: u64 = 50_000;
/// A leader with a disk, and an entry without one behind a slow link to it.
struct Cell {
    children: Vec<Child>,
    folder: tempfile::TempDir,
    number: u8,
}

impl Cell {
    fn start(number: u8) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let mut cell = Self { children: Vec::new(), folder, number };
        let forwarder = cell.at(1, FORWARDER);
        slow_link::forward(forwarder, cell.at(1, PEER), RATE).expect("its address is free");
        let data = cell.folder.path().join("data").display().to_string();
        let advertised = forwarder.to_string();
        cell.launch(1, &["--found", "yes", "--data", &data, "--peer-advertised", &advertised]);
        cell.launch(2, &["--seeds", &advertised]);
        cell
    }

    /// Loopback addresses of this process, so that fixed ports are free.
    fn at(&self, entry: u8, port: u16) -> SocketAddr {
        let id = std::process::id();
        let host = Ipv4Addr::new(127, (id >> 8) as u8 | 1, id as u8, self.number + entry);
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

    fn run(&self, entry: u8, words: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_yuccalink"))
            .args(["--server", &self.at(entry, CONTROL).to_string(), "--timeout", "20s"])
            .args(words)
            .output()
            .expect("the command")
    }

    fn good(&self, entry: u8, words: &[&str]) -> String {
        let output = self.run(entry, words);
        let shown = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{words:?} at e{entry}: {shown}{}", self.lines_of(2));
        String::from_utf8_lossy(&output.stdout).trim().into()
    }

    fn lines_of(&self, entry: u8) -> String {
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

/// A change set of at least `size` bytes.
fn change(version: u64, size: usize) -> String {
    let queue = |at: usize| {
        format!(
            r#"{{"name":"q{at}","host":"duty.example","prefix":"/returns/{at}/","pool":"p","timeout-ms":3000}}"#
        )
    };
    let count = size / queue(1_000).len() + 1;
    let queues: Vec<String> = (0..count).map(queue).collect();
    format!(r#"{{"version":{version},"queues":[{}],"pools":[{{"name":"p"}}]}}"#, queues.join(","))
}

fn write(folder: &Path, text: &str) -> String {
    let path = folder.join("change.json");
    std::fs::write(&path, text).expect("written");
    path.display().to_string()
}

/// A change set that takes longer over an entry's link than one try may could never be read there.
#[test]
fn a_change_set_of_any_size_is_read_back_through_a_slow_link() {
    let cell = Cell::start(100);
    for (version, size) in [(1, 400), (2, 12_000), (3, 120_000), (4, 800_000)] {
        let text = change(version, size);
        let file = write(cell.folder.path(), &text);
        assert_eq!(cell.good(1, &["change", "apply", &file]), "in force");
        assert!(cell.good(2, &["change", "get"]) == text, "version {version} is another text");
    }
}

/// A large change set sent to an entry that does not lead was answered with a redirect that the command did not follow.
#[test]
fn a_change_set_of_any_size_is_applied_through_a_slow_link() {
    let cell = Cell::start(110);
    for (version, size) in [(1, 400), (2, 120_000), (3, 800_000)] {
        let text = change(version, size);
        let file = write(cell.folder.path(), &text);
        assert_eq!(cell.good(2, &["change", "apply", &file]), "in force");
        assert!(cell.good(1, &["change", "get"]) == text, "version {version} is another text");
    }
}
