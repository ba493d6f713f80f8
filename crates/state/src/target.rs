//! Targets: runners, which answer requests, and workers, which run tasks. Both
//! announce themselves; no part of this system runs on them.

use crate::id::{Incarnation, Name};
use crate::worker::WorkerSpec;
use serde::{Deserialize, Serialize};

/// A runner's description of itself in its announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RunnerSpec {
    /// Unique among all targets.
    pub name: Name,
    /// Number of this run of the runner's process.
    pub incarnation: Incarnation,
    /// The service whose requests it answers.
    pub service: Name,
    /// Address that the runner takes requests on, as `ip:port`.
    pub address: Box<str>,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of concurrent connections.
    pub connections: u32,
    /// The runner's availability zone.
    pub zone: Name,
}

/// The description of a target of either kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetSpec {
    /// A target that answers requests.
    Runner(RunnerSpec),
    /// A target that runs tasks.
    Worker(WorkerSpec),
}

impl TargetSpec {
    /// The target's name, unique among all targets.
    pub fn name(&self) -> &Name {
        match self {
            Self::Runner(spec) => &spec.name,
            Self::Worker(spec) => &spec.name,
        }
    }

    /// Number of the run of the target's process that announced itself.
    pub fn incarnation(&self) -> Incarnation {
        match self {
            Self::Runner(spec) => spec.incarnation,
            Self::Worker(spec) => spec.incarnation,
        }
    }

    /// Address that the target takes requests or orders on.
    pub fn address(&self) -> &str {
        match self {
            Self::Runner(spec) => &spec.address,
            Self::Worker(spec) => &spec.address,
        }
    }

    /// The target's availability zone.
    pub fn zone(&self) -> &Name {
        match self {
            Self::Runner(spec) => &spec.zone,
            Self::Worker(spec) => &spec.zone,
        }
    }
}
