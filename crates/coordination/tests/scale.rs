//! Tests how the work of the leader grows with the pool, by counting scanned runners instead of
//! measuring time.
//!
//! The load: a pool in which nothing fits any more, while a hundred jobs wait.

#[path = "cell/world.rs"]
#[allow(dead_code)]
mod world;

#[path = "cell/harness.rs"]
#[allow(dead_code)]
mod harness;

use harness::LeaderHarness;
use std::time::Duration;
use yuccalink_fakes::emulator::TaskBehavior;
use yuccalink_state::Resources;
use yuccalink_state::jobs::{JobId, StepSpec};

const POOL_RUNNERS: usize = 60;
const JOBS: u64 = 100;
/// Number of times that the leader examines the waiting jobs.
const SCAN_ROUNDS: u64 = 4;
const SECOND: Duration = Duration::from_secs(1);

fn step_spec(cores: u64) -> StepSpec {
    let need = Resources { millicores: cores * 1_000, memory_mib: 1_000, accelerators: 0 };
    StepSpec { count: 1, need, estimate_ms: 600_000, ..StepSpec::default() }
}

/// A pool in which no waiting job finds capacity, after the leader has examined all of them.
fn full_pool(runners: usize, waiting: &StepSpec) -> LeaderHarness {
    let behavior = TaskBehavior {
        run_time: SECOND * 600,
        actual_usage: step_spec(12).need,
        ..TaskBehavior::default()
    };
    let mut harness = LeaderHarness::new(runners, None, behavior);
    harness.report_round();
    harness.submit_job(JobId(1), vec![StepSpec { count: runners as u32, ..step_spec(12) }]);
    harness.report_round();
    for id in 0..JOBS {
        harness.submit_job(JobId(100 + id), vec![waiting.clone()]);
    }
    for _ in 0..4 {
        harness.report_round();
        harness.advance(Duration::from_millis(300));
    }
    harness
}

/// Runners scanned in one second of reports, beyond those that report.
fn runners_scanned(runners: usize, waiting: &StepSpec) -> u64 {
    let mut harness = full_pool(runners, waiting);
    let before = harness.leader.counts().runners_scanned;
    for _ in 0..SCAN_ROUNDS {
        harness.report_round();
        harness.advance(Duration::from_millis(250));
    }
    harness.leader.counts().runners_scanned - before
}

/// A leader with thousands of runners must not spend its CPU on finding out why jobs wait.
#[test]
fn finding_why_jobs_wait_costs_no_more_in_a_larger_pool() {
    let too_large = step_spec(8);
    let nobody_may = StepSpec { required_label: Some("none-has-it".into()), ..step_spec(1) };
    for waiting in [too_large, nobody_may] {
        let (small, large) =
            (runners_scanned(POOL_RUNNERS, &waiting), runners_scanned(POOL_RUNNERS * 4, &waiting));
        let one_scan_per_round = SCAN_ROUNDS * 3 * POOL_RUNNERS as u64;
        assert!(
            large <= small + one_scan_per_round,
            "{small} runners scanned in a pool of {POOL_RUNNERS}, {large} in one of four times the size"
        );
    }
}

/// Runners scanned in one round of reports while serving tasks wait for a runner of their image.
/// Half of the runners serve it and have too little left.
fn runners_scanned_for_image(runners: usize) -> u64 {
    let serving = |count, cores| StepSpec {
        count,
        long_running: true,
        image: Some("served".into()),
        tail_bound_ms: 20,
        per_runner_max: 1,
        ..step_spec(cores)
    };
    let behavior = TaskBehavior { long_running: true, ..TaskBehavior::default() };
    let mut harness = LeaderHarness::new(runners, None, behavior);
    harness.report_round();
    harness.submit_job(JobId(1), vec![serving(runners as u32 / 2, 14)]);
    for _ in 0..8 {
        harness.report_round();
        harness.advance(Duration::from_millis(300));
    }
    for id in 0..JOBS {
        harness.submit_job(JobId(100 + id), vec![serving(1, 4)]);
    }
    let before = harness.leader.counts().runners_scanned;
    harness.report_round();
    harness.leader.counts().runners_scanned - before
}

/// Guards against a leader that scans all runners for each serving task in each report.
#[test]
fn waiting_serving_tasks_scan_no_runner_without_enough_cpu() {
    for runners in [POOL_RUNNERS, POOL_RUNNERS * 4] {
        let scanned = runners_scanned_for_image(runners);
        let once_per_report = runners as u64;
        assert!(scanned <= once_per_report, "{scanned} runners scanned in {runners} reports");
    }
}
