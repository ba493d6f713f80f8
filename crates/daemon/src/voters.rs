//! Connections to the other voters: Raft messages, bootstrap of a new system, and joining an
//! existing one with an empty disk.

use crate::leader_client::{CALL_TIMEOUT, CallError, Greeting, LeaderClient, greet};
use crate::replica::Replica;
use crate::shared::Shared;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};
use yuccalink_coordination::raft::{Envelope, Member, ReplicaId};
use yuccalink_protocol::peer;
use yuccalink_state::id::{Incarnation, Name};
use yuccalink_transport::rpc;

/// Pause before the other voters are asked again whether a system exists.
const AGAIN: Duration = Duration::from_millis(200);
/// Pause before a replica that is not yet a voter repeats its request to join.
const JOIN_AGAIN: Duration = Duration::from_secs(2);
/// Largest number of concurrent calls to one voter; further messages are dropped.
const CALLS_MAX: usize = 4;
/// Bytes of messages in one call; a larger message is sent in a call of its own.
const CALL_BYTES: usize = 2 * 1024 * 1024;

/// Connections to the other voters, over which Raft messages are sent.
pub(crate) struct Voters {
    shared: Arc<Shared>,
    incarnation: Incarnation,
    replica: Rc<RefCell<Replica>>,
    links: RefCell<BTreeMap<SocketAddr, Rc<rpc::RpcConnection>>>,
    busy: RefCell<BTreeMap<ReplicaId, usize>>,
    connecting: RefCell<BTreeSet<SocketAddr>>,
}

impl Voters {
    pub(crate) fn new(
        shared: Arc<Shared>,
        incarnation: Incarnation,
        replica: Rc<RefCell<Replica>>,
    ) -> Self {
        Self {
            shared,
            incarnation,
            replica,
            links: RefCell::default(),
            busy: RefCell::default(),
            connecting: RefCell::default(),
        }
    }

    /// Sends Raft messages for ever. Messages that cannot be sent are dropped, as Raft
    /// repeats those that it still needs.
    pub(crate) async fn send(self: Rc<Self>) {
        let wake = self.replica.borrow().sends.clone();
        loop {
            wake.notified().await;
            let outgoing = self.replica.borrow_mut().outgoing();
            for (to, messages) in outgoing {
                let Some(address) = self.address(to) else { continue };
                for part in parts(messages) {
                    self.clone().send_part(to, address, part);
                }
            }
        }
    }

    fn send_part(self: Rc<Self>, to: ReplicaId, address: SocketAddr, messages: Vec<Envelope>) {
        let Some(link) = self.links.borrow().get(&address).cloned() else {
            self.connect(address);
            return;
        };
        let mut busy = self.busy.borrow_mut();
        let calls = busy.entry(to).or_default();
        if *calls >= CALLS_MAX {
            return;
        }
        *calls += 1;
        let this = self.clone();
        tokio::task::spawn_local(async move {
            let sent =
                timeout(CALL_TIMEOUT, call(&link, &this.shared.config.name, &messages)).await;
            if let Some(calls) = this.busy.borrow_mut().get_mut(&to) {
                *calls -= 1;
            }
            if !matches!(sent, Ok(Ok(()))) {
                let mut links = this.links.borrow_mut();
                if links.get(&address).is_some_and(|current| Rc::ptr_eq(current, &link)) {
                    links.remove(&address);
                }
            }
        });
    }

    fn connect(self: Rc<Self>, address: SocketAddr) {
        if !self.connecting.borrow_mut().insert(address) {
            return;
        }
        tokio::task::spawn_local(async move {
            if let Ok(link) = rpc::connect(address, &self.shared.keys).await
                && greet(&self.shared, self.incarnation, &link).await.is_ok()
            {
                self.links.borrow_mut().insert(address, Rc::new(link));
            }
            self.connecting.borrow_mut().remove(&address);
        });
    }

    /// Returns the address of a replica according to this daemon's settings.
    fn address(&self, id: ReplicaId) -> Option<SocketAddr> {
        let name = self.replica.borrow().name_of(id)?;
        let voters = &self.shared.config.voters;
        voters.iter().find(|voter| voter.name == name).map(|voter| voter.address)
    }

    fn own(&self) -> Member {
        let config = &self.shared.config;
        let set = config.voters.iter().find(|voter| voter.name == config.name);
        let address = set.map_or(config.peer, |voter| voter.address);
        let id = self.replica.borrow().id();
        Member { id, name: config.name.clone(), address: address.to_string().into() }
    }

    /// Makes this replica a voter: bootstraps a new system if the disks of all voters are
    /// empty, and otherwise joins the existing one.
    pub(crate) async fn settle(self: Rc<Self>, link: Rc<LeaderClient>) {
        let config = &self.shared.config;
        if config.voters.len() <= 1 {
            if self.replica.borrow().is_empty() {
                let own = self.own();
                self.replica.borrow_mut().bootstrap(vec![own]);
            }
            return;
        }
        while !self.replica.borrow().is_voter() {
            let empty = self.replica.borrow().is_empty();
            let others = if empty { self.ask_others().await } else { Others::Founded };
            match others {
                Others::AllEmpty(others) if config.voters[0].name == config.name => {
                    let members = std::iter::once(self.own()).chain(others).collect();
                    self.replica.borrow_mut().bootstrap(members);
                }
                // Only the first voter of the list bootstraps; the others wait for its messages.
                Others::AllEmpty(_) | Others::Unknown => sleep(AGAIN).await,
                Others::Founded => {
                    if let Err(error) = self.join(&link).await {
                        log::info!("cannot join yet: {error}; trying again");
                    }
                    sleep(JOIN_AGAIN).await;
                }
            }
        }
        log::info!("this replica is a voter");
    }

    async fn ask_others(&self) -> Others {
        let config = &self.shared.config;
        let mut members = Vec::new();
        for voter in config.voters.iter().filter(|voter| voter.name != config.name) {
            let Ok(greeting) = self.greeting(voter.address).await else { return Others::Unknown };
            if !greeting.empty {
                return Others::Founded;
            }
            let address = voter.address.to_string().into();
            let id = ReplicaId(greeting.replica);
            members.push(Member { id, name: voter.name.clone(), address });
        }
        Others::AllEmpty(members)
    }

    async fn greeting(&self, address: SocketAddr) -> Result<Greeting, CallError> {
        let link = rpc::connect(address, &self.shared.keys).await.map_err(CallError::Connect)?;
        greet(&self.shared, self.incarnation, &link).await
    }

    async fn join(&self, link: &LeaderClient) -> Result<(), CallError> {
        let Member { id, name, address } = self.own();
        link.join(&name, &address, id).await
    }
}

/// Whether the other voters belong to a system already.
enum Others {
    AllEmpty(Vec<Member>),
    Founded,
    Unknown,
}

/// Splits messages into calls of at most [`CALL_BYTES`], in order.
fn parts(messages: Vec<Envelope>) -> Vec<Vec<Envelope>> {
    let mut parts: Vec<Vec<Envelope>> = Vec::new();
    let mut bytes = usize::MAX;
    for message in messages {
        let size = message.message.size();
        if bytes.saturating_add(size) > CALL_BYTES {
            parts.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        if let Some(part) = parts.last_mut() {
            part.push(message);
        }
    }
    parts
}

async fn call(
    link: &rpc::RpcConnection,
    own: &Name,
    messages: &[Envelope],
) -> Result<(), CallError> {
    let mut call = link.peer.raft_request();
    let mut params = call.get();
    params.set_from(own.as_str());
    peer::fill_parts(params.init_messages(peer::count(messages)), messages)?;
    call.send().promise.await?;
    Ok(())
}

/// Asks a leader over `link` to add a replica to the voters.
pub(crate) async fn ask_to_join(
    link: &rpc::RpcConnection,
    name: &Name,
    address: &str,
    id: ReplicaId,
) -> Result<(), CallError> {
    let mut call = link.peer.join_request();
    let mut params = call.get();
    params.set_name(name.as_str());
    params.set_address(address);
    params.set_replica(id.0);
    call.send().promise.await?;
    Ok(())
}
