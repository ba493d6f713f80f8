//! RPC service for other daemons.

use crate::leader_client;
use crate::replica::Replica;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::oneshot;
use yuccalink_coordination::raft::{Envelope, Member, ReplicaId};
use yuccalink_protocol::peer::{self, EntryState, LeaderRequest, LeaderResponse};
use yuccalink_protocol::peer_capnp::peer as schema;
use yuccalink_state::id::Name;

/// Serves the calls of other daemons.
pub(crate) struct PeerService {
    name: Name,
    voters: Vec<Name>,
    replica: Option<Rc<RefCell<Replica>>>,
}

impl PeerService {
    pub(crate) fn new(
        name: Name,
        voters: Vec<Name>,
        replica: Option<Rc<RefCell<Replica>>>,
    ) -> Self {
        Self { name, voters, replica }
    }

    fn replica(&self) -> Result<&Rc<RefCell<Replica>>, capnp::Error> {
        self.replica.as_ref().ok_or_else(not_leader_error)
    }
}

fn not_leader_error() -> capnp::Error {
    capnp::Error::failed("this daemon does not lead; ask another voter".to_string())
}

fn rpc_error(error: &impl ToString) -> capnp::Error {
    capnp::Error::failed(error.to_string())
}

impl schema::Server for PeerService {
    async fn hello(
        self: Rc<Self>,
        params: schema::HelloParams,
        mut results: schema::HelloResults,
    ) -> Result<(), capnp::Error> {
        let hello = params.get()?.get_hello()?;
        let version = hello.get_version();
        if version != peer::VERSION {
            let from = hello.get_entry()?.to_str()?;
            log::error!("daemon {from} speaks protocol version {version}, not {}", peer::VERSION);
        }
        let mut welcome = results.get().init_welcome();
        welcome.set_version(peer::VERSION);
        welcome.set_entry(self.name.as_str());
        if let Some(replica) = &self.replica {
            let mut replica = replica.borrow_mut();
            welcome.set_replica(replica.id().0);
            welcome.set_empty(replica.is_empty());
            welcome.set_leads(replica.leader().is_some());
            let leader = replica.leader_name();
            welcome.set_leader(leader.as_ref().map_or("", |name| name.as_str()));
        }
        Ok(())
    }

    async fn ask(
        self: Rc<Self>,
        params: schema::AskParams,
        mut results: schema::AskResults,
    ) -> Result<(), capnp::Error> {
        let replica = self.replica()?;
        let requests: Vec<LeaderRequest> =
            peer::read_parts(params.get()?.get_asks()?).map_err(|e| rpc_error(&e))?;
        if !leader_client::wait_for_lease(replica).await {
            return Err(not_leader_error());
        }
        let mut pending = Vec::with_capacity(requests.len());
        for request in requests {
            let (reply, response) = oneshot::channel();
            replica.borrow_mut().handle_request(request, reply).map_err(|_| not_leader_error())?;
            pending.push(response);
        }
        let mut responses: Vec<LeaderResponse> = Vec::with_capacity(pending.len());
        for response in pending {
            // This replica stopped leading: the calling daemon finds the new leader and retries.
            responses.push(response.await.map_err(|_| not_leader_error())?);
        }
        let list = results.get().init_answers(peer::count(&responses));
        peer::fill_parts(list, &responses).map_err(|e| rpc_error(&e))
    }

    async fn sync(
        self: Rc<Self>,
        params: schema::SyncParams,
        mut results: schema::SyncResults,
    ) -> Result<(), capnp::Error> {
        let replica = self.replica()?;
        let state = EntryState::read(params.get()?.get_state()?).map_err(|e| rpc_error(&e))?;
        let update =
            leader_client::wait_for_update(replica, &state).await.ok_or_else(not_leader_error)?;
        update.fill(results.get().init_news()).map_err(|e| rpc_error(&e))
    }

    async fn raft(
        self: Rc<Self>,
        params: schema::RaftParams,
        _: schema::RaftResults,
    ) -> Result<(), capnp::Error> {
        let replica = self.replica()?;
        let params = params.get()?;
        let from = Name::new(params.get_from()?.to_str()?).map_err(|e| rpc_error(&e))?;
        let messages: Vec<Envelope> =
            peer::read_parts(params.get_messages()?).map_err(|e| rpc_error(&e))?;
        for envelope in messages {
            replica.borrow_mut().step(&from, envelope);
        }
        Ok(())
    }

    async fn join(
        self: Rc<Self>,
        params: schema::JoinParams,
        _: schema::JoinResults,
    ) -> Result<(), capnp::Error> {
        let replica = self.replica()?;
        let params = params.get()?;
        let name = Name::new(params.get_name()?.to_str()?).map_err(|e| rpc_error(&e))?;
        if !self.voters.contains(&name) {
            let message = format!("{name} is not among this daemon's --voters; add it there first");
            return Err(capnp::Error::failed(message));
        }
        let address = params.get_address()?.to_str()?.into();
        let member = Member { id: ReplicaId(params.get_replica()), name, address };
        match replica.borrow_mut().join(member) {
            true => Ok(()),
            false => Err(not_leader_error()),
        }
    }
}
