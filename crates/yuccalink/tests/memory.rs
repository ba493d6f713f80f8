//! Memory of the processes of a job cell, by the jobs that they hold.

mod support;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use support::daemon;
use yuccalink_fakes::wait;

/// A log of an earlier release: a change set, and 13 jobs of 64 steps of 4,096 tasks.
const WIDE_JOBS: &str = "tests/data/wide_jobs";
const MEMORY_MIB: u64 = 64;
const TIMEOUT: Duration = Duration::from_secs(30);

/// A process that is killed when the test ends.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    /// Most memory that the process had resident, in MiB.
    fn peak_mib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.0.id()));
        let status = status.expect("a running process");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kib.expect("its resident memory") / 1_024
    }
}

fn copy_folder(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).expect("a folder");
    for entry in std::fs::read_dir(from).expect("the folder") {
        let path = entry.expect("an entry").path();
        let name = path.file_name().expect("a name");
        std::fs::copy(&path, to.join(name)).expect("a copy");
    }
}

/// Guards against a process that exceeds its memory again after each start, by the jobs that an
/// earlier release accepted.
#[test]
fn a_process_with_the_log_of_many_wide_jobs_starts_within_its_memory() {
    let folder = tempfile::tempdir().expect("a folder");
    let data = folder.path().join("data");
    copy_folder(&Path::new(env!("CARGO_MANIFEST_DIR")).join(WIDE_JOBS), &data);
    let number = std::process::id();
    let host = Ipv4Addr::new(127, (number >> 8) as u8 | 1, number as u8, 211);
    let at = |port| SocketAddr::new(IpAddr::V4(host), port);
    let child = Command::new(daemon())
        .args(["cell", "--memory-mb", &MEMORY_MIB.to_string()])
        .args(["--peer", &at(8_082).to_string(), "--callers", &at(8_080).to_string()])
        .args(["--control", &at(8_081).to_string()])
        .arg("--data")
        .arg(&data)
        .stdout(Stdio::null())
        .spawn()
        .expect("the daemon");
    let process = Process(child);
    for id in 1..=13 {
        wait::wait_until(TIMEOUT, "the state of a job", || {
            let state = Command::new(env!("CARGO_BIN_EXE_yuccalink"))
                .args(["--server", &at(8_080).to_string(), "job", "get", &format!("{id:016x}")])
                .args(["--queue", "duty.example/returns/"])
                .output();
            state.is_ok_and(|state| state.status.success()).then_some(())
        });
    }
    let peak = process.peak_mib();
    assert!(peak < MEMORY_MIB, "{peak} MiB");
}

/// Guards against a process that takes no work because its memory is set far too low.
#[test]
fn a_process_with_too_little_memory_does_not_start() {
    let output = Command::new(daemon())
        .args(["cell", "--callers", "127.0.0.1:0", "--seeds", "127.0.0.1:1"])
        .args(["--memory-mb", "31"])
        .output()
        .expect("the daemon");
    assert_eq!(output.status.code(), Some(2));
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(stderr.contains("memory-mb"), "{stderr}");
}
