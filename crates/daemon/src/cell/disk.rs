//! Feeds the disk thread of a replica.

use crate::cell::node::Shared;
use crate::journal::{Done, Journal};
use yuccalink_coordination::raft::Persist;

/// What the disk is to do next.
pub(crate) enum Work {
    Write(Vec<Persist>),
    Install { index: u64, bytes: Vec<u8> },
    Compact { index: u64, bytes: Vec<u8> },
}

/// Feeds the disk thread until the disk fails or the process stops.
pub(crate) async fn feed(node: Shared, mut journal: Journal) {
    let wake = node.disk_wake();
    loop {
        let work = node.with(|node| node.replica.as_mut().and_then(|r| r.next_work()));
        match work {
            Some(Work::Write(writes)) => journal.write(writes),
            Some(Work::Install { index, bytes }) => journal.install(index, bytes),
            Some(Work::Compact { index, bytes }) => journal.compact(index, bytes),
            None => {
                wake.notified().await;
                continue;
            }
        }
        match journal.done().await {
            Some(Done::Failed(error)) => {
                // What reached the disk is not known, so nothing more may be
                // promised: the process ends, and recovers from the disk.
                log::error!("the disk failed: {error}");
                return node.fail(error);
            }
            Some(done) => node.disk_did(&done),
            None => return,
        }
    }
}
