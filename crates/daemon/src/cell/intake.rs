//! Passes waiting requests to the leader in this process, a few at a time, so that the messages
//! of the other replicas are handled in between: without them the leader loses its lease.

use crate::cell::node::SharedNode;

/// Requests handled before other tasks run.
const BATCH_MAX: usize = 8;

/// Handles waiting requests until the process ends.
pub(crate) async fn run(node: SharedNode) {
    let wake = node.intake_wake();
    loop {
        match node.handle_waiting_requests(BATCH_MAX) {
            true => tokio::task::yield_now().await,
            false => wake.notified().await,
        }
    }
}
