//! One submission that can never be done comes to a queue with an advisor.

use crate::case_2::{nothing_running, unfinished};
use crate::cell::Cell;
use crate::http;
use crate::json::{Json, quoted};
use crate::record::Record;
use crate::runner::{Link, Runner, Runs, Settings, Tickets};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const RUNNERS: u8 = 12;
/// `finish_s` of the site.
const FINISH: Duration = Duration::from_secs(14);
const TRAFFIC: Duration = Duration::from_secs(20);
const INTERVAL: Duration = Duration::from_millis(130);
const ORDINARY_BEFORE: u64 = 40;
const DECISION: Duration = Duration::from_millis(10);
const PER_WORKER: Duration = Duration::from_millis(1);
const VALIDITY_MS: u64 = 3_000;

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-plans\",\"host\":\"desk.example\",\
         \"path_prefix\":\"/plans/\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\
         \"target_duration_ms\":1200,\"priority\":0,\"service\":\"desk\",\"attempts\":3,\
         \"slack_factor\":1.5,\"advisor\":{{\"decision_ms\":{},\"per_worker_ms\":{},\
         \"validity_ms\":{VALIDITY_MS}}}}}],\"services\":[{{\"name\":\"desk\",\"health_path\":\"/health\",\
         \"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\"enforce_capacity\":true,\
         \"standby\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        DECISION.as_millis(),
        PER_WORKER.as_millis()
    )
}

fn work(_: &str) -> Option<Duration> {
    Some(Duration::from_millis(400))
}

fn advise(record: &Record, tickets: &Tickets, request: &http::Request) -> Option<(u16, String)> {
    let body = Json::parse(&request.body).unwrap_or(Json::Null);
    let workers = body.get("workers").map(Json::items).unwrap_or_default();
    std::thread::sleep(DECISION + PER_WORKER * workers.len() as u32);
    let step = body.get("step").map_or("", Json::text);
    record
        .line(&format!("advisor asked for step {step} on {} runners: all allowed", workers.len()));
    let until = Instant::now() + Duration::from_millis(VALIDITY_MS);
    let mut allowed = Vec::new();
    for worker in workers {
        let ticket = format!("t-{step}-{}", worker.text());
        allowed.push(format!("[{},{}]", quoted(worker.text()), quoted(&ticket)));
        let key = (step.to_owned(), worker.text().to_owned());
        tickets.lock().unwrap().insert(key, (ticket, until));
    }
    Some((200, format!("{{\"allowed\":[{}],\"validity_ms\":{VALIDITY_MS}}}", allowed.join(","))))
}

pub fn play(record: &Arc<Record>, trouble: bool) -> Result<Vec<String>, String> {
    let cell = Cell::start(record.clone(), 3, 2).map_err(|e| e.to_string())?;
    let tickets = Tickets::default();
    let (advisor, issued) = (record.clone(), tickets.clone());
    http::serve(cell.advisor(), Duration::ZERO, move |request| advise(&advisor, &issued, request))
        .map_err(|e| e.to_string())?;
    let acknowledged =
        cell.order("POST", "/api/config/replace", &config(), Duration::from_secs(10));
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
            tickets: Some(tickets.clone()),
        };
        let runner = Runner::new(settings, record.clone(), runs.clone(), Arc::new(Link::default()));
        let stop = stop.clone();
        threads.push(std::thread::spawn(move || runner.run_until(&stop)));
    }
    std::thread::sleep(Duration::from_secs(2));
    let hopeless = "/plans/00000000000000ff";
    let mut accepted = Vec::new();
    let end = Instant::now() + TRAFFIC;
    for number in 0.. {
        if Instant::now() > end {
            break;
        }
        if trouble && number == ORDINARY_BEFORE {
            let body = "{\"spec\":\"plan\",\"steps\":[{\"count\":1,\"cpu\":48000,\"mem_mb\":1000,\"estimate_ms\":60000}]}";
            cell.consumer_with_retries(0, "POST", hopeless, body);
        }
        let path = format!("/plans/{:016x}", 0x1000 + number);
        let body = "{\"spec\":\"plan\",\"steps\":[{\"count\":4,\"cpu\":2000,\"mem_mb\":4000,\"estimate_ms\":400}]}";
        let reply = cell.consumer(number as usize, "POST", &path, body);
        if reply.is_ok_and(|reply| reply.status == 200) {
            accepted.push(path);
        }
        std::thread::sleep(INTERVAL);
    }
    record.line("end of the traffic");
    std::thread::sleep(FINISH);
    let unfinished = unfinished(&cell, &accepted);
    let broken = nothing_running(record, &runs, &unfinished);
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    cell.record_logs(&["role="]);
    Ok(broken)
}
