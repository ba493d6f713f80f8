//! One Raft replica: connects Raft to the disk, the network, the state machine and, while
//! this replica leads, the leader.

mod disk;
mod repair;

use crate::clock::millis;
use crate::journal::{DiskEvent, Journal, decode_hard_state, decode_log_entry};
use crate::leader::Leader;
use crate::shared::{Shared, no_leader_problem};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use yuccalink_coordination::Moment;
use yuccalink_coordination::handover::{Handover, HandoverStatus};
use yuccalink_coordination::lease_wait::Leadership;
use yuccalink_coordination::outbox::Outbox;
use yuccalink_coordination::raft::{
    Envelope, LogEntry, LogWrite, Member, Members, Payload, RETAINED_LOG_ENTRIES, Raft, ReplicaId,
    Restored, Role, SnapshotMeta,
};
use yuccalink_protocol::api::{LogView, MemberView, Status};
use yuccalink_protocol::peer::{self, EntryState, EntryUpdate, LeaderRequest, LeaderResponse};
use yuccalink_state::id::Name;
use yuccalink_state::log::LogCounters;
use yuccalink_state::snapshot::{self, Meta};
use yuccalink_state::store::Recovered;
use yuccalink_state::{StateMachine, store};

/// Log records after which a snapshot is taken.
const SNAPSHOT_AFTER_RECORDS: u64 = 20_000;
/// Log bytes after which a snapshot is taken.
const SNAPSHOT_AFTER_BYTES: u64 = 64 * 1024 * 1024;
/// Time without a message from a voter's old disk after which a replica with a new disk may
/// replace it.
const OLD_DISK_SILENCE_MIN: Duration = Duration::from_secs(3);
/// Time after which a request to join expires if it is not repeated.
const JOIN_REQUEST_EXPIRY: Duration = Duration::from_secs(30);
/// Largest number of commands in one proposal.
const PROPOSAL_MAX_COMMANDS: usize = 1024;

/// A task for the disk thread.
pub(crate) enum DiskTask {
    Write(Vec<LogWrite>),
    Install { index: u64, bytes: Vec<u8> },
    Compact { index: u64, bytes: Vec<u8> },
}

type Reply = oneshot::Sender<LeaderResponse>;

/// A replica that asked to join, and when it last asked.
struct JoinRequest {
    member: Member,
    requested_at: Moment,
}

pub(crate) struct Replica {
    shared: Arc<Shared>,
    raft: Raft,
    /// The state machine; `None` while this replica leads, as the leader then owns it.
    state: Option<StateMachine>,
    leader: Option<Leader>,
    applied_index: u64,
    pending_writes: Vec<LogWrite>,
    pending_install: Option<(SnapshotMeta, Vec<u8>)>,
    /// Messages that wait until the write with their sequence number is on disk.
    held_messages: VecDeque<(u64, Envelope)>,
    /// Sequence number of the last write that is on disk.
    persisted_seq: u64,
    outboxes: BTreeMap<ReplicaId, Outbox>,
    join_requests: BTreeMap<ReplicaId, JoinRequest>,
    /// The hand-over of the leadership before a planned stop, once it has begun.
    handover: Option<Handover>,
    /// Daemon name of each replica that sent a message, as stated in the message.
    sender_names: BTreeMap<ReplicaId, Name>,
    log_counters: LogCounters,
    /// Value of `log_counters` when the last snapshot was taken.
    counters_at_snapshot: LogCounters,
    /// Wakes the task that passes disk tasks to the disk thread.
    pub(crate) disk_wake: Arc<Notify>,
    /// Wakes the task that sends messages to other voters.
    pub(crate) message_wake: Arc<Notify>,
    /// Wakes the task that sends orders to workers.
    pub(crate) order_wake: Arc<Notify>,
}

impl Replica {
    pub(crate) fn new(
        shared: Arc<Shared>,
        recovered: Recovered,
        seed: u64,
    ) -> Result<Self, peer::BadMessage> {
        let Recovered { replica, meta, state, records, hard } = recovered;
        let members =
            if meta.members.is_empty() { Members::default() } else { peer::decode(&meta.members)? };
        let entries = records.iter().map(decode_log_entry).collect::<Result<Vec<LogEntry>, _>>()?;
        let restored = Restored {
            hard: decode_hard_state(hard),
            snapshot: SnapshotMeta { index: meta.index, term: meta.term, members },
            entries,
        };
        let raft = Raft::new(ReplicaId(replica), restored, seed, shared.clock.now());
        Ok(Self {
            shared,
            raft,
            state: Some(state),
            leader: None,
            applied_index: meta.index,
            pending_writes: Vec::new(),
            pending_install: None,
            held_messages: VecDeque::new(),
            persisted_seq: 0,
            outboxes: BTreeMap::new(),
            join_requests: BTreeMap::new(),
            handover: None,
            sender_names: BTreeMap::new(),
            log_counters: LogCounters::default(),
            counters_at_snapshot: LogCounters::default(),
            disk_wake: Arc::default(),
            message_wake: Arc::default(),
            order_wake: Arc::default(),
        })
    }

    pub(crate) fn id(&self) -> ReplicaId {
        self.raft.id()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.raft.is_empty()
    }

    /// Whether the replica on this disk is a voter.
    pub(crate) fn is_voter(&self) -> bool {
        self.raft.members().is_voter(self.raft.id())
    }

    /// Bootstraps a new Raft group; see [`Raft::bootstrap`].
    pub(crate) fn bootstrap(&mut self, voters: Vec<Member>) {
        let names: Vec<String> = voters.iter().map(|voter| voter.name.to_string()).collect();
        log::info!("bootstrapping a new Raft group with voters {}", names.join(", "));
        let members = Members { voters, learners: Vec::new() };
        self.raft.bootstrap(members, self.shared.clock.now());
        self.process_raft_output();
    }

    /// Returns the leader while this replica holds the leader lease, so that no other
    /// replica can lead. Leases may be granted and state read only then.
    pub(crate) fn leader(&mut self) -> Option<&mut Leader> {
        let now = self.shared.clock.now();
        if !self.raft.has_lease(now) {
            return None;
        }
        self.leader.as_mut()
    }

    /// Whether this replica leads, with or without the leader lease.
    pub(crate) fn leadership(&mut self) -> Leadership {
        match (self.leader().is_some(), &self.leader) {
            (true, _) => Leadership::Held,
            (false, Some(_)) => Leadership::Lapsed,
            (false, None) => Leadership::None,
        }
    }

    /// Returns the name of the daemon that leads, if known.
    pub(crate) fn leader_name(&self) -> Option<Name> {
        let id = self.raft.leader()?;
        self.raft.members().get(id).map(|member| member.name.clone())
    }

    /// Hands a request to the leader; returns it if this replica does not lead.
    pub(crate) fn handle_request(
        &mut self,
        request: LeaderRequest,
        reply: Reply,
    ) -> Result<(), (LeaderRequest, Reply)> {
        let Some(leader) = self.leader() else { return Err((request, reply)) };
        match request {
            LeaderRequest::Snapshot => drop(reply.send(self.snapshot_response())),
            LeaderRequest::Status => drop(reply.send(self.status_response())),
            request => leader.handle_request(request, reply),
        }
        self.propose();
        Ok(())
    }

    fn status_response(&self) -> LeaderResponse {
        let Some(leader) = &self.leader else {
            return LeaderResponse::Problem(no_leader_problem());
        };
        let status: Status = leader.status(self.log_view(), self.member_views());
        LeaderResponse::Status(Box::new(status))
    }

    /// Processes an entry's report; returns false if this replica does not lead.
    pub(crate) fn handle_entry_report(&mut self, state: &EntryState) -> bool {
        let Some(leader) = self.leader() else { return false };
        leader.handle_entry_report(state);
        self.propose();
        true
    }

    /// Renews the leases of all entries whose requests wait here; returns when, or `None` if this
    /// replica does not lead.
    pub(crate) fn renew_leases(&mut self) -> Option<Moment> {
        let now = self.shared.clock.now();
        self.leader()?.renew_leases();
        Some(now)
    }

    /// Whether every entry that may hold a lease has reported after `since`.
    pub(crate) fn all_reported_since(&mut self, since: Moment) -> bool {
        self.leader().is_some_and(|leader| leader.all_reported_since(since))
    }

    pub(crate) fn entry_update(&mut self, state: &EntryState) -> Option<(EntryUpdate, bool)> {
        self.leader().map(|leader| leader.entry_update(state))
    }

    fn snapshot_response(&self) -> LeaderResponse {
        match self.encode_snapshot() {
            Some((_, bytes)) => LeaderResponse::Snapshot(bytes.into()),
            None => LeaderResponse::Problem(no_leader_problem()),
        }
    }

    fn log_view(&self) -> LogView {
        LogView {
            last: self.raft.last(),
            syncs: self.log_counters.syncs,
            records: self.log_counters.records,
            bytes: self.log_counters.bytes,
        }
    }

    fn member_views(&self) -> Vec<MemberView> {
        let now = self.shared.clock.now();
        let own = self.raft.id();
        let view = |member: &Member, voter| MemberView {
            name: member.name.clone(),
            replica: member.id.to_string().into(),
            voter,
            leads: member.id == own,
            silent_ms: match member.id == own {
                true => 0,
                false => {
                    self.raft.last_heard(member.id).map_or(u64::MAX, |at| millis(now.since(at)))
                }
            },
        };
        let members = self.raft.members();
        let voters = members.voters.iter().map(|member| view(member, true));
        voters.chain(members.learners.iter().map(|member| view(member, false))).collect()
    }

    // ---- consensus ----

    pub(crate) fn step(&mut self, from: &Name, envelope: Envelope) {
        if self.sender_names.get(&envelope.from) != Some(from) {
            self.sender_names.insert(envelope.from, from.clone());
        }
        self.raft.step(self.shared.clock.now(), envelope);
        self.process_raft_output();
    }

    pub(crate) fn tick(&mut self) {
        let now = self.shared.clock.now();
        self.raft.tick(now);
        if let Some(leader) = self.leader() {
            leader.tick();
        }
        self.advance_joins(now);
        self.propose();
    }

    /// Appends the leader's queued commands to the log, one batch at a time. Commands that
    /// arrive meanwhile share the next sync. During a hand-over they wait, and their callers send
    /// them to the successor.
    pub(crate) fn propose(&mut self) {
        if self.handover.is_none()
            && let Some(leader) = &mut self.leader
        {
            let commands = leader.next_batch(PROPOSAL_MAX_COMMANDS);
            if !commands.is_empty() {
                let encoded: Result<Vec<Arc<[u8]>>, _> =
                    commands.iter().map(|c| store::encode(c).map(Into::into)).collect();
                let now = self.shared.clock.now();
                match encoded.map(|bytes| self.raft.propose(now, bytes)) {
                    Ok(Ok(first)) => leader.record_batch_index(first),
                    Ok(Err(error)) => {
                        log::debug!("no command was proposed: {error}");
                        leader.drop_batch();
                    }
                    Err(error) => {
                        log::error!("cannot encode commands: {error}");
                        leader.drop_batch();
                    }
                }
            }
        }
        self.process_raft_output();
    }

    /// Processes the output of Raft: writes, messages, committed entries, role changes.
    fn process_raft_output(&mut self) {
        loop {
            let output = self.raft.take();
            let committed = !output.committed.is_empty();
            self.pending_writes.extend(output.persist);
            self.held_messages.extend(output.messages);
            if output.install.is_some() {
                self.pending_install = output.install;
            }
            for (index, entry) in output.committed {
                self.apply(index, &entry);
            }
            self.change_role();
            for to in output.need_snapshot {
                self.offer_snapshot(to);
            }
            if !committed {
                break;
            }
        }
        self.release_messages();
        if !self.pending_writes.is_empty() || self.pending_install.is_some() {
            self.disk_wake.notify_one();
        }
    }

    fn apply(&mut self, index: u64, entry: &LogEntry) {
        self.applied_index = index;
        let Payload::Command(bytes) = &entry.payload else { return };
        let command = match store::decode(bytes) {
            Ok(command) => command,
            Err(error) => {
                // Skipping the record would make this replica's state diverge from the
                // others for good.
                log::error!("cannot decode record {index}; aborting: {error}");
                std::process::abort();
            }
        };
        if let Some(leader) = &mut self.leader {
            leader.apply_committed(index, command);
        } else if let Some(state) = &mut self.state {
            state.apply(command);
        }
    }

    fn change_role(&mut self) {
        let leads = self.raft.role() == Role::Leader;
        if !leads && let Some(leader) = self.leader.take() {
            log::warn!("no longer leading in term {}", self.raft.term());
            self.state = Some(leader.into_state());
        }
        if self.raft.has_committed_in_term()
            && self.leader.is_none()
            && let Some(state) = self.state.take()
        {
            log::info!("leading in term {} from record {}", self.raft.term(), self.applied_index);
            let shared = self.shared.clone();
            let leader = Leader::new(shared, self.raft.term(), state, self.order_wake.clone());
            self.leader = Some(leader);
        }
    }

    /// Moves messages whose writes are on disk to the outboxes.
    fn release_messages(&mut self) {
        let mut any = false;
        let mut later = VecDeque::new();
        for (seq, envelope) in std::mem::take(&mut self.held_messages) {
            if seq > self.persisted_seq {
                later.push_back((seq, envelope));
                continue;
            }
            any = true;
            self.outboxes.entry(envelope.to).or_default().push(envelope);
        }
        self.held_messages = later;
        if any {
            self.message_wake.notify_one();
        }
    }

    /// Returns the replicas for which messages may wait.
    pub(crate) fn recipients(&self) -> Vec<ReplicaId> {
        self.outboxes.keys().copied().collect()
    }

    /// Returns the messages that wait for a replica.
    pub(crate) fn outbox(&mut self, to: ReplicaId) -> &mut Outbox {
        self.outboxes.entry(to).or_default()
    }

    /// Drops the messages for a replica without a known address.
    pub(crate) fn drop_outbox(&mut self, to: ReplicaId) {
        self.outboxes.remove(&to);
    }

    /// Returns the daemon name of a replica, from the members or else from its own messages.
    pub(crate) fn daemon_name(&self, id: ReplicaId) -> Option<Name> {
        let known = self.raft.members().get(id).map(|member| member.name.clone());
        known.or_else(|| self.sender_names.get(&id).cloned())
    }
}

/// Passes disk tasks to the disk thread until the disk fails or the daemon stops.
pub(crate) async fn run_disk_tasks(
    replica: std::rc::Rc<std::cell::RefCell<Replica>>,
    mut journal: Journal,
    mut stop: tokio::sync::watch::Receiver<bool>,
    failed: oneshot::Sender<yuccalink_state::Error>,
) {
    let wake = replica.borrow().disk_wake.clone();
    loop {
        let task = replica.borrow_mut().next_disk_task();
        match task {
            Some(DiskTask::Write(writes)) => journal.write(writes),
            Some(DiskTask::Install { index, bytes }) => journal.install(index, bytes),
            Some(DiskTask::Compact { index, bytes }) => journal.compact(index, bytes),
            None => {
                tokio::select! {
                    () = wake.notified() => continue,
                    _ = stop.wait_for(|stop| *stop) => break,
                }
            }
        }
        match journal.next_event().await {
            Some(DiskEvent::Failed(error) | DiskEvent::NoSpace { error, .. }) => {
                // It is unknown which writes reached the disk, so no more may be
                // acknowledged: the daemon stops and recovers from the disk.
                let _ = failed.send(error);
                return;
            }
            Some(event) => replica.borrow_mut().handle_disk_event(&event),
            None => return,
        }
    }
    journal.close();
}
