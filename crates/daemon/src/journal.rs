//! The disk thread: writes and syncs while the control thread goes on, so that
//! all that gathers during one sync shares the next.

use crate::error::{Error, Result};
use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::{self, JoinHandle};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use yuccalink_coordination::raft::{HardState, LogEntry, LogWrite, Payload, ReplicaId};
use yuccalink_state::Store;
use yuccalink_state::log::{LogCounters, LogFrame, Record, TermAndVote};
use yuccalink_state::snapshot::Replicated;
use yuccalink_state::store::Recovered;

enum Job {
    Write(Vec<LogWrite>),
    Compact { index: u64, bytes: Vec<u8> },
    Install { index: u64, bytes: Vec<u8> },
}

/// What the disk thread did.
#[derive(Debug)]
pub(crate) enum DiskEvent {
    /// All writes up to this number are durable.
    Written { seq: u64, counts: LogCounters },
    /// The snapshot of this record is in place.
    Compacted { index: u64 },
    /// The snapshot that came from the leader is in place.
    Installed,
    /// The disk failed; what is on it is not known.
    Failed(yuccalink_state::Error),
}

/// Handle of the disk thread.
pub(crate) struct Journal {
    jobs: Sender<Job>,
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
        let (jobs, rx) = channel();
        let (tx, done) = unbounded_channel();
        let thread = thread::Builder::new()
            .name("journal".into())
            .spawn(move || run(store, &rx, &tx))
            .map_err(Error::Thread)?;
        Ok((Self { jobs, done, thread }, recovered))
    }

    pub(crate) fn write(&self, writes: Vec<LogWrite>) {
        let _ = self.jobs.send(Job::Write(writes));
    }

    pub(crate) fn compact(&self, index: u64, bytes: Vec<u8>) {
        let _ = self.jobs.send(Job::Compact { index, bytes });
    }

    pub(crate) fn install(&self, index: u64, bytes: Vec<u8>) {
        let _ = self.jobs.send(Job::Install { index, bytes });
    }

    /// The next finished job; `None` when the thread is gone.
    pub(crate) async fn done(&mut self) -> Option<DiskEvent> {
        self.done.recv().await
    }

    /// Finishes what was asked and releases the folder.
    pub(crate) fn close(self) {
        drop(self.jobs);
        let _ = self.thread.join();
    }
}

fn run(mut store: Store, jobs: &Receiver<Job>, done: &UnboundedSender<DiskEvent>) {
    while let Ok(job) = jobs.recv() {
        let result = match job {
            Job::Write(writes) => write(&mut store, writes),
            Job::Compact { index, bytes } => {
                store.compact(index, &bytes).map(|()| DiskEvent::Compacted { index })
            }
            Job::Install { index, bytes } => {
                store.install(index, &bytes).map(|()| DiskEvent::Installed)
            }
        };
        let failed = result.is_err();
        if done.send(result.unwrap_or_else(DiskEvent::Failed)).is_err() || failed {
            return;
        }
    }
}

fn write(store: &mut Store, writes: Vec<LogWrite>) -> yuccalink_state::Result<DiskEvent> {
    let seq = writes.last().map_or(0, |write| write.seq);
    for frame in merge(writes)? {
        store.append(&frame)?;
    }
    Ok(DiskEvent::Written { seq, counts: store.counts() })
}

/// Makes one frame, and so one sync, of all writes that follow on each other.
fn merge(writes: Vec<LogWrite>) -> yuccalink_state::Result<Vec<LogFrame>> {
    let mut frames: Vec<LogFrame> = Vec::new();
    for write in writes {
        let hard = to_hard(write.hard);
        let mut records = Vec::with_capacity(write.entries.len());
        for entry in &write.entries {
            records.push((entry.term, encode(&entry.payload)?));
        }
        match frames.last_mut() {
            Some(frame) if follows(frame, write.first) => {
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

fn follows(frame: &LogFrame, first: u64) -> bool {
    (frame.first..=frame.first + frame.records.len() as u64).contains(&first)
}

fn to_hard(hard: HardState) -> TermAndVote {
    TermAndVote { term: hard.term, vote: hard.vote.map_or(0, |id| id.0) }
}

/// The hard state as the consensus knows it.
pub(crate) fn from_hard(hard: TermAndVote) -> HardState {
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

/// An entry as the log kept it.
pub(crate) fn to_entry(
    record: &Record,
) -> std::result::Result<LogEntry, yuccalink_protocol::peer::BadMessage> {
    let payload = yuccalink_protocol::peer::decode(&record.bytes)?;
    Ok(LogEntry { term: record.term, payload })
}
