//! Entry VMs: their word, their leases, and what is new for them.

use super::*;

impl Leader {
    /// Takes in an entry's word; its lease is renewed by the answer.
    pub(crate) fn hear(&mut self, state: &EntryState) {
        let now = self.clock.now();
        if state.leaving {
            log::info!("entry {} has stopped", state.entry);
            self.entries.leave(&state.entry);
            self.directory.tick(now, &self.entries);
            self.bump();
            return;
        }
        let hello = Hello {
            name: state.entry.clone(),
            incarnation: state.incarnation,
            callers: state.callers.clone(),
            zone: state.zone.clone(),
            acked: Revision(state.acked),
            draining: state.draining,
        };
        let known = self.entries.get(&state.entry);
        let news = known.is_none_or(|entry| {
            entry.draining != state.draining || entry.incarnation != state.incarnation
        });
        if self.entries.hear(now, &hello) {
            log::info!("entry {} was restarted", state.entry);
            self.directory.owner_restarted(now, &state.entry);
        }
        for spec in &state.owned {
            self.directory.adopt(now, spec.clone(), &state.entry);
        }
        for name in &state.let_go {
            self.directory.let_go(name, &state.entry);
        }
        if news || !state.owned.is_empty() || !state.let_go.is_empty() {
            self.directory.tick(now, &self.entries);
            self.bump();
        }
        self.answer_in_force();
    }

    /// What is new for an entry, and whether that is anything at all.
    pub(crate) fn news_for(&self, state: &EntryState) -> (News, bool) {
        let same_term = state.term == self.term;
        let table_version = if same_term { state.table_version } else { 0 };
        let documents: Vec<_> = self
            .machine
            .services()
            .filter(|service| service.accepted.revision.0 > state.acked)
            .map(|service| service.accepted.clone())
            .collect();
        let runners = self.directory.changes(table_version);
        let any = !same_term
            || self.machine.revision().0 > state.acked
            || (self.settled && !state.settled)
            || self.directory.version() > table_version;
        let runners = runners.into_iter().map(|change| RunnerChange {
            spec: change.spec,
            usable: change.usable,
            busy: change.busy,
            owner: change.owner,
        });
        let news = News {
            term: self.term,
            revision: self.machine.revision().0,
            documents,
            table_version: self.directory.version(),
            runners: runners.collect(),
            entries: self.neighbours(),
            settled: self.settled,
        };
        (news, any)
    }

    pub(super) fn neighbours(&self) -> Vec<Neighbour> {
        let now = self.clock.now();
        let alive = self.entries.iter().filter(|(_, entry)| entry.may_hold_lease(now));
        alive
            .map(|(name, entry)| Neighbour {
                name: name.clone(),
                callers: entry.callers.clone(),
                zone: entry.zone.clone(),
                draining: entry.draining,
            })
            .collect()
    }
}
