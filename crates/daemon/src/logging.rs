//! Writes log lines to standard output from a separate thread, so that a slow reader
//! never blocks traffic. Lines are written in batches, not with one wake-up per line.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum size of the buffer of unwritten lines. Further lines are dropped and counted.
const BUFFER_MAX_BYTES: usize = 1024 * 1024;
/// Maximum bytes accepted per second; further lines are dropped and counted. A line has
/// about 150 bytes. The leader at the users' sites writes 60 KiB per second.
const MAX_BYTES_PER_SECOND: usize = 512 * 1024;
/// Time for which lines are collected before they are written.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum bytes per write call. A pipe takes writes of up to this size atomically, so
/// that no line is split, even if the reader is slow or the pipe has other writers.
const WRITE_MAX_BYTES: usize = 4096;
/// Maximum wait at exit until the remaining lines are written.
const FINISH_TIMEOUT: Duration = Duration::from_millis(400);

#[derive(Default)]
struct LogBuffer {
    lines: Vec<u8>,
    dropped_lines: u64,
    /// Bytes offered since `period_start`, including those of dropped lines.
    offered_bytes: usize,
    period_start: Option<Instant>,
    /// Whether the log thread is writing a batch that is no longer in `lines`.
    writing: bool,
}

#[derive(Default)]
struct SharedBuffer {
    buffer: Mutex<LogBuffer>,
    /// Signalled when the empty buffer gets its first line.
    not_empty: Condvar,
}

#[derive(Clone, Default)]
struct LogWriter(Arc<SharedBuffer>);

static LOG_WRITER: std::sync::OnceLock<LogWriter> = std::sync::OnceLock::new();

/// Starts the log thread and returns the writer for the logger.
///
/// # Errors
/// Returns an error if the thread cannot be started.
pub fn start() -> io::Result<Box<dyn Write + Send>> {
    let writer = LOG_WRITER.get_or_init(LogWriter::default).clone();
    let thread_writer = writer.clone();
    thread::Builder::new().name("log".into()).spawn(move || write_lines(&thread_writer))?;
    Ok(Box::new(writer))
}

/// Waits until the buffered lines are written, for a short time at most. To be called
/// before the program exits.
pub fn finish() {
    let Some(writer) = LOG_WRITER.get() else { return };
    let deadline = Instant::now() + FINISH_TIMEOUT;
    while Instant::now() < deadline {
        let buffer = writer.lock();
        if buffer.lines.is_empty() && !buffer.writing {
            return;
        }
        drop(buffer);
        thread::sleep(WRITE_INTERVAL / 10);
    }
}

impl LogWriter {
    fn lock(&self) -> MutexGuard<'_, LogBuffer> {
        self.0.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LogBuffer {
    /// Counts a line of `size` bytes. Returns whether it is within the rate limit and fits
    /// into the buffer.
    fn accept(&mut self, size: usize) -> bool {
        let now = Instant::now();
        if self
            .period_start
            .is_none_or(|period_start| now.duration_since(period_start) >= Duration::from_secs(1))
        {
            self.period_start = Some(now);
            self.offered_bytes = 0;
        }
        self.offered_bytes += size;
        self.offered_bytes <= MAX_BYTES_PER_SECOND && self.lines.len() + size <= BUFFER_MAX_BYTES
    }
}

impl Write for LogWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let mut buffer = self.lock();
        if buffer.accept(buf.len()) {
            let was_empty = buffer.lines.is_empty();
            buffer.lines.extend_from_slice(buf);
            if was_empty {
                self.0.not_empty.notify_one();
            }
        } else {
            buffer.dropped_lines += 1;
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(writer: &LogWriter) {
    let mut batch = Vec::new();
    loop {
        wait_for_lines(writer);
        thread::sleep(WRITE_INTERVAL);
        batch.clear();
        let dropped_lines = {
            let mut buffer = writer.lock();
            std::mem::swap(&mut batch, &mut buffer.lines);
            buffer.writing = true;
            std::mem::take(&mut buffer.dropped_lines)
        };
        if dropped_lines > 0 {
            let note =
                format!("[{dropped_lines} log lines left out: too many for standard output]\n");
            batch.extend_from_slice(note.as_bytes());
        }
        // The daemon keeps serving when standard output is closed.
        let _ = write_whole_lines(&batch);
        writer.lock().writing = false;
    }
}

fn write_whole_lines(mut batch: &[u8]) -> io::Result<()> {
    let mut out = io::stdout().lock();
    while !batch.is_empty() {
        let (chunk, rest) = batch.split_at(whole_lines(batch, WRITE_MAX_BYTES));
        // Complete lines bypass the buffer of `Stdout` and are written with one call.
        out.write_all(chunk)?;
        batch = rest;
    }
    out.flush()
}

/// Length of the complete lines within the first `limit` bytes, or of the first line if
/// it is longer than `limit`.
fn whole_lines(batch: &[u8], limit: usize) -> usize {
    let end_of = |part: &[u8]| part.iter().rposition(|byte| *byte == b'\n');
    let within = end_of(&batch[..batch.len().min(limit)]);
    let first = || batch.iter().position(|byte| *byte == b'\n');
    within.or_else(first).map_or(batch.len(), |index| index + 1)
}

/// Blocks until there is a line to write, so that an idle program is not woken up.
fn wait_for_lines(writer: &LogWriter) {
    let mut buffer = writer.lock();
    while buffer.lines.is_empty() {
        buffer = writer.0.not_empty.wait(buffer).unwrap_or_else(PoisonError::into_inner);
    }
}
