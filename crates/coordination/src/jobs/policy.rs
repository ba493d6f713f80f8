//! Scheduling policy of a cell leader: which mechanisms are on, and their parameters.
//!
//! Each section is defined in the module that implements its mechanism.
//! [`Policy::default`] is the shipped policy. A settings file or a [`PolicyBuilder`] can
//! switch a mechanism off or change a parameter without a rebuild.

pub use super::admission::{AdmissionMode, AdmissionPolicy};
pub use super::capacity::KeptFreePolicy;
pub use super::colocation::SharingPolicy;
pub use super::compatibility::{GatheringPolicy, MatchingPolicy, PatiencePolicy, RacksPolicy};
pub use super::copies::CopiesPolicy;
pub use super::evacuation::EvacuationPolicy;
pub use super::gangs::GangsPolicy;
pub use super::interference::InterferencePolicy;
pub use super::job_harm::JobHarmPolicy;
pub use super::knowledge::KnowledgePolicy;
pub use super::leaving::LeavingPolicy;
pub use super::margin_forecast::ForecastPolicy;
pub use super::pace::{MovingPolicy, PacingPolicy, StandstillPolicy};
pub use super::ready::{OrderBy, OrderPolicy};
pub use super::report_rate::ReportsPolicy;
pub use super::reserve::ReservePolicy;
pub use super::runner::DistrustPolicy;
pub use super::scarcity::ScarcityPolicy;
pub use super::shares::SharesPolicy;
pub use super::sizes::SizesPolicy;
pub use super::suspects::SuspectsPolicy;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Whether a mechanism is enabled.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, derive_more::Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum Switch {
    /// The mechanism is enabled.
    #[default]
    #[display("on")]
    On,
    /// The mechanism takes no part in any decision.
    #[display("off")]
    Off,
}

impl Switch {
    /// Returns whether the mechanism is enabled.
    pub fn is_on(self) -> bool {
        self == Self::On
    }
}

/// A duration in whole milliseconds, as written in settings files.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
#[display("{_0} ms")]
#[serde(transparent)]
pub struct Millis(pub u32);

impl Millis {
    /// Converts the value to a [`Duration`].
    ///
    /// ```
    /// use std::time::Duration;
    /// use yuccalink_coordination::jobs::policy::Millis;
    /// assert_eq!(Millis(1_500).to_duration(), Duration::from_millis(1_500));
    /// ```
    pub const fn to_duration(self) -> Duration {
        Duration::from_millis(self.0 as u64)
    }
}

/// All scheduling parameters of a cell leader that can be configured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct Policy {
    /// Order in which waiting steps are offered free capacity.
    pub order: OrderPolicy,
    /// Boosts job sizes that end on time less often than their queue.
    pub sizes: SizesPolicy,
    /// Gives queues with a weight their share of a pool whose CPU is short.
    pub shares: SharesPolicy,
    /// Offers background images to the runners where they interfere least.
    pub matching: MatchingPolicy,
    /// Keeps runners free for large long-running tasks.
    pub kept_free: KeptFreePolicy,
    /// Places serving tasks of one image on the same runners.
    pub gathering: GatheringPolicy,
    /// Learns how much pairs of images interfere.
    pub interference: InterferencePolicy,
    /// Forecasts the load of serving tasks.
    pub forecast: ForecastPolicy,
    /// Limits which tasks may start beside serving tasks.
    pub sharing: SharingPolicy,
    /// Slows background tasks when a serving task's margin runs out.
    pub pacing: PacingPolicy,
    /// Keeps more margin for serving tasks while background work is not pressed for time.
    pub reserve: ReservePolicy,
    /// Gives serving jobs with many tasks over their bound more room.
    pub job_harm: JobHarmPolicy,
    /// Moves background tasks with checkpoints to other runners.
    pub moving: MovingPolicy,
    /// All background tasks beside a serving task that exceeds its bound for too long are
    /// paused (pace 0).
    pub standstill: StandstillPolicy,
    /// Starts a job even if no compatible runner was found for some time.
    pub patience: PatiencePolicy,
    /// Lets tasks wait for a runner in their preferred rack.
    pub racks: RacksPolicy,
    /// Moves long-running tasks off a runner that is about to leave.
    pub leaving: LeavingPolicy,
    /// Starts second copies of stragglers.
    pub copies: CopiesPolicy,
    /// Limits what is started on runners where many runs fail.
    pub distrust: DistrustPolicy,
    /// Places the members of a gang in one rack.
    pub gangs: GangsPolicy,
    /// Tries tasks that crashed runners alone before they run beside others.
    pub suspects: SuspectsPolicy,
    /// Moves work out of evacuated zones, and back.
    pub evacuation: EvacuationPolicy,
    /// Lets runners report more often while tasks wait.
    pub reports: ReportsPolicy,
    /// Tells later leaders what was learnt.
    pub knowledge: KnowledgePolicy,
    /// Shares out the room among long-running jobs when not all of their tasks fit.
    pub scarcity: ScarcityPolicy,
    /// Refuses jobs that cannot be served.
    pub admission: AdmissionPolicy,
}

/// Error of a policy with an invalid parameter.
#[derive(Clone, Copy, Debug, PartialEq, displaydoc::Display)]
pub enum InvalidPolicy {
    /// [{section}] {name} is {value}; write a figure from {least} to {most}
    OutOfRange {
        /// Section of the parameter.
        section: &'static str,
        /// Name of the parameter in that section.
        name: &'static str,
        /// Configured value.
        value: f64,
        /// Smallest allowed value.
        least: f64,
        /// Largest allowed value.
        most: f64,
    },
}

impl std::error::Error for InvalidPolicy {}

/// Section, name, value, smallest and largest allowed value of a parameter.
type BoundedSetting = (&'static str, &'static str, f64, f64, f64);

impl Policy {
    /// Returns a builder that starts from the shipped policy.
    ///
    /// ```
    /// use yuccalink_coordination::jobs::policy::{CopiesPolicy, Policy, Switch};
    /// let copies = CopiesPolicy { mode: Switch::Off, ..CopiesPolicy::default() };
    /// let policy = Policy::builder().copies(copies).build()?;
    /// assert_ne!(policy, Policy::default());
    /// # Ok::<(), yuccalink_coordination::jobs::policy::InvalidPolicy>(())
    /// ```
    pub fn builder() -> PolicyBuilder {
        PolicyBuilder(Self::default())
    }

    /// Checks that every parameter is within its range.
    ///
    /// # Errors
    /// Returns [`InvalidPolicy`] with the section, name and range of the first parameter that
    /// is out of range.
    ///
    /// ```
    /// use yuccalink_coordination::jobs::policy::Policy;
    /// let mut policy = Policy::default();
    /// policy.pacing.margin_aim = f64::NAN;
    /// assert!(policy.check().is_err());
    /// ```
    pub fn check(&self) -> Result<(), InvalidPolicy> {
        for (section, name, value, least, most) in self.bounded_settings() {
            // NaN is in no range, so it is rejected too.
            if !(least..=most).contains(&value) {
                return Err(InvalidPolicy::OutOfRange { section, name, value, least, most });
            }
        }
        Ok(())
    }

    fn bounded_settings(&self) -> [BoundedSetting; 35] {
        let runs_max = f64::from(self.moving.runs_max);
        [
            ("order", "size-weight", self.order.size_weight, 0.0, 2.0),
            ("sizes", "behind", self.sizes.behind, 0.0, 1.0),
            ("sizes", "room", self.sizes.room, 0.0, 1.0),
            ("shares", "memory-ms", f64::from(self.shares.memory.0), 100.0, 60_000.0),
            ("shares", "reclaim-ms", f64::from(self.shares.reclaim.0), 100.0, 60_000.0),
            ("kept-free", "first-runners-max", self.kept_free.first_runners_max as f64, 0.0, 1e4),
            ("kept-free", "one-in", self.kept_free.one_in as f64, 1.0, 1e6),
            ("gathering", "hard-weight", self.gathering.hard_weight, 0.0, 1e3),
            ("interference", "start-mean", self.interference.start_mean, 0.0, 1e3),
            ("interference", "start-variance", self.interference.start_variance, 0.0, 1e6),
            ("sharing", "margin-min", self.sharing.margin_min, 0.0, 10.0),
            ("sharing", "serving-use", self.sharing.serving_use, 0.0, 1.0),
            ("pacing", "margin-aim", self.pacing.margin_aim, 0.0, 10.0),
            ("reserve", "start-margin", self.reserve.start_margin, 0.0, 10.0),
            ("reserve", "pace-margin", self.reserve.pace_margin, 0.0, 10.0),
            ("reserve", "pressure-low", self.reserve.pressure_low, 0.0, 100.0),
            ("reserve", "pressure-high", self.reserve.pressure_high, 0.0, 100.0),
            ("job-harm", "tolerated", self.job_harm.tolerated, 0.0, 1.0),
            ("job-harm", "bound", self.job_harm.bound, 0.0, 1.0),
            ("job-harm", "start-margin", self.job_harm.start_margin, 0.0, 10.0),
            ("job-harm", "pace-margin", self.job_harm.pace_margin, 0.0, 10.0),
            ("job-harm", "pressed-part", self.job_harm.pressed_part, 0.0, 1.0),
            ("moving", "below", self.moving.below, 0.0, 1.0),
            ("moving", "pressure", self.moving.pressure, 0.0, 10.0),
            ("moving", "runs-max", runs_max, 0.0, 1e3),
            ("copies", "lags-by", f64::from(self.copies.straggler_factor), 1.0, 100.0),
            ("copies", "one-in", self.copies.one_in as f64, 1.0, 1e6),
            ("distrust", "bad-ends-max", f64::from(self.distrust.failures_max), 1.0, 1e3),
            ("suspects", "one-in", self.suspects.one_in as f64, 1.0, 1e6),
            ("knowledge", "bytes-per-s", f64::from(self.knowledge.bytes_per_s), 256.0, 65_536.0),
            ("scarcity", "floor-percent", f64::from(self.scarcity.floor_percent), 0.0, 100.0),
            (
                "scarcity",
                "short-first-percent",
                f64::from(self.scarcity.short_first_percent),
                0.0,
                100.0,
            ),
            ("scarcity", "one-in", self.scarcity.one_in as f64, 1.0, 1e6),
            ("admission", "quantile", self.admission.quantile, 0.0, 0.5),
            ("admission", "outcomes-min", f64::from(self.admission.outcomes_min), 30.0, 4_000.0),
        ]
    }
}

/// Builder of a [`Policy`].
#[derive(Clone, Copy, Debug, Default)]
pub struct PolicyBuilder(Policy);

macro_rules! sections {
    ($($(#[$doc:meta])* $name:ident: $kind:ty,)*) => {
        impl PolicyBuilder {
            $(
                $(#[$doc])*
                #[must_use]
                pub fn $name(mut self, section: $kind) -> Self {
                    self.0.$name = section;
                    self
                }
            )*
        }
    };
}

sections! {
    /// Sets the order in which waiting steps are offered free capacity.
    order: OrderPolicy,
    /// Sets which job sizes are boosted.
    sizes: SizesPolicy,
    /// Sets how queues with a weight share a pool.
    shares: SharesPolicy,
    /// Sets how background images are matched with serving images.
    matching: MatchingPolicy,
    /// Sets which runners are kept free.
    kept_free: KeptFreePolicy,
    /// Sets how serving tasks are grouped by image.
    gathering: GatheringPolicy,
    /// Sets how the interference of image pairs is learnt.
    interference: InterferencePolicy,
    /// Sets how the loads of serving tasks are forecast.
    forecast: ForecastPolicy,
    /// Sets what may start beside serving tasks.
    sharing: SharingPolicy,
    /// Sets how background tasks are slowed.
    pacing: PacingPolicy,
    /// Sets how much margin is kept while background work has time.
    reserve: ReservePolicy,
    /// Sets how much room serving jobs with many tasks over their bound get.
    job_harm: JobHarmPolicy,
    /// Sets which background tasks are moved to other runners.
    moving: MovingPolicy,
    /// Sets when all background tasks beside a serving task are paused (pace 0).
    standstill: StandstillPolicy,
    /// Sets how long a job waits for a compatible runner.
    patience: PatiencePolicy,
    /// Sets how long tasks wait for a runner in their preferred rack.
    racks: RacksPolicy,
    /// Sets when long-running tasks are moved off a leaving runner.
    leaving: LeavingPolicy,
    /// Sets which stragglers get second copies.
    copies: CopiesPolicy,
    /// Sets when less is started on runners where runs fail.
    distrust: DistrustPolicy,
    /// Sets how gangs are placed.
    gangs: GangsPolicy,
    /// Sets how tasks that crashed runners are tried alone.
    suspects: SuspectsPolicy,
    /// Sets how work leaves evacuated zones, and how it comes back.
    evacuation: EvacuationPolicy,
    /// Sets how often runners report while tasks wait.
    reports: ReportsPolicy,
    /// Sets what a leader tells later leaders.
    knowledge: KnowledgePolicy,
    /// Sets how long-running jobs share too little room.
    scarcity: ScarcityPolicy,
    /// Sets which jobs are refused.
    admission: AdmissionPolicy,
}

impl PolicyBuilder {
    /// Checks the policy and returns it.
    ///
    /// # Errors
    /// Fails as [`Policy::check`] does.
    pub fn build(self) -> Result<Policy, InvalidPolicy> {
        self.0.check().map(|()| self.0)
    }
}
