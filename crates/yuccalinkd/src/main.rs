//! The program `yuccalinkd`, the daemon that runs on every entry VM.

mod app;
mod args;
mod cell;

use std::process::ExitCode;

fn main() -> ExitCode {
    match app::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("yuccalinkd: {error}");
            error.exit_code()
        }
    }
}
