//! Workers as the replicated state knows them: capacity, place, and what is
//! committed to tasks.

use crate::id::{Incarnation, Name};
use crate::resources::Resources;
use serde::{Deserialize, Serialize};

/// What a worker says of itself when it announces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct WorkerSpec {
    /// Unique among all targets.
    pub name: Name,
    /// This run of the worker's program.
    pub incarnation: Incarnation,
    /// Where the worker takes orders, as `ip:port`.
    pub address: Box<str>,
    /// All that it has.
    pub capacity: Resources,
    /// Its rack.
    pub rack: Name,
    /// Its availability zone.
    pub zone: Name,
}

/// Whether a worker may be given tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerPhase {
    /// Takes tasks.
    Live,
    /// Finishes what it holds, takes nothing new.
    Leaving,
    /// Its lease has surely ended; it holds nothing.
    Gone,
}

/// A worker's record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Worker {
    /// What it announced.
    pub spec: WorkerSpec,
    /// Whether it may be given tasks.
    pub phase: WorkerPhase,
    /// Sum of the needs of all tasks placed on it.
    pub committed: Resources,
    /// How many tasks are placed on it.
    pub tasks: u32,
}

impl Worker {
    /// What is not committed.
    ///
    /// ```
    /// # use yuccalink_state::{Resources, worker::*, id::*};
    /// # let name = Name::new("w1")?;
    /// # let capacity = Resources { millicores: 2000, memory_mib: 10, accelerators: 0 };
    /// # let worker = Worker { spec: WorkerSpec { name: name.clone(), incarnation: Incarnation(1),
    /// #   address: "127.0.0.1:1".into(), capacity, rack: name.clone(), zone: name },
    /// #   phase: WorkerPhase::Live, committed: Resources::ZERO, tasks: 0 };
    /// assert_eq!(worker.free(), capacity);
    /// # Ok::<(), BadName>(())
    /// ```
    pub fn free(&self) -> Resources {
        self.spec.capacity.minus(self.committed).unwrap_or(Resources::ZERO)
    }
}
