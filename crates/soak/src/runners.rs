//! Emulated runners that report over HTTP, to whichever process answers.

use crate::watch::Watch;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use yuccalink_coordination::Moment;
use yuccalink_coordination::jobs::Orders;
use yuccalink_fakes::emulator::{EmulatedRunner, Truth};
use yuccalink_state::Resources;
use yuccalink_state::jobs::TaskKey;
use yuccalink_transport::http::{Method, Request, header};
use yuccalink_transport::pool::{Pool, PoolSettings};

const CAPACITY: Resources = Resources { millicores: 8_000, memory_mib: 16_000, accelerators: 0 };
/// Longest wait for an answer, as on the users' platform.
const ANSWER_MAX: Duration = Duration::from_secs(1);
const BODY_MAX: usize = 4 * 1024 * 1024;
/// Pause after a report that got no answer.
const AGAIN: Duration = Duration::from_millis(150);
/// Longest pause between reports.
const PAUSE_MAX: Duration = Duration::from_millis(1_000);

/// What is true of every task: its work is drawn from its key.
pub(crate) fn truth(task: TaskKey) -> Truth {
    let work = Duration::from_millis(100 + (task.job.0 ^ u64::from(task.index)) % 900);
    let need = Resources { millicores: 1_000, memory_mib: 100, accelerators: 0 };
    Truth { work, need, ..Truth::default() }
}

/// Runs one runner until the soak ends.
pub(crate) async fn run(
    at: usize,
    nodes: Vec<SocketAddr>,
    watch: Rc<RefCell<Watch>>,
    began: Instant,
) {
    let pool = Pool::new(PoolSettings::default());
    let now = || Moment(1_000_000) + began.elapsed();
    let id = format!("w{at}");
    let mut runner = EmulatedRunner::new(&id, "r1", 1_000 + at as u64, CAPACITY, now());
    let mut node = at;
    let mut told: Option<SocketAddr> = None;
    loop {
        let sent = now();
        let report = runner.report(sent);
        watch.borrow_mut().happened(at, runner.take_happened());
        let Ok(body) = serde_json::to_vec(&report) else { return };
        let to = told.unwrap_or(nodes[node % nodes.len()]);
        let path = format!("/v1/runners/{id}/heartbeat");
        let orders = post(&pool, to, &path, body).await;
        let pause = match orders {
            Some(orders) => {
                told = orders.report_to;
                runner.obey(now(), sent, &orders, |task| Some(truth(task)));
                Duration::from_millis(orders.retry_after_ms.max(50))
            }
            None => {
                told = None;
                node += 1;
                AGAIN
            }
        };
        watch.borrow_mut().happened(at, runner.take_happened());
        sleep(&mut runner, at, &watch, pause.min(PAUSE_MAX), &now).await;
    }
}

/// Lets time pass; an end cuts the pause short.
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
        let events = runner.take_happened();
        let ended = !events.is_empty();
        watch.borrow_mut().happened(at, events);
        if ended {
            return;
        }
    }
}

async fn post(pool: &Pool, to: SocketAddr, path: &str, body: Vec<u8>) -> Option<Orders> {
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
    let whole = tokio::time::timeout_at(deadline, answer.whole(BODY_MAX)).await;
    serde_json::from_slice(&whole.ok()?.ok()??).ok()
}
