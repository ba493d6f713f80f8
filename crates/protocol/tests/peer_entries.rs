//! Entries that requests are forwarded to during a change of leader.

use yuccalink_protocol::peer::PeerEntry;
use yuccalink_state::id::Name;

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

fn entry(text: &str, draining: bool) -> PeerEntry {
    PeerEntry {
        name: name(text),
        caller_address: format!("{text}:80").into(),
        zone: name("z"),
        draining,
    }
}

fn names(known: &[PeerEntry]) -> Vec<&str> {
    known.iter().map(|entry| entry.name.as_str()).collect()
}

/// Guards against a new leader without runners of its own that answers callers that no runner is
/// known, because the other entries have not reported to it yet.
#[test]
fn entries_that_have_not_reported_to_a_new_leader_still_get_forwarded_requests() {
    let former = [entry("e1", false), entry("e2", false), entry("e3", true)];
    let after_election = PeerEntry::known(vec![entry("e2", false)], &former, false);
    assert_eq!(names(&after_election), ["e2", "e1", "e3"]);
    assert!(after_election[2].draining, "a draining entry stays draining");
    let after_report =
        PeerEntry::known(vec![entry("e2", false), entry("e1", true)], &after_election, false);
    assert!(after_report[1].draining, "a newer report replaces the former state");
    let complete = PeerEntry::known(vec![entry("e2", false)], &after_report, true);
    assert_eq!(
        names(&complete),
        ["e2"],
        "an entry that is gone is removed once the table is complete"
    );
}
