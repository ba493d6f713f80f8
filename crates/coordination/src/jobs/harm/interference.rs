//! Learns from delayed samples how much background tasks slow serving tasks.
//!
//! In the expected load, every runner hosts serving tasks that reserve most of its CPU
//! and use half of that, and opportunistic tasks of a few images use the rest. About half
//! of the pairs of images do not interfere; in the others, a background task on a tenth
//! of a runner makes a serving task's tail latency several times as long. Which pairs
//! interfere is not known beforehand and shows half a second late, while a serving task's
//! own load varies as much within ten seconds.
//!
//! The tracked quantity is the *margin*, bound divided by tail latency: 1 at the bound,
//! more below it. A server's tail latency grows as `1 / (1 - load)`, so its margin falls
//! linearly with its load and with the CPU use of background tasks:
//! `margin = own - sum(weight * share of the runner in use)`. The serving job's own margin
//! is a wave (see [`crate::jobs::margin_forecast`]), and the weight of a pair is constant. One
//! filter with a variance for each attributes each sample to them.

use crate::jobs::margin_forecast::{MarginModel, OwnMargin};
use crate::jobs::policy::Switch;
use crate::moment::Moment;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use yuccalink_state::jobs::PairWeight;

/// How the interference of image pairs is learnt.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct InterferencePolicy {
    /// Whether weights are learnt; otherwise each pair keeps its initial weight.
    pub mode: Switch,
    /// Initial weight of a pair: the margin that a background task on the whole runner
    /// would cost. Most pairs are harmless, and some are three times as bad as this.
    pub start_mean: f64,
    /// Variance of the initial weight.
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

/// Lower limit of a weight's variance, however often it was observed, since pairs change.
const WEIGHT_VARIANCE_MIN: f64 = 0.3;
/// Factor for the variance of weights taken over from an earlier leader.
const RESTORED_VARIANCE_FACTOR: f64 = 2.0;
/// Upper limit of a sampled margin.
const MARGIN_MAX: f64 = 6.0;
/// Margins below this only show that the server is saturated.
const SATURATED_MARGIN: f64 = 0.3;
/// Noise of a sampled margin: a share of the margin, and a minimum variance.
const NOISE_SHARE: f64 = 0.15;
const NOISE_FLOOR: f64 = 0.05;
/// Smallest share of a runner from which weights are learnt.
const SHARE_MIN: f64 = 0.003;

/// Estimate of a weight with its variance.
#[derive(Clone, Copy, Debug, PartialEq)]
struct WeightEstimate {
    mean: f64,
    variance: f64,
}

/// Number of an image, in the order in which images were first seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ImageKey(u32);

/// CPU of a runner used by background tasks of one image.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackgroundShare {
    /// Image of the tasks.
    pub image: ImageKey,
    /// Share of the runner's CPU, from 0 to 1.
    pub share: f64,
}

/// Learnt weights of all image pairs.
#[derive(Debug, Default)]
pub struct Interference {
    policy: InterferencePolicy,
    images: HashMap<Box<str>, ImageKey>,
    weights: HashMap<(ImageKey, ImageKey), WeightEstimate>,
}

impl Interference {
    /// Creates an instance without learnt weights.
    pub fn new(policy: InterferencePolicy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Takes over the weights of an earlier leader, with a larger variance.
    pub fn restore_weights(&mut self, learnt: &[PairWeight]) {
        for pair in learnt {
            let key = (self.image(&pair.serving), self.image(&pair.background));
            let variance = f64::from(pair.variance) * RESTORED_VARIANCE_FACTOR;
            self.weights.insert(key, WeightEstimate { mean: f64::from(pair.mean), variance });
        }
    }

    /// Returns the learnt weights for a later leader.
    pub fn learnt_weights(&self) -> Vec<PairWeight> {
        let mut names: Vec<(&ImageKey, &str)> =
            self.images.iter().map(|(name, key)| (key, &**name)).collect();
        names.sort_unstable();
        let name = |key: ImageKey| names.get(key.0 as usize).map_or("", |(_, name)| name);
        let mut pairs: Vec<_> = self.weights.iter().collect();
        pairs.sort_unstable_by_key(|(key, _)| **key);
        pairs
            .into_iter()
            .map(|((serving, background), estimate)| PairWeight {
                serving: name(*serving).into(),
                background: name(*background).into(),
                mean: estimate.mean as f32,
                variance: estimate.variance as f32,
            })
            .collect()
    }

    /// Returns the key of an image, adding the image if needed.
    pub fn image(&mut self, name: &str) -> ImageKey {
        if let Some(key) = self.images.get(name) {
            return *key;
        }
        let key = ImageKey(u32::try_from(self.images.len()).unwrap_or(u32::MAX));
        self.images.insert(name.into(), key);
        key
    }

    /// Returns the key of an image that was seen before.
    pub fn find_image(&self, name: &str) -> Option<ImageKey> {
        self.images.get(name).copied()
    }

    /// Returns the margin that `background` costs a serving task.
    ///
    /// ```
    /// use yuccalink_coordination::Moment;
    /// use yuccalink_coordination::jobs::interference::{BackgroundShare, Interference};
    /// use yuccalink_coordination::jobs::margin_forecast::MarginModel;
    /// let mut learnt = Interference::default();
    /// let (serving, background) = (learnt.image("front"), learnt.image("index"));
    /// let beside = [BackgroundShare { image: background, share: 0.1 }];
    /// let before = learnt.margin_loss(serving, &beside);
    /// let mut own = MarginModel::new(Moment::ZERO);
    /// for second in 1..20 {
    ///     learnt.observe(serving, &mut own, 3.0, &[], Moment::from_millis(second * 2_000));
    ///     learnt.observe(serving, &mut own, 1.0, &beside, Moment::from_millis(second * 2_000 + 1));
    /// }
    /// assert!(learnt.margin_loss(serving, &beside) > before + 1.0);
    /// ```
    pub fn margin_loss(&self, serving: ImageKey, background: &[BackgroundShare]) -> f64 {
        background.iter().map(|used| self.weight(serving, used.image).mean * used.share).sum()
    }

    /// Learns from one sample: a serving task's margin and the background tasks beside
    /// it. Returns the own margin that the sample implies, unless the server is
    /// saturated.
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

    /// Returns the mean weight of a background image over all serving images seen beside
    /// it.
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
