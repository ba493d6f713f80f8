//! Which life of each runner is the newest, and which are over.
//!
//! A new life under the same name, or at the same address, means that the former is over,
//! whatever a delayed report of it still says.

use std::collections::{BTreeSet, HashMap};
use yuccalink_state::jobs::{Jobs, Life, LifeKey};

/// The newest life by name and by address: one look each, however many lives are known.
#[derive(Debug, Default)]
pub(super) struct Lives {
    by_id: HashMap<Box<str>, LifeKey>,
    by_address: HashMap<Box<str>, LifeKey>,
    over: BTreeSet<LifeKey>,
}

impl Lives {
    /// Those in the log, in the order in which they were met.
    pub(super) fn of(jobs: &Jobs) -> Self {
        let mut lives = Self::default();
        for (key, _) in jobs.lives() {
            lives.meet(key, jobs);
        }
        lives
    }

    /// A life is in the log: marks those that it ends, or itself where a newer one is known.
    pub(super) fn meet(&mut self, key: LifeKey, jobs: &Jobs) {
        let Some(life) = jobs.life(key) else { return };
        let mut newest = (key, life);
        for rival in self.rivals(key, life) {
            let Some(known) = jobs.life(rival) else { continue };
            if known.born_ms > newest.1.born_ms {
                self.over.insert(newest.0);
                newest = (rival, known);
            } else {
                self.over.insert(rival);
            }
        }
        if newest.1.id == life.id {
            self.by_id.insert(life.id.clone(), newest.0);
        }
        if newest.1.address == life.address {
            self.by_address.insert(life.address.clone(), newest.0);
        }
    }

    /// Lives that are not over, of the same name or at the same address.
    fn rivals(&self, key: LifeKey, life: &Life) -> BTreeSet<LifeKey> {
        let known = [self.by_id.get(&life.id), self.by_address.get(&life.address)];
        let rivals = known.into_iter().flatten().copied();
        rivals.filter(|rival| *rival != key && !self.over.contains(rival)).collect()
    }

    /// The newest life of a runner.
    pub(super) fn newest(&self, id: &str) -> Option<LifeKey> {
        self.by_id.get(id).copied()
    }

    /// A runner has left.
    pub(super) fn end(&mut self, key: LifeKey) {
        self.over.insert(key);
    }

    /// Whether a life is over, though a late report of it may still come.
    pub(super) fn is_over(&self, key: LifeKey) -> bool {
        self.over.contains(&key)
    }

    /// All that are.
    pub(super) fn over(&self) -> impl Iterator<Item = LifeKey> {
        self.over.iter().copied()
    }
}
