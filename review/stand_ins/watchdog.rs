//! Ends the processes of a play that takes too long. Their ids also stand in a file, by which
//! `run.sh` ends them if the play itself is killed.

use std::fs;
use std::path::PathBuf;
use std::process::Command;
use std::sync::{Mutex, OnceLock};
use std::time::Duration;

/// A play may take 120 s.
const LIMIT: Duration = Duration::from_secs(117);

static GUARDED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static FILE: OnceLock<PathBuf> = OnceLock::new();

pub fn start() {
    if let Some(path) = std::env::var_os("REVIEW_PIDS") {
        let _ = FILE.set(path.into());
    }
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        eprintln!("could not run: the play takes longer than {LIMIT:?}");
        for id in GUARDED.lock().unwrap().iter() {
            let _ = Command::new("kill").args(["-9", &id.to_string()]).status();
        }
        std::process::exit(2);
    });
}

pub fn guard(id: u32) {
    change(|ids| ids.push(id));
}

pub fn release(id: u32) {
    change(|ids| ids.retain(|known| *known != id));
}

fn change<F>(f: F)
where
    F: FnOnce(&mut Vec<u32>),
{
    let mut ids = GUARDED.lock().unwrap();
    f(&mut ids);
    if let Some(file) = FILE.get() {
        let lines: Vec<String> = ids.iter().map(u32::to_string).collect();
        let _ = fs::write(file, lines.join("\n"));
    }
}
