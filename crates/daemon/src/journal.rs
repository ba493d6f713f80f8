//! The disk thread: appends and syncs batches of commands while the control
//! thread goes on, so that all commands that arrive during one sync share the next.

use crate::error::{Error, Result};
use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::{self, JoinHandle};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use yuccalink_state::log::Counts;
use yuccalink_state::store::Recovered;
use yuccalink_state::{Command, Store};

/// Most commands in one batch.
pub(crate) const BATCH_MAX: usize = 1024;

enum Job {
    Append(Vec<Command>),
    Compact { index: u64, bytes: Vec<u8> },
}

/// What the disk thread did.
#[derive(Debug)]
pub(crate) enum Done {
    /// The commands are durable.
    Appended { commands: Vec<Command>, last: u64, counts: Counts },
    /// The snapshot is in place.
    Compacted,
    /// The disk failed; what is on it is not known.
    Failed(yuccalink_state::Error),
}

/// Handle of the disk thread. There is at most one batch under way.
pub(crate) struct Journal {
    jobs: Sender<Job>,
    done: UnboundedReceiver<Done>,
    thread: JoinHandle<()>,
}

impl Journal {
    /// Opens the data folder and starts the disk thread.
    pub(crate) fn open(folder: &Path) -> Result<(Self, Recovered, u64)> {
        let (store, recovered) = Store::open(folder)?;
        let last = store.last();
        let (jobs, rx) = channel();
        let (tx, done) = unbounded_channel();
        let thread = thread::Builder::new()
            .name("journal".into())
            .spawn(move || run(store, &rx, &tx))
            .map_err(Error::Thread)?;
        Ok((Self { jobs, done, thread }, recovered, last))
    }

    pub(crate) fn append(&self, commands: Vec<Command>) {
        let _ = self.jobs.send(Job::Append(commands));
    }

    pub(crate) fn compact(&self, index: u64, bytes: Vec<u8>) {
        let _ = self.jobs.send(Job::Compact { index, bytes });
    }

    /// The next finished job; `None` when the thread is gone.
    pub(crate) async fn done(&mut self) -> Option<Done> {
        self.done.recv().await
    }

    /// Finishes what was asked and releases the folder.
    pub(crate) fn close(self) {
        drop(self.jobs);
        let _ = self.thread.join();
    }
}

fn run(mut store: Store, jobs: &Receiver<Job>, done: &UnboundedSender<Done>) {
    while let Ok(job) = jobs.recv() {
        let result = match job {
            Job::Append(commands) => store.append(&commands).map(|()| Done::Appended {
                commands,
                last: store.last(),
                counts: store.counts(),
            }),
            Job::Compact { index, bytes } => store.compact(index, &bytes).map(|()| Done::Compacted),
        };
        let failed = result.is_err();
        if done.send(result.unwrap_or_else(Done::Failed)).is_err() || failed {
            return;
        }
    }
}
