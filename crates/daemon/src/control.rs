//! The control thread: everything that changes control state runs here, on one
//! thread, so no lock is ever held across a decision.

use crate::entry::Entry;
use crate::error::Result;
use crate::journal::{BATCH_MAX, Done, Journal};
use crate::leader::Leader;
use crate::link::{Backoff, Link, Remote};
use crate::orders::Sender;
use crate::peers::PeerService;
use crate::shared::{Shared, ToLeader};
use std::cell::RefCell;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::LocalSet;
use yuccalink_protocol::peer_capnp::peer;
use yuccalink_state::Machine;
use yuccalink_state::id::Incarnation;
use yuccalink_transport::rpc;

/// How often time is looked at.
const TICK: Duration = Duration::from_millis(50);
/// Longest wait for the leader when this entry says goodbye.
const GOODBYE: Duration = Duration::from_secs(1);

/// What the control thread starts with.
pub(crate) struct Parts {
    pub(crate) shared: Arc<Shared>,
    pub(crate) peer_listener: TcpListener,
    pub(crate) asks: mpsc::Receiver<ToLeader>,
    pub(crate) storage: Option<Storage>,
    pub(crate) incarnation: Incarnation,
    pub(crate) stop: watch::Receiver<bool>,
    /// Told why, when the disk fails and the daemon must not go on.
    pub(crate) failed: oneshot::Sender<yuccalink_state::Error>,
}

/// The recovered state of a voter.
pub(crate) struct Storage {
    pub(crate) journal: Journal,
    pub(crate) machine: Machine,
    pub(crate) last: u64,
}

/// Runs until told to stop.
pub(crate) fn run(parts: Parts) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(crate::error::Error::Thread)?;
    let local = LocalSet::new();
    local.block_on(&runtime, control(parts));
    Ok(())
}

async fn control(parts: Parts) {
    let Parts { shared, peer_listener, asks, storage, incarnation, mut stop, failed } = parts;
    let mut journal = None;
    let leader = storage.map(|storage| {
        let term = incarnation.0;
        let leader = Leader::new(shared.clone(), term, storage.machine, storage.last);
        journal = Some(storage.journal);
        Rc::new(RefCell::new(leader))
    });
    let link = Rc::new(match &leader {
        Some(leader) => Link::Local(leader.clone()),
        None => Link::Remote(Rc::new(Remote::new(shared.clone(), incarnation))),
    });
    serve_peers(&shared, peer_listener, leader.clone());
    let entry = Rc::new(RefCell::new(Entry::new(shared.clone(), incarnation)));
    let carrier = link.clone();
    tokio::task::spawn_local(async move { carrier.carry(asks).await });
    let follower =
        tokio::task::spawn_local(follow(shared, entry.clone(), link.clone(), incarnation));
    let mut writer = None;
    if let (Some(leader), Some(journal)) = (&leader, journal) {
        tokio::task::spawn_local(Rc::new(Sender::new(leader.clone())).run());
        tokio::task::spawn_local(ticks(leader.clone()));
        writer =
            Some(tokio::task::spawn_local(write(leader.clone(), journal, stop.clone(), failed)));
    }
    let _ = stop.wait_for(|stop| *stop).await;
    follower.abort();
    let state = entry.borrow_mut().state(true);
    let _ = tokio::time::timeout(GOODBYE, link.sync(&state)).await;
    if let Some(writer) = writer {
        let _ = writer.await;
    }
}

fn serve_peers(shared: &Shared, listener: TcpListener, leader: Option<Rc<RefCell<Leader>>>) {
    let service: peer::Client =
        capnp_rpc::new_client(PeerService::new(shared.config.name.clone(), leader));
    tokio::task::spawn_local(async move {
        let listener = listener
            .set_nonblocking(true)
            .and_then(|()| tokio::net::TcpListener::from_std(listener));
        match listener {
            Ok(listener) => drop(rpc::accept(listener, service).await),
            Err(error) => log::error!("cannot listen for daemons: {error}"),
        }
    });
}

/// Keeps this entry up to date and its lease renewed.
async fn follow(
    shared: Arc<Shared>,
    entry: Rc<RefCell<Entry>>,
    link: Rc<Link>,
    incarnation: Incarnation,
) {
    let mut backoff = Backoff::new(incarnation.0);
    let mut connected = false;
    loop {
        let state = entry.borrow_mut().state(false);
        let sent = shared.clock.now();
        match link.sync(&state).await {
            Ok(news) => {
                if !connected {
                    log::info!("in touch with the leader");
                }
                connected = true;
                backoff.reset();
                entry.borrow_mut().apply(news, sent);
            }
            Err(error) => {
                if connected {
                    log::warn!("out of touch with the leader: {error}; trying again");
                }
                connected = false;
                backoff.pause().await;
            }
        }
    }
}

async fn ticks(leader: Rc<RefCell<Leader>>) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        leader.borrow_mut().tick();
    }
}

/// Feeds the disk thread: all commands that gather during one sync go together.
async fn write(
    leader: Rc<RefCell<Leader>>,
    mut journal: Journal,
    mut stop: watch::Receiver<bool>,
    failed: oneshot::Sender<yuccalink_state::Error>,
) {
    let work = leader.borrow().work.clone();
    loop {
        let batch = leader.borrow_mut().next_batch(BATCH_MAX);
        if batch.is_empty() {
            tokio::select! {
                () = work.notified() => continue,
                _ = stop.wait_for(|stop| *stop) => break,
            }
        }
        journal.append(batch);
        match journal.done().await {
            Some(Done::Appended { commands, last, counts }) => {
                leader.borrow_mut().committed(commands, last, counts);
            }
            Some(Done::Compacted) => {}
            Some(Done::Failed(error)) => {
                // What reached the disk is not known, so nothing more may be
                // answered: the daemon stops and recovers from the disk.
                let _ = failed.send(error);
                return;
            }
            None => return,
        }
        let due = leader.borrow_mut().snapshot_due();
        if let Some((index, bytes)) = due {
            journal.compact(index, bytes);
            if let Some(Done::Failed(error)) = journal.done().await {
                let _ = failed.send(error);
                return;
            }
        }
    }
    journal.close();
}
