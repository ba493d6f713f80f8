//! Eight gangs that are larger than all runners together wait in one queue. A gang of another queue
//! fits, and waits as well.

use crate::{FINISH, IDLE, Outcome, Stage, config, identity, open, runner};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread::sleep;
use std::time::{Duration, Instant};

const URGENT: &str = "/lohu930/";
const USUAL: &str = "/pufi791/";
const RUNNERS: usize = 4;
const HOPELESS: u64 = 8;
/// Of the submissions of their queue, those that can never be done are one in twenty.
const PLAIN: u64 = 152;
const GANG: &str = "00000000000000ee";

pub fn play(stage: &mut Stage) -> Result<Outcome, Outcome> {
    open(stage, &config(7, &[("r-a", URGENT, 0, ""), ("r-b", USUAL, 2, "")]))?;
    for number in 0..RUNNERS {
        let power = Arc::new(AtomicBool::new(true));
        runner::start(identity(stage, number, 0), stage.world.clone(), power);
    }
    sleep(Duration::from_secs(3));
    let started = Instant::now();
    let members = if stage.trouble { 64 } else { 2 };
    for number in 0..HOPELESS {
        let id = format!("{:016x}", 0xd00 + number);
        let cpu = if stage.trouble { 32_000 } else { 500 };
        submit(stage, URGENT, &id, &gang(members, cpu, 60_000))?;
    }
    for number in 0..PLAIN {
        let id = format!("{:016x}", 0xf000 + number);
        submit(stage, URGENT, &id, &plain())?;
    }
    submit(stage, USUAL, GANG, &gang(4, 500, 400))?;
    stage.record.line(format!("all were handed in within {:?}", started.elapsed()));
    sleep(FINISH + IDLE + Duration::from_millis(500));
    let unfinished = (0..PLAIN)
        .map(|number| format!("{:016x}", 0xf000 + number))
        .filter(|id| stage.world.log.lock().map_or(0, |log| log.starts_of(id)) == 0)
        .count();
    stage.record.line(format!("{unfinished} of {PLAIN} submissions without gangs never started"));
    let state = stage.cell.state(USUAL, GANG);
    let starts = stage.world.log.lock().map_or(0, |log| log.starts_of(GANG));
    stage.record.line(format!("gang {GANG} is {state}, starts: {starts}"));
    if !stage.cell.all_run() {
        return Err(Outcome::NotRun("a daemon has ended".into()));
    }
    match (state.as_str(), starts) {
        ("completed", _) => Ok(Outcome::Held),
        (_, 0) => Ok(Outcome::Broken(format!(
            "gang {GANG} was accepted, is {state} and has had nothing running for {} s beside \
             idle runners with room for it",
            (FINISH + IDLE).as_secs()
        ))),
        _ => Ok(Outcome::Held),
    }
}

fn gang(count: u32, cpu: u64, estimate_ms: u64) -> String {
    format!(
        "{{\"spec\":\"cpu={cpu};mem=256;run=400;gang={count}\",\"steps\":[{{\"count\":{count},\
         \"cpu\":{cpu},\"mem_mb\":256,\"estimate_ms\":{estimate_ms},\"gang\":true}}]}}"
    )
}

fn plain() -> String {
    "{\"spec\":\"cpu=500;mem=256;run=200\",\"steps\":[{\"count\":1,\"cpu\":500,\"mem_mb\":256,\
     \"estimate_ms\":200}]}"
        .into()
}

fn submit(stage: &Stage, prefix: &str, id: &str, body: &str) -> Result<(), Outcome> {
    let status = stage.cell.submit(prefix, id, body);
    stage.record.line(format!("consumer: submission {id}: {status}"));
    match status {
        200 => Ok(()),
        _ => Err(Outcome::NotRun(format!("submission {id} got {status}"))),
    }
}
