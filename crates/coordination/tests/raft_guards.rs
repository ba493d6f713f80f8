//! Tests rules of the Raft implementation, one at a time, that random histories seldom exercise.

#[path = "raft_guards/sync.rs"]
mod sync;

use std::sync::Arc;
use std::time::Duration;
use sync::sync_and_take_messages;
use yuccalink_coordination::Moment;
use yuccalink_coordination::raft::{
    Envelope, HardState, LogEntry, Member, Members, Message, NotProposed, Payload,
    RETAINED_LOG_BYTES, RETAINED_LOG_ENTRIES, Raft, ReplicaId, Restored, Role, SnapshotMeta,
};
use yuccalink_state::id::Name;

const A: ReplicaId = ReplicaId(1);
const B: ReplicaId = ReplicaId(2);
const C: ReplicaId = ReplicaId(3);
const START: Moment = Moment::from_millis(10_000);

fn at(ms: u64) -> Moment {
    START + Duration::from_millis(ms)
}

fn members(ids: &[ReplicaId]) -> Members {
    let member = |id: &ReplicaId| Member {
        id: *id,
        name: Name::new(&format!("e{}", id.0)).expect("a name"),
        address: "".into(),
    };
    Members { voters: ids.iter().map(member).collect(), learners: Vec::new() }
}

fn entry(term: u64, number: u8) -> LogEntry {
    LogEntry { term, payload: Payload::Command(Arc::from([number])) }
}

/// A replica of a group of three whose log holds the members entry followed by entries of these
/// terms.
fn replica(id: ReplicaId, term: u64, terms: &[u64]) -> Raft {
    replica_with_seed(id, term, terms, 7)
}

fn replica_with_seed(id: ReplicaId, term: u64, terms: &[u64], seed: u64) -> Raft {
    let first = LogEntry { term: 1, payload: Payload::Members(members(&[A, B, C])) };
    let rest = terms.iter().zip(1u8..).map(|(term, number)| entry(*term, number));
    let entries = std::iter::once(first).chain(rest).collect();
    let hard = HardState { term, vote: None };
    Raft::new(id, Restored { hard, entries, ..Restored::default() }, seed, START)
}

fn step(raft: &mut Raft, now: Moment, from: ReplicaId, message: Message) -> Vec<Envelope> {
    let to = raft.id();
    raft.step(now, Envelope { from, to, message });
    sync_and_take_messages(raft, now)
}

/// Lets `raft` win an election with the vote of B at `now`, and returns its term.
fn elect(raft: &mut Raft, now: Moment) -> u64 {
    raft.tick(now);
    sync_and_take_messages(raft, now);
    let term = raft.term() + 1;
    step(raft, now, B, Message::PreVoteReply { term, granted: true });
    step(raft, now, B, Message::VoteReply { term, granted: true });
    assert_eq!((raft.role(), raft.term()), (Role::Leader, term));
    term
}

fn heartbeat(term: u64, prev: u64, prev_term: u64, commit: u64) -> Message {
    Message::Append { term, prev, prev_term, entries: Vec::new(), commit, sent: Moment::ZERO }
}

fn vote(term: u64, handed_over: bool) -> Message {
    Message::Vote { term, index: 99, last_term: 99, handed_over }
}

fn granted(sent: &[Envelope]) -> bool {
    sent.iter().any(|e| matches!(e.message, Message::VoteReply { granted: true, .. }))
}

/// A new leader finds an entry of an earlier term on a majority. It must not count as committed
/// yet, because a leader that never had it could still replace it (Raft paper, figure 8).
#[test]
fn entries_of_earlier_terms_are_not_committed_alone() {
    let mut leader = replica(A, 3, &[2]);
    let term = elect(&mut leader, at(900));
    let echo = at(900);
    step(&mut leader, at(901), B, Message::AppendReply { term, ok: true, index: 2, echo });
    assert_eq!(leader.commit(), 0);
    step(&mut leader, at(902), B, Message::AppendReply { term, ok: true, index: 3, echo });
    assert_eq!(leader.commit(), 3);
}

/// A voter in contact with its leader is asked for its vote by another replica. The leader may
/// grant leases that rely on no one else being elected meanwhile.
#[test]
fn a_voter_in_contact_with_its_leader_votes_for_no_other() {
    let mut voter = replica(B, 3, &[]);
    step(&mut voter, at(1000), A, heartbeat(3, 1, 1, 1));
    assert!(!granted(&step(&mut voter, at(1100), C, vote(4, false))));
    assert_eq!(voter.term(), 3, "its term does not change either");
    assert!(granted(&step(&mut voter, at(1450), C, vote(4, false))));
    let mut voter_for_transfer = replica(B, 3, &[]);
    step(&mut voter_for_transfer, at(1000), A, heartbeat(3, 1, 1, 1));
    assert!(
        granted(&step(&mut voter_for_transfer, at(1100), C, vote(4, true))),
        "the leader itself transfers leadership"
    );
}

/// A voter that restarts right after a heartbeat of its leader no longer knows of it. It must
/// still not vote for another replica too early.
#[test]
fn a_restarted_voter_does_not_vote_too_early() {
    let mut voter = replica(B, 3, &[]);
    assert!(!granted(&step(&mut voter, at(100), C, vote(4, false))));
    assert!(granted(&step(&mut voter, at(500), C, vote(4, false))));
}

/// Two membership changes at the same time could form two quorums that do not intersect.
#[test]
fn members_change_one_at_a_time() {
    let mut leader = replica(A, 3, &[]);
    let term = elect(&mut leader, at(900));
    let echo = at(900);
    step(&mut leader, at(901), B, Message::AppendReply { term, ok: true, index: 2, echo });
    let removes_two = leader.change_members(at(902), members(&[A]));
    assert_eq!(removes_two, Err(NotProposed::Busy), "removes two voters at once");
    assert_eq!(leader.change_members(at(902), members(&[A, B])), Ok(()));
    let second_change = leader.change_members(at(903), members(&[A, B, C]));
    assert_eq!(second_change, Err(NotProposed::Busy), "the first change is not committed");
    sync_and_take_messages(&mut leader, at(904));
    step(&mut leader, at(905), B, Message::AppendReply { term, ok: true, index: 3, echo });
    assert_eq!(leader.change_members(at(906), members(&[A, B, C])), Ok(()));
}

/// A leader sends a snapshot to a follower that has acknowledged later entries. If the follower
/// dropped them, a committed entry could be lost.
#[test]
fn a_snapshot_keeps_the_entries_that_follow_it() {
    let mut follower = replica(B, 3, &[2, 2, 2, 2]);
    let meta = SnapshotMeta { index: 3, term: 2, members: members(&[A, B, C]) };
    let chunk = Message::Chunk {
        term: 3,
        meta: meta.clone(),
        offset: 0,
        total: 2,
        data: [1, 2].into(),
        sent: Moment::ZERO,
    };
    follower.step(at(1), Envelope { from: A, to: B, message: chunk });
    assert!(follower.take().install.is_some());
    follower.installed(Some(meta));
    assert_eq!((follower.last(), follower.commit()), (5, 3));
    let other = SnapshotMeta { index: 4, term: 9, members: members(&[A, B, C]) };
    follower.installed(Some(other));
    assert_eq!(follower.last(), 4, "conflicting entries are dropped");
}

/// A follower has an entry that its leader never had. A heartbeat that matches an earlier entry
/// must not commit it.
#[test]
fn only_matching_entries_are_committed() {
    let mut follower = replica(B, 3, &[1, 1]);
    step(&mut follower, at(1), A, heartbeat(3, 2, 1, 3));
    assert_eq!(follower.commit(), 2);
}

/// A new leader does not know which earlier entries are committed. Until an entry of its own
/// term is, it takes no proposals and grants no leases.
#[test]
fn a_new_leader_waits_until_an_entry_of_its_term_is_committed() {
    let mut leader = replica(A, 3, &[]);
    let term = elect(&mut leader, at(900));
    assert!(!leader.has_lease(at(900)));
    assert_eq!(leader.propose(at(900), vec![Arc::from([1])]), Err(NotProposed::NotLeader));
    let echo = at(900);
    step(&mut leader, at(901), B, Message::AppendReply { term, ok: true, index: 2, echo });
    assert!(leader.has_lease(at(902)));
    assert_eq!(leader.propose(at(902), vec![Arc::from([1])]), Ok(3));
    assert!(!leader.has_lease(at(1300)), "no follower has replied since");
}

/// A leader that transfers leadership must grant no more leases, because the election that it
/// requests does not wait for them to expire.
#[test]
fn a_leader_that_transfers_leadership_grants_no_leases() {
    let mut leader = replica(A, 3, &[]);
    let term = elect(&mut leader, at(900));
    let echo = at(900);
    step(&mut leader, at(901), B, Message::AppendReply { term, ok: true, index: 2, echo });
    assert!(leader.has_lease(at(902)));
    assert!(leader.transfer_leadership());
    assert!(!leader.has_lease(at(902)));
    let sent = sync_and_take_messages(&mut leader, at(902));
    assert!(sent.iter().any(|e| e.to == B && matches!(e.message, Message::TakeOver { .. })));
}

/// A message arrives for a disk that has since been replaced. The new disk does not know what
/// the old one promised, so it must not reply for it.
#[test]
fn a_message_for_another_disk_is_dropped() {
    let mut replaced = Raft::new(ReplicaId(9), Restored::default(), 7, START);
    replaced.step(at(1), Envelope { from: A, to: B, message: vote(4, false) });
    assert!(replaced.take().messages.is_empty());
    assert!(replaced.is_empty());
}

/// While a snapshot is on its way to a follower, the leader compacts the entries after it. The
/// follower then needs a newer snapshot. If it were offered the same one forever, it would never
/// catch up, and the loss of another voter would stop all commits.
#[test]
fn an_outdated_snapshot_is_followed_by_a_newer_one() {
    let mut leader = replica(A, 3, &[1, 1, 1, 1]);
    let term = elect(&mut leader, at(900));
    let echo = at(900);
    step(&mut leader, at(901), B, Message::AppendReply { term, ok: true, index: 6, echo });
    assert_eq!(leader.commit(), 6);
    leader.compact(6, 0);
    let refused = Message::AppendReply { term, ok: false, index: 0, echo };
    leader.step(at(902), Envelope { from: C, to: A, message: refused });
    assert_eq!(leader.take().need_snapshot, [C]);
    let old = SnapshotMeta { index: 3, term: 1, members: members(&[A, B, C]) };
    leader.offer_snapshot(at(903), C, old, Arc::from([1, 2]));
    let has_old_snapshot = Message::AppendReply { term, ok: true, index: 3, echo };
    leader.step(at(904), Envelope { from: C, to: A, message: has_old_snapshot });
    assert_eq!(leader.take().need_snapshot, [C]);
}

/// A granted vote or an acknowledged entry must not leave a replica before it is on disk, or the
/// replica would not know of it after a crash.
#[test]
fn replies_wait_for_the_disk() {
    let mut voter = replica(B, 3, &[]);
    voter.step(at(900), Envelope { from: C, to: B, message: vote(4, false) });
    let output = voter.take();
    let (seq, reply) = output.messages.last().expect("a reply");
    assert!(matches!(reply.message, Message::VoteReply { granted: true, .. }));
    assert_eq!(output.persist.last().expect("a write").seq, *seq);
    assert_eq!(output.persist.last().expect("a write").hard.vote, Some(C));

    let mut follower = replica(B, 3, &[]);
    let append = Message::Append {
        term: 3,
        prev: 1,
        prev_term: 1,
        entries: vec![entry(3, 7)],
        commit: 0,
        sent: Moment::ZERO,
    };
    follower.step(at(1), Envelope { from: A, to: B, message: append });
    let output = follower.take();
    let (seq, reply) = output.messages.last().expect("a reply");
    assert!(matches!(reply.message, Message::AppendReply { ok: true, index: 2, .. }));
    assert_eq!(output.persist.last().expect("a write").seq, *seq);
}

/// A sync at a follower takes seconds. If its answers to heartbeats waited for that, the leader
/// would lose its lease although it is heard, and all entries would stop serving.
#[test]
fn a_stalled_sync_does_not_silence_a_follower() {
    let sent = at(1);
    let append = |prev, entries| Message::Append {
        term: 3,
        prev,
        prev_term: if prev == 1 { 1 } else { 3 },
        entries,
        commit: 0,
        sent,
    };
    let mut follower = replica(B, 3, &[]);
    let mut reply_to = |message| {
        follower.step(sent, Envelope { from: A, to: B, message });
        let output = follower.take();
        let (seq, reply) = output.messages.last().expect("a reply").clone();
        (seq, reply.message, output.persist.last().map(|write| write.seq))
    };
    let (waits_for, reply, write) = reply_to(append(1, vec![entry(3, 7)]));
    assert!(matches!(reply, Message::AppendReply { ok: true, index: 2, .. }));
    assert_eq!(Some(waits_for), write);
    let (waits_for, reply, _) = reply_to(append(2, Vec::new()));
    let unsynced =
        matches!(reply, Message::AppendReply { ok: true, index: 1, echo, .. } if echo == sent);
    assert!(unsynced, "only what is on the disk counts: {reply:?}");
    assert_eq!(waits_for, 0, "it waits for no write");
    let (waits_for, _, write) = reply_to(heartbeat(4, 2, 3, 0));
    assert_eq!(Some(waits_for), write, "the new term is on the disk first");
}

/// A replica whose disk confirms a write [`SYNC_MS`] after it began.
struct SlowDisk {
    raft: Raft,
    queued: Vec<u64>,
    syncing: Option<(u64, u64)>,
    synced: u64,
    held: Vec<(u64, Envelope)>,
}

const SYNC_MS: u64 = 2_500;

impl SlowDisk {
    fn new(id: ReplicaId, seed: u64) -> Self {
        let raft = replica_with_seed(id, 3, &[], seed);
        Self { raft, queued: Vec::new(), syncing: None, synced: 0, held: Vec::new() }
    }

    /// Performs what is due at `ms` and returns the messages that no longer wait for the disk.
    fn run(&mut self, ms: u64) -> Vec<Envelope> {
        if let Some((seq, _)) = self.syncing.take_if(|(_, done)| ms >= *done) {
            self.synced = seq;
            self.raft.persisted(seq, at(ms));
        }
        self.raft.tick(at(ms));
        let output = self.raft.take();
        self.queued.extend(output.persist.iter().map(|write| write.seq));
        if self.syncing.is_none() {
            self.syncing = self.queued.drain(..).next_back().map(|seq| (seq, ms + SYNC_MS));
        }
        self.held.extend(output.messages);
        let ready = self.held.extract_if(.., |(seq, _)| *seq <= self.synced);
        ready.map(|(_, envelope)| envelope).collect()
    }
}

/// One of three voters is lost, and each sync of the others takes longer than the longest
/// election timeout. If every timeout started another term, no vote would arrive in its own.
#[test]
fn an_election_ends_although_syncs_take_longer_than_its_timeout() {
    for seed in 0..50 {
        let mut replicas = [SlowDisk::new(A, seed), SlowDisk::new(B, 1000 + seed)];
        let elected = (0..60_000).step_by(10).any(|ms| {
            let network: Vec<Envelope> =
                replicas.iter_mut().flat_map(|replica| replica.run(ms)).collect();
            for envelope in network {
                if let Some(to) = replicas.iter_mut().find(|r| r.raft.id() == envelope.to) {
                    to.raft.step(at(ms), envelope);
                }
            }
            replicas.iter().any(|replica| replica.raft.has_committed_in_term())
        });
        assert!(elected, "seed {seed}: {:?}", replicas.map(|replica| replica.raft.term()));
    }
}

/// A voter whose disk takes no writes gives a vote that a restart forgets, or stands for election
/// with an own vote that it cannot store.
#[test]
fn a_replica_that_cannot_store_gives_no_vote_and_does_not_stand() {
    let mut voter = replica(B, 3, &[]);
    voter.set_accepts_writes(at(0), false);
    assert!(!granted(&step(&mut voter, at(1450), C, vote(4, false))));
    let pre_vote = Message::PreVote { term: 9, index: 99, last_term: 99 };
    let sent = step(&mut voter, at(1460), C, pre_vote);
    let grants = |e: &Envelope| matches!(e.message, Message::PreVoteReply { granted: true, .. });
    assert!(!sent.iter().any(grants));
    voter.tick(at(9_000));
    assert_eq!(voter.role(), Role::Follower, "its election timer has run out");
    step(&mut voter, at(9_010), A, heartbeat(4, 1, 1, 1));
    step(&mut voter, at(9_020), A, Message::TakeOver { term: 4 });
    assert_eq!(voter.role(), Role::Follower, "the leader asked it to take over");
    voter.set_accepts_writes(at(9_030), true);
    assert!(granted(&step(&mut voter, at(9_500), C, vote(5, false))));
}

/// A candidate whose disk becomes full goes on asking for votes, and a leader that nobody relieves
/// goes on without a lease.
#[test]
fn a_candidate_that_cannot_store_and_a_leader_that_steps_down_follow() {
    let mut candidate = replica(A, 3, &[]);
    candidate.tick(at(900));
    assert_eq!(candidate.role(), Role::PreCandidate);
    candidate.set_accepts_writes(at(901), false);
    assert_eq!(candidate.role(), Role::Follower);
    let mut leader = replica(A, 3, &[2]);
    let term = elect(&mut leader, at(900));
    leader.step_down(at(901));
    assert_eq!((leader.role(), leader.term()), (Role::Follower, term));
    assert!(!leader.has_lease(at(901)));
}

/// Guards against a log in memory that keeps a number of entries whatever their size.
#[test]
fn few_of_the_entries_before_a_snapshot_are_kept_if_they_are_large() {
    const ENTRY_BYTES: usize = 256 * 1024;
    const ENTRIES: u64 = 40;
    let first = LogEntry { term: 1, payload: Payload::Members(members(&[A, B, C])) };
    let large = LogEntry { term: 1, payload: Payload::Command(vec![0; ENTRY_BYTES].into()) };
    let entries = std::iter::once(first).chain((1..ENTRIES).map(|_| large.clone())).collect();
    let hard = HardState { term: 3, vote: None };
    let mut leader = Raft::new(A, Restored { hard, entries, ..Restored::default() }, 7, START);
    let term = elect(&mut leader, at(900));
    let (index, echo) = (leader.last(), at(900));
    step(&mut leader, at(901), B, Message::AppendReply { term, ok: true, index, echo });
    assert_eq!(leader.commit(), index);
    leader.compact(index, RETAINED_LOG_ENTRIES);
    let kept = (1..=index).filter(|index| leader.term_at(*index).is_some()).count();
    assert!((2..=RETAINED_LOG_BYTES / ENTRY_BYTES + 2).contains(&kept), "{kept} entries");
}
