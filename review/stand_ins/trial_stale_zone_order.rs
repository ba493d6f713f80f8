//! Trial: an operator's order for a zone waits in a frozen process and arrives after a later one.
//! The contract for zones is in force on `shifted/aldl-yucca-now-grown`.

use crate::case_1::config;
use crate::cell::Cell;
use crate::http::{self, Call};
use crate::record::Record;
use crate::runner::{Link, Runner, Runs, Settings};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// `for_s` of the site's freeze of machines.
const FREEZE: Duration = Duration::from_millis(3_500);
/// `evacuate_ms` of that site.
const EVACUATE: Duration = Duration::from_millis(5_000);
const FROZEN: usize = 4;

fn work(_: &str) -> Option<Duration> {
    Some(Duration::from_millis(400))
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
    let mut threads = Vec::new();
    for number in 0..6 {
        let settings = Settings {
            id: format!("i-{number:02}"),
            address: cell.runner_address(number),
            service: "desk".into(),
            zone: if number < 3 { "brno-a" } else { "zlin-b" }.into(),
            labels: vec!["a".into(), format!("r1-{number}")],
            cpu: 32_000,
            // The runners report to nodes that are not frozen.
            controls: cell.controls()[..3].to_vec(),
            work,
            need: |_| 6_000,
            tickets: None,
        };
        let link = Arc::new(Link::default());
        let runner = Runner::new(settings, record.clone(), runs.clone(), link);
        let stop = stop.clone();
        threads.push(std::thread::spawn(move || runner.run_until(&stop)));
    }
    std::thread::sleep(Duration::from_secs(2));
    let limit = Duration::from_secs(4);
    let ordered = |path: &str| cell.order("POST", path, "", limit).is_some_and(|r| r.status == 200);
    let start = "/api/evacuations/brno-a/start";
    let finish = "/api/evacuations/brno-a/finish";
    if !ordered(start) {
        return Err("the evacuation was not acknowledged".into());
    }
    std::thread::sleep(Duration::from_secs(1));
    let frozen_at = Instant::now();
    if trouble {
        let id = cell.nodes[FROZEN].child.as_ref().map_or(0, |child| child.id());
        let _ = Command::new("kill").args(["-STOP", &id.to_string()]).status();
        record.line("the node is frozen");
    }
    // The first try goes to the machine that is frozen, the next one to another.
    let to = cell.controls()[FROZEN];
    let call = Call { method: "POST", path: finish, host: "control", headers: "", body: "" };
    let first = http::call(to, &call, Duration::from_secs(1));
    record.line(&format!("operator POST {finish} at {to} -> {:?}", first.map(|r| r.status)));
    if trouble && !ordered(finish) {
        return Err("the end of the evacuation was not acknowledged".into());
    }
    std::thread::sleep(Duration::from_millis(300));
    if !ordered(start) {
        return Err("the second evacuation was not acknowledged".into());
    }
    let acknowledged_at = Instant::now();
    if trouble {
        std::thread::sleep(FREEZE.saturating_sub(frozen_at.elapsed()));
        let id = cell.nodes[FROZEN].child.as_ref().map_or(0, |child| child.id());
        let _ = Command::new("kill").args(["-CONT", &id.to_string()]).status();
        record.line("the node goes on");
    }
    std::thread::sleep(
        (EVACUATE + Duration::from_secs(1)).saturating_sub(acknowledged_at.elapsed()),
    );
    let before = runs.lock().unwrap().len();
    record.line("the evacuation has been in force for longer than evacuate_ms");
    for number in 0..10 {
        let path = format!("/checks/{:016x}", 0x1000 + number);
        let body = "{\"spec\":\"x\",\"steps\":[{\"count\":8,\"cpu\":6000,\"mem_mb\":4000,\
                    \"estimate_ms\":400}]}";
        cell.consumer_with_retries(0, "POST", &path, body);
        std::thread::sleep(Duration::from_millis(200));
    }
    std::thread::sleep(Duration::from_secs(2));
    let in_zone = ["i-00", "i-01", "i-02"];
    let started = runs.lock().unwrap()[before..]
        .iter()
        .filter(|run| in_zone.contains(&run.runner.as_str()))
        .count();
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    Ok(match started {
        0 => Vec::new(),
        count => vec![format!("EVAC: {count} tasks started in a zone under evacuation")],
    })
}
