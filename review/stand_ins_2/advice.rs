//! One submission that no runner is large enough for waits in a queue with an advisor. The others
//! in the queues with an advisor fit, and wait as well.

use crate::platform::{DECISION, PER_WORKER, VALIDITY_MS, start_advisor};
use crate::{FINISH, IDLE, Outcome, Stage, config, identity, open, runner};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread::sleep;
use std::time::{Duration, Instant};

const URGENT: &str = "/lohu930/";
const USUAL: &str = "/pufi791/";
const RUNNERS: usize = 4;
const HOPELESS: &str = "00000000000000bb";
/// Submissions beside the hopeless one, which is one in twenty.
const OTHERS: u64 = 19;

pub fn play(stage: &mut Stage) -> Result<Outcome, Outcome> {
    let advisor = format!(
        ",\"advisor\":{{\"decision_ms\":{},\"per_worker_ms\":{},\"validity_ms\":{VALIDITY_MS}}}",
        DECISION.as_millis(),
        PER_WORKER.as_millis()
    );
    let record = stage.record.clone();
    start_advisor(stage.cell.platform(1), record, &[])
        .map_err(|error| Outcome::NotRun(error.to_string()))?;
    open(stage, &config(7, &[("r-a", URGENT, 0, &advisor), ("r-b", USUAL, 2, &advisor)]))?;
    for number in 0..RUNNERS {
        let power = Arc::new(AtomicBool::new(true));
        runner::start(identity(stage, number, 0), stage.world.clone(), power);
    }
    sleep(Duration::from_secs(3));
    let size = stage.trouble.then_some(40_000).unwrap_or(1_000);
    let (first, status) = (Instant::now(), submit(stage, URGENT, HOPELESS, size, 60_000, 1));
    if status != 200 {
        return Err(Outcome::NotRun(format!("the first submission got {status}")));
    }
    let mut accepted = Vec::new();
    for number in 0..OTHERS {
        let id = format!("{:016x}", 0xc00 + number);
        if submit(stage, USUAL, &id, 500, 400, 2) == 200 {
            accepted.push(id);
        }
    }
    stage.record.line(format!("all were handed in within {:?}", first.elapsed()));
    if accepted.is_empty() {
        return Err(Outcome::NotRun("no submission was accepted".into()));
    }
    sleep(FINISH + IDLE + Duration::from_millis(500));
    let mut waiting = Vec::new();
    for id in &accepted {
        let state = stage.cell.state(USUAL, id);
        let starts = stage.world.log.lock().map_or(0, |log| log.starts_of(id));
        stage.record.line(format!("submission {id} is {state}, starts: {starts}"));
        if starts == 0 && state != "completed" {
            waiting.push(id.clone());
        }
    }
    if !stage.cell.all_run() {
        return Err(Outcome::NotRun("a daemon has ended".into()));
    }
    match waiting.first() {
        None => Ok(Outcome::Held),
        Some(id) => Ok(Outcome::Broken(format!(
            "{} of {} accepted submissions, {id} first, have had nothing running for {} s beside \
             idle runners that the advisor would allow",
            waiting.len(),
            accepted.len(),
            (FINISH + IDLE).as_secs()
        ))),
    }
}

fn submit(stage: &Stage, prefix: &str, id: &str, cpu: u64, estimate_ms: u64, count: u32) -> u16 {
    let body = format!(
        "{{\"spec\":\"cpu={cpu};mem=256;run=400;ticket=1\",\"steps\":[{{\"count\":{count},\
         \"cpu\":{cpu},\"mem_mb\":256,\"estimate_ms\":{estimate_ms}}}]}}"
    );
    let status = stage.cell.submit(prefix, id, &body);
    stage.record.line(format!("consumer: submission {id}, {count} tasks of {cpu}: {status}"));
    status
}
