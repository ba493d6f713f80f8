//! A wave takes down the one machine with accelerators; the platform carries the upkeep out, and
//! its answer is lost. The machine is up again, and submissions that need an accelerator wait.

use crate::platform::Cloud;
use crate::{FINISH, IDLE, Outcome, Stage, config, identity, open};
use std::thread::sleep;
use std::time::{Duration, Instant};

const PREFIX: &str = "/lohu930/";
const MACHINES: usize = 4;
/// The machine with accelerators is the last one.
const WAVE: &str = r#"{"wave":1,"machines":["m-4","m-1"],"finish_by_s":30,"max_count":1}"#;
const BEFORE: &str = "00000000000000a1";
const PLAIN: &str = "00000000000000a2";
const WITH_GPU: &str = "00000000000000a3";

fn body(gpu: u64) -> String {
    format!(
        "{{\"spec\":\"cpu=1000;mem=256;gpu={gpu};run=400\",\"steps\":[{{\"count\":1,\"cpu\":1000,\
         \"mem_mb\":256,\"gpu\":{gpu},\"estimate_ms\":400}}]}}"
    )
}

pub fn play(stage: &mut Stage) -> Result<Outcome, Outcome> {
    open(stage, &config(7, &[("r-a", PREFIX, 0, "")]))?;
    let runners: Vec<_> =
        (0..MACHINES).map(|n| identity(stage, n, if n + 1 == MACHINES { 4 } else { 0 })).collect();
    let unanswered = u32::from(stage.trouble);
    let at = stage.cell.platform(0);
    let cloud = Cloud::start(at, stage.world.clone(), runners, unanswered)
        .map_err(|error| Outcome::NotRun(error.to_string()))?;
    sleep(Duration::from_secs(3));
    // The accelerators can be used before the wave.
    submit(stage, BEFORE, &body(1))?;
    wait_for(stage, BEFORE, Duration::from_secs(10))
        .then_some(())
        .ok_or(Outcome::NotRun("the accelerators were never used".into()))?;
    let answer = stage.cell.operate("POST", "/api/wave-start", WAVE, 20);
    stage.record.line(format!("operator: wave 1: {:?}", answer.map(|answer| answer.status)));
    // Until all machines are up again, the rule asks nothing.
    let wanted = if stage.trouble { 1 } else { 2 };
    let until = Instant::now() + Duration::from_secs(40);
    while cloud.upkeeps() != (true, wanted) {
        if Instant::now() > until {
            return Err(Outcome::NotRun("no machine had its upkeep".into()));
        }
        sleep(Duration::from_millis(100));
    }
    // The leader repeats the call without an answer, and hears that the upkeep is done.
    sleep(Duration::from_secs(8));
    let answer = stage.cell.operate("GET", "/api/wave-get/1", "", 20);
    stage.record.line(format!("operator: wave 1 is {:?}", answer.map(|answer| answer.body)));
    submit(stage, PLAIN, &body(0))?;
    submit(stage, WITH_GPU, &body(1))?;
    sleep(FINISH);
    let plain = stage.cell.state(PREFIX, PLAIN);
    stage.record.line(format!("submission {PLAIN} without accelerators is {plain}"));
    let mut state = String::new();
    let until = Instant::now() + IDLE + Duration::from_millis(500);
    while Instant::now() < until {
        state = stage.cell.state(PREFIX, WITH_GPU);
        stage.record.line(format!("submission {WITH_GPU} with one accelerator is {state}"));
        sleep(Duration::from_millis(500));
    }
    let starts = stage.world.log.lock().map_or(0, |log| log.starts_of(WITH_GPU));
    if !stage.cell.all_run() {
        return Err(Outcome::NotRun("a daemon has ended".into()));
    }
    let (all_up, _) = cloud.upkeeps();
    match (state.as_str(), starts) {
        ("completed", _) => Ok(Outcome::Held),
        (_, 0) if all_up => Ok(Outcome::Broken(format!(
            "submission {WITH_GPU} was accepted, is {state} and has nothing running {} s later, \
             though the machine with 4 idle accelerators is up",
            (FINISH + IDLE).as_secs()
        ))),
        _ => Ok(Outcome::Held),
    }
}

fn submit(stage: &Stage, id: &str, body: &str) -> Result<(), Outcome> {
    let status = stage.cell.submit(PREFIX, id, body);
    stage.record.line(format!("consumer: submission {id}: {status}"));
    match status {
        200 => Ok(()),
        _ => Err(Outcome::NotRun(format!("submission {id} got {status}"))),
    }
}

fn wait_for(stage: &Stage, id: &str, limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if stage.cell.state(PREFIX, id) == "completed" {
            return true;
        }
        sleep(Duration::from_millis(200));
    }
    false
}
