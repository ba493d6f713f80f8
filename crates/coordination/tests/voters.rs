//! Tests the choice of voters, one change at a time.

use std::collections::BTreeMap;
use std::time::Duration;
use yuccalink_coordination::raft::{Member, Members, ReplicaId};
use yuccalink_coordination::voters::{self, Disk, MembershipView};
use yuccalink_state::id::Name;

fn member(id: u64, address: &str) -> Member {
    let name = Name::new(&format!("e{id}")).expect("a name");
    Member { id: ReplicaId(id), name, address: address.into() }
}

fn disk(id: u64, address: &str, zone: &str) -> Disk {
    Disk { member: member(id, address), zone: zone.into(), silent: Duration::ZERO }
}

/// The view of a leader whose own disk is disk 1. It has just heard from all members, and all
/// have caught up. `disks` are the disks of which it knows.
fn view(voters: &[u64], learners: &[u64], disks: Vec<Disk>) -> MembershipView {
    let all = |ids: &[u64]| ids.iter().map(|id| member(*id, &format!("a{id}"))).collect();
    let members = Members { voters: all(voters), learners: all(learners) };
    let silent = members.all().map(|m| (m.id, Duration::ZERO)).collect();
    let caught_up = members.all().map(|m| m.id).collect();
    MembershipView { members, own: ReplicaId(1), disks, silent, caught_up }
}

fn disks(ids: &[u64]) -> Vec<Disk> {
    ids.iter().map(|id| disk(*id, &format!("a{id}"), &format!("z{id}"))).collect()
}

/// Applies every proposed change as if committed, until none is proposed.
fn apply_all_changes(mut view: MembershipView, wanted: usize) -> MembershipView {
    for _ in 0..50 {
        let Some((members, _)) = voters::next(&view, wanted) else { return view };
        let voter_ids = |members: &Members| {
            members.voters.iter().map(|m| m.id).collect::<std::collections::BTreeSet<_>>()
        };
        let difference =
            voter_ids(&view.members).symmetric_difference(&voter_ids(&members)).count();
        assert!(difference <= 1, "more than one voter changes at a time");
        for member in members.all() {
            view.silent.entry(member.id).or_insert(Duration::ZERO);
            view.caught_up.push(member.id);
        }
        view.members = members;
    }
    panic!("the voters never stop changing: {:?}", view.members);
}

fn ids(members: &[Member]) -> Vec<u64> {
    let mut ids: Vec<u64> = members.iter().map(|member| member.id.0).collect();
    ids.sort_unstable();
    ids
}

#[test]
fn a_bootstrapped_group_adds_as_many_voters_as_the_tolerance_requires() {
    let after = apply_all_changes(view(&[1], &[], disks(&[2, 3, 4])), 3);
    assert_eq!(after.members.voters.len(), 3);
    assert_eq!(after.members.learners.len(), 1);
}

/// There are two disks in each of four zones. No zone may have three of the five voters, or the
/// loss of that zone would leave no majority.
#[test]
fn voters_are_spread_over_zones() {
    let mut all = Vec::new();
    for id in 1..=8 {
        all.push(disk(id, &format!("a{id}"), &format!("z{}", (id - 1) / 2)));
    }
    let after = apply_all_changes(view(&[1], &[], all.clone()), 5);
    let mut per_zone: BTreeMap<Box<str>, usize> = BTreeMap::new();
    for voter in &after.members.voters {
        let disk = all.iter().find(|disk| disk.member.id == voter.id).expect("known");
        *per_zone.entry(disk.zone.clone()).or_default() += 1;
    }
    assert_eq!(after.members.voters.len(), 5);
    assert!(per_zone.values().all(|count| *count <= 2), "{per_zone:?}");
}

/// A VM comes back at its address with an empty disk. The vote of the former disk would count
/// for entries that no disk has any more, and the new disk must catch up first. Its voter is
/// replaced in two changes, and no other voter is removed.
#[test]
fn a_replaced_disk_loses_its_vote_at_once() {
    let mut view = view(&[1, 2, 3], &[4], disks(&[1, 3, 4]));
    view.disks.push(disk(9, "a2", "z2"));
    let after = apply_all_changes(view, 3);
    assert_eq!(ids(&after.members.voters), [1, 3, 4]);
    assert_eq!(ids(&after.members.learners), [9]);
}

/// A voter is partitioned for long, and while it is being replaced another voter loses its disk.
/// If the silent voter were removed first, two would be left, one of them on the lost disk, and
/// the group would never commit again. If the new voter is added first, the partitioned one
/// still has its vote when it is back and completes the majority.
#[test]
fn a_silent_voter_stays_until_its_replacement_votes() {
    let mut view = view(&[1, 2, 3], &[4], disks(&[1, 3, 4]));
    view.silent.insert(ReplicaId(2), voters::REPLACE_AFTER);
    let (with_replacement, _) = voters::next(&view, 3).expect("another votes beside it");
    assert_eq!(ids(&with_replacement.voters), [1, 2, 3, 4]);
    view.members = with_replacement;
    let (after, _) = voters::next(&view, 3).expect("the silent voter is removed");
    assert_eq!(ids(&after.voters), [1, 3, 4]);
}

/// A silent voter is heard from again before its removal. Four voters remain, none is removed
/// and no fifth is added. The next voter that falls silent is removed.
#[test]
fn a_voter_that_comes_back_in_time_stays() {
    let mut view = view(&[1, 2, 3, 4], &[5], disks(&[1, 2, 3, 4, 5]));
    assert!(voters::next(&view, 3).is_none());
    view.silent.insert(ReplicaId(3), voters::REPLACE_AFTER);
    let (after, _) = voters::next(&view, 3).expect("the silent voter is removed");
    assert_eq!(ids(&after.voters), [1, 2, 4]);
}

/// A voter freezes for two seconds. Replacing it would take two membership changes for no gain.
#[test]
fn a_short_silence_replaces_no_voter() {
    let mut view = view(&[1, 2, 3], &[4], disks(&[2, 3, 4]));
    view.silent.insert(ReplicaId(2), Duration::from_secs(2));
    assert!(voters::next(&view, 3).is_none());
    view.silent.insert(ReplicaId(2), voters::REPLACE_AFTER);
    assert!(voters::next(&view, 3).is_some());
}

/// Two of three voters are silent. Nothing can be committed without them, and removing one would
/// leave a majority that has not agreed to anything.
#[test]
fn no_voter_is_removed_without_a_live_majority() {
    let mut view = view(&[1, 2, 3], &[4], disks(&[4]));
    for id in [2, 3] {
        view.silent.insert(ReplicaId(id), Duration::from_secs(60));
    }
    assert!(voters::next(&view, 3).is_none());
}

/// A learner that has not caught up would add to the quorum without contributing to it.
#[test]
fn a_learner_votes_only_once_it_has_caught_up() {
    let mut view = view(&[1], &[2], disks(&[2]));
    view.caught_up.retain(|id| *id != ReplicaId(2));
    assert!(voters::next(&view, 3).is_none());
    view.caught_up.push(ReplicaId(2));
    let (members, _) = voters::next(&view, 3).expect("the learner becomes a voter");
    assert_eq!(ids(&members.voters), [1, 2]);
}

/// A failure of a VM.
#[derive(Clone, Copy, PartialEq, Eq)]
enum VmFailure {
    /// The VM is partitioned and comes back later with its disk.
    Partitioned,
    /// The VM does not come back.
    Lost,
    /// The VM is back at its address with an empty disk.
    Replaced,
}

/// State of a repair: what the leader sees, and which disks are lost.
#[derive(Clone)]
struct RepairState {
    view: MembershipView,
    lost: Vec<ReplicaId>,
    partitioned: Vec<ReplicaId>,
    next_id: u64,
}

impl RepairState {
    /// Whether the voters whose disks are not lost are a majority; partitioned ones count.
    fn has_majority(&self) -> bool {
        let voters = &self.view.members.voters;
        let remaining = voters.iter().filter(|voter| !self.lost.contains(&voter.id)).count();
        remaining > voters.len() / 2
    }

    fn is_up(&self, id: ReplicaId) -> bool {
        !self.lost.contains(&id) && !self.partitioned.contains(&id)
    }

    fn fail(&self, at: &Member, failure: VmFailure) -> Option<Self> {
        let mut after = self.clone();
        match failure {
            VmFailure::Partitioned => after.partitioned.push(at.id),
            VmFailure::Lost | VmFailure::Replaced => after.lost.push(at.id),
        }
        after.view.silent.insert(at.id, voters::REPLACE_AFTER);
        after.view.caught_up.retain(|id| *id != at.id);
        after.view.disks.retain(|disk| disk.member.id != at.id);
        if failure == VmFailure::Replaced {
            after.view.disks.push(disk(after.next_id, &at.address, &format!("z{}", at.id.0)));
            after.next_id += 1;
        }
        // Any voter that is left may lead.
        let remaining = after.view.members.voters.iter().find(|voter| after.is_up(voter.id))?;
        after.view.own = remaining.id;
        Some(after)
    }

    /// The state after the leader's next change; `None` if it proposes none or has no majority.
    fn next_change(&self) -> Option<Self> {
        let voters = &self.view.members.voters;
        let up = voters.iter().filter(|voter| self.is_up(voter.id)).count();
        if up <= voters.len() / 2 {
            return None;
        }
        let mut after = self.clone();
        after.view.members =
            voters::next(&self.view, voters::wanted(DISK_LOSSES_TOLERATED)).map(|(to, _)| to)?;
        for member in after.view.members.all().filter(|member| self.is_up(member.id)) {
            after.view.silent.insert(member.id, Duration::ZERO);
            after.view.caught_up.push(member.id);
        }
        Some(after)
    }

    /// Tries every failure at this point and at each later one, with at most this many disks
    /// still to lose and VMs to partition, and returns the number of final states reached.
    fn explore(&self, disks: usize, partitions: usize) -> usize {
        assert!(self.has_majority(), "{:?} lost of {:?}", self.lost, self.view.members.voters);
        let up = self.view.members.all().filter(|member| self.is_up(member.id));
        let mut final_states = 0;
        for member in up {
            for (failure, disks, partitions) in [
                (VmFailure::Partitioned, Some(disks), partitions.checked_sub(1)),
                (VmFailure::Lost, disks.checked_sub(1), Some(partitions)),
                (VmFailure::Replaced, disks.checked_sub(1), Some(partitions)),
            ] {
                if let (Some(disks), Some(partitions)) = (disks, partitions)
                    && let Some(after) = self.fail(member, failure)
                {
                    final_states += after.explore(disks, partitions);
                }
            }
        }
        final_states + self.next_change().map_or(1, |after| after.explore(disks, partitions))
    }
}

const DISK_LOSSES_TOLERATED: usize = 2;

/// A disk lost between two steps of a repair must not leave the voters without a majority.
#[test]
fn two_disks_lost_at_any_steps_of_a_repair_leave_a_majority() {
    const PARTITIONS: usize = 1;
    for count in 5..=8 {
        let all: Vec<u64> = (1..=count).collect();
        let (voters, learners) = all.split_at(voters::wanted(DISK_LOSSES_TOLERATED));
        let view = view(voters, learners, disks(&all));
        let repair = RepairState { view, lost: Vec::new(), partitioned: Vec::new(), next_id: 100 };
        assert!(repair.explore(DISK_LOSSES_TOLERATED, PARTITIONS) > 1_000, "{count} disks");
    }
}

/// A leader with a replaced disk must remove the former disk's vote at once. That vote used to
/// stay for five seconds, in which the loss of one more disk took the majority for good.
#[test]
fn a_leader_removes_the_vote_of_its_own_former_disk_at_once() {
    let mut view = view(&[1, 2, 3, 9], &[], disks(&[1, 3]));
    view.own = ReplicaId(9);
    for voter in &mut view.members.voters {
        if voter.id == view.own {
            voter.address = "a2".into();
        }
    }
    let (after, _) = voters::next(&view, 3).expect("the former disk is removed");
    assert_eq!(ids(&after.voters), [1, 3, 9]);
}

/// Guards against an empty disk that never joins, because a voter listed before the others is
/// down and the search ends there.
#[test]
fn a_silent_voter_does_not_hide_the_group_from_an_empty_disk() {
    use voters::{GroupSearch, search_group};
    assert_eq!(search_group([None, Some(true), Some(false)]), GroupSearch::Exists);
    assert_eq!(search_group([Some(false), None]), GroupSearch::Exists);
    assert_eq!(search_group([None, Some(true)]), GroupSearch::Unknown);
    assert_eq!(search_group([Some(true), Some(true)]), GroupSearch::AllEmpty);
}
