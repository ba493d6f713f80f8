//! What the tests of the command share.

use std::path::PathBuf;

/// The daemon beside the test's program; the workspace's tests build it.
pub fn daemon() -> PathBuf {
    let mut path = std::env::current_exe().expect("this test's path");
    path.pop();
    path.pop();
    path.push("yuccalinkd");
    assert!(path.exists(), "{} is missing; run `cargo build --bins` first", path.display());
    path
}
