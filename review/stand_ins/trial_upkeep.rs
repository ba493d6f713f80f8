//! A wave of upkeep, of which one call to the platform is carried out and not answered.

use crate::case_1::config;
use crate::cell::Cell;
use crate::http;
use crate::json::{Json, quoted};
use crate::record::Record;
use crate::runner::{Link, Runner, Runs, Settings};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const MACHINES: usize = 6;
/// The machine whose call is not answered, the only one of its kind.
const UNANSWERED: usize = 0;
/// `maintenance_s` of the site.
const MAINTENANCE: Duration = Duration::from_secs(2);
/// How long the platform's connection stays silent.
const SILENCE: Duration = Duration::from_secs(4);
/// `finish_s` of the site.
const FINISH: Duration = Duration::from_secs(14);
const NOTHING_RUNNING: Duration = Duration::from_secs(3);

fn work(_: &str) -> Option<Duration> {
    Some(Duration::from_millis(500))
}

struct Machine {
    name: String,
    kind: &'static str,
    up: bool,
    upkeep_done: bool,
    boots: usize,
    runner: String,
    stop: Arc<AtomicBool>,
    address: String,
}

/// The platform's machines and what runs on them.
#[derive(Clone)]
struct Platform {
    record: Arc<Record>,
    runs: Runs,
    controls: Vec<SocketAddr>,
    machines: Arc<Mutex<Vec<Machine>>>,
    trouble: bool,
}

impl Platform {
    fn boot(&self, at: usize) {
        let mut machines = self.machines.lock().unwrap();
        let machine = &mut machines[at];
        machine.boots += 1;
        machine.up = true;
        machine.runner = format!("i-{at}-{}", machine.boots);
        machine.stop = Arc::default();
        let settings = Settings {
            id: machine.runner.clone(),
            address: machine.address.clone(),
            service: "desk".into(),
            zone: "brno-a".into(),
            labels: vec![machine.kind.into(), format!("r1-{at}")],
            cpu: 32_000,
            controls: self.controls.clone(),
            work,
            need: |_| 2_300,
            tickets: None,
        };
        let runner = Runner::new(
            settings,
            self.record.clone(),
            self.runs.clone(),
            Arc::new(Link::default()),
        );
        let stop = machine.stop.clone();
        std::thread::spawn(move || runner.run_until(&stop));
    }

    fn answer(&self, request: &http::Request) -> Option<(u16, String)> {
        if request.method == "GET" {
            return Some((200, self.list()));
        }
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let name = body.get("machine").map_or("", Json::text);
        let holder = request.header("x-lease-holder");
        let token = request.header("x-fencing-token");
        let (status, text, answered) = self.upkeep(name);
        let shown = if answered { status.to_string() } else { "not answered".into() };
        self.record.line(&format!(
            "platform {} {name} from {holder} with number {token} -> {text}, {shown}",
            request.path
        ));
        answered.then(|| (status, format!("{{\"reason\":{}}}", quoted(text))))
    }

    fn list(&self) -> String {
        let machines = self.machines.lock().unwrap();
        let rows: Vec<String> = machines
            .iter()
            .enumerate()
            .map(|(at, machine)| {
                let state = if machine.up { "up" } else { "upkeep" };
                let id = if machine.up { quoted(&machine.runner) } else { "null".into() };
                format!(
                    "{{\"machine\":{},\"pool\":\"desk\",\"state\":\"{state}\",\"zone\":\"brno-a\",\
                     \"labels\":[{},\"r1-{at}\"],\"capacity\":{{\"cpu\":32000,\"mem_mb\":128000,\
                     \"gpu\":0}},\"id\":{id}}}",
                    quoted(&machine.name),
                    quoted(machine.kind)
                )
            })
            .collect();
        format!("{{\"machines\":[{}],\"next_token\":null}}", rows.join(","))
    }

    /// Carries out an upkeep, once for each machine.
    fn upkeep(&self, name: &str) -> (u16, &'static str, bool) {
        let mut machines = self.machines.lock().unwrap();
        let Some(at) = machines.iter().position(|machine| machine.name == name) else {
            return (400, "no such machine", true);
        };
        let machine = &mut machines[at];
        if machine.upkeep_done {
            return (200, "already done", true);
        }
        machine.upkeep_done = true;
        machine.up = false;
        machine.stop.store(true, Ordering::Relaxed);
        let platform = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(MAINTENANCE);
            platform.boot(at);
        });
        (200, "begun", !(self.trouble && at == UNANSWERED))
    }
}

pub fn play(record: &Arc<Record>, trouble: bool) -> Result<Vec<String>, String> {
    let cell = Cell::start(record.clone(), 3, 2).map_err(|e| e.to_string())?;
    let runs = Runs::default();
    let machine = |at: usize| Machine {
        name: format!("m-{at}"),
        kind: if at == UNANSWERED { "b" } else { "a" },
        up: false,
        upkeep_done: false,
        boots: 0,
        runner: String::new(),
        stop: Arc::default(),
        address: cell.runner_address(at as u8),
    };
    let platform = Platform {
        record: record.clone(),
        runs: runs.clone(),
        controls: cell.controls(),
        machines: Arc::new(Mutex::new((0..MACHINES).map(machine).collect())),
        trouble,
    };
    let answers = platform.clone();
    http::serve(cell.cloud(), SILENCE, move |request| answers.answer(request))
        .map_err(|e| e.to_string())?;
    let acknowledged =
        cell.order("POST", "/api/config/replace", &config(1), Duration::from_secs(10));
    acknowledged.filter(|reply| reply.status == 200).ok_or("the config was not acknowledged")?;
    if !cell.wait_ready(Duration::from_secs(10)) {
        return Err("the nodes were not ready".into());
    }
    (0..MACHINES).for_each(|at| platform.boot(at));
    std::thread::sleep(Duration::from_secs(2));
    let mut accepted = Vec::new();
    let mut submit = |number: u64, label: &str| {
        let path = format!("/checks/{number:016x}");
        let body = format!(
            "{{\"spec\":\"check\",\"steps\":[{{\"count\":4,\"cpu\":2300,\"mem_mb\":4600,\
             \"estimate_ms\":500{label}}}]}}"
        );
        let reply = cell.consumer_with_retries(number as usize, "POST", &path, &body);
        if reply.is_some_and(|reply| reply.status == 200) {
            accepted.push(path);
        }
    };
    for number in 0..6 {
        submit(0x100 + number, if number % 2 == 0 { ",\"required_label\":\"b\"" } else { "" });
    }
    std::thread::sleep(Duration::from_secs(3));
    let names: Vec<String> = (0..MACHINES).map(|at| format!("\"m-{at}\"")).collect();
    let wave = format!(
        "{{\"wave\":1,\"machines\":[{}],\"finish_by_s\":40,\"max_count\":1}}",
        names.join(",")
    );
    let reply = cell.order("POST", "/api/wave-start", &wave, Duration::from_secs(4));
    reply.filter(|reply| reply.status == 200).ok_or("the wave was not acknowledged")?;
    std::thread::sleep(Duration::from_secs(40));
    let reply = cell.order("GET", "/api/wave-get/1", "", Duration::from_secs(4));
    let wave = reply.map_or_else(|| "no answer".into(), |reply| reply.body);
    record.line(&format!("the wave after 40 s: {wave}"));
    for number in 0..6 {
        submit(0x200 + number, if number % 2 == 0 { ",\"required_label\":\"b\"" } else { "" });
    }
    record.line("end of the traffic");
    std::thread::sleep(FINISH);
    let broken = nothing_running(&cell, &runs, &accepted);
    for machine in platform.machines.lock().unwrap().iter() {
        machine.stop.store(true, Ordering::Relaxed);
    }
    std::thread::sleep(Duration::from_millis(300));
    cell.record_logs(&["role=", "wave=", "not ordered"]);
    Ok(broken)
}

/// Submissions that are not completed and of which nothing runs, while all runners are idle.
fn nothing_running(cell: &Cell, runs: &Runs, accepted: &[String]) -> Vec<String> {
    let mut idle = Vec::new();
    for (at, path) in accepted.iter().enumerate() {
        let reply = cell.consumer_with_retries(at, "GET", path, "");
        if !reply.is_some_and(|reply| reply.body.contains("completed")) {
            idle.push(path.clone());
        }
    }
    let until = Instant::now() + NOTHING_RUNNING;
    let mut most_active = 0;
    while Instant::now() < until {
        let active = runs.lock().unwrap().iter().filter(|run| run.ended.is_none()).count();
        most_active = most_active.max(active);
        std::thread::sleep(Duration::from_millis(50));
    }
    if most_active > 0 {
        return Vec::new();
    }
    let broken = |path: &String| {
        format!("LOST: {path} was accepted and has nothing running, beside an idle runner for it")
    };
    idle.iter().map(broken).collect()
}
