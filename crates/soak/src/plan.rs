//! Series of faults, drawn from a seed.

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use yuccalink_state::jobs::JobId;

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

/// Shortest and longest time between two jobs that are cancelled, in ms.
const CANCEL_GAP_MS: std::ops::Range<u64> = 100..600;

/// When a caller cancels its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelTime {
    /// Once the submission is accepted.
    Promptly,
    /// This time after the submission was accepted.
    After(Duration),
    /// This time after the submission was accepted; the tasks run until they are stopped.
    LongRunning(Duration),
    /// This time after the submission was sent, whether it is answered or not.
    WhileSubmitting(Duration),
    /// This time before the submission is sent, whether the cancellation is answered or not.
    BeforeSubmitting(Duration),
    /// The submission is sent once the cancellation is answered.
    InsteadOfSubmitting,
}

/// A job that its caller cancels.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedCancel {
    /// Time of the first request after the start of the traffic.
    pub at: Duration,
    /// Number of the job.
    pub id: JobId,
    /// Number of tasks of the job.
    pub tasks: u16,
    /// When the job is cancelled.
    pub when: CancelTime,
    /// Processes that get the submission and the cancellation first.
    pub to: [usize; 2],
    /// Whether the cancellation is sent again, to another process.
    pub resent: bool,
    /// Time from the answer to the cancellation until a copy of the submission is sent.
    pub copy_after: Option<Duration>,
}

/// The jobs that are cancelled.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CancelPlan {
    /// The jobs, in the order of their first requests.
    pub cancels: Vec<PlannedCancel>,
    /// Whether the operator gives the queue other names.
    pub renames: bool,
}

impl CancelPlan {
    /// Draws the jobs for `seed`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use yuccalink_soak::CancelPlan;
    /// let span = Duration::from_secs(10);
    /// assert_eq!(CancelPlan::draw(7, 5, span), CancelPlan::draw(7, 5, span));
    /// assert_ne!(CancelPlan::draw(7, 5, span), CancelPlan::draw(8, 5, span));
    /// ```
    pub fn draw(seed: u64, nodes: usize, span: Duration) -> Self {
        // A separate random stream, so that the series of faults of a seed stays the same.
        const STREAM: u64 = 0x6361_6e63_656c;
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ STREAM);
        let renames = rng.random_range(0..3) == 0;
        let mut cancels = Vec::new();
        let mut at = Duration::ZERO;
        loop {
            at += Duration::from_millis(rng.random_range(CANCEL_GAP_MS));
            if at >= span {
                return Self { cancels, renames };
            }
            let id = JobId(rng.random_range(1..u64::MAX));
            let tasks = rng.random_range(1..4);
            let when = CancelTime::draw(&mut rng);
            let to = [rng.random_range(0..nodes), rng.random_range(0..nodes)];
            let resent = rng.random_range(0..3) == 0;
            let copy_after = Duration::from_millis(rng.random_range(1_000..4_000));
            let copy_after = (rng.random_range(0..2) == 0).then_some(copy_after);
            cancels.push(PlannedCancel { at, id, tasks, when, to, resent, copy_after });
        }
    }
}

impl CancelTime {
    fn draw(rng: &mut Pcg64Mcg) -> Self {
        let case = rng.random_range(0..12);
        let mut draw = |range| Duration::from_millis(rng.random_range(range));
        match case {
            0..=1 => Self::Promptly,
            2..=4 => Self::After(draw(100..4_000)),
            5..=6 => Self::LongRunning(draw(2_000..7_000)),
            7..=8 => Self::WhileSubmitting(draw(0..40)),
            9..=10 => Self::BeforeSubmitting(draw(0..20)),
            _ => Self::InsteadOfSubmitting,
        }
    }
}

/// Settings of the queue of the jobs in one change set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlannedSettings {
    /// Weight of the queue.
    pub weight: Option<u32>,
    /// Floor of its long-running jobs, in percent.
    pub floor_percent: Option<u8>,
    /// Whether its tasks are not started.
    pub hold: bool,
}

/// The settings of one change set after the other; those after the last have none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettingsPlan(pub Vec<PlannedSettings>);

impl SettingsPlan {
    /// Draws the settings of `changes` change sets for `seed`.
    ///
    /// ```
    /// use yuccalink_soak::SettingsPlan;
    /// assert_eq!(SettingsPlan::draw(7, 9), SettingsPlan::draw(7, 9));
    /// assert_ne!(SettingsPlan::draw(7, 9), SettingsPlan::draw(8, 9));
    /// assert!(SettingsPlan::draw(7, 9).0[1].hold, "every third change set holds the queue");
    /// ```
    pub fn draw(seed: u64, changes: usize) -> Self {
        // A separate random stream, so that the series of faults of a seed stays the same.
        const STREAM: u64 = 0x7365_7474;
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ STREAM);
        let mut draw = |at: usize| PlannedSettings {
            weight: (rng.random_range(0..2) == 0).then(|| rng.random_range(1..10)),
            floor_percent: (rng.random_range(0..2) == 0).then(|| rng.random_range(0..=100)),
            hold: at % 3 == 1,
        };
        Self((0..changes).map(&mut draw).collect())
    }
}

/// The request that is acknowledged right before the final fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LastRequest {
    /// The submission of a job.
    Submission,
    /// The cancellation of a job.
    Cancellation,
    /// A change set.
    Change,
    /// The evacuation of a zone.
    ZoneOrder,
}

/// What the cancellation before the final fault finds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelledJob {
    /// Long-running tasks at work.
    Running,
    /// A job that was accepted just before.
    JustAccepted,
    /// No job; its submission arrives after the final fault.
    Unknown,
}

/// Which processes end first, or start first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultOrder {
    /// All processes at the same moment.
    Together,
    /// Those that lose their disks, and the others after this time.
    DisksFirst(Duration),
    /// Those that lose their disks this time after the others.
    DisksLast(Duration),
}

/// A final fault in which disks are lost and all other processes are killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Blackout {
    /// The first process that loses its disk.
    pub first_lost: usize,
    /// Number of disks that are lost.
    pub disks_lost: usize,
    /// The request that was acknowledged right before.
    pub last: LastRequest,
    /// The job whose cancellation was acknowledged.
    pub cancelled: CancelledJob,
    /// In which order the processes are killed.
    pub kills: FaultOrder,
    /// In which order the processes are started again.
    pub starts: FaultOrder,
}

impl Blackout {
    /// Draws the final fault for `seed`. As many disks are lost as the cell tolerates.
    ///
    /// ```
    /// use yuccalink_soak::Blackout;
    /// assert_eq!(Blackout::draw(7, 5, 2), Blackout::draw(7, 5, 2));
    /// assert_eq!(Blackout::draw(7, 5, 2).disks_lost, 2);
    /// ```
    pub fn draw(seed: u64, disks: usize, disks_lost: usize) -> Self {
        const STREAM: u64 = 0x6461_726b;
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ STREAM);
        let last = match rng.random_range(0..5) {
            0 => LastRequest::Submission,
            1..=2 => LastRequest::Cancellation,
            3 => LastRequest::Change,
            _ => LastRequest::ZoneOrder,
        };
        let cancelled = match rng.random_range(0..3) {
            0 => CancelledJob::Running,
            1 => CancelledJob::JustAccepted,
            _ => CancelledJob::Unknown,
        };
        Self {
            first_lost: rng.random_range(0..disks),
            disks_lost,
            last,
            cancelled,
            kills: FaultOrder::draw(&mut rng, 1..60),
            starts: FaultOrder::draw(&mut rng, 50..1_500),
        }
    }

    /// Whether the process loses its disk, if `disks` processes have one.
    pub(crate) fn takes_disk_of(&self, node: usize, disks: usize) -> bool {
        node < disks && (node + disks - self.first_lost) % disks < self.disks_lost
    }
}

impl FaultOrder {
    fn draw(rng: &mut Pcg64Mcg, gap_ms: std::ops::Range<u64>) -> Self {
        let case = rng.random_range(0..3);
        let gap = Duration::from_millis(rng.random_range(gap_ms));
        match case {
            0 => Self::Together,
            1 => Self::DisksFirst(gap),
            _ => Self::DisksLast(gap),
        }
    }
}
