//! Forecasts of the periodic load of serving jobs: how far the own margin of their tasks
//! will fall within the next seconds.
//!
//! The expected load of each serving job varies by half of its mean, with a period of ten
//! to twenty seconds. All tasks of a job vary together, and each job has its own phase. A
//! background task beside it runs for two to three seconds, so the margin of the next
//! seconds matters, not the current one. A mean, a sine and a cosine explain most of the
//! variation.
//!
//! One Kalman filter per job tracks these three parts. All jobs share one period, chosen
//! by the errors of forecasts a few seconds ahead.

use crate::jobs::policy::{Millis, Switch};
use crate::moment::Moment;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

/// Forecasts of the load of serving tasks.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct ForecastPolicy {
    /// Whether periodic loads are modelled; otherwise each load is taken to be constant.
    pub mode: Switch,
    /// Forecast span for paces, in milliseconds: an order given now takes effect within
    /// it, including the runner's next report and the time that a change of pace takes.
    #[serde(rename = "effect-ms")]
    pub effect: Millis,
    /// Forecast span for starts, in milliseconds: about as long as a background task
    /// runs.
    #[serde(rename = "ahead-ms")]
    pub ahead: Millis,
}

impl Default for ForecastPolicy {
    fn default() -> Self {
        Self { mode: Switch::On, effect: Millis(500), ahead: Millis(2_000) }
    }
}

/// Initial mean margin of an unknown job, and its variance: the margin at half load on a
/// server whose bound is six times its shortest response time.
const INITIAL_MEAN: f64 = 3.0;
const INITIAL_MEAN_VARIANCE: f64 = 0.5;
/// Initial variance of the sine and cosine parts: loads vary by half of their mean, which
/// is 1.5 of a margin, in an unknown phase.
const INITIAL_WAVE_VARIANCE: f64 = 1.1;
/// Growth of each variance per second, as phases and amplitudes drift.
const VARIANCE_DRIFT_PER_S: f64 = 0.01;
/// Upper limit of each variance, however long the job has not been sampled.
const VARIANCE_MAX: f64 = 1.5;
/// Mean age of a reported tail latency, which covers the last half second.
const SAMPLE_AGE: Duration = Duration::from_millis(250);
/// Factor for the variances of models taken over from an earlier leader.
const RECALLED_VARIANCE_FACTOR: f64 = 2.0;
/// Lower limit of these variances, so that a few samples correct a model that was wrong.
const RECALLED_VARIANCE_MIN: f64 = 0.05;
/// Range to which expected margins are clamped.
const MARGIN_MIN: f64 = 0.8;
const MARGIN_MAX: f64 = 6.0;
/// Interval at which a forecast is evaluated to find its minimum.
const FORECAST_STEP: Duration = Duration::from_millis(500);

/// Candidate periods, in seconds: from the shortest at which a runner's reports show a
/// wave to the longest that matters for a background task. A filter can follow a wave
/// whose period differs from its own by an eighth.
const PERIODS_S: [f64; 8] = [5.0, 6.5, 8.0, 10.0, 12.5, 16.0, 20.0, 25.0];
/// Index of the initial period in [`PERIODS_S`].
const INITIAL_PERIOD_INDEX: usize = 3;
/// Most jobs whose samples are tracked with all periods.
const PROBE_JOBS_MAX: usize = 8;
/// How far ahead forecasts are evaluated to compare periods: a quarter of a long wave.
const EVALUATION_HORIZON: Duration = Duration::from_secs(3);
/// Weight of one error in the running mean of a period: about 200 samples count.
const ERROR_WEIGHT: f64 = 0.005;
/// Upper limit of a squared forecast error.
const SQUARED_ERROR_MAX: f64 = 4.0;
/// Errors counted for a period before it can be chosen.
const ERRORS_MIN: u32 = 100;
/// A period replaces the current period if its mean error is below this share of the
/// current period's mean error.
const REPLACEMENT_ERROR_RATIO: f64 = 0.8;

/// Model of a job's own margin as a function of time: a mean and a wave.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MarginModel {
    /// Radians per second.
    frequency: f64,
    /// Mean, cosine part and sine part.
    parts: [f64; 3],
    variance: [[f64; 3]; 3],
    at: Moment,
}

impl MarginModel {
    /// Creates the model of a job of which nothing is known.
    pub fn new(now: Moment) -> Self {
        Self::with_period(PERIODS_S[INITIAL_PERIOD_INDEX], now)
    }

    /// Creates the model of a constant load: its period is infinite.
    fn steady(now: Moment) -> Self {
        Self::with_period(f64::INFINITY, now)
    }

    fn with_period(period_s: f64, now: Moment) -> Self {
        let mut variance = [[0.0; 3]; 3];
        variance[0][0] = INITIAL_MEAN_VARIANCE;
        variance[1][1] = INITIAL_WAVE_VARIANCE;
        variance[2][2] = INITIAL_WAVE_VARIANCE;
        Self {
            frequency: std::f64::consts::TAU / period_s,
            parts: [INITIAL_MEAN, 0.0, 0.0],
            variance,
            at: now,
        }
    }

    /// Takes over a model of an earlier leader, `age` after it was told. `shift_s` is the time
    /// on this clock, in seconds, at the origin of that leader's clock.
    fn recalled(
        period_s: f64,
        told: MarginEstimate,
        shift_s: f64,
        age: Duration,
        now: Moment,
    ) -> Self {
        let mut model = Self::with_period(period_s, now);
        let (sin, cos) = (model.frequency * shift_s).sin_cos();
        let [mean, cosine, sine] = told.parts;
        model.parts = [mean, cosine * cos - sine * sin, cosine * sin + sine * cos];
        let drift = VARIANCE_DRIFT_PER_S * age.as_secs_f64();
        let grown = |variance: f64| {
            (variance * RECALLED_VARIANCE_FACTOR + drift).clamp(RECALLED_VARIANCE_MIN, VARIANCE_MAX)
        };
        model.variance[0][0] = grown(told.mean_variance);
        model.variance[1][1] = grown(told.wave_variance);
        model.variance[2][2] = grown(told.wave_variance);
        model
    }

    /// Returns the parts of the model with their variances at a moment.
    ///
    /// ```
    /// use yuccalink_coordination::Moment;
    /// use yuccalink_coordination::jobs::margin_forecast::MarginModel;
    /// let estimate = MarginModel::new(Moment::ZERO).estimate(Moment::from_millis(1_000));
    /// assert!(estimate.parts[0] > 1.0 && estimate.wave_variance > 1.0);
    /// ```
    pub fn estimate(&self, now: Moment) -> MarginEstimate {
        let drift = VARIANCE_DRIFT_PER_S * now.since(self.at).as_secs_f64();
        let grown = |part: usize| (self.variance[part][part] + drift).min(VARIANCE_MAX);
        MarginEstimate {
            parts: self.parts,
            mean_variance: grown(0),
            wave_variance: grown(1).max(grown(2)),
        }
    }

    /// Returns the expected margin at a moment.
    ///
    /// ```
    /// use yuccalink_coordination::Moment;
    /// use yuccalink_coordination::jobs::margin_forecast::MarginModel;
    /// let model = MarginModel::new(Moment::ZERO);
    /// assert!(model.margin_at(Moment::from_millis(700)) > 1.0);
    /// ```
    pub fn margin_at(&self, at: Moment) -> f64 {
        let basis = self.basis_at(at);
        let margin: f64 = basis.iter().zip(&self.parts).map(|(by, part)| by * part).sum();
        margin.clamp(MARGIN_MIN, MARGIN_MAX)
    }

    /// Returns the smallest expected margin within a span from a moment on.
    pub fn min_margin(&self, from: Moment, span: Duration) -> f64 {
        let steps = span.as_millis() / FORECAST_STEP.as_millis();
        let steps = u32::try_from(steps).unwrap_or(0);
        let margins = (0..=steps).map(|step| self.margin_at(from + FORECAST_STEP * step));
        margins.fold(MARGIN_MAX, f64::min)
    }

    /// Returns the factor of each part in the margin at a moment.
    fn basis_at(&self, at: Moment) -> [f64; 3] {
        let angle = self.frequency * at.since(Moment::ZERO).as_secs_f64();
        let (sin, cos) = angle.sin_cos();
        [1.0, cos, sin]
    }

    /// Predicts the margin and its variance for a sample received at `now`.
    pub(in crate::jobs) fn predict(&mut self, now: Moment) -> Prediction {
        let passed = now.since(self.at).as_secs_f64();
        self.at = now;
        for part in 0..3 {
            let grown = self.variance[part][part] + VARIANCE_DRIFT_PER_S * passed;
            self.variance[part][part] = grown.min(VARIANCE_MAX);
        }
        let basis = self.basis_at(sample_time(now));
        let mut gains = [0.0; 3];
        for (row, gain) in gains.iter_mut().enumerate() {
            *gain = (0..3).map(|col| self.variance[row][col] * basis[col]).sum();
        }
        let variance = (0..3).map(|row| basis[row] * gains[row]).sum();
        let margin = (0..3).map(|part| basis[part] * self.parts[part]).sum();
        Prediction { margin, variance, gains }
    }

    /// Corrects the parts by the error of a prediction. `total` is the variance of that
    /// error.
    pub(in crate::jobs) fn correct(&mut self, expected: &Prediction, error: f64, total: f64) {
        for row in 0..3 {
            self.parts[row] += expected.gains[row] / total * error;
            for col in 0..3 {
                self.variance[row][col] -= expected.gains[row] * expected.gains[col] / total;
            }
        }
    }
}

/// Parts of a model with their variances, as one leader tells them to the next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MarginEstimate {
    /// Mean, cosine part and sine part; the angle is zero at the origin of the leader's clock.
    pub parts: [f64; 3],
    /// Variance of the mean.
    pub mean_variance: f64,
    /// Variance of each part of the wave.
    pub wave_variance: f64,
}

/// A model told by an earlier leader.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecalledMargin<K> {
    /// The job.
    pub job: K,
    /// The model.
    pub told: MarginEstimate,
    /// Time on this clock, in seconds, at the origin of that leader's clock.
    pub shift_s: f64,
    /// Time since the model was told.
    pub age: Duration,
}

/// Prediction of a filter for one sample.
#[derive(Clone, Copy, Debug)]
pub(in crate::jobs) struct Prediction {
    pub(in crate::jobs) margin: f64,
    pub(in crate::jobs) variance: f64,
    /// Covariance of each part with the sample.
    gains: [f64; 3],
}

fn period_ms(period_s: f64) -> u32 {
    (period_s * 1_000.0).round() as u32
}

fn sample_time(now: Moment) -> Moment {
    Moment::ZERO + now.since(Moment::ZERO).saturating_sub(SAMPLE_AGE)
}

/// Own margin of a serving task, as estimated from one sample.
#[derive(Clone, Copy, Debug)]
pub struct OwnMargin {
    /// Margin that the task would have had without colocated background tasks.
    pub margin: f64,
    /// Variance of this margin.
    pub noise: f64,
}

/// Margin models of all serving jobs, with one key per job.
#[derive(Debug)]
pub struct MarginForecasts<K> {
    policy: ForecastPolicy,
    models: HashMap<K, MarginModel>,
    /// Models as an earlier leader told them, from which probes begin.
    recalled: HashMap<K, MarginModel>,
    period_index: usize,
    probes: Vec<PeriodProbe<K>>,
    period_errors: [PeriodError; PERIODS_S.len()],
}

/// Running mean of the squared forecast errors of one period.
#[derive(Clone, Copy, Debug, Default)]
struct PeriodError {
    error: f64,
    count: u32,
}

/// A job tracked with all periods: its current models, and the models at the last
/// evaluation.
#[derive(Debug)]
struct PeriodProbe<K> {
    job: K,
    current: [MarginModel; PERIODS_S.len()],
    earlier: Option<[MarginModel; PERIODS_S.len()]>,
    evaluated_at: Moment,
}

impl<K> Default for MarginForecasts<K> {
    fn default() -> Self {
        Self {
            policy: ForecastPolicy::default(),
            models: HashMap::new(),
            recalled: HashMap::new(),
            period_index: INITIAL_PERIOD_INDEX,
            probes: Vec::new(),
            period_errors: [PeriodError::default(); PERIODS_S.len()],
        }
    }
}

impl<K> MarginForecasts<K>
where
    K: Copy + Eq + Hash,
{
    /// Creates forecasts without any samples.
    pub fn new(policy: ForecastPolicy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Returns the smallest margin of a job until an order takes effect, if its load is
    /// known.
    pub(in crate::jobs) fn min_margin_until_effect(&self, job: K, now: Moment) -> Option<f64> {
        self.get(job).map(|model| model.min_margin(now, self.policy.effect.to_duration()))
    }

    /// Returns the smallest margin of a job while a task that starts now runs, if its
    /// load is known.
    pub(in crate::jobs) fn min_margin_for_start(&self, job: K, now: Moment) -> Option<f64> {
        self.get(job).map(|model| model.min_margin(now, self.policy.ahead.to_duration()))
    }

    /// Returns the model of a job, if its load is known.
    pub fn get(&self, job: K) -> Option<&MarginModel> {
        self.models.get(&job)
    }

    /// Returns the model of a job for updates, creating it if needed.
    ///
    /// ```
    /// use yuccalink_coordination::Moment;
    /// use yuccalink_coordination::jobs::margin_forecast::{MarginForecasts, OwnMargin};
    /// let mut forecasts = MarginForecasts::default();
    /// let before = forecasts.entry("watch", Moment::ZERO).margin_at(Moment::ZERO);
    /// let sample = OwnMargin { margin: 2.0, noise: 0.1 };
    /// assert!(!forecasts.evaluate_periods("watch", sample, Moment::ZERO));
    /// assert!(before > 1.0 && forecasts.period_s() > 0.0);
    /// ```
    pub fn entry(&mut self, job: K, now: Moment) -> &mut MarginModel {
        let period = PERIODS_S[self.period_index];
        let mode = self.policy.mode;
        self.models.entry(job).or_insert_with(|| match mode {
            Switch::On => MarginModel::with_period(period, now),
            Switch::Off => MarginModel::steady(now),
        })
    }

    /// Returns the current period, in seconds.
    pub fn period_s(&self) -> f64 {
        PERIODS_S[self.period_index]
    }

    /// Returns the current period in milliseconds and the models, for a later leader. There
    /// are none if loads are not modelled.
    ///
    /// ```
    /// use yuccalink_coordination::jobs::margin_forecast::MarginForecasts;
    /// let forecasts: MarginForecasts<u32> = MarginForecasts::default();
    /// assert_eq!(forecasts.told().1.count(), 0);
    /// ```
    pub fn told(&self) -> (u32, impl Iterator<Item = (K, &MarginModel)>) {
        let modelled = self.policy.mode.is_on();
        let models = self.models.iter().filter(move |_| modelled);
        (period_ms(self.period_s()), models.map(|(job, model)| (*job, model)))
    }

    /// Takes over the period and the models of an earlier leader. Returns how many models
    /// were taken over: none if the period is not one of the candidates.
    ///
    /// ```
    /// use std::time::Duration;
    /// use yuccalink_coordination::Moment;
    /// use yuccalink_coordination::jobs::margin_forecast::{
    ///     MarginEstimate, MarginForecasts, RecalledMargin,
    /// };
    /// let told = MarginEstimate { parts: [2.0, 1.0, 0.0], mean_variance: 0.1, wave_variance: 0.1 };
    /// let model = RecalledMargin { job: "watch", told, shift_s: 5.0, age: Duration::ZERO };
    /// let mut forecasts = MarginForecasts::default();
    /// assert_eq!(forecasts.recall(20_000, [model], Moment::ZERO), 1);
    /// assert_eq!(forecasts.period_s(), 20.0);
    /// let margin = forecasts.get("watch").unwrap().margin_at(Moment::from_millis(5_000));
    /// assert!((margin - 3.0).abs() < 1e-9);
    /// ```
    pub fn recall<I>(&mut self, told_period_ms: u32, models: I, now: Moment) -> usize
    where
        I: IntoIterator<Item = RecalledMargin<K>>,
    {
        let index = PERIODS_S.iter().position(|period| period_ms(*period) == told_period_ms);
        let Some(index) = index.filter(|_| self.policy.mode.is_on()) else { return 0 };
        self.period_index = index;
        for RecalledMargin { job, told, shift_s, age } in models {
            let model = MarginModel::recalled(PERIODS_S[index], told, shift_s, age, now);
            self.models.insert(job, model);
            self.recalled.insert(job, model);
        }
        self.recalled.len()
    }

    /// Removes the jobs that do not satisfy the predicate.
    pub fn retain<F>(&mut self, is_kept: F)
    where
        F: Fn(K) -> bool,
    {
        self.models.retain(|job, _| is_kept(*job));
        self.recalled.retain(|job, _| is_kept(*job));
        self.probes.retain(|probe| is_kept(probe.job));
    }

    /// Updates the errors of all periods by one sample. Returns whether the current
    /// period changed.
    pub fn evaluate_periods(&mut self, job: K, sample: OwnMargin, now: Moment) -> bool {
        if self.policy.mode == Switch::Off {
            return false;
        }
        let Some(at) = self.probe_index(job, now) else { return false };
        let probe = &mut self.probes[at];
        if let Some(earlier) = &probe.earlier {
            for (period_error, model) in self.period_errors.iter_mut().zip(earlier) {
                period_error.add(sample.margin - model.margin_at(sample_time(now)));
            }
        }
        for model in &mut probe.current {
            let expected = model.predict(now);
            let total = expected.variance + sample.noise;
            model.correct(&expected, sample.margin - expected.margin, total);
        }
        if now.since(probe.evaluated_at) >= EVALUATION_HORIZON {
            probe.evaluated_at = now;
            probe.earlier = Some(probe.current);
        }
        self.choose_period(now)
    }

    /// Returns the index of a job among the probes. Adds the job if there are fewer
    /// probes than the limit.
    fn probe_index(&mut self, job: K, now: Moment) -> Option<usize> {
        let known = self.probes.iter().position(|probe| probe.job == job);
        if known.is_none() && self.probes.len() < PROBE_JOBS_MAX {
            let current = self.first_probe_models(job, now);
            self.probes.push(PeriodProbe { job, current, earlier: None, evaluated_at: now });
            return Some(self.probes.len() - 1);
        }
        known
    }

    /// Returns the models of a new probe, one for each period.
    fn first_probe_models(&self, job: K, now: Moment) -> [MarginModel; PERIODS_S.len()] {
        let mut models = PERIODS_S.map(|period| MarginModel::with_period(period, now));
        if let Some(recalled) = self.recalled.get(&job) {
            for model in &mut models {
                model.parts[0] = recalled.parts[0];
            }
            models[self.period_index] = *recalled;
        }
        models
    }

    fn choose_period(&mut self, now: Moment) -> bool {
        let current_error = self.period_errors[self.period_index].error;
        let candidates =
            self.period_errors.iter().enumerate().filter(|(_, period)| period.count >= ERRORS_MIN);
        let best = candidates.min_by(|a, b| a.1.error.total_cmp(&b.1.error)).map(|(at, _)| at);
        let Some(best) = best else { return false };
        if best == self.period_index
            || self.period_errors[best].error > current_error * REPLACEMENT_ERROR_RATIO
        {
            return false;
        }
        self.period_index = best;
        self.recalled.clear();
        for model in self.models.values_mut() {
            let mean = model.parts[0];
            *model = MarginModel::with_period(PERIODS_S[best], now);
            model.parts[0] = mean;
        }
        for probe in &self.probes {
            self.models.insert(probe.job, probe.current[best]);
        }
        true
    }
}

impl PeriodError {
    fn add(&mut self, error: f64) {
        let squared = (error * error).min(SQUARED_ERROR_MAX);
        self.count = self.count.saturating_add(1);
        let weight = ERROR_WEIGHT.max(1.0 / f64::from(self.count));
        self.error += (squared - self.error) * weight;
    }
}
