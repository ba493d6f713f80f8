//! One replica of the cell's state: drives Raft, applies committed commands, and runs the
//! leader while this replica leads.

use crate::cell::disk::{DiskStep, DiskTask};
use crate::journal::{DiskEvent, decode_hard_state, decode_log_entry};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use yuccalink_coordination::Moment;
use yuccalink_coordination::jobs::{HeardKnowledge, Leader, LeaderConfig, Now};
use yuccalink_coordination::raft::{
    Envelope, LogEntry, LogWrite, Members, Payload, RETAINED_LOG_ENTRIES, Raft, ReplicaId,
    Restored, Role, SnapshotMeta,
};
use yuccalink_coordination::store_health::{self, LeadershipAction, StoreHealth, StoreState};
use yuccalink_protocol::peer;
use yuccalink_state::jobs::{CellState, JobCommand};
use yuccalink_state::log::LogCounters;
use yuccalink_state::snapshot::{self, Meta};
use yuccalink_state::store::Recovered;

/// Log records after which a snapshot is taken.
const SNAPSHOT_AFTER_RECORDS: u64 = 20_000;
/// Log bytes after which a snapshot is taken. Two snapshots and two such logs stay under half
/// of the smallest disk, 128 MB.
const SNAPSHOT_AFTER_BYTES: u64 = 8 * 1024 * 1024;
/// Most messages that wait for a write. Beyond, the oldest are dropped, as a network may drop them.
const HELD_MESSAGES_MAX: usize = 4_096;
/// Largest number of commands in one proposal.
const PROPOSAL_MAX_COMMANDS: usize = 512;

pub(crate) struct Replica {
    cfg: LeaderConfig,
    name: Box<str>,
    pub(crate) raft: Raft,
    /// The replicated state; `None` while this replica leads, when the leader owns it.
    state: Option<CellState>,
    pub(crate) leader: Option<Leader>,
    /// What the leaders told since this process started.
    heard: HeardKnowledge,
    applied_index: u64,
    pending_writes: Vec<LogWrite>,
    pending_install: Option<(SnapshotMeta, Vec<u8>)>,
    /// Messages that wait until the write with their sequence number is on disk.
    held_messages: VecDeque<(u64, Envelope)>,
    /// Sequence number of the last write that is on disk.
    persisted_seq: u64,
    pub(crate) store: StoreHealth,
    /// Changes of the store's state, by the new state.
    pub(crate) store_changes: BTreeMap<StoreState, u64>,
    /// Whether a snapshot was taken since the store became full, so that its log can shrink.
    compacted_when_full: bool,
    /// Messages that may be sent now.
    pub(crate) outbox: Vec<Envelope>,
    log_counters: LogCounters,
    /// Value of `log_counters` when the last snapshot was taken.
    counters_at_snapshot: LogCounters,
}

impl Replica {
    pub(crate) fn new(
        cfg: LeaderConfig,
        name: Box<str>,
        recovered: Recovered<CellState>,
        seed: u64,
        now: Moment,
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
        Ok(Self {
            cfg,
            name,
            raft: Raft::new(ReplicaId(replica), restored, seed, now),
            state: Some(state),
            leader: None,
            heard: HeardKnowledge::default(),
            applied_index: meta.index,
            pending_writes: Vec::new(),
            pending_install: None,
            held_messages: VecDeque::new(),
            persisted_seq: 0,
            store: StoreHealth::new(now),
            store_changes: BTreeMap::new(),
            compacted_when_full: false,
            outbox: Vec::new(),
            log_counters: LogCounters::default(),
            counters_at_snapshot: LogCounters::default(),
        })
    }

    /// Returns the leader while this replica holds the lease, so no other can have been elected.
    pub(crate) fn leader(&mut self, now: Moment) -> Option<&mut Leader> {
        match self.raft.has_lease(now) {
            true => self.leader.as_mut(),
            false => None,
        }
    }

    /// Returns the state that this replica has applied.
    pub(crate) fn state(&self) -> Option<&CellState> {
        match &self.leader {
            Some(leader) => Some(leader.state()),
            None => self.state.as_ref(),
        }
    }

    pub(crate) fn is_leader(&self) -> bool {
        self.raft.role() == Role::Leader
    }

    pub(crate) fn tick(&mut self, now: Now) {
        self.raft.tick(now.at);
        self.govern(now.at);
        if let Some(leader) = self.leader(now.at) {
            leader.tick(now);
        }
        self.propose(now);
    }

    pub(crate) fn step(&mut self, now: Now, envelope: Envelope) {
        self.raft.step(now.at, envelope);
        self.process_raft_output(now);
    }

    /// Proposes the leader's pending commands to Raft and processes Raft's output.
    pub(crate) fn propose(&mut self, now: Now) {
        self.govern(now.at);
        if self.raft.has_lease(now.at)
            && let Some(leader) = &mut self.leader
        {
            let commands = leader.next_batch(PROPOSAL_MAX_COMMANDS);
            if !commands.is_empty() {
                match encode_all(&commands) {
                    Ok(encoded) => match self.raft.propose(now.at, encoded) {
                        Ok(first) => leader.batch_appended(first),
                        // If this replica no longer leads, the call below drops its leader.
                        Err(why) => log::info!("no command was proposed: {why}"),
                    },
                    Err(error) => log::error!("cannot encode commands: {error}"),
                }
            }
        }
        self.process_raft_output(now);
    }

    /// Processes the output of Raft until it commits nothing more.
    pub(crate) fn process_raft_output(&mut self, now: Now) {
        loop {
            let output = self.raft.take();
            let committed = !output.committed.is_empty();
            self.pending_writes.extend(output.persist);
            self.held_messages.extend(output.messages);
            if output.install.is_some() {
                self.pending_install = output.install;
            }
            for (index, entry) in output.committed {
                self.apply(now, index, &entry);
            }
            self.change_role(now);
            for to in output.need_snapshot {
                self.offer_snapshot(now, to);
            }
            if !committed {
                break;
            }
        }
        self.release_messages();
    }

    fn apply(&mut self, now: Now, index: u64, entry: &LogEntry) {
        self.applied_index = index;
        let Payload::Command(bytes) = &entry.payload else { return };
        let command: JobCommand = match postcard::from_bytes(bytes) {
            Ok(command) => command,
            Err(error) => {
                // Skipping the record would make this replica's state diverge from the other
                // replicas' permanently.
                log::error!("cannot decode record {index}; aborting: {error}");
                std::process::abort();
            }
        };
        self.hear(now, entry.term, &command);
        if let Some(leader) = &mut self.leader {
            leader.apply_committed(now, index, command);
        } else if let Some(state) = &mut self.state {
            state.apply(command);
        }
    }

    /// Keeps what a leader tells. Records of earlier terms may be of any age: after a restart,
    /// the log is applied again.
    fn hear(&mut self, now: Now, term: u64, command: &JobCommand) {
        let JobCommand::Tell(message) = command else { return };
        let state = match &self.leader {
            Some(leader) => Some(leader.state()),
            None => self.state.as_ref(),
        };
        if let Some(state) = state.filter(|_| term == self.raft.term()) {
            self.heard.hear(now.at, term, message, state);
        }
    }

    fn change_role(&mut self, now: Now) {
        if !self.is_leader()
            && let Some(leader) = self.leader.take()
        {
            log::warn!("role=follower term={} was=leader", self.raft.term());
            self.state = Some(leader.into_state());
        }
        if self.raft.has_committed_in_term()
            && self.leader.is_none()
            && let Some(state) = self.state.take()
        {
            log::info!("role=leader term={} record={}", self.raft.term(), self.applied_index);
            let mut leader = Leader::new(self.cfg, self.raft.term(), state, now);
            leader.set_node_name(&self.name);
            leader.recall(now, &self.heard);
            self.leader = Some(leader);
        }
    }

    /// Moves messages whose writes are on disk to the outbox.
    fn release_messages(&mut self) {
        let persisted_seq = self.persisted_seq;
        let mut remaining = VecDeque::new();
        for (seq, envelope) in std::mem::take(&mut self.held_messages) {
            match seq > persisted_seq {
                true => remaining.push_back((seq, envelope)),
                false => self.outbox.push(envelope),
            }
        }
        remaining.drain(..remaining.len().saturating_sub(HELD_MESSAGES_MAX));
        self.held_messages = remaining;
    }

    // ---- disk ----

    /// Applies the state of the store to votes and leadership.
    fn govern(&mut self, now: Moment) {
        let action = store_health::govern(&mut self.store, &mut self.raft, now);
        if let Some(change) = self.store.take_change() {
            *self.store_changes.entry(change.to).or_default() += 1;
            self.compacted_when_full = false;
            log::warn!(
                "store={} was={} for={:?} role={:?} term={} commit={} last={}",
                change.to,
                change.from,
                change.lasted,
                self.raft.role(),
                self.raft.term(),
                self.raft.commit(),
                self.raft.last()
            );
        }
        let action = match action {
            LeadershipAction::Keep => return,
            LeadershipAction::HandOver => "asked another replica to take over",
            LeadershipAction::StepDown => "follows, because no other replica took over in time",
        };
        log::warn!("store={} term={}: {action}", self.store.state(), self.raft.term());
    }

    /// Returns what the disk does next; `blocked` if an operation waits for room.
    pub(crate) fn next_disk_step(&mut self, now: Moment, blocked: bool) -> DiskStep {
        let full = self.store.state() == StoreState::Full;
        let task = match (full, blocked) {
            // A snapshot beyond the stored entries would hide what a later recovery needs.
            (true, _) if !self.compacted_when_full && !self.raft.lacks_synced_entries() => {
                self.compacted_when_full = true;
                self.start_snapshot()
            }
            (_, false) => self.next_disk_task(),
            _ => None,
        };
        match task {
            Some(task) => {
                self.store.operation_started(now);
                DiskStep::Perform(task)
            }
            None if full || blocked => DiskStep::RetryLater,
            None => DiskStep::Wait,
        }
    }

    /// Handles a disk operation that found no room.
    pub(crate) fn handle_no_space(&mut self, now: Now, error: &yuccalink_state::Error) {
        if self.store.state() != StoreState::Full {
            log::warn!("{error}");
        }
        self.store.operation_refused(now.at);
        self.propose(now);
    }

    /// Returns the next disk task; writes come first.
    fn next_disk_task(&mut self) -> Option<DiskTask> {
        if !self.pending_writes.is_empty() {
            return Some(DiskTask::Write(std::mem::take(&mut self.pending_writes)));
        }
        if let Some((meta, bytes)) = &self.pending_install {
            return Some(DiskTask::Install { index: meta.index, bytes: bytes.clone() });
        }
        self.start_due_snapshot()
    }

    /// Returns whether a disk task is pending.
    pub(crate) fn has_disk_task(&self) -> bool {
        !self.pending_writes.is_empty() || self.pending_install.is_some() || self.is_snapshot_due()
    }

    /// Handles the completion of a disk task.
    pub(crate) fn handle_disk_event(&mut self, now: Now, event: &DiskEvent) {
        match event {
            DiskEvent::Written { seq, counts } => {
                self.persisted_seq = *seq;
                self.log_counters = *counts;
                self.raft.persisted(*seq, now.at);
            }
            DiskEvent::Compacted { index } => self.raft.compact(*index, RETAINED_LOG_ENTRIES),
            DiskEvent::Installed => self.finish_install(),
            DiskEvent::ReserveFilled => self.store.reserve_filled(now.at),
            DiskEvent::NoSpace { .. } | DiskEvent::Failed(_) => {}
        }
        self.store.operation_completed(now.at);
        self.propose(now);
    }

    fn finish_install(&mut self) {
        let Some((meta, bytes)) = self.pending_install.take() else { return };
        match snapshot::decode_as::<CellState>(&bytes, "a snapshot of the leader") {
            Ok(decoded) => {
                log::info!("installed the leader's snapshot up to record {}", meta.index);
                self.state = Some(decoded.state);
                self.applied_index = meta.index;
                self.raft.installed(Some(meta));
            }
            Err(error) => {
                log::error!("cannot decode the leader's snapshot: {error}");
                self.raft.installed(None);
            }
        }
    }

    fn encode_snapshot(&self) -> Option<(SnapshotMeta, Vec<u8>)> {
        let state = self.state()?;
        let index = self.applied_index;
        let term = self.raft.term_at(index)?;
        let members = self.raft.members_at(index);
        let encoded = peer::encode(&members).ok()?;
        let meta = Meta { index, term, members: encoded.into() };
        match snapshot::encode(&meta, state) {
            Ok(bytes) => Some((SnapshotMeta { index, term, members }, bytes)),
            Err(error) => {
                log::error!("cannot encode a snapshot: {error}");
                None
            }
        }
    }

    fn is_snapshot_due(&self) -> bool {
        let records = self.log_counters.records - self.counters_at_snapshot.records;
        let bytes = self.log_counters.bytes - self.counters_at_snapshot.bytes;
        records >= SNAPSHOT_AFTER_RECORDS || bytes >= SNAPSHOT_AFTER_BYTES
    }

    fn start_due_snapshot(&mut self) -> Option<DiskTask> {
        if !self.is_snapshot_due() {
            return None;
        }
        self.start_snapshot()
    }

    fn start_snapshot(&mut self) -> Option<DiskTask> {
        if self.log_counters == self.counters_at_snapshot {
            return None;
        }
        self.counters_at_snapshot = self.log_counters;
        let (meta, bytes) = self.encode_snapshot()?;
        Some(DiskTask::Compact { index: meta.index, bytes })
    }

    fn offer_snapshot(&mut self, now: Now, to: ReplicaId) {
        if let Some((meta, bytes)) = self.encode_snapshot() {
            log::info!("sending replica {to} a snapshot up to record {}", meta.index);
            self.raft.offer_snapshot(now.at, to, meta, bytes.into());
        }
    }

    /// Returns the time since this leader last received a message from replica `id`.
    pub(crate) fn silence(&self, now: Moment, id: ReplicaId) -> Option<Duration> {
        self.raft.last_heard(id).map(|heard| now.since(heard))
    }
}

fn encode_all(commands: &[JobCommand]) -> Result<Vec<Arc<[u8]>>, postcard::Error> {
    commands.iter().map(|command| postcard::to_stdvec(command).map(Arc::from)).collect()
}
