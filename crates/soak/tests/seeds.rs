//! A short soak in every run of the tests, and seeds that once showed a fault.

use std::path::PathBuf;
use std::time::Duration;
use yuccalink_soak::{SoakReport, SoakSettings, run};

/// The program is built by the workspace's tests; where only this package is tested
/// it must be built before: `cargo build --bins`.
fn program() -> PathBuf {
    let mut path = std::env::current_exe().expect("this test's path");
    path.pop();
    path.pop();
    path.push("yuccalinkd");
    assert!(path.exists(), "{} is missing; run `cargo build --bins` first", path.display());
    path
}

fn soak(seed: u64, seconds: u64, nodes: usize, runners: usize) -> SoakReport {
    soak_with(seed, seconds, nodes, runners, false)
}

fn soak_with(seed: u64, seconds: u64, nodes: usize, runners: usize, crashes: bool) -> SoakReport {
    let folder = tempfile::tempdir().expect("a folder");
    let settings = SoakSettings {
        program: program(),
        folder: folder.path().into(),
        seed,
        nodes,
        disks: 3,
        runners,
        span: Duration::from_secs(seconds),
        crashes,
    };
    let report = run(&settings).expect("it runs");
    if !report.broken.is_empty() {
        let kept = folder.keep();
        panic!("seed {seed}, logs in {}: {:#?}", kept.display(), report.broken);
    }
    report
}

#[test]
fn a_short_soak_breaks_no_promise() {
    let report = soak(1, 10, 4, 4);
    assert!(report.accepted > 0 && report.completed == report.accepted, "{report:?}");
}

/// Tasks that crash their runners were started again without end, by every process in turn.
#[test]
fn tasks_that_crash_their_runners_are_given_up_by_every_process() {
    let report = soak_with(11, 12, 4, 10, true);
    assert!(report.given_up > 0, "{report:?}");
    assert_eq!(report.completed + report.given_up, report.accepted, "{report:?}");
}

/// A process that was asked to stop has just ended when the next fault strikes, 1.16 s
/// later. The soak took its end for one of its own, in three plays of four: the check of
/// processes that fall looked before the check of those that stop.
#[test]
fn a_stop_that_was_asked_for_is_no_fall() {
    soak(2034, 12, 5, 8);
}

/// After the final fault a change set of 350 KB could never be read at a process behind a link of 2 Mbit/s.
#[test]
fn a_change_is_read_back_at_every_process_after_the_final_fault() {
    for seed in [2, 3, 5] {
        let report = soak(seed, 5, 5, 4);
        assert_eq!(report.read_back.len(), 5, "seed {seed}");
    }
}
