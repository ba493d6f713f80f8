//! Tests forecasts of margins under oscillating loads, from delayed and noisy reports.
//!
//! The load is that of the users' sheets: jobs serve at a load of 0.48 that oscillates by half
//! with a period of 10 or 20 s, each in its own phase. A bound is six times the shortest
//! response time. A report has the tail latency of the last half second and comes five times a
//! second.

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::f64::consts::TAU;
use std::time::Duration;
use yuccalink_coordination::Moment;
use yuccalink_coordination::jobs::interference::{ImageKey, Interference};
use yuccalink_coordination::jobs::margin_forecast::{MarginForecasts, MarginModel};

const BOUND_TO_SHORTEST: f64 = 6.0;
const REPORT_MS: u64 = 200;
/// Mean age of the requests in a report, which covers the last half second.
const REPORTED_AGE_S: f64 = 0.25;
/// Usual run time of a background task.
const FORECAST_SPAN: Duration = Duration::from_millis(2_500);

fn margin(period_s: f64, phase: f64, at_s: f64) -> f64 {
    let load = 0.48 * (1.0 + 0.5 * ((at_s / period_s + phase) * TAU).sin());
    BOUND_TO_SHORTEST * (1.0 - load)
}

/// Simulates jobs with a periodic load and returns the learnt forecasts and the true phases.
fn simulate(seed: u64, period_s: f64, seconds: u64) -> (MarginForecasts<u32>, Vec<f64>) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let phases: Vec<f64> = (0..12).map(|_| rng.random::<f64>()).collect();
    let mut learnt = Interference::default();
    let serves: ImageKey = learnt.image("serves");
    let mut forecasts = MarginForecasts::default();
    for tick in 1..=seconds * 1_000 / REPORT_MS {
        let now = Moment::from_millis(tick * REPORT_MS);
        let reported_s = (tick * REPORT_MS) as f64 / 1_000.0 - REPORTED_AGE_S;
        for (job, phase) in phases.iter().enumerate() {
            let job = u32::try_from(job).unwrap();
            let noise = 1.0 + f64::from(rng.random_range(-120..=120)) / 1_000.0;
            let reported = margin(period_s, *phase, reported_s) * noise;
            let model = forecasts.entry(job, now);
            let margin_without_background = learnt.observe(serves, model, reported, &[], now);
            if let Some(margin_without_background) = margin_without_background {
                forecasts.evaluate_periods(job, margin_without_background, now);
            }
        }
    }
    (forecasts, phases)
}

/// Mean error of the forecasts, and of the present margin taken as the forecast.
fn mean_errors(
    forecasts: &MarginForecasts<u32>,
    phases: &[f64],
    period_s: f64,
    now_s: u64,
) -> (f64, f64) {
    let now = Moment::from_millis(now_s * 1_000);
    let target_s = now_s as f64 + FORECAST_SPAN.as_secs_f64();
    let (mut forecast, mut naive) = (0.0, 0.0);
    for (job, phase) in phases.iter().enumerate() {
        let model: &MarginModel = forecasts.get(u32::try_from(job).unwrap()).unwrap();
        let actual = margin(period_s, *phase, target_s);
        forecast += (model.margin_at(now + FORECAST_SPAN) - actual).abs();
        naive += (margin(period_s, *phase, now_s as f64) - actual).abs();
    }
    let count = phases.len() as f64;
    (forecast / count, naive / count)
}

/// A background task that starts while the load of a serving task is low still runs 2.5 s later,
/// when the load is high and the bound is exceeded. The error of a forecast must be below a
/// third of the error of taking the present margin.
#[test]
fn forecasts_beat_the_present_margin() {
    for period_s in [10.0, 20.0] {
        let (mut total_forecast, mut total_naive) = (0.0, 0.0);
        for seed in 0..10 {
            let (forecasts, phases) = simulate(seed, period_s, 40);
            let (forecast, naive) = mean_errors(&forecasts, &phases, period_s, 40);
            total_forecast += forecast;
            total_naive += naive;
        }
        assert!(
            total_forecast * 3.0 < total_naive,
            "period {period_s}: {total_forecast:.2} against {total_naive:.2}"
        );
    }
}

/// The period of a deployment is not configured. After 30 s, the chosen candidate must be within
/// an eighth of the true period.
#[test]
fn the_period_is_estimated() {
    for (period_s, min, max) in [(10.0, 10.0, 10.0), (20.0, 20.0, 20.0), (14.0, 12.5, 16.0)] {
        for seed in 0..10 {
            let (forecasts, _) = simulate(seed, period_s, 30);
            let period = forecasts.period_s();
            assert!(period >= min && period <= max, "seed {seed}: {period} for {period_s}");
        }
    }
}

/// A constant load must not be modelled as an oscillating one.
#[test]
fn a_constant_load_has_a_constant_forecast() {
    let mut learnt = Interference::default();
    let serves = learnt.image("serves");
    let mut model = MarginModel::new(Moment::ZERO);
    for tick in 1..=200 {
        let now = Moment::from_millis(tick * REPORT_MS);
        learnt.observe(serves, &mut model, 2.0, &[], now);
    }
    let now = Moment::from_millis(200 * REPORT_MS);
    let min = model.min_margin(now, Duration::from_secs(10));
    assert!(min > 1.8, "{min}");
}
