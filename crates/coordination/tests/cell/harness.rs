//! Drives a leader whose log commits at once, and runners that report when a test says so.

use super::world::{CAPACITY, change_set, queue_address, zone};
use std::sync::Arc;
use std::time::Duration;
use yuccalink_coordination::Moment;
use yuccalink_coordination::jobs::external::{ExternalCall, ExternalCallId, ExternalReply};
use yuccalink_coordination::jobs::{
    CellRequest, CellResponse, HeardKnowledge, Leader, LeaderConfig, Now, ReportedRun,
    RequestToken, RunnerOrders,
};
use yuccalink_fakes::emulator::{EmulatedRunner, TaskBehavior};
use yuccalink_state::jobs::change::Advisor;
use yuccalink_state::jobs::{CellState, JobCommand, JobId, JobSpec, StepSpec};

pub struct LeaderHarness {
    pub now: Moment,
    pub leader: Leader,
    pub leader_term: u64,
    index: u64,
    last_token: u64,
    pub runners: Vec<EmulatedRunner>,
    behavior: TaskBehavior,
    /// Commands that are in the log and not committed.
    held_commands: Vec<JobCommand>,
    /// What the leader told, as the next one heard it.
    pub heard: HeardKnowledge,
    cfg: LeaderConfig,
}

impl LeaderHarness {
    pub fn new(runners: usize, policy: Option<Advisor>, behavior: TaskBehavior) -> Self {
        Self::with_commands(runners, policy, behavior, Vec::new())
    }

    /// Starts with a log that holds these commands after its change set.
    pub fn with_commands(
        runners: usize,
        policy: Option<Advisor>,
        behavior: TaskBehavior,
        commands: Vec<JobCommand>,
    ) -> Self {
        Self::with_config(LeaderConfig::default(), runners, policy, behavior, commands)
    }

    /// Like `with_commands`, with the leader settings `cfg`.
    pub fn with_config(
        cfg: LeaderConfig,
        runners: usize,
        policy: Option<Advisor>,
        behavior: TaskBehavior,
        commands: Vec<JobCommand>,
    ) -> Self {
        let mut jobs = CellState::new();
        let mut set = change_set();
        set.queues[0].advisor = policy;
        jobs.apply(JobCommand::Change(Box::new(set)));
        for command in commands {
            jobs.apply(command);
        }
        let now = Moment::from_millis(1_000);
        let leader_term = 3;
        let mut leader = Leader::new(cfg, leader_term, jobs, Self::now_at(now));
        leader.set_node_name("e1");
        let runner = |at| {
            let mut runner = EmulatedRunner::new(&format!("w{at}"), "r1", 5, CAPACITY, now);
            runner.zone = zone(at).into();
            runner
        };
        let runners = (0..runners).map(runner).collect();
        Self {
            now,
            leader,
            leader_term,
            index: 0,
            last_token: 0,
            runners,
            behavior,
            held_commands: Vec::new(),
            heard: HeardKnowledge::default(),
            cfg,
        }
    }

    /// The leader is lost, and another replica that heard `heard` leads in its place.
    pub fn replace_leader(&mut self, heard: &HeardKnowledge) {
        self.leader_term += 1;
        let (now, state) = (self.leader_now(), self.leader.state().clone());
        self.leader = Leader::new(self.cfg, self.leader_term, state, now);
        self.leader.recall(now, heard);
    }

    fn now_at(at: Moment) -> Now {
        Now { at, unix_ms: 1_800_000_000_000 + at.0 / 1_000 }
    }

    pub fn leader_now(&self) -> Now {
        Self::now_at(self.now)
    }

    pub fn request(&mut self, request: CellRequest) -> CellResponse {
        self.last_token += 1;
        let token = RequestToken(self.last_token);
        self.leader.handle_request(Self::now_at(self.now), token, request);
        self.commit();
        let responses = self.leader.take_answers();
        let own = responses.into_iter().find(|(of, _)| *of == token);
        own.map(|(_, response)| response).expect("a response")
    }

    /// Sends a request without committing anything; its response, if there is one already.
    pub fn send(&mut self, request: CellRequest) -> Option<CellResponse> {
        self.last_token += 1;
        let token = RequestToken(self.last_token);
        self.leader.handle_request(Self::now_at(self.now), token, request);
        let responses = self.leader.take_answers();
        responses.into_iter().find(|(of, _)| *of == token).map(|(_, response)| response)
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
                if let JobCommand::Tell(message) = &command {
                    self.heard.hear(self.now, self.leader_term, message, self.leader.state());
                }
                self.leader.apply_committed(Self::now_at(self.now), self.index, command);
            }
        }
    }

    /// Appends what waits to the log, without committing it.
    pub fn hold_commits(&mut self) {
        self.held_commands = self.leader.next_batch(100);
        self.leader.batch_appended(self.index + 1);
    }

    /// Commits what `hold_commits` appended, and what waits behind it.
    pub fn release_commits(&mut self) {
        for command in std::mem::take(&mut self.held_commands) {
            self.index += 1;
            self.leader.apply_committed(Self::now_at(self.now), self.index, command);
        }
        self.commit();
    }

    pub fn submit(&mut self, steps: Vec<StepSpec>) {
        self.submit_job(JobId(1), steps);
    }

    pub fn submit_job(&mut self, id: JobId, steps: Vec<StepSpec>) {
        let spec = Arc::new(JobSpec { payload: "p".into(), steps, schedule: None });
        assert_eq!(
            self.request(CellRequest::Submit { at: queue_address(), id, spec }),
            CellResponse::Accepted
        );
    }

    /// Lets every runner report once and carry out its orders; returns the orders of each
    /// runner.
    pub fn report_round(&mut self) -> Vec<RunnerOrders> {
        self.report_round_with_gauge(|_| None)
    }

    /// Like `report_round`, with `gauge` as the reported usage or tail latency of each run.
    pub fn report_round_with_gauge<F>(&mut self, gauge: F) -> Vec<RunnerOrders>
    where
        F: Fn(&ReportedRun) -> Option<u64>,
    {
        let mut orders_by_runner = Vec::new();
        for at in 0..self.runners.len() {
            let mut report = Box::new(self.runners[at].report(self.now));
            for run in &mut report.running {
                run.usage_or_tail = gauge(run);
            }
            let CellResponse::Orders(orders) = self.request(CellRequest::Heartbeat(report)) else {
                panic!("no orders")
            };
            let behavior = self.behavior;
            self.runners[at].apply_orders(self.now, self.now, &orders, |_| Some(behavior));
            orders_by_runner.push(*orders);
        }
        orders_by_runner
    }

    pub fn advance(&mut self, duration: Duration) {
        self.now = self.now + duration;
        self.leader.tick(Self::now_at(self.now));
        self.commit();
    }

    pub fn reply_to_call(&mut self, call: ExternalCallId, reply: ExternalReply) {
        self.leader.handle_external_reply(Self::now_at(self.now), call, reply);
        self.commit();
    }

    pub fn take_call(&mut self) -> Option<(ExternalCallId, ExternalCall)> {
        self.leader.take_calls().pop()
    }
}
