//! The operator's commands at an entry without a disk whose link to the leader is slow.

mod support;

use std::path::Path;
use support::Cell;

/// What the slow link carries, in bytes a second and direction: a fifth of 2 Mbit/s, so
/// that no speed of the machine decides whether a large body passes within a second.
const BYTES_PER_SECOND: u64 = 50_000;

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
    let cell = Cell::start_with_slow_link(100, BYTES_PER_SECOND);
    for (version, size) in [(1, 400), (2, 12_000), (3, 120_000), (4, 800_000)] {
        let text = change(version, size);
        let file = write(cell.folder.path(), &text);
        assert_eq!(cell.run_ok(1, &["change", "apply", &file]), "in force");
        assert!(cell.run_ok(2, &["change", "get"]) == text, "version {version} is another text");
    }
}

/// A large change set sent to an entry that does not lead was answered with a redirect that the command did not follow.
#[test]
fn a_change_set_of_any_size_is_applied_through_a_slow_link() {
    let cell = Cell::start_with_slow_link(110, BYTES_PER_SECOND);
    for (version, size) in [(1, 400), (2, 120_000), (3, 800_000)] {
        let text = change(version, size);
        let file = write(cell.folder.path(), &text);
        assert_eq!(cell.run_ok(2, &["change", "apply", &file]), "in force");
        assert!(cell.run_ok(1, &["change", "get"]) == text, "version {version} is another text");
    }
}
