//! Tasks that share a runner, and the CPU and margin that are left for more.

use crate::jobs::interference::{BackgroundShare, ImageKey, Interference};
use crate::jobs::job_harm::JobHarms;
use crate::jobs::margin_forecast::MarginForecasts;
use crate::jobs::policy::Switch;
use crate::jobs::ready::{ReadyQueue, StepInfo, StepKey, StepKind};
use crate::jobs::reserve::MarginRoom;
use crate::jobs::runner::{RunView, Runner};
use crate::moment::Moment;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use yuccalink_state::jobs::CellState;

/// Limits on what may start beside serving tasks.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct SharingPolicy {
    /// Whether a start must leave the serving tasks enough margin; otherwise only free
    /// CPU is checked.
    pub mode: Switch,
    /// Expected margin that every serving task must keep when one more background task
    /// starts. It is above the bound, since the serving task's own load may grow before
    /// the next sample.
    pub margin_min: f64,
    /// Share of its reserved CPU that a serving task is assumed to use.
    pub serving_use: f64,
}

impl Default for SharingPolicy {
    fn default() -> Self {
        Self { mode: Switch::On, margin_min: 1.1, serving_use: 0.46 }
    }
}

/// A runner counts as full if its opportunistic tasks get less than this share of the CPU
/// that they could use.
const STARVED_SHARE: f64 = 0.5;
/// Age of a run from which its CPU sample, which covers the last half second, contains
/// only its own use.
const MEASURED_AFTER: Duration = Duration::from_millis(800);
/// Added to weights before they are compared, because all weights below it are harmless.
const WEIGHT_FLOOR: f64 = 1.0;
/// Margin assumed for a serving task without samples: the margin of a server at half load.
const DEFAULT_MARGIN: f64 = 3.0;

/// What limits the margin that background tasks may take from serving tasks.
#[derive(Clone, Copy, Debug)]
pub(in crate::jobs) struct ServingMargins<'a> {
    pub(in crate::jobs) forecasts: &'a MarginForecasts<StepKey>,
    pub(in crate::jobs) job_harms: &'a JobHarms<StepKey>,
    /// Kept for every serving task.
    pub(in crate::jobs) reserve: MarginRoom,
    /// Level of the reserve of the runner's pool, from 0 to 1.
    pub(in crate::jobs) reserve_level: f64,
}

impl ServingMargins<'_> {
    /// Returns a job's own margin without the room that is kept for it, for paces and for starts.
    fn usable(&self, step_key: StepKey, now: Moment) -> MarginRoom {
        let own_margin = self.forecasts.min_margin_until_effect(step_key, now);
        let own_margin_ahead = self.forecasts.min_margin_for_start(step_key, now);
        let kept = self.job_harms.room(step_key, self.reserve_level, now);
        MarginRoom {
            pace: own_margin.unwrap_or(DEFAULT_MARGIN) - self.reserve.pace - kept.pace,
            start: own_margin_ahead.unwrap_or(DEFAULT_MARGIN) - self.reserve.start - kept.start,
        }
    }
}

/// A serving image on a runner, with the smallest own margin of its tasks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(in crate::jobs) struct ServingImage {
    pub(in crate::jobs) image: ImageKey,
    /// Smallest own margin until the next orders take effect, without the room that is kept.
    pub(in crate::jobs) own_margin: f64,
    /// Smallest own margin while a task that starts now runs, without the room that is kept.
    pub(in crate::jobs) own_margin_ahead: f64,
}

/// Tasks colocated on one runner, summed by image.
#[derive(Clone, Debug, Default)]
pub(in crate::jobs) struct Colocation {
    policy: SharingPolicy,
    /// Serving images, each once.
    pub(in crate::jobs) serving: Vec<ServingImage>,
    /// Background images, each once, with their current CPU use.
    pub(in crate::jobs) background: Vec<BackgroundShare>,
    /// Background images, each once, with their CPU use at full pace.
    pub(in crate::jobs) background_at_full_pace: Vec<BackgroundShare>,
    /// Pool of the runner.
    pub(in crate::jobs) pool: Box<str>,
    /// Whether a serving task has exceeded its bound for too long.
    pub(in crate::jobs) bound_exceeded: bool,
    capacity: f64,
    /// CPU that opportunistic tasks could use, in millicores.
    opportunistic_need: f64,
    /// CPU used by all other tasks, in millicores.
    other_use: f64,
    /// CPU that opportunistic tasks with a complete sample could use, and the CPU that
    /// they do use, in millicores.
    measured_need: f64,
    measured_use: f64,
    /// Share of the runner that one more task of an image may use, cached until the next
    /// start.
    allowed: Vec<(ImageKey, f64)>,
}

impl Colocation {
    /// Returns the colocation on a runner by its last report and the orders under way.
    pub(in crate::jobs) fn of(
        now: Moment,
        runner: &Runner,
        jobs: &CellState,
        ready: &ReadyQueue,
        margins: ServingMargins<'_>,
        policy: SharingPolicy,
    ) -> Self {
        let capacity = (runner.capacity.millicores as f64).max(1.0);
        let mut found = Self { policy, capacity, pool: runner.pool.clone(), ..Self::default() };
        for (task, run) in jobs.assigned_runs(runner.key) {
            let Some(step) = ready.step_of(task) else { continue };
            let view = runner.view(task, run);
            match step.kind {
                StepKind::Serving => found.add_serving(step, margins, StepKey::of(task), now),
                StepKind::Background => found.add_background(step, view),
            }
        }
        found
    }

    fn add_serving(
        &mut self,
        step: &StepInfo,
        margins: ServingMargins<'_>,
        step_key: StepKey,
        now: Moment,
    ) {
        self.other_use += step.need.millicores as f64 * self.policy.serving_use;
        let Some(image) = step.image else { return };
        let MarginRoom { pace: own_margin, start: own_margin_ahead } =
            margins.usable(step_key, now);
        match self.serving.iter_mut().find(|serving| serving.image == image) {
            Some(serving) => {
                serving.own_margin = serving.own_margin.min(own_margin);
                serving.own_margin_ahead = serving.own_margin_ahead.min(own_margin_ahead);
            }
            None => self.serving.push(ServingImage { image, own_margin, own_margin_ahead }),
        }
    }

    fn add_background(&mut self, step: &StepInfo, view: Option<&RunView>) {
        let need = step.need.millicores as f64;
        let in_use = view.and_then(|view| view.usage_or_tail).map(|usage| usage as f64);
        let pace = view.and_then(|view| view.pace).unwrap_or(100);
        if step.opportunistic {
            self.opportunistic_need += need;
            let measured = view.filter(|view| pace == 100 && view.age >= MEASURED_AFTER);
            if let (Some(_), Some(in_use)) = (measured, in_use) {
                self.measured_need += need;
                self.measured_use += in_use;
            }
        } else {
            self.other_use += need;
        }
        if let Some(image) = step.image {
            add_share(&mut self.background, image, in_use.unwrap_or(need) / self.capacity);
            add_share(&mut self.background_at_full_pace, image, need / self.capacity);
        }
    }

    /// Returns the factor by which an image interferes less with the serving tasks on this
    /// runner than with serving tasks on average.
    pub(in crate::jobs) fn advantage(&self, image: ImageKey, learnt: &Interference) -> f64 {
        let whole = [BackgroundShare { image, share: 1.0 }];
        let here = self.serving.iter().map(|serving| learnt.margin_loss(serving.image, &whole));
        let here = here.fold(0.0, f64::max);
        (learnt.mean_weight(image) + WEIGHT_FLOOR) / (here + WEIGHT_FLOOR)
    }

    /// Returns the serving image if there is only one.
    pub(in crate::jobs) fn only_serving(&self) -> Option<ImageKey> {
        match self.serving.as_slice() {
            [only] => Some(only.image),
            _ => None,
        }
    }

    /// Returns the smallest own margin of the serving images.
    pub(in crate::jobs) fn min_own_margin(&self) -> f64 {
        self.serving.iter().map(|serving| serving.own_margin).fold(DEFAULT_MARGIN, f64::min)
    }

    /// Adds a task that is about to start.
    pub(in crate::jobs) fn started(
        &mut self,
        now: Moment,
        step: &StepInfo,
        margins: ServingMargins<'_>,
        step_key: StepKey,
    ) {
        self.allowed.clear();
        match step.kind {
            StepKind::Serving => self.add_serving(step, margins, step_key, now),
            StepKind::Background => self.add_background(step, None),
        }
    }

    /// Returns whether an opportunistic task of this step would find unused CPU.
    pub(in crate::jobs) fn has_spare_cpu(&self, step: &StepInfo) -> bool {
        let need = step.need.millicores as f64;
        let starved = self.measured_use < self.measured_need * STARVED_SHARE;
        !starved && self.other_use + self.opportunistic_need + need <= self.capacity
    }

    /// Returns whether all serving tasks are expected to keep their margin with one more
    /// task of a step and all background tasks at full pace.
    pub(in crate::jobs) fn has_margin_for(
        &mut self,
        step: &StepInfo,
        learnt: &Interference,
    ) -> bool {
        let Some(image) = step.image.filter(|_| self.policy.mode.is_on()) else { return true };
        if self.bound_exceeded {
            return false;
        }
        let share = step.need.millicores as f64 / self.capacity;
        let known = self.allowed.iter().find(|(of, _)| *of == image).map(|(_, share)| *share);
        let allowed = known.unwrap_or_else(|| {
            let allowed = self.allowed_share(image, learnt);
            self.allowed.push((image, allowed));
            allowed
        });
        share <= allowed
    }

    fn allowed_share(&self, image: ImageKey, learnt: &Interference) -> f64 {
        let allowed = self.serving.iter().map(|serving| {
            let margin_loss = learnt.margin_loss(serving.image, &self.background_at_full_pace);
            let left = serving.own_margin_ahead - margin_loss - self.policy.margin_min;
            let weight =
                learnt.margin_loss(serving.image, &[BackgroundShare { image, share: 1.0 }]);
            match left < 0.0 {
                true => 0.0,
                false => left / weight.max(1e-6),
            }
        });
        allowed.fold(f64::INFINITY, f64::min)
    }
}

fn add_share(to: &mut Vec<BackgroundShare>, image: ImageKey, share: f64) {
    match to.iter_mut().find(|background| background.image == image) {
        Some(background) => background.share += share,
        None => to.push(BackgroundShare { image, share }),
    }
}
