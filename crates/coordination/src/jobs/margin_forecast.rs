//! The load of a job that serves, which swings: how far its tasks' own margin will fall
//! within the next seconds.
//!
//! The pattern answered here: every serving job's load goes up and down by half within
//! ten to twenty seconds, all its tasks together, each job in a phase of its own. A task
//! that fills beside it lives two to three seconds, so what counts is the margin ahead,
//! not the one that is seen; a mean, a sine and a cosine explain most of it.
//!
//! One filter for each job follows the three; the period is common to all and is found
//! by the periods' errors in forecasts of some seconds.

use super::policy::{Millis, Switch};
use crate::moment::Moment;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

/// What is foreseen of the loads of serving tasks.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct ForecastPolicy {
    /// Whether waves are followed; otherwise a load is taken to stay as it is.
    pub mode: Switch,
    /// How far ahead a pace looks: what is ordered now has its effect until then, with
    /// the runner's next report and the time that a pace takes.
    #[serde(rename = "effect-ms")]
    pub effect: Millis,
    /// How far ahead a start looks: a filling task runs about that long.
    #[serde(rename = "ahead-ms")]
    pub ahead: Millis,
}

impl Default for ForecastPolicy {
    fn default() -> Self {
        Self { mode: Switch::On, effect: Millis(500), ahead: Millis(2_000) }
    }
}

/// Mean margin of a job nothing is known of, at half load on a server whose bound is
/// six times its shortest answer, and its variance.
const INITIAL_MEAN: f64 = 3.0;
const INITIAL_MEAN_VARIANCE: f64 = 0.5;
/// Variance of the sine's and the cosine's part before they are seen: loads swing by
/// half of their mean, which is 1.5 of a margin, in an unknown phase.
const INITIAL_WAVE_VARIANCE: f64 = 1.1;
/// Added to each variance in a second, as phases and amplitudes drift.
const VARIANCE_DRIFT_PER_S: f64 = 0.01;
/// Variance that no part exceeds, however long it was not seen.
const VARIANCE_MAX: f64 = 1.5;
/// A reported tail is that of the last half second: it is this old in the mean.
const SAMPLE_AGE: Duration = Duration::from_millis(250);
/// Own margins outside of this are not believed.
const MARGIN_MIN: f64 = 0.8;
const MARGIN_MAX: f64 = 6.0;
/// Step in which a forecast is looked through for its least value.
const FORECAST_STEP: Duration = Duration::from_millis(500);

/// Periods that are tried, in seconds: from the shortest in which a runner's reports
/// show a wave to the longest that a task that fills could care about. A filter follows
/// a wave that is an eighth off its period.
const PERIODS_S: [f64; 8] = [5.0, 6.5, 8.0, 10.0, 12.5, 16.0, 20.0, 25.0];
/// The one believed at first.
const INITIAL_PERIOD_INDEX: usize = 3;
/// Jobs whose figures are followed with all periods.
const PROBE_JOBS_MAX: usize = 8;
/// How far ahead the periods' forecasts are judged: a quarter of a long wave.
const EVALUATION_HORIZON: Duration = Duration::from_secs(3);
/// Weight of one error in a period's running mean: some 200 figures count.
const ERROR_WEIGHT: f64 = 0.005;
/// A forecast that is further off counts as this far off, squared.
const SQUARED_ERROR_MAX: f64 = 4.0;
/// Errors that a period must have been judged by before it can be chosen.
const ERRORS_MIN: u32 = 100;
/// A period replaces the one believed when its error is this much smaller.
const REPLACEMENT_ERROR_RATIO: f64 = 0.8;

/// The margin that the tasks of one job would have with nothing beside them, as a
/// function of time: a mean and a wave.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MarginModel {
    /// Radians in a second.
    frequency: f64,
    /// Mean, cosine's and sine's part.
    parts: [f64; 3],
    variance: [[f64; 3]; 3],
    at: Moment,
}

impl MarginModel {
    /// That of a job nothing is known of.
    pub fn new(now: Moment) -> Self {
        Self::with_period(PERIODS_S[INITIAL_PERIOD_INDEX], now)
    }

    /// A load that is taken to stay as it is: a wave that takes for ever.
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

    /// The expected margin at a moment.
    ///
    /// ```
    /// use yuccalink_coordination::Moment;
    /// use yuccalink_coordination::jobs::margin_forecast::MarginModel;
    /// let swing = MarginModel::new(Moment::ZERO);
    /// assert!(swing.margin_at(Moment::from_millis(700)) > 1.0);
    /// ```
    pub fn margin_at(&self, at: Moment) -> f64 {
        let basis = self.basis_at(at);
        let margin: f64 = basis.iter().zip(&self.parts).map(|(by, part)| by * part).sum();
        margin.clamp(MARGIN_MIN, MARGIN_MAX)
    }

    /// The least expected margin from a moment on.
    pub fn min_margin(&self, from: Moment, span: Duration) -> f64 {
        let steps = span.as_millis() / FORECAST_STEP.as_millis();
        let steps = u32::try_from(steps).unwrap_or(0);
        let margins = (0..=steps).map(|step| self.margin_at(from + FORECAST_STEP * step));
        margins.fold(MARGIN_MAX, f64::min)
    }

    /// How each part is seen in a margin at a moment.
    fn basis_at(&self, at: Moment) -> [f64; 3] {
        let angle = self.frequency * at.since(Moment::ZERO).as_secs_f64();
        let (sin, cos) = angle.sin_cos();
        [1.0, cos, sin]
    }

    /// What a figure that comes in at `now` is expected to show, and its variance.
    pub(super) fn predict(&mut self, now: Moment) -> Expected {
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
        Expected { margin, variance, gains }
    }

    /// Corrects the parts by an error of what was expected, whose variance in all was
    /// `total`.
    pub(super) fn correct(&mut self, expected: &Expected, error: f64, total: f64) {
        for row in 0..3 {
            self.parts[row] += expected.gains[row] / total * error;
            for col in 0..3 {
                self.variance[row][col] -= expected.gains[row] * expected.gains[col] / total;
            }
        }
    }
}

/// What a filter expects of a figure.
#[derive(Clone, Copy, Debug)]
pub(super) struct Expected {
    pub(super) margin: f64,
    pub(super) variance: f64,
    /// Covariance of each part with the figure.
    gains: [f64; 3],
}

fn sample_time(now: Moment) -> Moment {
    Moment::ZERO + now.since(Moment::ZERO).saturating_sub(SAMPLE_AGE)
}

/// A margin freed of what presses on it.
#[derive(Clone, Copy, Debug)]
pub struct OwnMargin {
    /// As it would have been with nothing beside the task.
    pub margin: f64,
    /// Its variance.
    pub noise: f64,
}

/// All serving jobs' loads, by a key for each job.
#[derive(Debug)]
pub struct MarginForecasts<K> {
    policy: ForecastPolicy,
    models: HashMap<K, MarginModel>,
    period_index: usize,
    probes: Vec<PeriodProbe<K>>,
    period_errors: [PeriodError; PERIODS_S.len()],
}

/// How well a period forecasts.
#[derive(Clone, Copy, Debug, Default)]
struct PeriodError {
    error: f64,
    count: u32,
}

/// A job followed with all periods: now, and as it was at the last look.
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
    /// Nothing seen yet.
    pub fn new(policy: ForecastPolicy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// The least margin of a job until an order has its effect, if anything is known.
    pub(super) fn min_margin_until_effect(&self, job: K, now: Moment) -> Option<f64> {
        self.get(job).map(|model| model.min_margin(now, self.policy.effect.to_duration()))
    }

    /// The least margin of a job while a task that starts now runs, if anything is known.
    pub(super) fn min_margin_for_start(&self, job: K, now: Moment) -> Option<f64> {
        self.get(job).map(|model| model.min_margin(now, self.policy.ahead.to_duration()))
    }

    /// What is known of a job's load, if anything.
    pub fn get(&self, job: K) -> Option<&MarginModel> {
        self.models.get(&job)
    }

    /// What is known of a job's load, to be learnt from.
    ///
    /// ```
    /// use yuccalink_coordination::Moment;
    /// use yuccalink_coordination::jobs::margin_forecast::{MarginForecasts, OwnMargin};
    /// let mut loads = MarginForecasts::default();
    /// let before = loads.entry("watch", Moment::ZERO).margin_at(Moment::ZERO);
    /// assert!(!loads.judge("watch", OwnMargin { margin: 2.0, noise: 0.1 }, Moment::ZERO));
    /// assert!(before > 1.0 && loads.period_s() > 0.0);
    /// ```
    pub fn entry(&mut self, job: K, now: Moment) -> &mut MarginModel {
        let period = PERIODS_S[self.period_index];
        let mode = self.policy.mode;
        self.models.entry(job).or_insert_with(|| match mode {
            Switch::On => MarginModel::with_period(period, now),
            Switch::Off => MarginModel::steady(now),
        })
    }

    /// The period that is believed, in seconds.
    pub fn period_s(&self) -> f64 {
        PERIODS_S[self.period_index]
    }

    /// Forgets jobs that do not stay.
    pub fn keep<F>(&mut self, is_kept: F)
    where
        F: Fn(K) -> bool,
    {
        self.models.retain(|job, _| is_kept(*job));
        self.probes.retain(|probe| is_kept(probe.job));
    }

    /// Judges the periods by one figure; true when another is believed from now on.
    pub fn judge(&mut self, job: K, sample: OwnMargin, now: Moment) -> bool {
        if self.policy.mode == Switch::Off {
            return false;
        }
        let Some(at) = self.probe_index(job, now) else { return false };
        let probe = &mut self.probes[at];
        if let Some(earlier) = &probe.earlier {
            for (period_errors, model) in self.period_errors.iter_mut().zip(earlier) {
                period_errors.add(sample.margin - model.margin_at(sample_time(now)));
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

    /// Where a job stands among the witnesses, if it is one or there is a seat.
    fn probe_index(&mut self, job: K, now: Moment) -> Option<usize> {
        let known = self.probes.iter().position(|probe| probe.job == job);
        if known.is_none() && self.probes.len() < PROBE_JOBS_MAX {
            let current = PERIODS_S.map(|period| MarginModel::with_period(period, now));
            self.probes.push(PeriodProbe { job, current, earlier: None, evaluated_at: now });
            return Some(self.probes.len() - 1);
        }
        known
    }

    fn choose_period(&mut self, now: Moment) -> bool {
        let current_error = self.period_errors[self.period_index].error;
        let period_errors =
            self.period_errors.iter().enumerate().filter(|(_, j)| j.count >= ERRORS_MIN);
        let best = period_errors.min_by(|a, b| a.1.error.total_cmp(&b.1.error)).map(|(at, _)| at);
        let Some(best) = best else { return false };
        if best == self.period_index
            || self.period_errors[best].error > current_error * REPLACEMENT_ERROR_RATIO
        {
            return false;
        }
        self.period_index = best;
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
