//! Log lines leave through a thread of their own, so that a slow reader of
//! standard output never holds up traffic, and without a wake-up per line.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes waiting to be written; further lines are left out and counted.
const BUFFER_MAX_BYTES: usize = 1024 * 1024;
/// Bytes written in a second at most; a line is about 150. At the users' sites the
/// leader writes 60 KiB.
const MAX_BYTES_PER_SECOND: usize = 512 * 1024;
/// How long lines gather before they are written with one call.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Bytes written with one call at most: a pipe takes that many whole, so that a reader
/// that is slow or shared finds no line cut in two.
const WRITE_MAX_BYTES: usize = 4096;
/// Longest wait for the last lines at the end of a program.
const FINISH_TIMEOUT: Duration = Duration::from_millis(400);

#[derive(Default)]
struct LogBuffer {
    lines: Vec<u8>,
    dropped_lines: u64,
    /// Bytes taken in since `since`.
    offered_bytes: usize,
    period_start: Option<Instant>,
    writing: bool,
}

#[derive(Default)]
struct SharedBuffer {
    buffer: Mutex<LogBuffer>,
    /// There are lines to write.
    not_empty: Condvar,
}

#[derive(Clone, Default)]
struct LogWriter(Arc<SharedBuffer>);

static LOG_WRITER: std::sync::OnceLock<LogWriter> = std::sync::OnceLock::new();

/// A writer for a logger: collects lines for a thread that writes to standard output.
///
/// # Errors
/// When the thread cannot be started.
pub fn start() -> io::Result<Box<dyn Write + Send>> {
    let lines = LOG_WRITER.get_or_init(LogWriter::default).clone();
    let source = lines.clone();
    thread::Builder::new().name("log".into()).spawn(move || write_lines(&source))?;
    Ok(Box::new(lines))
}

/// Writes what is still waiting; for the end of a program.
pub fn finish() {
    let Some(lines) = LOG_WRITER.get() else { return };
    let until = Instant::now() + FINISH_TIMEOUT;
    while Instant::now() < until {
        let buffer = lines.lock();
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
            let first = buffer.lines.is_empty();
            buffer.lines.extend_from_slice(buf);
            if first {
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

fn write_lines(source: &LogWriter) {
    let mut batch = Vec::new();
    loop {
        wait_for_lines(source);
        thread::sleep(WRITE_INTERVAL);
        batch.clear();
        let dropped_lines = {
            let mut buffer = source.lock();
            std::mem::swap(&mut batch, &mut buffer.lines);
            buffer.writing = true;
            std::mem::take(&mut buffer.dropped_lines)
        };
        if dropped_lines > 0 {
            let note =
                format!("[{dropped_lines} log lines left out: too many for standard output]\n");
            batch.extend_from_slice(note.as_bytes());
        }
        // A closed standard output is no reason to stop serving.
        let _ = write_whole_lines(&batch);
        source.lock().writing = false;
    }
}

fn write_whole_lines(mut batch: &[u8]) -> io::Result<()> {
    let mut out = io::stdout().lock();
    while !batch.is_empty() {
        let (now, rest) = batch.split_at(whole_lines(batch, WRITE_MAX_BYTES));
        // Whole lines pass its buffer and leave with one call.
        out.write_all(now)?;
        batch = rest;
    }
    out.flush()
}

/// How many bytes of whole lines there are up to `most`, or of the one line that is
/// longer than that.
fn whole_lines(batch: &[u8], limit: usize) -> usize {
    let end_of = |part: &[u8]| part.iter().rposition(|byte| *byte == b'\n');
    let within = end_of(&batch[..batch.len().min(limit)]);
    let first = || batch.iter().position(|byte| *byte == b'\n');
    within.or_else(first).map_or(batch.len(), |at| at + 1)
}

/// An idle program is not woken up.
fn wait_for_lines(source: &LogWriter) {
    let mut buffer = source.lock();
    while buffer.lines.is_empty() {
        buffer = source.0.not_empty.wait(buffer).unwrap_or_else(PoisonError::into_inner);
    }
}
