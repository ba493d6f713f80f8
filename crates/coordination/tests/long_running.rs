//! Tests long-running tasks in a full pool: which of them starts first, and what short tasks
//! beside them wait for.
//!
//! The load: long-running tasks reserve nearly all of a small pool, some of them lose their
//! runner, others have never run, and short tasks fill each gap that is left.

#[path = "cell/world.rs"]
#[allow(dead_code)]
mod world;

use std::time::Duration;
use world::{FaultProfile, World, key, step};
use yuccalink_coordination::jobs::JobState;
use yuccalink_fakes::emulator::TaskBehavior;
use yuccalink_state::jobs::{JobId, JobSpec};

const SECOND: Duration = Duration::from_secs(1);

fn submit_long_running(world: &mut World, id: u64, count: u32, cores: u64) {
    let (mut step, behavior) = step(count, cores, 60_000);
    step.long_running = true;
    let spec = JobSpec { payload: "serve".into(), steps: vec![step], schedule: None };
    world.submit(JobId(id), spec, vec![TaskBehavior { long_running: true, ..behavior }]);
}

fn submit_short(world: &mut World, id: u64, count: u32, cores: u64, work_ms: u64) {
    let (step, behavior) = step(count, cores, work_ms);
    let spec = JobSpec { payload: "work".into(), steps: vec![step], schedule: None };
    world.submit(JobId(id), spec, vec![behavior]);
}

/// Submits short tasks that run on separate runners.
fn submit_on_separate_runners(world: &mut World, id: u64, count: u32, cores: u64, work_ms: u64) {
    let (mut step, behavior) = step(count, cores, work_ms);
    step.per_runner_max = 1;
    let spec = JobSpec { payload: "work".into(), steps: vec![step], schedule: None };
    world.submit(JobId(id), spec, vec![behavior]);
}

/// An interrupted long-running task waited for half a minute although capacity for it came free
/// again and again: a larger job that had never run waited as well and came first each time. The
/// interrupted task must come first.
#[test]
fn an_interrupted_task_comes_before_one_that_never_ran() {
    let mut world = World::new(21, 1, FaultProfile::NO_FAULTS);
    submit_long_running(&mut world, 1, 1, 6);
    world.run_for(SECOND * 2);
    submit_long_running(&mut world, 2, 1, 12);
    world.run_for(SECOND);
    assert_eq!(world.starts_of(key(1, 0, 0)), 1);
    world.crash(0, Duration::from_millis(100));
    world.run_for(SECOND * 3);
    assert_eq!(world.starts_of(key(1, 0, 0)), 2, "the interrupted task starts again");
    assert_eq!(world.starts_of(key(2, 0, 0)), 0, "the capacity is not enough for both");
    world.assert_no_violations();
}

/// New long-running tasks wait for the tasks on each runner to end. If capacity were kept free
/// for them on every runner, a short job would wait for seconds although each runner has
/// capacity for it. It is kept free on one runner at a time, so the short job runs at once on
/// the others.
#[test]
fn capacity_is_kept_on_one_runner_at_a_time_for_new_long_running_tasks() {
    let mut world = World::new(22, 4, FaultProfile::NO_FAULTS);
    submit_on_separate_runners(&mut world, 1, 4, 4, 8_000);
    world.run_for(SECOND);
    submit_long_running(&mut world, 2, 4, 13);
    world.run_for(Duration::from_millis(3_300));
    submit_on_separate_runners(&mut world, 3, 3, 4, 300);
    world.run_for(SECOND);
    assert_eq!(world.state(JobId(3)), Some(JobState::Completed));
    world.run_for(SECOND * 8);
    assert_eq!(world.starts_of(key(2, 0, 0)), 1, "the long-running tasks start in turn");
    world.assert_no_violations();
}

/// A runner announces that it leaves in some seconds, and all others are full. If its
/// long-running tasks were stopped at once, they would serve nobody in the time that is left on
/// it. They stay until another runner has capacity or the runner leaves.
#[test]
fn long_running_tasks_stay_on_a_leaving_runner_until_others_have_capacity() {
    let mut world = World::new(23, 2, FaultProfile::NO_FAULTS);
    submit_long_running(&mut world, 1, 2, 12);
    world.run_for(SECOND * 2);
    submit_short(&mut world, 50, 1, 4, 1_500);
    world.run_for(Duration::from_millis(500));
    world.drain_within(0, SECOND * 4);
    world.run_for(SECOND);
    let long_running_on = |world: &World, at: usize| {
        world.running_on(at).into_iter().filter(|task| task.job == JobId(1)).count()
    };
    assert_eq!(long_running_on(&world, 0), 1, "the task still runs there");
    world.run_for(Duration::from_millis(2_600));
    assert_eq!(long_running_on(&world, 0), 0, "the task is stopped before the runner is gone");
    world.assert_no_violations();
}

/// Half of a small pool is lost with its long-running tasks. If every other runner were kept
/// free for them, a short job would find no capacity for seconds. One runner in twelve is kept
/// free, and at least one.
#[test]
fn a_small_pool_is_not_kept_free_as_a_whole() {
    let mut world = World::new(24, 8, FaultProfile::NO_FAULTS);
    submit_long_running(&mut world, 1, 4, 13);
    world.run_for(SECOND * 2);
    submit_on_separate_runners(&mut world, 2, 4, 4, 20_000);
    world.run_for(SECOND);
    let hosts = |world: &World, job: u64| -> Vec<usize> {
        let hosts = |at: &usize| world.running_on(*at).iter().any(|task| task.job == JobId(job));
        (0..8).filter(hosts).collect()
    };
    let lost = hosts(&world, 1);
    assert_eq!((lost.len(), hosts(&world, 2).len()), (4, 4));
    for at in lost {
        world.crash(at, SECOND * 100);
    }
    // The leases expire, and the tasks wait for more than one second.
    world.run_for(SECOND * 8);
    submit_on_separate_runners(&mut world, 3, 3, 4, 300);
    world.run_for(SECOND);
    assert_eq!(world.state(JobId(3)), Some(JobState::Completed));
    world.assert_no_violations();
}
