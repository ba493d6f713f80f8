//! The leader's table of entry VMs: which ones hold a configuration lease, which revision each
//! has applied, and whether a revision is in force everywhere.

use crate::moment::{Moment, lease_span_with_drift};
use std::collections::BTreeMap;
use std::time::Duration;
use yuccalink_state::id::{Incarnation, Name, Revision};

/// How long an entry may serve after it sent the request that renewed its lease.
pub const CONFIG_LEASE: Duration = Duration::from_millis(3_000);
/// Time without a report after which an entry is no longer listed.
pub const ENTRY_RETENTION: Duration = Duration::from_secs(600);

/// One entry VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryRecord {
    /// The current incarnation of its daemon.
    pub incarnation: Incarnation,
    /// Where it accepts callers' requests; other entries forward requests to this address.
    pub caller_address: Box<str>,
    /// Its availability zone.
    pub zone: Name,
    /// The revision that it has applied.
    pub acked_revision: Revision,
    /// Version of this leader's directory that it has applied.
    pub acked_table: u64,
    /// When its last report arrived.
    pub last_heard: Moment,
    /// Whether it is about to stop.
    pub draining: bool,
}

impl EntryRecord {
    /// Whether it may still be serving under a lease that this leader granted.
    pub fn may_hold_lease(&self, now: Moment) -> bool {
        now.since(self.last_heard) <= lease_span_with_drift(CONFIG_LEASE)
    }
}

/// The report that an entry sends to receive updates and renew its lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryReport {
    /// Its name.
    pub name: Name,
    /// The current incarnation of its daemon.
    pub incarnation: Incarnation,
    /// Where it accepts callers' requests.
    pub caller_address: Box<str>,
    /// Its availability zone.
    pub zone: Name,
    /// The revision that it has applied.
    pub acked_revision: Revision,
    /// Version of this leader's directory that it has applied; 0 if it is of another leader.
    pub acked_table: u64,
    /// Whether it is about to stop.
    pub draining: bool,
}

/// All entries that have reported to this leader.
///
/// ```
/// use yuccalink_coordination::{Moment, entries::*};
/// use yuccalink_state::id::{Incarnation, Name, Revision};
/// let mut entries = EntryTable::new(Moment::ZERO);
/// let mut report = EntryReport {
///     name: Name::new("e1")?, incarnation: Incarnation(1), caller_address: "127.0.0.1:8080".into(),
///     zone: Name::new("brno")?, acked_revision: Revision(6), acked_table: 0, draining: false,
/// };
/// let at = |ms| Moment::from_millis(ms);
/// entries.record_report(at(10_000), &report);
/// assert_eq!(entries.rollout_status(at(10_100), Revision(7)), RolloutStatus::Not([report.name.clone()].into()));
/// assert_eq!(entries.rollout_status(at(14_000), Revision(7)), RolloutStatus::Everywhere, "its lease ended");
/// report.acked_revision = Revision(7);
/// entries.record_report(at(10_200), &report);
/// assert_eq!(entries.rollout_status(at(10_200), Revision(7)), RolloutStatus::Everywhere);
/// # Ok::<(), yuccalink_state::id::BadName>(())
/// ```
#[derive(Debug)]
pub struct EntryTable {
    records: BTreeMap<Name, EntryRecord>,
    elected_at: Moment,
}

/// Whether a revision is in force at every entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutStatus {
    /// Every entry that may be serving has applied it.
    Everywhere,
    /// These entries may still serve an older revision.
    Not(Box<[Name]>),
    /// Leases granted by an earlier leader may still be valid.
    LeaderTooNew,
}

impl EntryTable {
    /// Creates the table of a leader that was elected at `now`.
    ///
    /// ```
    /// # use yuccalink_coordination::{Moment, entries::*};
    /// # use yuccalink_state::id::Revision;
    /// let entries = EntryTable::new(Moment::ZERO);
    /// assert_eq!(entries.rollout_status(Moment::ZERO, Revision(1)), RolloutStatus::LeaderTooNew);
    /// assert_eq!(entries.rollout_status(Moment::from_millis(4_000), Revision(1)), RolloutStatus::Everywhere);
    /// ```
    pub fn new(now: Moment) -> Self {
        Self { records: BTreeMap::new(), elected_at: now }
    }

    /// Stores a report, which renews the sender's lease. Returns true if the entry was known with
    /// another incarnation of its daemon.
    pub fn record_report(&mut self, now: Moment, report: &EntryReport) -> bool {
        let entry = EntryRecord {
            incarnation: report.incarnation,
            caller_address: report.caller_address.clone(),
            zone: report.zone.clone(),
            acked_revision: report.acked_revision,
            acked_table: report.acked_table,
            last_heard: now,
            draining: report.draining,
        };
        let before = self.records.insert(report.name.clone(), entry);
        before.is_some_and(|known| known.incarnation != report.incarnation)
    }

    /// Removes an entry that has reported that it stopped serving.
    pub fn leave(&mut self, name: &Name) {
        self.records.remove(name);
    }

    /// Removes entries that have not reported for [`ENTRY_RETENTION`].
    pub fn tidy(&mut self, now: Moment) {
        self.records.retain(|_, entry| now.since(entry.last_heard) < ENTRY_RETENTION);
    }

    /// Every entry, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &EntryRecord)> {
        self.records.iter()
    }

    /// The entry called `name`.
    pub fn get(&self, name: &Name) -> Option<&EntryRecord> {
        self.records.get(name)
    }

    /// Whether every entry that may hold a lease has reported after `since`.
    ///
    /// ```
    /// # use yuccalink_coordination::{Moment, entries::*};
    /// let entries = EntryTable::new(Moment::ZERO);
    /// assert!(entries.all_reported_since(Moment::ZERO, Moment::ZERO), "there are none");
    /// ```
    pub fn all_reported_since(&self, now: Moment, since: Moment) -> bool {
        let mut holders = self.records.values().filter(|entry| entry.may_hold_lease(now));
        holders.all(|entry| entry.draining || entry.last_heard > since)
    }

    /// Whether leases granted by an earlier leader may still be valid.
    pub fn earlier_leases_may_run(&self, now: Moment) -> bool {
        now.since(self.elected_at) <= lease_span_with_drift(CONFIG_LEASE)
    }

    /// Whether `revision` is in force at every entry that may be serving.
    ///
    /// An entry that is disconnected cannot acknowledge. It stops serving when its lease expires,
    /// so it is waited for only until then.
    pub fn rollout_status(&self, now: Moment, revision: Revision) -> RolloutStatus {
        self.rollout(now, |entry| entry.acked_revision >= revision)
    }

    /// Whether every entry that may be serving routes by this version of the directory.
    pub fn directory_status(&self, now: Moment, version: u64) -> RolloutStatus {
        self.rollout(now, |entry| entry.acked_table >= version)
    }

    fn rollout<F>(&self, now: Moment, has_applied: F) -> RolloutStatus
    where
        F: Fn(&EntryRecord) -> bool,
    {
        let behind: Box<[Name]> = self
            .records
            .iter()
            .filter(|(_, entry)| !has_applied(entry) && entry.may_hold_lease(now))
            .map(|(name, _)| name.clone())
            .collect();
        if !behind.is_empty() {
            return RolloutStatus::Not(behind);
        }
        match self.earlier_leases_may_run(now) {
            true => RolloutStatus::LeaderTooNew,
            false => RolloutStatus::Everywhere,
        }
    }
}

/// An entry's own view of its configuration lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigLease {
    until: Moment,
}

impl ConfigLease {
    /// Renews the lease with the response to a request sent at `sent`. The lease counts from the
    /// time of sending, so it never ends later than the granter, which counts from the receipt,
    /// assumes.
    pub fn renew(&mut self, sent: Moment) {
        self.until = self.until.max(sent + CONFIG_LEASE);
    }

    /// Whether the entry may serve.
    ///
    /// ```
    /// # use yuccalink_coordination::{Moment, entries::ConfigLease};
    /// let mut lease = ConfigLease::default();
    /// lease.renew(Moment::from_millis(100));
    /// assert!(lease.holds(Moment::from_millis(3_099)));
    /// assert!(!lease.holds(Moment::from_millis(3_100)));
    /// ```
    pub fn holds(&self, now: Moment) -> bool {
        now < self.until
    }

    /// When the lease expires unless it is renewed.
    pub fn until(&self) -> Moment {
        self.until
    }
}
