//! Which incarnation of each runner is the newest, and which have ended.
//!
//! A new incarnation under the same name or at the same address means that the former one has
//! ended, whatever a delayed report of it still says.

use std::collections::{BTreeSet, HashMap};
use yuccalink_state::jobs::{CellState, IncarnationKey, RunnerIncarnation};

/// The newest incarnation by name and by address, each found by one lookup however many
/// incarnations are known.
#[derive(Debug, Default)]
pub(in crate::jobs) struct Incarnations {
    by_id: HashMap<Box<str>, IncarnationKey>,
    by_address: HashMap<Box<str>, IncarnationKey>,
    ended: BTreeSet<IncarnationKey>,
    /// Ended incarnations that may still have runs.
    ended_with_runs: BTreeSet<IncarnationKey>,
}

impl Incarnations {
    /// Builds the index from the committed incarnations, in the order of their registration.
    pub(in crate::jobs) fn from_state(state: &CellState) -> Self {
        let mut incarnations = Self::default();
        for (key, _) in state.incarnations() {
            incarnations.add(key, state);
        }
        incarnations
    }

    /// Adds a committed incarnation. Marks the incarnations that it replaces as ended, or the
    /// added one if a newer one is known.
    pub(in crate::jobs) fn add(&mut self, key: IncarnationKey, state: &CellState) {
        let Some(incarnation) = state.incarnation(key) else { return };
        let mut newest = (key, incarnation);
        for rival in self.conflicting(key, incarnation) {
            let Some(known) = state.incarnation(rival) else { continue };
            if known.started_ms > newest.1.started_ms {
                self.mark_ended(newest.0);
                newest = (rival, known);
            } else {
                self.mark_ended(rival);
            }
        }
        if newest.1.id == incarnation.id {
            self.by_id.insert(incarnation.id.clone(), newest.0);
        }
        if newest.1.address == incarnation.address {
            self.by_address.insert(incarnation.address.clone(), newest.0);
        }
    }

    /// Incarnations with the same name or address that have not ended.
    fn conflicting(
        &self,
        key: IncarnationKey,
        incarnation: &RunnerIncarnation,
    ) -> BTreeSet<IncarnationKey> {
        let known = [self.by_id.get(&incarnation.id), self.by_address.get(&incarnation.address)];
        let conflicting = known.into_iter().flatten().copied();
        conflicting.filter(|rival| *rival != key && !self.ended.contains(rival)).collect()
    }

    /// The newest incarnation of a runner.
    pub(in crate::jobs) fn newest(&self, id: &str) -> Option<IncarnationKey> {
        self.by_id.get(id).copied()
    }

    /// Marks an incarnation as ended.
    pub(in crate::jobs) fn mark_ended(&mut self, key: IncarnationKey) {
        self.ended.insert(key);
        self.ended_with_runs.insert(key);
    }

    /// Whether an incarnation has ended; a delayed report of it may still arrive.
    pub(in crate::jobs) fn has_ended(&self, key: IncarnationKey) -> bool {
        self.ended.contains(&key)
    }

    /// Ended incarnations whose runs may not all be given up yet.
    pub(in crate::jobs) fn ended_with_runs(&self) -> Vec<IncarnationKey> {
        self.ended_with_runs.iter().copied().collect()
    }

    /// Records that an ended incarnation has no runs and gets none.
    pub(in crate::jobs) fn runs_given_up(&mut self, key: IncarnationKey) {
        self.ended_with_runs.remove(&key);
    }
}
