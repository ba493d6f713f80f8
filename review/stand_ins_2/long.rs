//! One submission in twenty has a task for each runner that takes 270 s; the others take 2.7 s. All
//! runners are sound.

use crate::{FINISH, IDLE, Outcome, Stage, config, identity, open, runner};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread::sleep;
use std::time::{Duration, Instant};

const PREFIX: &str = "/lohu930/";
const RUNNERS: usize = 12;
const SUBMISSIONS: u64 = 480;
const ONE_IN: u64 = 20;
/// A hundred times as long as the others.
const LONG_MS: u64 = 270_000;
/// The mean work of the site's `full-trawl`.
const SHORT_MS: u64 = 2_700;
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
        let (run, tasks) = if is_long { (LONG_MS, RUNNERS) } else { (SHORT_MS, 1) };
        let body = format!(
            "{{\"spec\":\"cpu=500;mem=256;run={run}\",\"steps\":[{{\"count\":{tasks},\"cpu\":500,\
             \"mem_mb\":256,\"estimate_ms\":{run},\"anti_affinity\":1}}]}}"
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
             each has room for 64 of their tasks",
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
    let ended: HashSet<(&str, u64)> =
        log.ended.iter().map(|(task, run, _)| (task.as_str(), *run)).collect();
    let mut started = log.started.iter().filter(|(task, _, _)| task.starts_with(id));
    started.any(|(task, run, _)| !ended.contains(&(task.as_str(), *run)))
}

fn has_ended(stage: &Stage, id: &str, how: &str) -> bool {
    let Ok(log) = stage.world.log.lock() else { return false };
    log.ended.iter().any(|(task, _, end)| task.starts_with(id) && end == how)
}
