//! Tests which process bootstraps a cell, and which leader a process knows.

use proptest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;
use yuccalink_coordination::Moment;
use yuccalink_coordination::peer_table::{LEADER_TIMEOUT, LeaderInfo, NodeInfo, PeerTable};
use yuccalink_coordination::raft::ReplicaId;

const SEEDS: usize = 3;

fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, u8::try_from(at + 1).unwrap()], 8082))
}

fn info(at: usize, has_disk: bool) -> NodeInfo {
    NodeInfo {
        name: format!("e{at}").into(),
        zone: "z".into(),
        peer: address(at),
        control: None,
        replica: has_disk.then_some(ReplicaId(at as u64 + 1)),
        may_bootstrap: has_disk,
    }
}

fn seeds() -> Vec<SocketAddr> {
    (0..SEEDS).map(address).collect()
}

/// Processes of a new cell; the first ones are its seeds.
fn peer_tables(disks: &[bool]) -> Vec<PeerTable> {
    let peer_table =
        |(at, has_disk): (usize, &bool)| PeerTable::new(info(at, *has_disk), seeds(), true);
    disks.iter().enumerate().map(peer_table).collect()
}

/// `to` receives the record of `from` and the replica that `from` would let bootstrap.
fn receive_record(all: &mut [PeerTable], to: usize, from: usize, now: Moment) {
    let (me, bootstrapper) = (all[from].me.clone(), all[from].designated());
    all[to].record_peer(me, now);
    all[to].record_bootstrapper(bootstrapper, address(from));
}

fn bootstrappers(all: &[PeerTable]) -> Vec<usize> {
    (0..all.len())
        .filter(|at| all[*at].me.replica.is_some() && all[*at].should_bootstrap(true))
        .collect()
}

fn leader_info(at: usize, term: u64) -> LeaderInfo {
    LeaderInfo { term, peer: address(at), control: None, serving: true }
}

proptest! {
    /// If two processes bootstrapped before they knew each other, there would be two cells, each
    /// with half of the jobs. In no order of messages may two processes bootstrap. Once all have
    /// heard from all, one does, provided that any has a disk.
    #[test]
    fn exactly_one_process_bootstraps(
        disks in prop::collection::vec(any::<bool>(), 4..8),
        deliveries in prop::collection::vec((0usize..8, 0usize..8), 0..60),
    ) {
        let now = Moment::from_millis(1_000);
        let mut all = peer_tables(&disks);
        let mut all_bootstrappers = std::collections::BTreeSet::new();
        for (to, from) in deliveries {
            let (to, from) = (to % disks.len(), from % disks.len());
            if to != from {
                receive_record(&mut all, to, from, now);
            }
            all_bootstrappers.extend(bootstrappers(&all));
            prop_assert!(all_bootstrappers.len() <= 1, "{all_bootstrappers:?} of {disks:?}");
        }
        for _ in 0..2 {
            for to in 0..disks.len() {
                for from in 0..disks.len() {
                    if to != from {
                        receive_record(&mut all, to, from, now);
                    }
                }
            }
        }
        all_bootstrappers.extend(bootstrappers(&all));
        prop_assert_eq!(all_bootstrappers.len(), usize::from(disks.contains(&true)), "{:?}", disks);
    }
}

/// A disk that comes back empty long after the first start must not bootstrap a second cell,
/// even before its process learns of the first.
#[test]
fn no_process_bootstraps_after_the_first_start_or_beside_a_leader() {
    let later = PeerTable::new(info(0, true), seeds(), false);
    assert!(!later.should_bootstrap(true));
    let mut first = PeerTable::new(info(0, true), seeds(), true);
    assert!(first.should_bootstrap(true));
    first.record_leader(leader_info(2, 4), address(5), Moment::ZERO);
    assert!(!first.should_bootstrap(true));
    first.clear_leader(address(2), "test");
    assert!(!first.should_bootstrap(true), "the cell exists, though it has no leader now");
}

/// A process that was partitioned reports a leader of an earlier term. Requests must not go back
/// to that leader, and only a leader's own report makes it count as serving.
#[test]
fn a_leader_of_an_earlier_term_is_ignored() {
    let now = Moment::from_millis(1_000);
    let mut peer_table = PeerTable::new(info(3, false), seeds(), false);
    peer_table.record_leader(leader_info(1, 5), address(1), now);
    assert!(
        peer_table.lead().is_some_and(|leader_info| leader_info.serving),
        "the leader reports itself as serving"
    );
    peer_table.record_leader(leader_info(0, 4), address(0), now);
    assert_eq!(peer_table.lead().map(|leader_info| leader_info.peer), Some(address(1)));
    peer_table.record_leader(leader_info(2, 6), address(0), now);
    let known = peer_table.lead().expect("a leader");
    assert_eq!((known.peer, known.serving), (address(2), false));
}

/// A leader becomes unreachable without a connection reset, and requests sent to it would wait
/// in vain. It is dropped after three missed replies, and reports of other processes do not keep
/// it.
#[test]
fn a_silent_leader_is_dropped() {
    let mut now = Moment::from_millis(1_000);
    let mut peer_table = PeerTable::new(info(3, false), seeds(), false);
    peer_table.record_leader(leader_info(1, 5), address(1), now);
    now = now + LEADER_TIMEOUT;
    peer_table.record_leader(leader_info(1, 5), address(0), now);
    peer_table.tick(now);
    assert!(peer_table.lead().is_some(), "it may still answer");
    peer_table.tick(now + Duration::from_millis(1));
    assert!(peer_table.lead().is_none());
}

fn table_without_disk(at: usize, disks: usize, now: Moment) -> PeerTable {
    let mut peer_table = PeerTable::new(info(at, false), seeds(), false);
    for disk in 0..disks {
        peer_table.record_reported_peer(&info(disk, true), now);
    }
    peer_table
}

/// Guards against a storm of connections: each entry asked every disk whenever it lost its leader.
#[test]
fn an_entry_that_looks_for_the_leader_asks_a_few_processes_at_a_time() {
    const DISKS: usize = 12;
    const ENTRIES: usize = 100;
    let now = Moment::from_millis(1_000);
    let mut asked = std::collections::BTreeMap::new();
    for at in 0..ENTRIES {
        let links = table_without_disk(DISKS + at, DISKS, now).wanted_links(&[]);
        assert!(links.len() <= 3, "{links:?}");
        links.into_iter().for_each(|link| *asked.entry(link).or_insert(0) += 1);
    }
    let most = asked.values().max().copied().unwrap_or(0);
    assert_eq!(asked.len(), DISKS, "every disk is asked by some");
    assert!(most <= ENTRIES / 2, "one disk is asked by {most} of {ENTRIES}");
}

/// Guards against an entry that asks the same dead processes for ever.
#[test]
fn a_search_for_the_leader_reaches_every_disk() {
    const DISKS: usize = 12;
    let mut now = Moment::from_millis(1_000);
    let mut peer_table = table_without_disk(DISKS, DISKS, now);
    let mut asked = std::collections::BTreeSet::new();
    for _ in 0..DISKS {
        peer_table.tick(now);
        asked.extend(peer_table.wanted_links(&[]));
        now = now + Duration::from_millis(1_001);
    }
    assert_eq!(asked.len(), DISKS);
}

/// Guards against connections that are opened and closed again at the start, as disks are reported.
#[test]
fn disks_that_are_reported_during_a_search_change_nothing_about_it() {
    let now = Moment::ZERO;
    let mut peer_table = PeerTable::new(info(20, false), seeds(), false);
    peer_table.tick(now);
    let links = peer_table.wanted_links(&[]);
    assert_eq!(links.len(), SEEDS);
    for disk in 0..12 {
        peer_table.record_reported_peer(&info(disk, true), now);
    }
    peer_table.tick(now + Duration::from_millis(100));
    assert_eq!(peer_table.wanted_links(&[]), links);
}
