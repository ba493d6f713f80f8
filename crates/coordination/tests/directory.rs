//! Tests what the runner directory sends to entries.

use std::collections::BTreeSet;
use std::time::Duration;
use yuccalink_coordination::Moment;
use yuccalink_coordination::directory::{Directory, SUSPECT_MIN, Usage};
use yuccalink_coordination::entries::{EntryReport, EntryTable};
use yuccalink_state::evacuation::{Evacuations, ZoneAction, ZoneOrder};
use yuccalink_state::id::{Incarnation, Name, Revision};
use yuccalink_state::target::{RunnerSpec, TargetSpec};

fn runner(at: usize) -> RunnerSpec {
    RunnerSpec {
        name: Name::new(&format!("r{at}")).expect("a name"),
        incarnation: Incarnation(1),
        service: Name::new("quotes").expect("a name"),
        address: "127.0.0.1:9".into(),
        slots: 8,
        connections: 64,
        zone: Name::new("brno").expect("a name"),
    }
}

/// An entry that receives a large table in several parts must not miss runners that change
/// between two parts.
#[test]
fn a_table_sent_in_parts_misses_no_runner() {
    const RUNNERS: usize = 10;
    const PART_MAX: usize = 3;
    let now = Moment::from_millis(10_000);
    let mut directory = Directory::new();
    for at in 0..RUNNERS {
        directory.announce(now, TargetSpec::Runner(runner(at)), 0);
    }
    let (mut version, mut parts) = (0, 0);
    let (mut received, mut unusable) = (BTreeSet::new(), BTreeSet::new());
    while version < directory.version() {
        let (changes, upto) = directory.changes(version, PART_MAX);
        assert!(changes.len() <= PART_MAX && upto > version);
        for change in changes {
            if !change.usable {
                unusable.insert(change.spec.name.clone());
            }
            received.insert(change.spec.name);
        }
        if parts == 0 {
            // One runner that was sent already, and one that was not.
            directory.leave(&runner(0).name, Incarnation(1));
            directory.leave(&runner(7).name, Incarnation(1));
        }
        (version, parts) = (upto, parts + 1);
    }
    assert_eq!(received.len(), RUNNERS);
    assert_eq!(unusable, BTreeSet::from([runner(0).name, runner(7).name]));
    assert!(parts > RUNNERS / PART_MAX);
}

fn entry_table(now: Moment) -> EntryTable {
    let mut entries = EntryTable::new(Moment::ZERO);
    entries.record_report(now, &report("e1"));
    entries
}

fn report(entry: &str) -> EntryReport {
    EntryReport {
        name: Name::new(entry).expect("a name"),
        incarnation: Incarnation(1),
        caller_address: "127.0.0.1:8080".into(),
        zone: Name::new("brno").expect("a name"),
        acked_revision: Revision(0),
        acked_table: 0,
        draining: false,
    }
}

fn usable(directory: &Directory) -> usize {
    let (changes, _) = directory.changes(0, usize::MAX);
    changes.iter().filter(|change| change.usable).count()
}

/// A leader that was paused must not suspect all runners at once, or entries refuse every
/// request.
#[test]
fn a_paused_leader_suspects_no_runner() {
    const RUNNERS: usize = 6;
    let mut now = Moment::from_millis(10_000);
    let entries = entry_table(now);
    let mut directory = Directory::new();
    for at in 0..RUNNERS {
        directory.announce(now, TargetSpec::Runner(runner(at)), 0);
    }
    directory.tick(now, &entries);
    now = now + SUSPECT_MIN * 2;
    directory.tick(now, &entries);
    assert_eq!(usable(&directory), RUNNERS, "their heartbeats may wait to be read");
    for _ in 0..31 {
        now = now + Duration::from_millis(100);
        directory.heartbeat(now, &runner(0).name, Incarnation(1), Usage::default());
        directory.tick(now, &entries);
    }
    assert_eq!(usable(&directory), 1, "the others have sent nothing since the pause");
}

fn evacuations(action: ZoneAction) -> Evacuations {
    let mut evacuations = Evacuations::default();
    let order = ZoneOrder { zone: "brno".into(), action, empty: false, number: None };
    evacuations.apply(&order, 1);
    evacuations
}

/// Guards against requests to runners of an evacuated zone, also to those that announce
/// themselves later or that an entry reports to a new leader.
#[test]
fn runners_of_an_evacuated_zone_are_not_usable() {
    let now = Moment::from_millis(10_000);
    let entries = entry_table(now);
    let mut directory = Directory::new();
    directory.announce(now, TargetSpec::Runner(runner(0)), 0);
    directory.tick(now, &entries);
    let before = directory.version();
    directory.set_evacuations(&evacuations(ZoneAction::Evacuate));
    assert_eq!(directory.changes(before, 9).0.len(), 1, "entries hear of it");
    directory.announce(now, TargetSpec::Runner(runner(1)), 0);
    directory.restore_owner(now, runner(2), &Name::new("e1").expect("a name"));
    assert_eq!(usable(&directory), 0);
    directory.set_evacuations(&evacuations(ZoneAction::Restore));
    assert_eq!(usable(&directory), 3);
}

/// Guards against an evacuation that is acknowledged while an entry routes by an older table.
#[test]
fn an_older_table_is_waited_for_until_its_entrys_lease_has_ended() {
    use yuccalink_coordination::entries::RolloutStatus;
    let now = Moment::from_millis(10_000);
    let entries = entry_table(now);
    assert_eq!(entries.directory_status(now, 0), RolloutStatus::Everywhere);
    assert!(matches!(entries.directory_status(now, 1), RolloutStatus::Not(_)));
    let later = now + Duration::from_secs(4);
    assert_eq!(entries.directory_status(later, 1), RolloutStatus::Everywhere);
}

/// Guards against a planned stop of the leader while an entry's lease is old: an election that
/// takes two seconds then outlasts it.
#[test]
fn an_entry_counts_as_renewed_only_after_a_later_report() {
    let now = Moment::from_millis(10_000);
    let mut entries = entry_table(now);
    assert!(!entries.all_reported_since(now, now));
    let later = now + Duration::from_millis(1);
    entries.record_report(later, &report("e1"));
    assert!(entries.all_reported_since(later, now));
    entries.record_report(now, &report("e2"));
    assert!(!entries.all_reported_since(later, now));
    let after_lease = now + Duration::from_secs(4);
    assert!(entries.all_reported_since(after_lease, later), "neither holds a lease");
}
