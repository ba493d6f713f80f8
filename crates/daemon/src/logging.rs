//! Log lines leave through a thread of their own, so that a slow reader of
//! standard output never holds up traffic, and without a wake-up per line.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes waiting to be written; further lines are left out and counted.
const WAITING_MAX: usize = 1024 * 1024;
/// Bytes written in a second at most; a line is about 150. At the users' sites the
/// leader writes 60 KiB.
const BYTES_PER_SECOND: usize = 512 * 1024;
/// How long lines gather before they are written with one call.
const PERIOD: Duration = Duration::from_millis(100);
/// Bytes written with one call at most: a pipe takes that many whole, so that a reader
/// that is slow or shared finds no line cut in two.
const WRITE_MAX: usize = 4096;
/// Longest wait for the last lines at the end of a program.
const FINISH: Duration = Duration::from_millis(400);

#[derive(Default)]
struct Waiting {
    lines: Vec<u8>,
    dropped: u64,
    /// Bytes taken in since `since`.
    taken: usize,
    since: Option<Instant>,
    writing: bool,
}

#[derive(Default)]
struct Shared {
    waiting: Mutex<Waiting>,
    /// There are lines to write.
    some: Condvar,
}

#[derive(Clone, Default)]
struct Lines(Arc<Shared>);

static LINES: std::sync::OnceLock<Lines> = std::sync::OnceLock::new();

/// A writer for a logger: collects lines for a thread that writes to standard output.
///
/// # Errors
/// When the thread cannot be started.
pub fn start() -> io::Result<Box<dyn Write + Send>> {
    let lines = LINES.get_or_init(Lines::default).clone();
    let source = lines.clone();
    thread::Builder::new().name("log".into()).spawn(move || write_lines(&source))?;
    Ok(Box::new(lines))
}

/// Writes what is still waiting; for the end of a program.
pub fn finish() {
    let Some(lines) = LINES.get() else { return };
    let until = Instant::now() + FINISH;
    while Instant::now() < until {
        let waiting = lines.lock();
        if waiting.lines.is_empty() && !waiting.writing {
            return;
        }
        drop(waiting);
        thread::sleep(PERIOD / 10);
    }
}

impl Lines {
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.0.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Waiting {
    fn has_room(&mut self, size: usize) -> bool {
        let now = Instant::now();
        if self.since.is_none_or(|since| now.duration_since(since) >= Duration::from_secs(1)) {
            self.since = Some(now);
            self.taken = 0;
        }
        self.taken += size;
        self.taken <= BYTES_PER_SECOND && self.lines.len() + size <= WAITING_MAX
    }
}

impl Write for Lines {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let mut waiting = self.lock();
        if waiting.has_room(buf.len()) {
            let first = waiting.lines.is_empty();
            waiting.lines.extend_from_slice(buf);
            if first {
                self.0.some.notify_one();
            }
        } else {
            waiting.dropped += 1;
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(source: &Lines) {
    let mut batch = Vec::new();
    loop {
        wait_for_some(source);
        thread::sleep(PERIOD);
        batch.clear();
        let dropped = {
            let mut waiting = source.lock();
            std::mem::swap(&mut batch, &mut waiting.lines);
            waiting.writing = true;
            std::mem::take(&mut waiting.dropped)
        };
        if dropped > 0 {
            let note = format!("[{dropped} log lines left out: too many for standard output]\n");
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
        let (now, later) = batch.split_at(whole_lines(batch, WRITE_MAX));
        // Whole lines pass its buffer and leave with one call.
        out.write_all(now)?;
        batch = later;
    }
    out.flush()
}

/// How many bytes of whole lines there are up to `most`, or of the one line that is
/// longer than that.
fn whole_lines(batch: &[u8], most: usize) -> usize {
    let end_of = |part: &[u8]| part.iter().rposition(|byte| *byte == b'\n');
    let within = end_of(&batch[..batch.len().min(most)]);
    let first = || batch.iter().position(|byte| *byte == b'\n');
    within.or_else(first).map_or(batch.len(), |at| at + 1)
}

/// An idle program is not woken up.
fn wait_for_some(source: &Lines) {
    let mut waiting = source.lock();
    while waiting.lines.is_empty() {
        waiting = source.0.some.wait(waiting).unwrap_or_else(PoisonError::into_inner);
    }
}
