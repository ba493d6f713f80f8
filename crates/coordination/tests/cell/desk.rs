//! A leader whose log commits at once, with runners that report when they are told to.

use super::world::{CAPACITY, change, place};
use std::sync::Arc;
use std::time::Duration;
use yuccalink_coordination::Moment;
use yuccalink_coordination::jobs::outside::{Call, CallId, Told};
use yuccalink_coordination::jobs::{
    Answer, Ask, Leader, LeaderConfig, Now, Orders, Running, Token,
};
use yuccalink_fakes::emulator::{EmulatedRunner, Truth};
use yuccalink_state::jobs::change::Advisor;
use yuccalink_state::jobs::{JobCommand, JobId, JobSpec, Jobs, StepSpec};

pub struct Desk {
    pub now: Moment,
    pub leader: Leader,
    index: u64,
    tokens: u64,
    pub runners: Vec<EmulatedRunner>,
    truth: Truth,
}

impl Desk {
    pub fn new(runners: usize, policy: Option<Advisor>, truth: Truth) -> Self {
        Self::with(runners, policy, truth, Vec::new())
    }

    /// One whose log begins with these commands, after its change set.
    pub fn with(
        runners: usize,
        policy: Option<Advisor>,
        truth: Truth,
        commands: Vec<JobCommand>,
    ) -> Self {
        Self::deciding_by(LeaderConfig::default(), runners, policy, truth, commands)
    }

    /// The same, with settings of its own.
    pub fn deciding_by(
        cfg: LeaderConfig,
        runners: usize,
        policy: Option<Advisor>,
        truth: Truth,
        commands: Vec<JobCommand>,
    ) -> Self {
        let mut jobs = Jobs::new();
        let mut set = change();
        set.queues[0].advisor = policy;
        jobs.apply(JobCommand::Change(Box::new(set)));
        for command in commands {
            jobs.apply(command);
        }
        let now = Moment::from_millis(1_000);
        let mut leader = Leader::new(cfg, 3, jobs, Self::at(now));
        leader.set_name("e1");
        let runner = |at| EmulatedRunner::new(&format!("w{at}"), "r1", 5, CAPACITY, now);
        let runners = (0..runners).map(runner).collect();
        Self { now, leader, index: 0, tokens: 0, runners, truth }
    }

    fn at(at: Moment) -> Now {
        Now { at, unix_ms: 1_800_000_000_000 + at.0 / 1_000 }
    }

    pub fn clock(&self) -> Now {
        Self::at(self.now)
    }

    pub fn ask(&mut self, ask: Ask) -> Answer {
        self.tokens += 1;
        let token = Token(self.tokens);
        self.leader.ask(Self::at(self.now), token, ask);
        self.commit();
        let answers = self.leader.take_answers();
        let own = answers.into_iter().find(|(of, _)| *of == token);
        own.map(|(_, answer)| answer).expect("an answer")
    }

    pub fn commit(&mut self) {
        loop {
            let commands = self.leader.next_batch(100);
            if commands.is_empty() {
                return;
            }
            self.leader.proposed(self.index + 1);
            for command in commands {
                self.index += 1;
                self.leader.committed(Self::at(self.now), self.index, command);
            }
        }
    }

    pub fn submit(&mut self, steps: Vec<StepSpec>) {
        self.submit_as(JobId(1), steps);
    }

    pub fn submit_as(&mut self, id: JobId, steps: Vec<StepSpec>) {
        let spec = Arc::new(JobSpec { payload: "p".into(), steps, schedule: None });
        assert_eq!(self.ask(Ask::Submit { at: place(), id, spec }), Answer::Accepted);
    }

    /// Every runner reports once and obeys; returns the orders of each.
    pub fn round(&mut self) -> Vec<Orders> {
        self.round_showing(|_| None)
    }

    /// The same, with what each run's gauge shows.
    pub fn round_showing<F>(&mut self, gauge: F) -> Vec<Orders>
    where
        F: Fn(&Running) -> Option<u64>,
    {
        let mut all = Vec::new();
        for at in 0..self.runners.len() {
            let mut report = Box::new(self.runners[at].report(self.now));
            for run in &mut report.running {
                run.gauge = gauge(run);
            }
            let Answer::Orders(orders) = self.ask(Ask::Heartbeat(report)) else {
                panic!("no orders")
            };
            let truth = self.truth;
            self.runners[at].obey(self.now, self.now, &orders, |_| Some(truth));
            all.push(*orders);
        }
        all
    }

    pub fn pass(&mut self, span: Duration) {
        self.now = self.now + span;
        self.leader.tick(Self::at(self.now));
        self.commit();
    }

    pub fn told(&mut self, call: CallId, told: Told) {
        self.leader.told(Self::at(self.now), call, told);
        self.commit();
    }

    pub fn call(&mut self) -> Option<(CallId, Call)> {
        self.leader.take_calls().pop()
    }
}
