//! State of one process of a cell, and the handle through which its tasks use it.

use crate::cell::adapter::ApiAdapter;
use crate::cell::config::CellConfig;
use crate::cell::disk::DiskStep;
use crate::cell::external;
use crate::cell::frame::PeerMessage;
use crate::cell::limits::{self, LimitsInForce};
use crate::cell::metrics::Metrics;
use crate::cell::peer_connection::PeerConnection;
use crate::cell::policy;
use crate::cell::replica::Replica;
use crate::cell::requests::{ReplyTo, WaitingRequest};
use crate::clock::{BootClock, unix_ms};
use crate::journal::DiskEvent;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{Notify, watch};
use yuccalink_coordination::Moment;
use yuccalink_coordination::intake::Intake;
use yuccalink_coordination::jobs::external::{ExternalCallId, ExternalReply};
use yuccalink_coordination::jobs::policy::Policy;
use yuccalink_coordination::jobs::{CellResponse, Now, RequestToken};
use yuccalink_coordination::peer_table::{LeaderInfo, NodeInfo, PeerTable};
use yuccalink_coordination::raft::{Envelope, ReplicaId};
use yuccalink_coordination::store_health::StoreState;
use yuccalink_state::jobs::CellState;
use yuccalink_transport::account::ClientAccount;

/// Most blocked runners in a status; metrics count all of them.
const BLOCKED_RUNNERS_SHOWN: usize = 100;

/// Status of one process of a cell, for operators.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct CellStatus {
    /// Name of the process.
    cell: Box<str>,
    zone: Box<str>,
    leads: bool,
    term: u64,
    /// Peer address of the leader, if one is known.
    leader: Option<SocketAddr>,
    /// Zones under evacuation, as far as this process keeps the state.
    evacuated: Vec<Box<str>>,
    /// Runners that are ready and get no tasks, as far as this process leads.
    blocked_runners: Vec<BlockedRunner>,
    /// Policy that this process applies while it leads.
    policy: Policy,
    /// State of the store; `None` without a disk.
    store: Option<StoreState>,
    /// Policy values that differ from the defaults.
    changed: Vec<Box<str>>,
}

/// A runner that is ready and gets no tasks, and why.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
struct BlockedRunner {
    runner: Box<str>,
    why: &'static str,
}

pub(crate) struct Node {
    pub(crate) cfg: CellConfig,
    pub(super) clock: BootClock,
    pub(crate) peer_table: PeerTable,
    pub(crate) replica: Option<Replica>,
    pub(super) connections: HashMap<SocketAddr, PeerConnection>,
    /// Requests that wait for the leader in this process.
    pub(super) intake: Intake<WaitingRequest>,
    /// Requests to the leader in this process that have no response yet.
    pub(super) pending_responses: HashMap<RequestToken, ReplyTo>,
    pub(super) next_token: u64,
    /// When this process last stopped handling waiting requests as the leader.
    pub(super) requests_handled_at: Moment,
    /// When a leader was last known.
    pub(super) leader_known_at: Moment,
    pub(crate) metrics: Metrics,
    /// Limits of callers' requests, of the newest change set that this process knows.
    limits: watch::Sender<LimitsInForce>,
    adapter: Rc<dyn ApiAdapter>,
}

/// Shared handle of the node's state. Only one thread uses it, and no borrow is held across an
/// await.
#[derive(Clone)]
pub(crate) struct SharedNode(pub(super) Rc<SharedInner>);

pub(super) struct SharedInner {
    node: RefCell<Node>,
    disk_wake: Arc<Notify>,
    pub(super) intake_wake: Arc<Notify>,
    draining: Cell<bool>,
    /// What clients make this process hold.
    account: Arc<ClientAccount>,
    failed: watch::Sender<Option<Arc<yuccalink_state::Error>>>,
}

impl SharedNode {
    pub(crate) fn new(
        cfg: CellConfig,
        clock: BootClock,
        info: NodeInfo,
        replica: Option<Replica>,
        adapter: Rc<dyn ApiAdapter>,
    ) -> Self {
        let peer_table = PeerTable::new(info, cfg.seeds.clone(), cfg.bootstrap);
        let account = ClientAccount::new(limits::account_bounds(&cfg));
        let node = Node {
            cfg,
            clock,
            peer_table,
            replica,
            connections: HashMap::new(),
            intake: Intake::default(),
            pending_responses: HashMap::new(),
            next_token: 0,
            requests_handled_at: Moment::ZERO,
            leader_known_at: clock.now(),
            metrics: Metrics::default(),
            limits: watch::Sender::default(),
            adapter,
        };
        Self(Rc::new(SharedInner {
            node: RefCell::new(node),
            disk_wake: Arc::default(),
            intake_wake: Arc::default(),
            draining: Cell::new(false),
            account,
            failed: watch::Sender::new(None),
        }))
    }

    /// Calls `f` with the state. `f` must not use this handle, or the borrow panics.
    pub(crate) fn with<F, T>(&self, f: F) -> T
    where
        F: FnOnce(&mut Node) -> T,
    {
        f(&mut self.0.node.borrow_mut())
    }

    pub(crate) fn disk_wake(&self) -> Arc<Notify> {
        self.0.disk_wake.clone()
    }

    pub(crate) fn intake_wake(&self) -> Arc<Notify> {
        self.0.intake_wake.clone()
    }

    pub(crate) fn account(&self) -> Arc<ClientAccount> {
        self.0.account.clone()
    }

    /// Limits of callers' requests, as they change.
    pub(crate) fn limits(&self) -> watch::Receiver<LimitsInForce> {
        self.with(|node| node.limits.subscribe())
    }

    pub(crate) fn start_draining(&self) {
        self.0.draining.set(true);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.0.draining.get()
    }

    pub(crate) fn fail(&self, error: yuccalink_state::Error) {
        let _ = self.0.failed.send(Some(Arc::new(error)));
    }

    pub(crate) fn failure(&self) -> watch::Receiver<Option<Arc<yuccalink_state::Error>>> {
        self.0.failed.subscribe()
    }

    pub(crate) fn info(&self) -> NodeInfo {
        self.with(|node| node.info())
    }

    /// Calls `f` with the replica, if there is one, then flushes its messages and responses.
    fn update_replica<F>(&self, f: F)
    where
        F: FnOnce(&mut Replica, Now),
    {
        self.with(|node| {
            let now = node.now();
            if let Some(replica) = &mut node.replica {
                f(replica, now);
            }
            node.flush(self);
        });
    }

    pub(crate) fn tick(&self) {
        self.update_replica(Replica::tick);
        self.with(|node| node.tick(self));
        self.0.intake_wake.notify_one();
    }

    pub(crate) fn handle_disk_event(&self, event: &DiskEvent) {
        self.update_replica(|replica, now| replica.handle_disk_event(now, event));
    }

    pub(crate) fn handle_no_space(&self, error: &yuccalink_state::Error) {
        self.update_replica(|replica, now| replica.handle_no_space(now, error));
    }

    pub(crate) fn handle_disk_failure(&self) {
        self.update_replica(|replica, now| replica.store.operation_failed(now.at));
    }

    pub(crate) fn next_disk_step(&self, blocked: bool) -> DiskStep {
        self.with(|node| {
            let now = node.clock.now();
            let replica = node.replica.as_mut();
            replica.map_or(DiskStep::Wait, |replica| replica.next_disk_step(now, blocked))
        })
    }

    pub(crate) fn note_disk_retry(&self) {
        self.with(|node| {
            let now = node.clock.now();
            if let Some(replica) = &mut node.replica {
                replica.store.operation_started(now);
            }
        });
    }

    pub(crate) fn handle_raft_messages(&self, envelopes: Vec<Envelope>) {
        self.update_replica(|replica, now| {
            for envelope in envelopes {
                replica.step(now, envelope);
            }
        });
    }

    /// Passes the reply of an external service to the leader.
    pub(crate) fn handle_external_reply(&self, id: ExternalCallId, reply: ExternalReply) {
        self.update_replica(|replica, now| {
            if let Some(leader) = replica.leader(now.at) {
                leader.handle_external_reply(now, id, reply);
            }
            replica.propose(now);
        });
    }

    /// Handles the `Welcome` that another process sends in response to `Hello`.
    pub(crate) fn handle_welcome(
        &self,
        from: SocketAddr,
        sender: NodeInfo,
        leader: Option<LeaderInfo>,
        disks: &[NodeInfo],
        bootstrapper: Option<ReplicaId>,
        limits: Option<LimitsInForce>,
    ) {
        self.with(|node| {
            let now = node.clock.now();
            if let Some(limits) = limits {
                node.learn_limits(limits);
            }
            node.peer_table.record_peer(sender, now);
            for disk in disks {
                node.peer_table.record_reported_peer(disk, now);
            }
            node.peer_table.record_bootstrapper(bootstrapper, from);
            if let Some(leader) = leader {
                node.peer_table.record_leader(leader, from, now);
            }
        });
    }

    /// Handles the response of another process to a request.
    pub(crate) fn note_response(&self, from: SocketAddr, response: &CellResponse) {
        if response.shows_leadership() {
            self.with(|node| node.peer_table.confirm_leader(from, node.clock.now()));
        }
    }

    /// Whether the responses of `peer` make most `Hello` messages to it unnecessary: it leads, and
    /// this process has no disk, whose presence a leader must hear of.
    pub(crate) fn is_confirmed_by_responses(&self, peer: SocketAddr) -> bool {
        self.with(|node| {
            let leads = |leader: LeaderInfo| leader.peer == peer && leader.serving;
            node.peer_table.me.replica.is_none() && node.peer_table.lead().is_some_and(leads)
        })
    }

    /// Handles a `Hello` of another process and returns the `Welcome` for it.
    pub(crate) fn handle_hello(&self, info: NodeInfo) -> PeerMessage {
        self.with(|node| {
            let now = node.clock.now();
            node.peer_table.record_peer(info, now);
        });
        self.welcome()
    }

    /// What this process tells another one about the cell.
    pub(crate) fn welcome(&self) -> PeerMessage {
        self.with(|node| {
            let now = node.clock.now();
            PeerMessage::Welcome {
                sender: node.info(),
                leader: node.known_leader(),
                disks: node.peer_table.disks(now),
                bootstrapper: node.peer_table.designated(),
                limits: Some(*node.limits.borrow()),
            }
        })
    }

    /// Returns whether this process can serve callers now.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_draining() && self.with(|node| node.is_serving())
    }

    /// Address to which a runner that has reported here sends its later reports. Each process
    /// keeps the connections of its own runners and forwards their reports over one connection,
    /// because a leader with some thousands of runner connections runs out of file descriptors
    /// and CPU time.
    pub(crate) fn report_address(&self) -> Option<SocketAddr> {
        match self.is_draining() {
            true => None,
            // A wildcard address, such as 0.0.0.0, is not one that runners can reach.
            false => {
                self.with(|node| node.peer_table.me.control.filter(|at| !at.ip().is_unspecified()))
            }
        }
    }

    /// Address of the leader for runners and operators.
    pub(crate) fn leader_control(&self) -> Option<SocketAddr> {
        self.with(|node| node.known_leader().and_then(|leader| leader.control))
    }
}

impl Node {
    pub(crate) fn now(&self) -> Now {
        Now { at: self.clock.now(), unix_ms: unix_ms() }
    }

    fn info(&self) -> NodeInfo {
        let empty = self.replica.as_ref().is_some_and(|replica| replica.raft.is_empty());
        NodeInfo { may_bootstrap: empty && self.cfg.bootstrap, ..self.peer_table.me.clone() }
    }

    /// Returns the status of this process for operators.
    pub(crate) fn status(&mut self) -> CellStatus {
        let leader = self.known_leader();
        let policy = self.cfg.leader.policy;
        let state = self.replica.as_ref().and_then(Replica::state);
        let evacuated = state.into_iter().flat_map(|state| state.evacuations().evacuated());
        let evacuated = evacuated.map(|(zone, _)| zone.into()).collect();
        CellStatus {
            evacuated,
            blocked_runners: self.blocked_runners(),
            cell: self.cfg.name.clone(),
            zone: self.cfg.zone.clone(),
            leads: leader.is_some_and(|leader| leader.peer == self.peer_table.me.peer),
            term: leader.map_or(0, |leader| leader.term),
            leader: leader.map(|leader| leader.peer),
            policy,
            store: self.store_state(),
            changed: policy::changed(&policy),
        }
    }

    fn blocked_runners(&mut self) -> Vec<BlockedRunner> {
        let now = self.clock.now();
        let leader = self.replica.as_mut().and_then(|replica| replica.leader(now));
        let blocked = leader.iter().flat_map(|leader| leader.blocked_runners());
        let view =
            |(runner, why): (&str, &'static str)| BlockedRunner { runner: runner.into(), why };
        blocked.take(BLOCKED_RUNNERS_SHOWN).map(view).collect()
    }

    /// State of this process's store; `None` without a disk.
    pub(crate) fn store_state(&self) -> Option<StoreState> {
        self.replica.as_ref().map(|replica| replica.store.state())
    }

    fn is_serving(&mut self) -> bool {
        let now = self.clock.now();
        if let Some(leader) = self.replica.as_mut().and_then(|replica| replica.leader(now)) {
            return leader.state().change_set().is_some();
        }
        self.peer_table.lead().is_some_and(|leader| leader.serving)
    }

    /// Returns the leader: this process if its replica leads, else the one that peers report.
    pub(crate) fn known_leader(&mut self) -> Option<LeaderInfo> {
        let now = self.clock.now();
        let own = (self.peer_table.me.peer, self.peer_table.me.control);
        if let Some(replica) = &mut self.replica {
            let term = replica.raft.term();
            if let Some(leader) = replica.leader(now) {
                let serving = leader.state().change_set().is_some();
                return Some(LeaderInfo { term, peer: own.0, control: own.1, serving });
            }
        }
        self.peer_table.lead()
    }

    /// Drops `peer` as the known leader because it does not respond or does not lead.
    pub(crate) fn clear_leader(&mut self, peer: SocketAddr, why: &str) {
        if self.peer_table.lead().is_some_and(|leader| leader.peer == peer) {
            self.metrics.leaders_lost += 1;
        }
        self.peer_table.clear_leader(peer, why);
    }

    /// Version of the newest change set that this process's replica has applied. The replica
    /// receives change sets only while it is a voter or learner.
    pub(crate) fn change_version(&self) -> Option<u64> {
        let change = self.replica.as_ref()?.state()?.change_set()?;
        Some(change.version)
    }

    /// Applies the limits of a change set, unless a newer one is known.
    fn learn_limits(&mut self, learned: LimitsInForce) {
        self.limits.send_if_modified(|limits| {
            let is_newer = learned.version > limits.version;
            if is_newer {
                *limits = learned;
            }
            is_newer
        });
    }

    /// Takes the limits from the change set that this process's replica has applied.
    fn apply_limits(&mut self) {
        let state = self.replica.as_ref().and_then(Replica::state);
        let Some(change_set) = state.and_then(CellState::change_set) else { return };
        if change_set.version > self.limits.borrow().version {
            let limits = LimitsInForce::of(change_set);
            self.learn_limits(limits);
        }
    }

    /// Takes the leader from Raft, which knows a new leader before the peers report it.
    fn learn_leader(&mut self) {
        let now = self.clock.now();
        let Some(replica) = &self.replica else { return };
        let Some(id) = replica.raft.leader().filter(|id| *id != replica.raft.id()) else { return };
        let term = replica.raft.term();
        let Some(peer) = self.address_of(id) else { return };
        if self.peer_table.lead().is_none_or(|leader| leader.term < term) {
            let control = self.peer_table.control_of(peer);
            let leader = LeaderInfo { term, peer, control, serving: false };
            self.peer_table.record_leader(leader, self.peer_table.me.peer, now);
        }
    }

    pub(super) fn address_of(&self, id: ReplicaId) -> Option<SocketAddr> {
        let reported = self.peer_table.address_of(id);
        let members = self.replica.as_ref().map(|replica| replica.raft.members());
        let listed = || members?.get(id)?.address.parse().ok();
        reported.or_else(listed)
    }

    fn member_addresses(&self) -> Vec<SocketAddr> {
        let Some(replica) = &self.replica else { return Vec::new() };
        let all = replica.raft.members().all();
        all.filter_map(|member| member.address.parse().ok()).collect()
    }

    fn tick(&mut self, shared: &SharedNode) {
        let now = self.clock.now();
        let had_leader = self.peer_table.lead().is_some();
        self.peer_table.tick(now);
        if had_leader && self.peer_table.lead().is_none() {
            self.metrics.leaders_lost += 1;
        }
        self.learn_leader();
        if self.known_leader().is_some() {
            self.leader_known_at = now;
        }
        let wanted = self.peer_table.wanted_links(&self.member_addresses());
        self.connections.retain(|to, _| wanted.contains(to));
        for to in wanted {
            self.connections.entry(to).or_insert_with(|| PeerConnection::open(shared.clone(), to));
        }
    }

    /// Sends the replica's messages and the leader's responses, and starts its external calls.
    pub(super) fn flush(&mut self, shared: &SharedNode) {
        let now = self.clock.now();
        self.apply_limits();
        let Some(replica) = &mut self.replica else { return };
        if replica.has_disk_task() {
            shared.0.disk_wake.notify_one();
        }
        let outbox = std::mem::take(&mut replica.outbox);
        // Without the lease another process may lead by now, so responses that this leader
        // has decided must not be sent.
        let (responses, calls) = match replica.leader(now) {
            Some(leader) => (leader.take_answers(), leader.take_calls()),
            None => (Vec::new(), Vec::new()),
        };
        for (id, call) in calls {
            let adapter = self.adapter.clone();
            tokio::task::spawn_local(external::perform(shared.clone(), adapter, id, call));
        }
        let leads = replica.leader.is_some();
        for (token, response) in responses {
            if let Some(reply_to) = self.pending_responses.remove(&token) {
                reply_to.send(response, self.cfg.control);
            }
        }
        if !leads && !self.pending_responses.is_empty() {
            // Whether these requests were executed is not known.
            for (_, reply_to) in std::mem::take(&mut self.pending_responses) {
                reply_to.send(self.not_leader(), self.cfg.control);
            }
        }
        self.send_raft_messages(outbox);
    }

    fn send_raft_messages(&mut self, outbox: Vec<Envelope>) {
        let mut by_peer: BTreeMap<SocketAddr, Vec<Envelope>> = BTreeMap::new();
        for envelope in outbox {
            if let Some(peer) = self.address_of(envelope.to) {
                by_peer.entry(peer).or_default().push(envelope);
            }
        }
        for (peer, envelopes) in by_peer {
            if let Some(connection) = self.connections.get(&peer) {
                connection.send(PeerMessage::Raft(envelopes));
            }
        }
    }
}
