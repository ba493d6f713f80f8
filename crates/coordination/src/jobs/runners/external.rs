//! Calls of the leader to services outside the cell, and their replies: the placement
//! policy, which says which runners may run a step, and the platform, which lists machines
//! and takes them down for maintenance.

use serde::{Deserialize, Serialize};
use yuccalink_state::jobs::JobId;

/// Correlates a call with its reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExternalCallId(pub u64);

/// A call to an external service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExternalCall {
    /// Ask the placement policy which of these runners may run a step.
    Advise {
        /// Job of the step.
        job: JobId,
        /// Index of the job's occurrence.
        occurrence: u32,
        /// Index of the step in the job.
        step: u16,
        /// Names of the runners.
        runners: Vec<Box<str>>,
    },
    /// Read a page of the list of machines.
    Machines {
        /// Page token from the previous reply, `None` for the first page.
        page: Option<Box<str>>,
    },
    /// Take a machine down for maintenance. All runs on the machine end at once.
    Upkeep {
        /// Name of the machine.
        machine: Box<str>,
        /// Number of the maintenance wave.
        wave: u64,
        /// Name of the process that orders the maintenance.
        holder: Box<str>,
        /// Fencing token, which rises with each leader.
        token: u64,
    },
}

/// Whether a machine can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachineState {
    /// The machine is up.
    Up,
    /// The machine moves to another pool, or is down for maintenance.
    Away,
    /// The machine is neither up nor away, such as one that is off.
    Down,
}

/// A machine of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Name of the machine, which never changes.
    pub name: Box<str>,
    /// Whether the machine can be used.
    pub state: MachineState,
    /// Runner on the machine, if there is one.
    pub runner: Option<Box<str>>,
}

/// Reply of an external service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExternalReply {
    /// Runners that may run the step, each with its ticket.
    Advice {
        /// Runner's name and ticket.
        allowed: Vec<(Box<str>, Box<str>)>,
        /// How long the tickets are valid, in milliseconds.
        validity_ms: u64,
    },
    /// A page of the list of machines.
    Machines {
        /// Machines in the platform's order.
        machines: Vec<Machine>,
        /// Token of the next page, `None` on the last page.
        next: Option<Box<str>>,
    },
    /// The call was executed.
    Done,
    /// The call was refused, and will be refused again unless conditions change.
    Refused,
    /// The call failed for now or its outcome is unknown; retry it.
    Later,
}
