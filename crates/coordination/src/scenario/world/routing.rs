//! Fake runners and entries: ownership and requests in flight.

use super::*;

/// Maximum number of changes sent to an entry at once; low, so that most updates need several
/// messages.
const CHANGES_MAX: usize = 8;

impl World {
    pub(super) fn send_runner_heartbeats(&mut self) {
        for runner in &mut self.runners {
            if runner.silent || self.now < runner.next_heartbeat {
                continue;
            }
            let spec = &runner.spec;
            if !runner.known {
                let target = TargetSpec::Runner(spec.clone());
                self.directory.announce(self.now, target, runner.busy);
                runner.known = true;
            }
            let usage = Usage { busy: runner.busy, ..Usage::default() };
            let heard = if runner.leaving {
                self.directory.leave(&spec.name, spec.incarnation)
            } else {
                self.directory.heartbeat(self.now, &spec.name, spec.incarnation, usage)
            };
            runner.known = heard == HeartbeatOutcome::Noted;
            runner.next_heartbeat = self.now + HEARTBEAT_INTERVAL;
        }
    }

    pub(super) fn sync_due_entries(&mut self) {
        for at in 0..self.fake_entries.len() {
            let entry = &self.fake_entries[at];
            let has_changes = self.directory.version() > entry.version;
            if entry.silent || (self.now < entry.next_sync && !has_changes) {
                continue;
            }
            self.sync_entry(at);
        }
    }

    pub(super) fn sync_entry(&mut self, at: usize) {
        let entry = &mut self.fake_entries[at];
        let report = EntryReport {
            name: entry.name.clone(),
            incarnation: entry.incarnation,
            caller_address: "127.0.0.1:1".into(),
            zone: entry.zone.clone(),
            acked_revision: Revision(1),
            acked_table: 0,
            draining: entry.draining,
        };
        if self.entries.record_report(self.now, &report) {
            self.directory.owner_restarted(self.now, &entry.name);
        }
        let done: Vec<Name> = entry
            .releasing
            .iter()
            .filter(|name| entry.router.in_flight(name).is_none_or(|busy| busy == 0))
            .cloned()
            .collect();
        for name in done {
            entry.releasing.remove(&name);
            entry.router.remove_runner(&name);
            self.directory.confirm_release(&name, &entry.name);
        }
        let (changes, version) = self.directory.changes(entry.version, CHANGES_MAX);
        entry.version = version;
        let mut dequeued = Vec::new();
        for change in changes {
            let name = &change.spec.name;
            let owned = change.owner.as_ref() == Some(&entry.name);
            if owned && change.usable {
                entry.router.update_busy_count(self.now, name, change.busy, &mut dequeued);
                entry.router.add_runner(self.now, change.spec.clone(), change.busy, &mut dequeued);
            } else if entry.router.in_flight(name).is_some() {
                entry.router.stop_routing_to(name);
                if !owned {
                    entry.releasing.insert(name.clone());
                }
            }
        }
        entry.lease.renew(self.now);
        entry.next_sync = self.now + ENTRY_SYNC_INTERVAL;
        self.send_dequeued(at, dequeued);
    }

    pub(super) fn send_dequeued(&mut self, entry: usize, dequeued: Vec<DequeuedRequest>) {
        for granted in dequeued {
            let found = self.requests.iter().find(|(_, request)| {
                request.entry == entry
                    && matches!(&request.state, RequestState::Waiting(t) if *t == granted.ticket)
            });
            if let Some(name) = found.map(|(name, _)| name.clone()) {
                self.send(&name, granted.grant);
            }
        }
    }

    pub(super) fn send(&mut self, name: &str, grant: Grant) {
        let Some(request) = self.requests.get_mut(name) else { return };
        let router = &self.fake_entries[request.entry].router;
        let Some(runner) = router.runner(grant.runner).map(|r| r.spec.name.clone()) else { return };
        if let Some(fake) = self.runners.iter_mut().find(|fake| fake.spec.name == runner) {
            fake.busy += 1;
            self.request_checker.ran(name, runner.as_str(), fake.spec.slots);
        }
        request.state = RequestState::At(grant, runner);
    }

    pub(super) fn expire_requests(&mut self) {
        let late: Vec<Box<str>> = self
            .requests
            .iter()
            .filter(|(_, r)| self.now >= r.deadline && matches!(r.state, RequestState::Waiting(_)))
            .map(|(name, _)| name.clone())
            .collect();
        for name in late {
            let Some(request) = self.requests.get_mut(&name) else { continue };
            if let RequestState::Waiting(ticket) = request.state {
                self.fake_entries[request.entry].router.abandon(ticket);
                request.state = RequestState::NotRun;
                self.request_checker.record_outcome(&name, CallerOutcome::NotRun);
            }
        }
    }
}
