//! Runners as PROTOCOL.md has them: each reports, observes leases and generation numbers, guards
//! its capacity, and works on the tasks that it is told to start.
//!
//! What a task needs and how long it works stands in its `spec`, as `cpu=1000;mem=256;run=400`;
//! with `lasts=1` it works until it is stopped, and with `gang=4` only together with the others.

use crate::http::{self, Response};
use crate::json::{self, Json};
use crate::record::Record;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const HEARTBEAT: Duration = Duration::from_millis(1_500);
const ANSWER_LIMIT: Duration = Duration::from_millis(1_000);
const AFTER_END: Duration = Duration::from_millis(50);
const LEASE_MAX: Duration = Duration::from_millis(6_000);
const GANG_TIMEOUT: Duration = Duration::from_millis(3_000);
const ENDS_PER_REPORT: usize = 500;

#[derive(Clone, Debug)]
pub struct Identity {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub rack: String,
    pub cpu: u64,
    pub mem_mb: u64,
    pub gpu: u64,
    /// While this is set, the runner fails all that it starts.
    pub fails_all: Arc<AtomicBool>,
}

/// What all runners together have started and ended, for the checks.
#[derive(Default)]
pub struct Log {
    pub started: Vec<(String, u64, String)>,
    pub ended: Vec<(String, u64, String)>,
}

impl Log {
    pub fn starts_of(&self, submission: &str) -> usize {
        self.started.iter().filter(|(task, _, _)| task.starts_with(submission)).count()
    }
}

/// Each run of a gang, by its step and its number.
#[derive(Default)]
pub struct Gangs(HashMap<(String, u64), Members>);

/// The members of one run of a gang.
#[derive(Default)]
struct Members {
    present: BTreeSet<String>,
    /// When the last of them came.
    whole_since: Option<Instant>,
    /// A member has ended, and not as done.
    broken: bool,
}

#[derive(Clone)]
pub struct World {
    pub record: Record,
    pub log: Arc<Mutex<Log>>,
    pub gangs: Arc<Mutex<Gangs>>,
    pub controls: Vec<SocketAddr>,
}

struct Work {
    run: u64,
    cpu: u64,
    mem_mb: u64,
    gpu: u64,
    length: Duration,
    lasts: bool,
    gang: usize,
    since: Instant,
}

struct Life {
    me: Identity,
    world: World,
    born: u64,
    begun: Instant,
    sequence: u64,
    token: u64,
    lease_until: Option<Instant>,
    running: BTreeMap<String, Work>,
    /// The highest run of a task that was stopped or has ended here.
    closed: HashMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
    report_to: Option<SocketAddr>,
    next_node: usize,
}

/// Starts a runner; it ends at once, with all that runs on it, when `power` becomes false.
pub fn start(me: Identity, world: World, power: Arc<AtomicBool>) {
    thread::spawn(move || {
        let next_node = me.id.bytes().map(usize::from).sum::<usize>();
        let mut life = Life {
            me,
            world,
            born: crate::cell::unix_ms(),
            begun: Instant::now(),
            sequence: 0,
            token: 0,
            lease_until: None,
            running: BTreeMap::new(),
            closed: HashMap::new(),
            ended: Vec::new(),
            ends: 0,
            report_to: None,
            next_node,
        };
        life.world.record.line(format!("runner {} up", life.me.id));
        let mut next_report = Instant::now();
        let mut under_way: Option<(Receiver<Option<Response>>, Instant)> = None;
        while power.load(Ordering::SeqCst) {
            if life.work() {
                next_report = next_report.min(Instant::now() + AFTER_END);
            }
            let answered = under_way.as_ref().and_then(|(answer, sent)| {
                let answer = answer.try_recv().ok();
                let is_over = answer.is_some() || sent.elapsed() >= ANSWER_LIMIT;
                is_over.then(|| (answer.flatten(), *sent))
            });
            if let Some((answer, sent)) = answered {
                under_way = None;
                next_report = Instant::now() + life.handle_answer(answer, sent);
            } else if under_way.is_none() && Instant::now() >= next_report {
                under_way = Some(life.send_report());
            }
            thread::sleep(Duration::from_millis(5));
        }
        life.world.record.line(format!("runner {} down", life.me.id));
        if let Ok(mut log) = life.world.log.lock() {
            let runs = life.running.iter();
            log.ended.extend(runs.map(|(task, work)| (task.clone(), work.run, "lost".into())));
        }
    });
}

impl Life {
    /// Ends what is done or has lost its lease. Returns whether a run has ended.
    fn work(&mut self) -> bool {
        let now = Instant::now();
        let mut over: Vec<(String, &'static str)> = Vec::new();
        if self.lease_until.is_some_and(|until| now > until) {
            over.extend(self.running.keys().map(|task| (task.clone(), "lapsed")));
            self.lease_until = None;
        }
        for (task, work) in &self.running {
            let worked = match work.gang {
                0 => Some(work.since),
                size => self.together(task, work.run, size),
            };
            match worked {
                Some(since) if !work.lasts && now >= since + work.length => {
                    over.push((task.clone(), "done"));
                }
                _ if work.gang > 0 && self.is_broken(task, work.run) => {
                    over.push((task.clone(), "broken"));
                }
                None if now > work.since + GANG_TIMEOUT => over.push((task.clone(), "alone")),
                _ => {}
            }
        }
        let any = !over.is_empty();
        for (task, how) in over {
            self.end(&task, how);
        }
        any
    }

    /// Since when all members of a gang's run are present.
    fn together(&self, task: &str, run: u64, size: usize) -> Option<Instant> {
        let mut gangs = self.world.gangs.lock().ok()?;
        let key = (step_of(task), run);
        let members = gangs.0.entry(key).or_default();
        members.present.insert(task.into());
        if members.present.len() == size && members.whole_since.is_none() {
            members.whole_since = Some(Instant::now());
        }
        members.whole_since
    }

    fn is_broken(&self, task: &str, run: u64) -> bool {
        let Ok(gangs) = self.world.gangs.lock() else { return false };
        gangs.0.get(&(step_of(task), run)).is_some_and(|members| members.broken)
    }

    fn end(&mut self, task: &str, how: &'static str) {
        let Some(work) = self.running.remove(task) else { return };
        if work.gang > 0
            && how != "done"
            && let Ok(mut gangs) = self.world.gangs.lock()
        {
            gangs.0.entry((step_of(task), work.run)).or_default().broken = true;
        }
        self.close(task, work.run, how);
    }

    fn close(&mut self, task: &str, run: u64, how: &'static str) {
        self.ends += 1;
        self.ended.push((self.ends, task.into(), run, how));
        let closed = self.closed.entry(task.into()).or_default();
        *closed = (*closed).max(run);
        self.world.record.line(format!("{} ended {task} run {run}: {how}", self.me.id));
        if let Ok(mut log) = self.world.log.lock() {
            log.ended.push((task.into(), run, how.into()));
        }
    }

    /// Sends a report; its answer comes while the work goes on.
    fn send_report(&mut self) -> (Receiver<Option<Response>>, Instant) {
        self.sequence += 1;
        let sent = Instant::now();
        let body = self.body();
        let path = format!("/api/instances/{}/heartbeat", self.me.id);
        let controls = &self.world.controls;
        let to = self.report_to.unwrap_or(controls[self.next_node % controls.len()]);
        let (answer, receiver) = channel();
        thread::spawn(move || {
            let _ = answer.send(http::call(to, "POST", &path, "control", &body, ANSWER_LIMIT));
        });
        (receiver, sent)
    }

    /// Obeys the answer to a report. Returns the time until the next report.
    fn handle_answer(&mut self, answer: Option<Response>, sent: Instant) -> Duration {
        let answer = answer.filter(|answer| (200..300).contains(&answer.status));
        let Some(answer) = answer.filter(|_| sent.elapsed() < ANSWER_LIMIT) else {
            self.report_to = None;
            self.next_node += 1;
            return Duration::from_millis(100);
        };
        let orders = answer.json();
        if let Some(next) = orders.get("heartbeat_addr").and_then(|at| at.text().parse().ok()) {
            self.report_to = Some(next);
        }
        self.obey(&orders, sent);
        match orders.number_at("retry_after_ms") {
            0 => HEARTBEAT,
            ms => Duration::from_millis(ms),
        }
    }

    fn body(&self) -> String {
        let running = self.running.iter().map(|(task, work)| {
            let worked = work.since.elapsed().as_millis() as u64 * 100;
            let percent = match work.lasts {
                true => 100,
                false => (worked / work.length.as_millis().max(1) as u64).min(99),
            };
            Json::List(vec![
                json::text(task),
                json::number(work.run),
                json::text(""),
                json::number(percent),
                json::number(work.cpu),
            ])
        });
        let finished = self.ended.iter().take(ENDS_PER_REPORT).map(|(number, task, run, how)| {
            Json::List(vec![
                json::number(*number),
                json::text(task),
                json::number(*run),
                json::text(how),
                json::text(""),
            ])
        });
        let capacity = json::table(vec![
            ("cpu", json::number(self.me.cpu)),
            ("mem_mb", json::number(self.me.mem_mb)),
            ("gpu", json::number(self.me.gpu)),
        ]);
        let labels = Json::List(vec![json::text(&self.me.kind), json::text(&self.me.rack)]);
        json::table(vec![
            ("service", json::text(&self.me.service)),
            ("address", json::text(&self.me.address.to_string())),
            ("zone", json::text(&self.me.zone)),
            ("version", json::text("v1")),
            ("slots", json::number(8)),
            ("state", json::text("ready")),
            ("cold_remaining_ms", json::number(0)),
            ("capacity", capacity),
            ("labels", labels),
            ("born", json::number(self.born)),
            ("current_time_ms", json::number(self.begun.elapsed().as_millis() as u64)),
            ("sequence", json::number(self.sequence)),
            ("running", Json::List(running.collect())),
            ("finished", Json::List(finished.collect())),
        ])
        .to_string()
    }

    fn obey(&mut self, orders: &Json, sent: Instant) {
        let token = orders.number_at("fencing_token");
        if token < self.token {
            return;
        }
        self.token = token;
        let seen = orders.number_at("last_seen");
        self.ended.retain(|(number, ..)| *number > seen);
        for row in orders.list_at("stop") {
            let (task, run) = (row.list()[0].text().to_string(), row.list()[1].number());
            match self.running.get(&task) {
                Some(work) if work.run == run => self.end(&task, "stopped"),
                _ => {
                    let closed = self.closed.entry(task).or_default();
                    *closed = (*closed).max(run);
                }
            }
        }
        let Some(lease) = orders.get("lease_ttl_ms") else { return };
        let until = sent + Duration::from_millis(lease.number()).min(LEASE_MAX);
        self.lease_until = Some(self.lease_until.map_or(until, |known| known.max(until)));
        for row in orders.list_at("start") {
            let row = row.list();
            let (task, run, spec) = (row[0].text(), row[1].number(), row[2].text());
            self.begin(task, run, spec, row.get(4).map(Json::text));
        }
    }

    fn begin(&mut self, task: &str, run: u64, spec: &str, ticket: Option<&str>) {
        if self.running.get(task).is_some_and(|work| work.run == run) {
            return;
        }
        let field = |name: &str| -> u64 {
            let found = spec.split(';').find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
            found.and_then(|text| text.parse().ok()).unwrap_or(0)
        };
        let work = Work {
            run,
            cpu: field("cpu"),
            mem_mb: field("mem"),
            gpu: field("gpu"),
            length: Duration::from_millis(field("run")),
            lasts: field("lasts") == 1,
            gang: field("gang") as usize,
            since: Instant::now(),
        };
        let used = |of: fn(&Work) -> u64| self.running.values().map(of).sum::<u64>();
        let fits = used(|work| work.cpu) + work.cpu <= self.me.cpu
            && used(|work| work.mem_mb) + work.mem_mb <= self.me.mem_mb
            && used(|work| work.gpu) + work.gpu <= self.me.gpu;
        let known = self.closed.get(task).is_some_and(|closed| run <= *closed);
        let ticket_fits = field("ticket") == 0 || ticket.is_some_and(|t| self.is_own_ticket(t));
        if !fits || known || !ticket_fits || self.running.contains_key(task) {
            return self.close(task, run, "refused");
        }
        self.world.record.line(format!("{} started {task} run {run}", self.me.id));
        if let Ok(mut log) = self.world.log.lock() {
            log.started.push((task.into(), run, self.me.id.clone()));
        }
        self.running.insert(task.into(), work);
        if self.me.fails_all.load(Ordering::SeqCst) {
            self.end(task, "failed");
        }
    }

    fn is_own_ticket(&self, ticket: &str) -> bool {
        ticket.ends_with(&format!("/{}", self.me.id))
    }
}

/// A task's name without its index: the step of one occurrence.
fn step_of(task: &str) -> String {
    task.rsplit_once('.').map_or(task, |(step, _)| step).to_string()
}
