//! The disk thread: writes and syncs without blocking the control thread. All writes that
//! arrive during one sync share the next one.

use crate::error::{Error, Result};
use std::collections::VecDeque;
use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::{self, JoinHandle};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use yuccalink_coordination::raft::{HardState, LogEntry, LogWrite, Payload, ReplicaId};
use yuccalink_state::Store;
use yuccalink_state::log::{LogCounters, LogFrame, Record, TermAndVote};
use yuccalink_state::snapshot::Replicated;
use yuccalink_state::store::Recovered;

enum DiskOperation {
    Write(Vec<LogWrite>),
    Compact {
        index: u64,
        bytes: Vec<u8>,
    },
    Install {
        index: u64,
        bytes: Vec<u8>,
    },
    /// Repeats the operation that found no room; if there is none, puts the reserve in place.
    Retry,
}

/// An operation that found no room and is kept until it is repeated.
enum BlockedOperation {
    Write { seq: u64, frames: VecDeque<LogFrame> },
    Install { index: u64, bytes: Vec<u8> },
}

/// Completion of an operation of the disk thread.
#[derive(Debug)]
pub(crate) enum DiskEvent {
    /// All writes up to this sequence number are durable.
    Written { seq: u64, counts: LogCounters },
    /// The snapshot of this record is stored and the log compacted.
    Compacted { index: u64 },
    /// The snapshot from the leader is stored.
    Installed,
    /// The reserve is in place.
    ReserveFilled,
    /// There was no room. A write or an installation is kept for [`Journal::retry`]; a compaction
    /// is not.
    NoSpace { error: yuccalink_state::Error, kept: bool },
    /// The disk failed; it is unknown which writes reached it.
    Failed(yuccalink_state::Error),
}

/// Handle of the disk thread.
pub(crate) struct Journal {
    operations: Sender<DiskOperation>,
    done: UnboundedReceiver<DiskEvent>,
    thread: JoinHandle<()>,
}

impl Journal {
    /// Opens the data folder and starts the disk thread.
    pub(crate) fn open<S>(folder: &Path, draw: u64) -> Result<(Self, Recovered<S>)>
    where
        S: Replicated,
    {
        let (store, recovered) = Store::open_as(folder, draw)?;
        let (operations, rx) = channel();
        let (tx, done) = unbounded_channel();
        let thread = thread::Builder::new()
            .name("journal".into())
            .spawn(move || run(store, &rx, &tx))
            .map_err(Error::Thread)?;
        Ok((Self { operations, done, thread }, recovered))
    }

    pub(crate) fn write(&self, writes: Vec<LogWrite>) {
        let _ = self.operations.send(DiskOperation::Write(writes));
    }

    pub(crate) fn compact(&self, index: u64, bytes: Vec<u8>) {
        let _ = self.operations.send(DiskOperation::Compact { index, bytes });
    }

    pub(crate) fn install(&self, index: u64, bytes: Vec<u8>) {
        let _ = self.operations.send(DiskOperation::Install { index, bytes });
    }

    /// Repeats the operation that found no room; if there is none, puts the reserve in place.
    pub(crate) fn retry(&self) {
        let _ = self.operations.send(DiskOperation::Retry);
    }

    /// Waits for the next finished operation; `None` when the thread has ended.
    pub(crate) async fn next_event(&mut self) -> Option<DiskEvent> {
        self.done.recv().await
    }

    /// Finishes the queued operations, ends the thread and releases the folder.
    pub(crate) fn close(self) {
        drop(self.operations);
        let _ = self.thread.join();
    }
}

fn run(mut store: Store, operations: &Receiver<DiskOperation>, done: &UnboundedSender<DiskEvent>) {
    let mut blocked = None;
    while let Ok(operation) = operations.recv() {
        let result = perform(&mut store, operation, &mut blocked);
        let event = result.unwrap_or_else(|error| match error {
            yuccalink_state::Error::NoSpace { .. } => {
                DiskEvent::NoSpace { error, kept: blocked.is_some() }
            }
            _ => DiskEvent::Failed(error),
        });
        let failed = matches!(event, DiskEvent::Failed(_));
        if done.send(event).is_err() || failed {
            return;
        }
    }
}

fn perform(
    store: &mut Store,
    operation: DiskOperation,
    blocked: &mut Option<BlockedOperation>,
) -> yuccalink_state::Result<DiskEvent> {
    match operation {
        DiskOperation::Write(writes) => {
            let seq = writes.last().map_or(0, |write| write.seq);
            let frames = merge(writes)?.into();
            perform_or_keep(store, BlockedOperation::Write { seq, frames }, blocked)
        }
        DiskOperation::Install { index, bytes } => {
            perform_or_keep(store, BlockedOperation::Install { index, bytes }, blocked)
        }
        DiskOperation::Compact { index, bytes } => compact(store, index, &bytes),
        DiskOperation::Retry => match blocked.take() {
            Some(operation) => perform_or_keep(store, operation, blocked),
            None => store.fill_reserve().map(|()| DiskEvent::ReserveFilled),
        },
    }
}

/// Performs an operation, and keeps what is left of it in `blocked` if there is no room.
fn perform_or_keep(
    store: &mut Store,
    mut operation: BlockedOperation,
    blocked: &mut Option<BlockedOperation>,
) -> yuccalink_state::Result<DiskEvent> {
    let result = match &mut operation {
        BlockedOperation::Write { seq, frames } => append_all(store, frames)
            .map(|()| DiskEvent::Written { seq: *seq, counts: store.counts() }),
        BlockedOperation::Install { index, bytes } => {
            store.install(*index, bytes).map(|()| DiskEvent::Installed)
        }
    };
    if let Err(yuccalink_state::Error::NoSpace { .. }) = result {
        *blocked = Some(operation);
    }
    result
}

fn append_all(store: &mut Store, frames: &mut VecDeque<LogFrame>) -> yuccalink_state::Result<()> {
    while let Some(frame) = frames.front() {
        match store.append(frame) {
            // Term and vote alone may take up the reserve.
            Err(yuccalink_state::Error::NoSpace { .. }) if frame.records.is_empty() => {
                store.release_reserve()?;
                store.append(frame)?;
            }
            result => result?,
        }
        frames.pop_front();
    }
    Ok(())
}

/// Compacts the log, in the room of the reserve if there is no other.
fn compact(store: &mut Store, index: u64, bytes: &[u8]) -> yuccalink_state::Result<DiskEvent> {
    let mut result = store.compact(index, bytes);
    if let Err(yuccalink_state::Error::NoSpace { .. }) = result {
        store.release_reserve()?;
        result = store.compact(index, bytes);
        if let Err(yuccalink_state::Error::NoSpace { .. }) = result {
            store.fill_reserve()?;
        }
    }
    result.map(|()| DiskEvent::Compacted { index })
}

/// Merges consecutive writes into one frame, so that they need one sync.
fn merge(writes: Vec<LogWrite>) -> yuccalink_state::Result<Vec<LogFrame>> {
    let mut frames: Vec<LogFrame> = Vec::new();
    for write in writes {
        let hard = to_hard(write.hard);
        let mut records = Vec::with_capacity(write.entries.len());
        for entry in &write.entries {
            records.push((entry.term, encode(&entry.payload)?));
        }
        match frames.last_mut() {
            Some(frame) if extends_or_overwrites(frame, write.first) => {
                let keep = usize::try_from(write.first - frame.first).unwrap_or(usize::MAX);
                frame.records.truncate(keep);
                frame.records.append(&mut records);
                frame.hard = hard;
            }
            _ => frames.push(LogFrame { hard, first: write.first, records }),
        }
    }
    Ok(frames)
}

/// Whether a write at index `first` overwrites part of the frame or continues it.
fn extends_or_overwrites(frame: &LogFrame, first: u64) -> bool {
    (frame.first..=frame.first + frame.records.len() as u64).contains(&first)
}

fn to_hard(hard: HardState) -> TermAndVote {
    TermAndVote { term: hard.term, vote: hard.vote.map_or(0, |id| id.0) }
}

/// Converts a stored term and vote to Raft's hard state.
pub(crate) fn decode_hard_state(hard: TermAndVote) -> HardState {
    let vote = (hard.vote != 0).then_some(ReplicaId(hard.vote));
    HardState { term: hard.term, vote }
}

fn encode(payload: &Payload) -> yuccalink_state::Result<Box<[u8]>> {
    let bytes = yuccalink_protocol::peer::encode(payload);
    bytes.map(Into::into).map_err(|_| yuccalink_state::Error::TooLarge {
        size: yuccalink_protocol::peer::PART_MAX,
        limit: yuccalink_protocol::peer::PART_MAX,
    })
}

/// Decodes a stored log record.
pub(crate) fn decode_log_entry(
    record: &Record,
) -> std::result::Result<LogEntry, yuccalink_protocol::peer::BadMessage> {
    let payload = yuccalink_protocol::peer::decode(&record.bytes)?;
    Ok(LogEntry { term: record.term, payload })
}
