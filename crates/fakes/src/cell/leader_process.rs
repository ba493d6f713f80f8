//! The leader's process: messages wait for its processor, which has a share of a core.

use super::Queueing;
use std::collections::VecDeque;
use std::time::Duration;
use yuccalink_coordination::Moment;
use yuccalink_coordination::intake::{Intake, Next, RequestClass};
use yuccalink_coordination::jobs::{
    CellRequest, CellResponse, Leader, LeaderConfig, Now, RequestToken,
};
use yuccalink_state::jobs::{CellState, JobCommand};

/// Shortest and longest time spent on requests before newly arrived messages are read.
const BATCH_TIME_MIN: Duration = Duration::from_millis(1);
const BATCH_TIME_MAX: Duration = Duration::from_millis(15);
/// Messages of entries that are read before requests are handled again.
const READ_MAX: usize = 64;
/// Commands in one write of the log.
const COMMANDS_MAX: usize = 512;
/// Time in which the other replicas hold a leader's lease valid.
const LEASE: Duration = Duration::from_millis(400);
/// Unix time at the start of every run.
const EPOCH_MS: u64 = 1_800_000_000_000;

/// Processor time of the leader for one message of each kind, on a whole core.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MessageCosts {
    /// To read any message.
    pub read: Duration,
    /// To answer a `Hello`.
    pub hello: Duration,
    /// To handle a report.
    pub report: Duration,
    /// To renew a lease only.
    pub brief: Duration,
    /// To answer a request that expired.
    pub expired: Duration,
    /// To handle any other request.
    pub request: Duration,
    /// To apply one command of the log.
    pub command: Duration,
    /// To scan one runner other than the reporting one.
    pub scan: Duration,
    /// Of each runner in one ranking, ten times a second.
    pub ranking: Duration,
}

impl Default for MessageCosts {
    fn default() -> Self {
        let us = Duration::from_micros;
        Self {
            read: us(8),
            hello: us(10),
            report: us(28),
            brief: us(10),
            expired: us(4),
            request: us(30),
            command: us(6),
            scan: Duration::from_nanos(60),
            ranking: Duration::from_nanos(300),
        }
    }
}

/// A message that has arrived at the leader.
pub(super) enum Input {
    Hello {
        entry: usize,
    },
    Request {
        from: Origin,
        request: CellRequest,
    },
    /// The other replicas answer a heartbeat that was sent at this time.
    Heartbeat {
        sent: Moment,
    },
    /// The other replicas have stored the newest write.
    Stored,
}

/// Who waits for a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Origin {
    Runner { slot: usize, attempt: u64 },
    Caller { request: u64 },
    Canceller { number: u64 },
}

/// What the leader sends.
pub(super) enum Output {
    Welcome {
        entry: usize,
    },
    Response {
        to: Origin,
        response: CellResponse,
    },
    /// A write for the log.
    Write,
}

#[derive(Default)]
pub(super) struct LeaderCounts {
    pub(super) brief: u64,
    pub(super) expired: u64,
    pub(super) longest_wait: Duration,
    pub(super) busy: Duration,
}

pub(super) struct LeaderProcess {
    pub(super) leader: Leader,
    costs: MessageCosts,
    pub(super) cost_factor: f64,
    share: f64,
    queueing: Queueing,
    /// Messages of other replicas, on connections of their own.
    replicas: VecDeque<Input>,
    inbox: VecDeque<Input>,
    intake: Intake<(Origin, CellRequest)>,
    first_come: VecDeque<(Moment, Origin, CellRequest)>,
    pending: std::collections::BTreeMap<RequestToken, Origin>,
    next_token: u64,
    last_quorum: Moment,
    writing: Vec<JobCommand>,
    index: u64,
    tick_due: Option<Moment>,
    scanned: u64,
    pub(super) counts: LeaderCounts,
}

impl LeaderProcess {
    pub(super) fn new(spec: &super::CellSpec, now: Moment) -> Self {
        let mut state = CellState::new();
        state.apply(JobCommand::Change(Box::new(super::load::change_set())));
        Self {
            leader: Leader::new(LeaderConfig::default(), 1, state, at(now)),
            costs: spec.costs,
            cost_factor: 1.0,
            share: spec.leader_share,
            queueing: spec.queueing,
            replicas: VecDeque::new(),
            inbox: VecDeque::new(),
            intake: Intake::default(),
            first_come: VecDeque::new(),
            pending: std::collections::BTreeMap::new(),
            next_token: 0,
            last_quorum: now,
            writing: Vec::new(),
            index: 0,
            tick_due: None,
            scanned: 0,
            counts: LeaderCounts::default(),
        }
    }

    pub(super) fn receive(&mut self, input: Input) {
        match input {
            Input::Heartbeat { .. } | Input::Stored => self.replicas.push_back(input),
            Input::Hello { .. } | Input::Request { .. } => self.inbox.push_back(input),
        }
    }

    pub(super) fn tick(&mut self, now: Moment) {
        self.tick_due.get_or_insert(now);
    }

    pub(super) fn has_work(&self) -> bool {
        self.tick_due.is_some()
            || !self.replicas.is_empty()
            || !self.inbox.is_empty()
            || !self.intake.is_empty()
            || !self.first_come.is_empty()
    }

    /// Handles what has arrived, up to a few requests. Returns when the processor is free again,
    /// and what is sent then.
    pub(super) fn run(&mut self, now: Moment) -> (Moment, Vec<Output>) {
        let mut cost = Duration::ZERO;
        let mut out = Vec::new();
        let read = self.inbox.len().min(READ_MAX);
        let inputs: Vec<Input> = self.replicas.drain(..).chain(self.inbox.drain(..read)).collect();
        for input in inputs {
            cost += self.read(now, input, &mut out);
        }
        if let Some(due) = self.tick_due.take() {
            if self.queueing == Queueing::ByClass {
                self.leader.note_wait(now.since(due));
            }
            self.leader.tick(at(now));
            let runners = u32::try_from(self.leader.runners_len()).unwrap_or(u32::MAX);
            // A tick is a quarter of the interval of the rankings.
            cost += self.costs.ranking * runners / 4;
        }
        if now.since(self.last_quorum) < LEASE {
            // As long as the other tasks have taken, as in the daemon.
            let others = cost.mul_f64(self.cost_factor / self.share);
            cost +=
                self.handle_requests(now, others.clamp(BATCH_TIME_MIN, BATCH_TIME_MAX), &mut out);
        }
        if self.writing.is_empty() {
            self.writing = self.leader.next_batch(COMMANDS_MAX);
            if !self.writing.is_empty() {
                self.leader.batch_appended(self.index + 1);
                out.push(Output::Write);
            }
        }
        for (token, response) in self.leader.take_answers() {
            if let Some(to) = self.pending.remove(&token) {
                out.push(Output::Response { to, response });
            }
        }
        let scanned = self.leader.counts().runners_scanned;
        let scans = u32::try_from(scanned - self.scanned).unwrap_or(u32::MAX);
        self.scanned = scanned;
        cost += self.costs.scan * scans;
        let took = cost.mul_f64(self.cost_factor / self.share);
        self.counts.busy += took;
        (now + took, out)
    }

    fn read(&mut self, now: Moment, input: Input, out: &mut Vec<Output>) -> Duration {
        let cost = match input {
            Input::Hello { entry } => {
                out.push(Output::Welcome { entry });
                self.costs.hello
            }
            Input::Heartbeat { sent } => {
                self.last_quorum = self.last_quorum.max(sent);
                Duration::ZERO
            }
            Input::Stored => {
                let commands = std::mem::take(&mut self.writing);
                let count = u32::try_from(commands.len()).unwrap_or(u32::MAX);
                for command in commands {
                    self.index += 1;
                    self.leader.apply_committed(at(now), self.index, command);
                }
                self.costs.command * count
            }
            Input::Request { from, request } => {
                match self.queueing {
                    Queueing::ByClass => {
                        let class = RequestClass::of(&request);
                        self.intake.push(class, (from, request), now);
                    }
                    Queueing::FirstCome => self.first_come.push_back((now, from, request)),
                }
                Duration::ZERO
            }
        };
        self.costs.read + cost
    }

    fn handle_requests(&mut self, now: Moment, span: Duration, out: &mut Vec<Output>) -> Duration {
        let mut cost = Duration::ZERO;
        while cost.mul_f64(self.cost_factor / self.share) < span {
            let next = match self.first_come.pop_front() {
                Some((at, from, request)) => Some(Next::Handle((from, request), now.since(at))),
                None => self.intake.pop(now),
            };
            let token = RequestToken(self.next_token);
            self.next_token += 1;
            match next {
                None => break,
                Some(Next::Handle((from, request), waited)) => {
                    cost += self.cost_of(&request);
                    self.note_wait(waited);
                    self.pending.insert(token, from);
                    self.leader.handle_request(at(now), token, request);
                }
                Some(Next::Brief((from, request), waited)) => {
                    cost += self.costs.brief;
                    self.note_wait(waited);
                    self.counts.brief += 1;
                    self.pending.insert(token, from);
                    self.leader.handle_briefly(at(now), token, request);
                }
                Some(Next::Expired((from, request))) => {
                    cost += self.costs.expired;
                    self.counts.expired += 1;
                    let response = self.leader.reject(at(now), &request);
                    out.push(Output::Response { to: from, response });
                }
            }
        }
        cost
    }

    fn note_wait(&mut self, waited: Duration) {
        self.counts.longest_wait = self.counts.longest_wait.max(waited);
        if self.queueing == Queueing::ByClass {
            self.leader.note_wait(waited);
        }
    }

    fn cost_of(&self, request: &CellRequest) -> Duration {
        match request {
            CellRequest::Heartbeat(_) => self.costs.report,
            _ => self.costs.request,
        }
    }
}

pub(super) fn at(now: Moment) -> Now {
    Now { at: now, unix_ms: EPOCH_MS + now.0 / 1_000 }
}
