//! A gang waits in a queue with an advisor, which allows its step on some runners only. These are
//! idle.

use crate::platform::{DECISION, PER_WORKER, VALIDITY_MS, start_advisor};
use crate::{FINISH, IDLE, Outcome, Stage, config, identity, open, runner};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread::sleep;
use std::time::Duration;

const PREFIX: &str = "/lohu930/";
const RUNNERS: usize = 4;
const PLAIN: &str = "00000000000000cc";
const GANG: &str = "00000000000000ee";
const MEMBERS: usize = 4;

pub fn play(stage: &mut Stage) -> Result<Outcome, Outcome> {
    let advisor = format!(
        ",\"advisor\":{{\"decision_ms\":{},\"per_worker_ms\":{},\"validity_ms\":{VALIDITY_MS}}}",
        DECISION.as_millis(),
        PER_WORKER.as_millis()
    );
    let ids: Vec<String> = (0..RUNNERS).map(|number| identity(stage, number, 0).id).collect();
    let allowed = if stage.trouble { &ids[RUNNERS / 2..] } else { &[] };
    stage.record.line(format!("the advisor allows {allowed:?}, or all if this is empty"));
    start_advisor(stage.cell.platform(1), stage.record.clone(), allowed)
        .map_err(|error| Outcome::NotRun(error.to_string()))?;
    open(stage, &config(7, &[("r-a", PREFIX, 0, &advisor)]))?;
    for number in 0..RUNNERS {
        let power = Arc::new(AtomicBool::new(true));
        runner::start(identity(stage, number, 0), stage.world.clone(), power);
        sleep(Duration::from_millis(150));
    }
    sleep(Duration::from_secs(2));
    submit(stage, PLAIN, MEMBERS, false)?;
    sleep(Duration::from_secs(3));
    submit(stage, GANG, MEMBERS, true)?;
    sleep(FINISH + IDLE + Duration::from_millis(500));
    let plain = stage.cell.state(PREFIX, PLAIN);
    stage.record.line(format!("submission {PLAIN} without a gang is {plain}"));
    let state = stage.cell.state(PREFIX, GANG);
    let log = stage.world.log.lock().map_err(|_| Outcome::NotRun("no log".into()))?;
    let starts = log.starts_of(GANG);
    let alone = |(task, _, how): &&(String, u64, String)| task.starts_with(GANG) && how == "alone";
    let alone = log.ended.iter().filter(alone).count();
    drop(log);
    stage.record.line(format!("gang {GANG} is {state}, starts: {starts}, ends alone: {alone}"));
    if !stage.cell.all_run() {
        return Err(Outcome::NotRun("a daemon has ended".into()));
    }
    if plain != "completed" {
        return Err(Outcome::NotRun(format!("the submission without a gang is {plain}")));
    }
    match state.as_str() {
        "completed" => Ok(Outcome::Held),
        other => Ok(Outcome::Broken(format!(
            "gang {GANG} was accepted and is {other} {} s later beside {} idle runners that the \
             advisor allows; {starts} starts, {alone} ends alone",
            (FINISH + IDLE).as_secs(),
            RUNNERS / 2
        ))),
    }
}

fn submit(stage: &Stage, id: &str, count: usize, gang: bool) -> Result<(), Outcome> {
    let member = if gang { format!(";gang={count}") } else { String::new() };
    let body = format!(
        "{{\"spec\":\"cpu=500;mem=256;run=400;ticket=1{member}\",\"steps\":[{{\"count\":{count},\
         \"cpu\":500,\"mem_mb\":256,\"estimate_ms\":400,\"gang\":{gang}}}]}}"
    );
    let status = stage.cell.submit(PREFIX, id, &body);
    stage.record.line(format!("consumer: submission {id}, gang: {gang}: {status}"));
    match status {
        200 => Ok(()),
        _ => Err(Outcome::NotRun(format!("submission {id} got {status}"))),
    }
}
