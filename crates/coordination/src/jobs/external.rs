//! What the leader asks of services outside the cell, and their answers: the policy
//! that says which runners may run a step, and the platform's list of machines.

use serde::{Deserialize, Serialize};
use yuccalink_state::jobs::JobId;

/// Names one call until it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExternalCallId(pub u64);

/// A call to a service outside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExternalCall {
    /// Which of these runners may run a step?
    Advise {
        /// The step's job.
        job: JobId,
        /// Which time the job runs.
        occurrence: u32,
        /// Which step.
        step: u16,
        /// Runners' names.
        runners: Vec<Box<str>>,
    },
    /// A page of the list of machines.
    Machines {
        /// From the page before.
        page: Option<Box<str>>,
    },
    /// Take a machine down for upkeep: all that runs there ends at once.
    Upkeep {
        /// Which.
        machine: Box<str>,
        /// For which wave.
        wave: u64,
        /// Who orders.
        holder: Box<str>,
        /// Rises with each leader.
        token: u64,
    },
}

/// Whether a machine can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachineState {
    /// It is up.
    Up,
    /// It is on its way to another pool, or down for upkeep.
    Away,
    /// It is off.
    Down,
}

/// A machine of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Its name, the same for ever.
    pub name: Box<str>,
    /// Whether it can be used.
    pub state: MachineState,
    /// The runner on it, where there is one.
    pub runner: Option<Box<str>>,
}

/// What a service outside answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExternalReply {
    /// Runners that may run the step, each with its ticket.
    Advice {
        /// Name and ticket.
        allowed: Vec<(Box<str>, Box<str>)>,
        /// How long the tickets are valid, in milliseconds.
        validity_ms: u64,
    },
    /// A page of the list.
    Machines {
        /// In the platform's order.
        machines: Vec<Machine>,
        /// Where the next page begins.
        next: Option<Box<str>>,
    },
    /// It is done.
    Done,
    /// It was not done, and will not be as things are.
    Refused,
    /// It was not done now, or nobody knows; ask again.
    Later,
}
