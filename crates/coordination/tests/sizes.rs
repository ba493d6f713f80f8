//! Tests the order of jobs by size when the pool has less capacity than they need.
//!
//! The load: jobs of one queue arrive faster than the pool completes them, and one in ten of
//! them is six times as large as the others.

#[path = "cell/world.rs"]
#[allow(dead_code)]
mod world;

use std::time::Duration;
use world::{FaultProfile, World, step};
use yuccalink_coordination::Moment;
use yuccalink_coordination::jobs::JobState;
use yuccalink_state::jobs::{JobId, JobSpec};

const RUNNERS: usize = 8;
const JOBS: u64 = 800;
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(50);
const WORK_MS: u64 = 1_000;
/// Three times the objective of one step of that run time: a job that ends later is useless.
const USEFUL_FOR: Duration = Duration::from_secs(9);

#[derive(Default)]
struct ServedShare {
    total: u32,
    served: u32,
}

impl ServedShare {
    fn add(&mut self, served: bool) {
        self.total += 1;
        self.served += u32::from(served);
    }

    fn share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.total)
    }
}

fn is_large(id: u64) -> bool {
    id.is_multiple_of(10)
}

fn submit(world: &mut World, id: u64) {
    let (count, cores) = match is_large(id) {
        true => (8, 4),
        false => (1 + world.random_below(3) as u32, 2 + world.random_below(2)),
    };
    let (step, behavior) = step(count, cores, WORK_MS);
    let spec = JobSpec { payload: "work".into(), steps: vec![step], schedule: None };
    world.submit(JobId(id), spec, vec![behavior]);
}

/// Shares of all jobs and of the large jobs that end while they are useful.
fn served_shares(seed: u64) -> (f64, f64) {
    let mut world = World::new(seed, RUNNERS, FaultProfile::NO_FAULTS);
    let mut waiting: Vec<(u64, Moment)> = Vec::new();
    let (mut all, mut large) = (ServedShare::default(), ServedShare::default());
    for id in 1..=JOBS {
        submit(&mut world, id);
        waiting.push((id, world.now));
        world.run_for(ARRIVAL_INTERVAL);
        let now = world.now;
        for (id, _) in waiting.extract_if(.., |(_, at)| now.since(*at) >= USEFUL_FOR) {
            let served = world.state(JobId(id)) == Some(JobState::Completed);
            all.add(served);
            if is_large(id) {
                large.add(served);
            }
        }
    }
    (all.share(), large.share())
}

/// In a full pool, the largest jobs of a queue were served a quarter as often as the others.
#[test]
fn the_largest_jobs_are_served_at_least_half_as_often_as_all() {
    for seed in 1..=4 {
        let (all, large) = served_shares(seed);
        assert!(
            all > 0.5,
            "seed {seed}: the capacity is enough for most jobs, but {all:.2} were served"
        );
        assert!(large >= all / 2.0, "seed {seed}: {large:.2} of the largest, {all:.2} of all");
    }
}
