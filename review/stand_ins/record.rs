//! The record of a play: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { start: Instant::now(), file: Mutex::new(File::create(path)?) })
    }

    pub fn time(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {text}", self.time().as_secs_f64());
    }
}
