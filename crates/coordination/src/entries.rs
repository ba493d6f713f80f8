//! Entry VMs as the leader knows them: who holds a configuration lease, which
//! revision each has put in force, and when a revision is in force everywhere.

use crate::moment::{Moment, surely_ended_after};
use std::collections::BTreeMap;
use std::time::Duration;
use yuccalink_state::id::{Incarnation, Name, Revision};

/// How long an entry may serve after it sent the request that renewed its lease.
pub const CONFIG_LEASE: Duration = Duration::from_millis(3_000);
/// Time without word after which an entry is no longer listed.
pub const FORGET: Duration = Duration::from_secs(600);

/// One entry VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// This run of its daemon.
    pub incarnation: Incarnation,
    /// Where it takes callers' requests, for other entries to hand them on.
    pub callers: Box<str>,
    /// Its availability zone.
    pub zone: Name,
    /// The revision that it has put in force.
    pub acked: Revision,
    /// When it was last heard.
    pub heard: Moment,
    /// Whether it is about to stop.
    pub draining: bool,
}

impl Entry {
    /// Whether it may still be serving under a lease granted here.
    pub fn may_hold_lease(&self, now: Moment) -> bool {
        now.since(self.heard) <= surely_ended_after(CONFIG_LEASE)
    }
}

/// What one entry says when it asks for news and for its lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hello {
    /// Its name.
    pub name: Name,
    /// This run of its daemon.
    pub incarnation: Incarnation,
    /// Where it takes callers' requests.
    pub callers: Box<str>,
    /// Its availability zone.
    pub zone: Name,
    /// The revision that it has put in force.
    pub acked: Revision,
    /// Whether it is about to stop.
    pub draining: bool,
}

/// All entries heard by this leader.
///
/// ```
/// use yuccalink_coordination::{Moment, entries::*};
/// use yuccalink_state::id::{Incarnation, Name, Revision};
/// let mut entries = Entries::new(Moment::ZERO);
/// let mut hello = Hello {
///     name: Name::new("e1")?, incarnation: Incarnation(1), callers: "127.0.0.1:8080".into(),
///     zone: Name::new("brno")?, acked: Revision(6), draining: false,
/// };
/// let at = |ms| Moment::from_millis(ms);
/// entries.hear(at(10_000), &hello);
/// assert_eq!(entries.in_force(at(10_100), Revision(7)), InForce::Not([hello.name.clone()].into()));
/// assert_eq!(entries.in_force(at(14_000), Revision(7)), InForce::Everywhere, "its lease ended");
/// hello.acked = Revision(7);
/// entries.hear(at(10_200), &hello);
/// assert_eq!(entries.in_force(at(10_200), Revision(7)), InForce::Everywhere);
/// # Ok::<(), yuccalink_state::id::BadName>(())
/// ```
#[derive(Debug)]
pub struct Entries {
    all: BTreeMap<Name, Entry>,
    since: Moment,
}

/// Where a revision is not yet in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InForce {
    /// Every entry that may serve has it.
    Everywhere,
    /// These may still serve an older one.
    Not(Box<[Name]>),
    /// Leases granted by an earlier leader may still run.
    LeaderTooNew,
}

impl Entries {
    /// A leader's table at the moment it became leader.
    ///
    /// ```
    /// # use yuccalink_coordination::{Moment, entries::*};
    /// # use yuccalink_state::id::Revision;
    /// let entries = Entries::new(Moment::ZERO);
    /// assert_eq!(entries.in_force(Moment::ZERO, Revision(1)), InForce::LeaderTooNew);
    /// assert_eq!(entries.in_force(Moment::from_millis(4_000), Revision(1)), InForce::Everywhere);
    /// ```
    pub fn new(now: Moment) -> Self {
        Self { all: BTreeMap::new(), since: now }
    }

    /// Takes in a hello, which renews the sender's lease. True when another run
    /// of its daemon was known before.
    pub fn hear(&mut self, now: Moment, hello: &Hello) -> bool {
        let entry = Entry {
            incarnation: hello.incarnation,
            callers: hello.callers.clone(),
            zone: hello.zone.clone(),
            acked: hello.acked,
            heard: now,
            draining: hello.draining,
        };
        let before = self.all.insert(hello.name.clone(), entry);
        before.is_some_and(|known| known.incarnation != hello.incarnation)
    }

    /// Forgets an entry that said it has stopped serving.
    pub fn leave(&mut self, name: &Name) {
        self.all.remove(name);
    }

    /// Drops entries that were silent for [`FORGET`].
    pub fn tidy(&mut self, now: Moment) {
        self.all.retain(|_, entry| now.since(entry.heard) < FORGET);
    }

    /// Every entry, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Entry)> {
        self.all.iter()
    }

    /// The entry called `name`.
    pub fn get(&self, name: &Name) -> Option<&Entry> {
        self.all.get(name)
    }

    /// Whether leases granted before this leader may still run.
    pub fn too_new(&self, now: Moment) -> bool {
        now.since(self.since) <= surely_ended_after(CONFIG_LEASE)
    }

    /// Whether `revision` is in force at every entry that may be serving.
    ///
    /// An entry that is cut off cannot acknowledge; it stops serving when its
    /// lease runs out, and is waited for until then and no longer.
    pub fn in_force(&self, now: Moment, revision: Revision) -> InForce {
        let behind: Box<[Name]> = self
            .all
            .iter()
            .filter(|(_, entry)| entry.acked < revision && entry.may_hold_lease(now))
            .map(|(name, _)| name.clone())
            .collect();
        if !behind.is_empty() {
            return InForce::Not(behind);
        }
        match self.too_new(now) {
            true => InForce::LeaderTooNew,
            false => InForce::Everywhere,
        }
    }
}

/// An entry's own view of its lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lease {
    until: Moment,
}

impl Lease {
    /// Renews the lease by the answer to a request sent at `sent`. Counting
    /// from the sending is what lets the granter know an end that is not earlier.
    pub fn renew(&mut self, sent: Moment) {
        self.until = self.until.max(sent + CONFIG_LEASE);
    }

    /// Whether it may serve.
    ///
    /// ```
    /// # use yuccalink_coordination::{Moment, entries::Lease};
    /// let mut lease = Lease::default();
    /// lease.renew(Moment::from_millis(100));
    /// assert!(lease.holds(Moment::from_millis(3_099)));
    /// assert!(!lease.holds(Moment::from_millis(3_100)));
    /// ```
    pub fn holds(&self, now: Moment) -> bool {
        now < self.until
    }

    /// When it ends unless renewed.
    pub fn until(&self) -> Moment {
        self.until
    }
}
