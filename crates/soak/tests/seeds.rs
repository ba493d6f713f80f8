//! A short soak in every run of the tests, and seeds that once showed a fault.

use std::path::PathBuf;
use std::time::Duration;
use yuccalink_soak::{Report, Settings, run};

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

fn soak(seed: u64, seconds: u64) -> Report {
    let folder = tempfile::tempdir().expect("a folder");
    let settings = Settings {
        program: program(),
        folder: folder.path().into(),
        seed,
        nodes: 4,
        disks: 3,
        runners: 4,
        span: Duration::from_secs(seconds),
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
    let report = soak(1, 10);
    assert!(report.accepted > 0 && report.completed == report.accepted, "{report:?}");
}
