//! How much tasks that fill disturb tasks that serve, learnt from late figures.
//!
//! The pattern answered here: every runner hosts serving tasks that reserve most of
//! its processors and use half, and opportunistic work of a few images takes the
//! rest. About half of the pairs of images do not mind each other; in the others a
//! filling task on a tenth of a runner makes a serving task's tail several times as
//! long. Which pairs those are is known to nobody and seen half a second late, while
//! a serving task's own load swings as much within ten seconds.
//!
//! What is followed is the *margin*, bound divided by tail: 1 at the bound, more
//! below it. A server's tail grows as `1 / (1 - load)`, so its margin falls in a
//! straight line with its load and with whatever presses on it:
//! `margin = own - sum(weight * share of the runner in use)`. The serving job's own
//! margin is a wave (see [`super::margin_forecast`]), a pair's weight is constant; one filter with
//! a variance for each splits what is seen among them.

use super::margin_forecast::{MarginModel, OwnMargin};
use super::policy::Switch;
use crate::moment::Moment;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use yuccalink_state::jobs::PairWeight;

/// What is learnt of pairs of images.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct InterferencePolicy {
    /// Whether anything is learnt; otherwise each pair stays as it starts.
    pub mode: Switch,
    /// Weight of a pair that was never seen together: margin that a filling task on the
    /// whole runner would take. Most pairs are harmless, and some are three times as bad.
    pub start_mean: f64,
    /// Its variance.
    pub start_variance: f64,
}

impl Default for InterferencePolicy {
    fn default() -> Self {
        Self { mode: Switch::On, start_mean: 6.0, start_variance: 100.0 }
    }
}

impl InterferencePolicy {
    fn initial_weight(self) -> WeightEstimate {
        WeightEstimate { mean: self.start_mean, variance: self.start_variance }
    }
}

/// Variance of a weight that has often been seen: pairs change.
const WEIGHT_VARIANCE_MIN: f64 = 0.3;
/// A recalled weight's variance is taken this many times as large.
const RECALLED_VARIANCE_FACTOR: f64 = 2.0;
/// Margins above this are not believed.
const MARGIN_MAX: f64 = 6.0;
/// Margins below this say no more than that the server is saturated.
const SATURATED_MARGIN: f64 = 0.3;
/// Noise of a reported tail: a part of the margin, and a floor.
const NOISE_SHARE: f64 = 0.15;
const NOISE_FLOOR: f64 = 0.05;
/// A share of a runner that is too small to teach anything.
const SHARE_MIN: f64 = 0.003;

/// A figure that is not known exactly.
#[derive(Clone, Copy, Debug, PartialEq)]
struct WeightEstimate {
    mean: f64,
    variance: f64,
}

/// An image, numbered in the order of first sight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ImageKey(u32);

/// Processors of a runner that tasks of one image use, as a share of all it has.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackgroundShare {
    /// The image.
    pub image: ImageKey,
    /// Of the runner's processors.
    pub share: f64,
}

/// What was learnt of pairs so far.
#[derive(Debug, Default)]
pub struct Interference {
    policy: InterferencePolicy,
    images: HashMap<Box<str>, ImageKey>,
    weights: HashMap<(ImageKey, ImageKey), WeightEstimate>,
}

impl Interference {
    /// Nothing learnt yet.
    pub fn new(policy: InterferencePolicy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Begins with what an earlier leader learnt, a little less sure of it.
    pub fn recall(&mut self, learnt: &[PairWeight]) {
        for pair in learnt {
            let key = (self.image(&pair.serving), self.image(&pair.filling));
            let variance = f64::from(pair.variance) * RECALLED_VARIANCE_FACTOR;
            self.weights.insert(key, WeightEstimate { mean: f64::from(pair.mean), variance });
        }
    }

    /// What a later leader may begin with.
    pub fn learned_weights(&self) -> Vec<PairWeight> {
        let mut names: Vec<(&ImageKey, &str)> =
            self.images.iter().map(|(name, key)| (key, &**name)).collect();
        names.sort_unstable();
        let name = |key: ImageKey| names.get(key.0 as usize).map_or("", |(_, name)| name);
        let mut pairs: Vec<_> = self.weights.iter().collect();
        pairs.sort_unstable_by_key(|(key, _)| **key);
        pairs
            .into_iter()
            .map(|((serving, filling), estimate)| PairWeight {
                serving: name(*serving).into(),
                filling: name(*filling).into(),
                mean: estimate.mean as f32,
                variance: estimate.variance as f32,
            })
            .collect()
    }

    /// The key of an image.
    pub fn image(&mut self, name: &str) -> ImageKey {
        if let Some(key) = self.images.get(name) {
            return *key;
        }
        let key = ImageKey(u32::try_from(self.images.len()).unwrap_or(u32::MAX));
        self.images.insert(name.into(), key);
        key
    }

    /// The key of an image that was seen before.
    pub fn find_image(&self, name: &str) -> Option<ImageKey> {
        self.images.get(name).copied()
    }

    /// What `filling` takes of a serving task's margin.
    ///
    /// ```
    /// use yuccalink_coordination::Moment;
    /// use yuccalink_coordination::jobs::interference::{BackgroundShare, Interference};
    /// use yuccalink_coordination::jobs::margin_forecast::MarginModel;
    /// let mut learnt = Interference::default();
    /// let (serves, fills) = (learnt.image("front"), learnt.image("index"));
    /// let beside = [BackgroundShare { image: fills, share: 0.1 }];
    /// let before = learnt.margin_loss(serves, &beside);
    /// let mut own = MarginModel::new(Moment::ZERO);
    /// for second in 1..20 {
    ///     learnt.observe(serves, &mut own, 3.0, &[], Moment::from_millis(second * 2_000));
    ///     learnt.observe(serves, &mut own, 1.0, &beside, Moment::from_millis(second * 2_000 + 1));
    /// }
    /// assert!(learnt.margin_loss(serves, &beside) > before + 1.0);
    /// ```
    pub fn margin_loss(&self, serving: ImageKey, background: &[BackgroundShare]) -> f64 {
        background.iter().map(|used| self.weight(serving, used.image).mean * used.share).sum()
    }

    /// Learns from one figure: a serving task's margin, and what filled beside it.
    /// Returns the margin freed of what is taken to press on it, if it told anything.
    pub fn observe(
        &mut self,
        serving: ImageKey,
        own: &mut MarginModel,
        margin: f64,
        background: &[BackgroundShare],
        now: Moment,
    ) -> Option<OwnMargin> {
        let relevant: Vec<BackgroundShare> =
            background.iter().copied().filter(|used| used.share > SHARE_MIN).collect();
        let margin_loss = self.margin_loss(serving, &relevant);
        let expected = own.predict(now);
        if margin <= SATURATED_MARGIN && expected.margin - margin_loss <= SATURATED_MARGIN {
            return None;
        }
        let margin = margin.clamp(SATURATED_MARGIN, MARGIN_MAX);
        let weight_variance: f64 = relevant
            .iter()
            .map(|used| self.weight(serving, used.image).variance * used.share.powi(2))
            .sum();
        let noise = NOISE_FLOOR + (NOISE_SHARE * margin).powi(2);
        let total = expected.variance + noise + weight_variance;
        let error = margin - (expected.margin - margin_loss);
        own.correct(&expected, error, total);
        let learns = self.policy.mode.is_on();
        for used in relevant.into_iter().filter(|_| learns) {
            let start = self.policy.initial_weight();
            let weight = self.weights.entry((serving, used.image)).or_insert(start);
            let gain = weight.variance * used.share / total;
            weight.mean = (weight.mean - gain * error).max(0.0);
            weight.variance *= 1.0 - gain * used.share;
            weight.variance = weight.variance.max(WEIGHT_VARIANCE_MIN);
        }
        Some(OwnMargin { margin: margin + margin_loss, noise: noise + weight_variance })
    }

    /// Mean weight of an image against all that serve: how hard it is to place.
    pub fn mean_weight(&self, background: ImageKey) -> f64 {
        let mut sum = 0.0;
        let mut count = 0.0;
        for ((_, image), weight) in &self.weights {
            if *image == background {
                sum += weight.mean;
                count += 1.0;
            }
        }
        if count > 0.0 { sum / count } else { self.policy.start_mean }
    }

    fn weight(&self, serving: ImageKey, background: ImageKey) -> WeightEstimate {
        self.weights.get(&(serving, background)).copied().unwrap_or(self.policy.initial_weight())
    }
}
