//! What entries are told of runners.

use std::collections::BTreeSet;
use yuccalink_coordination::Moment;
use yuccalink_coordination::directory::Directory;
use yuccalink_state::id::{Incarnation, Name};
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

/// An entry that is told a large table in pieces missed runners that changed between two of them.
#[test]
fn a_table_told_in_pieces_leaves_nobody_out() {
    const RUNNERS: usize = 10;
    const MOST: usize = 3;
    let now = Moment::from_millis(10_000);
    let mut directory = Directory::new();
    for at in 0..RUNNERS {
        directory.announce(now, TargetSpec::Runner(runner(at)), 0);
    }
    let (mut version, mut pieces) = (0, 0);
    let (mut told, mut unusable) = (BTreeSet::new(), BTreeSet::new());
    while version < directory.version() {
        let (changes, upto) = directory.changes(version, MOST);
        assert!(changes.len() <= MOST && upto > version);
        for change in changes {
            if !change.usable {
                unusable.insert(change.spec.name.clone());
            }
            told.insert(change.spec.name);
        }
        if pieces == 0 {
            // One that was told already, and one that was not.
            directory.leave(&runner(0).name, Incarnation(1));
            directory.leave(&runner(7).name, Incarnation(1));
        }
        (version, pieces) = (upto, pieces + 1);
    }
    assert_eq!(told.len(), RUNNERS);
    assert_eq!(unusable, BTreeSet::from([runner(0).name, runner(7).name]));
    assert!(pieces > RUNNERS / MOST);
}
