//! Callers and an operator that retry each request until it gets a definite response.

use crate::plan::{PlannedSettings, SettingsPlan};
use crate::runners::as_crashing;
use crate::watch::{Watch, zone};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use yuccalink_coordination::jobs::JobState;
use yuccalink_state::jobs::JobId;
use yuccalink_state::jobs::settings::QueueView;
use yuccalink_state::jobs::spec::{STEPS_MAX, TASKS_MAX};
use yuccalink_transport::http::{Method, Request, Uri, header};
use yuccalink_transport::pool::{Pool, PoolSettings};

const HOST: &str = "soak.example";
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
const BODY_MAX_BYTES: usize = 4 * 1024 * 1024;
pub(crate) const RETRY_PAUSE: Duration = Duration::from_millis(200);
const REDIRECTS_MAX: usize = 2;
const CHANGE: &str = "/v1/change";
const QUEUE: &str = "q";
/// Queue of the burst of jobs.
const BURST_QUEUE: &str = "burst";
/// Jobs of the most steps and tasks that can never be done.
const WIDE_JOBS: u64 = 10;
/// Additional queues of a large change set, about 350 KB of JSON.
const LARGE_CHANGE_QUEUES: usize = 2_400;

/// Sends requests to the processes in round-robin order.
pub(crate) struct Client {
    pool: Pool,
    nodes: Vec<SocketAddr>,
    next: usize,
}

impl Client {
    pub(crate) fn new(nodes: Vec<SocketAddr>, first: usize) -> Self {
        Self { pool: Pool::new(PoolSettings::default()), nodes, next: first }
    }

    /// Sends a request once to the next process, and follows its redirects.
    pub(crate) async fn send(
        &mut self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Option<(u16, Vec<u8>)> {
        self.next += 1;
        let mut to = self.nodes[self.next % self.nodes.len()];
        let deadline = Instant::now() + RESPONSE_TIMEOUT;
        for _ in 0..=REDIRECTS_MAX {
            let req =
                Request::builder().method(method.clone()).uri(path).header(header::HOST, HOST);
            let req = req.body(body.clone().into()).ok()?;
            let mut response = self.pool.send(to, req, deadline).await.ok()?;
            let status = response.head.status.as_u16();
            if status == 307 {
                let location = response.head.headers.get(header::LOCATION)?.to_str().ok()?;
                to = location.parse::<Uri>().ok()?.authority()?.as_str().parse().ok()?;
                continue;
            }
            let collected =
                tokio::time::timeout_at(deadline, response.collect_body(BODY_MAX_BYTES)).await;
            return Some((status, collected.ok()?.ok()??.to_vec()));
        }
        None
    }

    /// Whether the next process lists a zone as under evacuation.
    pub(crate) async fn is_evacuated(&mut self, zone: &str) -> Option<bool> {
        match self.send(Method::GET, "/v1/zones", Vec::new()).await? {
            (200, body) => {
                let zones: Vec<Value> = serde_json::from_slice(&body).ok()?;
                Some(zones.iter().any(|view| view["zone"] == zone && view["evacuated"] == true))
            }
            _ => None,
        }
    }

    /// Reads the settings of a queue from the next process.
    async fn read_settings(&mut self, queue: &str) -> Option<PlannedSettings> {
        let (200, body) = self.send(Method::GET, "/v1/queues", Vec::new()).await? else {
            return None;
        };
        let views: Vec<QueueView> = serde_json::from_slice(&body).ok()?;
        let view = views.into_iter().find(|view| &*view.queue == queue)?;
        let QueueView { weight, floor_percent, hold, .. } = view;
        Some(PlannedSettings { weight, floor_percent, hold })
    }

    /// Reads the version of the change set in force from the next process.
    pub(crate) async fn read_version(&mut self) -> Option<u64> {
        match self.send(Method::GET, CHANGE, Vec::new()).await? {
            (200, body) => serde_json::from_slice::<Value>(&body).ok()?["version"].as_u64(),
            _ => None,
        }
    }
}

/// Submits jobs until the time `until`, with a pause of `gap` after each. With `crashing_job`,
/// the first of them crashes its runners.
pub(crate) async fn submit(
    mut client: Client,
    watch: Rc<RefCell<Watch>>,
    seed: u64,
    gap: Duration,
    until: Instant,
    mut crashing_job: bool,
) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    while Instant::now() < until {
        let id = JobId(rng.random_range(1..u64::MAX));
        // Of the ids alone, how many jobs crash runners depends on how many are submitted in time.
        let id = if std::mem::take(&mut crashing_job) { as_crashing(id) } else { id };
        let count: u16 = rng.random_range(1..6);
        let body = job(count, false);
        loop {
            let sent = client.send(Method::POST, &format!("/q/{id}"), body.clone()).await;
            match sent {
                Some((200, _)) => {
                    watch.borrow_mut().record_accepted(id, count);
                    break;
                }
                // The job was refused, so its state need not be checked.
                Some((429 | 404 | 400, _)) => break,
                _ if Instant::now() > until => break,
                _ => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
        tokio::time::sleep(gap).await;
    }
}

/// Submits a burst of jobs to a queue of their own until the time `until`. Jobs that are not
/// accepted at once are not sent again.
pub(crate) async fn submit_burst(
    mut client: Client,
    watch: Rc<RefCell<Watch>>,
    seed: u64,
    gap: Duration,
    until: Instant,
) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    while Instant::now() < until {
        let id = JobId(rng.random_range(1..u64::MAX));
        watch.borrow_mut().record_unheld(id);
        let path = format!("/{BURST_QUEUE}/{id}");
        if let Some((200, _)) = client.send(Method::POST, &path, job(1, false)).await {
            watch.borrow_mut().record_accepted(id, 1);
        }
        tokio::time::sleep(gap).await;
    }
}

/// Submits jobs that can never be done, each again until it is accepted, because no runner is large
/// enough for their tasks: one of which a million occurrences are due, and some of the most steps
/// and tasks.
pub(crate) async fn submit_hopeless(mut client: Client) {
    let step = |count: u32| {
        json!({
            "count": count,
            "need": { "millicores": 48_000, "memory-mib": 100 },
            "estimate-ms": 400,
        })
    };
    let schedule = json!({ "first-ms": 0, "interval-ms": 60_000, "count": 1_000_000 });
    let due = json!({ "payload": "work", "steps": [step(1)], "schedule": schedule }).to_string();
    submit_until_accepted(&mut client, JobId(1), due).await;
    let steps: Vec<Value> = (0..STEPS_MAX).map(|_| step(TASKS_MAX)).collect();
    let wide = json!({ "payload": "work", "steps": steps }).to_string();
    for id in 2..2 + WIDE_JOBS {
        submit_until_accepted(&mut client, JobId(id), wide.clone()).await;
    }
}

async fn submit_until_accepted(client: &mut Client, id: JobId, body: String) {
    let path = format!("/{BURST_QUEUE}/{id}");
    while !matches!(
        client.send(Method::POST, &path, body.clone().into_bytes()).await,
        Some((200, _))
    ) {
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Returns the body of the submission of a job with one step.
pub(crate) fn job(tasks: u16, long_running: bool) -> Vec<u8> {
    let step = json!({
        "count": tasks,
        "need": { "millicores": 1_000, "memory-mib": 100 },
        "estimate-ms": 400,
        "long-running": long_running,
    });
    json!({ "payload": "work", "steps": [step] }).to_string().into_bytes()
}

/// Polls the states of the open jobs.
pub(crate) async fn poll_states(mut client: Client, watch: Rc<RefCell<Watch>>) {
    loop {
        let open = watch.borrow().open_jobs();
        for id in open {
            read_state(&mut client, &watch, id).await;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Reads the state of a job from the next process and checks it. Returns whether the process
/// answered.
pub(crate) async fn read_state(client: &mut Client, watch: &Rc<RefCell<Watch>>, id: JobId) -> bool {
    let asked = Instant::now();
    let state = match client.send(Method::GET, &format!("/q/{id}"), Vec::new()).await {
        Some((200, body)) => {
            let view = serde_json::from_slice::<Value>(&body).ok();
            let state = view.and_then(|view| serde_json::from_value(view["state"].clone()).ok());
            let Some(state) = state else { return false };
            Some::<JobState>(state)
        }
        Some((410, _)) => None,
        _ => return false,
    };
    watch.borrow_mut().check_state(id, asked, state);
    true
}

/// Applies one change set after the other, each retried until it is acknowledged, and reads the
/// version in force in between. With `renames`, the queue of the jobs gets another name with
/// every second change set. The queue gets the settings of `plan`, if there is one, which are
/// read as well. Once `closing` is set, applies one last change set and returns.
pub(crate) async fn operate(
    mut client: Client,
    watch: Rc<RefCell<Watch>>,
    gap: Duration,
    closing: Rc<Cell<bool>>,
    renames: bool,
    plan: Option<SettingsPlan>,
) {
    let mut version = 0_u64;
    let mut planned = plan.iter().flat_map(|plan| plan.0.clone()).collect::<Vec<_>>().into_iter();
    loop {
        version += 1;
        let settings = planned.next().unwrap_or_default();
        watch.borrow_mut().record_changing(settings);
        let last = closing.get();
        let is_large = last || version.is_multiple_of(2);
        let name = if renames && version % 4 >= 2 { "renamed" } else { QUEUE };
        let body = change_set(version, is_large, name, settings).to_string().into_bytes();
        loop {
            let sent = client.send(Method::PUT, CHANGE, body.clone()).await;
            if matches!(sent, Some((200, _))) {
                watch.borrow_mut().version = Some((version, Instant::now()));
                watch.borrow_mut().record_settings(settings);
                break;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        if last {
            return;
        }
        let until = Instant::now() + gap;
        while Instant::now() < until && !closing.get() {
            let asked = Instant::now();
            if let Some(version_read) = client.read_version().await {
                watch.borrow_mut().check_version(version_read, asked);
            }
            if plan.is_some()
                && let Some(seen) = client.read_settings(name).await
            {
                watch.borrow_mut().check_settings(seen, settings);
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// The first queue has the address of [`QUEUE`], whatever its name is.
fn change_set(version: u64, is_large: bool, first: &str, settings: PlannedSettings) -> Value {
    let queue = |name: &str, prefix: &str| {
        json!({
            "name": name, "host": HOST, "prefix": format!("/{prefix}/"), "pool": "pool",
            "timeout-ms": 3_000, "objective-ms": 1_000, "slack": 2.0, "attempts": 3,
        })
    };
    let more = if is_large { LARGE_CHANGE_QUEUES } else { 0 };
    let mut queues = vec![queue(first, QUEUE), queue(BURST_QUEUE, BURST_QUEUE)];
    if let Some(weight) = settings.weight {
        queues[0]["weight"] = weight.into();
    }
    if let Some(floor_percent) = settings.floor_percent {
        queues[0]["floor-percent"] = floor_percent.into();
    }
    if settings.hold {
        queues[0]["hold"] = true.into();
    }
    queues.extend((0..more).map(|at| format!("more-{at}")).map(|name| queue(&name, &name)));
    json!({ "version": version, "queues": queues, "pools": [{ "name": "pool" }] })
}

/// Evacuates the zones in turn, each for `span`, until `until`; each order is retried until it is
/// acknowledged.
pub(crate) async fn operate_zones(
    mut client: Client,
    watch: Rc<RefCell<Watch>>,
    span: Duration,
    until: Instant,
) {
    for turn in 0.. {
        tokio::time::sleep(span).await;
        if Instant::now() >= until {
            return;
        }
        let zone = zone(turn);
        order_zone(&mut client, zone, true).await;
        watch.borrow_mut().record_evacuated(zone);
        tokio::time::sleep(span).await;
        watch.borrow_mut().record_restoring(zone);
        order_zone(&mut client, zone, false).await;
    }
}

/// Orders an evacuation or its end, again until it is acknowledged.
pub(crate) async fn order_zone(client: &mut Client, zone: &str, evacuated: bool) {
    let body = json!({ "evacuated": evacuated }).to_string().into_bytes();
    let path = format!("/v1/zones/{zone}");
    while !matches!(client.send(Method::PUT, &path, body.clone()).await, Some((200, _))) {
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}
