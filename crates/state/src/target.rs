//! Targets: runners, which answer requests, and workers, which run tasks. Both
//! announce themselves; nothing of this system runs on them.

use crate::id::{Incarnation, Name};
use crate::worker::WorkerSpec;
use serde::{Deserialize, Serialize};

/// What a runner says of itself when it announces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RunnerSpec {
    /// Unique among all targets.
    pub name: Name,
    /// This run of the runner's program.
    pub incarnation: Incarnation,
    /// The service whose requests it answers.
    pub service: Name,
    /// Where it takes requests, as `ip:port`.
    pub address: Box<str>,
    /// Requests it may be given at once.
    pub slots: u32,
    /// Connections it accepts at once.
    pub connections: u32,
    /// Its availability zone.
    pub zone: Name,
}

/// Either kind of target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetSpec {
    /// Answers requests.
    Runner(RunnerSpec),
    /// Runs tasks.
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

    /// The run of the target's program that announced.
    pub fn incarnation(&self) -> Incarnation {
        match self {
            Self::Runner(spec) => spec.incarnation,
            Self::Worker(spec) => spec.incarnation,
        }
    }

    /// Where the target takes requests or orders.
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
