//! How much each serving job bears, over all of its runners.
//!
//! The load that this answers: background tasks beside many tasks of one serving job, each of
//! which is pressed a little. A runner's margins show one task only, but the callers of a job with
//! a quarter of its tasks over their bound have no service at all, while those of a job with none
//! lose nothing. So the share of its tasks over their bound is kept for each job, and a job that
//! bears much gets more room on all of its runners until it has recovered.
//!
//! The shares are sums of the runners' last reports. A new leader has them after one report of
//! each runner.

use crate::jobs::policy::{Millis, Switch};
use crate::jobs::reserve::MarginRoom;
use crate::moment::Moment;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::hash::Hash;

/// Gives serving jobs with many tasks over their bound more room.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct JobHarmPolicy {
    /// Whether jobs that bear much get more room.
    pub mode: Switch,
    /// Share of a job's tasks over their bound up to which nothing changes.
    pub tolerated: f64,
    /// Share of a job's tasks over their bound from which the whole room is kept, well below the
    /// quarter at which its callers have no service.
    pub bound: f64,
    /// Margin that a start beside the job must leave beyond the usual one, at the bound.
    pub start_margin: f64,
    /// Margin that paces beside the job leave beyond the usual one, at the bound.
    pub pace_margin: f64,
    /// Part of the room that is kept while background work is pressed for time, from 0 to 1.
    pub pressed_part: f64,
    /// Time in which the room falls to a third after the job has recovered, in milliseconds. A
    /// load that rises and falls within less would take the room to and fro.
    #[serde(rename = "memory-ms")]
    pub memory: Millis,
}

impl Default for JobHarmPolicy {
    fn default() -> Self {
        Self {
            mode: Switch::On,
            tolerated: 0.02,
            bound: 0.15,
            start_margin: 0.3,
            pace_margin: 0.3,
            pressed_part: 0.0,
            memory: Millis(2_500),
        }
    }
}

/// Tasks of one serving job on one runner, by its last report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedTasks<K> {
    /// The job.
    pub job: K,
    /// Its running tasks.
    pub tasks: u32,
    /// Those of them that exceed their bound.
    pub over: u32,
}

/// Sums over the reports of all runners.
#[derive(Clone, Copy, Debug)]
struct JobHarm {
    tasks: u32,
    over: u32,
    /// Part of the room that the job gets, from 0 to 1, at `at`.
    level: f64,
    at: Moment,
    is_at_bound: bool,
}

impl JobHarm {
    fn level_at(&self, policy: &JobHarmPolicy, now: Moment) -> f64 {
        let memory_s = policy.memory.to_duration().as_secs_f64().max(1e-3);
        let left = self.level * (-now.since(self.at).as_secs_f64() / memory_s).exp();
        left.max(policy.level(self.share()))
    }

    fn share(&self) -> f64 {
        f64::from(self.over) / f64::from(self.tasks.max(1))
    }
}

impl JobHarmPolicy {
    fn level(&self, share: f64) -> f64 {
        ((share - self.tolerated) / (self.bound - self.tolerated).max(1e-6)).clamp(0.0, 1.0)
    }
}

/// What each serving job bears, with one key per job.
///
/// ```
/// use yuccalink_coordination::Moment;
/// use yuccalink_coordination::jobs::job_harm::{JobHarmPolicy, JobHarms, ReportedTasks};
/// let mut harms = JobHarms::new(JobHarmPolicy::default());
/// harms.replace(&[], &[ReportedTasks { job: "watch", tasks: 4, over: 1 }], Moment::ZERO);
/// assert_eq!(harms.share("watch"), 0.25);
/// assert!(harms.room("watch", 1.0, Moment::ZERO).pace > 0.0);
/// assert_eq!(harms.room("index", 1.0, Moment::ZERO).pace, 0.0);
/// ```
#[derive(Debug)]
pub struct JobHarms<K> {
    policy: JobHarmPolicy,
    jobs: HashMap<K, JobHarm>,
    at_bound: usize,
    /// Tasks over their bound now, over all jobs.
    over: u32,
    /// Seconds for which tasks were over their bound, up to `at`.
    over_s: f64,
    at: Moment,
}

impl<K> JobHarms<K>
where
    K: Copy + Eq + Hash,
{
    /// Creates an instance without reports.
    pub fn new(policy: JobHarmPolicy) -> Self {
        Self { policy, jobs: HashMap::new(), at_bound: 0, over: 0, over_s: 0.0, at: Moment::ZERO }
    }

    /// Replaces what a runner reported before by what it reports now.
    pub fn replace(&mut self, former: &[ReportedTasks<K>], new: &[ReportedTasks<K>], now: Moment) {
        self.over_s += f64::from(self.over) * now.since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.over = self.over.saturating_sub(sum_over(former)) + sum_over(new);
        // Jobs keep the level of the sums as they were before this moment: a share between two
        // changes of one moment is none that a job ever had.
        for reported in former.iter().chain(new) {
            self.settle(reported.job, now);
        }
        for reported in former {
            if let Some(harm) = self.jobs.get_mut(&reported.job) {
                harm.tasks = harm.tasks.saturating_sub(reported.tasks);
                harm.over = harm.over.saturating_sub(reported.over);
            }
        }
        for reported in new {
            if let Some(harm) = self.jobs.get_mut(&reported.job) {
                harm.tasks += reported.tasks;
                harm.over += reported.over;
            }
        }
        for reported in former.iter().chain(new) {
            self.count_at_bound(reported.job);
        }
    }

    /// Brings the level of a job up to date.
    fn settle(&mut self, job: K, now: Moment) {
        let unknown = JobHarm { tasks: 0, over: 0, level: 0.0, at: now, is_at_bound: false };
        let harm = self.jobs.entry(job).or_insert(unknown);
        if now > harm.at {
            harm.level = harm.level_at(&self.policy, now);
            harm.at = now;
        }
    }

    fn count_at_bound(&mut self, job: K) {
        let Some(harm) = self.jobs.get_mut(&job) else { return };
        let is_at_bound = harm.tasks > 0 && harm.share() >= self.policy.bound;
        let was_at_bound = std::mem::replace(&mut harm.is_at_bound, is_at_bound);
        self.at_bound = self.at_bound + usize::from(is_at_bound) - usize::from(was_at_bound);
    }

    /// Returns the share of a job's tasks that exceed their bound.
    pub fn share(&self, job: K) -> f64 {
        self.jobs.get(&job).map_or(0.0, JobHarm::share)
    }

    /// Returns the number of jobs at or above the bound.
    pub fn jobs_at_bound(&self) -> usize {
        self.at_bound
    }

    /// Returns the seconds for which tasks were over their bound, summed over all tasks, up to
    /// the last report.
    pub fn over_bound_s(&self) -> f64 {
        self.over_s
    }

    /// Returns the extra margin to keep beside a job's tasks. `reserve_level` is the level of the
    /// [reserve](crate::jobs::reserve::Reserve), which falls as background work is pressed for
    /// time.
    pub fn room(&self, job: K, reserve_level: f64, now: Moment) -> MarginRoom {
        let harm = self.jobs.get(&job).filter(|_| self.policy.mode.is_on());
        let level = harm.map_or(0.0, |harm| harm.level_at(&self.policy, now));
        let pressed = self.policy.pressed_part;
        let level = level * (pressed + (1.0 - pressed) * reserve_level);
        MarginRoom {
            start: self.policy.start_margin * level,
            pace: self.policy.pace_margin * level,
        }
    }

    /// Removes the jobs that do not satisfy the predicate.
    pub fn retain<F>(&mut self, is_kept: F)
    where
        F: Fn(K) -> bool,
    {
        let mut removed = 0;
        self.jobs.retain(|job, harm| {
            let kept = is_kept(*job);
            removed += usize::from(!kept && harm.is_at_bound);
            kept
        });
        self.at_bound -= removed;
    }
}

fn sum_over<K>(reported: &[ReportedTasks<K>]) -> u32 {
    reported.iter().map(|reported| reported.over).sum()
}
