//! Measures the cost of tasks that crash their runners: runners down and jobs completed in each
//! second, while runners also crash by themselves.
//!
//! `cargo bench -p yuccalink-coordination --bench crashes -- [--runners N] [--guilty N]
//! [--seconds N] [--seed N] [--together] [--alone on|off] [--one-in N] [--series]`

#[path = "../tests/cell/world.rs"]
#[allow(dead_code)]
mod world;

use std::time::Duration;
use world::{Rough, World, step};
use yuccalink_coordination::jobs::JobState;
use yuccalink_coordination::jobs::policy::{Policy, Switch};
use yuccalink_fakes::emulator::Crash;
use yuccalink_state::jobs::{JobId, JobSpec, TaskKey};

const SECOND: Duration = Duration::from_secs(1);
const CRASH: Crash = Crash::each(Duration::from_millis(10));
/// Second at which the crashing tasks are submitted.
const GUILTY_AT: u64 = 5;
/// One runner in this many crashes by itself each second.
const CRASH_ONE_IN: u64 = 350;
/// Jobs per second and runner, which keep about half of the pool busy.
const JOBS_A_RUNNER: f64 = 0.5;
const FIRST_GUILTY: u64 = 1_000_000;

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
    let mut world = World::with_policy(options.seed, options.runners, Rough::CALM, policy);
    let (mut submitted, mut owed, mut worst_down, mut over_at) = (0_u64, 0.0, 0, None);
    for second in 0..options.seconds {
        if second == GUILTY_AT {
            submit_guilty(&mut world, &options);
        }
        for _ in 0..10 {
            owed += JOBS_A_RUNNER * options.runners as f64 / 10.0;
            while owed >= 1.0 {
                owed -= 1.0;
                submitted += 1;
                let (spec, behavior) = step(6, 3, 900);
                world.submit(JobId(submitted), job(spec), vec![behavior]);
            }
            world.run_for(SECOND / 10);
            crash_by_chance(&mut world, options.runners);
        }
        let down = world.runners_down();
        worst_down = worst_down.max(down);
        if over_at.is_none() && second > GUILTY_AT && open_guilty(&mut world, &options) == 0 {
            over_at = Some(second - GUILTY_AT);
        }
        if options.series {
            println!("{second},{down},{}", world.completed_jobs());
        }
    }
    let done = world.completed_jobs();
    world.run_for(SECOND * 20);
    let lost = (1..=submitted).filter(|id| world.state(JobId(*id)) == Some(JobState::Failed));
    let lost = lost.count();
    let guilty_jobs = if options.together { 1 } else { options.guilty };
    let given_up = guilty_jobs - open_guilty(&mut world, &options);
    let crashes: usize = guilty_tasks(&options).map(|task| world.crashes_of(task)).sum();
    println!(
        "runners={} guilty={} jobs={submitted} done={done} given-up={given_up} of {guilty_jobs} \
         last-after={over_at:?} s crashes={crashes} worst-down={worst_down} sound-jobs-lost={lost} \
         runs-lost={}",
        options.runners,
        options.guilty,
        world.runs_lost()
    );
}

fn job(step: yuccalink_state::jobs::StepSpec) -> JobSpec {
    JobSpec { payload: "work".into(), steps: vec![step], schedule: None }
}

fn submit_guilty(world: &mut World, options: &Options) {
    let (count, jobs) = match options.together {
        true => (u32::try_from(options.guilty).unwrap_or(1), 1),
        false => (1, options.guilty),
    };
    for at in 0..jobs {
        let (spec, mut behavior) = step(count, 3, 900);
        behavior.crash = Some(CRASH);
        world.submit(JobId(FIRST_GUILTY + at), job(spec), vec![behavior]);
    }
}

fn guilty_tasks(options: &Options) -> impl Iterator<Item = TaskKey> {
    let together = options.together;
    (0..options.guilty).map(move |at| {
        let index = u16::try_from(at).unwrap_or(0);
        let (job, index) = if together { (0, index) } else { (at, 0) };
        TaskKey { job: JobId(FIRST_GUILTY + job), occurrence: 0, step: 0, index }
    })
}

fn open_guilty(world: &mut World, options: &Options) -> u64 {
    let jobs = if options.together { 1 } else { options.guilty };
    (0..jobs).filter(|at| world.state(JobId(FIRST_GUILTY + at)) != Some(JobState::Failed)).count()
        as u64
}

/// Crashes runners at random; called ten times a second.
fn crash_by_chance(world: &mut World, runners: usize) {
    for at in 0..runners {
        if world.draw(CRASH_ONE_IN * 10) == 0 {
            let away = 1_000 + world.draw(5_000);
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
