//! Series of faults, drawn from a seed.

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Shortest and longest time between two faults, in ms.
const FAULT_GAP_MS: std::ops::Range<u64> = 300..2_500;
/// Shortest time between two losses of a disk: the disk lost first must have been replaced.
const WIPE_GAP_MIN: Duration = Duration::from_secs(16);

/// A fault that is injected into a process or its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// The process is killed, and started again after this time.
    Kill(Duration),
    /// The process is paused for this time.
    Pause(Duration),
    /// The process is asked to stop, and started again when it has ended.
    Restart,
    /// The process is killed and its disk lost; it is started again after this time.
    Wipe(Duration),
    /// All traffic through the proxy of the process is delayed: by how much, and for how long.
    Delay(Duration, Duration),
    /// Connections to the process carry nothing for this time, but are not reset.
    Silence(Duration),
    /// Connections to the process carry nothing that it sends back, for this time.
    OneWay(Duration),
    /// Connections to the process are reset.
    Reset,
    /// All processes with a disk are killed at once, and started again after this time.
    KillDisks(Duration),
}

/// A fault with its time and process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// Time of the fault after the start of the traffic.
    pub at: Duration,
    /// Index of the process.
    pub node: usize,
    /// Fault to inject.
    pub fault: InjectedFault,
}

/// The final fault, right after a change set was acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalFault {
    /// All processes are killed at once.
    KillAll,
    /// All processes are killed at once, and this one loses its disk.
    KillAllAndWipe(usize),
    /// This process is killed and loses its disk.
    Wipe(usize),
}

impl FinalFault {
    /// Draws the final fault for `seed`.
    ///
    /// ```
    /// use yuccalink_soak::FinalFault;
    /// assert_eq!(FinalFault::draw(7, 3), FinalFault::draw(7, 3));
    /// ```
    pub fn draw(seed: u64, disks: usize) -> Self {
        // A separate random stream, so that the series of faults of a seed stays the same.
        const STREAM: u64 = 0x636c_6f73;
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ STREAM);
        let disk = rng.random_range(0..disks);
        match rng.random_range(0..3) {
            0 => Self::KillAll,
            1 => Self::KillAllAndWipe(disk),
            _ => Self::Wipe(disk),
        }
    }
}

/// A series of faults.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan(pub Vec<PlannedFault>);

impl Plan {
    /// Draws the series of faults for `seed`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use yuccalink_soak::Plan;
    /// let span = Duration::from_secs(10);
    /// assert_eq!(Plan::draw(7, 5, 3, span), Plan::draw(7, 5, 3, span));
    /// assert_ne!(Plan::draw(7, 5, 3, span), Plan::draw(8, 5, 3, span));
    /// ```
    pub fn draw(seed: u64, nodes: usize, disks: usize, span: Duration) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut at = Duration::ZERO;
        let mut wiped = None;
        let mut faults = Vec::new();
        loop {
            at += Duration::from_millis(rng.random_range(FAULT_GAP_MS));
            if at >= span {
                return Self(faults);
            }
            let mut node = rng.random_range(0..nodes);
            let short = Duration::from_millis(rng.random_range(300..4_000));
            let fault = match rng.random_range(0..20) {
                0..=3 => InjectedFault::Kill(short),
                4..=6 => InjectedFault::Pause(short),
                7..=9 => InjectedFault::Restart,
                10..=11 => {
                    InjectedFault::Delay(Duration::from_millis(rng.random_range(20..300)), short)
                }
                12..=13 => InjectedFault::Silence(short),
                14..=15 => InjectedFault::OneWay(short),
                16..=17 => InjectedFault::Reset,
                18 if wiped.is_none_or(|last: Duration| at - last > WIPE_GAP_MIN) => {
                    node = rng.random_range(0..disks);
                    wiped = Some(at);
                    InjectedFault::Wipe(short)
                }
                18 => InjectedFault::Reset,
                _ => InjectedFault::KillDisks(short),
            };
            // While the replacement of a lost disk catches up, some entries may be on one other
            // disk only. No process with a disk gets a fault during this time.
            let is_near_wipe = wiped.is_some_and(|last| at > last && at - last < WIPE_GAP_MIN / 2);
            let touches_disk = node < disks || matches!(fault, InjectedFault::KillDisks(_));
            if !is_near_wipe || !touches_disk {
                faults.push(PlannedFault { at, node, fault });
            }
        }
    }
}
