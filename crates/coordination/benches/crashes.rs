//! Measures the cost of tasks that crash their runners: runners down and jobs completed in each
//! second, while runners also crash by themselves.
//!
//! `cargo bench -p yuccalink-coordination --bench crashes -- [--runners N] [--guilty N]
//! [--seconds N] [--seed N] [--together] [--alone on|off] [--one-in N] [--series]`

#[path = "../tests/cell/world.rs"]
#[allow(dead_code)]
mod world;

use std::time::Duration;
use world::{FaultProfile, World, step};
use yuccalink_coordination::jobs::JobState;
use yuccalink_coordination::jobs::policy::{Policy, Switch};
use yuccalink_fakes::emulator::Crash;
use yuccalink_state::jobs::{JobId, JobSpec, TaskKey};

const SECOND: Duration = Duration::from_secs(1);
const CRASH: Crash = Crash::each(Duration::from_millis(10));
/// Second at which the crashing tasks are submitted.
const CRASHING_TASKS_AT_S: u64 = 5;
/// One runner in this many crashes by itself each second.
const RANDOM_CRASH_ONE_IN: u64 = 350;
/// Jobs per second and runner, which keep about half of the pool busy.
const JOBS_PER_RUNNER_S: f64 = 0.5;
const FIRST_CRASHING_JOB: u64 = 1_000_000;

struct Options {
    runners: usize,
    guilty: u64,
    seconds: u64,
    /// Puts all crashing tasks into one step of one job.
    together: bool,
    alone: Switch,
    one_in: usize,
    seed: u64,
    series: bool,
}

fn main() {
    let options = options(std::env::args().skip(1).filter(|arg| arg != "--bench"));
    let mut policy = Policy::default();
    policy.suspects.mode = options.alone;
    policy.suspects.one_in = options.one_in;
    let mut world =
        World::with_policy(options.seed, options.runners, FaultProfile::NO_FAULTS, policy);
    let (mut submitted, mut jobs_due, mut worst_down, mut all_failed_at) = (0_u64, 0.0, 0, None);
    for second in 0..options.seconds {
        if second == CRASHING_TASKS_AT_S {
            submit_crashing(&mut world, &options);
        }
        for _ in 0..10 {
            jobs_due += JOBS_PER_RUNNER_S * options.runners as f64 / 10.0;
            while jobs_due >= 1.0 {
                jobs_due -= 1.0;
                submitted += 1;
                let (spec, behavior) = step(6, 3, 900);
                world.submit(JobId(submitted), job(spec), vec![behavior]);
            }
            world.run_for(SECOND / 10);
            crash_at_random(&mut world, options.runners);
        }
        let down = world.runners_down();
        worst_down = worst_down.max(down);
        if all_failed_at.is_none()
            && second > CRASHING_TASKS_AT_S
            && active_crashing_jobs(&mut world, &options) == 0
        {
            all_failed_at = Some(second - CRASHING_TASKS_AT_S);
        }
        if options.series {
            println!("{second},{down},{}", world.completed_jobs());
        }
    }
    let done = world.completed_jobs();
    world.run_for(SECOND * 20);
    let lost = (1..=submitted).filter(|id| world.state(JobId(*id)) == Some(JobState::Failed));
    let lost = lost.count();
    let crashing_jobs = if options.together { 1 } else { options.guilty };
    let given_up = crashing_jobs - active_crashing_jobs(&mut world, &options);
    let crashes: usize = crashing_tasks(&options).map(|task| world.crashes_of(task)).sum();
    println!(
        "runners={} guilty={} jobs={submitted} done={done} given-up={given_up} of {crashing_jobs} \
         last-after={all_failed_at:?} s crashes={crashes} worst-down={worst_down} sound-jobs-lost={lost} \
         runs-lost={}",
        options.runners,
        options.guilty,
        world.runs_lost()
    );
}

fn job(step: yuccalink_state::jobs::StepSpec) -> JobSpec {
    JobSpec { payload: "work".into(), steps: vec![step], schedule: None }
}

fn submit_crashing(world: &mut World, options: &Options) {
    let (count, jobs) = match options.together {
        true => (u32::try_from(options.guilty).unwrap_or(1), 1),
        false => (1, options.guilty),
    };
    for at in 0..jobs {
        let (spec, mut behavior) = step(count, 3, 900);
        behavior.crash = Some(CRASH);
        world.submit(JobId(FIRST_CRASHING_JOB + at), job(spec), vec![behavior]);
    }
}

fn crashing_tasks(options: &Options) -> impl Iterator<Item = TaskKey> {
    let together = options.together;
    (0..options.guilty).map(move |at| {
        let index = u16::try_from(at).unwrap_or(0);
        let (job, index) = if together { (0, index) } else { (at, 0) };
        TaskKey { job: JobId(FIRST_CRASHING_JOB + job), occurrence: 0, step: 0, index }
    })
}

fn active_crashing_jobs(world: &mut World, options: &Options) -> u64 {
    let jobs = if options.together { 1 } else { options.guilty };
    (0..jobs)
        .filter(|at| world.state(JobId(FIRST_CRASHING_JOB + at)) != Some(JobState::Failed))
        .count() as u64
}

/// Crashes runners at random; called ten times a second.
fn crash_at_random(world: &mut World, runners: usize) {
    for at in 0..runners {
        if world.random_below(RANDOM_CRASH_ONE_IN * 10) == 0 {
            let away = 1_000 + world.random_below(5_000);
            world.crash(at, Duration::from_millis(away));
        }
    }
}

fn options<I>(mut args: I) -> Options
where
    I: Iterator<Item = String>,
{
    let mut options = Options {
        runners: 350,
        guilty: 12,
        seconds: 60,
        together: false,
        alone: Switch::On,
        one_in: Policy::default().suspects.one_in,
        seed: 7,
        series: false,
    };
    let number = |args: &mut I| args.next().and_then(|text| text.parse().ok()).expect("a number");
    while let Some(arg) = args.next() {
        match arg.as_str() {
            "--runners" => options.runners = number(&mut args) as usize,
            "--guilty" => options.guilty = number(&mut args),
            "--seconds" => options.seconds = number(&mut args),
            "--one-in" => options.one_in = number(&mut args) as usize,
            "--seed" => options.seed = number(&mut args),
            "--together" => options.together = true,
            "--alone" if args.next().as_deref() == Some("off") => options.alone = Switch::Off,
            "--alone" => options.alone = Switch::On,
            "--series" => options.series = true,
            other => panic!("{other} is not known"),
        }
    }
    options
}
