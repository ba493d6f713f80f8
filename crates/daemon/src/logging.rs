//! Log lines leave through a thread of their own, so that a slow reader of
//! standard error never holds up traffic.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;

/// Lines waiting to be written; more are dropped and counted.
const QUEUE: usize = 16 * 1024;

/// A writer for a logger: hands each line to a thread that writes to standard error.
///
/// # Errors
/// When the thread cannot be started.
pub fn start() -> io::Result<Box<dyn Write + Send>> {
    let (tx, rx) = sync_channel(QUEUE);
    let dropped = Arc::new(AtomicU64::new(0));
    let lost = dropped.clone();
    thread::Builder::new().name("log".into()).spawn(move || write_lines(&rx, &lost))?;
    Ok(Box::new(Lines { tx, dropped }))
}

struct Lines {
    tx: SyncSender<Box<[u8]>>,
    dropped: Arc<AtomicU64>,
}

impl Write for Lines {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if let Err(TrySendError::Full(_)) = self.tx.try_send(buf.into()) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(rx: &Receiver<Box<[u8]>>, dropped: &AtomicU64) {
    let mut batch = Vec::new();
    while let Ok(line) = rx.recv() {
        batch.clear();
        batch.extend_from_slice(&line);
        while let Ok(line) = rx.try_recv() {
            batch.extend_from_slice(&line);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            batch.extend_from_slice(
                format!("[{lost} log lines dropped: standard error is read too slowly]\n")
                    .as_bytes(),
            );
        }
        // A closed standard error is no reason to stop serving.
        let _ = io::stderr().write_all(&batch);
    }
}
