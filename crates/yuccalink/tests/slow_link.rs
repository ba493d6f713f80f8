//! Commands of `yuccalink` through an entry without a disk, over a slow link to the leader.

mod support;

use std::path::Path;
use support::Cell;

/// Bytes per second and direction over the slow link: a fifth of 2 Mbit/s. Whether a large body
/// passes within a second then does not depend on the speed of the machine.
const BYTES_PER_SECOND: u64 = 50_000;

/// Returns a change set of at least `size` bytes.
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

/// A change set that took longer over the link than the time limit of one attempt could never
/// be read at this entry.
#[test]
fn a_change_set_of_any_size_is_read_back_through_a_slow_link() {
    let cell = Cell::start_with_slow_link(100, BYTES_PER_SECOND);
    for (version, size) in [(1, 400), (2, 12_000), (3, 120_000), (4, 800_000)] {
        let text = change(version, size);
        let file = write(cell.folder.path(), &text);
        assert_eq!(cell.run_ok(1, &["change", "apply", &file]), "in force");
        assert!(
            cell.run_ok(2, &["change", "get"]) == text,
            "version {version} differs from the applied text"
        );
    }
}

/// An entry that does not lead answered a large change set with a redirect, which the command
/// did not follow.
#[test]
fn a_change_set_of_any_size_is_applied_through_a_slow_link() {
    let cell = Cell::start_with_slow_link(110, BYTES_PER_SECOND);
    for (version, size) in [(1, 400), (2, 120_000), (3, 800_000)] {
        let text = change(version, size);
        let file = write(cell.folder.path(), &text);
        assert_eq!(cell.run_ok(2, &["change", "apply", &file]), "in force");
        assert!(
            cell.run_ok(1, &["change", "get"]) == text,
            "version {version} differs from the applied text"
        );
    }
}
