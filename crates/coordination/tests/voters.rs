//! Who is to vote, step by step.

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

/// A leader with disk 1 that hears all of `disks`.
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

/// Takes every step that is offered, each as if committed.
fn settle(mut view: MembershipView, wanted: usize) -> MembershipView {
    for _ in 0..50 {
        let Some((members, _)) = voters::next(&view, wanted) else { return view };
        let changed = |members: &Members| {
            members.voters.iter().map(|m| m.id).collect::<std::collections::BTreeSet<_>>()
        };
        let difference = changed(&view.members).symmetric_difference(&changed(&members)).count();
        assert!(difference <= 1, "one voter at a time");
        for member in members.all() {
            view.silent.entry(member.id).or_insert(Duration::ZERO);
            view.caught_up.push(member.id);
        }
        view.members = members;
    }
    panic!("it never settles: {:?}", view.members);
}

fn ids(members: &[Member]) -> Vec<u64> {
    let mut ids: Vec<u64> = members.iter().map(|member| member.id.0).collect();
    ids.sort_unstable();
    ids
}

#[test]
fn a_founder_takes_in_as_many_as_the_tolerance_asks() {
    let settled = settle(view(&[1], &[], disks(&[2, 3, 4])), 3);
    assert_eq!(settled.members.voters.len(), 3);
    assert_eq!(settled.members.learners.len(), 1);
}

/// Two disks in each of four zones: five voters must not leave three in one zone,
/// or the loss of that zone takes the majority with it.
#[test]
fn voters_are_spread_over_zones() {
    let mut all = Vec::new();
    for id in 1..=8 {
        all.push(disk(id, &format!("a{id}"), &format!("z{}", (id - 1) / 2)));
    }
    let settled = settle(view(&[1], &[], all.clone()), 5);
    let mut per_zone: BTreeMap<Box<str>, usize> = BTreeMap::new();
    for voter in &settled.members.voters {
        let at = all.iter().find(|disk| disk.member.id == voter.id).expect("known");
        *per_zone.entry(at.zone.clone()).or_default() += 1;
    }
    assert_eq!(settled.members.voters.len(), 5);
    assert!(per_zone.values().all(|count| *count <= 2), "{per_zone:?}");
}

/// A machine comes back at its address with an empty disk. The former disk's vote
/// would count for entries that nobody has any more; the new one must catch up
/// first. The seat changes hands in two steps, and a third disk does not lose its.
#[test]
fn a_replaced_disk_loses_its_seat_at_once() {
    let mut view = view(&[1, 2, 3], &[4], disks(&[1, 3, 4]));
    view.disks.push(disk(9, "a2", "z2"));
    let settled = settle(view, 3);
    assert_eq!(ids(&settled.members.voters), [1, 3, 4]);
    assert_eq!(ids(&settled.members.learners), [9]);
}

/// A voter is cut off for long, and the moment in which its seat goes to another the disk of
/// a second one is lost. Callers get nothing any more, for good: two voters were left, one
/// of them on the lost disk. With the new one in its seat first, the one that was cut off
/// still votes when it is back, and makes the majority.
#[test]
fn a_silent_voter_keeps_its_seat_until_another_has_one() {
    let mut view = view(&[1, 2, 3], &[4], disks(&[1, 3, 4]));
    view.silent.insert(ReplicaId(2), voters::REPLACE_AFTER);
    let (beside, _) = voters::next(&view, 3).expect("another votes beside it");
    assert_eq!(ids(&beside.voters), [1, 2, 3, 4]);
    view.members = beside;
    let (after, _) = voters::next(&view, 3).expect("it votes no more");
    assert_eq!(ids(&after.voters), [1, 3, 4]);
}

/// A voter that was silent is heard again before its seat was taken: four vote, nobody
/// loses a seat for it, and no fifth is let in. The next one that is silent goes.
#[test]
fn a_voter_that_comes_back_in_time_stays() {
    let mut view = view(&[1, 2, 3, 4], &[5], disks(&[1, 2, 3, 4, 5]));
    assert!(voters::next(&view, 3).is_none());
    view.silent.insert(ReplicaId(3), voters::REPLACE_AFTER);
    let (after, _) = voters::next(&view, 3).expect("the silent one goes");
    assert_eq!(ids(&after.voters), [1, 2, 4]);
}

/// A voter freezes for two seconds. To replace it would cost two changes of members
/// and gain nothing.
#[test]
fn a_short_silence_costs_no_seat() {
    let mut view = view(&[1, 2, 3], &[4], disks(&[2, 3, 4]));
    view.silent.insert(ReplicaId(2), Duration::from_secs(2));
    assert!(voters::next(&view, 3).is_none());
    view.silent.insert(ReplicaId(2), voters::REPLACE_AFTER);
    assert!(voters::next(&view, 3).is_some());
}

/// Of three voters two are silent. Without them nothing can be agreed on; to take
/// out one of them would make a majority of one that had not agreed to anything.
#[test]
fn no_seat_is_taken_without_a_live_majority() {
    let mut view = view(&[1, 2, 3], &[4], disks(&[4]));
    for id in [2, 3] {
        view.silent.insert(ReplicaId(id), Duration::from_secs(60));
    }
    assert!(voters::next(&view, 3).is_none());
}

/// A learner that has not caught up would count in a quorum for nothing.
#[test]
fn a_learner_votes_only_once_it_has_caught_up() {
    let mut view = view(&[1], &[2], disks(&[2]));
    view.caught_up.retain(|id| *id != ReplicaId(2));
    assert!(voters::next(&view, 3).is_none());
    view.caught_up.push(ReplicaId(2));
    let (members, _) = voters::next(&view, 3).expect("it votes");
    assert_eq!(ids(&members.voters), [1, 2]);
}

/// What happens to a machine.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fate {
    /// It is cut off, and comes back with its disk some day.
    CutOff,
    /// It stays away.
    Gone,
    /// It is back at its address with an empty disk.
    Replaced,
}

/// Where a change of voters stands: what the leader sees, and which disks are lost.
#[derive(Clone)]
struct Repair {
    view: MembershipView,
    lost: Vec<ReplicaId>,
    cut_off: Vec<ReplicaId>,
    next_id: u64,
}

impl Repair {
    /// Whether the voters that have their disk, now or once they are back, are a majority.
    fn has_majority(&self) -> bool {
        let voters = &self.view.members.voters;
        let left = voters.iter().filter(|voter| !self.lost.contains(&voter.id)).count();
        left > voters.len() / 2
    }

    fn is_up(&self, id: ReplicaId) -> bool {
        !self.lost.contains(&id) && !self.cut_off.contains(&id)
    }

    fn strike(&self, at: &Member, fate: Fate) -> Option<Self> {
        let mut after = self.clone();
        match fate {
            Fate::CutOff => after.cut_off.push(at.id),
            Fate::Gone | Fate::Replaced => after.lost.push(at.id),
        }
        after.view.silent.insert(at.id, voters::REPLACE_AFTER);
        after.view.caught_up.retain(|id| *id != at.id);
        after.view.disks.retain(|disk| disk.member.id != at.id);
        if fate == Fate::Replaced {
            after.view.disks.push(disk(after.next_id, &at.address, &format!("z{}", at.id.0)));
            after.next_id += 1;
        }
        // Whoever is left may lead.
        let left = after.view.members.voters.iter().find(|voter| after.is_up(voter.id))?;
        after.view.own = left.id;
        Some(after)
    }

    /// The leader's next step; a leader without a majority in touch can take none.
    fn take_step(&self) -> Option<Self> {
        let voters = &self.view.members.voters;
        let up = voters.iter().filter(|voter| self.is_up(voter.id)).count();
        if up <= voters.len() / 2 {
            return None;
        }
        let mut after = self.clone();
        after.view.members = voters::next(&self.view, voters::wanted(LOSSES)).map(|(to, _)| to)?;
        for member in after.view.members.all().filter(|member| self.is_up(member.id)) {
            after.view.silent.insert(member.id, Duration::ZERO);
            after.view.caught_up.push(member.id);
        }
        Some(after)
    }

    /// Strikes at this point or any later one, with so many disks still to lose and machines
    /// to cut off, and counts the ends reached.
    fn explore(&self, disks: usize, cuts: usize) -> usize {
        assert!(self.has_majority(), "{:?} lost of {:?}", self.lost, self.view.members.voters);
        let up = self.view.members.all().filter(|member| self.is_up(member.id));
        let mut ends = 0;
        for member in up {
            for (fate, disks, cuts) in [
                (Fate::CutOff, Some(disks), cuts.checked_sub(1)),
                (Fate::Gone, disks.checked_sub(1), Some(cuts)),
                (Fate::Replaced, disks.checked_sub(1), Some(cuts)),
            ] {
                if let (Some(disks), Some(cuts)) = (disks, cuts)
                    && let Some(after) = self.strike(member, fate)
                {
                    ends += after.explore(disks, cuts);
                }
            }
        }
        ends + self.take_step().map_or(1, |after| after.explore(disks, cuts))
    }
}

const LOSSES: usize = 2;

/// A disk lost between two steps of a repair left the voters without a majority for good.
#[test]
fn no_two_disks_lost_at_any_step_of_a_repair_take_the_majority() {
    const CUTS: usize = 1;
    for count in 5..=8 {
        let all: Vec<u64> = (1..=count).collect();
        let (voters, learners) = all.split_at(voters::wanted(LOSSES));
        let view = view(voters, learners, disks(&all));
        let repair = Repair { view, lost: Vec::new(), cut_off: Vec::new(), next_id: 100 };
        assert!(repair.explore(LOSSES, CUTS) > 1_000, "{count} disks");
    }
}

/// A process that led with a replaced disk left the former disk its vote for five seconds more; one more lost disk then took the majority for good.
#[test]
fn a_leader_takes_the_vote_of_its_own_former_disk_at_once() {
    let mut view = view(&[1, 2, 3, 9], &[], disks(&[1, 3]));
    view.own = ReplicaId(9);
    for voter in &mut view.members.voters {
        if voter.id == view.own {
            voter.address = "a2".into();
        }
    }
    let (after, _) = voters::next(&view, 3).expect("the former disk votes no more");
    assert_eq!(ids(&after.voters), [1, 3, 9]);
}
