//! Tests the leader of a job cell against emulated runners: single failures first, then hundreds
//! of seeded histories that combine all of them.

#[path = "cell/world.rs"]
#[allow(dead_code)]
mod world;

use std::time::Duration;
use world::{FaultProfile, World, job, key, step};
use yuccalink_coordination::jobs::JobState;
use yuccalink_fakes::emulator::{RunnerFault, TaskBehavior};
use yuccalink_state::jobs::{JobId, JobSpec, Schedule};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_job_of_two_steps_runs_in_order_and_completes() {
    let mut world = World::new(1, 4, FaultProfile::NO_FAULTS);
    let (first, behavior) = step(4, 4, 400);
    let (mut second, second_behavior) = step(2, 4, 300);
    second.depends_on = vec![0];
    let (spec, behaviors) = job(vec![(first, behavior), (second, second_behavior)]);
    world.submit(JobId(1), spec, behaviors);
    world.run_for(SECOND * 4);
    assert_eq!(world.state(JobId(1)), Some(JobState::Completed));
    world.assert_no_violations();
}

/// A crashed runner can't be told from a partitioned one, whose tasks may still run. They must
/// not start elsewhere before the lease has expired by every clock, and must start soon after.
#[test]
fn tasks_of_a_silent_runner_start_elsewhere_after_its_lease() {
    let mut world = World::new(2, 2, FaultProfile::NO_FAULTS);
    let (spec, behaviors) = job(vec![step(4, 4, 20_000)]);
    world.submit(JobId(1), spec, behaviors);
    world.run_for(SECOND * 2);
    let from = usize::from(world.running_on(0).is_empty());
    let lost = world.running_on(from);
    assert_eq!(lost.len(), 4, "all four run on one runner");
    world.crash(from, SECOND * 100);
    world.run_for(SECOND * 4);
    assert!(
        lost.iter().all(|task| world.starts_of(*task) == 1),
        "started before the lease expired"
    );
    world.run_for(SECOND * 2);
    assert!(
        lost.iter().all(|task| world.starts_of(*task) == 2),
        "not started after the lease expired"
    );
    world.assert_no_violations();
}

/// A runner that restarts under its name runs nothing any more. Its former tasks must start
/// again at once, without waiting for the old lease.
#[test]
fn a_restarted_runner_frees_its_tasks_at_once() {
    let mut world = World::new(3, 1, FaultProfile::NO_FAULTS);
    let (spec, behaviors) = job(vec![step(2, 4, 20_000)]);
    world.submit(JobId(1), spec, behaviors);
    world.run_for(SECOND * 2);
    world.crash(0, Duration::from_millis(100));
    world.run_for(SECOND * 2);
    assert_eq!(world.starts_of(key(1, 0, 0)), 2);
    world.assert_no_violations();
}

/// A runner fails every task at once. Retries on it would use up a job's attempts within a
/// second, so they go to other runners, and the leader stops using this one.
#[test]
fn a_runner_that_fails_all_tasks_does_not_fail_jobs() {
    let mut world = World::new(4, 4, FaultProfile::NO_FAULTS);
    world.set_fault(0, RunnerFault::FailsAll);
    for id in 1..=12 {
        let (spec, behaviors) = job(vec![step(4, 2, 400)]);
        world.submit(JobId(id), spec, behaviors);
        world.run_for(Duration::from_millis(300));
    }
    world.run_for(SECOND * 8);
    for id in 1..=12 {
        assert_eq!(world.state(JobId(id)), Some(JobState::Completed), "job {id}");
    }
    world.assert_no_violations();
}

/// A last attempt goes only to a trusted runner. When every runner has had a failure and no
/// other task is left to restore trust, the job must still get its last attempt instead of
/// waiting forever.
#[test]
fn a_task_gets_its_last_attempt_though_no_runner_is_trusted() {
    let mut world = World::new(8, 3, FaultProfile::NO_FAULTS);
    let (spec, mut behaviors) = job(vec![step(3, 12, 300)]);
    behaviors[0].fails = true;
    world.submit(JobId(1), spec, behaviors);
    world.run_for(SECOND * 14);
    assert_eq!(world.state(JobId(1)), Some(JobState::Failed));
    world.assert_no_violations();
}

/// Tasks on one runner make no progress while it reports as usual. Such stalled runs are stopped
/// and start elsewhere.
#[test]
fn stalled_tasks_move_to_other_runners() {
    let mut world = World::new(5, 3, FaultProfile::NO_FAULTS);
    world.set_fault(0, RunnerFault::TasksStall);
    let (spec, behaviors) = job(vec![step(9, 4, 1_000)]);
    world.submit(JobId(1), spec, behaviors);
    world.run_for(SECOND * 12);
    assert_eq!(world.state(JobId(1)), Some(JobState::Completed));
    world.assert_no_violations();
}

/// One of four runners takes five times as long and reports as usual, which delays the few tasks
/// of a short job that run there. A copy on another runner ends first and the slow run is
/// stopped. A step that does not allow copies gets none.
#[test]
fn stragglers_get_a_copy_if_the_step_allows_it() {
    for allowed in [true, false] {
        let mut world = World::new(9, 4, FaultProfile::NO_FAULTS);
        world.set_fault(0, RunnerFault::Slow);
        world.run_for(SECOND);
        let (mut spec, behaviors) = job(vec![step(16, 4, 1_000)]);
        spec.steps[0].speculative = allowed;
        world.submit(JobId(1), spec, behaviors);
        world.run_for(Duration::from_millis(3_800));
        let done = world.state(JobId(1)) == Some(JobState::Completed);
        assert_eq!(done, allowed, "copies allowed: {allowed}");
        world.run_for(SECOND * 3);
        assert!(world.running_on(0).is_empty(), "the slow runs have ended");
        world.assert_no_violations();
    }
}

/// The running tasks of a cancelled job end within seconds, and none starts again.
#[test]
fn tasks_of_a_cancelled_job_stop() {
    let mut world = World::new(6, 2, FaultProfile::NO_FAULTS);
    let (mut spec, behaviors) = job(vec![step(4, 4, 60_000)]);
    spec.steps[0].long_running = true;
    let behaviors =
        behaviors.into_iter().map(|t| TaskBehavior { long_running: true, ..t }).collect();
    world.submit(JobId(1), spec, behaviors);
    world.run_for(SECOND * 2);
    world.cancel(JobId(1));
    world.run_for(SECOND * 3);
    world.check_cancelled(SECOND * 2);
    assert_eq!(world.state(JobId(1)), Some(JobState::Cancelled));
    world.assert_no_violations();
}

/// A draining runner gets no new tasks, and its long-running tasks move to other runners before
/// it is gone.
#[test]
fn long_running_tasks_leave_a_draining_runner() {
    let mut world = World::new(7, 2, FaultProfile::NO_FAULTS);
    let (mut spec, behaviors) = job(vec![step(2, 4, 60_000)]);
    spec.steps[0].long_running = true;
    let behaviors =
        behaviors.into_iter().map(|t| TaskBehavior { long_running: true, ..t }).collect();
    world.submit(JobId(1), spec, behaviors);
    world.run_for(SECOND * 2);
    let from = usize::from(world.running_on(0).is_empty());
    world.drain(from);
    world.run_for(SECOND * 3);
    assert!(world.running_on(from).is_empty());
    assert_eq!(world.running_on(1 - from).len(), 2);
    world.assert_no_violations();
}

/// Short tasks that arrive all the time used to fill every gap before it was large enough for a
/// long-running task that needs most of a runner, so that the task never started again.
#[test]
fn short_tasks_do_not_starve_a_large_long_running_task() {
    let mut world = World::new(11, 1, FaultProfile::NO_FAULTS);
    let submit_short = |world: &mut World, id: u64| {
        let (spec, behaviors) = job(vec![step(1, 5, 600)]);
        world.submit(JobId(id), spec, behaviors);
    };
    for id in 100..110 {
        submit_short(&mut world, id);
        world.run_for(Duration::from_millis(150));
    }
    let (mut spec, behaviors) = job(vec![step(1, 12, 60_000)]);
    spec.steps[0].long_running = true;
    let behaviors =
        behaviors.into_iter().map(|t| TaskBehavior { long_running: true, ..t }).collect();
    world.submit(JobId(1), spec, behaviors);
    for id in 110..140 {
        submit_short(&mut world, id);
        world.run_for(Duration::from_millis(150));
    }
    assert_eq!(world.starts_of(key(1, 0, 0)), 1);
    world.assert_no_violations();
}

/// A job is cancelled while the order to start its task is delayed. If the runner's next report
/// without that task freed the capacity, another task would take it, and the late order would
/// overcommit the runner. The capacity stays reserved for as long as an order may still arrive.
#[test]
fn capacity_stays_reserved_for_a_late_order_of_a_cancelled_job() {
    for seed in [197, 196, 198] {
        let violations = run_history(seed);
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}

/// The tasks of a gang only work together. When no runner has capacity for all of them, they
/// start on several runners within the same second under one run number, or not at all.
#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut world = World::new(10, 3, FaultProfile::NO_FAULTS);
    let (mut spec, behaviors) = job(vec![step(9, 5, 2_000)]);
    spec.steps[0].gang = true;
    world.submit(JobId(1), spec, behaviors);
    world.run_for(SECOND * 2);
    let running: usize = (0..3).map(|at| world.running_on(at).len()).sum();
    assert_eq!(running, 9);
    let (mut spec, behaviors) = job(vec![step(10, 5, 500)]);
    spec.steps[0].gang = true;
    world.submit(JobId(2), spec, behaviors);
    world.run_for(SECOND * 6);
    assert_eq!(world.starts_of(key(2, 0, 0)), 0, "the free capacity is enough for nine at most");
    assert_eq!(world.state(JobId(1)), Some(JobState::Completed));
    world.assert_no_violations();
}

/// Messages are lost, delayed and duplicated, leaders change with commands in flight, runners
/// crash, fail tasks and stall, and jobs are cancelled. In no order of events may a task run
/// twice, start too early or too often, or be forgotten.
#[test]
fn random_histories_violate_no_invariant() {
    for seed in 0..HISTORIES {
        let violations = run_history(seed);
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}

/// Guards against schedules and hopeless jobs that keep others waiting, or that are served early,
/// twice or not at all, in any order of events.
#[test]
fn random_histories_with_schedules_violate_no_invariant() {
    for seed in 0..HISTORIES_WITH_SCHEDULES {
        let violations = run_history_with_schedules(seed);
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}

/// Histories with schedules in each test run.
const HISTORIES_WITH_SCHEDULES: u64 = 100;
/// Jobs that no runner is large enough for: one with a schedule, one without.
const HOPELESS: [JobId; 2] = [JobId(1), JobId(2)];

fn run_history_with_schedules(seed: u64) -> Vec<String> {
    /// Steps that the leader may look at in each of its ticks, in the mean.
    const STEPS_PER_TICK_MAX: u64 = 200;
    let mut world = World::new(seed, RUNNERS, FaultProfile::HARSH);
    let now_ms = world.unix_ms();
    let past = |count, interval_ms: u64| Schedule {
        first_ms: now_ms - u64::from(count) * interval_ms,
        interval_ms,
        count,
    };
    let (mut spec, behaviors) = job(vec![step(1, 48, 800)]);
    world.submit(HOPELESS[1], spec.clone(), behaviors.clone());
    spec.schedule = Some(past(1_000_000, 60_000));
    world.submit(HOPELESS[0], spec, behaviors);
    for id in 3..=JOBS {
        let (mut spec, behaviors) = random_job(&mut world);
        let future = Schedule { first_ms: world.unix_ms() + 2_000, interval_ms: 400, count: 5 };
        spec.schedule = match id % 8 {
            3 => Some(past(8, 1_000)),
            4 => Some(future),
            _ => None,
        };
        if spec.schedule.is_some() {
            spec.steps.iter_mut().for_each(|step| step.gang = false);
        }
        world.submit(JobId(id), spec, behaviors);
        let pause = 100 + world.random_below(1_200);
        world.run_for(Duration::from_millis(pause));
    }
    world.stop_faults();
    world.run_for(SECOND * 60);
    let mut violations = Vec::new();
    if world.active_jobs() != HOPELESS.len() {
        violations.push(format!("{} jobs are active", world.active_jobs()));
    }
    let leader = world.leader.as_ref().expect("a leader");
    let (looked_at, before) = (leader.counts().steps_examined, world.now);
    world.run_for(SECOND);
    let leader = world.leader.as_ref().expect("a leader");
    let ticks = world.now.since(before).div_duration_f64(world::TIME_STEP) as u64;
    let looked_at = leader.counts().steps_examined - looked_at;
    if looked_at > ticks * STEPS_PER_TICK_MAX {
        violations.push(format!("{looked_at} steps looked at in {ticks} ticks"));
    }
    HOPELESS.into_iter().for_each(|id| world.cancel(id));
    world.run_for(SECOND);
    violations.extend(world.final_violations(JOBS));
    violations.extend(ends_left_after_work(&mut world));
    violations
}

/// Histories in each test run.
const HISTORIES: u64 = 300;
const JOBS: u64 = 25;
const RUNNERS: usize = 6;

fn run_history(seed: u64) -> Vec<String> {
    let mut world = World::new(seed, RUNNERS, FaultProfile::HARSH);
    for id in 1..=JOBS {
        let (spec, behaviors) = random_job(&mut world);
        world.submit(JobId(id), spec, behaviors);
        let pause = 100 + world.random_below(1_200);
        world.run_for(Duration::from_millis(pause));
        if world.random_below(8) == 0 {
            let other = JobId(1 + world.random_below(id));
            world.cancel(other);
        }
    }
    world.stop_faults();
    world.run_for(SECOND * 40);
    let mut violations = world.final_violations(JOBS);
    violations.extend(ends_left_after_work(&mut world));
    violations
}

/// Gives each runner one more task. Every end must be acknowledged soon after.
fn ends_left_after_work(world: &mut World) -> Option<String> {
    let count = u32::try_from(RUNNERS).unwrap_or(1);
    let (mut spec, behaviors) = job(vec![step(count, 9, 500)]);
    spec.steps[0].per_runner_max = 1;
    world.submit(JobId(JOBS + 1), spec, behaviors);
    world.run_for(SECOND * 5);
    let left = world.unacknowledged_ends();
    (left > 0).then(|| format!("{left} ends are never acknowledged"))
}

fn random_job(world: &mut World) -> (JobSpec, Vec<TaskBehavior>) {
    let mut steps = Vec::new();
    for at in 0..1 + world.random_below(3) {
        let (count, cores) = (1 + world.random_below(6), 1 + world.random_below(5));
        let work = 100 + world.random_below(2_500);
        let (mut spec, mut behavior) = step(u32::try_from(count).unwrap_or(1), cores, work);
        if at > 0 && world.random_below(2) == 0 {
            spec.depends_on = vec![u16::try_from(at - 1).unwrap_or(0)];
        }
        spec.checkpointing = world.random_below(2) == 0;
        spec.gang = world.random_below(6) == 0;
        spec.per_runner_max = if world.random_below(4) == 0 { 2 } else { 0 };
        // Derived from a number drawn before, so that the histories of the seeds stay the same.
        spec.speculative = work.is_multiple_of(3) && !spec.gang;
        let fits_one = !spec.gang || (count * cores <= 16 && spec.per_runner_max == 0);
        spec.required_label = match work % 10 {
            7 | 8 if fits_one => Some(format!("w{}", work as usize % RUNNERS).into()),
            _ => None,
        };
        behavior.fails = world.random_below(20) == 0;
        steps.push((spec, behavior));
    }
    job(steps)
}
