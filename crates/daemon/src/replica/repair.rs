//! Membership changes that replace a voter whose disk was replaced.

use super::*;

impl Replica {
    /// Records the request of a voter with an empty disk to join; false if this replica does
    /// not lead.
    pub(crate) fn join(&mut self, member: Member) -> bool {
        if self.leader().is_none() {
            return false;
        }
        let requested_at = self.shared.clock.now();
        self.join_requests.insert(member.id, JoinRequest { member, requested_at });
        true
    }

    /// Replaces a voter's disk in three membership changes, each committed before the next:
    /// the new disk becomes a learner, the old disk is removed from the voters, and the new
    /// disk becomes a voter.
    pub(super) fn advance_joins(&mut self, now: Moment) {
        self.join_requests
            .retain(|_, request| now.since(request.requested_at) < JOIN_REQUEST_EXPIRY);
        if self.join_requests.is_empty() || self.leader.is_none() {
            return;
        }
        let candidates: Vec<Member> =
            self.join_requests.values().map(|request| request.member.clone()).collect();
        for member in candidates {
            if self.raft.members().is_voter(member.id) {
                self.join_requests.remove(&member.id);
                continue;
            }
            if let Some((members, step)) = self.next_members(now, &member) {
                if self.raft.change_members(now, members).is_ok() {
                    self.shared.decisions.note(format!("voter {}: {step}", member.name));
                }
                return;
            }
        }
    }

    pub(super) fn next_members(
        &self,
        now: Moment,
        member: &Member,
    ) -> Option<(Members, &'static str)> {
        let mut members = self.raft.members().clone();
        let is_learner = members.learners.iter().any(|learner| learner.id == member.id);
        let old_voter = members.voters.iter().find(|voter| voter.name == member.name);
        if !is_learner {
            members.learners.retain(|learner| learner.name != member.name);
            members.learners.push(member.clone());
            return Some((members, "its new disk is a learner"));
        }
        if !self.raft.is_caught_up(member.id) {
            return None;
        }
        if let Some(old_voter) = old_voter {
            let silent = self
                .raft
                .last_heard(old_voter.id)
                .is_none_or(|h| now.since(h) > OLD_DISK_SILENCE_MIN);
            if !silent {
                return None;
            }
            let old_voter = old_voter.id;
            members.voters.retain(|voter| voter.id != old_voter);
            return Some((members, "its old disk is no longer a voter"));
        }
        members.learners.retain(|learner| learner.id != member.id);
        members.voters.push(member.clone());
        Some((members, "its new disk is a voter"))
    }
}
