//! What a leader knows of one life of a runner: its last report, its lease, and
//! how well its runs end.

use super::interference::ImageKey;
use super::messages::{ReportedRun, RunnerReport, RunnerState};
use super::policy::{Millis, Switch};
use crate::moment::Moment;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use yuccalink_state::Resources;
use yuccalink_state::jobs::{IncarnationKey, TaskKey};

/// How slow a runner's steady clock may be, in percent, as the platform says.
const RUNNER_CLOCK_SLOW_PERCENT: u32 = 2;
/// How slow this VM's clock may be against true time, in percent; see
/// [`crate::moment::DRIFT_PPM`].
const OWN_CLOCK_SLOW_PERCENT: u32 = 1;
/// Added to every lease where it is counted as ended: the runner may look at its
/// clock this much late.
const LEASE_SLACK: Duration = Duration::from_millis(100);
/// An order that is older is dropped by the runner: a second, and some slack for the two
/// clocks.
const ORDER_LIFE: Duration = Duration::from_millis(1_100);
/// A runner heard within this time is expected to report again soon.
const HEARD_LATELY: Duration = Duration::from_millis(1_500);

/// Runners whose runs end badly get less work.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct DistrustPolicy {
    /// Whether they do.
    pub mode: Switch,
    /// Bad ends in a row after which a runner is set aside. One is common: two to five
    /// tasks in a hundred fail by their own fault.
    pub bad_ends_max: u32,
    /// How long a runner that is set aside gets nothing new.
    #[serde(rename = "quarantine-ms")]
    pub quarantine: Millis,
    /// After this long without a bad end a runner is trusted as before: the longest of
    /// the usual faults is over by then.
    #[serde(rename = "forgiven-ms")]
    pub forgiven: Millis,
    /// A run whose figure has not moved for this long stands still. Heartbeats come at
    /// least once a second and a long run moves by a percent in much less, so two
    /// heartbeats without a move are no coincidence.
    #[serde(rename = "standing-ms")]
    pub standing: Millis,
}

impl Default for DistrustPolicy {
    fn default() -> Self {
        Self {
            mode: Switch::On,
            bad_ends_max: 2,
            quarantine: Millis(2_500),
            forgiven: Millis(8_000),
            standing: Millis(1_800),
        }
    }
}

/// Bound on when a lease of `span`, granted now, has ended on the runner's clock.
pub fn lease_expiry_bound(span: Duration) -> Duration {
    span + span * (RUNNER_CLOCK_SLOW_PERCENT + OWN_CLOCK_SLOW_PERCENT) / 100 + LEASE_SLACK
}

/// How the runs on a runner ended lately.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Health {
    /// Failed or standing runs since the last one that was done.
    bad: u32,
    last_bad: Moment,
}

/// What may be started on a runner, by its health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Trust {
    /// Anything.
    Full,
    /// Only tasks that may fail and be tried again.
    SecondTryOnly,
    /// One such task, to find out.
    Probe,
    /// Nothing.
    None,
}

impl Health {
    pub(super) fn went_well(&mut self) {
        self.bad = 0;
    }

    pub(super) fn went_badly(&mut self, now: Moment) {
        self.bad += 1;
        self.last_bad = now;
    }

    pub(super) fn trust(self, now: Moment, policy: &DistrustPolicy) -> Trust {
        // Without a limit in time, a task's last try would wait for ever where every
        // runner had a bad end and nothing else is left to run that could end well.
        let forgiven = now.since(self.last_bad) > policy.forgiven.to_duration();
        if self.bad == 0 || forgiven || policy.mode == Switch::Off {
            return Trust::Full;
        }
        if self.bad < policy.bad_ends_max {
            return Trust::SecondTryOnly;
        }
        match now.since(self.last_bad) < policy.quarantine.to_duration() {
            true => Trust::None,
            false => Trust::Probe,
        }
    }
}

/// One run as its runner reported it.
#[derive(Clone, Debug)]
pub(super) struct RunView {
    pub(super) run: u32,
    pub(super) checkpoint: Box<str>,
    pub(super) percent: u8,
    pub(super) gauge: Option<u64>,
    pub(super) first_seen: Moment,
    /// How long it has been listed.
    pub(super) age: Duration,
    pub(super) moved: Moment,
    /// It is to be stopped; said again with each heartbeat until it is gone.
    pub(super) stopping: bool,
    /// The share at which it works, in percent, as far as this leader knows.
    pub(super) rate: Option<u8>,
}

impl RunView {
    /// About how long it still runs: by how far it has come, else by the guess.
    pub(super) fn time_left(&self, now: Moment, estimate_ms: u64) -> Duration {
        let ran = now.since(self.first_seen);
        let left = u32::from(100 - self.percent.min(100));
        match self.percent {
            0 => Duration::from_millis(estimate_ms).saturating_sub(ran),
            percent => ran * left / u32::from(percent),
        }
    }

    pub(super) fn stands_still(&self, now: Moment, after: Millis) -> bool {
        self.rate == Some(100) && self.percent < 100 && now.since(self.moved) > after.to_duration()
    }
}

/// A life of a runner that has reported to this leader.
#[derive(Debug)]
pub(super) struct Runner {
    pub(super) key: IncarnationKey,
    pub(super) id: Box<str>,
    pub(super) pool: Box<str>,
    pub(super) rack: Box<str>,
    pub(super) labels: Vec<Box<str>>,
    pub(super) capacity: Resources,
    pub(super) state: RunnerState,
    /// Its machine is to go down for upkeep.
    pub(super) closing: bool,
    pub(super) terminates_at: Option<Moment>,
    pub(super) sequence: u64,
    pub(super) last_report_at: Moment,
    /// All leases that this leader granted have surely ended by then.
    pub(super) lease_end: Moment,
    /// Ends up to this one are in the log.
    pub(super) acked_through: u64,
    /// Ends up to this one are proposed.
    pub(super) proposed: u64,
    pub(super) running: BTreeMap<TaskKey, RunView>,
    /// When runs were last ordered to start that it has not listed yet.
    pub(super) ordered: BTreeMap<(TaskKey, u32), Moment>,
    /// Runs that it has no room for any more, and since when they were not ordered.
    withheld: BTreeMap<(TaskKey, u32), Moment>,
    pub(super) health: Health,
    pub(super) free: Resources,
    /// Processors committed to tasks that last, in thousandths.
    pub(super) lasting_millicores: u64,
    /// The image that serves there, where it is only one.
    pub(super) serves: Option<ImageKey>,
    /// Share at which tasks of an image that disturbs work, in percent; 100 for
    /// those not named.
    pub(super) paces: BTreeMap<ImageKey, u8>,
    pub(super) paced_at: Moment,
    /// Since when some task that serves there is over its bound.
    pub(super) over_since: Option<Moment>,
}

impl Runner {
    pub(super) fn new(key: IncarnationKey, report: &RunnerReport, now: Moment) -> Self {
        Self {
            key,
            id: report.runner.clone(),
            pool: report.pool.clone(),
            rack: report.rack.clone(),
            labels: report.labels.clone(),
            capacity: report.capacity,
            state: report.state,
            closing: false,
            terminates_at: None,
            sequence: 0,
            last_report_at: now,
            lease_end: now,
            acked_through: 0,
            proposed: 0,
            running: BTreeMap::new(),
            ordered: BTreeMap::new(),
            withheld: BTreeMap::new(),
            health: Health::default(),
            free: Resources::ZERO,
            lasting_millicores: 0,
            serves: None,
            paces: BTreeMap::new(),
            paced_at: Moment::ZERO,
            over_since: None,
        }
    }

    /// Takes a newer report in.
    pub(super) fn update(&mut self, report: &RunnerReport, now: Moment) {
        self.pool.clone_from(&report.pool);
        self.capacity = report.capacity;
        self.labels.clone_from(&report.labels);
        self.state = report.state;
        self.last_report_at = now;
        self.terminates_at = match report.state {
            RunnerState::Ready => None,
            RunnerState::Draining => {
                report.remaining_ms.map(|ms| now + Duration::from_millis(ms)).or(self.terminates_at)
            }
        };
        // What runs in a life's first report to this leader was started by another.
        let known = self.sequence > 0;
        let mut former = std::mem::take(&mut self.running);
        for run in &report.running {
            let view = next_view(former.remove(&run.task), run, now, known);
            self.running.insert(run.task, view);
        }
        self.sequence = report.sequence;
    }

    /// Notes that runs were ordered to start.
    pub(super) fn note_orders<I>(&mut self, runs: I, now: Moment)
    where
        I: Iterator<Item = (TaskKey, u32)>,
    {
        self.ordered.retain(|_, at| now.since(*at) < ORDER_LIFE);
        self.ordered.extend(runs.map(|run| (run, now)));
    }

    /// Notes runs that are not ordered, since there is no room for them.
    pub(super) fn withhold(&mut self, runs: BTreeSet<(TaskKey, u32)>, now: Moment) {
        self.withheld.retain(|run, _| runs.contains(run));
        for (task, run) in runs {
            self.withheld.entry((task, run)).or_insert_with(|| {
                log::info!("task={task} run={run} runner={} not ordered: no room", self.id);
                now
            });
        }
    }

    /// Whether a run was not ordered for so long that it surely does not run there. A report
    /// may be late: only once the lease of an earlier one has ended does it not matter that
    /// a run is not listed.
    pub(super) fn is_withheld(
        &self,
        task: TaskKey,
        run: u32,
        lease: Duration,
        now: Moment,
    ) -> bool {
        let since = self.withheld.get(&(task, run));
        since.is_some_and(|since| now.since(*since) > ORDER_LIFE + lease)
    }

    /// Whether an order to start a run may still be on its way.
    pub(super) fn may_yet_start(&self, task: TaskKey, run: u32, now: Moment) -> bool {
        self.ordered.get(&(task, run)).is_some_and(|at| now.since(*at) < ORDER_LIFE)
    }

    /// Whether it can be given new tasks at all.
    pub(super) fn takes_tasks(&self) -> bool {
        self.state == RunnerState::Ready && !self.closing
    }

    /// Whether it reported lately, and so is expected to report again soon.
    pub(super) fn reported_recently(&self, now: Moment) -> bool {
        now.since(self.last_report_at) < HEARD_LATELY
    }

    /// One of its runs, as it last listed it.
    pub(super) fn view(&self, task: TaskKey, run: u32) -> Option<&RunView> {
        self.running.get(&task).filter(|view| view.run == run)
    }

    /// Whether it carries a label.
    pub(super) fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|own| &**own == label)
    }
}

fn next_view(former: Option<RunView>, run: &ReportedRun, now: Moment, fresh: bool) -> RunView {
    let same = former.filter(|view| view.run == run.run);
    let moved = match &same {
        Some(view) if view.percent == run.percent => view.moved,
        _ => now,
    };
    let first_seen = same.as_ref().map_or(now, |view| view.first_seen);
    RunView {
        run: run.run,
        age: now.since(first_seen),
        checkpoint: run.checkpoint.clone(),
        percent: run.percent,
        gauge: run.usage_or_tail,
        first_seen,
        moved,
        stopping: same.as_ref().is_some_and(|view| view.stopping),
        // A new leader does not know what the former one has ordered.
        rate: same.as_ref().map_or(fresh.then_some(100), |view| view.rate),
    }
}
