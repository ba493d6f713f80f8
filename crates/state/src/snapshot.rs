//! Snapshots: the whole replicated state in one file next to the log. The file is
//! put in place by a rename, so a crash leaves either the old or the new snapshot.

use crate::error::{Error, Result};
use crate::evacuation::Evacuations;
use crate::jobs::CellState;
use crate::log::{remove_if_present, sync_folder};
use crate::machine::StateMachine;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize};
use std::fs::{self, File};
use std::io::{Read, Write};
use std::path::{Path, PathBuf};

/// Format version in the header of a snapshot without evacuations.
pub const FORMAT: u32 = 2;
/// Format version of a snapshot with evacuations. Releases that know none refuse it: they would
/// read it without them, and give work to a zone under evacuation.
pub const FORMAT_WITH_EVACUATIONS: u32 = 3;
/// Format version of a snapshot with cancellations of inactive jobs. Releases that know none
/// refuse it: they would run such a job if its submission arrived.
pub const FORMAT_WITH_CANCELLATIONS: u32 = 4;
/// Format version of a snapshot with settings of queues. Releases that know none refuse it: they
/// would read it without them, and start work of a queue on hold.
pub const FORMAT_WITH_QUEUE_SETTINGS: u32 = 5;
/// Format version of a snapshot with a step that names only the tasks that have begun. Releases
/// that know none refuse it: they would read a step without tasks.
pub const FORMAT_WITH_SPARSE_TASKS: u32 = 6;

/// Newest format version that this release reads.
const FORMAT_MAX: u32 = FORMAT_WITH_SPARSE_TASKS;
const MAGIC: &[u8; 8] = b"YUCCASNP";
/// Length of the header: magic, format version and CRC-32 of the body.
const HEADER_LEN: usize = 8 + 4 + 4;
const SUFFIX: &str = ".snapshot";

/// Metadata of a snapshot: its position in the log, and the members at that position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Meta {
    /// Index of the last applied record.
    pub index: u64,
    /// Term of that record.
    pub term: u64,
    /// The members after that record, encoded by the coordination layer.
    pub members: Box<[u8]>,
}

/// Replicated state that can be stored in a snapshot: that of services or of a job cell.
pub trait Replicated: Default + Serialize + DeserializeOwned {
    /// Rebuilds the indexes, which are not written to snapshots.
    fn reindex(&mut self);

    /// Oldest format version whose readers understand all that this state holds.
    fn format(&self) -> u32;
}

fn format_with(evacuations: &Evacuations) -> u32 {
    match evacuations.is_empty() {
        true => FORMAT,
        false => FORMAT_WITH_EVACUATIONS,
    }
}

/// Reads a field that a release added at the end of a state, or its default if the bytes end
/// before it because an earlier release wrote the state. Only for states whose checksum was
/// verified: there, missing bytes cannot mean a truncated file.
pub(crate) fn added_field<'de, D, T>(from: D) -> std::result::Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Default + Deserialize<'de>,
{
    Ok(T::deserialize(from).unwrap_or_default())
}

impl Replicated for StateMachine {
    fn reindex(&mut self) {
        StateMachine::reindex(self);
    }

    fn format(&self) -> u32 {
        format_with(self.evacuations())
    }
}

impl Replicated for CellState {
    fn reindex(&mut self) {
        CellState::reindex(self);
    }

    fn format(&self) -> u32 {
        if !self.lists_all_tasks() {
            return FORMAT_WITH_SPARSE_TASKS;
        }
        if !self.queue_settings().is_empty() {
            return FORMAT_WITH_QUEUE_SETTINGS;
        }
        match self.cancellations().is_empty() {
            true => format_with(self.evacuations()),
            false => FORMAT_WITH_CANCELLATIONS,
        }
    }
}

/// A replicated state and its metadata.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot<S = StateMachine> {
    /// The log position and the members.
    pub meta: Meta,
    /// The state after the last applied record.
    pub state: S,
}

/// Encodes a snapshot: the header, then the metadata and the state as its body.
///
/// # Errors
/// [`Error::Decode`] if the codec fails, which is not expected for these types.
///
/// ```
/// # use yuccalink_state::{snapshot::{self, Meta}, StateMachine};
/// let meta = Meta { index: 7, term: 2, members: [].into() };
/// let bytes = snapshot::encode(&meta, &StateMachine::new())?;
/// assert_eq!(snapshot::decode(&bytes, "memory")?.meta, meta);
/// # Ok::<(), yuccalink_state::Error>(())
/// ```
pub fn encode<S>(meta: &Meta, state: &S) -> Result<Vec<u8>>
where
    S: Replicated,
{
    let mut buf = Vec::with_capacity(HEADER_LEN);
    buf.extend_from_slice(MAGIC);
    buf.extend_from_slice(&state.format().to_le_bytes());
    buf.extend_from_slice(&[0; 4]);
    // The body is appended in place: a copy of a large state would double the memory for it.
    let mut buf = postcard::to_extend(&(meta, state), buf)
        .map_err(|source| Error::Decode { what: "a snapshot", source })?;
    let checksum = crc32fast::hash(&buf[HEADER_LEN..]);
    buf[HEADER_LEN - 4..HEADER_LEN].copy_from_slice(&checksum.to_le_bytes());
    Ok(buf)
}

/// Decodes a snapshot; `shown` is its name in errors.
///
/// # Errors
/// [`Error::DamagedSnapshot`] if the snapshot is damaged or incomplete,
/// [`Error::Version`] if it has the format of another release, and [`Error::Decode`] if its
/// body is not a state of this type.
pub fn decode(buf: &[u8], shown: &str) -> Result<Snapshot> {
    decode_as(buf, shown)
}

/// Same as [`decode`], for any replicated state.
///
/// # Errors
/// The same as for [`decode`].
pub fn decode_as<S>(buf: &[u8], shown: &str) -> Result<Snapshot<S>>
where
    S: Replicated,
{
    let damaged = || Error::DamagedSnapshot(shown.into());
    if buf.len() < HEADER_LEN || &buf[..8] != MAGIC {
        return Err(damaged());
    }
    let read_u32 = |at: usize| buf[at..at + 4].try_into().map_or(0, u32::from_le_bytes);
    let found = read_u32(8);
    if !(FORMAT..=FORMAT_MAX).contains(&found) {
        return Err(Error::Version { path: shown.into(), found, known: FORMAT_MAX });
    }
    let body = &buf[HEADER_LEN..];
    if crc32fast::hash(body) != read_u32(12) {
        return Err(damaged());
    }
    let (meta, mut state): (Meta, S) = postcard::from_bytes(body)
        .map_err(|source| Error::Decode { what: "a snapshot", source })?;
    state.reindex();
    Ok(Snapshot { meta, state })
}

/// Writes `bytes` as the snapshot of record `index`; it is durable on return.
///
/// # Errors
/// [`Error::Io`]; existing snapshots are not changed. [`Error::NoSpace`]; nothing is changed.
pub fn write(folder: &Path, index: u64, bytes: &[u8]) -> Result<()> {
    let path = folder.join(format!("{index:020}{SUFFIX}"));
    let temporary = folder.join(format!("{index:020}.draft"));
    let written = write_draft(&temporary, bytes).and_then(|()| {
        fs::rename(&temporary, &path).map_err(|e| Error::write("rename", &temporary, e))
    });
    if let Err(error @ Error::NoSpace { .. }) = written {
        // The incomplete draft takes up room that the log needs.
        remove_if_present(&temporary)?;
        return Err(error);
    }
    written?;
    sync_folder(folder)
}

fn write_draft(path: &Path, bytes: &[u8]) -> Result<()> {
    let mut f = File::create(path).map_err(|e| Error::write("create", path, e))?;
    f.write_all(bytes).map_err(|e| Error::write("write", path, e))?;
    f.sync_all().map_err(|e| Error::io("sync", path, e))
}

/// The newest intact snapshot, or `None` if there is no snapshot file.
///
/// # Errors
/// [`Error::NoSnapshot`] if there are snapshot files but none is intact, and
/// [`Error::Version`] if a snapshot in the format of another release is newer than all intact
/// ones; [`Error::Io`] if the folder or a snapshot file cannot be read.
pub fn newest<S>(folder: &Path) -> Result<Option<Snapshot<S>>>
where
    S: Replicated,
{
    let found = list(folder)?;
    for (_, path) in found.iter().rev() {
        let mut buf = Vec::new();
        File::open(path)
            .and_then(|mut f| f.read_to_end(&mut buf))
            .map_err(|e| Error::io("read", path, e))?;
        match decode_as(&buf, &path.display().to_string()) {
            Ok(snapshot) => return Ok(Some(snapshot)),
            Err(error @ Error::Version { .. }) => return Err(error),
            Err(_) => {}
        }
    }
    match found.is_empty() {
        true => Ok(None),
        false => Err(Error::NoSnapshot(folder.display().to_string().into())),
    }
}

/// Keeps the `keep` newest snapshots and returns the index of the oldest kept.
///
/// # Errors
/// [`Error::Io`] if a file cannot be removed.
pub(crate) fn prune(folder: &Path, keep: usize) -> Result<Option<u64>> {
    let found = list(folder)?;
    let excess = found.len().saturating_sub(keep);
    for (_, path) in &found[..excess] {
        fs::remove_file(path).map_err(|e| Error::write("remove", path, e))?;
    }
    Ok(found.get(excess).map(|(index, _)| *index))
}

/// The snapshot files with the indexes in their names, the oldest first.
fn list(folder: &Path) -> Result<Vec<(u64, PathBuf)>> {
    let mut found = Vec::new();
    let entries = fs::read_dir(folder).map_err(|e| Error::io("list", folder, e))?;
    for entry in entries {
        let path = entry.map_err(|e| Error::io("list", folder, e))?.path();
        let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
        if let Some(index) = name.strip_suffix(SUFFIX).and_then(|text| text.parse().ok()) {
            found.push((index, path));
        }
    }
    found.sort();
    Ok(found)
}
