//! The directory of targets, kept by the leader from what entries hear: who
//! is there, who is silent, and which entry owns which runner.
//!
//! It is soft state: a new leader learns it again from the heartbeats.

use crate::entries::{EntryRecord, EntryTable};
use crate::moment::{Moment, lease_span_with_drift};
use std::collections::BTreeMap;
use std::time::Duration;
use yuccalink_state::id::{Incarnation, Name};
use yuccalink_state::target::{RunnerSpec, TargetSpec};

/// How often targets are asked to send a heartbeat.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest silence after which a target is suspected.
pub const SUSPECT_MIN: Duration = Duration::from_millis(2_500);
/// A target is suspected after this many of its usual intervals.
const SUSPECT_INTERVALS: u32 = 3;
/// Silence after which a runner is dropped.
pub const DEAD: Duration = Duration::from_secs(15);
/// How long a worker runs its tasks after the last heartbeat that was answered.
pub const WORKER_LEASE: Duration = Duration::from_secs(10);
/// Between two ticks of a leader that works: after a longer gap it stood still itself, and
/// what it has not read yet says nothing about those who sent it.
const TICK_GAP_MAX: Duration = Duration::from_millis(500);
/// Longest way of a request from its owner to a runner.
const SETTLE: Duration = Duration::from_millis(500);
/// How long a dropped runner is still told to entries as gone.
const TOMBSTONE: Duration = Duration::from_secs(60);

/// Whether a target is to be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Health {
    /// Heard lately.
    #[display("live")]
    Live,
    /// Silent for longer than usual: nothing new.
    #[display("suspected")]
    Suspected,
    /// It said that it leaves: nothing new.
    #[display("leaving")]
    Leaving,
    /// Dropped.
    #[display("gone")]
    Gone,
}

/// What a target last said of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Requests or tasks it holds.
    pub busy: u32,
    /// Processor in use, in thousandths.
    pub millicores: u64,
    /// Memory in use, in MiB.
    pub memory_mib: u64,
}

/// A target's record.
#[derive(Clone, Debug)]
pub struct Target {
    /// What it announced.
    pub spec: TargetSpec,
    /// Whether it is to be used.
    pub health: Health,
    /// What it last said of its load.
    pub usage: Usage,
    /// When it was last heard.
    pub last_heard: Moment,
    /// The entry that routes to it, for runners.
    pub owner: Option<Name>,
    /// Requests of a former owner that it may still hold.
    reserved: u32,
    /// The owner that must let go, or lose its lease, before another is chosen.
    released: Option<Release>,
    changed: u64,
    interval: Duration,
}

impl Target {
    /// A runner as entries are told of it.
    fn as_change(&self) -> Option<RunnerUpdate> {
        match &self.spec {
            TargetSpec::Worker(_) => None,
            TargetSpec::Runner(spec) => Some(RunnerUpdate {
                spec: spec.clone(),
                usable: self.health == Health::Live,
                busy: self.usage.busy,
                owner: self.owner.clone(),
            }),
        }
    }
}

/// What must happen before a runner gets its next owner. A request that the
/// last owner sent may still be on its way: were the slots given out again at
/// once, the runner would hold more than it has.
#[derive(Clone, Debug)]
enum Release {
    /// The last owner is alive and says when nothing of its own is in flight.
    Asked(Name),
    /// The last owner can send nothing since this moment; the runner's own count
    /// is to be had from a heartbeat that is safely later.
    Ended(Moment),
}

impl Release {
    fn waits(&self, heard: Moment) -> bool {
        match self {
            Self::Asked(_) => true,
            Self::Ended(at) => heard < *at + SETTLE,
        }
    }
}

impl Target {
    fn suspect_after(&self) -> Duration {
        SUSPECT_MIN.max(self.interval * SUSPECT_INTERVALS)
    }
}

/// What the directory makes of an announcement or heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// Known and noted.
    Noted,
    /// Not known, or another run of it: it must announce itself.
    AnnounceAgain,
    /// Another run of it may still be alive; try again after the given time.
    PreviousIncarnationAlive(Duration),
}

/// A runner as an entry needs to know it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerUpdate {
    /// What it announced.
    pub spec: RunnerSpec,
    /// Whether it is to be used.
    pub usable: bool,
    /// Requests it said it holds.
    pub busy: u32,
    /// The entry that routes to it.
    pub owner: Option<Name>,
}

/// All targets.
///
/// ```
/// use yuccalink_coordination::{Moment, directory::*, entries::{EntryTable, EntryReport}};
/// use yuccalink_state::{id::{Incarnation, Name, Revision}, target::{RunnerSpec, TargetSpec}};
/// let (run, now) = (Incarnation(1), Moment::from_millis(10_000));
/// let mut entries = EntryTable::new(Moment::ZERO);
/// entries.record_report(now, &EntryReport {
///     name: Name::new("e1")?, incarnation: run, caller_address: "127.0.0.1:8080".into(),
///     zone: Name::new("brno")?, acked_revision: Revision(0), draining: false,
/// });
/// let mut directory = Directory::new();
/// let name = Name::new("r1")?;
/// assert_eq!(directory.heartbeat(now, &name, run, Usage::default()), HeartbeatOutcome::AnnounceAgain);
/// let spec = RunnerSpec {
///     name: name.clone(), incarnation: run, service: Name::new("quotes")?,
///     address: "127.0.0.1:9".into(), slots: 8, connections: 64, zone: Name::new("brno")?,
/// };
/// assert_eq!(directory.announce(now, TargetSpec::Runner(spec), 0), HeartbeatOutcome::Noted);
/// assert_eq!(directory.tick(now, &entries), [name.clone()], "e1 owns it now");
/// directory.leave(&name, run);
/// let (changes, version) = directory.changes(0, 10);
/// assert!(!changes[0].usable && version == directory.version());
/// # Ok::<(), yuccalink_state::id::BadName>(())
/// ```
#[derive(Debug, Default)]
pub struct Directory {
    targets: BTreeMap<Name, Target>,
    version: u64,
    ticked: Moment,
    /// Since when the leader has worked without standing still.
    awake_since: Moment,
}

impl Directory {
    /// An empty directory.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts up with every change that entries must hear of.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Takes in an announcement.
    pub fn announce(&mut self, now: Moment, spec: TargetSpec, busy: u32) -> HeartbeatOutcome {
        if let Some(known) = self.targets.get(spec.name())
            && known.health != Health::Gone
            && known.spec.incarnation() != spec.incarnation()
        {
            let wait = wait_for_old_run(now, known);
            if wait > Duration::ZERO {
                return HeartbeatOutcome::PreviousIncarnationAlive(wait);
            }
        }
        self.version += 1;
        let name = spec.name().clone();
        let usage = Usage { busy, ..Usage::default() };
        match self.targets.get_mut(&name) {
            Some(known) if known.health != Health::Gone && same_place(&known.spec, &spec) => {
                known.spec = spec;
                known.last_heard = now;
                known.health = Health::Live;
                known.usage = usage;
                known.changed = self.version;
            }
            _ => {
                let target = Target {
                    spec,
                    health: Health::Live,
                    usage,
                    last_heard: now,
                    owner: None,
                    reserved: 0,
                    released: None,
                    changed: self.version,
                    interval: HEARTBEAT_INTERVAL,
                };
                self.targets.insert(name, target);
            }
        }
        HeartbeatOutcome::Noted
    }

    /// Takes in a heartbeat.
    pub fn heartbeat(
        &mut self,
        now: Moment,
        name: &Name,
        run: Incarnation,
        usage: Usage,
    ) -> HeartbeatOutcome {
        let Some(target) = self.targets.get_mut(name) else {
            return HeartbeatOutcome::AnnounceAgain;
        };
        if target.spec.incarnation() != run || target.health == Health::Gone {
            return HeartbeatOutcome::AnnounceAgain;
        }
        let gap = now.since(target.last_heard).min(DEAD);
        target.interval = (target.interval * 7 + gap) / 8;
        target.last_heard = now;
        // The owner counts its own requests; only what a former owner left there
        // must be told it.
        let tells_owner = target.reserved > 0 && target.usage.busy != usage.busy;
        target.reserved = target.reserved.min(usage.busy);
        target.usage = usage;
        let revived = target.health == Health::Suspected;
        if revived {
            target.health = Health::Live;
        }
        if revived || tells_owner {
            self.version += 1;
            target.changed = self.version;
        }
        HeartbeatOutcome::Noted
    }

    /// A target says that it leaves.
    pub fn leave(&mut self, name: &Name, run: Incarnation) -> HeartbeatOutcome {
        let Some(target) = self.targets.get_mut(name) else {
            return HeartbeatOutcome::AnnounceAgain;
        };
        if target.spec.incarnation() != run {
            return HeartbeatOutcome::AnnounceAgain;
        }
        if target.health != Health::Gone {
            self.version += 1;
            target.health = Health::Leaving;
            target.changed = self.version;
        }
        HeartbeatOutcome::Noted
    }

    /// Suspects and drops silent targets, and finds an owner for each runner.
    /// Returns runners that were given a new owner.
    pub fn tick(&mut self, now: Moment, entries: &EntryTable) -> Vec<Name> {
        if now.since(self.ticked) > TICK_GAP_MAX {
            self.awake_since = now;
        }
        self.ticked = now;
        self.note_silence(now);
        self.take_from_lost_owners(now, entries);
        self.assign(now, entries)
    }

    fn note_silence(&mut self, now: Moment) {
        for (name, target) in &mut self.targets {
            let silent = now.since(target.last_heard.max(self.awake_since));
            let health = match (&target.spec, target.health) {
                (_, Health::Gone) => continue,
                (TargetSpec::Runner(_), _) if silent >= DEAD => Health::Gone,
                (_, Health::Live) if silent >= target.suspect_after() => Health::Suspected,
                _ => continue,
            };
            log::info!("target {name} is {health} after {silent:?} of silence");
            self.version += 1;
            target.health = health;
            target.changed = self.version;
        }
        self.targets.retain(|_, target| {
            target.health != Health::Gone || now.since(target.last_heard) < DEAD + TOMBSTONE
        });
    }

    fn take_from_lost_owners(&mut self, now: Moment, entries: &EntryTable) {
        let usable = |e: &EntryRecord| !e.draining && e.may_hold_lease(now);
        let successor = entries.iter().any(|(_, entry)| usable(entry));
        for target in self.targets.values_mut() {
            let Some(owner) = &target.owner else { continue };
            let entry = entries.get(owner);
            // The last entry keeps its runners while it drains: better it than nobody.
            let lost = entry.is_none_or(|e| (e.draining && successor) || !e.may_hold_lease(now));
            if !lost {
                continue;
            }
            let alive = entry.is_some_and(|entry| entry.may_hold_lease(now));
            let release = if alive { Release::Asked(owner.clone()) } else { Release::Ended(now) };
            self.version += 1;
            target.released = Some(release);
            target.owner = None;
            target.changed = self.version;
        }
    }

    fn assign(&mut self, now: Moment, entries: &EntryTable) -> Vec<Name> {
        if entries.earlier_leases_may_run(now) {
            return Vec::new();
        }
        let mut load = self.load(now, entries);
        let mut given = Vec::new();
        for (name, target) in &mut self.targets {
            let TargetSpec::Runner(spec) = &target.spec else { continue };
            if let Some(Release::Asked(from)) = &target.released
                && !entries.get(from).is_some_and(|entry| entry.may_hold_lease(now))
            {
                target.released = Some(Release::Ended(now));
            }
            let waits = target.released.as_ref().is_some_and(|r| r.waits(target.last_heard));
            if target.owner.is_some() || target.health == Health::Gone || waits {
                continue;
            }
            let best = load
                .iter_mut()
                .min_by_key(|(at, held)| (held.of(&spec.service), held.zone != spec.zone, *at));
            let Some((owner, held)) = best else { break };
            held.add(&spec.service, spec.slots);
            self.version += 1;
            target.owner = Some(owner.clone());
            target.reserved = target.usage.busy;
            target.released = None;
            target.changed = self.version;
            given.push(name.clone());
        }
        given
    }

    fn load(&self, now: Moment, entries: &EntryTable) -> BTreeMap<Name, Load> {
        let usable = entries.iter().filter(|(_, e)| !e.draining && e.may_hold_lease(now));
        let mut load: BTreeMap<Name, Load> =
            usable.map(|(name, e)| (name.clone(), Load::new(e.zone.clone()))).collect();
        for target in self.targets.values() {
            let TargetSpec::Runner(spec) = &target.spec else { continue };
            if let Some(held) = target.owner.as_ref().and_then(|owner| load.get_mut(owner)) {
                held.add(&spec.service, spec.slots);
            }
        }
        load
    }

    /// An entry's daemon was restarted: what its former run sent may still be
    /// on the way, and the new run knows nothing of it.
    pub fn owner_restarted(&mut self, now: Moment, owner: &Name) {
        for target in self.targets.values_mut() {
            if target.owner.as_ref() == Some(owner) {
                self.version += 1;
                target.owner = None;
                target.released = Some(Release::Ended(now));
                target.changed = self.version;
            }
        }
    }

    /// An owner says that nothing of its own is in flight at `name` any more.
    pub fn confirm_release(&mut self, name: &Name, by: &Name) {
        if let Some(target) = self.targets.get_mut(name)
            && matches!(&target.released, Some(Release::Asked(from)) if from == by)
        {
            target.released = None;
        }
    }

    /// An entry says that it owns a runner since before this leader's time.
    pub fn restore_owner(&mut self, now: Moment, spec: RunnerSpec, owner: &Name) {
        let known = self.targets.get(&spec.name);
        if known.is_some_and(|t| t.owner.is_some() || t.spec.incarnation() != spec.incarnation) {
            return;
        }
        self.version += 1;
        let name = spec.name.clone();
        let spec = TargetSpec::Runner(spec);
        let changed = self.version;
        let target = self.targets.entry(name).or_insert_with(|| Target {
            spec,
            health: Health::Live,
            usage: Usage::default(),
            last_heard: now,
            owner: None,
            reserved: 0,
            released: None,
            changed,
            interval: HEARTBEAT_INTERVAL,
        });
        target.owner = Some(owner.clone());
        target.changed = changed;
    }

    /// Runners that changed after `version`, for an entry that knows up to there: the
    /// oldest changes first, about `most` of them, and the version up to which they go.
    pub fn changes(&self, version: u64, most: usize) -> (Vec<RunnerUpdate>, u64) {
        let is_new = |target: &&Target| target.changed > version;
        let mut changed: Vec<(u64, RunnerUpdate)> = self
            .targets
            .values()
            .filter(is_new)
            .filter_map(|target| Some((target.changed, target.as_change()?)))
            .collect();
        changed.sort_by_key(|(changed, _)| *changed);
        let upto = match changed.len() > most {
            true => changed[..most].last().map_or(version, |(last, _)| *last),
            false => self.version,
        };
        let told = changed.into_iter().take_while(|(changed, _)| *changed <= upto);
        (told.map(|(_, change)| change).collect(), upto)
    }

    /// Every target, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Target)> {
        self.targets.iter()
    }

    /// The target called `name`.
    pub fn get(&self, name: &Name) -> Option<&Target> {
        self.targets.get(name)
    }

    /// Drops a worker whose lease has surely ended.
    pub fn drop_worker(&mut self, name: &Name) {
        self.targets.remove(name);
    }
}

/// Two runs of one target must not hold work at once. The old one has surely
/// stopped when its lease has run out, or when it said goodbye and holds nothing.
fn wait_for_old_run(now: Moment, known: &Target) -> Duration {
    let lease = match &known.spec {
        TargetSpec::Worker(_) => lease_span_with_drift(WORKER_LEASE),
        TargetSpec::Runner(_) => return Duration::ZERO,
    };
    if known.health == Health::Leaving && known.usage.busy == 0 {
        return Duration::ZERO;
    }
    lease.saturating_sub(now.since(known.last_heard))
}

fn same_place(old: &TargetSpec, new: &TargetSpec) -> bool {
    match (old, new) {
        (TargetSpec::Runner(a), TargetSpec::Runner(b)) => a.service == b.service,
        (TargetSpec::Worker(_), TargetSpec::Worker(_)) => true,
        _ => false,
    }
}

struct Load {
    zone: Name,
    slots: BTreeMap<Name, u32>,
}

impl Load {
    fn new(zone: Name) -> Self {
        Self { zone, slots: BTreeMap::new() }
    }

    fn of(&self, service: &Name) -> u32 {
        self.slots.get(service).copied().unwrap_or(0)
    }

    fn add(&mut self, service: &Name, slots: u32) {
        *self.slots.entry(service.clone()).or_default() += slots;
    }
}
