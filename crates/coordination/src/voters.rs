//! Decides the next membership change, one step at a time, from the disks that report.
//!
//! The voters are not configured. The replica that bootstraps the cell is the only voter at
//! first. It adds disks that report until there are as many voters as the required fault
//! tolerance needs. Later leaders replace voters whose disk is gone.

use crate::raft::{Member, Members, ReplicaId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time without a message after which a voter may be replaced by a disk that has caught up. It
/// is longer than a usual pause, so a machine that only froze keeps its vote.
pub const REPLACE_AFTER: Duration = Duration::from_secs(5);
/// Time without a message after which a learner is removed.
pub const REMOVE_LEARNER_AFTER: Duration = Duration::from_secs(20);

/// A disk that was reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Disk {
    /// The replica and its daemon.
    pub member: Member,
    /// Its availability zone.
    pub zone: Box<str>,
    /// Time since the last message from its daemon.
    pub silent: Duration,
}

/// The leader's view of the members and disks.
#[derive(Clone, Debug, Default)]
pub struct MembershipView {
    /// The newest committed members.
    pub members: Members,
    /// The leader's own replica.
    pub own: ReplicaId,
    /// Disks that reported themselves, members or not.
    pub disks: Vec<Disk>,
    /// Time since the last Raft message from each member.
    pub silent: BTreeMap<ReplicaId, Duration>,
    /// Members whose log is complete except for the newest entries.
    pub caught_up: Vec<ReplicaId>,
}

/// Number of voters that survives the simultaneous loss of `machines`. At least three, so that
/// the restart of one does not stop the others.
///
/// ```
/// use yuccalink_coordination::voters::wanted;
/// assert_eq!([wanted(0), wanted(1), wanted(2)], [3, 3, 5]);
/// ```
pub fn wanted(machines: usize) -> usize {
    (2 * machines + 1).max(3)
}

/// The next membership change and its reason; `None` if none is needed.
///
/// ```
/// use yuccalink_coordination::voters::{MembershipView, next};
/// assert!(next(&MembershipView::default(), 3).is_none());
/// ```
pub fn next(view: &MembershipView, wanted: usize) -> Option<(Members, Box<str>)> {
    remove_learner(view)
        .or_else(|| add_learner(view))
        .or_else(|| promote_learner(view, wanted))
        .or_else(|| replace_voter(view, wanted))
}

/// What the other voters say about an existing group, while their answers come in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupSearch {
    /// A voter has data: a group exists, and an empty disk joins it.
    Exists,
    /// All voters are empty, so a new group may be bootstrapped.
    AllEmpty,
    /// A voter has not answered, and no other says that a group exists.
    Unknown,
}

/// Judges the answers of the other voters: whether each is empty, or `None` for one that does
/// not answer. One voter with data is enough, however many are silent.
///
/// ```
/// use yuccalink_coordination::voters::{GroupSearch, search_group};
/// assert_eq!(search_group([Some(true), Some(true)]), GroupSearch::AllEmpty);
/// assert_eq!(search_group([Some(true), None]), GroupSearch::Unknown);
/// ```
pub fn search_group<I>(empty: I) -> GroupSearch
where
    I: IntoIterator<Item = Option<bool>>,
{
    let mut found = GroupSearch::AllEmpty;
    for answer in empty {
        match answer {
            Some(false) => return GroupSearch::Exists,
            Some(true) => {}
            None => found = GroupSearch::Unknown,
        }
    }
    found
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

    /// Whether the member's disk is gone: another disk, or the leader's, reports from its address.
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

fn remove_learner(view: &MembershipView) -> Option<(Members, Box<str>)> {
    let gone = |learner: &&Member| {
        view.is_replaced(learner) || view.silent(learner.id) > REMOVE_LEARNER_AFTER
    };
    let id = view.members.learners.iter().find(gone)?.id;
    let mut members = view.members.clone();
    members.learners.retain(|learner| learner.id != id);
    Some((
        members,
        format!("replica {id} is removed from the learners: it is silent or replaced").into(),
    ))
}

fn add_learner(view: &MembershipView) -> Option<(Members, Box<str>)> {
    let new =
        |disk: &&Disk| disk.silent < REPLACE_AFTER && view.members.get(disk.member.id).is_none();
    let disk = view.disks.iter().find(new)?;
    let mut members = view.members.clone();
    members.learners.push(disk.member.clone());
    Some((
        members,
        format!("replica {} of {} becomes a learner", disk.member.id, disk.member.name).into(),
    ))
}

/// Makes a learner a voter once it has caught up; before that, it would count towards the
/// quorum without contributing to it.
fn promote_learner(view: &MembershipView, wanted: usize) -> Option<(Members, Box<str>)> {
    if view.members.voters.len() >= wanted {
        return None;
    }
    let ready = best_learner(view)?;
    let mut members = view.members.clone();
    members.learners.retain(|learner| learner.id != ready.id);
    members.voters.push(ready.clone());
    Some((members, format!("replica {} of {} becomes a voter", ready.id, ready.name).into()))
}

/// The learner that has caught up and whose zone has the fewest voters, so that the failure of
/// a zone takes as few voters as possible.
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

/// Replaces a voter whose disk is gone: first another replica becomes a voter, and only then
/// the old one is removed. In the other order there is one voter fewer for a moment. If a disk
/// is lost in that moment, the remaining majority needs the lost disk for ever, while the
/// removed voter, which was merely disconnected and has all entries, no longer counts.
fn replace_voter(view: &MembershipView, wanted: usize) -> Option<(Members, Box<str>)> {
    let dead = |voter: &&Member| {
        voter.id != view.own && (view.is_replaced(voter) || !view.is_live(voter.id))
    };
    let voter = view.members.voters.iter().find(dead)?;
    let mut members = view.members.clone();
    let why = if members.voters.len() > wanted {
        members.voters.retain(|other| other.id != voter.id);
        format!("replica {} of {} is removed from the voters", voter.id, voter.name)
    } else {
        let ready = best_learner(view)?;
        members.learners.retain(|learner| learner.id != ready.id);
        let why = format!(
            "replica {} becomes a voter to replace {}, which is silent",
            ready.id, voter.id
        );
        members.voters.push(ready);
        why
    };
    let live = members.voters.iter().filter(|voter| view.is_live(voter.id)).count();
    // Without a live quorum among the new voters, nothing could be committed any more.
    (live > members.voters.len() / 2).then(|| (members, why.into()))
}
