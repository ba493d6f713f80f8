//! Runs soaks from the command line: `cargo run --release -p yuccalink-soak --example soak --
//! PROGRAM [--from SEED] [--seeds N] [--seconds N] [--nodes N] [--disks N] [--runners N]
//! [--crashes] [--cancels] [--settings]`. If a seed violates a guarantee, its folder is kept and its path printed.

use lexopt::{Arg, Parser, ValueExt};
use std::process::ExitCode;
use std::time::Duration;
use yuccalink_soak::{SoakSettings, run};

fn main() -> ExitCode {
    match soak() {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("soak: {error}");
            ExitCode::from(2)
        }
    }
}

fn soak() -> Result<u64, Box<dyn std::error::Error>> {
    let (mut from, mut seeds, mut seconds) = (1, 1, 20);
    let (mut nodes, mut disks, mut runners) = (5, 3, 8);
    let (mut program, mut crashes, mut cancels, mut settings) = (None, false, false, false);
    let mut parser = Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("from") => from = parser.value()?.parse()?,
            Arg::Long("seeds") => seeds = parser.value()?.parse()?,
            Arg::Long("seconds") => seconds = parser.value()?.parse()?,
            Arg::Long("nodes") => nodes = parser.value()?.parse()?,
            Arg::Long("disks") => disks = parser.value()?.parse()?,
            Arg::Long("runners") => runners = parser.value()?.parse()?,
            Arg::Long("crashes") => crashes = true,
            Arg::Long("cancels") => cancels = true,
            Arg::Long("settings") => settings = true,
            Arg::Value(value) => program = Some(value.into()),
            other => return Err(other.unexpected().into()),
        }
    }
    let program: std::path::PathBuf =
        program.ok_or("the path of the program yuccalinkd is missing")?;
    let mut failed_seeds = 0;
    for seed in from..from + seeds {
        let folder = tempfile::tempdir()?;
        let soak_settings = SoakSettings {
            program: program.clone(),
            folder: folder.path().into(),
            seed,
            nodes,
            disks,
            runners,
            span: Duration::from_secs(seconds),
            crashes,
            cancels,
            settings,
        };
        let report = run(&soak_settings)?;
        println!(
            "seed {seed}: {} jobs accepted, {} completed, {} given up ({} of them without crashes), {} runners crashed, {} evacuations, {} \
             starts, {} faults, {} cancelled ({} of them unknown), longest stop {:?}, {} holds, {} reads of settings, read back first {:?} last {:?}, {} violations",
            report.accepted,
            report.completed,
            report.given_up,
            report.given_up_without_crash,
            report.crashes,
            report.evacuations,
            report.starts,
            report.faults,
            report.cancelled,
            report.cancelled_unknown,
            report.longest_stop,
            report.holds,
            report.settings_reads,
            report.read_back.first(),
            report.read_back.last(),
            report.violations.len()
        );
        if !report.violations.is_empty() {
            failed_seeds += 1;
            let kept = folder.keep();
            println!("  kept in {}", kept.display());
            std::fs::write(kept.join("violations.txt"), report.violations.join("\n"))?;
            report.violations.iter().take(10).for_each(|violation| println!("  {violation}"));
        }
    }
    println!("{seeds} seeds, {failed_seeds} failed");
    Ok(failed_seeds)
}
