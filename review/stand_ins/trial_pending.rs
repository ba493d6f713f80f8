//! Trial: the answers to one runner are lost while its starts are assigned; how many submissions
//! of its label does the queue show as pending?

use crate::case_1::config;
use crate::cell::Cell;
use crate::json::Json;
use crate::record::Record;
use crate::runner::{Link, Runner, Runs, Settings};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const RUNNERS: u8 = 12;
/// `for_s` of the site's largest cut of runners in one direction.
const CUT_FOR: Duration = Duration::from_millis(6_000);
/// `visible_ms` and the 2 s that the rule adds.
const VISIBLE: Duration = Duration::from_millis(5_000);
const JOBS: u64 = 6;

fn work(_: &str) -> Option<Duration> {
    Some(Duration::from_millis(800))
}

pub fn play(record: &Arc<Record>, trouble: bool) -> Result<Vec<String>, String> {
    let cell = Cell::start(record.clone(), 3, 2).map_err(|e| e.to_string())?;
    let config = config(1);
    let acknowledged = cell.order("POST", "/api/config/replace", &config, Duration::from_secs(10));
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
            zone: "brno-a".into(),
            labels: vec![if number == 0 { "b" } else { "a" }.into(), format!("r1-{number}")],
            cpu: 32_000,
            controls: cell.controls(),
            work,
            need: |_| 2_000,
            tickets: None,
        };
        let link = Arc::new(Link::default());
        links.push(link.clone());
        let runner = Runner::new(settings, record.clone(), runs.clone(), link);
        let stop = stop.clone();
        threads.push(std::thread::spawn(move || runner.run_until(&stop)));
    }
    std::thread::sleep(Duration::from_secs(2));
    links[0].answers_lost.store(trouble, Ordering::Relaxed);
    let cut_at = Instant::now();
    std::thread::sleep(Duration::from_millis(100));
    for number in 0..JOBS {
        let path = format!("/checks/{:016x}", 0x1000 + number);
        let body = "{\"spec\":\"x\",\"steps\":[{\"count\":2,\"cpu\":2000,\"mem_mb\":4000,\
                    \"estimate_ms\":800,\"required_label\":\"b\"}]}";
        let reply = cell.consumer_with_retries(number as usize, "POST", &path, body);
        reply.filter(|reply| reply.status == 200).ok_or("a submission was not accepted")?;
    }
    std::thread::sleep(VISIBLE + Duration::from_millis(200));
    let mut broken = Vec::new();
    let begun = runs.lock().unwrap().len();
    let waiting = if begun == 0 { JOBS } else { 0 };
    for front in 0..cell.nodes.len() {
        let reply = cell.consumer_with_retries(front, "GET", "/checks/", "");
        let body = reply.and_then(|reply| Json::parse(&reply.body));
        let shown = body.as_ref().and_then(|body| body.get("pending")).map_or(0, Json::number);
        if shown * 2 < waiting {
            broken.push(format!("MIXED: pending is {shown}, and {waiting} have not begun"));
        }
    }
    std::thread::sleep(CUT_FOR.saturating_sub(cut_at.elapsed()));
    links[0].answers_lost.store(false, Ordering::Relaxed);
    std::thread::sleep(Duration::from_secs(8));
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    Ok(broken)
}
