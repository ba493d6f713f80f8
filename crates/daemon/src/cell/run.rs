//! Starts and stops one process of a cell.

use crate::cell::adapter::{ApiAdapter, SeedSource};
use crate::cell::admission::ClientAdmission;
use crate::cell::config::CellConfig;
use crate::cell::http::{self, Endpoint, HttpContext};
use crate::cell::listener::{PEER_BUFFERS, bind};
use crate::cell::node::SharedNode;
use crate::cell::policy;
use crate::cell::replica::Replica;
use crate::cell::{disk, intake, membership, peers};
use crate::clock::BootClock;
use crate::error::{Error, Result};
use crate::journal::Journal;
use rand::TryRng as _;
use rand::rngs::SysRng;
use std::cell::Cell;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio::time::Instant;
use yuccalink_coordination::Moment;
use yuccalink_coordination::peer_table::NodeInfo;
use yuccalink_coordination::raft::ReplicaId;
use yuccalink_state::jobs::CellState;

/// Tasks that run between two looks at the sockets. With more, the messages of other replicas
/// would wait behind the requests of a busy leader.
const IO_POLL_INTERVAL_TASKS: u32 = 16;
/// Interval between clock ticks of a replica: a quarter of the Raft heartbeat interval.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Interval at which the seeds are read again; they may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(1);
/// Time limit for another replica to take over the leadership at a planned stop.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(800);
/// Time limit for requests in flight to finish after connections stop being accepted.
const IN_FLIGHT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Interval at which a stopping process checks whether it can proceed.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs one process of a cell until a signal stops it.
///
/// # Errors
/// Returns an [`Error`] if a port is in use, the data folder is unusable, or the disk fails
/// later.
pub fn run(
    config: CellConfig,
    adapter: Box<dyn ApiAdapter>,
    seed_source: Box<dyn SeedSource>,
) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .event_interval(IO_POLL_INTERVAL_TASKS)
        .build()
        .map_err(Error::Thread)?;
    LocalSet::new().block_on(&runtime, serve(config, adapter, seed_source))
}

async fn serve(
    config: CellConfig,
    adapter: Box<dyn ApiAdapter>,
    seed_source: Box<dyn SeedSource>,
) -> Result<()> {
    let mut term = listen_for_signal(SignalKind::terminate())?;
    let mut int = listen_for_signal(SignalKind::interrupt())?;
    let mut hup = listen_for_signal(SignalKind::hangup())?;
    let adapter: Rc<dyn ApiAdapter> = Rc::from(adapter);
    let (node, journal) = recover(&config, &adapter)?;
    let (close, closing) = watch::channel(false);
    let in_flight = Cell::new(0);
    let admission = ClientAdmission::new(node.account());
    let limits = node.limits();
    let context =
        HttpContext { node: node.clone(), adapter, admission, limits, in_flight, closing };
    let context = Rc::new(context);
    listen_all(&config, &context)?;
    if let Some(journal) = journal {
        tokio::task::spawn_local(disk::run(node.clone(), journal));
        tokio::task::spawn_local(run_ticks(node.clone()));
        tokio::task::spawn_local(intake::run(node.clone()));
    }
    tokio::task::spawn_local(membership::run(node.clone()));
    tokio::task::spawn_local(http::expire_connections(context.clone()));
    log::info!(
        "started name={} zone={} peer={} disk={} seeds={:?} policy=shipped{:?}",
        config.name,
        config.zone,
        config.peer,
        config.data.is_some(),
        config.seeds,
        policy::changed(&config.leader.policy)
    );
    let mut failure = node.failure();
    let mut reload = tokio::time::interval(RELOAD_INTERVAL);
    reload.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            _ = hup.recv() => reload_seeds(&node, &*seed_source, true),
            _ = reload.tick() => reload_seeds(&node, &*seed_source, false),
            _ = failure.changed() => {
                return Err(Error::Stopped);
            }
        }
    }
    stop(&node, &context, &close, config.drain).await;
    Ok(())
}

/// Stops without cutting off requests in flight: first reports not ready to the load balancer
/// and transfers the leadership, then closes the listeners, then waits for requests in flight.
async fn stop(
    node: &SharedNode,
    context: &HttpContext,
    close: &watch::Sender<bool>,
    drain: Duration,
) {
    log::info!("stopping: no longer ready, serving for another {drain:?}");
    let stop_started = Instant::now();
    node.start_draining();
    transfer_leadership(node).await;
    tokio::time::sleep_until(stop_started + drain).await;
    let _ = close.send(true);
    let deadline = Instant::now() + IN_FLIGHT_TIMEOUT;
    while context.in_flight.get() > 0 && Instant::now() < deadline {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    // Leaves time to send the last responses.
    tokio::time::sleep(POLL_INTERVAL).await;
    log::info!("stopped in-flight={}", context.in_flight.get());
}

async fn transfer_leadership(node: &SharedNode) {
    let requested = node.with(|node| {
        let now = node.now();
        let Some(replica) = &mut node.replica else { return false };
        let requested = replica.raft.transfer_leadership();
        replica.process_raft_output(now);
        requested
    });
    if !requested {
        return;
    }
    node.tick();
    let deadline = Instant::now() + TRANSFER_TIMEOUT;
    while node.with(|node| node.replica.as_ref().is_some_and(Replica::is_leader))
        && Instant::now() < deadline
    {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn run_ticks(node: SharedNode) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let due = interval.tick().await;
        // A tick that is late shows that messages wait in the sockets, where no queue counts them.
        node.note_lateness(due.elapsed());
        node.tick();
    }
}

fn reload_seeds(node: &SharedNode, seed_source: &dyn SeedSource, requested: bool) {
    match seed_source.seeds() {
        Ok(seeds) => node.with(|node| {
            if node.peer_table.seeds != seeds {
                log::info!("reloaded seeds={seeds:?} were={:?}", node.peer_table.seeds);
                node.peer_table.seeds = seeds;
            } else if requested {
                log::info!("reloaded, seeds unchanged");
            }
        }),
        Err(why) => log::warn!("cannot reload the seeds; keeping the previous ones: {why}"),
    }
}

fn recover(
    config: &CellConfig,
    adapter: &Rc<dyn ApiAdapter>,
) -> Result<(SharedNode, Option<Journal>)> {
    let clock = BootClock::start();
    let mut replica = None;
    let mut journal = None;
    if let Some(folder) = &config.data {
        let (opened_journal, opened_replica) = open_disk(config, folder, clock.now())?;
        replica = Some(opened_replica);
        journal = Some(opened_journal);
    }
    let info = NodeInfo {
        name: config.name.clone(),
        zone: config.zone.clone(),
        peer: config.peer_advertised(),
        control: config.control,
        replica: replica.as_ref().map(|replica: &Replica| replica.raft.id()),
        may_bootstrap: false,
    };
    let node = SharedNode::new(config.clone(), clock, info, replica, adapter.clone());
    Ok((node, journal))
}

fn open_disk(config: &CellConfig, folder: &Path, now: Moment) -> Result<(Journal, Replica)> {
    let (journal, recovered) = Journal::open::<CellState>(folder, random_u64())?;
    log::info!(
        "disk replica={} snapshot={} records={}",
        ReplicaId(recovered.replica),
        recovered.meta.index,
        recovered.records.len()
    );
    let name = config.name.clone();
    let replica =
        Replica::new(config.leader, name, recovered, random_u64(), now).map_err(|bad| {
            Error::Setting { flag: "data", detail: format!("cannot read the state: {bad}").into() }
        })?;
    Ok((journal, replica))
}

fn listen_all(config: &CellConfig, context: &Rc<HttpContext>) -> Result<()> {
    let peer = bind(config.peer, PEER_BUFFERS, "daemons", "peer")?;
    tokio::task::spawn_local(peers::serve(context.node.clone(), peer));
    let endpoints = [
        (Endpoint::Callers, config.callers, "callers", "callers"),
        (Endpoint::Control, config.control, "runners and operators", "control"),
        (Endpoint::Ready, config.ready, "the balancer", "ready"),
        (Endpoint::Metrics, config.metrics, "readers of metrics", "metrics"),
    ];
    for (endpoint, at, clients, flag) in endpoints {
        if let Some(at) = at {
            let listener = bind(at, endpoint.socket_buffers(), clients, flag)?;
            tokio::task::spawn_local(http::serve(context.clone(), endpoint, listener));
        }
    }
    Ok(())
}

fn listen_for_signal(kind: SignalKind) -> Result<Signal> {
    signal(kind).map_err(Error::Thread)
}

/// Returns a number from the system's random generator, or the time if that fails.
fn random_u64() -> u64 {
    SysRng.try_next_u64().unwrap_or_else(|_| crate::clock::unix_ms())
}
