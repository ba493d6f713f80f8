//! Measures the cost of a heartbeat and of a start for the leader of a job cell, as the pool
//! grows.
//!
//! `cargo bench -p yuccalink-coordination --bench leader`

use std::sync::Arc;
use std::time::{Duration, Instant};
use yuccalink_coordination::Moment;
use yuccalink_coordination::jobs::messages::QueueAddress;
use yuccalink_coordination::jobs::{
    CellRequest, CellResponse, Leader, LeaderConfig, Now, RequestToken,
};
use yuccalink_fakes::emulator::{EmulatedRunner, TaskBehavior};
use yuccalink_state::Resources;
use yuccalink_state::jobs::{
    CellState, ChangeSet, JobCommand, JobId, JobSpec, Pool, Queue, StepSpec,
};

/// Simulated time.
const SIMULATED_TIME: Duration = Duration::from_secs(20);
/// The tick interval of the daemon.
const TICK: Duration = Duration::from_millis(25);
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const RUN_TIME: Duration = Duration::from_millis(2_000);
const CAPACITY: Resources = Resources { millicores: 32_000, memory_mib: 125_000, accelerators: 0 };
const NEED: Resources = Resources { millicores: 3_000, memory_mib: 6_000, accelerators: 0 };
/// Tasks per job, and jobs per second and runner: more than the pool can run, so that steps
/// wait.
const TASKS_PER_JOB: u32 = 8;
const JOBS_PER_RUNNER_S: f64 = 0.75;

#[derive(Default)]
struct LeaderCost {
    heartbeats: u32,
    starts: usize,
    time: Duration,
}

struct CellSimulation {
    now: Moment,
    leader: Leader,
    index: u64,
    last_token: u64,
    runners: Vec<EmulatedRunner>,
    cost: LeaderCost,
}

fn change_set() -> ChangeSet {
    let queue = Queue {
        name: "q".into(),
        host: "h".into(),
        prefix: "/q/".into(),
        pool: "pool".into(),
        timeout_ms: 3_000,
        objective_ms: 1_000,
        slack: 2.0,
        attempts: 2,
        ..Queue::default()
    };
    let pool = Pool { name: "pool".into(), ..Pool::default() };
    ChangeSet { version: 1, queues: vec![queue], pools: vec![pool], ..ChangeSet::default() }
}

impl CellSimulation {
    fn new(runners: usize) -> Self {
        let mut state = CellState::new();
        state.apply(JobCommand::Change(Box::new(change_set())));
        let now = Moment::from_millis(1_000);
        let leader = Leader::new(LeaderConfig::default(), 1, state, at(now));
        let runner = |number: usize| {
            let rack = format!("r{}", number / 8);
            EmulatedRunner::new(&format!("w{number}"), &rack, 5, CAPACITY, now)
        };
        let runners = (0..runners).map(runner).collect();
        Self { now, leader, index: 0, last_token: 0, runners, cost: LeaderCost::default() }
    }

    /// Sends a request to the leader and adds the time that the leader takes for it.
    fn request(&mut self, request: CellRequest) -> Vec<CellResponse> {
        self.last_token += 1;
        let started = Instant::now();
        self.leader.handle_request(at(self.now), RequestToken(self.last_token), request);
        loop {
            let commands = self.leader.next_batch(512);
            if commands.is_empty() {
                break;
            }
            self.leader.batch_appended(self.index + 1);
            for command in commands {
                self.index += 1;
                self.leader.apply_committed(at(self.now), self.index, command);
            }
        }
        let responses = self.leader.take_answers();
        self.cost.time += started.elapsed();
        responses.into_iter().map(|(_, response)| response).collect()
    }

    fn submit(&mut self, number: u64) {
        let step = StepSpec {
            count: TASKS_PER_JOB,
            need: NEED,
            estimate_ms: u64::try_from(RUN_TIME.as_millis()).unwrap_or(0),
            ..StepSpec::default()
        };
        let spec = Arc::new(JobSpec { payload: "p".into(), steps: vec![step], schedule: None });
        let at = QueueAddress { host: "h".into(), path: "/q/".into() };
        self.request(CellRequest::Submit { at, id: JobId(number), spec });
    }

    fn report(&mut self, number: usize) {
        let now = self.now;
        self.runners[number].advance(now);
        let report = Box::new(self.runners[number].report(now));
        let behavior =
            TaskBehavior { run_time: RUN_TIME, actual_usage: NEED, ..TaskBehavior::default() };
        for response in self.request(CellRequest::Heartbeat(report)) {
            let CellResponse::Orders(orders) = response else { continue };
            self.cost.heartbeats += 1;
            self.cost.starts += orders.start.len();
            self.runners[number].apply_orders(now, now, &orders, |_| Some(behavior));
        }
    }

    fn simulate(mut self) -> LeaderCost {
        let count = self.runners.len();
        let report_gap = REPORT_INTERVAL / u32::try_from(count).unwrap_or(1);
        let until = self.now + SIMULATED_TIME;
        let (mut next_runner, mut submitted, mut jobs_due) = (0, 0_u64, 0.0);
        let mut last_tick = self.now;
        while self.now < until {
            self.now = self.now + report_gap;
            jobs_due += report_gap.as_secs_f64() * count as f64 * JOBS_PER_RUNNER_S;
            while jobs_due >= 1.0 {
                jobs_due -= 1.0;
                submitted += 1;
                self.submit(submitted);
            }
            self.report(next_runner % count);
            next_runner += 1;
            if self.now.since(last_tick) >= TICK {
                last_tick = self.now;
                let started = Instant::now();
                self.leader.tick(at(self.now));
                self.cost.time += started.elapsed();
            }
        }
        self.cost
    }
}

fn at(now: Moment) -> Now {
    Now { at: now, unix_ms: 1_800_000_000_000 + now.0 / 1_000 }
}

fn main() {
    println!("runners  heartbeats/s  starts/s  us a heartbeat  of a core at that rate");
    for runners in [48, 350, 1_000, 3_000] {
        let cost = CellSimulation::new(runners).simulate();
        let seconds = SIMULATED_TIME.as_secs_f64();
        println!(
            "{runners:7}  {:12.0}  {:8.0}  {:14.1}  {:22.3}",
            f64::from(cost.heartbeats) / seconds,
            cost.starts as f64 / seconds,
            cost.time.as_secs_f64() * 1e6 / f64::from(cost.heartbeats.max(1)),
            cost.time.as_secs_f64() / seconds
        );
    }
}
