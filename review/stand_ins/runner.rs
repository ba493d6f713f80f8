//! A runner as PROTOCOL.md describes it, with `control_mode` = `heartbeat`.

use crate::http::{self, Call};
use crate::json::{Json, quoted};
use crate::record::Record;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
const AFTER_END: Duration = Duration::from_millis(50);
const BEAT: Duration = Duration::from_millis(1_500);
const ENDS_IN_REPORT: usize = 500;
const LEASE_MAX_MS: u64 = 6_000;

/// A run as the runner itself saw it.
#[derive(Clone, Debug)]
pub struct Run {
    pub runner: String,
    pub task: String,
    pub ended: Option<(Duration, &'static str)>,
}

/// All runs on all runners.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Tickets by step and runner, and until when they are valid.
pub type Tickets = Arc<Mutex<BTreeMap<(String, String), (String, Instant)>>>;

/// What is done to the link between one runner and the system, in both of its directions.
#[derive(Default)]
pub struct Link {
    /// Calls of the runner do not arrive.
    pub requests_lost: AtomicBool,
    /// Answers to the runner are lost; its calls arrive.
    pub answers_lost: AtomicBool,
    /// Not a fault of the link: the runner fails all that it starts.
    pub fails: AtomicBool,
}

#[derive(Clone)]
pub struct Settings {
    pub id: String,
    pub address: String,
    pub service: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub controls: Vec<SocketAddr>,
    /// How long a task works, by its name; `None` for a task that lasts.
    pub work: fn(&str) -> Option<Duration>,
    /// CPU that a task asks for, by its name. What does not fit is rejected.
    pub need: fn(&str) -> u64,
    /// Tickets of the advisor, on a queue that has one. A start without a valid one is rejected.
    pub tickets: Option<Tickets>,
}

struct Active {
    number: u64,
    began: Instant,
    work: Option<Duration>,
    stop_at: Option<Instant>,
    fails: bool,
    at: usize,
}

pub struct Runner {
    settings: Settings,
    record: Arc<Record>,
    runs: Runs,
    pub link: Arc<Link>,
    born: u64,
    sequence: u64,
    token: u64,
    lease_until: Option<Instant>,
    active: BTreeMap<String, Active>,
    ends: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    highest_ended: BTreeMap<String, u64>,
    control: SocketAddr,
    at: usize,
    pub draining_until: Option<Instant>,
    pub acknowledged_draining: bool,
}

impl Runner {
    pub fn new(settings: Settings, record: Arc<Record>, runs: Runs, link: Arc<Link>) -> Self {
        let control = settings.controls[0];
        record.line(&format!("runner {} boots at {}", settings.id, settings.address));
        Self {
            settings,
            record,
            runs,
            link,
            born: crate::cell::unix_ms(),
            sequence: 0,
            token: 0,
            lease_until: None,
            active: BTreeMap::new(),
            ends: Vec::new(),
            next_end: 1,
            highest_ended: BTreeMap::new(),
            control,
            at: 0,
            draining_until: None,
            acknowledged_draining: false,
        }
    }

    /// Reports until `stop` is set, then ends everything at once, as a crash does.
    pub fn run_until(mut self, stop: &AtomicBool) {
        while !stop.load(Ordering::Relaxed) {
            let pause = self.report();
            self.work_for(pause, stop);
        }
        self.record.line(&format!(
            "runner {} leaves or crashes; {} ends were not taken note of, {} of them refused starts",
            self.settings.id,
            self.ends.len(),
            self.ends.iter().filter(|(.., how)| *how == "refused").count()
        ));
        self.end_all("runner ended");
    }

    /// Lets the tasks work until the next report is due: after `pause`, or 50 ms after an end.
    pub fn work_for(&mut self, pause: Duration, stop: &AtomicBool) {
        let mut until = Instant::now() + pause;
        while Instant::now() < until && !stop.load(Ordering::Relaxed) {
            if self.step() {
                until = until.min(Instant::now() + AFTER_END);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Ends what is due; true if anything ended.
    pub fn step(&mut self) -> bool {
        let now = Instant::now();
        if self.lease_until.is_some_and(|until| now >= until) {
            self.lease_until = None;
            let lapsed: Vec<String> = self.active.keys().cloned().collect();
            for task in &lapsed {
                self.end(task, "lapsed");
            }
            if !lapsed.is_empty() {
                return true;
            }
        }
        let due: Vec<(String, &'static str)> = self
            .active
            .iter()
            .filter_map(|(task, run)| {
                if run.stop_at.is_some_and(|at| now >= at) {
                    return Some((task.clone(), "stopped"));
                }
                let done = run.work.is_some_and(|work| now >= run.began + work);
                let how = if run.fails { "failed" } else { "done" };
                done.then(|| (task.clone(), how))
            })
            .collect();
        for (task, how) in &due {
            self.end(task, how);
        }
        !due.is_empty()
    }

    fn end(&mut self, task: &str, how: &'static str) {
        let Some(run) = self.active.remove(task) else { return };
        self.runs.lock().unwrap()[run.at].ended = Some((self.record.time(), how));
        self.record
            .line(&format!("runner {} {task} run {} ended {how}", self.settings.id, run.number));
        self.list_end(task, run.number, how);
    }

    fn list_end(&mut self, task: &str, number: u64, how: &'static str) {
        self.ends.push((self.next_end, task.into(), number, how));
        self.next_end += 1;
        let highest = self.highest_ended.entry(task.into()).or_default();
        *highest = (*highest).max(number);
    }

    pub fn end_all(&mut self, how: &'static str) {
        let tasks: Vec<String> = self.active.keys().cloned().collect();
        for task in tasks {
            self.end(&task, how);
        }
    }

    fn body(&mut self) -> String {
        self.sequence += 1;
        let s = &self.settings;
        let labels: Vec<String> = s.labels.iter().map(|label| quoted(label)).collect();
        let running: Vec<String> = self
            .active
            .iter()
            .map(|(task, run)| {
                let percent = match run.work {
                    Some(work) => run.began.elapsed().as_millis() * 100 / work.as_millis().max(1),
                    None => 100,
                };
                format!(
                    "[{},{},\"\",{},{}]",
                    quoted(task),
                    run.number,
                    percent.min(99 + u128::from(run.work.is_none())),
                    (self.settings.need)(task)
                )
            })
            .collect();
        let ends = self.ends.iter().take(ENDS_IN_REPORT);
        let finished: Vec<String> = ends
            .map(|(at, task, run, how)| format!("[{at},{},{run},\"{how}\",\"\"]", quoted(task)))
            .collect();
        let (state, remaining) = match self.draining_until {
            None => ("ready", String::new()),
            Some(at) => {
                let left = at.saturating_duration_since(Instant::now()).as_millis();
                ("draining", format!("\"remaining_ms\":{left},"))
            }
        };
        format!(
            "{{\"service\":{},\"address\":{},\"zone\":{},\"version\":\"v1\",\"slots\":8,\
             \"state\":\"{state}\",{remaining}\"cold_remaining_ms\":0,\
             \"capacity\":{{\"cpu\":{},\"mem_mb\":128000,\"gpu\":0}},\"labels\":[{}],\
             \"current_time_ms\":{},\"sequence\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
            quoted(&s.service),
            quoted(&s.address),
            quoted(&s.zone),
            s.cpu,
            labels.join(","),
            crate::cell::unix_ms() - self.born,
            self.sequence,
            self.born,
            running.join(","),
            finished.join(",")
        )
    }

    /// Sends a call of the runner over its link.
    fn send(&self, path: &str, body: &str) -> Option<http::Reply> {
        let sent = Instant::now();
        let call = Call { method: "POST", path, host: "control", headers: "", body };
        if self.link.requests_lost.load(Ordering::Relaxed) {
            std::thread::sleep(RESPONSE_TIMEOUT);
            return None;
        }
        let reply = http::call(self.control, &call, RESPONSE_TIMEOUT);
        if self.link.answers_lost.load(Ordering::Relaxed) {
            std::thread::sleep(RESPONSE_TIMEOUT.saturating_sub(sent.elapsed()));
            return None;
        }
        reply.ok().filter(|_| sent.elapsed() <= RESPONSE_TIMEOUT)
    }

    /// Sends one status report and carries out its orders. Returns the pause until the next one.
    pub fn report(&mut self) -> Duration {
        let body = self.body();
        let path = format!("/api/instances/{}/heartbeat", self.settings.id);
        let sent = Instant::now();
        let draining = self.draining_until.is_some();
        let reply = self.send(&path, &body);
        self.step();
        let Some(reply) = reply.filter(|reply| (200..300).contains(&reply.status)) else {
            self.record.line(&format!(
                "runner {} report {} has no answer",
                self.settings.id, self.sequence
            ));
            self.at += 1;
            self.control = self.settings.controls[self.at % self.settings.controls.len()];
            return Duration::from_millis(100);
        };
        if draining && !self.acknowledged_draining {
            self.acknowledged_draining = true;
            self.record.line(&format!("runner {} draining acknowledged", self.settings.id));
        }
        let orders = Json::parse(&reply.body).unwrap_or(Json::Null);
        self.carry_out(&orders, sent);
        if let Some(to) = orders.get("heartbeat_addr").and_then(|at| at.text().parse().ok()) {
            self.control = to;
        }
        match orders.get("retry_after_ms").map(Json::number) {
            Some(ms) if ms > 0 => Duration::from_millis(ms),
            _ => BEAT,
        }
    }

    fn carry_out(&mut self, orders: &Json, sent: Instant) {
        let token = orders.get("fencing_token").map_or(0, Json::number);
        if token < self.token {
            return;
        }
        self.token = token;
        if let Some(seen) = orders.get("last_seen").map(Json::number) {
            self.ends.retain(|(at, ..)| *at > seen);
        }
        for stop in orders.get("stop").map(Json::items).unwrap_or_default() {
            let [task, run] = stop.items() else { continue };
            let (task, number) = (task.text(), run.number());
            self.record
                .line(&format!("runner {} told to stop {task} run {number}", self.settings.id));
            match self.active.get_mut(task) {
                Some(run) if run.number == number => {
                    run.stop_at.get_or_insert(Instant::now() + Duration::from_millis(200));
                }
                Some(_) => {}
                None => {
                    let highest = self.highest_ended.entry(task.into()).or_default();
                    *highest = (*highest).max(number);
                }
            }
        }
        let Some(lease) = orders.get("lease_ttl_ms").map(Json::number) else { return };
        let until = sent + Duration::from_millis(lease.min(LEASE_MAX_MS));
        self.lease_until = Some(self.lease_until.map_or(until, |known| known.max(until)));
        for start in orders.get("start").map(Json::items).unwrap_or_default() {
            let [task, run, _, _, ticket @ ..] = start.items() else { continue };
            let ticket = ticket.first().map_or("", Json::text);
            self.start(task.text(), run.number(), ticket);
        }
    }

    fn is_valid(&self, task: &str, ticket: &str) -> bool {
        let Some(tickets) = &self.settings.tickets else { return true };
        let step = task.rsplit_once('.').map_or(task, |(step, _)| step);
        let tickets = tickets.lock().unwrap();
        let known = tickets.get(&(step.into(), self.settings.id.clone()));
        known.is_some_and(|(text, until)| text == ticket && Instant::now() < *until)
    }

    fn start(&mut self, task: &str, number: u64, ticket: &str) {
        if self.active.get(task).is_some_and(|run| run.number == number) {
            return;
        }
        self.record.line(&format!("runner {} told to start {task} run {number}", self.settings.id));
        let ended = self.highest_ended.get(task).is_some_and(|highest| number <= *highest);
        let in_use: u64 = self.active.keys().map(|task| (self.settings.need)(task)).sum();
        let fits = in_use + (self.settings.need)(task) <= self.settings.cpu;
        if ended || self.active.contains_key(task) || !fits || !self.is_valid(task, ticket) {
            self.list_end(task, number, "refused");
            return;
        }
        let mut runs = self.runs.lock().unwrap();
        runs.push(Run { runner: self.settings.id.clone(), task: task.into(), ended: None });
        let work = (self.settings.work)(task);
        let fails = self.link.fails.load(Ordering::Relaxed);
        let at = runs.len() - 1;
        let run = Active { number, began: Instant::now(), work, stop_at: None, fails, at };
        drop(runs);
        self.active.insert(task.into(), run);
    }
}
