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
fn entries_that_a_new_leader_has_not_heard_yet_are_still_handed_requests() {
    let former = [entry("e1", false), entry("e2", false), entry("e3", true)];
    let at_once = PeerEntry::known(vec![entry("e2", false)], &former, false);
    assert_eq!(names(&at_once), ["e2", "e1", "e3"]);
    assert!(at_once[2].draining, "one that is about to stop stays known as such");
    let heard = PeerEntry::known(vec![entry("e2", false), entry("e1", true)], &at_once, false);
    assert!(heard[1].draining, "a newer word counts");
    let settled = PeerEntry::known(vec![entry("e2", false)], &heard, true);
    assert_eq!(names(&settled), ["e2"], "one that is gone is forgotten");
}
