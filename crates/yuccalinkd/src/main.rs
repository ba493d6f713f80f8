//! The program `yuccalinkd`: reads settings, runs the daemon, obeys signals.

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
