//! Passes waiting requests to the leader in this process, for a short time at once, so that the
//! messages of the other replicas are handled in between: without them the leader loses its lease.

use crate::cell::node::SharedNode;
use std::time::Duration;

/// Time for which requests are handled before other tasks run. With a number of requests instead,
/// a leader that is slow to read would read more than it handles.
const BATCH_TIME: Duration = Duration::from_millis(15);

/// Handles waiting requests until the process ends.
pub(crate) async fn run(node: SharedNode) {
    let wake = node.intake_wake();
    loop {
        match node.handle_waiting_requests(BATCH_TIME) {
            true => tokio::task::yield_now().await,
            false => wake.notified().await,
        }
    }
}
