//! A change set: every queue and pool as one document with one version, put in
//! force whole or not at all.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Everything that operators decide, at one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct ChangeSet {
    /// The highest one accepted is in force.
    pub version: u64,
    /// Where jobs come in.
    pub queues: Vec<Queue>,
    /// Groups of runners.
    pub pools: Vec<Pool>,
    /// Bounds on callers' requests.
    pub limits: Limits,
    /// As the operator sent it, given back unchanged.
    pub text: Box<[u8]>,
}

/// A queue of jobs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct Queue {
    /// Unique among the queues.
    pub name: Box<str>,
    /// Host that callers name.
    pub host: Box<str>,
    /// Start of the path; of several that match the longest counts.
    pub prefix: Box<str>,
    /// Whose runners run its tasks.
    pub pool: Box<str>,
    /// Longest time for one call, in milliseconds; at least 1.
    pub timeout_ms: u64,
    /// Time that a job may take beyond its own work and still count as prompt, in
    /// milliseconds.
    pub objective_ms: u64,
    /// How many times its own work a prompt job may take.
    pub slack: f64,
    /// 0 comes first and may take room from others.
    pub priority: u32,
    /// Runs of one task that may fail before its job has failed.
    pub attempts: u32,
    /// Asks an outside policy which runners may run a step.
    pub advisor: Option<Advisor>,
}

/// How the outside policy answers, as far as its owner says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct Advisor {
    /// Time for one answer, in milliseconds.
    pub decision_ms: u64,
    /// Added for each runner that is asked about, in milliseconds.
    pub per_runner_ms: u64,
    /// How long a ticket is valid, in milliseconds.
    pub validity_ms: u64,
}

/// A pool of runners.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct Pool {
    /// Unique among the pools.
    pub name: Box<str>,
    /// Where its runners say whether they are healthy.
    pub health_path: Box<str>,
    /// Most connections to one runner.
    pub connections_max: u32,
    /// Its runners refuse tasks that do not fit.
    pub guarded: bool,
    /// Its machines are off, and not paid for.
    pub standby: bool,
}

/// Bounds on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct Limits {
    /// Largest request head in bytes.
    pub head_bytes: u64,
    /// Largest request body in bytes.
    pub body_bytes: u64,
    /// Longest time for a request's head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Longest silence on an open connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// Why a change set cannot be put in force.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum BadChange {
    /// queue {0} names pool {1}, which is not among the pools; add the pool or correct the name
    UnknownPool(Box<str>, Box<str>),
    /// two queues share host {0} and prefix {1}; change one of them
    SamePlace(Box<str>, Box<str>),
    /// two queues are called {0}; rename one of them
    SameQueue(Box<str>),
    /// two pools are called {0}; rename one of them
    SamePool(Box<str>),
    /// queue {0} has a timeout of 0; give it at least 1 ms
    NoTimeout(Box<str>),
}

impl std::error::Error for BadChange {}

impl ChangeSet {
    /// Checks the parts against each other.
    ///
    /// # Errors
    /// The first fault that is found.
    ///
    /// ```
    /// use yuccalink_state::jobs::{ChangeSet, Queue, change::BadChange};
    /// let queue = Queue { name: "q".into(), pool: "p".into(), timeout_ms: 1, ..Queue::default() };
    /// let change = ChangeSet { queues: vec![queue], ..ChangeSet::default() };
    /// assert_eq!(change.check(), Err(BadChange::UnknownPool("q".into(), "p".into())));
    /// ```
    pub fn check(&self) -> Result<(), BadChange> {
        let mut pools = BTreeSet::new();
        for pool in &self.pools {
            if !pools.insert(&*pool.name) {
                return Err(BadChange::SamePool(pool.name.clone()));
            }
        }
        let mut places = BTreeSet::new();
        let mut names = BTreeSet::new();
        for queue in &self.queues {
            if !pools.contains(&*queue.pool) {
                return Err(BadChange::UnknownPool(queue.name.clone(), queue.pool.clone()));
            }
            if !places.insert((&*queue.host, &*queue.prefix)) {
                return Err(BadChange::SamePlace(queue.host.clone(), queue.prefix.clone()));
            }
            if !names.insert(&*queue.name) {
                return Err(BadChange::SameQueue(queue.name.clone()));
            }
            if queue.timeout_ms == 0 {
                return Err(BadChange::NoTimeout(queue.name.clone()));
            }
        }
        Ok(())
    }

    /// The queue for a path, the one with the longest matching prefix.
    ///
    /// ```
    /// use yuccalink_state::jobs::{ChangeSet, Queue};
    /// let queue = |prefix: &str| Queue { prefix: prefix.into(), ..Queue::default() };
    /// let change = ChangeSet { queues: vec![queue("/a/"), queue("/a/b/")], ..Default::default() };
    /// assert_eq!(&*change.route("", "/a/b/7").unwrap().prefix, "/a/b/");
    /// assert!(change.route("", "/c").is_none());
    /// ```
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let matches = |queue: &&Queue| &*queue.host == host && path.starts_with(&*queue.prefix);
        self.queues.iter().filter(matches).max_by_key(|queue| queue.prefix.len())
    }

    /// The queue called `name`.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| &*queue.name == name)
    }

    /// The pool called `name`.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| &*pool.name == name)
    }
}
