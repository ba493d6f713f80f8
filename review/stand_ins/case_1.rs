//! A queue gets one scheduled submission whose due times go back some weeks.

use crate::cell::{Cell, unix_ms};
use crate::record::Record;
use crate::runner::{Link, Runner, Runs, Settings};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const RUNNERS: u8 = 12;
const MINUTE_MS: u64 = 60_000;
/// The minutes of half a year.
const OCCURRENCES: u64 = 180 * 24 * 60;
const SCHEDULED: &str = "/checks/00000000000000ff";
const ORDINARY: &str = "{\"spec\":\"check\",\"steps\":[{\"count\":4,\"cpu\":2000,\
    \"mem_mb\":4000,\"estimate_ms\":400}]}";
/// At least 20 submissions come in the three seconds before the scheduled one, so that this one
/// stays within the share of `poison`, 0.05 for 3 s.
const INTERVAL: Duration = Duration::from_millis(130);
const ORDINARY_BEFORE: u64 = 40;
const TRAFFIC: Duration = Duration::from_secs(20);
/// Submissions without an answer after which no more are asked for, to end in time.
const BROKEN_MAX: usize = 2;
/// How long submissions are asked for, to end in time.
const ASK_FOR: Duration = Duration::from_secs(35);
/// `finish_s` of the site.
const FINISH: Duration = Duration::from_secs(14);

pub fn config(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-checks\",\"host\":\"desk.example\",\
         \"path_prefix\":\"/checks/\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\
         \"target_duration_ms\":1200,\"priority\":0,\"service\":\"desk\",\"attempts\":3,\
         \"slack_factor\":1.5}}],\"services\":[{{\"name\":\"desk\",\"health_path\":\"/health\",\
         \"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\"enforce_capacity\":true,\
         \"standby\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

fn work(_: &str) -> Option<Duration> {
    Some(Duration::from_millis(400))
}

pub fn play(record: &Arc<Record>, trouble: bool) -> Result<Vec<String>, String> {
    let mut cell = Cell::start(record.clone(), 3, 2).map_err(|e| e.to_string())?;
    let acknowledged =
        cell.order("POST", "/api/config/replace", &config(1), Duration::from_secs(10));
    acknowledged.filter(|reply| reply.status == 200).ok_or("the config was not acknowledged")?;
    if !cell.wait_ready(Duration::from_secs(10)) {
        return Err("the nodes were not ready".into());
    }
    let stop = Arc::new(AtomicBool::new(false));
    let runs = Runs::default();
    let mut threads = Vec::new();
    for number in 0..RUNNERS {
        let settings = Settings {
            id: format!("i-{number:02}"),
            address: cell.runner_address(number),
            service: "desk".into(),
            zone: ["brno-a", "zlin-b", "olomouc-c"][usize::from(number) % 3].into(),
            labels: vec!["a".into(), format!("r1-{}", number / 4)],
            cpu: 32_000,
            controls: cell.controls(),
            work,
            need: |_| 2_000,
            tickets: None,
        };
        let runner = Runner::new(settings, record.clone(), runs.clone(), Arc::new(Link::default()));
        let stop = stop.clone();
        threads.push(std::thread::spawn(move || runner.run_until(&stop)));
    }
    std::thread::sleep(Duration::from_secs(2));
    let mut accepted = Vec::new();
    let end = Instant::now() + TRAFFIC;
    for number in 0.. {
        if Instant::now() > end {
            break;
        }
        if trouble && number == ORDINARY_BEFORE {
            let reply = cell.consumer_with_retries(0, "POST", SCHEDULED, &scheduled());
            if reply.is_some_and(|reply| reply.status == 200) {
                accepted.push(SCHEDULED.to_owned());
            }
        }
        let path = format!("/checks/{:016x}", 0x1000 + number);
        let reply = cell.consumer(number as usize, "POST", &path, ORDINARY);
        if reply.is_ok_and(|reply| reply.status == 200) {
            accepted.push(path);
        }
        std::thread::sleep(INTERVAL);
    }
    record.line("end of the traffic");
    std::thread::sleep(FINISH);
    let mut broken = Vec::new();
    let ask_until = Instant::now() + ASK_FOR;
    for (at, path) in accepted.iter().enumerate() {
        match cell.consumer_with_retries(at, "GET", path, "") {
            None => broken.push(format!("LOST: {path} was accepted and gets no answer in time")),
            Some(reply) if reply.status != 200 => {
                broken.push(format!("LOST: {path} was accepted and is answered {}", reply.status));
            }
            Some(_) => {}
        }
        if broken.len() >= BROKEN_MAX || Instant::now() > ask_until {
            break;
        }
    }
    if trouble {
        let reply = cell.consumer_with_retries(0, "DELETE", SCHEDULED, "");
        let shown = reply.map_or_else(|| "no answer".into(), |reply| reply.status.to_string());
        record.line(&format!("cancelling the scheduled submission: {shown}"));
    }
    cell.record_memory();
    let ended = cell.ended();
    if !ended.is_empty() {
        record.line(&format!("nodes that ended by themselves: {ended:?}"));
    }
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    cell.record_logs(&["role="]);
    Ok(broken)
}

/// One run each minute, over the last half a year, of a task larger than any runner.
fn scheduled() -> String {
    let start = unix_ms() - OCCURRENCES * MINUTE_MS;
    format!(
        "{{\"spec\":\"tally\",\"steps\":[{{\"count\":1,\"cpu\":48000,\"mem_mb\":1000,\
         \"estimate_ms\":400}}],\"start_time_ms\":{start},\"interval_ms\":{MINUTE_MS},\
         \"repeat_count\":{OCCURRENCES}}}"
    )
}
