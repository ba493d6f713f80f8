//! State of one runner incarnation as the leader knows it: the last report, the lease, and
//! how the runs end.

use crate::jobs::expiry::AwaitedExpiry;
use crate::jobs::interference::ImageKey;
use crate::jobs::job_harm::ReportedTasks;
use crate::jobs::messages::{ReportedRun, RunnerReport, RunnerState};
use crate::jobs::policy::{Millis, Switch};
use crate::jobs::ready::StepKey;
use crate::moment::Moment;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use yuccalink_state::Resources;
use yuccalink_state::jobs::{IncarnationKey, TaskKey};

/// Largest rate, in percent, at which a runner's monotonic clock may lose time; guaranteed by
/// the platform.
const RUNNER_CLOCK_SLOW_PERCENT: u32 = 2;
/// Largest rate, in percent, at which this VM's clock may lose time against true time; see
/// [`crate::moment::DRIFT_PPM`].
const OWN_CLOCK_SLOW_PERCENT: u32 = 1;
/// Added to a lease before it counts as expired, because the runner may read its clock this
/// much too late.
const LEASE_SLACK: Duration = Duration::from_millis(100);
/// Age after which a runner certainly drops an order: one second, plus slack for the two
/// clocks.
const ORDER_LIFETIME_MAX: Duration = Duration::from_millis(1_100);
/// A runner whose last report is more recent than this is expected to report again soon, as is
/// one that was asked to report later.
const RECENT_REPORT_AGE_MAX: Duration = Duration::from_millis(1_500);

/// Time by which a report may come later than asked for.
const REPORT_SLACK: Duration = Duration::from_millis(500);

/// Starts fewer tasks on runners whose runs fail or stall.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct DistrustPolicy {
    /// Whether runners with failed or stalled runs get fewer tasks.
    pub mode: Switch,
    /// Consecutive failed or stalled runs after which a runner is quarantined. A single failed
    /// run is common: two to five tasks in a hundred fail by their own fault.
    #[serde(rename = "bad-ends-max")]
    pub failures_max: u32,
    /// How long a quarantined runner gets no new tasks.
    #[serde(rename = "quarantine-ms")]
    pub quarantine: Millis,
    /// A runner is fully trusted again after this long without a failed or stalled run. The
    /// longest of the usual faults is over by then.
    #[serde(rename = "forgiven-ms")]
    pub forgiven: Millis,
    /// A run whose progress has not changed for this long is stalled. Heartbeats come at least
    /// once a second, and a long run advances by a percent in much less, so two heartbeats
    /// without progress are no coincidence.
    #[serde(rename = "standing-ms")]
    pub stalled_after: Millis,
}

impl Default for DistrustPolicy {
    fn default() -> Self {
        Self {
            mode: Switch::On,
            failures_max: 2,
            quarantine: Millis(2_500),
            forgiven: Millis(8_000),
            stalled_after: Millis(1_800),
        }
    }
}

/// Time after which a lease of `span`, granted now, has expired on the runner's clock too.
pub fn lease_expiry_bound(span: Duration) -> Duration {
    span + span * (RUNNER_CLOCK_SLOW_PERCENT + OWN_CLOCK_SLOW_PERCENT) / 100 + LEASE_SLACK
}

/// How the recent runs on a runner ended.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::jobs) struct Health {
    /// Failed or stalled runs since the last successful run.
    consecutive_failures: u32,
    last_failure: Moment,
}

/// Which tasks may start on a runner, by its health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::jobs) enum Trust {
    /// All tasks.
    Full,
    /// Only tasks that may fail once more and be retried.
    RetryableOnly,
    /// One task that may fail once more, to probe the runner.
    Probe,
    /// No tasks.
    None,
}

impl Health {
    /// The health as an earlier leader knew it.
    pub(in crate::jobs) fn recalled(consecutive_failures: u32, last_failure: Moment) -> Self {
        Self { consecutive_failures, last_failure }
    }

    /// Failed or stalled runs since the last success, if any, and the age of the last one.
    pub(in crate::jobs) fn failures(self, now: Moment) -> Option<(u32, Duration)> {
        (self.consecutive_failures > 0)
            .then(|| (self.consecutive_failures, now.since(self.last_failure)))
    }

    pub(in crate::jobs) fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }

    pub(in crate::jobs) fn record_failure(&mut self, now: Moment) {
        self.consecutive_failures += 1;
        self.last_failure = now;
    }

    pub(in crate::jobs) fn trust(self, now: Moment, policy: &DistrustPolicy) -> Trust {
        // Without a time limit, a task's last attempt would wait for ever if every runner had a
        // failed run and no other task is left whose success could restore the trust.
        let forgiven = now.since(self.last_failure) > policy.forgiven.to_duration();
        if self.consecutive_failures == 0 || forgiven || policy.mode == Switch::Off {
            return Trust::Full;
        }
        if self.consecutive_failures < policy.failures_max {
            return Trust::RetryableOnly;
        }
        match now.since(self.last_failure) < policy.quarantine.to_duration() {
            true => Trust::None,
            false => Trust::Probe,
        }
    }
}

/// One run as its runner last reported it.
#[derive(Clone, Debug)]
pub(in crate::jobs) struct RunView {
    pub(in crate::jobs) run: u32,
    pub(in crate::jobs) checkpoint: Box<str>,
    pub(in crate::jobs) percent: u8,
    pub(in crate::jobs) usage_or_tail: Option<u64>,
    pub(in crate::jobs) first_seen: Moment,
    /// How long the runner has listed the run.
    pub(in crate::jobs) age: Duration,
    pub(in crate::jobs) progressed_at: Moment,
    /// The run must stop; the order is repeated with each heartbeat until the run is gone.
    pub(in crate::jobs) stopping: bool,
    /// Pace of the run in percent of full speed; `None` if this leader does not know it.
    pub(in crate::jobs) pace: Option<u8>,
}

impl RunView {
    /// Remaining run time, from the progress, or from the estimate if there is no progress.
    pub(in crate::jobs) fn time_left(&self, now: Moment, estimate_ms: u64) -> Duration {
        let ran = now.since(self.first_seen);
        let left = u32::from(100 - self.percent.min(100));
        match self.percent {
            0 => Duration::from_millis(estimate_ms).saturating_sub(ran),
            percent => ran * left / u32::from(percent),
        }
    }

    pub(in crate::jobs) fn is_stalled(&self, now: Moment, after: Millis) -> bool {
        self.pace == Some(100)
            && self.percent < 100
            && now.since(self.progressed_at) > after.to_duration()
    }
}

/// A runner incarnation that has reported to this leader.
#[derive(Debug)]
pub(in crate::jobs) struct Runner {
    pub(in crate::jobs) key: IncarnationKey,
    pub(in crate::jobs) id: Box<str>,
    pub(in crate::jobs) pool: Box<str>,
    /// Availability zone, empty as long as no report names it.
    pub(in crate::jobs) zone: Box<str>,
    /// The zone is under evacuation.
    pub(in crate::jobs) zone_evacuated: bool,
    pub(in crate::jobs) rack: Box<str>,
    pub(in crate::jobs) labels: Vec<Box<str>>,
    pub(in crate::jobs) capacity: Resources,
    pub(in crate::jobs) state: RunnerState,
    /// The machine of the runner will go down for maintenance.
    pub(in crate::jobs) maintenance_pending: bool,
    pub(in crate::jobs) terminates_at: Option<Moment>,
    pub(in crate::jobs) sequence: u64,
    pub(in crate::jobs) last_report_at: Moment,
    /// Time by which the next report should have arrived.
    pub(in crate::jobs) next_report_by: Moment,
    /// Time at which all leases that this leader granted have certainly expired.
    pub(in crate::jobs) lease_end: Moment,
    /// Run ends up to this number are committed.
    pub(in crate::jobs) acked_through: u64,
    /// Run ends up to this number are proposed.
    pub(in crate::jobs) proposed_through: u64,
    /// The lease must expire before the ends of runs that were given up can be acknowledged.
    pub(in crate::jobs) awaited_expiry: Option<AwaitedExpiry>,
    /// The last report was full of run ends, so that later ones may not be listed.
    pub(in crate::jobs) may_hide_ends: bool,
    pub(in crate::jobs) running: BTreeMap<TaskKey, RunView>,
    /// Runs that were ordered to start, and when the order was last sent.
    pub(in crate::jobs) ordered: BTreeMap<(TaskKey, u32), Moment>,
    /// Runs that the runner has not listed since they were first ordered, and when that was.
    ordered_since: BTreeMap<(TaskKey, u32), Moment>,
    /// Assigned runs that the runner must not start any more, and since when they are not
    /// ordered.
    withheld: BTreeMap<(TaskKey, u32), Moment>,
    pub(in crate::jobs) health: Health,
    pub(in crate::jobs) free: Resources,
    /// CPU reserved for long-running tasks, in millicores.
    pub(in crate::jobs) long_running_millicores: u64,
    /// Image of the serving tasks on the runner, if there is only one such image.
    pub(in crate::jobs) serving_image: Option<ImageKey>,
    /// Pace of the background tasks of an image, in percent of full speed; 100 for images
    /// that are not listed.
    pub(in crate::jobs) paces: BTreeMap<ImageKey, u8>,
    pub(in crate::jobs) paced_at: Moment,
    /// Since when a serving task on the runner has exceeded its bound.
    pub(in crate::jobs) bound_exceeded_since: Option<Moment>,
    /// Tasks of each serving step, as counted in the sums of their jobs.
    pub(in crate::jobs) serving_tasks: Vec<ReportedTasks<StepKey>>,
    /// Cores that background tasks use, at full pace and at their pace.
    pub(in crate::jobs) background_cores: BackgroundCores,
}

/// Cores that the background tasks on one runner use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(in crate::jobs) struct BackgroundCores {
    pub(in crate::jobs) full_pace: f64,
    pub(in crate::jobs) paced: f64,
}

impl Runner {
    pub(in crate::jobs) fn new(key: IncarnationKey, report: &RunnerReport, now: Moment) -> Self {
        Self {
            key,
            id: report.runner.clone(),
            pool: report.pool.clone(),
            zone: report.zone.clone(),
            zone_evacuated: false,
            rack: report.rack.clone(),
            labels: report.labels.clone(),
            capacity: report.capacity,
            state: report.state,
            maintenance_pending: false,
            terminates_at: None,
            sequence: 0,
            last_report_at: now,
            next_report_by: now,
            lease_end: now,
            acked_through: 0,
            proposed_through: 0,
            awaited_expiry: None,
            may_hide_ends: false,
            running: BTreeMap::new(),
            ordered: BTreeMap::new(),
            ordered_since: BTreeMap::new(),
            withheld: BTreeMap::new(),
            health: Health::default(),
            free: Resources::ZERO,
            long_running_millicores: 0,
            serving_image: None,
            paces: BTreeMap::new(),
            paced_at: Moment::ZERO,
            bound_exceeded_since: None,
            serving_tasks: Vec::new(),
            background_cores: BackgroundCores::default(),
        }
    }

    /// Applies a newer report.
    pub(in crate::jobs) fn update(&mut self, report: &RunnerReport, now: Moment) {
        self.pool.clone_from(&report.pool);
        self.capacity = report.capacity;
        self.labels.clone_from(&report.labels);
        if !report.zone.is_empty() {
            self.zone.clone_from(&report.zone);
        }
        self.state = report.state;
        self.last_report_at = now;
        self.terminates_at = match report.state {
            RunnerState::Ready => None,
            RunnerState::Draining => {
                report.remaining_ms.map(|ms| now + Duration::from_millis(ms)).or(self.terminates_at)
            }
        };
        // Runs in an incarnation's first report to this leader were started by an earlier one.
        let reported_before = self.sequence > 0;
        let mut former = std::mem::take(&mut self.running);
        for run in &report.running {
            let view = next_view(former.remove(&run.task), run, now, reported_before);
            self.running.insert(run.task, view);
        }
        self.sequence = report.sequence;
    }

    /// Records when runs were ordered to start. Runs whose order the runner has ignored for `most`
    /// stay known while they are withheld.
    pub(in crate::jobs) fn note_orders<I>(&mut self, runs: I, now: Moment, most: Duration)
    where
        I: Iterator<Item = (TaskKey, u32)>,
    {
        self.ordered.retain(|_, at| now.since(*at) < ORDER_LIFETIME_MAX);
        let former = std::mem::take(&mut self.ordered_since);
        for run in runs {
            self.ordered.insert(run, now);
            self.ordered_since.insert(run, former.get(&run).copied().unwrap_or(now));
        }
        let ignored = former
            .into_iter()
            .filter(|(run, at)| self.withheld.contains_key(run) && now.since(*at) > most);
        self.ordered_since.extend(ignored);
    }

    /// Whether the order to start a run was repeated for more than `most` and the runner has
    /// listed neither the run nor its end.
    pub(in crate::jobs) fn has_ignored(
        &self,
        task: TaskKey,
        run: u32,
        now: Moment,
        most: Duration,
    ) -> bool {
        self.ordered_since.get(&(task, run)).is_some_and(|at| now.since(*at) > most)
    }

    /// Whether a run is not ordered any more.
    pub(in crate::jobs) fn withholds(&self, task: TaskKey, run: u32) -> bool {
        self.withheld.contains_key(&(task, run))
    }

    /// Records the assigned runs that are not ordered any more.
    pub(in crate::jobs) fn withhold(&mut self, runs: BTreeSet<(TaskKey, u32)>, now: Moment) {
        self.withheld.retain(|run, _| runs.contains(run));
        let why = match (self.blocked(), self.zone_evacuated, self.takes_tasks()) {
            (Some(why), ..) => why,
            (None, true, _) => "its zone is evacuated",
            (None, false, false) => "it takes no tasks",
            (None, false, true) => {
                "no room, its queue is on hold, its gang is incomplete, or its order was ignored"
            }
        };
        for (task, run) in runs {
            self.withheld.entry((task, run)).or_insert_with(|| {
                log::info!("task={task} run={run} runner={} not ordered: {why}", self.id);
                now
            });
        }
    }

    /// Whether a run has not been ordered for so long that it certainly does not run here. A
    /// delayed report may lack the run, so the lease of an earlier report must have expired as
    /// well.
    pub(in crate::jobs) fn is_withheld(
        &self,
        task: TaskKey,
        run: u32,
        lease: Duration,
        now: Moment,
    ) -> bool {
        let since = self.withheld.get(&(task, run));
        since.is_some_and(|since| now.since(*since) > ORDER_LIFETIME_MAX + lease)
    }

    /// Whether an order to start a run may still be on its way.
    pub(in crate::jobs) fn may_yet_start(&self, task: TaskKey, run: u32, now: Moment) -> bool {
        self.ordered.get(&(task, run)).is_some_and(|at| now.since(*at) < ORDER_LIFETIME_MAX)
    }

    /// Whether the runner may be ordered to start anything. The only place that decides it, for
    /// new starts and for starts that were assigned before.
    pub(in crate::jobs) fn takes_tasks(&self) -> bool {
        !self.is_leaving() && !self.zone_evacuated && self.blocked().is_none()
    }

    /// Whether the runner drains or goes down for maintenance, so that its end is expected.
    pub(in crate::jobs) fn is_leaving(&self) -> bool {
        self.state == RunnerState::Draining || self.maintenance_pending
    }

    /// Records that the runner was asked to report again after `retry`.
    pub(in crate::jobs) fn expect_report(&mut self, now: Moment, retry: Duration) {
        self.next_report_by = now + retry + REPORT_SLACK;
    }

    /// Whether the runner reported recently, so that its next report is expected soon.
    pub(in crate::jobs) fn reported_recently(&self, now: Moment) -> bool {
        now < self.next_report_by.max(self.last_report_at + RECENT_REPORT_AGE_MAX)
    }

    /// A run as the runner last reported it, if it did.
    pub(in crate::jobs) fn view(&self, task: TaskKey, run: u32) -> Option<&RunView> {
        self.running.get(&task).filter(|view| view.run == run)
    }

    /// Whether the runner has a label.
    pub(in crate::jobs) fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|own| &**own == label)
    }
}

fn next_view(
    former: Option<RunView>,
    run: &ReportedRun,
    now: Moment,
    reported_before: bool,
) -> RunView {
    let same = former.filter(|view| view.run == run.run);
    let progressed_at = match &same {
        Some(view) if view.percent == run.percent => view.progressed_at,
        _ => now,
    };
    let first_seen = same.as_ref().map_or(now, |view| view.first_seen);
    RunView {
        run: run.run,
        age: now.since(first_seen),
        checkpoint: run.checkpoint.clone(),
        percent: run.percent,
        usage_or_tail: run.usage_or_tail,
        first_seen,
        progressed_at,
        stopping: same.as_ref().is_some_and(|view| view.stopping),
        // A new leader does not know which pace the former one ordered.
        pace: same.as_ref().map_or(reported_before.then_some(100), |view| view.pace),
    }
}
