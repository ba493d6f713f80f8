//! The platform's services as PROTOCOL.md has them: the list of machines with their upkeep, and the
//! advisor, which says which runners may run a step.

use crate::http::{self, Request};
use crate::json::{self, Json};
use crate::record::Record;
use crate::runner::{self, Identity, World};
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// `maintenance_s` of the settings.
const MAINTENANCE: Duration = Duration::from_secs(2);
/// Time from the start of an upkeep until its answer, long enough for the list to be read meanwhile.
const UPKEEP_ANSWER: Duration = Duration::from_millis(1_400);
/// The advisor answers after this, and after this much more for each worker named.
pub const DECISION: Duration = Duration::from_millis(50);
pub const PER_WORKER: Duration = Duration::from_millis(5);
pub const VALIDITY_MS: u64 = 10_000;

struct Machine {
    name: String,
    state: &'static str,
    runner: Identity,
    power: Arc<AtomicBool>,
    lives: u32,
    fence: u64,
    waves: BTreeSet<u64>,
    /// When its last upkeep began.
    upkeep_at: Option<Instant>,
}

pub struct Cloud {
    record: Record,
    world: World,
    machines: Mutex<Vec<Machine>>,
    /// Upkeep calls that are carried out and get no answer.
    pub unanswered: Mutex<u32>,
}

impl Cloud {
    /// Serves the list of machines at `at`, with one runner on each machine.
    pub fn start(
        at: SocketAddr,
        world: World,
        runners: Vec<Identity>,
        unanswered: u32,
    ) -> std::io::Result<Arc<Self>> {
        let machine = |(number, runner): (usize, Identity)| {
            let power = Arc::new(AtomicBool::new(true));
            runner::start(runner.clone(), world.clone(), power.clone());
            Machine {
                name: format!("m-{}", number + 1),
                state: "up",
                runner,
                power,
                lives: 1,
                fence: 0,
                waves: BTreeSet::new(),
                upkeep_at: None,
            }
        };
        let machines = runners.into_iter().enumerate().map(machine).collect();
        let record = world.record.clone();
        let unanswered = Mutex::new(unanswered);
        let cloud = Arc::new(Self { record, world, machines: Mutex::new(machines), unanswered });
        let shared = cloud.clone();
        http::serve(TcpListener::bind(at)?, move |request| shared.answer(&request));
        Ok(cloud)
    }

    fn answer(self: &Arc<Self>, request: &Request) -> Option<(u16, String)> {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", path) if path.starts_with("/api/machines") => Some((200, self.list())),
            ("POST", "/api/machine-upkeep") => self.upkeep(request),
            _ => Some((404, String::new())),
        }
    }

    fn list(&self) -> String {
        let machines = self.machines.lock().unwrap();
        let row = |machine: &Machine| {
            let me = &machine.runner;
            let capacity = json::table(vec![
                ("cpu", json::number(me.cpu)),
                ("mem_mb", json::number(me.mem_mb)),
                ("gpu", json::number(me.gpu)),
            ]);
            let id = if machine.state == "up" { me.id.as_str() } else { "" };
            json::table(vec![
                ("machine", json::text(&machine.name)),
                ("pool", json::text(&me.service)),
                ("state", json::text(machine.state)),
                ("zone", json::text(&me.zone)),
                ("labels", Json::List(vec![json::text(&me.kind), json::text(&me.rack)])),
                ("capacity", capacity),
                ("id", json::text(id)),
            ])
        };
        let rows = machines.iter().map(row).collect();
        json::table(vec![("machines", Json::List(rows)), ("next_token", json::text(""))])
            .to_string()
    }

    fn upkeep(self: &Arc<Self>, request: &Request) -> Option<(u16, String)> {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let name = body.get("machine").map_or("", Json::text).to_string();
        let wave = body.number_at("wave");
        let holder = request.header("X-Lease-Holder");
        let token: u64 = request.header("X-Fencing-Token").parse().unwrap_or(0);
        let (status, reason, begins) = self.judge(&name, wave, token);
        self.record.line(format!(
            "platform: upkeep of {name} for wave {wave} by {holder} generation {token}: {status} \
             {reason}{}",
            if begins { ", begins" } else { "" }
        ));
        if begins {
            let cloud = self.clone();
            let machine = name.clone();
            thread::spawn(move || {
                sleep(MAINTENANCE);
                cloud.bring_back(&machine);
            });
            let mut unanswered = self.unanswered.lock().unwrap();
            if *unanswered > 0 {
                *unanswered -= 1;
                drop(unanswered);
                self.record.line(format!("platform: this call for {name} gets no answer"));
                sleep(Duration::from_secs(10));
                return None;
            }
            drop(unanswered);
            sleep(UPKEEP_ANSWER);
        }
        let body = match status {
            409 => json::table(vec![("reason", json::text(reason))]).to_string(),
            _ => "{}".into(),
        };
        Some((status, body))
    }

    /// Status, reason, and whether the upkeep begins now.
    fn judge(&self, name: &str, wave: u64, token: u64) -> (u16, &'static str, bool) {
        let mut machines = self.machines.lock().unwrap();
        let Some(machine) = machines.iter_mut().find(|machine| machine.name == name) else {
            return (400, "no such machine", false);
        };
        if token < machine.fence {
            return (409, "fence", false);
        }
        machine.fence = token;
        if machine.waves.contains(&wave) {
            return (200, "already done", false);
        }
        if machine.state != "up" {
            return (409, "busy", false);
        }
        machine.waves.insert(wave);
        machine.state = "upkeep";
        machine.upkeep_at = Some(Instant::now());
        machine.power.store(false, Ordering::SeqCst);
        (200, "", true)
    }

    fn bring_back(&self, name: &str) {
        let mut machines = self.machines.lock().unwrap();
        let Some(machine) = machines.iter_mut().find(|machine| machine.name == name) else {
            return;
        };
        machine.lives += 1;
        machine.runner.id = format!("i-{}-{}", machine.name, machine.lives);
        machine.state = "up";
        machine.power = Arc::new(AtomicBool::new(true));
        runner::start(machine.runner.clone(), self.world.clone(), machine.power.clone());
        self.record.line(format!("platform: {name} is up again with {}", machine.runner.id));
    }

    /// Whether all machines are up, and how many had an upkeep.
    pub fn upkeeps(&self) -> (bool, usize) {
        let machines = self.machines.lock().unwrap();
        let up = machines.iter().all(|machine| machine.state == "up");
        (up, machines.iter().filter(|machine| machine.upkeep_at.is_some()).count())
    }
}

/// Serves the advisor at `at`: it handles one call at a time and allows these workers, or all if
/// none are named.
pub fn start_advisor(at: SocketAddr, record: Record, only: &[String]) -> std::io::Result<()> {
    let only = only.to_vec();
    let turn = Mutex::new(());
    http::serve(TcpListener::bind(at)?, move |request| {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let step = body.get("step").map_or("", Json::text).to_string();
        let workers = body.list_at("workers").to_vec();
        let _turn = turn.lock().unwrap();
        sleep(DECISION + PER_WORKER * workers.len() as u32);
        record.line(format!("advisor: step {step}, {} workers", workers.len()));
        let row = |worker: &Json| {
            let ticket = format!("{step}/{}", worker.text());
            Json::List(vec![worker.clone(), json::text(&ticket)])
        };
        let may = |worker: &&Json| only.is_empty() || only.iter().any(|id| id == worker.text());
        let allowed = Json::List(workers.iter().filter(may).map(row).collect());
        let answer =
            json::table(vec![("allowed", allowed), ("validity_ms", json::number(VALIDITY_MS))]);
        Some((200, answer.to_string()))
    });
    Ok(())
}
