//! Trial: a lasting submission is cancelled after a config has dropped its route.

use crate::case_1::config;
use crate::cell::Cell;
use crate::record::Record;
use crate::runner::{Link, Runner, Runs, Settings};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// `ack_ms`, `cancel_ms` and `stop_timeout_ms` of the site.
const GONE_BY: Duration = Duration::from_millis(4_000 + 3_000 + 400);

fn work(_: &str) -> Option<Duration> {
    None
}

pub fn play(record: &Arc<Record>, trouble: bool) -> Result<Vec<String>, String> {
    let cell = Cell::start(record.clone(), 3, 2).map_err(|e| e.to_string())?;
    let first = config(1);
    let acknowledged = cell.order("POST", "/api/config/replace", &first, Duration::from_secs(10));
    acknowledged.filter(|reply| reply.status == 200).ok_or("the config was not acknowledged")?;
    if !cell.wait_ready(Duration::from_secs(10)) {
        return Err("the nodes were not ready".into());
    }
    let stop = Arc::new(AtomicBool::new(false));
    let runs = Runs::default();
    let mut threads = Vec::new();
    for number in 0..4 {
        let settings = Settings {
            id: format!("i-{number:02}"),
            address: cell.runner_address(number),
            service: "desk".into(),
            zone: "brno-a".into(),
            labels: vec!["a".into(), format!("r1-{number}")],
            cpu: 32_000,
            controls: cell.controls(),
            work,
            need: |_| 2_000,
            tickets: None,
        };
        let link = Arc::new(Link::default());
        let runner = Runner::new(settings, record.clone(), runs.clone(), link);
        let stop = stop.clone();
        threads.push(std::thread::spawn(move || runner.run_until(&stop)));
    }
    std::thread::sleep(Duration::from_secs(2));
    let path = "/checks/00000000000000d1";
    let body = "{\"spec\":\"x\",\"steps\":[{\"count\":3,\"cpu\":2000,\"mem_mb\":4000,\
                \"estimate_ms\":400,\"long_running\":true}]}";
    let reply = cell.consumer_with_retries(0, "POST", path, body);
    reply.filter(|reply| reply.status == 200).ok_or("the submission was not accepted")?;
    std::thread::sleep(Duration::from_secs(2));
    let second = match trouble {
        true => config(2).replace("/checks/", "/others/").replace("r-checks", "r-others"),
        false => config(2),
    };
    let acknowledged = cell.order("POST", "/api/config/replace", &second, Duration::from_secs(10));
    acknowledged.filter(|reply| reply.status == 200).ok_or("the config was not acknowledged")?;
    std::thread::sleep(Duration::from_secs(3));
    cell.consumer_with_retries(1, "DELETE", path, "");
    std::thread::sleep(GONE_BY);
    cell.consumer_with_retries(2, "DELETE", path, "");
    let at_work = runs.lock().unwrap().iter().filter(|run| run.ended.is_none()).count();
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    Ok(match at_work {
        0 => Vec::new(),
        count => vec![format!("UNASKED: {count} tasks run {GONE_BY:?} after they were cancelled")],
    })
}
