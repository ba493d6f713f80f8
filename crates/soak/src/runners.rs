//! Emulated runners that send their reports over HTTP to any process that responds.

use crate::watch::Watch;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use yuccalink_coordination::Moment;
use yuccalink_coordination::jobs::RunnerOrders;
use yuccalink_fakes::emulator::{Crash, EmulatedRunner, TaskBehavior};
use yuccalink_state::Resources;
use yuccalink_state::jobs::TaskKey;
use yuccalink_transport::http::{Method, Request, header};
use yuccalink_transport::pool::{Pool, PoolSettings};

const CAPACITY: Resources = Resources { millicores: 8_000, memory_mib: 16_000, accelerators: 0 };
/// Deadline for a complete response, as on the users' platform.
const ANSWER_MAX: Duration = Duration::from_secs(1);
/// Added to the run time of tasks that crash their runner, so that they do not end before.
const WORK_MORE: Duration = Duration::from_millis(500);
const BODY_MAX: usize = 4 * 1024 * 1024;
/// Pause after a report that got no response.
const AGAIN: Duration = Duration::from_millis(150);
/// Longest pause between reports.
const PAUSE_MAX: Duration = Duration::from_millis(1_000);

/// One job in this many crashes runners, if crashes are enabled.
const CRASHING_ONE_IN: u64 = 24;
/// Time from the start of a crashing task to the crash, in ms; selected by the job's id.
const CRASH_AFTER_MS: [u64; 3] = [10, 10, 400];
/// Shortest and longest time from a crash to the next incarnation, in ms.
const AWAY_MS: std::ops::Range<u64> = 500..7_000;
/// Shortest and longest time between two changes of a runner's capacity, in ms.
const ROOM_STAYS_MS: std::ops::Range<u64> = 500..6_000;

/// Returns the actual behavior of a task; its run time is derived from its key.
fn behavior(task: TaskKey, crashes: bool) -> TaskBehavior {
    let work = Duration::from_millis(100 + (task.job.0 ^ u64::from(task.index)) % 900);
    let need = Resources { millicores: 1_000, memory_mib: 100, accelerators: 0 };
    let strikes = crashes && task.index == 0 && task.job.0.is_multiple_of(CRASHING_ONE_IN);
    let after = CRASH_AFTER_MS[(task.job.0 / CRASHING_ONE_IN % 3) as usize];
    let crash = strikes.then(|| Crash::each(Duration::from_millis(after)));
    TaskBehavior {
        run_time: if strikes { work + WORK_MORE } else { work },
        actual_usage: need,
        crash,
        ..TaskBehavior::default()
    }
}

/// Changes the capacity of a runner at random times.
struct Room {
    rng: Pcg64Mcg,
    changes_at: Moment,
}

impl Room {
    fn new(at: usize, now: Moment) -> Self {
        Self { rng: Pcg64Mcg::seed_from_u64(at as u64), changes_at: now }
    }

    /// Draws a new capacity for the runner if the next change is due.
    fn change(&mut self, runner: &mut EmulatedRunner, now: Moment) {
        if now < self.changes_at {
            return;
        }
        self.changes_at = now + Duration::from_millis(self.rng.random_range(ROOM_STAYS_MS));
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
    let mut room = Room::new(at, now());
    let mut started_ms = 1_000 + at as u64;
    loop {
        let runner = EmulatedRunner::new(&format!("w{at}"), "r1", started_ms, CAPACITY, now());
        let shrinks = crashes.then_some(&mut room);
        let Some(by) = live(at, runner, &nodes, &watch, &now, shrinks).await else { return };
        watch.borrow_mut().crashed(at, by);
        let away = Duration::from_millis(room.rng.random_range(AWAY_MS));
        tokio::time::sleep(away).await;
        started_ms += u64::try_from(away.as_millis()).unwrap_or(u64::MAX);
    }
}

/// Runs one incarnation until a task crashes it, and returns that task.
async fn live<F>(
    at: usize,
    mut runner: EmulatedRunner,
    nodes: &[SocketAddr],
    watch: &Rc<RefCell<Watch>>,
    now: &F,
    mut shrinks: Option<&mut Room>,
) -> Option<TaskKey>
where
    F: Fn() -> Moment,
{
    let pool = Pool::new(PoolSettings::default());
    let id = runner.id.clone();
    let crashes = shrinks.is_some();
    let mut node = at;
    let mut told: Option<SocketAddr> = None;
    loop {
        if let Some(by) = runner.crashed_by() {
            return Some(by);
        }
        if let Some(room) = &mut shrinks {
            room.change(&mut runner, now());
        }
        let sent = now();
        let report = runner.report(sent);
        watch.borrow_mut().happened(at, runner.take_events());
        let body = serde_json::to_vec(&report).ok()?;
        let to = told.unwrap_or(nodes[node % nodes.len()]);
        let path = format!("/v1/runners/{id}/heartbeat");
        let orders = post(&pool, to, &path, body).await;
        let pause = match orders {
            Some(orders) => {
                told = orders.report_to;
                let before = runner.resources_in_use();
                runner.apply_orders(now(), sent, &orders, |task| Some(behavior(task, crashes)));
                let filled = runner.resources_in_use().millicores > before.millicores;
                if filled && !runner.is_within_capacity(now()) {
                    watch.borrow_mut().overfull(at);
                }
                Duration::from_millis(orders.retry_after_ms.max(50))
            }
            None => {
                told = None;
                node += 1;
                AGAIN
            }
        };
        watch.borrow_mut().happened(at, runner.take_events());
        sleep(&mut runner, at, watch, pause.min(PAUSE_MAX), now).await;
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
    const LOOK: Duration = Duration::from_millis(20);
    let until = Instant::now() + pause;
    while Instant::now() < until {
        tokio::time::sleep(LOOK).await;
        runner.advance(now());
        let events = runner.take_events();
        let ended = !events.is_empty();
        watch.borrow_mut().happened(at, events);
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
    let deadline = Instant::now() + ANSWER_MAX;
    let mut answer = pool.send(to, req, deadline).await.ok()?;
    if !answer.head.status.is_success() {
        return None;
    }
    let whole = tokio::time::timeout_at(deadline, answer.collect_body(BODY_MAX)).await;
    serde_json::from_slice(&whole.ok()?.ok()??).ok()
}
