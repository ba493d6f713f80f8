//! Tests zones under evacuation: what starts there, what ends there, and what comes back.

#[path = "cell/harness.rs"]
#[allow(dead_code)]
mod harness;
#[path = "cell/world.rs"]
#[allow(dead_code)]
mod world;

use harness::LeaderHarness;
use std::time::Duration;
use world::{FaultProfile, World, job, key, step};
use yuccalink_coordination::jobs::policy::{EvacuationPolicy, Millis, Policy};
use yuccalink_coordination::jobs::{
    CellRequest, CellResponse, JobState, LeaderConfig, RequestToken, RunnerOrders,
};
use yuccalink_fakes::emulator::{EmulatedRunner, TaskBehavior};
use yuccalink_state::evacuation::{ZoneAction, ZoneOrder};
use yuccalink_state::jobs::{JobId, JobSpec};

const SECOND: Duration = Duration::from_secs(1);
const BEHAVIOR: TaskBehavior =
    TaskBehavior { run_time: Duration::from_secs(60), ..DEFAULT_BEHAVIOR };
const DEFAULT_BEHAVIOR: TaskBehavior = TaskBehavior {
    run_time: Duration::ZERO,
    fails: false,
    long_running: false,
    actual_usage: yuccalink_state::Resources::ZERO,
    crash: None,
};

fn order(zone: &str, action: ZoneAction) -> CellRequest {
    let (empty, number) = (false, None);
    CellRequest::Zone(Box::new(ZoneOrder { zone: zone.into(), action, empty, number }))
}

fn evacuate(zone: &str) -> CellRequest {
    order(zone, ZoneAction::Evacuate)
}

fn restore(zone: &str) -> CellRequest {
    order(zone, ZoneAction::Restore)
}

fn starts(orders: &[RunnerOrders]) -> Vec<usize> {
    orders.iter().map(|orders| orders.start.len()).collect()
}

fn submit_long_running(world: &mut World, id: u64, count: u32, disruptions_max: Option<u32>) {
    let (mut step, behavior) = step(count, 4, 60_000);
    step.long_running = true;
    step.disruptions_max = disruptions_max;
    let spec = JobSpec { payload: "serve".into(), steps: vec![step], schedule: None };
    world.submit(JobId(id), spec, vec![TaskBehavior { long_running: true, ..behavior }]);
}

/// Guards against starts in a zone whose evacuation was acknowledged.
#[test]
fn nothing_starts_in_an_evacuated_zone() {
    let mut world = World::new(1, 4, FaultProfile::NO_FAULTS);
    world.run_for(SECOND);
    world.order_zone("z0", ZoneAction::Evacuate, false);
    world.run_for(SECOND);
    assert!(world.zone_order_acknowledged());
    let (spec, behaviors) = job(vec![step(16, 4, 5_000)]);
    world.submit(JobId(1), spec, behaviors);
    world.run_for(SECOND * 3);
    let running: Vec<usize> = (0..4).map(|at| world.running_on(at).len()).collect();
    assert_eq!(running, [0, 4, 0, 4]);
    world.run_for(SECOND * 10);
    assert_eq!(world.state(JobId(1)), Some(JobState::Completed));
    world.assert_no_violations();
}

/// Guards against work that is stopped and lost because its zone is evacuated.
#[test]
fn what_runs_in_an_evacuated_zone_ends_there() {
    let mut world = World::new(2, 4, FaultProfile::NO_FAULTS);
    let (spec, behaviors) = job(vec![step(16, 4, 3_000)]);
    world.submit(JobId(1), spec, behaviors);
    world.run_for(SECOND);
    world.order_zone("z0", ZoneAction::Evacuate, true);
    world.run_for(SECOND * 4);
    assert_eq!(world.state(JobId(1)), Some(JobState::Completed));
    assert_eq!(world.starts_of(key(1, 0, 0)), 1);
    world.assert_no_violations();
}

/// Guards against an order whose response was lost and that is repeated after the evacuation.
#[test]
fn an_assigned_start_is_not_ordered_again_in_an_evacuated_zone() {
    let mut harness = LeaderHarness::new(2, None, BEHAVIOR);
    harness.report_round();
    let report = |harness: &mut LeaderHarness| {
        let report = harness.runners[0].report(harness.now);
        match harness.request(CellRequest::Heartbeat(Box::new(report))) {
            CellResponse::Orders(orders) => orders.start.len(),
            other => panic!("{other:?}"),
        }
    };
    harness.submit(vec![step(1, 4, 60_000).0]);
    assert_eq!(report(&mut harness), 1, "this response is lost");
    assert_eq!(report(&mut harness), 1, "and sent again");
    assert!(matches!(harness.request(evacuate("z0")), CellResponse::Zone(_)));
    assert_eq!(report(&mut harness), 0);
    assert_eq!(starts(&harness.report_round()), [0, 0], "the lost order may still arrive");
    for _ in 0..5 {
        harness.advance(SECOND);
        assert_eq!(starts(&harness.report_round()), [0, 0], "it may run, unreported until now");
    }
    harness.advance(SECOND * 2);
    assert_eq!(starts(&harness.report_round()), [0, 1], "it starts in the other zone");
}

/// Guards against an order for a start that a runner was chosen for before the evacuation and
/// that is committed after it.
#[test]
fn a_start_committed_behind_the_evacuation_is_not_ordered() {
    let mut harness = LeaderHarness::new(1, None, BEHAVIOR);
    harness.report_round();
    harness.submit(vec![step(1, 4, 60_000).0]);
    let now = harness.leader_now();
    let report = Box::new(harness.runners[0].report(harness.now));
    harness.leader.handle_request(now, RequestToken(1_000), evacuate("z0"));
    harness.leader.handle_request(now, RequestToken(1_001), CellRequest::Heartbeat(report));
    harness.commit();
    let answers = harness.leader.take_answers();
    let orders = answers.into_iter().find_map(|(_, answer)| match answer {
        CellResponse::Orders(orders) => Some(orders),
        _ => None,
    });
    assert_eq!(orders.expect("orders").start.len(), 0);
}

/// Guards against an acknowledgement of an evacuation that a new leader may not know.
#[test]
fn an_evacuation_is_acknowledged_only_when_it_is_committed() {
    let mut harness = LeaderHarness::new(1, None, BEHAVIOR);
    harness.leader.handle_request(harness.leader_now(), RequestToken(1_000), evacuate("z0"));
    assert!(harness.leader.take_answers().is_empty());
    harness.commit();
    let answers = harness.leader.take_answers();
    assert!(matches!(&answers[..], [(RequestToken(1_000), CellResponse::Zone(_))]), "{answers:?}");
}

/// Guards against a runner of an evacuated zone that the leader hears of only later, or that
/// does not say its zone.
#[test]
fn a_runner_that_first_reports_during_the_evacuation_gets_nothing() {
    for zone in ["z0", ""] {
        let mut harness = LeaderHarness::new(1, None, BEHAVIOR);
        harness.runners[0].zone = zone.into();
        assert!(matches!(harness.request(evacuate("z0")), CellResponse::Zone(_)));
        harness.submit(vec![step(1, 4, 60_000).0]);
        assert_eq!(starts(&harness.report_round()), [0], "zone {zone:?}");
        assert!(matches!(harness.request(restore("z0")), CellResponse::Zone(_)));
        harness.advance(SECOND * 2);
        assert_eq!(starts(&harness.report_round()), [1], "zone {zone:?}");
    }
}

/// Guards against an evacuation that is forgotten when the leader changes.
#[test]
fn a_new_leader_keeps_the_evacuation() {
    let mut world = World::new(3, 2, FaultProfile::NO_FAULTS);
    world.run_for(SECOND);
    world.order_zone("z0", ZoneAction::Evacuate, false);
    world.run_for(SECOND);
    world.replace_leader();
    let (spec, behaviors) = job(vec![step(4, 4, 2_000)]);
    world.submit(JobId(1), spec, behaviors);
    world.run_for(SECOND * 4);
    assert!(world.is_evacuated("z0"));
    assert_eq!(world.state(JobId(1)), Some(JobState::Completed));
    world.assert_no_violations();
}

/// Guards against jobs that fail or are forgotten because all zones are under evacuation.
#[test]
fn with_all_zones_evacuated_jobs_wait_and_say_why() {
    let mut world = World::new(4, 2, FaultProfile::NO_FAULTS);
    world.run_for(SECOND);
    for zone in ["z0", "z1"] {
        world.order_zone(zone, ZoneAction::Evacuate, false);
        world.run_for(SECOND);
    }
    let (spec, behaviors) = job(vec![step(2, 4, 500)]);
    world.submit(JobId(1), spec, behaviors);
    world.run_for(SECOND * 20);
    assert_eq!(world.state(JobId(1)), Some(JobState::Queued));
    world.order_zone("z1", ZoneAction::Restore, false);
    world.run_for(SECOND * 4);
    assert_eq!(world.state(JobId(1)), Some(JobState::Completed));
    world.assert_no_violations();
}

/// Guards against long-running tasks that leave a zone whose operator asked only that nothing
/// more starts there, and against one that leaves beyond its disruption budget.
#[test]
fn long_running_tasks_leave_only_a_zone_that_is_to_be_emptied() {
    for empty in [false, true] {
        let mut world = World::new(5, 2, FaultProfile::NO_FAULTS);
        submit_long_running(&mut world, 1, 4, Some(1));
        world.run_for(SECOND * 2);
        let from = usize::from(world.running_on(0).is_empty());
        let before = world.running_on(from).len();
        world.order_zone(world::zone(from), ZoneAction::Evacuate, empty);
        let mut fewest = usize::MAX;
        for _ in 0..80 {
            world.run_for(Duration::from_millis(100));
            let at_work = world.running_on(0).len() + world.running_on(1).len();
            fewest = fewest.min(at_work);
        }
        let left = world.running_on(from).len();
        assert_eq!(left, if empty { 0 } else { before }, "empty: {empty}");
        assert!(fewest >= 3, "at most one task may be away: {fewest} at work");
        world.assert_no_violations();
    }
}

/// Guards against members of a gang that wait in vain for one whose order an evacuation held
/// back.
#[test]
fn a_gang_that_lost_a_member_to_an_evacuation_stops() {
    let mut harness = LeaderHarness::new(2, None, BEHAVIOR);
    harness.report_round();
    let (mut gang, _) = step(6, 5, 60_000);
    gang.gang = true;
    harness.submit(vec![gang]);
    harness.advance(Duration::from_millis(100));
    harness.runners.swap(0, 1);
    let first = harness.runners[0].report(harness.now);
    let CellResponse::Orders(orders) = harness.request(CellRequest::Heartbeat(Box::new(first)))
    else {
        panic!("no orders")
    };
    assert_eq!(orders.start.len(), 3, "half of the gang");
    let now = harness.now;
    harness.runners[0].apply_orders(now, now, &orders, |_| Some(BEHAVIOR));
    assert!(matches!(harness.request(evacuate("z0")), CellResponse::Zone(_)));
    let stops = |harness: &mut LeaderHarness| -> usize {
        harness.advance(SECOND);
        harness.report_round()[0].stop.len()
    };
    assert_eq!(stops(&mut harness), 0, "the lost orders may have started the others");
    let stopped = (0..8).find(|_| stops(&mut harness) == 3);
    assert!(stopped.is_some(), "the rest of the gang runs on for nothing");
}

/// Guards against a task that crashes runners of an evacuated zone and is started ever again,
/// because their loss was expected.
#[test]
fn a_crash_in_an_evacuated_zone_counts() {
    let mut harness = LeaderHarness::new(1, None, BEHAVIOR);
    harness.report_round();
    harness.submit(vec![step(1, 4, 60_000).0]);
    assert_eq!(starts(&harness.report_round()), [1]);
    assert!(matches!(harness.request(evacuate("z0")), CellResponse::Zone(_)));
    harness.advance(SECOND);
    harness.runners[0] = EmulatedRunner::new("w0", "r1", 6, world::CAPACITY, harness.now);
    harness.report_round();
    let crashes = harness.leader.state().losses().crashes(key(1, 0, 0));
    assert_eq!((crashes.all, crashes.at_start), (1, 1));
}

/// Guards against a storm of starts in a zone that comes back.
#[test]
fn a_restored_zone_takes_work_step_by_step() {
    let ramp = EvacuationPolicy { ramp: Millis(1_000), ..EvacuationPolicy::default() };
    let policy = Policy::builder().evacuation(ramp).build().expect("a policy");
    let cfg = LeaderConfig { policy, ..LeaderConfig::default() };
    let mut harness = LeaderHarness::with_config(cfg, 1, None, BEHAVIOR, Vec::new());
    harness.request(evacuate("z0"));
    harness.submit(vec![step(16, 1, 60_000).0]);
    assert_eq!(starts(&harness.report_round()), [0]);
    harness.request(restore("z0"));
    harness.advance(Duration::from_millis(250));
    assert_eq!(starts(&harness.report_round()), [4]);
    harness.advance(Duration::from_millis(250));
    assert_eq!(starts(&harness.report_round()), [4]);
    harness.advance(Duration::from_millis(500));
    assert_eq!(starts(&harness.report_round()), [8]);
}

/// Guards against an order that is refused because it was given before, or for a zone that no
/// runner has reported yet.
#[test]
fn orders_are_idempotent_and_need_no_known_zone() {
    let mut harness = LeaderHarness::new(1, None, BEHAVIOR);
    for request in [evacuate("z0"), evacuate("z0"), restore("z0"), restore("z0"), restore("new")] {
        let answer = harness.request(request.clone());
        assert!(matches!(answer, CellResponse::Zone(_)), "{request:?}: {answer:?}");
    }
    let CellResponse::Zone(view) = harness.request(evacuate("nowhere")) else { panic!() };
    assert_eq!((&*view.zone, view.evacuated, view.targets), ("nowhere", true, 0));
    assert!(matches!(harness.request(evacuate("")), CellResponse::Invalid(_)));
    assert!(matches!(harness.request(evacuate("a\nb")), CellResponse::Invalid(_)));
}

/// Zones are evacuated and restored while messages are lost, leaders change with commands in
/// flight, and runners crash. No order of events may let a task start in an evacuated zone, run
/// twice, or be forgotten.
#[test]
fn random_histories_with_evacuations_violate_no_invariant() {
    for seed in 0..HISTORIES {
        let (orders, violations) = run_history(seed);
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
        assert!(orders > 2, "seed {seed}: {orders} orders");
    }
}

/// Histories in each test run.
const HISTORIES: u64 = 100;
const JOBS: u64 = 25;

fn run_history(seed: u64) -> (usize, Vec<String>) {
    let profile = FaultProfile { zone_order_per_mille: 6, ..FaultProfile::HARSH };
    let mut world = World::new(seed, 6, profile);
    for id in 1..=JOBS {
        let (count, cores) = (1 + world.random_below(6), 1 + world.random_below(5));
        let (mut spec, mut behavior) =
            step(u32::try_from(count).unwrap_or(1), cores, 100 + world.random_below(2_500));
        spec.gang = world.random_below(6) == 0;
        spec.speculative = !spec.gang && world.random_below(3) == 0;
        behavior.fails = world.random_below(20) == 0;
        let (spec, behaviors) = job(vec![(spec, behavior)]);
        world.submit(JobId(id), spec, behaviors);
        let pause = 100 + world.random_below(1_200);
        world.run_for(Duration::from_millis(pause));
    }
    world.stop_faults();
    world.run_for(SECOND * 40);
    (world.zone_orders, world.final_violations(JOBS))
}
