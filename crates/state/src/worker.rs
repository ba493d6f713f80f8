//! Workers in the replicated state: their capacity, location and the resources
//! that are reserved for tasks.

use crate::id::{Incarnation, Name};
use crate::resources::Resources;
use serde::{Deserialize, Serialize};

/// A worker's description of itself in its announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct WorkerSpec {
    /// Unique among all targets.
    pub name: Name,
    /// Number of this run of the worker's process.
    pub incarnation: Incarnation,
    /// Address that the worker takes orders on, as `ip:port`.
    pub address: Box<str>,
    /// The worker's whole capacity.
    pub capacity: Resources,
    /// The worker's rack.
    pub rack: Name,
    /// The worker's availability zone.
    pub zone: Name,
}

/// Whether a worker may be given tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerPhase {
    /// The worker takes tasks.
    Live,
    /// The worker finishes the tasks that it has and takes no new ones.
    Leaving,
    /// The worker's lease has expired for certain; it has no tasks.
    Gone,
}

/// The record of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Worker {
    /// The worker's announcement.
    pub spec: WorkerSpec,
    /// Whether it may be given tasks.
    pub phase: WorkerPhase,
    /// Resources that are reserved for the tasks placed on the worker.
    pub committed: Resources,
    /// Number of tasks placed on the worker.
    pub tasks: u32,
}

impl Worker {
    /// The worker's free capacity.
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
