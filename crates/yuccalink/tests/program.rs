//! The program `yuccalink`: usage, exit codes and output, without a daemon and with one.

use std::io::Write;
use std::net::SocketAddr;
use std::process::{Command, Output, Stdio};
use yuccalink_daemon::{Config, Daemon};

const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/quotes.toml");

fn run(server: Option<SocketAddr>, args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_yuccalink"));
    command.env_clear().stdin(Stdio::null()).env("YUCCALINK_AUTHOR", "anna");
    if let Some(server) = server {
        command.env("YUCCALINK_SERVER", server.to_string());
    }
    command.args(args).output().expect("the program")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn wrong_usage_ends_with_code_2() {
    for (args, what) in [
        (vec!["fly"], "there is no command `fly`"),
        (vec!["apply"], "too many or too few words"),
        (vec!["task", "eat"], "write task submit"),
        (vec!["task", "cancel", "x"], "`x` is no task"),
        (vec!["status", "--colour"], "invalid option"),
        (vec!["status", "--server", "here"], "no IP:PORT"),
        (vec!["status", "--timeout", "5"], "--timeout"),
        (vec!["completions", "ed"], "write bash, zsh or fish"),
    ] {
        let output = run(None, &args);
        assert_eq!(output.status.code(), Some(2), "{args:?}: {}", stderr(&output));
        assert!(stderr(&output).contains(what), "{args:?}: {}", stderr(&output));
    }
}

#[test]
fn check_needs_no_daemon_and_reports_all_faults() {
    let good = run(None, &["check", EXAMPLE]);
    assert!(good.status.success() && stdout(&good).contains("quotes version 1 is good"));
    let mut file = tempfile::NamedTempFile::new().expect("a file");
    file.write_all(b"service = 'q'\nversion = 0\n").expect("written");
    let path = file.path().to_str().expect("a path");
    let bad = run(None, &["check", path]);
    assert_eq!(bad.status.code(), Some(3));
    assert!(stderr(&bad).contains("team") && stderr(&bad).contains("line 2, column 11: version"));
    assert_eq!(run(None, &["check", "/nowhere"]).status.code(), Some(1));
}

#[test]
fn help_and_completions_are_printed() {
    assert!(stdout(&run(None, &["--help"])).contains("Exit codes"));
    assert!(!stdout(&run(None, &["-h"])).contains("Exit codes"));
    for shell in ["bash", "zsh", "fish"] {
        assert!(stdout(&run(None, &["completions", shell])).contains("yuccalink"), "{shell}");
    }
}

#[test]
fn an_unreachable_server_ends_with_code_5() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = taken.local_addr().expect("an address");
    drop(taken);
    let output = run(Some(address), &["status", "--timeout", "300ms"]);
    assert_eq!(output.status.code(), Some(5), "{}", stderr(&output));
    assert!(stderr(&output).contains("no daemon answers at 127.0.0.1"));
}

/// A reader such as `head` that closes the pipe early must not cause an error message.
#[test]
fn a_broken_pipe_is_no_error() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_yuccalink"))
        .arg("--help")
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program");
    drop(child.stdout.take());
    let output = child.wait_with_output().expect("its end");
    assert!(output.status.success() && output.stderr.is_empty(), "{}", stderr(&output));
}

#[test]
fn every_command_works_against_a_daemon() {
    let folder = tempfile::tempdir().expect("a folder");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let config = Config::builder().name("e1").data(folder.path()).callers(any).control(any);
    let daemon = Daemon::start(config.peer(any).build().expect("settings")).expect("a daemon");
    let server = Some(daemon.control());
    let applied = run(server, &["apply", EXAMPLE]);
    assert!(applied.status.success(), "{}", stderr(&applied));
    assert_eq!(stdout(&applied), "quotes version 1 accepted as revision 1, in force everywhere\n");
    let again = run(server, &["--json", "apply", EXAMPLE]);
    assert!(stdout(&again).contains("\"resent\": true"), "{}", stdout(&again));
    assert!(run(server, &["diff", EXAMPLE]).status.success());
    let changed = folder.path().join("changed.toml");
    let text =
        std::fs::read_to_string(EXAMPLE).expect("the example").replace("worth = 40", "worth = 50");
    std::fs::write(&changed, text).expect("written");
    let changed = changed.to_str().expect("a path");
    let diff = run(server, &["diff", changed]);
    assert_eq!(diff.status.code(), Some(7));
    assert!(stdout(&diff).contains("-worth = 40\n+worth = 50"), "{}", stdout(&diff));
    let conflict = run(server, &["apply", changed]);
    assert_eq!(conflict.status.code(), Some(4));
    assert!(stderr(&conflict).contains("version 1 by anna is in force"), "{}", stderr(&conflict));
    assert!(stdout(&run(server, &["list"])).contains("quotes   vlecna-sit  1"));
    assert!(stdout(&run(server, &["get", "quotes"])).contains("service = \"quotes\""));
    assert_eq!(run(server, &["get", "nets"]).status.code(), Some(1));
    let tasks = run(server, &["task", "submit", "quotes", "cut-plan", "-n", "3", "--key", "k"]);
    assert_eq!(stdout(&tasks), "t1 to t3\n");
    let tasks = run(server, &["task", "submit", "quotes", "cut-plan", "-n", "3", "--key", "k"]);
    assert_eq!(stdout(&tasks), "t1 to t3 (submitted before)\n");
    assert!(
        stdout(&run(server, &["task", "cancel", "t1-t2"])).contains("t2 cancelled; it had not run")
    );
    let list = stdout(&run(server, &["task", "list", "--phase", "waiting"]));
    assert!(list.contains("t3") && !list.contains("t2"), "{list}");
    assert!(stdout(&run(server, &["task", "show", "t1"])).contains("cancelled"));
    assert!(stdout(&run(server, &["status"])).contains("e1 leads; revision 1"));
    let saved = folder.path().join("saved");
    let saved = saved.to_str().expect("a path");
    let save = run(server, &["snapshot", "save", saved]);
    assert!(stdout(&save).contains("1 services, 3 tasks"), "{}{}", stdout(&save), stderr(&save));
    assert!(run(None, &["snapshot", "verify", saved]).status.success());
    let used = folder.path().to_str().expect("a path");
    let place = ["--name", "e1", "--address", "127.0.0.1:1", "--data", used];
    let full = run(None, &[["snapshot", "restore", saved].as_slice(), &place].concat());
    assert_eq!(full.status.code(), Some(8));
    assert!(stderr(&full).contains("is not empty"), "{}", stderr(&full));
    let mut bytes = std::fs::read(saved).expect("the file");
    bytes[30] ^= 1;
    std::fs::write(saved, bytes).expect("written");
    assert_eq!(run(None, &["snapshot", "verify", saved]).status.code(), Some(8));
    assert!(run(server, &["targets"]).status.success());
    assert!(run(server, &["decisions"]).status.success());
    daemon.kill();
}

/// `losses` prints a table and JSON and draws a plot from log files, without a daemon.
#[test]
fn losses_are_printed_and_drawn() {
    let folder = tempfile::tempdir().expect("a folder");
    let at = |name: &str| folder.path().join(name).display().to_string();
    let log = "[2030-01-01T10:00:01.0Z INFO a] job=0a accepted queue=q steps=[1x1000m/1M/900ms]\n\
               [2030-01-01T10:00:09.0Z INFO a] job=0a ended state=Completed after=8s objective=2s \
               held-up=former:0,room:6000 failures=0\n";
    std::fs::write(at("e1.log"), log).expect("written");
    let shown = run(None, &["losses", "--plot", &at("lost.svg"), &at("e1.log")]);
    assert!(shown.status.success(), "{}", stderr(&shown));
    assert!(
        stdout(&shown).contains("room") && stdout(&shown).contains("100.0%"),
        "{}",
        stdout(&shown)
    );
    let picture = std::fs::read_to_string(at("lost.svg")).expect("a picture");
    assert!(picture.starts_with("<svg") && picture.contains("room"));
    let json = run(None, &["losses", "--json", &at("e1.log")]);
    assert!(stdout(&json).contains("\"windows\""), "{}", stdout(&json));
    let unknown = run(None, &["losses", &at("none.log")]);
    assert!(
        !unknown.status.success() && stderr(&unknown).contains("none.log"),
        "{}",
        stderr(&unknown)
    );
    std::fs::write(at("empty.log"), "nothing\n").expect("written");
    let empty = run(None, &["losses", &at("empty.log")]);
    assert!(stderr(&empty).contains("give the logs of all VMs"), "{}", stderr(&empty));
}
