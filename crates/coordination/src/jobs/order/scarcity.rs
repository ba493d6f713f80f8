//! Shares of long-running jobs when not all of their tasks fit.
//!
//! The expected load is a pool that long-running tasks nearly fill, of which a tenth of the
//! runners leaves at once, while further long-running jobs arrive. In order of arrival and
//! size, most jobs stay whole and some have no task at work. Here the job with the smallest
//! share of its tasks comes first, and a whole job gives one task to a job that has none,
//! within its disruption budget.
//!
//! There is too little room once a long-running task for which no runner has room has waited
//! for longer than [`ScarcityPolicy::after`]. Until then no decision differs from the usual
//! ones.

use crate::jobs::policy::{Millis, Switch};
use crate::moment::Moment;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;
use yuccalink_state::jobs::{IncarnationKey, JobId, TaskKey};

/// Interval at which the shares of all long-running jobs are computed, well below the time
/// that a job may be without any task at work.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(500);

/// Shares out the room among long-running jobs when not all of their tasks fit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct ScarcityPolicy {
    /// Whether jobs with a smaller share of their tasks come first.
    pub order: Switch,
    /// Whether whole jobs give tasks to jobs that have none at work.
    pub give: Switch,
    /// Waiting time of a long-running task without room on any runner, from which there is too
    /// little room. It covers the wait for a runner with the same image and one report
    /// interval.
    #[serde(rename = "after-ms")]
    pub after: Millis,
    /// Share of its tasks, in percent, below which a job comes before short tasks, unless its
    /// queue sets one.
    pub floor_percent: u8,
    /// Share of the CPU, in percent, up to which short tasks come before the long-running tasks
    /// of jobs that have their floor. At zero they never do.
    pub short_first_percent: u8,
    /// Time without any task at work after which a job may be given one.
    #[serde(rename = "give-after-ms")]
    pub give_after: Millis,
    /// Shortest time for which a task is at work before its job gives it, and between two
    /// tasks that one job gives.
    #[serde(rename = "stay-ms")]
    pub stay: Millis,
    /// One task for this many runners is given at once, but always at least one.
    pub one_in: usize,
}

impl Default for ScarcityPolicy {
    fn default() -> Self {
        Self {
            order: Switch::On,
            give: Switch::Off,
            after: Millis(1_500),
            floor_percent: 1,
            short_first_percent: 0,
            give_after: Millis(1_000),
            stay: Millis(6_000),
            one_in: 100,
        }
    }
}

impl ScarcityPolicy {
    /// Returns whether a long-running task for which no runner has room has waited for so long
    /// that there is too little room.
    ///
    /// ```
    /// use std::time::Duration;
    /// use yuccalink_coordination::jobs::policy::ScarcityPolicy;
    /// let policy = ScarcityPolicy::default();
    /// assert!(!policy.is_too_long(Duration::from_millis(200)));
    /// assert!(policy.is_too_long(Duration::from_secs(2)));
    /// ```
    pub fn is_too_long(&self, waited: Duration) -> bool {
        self.order.is_on() && waited > self.after.to_duration()
    }

    /// Returns whether short tasks come before long-running ones while there is too little room.
    /// `held` is the CPU that short tasks hold, `total` that of all runners that take tasks.
    ///
    /// ```
    /// use yuccalink_coordination::jobs::policy::ScarcityPolicy;
    /// let policy = ScarcityPolicy { short_first_percent: 10, ..ScarcityPolicy::default() };
    /// assert!(policy.puts_short_first(40, 1_000) && !policy.puts_short_first(400, 1_000));
    /// ```
    pub fn puts_short_first(&self, held: u64, total: u64) -> bool {
        held * 100 < total * u64::from(self.short_first_percent)
    }
}

/// Room for long-running tasks, as found before a ranking.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Room {
    /// All tasks fit.
    #[default]
    Enough,
    /// Some long-running tasks do not fit.
    TooLittle,
    /// Some long-running tasks do not fit, and short tasks come first.
    TooLittleShortFirst,
}

impl Room {
    /// Returns whether some long-running tasks do not fit.
    pub fn is_too_little(self) -> bool {
        self != Self::Enough
    }
}

/// Claim of a job on room for its long-running tasks; the smallest is served first. Without
/// scarcity all claims are equal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Claim {
    above_floor: bool,
    share_percent: u8,
}

impl Claim {
    /// Returns the claim of a job that holds `held` of its `tasks`.
    ///
    /// ```
    /// use yuccalink_coordination::jobs::scarcity::Claim;
    /// assert!(Claim::new(0, 4, 25) < Claim::new(1, 4, 25));
    /// assert!(Claim::new(2, 4, 75) < Claim::new(1, 4, 25), "below its floor");
    /// ```
    pub fn new(held: u32, tasks: u32, floor_percent: u8) -> Self {
        let percent = u64::from(held.min(tasks)) * 100 / u64::from(tasks.max(1));
        let share_percent = u8::try_from(percent).unwrap_or(100);
        Self { above_floor: share_percent >= floor_percent, share_percent }
    }

    /// Returns whether the job holds none of its tasks.
    pub fn is_nothing(self) -> bool {
        self.share_percent == 0
    }

    /// Returns whether the job has less than its floor.
    pub fn is_below_floor(self) -> bool {
        !self.above_floor
    }
}

/// Long-running tasks of one job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobShare {
    /// The job.
    pub job: JobId,
    /// All of its long-running tasks.
    pub tasks: u32,
    /// Those at work.
    pub working: u32,
    /// Those at work on runners that do not leave.
    pub staying: u32,
    /// Those assigned to a runner that does not leave, at work or not.
    pub held: u32,
}

/// A task at work that its job could give.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The task.
    pub task: TaskKey,
    /// Its run.
    pub run: u32,
    /// Its runner.
    pub runner: IncarnationKey,
    /// How many tasks its job has, all of them at work.
    pub tasks: u32,
    /// CPU that the task reserves.
    pub millicores: u64,
    /// How long its runner has listed the run.
    pub worked_for: Duration,
}

/// Which jobs have nothing at work, and which have given a task lately.
///
/// A new leader starts without this: no task is given before a job has had nothing at work
/// for [`ScarcityPolicy::give_after`] again.
#[derive(Debug, Default)]
pub struct Scarcity {
    nothing_since: BTreeMap<JobId, Moment>,
    gave_at: BTreeMap<JobId, Moment>,
    received_at: BTreeMap<JobId, Moment>,
    observed_at: Option<Moment>,
    /// When a task last lacked room.
    lacked_room_at: Option<Moment>,
    lacks: BTreeMap<Box<str>, QueueLack>,
}

/// What the long-running jobs of one queue lacked in one interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueLack {
    /// Jobs, as of the last observation.
    pub jobs: u32,
    /// Tasks, as of the last observation.
    pub tasks: u32,
    /// Jobs with nothing at work, as of the last observation.
    pub nothing: u32,
    /// Time of all tasks not at work, together.
    pub missing: Duration,
    /// Time of all jobs with nothing at work, together.
    pub nothing_for: Duration,
}

impl QueueLack {
    fn add(&mut self, share: &JobShare, elapsed: Duration) {
        let nothing = u32::from(share.working == 0 && share.tasks > 0);
        self.jobs += 1;
        self.tasks += share.tasks;
        self.nothing += nothing;
        self.missing += elapsed * share.tasks.saturating_sub(share.working);
        self.nothing_for += elapsed * nothing;
    }
}

impl Scarcity {
    /// Records whether a long-running task has waited too long and no runner has room for it.
    /// Returns whether there is too little room. That lasts for [`ScarcityPolicy::after`] longer,
    /// since room that comes back is used only at the next report of its runner.
    ///
    /// ```
    /// use yuccalink_coordination::Moment;
    /// use yuccalink_coordination::jobs::policy::ScarcityPolicy;
    /// use yuccalink_coordination::jobs::scarcity::Scarcity;
    /// let (mut scarcity, policy) = (Scarcity::default(), ScarcityPolicy::default());
    /// assert!(scarcity.note_room(Moment::from_millis(100), &policy, true));
    /// assert!(scarcity.note_room(Moment::from_millis(900), &policy, false));
    /// assert!(!scarcity.note_room(Moment::from_millis(1_700), &policy, false));
    /// ```
    pub fn note_room(&mut self, now: Moment, policy: &ScarcityPolicy, lacks_room: bool) -> bool {
        if lacks_room {
            self.lacked_room_at = Some(now);
        }
        self.lacked_room_at.is_some_and(|at| now.since(at) <= policy.after.to_duration())
    }

    /// Returns whether the shares are to be observed again.
    pub fn is_due(&self, now: Moment) -> bool {
        self.observed_at.is_none_or(|at| now.since(at) >= OBSERVE_INTERVAL)
    }

    /// Records the shares of all long-running jobs, with the name of each job's queue.
    pub fn observe<'a, F>(
        &mut self,
        now: Moment,
        policy: &ScarcityPolicy,
        shares: &[JobShare],
        queue: F,
    ) where
        F: Fn(JobId) -> Option<&'a str>,
    {
        let elapsed = now.since(self.observed_at.replace(now).unwrap_or(now));
        for lack in self.lacks.values_mut() {
            (lack.jobs, lack.tasks, lack.nothing) = (0, 0, 0);
        }
        for share in shares {
            let Some(queue) = queue(share.job) else { continue };
            if !self.lacks.contains_key(queue) {
                self.lacks.insert(queue.into(), QueueLack::default());
            }
            if let Some(lack) = self.lacks.get_mut(queue) {
                lack.add(share, elapsed);
            }
        }
        let former = std::mem::take(&mut self.nothing_since);
        let without = shares.iter().filter(|share| share.staying == 0 && share.tasks > 0);
        self.nothing_since = without
            .map(|share| (share.job, former.get(&share.job).copied().unwrap_or(now)))
            .collect();
        let recent = |_: &JobId, at: &mut Moment| now.since(*at) < policy.stay.to_duration();
        self.gave_at.retain(recent);
        self.received_at.retain(recent);
    }

    /// Returns the jobs that may be given a task, the one without any for longest first, and
    /// for how long each has had none.
    pub fn needy(
        &self,
        now: Moment,
        policy: &ScarcityPolicy,
        shares: &[JobShare],
    ) -> Vec<(JobId, Duration)> {
        let mut needy: Vec<(JobId, Duration)> = shares
            .iter()
            .filter(|share| share.held == 0 && !self.received_at.contains_key(&share.job))
            .filter_map(|share| {
                let since = self.nothing_since.get(&share.job)?;
                Some((share.job, now.since(*since)))
            })
            .filter(|(_, lasted)| *lasted > policy.give_after.to_duration())
            .collect();
        needy.sort_by_key(|(job, lasted)| (Reverse(*lasted), *job));
        needy
    }

    /// Returns whether a job could give a task now: it is whole, keeps at least one task, and
    /// has neither given nor received one lately.
    pub fn may_give(&self, share: &JobShare) -> bool {
        share.tasks > 1
            && share.staying == share.tasks
            && !self.gave_at.contains_key(&share.job)
            && !self.received_at.contains_key(&share.job)
    }

    /// Sorts the tasks that may be given: first those of the job that loses the smallest
    /// share, and then the one that frees least. Tasks that have worked for less than their
    /// shortest stay are left out.
    pub fn sort_offers<I>(policy: &ScarcityPolicy, offers: I) -> Vec<Offer>
    where
        I: Iterator<Item = Offer>,
    {
        let stayed = |offer: &Offer| offer.worked_for >= policy.stay.to_duration();
        let mut offers: Vec<Offer> = offers.filter(stayed).collect();
        offers.sort_by_key(|offer| (Reverse(offer.tasks), offer.millicores, offer.task));
        offers
    }

    /// Takes what each queue has lacked since the last call; empty if nothing.
    pub fn take_lacks(&mut self) -> BTreeMap<Box<str>, QueueLack> {
        let lacks = std::mem::take(&mut self.lacks);
        match lacks.values().all(|lack| lack.missing.is_zero()) {
            true => BTreeMap::new(),
            false => lacks,
        }
    }

    /// Records that a task was given.
    pub fn record(&mut self, now: Moment, giver: JobId, receiver: JobId) {
        self.gave_at.insert(giver, now);
        self.received_at.insert(receiver, now);
    }
}
