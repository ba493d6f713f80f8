//! The leader's directory of targets, built from what entries report: which targets are alive,
//! which are silent, and which entry owns each runner.
//!
//! The directory is not replicated: a new leader rebuilds it from heartbeats.

use crate::entries::{EntryRecord, EntryTable};
use crate::moment::{Moment, lease_span_with_drift};
use std::collections::BTreeMap;
use std::time::Duration;
use yuccalink_state::evacuation::Evacuations;
use yuccalink_state::id::{Incarnation, Name};
use yuccalink_state::target::{RunnerSpec, TargetSpec};

/// Interval at which targets are asked to send heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time without a heartbeat after which a target is suspected.
pub const SUSPECT_MIN: Duration = Duration::from_millis(2_500);
/// A target is suspected after this many of its usual heartbeat intervals without a heartbeat.
const SUSPECT_INTERVALS: u32 = 3;
/// Time without a heartbeat after which a runner is marked as gone.
pub const RUNNER_GONE_AFTER: Duration = Duration::from_secs(15);
/// How long a worker runs its tasks after the last heartbeat that was answered.
pub const WORKER_LEASE: Duration = Duration::from_secs(10);
/// Longest gap between two ticks of a leader that is running. After a longer gap the leader
/// itself was paused, so heartbeats may be waiting unread and silence says nothing about the
/// targets.
const TICK_GAP_MAX: Duration = Duration::from_millis(500);
/// Upper bound on the time that a request takes from its owner to a runner.
const TRANSIT_MAX: Duration = Duration::from_millis(500);
/// How long a runner that is gone is still reported to entries as gone.
const GONE_RETENTION: Duration = Duration::from_secs(60);

/// Whether a target can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Health {
    /// A heartbeat arrived recently.
    #[display("live")]
    Live,
    /// No heartbeat for longer than usual: it gets no new work.
    #[display("suspected")]
    Suspected,
    /// It announced that it leaves: it gets no new work.
    #[display("leaving")]
    Leaving,
    /// Dropped after it was silent for too long.
    #[display("gone")]
    Gone,
}

/// The load that a target last reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Requests or tasks that it is executing.
    pub busy: u32,
    /// CPU in use, in millicores.
    pub millicores: u64,
    /// Memory in use, in MiB.
    pub memory_mib: u64,
}

/// A target's record.
#[derive(Clone, Debug)]
pub struct Target {
    /// The specification that it announced.
    pub spec: TargetSpec,
    /// Whether it can be used.
    pub health: Health,
    /// The load that it last reported.
    pub usage: Usage,
    /// When its last message arrived.
    pub last_heard: Moment,
    /// The entry that routes requests to it; runners only.
    pub owner: Option<Name>,
    /// Upper bound on the requests of a previous owner that it may still be executing.
    reserved: u32,
    /// The release by the previous owner that must complete before another owner is chosen.
    pending_release: Option<Release>,
    changed: u64,
    interval: Duration,
}

impl Target {
    /// The update for entries if this target is a runner.
    fn as_update(&self, evacuations: &Evacuations) -> Option<RunnerUpdate> {
        match &self.spec {
            TargetSpec::Worker(_) => None,
            TargetSpec::Runner(spec) => Some(RunnerUpdate {
                spec: spec.clone(),
                usable: self.health == Health::Live && !evacuations.excludes(spec.zone.as_str()),
                busy: self.usage.busy,
                owner: self.owner.clone(),
            }),
        }
    }
}

/// What must happen before a runner gets its next owner. A request from the previous owner may
/// still be in transit: if the slots were assigned again at once, the runner could receive more
/// requests than it has slots.
#[derive(Clone, Debug)]
enum Release {
    /// The previous owner is alive and will confirm when none of its requests is in flight.
    AwaitingOwner(Name),
    /// The previous owner cannot send anything after this moment. The number of requests that are
    /// still running is taken from a heartbeat that arrives at least [`TRANSIT_MAX`] later.
    OwnerStopped(Moment),
}

impl Release {
    fn is_pending(&self, heard: Moment) -> bool {
        match self {
            Self::AwaitingOwner(_) => true,
            Self::OwnerStopped(at) => heard < *at + TRANSIT_MAX,
        }
    }
}

impl Target {
    fn suspect_after(&self) -> Duration {
        SUSPECT_MIN.max(self.interval * SUSPECT_INTERVALS)
    }
}

/// Result of an announcement, heartbeat or leave message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// The target is known and its record was updated.
    Noted,
    /// The target is unknown or has another incarnation: it must announce itself.
    AnnounceAgain,
    /// Another incarnation may still be alive; the target should try again after the given time.
    PreviousIncarnationAlive(Duration),
}

/// A runner as it is described to entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerUpdate {
    /// The specification that it announced.
    pub spec: RunnerSpec,
    /// Whether it can be used.
    pub usable: bool,
    /// Requests in flight that it reported.
    pub busy: u32,
    /// The entry that routes requests to it.
    pub owner: Option<Name>,
}

/// All known targets.
///
/// ```
/// use yuccalink_coordination::{Moment, directory::*, entries::{EntryTable, EntryReport}};
/// use yuccalink_state::{id::{Incarnation, Name, Revision}, target::{RunnerSpec, TargetSpec}};
/// let (run, now) = (Incarnation(1), Moment::from_millis(10_000));
/// let mut entries = EntryTable::new(Moment::ZERO);
/// entries.record_report(now, &EntryReport {
///     name: Name::new("e1")?, incarnation: run, caller_address: "127.0.0.1:8080".into(),
///     zone: Name::new("brno")?, acked_revision: Revision(0), acked_table: 0, draining: false,
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
    evacuations: Evacuations,
    version: u64,
    last_tick: Moment,
    /// Since when the leader has ticked without a gap longer than [`TICK_GAP_MAX`].
    ticking_since: Moment,
}

impl Directory {
    /// An empty directory.
    pub fn new() -> Self {
        Self::default()
    }

    /// Version of the directory; increases with every change that entries must receive.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Sets the zones under evacuation, whose targets get no new work.
    pub fn set_evacuations(&mut self, evacuations: &Evacuations) {
        let earlier = std::mem::replace(&mut self.evacuations, evacuations.clone());
        for target in self.targets.values_mut() {
            let zone = target.spec.zone().as_str();
            if earlier.excludes(zone) != evacuations.excludes(zone) {
                self.version += 1;
                target.changed = self.version;
            }
        }
    }

    /// Handles an announcement.
    pub fn announce(&mut self, now: Moment, spec: TargetSpec, busy: u32) -> HeartbeatOutcome {
        if let Some(known) = self.targets.get(spec.name())
            && known.health != Health::Gone
            && known.spec.incarnation() != spec.incarnation()
        {
            let wait = wait_for_previous_incarnation(now, known);
            if wait > Duration::ZERO {
                return HeartbeatOutcome::PreviousIncarnationAlive(wait);
            }
        }
        self.version += 1;
        let name = spec.name().clone();
        let usage = Usage { busy, ..Usage::default() };
        match self.targets.get_mut(&name) {
            Some(known) if known.health != Health::Gone && is_same_kind(&known.spec, &spec) => {
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
                    pending_release: None,
                    changed: self.version,
                    interval: HEARTBEAT_INTERVAL,
                };
                self.targets.insert(name, target);
            }
        }
        HeartbeatOutcome::Noted
    }

    /// Handles a heartbeat.
    pub fn heartbeat(
        &mut self,
        now: Moment,
        name: &Name,
        incarnation: Incarnation,
        usage: Usage,
    ) -> HeartbeatOutcome {
        let Some(target) = self.targets.get_mut(name) else {
            return HeartbeatOutcome::AnnounceAgain;
        };
        if target.spec.incarnation() != incarnation || target.health == Health::Gone {
            return HeartbeatOutcome::AnnounceAgain;
        }
        let gap = now.since(target.last_heard).min(RUNNER_GONE_AFTER);
        target.interval = (target.interval * 7 + gap) / 8;
        target.last_heard = now;
        // The owner counts its own requests. It needs an update only for requests that a previous
        // owner left at the runner.
        let owner_needs_update = target.reserved > 0 && target.usage.busy != usage.busy;
        target.reserved = target.reserved.min(usage.busy);
        target.usage = usage;
        let revived = target.health == Health::Suspected;
        if revived {
            target.health = Health::Live;
        }
        if revived || owner_needs_update {
            self.version += 1;
            target.changed = self.version;
        }
        HeartbeatOutcome::Noted
    }

    /// Handles the message of a target that leaves.
    pub fn leave(&mut self, name: &Name, incarnation: Incarnation) -> HeartbeatOutcome {
        let Some(target) = self.targets.get_mut(name) else {
            return HeartbeatOutcome::AnnounceAgain;
        };
        if target.spec.incarnation() != incarnation {
            return HeartbeatOutcome::AnnounceAgain;
        }
        if target.health != Health::Gone {
            self.version += 1;
            target.health = Health::Leaving;
            target.changed = self.version;
        }
        HeartbeatOutcome::Noted
    }

    /// Suspects and drops silent targets, and assigns an owner to each runner. Returns the runners
    /// that got a new owner.
    pub fn tick(&mut self, now: Moment, entries: &EntryTable) -> Vec<Name> {
        if now.since(self.last_tick) > TICK_GAP_MAX {
            self.ticking_since = now;
        }
        self.last_tick = now;
        self.update_health(now);
        self.release_from_lost_owners(now, entries);
        self.assign(now, entries)
    }

    fn update_health(&mut self, now: Moment) {
        for (name, target) in &mut self.targets {
            let silent = now.since(target.last_heard.max(self.ticking_since));
            let health = match (&target.spec, target.health) {
                (_, Health::Gone) => continue,
                (TargetSpec::Runner(_), _) if silent >= RUNNER_GONE_AFTER => Health::Gone,
                (_, Health::Live) if silent >= target.suspect_after() => Health::Suspected,
                _ => continue,
            };
            log::info!("target {name} is {health} after {silent:?} without a heartbeat");
            self.version += 1;
            target.health = health;
            target.changed = self.version;
        }
        self.targets.retain(|_, target| {
            target.health != Health::Gone
                || now.since(target.last_heard) < RUNNER_GONE_AFTER + GONE_RETENTION
        });
    }

    fn release_from_lost_owners(&mut self, now: Moment, entries: &EntryTable) {
        let usable = |e: &EntryRecord| !e.draining && e.may_hold_lease(now);
        let successor = entries.iter().any(|(_, entry)| usable(entry));
        for target in self.targets.values_mut() {
            let Some(owner) = &target.owner else { continue };
            let entry = entries.get(owner);
            // The last usable entry keeps its runners while it drains, because nobody else could
            // serve them.
            let lost = entry.is_none_or(|e| (e.draining && successor) || !e.may_hold_lease(now));
            if !lost {
                continue;
            }
            let alive = entry.is_some_and(|entry| entry.may_hold_lease(now));
            let release = if alive {
                Release::AwaitingOwner(owner.clone())
            } else {
                Release::OwnerStopped(now)
            };
            self.version += 1;
            target.pending_release = Some(release);
            target.owner = None;
            target.changed = self.version;
        }
    }

    fn assign(&mut self, now: Moment, entries: &EntryTable) -> Vec<Name> {
        if entries.earlier_leases_may_run(now) {
            return Vec::new();
        }
        let mut load = self.load(now, entries);
        let mut assigned = Vec::new();
        for (name, target) in &mut self.targets {
            let TargetSpec::Runner(spec) = &target.spec else { continue };
            if let Some(Release::AwaitingOwner(from)) = &target.pending_release
                && !entries.get(from).is_some_and(|entry| entry.may_hold_lease(now))
            {
                target.pending_release = Some(Release::OwnerStopped(now));
            }
            let waits =
                target.pending_release.as_ref().is_some_and(|r| r.is_pending(target.last_heard));
            if target.owner.is_some() || target.health == Health::Gone || waits {
                continue;
            }
            let best = load.iter_mut().min_by_key(|(at, entry_load)| {
                (entry_load.slots_of(&spec.service), entry_load.zone != spec.zone, *at)
            });
            let Some((owner, entry_load)) = best else { break };
            entry_load.add(&spec.service, spec.slots);
            self.version += 1;
            target.owner = Some(owner.clone());
            target.reserved = target.usage.busy;
            target.pending_release = None;
            target.changed = self.version;
            assigned.push(name.clone());
        }
        assigned
    }

    fn load(&self, now: Moment, entries: &EntryTable) -> BTreeMap<Name, Load> {
        let usable = entries.iter().filter(|(_, e)| !e.draining && e.may_hold_lease(now));
        let mut load: BTreeMap<Name, Load> =
            usable.map(|(name, e)| (name.clone(), Load::new(e.zone.clone()))).collect();
        for target in self.targets.values() {
            let TargetSpec::Runner(spec) = &target.spec else { continue };
            if let Some(entry_load) = target.owner.as_ref().and_then(|owner| load.get_mut(owner)) {
                entry_load.add(&spec.service, spec.slots);
            }
        }
        load
    }

    /// Handles the restart of an entry's daemon: requests of the previous incarnation may still be
    /// in transit, and the new one knows nothing of them.
    pub fn owner_restarted(&mut self, now: Moment, owner: &Name) {
        for target in self.targets.values_mut() {
            if target.owner.as_ref() == Some(owner) {
                self.version += 1;
                target.owner = None;
                target.pending_release = Some(Release::OwnerStopped(now));
                target.changed = self.version;
            }
        }
    }

    /// Handles an owner's confirmation that none of its requests is in flight at `name`.
    pub fn confirm_release(&mut self, name: &Name, by: &Name) {
        if let Some(target) = self.targets.get_mut(name)
            && matches!(&target.pending_release, Some(Release::AwaitingOwner(from)) if from == by)
        {
            target.pending_release = None;
        }
    }

    /// Records an owner that was assigned by an earlier leader and that the owner itself reports.
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
            pending_release: None,
            changed,
            interval: HEARTBEAT_INTERVAL,
        });
        target.owner = Some(owner.clone());
        target.changed = changed;
    }

    /// Returns the runners that changed after `version`, the version that an entry has: the oldest
    /// changes first, about `most` of them, and the version that they lead to.
    pub fn changes(&self, version: u64, most: usize) -> (Vec<RunnerUpdate>, u64) {
        let is_new = |target: &&Target| target.changed > version;
        let mut changed: Vec<(u64, RunnerUpdate)> = self
            .targets
            .values()
            .filter(is_new)
            .filter_map(|target| Some((target.changed, target.as_update(&self.evacuations)?)))
            .collect();
        changed.sort_by_key(|(changed, _)| *changed);
        let upto = match changed.len() > most {
            true => changed[..most].last().map_or(version, |(last, _)| *last),
            false => self.version,
        };
        let pending = changed.into_iter().take_while(|(changed, _)| *changed <= upto);
        (pending.map(|(_, change)| change).collect(), upto)
    }

    /// Every target, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Target)> {
        self.targets.iter()
    }

    /// The target called `name`.
    pub fn get(&self, name: &Name) -> Option<&Target> {
        self.targets.get(name)
    }

    /// Removes a worker whose lease has certainly expired.
    pub fn drop_worker(&mut self, name: &Name) {
        self.targets.remove(name);
    }
}

/// Time until a new incarnation may replace the known one: two incarnations of a target must
/// not have work at once. The old one has certainly stopped when its lease has expired, or when
/// it announced that it leaves and executes nothing.
fn wait_for_previous_incarnation(now: Moment, known: &Target) -> Duration {
    let lease = match &known.spec {
        TargetSpec::Worker(_) => lease_span_with_drift(WORKER_LEASE),
        TargetSpec::Runner(_) => return Duration::ZERO,
    };
    if known.health == Health::Leaving && known.usage.busy == 0 {
        return Duration::ZERO;
    }
    lease.saturating_sub(now.since(known.last_heard))
}

fn is_same_kind(old: &TargetSpec, new: &TargetSpec) -> bool {
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

    fn slots_of(&self, service: &Name) -> u32 {
        self.slots.get(service).copied().unwrap_or(0)
    }

    fn add(&mut self, service: &Name, slots: u32) {
        *self.slots.entry(service.clone()).or_default() += slots;
    }
}
