//! Entry VMs: their reports, their leases and the updates sent to them.

use super::*;
use yuccalink_state::document::Accepted;

/// Largest total size of the documents in one update; a single larger document is still
/// sent. 64 KiB take a quarter of a second on a link of 2 Mbit/s; an update that takes longer than the
/// timeout of a call would never arrive.
const DOCUMENTS_MAX_BYTES: usize = 64 * 1024;
/// Largest number of runners in one update, at about 150 bytes each.
const RUNNERS_MAX: usize = 400;

impl Leader {
    /// Processes an entry's report. The response to the report renews the entry's lease.
    pub(crate) fn handle_entry_report(&mut self, state: &EntryState) {
        let now = self.clock.now();
        if state.leaving {
            log::info!("entry {} has stopped", state.entry);
            self.entries.leave(&state.entry);
            self.directory.tick(now, &self.entries);
            self.signal_update();
            return;
        }
        let report = EntryReport {
            name: state.entry.clone(),
            incarnation: state.incarnation,
            caller_address: state.caller_address.clone(),
            zone: state.zone.clone(),
            acked_revision: Revision(state.acked_revision),
            acked_table: if state.term == self.term { state.table_version } else { 0 },
            draining: state.draining,
        };
        let known = self.entries.get(&state.entry);
        let changed = known.is_none_or(|entry| {
            entry.draining != state.draining || entry.incarnation != state.incarnation
        });
        if self.entries.record_report(now, &report) {
            log::info!("entry {} was restarted", state.entry);
            self.directory.owner_restarted(now, &state.entry);
        }
        for spec in &state.owned {
            self.directory.restore_owner(now, spec.clone(), &state.entry);
        }
        for name in &state.released_runners {
            self.directory.confirm_release(name, &state.entry);
        }
        if changed || !state.owned.is_empty() || !state.released_runners.is_empty() {
            self.directory.tick(now, &self.entries);
            self.signal_update();
        }
        self.answer_in_force_waiters();
        self.answer_zone_waiters();
    }

    /// Answers all entries at once, whether or not they have anything to learn.
    pub(crate) fn renew_leases(&mut self) {
        self.lease_round += 1;
        self.signal_update();
    }

    pub(crate) fn lease_round(&self) -> u64 {
        self.lease_round
    }

    /// Whether every entry that may hold a lease has reported after `since`.
    pub(crate) fn all_reported_since(&self, since: Moment) -> bool {
        self.entries.all_reported_since(self.clock.now(), since)
    }

    /// Builds the update for an entry; the flag tells whether it contains anything new.
    pub(crate) fn entry_update(&self, state: &EntryState) -> (EntryUpdate, bool) {
        let same_term = state.term == self.term;
        let table_version = if same_term { state.table_version } else { 0 };
        let (documents, revision) = self.documents_after(state.acked_revision);
        let (runners, up_to) = self.directory.changes(table_version, RUNNERS_MAX);
        let has_changes = !same_term
            || self.state.revision().0 > state.acked_revision
            || (self.runner_table_complete && !state.runner_table_complete)
            || self.directory.version() > table_version;
        let complete = revision == self.state.revision().0 && up_to == self.directory.version();
        let runners = runners.into_iter().map(|change| RunnerChange {
            spec: change.spec,
            usable: change.usable,
            busy: change.busy,
            owner: change.owner,
        });
        let update = EntryUpdate {
            term: self.term,
            revision,
            documents,
            table_version: up_to,
            runners: runners.collect(),
            entries: self.peer_entries(),
            runner_table_complete: self.runner_table_complete && complete,
        };
        (update, has_changes)
    }

    /// Returns the documents accepted after `revision`, oldest first and limited to
    /// [`DOCUMENTS_MAX_BYTES`], and the revision up to which they are complete.
    fn documents_after(&self, revision: u64) -> (Vec<Accepted>, u64) {
        let accepted = self.state.services().map(|service| &service.accepted);
        let mut new: Vec<&Accepted> = accepted.filter(|a| a.revision.0 > revision).collect();
        new.sort_by_key(|accepted| accepted.revision);
        let mut bytes = 0;
        let fits = |accepted: &&&Accepted| {
            bytes += accepted.text.len();
            bytes <= DOCUMENTS_MAX_BYTES || bytes == accepted.text.len()
        };
        let sent: Vec<Accepted> = new.iter().take_while(fits).map(|a| Accepted::clone(a)).collect();
        let up_to = match sent.len() < new.len() {
            true => sent.last().map_or(revision, |last| last.revision.0),
            false => self.state.revision().0,
        };
        (sent, up_to)
    }

    /// Lists the entries that may hold a lease.
    pub(super) fn peer_entries(&self) -> Vec<PeerEntry> {
        let now = self.clock.now();
        let alive = self.entries.iter().filter(|(_, entry)| entry.may_hold_lease(now));
        alive
            .map(|(name, entry)| PeerEntry {
                name: name.clone(),
                caller_address: entry.caller_address.clone(),
                zone: entry.zone.clone(),
                draining: entry.draining,
            })
            .collect()
    }
}
