//! The program `yuccalink`, which runs one command for operators and service teams.

mod app;
mod args;

use std::process::ExitCode;

fn main() -> ExitCode {
    match app::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("yuccalink: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
