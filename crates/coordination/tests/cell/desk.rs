//! Drives a leader whose log commits at once, with runners that report when a test tells them
//! to.

use super::world::{CAPACITY, change, place};
use std::sync::Arc;
use std::time::Duration;
use yuccalink_coordination::Moment;
use yuccalink_coordination::jobs::external::{ExternalCall, ExternalCallId, ExternalReply};
use yuccalink_coordination::jobs::{
    CellRequest, CellResponse, Leader, LeaderConfig, Now, ReportedRun, RequestToken, RunnerOrders,
};
use yuccalink_fakes::emulator::{EmulatedRunner, TaskBehavior};
use yuccalink_state::jobs::change::Advisor;
use yuccalink_state::jobs::{CellState, JobCommand, JobId, JobSpec, StepSpec};

pub struct Desk {
    pub now: Moment,
    pub leader: Leader,
    index: u64,
    tokens: u64,
    pub runners: Vec<EmulatedRunner>,
    behavior: TaskBehavior,
}

impl Desk {
    pub fn new(runners: usize, policy: Option<Advisor>, behavior: TaskBehavior) -> Self {
        Self::with(runners, policy, behavior, Vec::new())
    }

    /// Starts with a log that holds these commands after its change set.
    pub fn with(
        runners: usize,
        policy: Option<Advisor>,
        behavior: TaskBehavior,
        commands: Vec<JobCommand>,
    ) -> Self {
        Self::deciding_by(LeaderConfig::default(), runners, policy, behavior, commands)
    }

    /// Like `with`, with the leader settings `cfg`.
    pub fn deciding_by(
        cfg: LeaderConfig,
        runners: usize,
        policy: Option<Advisor>,
        behavior: TaskBehavior,
        commands: Vec<JobCommand>,
    ) -> Self {
        let mut jobs = CellState::new();
        let mut set = change();
        set.queues[0].advisor = policy;
        jobs.apply(JobCommand::Change(Box::new(set)));
        for command in commands {
            jobs.apply(command);
        }
        let now = Moment::from_millis(1_000);
        let mut leader = Leader::new(cfg, 3, jobs, Self::at(now));
        leader.set_node_name("e1");
        let runner = |at| EmulatedRunner::new(&format!("w{at}"), "r1", 5, CAPACITY, now);
        let runners = (0..runners).map(runner).collect();
        Self { now, leader, index: 0, tokens: 0, runners, behavior }
    }

    fn at(at: Moment) -> Now {
        Now { at, unix_ms: 1_800_000_000_000 + at.0 / 1_000 }
    }

    pub fn clock(&self) -> Now {
        Self::at(self.now)
    }

    pub fn ask(&mut self, ask: CellRequest) -> CellResponse {
        self.tokens += 1;
        let token = RequestToken(self.tokens);
        self.leader.handle_request(Self::at(self.now), token, ask);
        self.commit();
        let answers = self.leader.take_answers();
        let own = answers.into_iter().find(|(of, _)| *of == token);
        own.map(|(_, answer)| answer).expect("a response")
    }

    pub fn commit(&mut self) {
        loop {
            let commands = self.leader.next_batch(100);
            if commands.is_empty() {
                return;
            }
            self.leader.batch_appended(self.index + 1);
            for command in commands {
                self.index += 1;
                self.leader.apply_committed(Self::at(self.now), self.index, command);
            }
        }
    }

    pub fn submit(&mut self, steps: Vec<StepSpec>) {
        self.submit_as(JobId(1), steps);
    }

    pub fn submit_as(&mut self, id: JobId, steps: Vec<StepSpec>) {
        let spec = Arc::new(JobSpec { payload: "p".into(), steps, schedule: None });
        assert_eq!(self.ask(CellRequest::Submit { at: place(), id, spec }), CellResponse::Accepted);
    }

    /// Lets every runner report once and carry out its orders; returns the orders of each
    /// runner.
    pub fn round(&mut self) -> Vec<RunnerOrders> {
        self.round_showing(|_| None)
    }

    /// Like `round`, with `gauge` as the reported usage or tail latency of each run.
    pub fn round_showing<F>(&mut self, gauge: F) -> Vec<RunnerOrders>
    where
        F: Fn(&ReportedRun) -> Option<u64>,
    {
        let mut all = Vec::new();
        for at in 0..self.runners.len() {
            let mut report = Box::new(self.runners[at].report(self.now));
            for run in &mut report.running {
                run.usage_or_tail = gauge(run);
            }
            let CellResponse::Orders(orders) = self.ask(CellRequest::Heartbeat(report)) else {
                panic!("no orders")
            };
            let behavior = self.behavior;
            self.runners[at].apply_orders(self.now, self.now, &orders, |_| Some(behavior));
            all.push(*orders);
        }
        all
    }

    pub fn pass(&mut self, span: Duration) {
        self.now = self.now + span;
        self.leader.tick(Self::at(self.now));
        self.commit();
    }

    pub fn told(&mut self, call: ExternalCallId, told: ExternalReply) {
        self.leader.handle_external_reply(Self::at(self.now), call, told);
        self.commit();
    }

    pub fn call(&mut self) -> Option<(ExternalCallId, ExternalCall)> {
        self.leader.take_calls().pop()
    }
}
