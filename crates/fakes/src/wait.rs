//! Waiting for something that other threads or processes bring about.

use std::thread;
use std::time::{Duration, Instant};
use yuccalink_state::id::Name;

/// How often a wait looks again.
const LOOK: Duration = Duration::from_millis(5);

/// Waits until `found` gives something. `limit` only ends a test that has failed;
/// no verdict depends on how long the wait was.
///
/// # Panics
/// When nothing came within `limit`.
pub fn wait_until<T, F>(limit: Duration, what: &str, mut found: F) -> T
where
    F: FnMut() -> Option<T>,
{
    let started = Instant::now();
    loop {
        if let Some(value) = found() {
            return value;
        }
        assert!(started.elapsed() < limit, "never came: {what}");
        thread::park_timeout(LOOK);
    }
}

/// A name that the test knows to be good.
///
/// # Panics
/// When it is not.
pub fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}
