//! Jobs with a task that no runner of their pool can hold.
//!
//! The largest runner counts for as long as this leader leads, also when it has left or is down,
//! since it may come back. A larger runner than any before may still join, so it is not certain
//! that such a job can never run.

use std::collections::BTreeMap;
use yuccalink_state::Resources;
use yuccalink_state::jobs::JobSpec;

/// A task that is larger than each runner of its pool.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum TooLarge {
    /// step {step} asks for {asked} of {resource}, and the largest runner of pool {pool} has {largest}; ask for less, or add a larger runner and submit the job again
    Task {
        /// Number of the step.
        step: usize,
        /// Resource of which there is too little.
        resource: &'static str,
        /// What one task asks for.
        asked: u64,
        /// What the largest runner has.
        largest: u64,
        /// The pool.
        pool: Box<str>,
    },
}

impl std::error::Error for TooLarge {}

/// The most of each resource that a runner of a pool had.
///
/// ```
/// use yuccalink_coordination::jobs::oversized::LargestRunners;
/// use yuccalink_state::{Resources, jobs::{JobSpec, StepSpec}};
/// let runner = Resources { millicores: 8_000, memory_mib: 4_096, accelerators: 0 };
/// let mut largest = LargestRunners::default();
/// largest.saw("p", runner);
/// let step = StepSpec { count: 1, need: Resources { millicores: 9_000, ..runner }, ..StepSpec::default() };
/// let job = JobSpec { steps: vec![step], ..JobSpec::default() };
/// assert!(largest.check("p", &job).is_err() && largest.check("unknown", &job).is_ok());
/// ```
#[derive(Clone, Debug, Default)]
pub struct LargestRunners(BTreeMap<Box<str>, Resources>);

impl LargestRunners {
    /// Records the capacity of a runner.
    pub fn saw(&mut self, pool: &str, capacity: Resources) {
        let Some(most) = self.0.get_mut(pool) else {
            self.0.insert(pool.into(), capacity);
            return;
        };
        most.millicores = most.millicores.max(capacity.millicores);
        most.memory_mib = most.memory_mib.max(capacity.memory_mib);
        most.accelerators = most.accelerators.max(capacity.accelerators);
    }

    /// Checks that no task is larger than each runner of a pool.
    ///
    /// # Errors
    /// The first task that is. A pool without runners holds any task.
    pub fn check(&self, pool: &str, spec: &JobSpec) -> Result<(), TooLarge> {
        let Some(most) = self.0.get(pool) else { return Ok(()) };
        for (at, step) in spec.steps.iter().enumerate() {
            let need = step.reserved();
            let amounts = [
                ("CPU in millicores", need.millicores, most.millicores),
                ("memory in MiB", need.memory_mib, most.memory_mib),
                ("accelerators", need.accelerators.into(), most.accelerators.into()),
            ];
            if let Some((resource, asked, largest)) =
                amounts.into_iter().find(|(_, asked, largest)| asked > largest)
            {
                let pool = pool.into();
                return Err(TooLarge::Task { step: at, resource, asked, largest, pool });
            }
        }
        Ok(())
    }
}
