//! Connections to the other voters: Raft messages, bootstrap of a new system, and joining an
//! existing one with an empty disk.

use crate::leader_client::{CALL_TIMEOUT, CallError, HelloResponse, LeaderClient, send_hello};
use crate::replica::Replica;
use crate::shared::Shared;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use yuccalink_coordination::outbox::{Action, Link};
use yuccalink_coordination::raft::{Envelope, Member, ReplicaId};
use yuccalink_coordination::voters::{GroupSearch, search_group};
use yuccalink_protocol::peer;
use yuccalink_state::id::{Incarnation, Name};
use yuccalink_transport::rpc;

/// Pause before the other voters are asked again whether a system exists.
const QUERY_INTERVAL: Duration = Duration::from_millis(200);
/// Pause before a replica that is not yet a voter repeats its request to join.
const JOIN_RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum size of the messages in one call, in bytes; a larger message is sent in a call of its
/// own.
const CALL_BYTES: usize = 2 * 1024 * 1024;

/// Connections to the other voters, over which Raft messages are sent.
pub(crate) struct VoterConnections {
    shared: Arc<Shared>,
    incarnation: Incarnation,
    replica: Rc<RefCell<Replica>>,
    connections: RefCell<BTreeMap<SocketAddr, Rc<rpc::RpcConnection>>>,
    calls_in_flight: RefCell<BTreeMap<ReplicaId, usize>>,
    connecting: RefCell<BTreeSet<SocketAddr>>,
}

impl VoterConnections {
    pub(crate) fn new(
        shared: Arc<Shared>,
        incarnation: Incarnation,
        replica: Rc<RefCell<Replica>>,
    ) -> Self {
        Self {
            shared,
            incarnation,
            replica,
            connections: RefCell::default(),
            calls_in_flight: RefCell::default(),
            connecting: RefCell::default(),
        }
    }

    /// Sends Raft messages for ever. Those for a voter that cannot be reached are dropped, as
    /// Raft repeats those that it still needs.
    pub(crate) async fn send_messages(self: Rc<Self>) {
        let wake = self.replica.borrow().message_wake.clone();
        loop {
            wake.notified().await;
            let recipients = self.replica.borrow().recipients();
            for to in recipients {
                match self.address(to) {
                    Some(address) => self.clone().send_to(to, address),
                    None => self.replica.borrow_mut().drop_outbox(to),
                }
            }
        }
    }

    fn send_to(self: Rc<Self>, to: ReplicaId, address: SocketAddr) {
        let connection = self.connections.borrow().get(&address).cloned();
        let link = match &connection {
            Some(_) => Link::Up,
            None if self.connecting.borrow().contains(&address) => Link::Connecting,
            None => Link::Down,
        };
        let calls = self.calls_in_flight.borrow().get(&to).copied().unwrap_or_default();
        let action = self.replica.borrow_mut().outbox(to).next(link, calls);
        match (action, connection) {
            (Action::Send(messages), Some(connection)) => {
                for batch in split_messages(messages) {
                    self.clone().send_batch(to, address, connection.clone(), batch);
                }
            }
            (Action::Connect, _) => self.connect(to, address),
            (Action::Wait | Action::Send(_), _) => {}
        }
    }

    fn send_batch(
        self: Rc<Self>,
        to: ReplicaId,
        address: SocketAddr,
        connection: Rc<rpc::RpcConnection>,
        messages: Vec<Envelope>,
    ) {
        *self.calls_in_flight.borrow_mut().entry(to).or_default() += 1;
        tokio::task::spawn_local(async move {
            let call = send_raft_messages(&connection, &self.shared.config.name, &messages);
            let sent = timeout(CALL_TIMEOUT, call).await;
            if let Some(calls) = self.calls_in_flight.borrow_mut().get_mut(&to) {
                *calls -= 1;
            }
            if !matches!(sent, Ok(Ok(()))) {
                let mut connections = self.connections.borrow_mut();
                if connections.get(&address).is_some_and(|current| Rc::ptr_eq(current, &connection))
                {
                    connections.remove(&address);
                }
            }
            self.wake_sender();
        });
    }

    fn connect(self: Rc<Self>, to: ReplicaId, address: SocketAddr) {
        self.connecting.borrow_mut().insert(address);
        tokio::task::spawn_local(async move {
            let connected =
                match rpc::connect(address, &self.shared.keys, &self.shared.account).await {
                    Ok(connection) => send_hello(&self.shared, self.incarnation, &connection)
                        .await
                        .map(|_| Rc::new(connection)),
                    Err(error) => Err(CallError::Connect(error)),
                };
            match connected {
                Ok(connection) => drop(self.connections.borrow_mut().insert(address, connection)),
                Err(error) => {
                    log::debug!("cannot connect to the voter at {address}: {error}");
                    self.replica.borrow_mut().outbox(to).clear();
                }
            }
            self.connecting.borrow_mut().remove(&address);
            self.wake_sender();
        });
    }

    fn wake_sender(&self) {
        self.replica.borrow().message_wake.notify_one();
    }

    /// Returns the address of a replica according to this daemon's settings.
    fn address(&self, id: ReplicaId) -> Option<SocketAddr> {
        let name = self.replica.borrow().daemon_name(id)?;
        let voters = &self.shared.config.voters;
        voters.iter().find(|voter| voter.name == name).map(|voter| voter.address)
    }

    fn own_member(&self) -> Member {
        let config = &self.shared.config;
        let configured = config.voters.iter().find(|voter| voter.name == config.name);
        let address = configured.map_or(config.peer, |voter| voter.address);
        let id = self.replica.borrow().id();
        Member { id, name: config.name.clone(), address: address.to_string().into() }
    }

    /// Makes this replica a voter: bootstraps a new system if the disks of all voters are
    /// empty, and otherwise joins the existing one.
    pub(crate) async fn become_voter(self: Rc<Self>, leader_client: Rc<LeaderClient>) {
        let config = &self.shared.config;
        if config.voters.len() <= 1 {
            if self.replica.borrow().is_empty() {
                let own = self.own_member();
                self.replica.borrow_mut().bootstrap(vec![own]);
            }
            return;
        }
        while !self.replica.borrow().is_voter() {
            let empty = self.replica.borrow().is_empty();
            let (found, others) = match empty {
                true => self.clone().query_voters().await,
                false => (GroupSearch::Exists, Vec::new()),
            };
            match found {
                // Only the first voter of the list bootstraps; the others wait for its messages.
                GroupSearch::AllEmpty if config.voters[0].name == config.name => {
                    let members = std::iter::once(self.own_member()).chain(others).collect();
                    self.replica.borrow_mut().bootstrap(members);
                }
                GroupSearch::AllEmpty | GroupSearch::Unknown => sleep(QUERY_INTERVAL).await,
                GroupSearch::Exists => {
                    if let Err(error) = self.join(&leader_client).await {
                        log::info!("cannot join yet: {error}; trying again");
                    }
                    sleep(JOIN_RETRY_INTERVAL).await;
                }
            }
        }
        log::info!("this replica is a voter");
    }

    /// Asks all other voters at once whether they have data. Returns what they say, and the
    /// members that are empty.
    async fn query_voters(self: Rc<Self>) -> (GroupSearch, Vec<Member>) {
        let config = &self.shared.config;
        let mut calls = JoinSet::new();
        for voter in config.voters.iter().filter(|voter| voter.name != config.name).cloned() {
            let this = self.clone();
            calls.spawn_local(async move { (this.hello(voter.address).await, voter) });
        }
        let mut members = Vec::new();
        let mut answers = Vec::new();
        while let Some(answer) = calls.join_next().await {
            let Ok((Ok(response), voter)) = answer else {
                answers.push(None);
                continue;
            };
            answers.push(Some(response.empty));
            if !response.empty {
                break;
            }
            let address = voter.address.to_string().into();
            members.push(Member { id: ReplicaId(response.replica), name: voter.name, address });
        }
        (search_group(answers), members)
    }

    async fn hello(&self, address: SocketAddr) -> Result<HelloResponse, CallError> {
        let connection = rpc::connect(address, &self.shared.keys, &self.shared.account)
            .await
            .map_err(CallError::Connect)?;
        send_hello(&self.shared, self.incarnation, &connection).await
    }

    async fn join(&self, leader_client: &LeaderClient) -> Result<(), CallError> {
        let Member { id, name, address } = self.own_member();
        leader_client.join(&name, &address, id).await
    }
}

/// Splits messages into calls of at most [`CALL_BYTES`], in order; a larger message gets a call
/// of its own.
fn split_messages(messages: Vec<Envelope>) -> Vec<Vec<Envelope>> {
    let mut batches: Vec<Vec<Envelope>> = Vec::new();
    // Full, so that the first message starts a call.
    let mut bytes = usize::MAX;
    for message in messages {
        let size = message.message.size();
        if bytes.saturating_add(size) > CALL_BYTES {
            batches.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        if let Some(batch) = batches.last_mut() {
            batch.push(message);
        }
    }
    batches
}

async fn send_raft_messages(
    connection: &rpc::RpcConnection,
    own: &Name,
    messages: &[Envelope],
) -> Result<(), CallError> {
    let mut call = connection.peer.raft_request();
    let mut params = call.get();
    params.set_from(own.as_str());
    peer::fill_parts(params.init_messages(peer::count(messages)), messages)?;
    call.send().promise.await?;
    Ok(())
}

/// Asks a leader over `connection` to add a replica to the voters.
pub(crate) async fn request_join(
    connection: &rpc::RpcConnection,
    name: &Name,
    address: &str,
    id: ReplicaId,
) -> Result<(), CallError> {
    let mut call = connection.peer.join_request();
    let mut params = call.get();
    params.set_name(name.as_str());
    params.set_address(address);
    params.set_replica(id.0);
    call.send().promise.await?;
    Ok(())
}
