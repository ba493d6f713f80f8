//! Elections: pre-vote, campaign and votes.

use super::*;

impl Raft {
    /// Starts a pre-vote. Without it, a replica that was partitioned would come back with a high
    /// term and depose a working leader.
    pub(super) fn start_pre_vote(&mut self, now: Moment) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.pre_votes = BTreeSet::from([self.id]);
        self.reset_election_timer(now);
        if self.pre_votes.len() >= self.members.quorum() {
            return self.campaign(now, false);
        }
        let (index, last_term) = self.log.tail();
        let term = self.hard.term + 1;
        self.ask_voters(&Message::PreVote { term, index, last_term });
    }

    /// Sets whether this replica's disk takes writes. While it does not, the replica gives no vote
    /// and ends its candidacy: neither could be stored.
    pub fn set_accepts_writes(&mut self, now: Moment, accepts: bool) {
        self.accepts_writes = accepts;
        if !accepts && matches!(self.role, Role::PreCandidate | Role::Candidate) {
            self.become_follower(now, self.hard.term, None);
        }
    }

    /// Stops leading, so that the others elect a leader after their election timeout.
    pub fn step_down(&mut self, now: Moment) {
        if self.role == Role::Leader {
            self.become_follower(now, self.hard.term, None);
        }
    }

    pub(super) fn campaign(&mut self, now: Moment, handed_over: bool) {
        self.role = Role::Candidate;
        self.hard = HardState { term: self.hard.term + 1, vote: Some(self.id) };
        self.leader = None;
        self.votes = BTreeSet::new();
        self.reset_election_timer(now);
        self.write(self.log.last() + 1, Vec::new());
        // Its own vote counts once it is on the disk, as for any other voter.
        let (index, last_term) = self.log.tail();
        let term = self.hard.term;
        self.ask_voters(&Message::Vote { term, index, last_term, handed_over });
    }

    pub(super) fn ask_voters(&mut self, message: &Message) {
        let others: Vec<ReplicaId> =
            self.members.voters.iter().map(|v| v.id).filter(|id| *id != self.id).collect();
        for to in others {
            self.send(to, message.clone());
        }
    }

    pub(super) fn record_pre_vote(&mut self, now: Moment, from: ReplicaId) {
        if self.members.is_voter(from) {
            self.pre_votes.insert(from);
        }
        if self.pre_votes.len() >= self.members.quorum() {
            self.campaign(now, false);
        }
    }

    /// Whether votes of the current term still elect this replica. They do while it asks for the
    /// next term: a voter whose sync takes longer than an election timeout answers only then.
    pub(super) fn is_candidate_of_term(&self) -> bool {
        match self.role {
            Role::Candidate => true,
            Role::PreCandidate => self.votes.contains(&self.id),
            Role::Follower | Role::Leader => false,
        }
    }

    pub(super) fn record_vote(&mut self, now: Moment, from: ReplicaId) {
        if self.members.is_voter(from) {
            self.votes.insert(from);
        }
        if self.votes.len() >= self.members.quorum() {
            self.become_leader(now);
        }
    }

    pub(super) fn become_leader(&mut self, now: Moment) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.elected_at = now;
        self.transferring_leadership = false;
        self.progress.clear();
        self.heartbeat_at = now + HEARTBEAT_INTERVAL;
        // An entry of its own term commits all earlier entries with it. Entries of earlier terms
        // must not be committed by counting replicas (Raft paper, figure 8).
        self.append(vec![Payload::Empty]);
        self.term_start_index = self.log.last();
        self.sync_progress(now);
        self.send_all(now, false);
        self.advance_commit();
    }

    pub(super) fn sync_progress(&mut self, now: Moment) {
        let ids: BTreeSet<ReplicaId> =
            self.members.all().map(|m| m.id).filter(|id| *id != self.id).collect();
        self.progress.retain(|id, _| ids.contains(id));
        let next = self.log.last();
        for id in ids {
            self.progress.entry(id).or_insert_with(|| Progress::new(next.max(1), now));
        }
    }

    pub(super) fn become_follower(&mut self, now: Moment, term: u64, leader: Option<ReplicaId>) {
        if term > self.hard.term {
            self.hard = HardState { term, vote: None };
            self.write(self.log.last() + 1, Vec::new());
        }
        if self.role == Role::Leader {
            self.progress.clear();
        }
        // It may have led in this term already.
        self.votes.clear();
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_election_timer(now);
    }
}
