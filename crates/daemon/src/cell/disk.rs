//! Passes disk tasks of a replica to its disk thread.

use crate::cell::node::SharedNode;
use crate::journal::{DiskEvent, Journal};
use yuccalink_coordination::raft::LogWrite;
use yuccalink_coordination::store_health::RETRY_INTERVAL;

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

/// What the disk thread does next.
pub(crate) enum DiskStep {
    Perform(DiskTask),
    /// Repeats what found no room, after a pause.
    RetryLater,
    /// Waits for the next task.
    Wait,
}

/// Passes tasks to the disk thread until the disk fails or the process stops. An operation that
/// finds no room is repeated until there is room.
pub(crate) async fn run(node: SharedNode, mut journal: Journal) {
    let wake = node.disk_wake();
    // Puts the reserve in place.
    journal.retry();
    let mut blocked = false;
    loop {
        match journal.next_event().await {
            Some(DiskEvent::Failed(error)) => {
                log::error!(
                    "store=failed, the process ends: {error}. Nothing that its file holds is \
                     trusted until it was read back, which the next start does; if this \
                     returns, replace the disk and start with an empty data folder"
                );
                node.handle_disk_failure();
                return node.fail(error);
            }
            Some(DiskEvent::NoSpace { error, kept }) => {
                blocked |= kept;
                node.handle_no_space(&error);
            }
            Some(event) => {
                blocked &= !matches!(event, DiskEvent::Written { .. } | DiskEvent::Installed);
                node.handle_disk_event(&event);
            }
            None => return,
        }
        loop {
            match node.next_disk_step(blocked) {
                DiskStep::Perform(task) => submit(&journal, task),
                DiskStep::RetryLater => {
                    tokio::time::sleep(RETRY_INTERVAL).await;
                    node.note_disk_retry();
                    journal.retry();
                }
                DiskStep::Wait => {
                    wake.notified().await;
                    continue;
                }
            }
            break;
        }
    }
}

fn submit(journal: &Journal, task: DiskTask) {
    match task {
        DiskTask::Write(writes) => journal.write(writes),
        DiskTask::Install { index, bytes } => journal.install(index, bytes),
        DiskTask::Compact { index, bytes } => journal.compact(index, bytes),
    }
}
