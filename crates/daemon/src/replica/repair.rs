//! Membership changes that replace a voter whose disk was replaced.

use super::*;

impl Replica {
    /// Records the request of a voter with an empty disk to join; false if this replica does
    /// not lead.
    pub(crate) fn join(&mut self, member: Member) -> bool {
        if self.leader().is_none() {
            return false;
        }
        let asked = self.shared.clock.now();
        self.joining.insert(member.id, Joining { member, asked });
        true
    }

    /// Replaces a voter's disk in three membership changes, each committed before the next:
    /// the new disk becomes a learner, the old disk is removed from the voters, and the new
    /// disk becomes a voter.
    pub(super) fn repair(&mut self, now: Moment) {
        self.joining.retain(|_, joining| now.since(joining.asked) < JOIN_FORGET);
        if self.joining.is_empty() || self.leader.is_none() {
            return;
        }
        let joining: Vec<Member> = self.joining.values().map(|j| j.member.clone()).collect();
        for member in joining {
            if self.raft.members().is_voter(member.id) {
                self.joining.remove(&member.id);
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
        let follows = members.learners.iter().any(|learner| learner.id == member.id);
        let former = members.voters.iter().find(|voter| voter.name == member.name);
        if !follows {
            members.learners.retain(|learner| learner.name != member.name);
            members.learners.push(member.clone());
            return Some((members, "its new disk is a learner"));
        }
        if !self.raft.is_caught_up(member.id) {
            return None;
        }
        if let Some(former) = former {
            let silent =
                self.raft.last_heard(former.id).is_none_or(|h| now.since(h) > REPLACE_AFTER);
            if !silent {
                return None;
            }
            let former = former.id;
            members.voters.retain(|voter| voter.id != former);
            return Some((members, "its old disk is no longer a voter"));
        }
        members.learners.retain(|learner| learner.id != member.id);
        members.voters.push(member.clone());
        Some((members, "its new disk is a voter"))
    }
}
