//! Plays an emulated cell and prints a table of its seconds.
//!
//! `cargo run --release -p yuccalink-fakes --example cell -- --entries 600 --runners 6000`

use std::time::Duration;
use yuccalink_coordination::Moment;
use yuccalink_fakes::cell::{CellSpec, Disturbance, EmulatedCell, Queueing};

const USAGE: &str = "cell [--entries N] [--runners N] [--seconds N] [--cost FACTOR] [--seed N] \
                     [--first-come] [--cut PART] [--lost PART] [--burst FACTOR]";

fn main() -> Result<(), lexopt::Error> {
    use lexopt::prelude::*;
    let (mut entries, mut runners, mut seconds) = (600, 6_000, 30);
    let (mut cost, mut seed, mut queueing) = (1.0, 1, Queueing::ByClass);
    let mut disturbances = Vec::new();
    let mut parser = lexopt::Parser::from_env();
    let from = Moment::from_millis(18_000);
    let span = Duration::from_millis(4_300);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("entries") => entries = parser.value()?.parse()?,
            Long("runners") => runners = parser.value()?.parse()?,
            Long("seconds") => seconds = parser.value()?.parse()?,
            Long("cost") => cost = parser.value()?.parse()?,
            Long("seed") => seed = parser.value()?.parse()?,
            Long("first-come") => queueing = Queueing::FirstCome,
            Long("cut") => {
                let part = parser.value()?.parse()?;
                disturbances.push((from, span, Disturbance::EntriesCut(part)));
            }
            Long("lost") => {
                let part = parser.value()?.parse()?;
                disturbances.push((from, span, Disturbance::RunnersLost(part)));
            }
            Long("burst") => {
                let factor = parser.value()?.parse()?;
                disturbances.push((from, span, Disturbance::DearMessages(factor)));
            }
            Long("help") => {
                println!("{USAGE}");
                return Ok(());
            }
            _ => return Err(arg.unexpected()),
        }
    }
    if cost != 1.0 {
        let always = Duration::from_secs(3_600);
        disturbances.push((Moment::ZERO, always, Disturbance::DearMessages(cost)));
    }
    let spec = CellSpec { queueing, seed, disturbances, ..CellSpec::sized(entries, runners) };
    let started = std::time::Instant::now();
    let report = EmulatedCell::new(spec).run(Duration::from_secs(seconds));
    print!("{report}");
    println!("played in {:.1?}", started.elapsed());
    Ok(())
}
