//! The append-only log: one file a segment, one frame a group commit.
//!
//! A frame is written whole and synced before the next one is begun, so a bad
//! frame at the very end is a write that a crash tore, and is cut off; a bad
//! frame that an intact one follows is damage, and is refused.
//!
//! Frame: magic (4 bytes), payload length (4), CRC-32 of all that follows (4),
//! index of the first record (8), number of records (4), then each record as
//! length (4) and bytes. All numbers are little-endian.

use crate::error::{Error, Result};
use std::fs::{self, File, OpenOptions};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// Version in the header of each segment.
pub const FORMAT: u32 = 1;
/// Largest record, in bytes.
pub const RECORD_MAX: usize = 8 * 1024 * 1024;

const SEGMENT_MAGIC: &[u8; 8] = b"YUCCALOG";
const SEGMENT_HEAD: usize = 12;
const FRAME_MAGIC: &[u8; 4] = b"YFRM";
const FRAME_HEAD: usize = 12;
const FRAME_FIXED: usize = 12;
const SUFFIX: &str = ".log";

/// A record and its index; the first ever written has index 1.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Position in the log.
    pub index: u64,
    /// What was appended.
    pub bytes: Box<[u8]>,
}

/// Counts since the log was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Group commits, each with one sync of the file.
    pub syncs: u64,
    /// Records appended.
    pub records: u64,
    /// Bytes written.
    pub bytes: u64,
}

/// The open log of one data folder.
#[derive(Debug)]
pub struct Log {
    folder: PathBuf,
    file: File,
    path: PathBuf,
    last: u64,
    counts: Counts,
}

struct Segment {
    first: u64,
    path: PathBuf,
}

impl Log {
    /// Opens the log in `folder` and reads what follows record `after`.
    ///
    /// # Errors
    /// [`Error::DamagedMiddle`] and [`Error::Gap`] when records are missing or
    /// damaged before intact ones; nothing is changed then.
    ///
    /// ```
    /// # use yuccalink_state::log::Log;
    /// let folder = tempfile::tempdir()?;
    /// let (mut log, records) = Log::open(folder.path(), 0)?;
    /// assert!(records.is_empty());
    /// log.append(&[b"first".as_slice()])?;
    /// drop(log);
    /// let (_, records) = Log::open(folder.path(), 0)?;
    /// assert_eq!(&*records[0].bytes, b"first");
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn open(folder: &Path, after: u64) -> Result<(Self, Vec<Record>)> {
        let segments = segments(folder)?;
        let mut records = Vec::new();
        let mut next = None;
        let count = segments.len();
        let mut cut = None;
        for (at, segment) in segments.iter().enumerate() {
            let read = read_segment(segment, at + 1 == count)?;
            if let Some(want) = next
                && segment.first != want
            {
                return Err(Error::Gap { from: want, to: segment.first.saturating_sub(1) });
            }
            next = Some(segment.first + read.records.len() as u64);
            cut = read.torn.then_some(read.good);
            records.extend(read.records.into_iter().filter(|record| record.index > after));
        }
        if let Some(first) = records.first()
            && first.index != after + 1
        {
            return Err(Error::Gap { from: after + 1, to: first.index - 1 });
        }
        let last = next.map_or(after, |next| (next - 1).max(after));
        let (file, path) = match segments.last() {
            Some(segment) if next == Some(last + 1) => open_tail(segment, cut)?,
            _ => create_segment(folder, last + 1)?,
        };
        let log = Self { folder: folder.into(), file, path, last, counts: Counts::default() };
        Ok((log, records))
    }

    /// Index of the last record, 0 when there is none.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Counts since opening.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Appends all of `records` in one frame and syncs once. When this returns
    /// they survive any crash.
    ///
    /// # Errors
    /// [`Error::TooLarge`] changes nothing. After [`Error::Io`] the log must be
    /// opened anew: what reached the disk is not known.
    pub fn append(&mut self, records: &[&[u8]]) -> Result<()> {
        if records.is_empty() {
            return Ok(());
        }
        let frame = frame(self.last + 1, records)?;
        self.file.write_all(&frame).map_err(|e| Error::io("append to", &self.path, e))?;
        self.file.sync_data().map_err(|e| Error::io("sync", &self.path, e))?;
        self.last += records.len() as u64;
        self.counts.syncs += 1;
        self.counts.records += records.len() as u64;
        self.counts.bytes += frame.len() as u64;
        Ok(())
    }

    /// Begins a new segment, so that older ones can be removed whole.
    ///
    /// # Errors
    /// [`Error::Io`] when the file cannot be made.
    pub fn roll(&mut self) -> Result<()> {
        (self.file, self.path) = create_segment(&self.folder, self.last + 1)?;
        Ok(())
    }

    /// Removes segments whose records are all at or below `index`.
    ///
    /// # Errors
    /// [`Error::Io`] when a file cannot be removed.
    pub fn forget(&mut self, index: u64) -> Result<()> {
        let segments = segments(&self.folder)?;
        for pair in segments.windows(2) {
            if pair[1].first <= index + 1 && pair[0].path != self.path {
                let path = &pair[0].path;
                fs::remove_file(path).map_err(|e| Error::io("remove", path, e))?;
            }
        }
        sync_folder(&self.folder)
    }
}

/// Syncs a folder, so that names made or removed in it survive a crash.
pub(crate) fn sync_folder(folder: &Path) -> Result<()> {
    File::open(folder)
        .and_then(|f| f.sync_all())
        .map_err(|e| Error::io("sync the folder", folder, e))
}

fn frame(first: u64, records: &[&[u8]]) -> Result<Vec<u8>> {
    let mut body = Vec::with_capacity(records.iter().map(|r| r.len() + 4).sum::<usize>() + 64);
    body.extend_from_slice(&first.to_le_bytes());
    body.extend_from_slice(&length(records.len())?.to_le_bytes());
    for record in records {
        if record.len() > RECORD_MAX {
            return Err(Error::TooLarge { size: record.len(), limit: RECORD_MAX });
        }
        body.extend_from_slice(&length(record.len())?.to_le_bytes());
        body.extend_from_slice(record);
    }
    let mut frame = Vec::with_capacity(body.len() + FRAME_HEAD);
    frame.extend_from_slice(FRAME_MAGIC);
    frame.extend_from_slice(&length(body.len())?.to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    frame.extend_from_slice(&body);
    Ok(frame)
}

fn length(size: usize) -> Result<u32> {
    u32::try_from(size).map_err(|_| Error::TooLarge { size, limit: u32::MAX as usize })
}

fn segments(folder: &Path) -> Result<Vec<Segment>> {
    let mut found = Vec::new();
    let entries = fs::read_dir(folder).map_err(|e| Error::io("list", folder, e))?;
    for entry in entries {
        let path = entry.map_err(|e| Error::io("list", folder, e))?.path();
        let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
        if let Some(first) = name.strip_suffix(SUFFIX).and_then(|text| text.parse().ok()) {
            found.push(Segment { first, path });
        }
    }
    found.sort_by_key(|segment| segment.first);
    Ok(found)
}

fn create_segment(folder: &Path, first: u64) -> Result<(File, PathBuf)> {
    let path = folder.join(format!("{first:020}{SUFFIX}"));
    let fail = |e| Error::io("create", &path, e);
    let mut file =
        OpenOptions::new().create(true).write(true).truncate(true).open(&path).map_err(fail)?;
    file.write_all(SEGMENT_MAGIC).map_err(fail)?;
    file.write_all(&FORMAT.to_le_bytes()).map_err(fail)?;
    // First the file, then the name in the folder: the other order could leave
    // a name without a header after a crash.
    file.sync_all().map_err(fail)?;
    sync_folder(folder)?;
    Ok((file, path))
}

fn open_tail(segment: &Segment, cut: Option<u64>) -> Result<(File, PathBuf)> {
    let path = &segment.path;
    let fail = |e| Error::io("open", path, e);
    let mut file = OpenOptions::new().read(true).write(true).open(path).map_err(fail)?;
    if let Some(good) = cut {
        if good < SEGMENT_HEAD as u64 {
            drop(file);
            let folder = path.parent().unwrap_or(Path::new("."));
            return create_segment(folder, segment.first);
        }
        file.set_len(good).map_err(fail)?;
        file.sync_all().map_err(fail)?;
    }
    file.seek(SeekFrom::End(0)).map_err(fail)?;
    Ok((file, path.clone()))
}

struct ReadSegment {
    records: Vec<Record>,
    good: u64,
    torn: bool,
}

fn read_segment(segment: &Segment, is_last: bool) -> Result<ReadSegment> {
    let path = &segment.path;
    let mut buf = Vec::new();
    File::open(path)
        .and_then(|mut f| f.read_to_end(&mut buf))
        .map_err(|e| Error::io("read", path, e))?;
    let mut read = ReadSegment { records: Vec::new(), good: 0, torn: false };
    let shown: Box<str> = path.display().to_string().into();
    if buf.len() < SEGMENT_HEAD || &buf[..8] != SEGMENT_MAGIC {
        if is_last && find_frame(&buf, 0, segment.first).is_none() {
            read.torn = true;
            return Ok(read);
        }
        return Err(Error::DamagedMiddle { path: shown, offset: 0 });
    }
    let found = le_u32(&buf, 8);
    if found != FORMAT {
        return Err(Error::Version { path: shown, found, known: FORMAT });
    }
    let mut at = SEGMENT_HEAD;
    let mut next = segment.first;
    while at < buf.len() {
        match parse_frame(&buf[at..], next) {
            Some((size, mut records)) => {
                next += records.len() as u64;
                read.records.append(&mut records);
                at += size;
            }
            None if is_last && find_frame(&buf, at + 1, next).is_none() => {
                read.torn = true;
                break;
            }
            None => return Err(Error::DamagedMiddle { path: shown, offset: at as u64 }),
        }
    }
    read.good = at as u64;
    Ok(read)
}

/// Whether an intact frame of record `from` or later begins at or after `start`.
fn find_frame(buf: &[u8], start: usize, from: u64) -> Option<usize> {
    (start..buf.len().saturating_sub(FRAME_HEAD + FRAME_FIXED)).find(|at| {
        let rest = &buf[*at..];
        rest.starts_with(FRAME_MAGIC)
            && rest.len() >= FRAME_HEAD + 8
            && le_u64(rest, FRAME_HEAD) >= from
            && parse_frame(rest, le_u64(rest, FRAME_HEAD)).is_some()
    })
}

fn parse_frame(buf: &[u8], first: u64) -> Option<(usize, Vec<Record>)> {
    if buf.len() < FRAME_HEAD + FRAME_FIXED || !buf.starts_with(FRAME_MAGIC) {
        return None;
    }
    let size = le_u32(buf, 4) as usize;
    let body = buf.get(FRAME_HEAD..FRAME_HEAD.checked_add(size)?)?;
    if size < FRAME_FIXED || crc32fast::hash(body) != le_u32(buf, 8) || le_u64(body, 0) != first {
        return None;
    }
    let count = le_u32(body, 8) as usize;
    let mut records = Vec::new();
    let mut at = FRAME_FIXED;
    for n in 0..count {
        let size = u32::from_le_bytes(body.get(at..at + 4)?.try_into().ok()?) as usize;
        let bytes = body.get(at + 4..(at + 4).checked_add(size)?)?;
        records.push(Record { index: first + n as u64, bytes: bytes.into() });
        at += 4 + size;
    }
    (at == body.len()).then_some((FRAME_HEAD + size, records))
}

fn le_u32(buf: &[u8], at: usize) -> u32 {
    buf[at..at + 4].try_into().map_or(0, u32::from_le_bytes)
}

fn le_u64(buf: &[u8], at: usize) -> u64 {
    buf[at..at + 8].try_into().map_or(0, u64::from_le_bytes)
}
