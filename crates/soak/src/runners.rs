//! Emulated runners that send their reports over HTTP to any process that responds.

use crate::watch::{Watch, zone};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use yuccalink_coordination::Moment;
use yuccalink_coordination::jobs::RunnerOrders;
use yuccalink_fakes::emulator::{Crash, EmulatedRunner, RunnerEvent, TaskBehavior};
use yuccalink_state::Resources;
use yuccalink_state::jobs::{JobId, TaskKey};
use yuccalink_transport::http::{Method, Request, header};
use yuccalink_transport::pool::{Pool, PoolSettings};

const CAPACITY: Resources = Resources { millicores: 8_000, memory_mib: 16_000, accelerators: 0 };
/// Deadline for a complete response, as on the users' platform.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Added to the run time of tasks that crash their runner, so that they do not end before.
const CRASHING_RUN_TIME_EXTRA: Duration = Duration::from_millis(500);
const BODY_MAX_BYTES: usize = 4 * 1024 * 1024;
/// Pause after a report that got no response.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause between reports.
const REPORT_PAUSE_MAX: Duration = Duration::from_millis(1_000);

/// One job in this many crashes runners, if crashes are enabled.
const CRASHING_ONE_IN: u64 = 24;
/// Time from the start of a crashing task to the crash, in ms; selected by the job's id.
const CRASH_AFTER_MS: [u64; 3] = [10, 10, 400];
/// Shortest and longest time from a crash to the next incarnation, in ms.
const DOWNTIME_MS: std::ops::Range<u64> = 500..7_000;
/// Shortest and longest time between two changes of a runner's capacity, in ms.
const CAPACITY_CHANGE_MS: std::ops::Range<u64> = 500..6_000;

/// Returns the id next to `id` of a job that crashes runners, if crashes are enabled.
pub(crate) fn as_crashing(id: JobId) -> JobId {
    JobId((id.0 / CRASHING_ONE_IN).max(1) * CRASHING_ONE_IN)
}

/// Returns the actual behavior of a task; its run time is derived from its key.
fn behavior(task: TaskKey, crashes: bool, long_running: bool) -> TaskBehavior {
    let run_time = Duration::from_millis(100 + (task.job.0 ^ u64::from(task.index)) % 900);
    let need = Resources { millicores: 1_000, memory_mib: 100, accelerators: 0 };
    let is_crashing = crashes && task.index == 0 && task.job.0.is_multiple_of(CRASHING_ONE_IN);
    let after = CRASH_AFTER_MS[(task.job.0 / CRASHING_ONE_IN % 3) as usize];
    let crash = is_crashing.then(|| Crash::each(Duration::from_millis(after)));
    TaskBehavior {
        run_time: if is_crashing { run_time + CRASHING_RUN_TIME_EXTRA } else { run_time },
        actual_usage: need,
        long_running,
        crash,
        ..TaskBehavior::default()
    }
}

/// Changes the capacity of a runner at random times.
struct CapacityChanger {
    rng: Pcg64Mcg,
    next_change: Moment,
}

impl CapacityChanger {
    fn new(at: usize, now: Moment) -> Self {
        Self { rng: Pcg64Mcg::seed_from_u64(at as u64), next_change: now }
    }

    /// Draws a new capacity for the runner if the next change is due.
    fn change(&mut self, runner: &mut EmulatedRunner, now: Moment) {
        if now < self.next_change {
            return;
        }
        self.next_change = now + Duration::from_millis(self.rng.random_range(CAPACITY_CHANGE_MS));
        let millicores = self.rng.random_range(1..=CAPACITY.millicores / 1_000) * 1_000;
        runner.resize(Resources { millicores, ..CAPACITY }, now);
    }
}

/// Runs the incarnations of one runner, one after the other, until the soak ends.
pub(crate) async fn run(
    at: usize,
    nodes: Vec<SocketAddr>,
    watch: Rc<RefCell<Watch>>,
    began: Instant,
    crashes: bool,
) {
    let now = || Moment(1_000_000) + began.elapsed();
    let mut capacity_changer = CapacityChanger::new(at, now());
    let mut started_ms = 1_000 + at as u64;
    loop {
        let mut runner = EmulatedRunner::new(&format!("w{at}"), "r1", started_ms, CAPACITY, now());
        runner.zone = zone(at).into();
        let changer = crashes.then_some(&mut capacity_changer);
        let Some(by) = run_incarnation(at, runner, &nodes, &watch, &now, changer).await else {
            return;
        };
        watch.borrow_mut().record_crash(at, by);
        let downtime = Duration::from_millis(capacity_changer.rng.random_range(DOWNTIME_MS));
        tokio::time::sleep(downtime).await;
        started_ms += u64::try_from(downtime.as_millis()).unwrap_or(u64::MAX);
    }
}

/// Runs one incarnation until a task crashes it, and returns that task.
async fn run_incarnation<F>(
    at: usize,
    mut runner: EmulatedRunner,
    nodes: &[SocketAddr],
    watch: &Rc<RefCell<Watch>>,
    now: &F,
    mut capacity_changer: Option<&mut CapacityChanger>,
) -> Option<TaskKey>
where
    F: Fn() -> Moment,
{
    let pool = Pool::new(PoolSettings::default());
    let id = runner.id.clone();
    let crashes = capacity_changer.is_some();
    let mut node = at;
    let mut report_to: Option<SocketAddr> = None;
    loop {
        if let Some(by) = runner.crashed_by() {
            return Some(by);
        }
        if let Some(capacity_changer) = &mut capacity_changer {
            capacity_changer.change(&mut runner, now());
        }
        let (sent, sent_at) = (now(), Instant::now());
        let report = runner.report(sent);
        watch.borrow_mut().record_events(at, runner.take_events());
        let body = serde_json::to_vec(&report).ok()?;
        let to = report_to.unwrap_or(nodes[node % nodes.len()]);
        let path = format!("/v1/runners/{id}/heartbeat");
        let orders = post(&pool, to, &path, body).await;
        let pause = match orders {
            Some(orders) => {
                report_to = orders.report_to;
                let before = runner.resources_in_use();
                let listed: Vec<_> = runner.runs().collect();
                runner.apply_orders(now(), sent, &orders, |task| {
                    let long_running = watch.borrow().is_long_running(task.job);
                    Some(behavior(task, crashes, long_running))
                });
                let events = runner.take_events();
                if events.iter().any(|event| matches!(event, RunnerEvent::EndsAcknowledged(_))) {
                    watch.borrow_mut().check_orders(at, sent_at, &listed, &orders);
                }
                watch.borrow_mut().record_events(at, events);
                let filled = runner.resources_in_use().millicores > before.millicores;
                if filled && !runner.is_within_capacity(now()) {
                    watch.borrow_mut().record_overcommit(at);
                }
                Duration::from_millis(orders.retry_after_ms.max(50))
            }
            None => {
                report_to = None;
                node += 1;
                RETRY_PAUSE
            }
        };
        watch.borrow_mut().record_events(at, runner.take_events());
        sleep(&mut runner, at, watch, pause.min(REPORT_PAUSE_MAX), now).await;
    }
}

/// Advances the runner for `pause`, and returns early after an event or a crash.
async fn sleep<F>(
    runner: &mut EmulatedRunner,
    at: usize,
    watch: &Rc<RefCell<Watch>>,
    pause: Duration,
    now: &F,
) where
    F: Fn() -> Moment,
{
    const POLL_INTERVAL: Duration = Duration::from_millis(20);
    let until = Instant::now() + pause;
    while Instant::now() < until {
        tokio::time::sleep(POLL_INTERVAL).await;
        runner.advance(now());
        let events = runner.take_events();
        let ended = !events.is_empty();
        watch.borrow_mut().record_events(at, events);
        watch.borrow_mut().check_at_work(at, runner.running());
        if ended || runner.crashed_by().is_some() {
            return;
        }
    }
}

async fn post(pool: &Pool, to: SocketAddr, path: &str, body: Vec<u8>) -> Option<RunnerOrders> {
    let req = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(header::HOST, to.to_string())
        .body(body.into())
        .ok()?;
    let deadline = Instant::now() + RESPONSE_TIMEOUT;
    let mut response = pool.send(to, req, deadline).await.ok()?;
    if !response.head.status.is_success() {
        return None;
    }
    let collected = tokio::time::timeout_at(deadline, response.collect_body(BODY_MAX_BYTES)).await;
    serde_json::from_slice(&collected.ok()?.ok()??).ok()
}
