//! Runs of cancelled jobs until they have ended: when their stops were ordered, which of them are
//! still at work long after the cancellation, and how long the last one took to end.
//!
//! Nothing here decides anything.

use crate::histogram::Histogram;
use crate::jobs::cancellation::OrNone;
use crate::jobs::leader::{Leader, Now};
use crate::moment::Moment;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use yuccalink_state::jobs::{
    CellState, IncarnationKey, Job, JobId, JobPhase, RunAssignment, RunEnd, TaskKey,
};

/// Time after the commit of a cancellation from which a run at work is logged as late.
const LATE_AFTER: Duration = Duration::from_secs(3);
/// Longest age of a cancellation that an earlier leader committed. The wall clock, from which the
/// age is computed, may have jumped.
const INHERITED_AGE_MAX: Duration = Duration::from_secs(60);

/// Index of the cancelled jobs with runs that may still be at work, and of no others.
#[derive(Debug, Default)]
pub(in crate::jobs) struct CancelledRuns {
    jobs: BTreeMap<JobId, CancelledJob>,
    /// Jobs whose runs were not checked for lateness yet, by when they are.
    checks: BTreeSet<(Moment, JobId)>,
    times: Histogram,
}

#[derive(Debug)]
struct CancelledJob {
    since: Moment,
    check_at: Moment,
    runs: BTreeMap<(TaskKey, u32), CancelledRun>,
}

#[derive(Clone, Copy, Debug)]
struct CancelledRun {
    incarnation: IncarnationKey,
    first_stop: Option<Moment>,
    late_logged: bool,
    without_lease_logged: bool,
}

/// A stop that is ordered for a run of a cancelled job.
struct OrderedStop {
    repeated: bool,
    /// The run is late, and this was not logged yet.
    late: bool,
}

impl CancelledRuns {
    /// Builds the index of a leader that takes over at `now`.
    pub(in crate::jobs) fn from_state(state: &CellState, now: Now) -> Self {
        let mut index = Self::default();
        for (id, job) in state.all().filter(|(_, job)| job.phase == JobPhase::Cancelled) {
            let age = Duration::from_millis(now.unix_ms.saturating_sub(job.ended_ms));
            let since = now.at - age.min(INHERITED_AGE_MAX);
            index.add(id, job, since, now.at + LATE_AFTER);
        }
        index
    }

    fn add(&mut self, id: JobId, job: &Job, since: Moment, check_at: Moment) {
        let run = |(task, assignment): (TaskKey, _)| {
            let RunAssignment { run, incarnation } = assignment;
            let entry = CancelledRun {
                incarnation,
                first_stop: None,
                late_logged: false,
                without_lease_logged: false,
            };
            ((task, run), entry)
        };
        let runs: BTreeMap<_, _> = job.assignments(id).map(run).collect();
        if !runs.is_empty() {
            self.checks.insert((check_at, id));
            self.jobs.insert(id, CancelledJob { since, check_at, runs });
        }
    }

    fn run_mut(&mut self, task: TaskKey, run: u32) -> Option<&mut CancelledRun> {
        self.jobs.get_mut(&task.job)?.runs.get_mut(&(task, run))
    }

    fn stop_ordered(&mut self, now: Moment, task: TaskKey, run: u32) -> Option<OrderedStop> {
        let job = self.jobs.get_mut(&task.job)?;
        let is_late = now >= job.check_at;
        let entry = job.runs.get_mut(&(task, run))?;
        let repeated = entry.first_stop.is_some();
        entry.first_stop.get_or_insert(now);
        Some(OrderedStop { repeated, late: is_late && !entry.late_logged })
    }

    /// Removes a run. Returns the time since the cancellation if it was the last one.
    fn run_ended(&mut self, now: Moment, end: &RunEnd) -> Option<Duration> {
        let job = self.jobs.get_mut(&end.task.job)?;
        let run = (end.task, end.run);
        if job.runs.get(&run).is_none_or(|entry| entry.incarnation != end.incarnation) {
            return None;
        }
        job.runs.remove(&run);
        if !job.runs.is_empty() {
            return None;
        }
        let job = self.jobs.remove(&end.task.job)?;
        self.checks.remove(&(job.check_at, end.task.job));
        let after = now.since(job.since);
        self.times.record(after);
        Some(after)
    }

    /// Takes the jobs whose runs are late now.
    fn take_due(&mut self, now: Moment) -> Vec<JobId> {
        let mut due = Vec::new();
        while self.checks.first().is_some_and(|(at, _)| *at <= now) {
            due.extend(self.checks.pop_first().map(|(_, id)| id));
        }
        due
    }
}

impl Leader {
    /// Number of cancelled jobs with runs that may still be at work.
    pub fn cancelled_with_runs_len(&self) -> usize {
        self.cancelled_runs.jobs.len()
    }

    /// Times from the commit of a cancellation to the end of the last run of its job. For the
    /// cancellations that an earlier leader committed they depend on the wall clock.
    pub fn cancellation_times(&self) -> &Histogram {
        &self.cancelled_runs.times
    }

    /// Adds the runs of a job whose cancellation was just committed.
    pub(in crate::jobs) fn add_cancelled_runs(&mut self, now: Now, id: JobId) {
        if let Some(job) = self.state.job(id) {
            self.cancelled_runs.add(id, job, now.at, now.at + LATE_AFTER);
        }
    }

    pub(in crate::jobs) fn cancelled_run_ended(&mut self, now: Now, end: &RunEnd) {
        if let Some(after) = self.cancelled_runs.run_ended(now.at, end) {
            log::info!("job={} cancelled runs-ended after={after:?}", end.task.job);
        }
    }

    /// Records the stops in the response to a report of a runner.
    pub(in crate::jobs) fn note_stops(
        &mut self,
        now: Now,
        key: IncarnationKey,
        stops: &[(TaskKey, u32)],
    ) {
        for (task, run) in stops {
            let Some(stop) = self.cancelled_runs.stop_ordered(now.at, *task, *run) else {
                self.note_stop_after_end(key, *task, *run);
                continue;
            };
            if stop.late {
                self.log_late_run(now, *task, *run);
            }
            if stop.repeated {
                self.counts.cancels.stops_repeated += 1;
                continue;
            }
            self.counts.cancels.stops_ordered += 1;
            let runner = self.runners.get(&key).map(|runner| &*runner.id);
            log::info!("stop task={task} run={run} runner={} why=cancelled", OrNone(runner));
        }
    }

    /// Records the stop of a run that its runner lists although its end is committed.
    fn note_stop_after_end(&mut self, key: IncarnationKey, task: TaskKey, run: u32) {
        if self.is_cancelled(task.job) {
            self.counts.cancels.stops_after_end += 1;
            let runner = self.runners.get(&key).map(|runner| &*runner.id);
            log::info!("stop task={task} run={run} runner={} why=ended-before", OrNone(runner));
        }
    }

    fn is_cancelled(&self, id: JobId) -> bool {
        self.state.job(id).is_some_and(|job| job.phase == JobPhase::Cancelled)
    }

    /// Records the stops in an answer that renews no lease, and why it renews none.
    pub(in crate::jobs) fn note_stops_without_lease(
        &mut self,
        runner: &str,
        stops: &[(TaskKey, u32)],
        why: &str,
    ) {
        let cancelled = stops.iter().filter(|(task, _)| self.is_cancelled(task.job));
        let cancelled: Vec<(TaskKey, u32)> = cancelled.copied().collect();
        self.counts.cancels.reports_without_lease += u64::from(!cancelled.is_empty());
        for (task, run) in cancelled {
            let Some(entry) = self.cancelled_runs.run_mut(task, run) else { continue };
            if !std::mem::replace(&mut entry.without_lease_logged, true) {
                log::info!("stop task={task} run={run} runner={runner} without-lease: {why}");
            }
        }
    }

    /// Logs the runs of cancelled jobs that are still listed by their runners, or may be at work on
    /// a silent one, once for each.
    pub(in crate::jobs) fn log_late_runs(&mut self, now: Now) {
        for id in self.cancelled_runs.take_due(now.at) {
            let runs = self.cancelled_runs.jobs.get(&id).map(|job| &job.runs);
            let at_work = |entry: &CancelledRun, task, run| {
                // A runner that has not reported since may have started what it was ordered to.
                self.runners.get(&entry.incarnation).is_none_or(|runner| {
                    let ordered = runner.ordered.contains_key(&(task, run));
                    ordered || runner.view(task, run).is_some()
                })
            };
            let late: Vec<(TaskKey, u32)> = runs
                .into_iter()
                .flatten()
                .filter(|((task, run), entry)| at_work(entry, *task, *run))
                .map(|(run, _)| *run)
                .collect();
            for (task, run) in late {
                self.log_late_run(now, task, run);
            }
        }
    }

    fn log_late_run(&mut self, now: Now, task: TaskKey, run: u32) {
        let Some(job) = self.cancelled_runs.jobs.get_mut(&task.job) else { return };
        let Some(entry) = job.runs.get_mut(&(task, run)) else { return };
        entry.late_logged = true;
        self.counts.cancels.stops_late += 1;
        let name = self.state.incarnation(entry.incarnation).map(|runner| &*runner.id);
        let last_report = self.runners.get(&entry.incarnation).map(|runner| runner.last_report_at);
        let millis_ago = |at: Moment| format!("{}ms", now.at.since(at).as_millis());
        log::info!(
            "late stop task={task} run={run} runner={} after={} last-report-ago={} \
             first-stop-ago={}",
            OrNone(name),
            millis_ago(job.since),
            OrNone(last_report.map(millis_ago)),
            OrNone(entry.first_stop.map(millis_ago))
        );
    }
}
