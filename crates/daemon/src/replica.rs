//! One Raft replica: connects the consensus to the disk, the network, the state machine
//! and, while it leads, the leader.

mod disk;
mod repair;

use crate::clock::millis;
use crate::journal::{DiskEvent, Journal, from_hard, to_entry};
use crate::leader::Leader;
use crate::shared::{Shared, no_leader};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use yuccalink_coordination::Moment;
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

/// Limit of messages queued for one other voter; beyond it the oldest are dropped.
const OUTBOX_MAX: usize = 1024;
/// Log records after which a snapshot is taken.
const SNAPSHOT_RECORDS: u64 = 20_000;
/// Bytes of log after which a snapshot is taken.
const SNAPSHOT_BYTES: u64 = 64 * 1024 * 1024;
/// Time without a message from a voter's old disk after which a replica with a new disk may
/// replace it.
const REPLACE_AFTER: Duration = Duration::from_secs(3);
/// Time after which a request to join expires if it is not repeated.
const JOIN_FORGET: Duration = Duration::from_secs(30);
/// Largest number of commands in one proposal.
const BATCH_MAX: usize = 1024;

/// Next operation for the disk thread.
pub(crate) enum DiskTask {
    Write(Vec<LogWrite>),
    Install { index: u64, bytes: Vec<u8> },
    Compact { index: u64, bytes: Vec<u8> },
}

type Reply = oneshot::Sender<LeaderResponse>;

/// A replica that asked to join, and when it last asked.
struct Joining {
    member: Member,
    asked: Moment,
}

pub(crate) struct Replica {
    shared: Arc<Shared>,
    raft: Raft,
    /// The state machine; `None` while this replica leads, as the leader then owns it.
    state: Option<StateMachine>,
    leader: Option<Leader>,
    applied: u64,
    writes: Vec<LogWrite>,
    install: Option<(SnapshotMeta, Vec<u8>)>,
    /// Messages to be sent once the write with this sequence number is durable.
    held: VecDeque<(u64, Envelope)>,
    /// Sequence number of the last durable write.
    written: u64,
    outboxes: BTreeMap<ReplicaId, VecDeque<Envelope>>,
    joining: BTreeMap<ReplicaId, Joining>,
    /// Daemon name of each replica that sent a message, as it gave it.
    names: BTreeMap<ReplicaId, Name>,
    counts: LogCounters,
    /// Log counters at the last snapshot.
    snapshot_at: LogCounters,
    /// Wakes the task that passes work to the disk thread.
    pub(crate) work: Arc<Notify>,
    /// Wakes the task that sends messages to other voters.
    pub(crate) sends: Arc<Notify>,
    /// Wakes the task that sends orders to workers.
    pub(crate) orders: Arc<Notify>,
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
        let entries = records.iter().map(to_entry).collect::<Result<Vec<LogEntry>, _>>()?;
        let restored = Restored {
            hard: from_hard(hard),
            snapshot: SnapshotMeta { index: meta.index, term: meta.term, members },
            entries,
        };
        let raft = Raft::new(ReplicaId(replica), restored, seed, shared.clock.now());
        Ok(Self {
            shared,
            raft,
            state: Some(state),
            leader: None,
            applied: meta.index,
            writes: Vec::new(),
            install: None,
            held: VecDeque::new(),
            written: 0,
            outboxes: BTreeMap::new(),
            joining: BTreeMap::new(),
            names: BTreeMap::new(),
            counts: LogCounters::default(),
            snapshot_at: LogCounters::default(),
            work: Arc::default(),
            sends: Arc::default(),
            orders: Arc::default(),
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
        log::info!("bootstrapping a new system with the voters {}", names.join(", "));
        let members = Members { voters, learners: Vec::new() };
        self.raft.bootstrap(members, self.shared.clock.now());
        self.pump();
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

    /// Returns the name of the daemon that leads, if known.
    pub(crate) fn leader_name(&self) -> Option<Name> {
        let id = self.raft.leader()?;
        self.raft.members().get(id).map(|member| member.name.clone())
    }

    /// Hands a request to the leader; returns it if this replica does not lead.
    pub(crate) fn ask(
        &mut self,
        ask: LeaderRequest,
        reply: Reply,
    ) -> Result<(), (LeaderRequest, Reply)> {
        let Some(leader) = self.leader() else { return Err((ask, reply)) };
        match ask {
            LeaderRequest::Snapshot => drop(reply.send(self.saved())),
            LeaderRequest::Status => drop(reply.send(self.status())),
            ask => leader.ask(ask, reply),
        }
        self.propose();
        Ok(())
    }

    fn status(&self) -> LeaderResponse {
        let Some(leader) = &self.leader else { return LeaderResponse::Problem(no_leader()) };
        let status: Status = leader.status(self.log_view(), self.member_views());
        LeaderResponse::Status(Box::new(status))
    }

    /// Processes an entry's report; returns false if this replica does not lead.
    pub(crate) fn hear(&mut self, state: &EntryState) -> bool {
        let Some(leader) = self.leader() else { return false };
        leader.hear(state);
        self.propose();
        true
    }

    pub(crate) fn news_for(&mut self, state: &EntryState) -> Option<(EntryUpdate, bool)> {
        self.leader().map(|leader| leader.news_for(state))
    }

    fn saved(&self) -> LeaderResponse {
        match self.encode_snapshot() {
            Some((_, bytes)) => LeaderResponse::Snapshot(bytes.into()),
            None => LeaderResponse::Problem(no_leader()),
        }
    }

    fn log_view(&self) -> LogView {
        LogView {
            last: self.raft.last(),
            syncs: self.counts.syncs,
            records: self.counts.records,
            bytes: self.counts.bytes,
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
        if self.names.get(&envelope.from) != Some(from) {
            self.names.insert(envelope.from, from.clone());
        }
        self.raft.step(self.shared.clock.now(), envelope);
        self.pump();
    }

    pub(crate) fn tick(&mut self) {
        let now = self.shared.clock.now();
        self.raft.tick(now);
        if let Some(leader) = self.leader() {
            leader.tick();
        }
        self.repair(now);
        self.propose();
    }

    /// Appends the leader's queued commands to the log, one batch at a time. Commands that
    /// arrive meanwhile share the next sync.
    pub(crate) fn propose(&mut self) {
        if let Some(leader) = &mut self.leader {
            let commands = leader.next_batch(BATCH_MAX);
            if !commands.is_empty() {
                let encoded: Result<Vec<Arc<[u8]>>, _> =
                    commands.iter().map(|c| store::encode(c).map(Into::into)).collect();
                let now = self.shared.clock.now();
                match encoded.map(|bytes| self.raft.propose(now, bytes)) {
                    Ok(Ok(first)) => leader.proposed(first),
                    Ok(Err(why)) => {
                        log::debug!("the proposal was refused: {why}");
                        leader.not_proposed();
                    }
                    Err(error) => {
                        log::error!("a command cannot be encoded: {error}");
                        leader.not_proposed();
                    }
                }
            }
        }
        self.pump();
    }

    /// Processes the output of the consensus: writes, messages, committed entries, role changes.
    fn pump(&mut self) {
        loop {
            let output = self.raft.take();
            let committed = !output.committed.is_empty();
            self.writes.extend(output.persist);
            self.held.extend(output.messages);
            if output.install.is_some() {
                self.install = output.install;
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
        self.release();
        if !self.writes.is_empty() || self.install.is_some() {
            self.work.notify_one();
        }
    }

    fn apply(&mut self, index: u64, entry: &LogEntry) {
        self.applied = index;
        let Payload::Command(bytes) = &entry.payload else { return };
        let command = match store::decode(bytes) {
            Ok(command) => command,
            Err(error) => {
                // Skipping the record would make this replica's state diverge from the
                // others for good.
                log::error!("record {index} cannot be applied: {error}");
                std::process::abort();
            }
        };
        if let Some(leader) = &mut self.leader {
            leader.committed(index, command);
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
            log::info!("leading in term {} from record {}", self.raft.term(), self.applied);
            let shared = self.shared.clone();
            let leader = Leader::new(shared, self.raft.term(), state, self.orders.clone());
            self.leader = Some(leader);
        }
    }

    /// Queues the messages whose preceding writes are durable for sending.
    fn release(&mut self) {
        let mut any = false;
        let mut later = VecDeque::new();
        for (seq, envelope) in std::mem::take(&mut self.held) {
            if seq > self.written {
                later.push_back((seq, envelope));
                continue;
            }
            any = true;
            let outbox = self.outboxes.entry(envelope.to).or_default();
            if outbox.len() == OUTBOX_MAX {
                outbox.pop_front();
            }
            outbox.push_back(envelope);
        }
        self.held = later;
        if any {
            self.sends.notify_one();
        }
    }

    /// Takes the messages to send now, by replica.
    pub(crate) fn outgoing(&mut self) -> Vec<(ReplicaId, Vec<Envelope>)> {
        let all = std::mem::take(&mut self.outboxes);
        all.into_iter().map(|(to, messages)| (to, messages.into())).collect()
    }

    /// Returns the daemon name of a replica, from the members or else from its own messages.
    pub(crate) fn name_of(&self, id: ReplicaId) -> Option<Name> {
        let known = self.raft.members().get(id).map(|member| member.name.clone());
        known.or_else(|| self.names.get(&id).cloned())
    }
}

/// Passes work to the disk thread until told to stop.
pub(crate) async fn feed(
    replica: std::rc::Rc<std::cell::RefCell<Replica>>,
    mut journal: Journal,
    mut stop: tokio::sync::watch::Receiver<bool>,
    failed: oneshot::Sender<yuccalink_state::Error>,
) {
    let wake = replica.borrow().work.clone();
    loop {
        let work = replica.borrow_mut().next_work();
        match work {
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
        match journal.done().await {
            Some(DiskEvent::Failed(error)) => {
                // It is unknown which writes reached the disk, so no more may be
                // acknowledged: the daemon stops and recovers from the disk.
                let _ = failed.send(error);
                return;
            }
            Some(done) => replica.borrow_mut().did(&done),
            None => return,
        }
    }
    journal.close();
}
