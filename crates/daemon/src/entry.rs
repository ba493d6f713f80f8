//! Control state of this entry VM, which accepts callers' requests: applies the leader's updates,
//! publishes the routing table of the traffic threads, and keeps the lease without which this
//! entry must not serve.

use crate::shared::{Owner, RoutingTable, Shared};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use yuccalink_coordination::Moment;
use yuccalink_coordination::entries::ConfigLease;
use yuccalink_coordination::releases::Releases;
use yuccalink_protocol::peer::{EntryState, EntryUpdate, PeerEntry, RunnerChange};
use yuccalink_state::document::Document;
use yuccalink_state::id::{Incarnation, Name};

pub(crate) struct EntryControl {
    shared: Arc<Shared>,
    incarnation: Incarnation,
    lease: ConfigLease,
    revision: u64,
    term: u64,
    /// Version of the leader's runner table up to which changes are applied; 0 asks for the
    /// whole table.
    table_version: u64,
    /// Connection generation in which the leader last acknowledged the owned runners.
    owned_acked_generation: u64,
    /// Connection generation of the last sync.
    sync_generation: u64,
    /// Runners in the updates from the leader of this term.
    runners_of_term: BTreeSet<Name>,
    /// Whether the leader of this term has sent its complete runner table.
    runner_table_complete: bool,
    documents: BTreeMap<Name, Arc<Document>>,
    runners: BTreeMap<Name, RunnerChange>,
    peer_entries: Vec<PeerEntry>,
    /// Runners that may get no more requests and are released once none is in flight.
    releases: Releases,
}

impl EntryControl {
    pub(crate) fn new(shared: Arc<Shared>, incarnation: Incarnation) -> Self {
        Self {
            shared,
            incarnation,
            lease: ConfigLease::default(),
            revision: 0,
            term: 0,
            table_version: 0,
            owned_acked_generation: 0,
            sync_generation: 0,
            runners_of_term: BTreeSet::new(),
            runner_table_complete: false,
            documents: BTreeMap::new(),
            runners: BTreeMap::new(),
            peer_entries: Vec::new(),
            releases: Releases::default(),
        }
    }

    /// Returns the state to send to the leader over the connection of this `generation`.
    /// The owned runners are included until the leader has acknowledged them on that connection.
    /// If the lease has expired, this stops routing to the owned runners.
    pub(crate) fn state(&mut self, leaving: bool, generation: u64) -> EntryState {
        if !self.lease.holds(self.shared.clock.now()) {
            self.stop_routing_to_owned();
        }
        let released_runners = self.take_released();
        let config = &self.shared.config;
        let owned =
            if self.owned_acked_generation == generation { Vec::new() } else { self.owned_specs() };
        self.sync_generation = generation;
        EntryState {
            entry: config.name.clone(),
            incarnation: self.incarnation,
            caller_address: config.callers_address().to_string().into(),
            zone: config.zone.clone(),
            acked_revision: self.revision,
            draining: self.shared.is_draining(),
            term: self.term,
            table_version: self.table_version,
            released_runners,
            owned,
            runner_table_complete: self.runner_table_complete,
            leaving,
        }
    }

    /// Stops routing to all owned runners after the lease expired. The leader may have given
    /// them to other entries and does not know which requests are still in flight here.
    /// Routing resumes when the leader sends the runner table again.
    fn stop_routing_to_owned(&mut self) {
        if self.table_version == 0 {
            return;
        }
        // With version 0 the leader sends the table from the start.
        self.table_version = 0;
        let mut routing = self.shared.routing();
        let names: Vec<Name> = routing.router.runners().map(|r| r.spec.name.clone()).collect();
        for name in names {
            routing.router.stop_routing_to(&name);
            self.releases.add(name);
        }
    }

    fn owned_specs(&self) -> Vec<yuccalink_state::target::RunnerSpec> {
        let routing = self.shared.routing();
        let owned = routing.router.runners().filter(|r| !self.releases.contains(&r.spec.name));
        owned.map(|runner| runner.spec.clone()).collect()
    }

    /// Removes and returns the runners to release that have no more requests in flight.
    fn take_released(&mut self) -> Vec<Name> {
        let mut routing = self.shared.routing();
        // A runner that the router no longer knows has no request in flight either.
        let released =
            self.releases.take_idle(|name| routing.router.in_flight(name).is_none_or(|n| n == 0));
        for name in &released {
            routing.router.remove_runner(name);
        }
        released
    }

    /// Applies the update that answers a sync sent at `sent`, then renews the lease.
    pub(crate) fn apply(&mut self, update: EntryUpdate, sent: Moment) {
        // A late update from an earlier leader must not undo those of its successor.
        if update.term < self.term {
            return;
        }
        if update.term > self.term {
            log::info!("following the leader of term {}", update.term);
            self.term = update.term;
            self.runner_table_complete = false;
            self.runners_of_term.clear();
        }
        self.owned_acked_generation = self.sync_generation;
        let mut changed = self.apply_documents(update.documents);
        self.revision = self.revision.max(update.revision);
        self.table_version = update.table_version;
        let peer_entries =
            PeerEntry::known(update.entries, &self.peer_entries, update.runner_table_complete);
        changed |= !update.runners.is_empty() || self.peer_entries != peer_entries;
        self.peer_entries = peer_entries;
        self.apply_runner_changes(update.runners);
        if update.runner_table_complete && !self.runner_table_complete {
            changed |= self.drop_unlisted_runners();
        }
        if changed {
            self.publish_routing_table();
        }
        self.lease.renew(sent);
        self.shared.set_lease(self.lease.until());
        if self.runner_table_complete {
            self.shared.set_has_runner_table();
        }
    }

    /// Marks the leader's runner table as complete and drops the runners that are missing from
    /// it. Until then the runners of the previous leader's table are kept, as nothing better is
    /// known. Returns whether any was dropped.
    fn drop_unlisted_runners(&mut self) -> bool {
        self.runner_table_complete = true;
        let unlisted: Vec<Name> = self
            .runners
            .keys()
            .filter(|name| !self.runners_of_term.contains(*name))
            .cloned()
            .collect();
        let mut routing = self.shared.routing();
        for name in &unlisted {
            self.runners.remove(name);
            if routing.router.in_flight(name).is_some() {
                routing.router.stop_routing_to(name);
                self.releases.add(name.clone());
            }
        }
        !unlisted.is_empty()
    }

    fn apply_documents(&mut self, documents: Vec<yuccalink_state::document::Accepted>) -> bool {
        let mut changed = false;
        for accepted in documents {
            // Revisions only grow, so a reordered update changes nothing.
            if accepted.revision.0 <= self.revision {
                continue;
            }
            let document = Arc::new(accepted.document);
            log::info!(
                "service {} version {} is in force here (revision {})",
                document.service,
                document.version,
                accepted.revision
            );
            self.documents.insert(document.service.clone(), document);
            changed = true;
        }
        changed
    }

    fn apply_runner_changes(&mut self, runners: Vec<RunnerChange>) {
        for change in runners {
            self.apply_runner_change(&change);
            self.runners_of_term.insert(change.spec.name.clone());
            self.runners.insert(change.spec.name.clone(), change);
        }
    }

    /// Starts or stops routing to a runner after a change of its owner or usability.
    fn apply_runner_change(&mut self, change: &RunnerChange) {
        let now = self.shared.clock.now();
        let name = &change.spec.name;
        let is_owner = change.owner.as_ref() == Some(&self.shared.config.name);
        let mut routing = self.shared.routing();
        let was_routed = routing.router.in_flight(name).is_some();
        if is_owner && change.usable {
            self.releases.cancel(name);
            routing.change(now, |router, dequeued| {
                if was_routed {
                    router.update_busy_count(now, name, change.busy, dequeued);
                }
                router.add_runner(now, change.spec.clone(), change.busy, dequeued);
            });
        } else if was_routed {
            routing.router.stop_routing_to(name);
            if !is_owner {
                self.releases.add(name.clone());
            }
        }
    }

    /// Replaces the routing table that the traffic threads read.
    fn publish_routing_table(&self) {
        let mut owners: HashMap<Box<str>, BTreeMap<Name, Owner>> = HashMap::new();
        for change in self.runners.values().filter(|change| change.usable) {
            let Some(owner) = &change.owner else { continue };
            let owner_entry =
                self.peer_entries.iter().find(|entry| entry.name == *owner && !entry.draining);
            let Some(caller_address) =
                owner_entry.and_then(|entry| entry.caller_address.parse().ok())
            else {
                continue;
            };
            let service = owners.entry(change.spec.service.as_str().into()).or_default();
            let owner = service.entry(owner.clone()).or_insert_with(|| Owner {
                name: owner.clone(),
                caller_address,
                slots: 0,
            });
            owner.slots += change.spec.slots;
        }
        let documents = self.documents.iter();
        let table = RoutingTable {
            services: documents.map(|(name, doc)| (name.as_str().into(), doc.clone())).collect(),
            owners: owners
                .into_iter()
                .map(|(service, owners)| (service, owners.into_values().collect()))
                .collect(),
        };
        self.shared.routing_table.store(Arc::new(table));
    }
}
