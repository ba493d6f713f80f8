//! Emulates a runner of a job cell without a network: it applies orders, observes leases,
//! ends tasks and sends reports. The caller supplies the time and the behavior of the tasks,
//! so that a whole day of many runners is simulated quickly and deterministically.

use std::collections::BTreeMap;
use std::time::Duration;
use yuccalink_coordination::Moment;
use yuccalink_coordination::jobs::messages::FINISHED_PER_REPORT_MAX;
use yuccalink_coordination::jobs::{
    FinishedRun, ReportedRun, RunnerOrders, RunnerReport, RunnerState,
};
use yuccalink_state::Resources;
use yuccalink_state::jobs::{RunOutcome, TaskKey};

/// Time from the order to stop a run until its end.
const STOP_DURATION: Duration = Duration::from_millis(100);
/// Time after a reduction of the capacity during which the leader may still start tasks up to
/// the former capacity: no process may be reachable for the first part of it, and the rest is
/// the interval of one report.
const CAPACITY_REDUCTION_GRACE: Duration = Duration::from_millis(4_500);
/// A response that arrives later than this after its report was sent is ignored.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Factor by which tasks on a slow runner take longer.
const SLOW_FACTOR: u32 = 5;

/// A task that makes its runner crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Time from the start of the run to the crash.
    pub after: Duration,
    /// Number of runs in a thousand that crash their runner.
    pub per_mille: u16,
}

impl Crash {
    /// Every run crashes its runner at this time after its start.
    pub const fn each(after: Duration) -> Self {
        Self { after, per_mille: 1_000 }
    }

    /// Returns whether this run crashes its runner; the result is a fixed function of the task
    /// and the run.
    fn happens_in(self, task: TaskKey, run: u32) -> bool {
        const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
        let seed = task.job.0 ^ (u64::from(task.index) << 20) ^ (u64::from(run) << 40);
        (seed.wrapping_mul(MULTIPLIER) >> 32) % 1_000 < u64::from(self.per_mille)
    }
}

/// Actual behavior of a task, whatever was declared.
#[derive(Clone, Copy, Debug, Default)]
pub struct TaskBehavior {
    /// Run time on a healthy runner.
    pub run_time: Duration,
    /// The task fails at the end of its run time.
    pub fails: bool,
    /// The task runs until it is stopped.
    pub long_running: bool,
    /// Resources that the task actually uses.
    pub actual_usage: Resources,
    /// When and how often the task crashes its runner, if it does.
    pub crash: Option<Crash>,
}

/// An event on an emulated runner, for invariant checks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunnerEvent {
    /// A run started.
    Started {
        /// Task of the run.
        task: TaskKey,
        /// Number of the run.
        run: u32,
        /// Time of the start.
        at: Moment,
    },
    /// A run ended.
    Ended {
        /// Task of the run.
        task: TaskKey,
        /// Number of the run.
        run: u32,
        /// How the run ended.
        outcome: RunOutcome,
        /// Time of the end.
        at: Moment,
    },
    /// The leader has acknowledged the finished runs up to this number.
    EndsAcknowledged(u64),
    /// The lease expired at this time.
    LeaseExpired(Moment),
}

#[derive(Clone, Debug)]
struct Run {
    run: u32,
    behavior: TaskBehavior,
    done: Duration,
    started_at: Moment,
    stop_at: Option<Moment>,
    rate: u8,
}

/// How an emulated runner misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RunnerFault {
    /// The runner works correctly.
    #[default]
    None,
    /// Every task fails immediately.
    FailsAll,
    /// Tasks make no progress.
    TasksStall,
    /// Tasks take five times as long.
    Slow,
}

/// One incarnation of an emulated runner.
#[derive(Clone, Debug)]
pub struct EmulatedRunner {
    /// Name of the runner.
    pub id: Box<str>,
    /// Name at the first start, which is also one of the runner's labels.
    name: Box<str>,
    /// Address that the runner reports.
    pub address: Box<str>,
    /// Start of this incarnation, in ms.
    pub started_ms: u64,
    /// How the runner misbehaves.
    pub fault: RunnerFault,
    /// State in the reports, which says whether the runner accepts new tasks.
    pub state: RunnerState,
    /// Announced time at which the runner terminates, if any.
    pub terminates_at: Option<Moment>,
    /// Total resources of the runner.
    pub capacity: Resources,
    /// How much the clock of the runner is slow, in parts per million.
    pub slow_ppm: u64,
    /// Availability zone in the reports.
    pub zone: Box<str>,
    rack: Box<str>,
    sequence: u64,
    token: u64,
    lease_end: Moment,
    has_lease: bool,
    runs: BTreeMap<TaskKey, Run>,
    finished: Vec<FinishedRun>,
    last_end_number: u64,
    highest_runs: BTreeMap<TaskKey, u32>,
    time: Moment,
    events: Vec<RunnerEvent>,
    /// Capacities before a reduction, each with the time until which it may still be in use.
    former_capacities: Vec<(Moment, Resources)>,
    crashed_by: Option<TaskKey>,
}

impl EmulatedRunner {
    /// Creates an incarnation without running tasks.
    ///
    /// ```
    /// use yuccalink_coordination::Moment;
    /// use yuccalink_fakes::emulator::EmulatedRunner;
    /// use yuccalink_state::Resources;
    /// let mut runner = EmulatedRunner::new("w1", "r1", 7, Resources::ZERO, Moment::ZERO);
    /// assert_eq!(runner.report(Moment::ZERO).sequence, 1);
    /// ```
    pub fn new(id: &str, rack: &str, started_ms: u64, capacity: Resources, now: Moment) -> Self {
        Self {
            id: id.into(),
            name: id.into(),
            address: id.into(),
            started_ms,
            fault: RunnerFault::None,
            state: RunnerState::Ready,
            terminates_at: None,
            capacity,
            slow_ppm: 0,
            zone: "zone".into(),
            rack: rack.into(),
            sequence: 0,
            token: 0,
            lease_end: now,
            has_lease: false,
            runs: BTreeMap::new(),
            finished: Vec::new(),
            last_end_number: 0,
            highest_runs: BTreeMap::new(),
            time: now,
            events: Vec::new(),
            former_capacities: Vec::new(),
            crashed_by: None,
        }
    }

    /// Returns the task that has crashed this runner, if any. The incarnation is then over.
    pub fn crashed_by(&self) -> Option<TaskKey> {
        self.crashed_by
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<RunnerEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the ends that are not acknowledged, in the order of their numbers.
    pub fn unacknowledged(&self) -> &[FinishedRun] {
        &self.finished
    }

    /// Returns whether `task` runs on this runner.
    pub fn is_running(&self, task: TaskKey) -> bool {
        self.runs.contains_key(&task)
    }

    /// Returns the running tasks.
    pub fn running(&self) -> impl Iterator<Item = TaskKey> {
        self.runs.keys().copied()
    }

    /// Returns the running tasks, each with the number of its run.
    pub fn runs(&self) -> impl Iterator<Item = (TaskKey, u32)> {
        self.runs.iter().map(|(task, run)| (*task, run.run))
    }

    /// Returns the resources that the running tasks actually use.
    pub fn resources_in_use(&self) -> Resources {
        let all = self.runs.values().map(|run| run.behavior.actual_usage);
        all.fold(Resources::ZERO, |sum, need| sum.plus(need).unwrap_or(sum))
    }

    /// Changes the capacity of the runner.
    ///
    /// ```
    /// use yuccalink_coordination::Moment;
    /// use yuccalink_fakes::emulator::EmulatedRunner;
    /// use yuccalink_state::Resources;
    /// let mut runner = EmulatedRunner::new("w1", "r1", 7, Resources::ZERO, Moment::ZERO);
    /// runner.resize(Resources { millicores: 1_000, ..Resources::ZERO }, Moment::ZERO);
    /// assert!(runner.is_within_capacity(Moment::ZERO));
    /// ```
    pub fn resize(&mut self, capacity: Resources, now: Moment) {
        let former = std::mem::replace(&mut self.capacity, capacity);
        if !capacity.covers(former) {
            self.former_capacities.push((now + CAPACITY_REDUCTION_GRACE, former));
        }
    }

    /// Returns whether the running tasks fit the current capacity, or one that was reduced
    /// so recently that the leader may not know.
    pub fn is_within_capacity(&mut self, now: Moment) -> bool {
        self.former_capacities.retain(|(until, _)| now < *until);
        let mut capacities =
            self.former_capacities.iter().map(|(_, capacity)| *capacity).chain([self.capacity]);
        let in_use = self.resources_in_use();
        capacities.any(|capacity| capacity.covers(in_use))
    }

    /// Advances the time to `now`: tasks progress and end, and the lease may expire.
    pub fn advance(&mut self, now: Moment) {
        let passed = now.since(self.time);
        self.time = now;
        if now >= self.lease_end {
            // A runner without runs holds nothing whose lease could expire.
            if std::mem::take(&mut self.has_lease) && !self.runs.is_empty() {
                self.events.push(RunnerEvent::LeaseExpired(now));
            }
            let all: Vec<TaskKey> = self.runs.keys().copied().collect();
            for task in all {
                self.end(task, RunOutcome::Lapsed);
            }
        }
        let mut ends = Vec::new();
        for (task, run) in &mut self.runs {
            let is_due = |crash: &Crash| now.since(run.started_at) >= crash.after;
            let crash = run.behavior.crash.filter(is_due);
            if crash.is_some_and(|crash| crash.happens_in(*task, run.run)) {
                self.crashed_by.get_or_insert(*task);
            }
            if run.stop_at.is_some_and(|at| now >= at) {
                ends.push((*task, RunOutcome::Stopped));
                continue;
            }
            match self.fault {
                RunnerFault::FailsAll => ends.push((*task, RunOutcome::Failed)),
                RunnerFault::TasksStall => {}
                RunnerFault::None | RunnerFault::Slow => {
                    let slowdown = if self.fault == RunnerFault::Slow { SLOW_FACTOR } else { 1 };
                    run.done += passed * u32::from(run.rate) / 100 / slowdown;
                    if run.done >= run.behavior.run_time && !run.behavior.long_running {
                        ends.push((
                            *task,
                            if run.behavior.fails { RunOutcome::Failed } else { RunOutcome::Done },
                        ));
                    }
                }
            }
        }
        for (task, outcome) in ends {
            self.end(task, outcome);
        }
    }

    fn end(&mut self, task: TaskKey, outcome: RunOutcome) {
        let Some(run) = self.runs.remove(&task) else { return };
        self.last_end_number += 1;
        let highest_run = self.highest_runs.entry(task).or_default();
        *highest_run = (*highest_run).max(run.run);
        let checkpoint = checkpoint_text(task, run.run);
        let number = self.last_end_number;
        self.finished.push(FinishedRun {
            number,
            task: Some(task),
            run: run.run,
            outcome,
            checkpoint,
        });
        self.events.push(RunnerEvent::Ended { task, run: run.run, outcome, at: self.time });
    }

    /// Advances the time to `now` and returns the next report.
    pub fn report(&mut self, now: Moment) -> RunnerReport {
        self.advance(now);
        self.sequence += 1;
        let running = self.runs.iter().map(|(task, run)| ReportedRun {
            task: *task,
            run: run.run,
            checkpoint: checkpoint_text(*task, run.run),
            percent: percent(run),
            usage_or_tail: None,
        });
        RunnerReport {
            runner: self.id.clone(),
            started_ms: self.started_ms,
            sequence: self.sequence,
            pool: "pool".into(),
            address: self.address.clone(),
            zone: self.zone.clone(),
            state: self.state,
            remaining_ms: self.terminates_at.map(|at| remaining_ms(at, now)),
            capacity: self.capacity,
            labels: vec!["a".into(), self.rack.clone(), self.name.clone()],
            rack: self.rack.clone(),
            running: running.collect(),
            finished: self.finished.iter().take(FINISHED_PER_REPORT_MAX).cloned().collect(),
        }
    }

    /// Applies the orders in the response to the report that was sent at `sent`.
    pub fn apply_orders<F>(&mut self, now: Moment, sent: Moment, orders: &RunnerOrders, behavior: F)
    where
        F: Fn(TaskKey) -> Option<TaskBehavior>,
    {
        self.advance(now);
        if orders.token < self.token || now.since(sent) > RESPONSE_TIMEOUT {
            return;
        }
        self.token = orders.token;
        self.finished.retain(|end| end.number > orders.acked_through);
        self.events.push(RunnerEvent::EndsAcknowledged(orders.acked_through));
        for (task, run) in &orders.stop {
            self.stop(*task, *run);
        }
        for (task, run, rate) in &orders.rates {
            if let Some(found) = self.runs.get_mut(task).filter(|found| found.run == *run) {
                found.rate = *rate;
            }
        }
        if orders.lease_ms == 0 {
            return;
        }
        // A slow clock takes longer to measure the lease.
        let span = Duration::from_millis(orders.lease_ms);
        let slow = Duration::from_micros(orders.lease_ms * self.slow_ppm / 1_000);
        self.lease_end = self.lease_end.max(sent + span + slow);
        if self.lease_end <= now {
            return;
        }
        self.has_lease = true;
        for start in &orders.start {
            if let Some(behavior) = behavior(start.task) {
                self.start(start.task, start.run, behavior);
            }
        }
    }

    fn start(&mut self, task: TaskKey, run: u32, behavior: TaskBehavior) {
        let ended = self.highest_runs.get(&task).copied().unwrap_or(0);
        if self.runs.get(&task).is_some_and(|there| there.run == run) {
            return;
        }
        if run <= ended || self.runs.contains_key(&task) {
            self.last_end_number += 1;
            self.finished.push(FinishedRun {
                number: self.last_end_number,
                task: Some(task),
                run,
                outcome: RunOutcome::Refused,
                checkpoint: Box::default(),
            });
            let (outcome, at) = (RunOutcome::Refused, self.time);
            return self.events.push(RunnerEvent::Ended { task, run, outcome, at });
        }
        let done = Duration::ZERO;
        let started_at = self.time;
        self.runs.insert(task, Run { run, behavior, done, started_at, stop_at: None, rate: 100 });
        self.events.push(RunnerEvent::Started { task, run, at: self.time });
    }

    fn stop(&mut self, task: TaskKey, run: u32) {
        let at = self.time;
        match self.runs.get_mut(&task).filter(|found| found.run == run) {
            Some(found) => {
                found.stop_at.get_or_insert(at + STOP_DURATION);
            }
            None => {
                let highest_run = self.highest_runs.entry(task).or_default();
                *highest_run = (*highest_run).max(run);
            }
        }
    }
}

/// Returns the checkpoint of a run. It names its task, so that a checkpoint that is passed to
/// the wrong task is detected.
pub fn checkpoint_text(task: TaskKey, run: u32) -> Box<str> {
    format!("{task}/{run}").into()
}

fn percent(run: &Run) -> u8 {
    if run.behavior.long_running {
        return 100;
    }
    let work = run.behavior.run_time.as_micros().max(1);
    u8::try_from((run.done.as_micros() * 100 / work).min(99)).unwrap_or(99)
}

fn remaining_ms(leaves_at: Moment, now: Moment) -> u64 {
    u64::try_from(leaves_at.since(now).as_millis()).unwrap_or(u64::MAX)
}
