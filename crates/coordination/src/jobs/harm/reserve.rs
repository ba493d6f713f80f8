//! Margin that serving tasks keep, beyond the usual one, while background work has time.
//!
//! The load that this answers: serving jobs whose own load rises faster than any forecast,
//! beside background jobs of which all end on time. A start or a pace that leaves little margin
//! then gains nothing for the callers of the background jobs, and costs the callers of the serving
//! jobs a sample. As the backlog of background work grows, the reserve falls to nothing, so that
//! in a burst background work gets all the margin that it always got.
//!
//! Declared run times are too short by a common factor more often than by chance. Both the time
//! that a backlog takes and the slack of its jobs are computed from them, so the factor cancels in
//! their ratio, unlike in the lateness of a job, which compares a declared time with a clock.

use crate::jobs::policy::{Millis, Switch};
use crate::moment::Moment;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Change of the level from which it is logged again.
const LOGGED_STEP: f64 = 0.25;
/// Shortest time between two log lines on the level of one pool.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// The level rises only if it is this much below what the pressure allows.
const RISE_MIN: f64 = 0.05;
/// For how long the level of an earlier leader is kept: until each runner has reported, the
/// backlog is compared with too few running tasks and looks longer than it is.
const RECALLED_HOLD: Duration = Duration::from_secs(2);
/// Weight of a measurement of slack and run time in their running means.
const MEAN_WEIGHT: f64 = 0.1;

/// Keeps more margin for serving tasks while background work is not pressed for time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct ReservePolicy {
    /// Whether more margin is kept.
    pub mode: Switch,
    /// Margin that a start must leave beyond `sharing.margin-min`, at the whole reserve.
    pub start_margin: f64,
    /// Margin that paces leave beyond `pacing.margin-aim`, at the whole reserve.
    pub pace_margin: f64,
    /// Pressure up to which the whole reserve is kept: the part of their slack that waiting
    /// background tasks lose until they start.
    pub pressure_low: f64,
    /// Pressure from which nothing is kept. Each step of a job waits, so it is well below one.
    pub pressure_high: f64,
    /// Time in which the reserve rises from nothing to the whole, in milliseconds.
    #[serde(rename = "rise-ms")]
    pub rise: Millis,
    /// Time in which the whole reserve falls to nothing, in milliseconds.
    #[serde(rename = "fall-ms")]
    pub fall: Millis,
}

impl Default for ReservePolicy {
    fn default() -> Self {
        Self {
            mode: Switch::On,
            start_margin: 0.5,
            pace_margin: 0.0,
            pressure_low: 0.03,
            pressure_high: 0.15,
            rise: Millis(5_000),
            fall: Millis(500),
        }
    }
}

/// Margin kept for a serving task beyond the usual one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MarginRoom {
    /// Kept when a background task starts.
    pub start: f64,
    /// Kept when paces are set.
    pub pace: f64,
}

/// Background work of one pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BackgroundLoad {
    /// Core-seconds of the waiting tasks.
    pub waiting: f64,
    /// Core-seconds of the waiting tasks times the slack of their jobs, in seconds.
    pub waiting_by_slack: f64,
    /// Core-seconds of the waiting tasks times their run time, in seconds.
    pub waiting_by_duration: f64,
    /// Cores that the running tasks use at full pace.
    pub full_pace_cores: f64,
    /// Cores that the running tasks use at their present pace.
    pub paced_cores: f64,
}

/// Reserve of one pool: how much of the extra margin is kept now.
///
/// ```
/// use yuccalink_coordination::Moment;
/// use yuccalink_coordination::jobs::reserve::{BackgroundLoad, Reserve, ReservePolicy};
/// let policy = ReservePolicy::default();
/// let mut reserve = Reserve::new(Moment::ZERO);
/// let quiet = BackgroundLoad { full_pace_cores: 9.0, paced_cores: 9.0, ..Default::default() };
/// reserve.update(&policy, &quiet, Moment::from_millis(60_000));
/// assert_eq!(reserve.room(&policy).start, policy.start_margin);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reserve {
    /// From 0, nothing, to 1, the whole.
    level: f64,
    pressure: f64,
    /// Means over the recent waiting tasks, in seconds; they also tell what a slower pace costs
    /// while nothing waits.
    slack_s: f64,
    duration_s: f64,
    at: Moment,
    held_until: Moment,
    logged_level: f64,
    logged_at: Moment,
}

impl Reserve {
    /// Creates a reserve that keeps nothing.
    pub fn new(now: Moment) -> Self {
        Self {
            level: 0.0,
            pressure: 0.0,
            slack_s: 0.0,
            duration_s: 0.0,
            at: now,
            held_until: now,
            logged_level: 0.0,
            logged_at: now,
        }
    }

    /// Takes over the level of an earlier leader's reserve, from 0 to 1, and holds it for two
    /// seconds.
    ///
    /// ```
    /// use yuccalink_coordination::Moment;
    /// use yuccalink_coordination::jobs::reserve::Reserve;
    /// let reserve = Reserve::recalled(0.5, Moment::ZERO);
    /// assert!(reserve.level() == 0.5 && reserve.is_held(Moment::from_millis(1_000)));
    /// ```
    pub fn recalled(level: f64, now: Moment) -> Self {
        let level = level.clamp(0.0, 1.0);
        Self { level, logged_level: level, held_until: now + RECALLED_HOLD, ..Self::new(now) }
    }

    /// Whether the level of an earlier leader is held.
    pub fn is_held(&self, now: Moment) -> bool {
        now < self.held_until
    }

    /// Part of the extra margin that is kept, from 0 to 1.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Part of their slack that waiting background tasks are expected to lose.
    pub fn pressure(&self) -> f64 {
        self.pressure
    }

    /// Extra margin that is kept.
    pub fn room(&self, policy: &ReservePolicy) -> MarginRoom {
        match policy.mode {
            Switch::On => MarginRoom {
                start: policy.start_margin * self.level,
                pace: policy.pace_margin * self.level,
            },
            Switch::Off => MarginRoom::default(),
        }
    }

    /// Adjusts the level to the background work. Returns whether the level is to be logged.
    pub fn update(&mut self, policy: &ReservePolicy, load: &BackgroundLoad, now: Moment) -> bool {
        let passed = now.since(self.at).as_secs_f64();
        self.at = now;
        if self.is_held(now) {
            return false;
        }
        self.update_means(load);
        self.pressure = self.pressure_of(load);
        let span = (policy.pressure_high - policy.pressure_low).max(1e-6);
        let allowed = ((policy.pressure_high - self.pressure) / span).clamp(0.0, 1.0);
        if allowed < self.level {
            let fall = passed / policy.fall.to_duration().as_secs_f64().max(1e-3);
            self.level = (self.level - fall).max(allowed);
        } else if allowed >= self.level + RISE_MIN || allowed >= 1.0 {
            let rise = passed / policy.rise.to_duration().as_secs_f64().max(1e-3);
            self.level = (self.level + rise).min(allowed);
        }
        let moved = (self.level - self.logged_level).abs() >= LOGGED_STEP;
        let is_logged = moved && now.since(self.logged_at) >= LOG_INTERVAL;
        if is_logged {
            self.logged_level = self.level;
            self.logged_at = now;
        }
        is_logged
    }

    fn update_means(&mut self, load: &BackgroundLoad) {
        if load.waiting <= 0.0 {
            return;
        }
        let slack_s = load.waiting_by_slack / load.waiting;
        let duration_s = load.waiting_by_duration / load.waiting;
        let weight = if self.duration_s > 0.0 { MEAN_WEIGHT } else { 1.0 };
        self.slack_s += (slack_s - self.slack_s) * weight;
        self.duration_s += (duration_s - self.duration_s) * weight;
    }

    /// Returns the delay that background tasks expect, by their backlog and their pace, as a part
    /// of their slack.
    fn pressure_of(&self, load: &BackgroundLoad) -> f64 {
        let wait_s = if load.waiting > 0.0 { load.waiting / load.paced_cores } else { 0.0 };
        let stretch = match load.full_pace_cores > 0.0 {
            true => load.full_pace_cores / load.paced_cores - 1.0,
            false => 0.0,
        };
        let delay_s = wait_s + self.duration_s * stretch.max(0.0);
        match delay_s > 0.0 {
            true => delay_s / self.slack_s.max(1e-3),
            false => 0.0,
        }
    }
}
