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
const MEAN_START: f64 = 3.0;
const MEAN_VARIANCE: f64 = 0.5;
/// Variance of the sine's and the cosine's part before they are seen: loads swing by
/// half of their mean, which is 1.5 of a margin, in an unknown phase.
const WAVE_VARIANCE: f64 = 1.1;
/// Added to each variance in a second, as phases and amplitudes drift.
const DRIFT: f64 = 0.01;
/// Variance that no part exceeds, however long it was not seen.
const VARIANCE_MAX: f64 = 1.5;
/// A reported tail is that of the last half second: it is this old in the mean.
const FIGURE_AGE: Duration = Duration::from_millis(250);
/// Own margins outside of this are not believed.
const OWN_MIN: f64 = 0.8;
const OWN_MAX: f64 = 6.0;
/// Step in which a forecast is looked through for its least value.
const LOOK_STEP: Duration = Duration::from_millis(500);

/// Periods that are tried, in seconds: from the shortest in which a runner's reports
/// show a wave to the longest that a task that fills could care about. A filter follows
/// a wave that is an eighth off its period.
const PERIODS: [f64; 8] = [5.0, 6.5, 8.0, 10.0, 12.5, 16.0, 20.0, 25.0];
/// The one believed at first.
const PERIOD_FIRST: usize = 3;
/// Jobs whose figures are followed with all periods.
const WITNESSES: usize = 8;
/// How far ahead the periods' forecasts are judged: a quarter of a long wave.
const JUDGED_AHEAD: Duration = Duration::from_secs(3);
/// Weight of one error in a period's running mean: some 200 figures count.
const ERROR_WEIGHT: f64 = 0.005;
/// A forecast that is further off counts as this far off, squared.
const ERROR_MAX: f64 = 4.0;
/// Errors that a period must have been judged by before it can be chosen.
const JUDGED_MIN: u32 = 100;
/// A period replaces the one believed when its error is this much smaller.
const CLEARLY: f64 = 0.8;

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
        Self::with_period(PERIODS[PERIOD_FIRST], now)
    }

    /// A load that is taken to stay as it is: a wave that takes for ever.
    fn steady(now: Moment) -> Self {
        Self::with_period(f64::INFINITY, now)
    }

    fn with_period(period_s: f64, now: Moment) -> Self {
        let mut variance = [[0.0; 3]; 3];
        variance[0][0] = MEAN_VARIANCE;
        variance[1][1] = WAVE_VARIANCE;
        variance[2][2] = WAVE_VARIANCE;
        Self {
            frequency: std::f64::consts::TAU / period_s,
            parts: [MEAN_START, 0.0, 0.0],
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
        let seen = self.seen_at(at);
        let margin: f64 = seen.iter().zip(&self.parts).map(|(by, part)| by * part).sum();
        margin.clamp(OWN_MIN, OWN_MAX)
    }

    /// The least expected margin from a moment on.
    pub fn min_margin(&self, from: Moment, span: Duration) -> f64 {
        let steps = span.as_millis() / LOOK_STEP.as_millis();
        let steps = u32::try_from(steps).unwrap_or(0);
        let margins = (0..=steps).map(|step| self.margin_at(from + LOOK_STEP * step));
        margins.fold(OWN_MAX, f64::min)
    }

    /// How each part is seen in a margin at a moment.
    fn seen_at(&self, at: Moment) -> [f64; 3] {
        let angle = self.frequency * at.since(Moment::ZERO).as_secs_f64();
        let (sin, cos) = angle.sin_cos();
        [1.0, cos, sin]
    }

    /// What a figure that comes in at `now` is expected to show, and its variance.
    pub(super) fn predict(&mut self, now: Moment) -> Expected {
        let passed = now.since(self.at).as_secs_f64();
        self.at = now;
        for part in 0..3 {
            let grown = self.variance[part][part] + DRIFT * passed;
            self.variance[part][part] = grown.min(VARIANCE_MAX);
        }
        let seen = self.seen_at(seen_when(now));
        let mut gains = [0.0; 3];
        for (row, gain) in gains.iter_mut().enumerate() {
            *gain = (0..3).map(|col| self.variance[row][col] * seen[col]).sum();
        }
        let variance = (0..3).map(|row| seen[row] * gains[row]).sum();
        let margin = (0..3).map(|part| seen[part] * self.parts[part]).sum();
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

fn seen_when(now: Moment) -> Moment {
    Moment::ZERO + now.since(Moment::ZERO).saturating_sub(FIGURE_AGE)
}

/// A margin freed of what presses on it.
#[derive(Clone, Copy, Debug)]
pub struct OwnFigure {
    /// As it would have been with nothing beside the task.
    pub margin: f64,
    /// Its variance.
    pub noise: f64,
}

/// All serving jobs' loads, by a key for each job.
#[derive(Debug)]
pub struct MarginForecasts<K> {
    policy: ForecastPolicy,
    swings: HashMap<K, MarginModel>,
    period: usize,
    witnesses: Vec<Witness<K>>,
    judged: [Judged; PERIODS.len()],
}

/// How well a period forecasts.
#[derive(Clone, Copy, Debug, Default)]
struct Judged {
    error: f64,
    count: u32,
}

/// A job followed with all periods: now, and as it was at the last look.
#[derive(Debug)]
struct Witness<K> {
    job: K,
    current: [MarginModel; PERIODS.len()],
    former: Option<[MarginModel; PERIODS.len()]>,
    looked: Moment,
}

impl<K> Default for MarginForecasts<K> {
    fn default() -> Self {
        Self {
            policy: ForecastPolicy::default(),
            swings: HashMap::new(),
            period: PERIOD_FIRST,
            witnesses: Vec::new(),
            judged: [Judged::default(); PERIODS.len()],
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
    pub(super) fn soon(&self, job: K, now: Moment) -> Option<f64> {
        self.get(job).map(|load| load.min_margin(now, self.policy.effect.to_duration()))
    }

    /// The least margin of a job while a task that starts now runs, if anything is known.
    pub(super) fn ahead(&self, job: K, now: Moment) -> Option<f64> {
        self.get(job).map(|load| load.min_margin(now, self.policy.ahead.to_duration()))
    }

    /// What is known of a job's load, if anything.
    pub fn get(&self, job: K) -> Option<&MarginModel> {
        self.swings.get(&job)
    }

    /// What is known of a job's load, to be learnt from.
    ///
    /// ```
    /// use yuccalink_coordination::Moment;
    /// use yuccalink_coordination::jobs::margin_forecast::{MarginForecasts, OwnFigure};
    /// let mut loads = MarginForecasts::default();
    /// let before = loads.entry("watch", Moment::ZERO).margin_at(Moment::ZERO);
    /// assert!(!loads.judge("watch", OwnFigure { margin: 2.0, noise: 0.1 }, Moment::ZERO));
    /// assert!(before > 1.0 && loads.period_s() > 0.0);
    /// ```
    pub fn entry(&mut self, job: K, now: Moment) -> &mut MarginModel {
        let period = PERIODS[self.period];
        let mode = self.policy.mode;
        self.swings.entry(job).or_insert_with(|| match mode {
            Switch::On => MarginModel::with_period(period, now),
            Switch::Off => MarginModel::steady(now),
        })
    }

    /// The period that is believed, in seconds.
    pub fn period_s(&self) -> f64 {
        PERIODS[self.period]
    }

    /// Forgets jobs that do not stay.
    pub fn keep<F>(&mut self, stays: F)
    where
        F: Fn(K) -> bool,
    {
        self.swings.retain(|job, _| stays(*job));
        self.witnesses.retain(|witness| stays(witness.job));
    }

    /// Judges the periods by one figure; true when another is believed from now on.
    pub fn judge(&mut self, job: K, figure: OwnFigure, now: Moment) -> bool {
        if self.policy.mode == Switch::Off {
            return false;
        }
        let Some(at) = self.witness(job, now) else { return false };
        let witness = &mut self.witnesses[at];
        if let Some(former) = &witness.former {
            for (judged, swing) in self.judged.iter_mut().zip(former) {
                judged.add(figure.margin - swing.margin_at(seen_when(now)));
            }
        }
        for swing in &mut witness.current {
            let expected = swing.predict(now);
            let total = expected.variance + figure.noise;
            swing.correct(&expected, figure.margin - expected.margin, total);
        }
        if now.since(witness.looked) >= JUDGED_AHEAD {
            witness.looked = now;
            witness.former = Some(witness.current);
        }
        self.choose(now)
    }

    /// Where a job stands among the witnesses, if it is one or there is a seat.
    fn witness(&mut self, job: K, now: Moment) -> Option<usize> {
        let known = self.witnesses.iter().position(|witness| witness.job == job);
        if known.is_none() && self.witnesses.len() < WITNESSES {
            let current = PERIODS.map(|period| MarginModel::with_period(period, now));
            self.witnesses.push(Witness { job, current, former: None, looked: now });
            return Some(self.witnesses.len() - 1);
        }
        known
    }

    fn choose(&mut self, now: Moment) -> bool {
        let believed = self.judged[self.period].error;
        let judged = self.judged.iter().enumerate().filter(|(_, j)| j.count >= JUDGED_MIN);
        let best = judged.min_by(|a, b| a.1.error.total_cmp(&b.1.error)).map(|(at, _)| at);
        let Some(best) = best else { return false };
        if best == self.period || self.judged[best].error > believed * CLEARLY {
            return false;
        }
        self.period = best;
        for swing in self.swings.values_mut() {
            let mean = swing.parts[0];
            *swing = MarginModel::with_period(PERIODS[best], now);
            swing.parts[0] = mean;
        }
        for witness in &self.witnesses {
            self.swings.insert(witness.job, witness.current[best]);
        }
        true
    }
}

impl Judged {
    fn add(&mut self, error: f64) {
        let squared = (error * error).min(ERROR_MAX);
        self.count = self.count.saturating_add(1);
        let weight = ERROR_WEIGHT.max(1.0 / f64::from(self.count));
        self.error += (squared - self.error) * weight;
    }
}
