//! The control thread: all changes of control state run on this one thread, so no decision
//! needs a lock.

use crate::entry::EntryControl;
use crate::error::{Error, Result};
use crate::journal::Journal;
use crate::leader_client::{Backoff, LeaderClient};
use crate::orders::OrderSender;
use crate::peers::PeerService;
use crate::replica::{self, Replica};
use crate::shared::{Shared, ToLeader};
use crate::voters::VoterConnections;
use std::cell::RefCell;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::LocalSet;
use yuccalink_coordination::handover::HandoverStatus;
use yuccalink_protocol::peer_capnp::peer;
use yuccalink_state::id::Incarnation;
use yuccalink_state::store::Recovered;
use yuccalink_transport::rpc;

/// Interval of the periodic work of the replica and the leader.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which the metrics of the account for clients are sent.
const CLIENT_METRICS_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait for all entries to renew their leases before the leadership is handed over.
const LEASE_RENEWAL_TIMEOUT: Duration = Duration::from_millis(300);
const LEASE_RENEWAL_POLL: Duration = Duration::from_millis(5);
/// Longest wait for the leader's response when this entry reports that it stops.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Inputs of the control thread.
pub(crate) struct ControlParts {
    pub(crate) shared: Arc<Shared>,
    pub(crate) peer_listener: TcpListener,
    pub(crate) requests: mpsc::Receiver<ToLeader>,
    pub(crate) storage: Option<Storage>,
    pub(crate) incarnation: Incarnation,
    pub(crate) stop: watch::Receiver<bool>,
    /// Receives the error when the disk fails; the daemon must then stop.
    pub(crate) disk_failure: oneshot::Sender<yuccalink_state::Error>,
}

/// The disk thread and the recovered state of a voter.
pub(crate) struct Storage {
    pub(crate) journal: Journal,
    pub(crate) recovered: Recovered,
}

/// Runs until told to stop.
pub(crate) fn run(parts: ControlParts) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::Thread)?;
    let local = LocalSet::new();
    local.block_on(&runtime, run_control(parts));
    Ok(())
}

async fn run_control(parts: ControlParts) {
    let ControlParts {
        shared,
        peer_listener,
        requests,
        storage,
        incarnation,
        mut stop,
        disk_failure,
    } = parts;
    let (disk_stop, disk_stopped) = watch::channel(false);
    let mut disk_task = None;
    let mut replica = None;
    if let Some(Storage { journal, recovered }) = storage {
        let opened = match Replica::new(shared.clone(), recovered, incarnation.0) {
            Ok(opened) => Rc::new(RefCell::new(opened)),
            Err(error) => return log::error!("the state on the disk cannot be used: {error}"),
        };
        let disk_loop =
            replica::run_disk_tasks(opened.clone(), journal, disk_stopped.clone(), disk_failure);
        disk_task = Some(tokio::task::spawn_local(disk_loop));
        replica = Some(opened);
    }
    let leader_client = Rc::new(LeaderClient::new(shared.clone(), incarnation, replica.clone()));
    serve_peers(&shared, peer_listener, replica.clone());
    if let Some(replica) = &replica {
        start_voter_tasks(&shared, incarnation, replica, &leader_client);
    }
    let entry = Rc::new(RefCell::new(EntryControl::new(shared.clone(), incarnation)));
    tokio::task::spawn_local(leader_client.clone().forward_requests(requests));
    let metrics_task = tokio::task::spawn_local(report_clients(shared.clone()));
    let sync_task = tokio::task::spawn_local(sync_with_leader(
        shared,
        entry.clone(),
        leader_client.clone(),
        incarnation,
    ));
    let _ = stop.wait_for(|stop| *stop).await;
    metrics_task.abort();
    sync_task.abort();
    if let Some(replica) = &replica {
        transfer_leadership(replica).await;
    }
    let state = entry.borrow_mut().state(true, leader_client.generation());
    let _ = tokio::time::timeout(LEAVE_TIMEOUT, leader_client.sync(&state)).await;
    // The disk thread stops last: the leadership transfer and the last sync still need it.
    let _ = disk_stop.send(true);
    if let Some(disk_task) = disk_task {
        let _ = disk_task.await;
    }
}

/// Hands the leadership to another voter: renews the leases of all entries, so that they serve
/// on during the election, then waits until the successor is known. This voter's disk and vote
/// serve that election too.
async fn transfer_leadership(replica: &Rc<RefCell<Replica>>) {
    renew_entry_leases(replica).await;
    let started = tokio::time::Instant::now();
    if !replica.borrow_mut().begin_handover() {
        return;
    }
    let status = loop {
        match replica.borrow_mut().advance_handover() {
            HandoverStatus::Pending => {}
            ended => break ended,
        }
        tokio::time::sleep(TICK_INTERVAL).await;
    };
    let leader = replica.borrow().leader_name();
    let leader = leader.as_ref().map_or("none", |name| name.as_str());
    log::info!("hand-over: {status}; leader {leader}, after {:?}", started.elapsed());
}

/// Renews the leases of all entries that answer in time, so that each lasts nearly its whole
/// length from now on. An entry's lease counts from its request, which may have waited here.
async fn renew_entry_leases(replica: &Rc<RefCell<Replica>>) {
    let Some(since) = replica.borrow_mut().renew_leases() else { return };
    let deadline = tokio::time::Instant::now() + LEASE_RENEWAL_TIMEOUT;
    while !replica.borrow_mut().all_reported_since(since) && tokio::time::Instant::now() < deadline
    {
        tokio::time::sleep(LEASE_RENEWAL_POLL).await;
    }
    replica.borrow_mut().renew_leases();
    // The answers are sent by tasks of this thread, which run while it sleeps.
    tokio::time::sleep(TICK_INTERVAL).await;
}

fn start_voter_tasks(
    shared: &Arc<Shared>,
    incarnation: Incarnation,
    replica: &Rc<RefCell<Replica>>,
    leader_client: &Rc<LeaderClient>,
) {
    tokio::task::spawn_local(Rc::new(OrderSender::new(replica.clone())).run());
    tokio::task::spawn_local(run_ticks(replica.clone()));
    let voters = Rc::new(VoterConnections::new(shared.clone(), incarnation, replica.clone()));
    tokio::task::spawn_local(voters.clone().send_messages());
    tokio::task::spawn_local(voters.become_voter(leader_client.clone()));
}

fn serve_peers(shared: &Shared, listener: TcpListener, replica: Option<Rc<RefCell<Replica>>>) {
    let config = &shared.config;
    let keys = shared.keys.clone();
    let account = shared.account.clone();
    let voters = config.voters.iter().map(|voter| voter.name.clone()).collect();
    let service: peer::Client =
        capnp_rpc::new_client(PeerService::new(config.name.clone(), voters, replica));
    tokio::task::spawn_local(async move {
        let listener = listener
            .set_nonblocking(true)
            .and_then(|()| tokio::net::TcpListener::from_std(listener));
        match listener {
            Ok(listener) => rpc::accept(listener, service, keys, account).await,
            Err(error) => log::error!("cannot listen for daemons: {error}"),
        }
    });
}

/// Sends the metrics of the account for clients periodically.
async fn report_clients(shared: Arc<Shared>) {
    let mut interval = tokio::time::interval(CLIENT_METRICS_INTERVAL);
    loop {
        interval.tick().await;
        shared.metrics.clients(&shared.account);
    }
}

/// Synchronizes this entry with the leader, which also renews its lease.
async fn sync_with_leader(
    shared: Arc<Shared>,
    entry: Rc<RefCell<EntryControl>>,
    leader_client: Rc<LeaderClient>,
    incarnation: Incarnation,
) {
    let mut backoff = Backoff::new(incarnation.0);
    let mut connected = false;
    loop {
        let prepared = leader_client.ensure_connected().await;
        let state = entry.borrow_mut().state(false, leader_client.generation());
        let sent = shared.clock.now();
        let result = match prepared {
            Err(error) => Err(error),
            Ok(()) => tokio::select! {
                result = leader_client.sync(&state) => result,
                // The leader delays its response to the pending sync, so a local change is sent
                // in a new one at once.
                () = shared.report_to_leader.notified() => continue,
            },
        };
        match result {
            Ok(update) => {
                if !connected {
                    log::info!("connected to the leader");
                }
                connected = true;
                backoff.reset();
                entry.borrow_mut().apply(update, sent);
            }
            Err(error) => {
                if connected {
                    log::warn!("lost contact with the leader: {error}; trying again");
                }
                connected = false;
                backoff.pause().await;
            }
        }
    }
}

async fn run_ticks(replica: Rc<RefCell<Replica>>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        replica.borrow_mut().tick();
    }
}
