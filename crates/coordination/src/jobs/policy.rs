//! The leader's policy as one value: which mechanisms are on, and their figures.
//!
//! Each mechanism's section stands in the module that carries it out. The default is
//! what ships; another [`Policy`] comes from a settings file or is built in a program,
//! so that a mechanism can be switched off, or a figure changed, without a rebuild.

pub use super::colocation::SharingPolicy;
pub use super::compatibility::{GatheringPolicy, MatchingPolicy, PatiencePolicy, RacksPolicy};
pub use super::copies::CopiesPolicy;
pub use super::gangs::GangsPolicy;
pub use super::heartbeat::LeavingPolicy;
pub use super::interference::InterferencePolicy;
pub use super::margin_forecast::ForecastPolicy;
pub use super::pace::{MovingPolicy, PacingPolicy, StandstillPolicy};
pub use super::ready::{OrderBy, OrderPolicy};
pub use super::room::KeptFreePolicy;
pub use super::runner::DistrustPolicy;
pub use super::sizes::SizesPolicy;
pub use super::suspects::SuspectsPolicy;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Whether a mechanism is used.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, derive_more::Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum Switch {
    /// It is used.
    #[default]
    #[display("on")]
    On,
    /// It decides nothing.
    #[display("off")]
    Off,
}

impl Switch {
    /// Whether the mechanism is used.
    pub fn is_on(self) -> bool {
        self == Self::On
    }
}

/// A span in whole milliseconds, as settings files write it.
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
    /// The same span for calculations.
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

/// All that the leader of a cell decides by and that could be decided otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct Policy {
    /// Whose turn it is when room comes free.
    pub order: OrderPolicy,
    /// Jobs of each size get their turn.
    pub sizes: SizesPolicy,
    /// Filling images go where they press less than elsewhere.
    pub matching: MatchingPolicy,
    /// Runners kept free for large tasks that last.
    pub kept_free: KeptFreePolicy,
    /// Serving tasks gather by image.
    pub gathering: GatheringPolicy,
    /// What is learnt of pairs of images.
    pub interference: InterferencePolicy,
    /// What is foreseen of the loads of serving tasks.
    pub forecast: ForecastPolicy,
    /// What may start beside serving tasks.
    pub sharing: SharingPolicy,
    /// Filling tasks are slowed.
    pub pacing: PacingPolicy,
    /// Filling tasks with checkpoints go elsewhere.
    pub moving: MovingPolicy,
    /// Everything that fills stands still beside a task that is over its bound.
    pub standstill: StandstillPolicy,
    /// A job that finds no room that suits it starts all the same.
    pub patience: PatiencePolicy,
    /// Tasks wait for their rack.
    pub racks: RacksPolicy,
    /// Tasks that last leave a runner that leaves.
    pub leaving: LeavingPolicy,
    /// Second copies of tasks that lag.
    pub copies: CopiesPolicy,
    /// Runners with bad ends get less.
    pub distrust: DistrustPolicy,
    /// Members of a gang share a rack.
    pub gangs: GangsPolicy,
    /// Tasks under which runners were lost are tried alone.
    pub suspects: SuspectsPolicy,
}

/// Why a policy cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, displaydoc::Display)]
pub enum BadPolicy {
    /// [{section}] {name} is {value}; write a figure from {least} to {most}
    OutOfRange {
        /// Where it stands.
        section: &'static str,
        /// Its name there.
        name: &'static str,
        /// What it says.
        value: f64,
        /// The least that makes sense.
        least: f64,
        /// The most.
        most: f64,
    },
}

impl std::error::Error for BadPolicy {}

/// A figure and what it may be.
type BoundedSetting = (&'static str, &'static str, f64, f64, f64);

impl Policy {
    /// Begins with what ships.
    ///
    /// ```
    /// use yuccalink_coordination::jobs::policy::{CopiesPolicy, Policy, Switch};
    /// let copies = CopiesPolicy { mode: Switch::Off, ..CopiesPolicy::default() };
    /// let policy = Policy::builder().copies(copies).build()?;
    /// assert_ne!(policy, Policy::default());
    /// # Ok::<(), yuccalink_coordination::jobs::policy::BadPolicy>(())
    /// ```
    pub fn builder() -> PolicyBuilder {
        PolicyBuilder(Self::default())
    }

    /// Checks that every figure makes sense.
    ///
    /// # Errors
    /// [`BadPolicy`] naming the section, the figure and its bounds.
    ///
    /// ```
    /// use yuccalink_coordination::jobs::policy::Policy;
    /// let mut policy = Policy::default();
    /// policy.pacing.margin_aim = f64::NAN;
    /// assert!(policy.check().is_err());
    /// ```
    pub fn check(&self) -> Result<(), BadPolicy> {
        for (section, name, value, least, most) in self.bounded_settings() {
            // A value that is no number is in no range.
            if !(least..=most).contains(&value) {
                return Err(BadPolicy::OutOfRange { section, name, value, least, most });
            }
        }
        Ok(())
    }

    fn bounded_settings(&self) -> [BoundedSetting; 18] {
        let runs_max = f64::from(self.moving.runs_max);
        [
            ("order", "size-weight", self.order.size_weight, 0.0, 2.0),
            ("sizes", "behind", self.sizes.behind, 0.0, 1.0),
            ("sizes", "room", self.sizes.room, 0.0, 1.0),
            ("kept-free", "first-runners-max", self.kept_free.first_runners_max as f64, 0.0, 1e4),
            ("kept-free", "one-in", self.kept_free.one_in as f64, 1.0, 1e6),
            ("gathering", "hard-weight", self.gathering.hard_weight, 0.0, 1e3),
            ("interference", "start-mean", self.interference.start_mean, 0.0, 1e3),
            ("interference", "start-variance", self.interference.start_variance, 0.0, 1e6),
            ("sharing", "margin-min", self.sharing.margin_min, 0.0, 10.0),
            ("sharing", "serving-use", self.sharing.serving_use, 0.0, 1.0),
            ("pacing", "margin-aim", self.pacing.margin_aim, 0.0, 10.0),
            ("moving", "below", self.moving.below, 0.0, 1.0),
            ("moving", "pressure", self.moving.pressure, 0.0, 10.0),
            ("moving", "runs-max", runs_max, 0.0, 1e3),
            ("copies", "lags-by", f64::from(self.copies.lags_by), 1.0, 100.0),
            ("copies", "one-in", self.copies.one_in as f64, 1.0, 1e6),
            ("distrust", "bad-ends-max", f64::from(self.distrust.bad_ends_max), 1.0, 1e3),
            ("suspects", "one-in", self.suspects.one_in as f64, 1.0, 1e6),
        ]
    }
}

/// Makes a [`Policy`].
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
    /// Sets whose turn it is.
    order: OrderPolicy,
    /// Sets how sizes get their turn.
    sizes: SizesPolicy,
    /// Sets how filling images are matched with those that serve.
    matching: MatchingPolicy,
    /// Sets which runners are kept free.
    kept_free: KeptFreePolicy,
    /// Sets how serving tasks gather.
    gathering: GatheringPolicy,
    /// Sets how pairs of images are learnt.
    interference: InterferencePolicy,
    /// Sets how loads are foreseen.
    forecast: ForecastPolicy,
    /// Sets what may start beside serving tasks.
    sharing: SharingPolicy,
    /// Sets how filling tasks are slowed.
    pacing: PacingPolicy,
    /// Sets which of them go elsewhere.
    moving: MovingPolicy,
    /// Sets when they stand still.
    standstill: StandstillPolicy,
    /// Sets how long a job waits for room that suits it.
    patience: PatiencePolicy,
    /// Sets how long tasks wait for their rack.
    racks: RacksPolicy,
    /// Sets when tasks that last leave a leaving runner.
    leaving: LeavingPolicy,
    /// Sets which tasks get second copies.
    copies: CopiesPolicy,
    /// Sets which runners get less.
    distrust: DistrustPolicy,
    /// Sets how gangs are placed.
    gangs: GangsPolicy,
    /// Sets how tasks under which runners were lost are tried.
    suspects: SuspectsPolicy,
}

impl PolicyBuilder {
    /// Checks the policy.
    ///
    /// # Errors
    /// As [`Policy::check`].
    pub fn build(self) -> Result<Policy, BadPolicy> {
        self.0.check().map(|()| self.0)
    }
}
