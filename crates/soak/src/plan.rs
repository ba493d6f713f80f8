//! Which faults come, when and where: drawn from a seed.

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Shortest and longest time between two faults.
const GAP_MS: std::ops::Range<u64> = 300..2_500;
/// Least time between two losses of a disk: the one before must have been replaced.
const WIPE_GAP: Duration = Duration::from_secs(16);

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// Killed, and started again after a while.
    Kill(Duration),
    /// Stands still for a while.
    Pause(Duration),
    /// Asked to stop, and started again once it has.
    Restart,
    /// Killed, its disk lost, and started again after a while.
    Wipe(Duration),
    /// All traffic to it is late.
    Delay(Duration, Duration),
    /// Connections to it go silent, without a reset.
    Silence(Duration),
    /// Only what it sends back is lost.
    OneWay(Duration),
    /// Connections to it are reset.
    Reset,
    /// All processes with a disk are killed at once.
    KillDisks(Duration),
}

/// A fault at a time, on a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// From the start of traffic.
    pub at: Duration,
    /// Which process.
    pub node: usize,
    /// What.
    pub fault: InjectedFault,
}

/// What happens at the end, right after a change was acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closing {
    /// All processes are killed at once.
    KillAll,
    /// The same, and one of them comes back without its disk.
    KillAllAndWipe(usize),
    /// One process with a disk is killed and loses it.
    Wipe(usize),
}

impl Closing {
    /// Draws the one for `seed`.
    ///
    /// ```
    /// use yuccalink_soak::Closing;
    /// assert_eq!(Closing::draw(7, 3), Closing::draw(7, 3));
    /// ```
    pub fn draw(seed: u64, disks: usize) -> Self {
        // Apart from the series of faults, which stays as it is for a seed.
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
pub struct Plan(pub Vec<Step>);

impl Plan {
    /// Draws the series for `seed`.
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
        let mut steps = Vec::new();
        loop {
            at += Duration::from_millis(rng.random_range(GAP_MS));
            if at >= span {
                return Self(steps);
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
                18 if wiped.is_none_or(|last: Duration| at - last > WIPE_GAP) => {
                    node = rng.random_range(0..disks);
                    wiped = Some(at);
                    InjectedFault::Wipe(short)
                }
                18 => InjectedFault::Reset,
                _ => InjectedFault::KillDisks(short),
            };
            // A disk that is lost must not take with it what only one other holds, so
            // no other disk is touched while its successor catches up.
            let near_wipe = wiped.is_some_and(|last| at > last && at - last < WIPE_GAP / 2);
            let touches_disk = node < disks || matches!(fault, InjectedFault::KillDisks(_));
            if !near_wipe || !touches_disk {
                steps.push(Step { at, node, fault });
            }
        }
    }
}
