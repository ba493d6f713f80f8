//! One data folder: its lock, its log and its snapshots.

use crate::command::Command;
use crate::error::{Error, Result};
use crate::log::{Counts, Log};
use crate::machine::Machine;
use crate::snapshot;
use std::fs::{self, File, TryLockError};
use std::path::{Path, PathBuf};

/// Snapshots kept: the newest, and one before it in case the newest is damaged.
pub const SNAPSHOTS_KEPT: usize = 2;

/// An open data folder. Dropping it releases the lock.
#[derive(Debug)]
pub struct Store {
    folder: PathBuf,
    log: Log,
    _lock: File,
}

/// What was found in a data folder.
#[derive(Debug)]
pub struct Recovered {
    /// The state after the last durable record.
    pub machine: Machine,
    /// Records that were read and applied after the snapshot.
    pub replayed: u64,
}

impl Store {
    /// Opens or makes the data folder and recovers the state in it.
    ///
    /// # Errors
    /// [`Error::Locked`] when another daemon has it open; the errors of
    /// [`Log::open`] and [`snapshot::newest`] when files are damaged.
    ///
    /// ```
    /// # use yuccalink_state::{Store, Command};
    /// let folder = tempfile::tempdir()?;
    /// let (mut store, found) = Store::open(folder.path())?;
    /// assert_eq!(found.replayed, 0);
    /// store.append(&[Command::Cancel([].into())])?;
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn open(folder: &Path) -> Result<(Self, Recovered)> {
        fs::create_dir_all(folder).map_err(|e| Error::io("create", folder, e))?;
        let lock = lock(folder)?;
        let (mut machine, index) = match snapshot::newest(folder)? {
            Some(found) => (found.machine, found.index),
            None => (Machine::new(), 0),
        };
        let (log, records) = Log::open(folder, index)?;
        let replayed = records.len() as u64;
        for record in records {
            machine.apply(decode(&record.bytes)?);
        }
        let store = Self { folder: folder.into(), log, _lock: lock };
        Ok((store, Recovered { machine, replayed }))
    }

    /// Makes `commands` durable with one sync.
    ///
    /// # Errors
    /// As [`Log::append`].
    pub fn append(&mut self, commands: &[Command]) -> Result<()> {
        let records: Vec<Vec<u8>> = commands.iter().map(encode).collect::<Result<_>>()?;
        let views: Vec<&[u8]> = records.iter().map(Vec::as_slice).collect();
        self.log.append(&views)
    }

    /// Index of the last durable record.
    pub fn last(&self) -> u64 {
        self.log.last()
    }

    /// Counts since opening.
    pub fn counts(&self) -> Counts {
        self.log.counts()
    }

    /// Writes an encoded snapshot of the state after record `index`, then
    /// removes the segments and snapshots that it makes needless.
    ///
    /// # Errors
    /// [`Error::Io`]; the state on disk stays whole.
    pub fn compact(&mut self, index: u64, bytes: &[u8]) -> Result<()> {
        snapshot::write(&self.folder, index, bytes)?;
        self.log.roll()?;
        if let Some(oldest) = snapshot::prune(&self.folder, SNAPSHOTS_KEPT)? {
            self.log.forget(oldest)?;
        }
        Ok(())
    }
}

/// Encodes a command for the log and the wire.
///
/// # Errors
/// [`Error::Decode`] when the codec refuses, which it has no cause to.
///
/// ```
/// # use yuccalink_state::{store, Command};
/// let command = Command::Cancel([].into());
/// assert_eq!(store::decode(&store::encode(&command)?)?, command);
/// # Ok::<(), yuccalink_state::Error>(())
/// ```
pub fn encode(command: &Command) -> Result<Vec<u8>> {
    postcard::to_stdvec(command).map_err(|source| Error::Decode { what: "a command", source })
}

/// Decodes a command.
///
/// # Errors
/// [`Error::Decode`] when the bytes are no command of this release.
pub fn decode(bytes: &[u8]) -> Result<Command> {
    postcard::from_bytes(bytes).map_err(|source| Error::Decode { what: "a command", source })
}

fn lock(folder: &Path) -> Result<File> {
    let path = folder.join("lock");
    let file = File::create(&path).map_err(|e| Error::io("create", &path, e))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(Error::Locked(folder.display().to_string().into())),
        Err(TryLockError::Error(e)) => Err(Error::io("lock", &path, e)),
    }
}
