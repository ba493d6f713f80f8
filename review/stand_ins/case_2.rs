//! One runner is cut off for 5.5 s while a short task ends on it, and works on as before.

use crate::case_1::config;
use crate::cell::Cell;
use crate::json::Json;
use crate::record::Record;
use crate::runner::{Link, Runner, Runs, Settings};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const RUNNERS: u8 = 6;
/// The runner that is cut off.
const CUT: usize = 0;
/// `for_s` of the site's largest cut of runners in both directions.
const CUT_FOR: Duration = Duration::from_millis(5_500);
/// `finish_s` of the site.
const FINISH: Duration = Duration::from_secs(14);
/// How long a submission may have nothing running, by LOST.
const NOTHING_RUNNING: Duration = Duration::from_secs(3);
const FIRST_JOB: &str = "00000000000000aa";
const JOBS: u64 = 240;
const JOB_INTERVAL: Duration = Duration::from_millis(250);

fn work(task: &str) -> Option<Duration> {
    let first = task.starts_with(FIRST_JOB);
    Some(Duration::from_millis(if first { 2_000 } else { 300 }))
}

fn job(count: u32, estimate_ms: u32) -> String {
    format!(
        "{{\"spec\":\"check\",\"steps\":[{{\"count\":{count},\"cpu\":2300,\"mem_mb\":4600,\
         \"estimate_ms\":{estimate_ms}}}]}}"
    )
}

pub fn play(record: &Arc<Record>, trouble: bool) -> Result<Vec<String>, String> {
    let cell = Cell::start(record.clone(), 3, 2).map_err(|e| e.to_string())?;
    let acknowledged =
        cell.order("POST", "/api/config/replace", &config(1), Duration::from_secs(10));
    acknowledged.filter(|reply| reply.status == 200).ok_or("the config was not acknowledged")?;
    if !cell.wait_ready(Duration::from_secs(10)) {
        return Err("the nodes were not ready".into());
    }
    let stop = Arc::new(AtomicBool::new(false));
    let runs = Runs::default();
    let mut links = Vec::new();
    let mut threads = Vec::new();
    for number in 0..RUNNERS {
        let settings = Settings {
            id: format!("i-{number:02}"),
            address: cell.runner_address(number),
            service: "desk".into(),
            zone: ["brno-a", "zlin-b", "olomouc-c"][usize::from(number) % 3].into(),
            labels: vec!["a".into(), format!("r1-{}", number / 2)],
            cpu: 32_000,
            controls: cell.controls(),
            work,
            need: |_| 2_300,
            tickets: None,
        };
        let link = Arc::new(Link::default());
        links.push(link.clone());
        let runner = Runner::new(settings, record.clone(), runs.clone(), link);
        let stop = stop.clone();
        threads.push(std::thread::spawn(move || runner.run_until(&stop)));
    }
    std::thread::sleep(Duration::from_secs(2));
    let mut accepted = Vec::new();
    // Enough tasks of two seconds for all runners; the one to be cut off gets some of them.
    let path = format!("/checks/{FIRST_JOB}");
    let reply = cell.consumer_with_retries(0, "POST", &path, &job(72, 2_000));
    reply.filter(|reply| reply.status == 200).ok_or("the first submission was not accepted")?;
    accepted.push(path);
    let cut_id = format!("i-{CUT:02}");
    let has_work = || runs.lock().unwrap().iter().any(|run| run.runner == cut_id);
    let until = Instant::now() + Duration::from_secs(3);
    while !has_work() && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(20));
    }
    if !has_work() {
        return Err("the runner to be cut off got no task".into());
    }
    // A second passes, so that the runner's reports have listed the tasks.
    std::thread::sleep(Duration::from_millis(1_000));
    if trouble {
        record.line(&format!("{cut_id} is cut off"));
        links[CUT].requests_lost.store(true, Ordering::Relaxed);
        links[CUT].answers_lost.store(true, Ordering::Relaxed);
    }
    std::thread::sleep(CUT_FOR);
    if trouble {
        record.line(&format!("{cut_id} is joined again"));
        links[CUT].requests_lost.store(false, Ordering::Relaxed);
        links[CUT].answers_lost.store(false, Ordering::Relaxed);
    }
    // `contact_ms` after the cut all is calm again.
    std::thread::sleep(Duration::from_secs(3));
    for number in 0..JOBS {
        let next = Instant::now() + JOB_INTERVAL;
        let path = format!("/checks/{:016x}", 0x1000 + number);
        let reply = cell.consumer_with_retries(number as usize, "POST", &path, &job(36, 300));
        if reply.is_some_and(|reply| reply.status == 200) {
            accepted.push(path);
        }
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    record.line("end of the traffic");
    std::thread::sleep(FINISH);
    let unfinished = unfinished(&cell, &accepted);
    let broken = nothing_running(record, &runs, &unfinished);
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    cell.record_logs(&["role=", " lost task="]);
    Ok(broken)
}

/// Submissions that are neither completed nor failed nor cancelled.
pub fn unfinished(cell: &Cell, accepted: &[String]) -> Vec<String> {
    let mut found = Vec::new();
    for (at, path) in accepted.iter().enumerate() {
        let reply = cell.consumer_with_retries(at, "GET", path, "");
        let state = reply.and_then(|reply| Json::parse(&reply.body));
        let state = state.as_ref().and_then(|body| body.get("state")).map_or("", Json::text);
        if !matches!(state, "completed" | "failed" | "cancelled") {
            found.push(path.clone());
        }
    }
    found
}

/// The submissions of which nothing runs for as long as LOST allows, with nothing else running.
pub fn nothing_running(record: &Record, runs: &Runs, unfinished: &[String]) -> Vec<String> {
    let mut idle: Vec<&String> = unfinished.iter().collect();
    let mut most_active = 0;
    let until = Instant::now() + NOTHING_RUNNING;
    while Instant::now() < until {
        let runs = runs.lock().unwrap();
        let active: Vec<_> = runs.iter().filter(|run| run.ended.is_none()).collect();
        most_active = most_active.max(active.len());
        idle.retain(|path| {
            let id = path.rsplit('/').next().unwrap_or_default();
            !active.iter().any(|run| run.task.starts_with(id))
        });
        drop(runs);
        std::thread::sleep(Duration::from_millis(50));
    }
    record.line(&format!(
        "{} submissions are unfinished; of {} of them nothing ran for {NOTHING_RUNNING:?}, \
         while at most {most_active} tasks were at work on all runners",
        unfinished.len(),
        idle.len()
    ));
    let broken = |path: &&String| {
        format!("LOST: {path} was accepted and has nothing running, beside idle runners")
    };
    match most_active * 2_300 * 2 < usize::from(RUNNERS) * 32_000 {
        true => idle.iter().take(3).map(broken).collect(),
        false => Vec::new(),
    }
}
