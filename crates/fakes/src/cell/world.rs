//! The event loop of an emulated cell: runners, entries and the network around the leader.

use super::cancels::Cancels;
use super::leader_process::{Input, LeaderProcess, Origin, Output};
use super::load::{self, CAPACITY};
use super::report::{CellReport, SecondReport};
use super::{CellSpec, Queueing};
use crate::emulator::{EmulatedRunner, RunnerEvent};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;
use yuccalink_coordination::Moment;
use yuccalink_coordination::jobs::report_rate::spread;
use yuccalink_coordination::jobs::{CellRequest, CellResponse, RunnerOrders};
use yuccalink_coordination::peer_table::{
    CONFIRMED_HELLO_INTERVAL, LeaderInfo, NodeInfo, PeerTable,
};
use yuccalink_coordination::raft::ReplicaId;
use yuccalink_state::jobs::{RunOutcome, TaskKey};

const NETWORK_DELAY: Duration = Duration::from_micros(1_400);
/// Write to disk on a majority, and the way there and back.
const COMMIT_DELAY: Duration = Duration::from_millis(12);
const HELLO_INTERVAL: Duration = Duration::from_millis(400);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
const TICK_INTERVAL: Duration = Duration::from_millis(25);
const ENTRY_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which an ended run is noticed by its runner.
const RUNNER_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// A runner drops a response that comes later, and asks the next process.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// An entry gives up a request of a runner.
const ENTRY_TIMEOUT: Duration = Duration::from_millis(900);
/// Mean delay until the next report of a runner whose report was not answered in time.
const UNANSWERED_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Delay before a runner reports at the next process.
const RUNNER_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time in which all runners come up.
const START_SPREAD_MS: u64 = 3_000;
const SECOND: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    LeaderFree,
    LeaderTick,
    Heartbeat,
    HeartbeatAnswered(Moment),
    Stored,
    EntryTick(usize),
    Hello(usize),
    HelloArrives(usize),
    Welcome(usize),
    Report(usize, u64),
    ReportArrives(usize, u64),
    Orders(usize, u64),
    ReportFails(usize, u64),
    ReportUnanswered(usize, u64),
    Poll(usize),
    Submit(bool, u64),
    /// A submission that was planned before, or a copy of one.
    Submission(u64),
    Cancel(u64),
    CancelAnswered(u64),
    DisturbanceStarts(usize),
    DisturbanceEnds(usize),
}

pub(super) struct Entry {
    table: PeerTable,
    links: BTreeSet<SocketAddr>,
    pub(super) cut: bool,
    hello_at: Option<Moment>,
    heard_at: Moment,
}

pub(super) struct Slot {
    pub(super) runner: Option<EmulatedRunner>,
    entry: usize,
    /// Number of the newest report; answers to earlier ones are ignored.
    attempt: u64,
    pub(super) sent: Moment,
    waits: bool,
    request: Option<CellRequest>,
    response: Option<CellResponse>,
    /// Completed runs whose ends are not acknowledged, by the number of the end.
    done: BTreeMap<u64, TaskKey>,
    /// Number of the newest end.
    ends: u64,
}

/// A cell in virtual time.
pub struct EmulatedCell {
    pub(super) spec: CellSpec,
    pub(super) now: Moment,
    rng: Pcg64Mcg,
    pub(super) cancels: Cancels,
    /// Responses to cancellations on their way.
    cancel_responses: BTreeMap<u64, CellResponse>,
    events: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    next_event: u64,
    pub(super) leader: LeaderProcess,
    leader_busy: bool,
    pub(super) entries: Vec<Entry>,
    pub(super) slots: Vec<Slot>,
    pub(super) running_on: BTreeMap<TaskKey, usize>,
    /// Short tasks with an acknowledged end.
    completed: BTreeSet<TaskKey>,
    pub(super) second: SecondReport,
    pub(super) report: CellReport,
}

fn address(at: usize) -> SocketAddr {
    let [_, high, mid, low] = u32::try_from(at + 1).unwrap_or(u32::MAX).to_be_bytes();
    SocketAddr::from(([10, high, mid, low], 8_082))
}

fn node_info(at: usize, disks: usize) -> NodeInfo {
    NodeInfo {
        name: format!("e{at}").into(),
        zone: format!("z{}", at % 6).into(),
        peer: address(at),
        control: None,
        replica: (at < disks).then_some(ReplicaId(at as u64 + 1)),
        may_bootstrap: false,
    }
}

impl EmulatedCell {
    /// Creates a cell in which all processes start.
    pub fn new(spec: CellSpec) -> Self {
        let now = Moment::ZERO;
        let seeds: Vec<SocketAddr> = (0..3.min(spec.entries)).map(address).collect();
        let entry = |at| {
            let mut table = PeerTable::new(node_info(at, spec.disks), seeds.clone(), false);
            for disk in 0..spec.disks {
                table.record_reported_peer(&node_info(disk, spec.disks), now);
            }
            Entry { table, links: BTreeSet::new(), cut: false, hello_at: None, heard_at: now }
        };
        let runner = |at: usize| {
            let rack = format!("r{}", at / 12);
            EmulatedRunner::new(&format!("w{at}"), &rack, 1 + at as u64, CAPACITY, now)
        };
        let slot = |at| Slot {
            runner: Some(runner(at)),
            entry: at % spec.entries,
            attempt: 0,
            sent: now,
            waits: false,
            request: None,
            response: None,
            done: BTreeMap::new(),
            ends: 0,
        };
        let mut cell = Self {
            now,
            rng: Pcg64Mcg::seed_from_u64(spec.seed),
            cancels: Cancels::new(spec.seed),
            cancel_responses: BTreeMap::new(),
            events: BinaryHeap::new(),
            next_event: 0,
            leader: LeaderProcess::new(&spec, now),
            leader_busy: false,
            entries: (0..spec.entries).map(entry).collect(),
            slots: (0..spec.runners).map(slot).collect(),
            running_on: BTreeMap::new(),
            completed: BTreeSet::new(),
            second: SecondReport::default(),
            report: CellReport::default(),
            spec,
        };
        cell.schedule_start();
        cell
    }

    fn schedule_start(&mut self) {
        self.after(Duration::ZERO, Event::LeaderTick);
        self.after(Duration::ZERO, Event::Heartbeat);
        for at in 0..self.entries.len() {
            let delay = Duration::from_millis(self.rng.random_range(0..400));
            self.after(delay, Event::EntryTick(at));
            self.after(delay, Event::Hello(at));
        }
        for at in 0..self.slots.len() {
            let delay = Duration::from_millis(self.rng.random_range(500..500 + START_SPREAD_MS));
            self.after(delay, Event::Report(at, 0));
            self.after(delay, Event::Poll(at));
        }
        let (long, batch) = (self.spec.long_running, self.spec.batch);
        if long.jobs > 0 {
            self.at(long.from, Event::Submit(true, 0));
        }
        if batch.jobs_per_s > 0.0 {
            self.at(batch.from, Event::Submit(false, 0));
        }
        for at in 0..self.spec.disturbances.len() {
            let (from, span, _) = self.spec.disturbances[at];
            self.at(from, Event::DisturbanceStarts(at));
            self.at(from + span, Event::DisturbanceEnds(at));
        }
    }

    fn at(&mut self, at: Moment, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at, self.next_event, event)));
    }

    pub(super) fn after(&mut self, delay: Duration, event: Event) {
        self.at(self.now + delay, event);
    }

    /// Runs the cell for a time and returns what happened in each second.
    pub fn run(mut self, span: Duration) -> CellReport {
        let until = self.now + span;
        let mut second_end = self.now + SECOND;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            while at >= second_end {
                self.end_second();
                second_end = second_end + SECOND;
            }
            if at >= until {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.report
    }

    fn end_second(&mut self) {
        let counts = std::mem::take(&mut self.leader.counts);
        let scanned: u64 = self.report.seconds.iter().map(|s| s.runners_scanned).sum();
        let second = std::mem::take(&mut self.second);
        self.report.seconds.push(SecondReport {
            brief: counts.brief,
            expired: counts.expired,
            longest_wait: counts.longest_wait,
            busy: counts.busy.as_secs_f64(),
            runners_scanned: self.leader.leader.counts().runners_scanned - scanned,
            ..second
        });
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::LeaderFree => {
                self.leader_busy = false;
                self.run_leader();
            }
            Event::LeaderTick => {
                self.leader.tick(self.now);
                self.after(TICK_INTERVAL, Event::LeaderTick);
                self.run_leader();
            }
            Event::Heartbeat => {
                let answered = Event::HeartbeatAnswered(self.now);
                self.after(NETWORK_DELAY * 2, answered);
                self.after(HEARTBEAT_INTERVAL, Event::Heartbeat);
            }
            Event::HeartbeatAnswered(sent) => self.leader_receives(Input::Heartbeat { sent }),
            Event::Stored => self.leader_receives(Input::Stored),
            Event::EntryTick(at) => self.tick_entry(at),
            Event::Hello(at) => {
                self.send_hello(at);
                self.after(HELLO_INTERVAL, Event::Hello(at));
            }
            Event::HelloArrives(entry) => self.leader_receives(Input::Hello { entry }),
            Event::Welcome(at) => self.welcome(at),
            Event::Report(at, attempt) => self.send_report(at, attempt),
            Event::ReportArrives(at, attempt) => self.forward(at, attempt),
            Event::Orders(at, attempt) => self.receive_orders(at, attempt),
            Event::ReportFails(at, attempt) => self.fail_report(at, attempt),
            Event::ReportUnanswered(at, attempt) => self.return_later(at, attempt),
            Event::Poll(at) => self.poll_runner(at),
            Event::Submit(long_running, number) => self.submit(long_running, number),
            Event::Submission(number) => self.submit_batch(number),
            Event::Cancel(number) => self.cancel(number),
            Event::CancelAnswered(number) => {
                if let Some(response) = self.cancel_responses.remove(&number) {
                    self.cancel_answered(number, &response);
                }
            }
            Event::DisturbanceStarts(at) => self.disturb(at, true),
            Event::DisturbanceEnds(at) => self.disturb(at, false),
        }
    }

    // ---- leader ----

    pub(super) fn leader_receives(&mut self, input: Input) {
        self.leader.receive(input);
        self.run_leader();
    }

    fn run_leader(&mut self) {
        if self.leader_busy || !self.leader.has_work() {
            return;
        }
        let (free_at, outputs) = self.leader.run(self.now);
        self.leader_busy = true;
        // A minimum keeps a leader that waits for its lease from spinning.
        self.at(free_at.max(self.now + Duration::from_micros(50)), Event::LeaderFree);
        for output in outputs {
            match output {
                Output::Welcome { entry } => {
                    self.at(free_at + NETWORK_DELAY, Event::Welcome(entry))
                }
                Output::Write => self.at(free_at + COMMIT_DELAY, Event::Stored),
                Output::Response { to: Origin::Runner { slot, attempt }, response } => {
                    if self.slots[slot].attempt == attempt {
                        self.slots[slot].response = Some(response);
                        self.at(free_at + NETWORK_DELAY * 2, Event::Orders(slot, attempt));
                    }
                }
                Output::Response { to: Origin::Canceller { number }, response } => {
                    self.cancel_responses.insert(number, response);
                    self.at(free_at + NETWORK_DELAY * 2, Event::CancelAnswered(number));
                }
                Output::Response { to: Origin::Caller { .. }, .. } => {}
            }
        }
    }

    // ---- entries ----

    fn tick_entry(&mut self, at: usize) {
        let now = self.now;
        let entry = &mut self.entries[at];
        let had_leader = entry.table.lead().is_some();
        entry.table.tick(now);
        if had_leader && entry.table.lead().is_none() {
            self.second.leaders_dropped += 1;
        }
        let links = entry.table.wanted_links(&[]);
        self.second.connections += links.difference(&entry.links).count() as u64;
        entry.links = links;
        if entry.table.lead().is_none() && !entry.cut {
            // A disk that is asked knows the leader.
            let leader = LeaderInfo { term: 1, peer: address(0), control: None, serving: false };
            entry.table.record_leader(leader, address(1), now);
        }
        self.after(ENTRY_TICK_INTERVAL, Event::EntryTick(at));
    }

    fn send_hello(&mut self, at: usize) {
        let now = self.now;
        let entry = &mut self.entries[at];
        let Some(leader) = entry.table.lead().filter(|_| !entry.cut) else { return };
        let recent = entry.hello_at.is_some_and(|at| now.since(at) < CONFIRMED_HELLO_INTERVAL);
        let heard = now.since(entry.heard_at) < HELLO_INTERVAL;
        if recent && heard && leader.serving && at >= self.spec.disks {
            return;
        }
        entry.hello_at = Some(now);
        self.after(NETWORK_DELAY, Event::HelloArrives(at));
    }

    fn welcome(&mut self, at: usize) {
        let entry = &mut self.entries[at];
        if !entry.cut {
            let leader = LeaderInfo { term: 1, peer: address(0), control: None, serving: true };
            entry.table.record_leader(leader, address(0), self.now);
            entry.heard_at = self.now;
        }
    }

    fn forward(&mut self, at: usize, attempt: u64) {
        let slot = &mut self.slots[at];
        if slot.attempt != attempt || slot.request.is_none() {
            return;
        }
        let entry = &self.entries[slot.entry];
        if entry.cut {
            self.after(RESPONSE_TIMEOUT - NETWORK_DELAY, Event::ReportFails(at, attempt));
        } else if entry.table.lead().is_none() {
            self.after(NETWORK_DELAY, Event::ReportFails(at, attempt));
        } else if let Some(request) = slot.request.take() {
            let from = Origin::Runner { slot: at, attempt };
            self.after(ENTRY_TIMEOUT, Event::ReportUnanswered(at, attempt));
            self.leader_receives(Input::Request { from, request });
        }
    }

    // ---- runners ----

    fn send_report(&mut self, at: usize, attempt: u64) {
        let now = self.now;
        let slot = &mut self.slots[at];
        let Some(runner) = &mut slot.runner else { return };
        if slot.attempt != attempt || slot.waits {
            return;
        }
        let report = runner.report(now);
        slot.attempt += 1;
        slot.sent = now;
        slot.waits = true;
        slot.request = Some(CellRequest::Heartbeat(Box::new(report)));
        slot.response = None;
        let attempt = slot.attempt;
        self.second.reports += 1;
        self.after(NETWORK_DELAY * 2, Event::ReportArrives(at, attempt));
        self.note_events(at);
    }

    fn receive_orders(&mut self, at: usize, attempt: u64) {
        let now = self.now;
        let slot = &mut self.slots[at];
        if slot.attempt != attempt || !slot.waits || self.entries[slot.entry].cut {
            return;
        }
        let Some(response) = slot.response.take() else { return };
        let entry = &mut self.entries[slot.entry];
        if response.shows_leadership() {
            entry.table.confirm_leader(address(0), now);
            entry.heard_at = now;
        }
        let CellResponse::Orders(orders) = response else {
            return self.fail_report(at, attempt);
        };
        slot.waits = false;
        let in_time = now.since(slot.sent) <= RESPONSE_TIMEOUT;
        self.second.answered += u64::from(in_time && orders.lease_ms > 0);
        if in_time {
            self.check_orders(at, &orders);
        }
        self.apply_orders(at, &orders);
        let retry = Duration::from_millis(orders.retry_after_ms.max(50));
        self.after(retry, Event::Report(at, attempt));
    }

    fn apply_orders(&mut self, at: usize, orders: &RunnerOrders) {
        let batch = self.spec.batch;
        let slot = &mut self.slots[at];
        let Some(runner) = &mut slot.runner else { return };
        runner.apply_orders(self.now, slot.sent, orders, |task| {
            Some(load::behavior(task.job, &batch))
        });
        self.note_events(at);
    }

    /// The entry asks a runner to return later, if the leader is there and only slow.
    fn return_later(&mut self, at: usize, attempt: u64) {
        let slot = &mut self.slots[at];
        let knows_leader = self.entries[slot.entry].table.lead().is_some();
        if !knows_leader || self.spec.queueing == Queueing::FirstCome {
            return self.fail_report(at, attempt);
        }
        if slot.attempt != attempt || !slot.waits {
            return;
        }
        slot.waits = false;
        self.second.failed += 1;
        let delay = spread(UNANSWERED_RETRY_AFTER, self.next_event);
        self.after(delay, Event::Report(at, attempt));
    }

    fn fail_report(&mut self, at: usize, attempt: u64) {
        let entries = self.entries.len();
        let slot = &mut self.slots[at];
        if slot.attempt != attempt || !slot.waits {
            return;
        }
        slot.waits = false;
        slot.entry = self.rng.random_range(0..entries);
        self.second.failed += 1;
        self.after(RUNNER_RETRY_DELAY, Event::Report(at, attempt));
    }

    fn poll_runner(&mut self, at: usize) {
        let now = self.now;
        let slot = &mut self.slots[at];
        let attempt = slot.attempt;
        let Some(runner) = &mut slot.runner else { return };
        runner.advance(now);
        let ended = self.note_events(at);
        self.check_at_work(at);
        if ended && !self.slots[at].waits {
            self.send_report(at, attempt);
        }
        self.after(RUNNER_POLL_INTERVAL, Event::Poll(at));
    }

    /// Counts what happened on a runner and checks it. Returns whether a run has ended.
    fn note_events(&mut self, at: usize) -> bool {
        let Some(runner) = &mut self.slots[at].runner else { return false };
        let mut ended_any = false;
        for event in runner.take_events() {
            match event {
                RunnerEvent::Started { task, run, at: when } => {
                    self.second.starts += 1;
                    self.check_start(at, task, run, when);
                    if let Some(other) = self.running_on.insert(task, at)
                        && other != at
                    {
                        self.report
                            .violations
                            .push(format!("{task} runs on two runners at {when}"));
                    }
                    if self.completed.contains(&task) {
                        let text = format!("{task} starts after an acknowledged end at {when}");
                        self.report.violations.push(text);
                    }
                }
                RunnerEvent::Ended { task, outcome, at: when, .. } => {
                    ended_any = true;
                    self.cancels.record_end(task, when);
                    self.running_on.remove(&task);
                    self.second.lapsed += u64::from(outcome == RunOutcome::Lapsed);
                    let slot = &mut self.slots[at];
                    slot.ends += 1;
                    if outcome == RunOutcome::Done {
                        slot.done.insert(slot.ends, task);
                    }
                }
                RunnerEvent::EndsAcknowledged(through) => {
                    let rest = self.slots[at].done.split_off(&(through + 1));
                    let acknowledged = std::mem::replace(&mut self.slots[at].done, rest);
                    self.completed.extend(acknowledged.into_values());
                }
                RunnerEvent::LeaseExpired(_) => self.slots[at].done.clear(),
            }
        }
        ended_any
    }
}
