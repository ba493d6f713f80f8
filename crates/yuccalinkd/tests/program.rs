//! The program `yuccalinkd`: settings, exit codes, signals and kills.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};
use yuccalink_fakes::runner::RunnerSettings;
use yuccalink_fakes::wait::{name, wait_until};
use yuccalink_fakes::{Caller, FakeRunner};

const DOCUMENT: &str = include_str!("../../../examples/quotes.toml");

fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_yuccalinkd"));
    command.env_clear().stdin(Stdio::null());
    command
}

fn run(args: &[&str]) -> Output {
    program().args(args).output().expect("the program")
}

/// A daemon process that is killed when its test ends.
struct Running {
    child: Child,
    callers: SocketAddr,
    control: SocketAddr,
}

impl Running {
    fn start(folder: &Path) -> Self {
        let any = "127.0.0.1:0";
        let mut child = program()
            .args(["--name", "e1", "--callers", any, "--control", any, "--peer", any])
            .args(["--drain-delay", "100ms", "--data"])
            .arg(folder)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program");
        let mut lines = BufReader::new(child.stdout.take().expect("its log"));
        let mut line = String::new();
        while !line.contains("callers at") {
            line.clear();
            assert_ne!(lines.read_line(&mut line).expect("a line"), 0, "it ended");
        }
        std::thread::spawn(move || {
            let mut rest = Vec::new();
            let _ = lines.read_to_end(&mut rest);
        });
        let address = |what: &str| -> SocketAddr {
            let after = line.split(what).nth(1).expect("an address");
            after.split([',', '\n']).next().expect("an end").parse().expect("an address")
        };
        Self { callers: address("callers at "), control: address("operators at "), child }
    }

    fn signal(&self, name: &str) {
        let done = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(done.expect("kill").success());
    }

    fn exit_code(&mut self) -> Option<i32> {
        self.child.wait().expect("its end").code()
    }

    fn apply(&self, version: u64) -> Option<String> {
        self.apply_text(&DOCUMENT.replace("version = 1", &format!("version = {version}")))
    }

    fn apply_text(&self, text: &str) -> Option<String> {
        let caller = Caller::new(self.control);
        let reply = caller.put("/v1/services/quotes?wait=false", text.as_bytes()).ok()?;
        (reply.status == 200).then(|| reply.text())
    }
}

impl Running {
    /// Starts a runner of the service `quotes` and returns it with a caller once requests are
    /// routed to the runner.
    fn with_runner(&self) -> (FakeRunner, Caller) {
        let runner = FakeRunner::start(RunnerSettings {
            name: name("r1"),
            service: name("quotes"),
            zone: name("zone"),
            slots: 8,
            connections: 64,
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            entries: vec![self.control],
            threads: 1,
        })
        .expect("a runner");
        let caller = Caller::new(self.callers);
        wait_until(Duration::from_secs(60), "a routed request", || {
            let reply = caller.get("/quotes/prices/x").ok()?;
            (reply.status == 200).then_some(())
        });
        (runner, caller)
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn wrong_settings_end_with_code_2_and_a_remedy() {
    for (args, what) in [
        (vec!["--colour", "red"], "invalid option '--colour'"),
        (vec!["--name"], "missing argument"),
        (vec!["--name", "Entry One"], "use 1 to 63 of a-z"),
        (vec![], "--data: is needed by a daemon that keeps the state"),
        (vec!["--callers", "8080"], "write IP:PORT"),
        (vec!["--drain-delay", "5"], "write a whole number and one of ms"),
        (vec!["--voters", "e1"], "write NAME=IP:PORT"),
        (vec!["--voters", "e1=127.0.0.1:1,e2=127.0.0.1:2"], "name 1, 3 or 5"),
        (vec!["--voters", "e9=127.0.0.1:1", "--data", "/tmp/x"], "is for voters"),
        (vec!["--data", "/tmp/x", "--traffic-threads", "0"], "must be at least 1"),
        (vec!["--data", "/tmp/x", "--callers", "127.0.0.1:8081"], "three different ports"),
    ] {
        let output = run(&args);
        let shown = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{args:?}: {shown}");
        assert!(shown.contains(what), "{args:?}: {shown}");
    }
    let mut from_variable = program();
    let output = from_variable.env("YUCCALINK_NAME", "Entry One").output().expect("the program");
    let shown = String::from_utf8_lossy(&output.stderr);
    assert!(shown.contains("YUCCALINK_NAME: `Entry One`") || shown.contains("--name"), "{shown}");
}

#[test]
fn help_lists_every_setting() {
    let long = String::from_utf8(run(&["--help"]).stdout).expect("text");
    let short = String::from_utf8(run(&["-h"]).stdout).expect("text");
    for flag in ["--name", "--zone", "--data", "--voters", "--callers", "--control", "--peer"] {
        assert!(long.contains(flag) && short.contains(flag), "{flag}");
    }
    assert!(long.len() > short.len());
    assert!(run(&["--version"]).status.success());
}

#[test]
fn a_folder_in_use_and_a_taken_port_have_different_errors() {
    let folder = tempfile::tempdir().expect("a folder");
    let running = Running::start(folder.path());
    let any = "127.0.0.1:0";
    let path = folder.path().to_str().expect("a path");
    let output = run(&["--callers", any, "--control", any, "--peer", any, "--data", path]);
    let shown = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(3), "{shown}");
    assert!(shown.contains("is in use by another daemon"), "{shown}");
    let taken = running.callers.to_string();
    let output = run(&["--callers", &taken, "--control", any, "--peer", any, "--data", path]);
    let shown = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{shown}");
    assert!(shown.contains("choose another with --callers"), "{shown}");
}

#[test]
fn sigterm_and_sigint_stop_the_daemon_with_code_0() {
    let folder = tempfile::tempdir().expect("a folder");
    for signal in ["-TERM", "-INT"] {
        let mut running = Running::start(folder.path());
        running.signal(signal);
        assert_eq!(running.exit_code(), Some(0), "{signal}");
    }
}

/// The daemon is killed repeatedly while new versions of a document are applied. After each
/// restart, it must have the last acknowledged version or a later one.
#[test]
fn kill_9_at_any_moment_loses_nothing_acknowledged() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut acknowledged = 0;
    let mut version = 0;
    for round in 0..6u64 {
        let running = Running::start(folder.path());
        let reply = Caller::new(running.control).get("/v1/services/quotes").expect("an answer");
        if acknowledged > 0 {
            let found: serde_json::Value = serde_json::from_slice(&reply.body).expect("json");
            let found = found["version"].as_u64().expect("a version");
            assert!(found >= acknowledged, "round {round}: {found} after {acknowledged}");
            version = version.max(found);
        }
        let pid = running.child.id().to_string();
        let killer = std::thread::spawn(move || {
            // The delay depends on the round: some kills come early, some after many changes.
            std::thread::park_timeout(Duration::from_millis(3 + round * 17));
            let _ = Command::new("kill").args(["-9", &pid]).status();
        });
        let started = Instant::now();
        loop {
            version += 1;
            match running.apply(version) {
                Some(_) => acknowledged = version,
                None => break,
            }
            assert!(started.elapsed() < Duration::from_secs(60), "it was never killed");
        }
        killer.join().expect("the killer");
    }
    assert!(acknowledged > 0);
}

/// After SIGTERM during a long request, the process must run until the caller has the whole
/// response, and then exit with code 0.
#[test]
fn sigterm_waits_for_the_request_in_flight() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut running = Running::start(folder.path());
    assert!(running.apply(1).is_some());
    let (mut runner, caller) = running.with_runner();
    let served = runner.served();
    let slow = caller.header("fake-delay-ms", "4500");
    let in_flight = std::thread::spawn(move || slow.post("/quotes/invoices", b"one net"));
    wait_until(Duration::from_secs(60), "the request at the runner", || {
        (runner.served() > served).then_some(())
    });
    running.signal("-TERM");
    let reply = in_flight.join().expect("a caller").expect("a whole answer");
    assert_eq!((reply.status, reply.text().as_str()), (200, "one net"));
    assert_eq!(running.exit_code(), Some(0));
    runner.stop();
}

/// The memory of an entry must not grow with the size of a response, here 200 MB.
#[test]
fn a_large_answer_streams_in_constant_memory() {
    let folder = tempfile::tempdir().expect("a folder");
    let running = Running::start(folder.path());
    // The whole response must pass within the deadline, also on a busy machine.
    let patient = DOCUMENT.replace("deadline = \"800ms\"", "deadline = \"60s\"");
    assert!(patient != DOCUMENT && running.apply_text(&patient).is_some());
    let (mut runner, caller) = running.with_runner();
    let peak = || -> u64 {
        let path = format!("/proc/{}/status", running.child.id());
        let status = std::fs::read_to_string(path).expect("its status");
        let line = status.lines().find(|line| line.starts_with("VmHWM")).expect("its peak");
        line.split_whitespace().nth(1).expect("a number").parse().expect("a number")
    };
    let before = peak();
    let large = caller.header("fake-size", "200000000");
    let reply = large.get("/quotes/prices/all").expect("a whole answer");
    assert_eq!(reply.body.len(), 200_000_000);
    let grown = peak() - before;
    assert!(grown < 16 * 1024, "its memory grew by {grown} KiB");
    runner.stop();
}
