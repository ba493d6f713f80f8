//! Polling for conditions that other threads or processes cause.

use std::thread;
use std::time::{Duration, Instant};
use yuccalink_state::id::Name;

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Polls `found` until it returns a value. `limit` only ends a test that hangs; no test
/// result depends on how long the wait took.
///
/// # Panics
/// If `found` returns no value within `limit`.
pub fn wait_until<T, F>(limit: Duration, what: &str, mut found: F) -> T
where
    F: FnMut() -> Option<T>,
{
    let started = Instant::now();
    loop {
        if let Some(value) = found() {
            return value;
        }
        assert!(started.elapsed() < limit, "timed out waiting for: {what}");
        thread::park_timeout(POLL_INTERVAL);
    }
}

/// Parses a name that is known to be valid.
///
/// # Panics
/// If `text` is not a valid name.
pub fn name(text: &str) -> Name {
    Name::new(text).expect("a valid name")
}
