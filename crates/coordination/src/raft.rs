//! Consensus between the voters: the Raft algorithm (Ongaro and Ousterhout,
//! ATC '14; membership and pre-vote after Ongaro's thesis), sans-IO.
//!
//! Feed it messages, ticks, proposals and the disk's confirmations; take its
//! [`Output`] after each and carry it out. Nothing that a message promises is
//! sent before the disk has confirmed it.

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

/// Shortest silence of a leader after which a follower may vote for another.
pub const ELECTION_MIN: Duration = Duration::from_millis(400);
/// Longest silence before a follower asks to be elected.
pub const ELECTION_MAX: Duration = Duration::from_millis(800);
/// How often a leader is heard without news.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Silence after which sending to a follower is begun anew.
pub const RESEND: Duration = Duration::from_millis(300);
/// Most entries in one message.
pub const APPEND_ENTRIES: usize = 512;
/// Most bytes of entries in one message, but always at least one entry.
pub const APPEND_BYTES: usize = 1024 * 1024;
/// Messages with entries under way to one follower.
pub const APPENDS_IN_FLIGHT: usize = 16;
/// Bytes of a snapshot in one message.
pub const CHUNK: usize = 256 * 1024;
/// Largest snapshot that is taken in.
pub const SNAPSHOT_MAX: usize = 1024 * 1024 * 1024;
/// Entries kept behind the snapshot for followers that are a little behind.
pub const RETAINED_LOG_ENTRIES: u64 = 4_096;
/// A learner may vote once it is at most this many entries behind.
pub const CAUGHT_UP: u64 = 64;

/// One disk's identity: drawn when the disk is first used, so that a replaced
/// disk is never mistaken for its former self.
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

/// A replica and where its daemon is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its disk.
    pub id: ReplicaId,
    /// Its daemon.
    pub name: Name,
    /// Where daemons reach it.
    pub address: Box<str>,
}

/// Who votes, and who is catching up.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// They make the quorum.
    pub voters: Vec<Member>,
    /// They only follow.
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

/// What must survive a restart besides the entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The newest term seen.
    pub term: u64,
    /// Who got this replica's vote in that term.
    pub vote: Option<ReplicaId>,
}

/// What a snapshot stands for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// The last entry in it.
    pub index: u64,
    /// That entry's term.
    pub term: u64,
    /// The members after it.
    pub members: Members,
}

/// What to write, in this order, with one sync.
#[derive(Clone, Debug, PartialEq)]
pub struct LogWrite {
    /// Confirmed by [`Raft::persisted`].
    pub seq: u64,
    /// Replaces the one before.
    pub hard: HardState,
    /// Index of the first of `entries`; what is there from it on is replaced.
    pub first: u64,
    /// Possibly none.
    pub entries: Vec<LogEntry>,
}

/// What to do after an event.
#[derive(Clone, Debug, Default)]
pub struct Output {
    /// Write these, one after the other.
    pub persist: Vec<LogWrite>,
    /// Send each once the write with its number is confirmed.
    pub messages: Vec<(u64, Envelope)>,
    /// Apply these, in order.
    pub committed: Vec<(u64, LogEntry)>,
    /// Followers that need a snapshot: answer with [`Raft::offer_snapshot`].
    pub need_snapshot: Vec<ReplicaId>,
    /// Put this snapshot in place of the state and the log, then call
    /// [`Raft::installed`].
    pub install: Option<(SnapshotMeta, Vec<u8>)>,
}

/// What a replica is at present.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    #[default]
    Follower,
    /// Asks whether it would be elected, without disturbing anybody.
    PreCandidate,
    /// Asks to be elected.
    Candidate,
    /// Leads.
    Leader,
}

/// Why something was not proposed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum NotProposed {
    /// this replica does not lead; ask the leader
    NotLeader,
    /// another change of members is under way; try again
    Busy,
}

impl std::error::Error for NotProposed {}

struct Incoming {
    meta: SnapshotMeta,
    bytes: Vec<u8>,
}

/// One replica of the log.
pub struct Raft {
    id: ReplicaId,
    hard: HardState,
    role: Role,
    leader: Option<ReplicaId>,
    log: MemoryLog,
    members: Members,
    members_index: u64,
    commit: u64,
    handed_out: u64,
    leader_heard: Option<Moment>,
    election_at: Moment,
    heartbeat_at: Moment,
    led_since: u64,
    elected_at: Moment,
    /// This leader has asked another to take over, and grants nothing any more.
    handing_over: bool,
    votes: BTreeSet<ReplicaId>,
    progress: BTreeMap<ReplicaId, Progress>,
    incoming: Option<Incoming>,
    installing: bool,
    seq: u64,
    written: u64,
    writing: VecDeque<(u64, u64)>,
    stable: u64,
    rng: Pcg64Mcg,
    out: Output,
}

/// What a replica starts with: what its disk holds.
#[derive(Clone, Debug, Default)]
pub struct Restored {
    /// The newest durable one.
    pub hard: HardState,
    /// Of the snapshot that the state was read from.
    pub snapshot: SnapshotMeta,
    /// The entries after it.
    pub entries: Vec<LogEntry>,
}

impl Raft {
    /// A replica as its disk remembers it. `seed` decides its election times.
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
            handed_out: commit,
            leader_heard: None,
            election_at: now,
            heartbeat_at: now,
            led_since: 0,
            elected_at: Moment::ZERO,
            handing_over: false,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            incoming: None,
            installing: false,
            seq: 0,
            written: 0,
            writing: VecDeque::new(),
            stable,
            rng: Pcg64Mcg::seed_from_u64(seed),
            out: Output::default(),
        };
        raft.read_members();
        raft.rest(now);
        if raft.members.voters.len() == 1 {
            raft.election_at = now;
        } else if raft.hard.term > 0 {
            // A leader that was heard just before the restart may hold a lease on
            // the promise that this replica votes for nobody else meanwhile.
            raft.leader_heard = Some(now);
        }
        raft
    }

    /// Founds a new system with these members. Only for a replica that has
    /// nothing, after every other one has said that it has nothing either.
    pub fn bootstrap(&mut self, members: Members, now: Moment) {
        if self.log.last() > 0 || self.hard.term > 0 {
            return;
        }
        self.hard.term = 1;
        self.append(vec![Payload::Members(members)]);
        self.election_at = now;
        self.tick(now);
    }

    /// This replica's identity.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// What it is at present.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The newest term seen.
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// Who leads, as far as is known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// The newest members, committed or not.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Whether the newest members are committed: only then is a repair done.
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

    /// Whether nothing was ever written here.
    pub fn is_empty(&self) -> bool {
        self.log.last() == 0 && self.hard == HardState::default()
    }

    /// The term of an entry that is still in memory.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        self.log.term(index)
    }

    /// Whether this replica leads and has applied everything that earlier
    /// leaders committed.
    pub fn has_committed_in_term(&self) -> bool {
        self.role == Role::Leader && self.commit >= self.led_since
    }

    /// Whether no other replica can have been elected yet: a quorum was heard so
    /// lately that it still refuses to vote. Only then may leases be granted.
    pub fn has_lease(&self, now: Moment) -> bool {
        if !self.has_committed_in_term() || self.handing_over {
            return false;
        }
        let micros = u64::try_from(ELECTION_MIN.as_micros()).unwrap_or(0);
        let span = Duration::from_micros(micros - micros * 2 * DRIFT_PPM / 1_000_000);
        now < self.quorum_heard(now) + span
    }

    /// When the quorum's last answered messages were sent.
    fn quorum_heard(&self, now: Moment) -> Moment {
        let heard = |voter: &Member| match voter.id == self.id {
            true => now,
            false => self.progress.get(&voter.id).map_or(Moment::ZERO, |p| p.echoed),
        };
        let mut times: Vec<Moment> = self.members.voters.iter().map(heard).collect();
        times.sort_by(|a, b| b.cmp(a));
        times.get(self.members.quorum() - 1).copied().unwrap_or(Moment::ZERO)
    }

    /// Takes what is to be done since the last call.
    pub fn take(&mut self) -> Output {
        self.hand_out();
        std::mem::take(&mut self.out)
    }

    fn hand_out(&mut self) {
        if self.installing {
            return;
        }
        while self.handed_out < self.commit {
            let Some(entry) = self.log.get(self.handed_out + 1) else { return };
            self.handed_out += 1;
            self.out.committed.push((self.handed_out, entry.clone()));
        }
    }

    // ---- time ----

    /// Does what is due at `now`.
    pub fn tick(&mut self, now: Moment) {
        if self.role == Role::Leader {
            self.lead(now);
        } else if now >= self.election_at && self.members.is_voter(self.id) {
            self.ask_beforehand(now);
        }
    }

    fn lead(&mut self, now: Moment) {
        // A leader that no quorum hears steps down: its callers must find the
        // other one, and a cut-off leader must not collect what it cannot commit.
        let heard = self.quorum_heard(now).max(self.elected_at);
        if self.members.voters.len() > 1 && now.since(heard) > ELECTION_MAX * 2 {
            self.follow(now, self.hard.term, None);
            return;
        }
        let mut stalled = Vec::new();
        for (id, progress) in &mut self.progress {
            if now.since(progress.last_heard) > RESEND && now.since(progress.retried) > RESEND {
                progress.start_anew(now);
            } else if now.since(progress.moved) > RESEND && progress.sends_chunks() {
                progress.moved = now;
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

    fn rest(&mut self, now: Moment) {
        let min = u64::try_from(ELECTION_MIN.as_micros()).unwrap_or(0);
        let max = u64::try_from(ELECTION_MAX.as_micros()).unwrap_or(1);
        self.election_at = now + Duration::from_micros(self.rng.random_range(min..max));
    }

    // ---- messages ----

    /// Takes in a message of another replica.
    pub fn step(&mut self, now: Moment, envelope: Envelope) {
        let Envelope { from, to, message } = envelope;
        // Messages name the disk they are for: one for the disk that this one
        // replaced must not be taken as its own.
        if to != self.id || from == self.id {
            return;
        }
        let term = message.term();
        match &message {
            Message::PreVote { .. } | Message::PreVoteReply { .. } => {}
            // The leader itself asked for this election, and grants nothing any more.
            Message::Vote { handed_over: false, .. } if self.hears_leader(now) => return,
            _ if term > self.hard.term => self.follow(now, term, None),
            _ => {}
        }
        match message {
            Message::PreVote { term, index, last_term } => {
                let granted = term > self.hard.term
                    && self.is_up_to_date(index, last_term)
                    && !self.hears_leader(now);
                let term = if granted { term } else { self.hard.term };
                self.send(from, Message::PreVoteReply { term, granted });
            }
            Message::PreVoteReply { term, granted } => {
                if granted && self.role == Role::PreCandidate && term == self.hard.term + 1 {
                    self.vote_came(now, from);
                } else if term > self.hard.term && !granted {
                    self.follow(now, term, None);
                }
            }
            Message::TakeOver { term } => {
                if term == self.hard.term && self.leader == Some(from) {
                    self.campaign(now, true);
                }
            }
            Message::Vote { term, index, last_term, .. } => {
                self.asked(now, from, term, index, last_term)
            }
            Message::VoteReply { term, granted } => {
                if granted && self.role == Role::Candidate && term == self.hard.term {
                    self.vote_came(now, from);
                }
            }
            Message::Append { .. } | Message::Chunk { .. } if term < self.hard.term => {
                // Tells a leader of the past that its time is over.
                let reply = Message::AppendReply {
                    term: self.hard.term,
                    ok: false,
                    index: self.log.last(),
                    echo: Moment::ZERO,
                };
                self.send(from, reply);
            }
            Message::Append { term, prev, prev_term, entries, commit, sent } => {
                self.hear_leader(now, from, term);
                self.take_entries(from, (prev, prev_term), &entries, commit, sent);
            }
            Message::AppendReply { term, ok, index, echo } => {
                if term == self.hard.term && self.role == Role::Leader {
                    self.append_answered(now, from, ok, index, echo);
                }
            }
            Message::Chunk { term, meta, offset, total, data, sent } => {
                self.hear_leader(now, from, term);
                self.take_chunk(from, &meta, offset, total, &data, sent);
            }
            Message::ChunkReply { term, index, offset, echo } => {
                if term == self.hard.term && self.role == Role::Leader {
                    self.chunk_answered(now, from, index, offset, echo);
                }
            }
        }
    }

    /// Whether a leader was heard so lately that no other may be elected. Leases
    /// rest on this: without it a leader could be replaced while it grants them.
    fn hears_leader(&self, now: Moment) -> bool {
        match self.role {
            Role::Leader => now.since(self.quorum_heard(now)) < ELECTION_MIN,
            _ => self.leader_heard.is_some_and(|heard| now.since(heard) < ELECTION_MIN),
        }
    }

    fn is_up_to_date(&self, index: u64, last_term: u64) -> bool {
        let (own, own_term) = self.log.tail();
        (last_term, index) >= (own_term, own)
    }

    fn asked(&mut self, now: Moment, from: ReplicaId, term: u64, index: u64, last_term: u64) {
        let free = self.hard.vote.is_none_or(|vote| vote == from);
        let granted = term == self.hard.term && free && self.is_up_to_date(index, last_term);
        if granted && self.hard.vote.is_none() {
            self.hard.vote = Some(from);
            self.write(self.log.last() + 1, Vec::new());
            self.rest(now);
        }
        self.send(from, Message::VoteReply { term: self.hard.term, granted });
    }

    fn hear_leader(&mut self, now: Moment, from: ReplicaId, term: u64) {
        self.follow(now, term, Some(from));
        self.leader_heard = Some(now);
    }
}

/// Whether the voters differ by one at most.
fn one_step(old: &Members, new: &Members) -> bool {
    let ids = |members: &Members| -> BTreeSet<ReplicaId> {
        members.voters.iter().map(|voter| voter.id).collect()
    };
    ids(old).symmetric_difference(&ids(new)).count() <= 1 && !new.voters.is_empty()
}
