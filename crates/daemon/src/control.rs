//! The control thread: all changes of control state run on this one thread, so no decision
//! needs a lock.

use crate::entry::Entry;
use crate::error::{Error, Result};
use crate::journal::Journal;
use crate::leader_client::{Backoff, LeaderClient};
use crate::orders::Sender;
use crate::peers::PeerService;
use crate::replica::{self, Replica};
use crate::shared::{Shared, ToLeader};
use crate::voters::Voters;
use std::cell::RefCell;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::LocalSet;
use yuccalink_protocol::peer_capnp::peer;
use yuccalink_state::id::Incarnation;
use yuccalink_state::store::Recovered;
use yuccalink_transport::rpc;

/// Interval of the periodic work of the replica and the leader.
const TICK: Duration = Duration::from_millis(20);
/// Longest wait for another voter to take over the leadership at a planned stop.
const HAND_OVER: Duration = Duration::from_millis(500);
/// Longest wait for the leader's response when this entry reports that it stops.
const GOODBYE: Duration = Duration::from_secs(1);

/// Inputs of the control thread.
pub(crate) struct Parts {
    pub(crate) shared: Arc<Shared>,
    pub(crate) peer_listener: TcpListener,
    pub(crate) asks: mpsc::Receiver<ToLeader>,
    pub(crate) storage: Option<Storage>,
    pub(crate) incarnation: Incarnation,
    pub(crate) stop: watch::Receiver<bool>,
    /// Receives the error when the disk fails; the daemon must then stop.
    pub(crate) failed: oneshot::Sender<yuccalink_state::Error>,
}

/// The disk thread and the recovered state of a voter.
pub(crate) struct Storage {
    pub(crate) journal: Journal,
    pub(crate) recovered: Recovered,
}

/// Runs until told to stop.
pub(crate) fn run(parts: Parts) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::Thread)?;
    let local = LocalSet::new();
    local.block_on(&runtime, control(parts));
    Ok(())
}

async fn control(parts: Parts) {
    let Parts { shared, peer_listener, asks, storage, incarnation, mut stop, failed } = parts;
    let (halt, halted) = watch::channel(false);
    let mut writer = None;
    let mut replica = None;
    if let Some(Storage { journal, recovered }) = storage {
        let made = match Replica::new(shared.clone(), recovered, incarnation.0) {
            Ok(made) => Rc::new(RefCell::new(made)),
            Err(error) => return log::error!("the state on the disk cannot be used: {error}"),
        };
        let feed = replica::feed(made.clone(), journal, halted.clone(), failed);
        writer = Some(tokio::task::spawn_local(feed));
        replica = Some(made);
    }
    let link = Rc::new(LeaderClient::new(shared.clone(), incarnation, replica.clone()));
    serve_peers(&shared, peer_listener, replica.clone());
    if let Some(replica) = &replica {
        start_voting(&shared, incarnation, replica, &link);
    }
    let entry = Rc::new(RefCell::new(Entry::new(shared.clone(), incarnation)));
    tokio::task::spawn_local(link.clone().carry(asks));
    let follower =
        tokio::task::spawn_local(follow(shared, entry.clone(), link.clone(), incarnation));
    let _ = stop.wait_for(|stop| *stop).await;
    follower.abort();
    if let Some(replica) = &replica {
        transfer_leadership(replica).await;
    }
    let state = entry.borrow_mut().state(true, link.generation());
    let _ = tokio::time::timeout(GOODBYE, link.sync(&state)).await;
    // The disk thread stops last: the leadership transfer and the last sync still need it.
    let _ = halt.send(true);
    if let Some(writer) = writer {
        let _ = writer.await;
    }
}

/// Waits until another voter leads, but not longer than [`HAND_OVER`].
async fn transfer_leadership(replica: &Rc<RefCell<Replica>>) {
    if !replica.borrow_mut().transfer_leadership() {
        return;
    }
    let until = tokio::time::Instant::now() + HAND_OVER;
    while replica.borrow().is_leader() && tokio::time::Instant::now() < until {
        tokio::time::sleep(TICK).await;
    }
}

fn start_voting(
    shared: &Arc<Shared>,
    incarnation: Incarnation,
    replica: &Rc<RefCell<Replica>>,
    link: &Rc<LeaderClient>,
) {
    tokio::task::spawn_local(Rc::new(Sender::new(replica.clone())).run());
    tokio::task::spawn_local(ticks(replica.clone()));
    let voters = Rc::new(Voters::new(shared.clone(), incarnation, replica.clone()));
    tokio::task::spawn_local(voters.clone().send());
    tokio::task::spawn_local(voters.settle(link.clone()));
}

fn serve_peers(shared: &Shared, listener: TcpListener, replica: Option<Rc<RefCell<Replica>>>) {
    let config = &shared.config;
    let keys = shared.keys.clone();
    let voters = config.voters.iter().map(|voter| voter.name.clone()).collect();
    let service: peer::Client =
        capnp_rpc::new_client(PeerService::new(config.name.clone(), voters, replica));
    tokio::task::spawn_local(async move {
        let listener = listener
            .set_nonblocking(true)
            .and_then(|()| tokio::net::TcpListener::from_std(listener));
        match listener {
            Ok(listener) => drop(rpc::accept(listener, service, keys).await),
            Err(error) => log::error!("cannot listen for daemons: {error}"),
        }
    });
}

/// Synchronizes this entry with the leader, which also renews its lease.
async fn follow(
    shared: Arc<Shared>,
    entry: Rc<RefCell<Entry>>,
    link: Rc<LeaderClient>,
    incarnation: Incarnation,
) {
    let mut backoff = Backoff::new(incarnation.0);
    let mut connected = false;
    loop {
        let prepared = link.prepare().await;
        let state = entry.borrow_mut().state(false, link.generation());
        let sent = shared.clock.now();
        let result = match prepared {
            Err(error) => Err(error),
            Ok(()) => tokio::select! {
                result = link.sync(&state) => result,
                // The leader delays its response to the pending sync, so a local change is sent
                // in a new one at once.
                () = shared.tell_leader.notified() => continue,
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

async fn ticks(replica: Rc<RefCell<Replica>>) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        replica.borrow_mut().tick();
    }
}
