//! Emulates a whole cell in one thread and in virtual time: entries, runners, and a leader whose
//! processor has a limited share of a core. The decisions are those of the product: the leader,
//! the queue in front of it, and the entries' search for the leader.
//!
//! Not emulated: consensus and elections (a commit takes a set time, and the lease depends on
//! one message that the leader has to handle), connections that fill up, and the entries' own
//! processors.

mod cancels;
mod disturb;
mod leader_process;
mod load;
mod report;
mod world;

pub use cancels::CancelLoad;
pub use leader_process::MessageCosts;
pub use load::{BatchLoad, LongRunningLoad};
pub use report::{CellReport, SecondReport};
pub use world::EmulatedCell;

use std::time::Duration;
use yuccalink_coordination::Moment;

/// Order in which the leader handles what arrives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Queueing {
    /// By class, with requests that expire; see [`yuccalink_coordination::intake`].
    #[default]
    ByClass,
    /// In the order of arrival, however late. For comparison.
    FirstCome,
}

/// A disturbance of the cell.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Disturbance {
    /// This part of the entries can reach nobody, and nobody them.
    EntriesCut(f64),
    /// This part of the runners stops and loses all runs.
    RunnersLost(f64),
    /// Messages cost the leader this many times as much.
    DearMessages(f64),
}

/// Size and load of an emulated cell.
#[derive(Clone, Debug)]
pub struct CellSpec {
    /// Processes that runners report to.
    pub entries: usize,
    /// Entries that also have a disk; the first of them leads.
    pub disks: usize,
    /// Runners, spread over the entries.
    pub runners: usize,
    /// Share of a core that the leader's VM has.
    pub leader_share: f64,
    /// What messages cost the leader.
    pub costs: MessageCosts,
    /// Order in which the leader handles what arrives.
    pub queueing: Queueing,
    /// Jobs of long-running tasks, submitted at their start.
    pub long_running: LongRunningLoad,
    /// Jobs of short tasks.
    pub batch: BatchLoad,
    /// Jobs of short tasks that are cancelled.
    pub cancels: CancelLoad,
    /// Disturbances: their start, their duration, and what happens.
    pub disturbances: Vec<(Moment, Duration, Disturbance)>,
    /// Seed of all random choices.
    pub seed: u64,
}

impl CellSpec {
    /// A cell of this size with a load that fills about half of its runners.
    ///
    /// ```
    /// use std::time::Duration;
    /// use yuccalink_fakes::cell::{CellSpec, EmulatedCell};
    /// let report = EmulatedCell::new(CellSpec::sized(10, 60)).run(Duration::from_secs(3));
    /// assert_eq!(report.seconds.len(), 3);
    /// ```
    pub fn sized(entries: usize, runners: usize) -> Self {
        Self {
            entries,
            disks: 12.min(entries),
            runners,
            leader_share: 0.48,
            costs: MessageCosts::default(),
            queueing: Queueing::default(),
            long_running: LongRunningLoad::for_runners(runners),
            batch: BatchLoad::for_runners(runners),
            cancels: CancelLoad::default(),
            disturbances: Vec::new(),
            seed: 1,
        }
    }
}
