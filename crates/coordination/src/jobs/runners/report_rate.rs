//! How often runners report: as often as placement gains from it, and no more often than the
//! leader can bear.
//!
//! A task starts, and a pace takes effect, only with the response to a report. While tasks wait
//! for capacity, each report is a chance to use what has just come free, so runners then report
//! more often.

use crate::jobs::policy::{Millis, Switch};
use crate::moment::Moment;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How often runners report while tasks wait.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct ReportsPolicy {
    /// Whether runners report more often while tasks wait.
    pub mode: Switch,
    /// Waiting time of a task, in milliseconds, from which it counts.
    #[serde(rename = "after-ms")]
    pub after: Millis,
    /// Time, in milliseconds, for which runners go on reporting more often once no task waits
    /// for so long any more.
    #[serde(rename = "hold-ms")]
    pub hold: Millis,
}

impl Default for ReportsPolicy {
    fn default() -> Self {
        Self { mode: Switch::On, after: Millis(500), hold: Millis(1_000) }
    }
}

/// Shortest interval between reports of a runner with free capacity. Each report is a chance to
/// start a task there.
const INTERVAL_MIN: Duration = Duration::from_millis(150);
/// Longest interval while the leader keeps up.
const INTERVAL_CALM_MAX: Duration = Duration::from_millis(1_000);
/// Interval per runner, so that the runners of a small pool together report at most 250 times a
/// second.
const INTERVAL_PER_RUNNER: Duration = Duration::from_millis(4);
/// The same while tasks wait: at most 1,000 reports a second.
const INTERVAL_PER_RUNNER_WAITING: Duration = Duration::from_millis(1);
/// Interval at which the factor is adjusted.
const ADJUST_INTERVAL: Duration = Duration::from_millis(250);
/// Wait of a request from which the leader counts as busy.
const BUSY_WAIT: Duration = Duration::from_millis(60);
/// Wait of all requests below which the leader counts as idle enough for more reports.
const CALM_WAIT: Duration = Duration::from_millis(20);
const SLOW_DOWN_FACTOR: f64 = 1.4;
const SPEED_UP_FACTOR: f64 = 0.95;
/// Upper limit of a factor taken over from an earlier leader: a calm leader is back at 1 within
/// seven seconds.
const RECALLED_FACTOR_MAX: f64 = 4.0;
/// Reports that must fit into the duration of a lease, even if they are spread.
const REPORTS_PER_LEASE: u32 = 3;

/// Adjusts the interval of the reports to the longest wait of a request for the leader: it grows
/// fast while requests wait, and shrinks slowly.
#[derive(Clone, Copy, Debug)]
pub(in crate::jobs) struct ReportRate {
    factor: f64,
    longest_wait: Duration,
    adjusted_at: Moment,
    policy: ReportsPolicy,
    /// When a task last waited for as long as the policy says.
    tasks_waited_at: Option<Moment>,
    tasks_wait: bool,
}

impl Default for ReportRate {
    fn default() -> Self {
        Self::new(ReportsPolicy::default())
    }
}

impl ReportRate {
    pub(in crate::jobs) fn new(policy: ReportsPolicy) -> Self {
        Self {
            factor: 1.0,
            longest_wait: Duration::ZERO,
            adjusted_at: Moment::ZERO,
            policy,
            tasks_waited_at: None,
            tasks_wait: false,
        }
    }

    /// Records for how long the task that has waited longest has waited, if any waits.
    pub(in crate::jobs) fn note_longest_waiting(&mut self, now: Moment, waited: Option<Duration>) {
        if self.policy.mode == Switch::Off {
            return;
        }
        if waited.is_some_and(|waited| waited >= self.policy.after.to_duration()) {
            self.tasks_waited_at = Some(now);
        }
        let hold = self.policy.hold.to_duration();
        let tasks_wait = self.tasks_waited_at.is_some_and(|at| now.since(at) <= hold);
        if tasks_wait != self.tasks_wait {
            self.tasks_wait = tasks_wait;
            log::info!("reports tasks-wait={tasks_wait} waited={waited:?}");
        }
    }

    fn calm_interval(&self, runners: usize) -> Duration {
        calm_interval(
            runners,
            if self.tasks_wait { INTERVAL_PER_RUNNER_WAITING } else { INTERVAL_PER_RUNNER },
        )
    }

    /// Records how long a request has waited for the leader.
    pub(in crate::jobs) fn note_wait(&mut self, waited: Duration) {
        self.longest_wait = self.longest_wait.max(waited);
    }

    /// Takes over the interval of an earlier leader, in percent of the interval to a calm one.
    pub(in crate::jobs) fn recall(&mut self, percent: u16) {
        self.factor = (f64::from(percent) / 100.0).clamp(1.0, RECALLED_FACTOR_MAX);
    }

    /// Interval in percent of the interval to a calm leader.
    pub(in crate::jobs) fn percent(&self) -> u16 {
        (self.factor * 100.0).round() as u16
    }

    /// Adjusts the interval if it is due.
    pub(in crate::jobs) fn tick(&mut self, now: Moment, runners: usize, lease: Duration) {
        if now.since(self.adjusted_at) < ADJUST_INTERVAL {
            return;
        }
        self.adjusted_at = now;
        let longest_wait = std::mem::take(&mut self.longest_wait);
        if longest_wait > BUSY_WAIT {
            let base = self.calm_interval(runners).as_secs_f64();
            let factor_max = (interval_max(lease).as_secs_f64() / base).max(1.0);
            self.factor = (self.factor * SLOW_DOWN_FACTOR).min(factor_max);
        } else if longest_wait < CALM_WAIT {
            self.factor = (self.factor * SPEED_UP_FACTOR).max(1.0);
        }
    }

    /// Whether runners report less often than to a calm leader.
    pub(in crate::jobs) fn is_slowed(&self) -> bool {
        self.factor > 1.0
    }

    /// Interval between the reports of a runner with free capacity.
    pub(in crate::jobs) fn interval(&self, runners: usize, lease: Duration) -> Duration {
        let calm = self.calm_interval(runners);
        calm.mul_f64(self.factor).min(interval_max(lease)).max(calm)
    }
}

/// A delay between three and five quarters of `mean`, other for each number, so that many senders
/// do not return at once.
///
/// ```
/// use std::time::Duration;
/// use yuccalink_coordination::jobs::report_rate::spread;
/// let second = Duration::from_secs(1);
/// assert_ne!(spread(second, 1), spread(second, 2));
/// ```
pub fn spread(mean: Duration, number: u64) -> Duration {
    const STEPS: u64 = 64;
    // Odd and near the golden section of the steps, so that close numbers get distant delays.
    const STRIDE: u64 = 39;
    let step = u32::try_from(number.wrapping_mul(STRIDE) % STEPS).unwrap_or(0);
    mean * 3 / 4 + mean / 2 * step / (STEPS as u32)
}

fn calm_interval(runners: usize, per_runner: Duration) -> Duration {
    let count = u32::try_from(runners).unwrap_or(u32::MAX);
    per_runner.saturating_mul(count).clamp(INTERVAL_MIN, INTERVAL_CALM_MAX)
}

fn interval_max(lease: Duration) -> Duration {
    lease / REPORTS_PER_LEASE
}

/// Converts a duration to whole milliseconds.
///
/// ```
/// use std::time::Duration;
/// assert_eq!(yuccalink_coordination::jobs::report_rate::millis(Duration::from_secs(1)), 1_000);
/// ```
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
