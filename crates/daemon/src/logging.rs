//! Log lines leave through a thread of their own, so that a slow reader of
//! standard output never holds up traffic, and without a wake-up per line.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Bytes waiting to be written; further lines are dropped and counted.
const WAITING_MAX: usize = 4 * 1024 * 1024;
/// How often waiting lines are written.
const PERIOD: Duration = Duration::from_millis(20);

#[derive(Default)]
struct Waiting {
    lines: Vec<u8>,
    dropped: u64,
}

#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Waiting>>);

/// A writer for a logger: collects lines for a thread that writes to standard output.
///
/// # Errors
/// When the thread cannot be started.
pub fn start() -> io::Result<Box<dyn Write + Send>> {
    let lines = Lines::default();
    let source = lines.clone();
    thread::Builder::new().name("log".into()).spawn(move || write_lines(&source))?;
    Ok(Box::new(lines))
}

/// Writes what is still waiting; for the end of a program.
pub fn finish() {
    thread::sleep(PERIOD * 2);
}

impl Lines {
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Write for Lines {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let mut waiting = self.lock();
        if waiting.lines.len() + buf.len() > WAITING_MAX {
            waiting.dropped += 1;
        } else {
            waiting.lines.extend_from_slice(buf);
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
        thread::sleep(PERIOD);
        batch.clear();
        let dropped = {
            let mut waiting = source.lock();
            std::mem::swap(&mut batch, &mut waiting.lines);
            std::mem::take(&mut waiting.dropped)
        };
        if dropped > 0 {
            let note =
                format!("[{dropped} log lines dropped: standard output is read too slowly]\n");
            batch.extend_from_slice(note.as_bytes());
        }
        // A closed standard output is no reason to stop serving.
        let _ = io::stdout().write_all(&batch);
    }
}
