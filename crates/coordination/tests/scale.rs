//! Tests how the work of the leader grows with the pool, by counting scanned runners instead of
//! measuring time.
//!
//! The load: a pool in which nothing fits any more, while a hundred jobs wait.

#[path = "cell/world.rs"]
#[allow(dead_code)]
mod world;

#[path = "cell/desk.rs"]
#[allow(dead_code)]
mod desk;

use desk::Desk;
use std::time::Duration;
use yuccalink_fakes::emulator::TaskBehavior;
use yuccalink_state::Resources;
use yuccalink_state::jobs::{JobId, StepSpec};

const POOL: usize = 60;
const JOBS: u64 = 100;
/// Number of times that the leader examines the waiting jobs.
const LOOKS: u64 = 4;
const SECOND: Duration = Duration::from_secs(1);

fn work(cores: u64) -> StepSpec {
    let need = Resources { millicores: cores * 1_000, memory_mib: 1_000, accelerators: 0 };
    StepSpec { count: 1, need, estimate_ms: 600_000, ..StepSpec::default() }
}

/// A pool in which no waiting job finds capacity, after the leader has examined all of them.
fn full_pool(runners: usize, waiting: &StepSpec) -> Desk {
    let behavior = TaskBehavior {
        run_time: SECOND * 600,
        actual_usage: work(12).need,
        ..TaskBehavior::default()
    };
    let mut desk = Desk::new(runners, None, behavior);
    desk.round();
    desk.submit_as(JobId(1), vec![StepSpec { count: runners as u32, ..work(12) }]);
    desk.round();
    for id in 0..JOBS {
        desk.submit_as(JobId(100 + id), vec![waiting.clone()]);
    }
    for _ in 0..4 {
        desk.round();
        desk.pass(Duration::from_millis(300));
    }
    desk
}

/// Runners scanned in one second of reports, beyond those that report.
fn runners_scanned(runners: usize, waiting: &StepSpec) -> u64 {
    let mut desk = full_pool(runners, waiting);
    let before = desk.leader.counts().runners_scanned;
    for _ in 0..LOOKS {
        desk.round();
        desk.pass(Duration::from_millis(250));
    }
    desk.leader.counts().runners_scanned - before
}

/// A leader with thousands of runners must not spend its CPU on finding out why jobs wait.
#[test]
fn why_jobs_wait_costs_no_more_in_a_larger_pool() {
    let too_large = work(8);
    let nobody_may = StepSpec { required_label: Some("none-has-it".into()), ..work(1) };
    for waiting in [too_large, nobody_may] {
        let (small, large) = (runners_scanned(POOL, &waiting), runners_scanned(POOL * 4, &waiting));
        let once_a_look = LOOKS * 3 * POOL as u64;
        assert!(
            large <= small + once_a_look,
            "{small} runners scanned in a pool of {POOL}, {large} in one of four times the size"
        );
    }
}
