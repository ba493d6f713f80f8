//! Tests serving and background tasks on one runner: which orders the leader gives by the tail
//! latencies that the runner reports.
//!
//! The load: a serving task that takes half of a runner with a tail bound of 24 ms, and
//! opportunistic tasks of two images beside it. Each twentieth of the runner that tasks of one
//! of the images use costs the serving task a margin of one.

#[path = "cell/harness.rs"]
#[allow(dead_code)]
mod harness;
#[path = "cell/world.rs"]
#[allow(dead_code)]
mod world;

use harness::LeaderHarness;
use std::time::Duration;
use world::step;
use yuccalink_coordination::jobs::policy::{MatchingPolicy, Policy, Switch};
use yuccalink_coordination::jobs::{LeaderConfig, ReportedRun, RunnerOrders};
use yuccalink_fakes::emulator::TaskBehavior;
use yuccalink_state::jobs::{JobCommand, JobId, PairWeight, StepSpec};

const REPORT_INTERVAL: Duration = Duration::from_millis(200);
const BOUND_MS: u64 = 24;
/// Tail latency at half load: a third of the bound.
const LOW_TAIL_MS: u64 = 8;
const SERVING: JobId = JobId(1);
const BACKGROUND: JobId = JobId(2);
const HARMLESS: JobId = JobId(3);

fn serving_step() -> StepSpec {
    let (spec, _) = step(1, 8, 60_000);
    StepSpec { long_running: true, image: Some("front".into()), tail_bound_ms: BOUND_MS, ..spec }
}

fn background_step(count: u32, cores: u64, image: &str) -> StepSpec {
    let (spec, _) = step(count, cores, 60_000);
    let image = Some(image.into());
    StepSpec { opportunistic: true, checkpointing: true, image, ..spec }
}

fn weight(background: &str, mean: f32) -> PairWeight {
    PairWeight { serving: "front".into(), background: background.into(), mean, variance: 0.1 }
}

/// A leader with one runner and the pair weights that an earlier leader has learnt.
fn harness_with_weights(weights: Vec<PairWeight>) -> LeaderHarness {
    harness_with_policy(Policy::default(), weights)
}

fn harness_with_policy(policy: Policy, weights: Vec<PairWeight>) -> LeaderHarness {
    let behavior = TaskBehavior {
        run_time: Duration::from_secs(60),
        long_running: true,
        ..TaskBehavior::default()
    };
    let cfg = LeaderConfig { policy, ..LeaderConfig::default() };
    let mut harness =
        LeaderHarness::with_config(cfg, 1, None, behavior, vec![JobCommand::Learn(weights)]);
    harness.report_round();
    harness.submit_job(SERVING, vec![serving_step()]);
    for _ in 0..4 {
        harness.advance(REPORT_INTERVAL);
        harness.report_round();
    }
    assert_eq!(
        harness.report_round_with_gauge(tail(LOW_TAIL_MS))[0].start.len(),
        0,
        "the serving task runs already"
    );
    harness
}

fn tail(ms: u64) -> impl Fn(&ReportedRun) -> Option<u64> {
    move |run| (run.task.job == SERVING).then_some(ms)
}

/// Advances time by this many reports and returns all orders.
fn run_reports(harness: &mut LeaderHarness, reports: u32, tail_ms: u64) -> Vec<RunnerOrders> {
    let mut all = Vec::new();
    for _ in 0..reports {
        harness.advance(REPORT_INTERVAL);
        all.extend(harness.report_round_with_gauge(tail(tail_ms)));
    }
    all
}

fn starts_of(orders: &[RunnerOrders], job: JobId) -> usize {
    orders.iter().flat_map(|orders| &orders.start).filter(|start| start.task.job == job).count()
}

/// A background task slows a serving task beyond its bound for seconds, because the pair weight,
/// learnt under another load, calls it harmless and a single wrong weight is corrected slowly.
/// After two seconds over the bound, the background task must be paused.
#[test]
fn a_wrong_pair_weight_does_not_break_a_bound_for_long() {
    let mut harness = harness_with_weights(vec![weight("index", 0.0)]);
    harness.submit_job(BACKGROUND, vec![background_step(1, 1, "index")]);
    let before = run_reports(&mut harness, 5, LOW_TAIL_MS);
    assert_eq!(starts_of(&before, BACKGROUND), 1);
    let during = run_reports(&mut harness, 13, BOUND_MS + 6);
    let paused = during
        .iter()
        .flat_map(|orders| &orders.rates)
        .any(|(task, _, pace)| task.job == BACKGROUND && *pace == 0);
    assert!(paused, "{:?}", during.iter().map(|orders| &orders.rates).collect::<Vec<_>>());
    harness.submit_job(HARMLESS, vec![background_step(1, 1, "index")]);
    let more = run_reports(&mut harness, 3, BOUND_MS + 6);
    assert_eq!(starts_of(&more, HARMLESS), 0, "no more background tasks start beside it");
}

/// A background job never started although most capacity was free: its image slows every serving
/// task, and other jobs want the remaining CPU. Once half of the pool is idle, one of its tasks
/// starts all the same, at a pace that the serving task tolerates, and is not moved back and
/// forth.
#[test]
fn a_job_with_nothing_running_starts_once_half_of_the_pool_is_idle() {
    let mut harness = harness_with_weights(vec![weight("index", 20.0), weight("gentle", 0.0)]);
    harness.submit_job(HARMLESS, vec![background_step(4, 3, "gentle")]);
    let harmless = run_reports(&mut harness, 6, LOW_TAIL_MS);
    assert!(starts_of(&harmless, HARMLESS) >= 3, "another job wants the remaining capacity");
    harness.submit_job(BACKGROUND, vec![background_step(4, 4, "index")]);
    let early = run_reports(&mut harness, 8, LOW_TAIL_MS);
    assert_eq!(starts_of(&early, BACKGROUND), 0, "its image costs too much margin");
    let late = run_reports(&mut harness, 5, LOW_TAIL_MS);
    assert_eq!(starts_of(&late, BACKGROUND), 1, "exactly one task starts");
    let slowed = run_reports(&mut harness, 10, BOUND_MS - 4);
    let stopped = slowed.iter().flat_map(|orders| &orders.stop);
    assert_eq!(stopped.filter(|(task, _)| task.job == BACKGROUND).count(), 0);
    let paces: Vec<u8> = late
        .iter()
        .chain(&slowed)
        .flat_map(|orders| &orders.rates)
        .filter(|(task, _, _)| task.job == BACKGROUND)
        .map(|(_, _, pace)| *pace)
        .collect();
    assert!(paces.iter().any(|pace| *pace < 100), "{paces:?}");
}

/// Long tasks of one image wait for half a minute although runners have capacity and margin. On
/// most runners the image slows the serving tasks, and the few others are taken by an image that
/// is harmless everywhere and came a moment earlier. Each runner is offered first to the image
/// that costs less margin there than elsewhere.
#[test]
fn a_runner_is_offered_first_to_the_image_that_fits_nowhere_else() {
    for (mode, first) in [(Switch::On, BACKGROUND), (Switch::Off, HARMLESS)] {
        let policy = Policy { matching: MatchingPolicy { mode }, ..Policy::default() };
        let elsewhere = PairWeight { serving: "other".into(), ..weight("index", 20.0) };
        let weights = vec![weight("index", 0.0), elsewhere, weight("gentle", 0.0)];
        let mut harness = harness_with_policy(policy, weights);
        harness.submit_job(HARMLESS, vec![background_step(3, 4, "gentle")]);
        harness.advance(Duration::from_millis(10));
        harness.submit_job(BACKGROUND, vec![background_step(3, 4, "index")]);
        let orders = run_reports(&mut harness, 1, LOW_TAIL_MS);
        let starts = |job| starts_of(&orders, job);
        assert!(starts(first) > 0, "matching {mode}: {orders:?}");
        assert_eq!(
            starts(BACKGROUND) + starts(HARMLESS),
            starts(first),
            "the capacity is enough for one job"
        );
    }
}
