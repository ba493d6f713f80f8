//! A submission with times whose first step is a gang is due, and the runners are idle.

use crate::{FINISH, IDLE, Outcome, Stage, cell, config, identity, open, runner};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread::sleep;
use std::time::Duration;

const PREFIX: &str = "/lohu930/";
const RUNNERS: usize = 4;
const PLAIN: &str = "00000000000000cc";
const GANG: &str = "00000000000000ee";
const OCCURRENCES: u32 = 2;
const MEMBERS: usize = 4;

pub fn play(stage: &mut Stage) -> Result<Outcome, Outcome> {
    open(stage, &config(7, &[("r-a", PREFIX, 0, "")]))?;
    for number in 0..RUNNERS {
        let power = Arc::new(AtomicBool::new(true));
        runner::start(identity(stage, number, 0), stage.world.clone(), power);
    }
    sleep(Duration::from_secs(3));
    submit(stage, PLAIN, false, true)?;
    submit(stage, GANG, true, stage.trouble)?;
    sleep(FINISH + IDLE + Duration::from_millis(500));
    let plain = stage.cell.state(PREFIX, PLAIN);
    stage.record.line(format!("submission {PLAIN} with times, without a gang, is {plain}"));
    let state = stage.cell.state(PREFIX, GANG);
    let starts = stage.world.log.lock().map_or(0, |log| log.starts_of(GANG));
    stage.record.line(format!("gang {GANG} is {state}, starts: {starts}"));
    if plain != "completed" || !stage.cell.all_run() {
        return Err(Outcome::NotRun(format!("the submission without a gang is {plain}")));
    }
    match (state.as_str(), starts) {
        ("completed", _) => Ok(Outcome::Held),
        (_, 0) => Ok(Outcome::Broken(format!(
            "gang {GANG} was accepted, is {state} and has had nothing running for {} s after its \
             time, beside idle runners",
            (FINISH + IDLE).as_secs()
        ))),
        _ => Ok(Outcome::Held),
    }
}

fn submit(stage: &Stage, id: &str, gang: bool, timed: bool) -> Result<(), Outcome> {
    let member = if gang { format!(";gang={MEMBERS}") } else { String::new() };
    let start = cell::unix_ms() + 1_000;
    let times = match timed {
        true => format!(
            ",\"start_time_ms\":{start},\"interval_ms\":1000,\"repeat_count\":{OCCURRENCES}"
        ),
        false => String::new(),
    };
    let body = format!(
        "{{\"spec\":\"cpu=500;mem=256;run=400{member}\",\"steps\":[{{\"count\":{MEMBERS},\
         \"cpu\":500,\"mem_mb\":256,\"estimate_ms\":400,\"gang\":{gang}}}]{times}}}"
    );
    let status = stage.cell.submit(PREFIX, id, &body);
    stage.record.line(format!("consumer: submission {id}, gang: {gang}, times: {timed}: {status}"));
    match status {
        200 => Ok(()),
        _ => Err(Outcome::NotRun(format!("submission {id} got {status}"))),
    }
}
