//! Who shares a runner: what serves, what fills, and the room that is really left.

use super::interference::{BackgroundShare, ImageKey, Interference};
use super::margin_forecast::MarginForecasts;
use super::policy::Switch;
use super::ready::{ReadyQueue, StepInfo, StepKey, StepKind};
use super::runner::{RunView, Runner};
use crate::moment::Moment;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use yuccalink_state::jobs::CellState;

/// What may start beside serving tasks.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct SharingPolicy {
    /// Whether margins are minded at a start; otherwise only processors are.
    pub mode: Switch,
    /// Margin that every serving task must keep, as expected, beside one more filling
    /// task: above its bound, since its own load may grow before the next figure.
    pub margin_min: f64,
    /// Part of its reserved processors that a serving task is taken to use.
    pub serving_use: f64,
}

impl Default for SharingPolicy {
    fn default() -> Self {
        Self { mode: Switch::On, margin_min: 1.1, serving_use: 0.46 }
    }
}

/// A runner whose filling tasks get less than this share of what they could use is
/// full.
const STARVED_SHARE: f64 = 0.5;
/// Age from which a task's figure, of the last half second, is all its own.
const MEASURED_AFTER: Duration = Duration::from_millis(800);
/// Added to weights that are compared: below this they are all harmless.
const WEIGHT_FLOOR: f64 = 1.0;
/// Margin of a serving task that has told no figure yet: as at half load.
const DEFAULT_MARGIN: f64 = 3.0;

/// A serving image on a runner, by its task with the least margin of its own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ServingImage {
    pub(super) image: ImageKey,
    /// Until the next orders have their effect.
    pub(super) own_margin: f64,
    /// While a task that starts now runs.
    pub(super) own_margin_ahead: f64,
}

/// The tasks on one runner, as far as they matter to each other.
#[derive(Clone, Debug, Default)]
pub(super) struct Colocation {
    policy: SharingPolicy,
    /// Images that serve there, each once.
    pub(super) serving: Vec<ServingImage>,
    /// Images that fill there, each once, with what they use now.
    pub(super) filling: Vec<BackgroundShare>,
    /// The same, with what they would use at full pace.
    pub(super) background_at_full_pace: Vec<BackgroundShare>,
    /// The runner's pool.
    pub(super) pool: Box<str>,
    /// A task that serves there has been over its bound for too long.
    pub(super) over_bound: bool,
    capacity: f64,
    /// Processors that opportunistic tasks could use.
    opportunistic_need: f64,
    /// Processors that all others use.
    other_use: f64,
    /// Processors that opportunistic tasks could use, of those that have told a
    /// whole figure, and what they do use.
    measured_need: f64,
    measured_use: f64,
    /// Share of the runner that one more task of an image may use, as worked out
    /// since the last start.
    allowed: Vec<(ImageKey, f64)>,
}

impl Colocation {
    /// Those of a runner by its last report and by what is on its way there.
    pub(super) fn of(
        now: Moment,
        runner: &Runner,
        jobs: &CellState,
        ready: &ReadyQueue,
        loads: &MarginForecasts<StepKey>,
        policy: SharingPolicy,
    ) -> Self {
        let capacity = (runner.capacity.millicores as f64).max(1.0);
        let mut found = Self { policy, capacity, pool: runner.pool.clone(), ..Self::default() };
        for (task, run) in jobs.assigned_runs(runner.key) {
            let Some(step) = ready.step_of(task) else { continue };
            let view = runner.view(task, run);
            match step.kind {
                StepKind::Serving => found.add_serving(step, loads, StepKey::of(task), now),
                StepKind::Background => found.add_background(step, view),
            }
        }
        found
    }

    fn add_serving(
        &mut self,
        step: &StepInfo,
        loads: &MarginForecasts<StepKey>,
        step_key: StepKey,
        now: Moment,
    ) {
        self.other_use += step.need.millicores as f64 * self.policy.serving_use;
        let Some(image) = step.image else { return };
        let own_margin = loads.min_margin_until_effect(step_key, now).unwrap_or(DEFAULT_MARGIN);
        let own_margin_ahead = loads.min_margin_for_start(step_key, now).unwrap_or(DEFAULT_MARGIN);
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
        let in_use = view.and_then(|view| view.gauge).map(|gauge| gauge as f64);
        let rate = view.and_then(|view| view.rate).unwrap_or(100);
        if step.opportunistic {
            self.opportunistic_need += need;
            let measured = view.filter(|view| rate == 100 && view.age >= MEASURED_AFTER);
            if let (Some(_), Some(in_use)) = (measured, in_use) {
                self.measured_need += need;
                self.measured_use += in_use;
            }
        } else {
            self.other_use += need;
        }
        if let Some(image) = step.image {
            add_share(&mut self.filling, image, in_use.unwrap_or(need) / self.capacity);
            add_share(&mut self.background_at_full_pace, image, need / self.capacity);
        }
    }

    /// How much less an image presses on those that serve here than on most, as a factor.
    pub(super) fn advantage(&self, image: ImageKey, learnt: &Interference) -> f64 {
        let whole = [BackgroundShare { image, share: 1.0 }];
        let here = self.serving.iter().map(|serving| learnt.margin_loss(serving.image, &whole));
        let here = here.fold(0.0, f64::max);
        (learnt.mean_weight(image) + WEIGHT_FLOOR) / (here + WEIGHT_FLOOR)
    }

    /// The image that serves there, where it is only one.
    pub(super) fn only_serving(&self) -> Option<ImageKey> {
        match self.serving.as_slice() {
            [only] => Some(only.image),
            _ => None,
        }
    }

    /// The least margin of those that serve, with nothing beside them.
    pub(super) fn min_own_margin(&self) -> f64 {
        self.serving.iter().map(|serving| serving.own_margin).fold(DEFAULT_MARGIN, f64::min)
    }

    /// Counts a task that is about to start.
    pub(super) fn started(
        &mut self,
        now: Moment,
        step: &StepInfo,
        loads: &MarginForecasts<StepKey>,
        step_key: StepKey,
    ) {
        self.allowed.clear();
        match step.kind {
            StepKind::Serving => self.add_serving(step, loads, step_key, now),
            StepKind::Background => self.add_background(step, None),
        }
    }

    /// Whether processors are left that an opportunistic task could use.
    pub(super) fn has_spare_cpu(&self, step: &StepInfo) -> bool {
        let need = step.need.millicores as f64;
        let starved = self.measured_use < self.measured_need * STARVED_SHARE;
        !starved && self.other_use + self.opportunistic_need + need <= self.capacity
    }

    /// Whether all that serve there are expected to keep their margin beside one
    /// more task of a step, with all that fill at full pace.
    pub(super) fn has_margin_for(&mut self, step: &StepInfo, learnt: &Interference) -> bool {
        let Some(image) = step.image.filter(|_| self.policy.mode.is_on()) else { return true };
        if self.over_bound {
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
