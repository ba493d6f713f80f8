//! Plays one case of the review against the project's own daemons. Exit code 1: the rule was
//! broken; 0: it held; 2: the case could not run.
//!
//! Usage: `stand_ins_2 CASE RECORD`; with `TROUBLE=0` in the environment without the disruption.

mod cell;
mod gang_advice;
mod gangs;
mod http;
mod json;
mod long;
mod platform;
mod record;
mod retry;
mod runner;
mod upkeep;
mod wide;

use cell::Cell;
use record::Record;
use runner::{Gangs, Identity, Log, World};
use std::path::PathBuf;
use std::process::{Command, ExitCode};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What a case found.
pub enum Outcome {
    Held,
    Broken(String),
    NotRun(String),
}

pub struct Stage {
    pub cell: Cell,
    pub world: World,
    pub record: Record,
    pub trouble: bool,
}

/// `finish_s` of the settings.
pub const FINISH: Duration = Duration::from_secs(14);
/// Time for which a submission may have nothing running, though there is capacity.
pub const IDLE: Duration = Duration::from_secs(3);

pub fn identity(stage: &Stage, number: usize, gpu: u64) -> Identity {
    let zones = ["brno-a", "zlin-b", "olomouc-c"];
    Identity {
        id: format!("i-m-{}-1", number + 1),
        service: cell::SERVICE.into(),
        address: stage.cell.runner_address(number),
        zone: zones[number % zones.len()].into(),
        kind: if gpu > 0 { "g".into() } else { "a".into() },
        rack: format!("r{}-1", number / 2 + 1),
        cpu: 32_000,
        mem_mb: 128_000,
        gpu,
        fails_all: Arc::default(),
    }
}

/// A config with these routes; each is a name, a prefix, a priority and further fields.
pub fn config(version: u64, routes: &[(&str, &str, u32, &str)]) -> String {
    let route = |(name, prefix, priority, more): &(&str, &str, u32, &str)| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{}\",\"path_prefix\":\"{prefix}\",\
             \"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"target_duration_ms\":1200,\
             \"priority\":{priority},\"service\":\"{}\",\"attempts\":3,\"slack_factor\":1.5{more}}}",
            cell::HOST,
            cell::SERVICE
        )
    };
    let routes: Vec<String> = routes.iter().map(route).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{}\",\
         \"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\
         \"enforce_capacity\":true,\"standby\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        cell::SERVICE
    )
}

/// Sends the first config until it is accepted, and waits until all daemons are ready.
pub fn open(stage: &Stage, config: &str) -> Result<(), Outcome> {
    let answer = stage.cell.operate("POST", "/api/config/replace", config, 60);
    let status = answer.map_or(0, |answer| answer.status);
    stage.record.line(format!("operator: first config: {status}"));
    if status != 200 {
        return Err(Outcome::NotRun("no daemon took the config".into()));
    }
    match stage.cell.wait_ready(Duration::from_secs(20)) {
        true => Ok(()),
        false => Err(Outcome::NotRun("the daemons are not ready".into())),
    }
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(path)) = (args.next(), args.next()) else {
        eprintln!("usage: stand_ins_2 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    thread::spawn(end_late);
    let outcome = match play(&case, &path, trouble) {
        Ok(outcome) => outcome,
        Err(error) => Outcome::NotRun(error.to_string()),
    };
    match outcome {
        Outcome::Held => {
            println!("{case}: held");
            ExitCode::SUCCESS
        }
        Outcome::Broken(what) => {
            println!("{case}: broken: {what}");
            ExitCode::from(1)
        }
        Outcome::NotRun(why) => {
            println!("{case}: could not run: {why}");
            ExitCode::from(2)
        }
    }
}

/// Ends the daemons and this program if a case takes too long, also where run.sh is gone.
fn end_late() {
    thread::sleep(Duration::from_secs(110));
    let pids = std::fs::read_to_string(case_folder().join("pids")).unwrap_or_default();
    for pid in pids.lines() {
        let _ = Command::new("kill").args(["-KILL", pid]).status();
    }
    println!("the case took too long");
    std::process::exit(2);
}

fn case_folder() -> PathBuf {
    std::env::var("CASE_FOLDER").map_or(std::env::temp_dir(), PathBuf::from)
}

fn play(case: &str, path: &str, trouble: bool) -> std::io::Result<Outcome> {
    let record = Record::create(path)?;
    record.line(format!("case {case}, with the disruption: {trouble}"));
    let Some(mut cell) = Cell::new(record.clone(), case_folder(), 3, case.ends_with("advice"))
    else {
        return Ok(Outcome::NotRun("no free ports".into()));
    };
    cell.start()?;
    let world = World {
        record: record.clone(),
        log: Arc::new(Mutex::new(Log::default())),
        gangs: Arc::new(Mutex::new(Gangs::default())),
        controls: cell.controls(),
    };
    let mut stage = Stage { cell, world, record: record.clone(), trouble };
    let result = match case {
        "upkeep" => upkeep::play(&mut stage),
        "gangs" => gangs::play(&mut stage),
        "gang_advice" => gang_advice::play(&mut stage),
        "wide" => wide::play(&mut stage),
        "long" => long::play(&mut stage),
        "retry" => retry::play(&mut stage),
        _ => Err(Outcome::NotRun(format!("there is no case {case}"))),
    };
    let outcome = result.unwrap_or_else(|outcome| outcome);
    let text = match &outcome {
        Outcome::Held => "the rule held".to_string(),
        Outcome::Broken(what) => format!("the rule was broken: {what}"),
        Outcome::NotRun(why) => format!("the case could not run: {why}"),
    };
    record.line(text);
    Ok(outcome)
}
