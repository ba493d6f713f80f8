//! Feeds the disk thread of a replica.

use crate::cell::node::SharedNode;
use crate::journal::{DiskEvent, Journal};
use yuccalink_coordination::raft::LogWrite;

/// What the disk is to do next.
pub(crate) enum DiskTask {
    Write(Vec<LogWrite>),
    Install { index: u64, bytes: Vec<u8> },
    Compact { index: u64, bytes: Vec<u8> },
}

/// Feeds the disk thread until the disk fails or the process stops.
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
        match journal.done().await {
            Some(DiskEvent::Failed(error)) => {
                // What reached the disk is not known, so nothing more may be
                // promised: the process ends, and recovers from the disk.
                log::error!("the disk failed: {error}");
                return node.fail(error);
            }
            Some(event) => node.handle_disk_event(&event),
            None => return,
        }
    }
}
