//! Settings of queues that a change set may carry beside its queues: shares, floors and holds.
//!
//! They are stored apart from [`Queue`], whose encoding is that of earlier releases. A change
//! set without settings is stored as those releases store it, so that they can still read it.

use super::change::{Advisor, ChangeSet, InvalidChangeSet, Limits, Pool, Queue};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Largest weight of a queue.
pub const WEIGHT_MAX: u32 = 10_000;
/// Largest floor of a queue, in percent.
pub const FLOOR_PERCENT_MAX: u8 = 100;

/// What an operator set for one queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueSettings {
    /// Share of the pool's CPU under contention, relative to the other queues of the pool.
    pub weight: Option<u32>,
    /// Part of the tasks of a long-running job, in percent, that comes before the other tasks.
    pub floor_percent: Option<u8>,
    /// None of the queue's tasks are started for the time being.
    pub hold: bool,
}

impl QueueSettings {
    /// Whether nothing is set.
    ///
    /// ```
    /// use yuccalink_state::jobs::QueueSettings;
    /// assert!(QueueSettings::default().is_empty());
    /// assert!(!QueueSettings { hold: true, ..QueueSettings::default() }.is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    fn check(&self, queue: &str) -> Result<(), InvalidChangeSet> {
        self.weight.map_or(Ok(0), |weight| check_weight(queue, weight.into()))?;
        self.floor_percent.map_or(Ok(0), |floor| check_floor(queue, floor.into()))?;
        Ok(())
    }
}

/// A change set and the settings of its queues, which are put into force together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfiguredChangeSet {
    /// The queues, pools and limits.
    pub change_set: ChangeSet,
    /// Settings by the name of their queue; queues without settings are not listed.
    pub settings: BTreeMap<Box<str>, QueueSettings>,
}

impl ConfiguredChangeSet {
    /// Validates the change set and its settings.
    ///
    /// # Errors
    /// The first problem that is found.
    ///
    /// ```
    /// use yuccalink_state::jobs::{ConfiguredChangeSet, QueueSettings, change::InvalidChangeSet};
    /// let settings = [("q".into(), QueueSettings { hold: true, ..QueueSettings::default() })];
    /// let change = ConfiguredChangeSet { settings: settings.into(), ..Default::default() };
    /// assert_eq!(change.check(), Err(InvalidChangeSet::UnknownQueue("q".into())));
    /// ```
    pub fn check(&self) -> Result<(), InvalidChangeSet> {
        self.change_set.check()?;
        for (queue, settings) in &self.settings {
            if self.change_set.queue(queue).is_none() {
                return Err(InvalidChangeSet::UnknownQueue(queue.clone()));
            }
            settings.check(queue)?;
        }
        Ok(())
    }
}

fn check_weight(queue: &str, weight: i64) -> Result<u32, InvalidChangeSet> {
    let found = u32::try_from(weight).ok().filter(|found| (1..=WEIGHT_MAX).contains(found));
    found.ok_or_else(|| InvalidChangeSet::WeightOutOfRange(queue.into(), weight))
}

fn check_floor(queue: &str, percent: i64) -> Result<u8, InvalidChangeSet> {
    let found = u8::try_from(percent).ok().filter(|found| *found <= FLOOR_PERCENT_MAX);
    found.ok_or_else(|| InvalidChangeSet::FloorOutOfRange(queue.into(), percent))
}

/// A change set as operators write it, with the settings inside its queues.
///
/// ```
/// use yuccalink_state::jobs::settings::{ChangeSetBody, QueueBody};
/// let queue = QueueBody { name: "q".into(), weight: Some(3), ..QueueBody::default() };
/// let body = ChangeSetBody { queues: vec![queue], ..ChangeSetBody::default() };
/// let change = body.into_change_set(b"the text").unwrap();
/// assert_eq!(change.settings["q"].weight, Some(3));
/// ```
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct ChangeSetBody {
    /// The change set with the highest accepted version is in force.
    pub version: u64,
    /// Queues that callers submit jobs to.
    pub queues: Vec<QueueBody>,
    /// Pools of runners.
    pub pools: Vec<Pool>,
    /// Bounds on callers' requests.
    pub limits: Limits,
    /// Accepted for compatibility, and replaced by the text that was sent.
    pub text: Box<[u8]>,
}

/// A queue as operators write it, with its settings.
/// The fields of [`Queue`] have the same meaning as there.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
#[allow(missing_docs, reason = "the fields of a queue are documented there")]
pub struct QueueBody {
    pub name: Box<str>,
    pub host: Box<str>,
    pub prefix: Box<str>,
    pub pool: Box<str>,
    pub timeout_ms: u64,
    pub objective_ms: u64,
    pub slack: f64,
    pub priority: u32,
    pub attempts: u32,
    pub advisor: Option<Advisor>,
    /// See [`QueueSettings::weight`].
    pub weight: Option<i64>,
    /// See [`QueueSettings::floor_percent`].
    pub floor_percent: Option<i64>,
    /// See [`QueueSettings::hold`].
    pub hold: bool,
}

impl ChangeSetBody {
    /// Separates the queues from their settings. `text` is what the operator sent.
    ///
    /// # Errors
    /// The first setting that is out of range.
    pub fn into_change_set(self, text: &[u8]) -> Result<ConfiguredChangeSet, InvalidChangeSet> {
        let mut settings = BTreeMap::new();
        let mut queues = Vec::with_capacity(self.queues.len());
        for queue in self.queues {
            let own = queue.settings()?;
            if !own.is_empty() {
                settings.insert(queue.name.clone(), own);
            }
            queues.push(queue.into_queue());
        }
        let Self { version, pools, limits, .. } = self;
        let change_set = ChangeSet { version, queues, pools, limits, text: text.into() };
        Ok(ConfiguredChangeSet { change_set, settings })
    }
}

impl QueueBody {
    fn settings(&self) -> Result<QueueSettings, InvalidChangeSet> {
        let weight = self.weight.map(|weight| check_weight(&self.name, weight)).transpose()?;
        let floor = self.floor_percent.map(|floor| check_floor(&self.name, floor)).transpose()?;
        Ok(QueueSettings { weight, floor_percent: floor, hold: self.hold })
    }

    fn into_queue(self) -> Queue {
        Queue {
            name: self.name,
            host: self.host,
            prefix: self.prefix,
            pool: self.pool,
            timeout_ms: self.timeout_ms,
            objective_ms: self.objective_ms,
            slack: self.slack,
            priority: self.priority,
            attempts: self.attempts,
            advisor: self.advisor,
        }
    }
}

/// A queue of a cell as operators see it. CPU is in millicores, long-running tasks apart.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct QueueView {
    /// Name of the queue.
    pub queue: Box<str>,
    /// Name of its pool.
    pub pool: Box<str>,
    /// Its weight, if one is set.
    pub weight: Option<u32>,
    /// The floor of its long-running jobs, in percent, if one is set.
    pub floor_percent: Option<u8>,
    /// Whether its tasks are not started for the time being.
    pub hold: bool,
    /// Jobs that have not ended.
    pub jobs: u64,
    /// Tasks that could start.
    pub tasks_waiting: u64,
    /// Runs that may be running, those of long-running tasks included.
    pub tasks_running: u64,
    /// CPU in use; `None` while its pool has no contention or no weights.
    pub used_millicores: Option<u64>,
    /// CPU that is the queue's share now; `None` while its pool has no contention or no weights.
    pub share_millicores: Option<u64>,
    /// Why the queue has less than it asks for; empty if it has not.
    pub short: Box<str>,
    /// Starts of the queue that were deferred because another queue was short of its share.
    pub deferred: u64,
}
