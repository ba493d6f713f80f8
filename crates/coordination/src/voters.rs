//! Who is to vote: the next step, one at a time, from the disks that are heard.
//!
//! Nobody lists the voters beforehand. The founder votes alone, takes in disks
//! that it hears of until there are as many voters as the tolerance asks, and
//! later leaders replace voters whose disk is gone.

use crate::raft::{Member, Members, ReplicaId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Silence after which a voter may be replaced by a disk that has caught up. Above
/// the usual freeze, so that a machine that only stood still keeps its seat.
pub const REPLACE_AFTER: Duration = Duration::from_secs(5);
/// Silence after which a disk that only follows is no longer sent to.
pub const FORGET_AFTER: Duration = Duration::from_secs(20);

/// A disk that was heard of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Disk {
    /// Its replica and daemon.
    pub member: Member,
    /// Its availability zone.
    pub zone: Box<str>,
    /// Time since its daemon was last heard.
    pub silent: Duration,
}

/// What the leader knows.
#[derive(Clone, Debug, Default)]
pub struct MembershipView {
    /// The newest committed members.
    pub members: Members,
    /// The leader's own replica.
    pub own: ReplicaId,
    /// Disks heard of by themselves, members or not.
    pub disks: Vec<Disk>,
    /// Time since the leader heard a member's replica.
    pub silent: BTreeMap<ReplicaId, Duration>,
    /// Members whose log is all but complete.
    pub caught_up: Vec<ReplicaId>,
}

/// Voters that survive the loss of `machines` at once, or as many as there are.
/// Three at the least: one that restarts must not stop the others.
///
/// ```
/// use yuccalink_coordination::voters::wanted;
/// assert_eq!([wanted(0), wanted(1), wanted(2)], [3, 3, 5]);
/// ```
pub fn wanted(machines: usize) -> usize {
    (2 * machines + 1).max(3)
}

/// The next change of members, and why; `None` when all is as it should be.
///
/// ```
/// use yuccalink_coordination::voters::{MembershipView, next};
/// assert!(next(&MembershipView::default(), 3).is_none());
/// ```
pub fn next(view: &MembershipView, wanted: usize) -> Option<(Members, Box<str>)> {
    forget_learner(view)
        .or_else(|| add_learner(view))
        .or_else(|| promote(view, wanted))
        .or_else(|| replace(view, wanted))
}

impl MembershipView {
    fn silent(&self, id: ReplicaId) -> Duration {
        match id == self.own {
            true => Duration::ZERO,
            false => self.silent.get(&id).copied().unwrap_or(Duration::MAX),
        }
    }

    fn is_live(&self, id: ReplicaId) -> bool {
        self.silent(id) < REPLACE_AFTER
    }

    /// Another disk is at the member's address, be it the leader's: the member's is gone.
    fn is_replaced(&self, member: &Member) -> bool {
        let heard = self.disks.iter().filter(|disk| disk.silent < REPLACE_AFTER);
        let own = self.members.get(self.own);
        let mut others = heard.map(|disk| &disk.member).chain(own);
        others.any(|other| other.address == member.address && other.id != member.id)
    }

    fn zone_of(&self, member: &Member) -> Option<&str> {
        let disk = self.disks.iter().find(|disk| disk.member.id == member.id)?;
        Some(&disk.zone)
    }
}

fn forget_learner(view: &MembershipView) -> Option<(Members, Box<str>)> {
    let gone =
        |learner: &&Member| view.is_replaced(learner) || view.silent(learner.id) > FORGET_AFTER;
    let id = view.members.learners.iter().find(gone)?.id;
    let mut members = view.members.clone();
    members.learners.retain(|learner| learner.id != id);
    Some((members, format!("replica {id} follows no more: it is silent or replaced").into()))
}

fn add_learner(view: &MembershipView) -> Option<(Members, Box<str>)> {
    let new =
        |disk: &&Disk| disk.silent < REPLACE_AFTER && view.members.get(disk.member.id).is_none();
    let disk = view.disks.iter().find(new)?;
    let mut members = view.members.clone();
    members.learners.push(disk.member.clone());
    Some((members, format!("replica {} of {} follows", disk.member.id, disk.member.name).into()))
}

/// A learner votes once it has caught up: before that it would count in a quorum
/// for nothing.
fn promote(view: &MembershipView, wanted: usize) -> Option<(Members, Box<str>)> {
    if view.members.voters.len() >= wanted {
        return None;
    }
    let ready = best_learner(view)?;
    let mut members = view.members.clone();
    members.learners.retain(|learner| learner.id != ready.id);
    members.voters.push(ready.clone());
    Some((members, format!("replica {} of {} votes", ready.id, ready.name).into()))
}

/// The learner that is ready and whose zone has the fewest voters: a zone that
/// fails must take no more than its share of them.
fn best_learner(view: &MembershipView) -> Option<Member> {
    let ready = view
        .members
        .learners
        .iter()
        .filter(|learner| view.caught_up.contains(&learner.id) && view.is_live(learner.id));
    let voters_in_zone = |member: &&Member| {
        let zone = view.zone_of(member);
        view.members.voters.iter().filter(|voter| view.zone_of(voter) == zone).count()
    };
    ready.min_by_key(voters_in_zone).cloned()
}

/// Replaces a voter whose disk is gone: another votes beside it first, and only then it
/// votes no more. The other way round the voters are one fewer for a moment, and one disk
/// that is lost in that moment leaves a majority that needs the lost one for ever: the
/// voter that was merely cut off, and has everything, is none any more.
fn replace(view: &MembershipView, wanted: usize) -> Option<(Members, Box<str>)> {
    let dead = |voter: &&Member| {
        voter.id != view.own && (view.is_replaced(voter) || !view.is_live(voter.id))
    };
    let voter = view.members.voters.iter().find(dead)?;
    let mut members = view.members.clone();
    let why = if members.voters.len() > wanted {
        members.voters.retain(|other| other.id != voter.id);
        format!("replica {} of {} votes no more", voter.id, voter.name)
    } else {
        let ready = best_learner(view)?;
        members.learners.retain(|learner| learner.id != ready.id);
        let why = format!("replica {} votes beside {}, which is silent", ready.id, voter.id);
        members.voters.push(ready);
        why
    };
    let live = members.voters.iter().filter(|voter| view.is_live(voter.id)).count();
    // Without a live quorum among those voters nothing could be agreed on any more.
    (live > members.voters.len() / 2).then(|| (members, why.into()))
}
