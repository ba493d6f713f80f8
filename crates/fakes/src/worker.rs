//! A small worker that simulates each task for the time that its payload specifies.
//!
//! A task with the payload `run=200ms fail` runs for 200 ms and then fails. `use=900` makes it
//! use 900 millicores, whatever was declared. Without `run=`, a task runs for its declared
//! duration. Tasks write a checkpoint when they are ordered to.

use crate::request_body::read_whole;
use crate::runner::run_local;
use crate::target::{AnnounceOutcome, Announcer, random_incarnation};
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use tokio::time::sleep;
use xitca_web::http::{WebRequest, WebResponse};
use yuccalink_coordination::invariants::TaskChecker;
use yuccalink_protocol::api::{
    Announce, Heartbeat, Leave, OrderTask, Orders, OrdersTaken, ReportedTask, TaskStart,
    held_digest,
};
use yuccalink_protocol::units;
use yuccalink_state::Resources;
use yuccalink_state::command::{TaskEvent, TaskReport};
use yuccalink_state::id::{Epoch, Incarnation, Name, TaskId};
use yuccalink_state::worker::WorkerSpec;
use yuccalink_transport::http::StatusCode;
use yuccalink_transport::reply;
use yuccalink_transport::server::{Handler, Server, ServerLimits};

/// Time between two checks of the running tasks.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Pause after a message that no entry accepted.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Settings of a fake worker.
#[derive(Clone, Debug)]
pub struct WorkerSettings {
    /// Name of the worker.
    pub name: Name,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Rack of the worker.
    pub rack: Name,
    /// Availability zone of the worker.
    pub zone: Name,
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Addresses of the entries that accept announcements.
    pub entries: Vec<SocketAddr>,
}

struct TaskRun {
    epoch: Epoch,
    need: Resources,
    started_at: Instant,
    done_before: Duration,
    run_time: Duration,
    fails: bool,
    /// Millicores that the task actually uses.
    actual_millicores: u64,
    /// Throttled share of `uses`, in thousandths, and the end of the throttling.
    throttle: Option<(u32, Instant)>,
}

impl TaskRun {
    /// Returns the millicores in use now. Throttling lowers the reported use of a fake task,
    /// but not its speed.
    fn current_millicores(&self) -> u64 {
        let share = self.throttle.filter(|(_, until)| Instant::now() < *until);
        self.actual_millicores * u64::from(share.map_or(1000, |(share, _)| share)) / 1000
    }

    fn progress(&self) -> Duration {
        self.done_before + self.started_at.elapsed()
    }
}

#[derive(Default)]
struct Tasks {
    running: BTreeMap<TaskId, TaskRun>,
    highest_epochs: HashMap<TaskId, Epoch>,
    reports: Vec<TaskReport>,
    checker: Option<Arc<Mutex<TaskChecker>>>,
}

struct State {
    capacity: Resources,
    incarnation: Incarnation,
    tasks: Mutex<Tasks>,
    lease_until: Mutex<Option<Instant>>,
    stop: AtomicBool,
    partitioned: AtomicBool,
    leaving: AtomicBool,
    dropped: AtomicU64,
    overcommitted: AtomicU64,
}

/// A fake worker that has been started.
pub struct FakeWorker {
    address: SocketAddr,
    state: Arc<State>,
    server: Option<Server>,
    thread: Option<JoinHandle<()>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl FakeWorker {
    /// Starts to listen for orders, and announces the worker until an entry accepts it.
    ///
    /// # Errors
    /// If the worker cannot listen.
    pub fn start(settings: WorkerSettings) -> std::io::Result<Self> {
        let listener = TcpListener::bind(settings.listen)?;
        let address = listener.local_addr()?;
        let state = Arc::new(State {
            capacity: settings.capacity,
            incarnation: Incarnation(random_incarnation()),
            tasks: Mutex::default(),
            lease_until: Mutex::default(),
            stop: AtomicBool::new(false),
            partitioned: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            dropped: AtomicU64::new(0),
            overcommitted: AtomicU64::new(0),
        });
        let handler_state = state.clone();
        let limits = ServerLimits { threads: 1, ..ServerLimits::default() };
        let server = Server::start(listener, limits, move || OrderHandler(handler_state.clone()))?;
        let announce_state = state.clone();
        let thread = thread::Builder::new().name("worker-announce".into()).spawn(move || {
            run_local(async move {
                tokio::task::spawn_local(run_tasks(announce_state.clone()));
                announce(settings, address, announce_state).await;
            });
        })?;
        Ok(Self { address, state, server: Some(server), thread: Some(thread) })
    }

    /// Returns the address on which the worker receives orders.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Reports the start and end of each task run to `checker`.
    pub fn set_checker(&self, checker: Arc<Mutex<TaskChecker>>) {
        lock(&self.state.tasks).checker = Some(checker);
    }

    /// Returns the number of running tasks.
    pub fn running(&self) -> usize {
        lock(&self.state.tasks).running.len()
    }

    /// Returns the number of tasks that were dropped because the lease had expired.
    pub fn dropped(&self) -> u64 {
        self.state.dropped.load(Ordering::SeqCst)
    }

    /// Returns the number of tasks that are throttled now.
    pub fn throttled(&self) -> usize {
        let now = Instant::now();
        let tasks = lock(&self.state.tasks);
        tasks.running.values().filter(|run| run.throttle.is_some_and(|(_, u)| now < u)).count()
    }

    /// Returns how often the worker was ordered to run more than its capacity.
    pub fn overcommit_count(&self) -> u64 {
        self.state.overcommitted.load(Ordering::SeqCst)
    }

    /// Cuts the worker off from the entries, or reconnects it. While it is cut off, its tasks
    /// run until its lease expires.
    pub fn set_partitioned(&self, silent: bool) {
        self.state.partitioned.store(silent, Ordering::SeqCst);
    }

    /// Sends a leave notice; the worker finishes its running tasks.
    pub fn leave(&self) {
        self.state.leaving.store(true, Ordering::SeqCst);
    }

    /// Stops the worker.
    pub fn stop(&mut self) {
        self.state.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        if let Some(server) = self.server.take() {
            server.stop(Duration::ZERO);
        }
    }
}

async fn announce(settings: WorkerSettings, address: SocketAddr, state: Arc<State>) {
    let mut entries = Announcer::new(settings.entries.clone());
    let run = state.incarnation;
    let path = format!("/v1/targets/{}", settings.name);
    let mut registered = false;
    let mut leave_sent = false;
    let mut send_held = true;
    while !state.stop.load(Ordering::SeqCst) {
        if state.partitioned.load(Ordering::SeqCst) {
            sleep(RETRY_PAUSE).await;
            continue;
        }
        let sent = Instant::now();
        let (outcome, reported) = if registered {
            if state.leaving.load(Ordering::SeqCst) && !leave_sent {
                let left =
                    entries.send(&format!("{path}/leave"), &Leave { incarnation: run }).await;
                leave_sent = matches!(left, AnnounceOutcome::Accepted(_));
            }
            let (heartbeat, reported) = build_heartbeat(&state, send_held);
            (entries.send(&format!("{path}/heartbeat"), &heartbeat).await, reported)
        } else {
            let spec = WorkerSpec {
                name: settings.name.clone(),
                incarnation: run,
                address: address.to_string().into(),
                capacity: settings.capacity,
                rack: settings.rack.clone(),
                zone: settings.zone.clone(),
            };
            (entries.send("/v1/targets", &Announce::Worker { spec }).await, 0)
        };
        let pause = match outcome {
            AnnounceOutcome::Accepted(reply) => {
                registered = true;
                send_held = reply.send_held;
                lock(&state.tasks).reports.drain(..reported);
                // The lease starts when the message was sent, since the response may have
                // been delayed by an unknown time.
                let lease = Duration::from_millis(reply.lease_ms.unwrap_or(10_000));
                *lock(&state.lease_until) = Some(sent + lease);
                Duration::from_millis(reply.heartbeat_ms)
            }
            AnnounceOutcome::UnknownTarget => {
                // A new leader does not know the workers yet. It declares an incarnation
                // lost only after the lease has expired, and with the lease every task
                // here ends.
                registered = false;
                Duration::ZERO
            }
            AnnounceOutcome::Failed(error) => {
                log::debug!("worker {}: {error}", settings.name);
                RETRY_PAUSE
            }
        };
        wait_for_heartbeat(&state, pause).await;
    }
}

/// Waits until the next heartbeat is due, or until there is a task report to send.
async fn wait_for_heartbeat(state: &State, pause: Duration) {
    let until = Instant::now() + pause;
    while Instant::now() < until && !state.stop.load(Ordering::SeqCst) {
        sleep(POLL_INTERVAL).await;
        if !lock(&state.tasks).reports.is_empty() {
            return;
        }
    }
}

fn build_heartbeat(state: &State, send_held: bool) -> (Heartbeat, usize) {
    let tasks = lock(&state.tasks);
    let running =
        tasks.running.iter().map(|(task, run)| ReportedTask { task: *task, epoch: run.epoch });
    let reported = tasks.reports.iter().map(|r| ReportedTask { task: r.task, epoch: r.epoch });
    let millicores = tasks.running.values().map(TaskRun::current_millicores).sum();
    let memory_mib = tasks.running.values().map(|run| run.need.memory_mib).sum();
    let held: Vec<ReportedTask> = running.chain(reported).collect();
    let heartbeat = Heartbeat {
        incarnation: state.incarnation,
        busy: u32::try_from(tasks.running.len()).unwrap_or(u32::MAX),
        millicores,
        memory_mib,
        held_digest: held_digest(held.iter().copied()),
        held: send_held.then_some(held),
        reports: tasks.reports.clone(),
    };
    (heartbeat, tasks.reports.len())
}

/// Ends tasks whose run time is over, and drops all tasks when the lease has expired.
async fn run_tasks(state: Arc<State>) {
    while !state.stop.load(Ordering::SeqCst) {
        sleep(POLL_INTERVAL).await;
        let lease_over = lock(&state.lease_until).is_some_and(|until| Instant::now() >= until);
        if lease_over {
            drop_all_tasks(&state);
            continue;
        }
        let mut tasks = lock(&state.tasks);
        let over: Vec<TaskId> = tasks
            .running
            .iter()
            .filter(|(_, run)| run.progress() >= run.run_time)
            .map(|(id, _)| *id)
            .collect();
        for task in over {
            let Some(run) = tasks.running.remove(&task) else { continue };
            let event = if run.fails {
                notify_checker(&tasks, |checker| checker.stopped(task, run.epoch));
                TaskEvent::Failed { reason: "the payload asked for it".into() }
            } else {
                notify_checker(&tasks, |checker| checker.finished(task, run.epoch));
                TaskEvent::Finished
            };
            tasks.reports.push(TaskReport { task, epoch: run.epoch, event });
        }
    }
}

fn notify_checker<F>(tasks: &Tasks, report: F)
where
    F: FnOnce(&mut TaskChecker),
{
    if let Some(checker) = &tasks.checker {
        report(&mut lock(checker));
    }
}

fn drop_all_tasks(state: &State) {
    let mut tasks = lock(&state.tasks);
    let running = std::mem::take(&mut tasks.running);
    state.dropped.fetch_add(running.len() as u64, Ordering::SeqCst);
    for (task, run) in running {
        notify_checker(&tasks, |checker| checker.stopped(task, run.epoch));
        tasks.reports.push(TaskReport { task, epoch: run.epoch, event: TaskEvent::Stopped });
    }
}

struct OrderHandler(Arc<State>);

impl Handler for OrderHandler {
    async fn handle(&self, req: WebRequest) -> WebResponse {
        let (_, ext) = req.into_parts();
        let (_, body) = ext.replace_body(());
        if self.0.partitioned.load(Ordering::SeqCst) {
            // A worker that is cut off neither receives orders nor answers them.
            std::future::pending::<()>().await;
        }
        let body = read_whole(body, Duration::from_secs(5)).await;
        let Ok(orders) = serde_json::from_slice::<Orders>(&body) else {
            return reply::text(StatusCode::BAD_REQUEST, "the body is not a list of orders\n");
        };
        if orders.incarnation != self.0.incarnation {
            return reply::text(StatusCode::CONFLICT, "these orders are for another incarnation\n");
        }
        let reports =
            orders.orders.into_iter().filter_map(|order| self.apply_order(order)).collect();
        reply::json(StatusCode::OK, &OrdersTaken { reports })
    }
}

impl OrderHandler {
    fn apply_order(&self, order: OrderTask) -> Option<TaskReport> {
        match order {
            OrderTask::Start(start) => self.start(&start),
            OrderTask::Checkpoint(held) => self.stop(held, true),
            OrderTask::Stop(held) => self.stop(held, false),
            OrderTask::Throttle { task, epoch, share, for_ms } => {
                let mut tasks = lock(&self.0.tasks);
                let run = tasks.running.get_mut(&task).filter(|run| run.epoch == epoch);
                if let Some(run) = run {
                    let until = Instant::now() + Duration::from_millis(for_ms);
                    run.throttle = Some((share, until));
                }
                None
            }
        }
    }

    fn start(&self, start: &TaskStart) -> Option<TaskReport> {
        let TaskStart { task, epoch, .. } = *start;
        let report = |event| Some(TaskReport { task, epoch, event });
        let has_lease = lock(&self.0.lease_until).is_some_and(|until| Instant::now() < until);
        if !has_lease {
            // The lease has expired, so the task of this late order may already have been
            // placed on another worker.
            return report(TaskEvent::Refused { reason: "the lease has ended".into() });
        }
        let mut tasks = lock(&self.0.tasks);
        if let Some(run) = tasks.running.get(&task)
            && run.epoch == epoch
        {
            return report(TaskEvent::Started);
        }
        // An order that is sent again must not start the task a second time.
        if tasks.highest_epochs.get(&task).is_some_and(|seen| *seen >= epoch) {
            return None;
        }
        let used = tasks.running.values().try_fold(start.need, |sum, run| sum.plus(run.need));
        if used.is_none_or(|used| !self.0.capacity.covers(used)) {
            self.0.overcommitted.fetch_add(1, Ordering::SeqCst);
            return report(TaskEvent::Refused { reason: "there is no room".into() });
        }
        tasks.highest_epochs.insert(task, epoch);
        tasks.running.insert(task, task_run(start));
        notify_checker(&tasks, |checker| checker.started(task, epoch));
        report(TaskEvent::Started)
    }

    fn stop(&self, held: ReportedTask, save: bool) -> Option<TaskReport> {
        let ReportedTask { task, epoch } = held;
        let mut tasks = lock(&self.0.tasks);
        let seen = tasks.highest_epochs.entry(task).or_insert(epoch);
        *seen = (*seen).max(epoch);
        let run = tasks.running.get(&task).filter(|run| run.epoch == epoch).map(TaskRun::progress);
        match run {
            None if tasks.reports.iter().any(|r| r.task == task && r.epoch == epoch) => {
                return None;
            }
            None => return Some(TaskReport { task, epoch, event: TaskEvent::Stopped }),
            Some(done) => {
                tasks.running.remove(&task);
                notify_checker(&tasks, |checker| checker.stopped(task, epoch));
                if save {
                    let done_ms = u64::try_from(done.as_millis()).unwrap_or(u64::MAX);
                    let event = TaskEvent::Checkpointed { done_ms };
                    tasks.reports.push(TaskReport { task, epoch, event });
                }
                tasks.reports.push(TaskReport { task, epoch, event: TaskEvent::Stopped });
            }
        }
        None
    }
}

fn task_run(start: &TaskStart) -> TaskRun {
    let words: Vec<&str> = start.payload.split_whitespace().collect();
    let asked = words.iter().find_map(|word| word.strip_prefix("run="));
    let run_time = asked.and_then(|time| units::millis(time).ok()).unwrap_or(start.duration_ms);
    TaskRun {
        epoch: start.epoch,
        need: start.need,
        started_at: Instant::now(),
        done_before: Duration::from_millis(start.done_ms),
        run_time: Duration::from_millis(run_time),
        fails: words.contains(&"fail"),
        actual_millicores: words
            .iter()
            .find_map(|word| word.strip_prefix("use=")?.parse().ok())
            .unwrap_or(start.need.millicores),
        throttle: None,
    }
}
