//! Consensus between the voters: the Raft algorithm (Ongaro and Ousterhout,
//! ATC '14; membership and pre-vote after Ongaro's thesis), sans-IO.
//!
//! Feed it messages, ticks, proposals and the disk's confirmations; take its
//! [`Output`] after each and carry it out. Nothing that a message promises is
//! sent before the disk has confirmed it.

mod log;
mod message;
mod progress;

pub use log::{Entry, Payload};
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
pub const HEARTBEAT: Duration = Duration::from_millis(100);
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
pub const KEPT_BEHIND: u64 = 4_096;
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
pub struct Persist {
    /// Confirmed by [`Raft::persisted`].
    pub seq: u64,
    /// Replaces the one before.
    pub hard: HardState,
    /// Index of the first of `entries`; what is there from it on is replaced.
    pub first: u64,
    /// Possibly none.
    pub entries: Vec<Entry>,
}

/// What to do after an event.
#[derive(Clone, Debug, Default)]
pub struct Output {
    /// Write these, one after the other.
    pub persist: Vec<Persist>,
    /// Send each once the write with its number is confirmed.
    pub messages: Vec<(u64, Envelope)>,
    /// Apply these, in order.
    pub committed: Vec<(u64, Entry)>,
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
    members_at: u64,
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
    pub entries: Vec<Entry>,
}

impl Raft {
    /// A replica as its disk remembers it. `seed` decides its election times.
    ///
    /// ```
    /// use yuccalink_coordination::{Moment, raft::*};
    /// use yuccalink_state::id::Name;
    /// let mut raft = Raft::new(ReplicaId(1), Restored::default(), 7, Moment::ZERO);
    /// let member = Member { id: ReplicaId(1), name: Name::new("e1")?, address: "".into() };
    /// raft.found(Members { voters: vec![member], learners: vec![] }, Moment::ZERO);
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
            members_at: commit,
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
    pub fn found(&mut self, members: Members, now: Moment) {
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
        self.members_at <= self.commit
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
    pub fn is_settled(&self) -> bool {
        self.role == Role::Leader && self.commit >= self.led_since
    }

    /// Whether no other replica can have been elected yet: a quorum was heard so
    /// lately that it still refuses to vote. Only then may leases be granted.
    pub fn has_lease(&self, now: Moment) -> bool {
        if !self.is_settled() || self.handing_over {
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
            if now.since(progress.heard) > RESEND && now.since(progress.retried) > RESEND {
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
            self.heartbeat_at = now + HEARTBEAT;
            self.send_all(now, true);
        }
    }

    fn rest(&mut self, now: Moment) {
        let min = u64::try_from(ELECTION_MIN.as_micros()).unwrap_or(0);
        let max = u64::try_from(ELECTION_MAX.as_micros()).unwrap_or(1);
        self.election_at = now + Duration::from_micros(self.rng.random_range(min..max));
    }

    // ---- elections ----

    /// Asks whether it would be elected. A replica that was cut off would
    /// otherwise come back with a high term and unseat a good leader.
    fn ask_beforehand(&mut self, now: Moment) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes = BTreeSet::from([self.id]);
        self.rest(now);
        if self.votes.len() >= self.members.quorum() {
            return self.campaign(now, false);
        }
        let (index, last_term) = self.log.tail();
        let term = self.hard.term + 1;
        self.ask_voters(&Message::PreVote { term, index, last_term });
    }

    fn campaign(&mut self, now: Moment, handed_over: bool) {
        self.role = Role::Candidate;
        self.hard = HardState { term: self.hard.term + 1, vote: Some(self.id) };
        self.leader = None;
        self.votes = BTreeSet::new();
        self.rest(now);
        self.write(self.log.last() + 1, Vec::new());
        // Its own vote counts once it is on the disk, like everybody else's.
        let (index, last_term) = self.log.tail();
        let term = self.hard.term;
        self.ask_voters(&Message::Vote { term, index, last_term, handed_over });
    }

    fn ask_voters(&mut self, message: &Message) {
        let others: Vec<ReplicaId> =
            self.members.voters.iter().map(|v| v.id).filter(|id| *id != self.id).collect();
        for to in others {
            self.send(to, message.clone());
        }
    }

    fn vote_came(&mut self, now: Moment, from: ReplicaId) {
        if self.members.is_voter(from) {
            self.votes.insert(from);
        }
        if self.votes.len() < self.members.quorum() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.campaign(now, false),
            Role::Candidate => self.become_leader(now),
            Role::Follower | Role::Leader => {}
        }
    }

    fn become_leader(&mut self, now: Moment) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.elected_at = now;
        self.handing_over = false;
        self.progress.clear();
        self.heartbeat_at = now + HEARTBEAT;
        // An entry of its own term commits all earlier ones with it; entries of
        // earlier terms must not be counted on their own (Raft, figure 8).
        self.append(vec![Payload::Empty]);
        self.led_since = self.log.last();
        self.meet_members(now);
        self.send_all(now, false);
        self.advance();
    }

    fn meet_members(&mut self, now: Moment) {
        let ids: BTreeSet<ReplicaId> =
            self.members.all().map(|m| m.id).filter(|id| *id != self.id).collect();
        self.progress.retain(|id, _| ids.contains(id));
        let next = self.log.last();
        for id in ids {
            self.progress.entry(id).or_insert_with(|| Progress::new(next.max(1), now));
        }
    }

    fn follow(&mut self, now: Moment, term: u64, leader: Option<ReplicaId>) {
        if term > self.hard.term {
            self.hard = HardState { term, vote: None };
            self.write(self.log.last() + 1, Vec::new());
        }
        if self.role == Role::Leader {
            self.progress.clear();
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.rest(now);
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

    // ---- following ----

    fn take_entries(
        &mut self,
        from: ReplicaId,
        (prev, prev_term): (u64, u64),
        entries: &[Entry],
        commit: u64,
        sent: Moment,
    ) {
        let reply = |raft: &Self, ok, index| Message::AppendReply {
            term: raft.hard.term,
            ok,
            index,
            echo: sent,
        };
        if self.installing {
            return;
        }
        let known = prev <= self.log.base() || self.log.term(prev) == Some(prev_term);
        if !known {
            let hint = self.log.before_conflict(prev);
            let message = reply(self, false, hint);
            return self.send(from, message);
        }
        let last = prev + entries.len() as u64;
        let mut index = prev;
        for (at, entry) in entries.iter().enumerate() {
            index += 1;
            if index <= self.log.base() || self.log.term(index) == Some(entry.term) {
                continue;
            }
            // The first entry that differs: this and all after it were never
            // committed, and are replaced by the leader's.
            self.replace(index, entries[at..].to_vec());
            break;
        }
        self.commit = self.commit.max(commit.min(last));
        let message = reply(self, true, last);
        self.send(from, message);
    }

    fn replace(&mut self, first: u64, entries: Vec<Entry>) {
        debug_assert!(first > self.commit, "a committed entry would be replaced");
        self.log.truncate(first);
        self.stable = self.stable.min(first - 1);
        for (_, last) in &mut self.writing {
            *last = (*last).min(first - 1);
        }
        if self.members_at >= first {
            self.read_members();
        }
        for entry in &entries {
            self.push(entry.clone());
        }
        self.write(first, entries);
    }

    fn push(&mut self, entry: Entry) {
        self.log.push(entry);
        let index = self.log.last();
        if let Some(Entry { payload: Payload::Members(members), .. }) = self.log.get(index) {
            self.members = members.clone();
            self.members_at = index;
        }
    }

    /// Finds the newest members in the log.
    fn read_members(&mut self) {
        self.members = self.log.base_members().clone();
        self.members_at = self.log.base();
        for index in self.log.base() + 1..=self.log.last() {
            if let Some(Entry { payload: Payload::Members(members), .. }) = self.log.get(index) {
                self.members = members.clone();
                self.members_at = index;
            }
        }
    }

    fn take_chunk(
        &mut self,
        from: ReplicaId,
        meta: &SnapshotMeta,
        offset: u64,
        total: u64,
        data: &[u8],
        sent: Moment,
    ) {
        let term = self.hard.term;
        if self.installing || total > SNAPSHOT_MAX as u64 {
            return;
        }
        if meta.index <= self.commit {
            // It has caught up by entries meanwhile.
            let ok = Message::AppendReply { term, ok: true, index: self.commit, echo: sent };
            return self.send(from, ok);
        }
        let fresh = self.incoming.as_ref().is_none_or(|incoming| incoming.meta != *meta);
        if fresh {
            self.incoming = Some(Incoming { meta: meta.clone(), bytes: Vec::new() });
        }
        let Some(incoming) = &mut self.incoming else { return };
        let have = incoming.bytes.len() as u64;
        if offset == have {
            incoming.bytes.extend_from_slice(data);
        }
        let have = incoming.bytes.len() as u64;
        if have >= total {
            if let Some(Incoming { meta, bytes }) = self.incoming.take() {
                self.installing = true;
                self.out.install = Some((meta, bytes));
            }
            return;
        }
        self.send(from, Message::ChunkReply { term, index: meta.index, offset: have, echo: sent });
    }

    /// The snapshot of the last [`Output::install`] is durable and in place, or
    /// `None` when it could not be read.
    pub fn installed(&mut self, meta: Option<SnapshotMeta>) {
        self.installing = false;
        let Some(meta) = meta else { return };
        if meta.index <= self.commit {
            return;
        }
        if self.log.term(meta.index) == Some(meta.term) {
            // What follows the snapshot here was acknowledged and must stay.
            self.log.compact(meta.index);
        } else {
            self.log = MemoryLog::new(meta.index, meta.term, Vec::new());
            self.log.set_base_members(meta.members);
            self.stable = meta.index;
            self.writing.clear();
            self.write(meta.index + 1, Vec::new());
        }
        self.read_members();
        self.commit = meta.index;
        self.handed_out = meta.index;
        if let Some(leader) = self.leader {
            let term = self.hard.term;
            let done =
                Message::AppendReply { term, ok: true, index: meta.index, echo: Moment::ZERO };
            self.send(leader, done);
        }
    }

    // ---- leading ----

    /// Proposes commands; returns the index of the first.
    ///
    /// # Errors
    /// [`NotProposed::NotLeader`].
    pub fn propose(&mut self, now: Moment, commands: Vec<Arc<[u8]>>) -> Result<u64, NotProposed> {
        if !self.is_settled() {
            return Err(NotProposed::NotLeader);
        }
        let first = self.log.last() + 1;
        self.append(commands.into_iter().map(Payload::Command).collect());
        self.send_all(now, false);
        Ok(first)
    }

    /// Proposes the next members, which may differ by one voter at most.
    ///
    /// # Errors
    /// [`NotProposed::Busy`] while an earlier change is not committed.
    pub fn change_members(&mut self, now: Moment, members: Members) -> Result<(), NotProposed> {
        if !self.is_settled() {
            return Err(NotProposed::NotLeader);
        }
        // Two changes at once could give two disjoint quorums.
        if self.members_at > self.commit || !one_step(&self.members, &members) {
            return Err(NotProposed::Busy);
        }
        self.append(vec![Payload::Members(members)]);
        self.meet_members(now);
        self.send_all(now, false);
        self.advance();
        Ok(())
    }

    /// Asks the voter that is furthest to take over, before a planned stop: the
    /// others need not wait until they miss this leader. False when none can.
    /// From then on it grants nothing until it is elected again: the election it
    /// asked for, which may come late, does not wait for leases.
    pub fn hand_over(&mut self) -> bool {
        if !self.is_settled() {
            return false;
        }
        let last = self.log.last();
        let ready = |(id, progress): &(&ReplicaId, &Progress)| {
            progress.matched == last && self.members.is_voter(**id)
        };
        let best = self.progress.iter().filter(ready).max_by_key(|(_, p)| p.heard);
        let Some((to, _)) = best else { return false };
        let to = *to;
        self.handing_over = true;
        self.send_now(to, Message::TakeOver { term: self.hard.term });
        true
    }

    /// Whether a learner has all but the newest entries.
    pub fn is_caught_up(&self, id: ReplicaId) -> bool {
        self.progress.get(&id).is_some_and(|p| p.matched + CAUGHT_UP >= self.log.last())
    }

    /// When a member was last heard by this leader.
    pub fn heard(&self, id: ReplicaId) -> Option<Moment> {
        self.progress.get(&id).map(|progress| progress.heard)
    }

    fn append(&mut self, payloads: Vec<Payload>) {
        let first = self.log.last() + 1;
        let term = self.hard.term;
        let entries: Vec<Entry> =
            payloads.into_iter().map(|payload| Entry { term, payload }).collect();
        for entry in &entries {
            self.push(entry.clone());
        }
        self.write(first, entries);
    }

    fn write(&mut self, first: u64, entries: Vec<Entry>) {
        self.seq += 1;
        self.writing.push_back((self.seq, self.log.last()));
        self.out.persist.push(Persist { seq: self.seq, hard: self.hard, first, entries });
    }

    /// The disk has confirmed all writes up to `seq`.
    pub fn persisted(&mut self, seq: u64, now: Moment) {
        self.written = self.written.max(seq);
        while let Some((at, last)) = self.writing.front().copied() {
            if at > seq {
                break;
            }
            self.writing.pop_front();
            self.stable = self.stable.max(last).min(self.log.last());
        }
        match self.role {
            Role::Candidate if self.written == self.seq => self.vote_came(now, self.id),
            Role::Leader => self.advance(),
            _ => {}
        }
    }

    fn send(&mut self, to: ReplicaId, message: Message) {
        let envelope = Envelope { from: self.id, to, message };
        // Whatever this replica tells rests on what it has decided to write.
        self.out.messages.push((self.seq, envelope));
    }

    /// Messages that promise nothing of this replica's own disk.
    fn send_now(&mut self, to: ReplicaId, message: Message) {
        let envelope = Envelope { from: self.id, to, message };
        self.out.messages.push((0, envelope));
    }

    fn send_all(&mut self, now: Moment, heartbeat: bool) {
        let ids: Vec<ReplicaId> = self.progress.keys().copied().collect();
        for id in ids {
            self.send_to(now, id, heartbeat);
        }
    }

    fn send_to(&mut self, now: Moment, to: ReplicaId, heartbeat: bool) {
        let Some(progress) = self.progress.get_mut(&to) else { return };
        match &mut progress.sending {
            Sending::Snapshot { asked: false, .. } => {
                self.out.need_snapshot.push(to);
                if let Sending::Snapshot { asked, .. } = &mut progress.sending {
                    *asked = true;
                }
                self.beat(now, to);
            }
            Sending::Snapshot { .. } => {
                if heartbeat {
                    self.beat(now, to);
                }
            }
            Sending::Entries => self.send_entries(now, to, heartbeat),
        }
    }

    /// Keeps a follower from electing another while it takes in a snapshot.
    fn beat(&mut self, now: Moment, to: ReplicaId) {
        let base = self.log.base();
        let message = Message::Append {
            term: self.hard.term,
            prev: base,
            prev_term: self.log.term(base).unwrap_or(0),
            entries: Vec::new(),
            commit: 0,
            sent: now,
        };
        self.send_now(to, message);
    }

    fn send_entries(&mut self, now: Moment, to: ReplicaId, heartbeat: bool) {
        let mut sent_any = false;
        loop {
            let Some(progress) = self.progress.get_mut(&to) else { return };
            let prev = progress.next - 1;
            let Some(prev_term) = self.log.term(prev) else {
                progress.sending = Sending::Snapshot { asked: true, bytes: None };
                self.out.need_snapshot.push(to);
                return self.beat(now, to);
            };
            let full = progress.in_flight >= progress.window();
            let more = progress.next <= self.log.last() && !full;
            if !more && (sent_any || !heartbeat) {
                return;
            }
            let entries = if more { self.log.slice(progress.next) } else { Vec::new() };
            if !entries.is_empty() {
                progress.in_flight += 1;
                progress.next += entries.len() as u64;
            }
            sent_any = true;
            let message = Message::Append {
                term: self.hard.term,
                prev,
                prev_term,
                entries,
                commit: self.commit,
                sent: now,
            };
            self.send_now(to, message);
        }
    }

    fn append_answered(
        &mut self,
        now: Moment,
        from: ReplicaId,
        ok: bool,
        index: u64,
        echo: Moment,
    ) {
        let last = self.log.last();
        let Some(progress) = self.progress.get_mut(&from) else { return };
        progress.hear(now, echo);
        if ok {
            let index = index.min(last);
            progress.reached(index);
            if let Sending::Snapshot { bytes, .. } = &progress.sending {
                let offered = bytes.as_ref().map(|(meta, _)| meta.index);
                if index >= self.log.base() {
                    progress.sending = Sending::Entries;
                    progress.next = index + 1;
                } else if offered.is_some_and(|offered| index >= offered) {
                    // The entries after it were forgotten while it was on its way.
                    progress.sending = Sending::Snapshot { asked: false, bytes: None };
                }
            }
            self.advance();
        } else {
            progress.refused(index);
        }
        self.send_to(now, from, false);
    }

    fn advance(&mut self) {
        let reached = |voter: &Member| match voter.id == self.id {
            true => self.stable,
            false => self.progress.get(&voter.id).map_or(0, |p| p.matched),
        };
        let mut all: Vec<u64> = self.members.voters.iter().map(reached).collect();
        all.sort_by(|a, b| b.cmp(a));
        let Some(index) = all.get(self.members.quorum() - 1).copied() else { return };
        if index > self.commit && self.log.term(index) == Some(self.hard.term) {
            self.commit = index;
        }
    }

    // ---- snapshots ----

    /// Answers [`Output::need_snapshot`] with the state after an applied entry.
    pub fn offer_snapshot(
        &mut self,
        now: Moment,
        to: ReplicaId,
        meta: SnapshotMeta,
        bytes: Arc<[u8]>,
    ) {
        if let Some(progress) = self.progress.get_mut(&to) {
            progress.sending =
                Sending::Snapshot { asked: true, bytes: Some((Box::new(meta), bytes)) };
            progress.offset = 0;
            progress.moved = now;
            self.send_chunk(now, to, 0);
        }
    }

    /// Members after the applied entry `index`, for a snapshot of it.
    pub fn members_at(&self, index: u64) -> Members {
        self.log.members_at(index)
    }

    /// Forgets entries that a durable snapshot of `index` contains, but the last
    /// `keep`, for followers that are a little behind; see [`KEPT_BEHIND`].
    pub fn compact(&mut self, index: u64, keep: u64) {
        let base = index.min(self.handed_out).saturating_sub(keep);
        self.log.compact(base);
    }

    fn send_chunk(&mut self, now: Moment, to: ReplicaId, offset: u64) {
        let Some(progress) = self.progress.get(&to) else { return };
        let Sending::Snapshot { bytes: Some((meta, bytes)), .. } = &progress.sending else {
            return;
        };
        let start = usize::try_from(offset).unwrap_or(usize::MAX).min(bytes.len());
        let end = (start + CHUNK).min(bytes.len());
        let message = Message::Chunk {
            term: self.hard.term,
            meta: (**meta).clone(),
            offset,
            total: bytes.len() as u64,
            data: bytes[start..end].into(),
            sent: now,
        };
        self.send_now(to, message);
    }

    fn chunk_answered(
        &mut self,
        now: Moment,
        from: ReplicaId,
        index: u64,
        offset: u64,
        echo: Moment,
    ) {
        let Some(progress) = self.progress.get_mut(&from) else { return };
        progress.hear(now, echo);
        let same = match &progress.sending {
            Sending::Snapshot { bytes: Some((meta, _)), .. } => meta.index == index,
            _ => false,
        };
        if same && offset > progress.offset {
            progress.offset = offset;
            progress.moved = now;
            self.send_chunk(now, from, offset);
        }
    }
}

/// Whether the voters differ by one at most.
fn one_step(old: &Members, new: &Members) -> bool {
    let ids = |members: &Members| -> BTreeSet<ReplicaId> {
        members.voters.iter().map(|voter| voter.id).collect()
    };
    ids(old).symmetric_difference(&ids(new)).count() <= 1 && !new.voters.is_empty()
}
