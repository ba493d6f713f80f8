//! Tests of maintenance waves while calls to the platform are lost, late, repeated or refused.

#[path = "cell/harness.rs"]
#[allow(dead_code)]
mod harness;
#[path = "cell/world.rs"]
#[allow(dead_code)]
mod world;

use harness::LeaderHarness;
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use world::{CAPACITY, queue_address, step};
use yuccalink_coordination::Moment;
use yuccalink_coordination::jobs::external::{
    ExternalCall, ExternalCallId, ExternalReply, Machine, MachineState,
};
use yuccalink_coordination::jobs::{CellRequest, CellResponse, HeardKnowledge};
use yuccalink_fakes::emulator::{EmulatedRunner, TaskBehavior};
use yuccalink_state::jobs::{JobId, JobSpec, StepSpec, Wave};

const TICK: Duration = Duration::from_millis(100);
const SECOND: Duration = Duration::from_secs(1);
const MAINTENANCE: Duration = Duration::from_secs(2);
/// Time after which a call without an answer is given up.
const NO_ANSWER_AFTER: Duration = Duration::from_millis(2_200);
const MACHINES: usize = 3;
const SEEDS: u64 = 60;
/// Longest wave once calls are answered again.
const WAVE_MAX: Duration = Duration::from_secs(60);

/// What becomes of an order for maintenance.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Answered,
    LostRequest,
    LostAnswer,
    LateAnswer,
    Refused,
    TooMany,
}

const FATES: [Fate; 6] = [
    Fate::Answered,
    Fate::LostRequest,
    Fate::LostAnswer,
    Fate::LateAnswer,
    Fate::Refused,
    Fate::TooMany,
];

/// A machine with the position of its runner in the harness.
#[derive(Debug, Default)]
struct Hardware {
    boots: u32,
    back_at: Option<Moment>,
    /// Wave of the maintenance that began last.
    last_wave: u64,
    maintained_for: BTreeSet<u64>,
}

/// The platform, its machines and the runners on them.
struct Platform {
    harness: LeaderHarness,
    machines: Vec<Hardware>,
    replies: Vec<(Moment, ExternalCallId, ExternalReply)>,
    rng: Pcg64Mcg,
    fates: Vec<Fate>,
    behavior: TaskBehavior,
    violations: Vec<String>,
}

impl Platform {
    fn new(seed: u64, fates: &[Fate]) -> Self {
        let behavior = TaskBehavior { run_time: SECOND, ..TaskBehavior::default() };
        let mut harness = LeaderHarness::new(MACHINES, None, behavior);
        harness.report_round();
        Self {
            harness,
            machines: (0..MACHINES).map(|_| Hardware::default()).collect(),
            replies: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            fates: fates.into(),
            behavior,
            violations: Vec::new(),
        }
    }

    fn start_wave(&mut self, id: u64, machines: &[usize]) {
        let machines = machines.iter().map(|at| format!("m{at}").into()).collect();
        let until_ms = 1_800_000_060_000;
        let wave = Wave { id, machines, until_ms, at_once: 1 };
        assert_eq!(self.harness.request(CellRequest::WaveStart(wave)), CellResponse::Ok);
    }

    fn is_wave_done(&self, id: u64) -> bool {
        self.harness.leader.state().wave(id).is_some_and(|wave| wave.is_done())
    }

    fn step(&mut self) {
        self.harness.advance(TICK);
        let now = self.harness.now;
        for at in 0..MACHINES {
            if self.machines[at].back_at.is_some_and(|back_at| back_at <= now) {
                self.boot(at);
            }
        }
        for (id, call) in self.harness.leader.take_calls() {
            self.call(id, &call);
        }
        let (due, later) = std::mem::take(&mut self.replies).into_iter().partition(|r| r.0 <= now);
        self.replies = later;
        let due: Vec<(Moment, ExternalCallId, ExternalReply)> = due;
        for (_, id, reply) in due {
            self.harness.reply_to_call(id, reply);
        }
        self.report();
    }

    fn run(&mut self, span: Duration) {
        let until = self.harness.now + span;
        while self.harness.now < until {
            self.step();
        }
    }

    fn boot(&mut self, at: usize) {
        let machine = &mut self.machines[at];
        machine.back_at = None;
        machine.boots += 1;
        let now = self.harness.now;
        let (id, born) = (format!("w{at}-{}", machine.boots), 5 + u64::from(machine.boots));
        self.harness.runners[at] = EmulatedRunner::new(&id, "r1", born, CAPACITY, now);
    }

    fn call(&mut self, id: ExternalCallId, call: &ExternalCall) {
        let now = self.harness.now;
        match call {
            ExternalCall::Machines { .. } => {
                let machines = (0..MACHINES).map(|at| self.listed(at)).collect();
                self.replies.push((now, id, ExternalReply::Machines { machines, next: None }));
            }
            ExternalCall::Upkeep { machine, wave, .. } => {
                let at = machine[1..].parse().expect("the machine's number");
                let fate = self.fates[self.rng.random_range(0..self.fates.len())];
                let (delay, reply) = match fate {
                    Fate::Answered => (Duration::ZERO, self.maintain(at, *wave)),
                    Fate::LateAnswer => (SECOND, self.maintain(at, *wave)),
                    Fate::LostAnswer => {
                        self.maintain(at, *wave);
                        (NO_ANSWER_AFTER, ExternalReply::Later)
                    }
                    Fate::LostRequest => (NO_ANSWER_AFTER, ExternalReply::Later),
                    Fate::Refused => (Duration::ZERO, ExternalReply::Refused),
                    Fate::TooMany => (Duration::ZERO, ExternalReply::Later),
                };
                self.replies.push((now + delay, id, reply));
            }
            ExternalCall::Advise { .. } => {}
        }
    }

    fn listed(&self, at: usize) -> Machine {
        let away = self.machines[at].back_at.is_some();
        Machine {
            name: format!("m{at}").into(),
            state: if away { MachineState::Away } else { MachineState::Up },
            runner: (!away).then(|| self.harness.runners[at].id.clone()),
        }
    }

    fn maintain(&mut self, at: usize, wave: u64) -> ExternalReply {
        if self.machines[at].maintained_for.contains(&wave) {
            return ExternalReply::Done;
        }
        if self.machines[at].back_at.is_some() {
            return ExternalReply::Refused;
        }
        let away = self.machines.iter().filter(|m| m.back_at.is_some());
        if away.filter(|m| m.last_wave == wave).count() > 0 {
            self.violations.push(format!("wave {wave}: more than one machine is away"));
        }
        self.machines[at].maintained_for.insert(wave);
        self.machines[at].last_wave = wave;
        self.machines[at].back_at = Some(self.harness.now + MAINTENANCE);
        ExternalReply::Done
    }

    fn report(&mut self) {
        let now = self.harness.now;
        for at in (0..MACHINES).filter(|at| self.machines[*at].back_at.is_none()) {
            let report = Box::new(self.harness.runners[at].report(now));
            let answer = self.harness.request(CellRequest::Heartbeat(report));
            let CellResponse::Orders(orders) = answer else { panic!("{answer:?}") };
            let behavior = self.behavior;
            self.harness.runners[at].apply_orders(now, now, &orders, |_| Some(behavior));
        }
    }

    /// Submits a job with a task for each machine, and checks that all run soon.
    fn check_each_machine_works(&mut self, id: u64) {
        let spec = StepSpec { count: MACHINES as u32, per_runner_max: 1, ..step(1, 9, 1_000).0 };
        let spec = Arc::new(JobSpec { payload: "p".into(), steps: vec![spec], schedule: None });
        let request = CellRequest::Submit { at: queue_address(), id: JobId(id), spec };
        assert_eq!(self.harness.request(request), CellResponse::Accepted);
        self.run(SECOND / 2);
        let idle = (0..MACHINES).filter(|at| self.harness.runners[*at].running().count() == 0);
        let idle: Vec<usize> = idle.collect();
        if !idle.is_empty() {
            self.violations.push(format!("machines {idle:?} get no tasks"));
        }
    }
}

fn run_history(seed: u64, fates: &[Fate], leaders_change: bool) -> Vec<String> {
    let mut platform = Platform::new(seed, fates);
    platform.run(SECOND);
    platform.start_wave(1, &[0, 1]);
    platform.start_wave(2, &[1, 2]);
    for _ in 0..10 {
        platform.run(SECOND);
        if leaders_change && platform.rng.next_u32().is_multiple_of(3) {
            platform.harness.replace_leader(&HeardKnowledge::default());
        }
    }
    platform.fates = vec![Fate::Answered];
    let until = platform.harness.now + WAVE_MAX;
    while platform.harness.now < until && !(platform.is_wave_done(1) && platform.is_wave_done(2)) {
        platform.step();
    }
    for (wave, machines) in [(1, [0, 1]), (2, [1, 2])] {
        let maintained =
            machines.iter().all(|at| platform.machines[*at].maintained_for.contains(&wave));
        if !platform.is_wave_done(wave) || !maintained {
            let done = platform.is_wave_done(wave);
            let found = format!("wave {wave}: completed {done}, all maintained {maintained}");
            platform.violations.push(found);
        }
    }
    platform.check_each_machine_works(1);
    platform.violations
}

/// Guards against a machine that gets no tasks any more after one lost answer of the platform, and
/// against a wave that then never completes.
#[test]
fn a_lost_answer_of_the_platform_costs_neither_the_machine_nor_the_wave() {
    for fate in FATES {
        let mut platform = Platform::new(1, &[fate]);
        platform.run(SECOND);
        platform.start_wave(1, &[0]);
        platform.run(SECOND / 2);
        platform.fates = vec![Fate::Answered];
        platform.run(SECOND * 10);
        assert!(platform.is_wave_done(1), "{fate:?}");
        platform.check_each_machine_works(1);
        assert!(platform.violations.is_empty(), "{fate:?}: {:?}", platform.violations);
    }
}

/// Guards against a machine that stands still while the platform refuses its maintenance for ever.
#[test]
fn a_machine_whose_maintenance_is_always_refused_gets_tasks() {
    let mut platform = Platform::new(1, &[Fate::Refused]);
    platform.run(SECOND);
    platform.start_wave(1, &[0]);
    platform.run(SECOND * 8);
    platform.check_each_machine_works(1);
    assert!(platform.violations.is_empty(), "{:?}", platform.violations);
}

/// Guards against any order of lost, late and refused calls and of leaders after which a wave does
/// not complete, a machine gets no tasks, or too many machines are away.
#[test]
fn random_waves_complete_and_their_machines_work_again() {
    for seed in 0..SEEDS {
        for leaders_change in [false, true] {
            let violations = run_history(seed, &FATES, leaders_change);
            assert!(violations.is_empty(), "seed {seed} leaders={leaders_change}: {violations:#?}");
        }
    }
}
