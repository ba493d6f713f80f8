//! A data folder: its lock, its identity, its log and its snapshots.

use crate::command::Command;
use crate::error::{Error, Result};
use crate::log::{
    Log, LogCounters, LogFrame, OpenedLog, Record, TermAndVote, remove_if_present, sync_folder,
};
use crate::machine::StateMachine;
use crate::snapshot::{self, Meta, Replicated};
use std::fs::{self, File, TryLockError};
use std::io::{self, ErrorKind, Read, Write};
use std::path::{Path, PathBuf};

/// Number of snapshots kept: the newest, and the previous one in case the newest is damaged.
pub const SNAPSHOTS_KEPT: usize = 2;

/// Size of the file `reserve`, whose room a full disk still has for terms, votes and a snapshot
/// that lets the log shrink. It is under 1 % of the smallest disk, 128 MB.
pub const RESERVE_BYTES: u64 = 1024 * 1024;

const LOCK: &str = "lock";
const RESERVE: &str = "reserve";
const IDENTITY: &str = "replica";

/// An open data folder. Dropping it releases the lock.
#[derive(Debug)]
pub struct Store {
    folder: PathBuf,
    log: Log,
    _lock: File,
}

/// The content that was recovered from a data folder.
#[derive(Debug)]
pub struct Recovered<S = StateMachine> {
    /// Identity of the replica on this disk, drawn at the first use.
    pub replica: u64,
    /// Metadata of the snapshot.
    pub meta: Meta,
    /// The state in the snapshot.
    pub state: S,
    /// The records after the snapshot, which may not be committed yet.
    pub records: Vec<Record>,
    /// The newest term and vote.
    pub hard: TermAndVote,
}

impl Store {
    /// Opens or creates the data folder and recovers its content; `new_replica` is the
    /// identity of the replica if this is the folder's first use.
    ///
    /// # Errors
    /// [`Error::Locked`] if another daemon has the folder open; [`Error::Identity`]
    /// if files are missing; the errors of [`Log::open`] and [`snapshot::newest`]
    /// if files are damaged.
    ///
    /// ```
    /// # use yuccalink_state::{Store, log::LogFrame};
    /// let folder = tempfile::tempdir()?;
    /// let (mut store, found) = Store::open(folder.path(), 7)?;
    /// assert_eq!((found.replica, found.records.len()), (7, 0));
    /// store.append(&LogFrame { first: 1, records: vec![(1, [1, 2].into())], ..LogFrame::default() })?;
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn open(folder: &Path, new_replica: u64) -> Result<(Self, Recovered)> {
        Self::open_as(folder, new_replica)
    }

    /// Same as [`Store::open`], for any replicated state.
    ///
    /// # Errors
    /// The same as for [`Store::open`].
    pub fn open_as<S>(folder: &Path, new_replica: u64) -> Result<(Self, Recovered<S>)>
    where
        S: Replicated,
    {
        fs::create_dir_all(folder).map_err(|e| Error::io("create", folder, e))?;
        let lock = lock(folder)?;
        let found: Option<snapshot::Snapshot<S>> = snapshot::newest(folder)?;
        let meta = found.as_ref().map(|found| found.meta.clone()).unwrap_or_default();
        let state = found.map(|found| found.state).unwrap_or_default();
        let stored_replica = read_identity(folder)?;
        if stored_replica.is_some() && !has_log(folder)? {
            return Err(Error::Identity(folder.display().to_string().into()));
        }
        let OpenedLog { log, records, hard } = Log::open(folder, meta.index, meta.term)?;
        let is_used = meta.index > 0 || !records.is_empty() || hard != TermAndVote::default();
        let replica = match stored_replica {
            Some(replica) => replica,
            // Without its identity, a used disk could be mistaken for a new replica
            // that never voted.
            None if is_used => return Err(Error::Identity(folder.display().to_string().into())),
            None => write_identity(folder, new_replica)?,
        };
        let store = Self { folder: folder.into(), log, _lock: lock };
        Ok((store, Recovered { replica, meta, state, records, hard }))
    }

    /// Creates a data folder with this state as its snapshot, for a replica that
    /// bootstraps a new system from it.
    ///
    /// # Errors
    /// [`Error::NotEmpty`] if the folder is not empty; nothing is changed then.
    pub fn restore(folder: &Path, replica: u64, meta: &Meta, state: &StateMachine) -> Result<()> {
        fs::create_dir_all(folder).map_err(|e| Error::io("create", folder, e))?;
        let mut entries = fs::read_dir(folder).map_err(|e| Error::io("list", folder, e))?;
        if entries.next().is_some() {
            return Err(Error::NotEmpty(folder.display().to_string().into()));
        }
        let lock = lock(folder)?;
        snapshot::write(folder, meta.index, &snapshot::encode(meta, state)?)?;
        let mut log = Log::open(folder, meta.index, meta.term)?.log;
        let hard = TermAndVote { term: meta.term, vote: 0 };
        log.append(&LogFrame { hard, first: meta.index + 1, records: Vec::new() })?;
        // The identity is written last. A folder without it is refused, so an
        // interrupted restore is never mistaken for a complete one.
        write_identity(folder, replica)?;
        drop(lock);
        Ok(())
    }

    /// Appends a frame to the log and makes it durable with one sync.
    ///
    /// # Errors
    /// The same as for [`Log::append`].
    pub fn append(&mut self, frame: &LogFrame) -> Result<()> {
        self.log.append(frame)
    }

    /// Index of the last durable record.
    pub fn last(&self) -> u64 {
        self.log.last()
    }

    /// Counters of the log since opening.
    pub fn counts(&self) -> LogCounters {
        self.log.counts()
    }

    /// Creates the file that holds [`RESERVE_BYTES`] of room, if it is not in place.
    ///
    /// # Errors
    /// [`Error::NoSpace`] if there is no room for it; [`Error::Io`] if it cannot be written.
    ///
    /// ```
    /// # use yuccalink_state::{Store, store::RESERVE_BYTES};
    /// let folder = tempfile::tempdir()?;
    /// let (store, _) = Store::open(folder.path(), 7)?;
    /// store.fill_reserve()?;
    /// assert_eq!(std::fs::metadata(folder.path().join("reserve"))?.len(), RESERVE_BYTES);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn fill_reserve(&self) -> Result<()> {
        let path = self.folder.join(RESERVE);
        match fs::metadata(&path) {
            Ok(found) if found.len() == RESERVE_BYTES => return Ok(()),
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::NotFound => {}
            Err(error) => return Err(Error::io("read", &path, error)),
        }
        let written = File::create(&path)
            .and_then(|mut f| io::copy(&mut io::repeat(0).take(RESERVE_BYTES), &mut f).map(|_| f));
        match written {
            Ok(f) => f.sync_all().map_err(|e| Error::io("sync", &path, e)),
            Err(error) => {
                // An incomplete reserve takes up room that the log needs.
                remove_if_present(&path)?;
                Err(Error::write("write", &path, error))
            }
        }
    }

    /// Frees the room of the reserve.
    ///
    /// # Errors
    /// [`Error::Io`] if the file cannot be removed.
    pub fn release_reserve(&self) -> Result<()> {
        remove_if_present(&self.folder.join(RESERVE))
    }

    /// Writes an encoded snapshot of the state after record `index`, then removes
    /// the log segments and snapshots that are no longer needed.
    ///
    /// # Errors
    /// [`Error::Io`] or [`Error::NoSpace`]; the state on disk stays whole.
    pub fn compact(&mut self, index: u64, bytes: &[u8]) -> Result<()> {
        snapshot::write(&self.folder, index, bytes)?;
        self.log.roll()?;
        if let Some(oldest) = snapshot::prune(&self.folder, SNAPSHOTS_KEPT)? {
            self.log.remove_segments_through(oldest)?;
        }
        Ok(())
    }

    /// Writes a snapshot that came from the leader; the log is replaced by the next
    /// frame.
    ///
    /// # Errors
    /// [`Error::Io`] or [`Error::NoSpace`]; the state on disk stays whole.
    pub fn install(&mut self, index: u64, bytes: &[u8]) -> Result<()> {
        snapshot::write(&self.folder, index, bytes)
    }
}

/// Encodes a command for the log and for messages between replicas.
///
/// # Errors
/// [`Error::Decode`] if the codec fails, which is not expected for these types.
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
/// [`Error::Decode`] if the bytes are not a command of this release.
pub fn decode(bytes: &[u8]) -> Result<Command> {
    postcard::from_bytes(bytes).map_err(|source| Error::Decode { what: "a command", source })
}

fn lock(folder: &Path) -> Result<File> {
    let path = folder.join(LOCK);
    let file = File::create(&path).map_err(|e| Error::io("create", &path, e))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(Error::Locked(folder.display().to_string().into())),
        Err(TryLockError::Error(e)) => Err(Error::io("lock", &path, e)),
    }
}

fn has_log(folder: &Path) -> Result<bool> {
    let entries = fs::read_dir(folder).map_err(|e| Error::io("list", folder, e))?;
    let names = entries.filter_map(|entry| entry.ok().map(|entry| entry.file_name()));
    Ok(names.into_iter().any(|name| name.to_string_lossy().ends_with(".log")))
}

fn read_identity(folder: &Path) -> Result<Option<u64>> {
    let path = folder.join(IDENTITY);
    match fs::read_to_string(&path) {
        Ok(text) => match u64::from_str_radix(text.trim(), 16) {
            Ok(replica) => Ok(Some(replica)),
            Err(_) => Err(Error::Identity(folder.display().to_string().into())),
        },
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
        Err(error) => Err(Error::io("read", &path, error)),
    }
}

fn write_identity(folder: &Path, replica: u64) -> Result<u64> {
    let path = folder.join(IDENTITY);
    let temporary = folder.join("replica.draft");
    let write_error = |e| Error::write("write", &temporary, e);
    let mut f = File::create(&temporary).map_err(write_error)?;
    writeln!(f, "{replica:016x}").map_err(write_error)?;
    f.sync_all().map_err(|e| Error::io("sync", &temporary, e))?;
    fs::rename(&temporary, &path).map_err(|e| Error::io("rename", &temporary, e))?;
    sync_folder(folder)?;
    Ok(replica)
}
