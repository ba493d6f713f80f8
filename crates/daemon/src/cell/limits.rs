//! Bounds on clients: those of the change set in force, and those of the process's memory.

use crate::cell::config::CellConfig;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use yuccalink_state::jobs::{ChangeSet, Limits};
use yuccalink_transport::account::{
    AccountBounds, CONNECTION_BYTES, ClassBounds, ClientClass, ClientTimeouts,
};

/// Sixteenths of a process's memory that clients may take. Half of the memory of a process with a
/// disk is for jobs.
const CLIENTS_16THS: u64 = 5;
const CLIENTS_16THS_WITHOUT_DISK: u64 = 10;
/// One part in this many of the clients' memory is kept for each of callers, control and peers.
const RESERVE_PART: usize = 8;
/// Connections of load balancers and readers of metrics.
const OBSERVERS_MAX: usize = 64;
/// One place in this many is kept for runners and operators.
const CONTROL_PLACES_PART: usize = 4;
/// One place in this many is kept for callers.
const CALLER_PLACES_PART: usize = 16;
/// Largest read buffer for the head of a caller's request. A limit above it counts as this.
const HEAD_BYTES_MAX: usize = 64 * 1024;
/// Read buffer beyond the limit of the head, so that the limit itself is decided with the whole
/// head at hand.
const HEAD_SLACK_BYTES: usize = 4 * 1024;
/// Smallest read buffer.
const READ_BUFFER_MIN: usize = 16 * 1024;
/// Time limit for reading a response.
pub(crate) const UNREAD_TIMEOUT: Duration = Duration::from_secs(30);

/// The limits of the change set with this version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LimitsInForce {
    /// Version of the change set; 0 without one.
    pub(crate) version: u64,
    pub(crate) limits: Limits,
}

impl LimitsInForce {
    pub(crate) fn of(change_set: &ChangeSet) -> Self {
        Self { version: change_set.version, limits: change_set.limits }
    }

    /// Largest body of a caller's request, in bytes.
    pub(crate) fn body_max(&self) -> usize {
        usize::try_from(self.limits.body_bytes).unwrap_or(usize::MAX)
    }

    /// Largest head of a caller's request, in bytes.
    pub(crate) fn head_max(&self) -> usize {
        usize::try_from(self.limits.head_bytes).unwrap_or(usize::MAX).min(HEAD_BYTES_MAX)
    }

    /// Read buffer that holds the largest head, in bytes.
    pub(crate) fn read_buffer(&self) -> usize {
        (self.head_max() + HEAD_SLACK_BYTES).max(READ_BUFFER_MIN)
    }

    /// Time limits of callers' connections. 0 stands for the default.
    pub(crate) fn timeouts(&self) -> ClientTimeouts {
        let defaults = Limits::default();
        let time = |ms, default| Duration::from_millis(if ms == 0 { default } else { ms });
        ClientTimeouts {
            idle: time(self.limits.idle_timeout_ms, defaults.idle_timeout_ms),
            head: time(self.limits.head_timeout_ms, defaults.head_timeout_ms),
            unread: UNREAD_TIMEOUT,
        }
    }
}

/// Bounds on what the clients of a process may make it hold.
pub(crate) fn account_bounds(cfg: &CellConfig) -> AccountBounds {
    let part = if cfg.data.is_some() { CLIENTS_16THS } else { CLIENTS_16THS_WITHOUT_DISK };
    let bytes = usize::try_from(cfg.memory / 16 * part).unwrap_or(usize::MAX);
    let max = cfg.connections_max;
    let class = |class| {
        let (connections, reserve) = match class {
            ClientClass::Callers => (max - max / CONTROL_PLACES_PART, bytes / RESERVE_PART),
            ClientClass::Control => (max - max / CALLER_PLACES_PART, bytes / RESERVE_PART),
            ClientClass::Peers => (cfg.peers_max, bytes / RESERVE_PART),
            ClientClass::Observers => (OBSERVERS_MAX, OBSERVERS_MAX * CONNECTION_BYTES),
        };
        ClassBounds { connections, reserve }
    };
    AccountBounds { bytes, connections: max, classes: ClientClass::ALL.map(class) }
}
