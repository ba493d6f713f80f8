//! Consensus among the voters: the Raft algorithm (Ongaro and Ousterhout, ATC '14; membership
//! changes and pre-vote after Ongaro's thesis), sans-IO.
//!
//! The caller passes in messages, ticks, proposals and the disk's confirmations, then takes the
//! [`Output`] and carries it out. A message is sent only after the disk has confirmed the write
//! that the message depends on.

mod election;
mod follower;
mod leader;
mod snapshots;

mod log;
mod message;
mod progress;

pub use log::{LogEntry, Payload};
pub use message::{Envelope, Message};

use crate::moment::{DRIFT_PPM, Moment};
use log::MemoryLog;
use progress::{Progress, Sending};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use yuccalink_state::id::Name;

/// Minimum time without a message of the leader after which a follower may vote for another.
pub const ELECTION_MIN: Duration = Duration::from_millis(400);
/// Maximum time without a message of the leader before a follower starts an election.
pub const ELECTION_MAX: Duration = Duration::from_millis(800);
/// Interval at which a leader sends heartbeats when it has no new entries.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a response after which sending to a follower starts again.
pub const RESEND: Duration = Duration::from_millis(300);
/// Maximum number of entries in one message.
pub const APPEND_ENTRIES: usize = 512;
/// Maximum size of the entries in one message in bytes; a message always takes at least one
/// entry.
pub const APPEND_BYTES: usize = 1024 * 1024;
/// Maximum number of unanswered messages with entries to one follower.
pub const APPENDS_IN_FLIGHT: usize = 16;
/// Bytes of a snapshot in one message.
pub const SNAPSHOT_CHUNK_BYTES: usize = 256 * 1024;
/// Largest snapshot that is accepted, in bytes.
pub const SNAPSHOT_MAX_BYTES: usize = 1024 * 1024 * 1024;
/// Log entries kept before the snapshot for followers that are slightly behind.
pub const RETAINED_LOG_ENTRIES: u64 = 4_096;
/// Maximum size of the log entries kept before the snapshot, in bytes.
pub const RETAINED_LOG_BYTES: usize = 4 * 1024 * 1024;
/// A learner may become a voter once it is at most this many entries behind.
pub const CAUGHT_UP_ENTRIES: u64 = 64;

/// Identity of one disk. It is drawn when the disk is first used, so a replacement is never
/// mistaken for the disk that it replaces.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct ReplicaId(pub u64);

/// A replica and the address of its daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The identity of its disk.
    pub id: ReplicaId,
    /// The name of its daemon.
    pub name: Name,
    /// The address at which other daemons reach it.
    pub address: Box<str>,
}

/// The voters and the learners.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Members that count towards the quorum.
    pub voters: Vec<Member>,
    /// Members that replicate the log and do not vote.
    pub learners: Vec<Member>,
}

impl Members {
    /// Every member.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.voters.iter().chain(&self.learners)
    }

    /// The member with `id`.
    pub fn get(&self, id: ReplicaId) -> Option<&Member> {
        self.all().find(|member| member.id == id)
    }

    /// Whether `id` votes.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.voters.iter().any(|voter| voter.id == id)
    }

    fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}

/// State that must survive a restart in addition to the entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The newest term seen.
    pub term: u64,
    /// The replica that got this replica's vote in that term.
    pub vote: Option<ReplicaId>,
}

/// Position of a snapshot in the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// Index of the last entry that it contains.
    pub index: u64,
    /// That entry's term.
    pub term: u64,
    /// The members after that entry.
    pub members: Members,
}

/// One write to the disk: the parts in this order, with one sync.
#[derive(Clone, Debug, PartialEq)]
pub struct LogWrite {
    /// Number of the write; confirmed with [`Raft::persisted`].
    pub seq: u64,
    /// The hard state, which replaces the previous one.
    pub hard: HardState,
    /// Index of the first of `entries`; stored entries from this index on are replaced.
    pub first: u64,
    /// The entries to write; may be empty.
    pub entries: Vec<LogEntry>,
}

/// Actions to perform after an event.
#[derive(Clone, Debug, Default)]
pub struct Output {
    /// Writes to perform in order.
    pub persist: Vec<LogWrite>,
    /// Messages, each with the number of the write that must be confirmed before it is sent.
    pub messages: Vec<(u64, Envelope)>,
    /// Committed entries with their indexes, to apply in order.
    pub committed: Vec<(u64, LogEntry)>,
    /// Followers that need a snapshot: respond with [`Raft::offer_snapshot`].
    pub need_snapshot: Vec<ReplicaId>,
    /// A snapshot that replaces the state and the log; call [`Raft::installed`] once it is in
    /// place.
    pub install: Option<(SnapshotMeta, Vec<u8>)>,
}

/// Current role of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    #[default]
    Follower,
    /// Asks whether it would be elected, without raising the term of the others.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads the group.
    Leader,
}

/// Why something was not proposed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum NotProposed {
    /// this replica does not lead; ask the leader
    NotLeader,
    /// another membership change is in progress; try again
    Busy,
}

impl std::error::Error for NotProposed {}

struct IncomingSnapshot {
    meta: SnapshotMeta,
    bytes: Vec<u8>,
}

/// One replica of the replicated log.
pub struct Raft {
    id: ReplicaId,
    hard: HardState,
    role: Role,
    leader: Option<ReplicaId>,
    log: MemoryLog,
    members: Members,
    members_index: u64,
    commit: u64,
    delivered: u64,
    last_leader_contact: Option<Moment>,
    election_at: Moment,
    heartbeat_at: Moment,
    term_start_index: u64,
    elected_at: Moment,
    /// This leader has asked another replica to take over and grants no leases any more.
    transferring_leadership: bool,
    /// This replica's disk takes writes, so it may vote and be elected.
    accepts_writes: bool,
    /// Votes for this replica in the current term.
    votes: BTreeSet<ReplicaId>,
    /// Voters that would elect this replica in the next term.
    pre_votes: BTreeSet<ReplicaId>,
    progress: BTreeMap<ReplicaId, Progress>,
    incoming: Option<IncomingSnapshot>,
    installing: bool,
    seq: u64,
    written: u64,
    /// The write that holds the current hard state.
    hard_seq: u64,
    hard_of_last_write: HardState,
    writing: VecDeque<(u64, u64)>,
    stable: u64,
    rng: Pcg64Mcg,
    out: Output,
}

/// The state that a replica restores from its disk.
#[derive(Clone, Debug, Default)]
pub struct Restored {
    /// The newest durable hard state.
    pub hard: HardState,
    /// Position of the snapshot that the state was read from.
    pub snapshot: SnapshotMeta,
    /// The entries after the snapshot.
    pub entries: Vec<LogEntry>,
}

impl Raft {
    /// Creates a replica with the state on its disk. `seed` determines its election timeouts.
    ///
    /// ```
    /// use yuccalink_coordination::{Moment, raft::*};
    /// use yuccalink_state::id::Name;
    /// let mut raft = Raft::new(ReplicaId(1), Restored::default(), 7, Moment::ZERO);
    /// let member = Member { id: ReplicaId(1), name: Name::new("e1")?, address: "".into() };
    /// raft.bootstrap(Members { voters: vec![member], learners: vec![] }, Moment::ZERO);
    /// while raft.role() != Role::Leader {
    ///     for write in raft.take().persist { raft.persisted(write.seq, Moment::ZERO); }
    /// }
    /// # Ok::<(), yuccalink_state::id::BadName>(())
    /// ```
    pub fn new(id: ReplicaId, restored: Restored, seed: u64, now: Moment) -> Self {
        let Restored { hard, snapshot, entries } = restored;
        let commit = snapshot.index;
        let mut log = MemoryLog::new(snapshot.index, snapshot.term, entries);
        log.set_base_members(snapshot.members);
        let stable = log.last();
        let mut raft = Self {
            id,
            hard,
            role: Role::Follower,
            leader: None,
            log,
            members: Members::default(),
            members_index: commit,
            commit,
            delivered: commit,
            last_leader_contact: None,
            election_at: now,
            heartbeat_at: now,
            term_start_index: 0,
            elected_at: Moment::ZERO,
            transferring_leadership: false,
            accepts_writes: true,
            votes: BTreeSet::new(),
            pre_votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            incoming: None,
            installing: false,
            seq: 0,
            written: 0,
            hard_seq: 0,
            hard_of_last_write: hard,
            writing: VecDeque::new(),
            stable,
            rng: Pcg64Mcg::seed_from_u64(seed),
            out: Output::default(),
        };
        raft.read_members();
        raft.reset_election_timer(now);
        if raft.members.voters.len() == 1 {
            raft.election_at = now;
        } else if raft.hard.term > 0 {
            // A leader that was heard just before the restart may hold a lease that relies on this
            // replica not voting for another meanwhile.
            raft.last_leader_contact = Some(now);
        }
        raft
    }

    /// Bootstraps a new group with these members. Call it only on an empty replica, after all other
    /// replicas have reported that they are empty too.
    pub fn bootstrap(&mut self, members: Members, now: Moment) {
        if self.log.last() > 0 || self.hard.term > 0 {
            return;
        }
        self.hard.term = 1;
        self.append(vec![Payload::Members(members)]);
        // Its own disk confirms the members while the election runs.
        if self.members.is_voter(self.id) {
            self.start_pre_vote(now);
        }
    }

    /// This replica's identity.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Its current role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The newest term seen.
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// The leader, if one is known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// The newest members in the log, committed or not.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Whether the newest members are committed; a membership change is complete only then.
    pub fn members_committed(&self) -> bool {
        self.members_index <= self.commit
    }

    /// The last committed index.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// The last index in the log.
    pub fn last(&self) -> u64 {
        self.log.last()
    }

    /// Whether nothing was ever written to this replica.
    pub fn is_empty(&self) -> bool {
        self.log.last() == 0 && self.hard == HardState::default()
    }

    /// The term of an entry that is still in memory.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        self.log.term(index)
    }

    /// Whether this replica leads and has committed an entry of its own term, and with it
    /// everything that earlier leaders committed.
    pub fn has_committed_in_term(&self) -> bool {
        self.role == Role::Leader && self.commit >= self.term_start_index
    }

    /// Whether no other replica can have been elected yet: a quorum responded so recently that it
    /// still refuses to vote for another. Leases may be granted only then.
    pub fn has_lease(&self, now: Moment) -> bool {
        if !self.has_committed_in_term() || self.transferring_leadership {
            return false;
        }
        let micros = u64::try_from(ELECTION_MIN.as_micros()).unwrap_or(0);
        let span = Duration::from_micros(micros - micros * 2 * DRIFT_PPM / 1_000_000);
        now < self.quorum_contact(now) + span
    }

    /// The time by which a quorum was last heard: when the newest messages that it answered were
    /// sent.
    fn quorum_contact(&self, now: Moment) -> Moment {
        let heard = |voter: &Member| match voter.id == self.id {
            true => now,
            false => self.progress.get(&voter.id).map_or(Moment::ZERO, |p| p.newest_answered),
        };
        let mut times: Vec<Moment> = self.members.voters.iter().map(heard).collect();
        times.sort_by(|a, b| b.cmp(a));
        times.get(self.members.quorum() - 1).copied().unwrap_or(Moment::ZERO)
    }

    /// Takes the actions that have accumulated since the last call.
    pub fn take(&mut self) -> Output {
        self.deliver_committed();
        std::mem::take(&mut self.out)
    }

    fn deliver_committed(&mut self) {
        if self.installing {
            return;
        }
        while self.delivered < self.commit {
            let Some(entry) = self.log.get(self.delivered + 1) else { return };
            self.delivered += 1;
            self.out.committed.push((self.delivered, entry.clone()));
        }
    }

    // ---- time ----

    /// Performs what is due at `now`.
    pub fn tick(&mut self, now: Moment) {
        if self.role == Role::Leader {
            self.tick_leader(now);
        } else if now >= self.election_at
            && self.members.is_voter(self.id)
            && self.accepts_writes
            && self.written == self.seq
        {
            // While its disk is behind, its own vote would not count in any election.
            self.start_pre_vote(now);
        }
    }

    fn tick_leader(&mut self, now: Moment) {
        // A leader without responses from a quorum steps down: clients must find the new leader,
        // and a partitioned leader must not accept proposals that it cannot commit.
        let heard = self.quorum_contact(now).max(self.elected_at);
        if self.members.voters.len() > 1 && now.since(heard) > ELECTION_MAX * 2 {
            self.become_follower(now, self.hard.term, None);
            return;
        }
        let mut stalled = Vec::new();
        for (id, progress) in &mut self.progress {
            if now.since(progress.last_heard) > RESEND && now.since(progress.restarted_at) > RESEND
            {
                progress.restart_sending(now);
            } else if now.since(progress.offset_changed_at) > RESEND && progress.sends_chunks() {
                progress.offset_changed_at = now;
                stalled.push((*id, progress.offset));
            }
        }
        for (id, offset) in stalled {
            self.send_chunk(now, id, offset);
        }
        if now >= self.heartbeat_at {
            self.heartbeat_at = now + HEARTBEAT_INTERVAL;
            self.send_all(now, true);
        }
    }

    fn reset_election_timer(&mut self, now: Moment) {
        let min = u64::try_from(ELECTION_MIN.as_micros()).unwrap_or(0);
        let max = u64::try_from(ELECTION_MAX.as_micros()).unwrap_or(1);
        self.election_at = now + Duration::from_micros(self.rng.random_range(min..max));
    }

    // ---- messages ----

    /// Handles a message from another replica.
    pub fn step(&mut self, now: Moment, envelope: Envelope) {
        let Envelope { from, to, message } = envelope;
        // Messages carry the identity of the disk that they are for: one for the disk that this
        // disk replaced must not be accepted.
        if to != self.id || from == self.id {
            return;
        }
        let term = message.term();
        match &message {
            Message::PreVote { .. } | Message::PreVoteReply { .. } => {}
            // A vote that the leader itself requested is allowed, because that leader grants no
            // leases any more.
            Message::Vote { handed_over: false, .. } if self.has_recent_leader(now) => return,
            _ if term > self.hard.term => self.become_follower(now, term, None),
            _ => {}
        }
        match message {
            Message::PreVote { term, index, last_term } => {
                let granted = self.accepts_writes
                    && term > self.hard.term
                    && self.is_up_to_date(index, last_term)
                    && !self.has_recent_leader(now);
                let term = if granted { term } else { self.hard.term };
                self.send(from, Message::PreVoteReply { term, granted });
            }
            Message::PreVoteReply { term, granted } => {
                if granted && self.role == Role::PreCandidate && term == self.hard.term + 1 {
                    self.record_pre_vote(now, from);
                } else if term > self.hard.term && !granted {
                    self.become_follower(now, term, None);
                }
            }
            Message::TakeOver { term } => {
                if self.accepts_writes && term == self.hard.term && self.leader == Some(from) {
                    self.campaign(now, true);
                }
            }
            Message::Vote { term, index, last_term, .. } => {
                self.handle_vote_request(now, from, term, index, last_term)
            }
            Message::VoteReply { term, granted } => {
                if granted && self.is_candidate_of_term() && term == self.hard.term {
                    self.record_vote(now, from);
                }
            }
            Message::Append { .. } | Message::Chunk { .. } if term < self.hard.term => {
                // Tells a leader of an earlier term about the newer term.
                let reply = Message::AppendReply {
                    term: self.hard.term,
                    ok: false,
                    index: self.log.last(),
                    echo: Moment::ZERO,
                };
                self.send(from, reply);
            }
            Message::Append { term, prev, prev_term, entries, commit, sent } => {
                self.record_leader_contact(now, from, term);
                self.handle_append(from, (prev, prev_term), &entries, commit, sent);
            }
            Message::AppendReply { term, ok, index, echo } => {
                if term == self.hard.term && self.role == Role::Leader {
                    self.handle_append_reply(now, from, ok, index, echo);
                }
            }
            Message::Chunk { term, meta, offset, total, data, sent } => {
                self.record_leader_contact(now, from, term);
                self.handle_chunk(from, &meta, offset, total, &data, sent);
            }
            Message::ChunkReply { term, index, offset, echo } => {
                if term == self.hard.term && self.role == Role::Leader {
                    self.handle_chunk_reply(now, from, index, offset, echo);
                }
            }
        }
    }

    /// Whether a leader was heard so recently that no other may be elected. Leases depend on this:
    /// otherwise a leader could be replaced while it grants them.
    fn has_recent_leader(&self, now: Moment) -> bool {
        match self.role {
            Role::Leader => now.since(self.quorum_contact(now)) < ELECTION_MIN,
            _ => self.last_leader_contact.is_some_and(|heard| now.since(heard) < ELECTION_MIN),
        }
    }

    fn is_up_to_date(&self, index: u64, last_term: u64) -> bool {
        let (own, own_term) = self.log.tail();
        (last_term, index) >= (own_term, own)
    }

    fn handle_vote_request(
        &mut self,
        now: Moment,
        from: ReplicaId,
        term: u64,
        index: u64,
        last_term: u64,
    ) {
        let free = self.hard.vote.is_none_or(|vote| vote == from);
        let granted = self.accepts_writes
            && term == self.hard.term
            && free
            && self.is_up_to_date(index, last_term);
        if granted && self.hard.vote.is_none() {
            self.hard.vote = Some(from);
            self.write(self.log.last() + 1, Vec::new());
            self.reset_election_timer(now);
        }
        self.send(from, Message::VoteReply { term: self.hard.term, granted });
    }

    fn record_leader_contact(&mut self, now: Moment, from: ReplicaId, term: u64) {
        self.become_follower(now, term, Some(from));
        self.last_leader_contact = Some(now);
    }
}

/// Whether the voters differ by at most one.
fn is_single_change(old: &Members, new: &Members) -> bool {
    let ids = |members: &Members| -> BTreeSet<ReplicaId> {
        members.voters.iter().map(|voter| voter.id).collect()
    };
    ids(old).symmetric_difference(&ids(new)).count() <= 1 && !new.voters.is_empty()
}
