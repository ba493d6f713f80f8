//! Passes disk tasks of a replica to its disk thread.

use crate::cell::node::SharedNode;
use crate::journal::{DiskEvent, Journal};
use yuccalink_coordination::raft::LogWrite;

/// A task for the disk thread.
pub(crate) enum DiskTask {
    Write(Vec<LogWrite>),
    /// Replaces the stored state by a snapshot of the leader.
    Install {
        index: u64,
        bytes: Vec<u8>,
    },
    /// Stores a snapshot of this replica's state and removes the log segments and snapshots that
    /// it replaces.
    Compact {
        index: u64,
        bytes: Vec<u8>,
    },
}

/// Passes tasks to the disk thread until the disk fails or the process stops.
pub(crate) async fn run(node: SharedNode, mut journal: Journal) {
    let wake = node.disk_wake();
    loop {
        let task = node.with(|node| node.replica.as_mut().and_then(|r| r.next_disk_task()));
        match task {
            Some(DiskTask::Write(writes)) => journal.write(writes),
            Some(DiskTask::Install { index, bytes }) => journal.install(index, bytes),
            Some(DiskTask::Compact { index, bytes }) => journal.compact(index, bytes),
            None => {
                wake.notified().await;
                continue;
            }
        }
        match journal.next_event().await {
            Some(DiskEvent::Failed(error)) => {
                // It is unknown which writes reached the disk, so no further write may be
                // confirmed: the process ends and recovers from the disk at its next start.
                log::error!("the disk failed: {error}");
                return node.fail(error);
            }
            Some(event) => node.handle_disk_event(&event),
            None => return,
        }
    }
}
