//! Runners that an entry gives back: it sends them nothing more, and releases each one once no
//! request is in flight there.

use std::collections::BTreeSet;
use yuccalink_state::id::Name;

/// The runners that an entry is releasing, each listed once.
///
/// ```
/// use yuccalink_coordination::releases::Releases;
/// use yuccalink_state::id::Name;
/// let mut releases = Releases::default();
/// releases.add(Name::new("r1")?);
/// assert!(releases.take_idle(|_| false).is_empty(), "a request is in flight");
/// assert_eq!(releases.take_idle(|_| true), [Name::new("r1")?]);
/// # Ok::<(), yuccalink_state::id::BadName>(())
/// ```
#[derive(Debug, Default)]
pub struct Releases(BTreeSet<Name>);

impl Releases {
    /// Starts to release a runner.
    pub fn add(&mut self, name: Name) {
        self.0.insert(name);
    }

    /// Keeps a runner that was to be released.
    pub fn cancel(&mut self, name: &Name) {
        self.0.remove(name);
    }

    /// Whether a runner is being released.
    pub fn contains(&self, name: &Name) -> bool {
        self.0.contains(name)
    }

    /// Removes and returns the runners without requests in flight, as told by `is_idle`.
    pub fn take_idle<F>(&mut self, mut is_idle: F) -> Vec<Name>
    where
        F: FnMut(&Name) -> bool,
    {
        let mut idle = Vec::new();
        self.0.retain(|name| {
            let kept = !is_idle(name);
            if !kept {
                idle.push(name.clone());
            }
            kept
        });
        idle
    }
}
