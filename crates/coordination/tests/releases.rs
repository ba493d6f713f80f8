//! Tests which runners an entry releases.

use yuccalink_coordination::releases::Releases;
use yuccalink_state::id::Name;

/// Guards against a runner that is released twice: when the entry's lease expires, and again
/// when the next leader's runner table lacks it.
#[test]
fn a_runner_is_released_once_however_often_it_is_given_back() {
    let name = Name::new("r1").expect("a name");
    let mut releases = Releases::default();
    releases.add(name.clone());
    releases.add(name.clone());
    assert!(releases.take_idle(|_| false).is_empty());
    assert_eq!(releases.take_idle(|_| true).len(), 1);
    assert!(releases.take_idle(|_| true).is_empty());
    assert!(!releases.contains(&name));
}
