//! The change set: all queues, pools and limits under one version, which are put
//! into force together or not at all.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// All queues, pools and limits that operators configure, under one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct ChangeSet {
    /// The change set with the highest accepted version is in force.
    pub version: u64,
    /// Queues that callers submit jobs to.
    pub queues: Vec<Queue>,
    /// Pools of runners.
    pub pools: Vec<Pool>,
    /// Bounds on callers' requests.
    pub limits: Limits,
    /// The text that the operator sent, returned unchanged.
    pub text: Box<[u8]>,
}

/// A queue of jobs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct Queue {
    /// Unique among the queues.
    pub name: Box<str>,
    /// Host name in the callers' requests.
    pub host: Box<str>,
    /// Prefix of the requests' paths; the longest matching prefix wins.
    pub prefix: Box<str>,
    /// Name of the pool whose runners run the queue's tasks.
    pub pool: Box<str>,
    /// Maximum duration of one call, in milliseconds; at least 1.
    pub timeout_ms: u64,
    /// Time that a job may take in addition to its own work and still be on time, in
    /// milliseconds.
    pub objective_ms: u64,
    /// Multiple of its own work that a job may take and still be on time.
    pub slack: f64,
    /// Priority of the queue's jobs; 0 is the highest. Jobs of a higher priority may take capacity
    /// from jobs of other queues.
    pub priority: u32,
    /// Number of failed runs of one task at which its job fails.
    pub attempts: u32,
    /// The external policy that decides which runners may run a step, if any.
    pub advisor: Option<Advisor>,
}

/// Timing of the external policy, as its owner states it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct Advisor {
    /// Time that the policy takes for one answer, in milliseconds.
    pub decision_ms: u64,
    /// Additional time per runner in the request, in milliseconds.
    pub per_runner_ms: u64,
    /// How long an answer's ticket is valid, in milliseconds.
    pub validity_ms: u64,
}

/// A pool of runners.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct Pool {
    /// Unique among the pools.
    pub name: Box<str>,
    /// Path of the health check on the pool's runners.
    pub health_path: Box<str>,
    /// Maximum number of connections to one runner.
    pub connections_max: u32,
    /// The pool's runners refuse tasks that exceed their free capacity.
    pub guarded: bool,
    /// The pool's machines are off, and not paid for, until they are needed.
    pub standby: bool,
}

/// Bounds on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: u64,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: u64,
    /// Maximum time to receive a request's head, in milliseconds; 0 for the default.
    pub head_timeout_ms: u64,
    /// Time without data after which an open connection is closed, in milliseconds; 0 for the
    /// default.
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

/// Why a change set cannot be put into force.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum InvalidChangeSet {
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
    /// queue {0} has weight {1}; write a whole number from 1 to 10000, or leave it out
    WeightOutOfRange(Box<str>, i64),
    /// queue {0} has floor-percent {1}; write a whole number from 0 to 100, or leave it out
    FloorOutOfRange(Box<str>, i64),
    /// there are settings for queue {0}, which is not among the queues; add the queue
    UnknownQueue(Box<str>),
}

impl std::error::Error for InvalidChangeSet {}

impl ChangeSet {
    /// Validates the queues and pools and the references between them.
    ///
    /// # Errors
    /// The first problem that is found.
    ///
    /// ```
    /// use yuccalink_state::jobs::{ChangeSet, Queue, change::InvalidChangeSet};
    /// let queue = Queue { name: "q".into(), pool: "p".into(), timeout_ms: 1, ..Queue::default() };
    /// let change = ChangeSet { queues: vec![queue], ..ChangeSet::default() };
    /// assert_eq!(change.check(), Err(InvalidChangeSet::UnknownPool("q".into(), "p".into())));
    /// ```
    pub fn check(&self) -> Result<(), InvalidChangeSet> {
        let mut pools = BTreeSet::new();
        for pool in &self.pools {
            if !pools.insert(&*pool.name) {
                return Err(InvalidChangeSet::SamePool(pool.name.clone()));
            }
        }
        let mut places = BTreeSet::new();
        let mut names = BTreeSet::new();
        for queue in &self.queues {
            if !pools.contains(&*queue.pool) {
                return Err(InvalidChangeSet::UnknownPool(queue.name.clone(), queue.pool.clone()));
            }
            if !places.insert((&*queue.host, &*queue.prefix)) {
                return Err(InvalidChangeSet::SamePlace(queue.host.clone(), queue.prefix.clone()));
            }
            if !names.insert(&*queue.name) {
                return Err(InvalidChangeSet::SameQueue(queue.name.clone()));
            }
            if queue.timeout_ms == 0 {
                return Err(InvalidChangeSet::NoTimeout(queue.name.clone()));
            }
        }
        Ok(())
    }

    /// The queue with the longest prefix that matches the host and path.
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

    /// Former and present names of the queues that have another name here than in `former`, at
    /// the same host and prefix.
    ///
    /// ```
    /// use yuccalink_state::jobs::{ChangeSet, Queue};
    /// let named = |name: &str| ChangeSet {
    ///     queues: vec![Queue { name: name.into(), prefix: "/a/".into(), ..Queue::default() }],
    ///     ..ChangeSet::default()
    /// };
    /// assert_eq!(named("b").renamed_since(&named("a"))["a"], "b");
    /// assert!(named("a").renamed_since(&named("a")).is_empty());
    /// ```
    pub fn renamed_since<'a>(&'a self, former: &'a Self) -> BTreeMap<&'a str, &'a str> {
        let address = |queue: &'a Queue| (&*queue.host, &*queue.prefix);
        let names: BTreeMap<_, _> = self.queues.iter().map(|q| (address(q), &*q.name)).collect();
        let renamed = former.queues.iter().filter_map(|queue| {
            let now = *names.get(&address(queue))?;
            (now != &*queue.name).then_some((&*queue.name, now))
        });
        renamed.collect()
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
