//! Checks what runners and callers observe against the guarantees of the cell.

use crate::plan::PlannedSettings;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;
use yuccalink_coordination::Moment;
use yuccalink_coordination::jobs::{JobState, RunnerOrders};
use yuccalink_fakes::cancel_checker::CancelChecker;
use yuccalink_fakes::emulator::RunnerEvent;
use yuccalink_state::jobs::{JobId, RunOutcome, TaskKey};

/// Time after the acknowledgement of a job from which every process must know it.
const VISIBLE_AFTER: Duration = Duration::from_secs(3);
/// Time after the acknowledgement of an evacuation or a hold in which a start that was ordered before may
/// still come.
const ORDER_LIFETIME: Duration = Duration::from_millis(1_100);

/// Result of a soak.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SoakReport {
    /// Violated guarantees, in the order of their detection.
    pub violations: Vec<String>,
    /// Number of acknowledged jobs.
    pub accepted: usize,
    /// Number of jobs that were reported as completed.
    pub completed: usize,
    /// Number of jobs that were reported as failed after runners had crashed under their tasks.
    pub given_up: usize,
    /// Number of jobs in `given_up` whose own tasks crashed no runner.
    pub given_up_without_crash: usize,
    /// Number of runner crashes.
    pub crashes: usize,
    /// Number of runs that started.
    pub starts: usize,
    /// Number of acknowledged evacuations.
    pub evacuations: usize,
    /// Number of acknowledged change sets that hold the queue of the jobs.
    pub holds: usize,
    /// Number of reads that showed the acknowledged settings of the queue.
    pub settings_reads: usize,
    /// Number of injected faults.
    pub faults: usize,
    /// Number of jobs whose cancellation was answered.
    pub cancelled: usize,
    /// Number of jobs in `cancelled` whose first answer was that there is no such job.
    pub cancelled_unknown: usize,
    /// Longest time from the answer to a cancellation to the end of a run of its job.
    pub longest_stop: Duration,
    /// Times from the restart of all processes after the final fault until each process had
    /// answered a read of the change set, shortest first.
    pub read_back: Vec<Duration>,
}

#[derive(Default)]
struct Task {
    running: BTreeSet<usize>,
    done: bool,
    acknowledged: bool,
    runs: BTreeSet<u32>,
    /// Number of runners that the task crashed.
    crashes: usize,
    /// Number of runners that crashed while the task ran there.
    lost_runners: usize,
    /// Number of starts after [`CRASHES_TOLERATED`] crashes.
    starts_after_crashes: usize,
}

/// Number of runner crashes by a task after which it should hardly ever be started again.
const CRASHES_TOLERATED: usize = 3;
/// Number of starts after [`CRASHES_TOLERATED`] crashes that counts as a violation.
const STARTS_AFTER_CRASHES_LIMIT: usize = 3;

/// Ends of runs on one runner that are not acknowledged yet, by their number.
type UnacknowledgedEnds = BTreeMap<u64, (TaskKey, RunOutcome)>;

pub(crate) struct Watch {
    began: Instant,
    pub(crate) report: SoakReport,
    tasks: BTreeMap<TaskKey, Task>,
    unacknowledged: BTreeMap<usize, UnacknowledgedEnds>,
    end_counts: BTreeMap<usize, u64>,
    accepted: BTreeMap<JobId, (Instant, u16)>,
    pub(crate) completed: BTreeSet<JobId>,
    given_up: BTreeSet<JobId>,
    pub(crate) version: Option<(u64, Instant)>,
    /// Zones whose evacuation was acknowledged and not taken back, and since when.
    evacuated: BTreeMap<&'static str, Instant>,
    pub(crate) cancels: CancelChecker,
    long_running: BTreeSet<JobId>,
    /// Since when the queue of the jobs is on hold, by the acknowledgement of its operator.
    held: Option<Instant>,
    /// Jobs of queues that are never held.
    unheld: BTreeSet<JobId>,
}

/// The zone of a runner. There are two zones.
pub(crate) fn zone(runner: usize) -> &'static str {
    ["z0", "z1"][runner % 2]
}

impl Watch {
    pub(crate) fn new() -> Self {
        Self {
            began: Instant::now(),
            report: SoakReport::default(),
            tasks: BTreeMap::new(),
            unacknowledged: BTreeMap::new(),
            end_counts: BTreeMap::new(),
            accepted: BTreeMap::new(),
            completed: BTreeSet::new(),
            given_up: BTreeSet::new(),
            version: None,
            evacuated: BTreeMap::new(),
            cancels: CancelChecker::default(),
            long_running: BTreeSet::new(),
            held: None,
            unheld: BTreeSet::new(),
        }
    }

    fn moment(&self, at: Instant) -> Moment {
        Moment::ZERO + at.saturating_duration_since(self.began)
    }

    fn now(&self) -> Moment {
        self.moment(Instant::now())
    }

    fn record_violation(&mut self, what: String) {
        self.report.violations.push(what);
    }

    /// Records that the evacuation of a zone was acknowledged.
    pub(crate) fn record_evacuated(&mut self, zone: &'static str) {
        self.report.evacuations += 1;
        self.evacuated.entry(zone).or_insert_with(Instant::now);
    }

    /// Records that a zone is about to get work again.
    pub(crate) fn record_restoring(&mut self, zone: &'static str) {
        self.evacuated.remove(zone);
    }

    /// Records a job of a queue that is never held.
    pub(crate) fn record_unheld(&mut self, id: JobId) {
        self.unheld.insert(id);
    }

    /// Records that a change set with these settings is about to be sent.
    pub(crate) fn record_changing(&mut self, settings: PlannedSettings) {
        if !settings.hold {
            self.held = None;
        }
    }

    /// Records that a change set with these settings was acknowledged.
    pub(crate) fn record_settings(&mut self, settings: PlannedSettings) {
        if settings.hold {
            self.report.holds += 1;
            self.held.get_or_insert_with(Instant::now);
        }
    }

    /// Checks settings that were read while no change set was under way.
    pub(crate) fn check_settings(&mut self, seen: PlannedSettings, acknowledged: PlannedSettings) {
        self.report.settings_reads += 1;
        if seen != acknowledged {
            self.record_violation(format!("{seen:?} is shown, {acknowledged:?} was acknowledged"));
        }
    }

    pub(crate) fn record_accepted(&mut self, id: JobId, tasks: u16) {
        self.accepted.entry(id).or_insert((Instant::now(), tasks));
        self.report.accepted = self.accepted.len();
    }

    /// Records a job whose tasks run until they are stopped.
    pub(crate) fn record_long_running(&mut self, id: JobId) {
        self.long_running.insert(id);
    }

    pub(crate) fn is_long_running(&self, id: JobId) -> bool {
        self.long_running.contains(&id)
    }

    /// Whether a task of the job is at work.
    pub(crate) fn is_at_work(&self, id: JobId) -> bool {
        self.tasks.iter().any(|(key, task)| key.job == id && !task.running.is_empty())
    }

    /// Records an answer 2xx or 410 to a cancellation.
    pub(crate) fn record_cancelled(&mut self, id: JobId, is_unknown: bool) {
        if self.cancels.record_answered(id, is_unknown, self.now()) {
            self.report.cancelled += 1;
            self.report.cancelled_unknown += usize::from(is_unknown);
        }
    }

    /// Checks the runs at work on a runner whose lease is valid.
    pub(crate) fn check_at_work<T>(&mut self, runner: usize, running: T)
    where
        T: Iterator<Item = TaskKey>,
    {
        let now = self.now();
        let late = running.filter_map(|key| self.cancels.check_at_work(runner, key, now));
        self.report.violations.extend(late);
    }

    /// Checks orders that a runner applies, in the response to the report that listed `listed`
    /// and was sent at `sent`.
    pub(crate) fn check_orders(
        &mut self,
        runner: usize,
        sent: Instant,
        listed: &[(TaskKey, u32)],
        orders: &RunnerOrders,
    ) {
        let (sent, now) = (self.moment(sent), self.now());
        let violations = self.cancels.check_orders(runner, sent, now, listed, orders);
        self.report.violations.extend(violations);
    }

    pub(crate) fn open_jobs(&self) -> Vec<JobId> {
        let ended = |id: &JobId| {
            self.completed.contains(id)
                || self.given_up.contains(id)
                || self.cancels.is_requested(*id)
        };
        self.accepted.keys().filter(|id| !ended(id)).copied().collect()
    }

    /// Checks the response to a request for the state of a job that was sent at `asked`; `None`
    /// stands for an unknown job.
    pub(crate) fn check_state(&mut self, id: JobId, asked: Instant, state: Option<JobState>) {
        let (asked_at, now) = (self.moment(asked), self.now());
        let violation = state.and_then(|state| self.cancels.check_state(id, asked_at, now, state));
        self.report.violations.extend(violation);
        let Some((at, tasks)) = self.accepted.get(&id).copied() else { return };
        if self.cancels.is_requested(id) {
            if state == Some(JobState::Completed) {
                self.check_completed(id, tasks);
            }
            return;
        }
        match state {
            None if asked.duration_since(at) > VISIBLE_AFTER => {
                self.record_violation(format!("{id} was acknowledged but is unknown"));
            }
            Some(JobState::Completed) => {
                self.check_completed(id, tasks);
                self.completed.insert(id);
                self.report.completed = self.completed.len();
            }
            Some(JobState::Failed) if self.given_up.contains(&id) => {}
            Some(JobState::Failed) if self.lost_runners_of_job(id) >= 2 => {
                self.given_up.insert(id);
                let has_crashed =
                    self.tasks.iter().any(|(key, task)| key.job == id && task.crashes > 0);
                self.report.given_up_without_crash += usize::from(!has_crashed);
                self.report.given_up = self.given_up.len();
            }
            Some(JobState::Failed | JobState::Cancelled) => {
                self.record_violation(format!(
                    "{id} is {state:?} although no task failed and nobody cancelled it"
                ));
            }
            _ => {}
        }
    }

    fn check_completed(&mut self, id: JobId, tasks: u16) {
        let key = |index| TaskKey { job: id, occurrence: 0, step: 0, index };
        let missing = (0..tasks).find(|i| self.tasks.get(&key(*i)).is_none_or(|t| !t.done));
        if let Some(index) = missing {
            self.record_violation(format!("{id} is completed but its task {index} is not done"));
        }
    }

    /// Returns the highest number of runners that crashed under one task of the job.
    fn lost_runners_of_job(&self, id: JobId) -> usize {
        let of_job = self.tasks.iter().filter(|(key, _)| key.job == id);
        of_job.map(|(_, task)| task.lost_runners).max().unwrap_or(0)
    }

    /// Records that the task `by` crashed a runner; the incarnation and its runs are lost.
    pub(crate) fn record_crash(&mut self, runner: usize, by: TaskKey) {
        self.report.crashes += 1;
        self.unacknowledged.remove(&runner);
        self.end_counts.remove(&runner);
        for task in self.tasks.values_mut() {
            task.lost_runners += usize::from(task.running.remove(&runner));
        }
        self.tasks.entry(by).or_default().crashes += 1;
    }

    /// Records that a start exceeded the capacity of a runner.
    pub(crate) fn record_overcommit(&mut self, runner: usize) {
        self.record_violation(format!("a start exceeds the capacity of w{runner}"));
    }

    /// Checks the version in force that the operator received for a read sent at `asked`.
    pub(crate) fn check_version(&mut self, version: u64, asked: Instant) {
        if let Some((acknowledged, at)) = self.version
            && version < acknowledged
            && asked > at
        {
            self.record_violation(format!(
                "version {version} is returned after {acknowledged} was acknowledged"
            ));
        }
    }

    /// Checks the events of a runner.
    pub(crate) fn record_events(&mut self, runner: usize, events: Vec<RunnerEvent>) {
        for event in events {
            match event {
                RunnerEvent::Started { task, run, .. } => self.started(runner, task, run),
                RunnerEvent::Ended { task, outcome, .. } => self.ended(runner, task, outcome),
                RunnerEvent::EndsAcknowledged(upto) => self.acknowledged(runner, upto),
                RunnerEvent::LeaseExpired(_) => {
                    self.unacknowledged.remove(&runner);
                }
            }
        }
    }

    fn started(&mut self, runner: usize, key: TaskKey, run: u32) {
        self.report.starts += 1;
        let late = self.cancels.check_start(runner, key, run, self.now());
        self.report.violations.extend(late);
        let since = self.evacuated.get(zone(runner));
        if since.is_some_and(|since| since.elapsed() > ORDER_LIFETIME) {
            self.record_violation(format!(
                "{key} run {run} starts on w{runner} in the evacuated zone {}",
                zone(runner)
            ));
        }
        let held = self.held.is_some_and(|since| since.elapsed() > ORDER_LIFETIME);
        if held && !self.unheld.contains(&key.job) {
            self.record_violation(format!("{key} run {run} starts on w{runner} on hold"));
        }
        let task = self.tasks.entry(key).or_default();
        let elsewhere = !task.running.is_empty();
        let again = !task.runs.insert(run);
        let acknowledged = task.acknowledged;
        task.running.insert(runner);
        task.starts_after_crashes += usize::from(task.crashes >= CRASHES_TOLERATED);
        let too_often = task.starts_after_crashes >= STARTS_AFTER_CRASHES_LIMIT;
        if elsewhere {
            self.record_violation(format!("{key} run {run} starts while the task runs elsewhere"));
        }
        if again {
            self.record_violation(format!("{key} run {run} starts twice"));
        }
        if too_often {
            self.record_violation(format!(
                "{key} run {run} starts too often after {CRASHES_TOLERATED} crashes"
            ));
        }
        if acknowledged {
            self.record_violation(format!(
                "{key} run {run} starts after the end of the task was acknowledged"
            ));
        }
    }

    fn ended(&mut self, runner: usize, key: TaskKey, outcome: RunOutcome) {
        self.cancels.record_end(key, self.now());
        self.report.longest_stop = self.cancels.longest_stop();
        let task = self.tasks.entry(key).or_default();
        task.running.remove(&runner);
        task.done |= outcome == RunOutcome::Done;
        let count = self.end_counts.entry(runner).or_default();
        *count += 1;
        self.unacknowledged.entry(runner).or_default().insert(*count, (key, outcome));
    }

    fn acknowledged(&mut self, runner: usize, upto: u64) {
        let Some(unacknowledged) = self.unacknowledged.get_mut(&runner) else { return };
        let rest = unacknowledged.split_off(&(upto + 1));
        for (key, outcome) in std::mem::replace(unacknowledged, rest).into_values() {
            if outcome == RunOutcome::Done {
                self.tasks.entry(key).or_default().acknowledged = true;
            }
        }
    }
}
