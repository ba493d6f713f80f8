//! Passes waiting requests to the leader in this process, for a short time at once, so that the
//! messages of the other replicas are handled in between: without them the leader loses its lease.

use crate::cell::node::SharedNode;

/// Handles waiting requests until the process ends.
pub(crate) async fn run(node: SharedNode) {
    let wake = node.intake_wake();
    loop {
        match node.handle_waiting_requests() {
            true => tokio::task::yield_now().await,
            false => wake.notified().await,
        }
    }
}
