//! Simulates a job cell without a network: one leader at a time, a log that commits after a
//! delay, emulated runners, and messages that are delayed, lost or duplicated.

#[path = "callers.rs"]
mod callers;
#[path = "cancellations.rs"]
mod cancellations;
#[path = "checks.rs"]
mod checks;
#[path = "settings.rs"]
mod settings;

use callers::Callers;
pub use callers::{CallerCounts, CancelTime};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
#[allow(unused_imports)]
pub use settings::SettingsCounts;
use settings::SettingsOperator;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use yuccalink_coordination::Moment;
use yuccalink_coordination::jobs::messages::QueueAddress;
use yuccalink_coordination::jobs::policy::Policy;
use yuccalink_coordination::jobs::{
    CellRequest, CellResponse, HeardKnowledge, JobState, Leader, LeaderConfig, Now, RequestToken,
    RunnerOrders, RunnerReport, RunnerState,
};
use yuccalink_fakes::emulator::{
    EmulatedRunner, RunnerEvent, RunnerFault, TaskBehavior, checkpoint_text,
};
use yuccalink_state::Resources;
use yuccalink_state::evacuation::{ZoneAction, ZoneOrder};
use yuccalink_state::jobs::{
    CellState, ChangeSet, JobCommand, JobId, JobSpec, Pool, Queue, RunOutcome, StepSpec, TaskKey,
};
use yuccalink_state::snapshot::{self, Meta};

pub const TIME_STEP: Duration = Duration::from_millis(10);
/// Unix time at the start of every history.
const EPOCH_MS: u64 = 1_800_000_000_000;
/// How much too slow the clock of a runner may be, in parts per million.
const SLOWEST_PPM: u64 = 20_000;

/// Delay of the last report before a crash, when `late_last_report` is set.
const LAST_REPORT_DELAY: Duration = Duration::from_secs(6);

/// Which faults a history has, and how often.
#[derive(Clone, Copy, Debug)]
pub struct FaultProfile {
    pub loss_per_mille: u32,
    pub delay_per_mille: u32,
    /// Longest delay of a delayed message.
    pub delay_max_ms: u64,
    pub leader_change_per_mille: u32,
    pub runner_crash_per_mille: u32,
    pub runner_faults: bool,
    /// Callers cancel jobs, operators change queues and drain runners, and disks keep the state
    /// for the next leader.
    pub cancels: bool,
    /// The leader does not keep up: it handles reports briefly and rejects other requests.
    pub busy_per_mille: u32,
    /// Capacity shrinks for some seconds and grows back.
    pub shrink_per_mille: u32,
    /// A restarted runner may have another name at the same address.
    pub runner_renames: bool,
    /// The last report before a crash caused by a task arrives after the lease has expired.
    pub late_last_report: bool,
    /// Zones are evacuated and restored.
    pub zone_order_per_mille: u32,
    /// An operator changes weights, floors and holds, runners leave or crash again and again, and
    /// the next leader may have heard old knowledge or none.
    pub settings: bool,
}

impl FaultProfile {
    pub const NO_FAULTS: Self = Self {
        loss_per_mille: 0,
        delay_per_mille: 0,
        delay_max_ms: 4_000,
        leader_change_per_mille: 0,
        runner_crash_per_mille: 0,
        runner_faults: false,
        cancels: false,
        busy_per_mille: 0,
        shrink_per_mille: 0,
        runner_renames: false,
        late_last_report: false,
        zone_order_per_mille: 0,
        settings: false,
    };
    pub const HARSH: Self = Self {
        loss_per_mille: 40,
        delay_per_mille: 20,
        delay_max_ms: 4_000,
        leader_change_per_mille: 2,
        runner_crash_per_mille: 2,
        runner_faults: true,
        cancels: false,
        busy_per_mille: 0,
        shrink_per_mille: 0,
        runner_renames: false,
        late_last_report: false,
        zone_order_per_mille: 0,
        settings: false,
    };
    pub const HARSHEST: Self =
        Self { shrink_per_mille: 2, runner_renames: true, delay_max_ms: 9_000, ..Self::HARSH };
    pub const SETTINGS: Self = Self {
        shrink_per_mille: 2,
        zone_order_per_mille: 1,
        runner_faults: false,
        settings: true,
        ..Self::HARSH
    };
    pub const CANCELLING: Self = Self { cancels: true, busy_per_mille: 50, ..Self::HARSHEST };
}

enum Message {
    Report { slot: usize, sent: Moment, report: Box<RunnerReport> },
    Orders { slot: usize, started_ms: u64, sent: Moment, orders: Box<RunnerOrders> },
}

struct RunnerSlot {
    runner: Option<EmulatedRunner>,
    next_report: Moment,
    restarts_at: Moment,
    /// Until then, no message gets through to or from the runner.
    partitioned_until: Moment,
    /// Ends that the runner has reported and the leader has not acknowledged, by their numbers.
    unacknowledged_ends: BTreeMap<u64, (TaskKey, u32, RunOutcome)>,
    end_count: u64,
    capacity_returns_at: Moment,
    /// A message of the last report or its answer was lost or late.
    exchange_broken: bool,
    /// For how long no leader and no orders could reach the runner.
    out_of_touch: Duration,
}

struct PendingBatch {
    at: Moment,
    commands: Vec<JobCommand>,
}

#[derive(Clone, Copy, Debug)]
struct Completion {
    run: u32,
    at: Moment,
    acknowledged_at: Option<Moment>,
}

/// What happened to a task, over all runners.
#[derive(Clone, Debug, Default)]
struct TaskHistory {
    starts: Vec<(Moment, u32)>,
    /// Runs that completed, when, and when the leader acknowledged that.
    completions: Vec<Completion>,
    /// Times of completions whose runner's lease expired before they were acknowledged.
    expired_completions: Vec<Moment>,
    acknowledged_failures: Vec<Moment>,
    runs: BTreeSet<u32>,
    /// When the task made a runner crash.
    crashes: Vec<Moment>,
    /// Number of runners that crashed while the task ran there, whatever the cause.
    runners_lost: usize,
}

impl TaskHistory {
    fn has_completed(&self) -> bool {
        !self.completions.is_empty() || !self.expired_completions.is_empty()
    }
}

pub struct World {
    pub now: Moment,
    rng: Pcg64Mcg,
    fault_profile: FaultProfile,
    policy: Policy,
    committed: CellState,
    index: u64,
    term: u64,
    pub leader: Option<Leader>,
    /// What the leaders told, as the next one heard it.
    heard: HeardKnowledge,
    next_leader_at: Moment,
    pending_batch: Option<PendingBatch>,
    slots: Vec<RunnerSlot>,
    messages: BTreeMap<(Moment, u64), Message>,
    last_number: u64,
    pending_reports: BTreeMap<RequestToken, (usize, u64, Moment)>,
    specs: BTreeMap<JobId, Arc<JobSpec>>,
    pub behaviors: BTreeMap<JobId, Vec<TaskBehavior>>,
    histories: BTreeMap<TaskKey, TaskHistory>,
    cancelled: BTreeMap<JobId, Moment>,
    pub accepted: BTreeSet<JobId>,
    /// Downtime of a crashed runner, in milliseconds.
    pub downtime_ms: std::ops::Range<u64>,
    /// Runs that were lost beside a task that had already made a runner crash before.
    pub runs_lost_to_repeated_crashes: usize,
    /// The operator's order that is not acknowledged yet, and when it was last sent.
    zone_order: Option<(ZoneOrder, RequestToken, Moment)>,
    /// Zones whose evacuation was acknowledged and not taken back, and since when.
    evacuated: BTreeMap<Box<str>, Moment>,
    pub zone_orders: usize,
    callers: Callers,
    operator: SettingsOperator,
    /// By how much the wall clock of the leader is wrong, in milliseconds.
    leader_clock_error_ms: i64,
    pub violations: Vec<String>,
}

impl World {
    pub fn new(seed: u64, runners: usize, fault_profile: FaultProfile) -> Self {
        Self::with_policy(seed, runners, fault_profile, Policy::default())
    }

    pub fn with_policy(
        seed: u64,
        runners: usize,
        fault_profile: FaultProfile,
        policy: Policy,
    ) -> Self {
        let mut world = Self {
            now: Moment::from_millis(1_000),
            rng: Pcg64Mcg::seed_from_u64(seed),
            fault_profile,
            policy,
            committed: CellState::new(),
            index: 0,
            term: 1,
            leader: None,
            heard: HeardKnowledge::default(),
            next_leader_at: Moment::ZERO,
            pending_batch: None,
            slots: Vec::new(),
            messages: BTreeMap::new(),
            last_number: 0,
            pending_reports: BTreeMap::new(),
            specs: BTreeMap::new(),
            behaviors: BTreeMap::new(),
            histories: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            accepted: BTreeSet::new(),
            downtime_ms: 200..9_000,
            runs_lost_to_repeated_crashes: 0,
            zone_order: None,
            evacuated: BTreeMap::new(),
            zone_orders: 0,
            callers: Callers::default(),
            operator: SettingsOperator::default(),
            leader_clock_error_ms: 0,
            violations: Vec::new(),
        };
        world.committed.apply(JobCommand::Change(Box::new(change_set())));
        if fault_profile.cancels {
            world.add_queues();
        }
        if fault_profile.settings {
            world.add_settings();
        }
        for at in 0..runners {
            let runner = Some(world.new_runner(at));
            let (unacknowledged_ends, end_count) = (BTreeMap::new(), 0);
            let (next_report, restarts_at) = (world.now, Moment::ZERO);
            let partitioned_until = Moment::ZERO;
            let capacity_returns_at = Moment::ZERO;
            world.slots.push(RunnerSlot {
                runner,
                next_report,
                restarts_at,
                partitioned_until,
                unacknowledged_ends,
                end_count,
                capacity_returns_at,
                exchange_broken: false,
                out_of_touch: Duration::ZERO,
            });
        }
        world
    }

    fn new_runner(&mut self, at: usize) -> EmulatedRunner {
        let started_ms = self.unix_ms() + at as u64;
        let rack = format!("r{}", at / 4);
        let mut runner =
            EmulatedRunner::new(&format!("w{at}"), &rack, started_ms, CAPACITY, self.now);
        runner.zone = zone(at).into();
        runner.slow_ppm = self.rng.random_range(0..=SLOWEST_PPM);
        if self.fault_profile.runner_renames && self.chance(500) {
            runner.id = format!("w{at}-{started_ms}").into();
        }
        if self.fault_profile.runner_faults {
            runner.fault = match self.rng.random_range(0..12) {
                0 => RunnerFault::FailsAll,
                1 => RunnerFault::TasksStall,
                _ => RunnerFault::None,
            };
        }
        runner
    }

    pub fn unix_ms(&self) -> u64 {
        EPOCH_MS + self.now.0 / 1_000
    }

    fn now(&self) -> Now {
        let unix_ms = self.unix_ms().saturating_add_signed(self.leader_clock_error_ms);
        Now { at: self.now, unix_ms }
    }

    fn chance(&mut self, thousandths: u32) -> bool {
        self.rng.random_range(0..1_000) < thousandths
    }

    /// Submits a job through the current leader, again until it is accepted.
    pub fn submit(&mut self, id: JobId, spec: JobSpec, behaviors: Vec<TaskBehavior>) {
        self.specs.insert(id, Arc::new(spec));
        self.behaviors.insert(id, behaviors);
        if self.fault_profile.cancels {
            self.add_caller(id);
        }
    }

    pub fn cancel(&mut self, id: JobId) {
        let at = self.address_of(id);
        self.request(CellRequest::Cancel { at, id });
        self.cancelled.entry(id).or_insert(self.now);
    }

    pub fn state(&mut self, id: JobId) -> Option<JobState> {
        match self.request(CellRequest::State { at: self.address_of(id), id })? {
            CellResponse::State(state) => Some(state),
            CellResponse::Failed(_) => Some(JobState::Failed),
            _ => None,
        }
    }

    fn request(&mut self, request: CellRequest) -> Option<CellResponse> {
        let now = self.now();
        let token = RequestToken(u64::MAX - self.last_number);
        self.last_number += 1;
        let leader = self.leader.as_mut()?;
        leader.handle_request(now, token, request);
        let responses = self.leader.as_mut()?.take_answers();
        let (own, others): (Vec<_>, Vec<_>) = responses.into_iter().partition(|(t, _)| *t == token);
        self.deliver(others);
        own.into_iter().next().map(|(_, response)| response)
    }

    /// Number of run ends that runners list and that are not acknowledged.
    pub fn unacknowledged_ends(&self) -> usize {
        let runners = self.slots.iter().filter_map(|slot| slot.runner.as_ref());
        runners.map(|runner| runner.unacknowledged().len()).sum()
    }

    /// Why a job failed, as its caller sees it.
    pub fn failure_reason(&mut self, id: JobId) -> Option<Box<str>> {
        match self.request(CellRequest::State { at: queue_address(), id })? {
            CellResponse::Failed(reason) => Some(reason),
            _ => None,
        }
    }

    /// The runner on which a task runs.
    pub fn runner_of(&self, task: TaskKey) -> Option<usize> {
        (0..self.slots.len()).find(|at| self.running_on(*at).contains(&task))
    }

    pub fn run_for(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now = self.now + TIME_STEP;
        self.change_leader();
        let now = self.now();
        // The daemon handles a due timer and a waiting message in any order. The simulation
        // always handles the timer first.
        if let Some(leader) = &mut self.leader {
            leader.tick(now);
            let responses = leader.take_answers();
            self.deliver(responses);
        }
        self.submit_missing();
        self.operate_zones();
        self.operate_callers();
        self.operate_settings();
        self.deliver_messages();
        self.advance_runners();
        self.commit();
        self.propose();
        self.check_cancellations();
        self.check_settings();
    }

    fn change_leader(&mut self) {
        if self.leader.is_some() && self.chance(self.fault_profile.leader_change_per_mille) {
            // Commands in flight to the log are either committed or lost.
            if self.chance(500) {
                self.commit_now();
            }
            self.pending_batch = None;
            self.lose_leader();
            let gap = self.rng.random_range(400..2_000);
            self.next_leader_at = self.now + Duration::from_millis(gap);
        }
        if self.leader.is_none() && self.now >= self.next_leader_at {
            self.term += 1;
            let mut cfg = LeaderConfig { policy: self.policy, ..LeaderConfig::default() };
            if self.fault_profile.cancels {
                cfg.job_retention = SHORT_RETENTION;
                self.leader_clock_error_ms =
                    self.rng.random_range(-CLOCK_ERROR_MAX_MS..=CLOCK_ERROR_MAX_MS);
                self.committed = read_back(&self.committed);
            }
            self.begin_term_with_settings();
            let jobs = self.committed.clone();
            let mut leader = Leader::new(cfg, self.term, jobs, self.now());
            leader.recall(self.now(), &self.heard);
            self.leader = Some(leader);
        }
    }

    fn lose_leader(&mut self) {
        self.leader = None;
        for (slot, ..) in std::mem::take(&mut self.pending_reports).into_values() {
            self.slots[slot].exchange_broken = true;
        }
        self.callers.send_again(self.now);
    }

    /// Orders an evacuation, or the end of one, again until it is acknowledged.
    pub fn order_zone(&mut self, zone: &str, action: ZoneAction, empty: bool) {
        if action == ZoneAction::Restore {
            self.evacuated.remove(zone);
        }
        let order = ZoneOrder { zone: zone.into(), action, empty, number: None };
        self.zone_order = Some((order, RequestToken(0), Moment::ZERO));
        self.operate_zones();
    }

    /// Whether the last order for a zone was acknowledged.
    pub fn zone_order_acknowledged(&self) -> bool {
        self.zone_order.is_none()
    }

    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.committed.evacuations().excludes(zone)
    }

    fn operate_zones(&mut self) {
        const RESEND: Duration = Duration::from_millis(700);
        if self.zone_order.is_none()
            && self.fault_profile.zone_order_per_mille > 0
            && self.chance(self.fault_profile.zone_order_per_mille)
        {
            let zone = zone(self.rng.random_range(0..ZONES));
            let action = match self.evacuated.contains_key(zone) {
                true => ZoneAction::Restore,
                false => ZoneAction::Evacuate,
            };
            let empty = self.chance(500);
            return self.order_zone(zone, action, empty);
        }
        let now = self.now();
        let token = RequestToken(u64::MAX - self.last_number);
        let (Some((order, sent_as, sent)), Some(leader)) = (&mut self.zone_order, &mut self.leader)
        else {
            return;
        };
        if *sent > Moment::ZERO && now.at.since(*sent) < RESEND {
            return;
        }
        self.last_number += 1;
        (*sent_as, *sent) = (token, now.at);
        leader.handle_request(now, token, CellRequest::Zone(Box::new(order.clone())));
    }

    fn on_zone_order_answered(&mut self, response: &CellResponse) {
        assert!(matches!(response, CellResponse::Zone(_)), "{response:?}");
        let Some((order, ..)) = self.zone_order.take() else { return };
        self.zone_orders += 1;
        let evacuated = order.action == ZoneAction::Evacuate;
        if self.committed.evacuations().excludes(&order.zone) != evacuated {
            self.violations.push(format!("{order:?} is acknowledged before it is committed"));
        }
        if evacuated {
            self.evacuated.entry(order.zone).or_insert(self.now);
        }
    }

    fn submit_missing(&mut self) {
        if self.leader.is_none() || !self.now.0.is_multiple_of(100_000) {
            return;
        }
        let missing: Vec<JobId> = self
            .specs
            .keys()
            .filter(|id| !self.callers.by_job.contains_key(id))
            .filter(|id| !self.accepted.contains(id) && self.committed.job(**id).is_none())
            .copied()
            .collect();
        for id in missing {
            let spec = self.specs[&id].clone();
            self.request(CellRequest::Submit { at: self.address_of(id), id, spec });
        }
    }

    fn propose(&mut self) {
        if self.pending_batch.is_some() {
            return;
        }
        let Some(leader) = &mut self.leader else { return };
        let commands = leader.next_batch(512);
        if commands.is_empty() {
            return;
        }
        leader.batch_appended(self.index + 1);
        let wait = self.rng.random_range(5..60);
        let at = self.now + Duration::from_millis(wait);
        self.pending_batch = Some(PendingBatch { at, commands });
    }

    fn commit(&mut self) {
        if self.pending_batch.as_ref().is_some_and(|batch| self.now >= batch.at) {
            self.commit_now();
        }
    }

    fn commit_now(&mut self) {
        let Some(batch) = self.pending_batch.take() else { return };
        let now = self.now();
        for command in batch.commands {
            self.index += 1;
            if let JobCommand::Submit(submit) = &command {
                self.accepted.insert(submit.id);
            }
            if let JobCommand::Tell(message) = &command {
                self.heard.hear(now.at, self.term, message, &self.committed);
            }
            if let JobCommand::Start(starts) = &command {
                self.check_floors(starts);
            }
            self.committed.apply(command.clone());
            if let Some(leader) = &mut self.leader {
                leader.apply_committed(now, self.index, command);
            }
        }
    }

    fn deliver(&mut self, responses: Vec<(RequestToken, CellResponse)>) {
        for (token, response) in responses {
            if self.zone_order.as_ref().is_some_and(|(_, sent, _)| *sent == token) {
                self.on_zone_order_answered(&response);
                continue;
            }
            if self.take_caller_answer(token, &response)
                || self.take_settings_answer(token, &response)
            {
                continue;
            }
            let Some((slot, started_ms, sent)) = self.pending_reports.remove(&token) else {
                continue;
            };
            if let CellResponse::Orders(orders) = response {
                self.check_order_sent(slot, &orders);
                self.send(Message::Orders { slot, started_ms, sent, orders });
            }
        }
    }

    fn send(&mut self, message: Message) {
        let (Message::Report { slot, .. } | Message::Orders { slot, .. }) = &message;
        let slot = *slot;
        if self.slots[slot].partitioned_until > self.now
            || self.chance(self.fault_profile.loss_per_mille)
        {
            self.slots[slot].exchange_broken = true;
            return;
        }
        let late = self.chance(self.fault_profile.delay_per_mille);
        self.slots[slot].exchange_broken |= late;
        let wait = match late {
            true => self.rng.random_range(500..self.fault_profile.delay_max_ms),
            false => self.rng.random_range(1..30),
        };
        self.last_number += 1;
        self.messages.insert((self.now + Duration::from_millis(wait), self.last_number), message);
    }

    fn deliver_messages(&mut self) {
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Message::Report { slot, sent, report } => self.receive_report(slot, sent, report),
                Message::Orders { slot, started_ms, sent, orders } => {
                    self.receive_orders(slot, started_ms, sent, &orders);
                }
            }
        }
    }

    fn receive_report(&mut self, slot: usize, sent: Moment, report: Box<RunnerReport>) {
        let now = self.now();
        let started_ms = report.started_ms;
        let is_brief =
            self.fault_profile.busy_per_mille > 0 && self.chance(self.fault_profile.busy_per_mille);
        let Some(leader) = &mut self.leader else {
            self.slots[slot].exchange_broken = true;
            return;
        };
        self.last_number += 1;
        let token = RequestToken(self.last_number);
        self.pending_reports.insert(token, (slot, started_ms, sent));
        match is_brief {
            true => leader.handle_briefly(now, token, CellRequest::Heartbeat(report)),
            false => leader.handle_request(now, token, CellRequest::Heartbeat(report)),
        }
        let responses = leader.take_answers();
        self.deliver(responses);
    }

    fn receive_orders(
        &mut self,
        slot: usize,
        started_ms: u64,
        sent: Moment,
        orders: &RunnerOrders,
    ) {
        let now = self.now;
        let late = now.since(sent) > Duration::from_secs(1);
        let Some(runner) = self.slots[slot].runner.as_mut() else { return };
        if runner.started_ms != started_ms || late {
            return;
        }
        for start in &orders.start {
            self.check_start_order(slot, start.task, &start.checkpoint);
        }
        self.check_budgets(slot, &orders.stop);
        let behaviors = &self.behaviors;
        let behavior =
            |task: TaskKey| behaviors.get(&task.job)?.get(usize::from(task.step)).copied();
        let Some(runner) = self.slots[slot].runner.as_mut() else { return };
        runner.apply_orders(now, sent, orders, behavior);
        let pause = if orders.retry_after_ms == 0 { 500 } else { orders.retry_after_ms };
        self.slots[slot].next_report = now + Duration::from_millis(pause);
        self.observe(slot);
    }

    fn advance_runners(&mut self) {
        for at in 0..self.slots.len() {
            if self.slots[at].runner.is_none() {
                if self.now >= self.slots[at].restarts_at {
                    let runner = self.new_runner(at);
                    let slot = &mut self.slots[at];
                    slot.runner = Some(runner);
                    slot.next_report = self.now;
                    slot.unacknowledged_ends.clear();
                    slot.end_count = 0;
                }
                continue;
            }
            if self.chance(self.fault_profile.runner_crash_per_mille) && self.chance(200) {
                self.crash_for_a_while(at);
                continue;
            }
            if self.chance(self.fault_profile.runner_crash_per_mille) && self.chance(200) {
                let partition_ms = self.rng.random_range(1_000..9_000);
                self.slots[at].partitioned_until = self.now + Duration::from_millis(partition_ms);
            }
            self.resize(at);
            let now = self.now;
            if let Some(runner) = self.slots[at].runner.as_mut() {
                runner.advance(now);
            }
            let new_ends = self.observe(at);
            if let Some(by) = self.slots[at].runner.as_ref().and_then(EmulatedRunner::crashed_by) {
                let crashes = &mut self.histories.entry(by).or_default().crashes;
                crashes.push(now);
                if crashes.len() > 1 {
                    let others = self.running_on(at).into_iter().filter(|task| *task != by);
                    self.runs_lost_to_repeated_crashes += others.count();
                }
                if self.fault_profile.late_last_report {
                    self.send_late_last_report(at);
                }
                self.crash_for_a_while(at);
                continue;
            }
            let slot = &mut self.slots[at];
            if new_ends {
                slot.next_report = slot.next_report.min(now + Duration::from_millis(50));
            }
            if now >= slot.next_report {
                slot.next_report = now + Duration::from_secs(1);
                let Some(runner) = slot.runner.as_mut() else { continue };
                let report = Box::new(runner.report(now));
                self.slots[at].exchange_broken = false;
                self.observe(at);
                self.send(Message::Report { slot: at, sent: now, report });
            }
        }
    }

    /// Crashes a runner, which restarts after some seconds.
    fn crash_for_a_while(&mut self, at: usize) {
        let away = self.rng.random_range(self.downtime_ms.clone());
        self.crash(at, Duration::from_millis(away));
    }

    fn send_late_last_report(&mut self, at: usize) {
        let Some(runner) = self.slots[at].runner.as_mut() else { return };
        let (sent, report) = (self.now, Box::new(runner.report(self.now)));
        self.last_number += 1;
        let arrives = self.now + LAST_REPORT_DELAY;
        self.messages
            .insert((arrives, self.last_number), Message::Report { slot: at, sent, report });
    }

    /// Lets the capacity of a runner shrink or grow back.
    fn resize(&mut self, at: usize) {
        if self.now >= self.slots[at].capacity_returns_at {
            self.set_capacity(at, CAPACITY);
        }
        if self.fault_profile.shrink_per_mille > 0
            && self.chance(self.fault_profile.shrink_per_mille)
            && self.chance(200)
        {
            let cores = self.rng.random_range(0..16);
            let duration = Duration::from_millis(self.rng.random_range(500..12_000));
            self.shrink(at, cores, duration);
        }
    }

    /// Limits a runner to `cores` for `duration`.
    pub fn shrink(&mut self, at: usize, cores: u64, duration: Duration) {
        self.set_capacity(at, Resources { millicores: cores * 1_000, ..CAPACITY });
        self.slots[at].capacity_returns_at = self.now + duration;
    }

    fn set_capacity(&mut self, at: usize, capacity: Resources) {
        if let Some(runner) = &mut self.slots[at].runner {
            runner.resize(capacity, self.now);
        }
    }

    /// Records and checks the events of a runner; true if a run ended.
    fn observe(&mut self, at: usize) -> bool {
        let Some(runner) = self.slots[at].runner.as_mut() else { return false };
        let events = runner.take_events();
        let started = events.iter().any(|event| matches!(event, RunnerEvent::Started { .. }));
        if started && !runner.is_within_capacity(self.now) {
            let (in_use, capacity) = (runner.resources_in_use(), runner.capacity);
            self.violations
                .push(format!("w{at} is overcommitted: {in_use:?} in use of {capacity:?}"));
        }
        let mut ended = false;
        for event in events {
            match event {
                RunnerEvent::Started { task, run, at: when } => {
                    self.on_run_started(at, task, run, when);
                    self.check_start_after_answer(at, task);
                    self.check_start_of_held(at, task, when);
                }
                RunnerEvent::Ended { task, run, outcome, at: when } => {
                    ended = true;
                    let slot = &mut self.slots[at];
                    slot.end_count += 1;
                    slot.unacknowledged_ends.insert(slot.end_count, (task, run, outcome));
                    let history = self.histories.entry(task).or_default();
                    if outcome == RunOutcome::Done {
                        history.completions.push(Completion {
                            run,
                            at: when,
                            acknowledged_at: None,
                        });
                    }
                }
                RunnerEvent::EndsAcknowledged(upto) => self.on_ends_acknowledged(at, upto),
                RunnerEvent::LeaseExpired(_) => self.on_lease_expired(at),
            }
        }
        ended
    }

    /// Stops all faults, so that the remaining jobs must end.
    pub fn stop_faults(&mut self) {
        self.fault_profile = FaultProfile::NO_FAULTS;
        if self.zone_orders > 0 || self.zone_order.is_some() {
            self.restore_all_zones();
        }
        self.release_holds();
        for slot in &mut self.slots {
            if let Some(runner) = &mut slot.runner {
                runner.fault = RunnerFault::None;
            }
        }
    }

    fn restore_all_zones(&mut self) {
        for at in 0..ZONES {
            while self.zone_order.is_some() {
                self.step();
            }
            self.order_zone(zone(at), ZoneAction::Restore, false);
        }
    }

    pub fn drain(&mut self, at: usize) {
        if let Some(runner) = &mut self.slots[at].runner {
            runner.state = RunnerState::Draining;
        }
    }

    /// Drains a runner that announces its end after `duration`.
    pub fn drain_within(&mut self, at: usize, duration: Duration) {
        self.drain(at);
        if let Some(runner) = &mut self.slots[at].runner {
            runner.terminates_at = Some(self.now + duration);
        }
    }

    pub fn crash(&mut self, at: usize, away: Duration) {
        for task in self.running_on(at) {
            self.histories.entry(task).or_default().runners_lost += 1;
        }
        self.slots[at].runner = None;
        self.slots[at].capacity_returns_at = self.now;
        self.slots[at].restarts_at = self.now + away;
    }

    pub fn set_fault(&mut self, at: usize, fault: RunnerFault) {
        if let Some(runner) = &mut self.slots[at].runner {
            runner.fault = fault;
        }
    }

    pub fn running_on(&self, at: usize) -> Vec<TaskKey> {
        self.slots[at].runner.iter().flat_map(|runner| runner.running()).collect()
    }

    /// Partitions a runner: no message gets through to or from it for `duration`.
    pub fn partition(&mut self, at: usize, duration: Duration) {
        self.slots[at].partitioned_until = self.now + duration;
        self.messages.retain(|_, message| match message {
            Message::Report { slot, .. } | Message::Orders { slot, .. } => *slot != at,
        });
    }

    /// Number of runs that the log has ordered and that have not ended.
    pub fn committed_starts(&self) -> usize {
        self.committed
            .incarnations()
            .map(|(incarnation, _)| self.committed.assigned_runs(incarnation).count())
            .sum()
    }

    /// Number of runners that have crashed and not restarted.
    pub fn runners_down(&self) -> usize {
        self.slots.iter().filter(|slot| slot.runner.is_none()).count()
    }

    /// Number of runs that were lost with their runners.
    pub fn runs_lost(&self) -> usize {
        self.histories.values().map(|history| history.runners_lost).sum()
    }

    /// Number of completed jobs.
    pub fn completed_jobs(&self) -> usize {
        let completed = |job: &yuccalink_state::jobs::Job| {
            job.phase == yuccalink_state::jobs::JobPhase::Completed
        };
        self.committed.all().filter(|(_, job)| completed(job)).count()
    }

    /// How often a task made its runner crash.
    pub fn crashes_of(&self, task: TaskKey) -> usize {
        self.histories.get(&task).map_or(0, |history| history.crashes.len())
    }

    /// Replaces the leader at once, after committing what is in flight.
    pub fn replace_leader(&mut self) {
        self.commit_now();
        self.lose_leader();
        self.next_leader_at = self.now;
    }

    pub fn starts_of(&self, task: TaskKey) -> usize {
        self.histories.get(&task).map_or(0, |history| history.starts.len())
    }

    pub fn random_below(&mut self, below: u64) -> u64 {
        self.rng.random_range(0..below)
    }
}

pub const CAPACITY: Resources =
    Resources { millicores: 16_000, memory_mib: 32_000, accelerators: 0 };
pub const ATTEMPTS: u32 = 3;
const ZONES: usize = 2;
/// How long ended jobs are kept in histories whose callers cancel.
const SHORT_RETENTION: Duration = Duration::from_secs(30);
/// Largest error of the wall clock of a leader, in milliseconds.
const CLOCK_ERROR_MAX_MS: i64 = 5_000;

/// The state as the next leader reads it from its disk.
fn read_back(state: &CellState) -> CellState {
    let bytes = snapshot::encode(&Meta::default(), state).expect("a snapshot");
    snapshot::decode_as(&bytes, "a snapshot").expect("the snapshot").state
}

/// The zone of the runner at this position.
pub fn zone(at: usize) -> &'static str {
    ["z0", "z1"][at % ZONES]
}

pub fn queue_address() -> QueueAddress {
    QueueAddress { host: "h".into(), path: "/q/".into() }
}

pub fn change_set() -> ChangeSet {
    let queue = Queue {
        name: "q".into(),
        host: "h".into(),
        prefix: "/q/".into(),
        pool: "pool".into(),
        timeout_ms: 3_000,
        objective_ms: 1_000,
        slack: 2.0,
        attempts: ATTEMPTS,
        ..Queue::default()
    };
    let pool = Pool { name: "pool".into(), ..Pool::default() };
    ChangeSet { version: 1, queues: vec![queue], pools: vec![pool], ..ChangeSet::default() }
}

/// A job of these steps, and how the tasks of each step really behave.
pub fn job(steps: Vec<(StepSpec, TaskBehavior)>) -> (JobSpec, Vec<TaskBehavior>) {
    let (steps, behaviors): (Vec<_>, Vec<_>) = steps.into_iter().unzip();
    (JobSpec { payload: "work".into(), steps, schedule: None }, behaviors)
}

/// The key of a task in a job without a schedule.
pub fn key(id: u64, step: u16, index: u16) -> TaskKey {
    TaskKey { job: JobId(id), occurrence: 0, step, index }
}

/// A step and how its tasks really behave.
pub fn step(count: u32, cores: u64, work_ms: u64) -> (StepSpec, TaskBehavior) {
    let need = Resources { millicores: cores * 1_000, memory_mib: 1_000, accelerators: 0 };
    let spec = StepSpec { count, need, estimate_ms: work_ms, ..StepSpec::default() };
    let behavior = TaskBehavior {
        run_time: Duration::from_millis(work_ms),
        actual_usage: need,
        ..TaskBehavior::default()
    };
    (spec, behavior)
}

/// The checkpoint that an emulated runner reports.
pub fn checkpoint(task: TaskKey, run: u32) -> Box<str> {
    checkpoint_text(task, run)
}
