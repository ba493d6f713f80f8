//! Tests serving and background tasks on one runner: which orders the leader gives by the tail
//! latencies that the runner reports.
//!
//! The load: a serving task that takes half of a runner with a tail bound of 24 ms, and
//! opportunistic tasks of two images beside it. Each twentieth of the runner that tasks of one
//! of the images use costs the serving task a margin of one.

#[path = "cell/desk.rs"]
#[allow(dead_code)]
mod desk;
#[path = "cell/world.rs"]
#[allow(dead_code)]
mod world;

use desk::Desk;
use std::time::Duration;
use world::step;
use yuccalink_coordination::jobs::policy::{MatchingPolicy, Policy, Switch};
use yuccalink_coordination::jobs::{LeaderConfig, ReportedRun, RunnerOrders};
use yuccalink_fakes::emulator::TaskBehavior;
use yuccalink_state::jobs::{JobCommand, JobId, PairWeight, StepSpec};

const REPORT: Duration = Duration::from_millis(200);
const BOUND_MS: u64 = 24;
/// Tail latency at half load: a third of the bound.
const CALM_MS: u64 = 8;
const SERVING: JobId = JobId(1);
const FILLING: JobId = JobId(2);
const GENTLE: JobId = JobId(3);

fn serving() -> StepSpec {
    let (spec, _) = step(1, 8, 60_000);
    StepSpec { long_running: true, image: Some("front".into()), tail_bound_ms: BOUND_MS, ..spec }
}

fn filling(count: u32, cores: u64, image: &str) -> StepSpec {
    let (spec, _) = step(count, cores, 60_000);
    let image = Some(image.into());
    StepSpec { opportunistic: true, checkpointing: true, image, ..spec }
}

fn weight(filling: &str, mean: f32) -> PairWeight {
    PairWeight { serving: "front".into(), filling: filling.into(), mean, variance: 0.1 }
}

/// A leader with one runner and the pair weights that an earlier leader has learnt.
fn desk(learnt: Vec<PairWeight>) -> Desk {
    desk_deciding_by(Policy::default(), learnt)
}

fn desk_deciding_by(policy: Policy, learnt: Vec<PairWeight>) -> Desk {
    let behavior = TaskBehavior {
        run_time: Duration::from_secs(60),
        long_running: true,
        ..TaskBehavior::default()
    };
    let cfg = LeaderConfig { policy, ..LeaderConfig::default() };
    let mut desk = Desk::deciding_by(cfg, 1, None, behavior, vec![JobCommand::Learn(learnt)]);
    desk.round();
    desk.submit_as(SERVING, vec![serving()]);
    for _ in 0..4 {
        desk.pass(REPORT);
        desk.round();
    }
    assert_eq!(
        desk.round_showing(tail(CALM_MS))[0].start.len(),
        0,
        "the serving task runs already"
    );
    desk
}

fn tail(ms: u64) -> impl Fn(&ReportedRun) -> Option<u64> {
    move |run| (run.task.job == SERVING).then_some(ms)
}

/// Advances time by this many reports and returns all orders.
fn watch(desk: &mut Desk, reports: u32, tail_ms: u64) -> Vec<RunnerOrders> {
    let mut all = Vec::new();
    for _ in 0..reports {
        desk.pass(REPORT);
        all.extend(desk.round_showing(tail(tail_ms)));
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
fn nobody_is_over_its_bound_for_long_by_a_wrong_belief() {
    let mut desk = desk(vec![weight("index", 0.0)]);
    desk.submit_as(FILLING, vec![filling(1, 1, "index")]);
    let calm = watch(&mut desk, 5, CALM_MS);
    assert_eq!(starts_of(&calm, FILLING), 1);
    let over = watch(&mut desk, 13, BOUND_MS + 6);
    let still = over
        .iter()
        .flat_map(|orders| &orders.rates)
        .any(|(task, _, pace)| task.job == FILLING && *pace == 0);
    assert!(still, "{:?}", over.iter().map(|orders| &orders.rates).collect::<Vec<_>>());
    desk.submit_as(GENTLE, vec![filling(1, 1, "index")]);
    let more = watch(&mut desk, 3, BOUND_MS + 6);
    assert_eq!(starts_of(&more, GENTLE), 0, "no more background tasks start beside it");
}

/// A background job never started although most capacity was free: its image slows every serving
/// task, and other jobs want the remaining CPU. Once half of the pool is idle, one of its tasks
/// starts all the same, at a pace that the serving task tolerates, and is not moved back and
/// forth.
#[test]
fn a_job_with_nothing_running_starts_once_half_of_the_pool_is_idle() {
    let mut desk = desk(vec![weight("index", 20.0), weight("gentle", 0.0)]);
    desk.submit_as(GENTLE, vec![filling(4, 3, "gentle")]);
    let gentle = watch(&mut desk, 6, CALM_MS);
    assert!(starts_of(&gentle, GENTLE) >= 3, "another job wants the remaining capacity");
    desk.submit_as(FILLING, vec![filling(4, 4, "index")]);
    let early = watch(&mut desk, 8, CALM_MS);
    assert_eq!(starts_of(&early, FILLING), 0, "its image costs too much margin");
    let late = watch(&mut desk, 5, CALM_MS);
    assert_eq!(starts_of(&late, FILLING), 1, "exactly one task starts");
    let slowed = watch(&mut desk, 10, BOUND_MS - 4);
    let stopped = slowed.iter().flat_map(|orders| &orders.stop);
    assert_eq!(stopped.filter(|(task, _)| task.job == FILLING).count(), 0);
    let paces: Vec<u8> = late
        .iter()
        .chain(&slowed)
        .flat_map(|orders| &orders.rates)
        .filter(|(task, _, _)| task.job == FILLING)
        .map(|(_, _, pace)| *pace)
        .collect();
    assert!(paces.iter().any(|pace| *pace < 100), "{paces:?}");
}

/// Long tasks of one image wait for half a minute although runners have capacity and margin. On
/// most runners the image slows the serving tasks, and the few others are taken by an image that
/// is harmless everywhere and came a moment earlier. Each runner is offered first to the image
/// that costs less margin there than elsewhere.
#[test]
fn a_runner_goes_to_the_image_that_finds_room_nowhere_else() {
    for (mode, first) in [(Switch::On, FILLING), (Switch::Off, GENTLE)] {
        let policy = Policy { matching: MatchingPolicy { mode }, ..Policy::default() };
        let elsewhere = PairWeight { serving: "other".into(), ..weight("index", 20.0) };
        let learnt = vec![weight("index", 0.0), elsewhere, weight("gentle", 0.0)];
        let mut desk = desk_deciding_by(policy, learnt);
        desk.submit_as(GENTLE, vec![filling(3, 4, "gentle")]);
        desk.pass(Duration::from_millis(10));
        desk.submit_as(FILLING, vec![filling(3, 4, "index")]);
        let orders = watch(&mut desk, 1, CALM_MS);
        let starts = |job| starts_of(&orders, job);
        assert!(starts(first) > 0, "matching {mode}: {orders:?}");
        assert_eq!(
            starts(FILLING) + starts(GENTLE),
            starts(first),
            "the capacity is enough for one job"
        );
    }
}
