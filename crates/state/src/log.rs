//! The append-only log: one frame per group commit, in several segment files.
//!
//! A frame is written and synced before the next one is begun. An invalid frame at
//! the very end is therefore a torn write of a crash and is cut off. An invalid
//! frame that an intact one follows is damage, and the log is refused.
//!
//! A frame states the index from which on it replaces earlier records, since a
//! replica may have to drop records that were never committed.
//!
//! Frame: magic (4 bytes), payload length (4), CRC-32 of all that follows (4),
//! term (8), vote (8), index of the first record (8), number of records (4),
//! then each record as length (4), term (8) and bytes. All numbers are
//! little-endian.

use crate::error::{Error, Result};
use std::collections::VecDeque;
use std::fs::{self, File, OpenOptions};
use std::io::{ErrorKind, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// Format version in the header of each segment.
pub const FORMAT: u32 = 2;
/// Maximum size of a record, in bytes.
pub const RECORD_MAX: usize = 8 * 1024 * 1024;

const SEGMENT_MAGIC: &[u8; 8] = b"YUCCALOG";
const SEGMENT_HEADER_LEN: usize = 12;
const FRAME_MAGIC: &[u8; 4] = b"YFRM";
const FRAME_HEADER_LEN: usize = 12;
const FRAME_BODY_FIXED_LEN: usize = 28;
const RECORD_HEADER_LEN: usize = 12;
const SUFFIX: &str = ".log";

/// A log record; the first one ever written has index 1.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The record's position in the log.
    pub index: u64,
    /// Term of the leader that created the record.
    pub term: u64,
    /// The content.
    pub bytes: Box<[u8]>,
}

/// A replica's Raft term and vote, which must survive a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TermAndVote {
    /// The highest term that the replica has seen.
    pub term: u64,
    /// The replica that it voted for in that term; 0 for none.
    pub vote: u64,
}

/// One write to the log, made durable by one sync.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogFrame {
    /// The term and vote, which replace those of the previous frame.
    pub hard: TermAndVote,
    /// Index of the first record; all earlier records from this index on are replaced.
    pub first: u64,
    /// Terms and contents of the records, of which there may be none.
    pub records: Vec<(u64, Box<[u8]>)>,
}

/// Counters since the log was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogCounters {
    /// Group commits, each with one sync of the segment file.
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
    next_segment: u64,
    /// Length of the segment file up to the end of its last whole frame.
    intact_len: u64,
    /// Bytes of an incomplete frame may follow the last whole one.
    torn: bool,
    last: u64,
    hard: TermAndVote,
    counters: LogCounters,
}

/// A log and the content that was recovered from its files.
#[derive(Debug)]
pub struct OpenedLog {
    /// The log, ready for appending.
    pub log: Log,
    /// All records after the requested index, in order.
    pub records: Vec<Record>,
    /// The newest term and vote.
    pub hard: TermAndVote,
}

/// A segment file, with the index that was next when it was created.
struct Segment {
    number: u64,
    first: u64,
    path: PathBuf,
}

impl Log {
    /// Opens the log in `folder` and reads the records after index `after`, which
    /// is the last record in the snapshot and has term `after_term`.
    ///
    /// # Errors
    /// [`Error::DamagedMiddle`] and [`Error::Gap`] if records are damaged or
    /// missing before intact ones; the files are not changed then.
    ///
    /// ```
    /// # use yuccalink_state::log::{LogFrame, TermAndVote, Log};
    /// let folder = tempfile::tempdir()?;
    /// let mut log = Log::open(folder.path(), 0, 0)?.log;
    /// let hard = TermAndVote { term: 1, vote: 7 };
    /// log.append(&LogFrame { hard, first: 1, records: vec![(1, (*b"first").into())] })?;
    /// drop(log);
    /// let opened = Log::open(folder.path(), 0, 0)?;
    /// assert_eq!((&*opened.records[0].bytes, opened.hard), (b"first".as_slice(), hard));
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn open(folder: &Path, after: u64, after_term: u64) -> Result<OpenedLog> {
        let segments = segments(folder)?;
        let mut replay = Replay::new(after);
        let mut torn_at = None;
        for (at, segment) in segments.iter().enumerate() {
            let is_last = at + 1 == segments.len();
            torn_at = read_segment(segment, is_last, &mut replay)?;
        }
        let (records, last) = replay.finish(after, after_term)?;
        let next_segment = segments.last().map_or(1, |segment| segment.number + 1);
        let (file, path) = match segments.last() {
            Some(segment) => open_tail(segment, torn_at)?,
            None => create_segment(folder, next_segment, last + 1, replay.hard)?,
        };
        let intact_len = file.metadata().map_err(|e| Error::io("read", &path, e))?.len();
        let log = Self {
            folder: folder.into(),
            file,
            path,
            next_segment,
            intact_len,
            torn: false,
            last,
            hard: replay.hard,
            counters: LogCounters::default(),
        };
        Ok(OpenedLog { log, records, hard: replay.hard })
    }

    /// Index of the last record; 0 if there is none.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Counters since opening.
    pub fn counts(&self) -> LogCounters {
        self.counters
    }

    /// Writes a frame and syncs once. After a successful return it survives any crash.
    ///
    /// # Errors
    /// [`Error::TooLarge`] if a record is too large; nothing is written then. After
    /// [`Error::NoSpace`] the log is as before, and the same frame may be appended again. After
    /// [`Error::Io`] the log must be opened again, because it is not known what
    /// reached the disk.
    pub fn append(&mut self, frame: &LogFrame) -> Result<()> {
        let bytes = encode(frame)?;
        self.cut_torn_frame()?;
        self.torn = true;
        if let Err(error) = self.file.write_all(&bytes) {
            let error = Error::write("append to", &self.path, error);
            if matches!(error, Error::NoSpace { .. }) {
                self.cut_torn_frame()?;
            }
            return Err(error);
        }
        self.file.sync_data().map_err(|e| Error::io("sync", &self.path, e))?;
        self.torn = false;
        self.intact_len += bytes.len() as u64;
        self.hard = frame.hard;
        self.last = (frame.first + frame.records.len() as u64).saturating_sub(1);
        self.counters.syncs += 1;
        self.counters.records += frame.records.len() as u64;
        self.counters.bytes += bytes.len() as u64;
        Ok(())
    }

    /// Removes the bytes after the last whole frame, if there may be any.
    fn cut_torn_frame(&mut self) -> Result<()> {
        if self.torn {
            let cut = self.file.set_len(self.intact_len);
            let end = cut.and_then(|()| self.file.seek(SeekFrom::Start(self.intact_len)));
            end.map_err(|e| Error::write("truncate", &self.path, e))?;
            self.torn = false;
        }
        Ok(())
    }

    /// Begins a new segment, so that older ones can be removed as whole files.
    ///
    /// # Errors
    /// [`Error::NoSpace`] if there is no room for the file: the log goes on in its segment.
    /// [`Error::Io`] if the file cannot be created: the log must be opened again.
    pub fn roll(&mut self) -> Result<()> {
        self.cut_torn_frame()?;
        let number = self.next_segment + 1;
        let (file, path) = create_segment(&self.folder, number, self.last + 1, self.hard)?;
        self.intact_len = file.metadata().map_err(|e| Error::io("read", &path, e))?.len();
        (self.file, self.path) = (file, path);
        self.next_segment = number;
        Ok(())
    }

    /// Removes segments whose records are all at or below `index`.
    ///
    /// # Errors
    /// [`Error::Io`] if a file cannot be removed.
    pub fn remove_segments_through(&mut self, index: u64) -> Result<()> {
        let segments = segments(&self.folder)?;
        for pair in segments.windows(2) {
            if pair[1].first > index + 1 || pair[0].path == self.path {
                break;
            }
            let path = &pair[0].path;
            fs::remove_file(path).map_err(|e| Error::write("remove", path, e))?;
        }
        sync_folder(&self.folder)
    }
}

/// Removes a file that may not exist.
pub(crate) fn remove_if_present(path: &Path) -> Result<()> {
    match fs::remove_file(path) {
        Err(error) if error.kind() != ErrorKind::NotFound => Err(Error::io("remove", path, error)),
        _ => Ok(()),
    }
}

/// Syncs a folder, so that the creation or removal of files in it survives a crash.
pub(crate) fn sync_folder(folder: &Path) -> Result<()> {
    File::open(folder)
        .and_then(|f| f.sync_all())
        .map_err(|e| Error::io("sync the folder", folder, e))
}

/// Rebuilds the records from frames, which append and replace them.
struct Replay {
    records: VecDeque<Record>,
    next: Option<u64>,
    after: u64,
    hard: TermAndVote,
}

impl Replay {
    fn new(after: u64) -> Self {
        Self { records: VecDeque::new(), next: None, after, hard: TermAndVote::default() }
    }

    /// Checks that a segment begins where the previous one ended, so that none is missing.
    fn begin_segment(&mut self, first: u64) -> Result<()> {
        match self.next {
            Some(next) if first > next && first > self.after + 1 => {
                Err(Error::Gap { from: next, to: first - 1 })
            }
            _ => Ok(()),
        }
    }

    fn apply(&mut self, frame: LogFrame) -> Result<()> {
        let next = self.next.unwrap_or(frame.first);
        if frame.first > next {
            // Only a snapshot that was installed from the leader may fill the gap.
            if frame.first > self.after + 1 {
                return Err(Error::Gap { from: next, to: frame.first - 1 });
            }
            self.records.clear();
        }
        while self.records.back().is_some_and(|record| record.index >= frame.first) {
            self.records.pop_back();
        }
        self.hard = frame.hard;
        let mut index = frame.first;
        for (term, bytes) in frame.records {
            self.records.push_back(Record { index, term, bytes });
            index += 1;
        }
        self.next = Some(index);
        Ok(())
    }

    fn finish(&mut self, after: u64, after_term: u64) -> Result<(Vec<Record>, u64)> {
        let conflicts = |record: &Record| record.index == after && record.term != after_term;
        // A snapshot from the leader was installed while the log still had records
        // that conflict with it, and a crash came before the log was replaced. The
        // records after the snapshot's index belong to the conflicting branch.
        if self.records.iter().any(conflicts) {
            self.records.clear();
            self.next = None;
        }
        self.records.retain(|record| record.index > after);
        if let Some(first) = self.records.front()
            && first.index != after + 1
        {
            return Err(Error::Gap { from: after + 1, to: first.index - 1 });
        }
        let last = self.next.map_or(after, |next| (next - 1).max(after));
        Ok((std::mem::take(&mut self.records).into(), last))
    }
}

fn encode(frame: &LogFrame) -> Result<Vec<u8>> {
    let size =
        frame.records.iter().map(|(_, bytes)| bytes.len() + RECORD_HEADER_LEN).sum::<usize>();
    let mut body = Vec::with_capacity(size + FRAME_BODY_FIXED_LEN);
    body.extend_from_slice(&frame.hard.term.to_le_bytes());
    body.extend_from_slice(&frame.hard.vote.to_le_bytes());
    body.extend_from_slice(&frame.first.to_le_bytes());
    body.extend_from_slice(&length_u32(frame.records.len())?.to_le_bytes());
    for (term, bytes) in &frame.records {
        if bytes.len() > RECORD_MAX {
            return Err(Error::TooLarge { size: bytes.len(), limit: RECORD_MAX });
        }
        body.extend_from_slice(&length_u32(bytes.len())?.to_le_bytes());
        body.extend_from_slice(&term.to_le_bytes());
        body.extend_from_slice(bytes);
    }
    let mut buf = Vec::with_capacity(body.len() + FRAME_HEADER_LEN);
    buf.extend_from_slice(FRAME_MAGIC);
    buf.extend_from_slice(&length_u32(body.len())?.to_le_bytes());
    buf.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    buf.extend_from_slice(&body);
    Ok(buf)
}

fn length_u32(size: usize) -> Result<u32> {
    u32::try_from(size).map_err(|_| Error::TooLarge { size, limit: u32::MAX as usize })
}

/// Segments in the order of their creation.
fn segments(folder: &Path) -> Result<Vec<Segment>> {
    let mut found = Vec::new();
    let entries = fs::read_dir(folder).map_err(|e| Error::io("list", folder, e))?;
    for entry in entries {
        let path = entry.map_err(|e| Error::io("list", folder, e))?.path();
        let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
        let parts = name.strip_suffix(SUFFIX).and_then(|stem| stem.split_once('-'));
        let Some((number, first)) = parts else { continue };
        if let (Ok(number), Ok(first)) = (number.parse(), first.parse()) {
            found.push(Segment { number, first, path });
        }
    }
    found.sort_by_key(|segment| segment.number);
    Ok(found)
}

/// Creates a segment that begins with term and vote, since the segments before it may be removed.
fn create_segment(
    folder: &Path,
    number: u64,
    first: u64,
    hard: TermAndVote,
) -> Result<(File, PathBuf)> {
    let path = folder.join(format!("{number:010}-{first:020}{SUFFIX}"));
    let start = match hard == TermAndVote::default() {
        true => Vec::new(),
        false => encode(&LogFrame { hard, first, records: Vec::new() })?,
    };
    if let Err(error) = create_with_header(&path, &start) {
        // An incomplete segment that a later one follows would count as damage.
        remove_if_present(&path)?;
        return Err(error);
    }
    // Syncs the file before the folder: the reverse order could leave a file
    // without a header after a crash.
    sync_folder(folder)?;
    open_at_end(&path)
}

fn create_with_header(path: &Path, start: &[u8]) -> Result<()> {
    let write_error = |e| Error::write("create", path, e);
    let mut file = File::create(path).map_err(write_error)?;
    file.write_all(SEGMENT_MAGIC).map_err(write_error)?;
    file.write_all(&FORMAT.to_le_bytes()).map_err(write_error)?;
    file.write_all(start).map_err(write_error)?;
    file.sync_all().map_err(|e| Error::io("sync", path, e))
}

fn open_at_end(path: &Path) -> Result<(File, PathBuf)> {
    let io_error = |e| Error::io("open", path, e);
    let mut file = OpenOptions::new().read(true).write(true).open(path).map_err(io_error)?;
    file.seek(SeekFrom::End(0)).map_err(io_error)?;
    Ok((file, path.into()))
}

/// Opens the last segment, after cutting off the torn frame at its end if there is one.
fn open_tail(segment: &Segment, torn_at: Option<u64>) -> Result<(File, PathBuf)> {
    let path = &segment.path;
    let io_error = |e| Error::io("open", path, e);
    match torn_at {
        Some(intact_len) if intact_len < SEGMENT_HEADER_LEN as u64 => {
            create_with_header(path, &[])?
        }
        Some(intact_len) => {
            let file = OpenOptions::new().write(true).open(path).map_err(io_error)?;
            file.set_len(intact_len).map_err(io_error)?;
            file.sync_all().map_err(io_error)?;
        }
        None => {}
    }
    open_at_end(path)
}

/// Reads a segment; returns the offset of the torn frame at its end, if there is one.
fn read_segment(segment: &Segment, is_last: bool, replay: &mut Replay) -> Result<Option<u64>> {
    let path = &segment.path;
    replay.begin_segment(segment.first)?;
    let mut buf = Vec::new();
    File::open(path)
        .and_then(|mut f| f.read_to_end(&mut buf))
        .map_err(|e| Error::io("read", path, e))?;
    let damaged = |offset: usize| Error::DamagedMiddle {
        path: path.display().to_string().into(),
        offset: offset as u64,
    };
    if buf.len() < SEGMENT_HEADER_LEN || &buf[..8] != SEGMENT_MAGIC {
        return match is_last && find_frame(&buf, 0).is_none() {
            true => Ok(Some(0)),
            false => Err(damaged(0)),
        };
    }
    let found = le_u32(&buf, 8);
    if found != FORMAT {
        let path = path.display().to_string().into();
        return Err(Error::Version { path, found, known: FORMAT });
    }
    let mut at = SEGMENT_HEADER_LEN;
    while at < buf.len() {
        match parse_frame(&buf[at..]) {
            Some((size, frame)) => {
                replay.apply(frame)?;
                at += size;
            }
            None if is_last && find_frame(&buf, at + 1).is_none() => return Ok(Some(at as u64)),
            None => return Err(damaged(at)),
        }
    }
    Ok(None)
}

/// Offset of the first intact frame at or after `start`.
fn find_frame(buf: &[u8], start: usize) -> Option<usize> {
    let end = buf.len().saturating_sub(FRAME_HEADER_LEN + FRAME_BODY_FIXED_LEN - 1);
    (start..end).find(|at| parse_frame(&buf[*at..]).is_some())
}

fn parse_frame(buf: &[u8]) -> Option<(usize, LogFrame)> {
    if buf.len() < FRAME_HEADER_LEN + FRAME_BODY_FIXED_LEN || !buf.starts_with(FRAME_MAGIC) {
        return None;
    }
    let size = le_u32(buf, 4) as usize;
    let body = buf.get(FRAME_HEADER_LEN..FRAME_HEADER_LEN.checked_add(size)?)?;
    if size < FRAME_BODY_FIXED_LEN || crc32fast::hash(body) != le_u32(buf, 8) {
        return None;
    }
    let hard = TermAndVote { term: le_u64(body, 0), vote: le_u64(body, 8) };
    let first = le_u64(body, 16);
    let count = le_u32(body, 24) as usize;
    let mut records = Vec::new();
    let mut at = FRAME_BODY_FIXED_LEN;
    for _ in 0..count {
        let head = body.get(at..at + RECORD_HEADER_LEN)?;
        let start = at + RECORD_HEADER_LEN;
        let bytes = body.get(start..start.checked_add(le_u32(head, 0) as usize)?)?;
        records.push((le_u64(head, 4), bytes.into()));
        at = start + bytes.len();
    }
    let is_complete = at == body.len() && first > 0;
    is_complete.then_some((FRAME_HEADER_LEN + size, LogFrame { hard, first, records }))
}

fn le_u32(buf: &[u8], at: usize) -> u32 {
    buf[at..at + 4].try_into().map_or(0, u32::from_le_bytes)
}

fn le_u64(buf: &[u8], at: usize) -> u64 {
    buf[at..at + 8].try_into().map_or(0, u64::from_le_bytes)
}
