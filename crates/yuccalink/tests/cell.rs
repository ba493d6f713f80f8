//! Commands of `yuccalink` against a job cell of one process.

mod support;

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;
use support::daemon;
use tempfile::TempDir;
use yuccalink_fakes::Caller;

struct Cell {
    child: Child,
    folder: TempDir,
    callers: SocketAddr,
    control: SocketAddr,
    metrics: SocketAddr,
}

impl Cell {
    /// Starts a cell on a loopback address derived from the process id, so that the fixed ports
    /// are free.
    fn start() -> Self {
        Self::start_with(77, &[])
    }

    fn start_with(last: u8, more: &[&str]) -> Self {
        let number = std::process::id();
        let host = Ipv4Addr::new(127, (number >> 8) as u8 | 1, number as u8, last);
        let at = |port| SocketAddr::new(IpAddr::V4(host), port);
        let folder = tempfile::tempdir().expect("a folder");
        let child = Command::new(daemon())
            .args(["cell", "--name", "e1", "--found", "yes", "--data"])
            .arg(folder.path().join("data"))
            .args(["--peer", &at(8_082).to_string()])
            .args(["--callers", &at(8_080).to_string()])
            .args(["--control", &at(8_081).to_string()])
            .args(["--metrics", &at(9_100).to_string()])
            .args(more)
            .stdout(Stdio::null())
            .spawn()
            .expect("the daemon");
        let (callers, control, metrics) = (at(8_080), at(8_081), at(9_100));
        let cell = Self { child, folder, callers, control, metrics };
        cell.wait_until_listening();
        cell
    }

    /// Waits until the daemon accepts connections on all ports.
    fn wait_until_listening(&self) {
        const ATTEMPTS_MAX: u32 = 500;
        const PAUSE: Duration = Duration::from_millis(20);
        let accepts = |at: &SocketAddr| TcpStream::connect(at).is_ok();
        for _ in 0..ATTEMPTS_MAX {
            if [self.callers, self.control, self.metrics].iter().all(accepts) {
                return;
            }
            std::thread::sleep(PAUSE);
        }
        panic!("the daemon does not listen");
    }

    fn run(&self, to: SocketAddr, words: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_yuccalink"))
            .args(["--server", &to.to_string(), "--timeout", "10s"])
            .args(words)
            .output()
            .expect("the command")
    }

    fn run_ok(&self, to: SocketAddr, words: &[&str]) -> String {
        let output = self.run(to, words);
        let shown = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{words:?}: {shown}");
        String::from_utf8_lossy(&output.stdout).trim().into()
    }

    fn run_err(&self, to: SocketAddr, words: &[&str]) -> (Option<i32>, String) {
        let output = self.run(to, words);
        assert!(!output.status.success(), "{words:?}");
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into())
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.folder.path().join(name);
        std::fs::write(&path, text).expect("written");
        path.display().to_string()
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

const CHANGE: &str = r#"{"version":3,"queues":[{"name":"q","host":"duty.example",
    "prefix":"/returns/","pool":"p","timeout-ms":3000,"attempts":2}],"pools":[{"name":"p"}]}"#;
const JOB: &str = r#"{"payload":"text","steps":[{"count":2,
    "need":{"millicores":500,"memory-mib":64},"estimate-ms":900}]}"#;
const QUEUE: [&str; 2] = ["--queue", "duty.example/returns/"];
const ID: &str = "5c0e7a21d94b36f8";

#[test]
fn a_job_is_submitted_read_and_cancelled() {
    let cell = Cell::start();
    let change = cell.file("change.json", CHANGE);
    let job = cell.file("job.json", JOB);
    assert_eq!(cell.run_ok(cell.control, &["change", "apply", &change]), "in force");
    assert_eq!(cell.run_ok(cell.control, &["change", "get"]), CHANGE);
    let submit = ["job", "submit", &job, "--id", ID, QUEUE[0], QUEUE[1]];
    assert_eq!(cell.run_ok(cell.callers, &submit), "accepted");
    assert_eq!(cell.run_ok(cell.callers, &submit), "accepted", "the same number again");
    let get = ["job", "get", ID, QUEUE[0], QUEUE[1]];
    assert_eq!(cell.run_ok(cell.callers, &get), r#"{"state":"queued"}"#);
    let pending = ["job", "pending", QUEUE[0], QUEUE[1]];
    assert_eq!(cell.run_ok(cell.callers, &pending), r#"{"pending":1}"#);
    let cancel = ["job", "cancel", ID, QUEUE[0], QUEUE[1]];
    assert_eq!(cell.run_ok(cell.callers, &cancel), "cancelled");
    assert_eq!(cell.run_ok(cell.callers, &get), r#"{"state":"cancelled"}"#);
    let metrics = Caller::new(cell.metrics).get("/metrics").expect("the metrics");
    let metrics = String::from_utf8_lossy(&metrics.body);
    let shown = [
        "yuccalink_cancels{outcome=\"cancelled\"} 1\n",
        "yuccalink_cancels{outcome=\"unknown\"} 0\n",
        "yuccalink_cancelled_jobs_with_runs 0\n",
        "yuccalink_cancelled_runs_ended_ms_count 0\n",
    ];
    assert!(shown.iter().all(|line| metrics.contains(line)), "{metrics}");

    let (code, message) =
        cell.run_err(cell.callers, &["job", "get", "00000000000000aa", QUEUE[0], QUEUE[1]]);
    assert_eq!(code, Some(1));
    assert!(message.contains("no such job"), "{message}");
    let (_, message) = cell.run_err(cell.callers, &["job", "get", ID, "--queue", "other.example/"]);
    assert!(message.contains("no such queue"), "{message}");
    let (code, message) = cell.run_err(cell.callers, &["job", "get", "7", QUEUE[0], QUEUE[1]]);
    assert_eq!(code, Some(2));
    assert!(message.contains("16 of 0-9 and a-f"), "{message}");
    let broken = cell.file("broken.json", &CHANGE.replace("\"pool\":\"p\"", "\"pool\":\"x\""));
    let newer = std::fs::read_to_string(&broken).expect("read").replace(":3,", ":4,");
    let broken = cell.file("broken.json", &newer);
    let (_, message) = cell.run_err(cell.control, &["change", "apply", &broken]);
    assert!(message.contains("names pool x, which is not among the pools"), "{message}");
}

/// The lines of one job from the logs of two VMs are printed in order of time. For a job that
/// is in no log, the error message says which logs to give.
#[test]
fn log_lines_of_a_job_are_printed_in_order_of_time() {
    let folder = tempfile::tempdir().expect("a folder");
    let (first, second) = (folder.path().join("e1.log"), folder.path().join("e2.log"));
    let id = "5c0e7a21d94b36f8";
    std::fs::write(
        &first,
        format!(
            "[2026-01-02T03:04:06.5Z INFO  cell] end task={id}.0.0.0 run=1 runner=w1 how=Failed\n\
             [2026-01-02T03:04:05.0Z INFO  cell] job={id} accepted queue=q steps=[1x1m]\n\
             [2026-01-02T03:04:05.1Z INFO  cell] job=0000000000000007 accepted queue=q\n"
        ),
    )
    .expect("a log");
    std::fs::write(
        &second,
        format!("[2026-01-02T03:04:09.0Z INFO  cell] job={id} ended state=Failed after=4s\n"),
    )
    .expect("a log");
    let why = |id: &str| {
        Command::new(env!("CARGO_BIN_EXE_yuccalink"))
            .args(["why", id])
            .args([&first, &second])
            .output()
            .expect("the command")
    };
    let output = why(id);
    let text = String::from_utf8_lossy(&output.stdout);
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 4, "{text}");
    assert!(lines[0].contains("accepted") && lines[1].contains("how=Failed"), "{text}");
    assert!(lines[3].contains("ended state=Failed") && lines[3].contains("Failed 1"), "{text}");
    let unknown = why("00000000000000ff");
    assert_eq!(unknown.status.code(), Some(1));
    let shown = String::from_utf8_lossy(&unknown.stderr);
    assert!(shown.contains("give the logs of all VMs"), "{shown}");
}

/// Guards against a job that runs on after its cancellation and that `why` shows as cancelled only.
#[test]
fn a_cancelled_job_is_explained_with_its_runs_that_have_no_end() {
    let folder = tempfile::tempdir().expect("a folder");
    let log = folder.path().join("e1.log");
    let id = "5c0e7a21d94b36f8";
    let line =
        |second: u32, text: &str| format!("[2026-01-02T03:04:{second:02}.0Z INFO  cell] {text}\n");
    let lines = [
        line(1, &format!("job={id} cancel queue=q found=unknown own-queue=none response=gone")),
        line(2, &format!("job={id} accepted queue=q steps=[3x1m]")),
        line(3, &format!("start task={id}.0.0.0 run=1 runner=w1 rack=r resumes=false report=1")),
        line(3, &format!("start task={id}.0.0.1 run=1 runner=w2 rack=r resumes=false report=1")),
        line(3, &format!("start task={id}.0.0.2 run=1 runner=w3 rack=r resumes=false report=1")),
        line(4, &format!("job={id} cancelled queue=q found=running runs=3 index=7 response=ok")),
        line(5, &format!("stop task={id}.0.0.0 run=1 runner=w1 why=cancelled")),
        line(5, &format!("stop task={id}.0.0.1 run=1 runner=w2 why=cancelled")),
        line(6, &format!("end task={id}.0.0.0 run=1 runner=w1 how=Stopped")),
        line(7, &format!("late stop task={id}.0.0.1 run=1 runner=w2 after=3000ms")),
    ];
    std::fs::write(&log, lines.concat()).expect("a log");
    let why = |json: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_yuccalink"));
        let output = command.args(["why", id]).arg(&log).args(json).output().expect("the command");
        String::from_utf8_lossy(&output.stdout).into_owned()
    };
    let text = why(&[]);
    let state = text.lines().nth(lines.len()).unwrap_or_default();
    assert!(state.contains("cancelled queue=q") && state.contains("Stopped 1"), "{text}");
    let summary: Vec<&str> = text.lines().skip(lines.len() + 1).collect();
    assert_eq!(summary.len(), 4, "{text}");
    assert!(summary[0].ends_with("cancelled at 2026-01-02T03:04:04.0Z"), "{text}");
    assert!(summary[1].ends_with("found unknown, answered gone"), "{text}");
    assert!(summary[2].contains("run 1 on w2") && summary[2].ends_with("04:05.0Z"), "{text}");
    assert!(summary[3].contains("run 1 on w3") && summary[3].ends_with("never"), "{text}");
    let json: serde_json::Value = serde_json::from_str(&why(&["--json"])).expect("JSON");
    assert_eq!(json["cancelled"], "2026-01-02T03:04:04.0Z");
    assert_eq!(json["cancelled_runs_ended_after"], serde_json::Value::Null);
    assert_eq!(json["not_ended"].as_array().map(Vec::len), Some(2));
}

/// `status` shows the settings that the policy file changes, and `status --json` the whole
/// policy.
#[test]
fn status_shows_the_policy_of_a_cell() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("policy.toml");
    std::fs::write(&path, "[copies]\nmode = \"off\"\n").expect("written");
    let cell = Cell::start_with(78, &["--policy", &path.display().to_string()]);
    let shown = cell.run_ok(cell.control, &["status"]);
    assert!(shown.contains("copies.mode=off") && shown.contains("e1"), "{shown}");
    let json = cell.run_ok(cell.control, &["status", "--json"]);
    let status: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    assert_eq!(status["policy"]["copies"]["mode"], "off");
    assert_eq!(status["policy"]["pacing"]["mode"], "on");
    assert_eq!(status["blocked-runners"], serde_json::json!([]));
}

#[test]
fn a_zone_is_evacuated_listed_and_restored() {
    let cell = Cell::start_with(79, &[]);
    let text = cell.run_ok(cell.control, &["zone", "evacuate", "brno a", "--empty"]);
    assert!(text.contains("evacuated, emptying"), "{text}");
    assert!(text.contains("no target has reported zone brno a"), "{text}");
    let listed = cell.run_ok(cell.control, &["zone", "list", "--json"]);
    assert!(listed.contains(r#""zone":"brno a""#) || listed.contains(r#""zone": "brno a""#));
    let status = cell.run_ok(cell.control, &["status"]);
    assert!(status.contains("brno a"), "{status}");
    let text = cell.run_ok(cell.control, &["zone", "restore", "brno a"]);
    assert!(text.contains("in use"), "{text}");
    let (code, message) = cell.run_err(cell.control, &["zone", "evacuate", ""]);
    assert_eq!(code, Some(2), "{message}");
}

/// The settings of a queue come back in its row, and one out of range is refused with the remedy.
#[test]
fn the_settings_of_a_queue_are_applied_and_listed() {
    let cell = Cell::start_with(80, &[]);
    let file = cell.folder.path().join("change.json");
    let apply = |version: u64, weight: i64| {
        let text = format!(
            r#"{{"version":{version},"pools":[{{"name":"p"}}],"queues":[{{"name":"q","host":"h",
            "prefix":"/q/","pool":"p","timeout-ms":1000,"weight":{weight},"hold":true}}]}}"#
        );
        std::fs::write(&file, &text).expect("written");
        text
    };
    let path = file.display().to_string();
    let text = apply(1, 3);
    cell.run_ok(cell.control, &["change", "apply", &path]);
    assert_eq!(cell.run_ok(cell.control, &["change", "get"]), text);
    let listed = cell.run_ok(cell.control, &["queues", "--json"]);
    let queues: serde_json::Value = serde_json::from_str(&listed).expect("JSON");
    assert_eq!((&queues[0]["weight"], &queues[0]["hold"]), (&3.into(), &true.into()));
    let shown = cell.run_ok(cell.control, &["queues"]);
    assert!(shown.contains("WHY IT WAITS"), "{shown}");
    apply(2, 0);
    let (_, message) = cell.run_err(cell.control, &["change", "apply", &path]);
    assert!(message.contains("queue q has weight 0"), "{message}");
}
