//! One submission in twenty takes five minutes; the others take 0.2 s. All runners are sound.

use crate::{FINISH, IDLE, Outcome, Stage, config, identity, open, runner};
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread::sleep;
use std::time::{Duration, Instant};

const PREFIX: &str = "/lohu930/";
const RUNNERS: usize = 12;
const SUBMISSIONS: u64 = 480;
const ONE_IN: u64 = 20;
const LONG_MS: u64 = 300_000;
const SHORT_MS: u64 = 200;
const OBSERVED: Duration = Duration::from_secs(20);

pub fn play(stage: &mut Stage) -> Result<Outcome, Outcome> {
    open(stage, &config(7, &[("r-a", PREFIX, 0, "")]))?;
    for number in 0..RUNNERS {
        let power = Arc::new(AtomicBool::new(true));
        runner::start(identity(stage, number, 0), stage.world.clone(), power);
    }
    sleep(Duration::from_secs(3));
    let started = Instant::now();
    let mut long = Vec::new();
    for number in 0..SUBMISSIONS {
        let id = format!("{:016x}", 0xf000 + number);
        let is_long = stage.trouble && number % ONE_IN == ONE_IN - 1;
        let run = if is_long { LONG_MS } else { SHORT_MS };
        let body = format!(
            "{{\"spec\":\"cpu=1000;mem=256;run={run}\",\"steps\":[{{\"count\":1,\"cpu\":1000,\
             \"mem_mb\":256,\"estimate_ms\":{run}}}]}}"
        );
        let status = stage.cell.submit(PREFIX, &id, &body);
        stage.record.line(format!("consumer: submission {id}, {run} ms: {status}"));
        if status != 200 {
            return Err(Outcome::NotRun(format!("submission {id} got {status}")));
        }
        if is_long {
            long.push(id);
        }
    }
    stage.record.line(format!("all were handed in within {:?}", started.elapsed()));
    sleep(FINISH);
    let never = (0..SUBMISSIONS)
        .map(|number| format!("{:016x}", 0xf000 + number))
        .filter(|id| !long.contains(id) && !has_ended(stage, id, "done"))
        .count();
    stage.record.line(format!("submissions of {SHORT_MS} ms that are not done: {never}"));
    let longest = longest_idle(stage, &long);
    let most = longest.values().max().copied().unwrap_or_default();
    let idle = longest.values().filter(|idle| **idle > IDLE).count();
    for (id, idle) in &longest {
        stage.record.line(format!("submission {id}: nothing running for {idle:?} at the longest"));
    }
    if !stage.cell.all_run() {
        return Err(Outcome::NotRun("a daemon has ended".into()));
    }
    match (idle, never) {
        (0, 0) => Ok(Outcome::Held),
        _ => Ok(Outcome::Broken(format!(
            "{idle} of {} submissions of {} s had nothing running for over {} s on end, {most:?} at \
             the longest, and {never} others were not done, beside {RUNNERS} sound runners of which \
             each has room for 32 of them",
            long.len(),
            LONG_MS / 1_000,
            IDLE.as_secs()
        ))),
    }
}

/// The longest time on end for which nothing of each submission ran.
fn longest_idle(stage: &Stage, ids: &[String]) -> HashMap<String, Duration> {
    let mut longest: HashMap<String, Duration> =
        ids.iter().map(|id| (id.clone(), Duration::ZERO)).collect();
    let mut since: HashMap<String, Instant> = HashMap::new();
    let until = Instant::now() + OBSERVED;
    while Instant::now() < until {
        for id in ids {
            if is_at_work(stage, id) {
                since.remove(id);
                continue;
            }
            let idle = since.entry(id.clone()).or_insert_with(Instant::now).elapsed();
            if let Some(most) = longest.get_mut(id) {
                *most = (*most).max(idle);
            }
        }
        sleep(Duration::from_millis(50));
    }
    longest
}

fn is_at_work(stage: &Stage, id: &str) -> bool {
    let Ok(log) = stage.world.log.lock() else { return true };
    let of = |(task, _, _): &&(String, u64, String)| task.starts_with(id);
    let started: Vec<u64> = log.started.iter().filter(of).map(|(_, run, _)| *run).collect();
    started.iter().any(|run| !log.ended.iter().filter(of).any(|(_, ended, _)| ended == run))
}

fn has_ended(stage: &Stage, id: &str, how: &str) -> bool {
    let Ok(log) = stage.world.log.lock() else { return false };
    log.ended.iter().any(|(task, _, end)| task.starts_with(id) && end == how)
}
