//! Who founds a cell, and whom a process believes to lead it.

use proptest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;
use yuccalink_coordination::Moment;
use yuccalink_coordination::peer_table::{LEAD_FRESH, LeaderInfo, NodeInfo, PeerTable};
use yuccalink_coordination::raft::ReplicaId;

const SEEDS: usize = 3;

fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, u8::try_from(at + 1).unwrap()], 8082))
}

fn info(at: usize, disk: bool) -> NodeInfo {
    NodeInfo {
        name: format!("e{at}").into(),
        zone: "z".into(),
        peer: address(at),
        control: None,
        replica: disk.then_some(ReplicaId(at as u64 + 1)),
        may_bootstrap: disk,
    }
}

fn seeds() -> Vec<SocketAddr> {
    (0..SEEDS).map(address).collect()
}

/// Processes of a new cell, the first of them its seeds.
fn peer_tables(disks: &[bool]) -> Vec<PeerTable> {
    let peer_table = |(at, disk): (usize, &bool)| PeerTable::new(info(at, *disk), seeds(), true);
    disks.iter().enumerate().map(peer_table).collect()
}

/// `to` hears `from` itself, and what it says of the founder.
fn hear(all: &mut [PeerTable], to: usize, from: usize, now: Moment) {
    let (me, founder) = (all[from].me.clone(), all[from].designated());
    all[to].record_peer(me, now);
    all[to].record_bootstrapper(founder, address(from));
}

fn founders(all: &[PeerTable]) -> Vec<usize> {
    (0..all.len())
        .filter(|at| all[*at].me.replica.is_some() && all[*at].should_bootstrap(true))
        .collect()
}

fn lead(at: usize, term: u64) -> LeaderInfo {
    LeaderInfo { term, peer: address(at), control: None, serving: true }
}

proptest! {
    /// Two operators see two systems, each with half of the jobs: at the very first start
    /// two processes found, since each has not heard of the other. Whatever is heard in
    /// whatever order, no two may found; once all have heard all, one does if any has a
    /// disk.
    #[test]
    fn exactly_one_founds(
        disks in prop::collection::vec(any::<bool>(), 4..8),
        heard in prop::collection::vec((0usize..8, 0usize..8), 0..60),
    ) {
        let now = Moment::from_millis(1_000);
        let mut all = peer_tables(&disks);
        let mut ever = std::collections::BTreeSet::new();
        for (to, from) in heard {
            let (to, from) = (to % disks.len(), from % disks.len());
            if to != from {
                hear(&mut all, to, from, now);
            }
            ever.extend(founders(&all));
            prop_assert!(ever.len() <= 1, "{ever:?} of {disks:?}");
        }
        for _ in 0..2 {
            for to in 0..disks.len() {
                for from in 0..disks.len() {
                    if to != from {
                        hear(&mut all, to, from, now);
                    }
                }
            }
        }
        ever.extend(founders(&all));
        prop_assert_eq!(ever.len(), usize::from(disks.contains(&true)), "{:?}", disks);
    }
}

/// A disk comes back empty long after the first start, and nobody has told it yet that
/// there is a cell. It must not found a second one beside the first.
#[test]
fn nobody_founds_after_the_first_start_or_beside_a_leader() {
    let later = PeerTable::new(info(0, true), seeds(), false);
    assert!(!later.should_bootstrap(true));
    let mut first = PeerTable::new(info(0, true), seeds(), true);
    assert!(first.should_bootstrap(true));
    first.record_leader(lead(2, 4), address(5), Moment::ZERO);
    assert!(!first.should_bootstrap(true));
    first.clear_leader(address(2), "test");
    assert!(!first.should_bootstrap(true), "a cell is there, though nobody leads it now");
}

/// A process that was cut off tells of a leader of an earlier term. Callers must not be
/// sent back to it, and what others tell never makes a leader count as serving.
#[test]
fn an_earlier_leader_is_not_believed_in() {
    let now = Moment::from_millis(1_000);
    let mut peer_table = PeerTable::new(info(3, false), seeds(), false);
    peer_table.record_leader(lead(1, 5), address(1), now);
    assert!(peer_table.lead().is_some_and(|lead| lead.serving), "it says so itself");
    peer_table.record_leader(lead(0, 4), address(0), now);
    assert_eq!(peer_table.lead().map(|lead| lead.peer), Some(address(1)));
    peer_table.record_leader(lead(2, 6), address(0), now);
    let told = peer_table.lead().expect("a leader");
    assert_eq!((told.peer, told.serving), (address(2), false));
}

/// A leader falls silent without a reset. Requests that go on to it would wait for
/// nothing, so after three missed answers there is none; hearsay does not keep it.
#[test]
fn a_silent_leader_is_dropped() {
    let mut now = Moment::from_millis(1_000);
    let mut peer_table = PeerTable::new(info(3, false), seeds(), false);
    peer_table.record_leader(lead(1, 5), address(1), now);
    now = now + LEAD_FRESH;
    peer_table.record_leader(lead(1, 5), address(0), now);
    peer_table.tick(now);
    assert!(peer_table.lead().is_some(), "it may still answer");
    peer_table.tick(now + Duration::from_millis(1));
    assert!(peer_table.lead().is_none());
}
