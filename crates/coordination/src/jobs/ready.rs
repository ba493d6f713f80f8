//! Steps with tasks that wait, in the order in which they are to be started.
//!
//! The pattern answered here: a steady mix of short jobs of high priority and
//! long jobs of low priority, with bursts of the latter at up to 2.6 times the
//! usual rate. Under such a burst an order by arrival or by deadline makes every
//! job late; an order by worth for each core-second left finishes as many as
//! there is room for, and lets those fall behind that could not be prompt anyway.

use super::estimate::{Lateness, Shape};
use crate::moment::Moment;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use yuccalink_state::Resources;
use yuccalink_state::jobs::{Job, JobId, Jobs, Queue, StepSpec};

/// Weight of a new job in the running mean of its queue's work.
const MEAN_WEIGHT: f64 = 0.05;

/// A step of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct GroupKey {
    pub(super) job: JobId,
    pub(super) occurrence: u32,
    pub(super) step: u16,
}

/// Where a step stands in the order; smaller comes first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct Rank {
    /// Tasks that serve users earn while they run, so they never wait.
    batch: bool,
    lateness: u8,
    priority: u32,
    density: f64,
}

/// What the leader keeps of a job beside its replicated state.
#[derive(Debug)]
pub(super) struct Meta {
    pub(super) came: Moment,
    pub(super) shape: Shape,
}

/// A step with waiting tasks.
#[derive(Clone, Debug)]
pub(super) struct Group {
    pub(super) key: GroupKey,
    /// When it first had tasks to start.
    pub(super) since: Moment,
    rank: Rank,
}

/// All of them.
#[derive(Debug, Default)]
pub(super) struct Ready {
    groups: BTreeMap<GroupKey, Group>,
    order: Vec<GroupKey>,
    unordered: bool,
    pub(super) metas: HashMap<JobId, Meta>,
    means: HashMap<Box<str>, f64>,
    scheduled: BTreeSet<JobId>,
}

impl Ready {
    /// Keeps what is needed of a job that came in at `came`.
    pub(super) fn meet(&mut self, id: JobId, job: &Job, came: Moment) {
        let shape = Shape::of(&job.spec);
        let mean = self.means.entry(job.queue.clone()).or_insert(shape.work);
        *mean += (shape.work - *mean) * MEAN_WEIGHT;
        if job.spec.schedule.is_some() {
            self.scheduled.insert(id);
        }
        self.metas.insert(id, Meta { came, shape });
    }

    /// Forgets a job that needs nothing any more.
    pub(super) fn drop_job(&mut self, id: JobId) {
        self.remove_groups(id);
        self.metas.remove(&id);
        self.scheduled.remove(&id);
    }

    fn remove_groups(&mut self, id: JobId) {
        let from = GroupKey { job: id, occurrence: 0, step: 0 };
        let to = GroupKey { job: id, occurrence: u32::MAX, step: u16::MAX };
        let keys: Vec<GroupKey> = self.groups.range(from..=to).map(|(key, _)| *key).collect();
        for key in keys {
            self.groups.remove(&key);
            self.unordered = true;
        }
    }

    /// Puts the steps with these keys in place of those known of the job.
    pub(super) fn set_groups(&mut self, id: JobId, keys: &[GroupKey], now: Moment) {
        let from = GroupKey { job: id, occurrence: 0, step: 0 };
        let to = GroupKey { job: id, occurrence: u32::MAX, step: u16::MAX };
        let known: Vec<GroupKey> = self.groups.range(from..=to).map(|(key, _)| *key).collect();
        for key in known.iter().filter(|key| !keys.contains(key)) {
            self.groups.remove(key);
            self.unordered = true;
        }
        for key in keys {
            if !known.contains(key) {
                let rank = Rank { batch: true, lateness: 0, priority: 0, density: 0.0 };
                self.groups.insert(*key, Group { key: *key, since: now, rank });
                self.unordered = true;
            }
        }
    }

    /// The steps in order. Ranked anew where steps came or went, or when `anew`.
    pub(super) fn order(&mut self, jobs: &Jobs, now: Moment, anew: bool) -> &[GroupKey] {
        if self.unordered || anew {
            self.unordered = false;
            let mut groups = std::mem::take(&mut self.groups);
            for group in groups.values_mut() {
                group.rank = self.rank(jobs, group.key, now);
            }
            self.groups = groups;
            let mut order: Vec<&Group> = self.groups.values().collect();
            order.sort_by(|a, b| {
                let by_rank = a.rank.partial_cmp(&b.rank);
                by_rank.unwrap_or(std::cmp::Ordering::Equal).then(a.since.cmp(&b.since))
            });
            self.order = order.into_iter().map(|group| group.key).collect();
        }
        &self.order
    }

    /// A step with waiting tasks.
    pub(super) fn group(&self, key: GroupKey) -> Option<&Group> {
        self.groups.get(&key)
    }

    /// Whether nothing waits.
    pub(super) fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// How many steps wait.
    pub(super) fn len(&self) -> usize {
        self.groups.len()
    }

    /// How many tasks wait in them.
    pub(super) fn waiting_tasks(&self, jobs: &Jobs) -> usize {
        let waiting = |key: &GroupKey| {
            let occurrence = jobs.job(key.job)?.occurrences.get(key.occurrence as usize)?;
            let step = occurrence.steps.get(usize::from(key.step))?;
            Some(step.tasks.iter().filter(|task| !task.done && task.holds.is_empty()).count())
        };
        self.groups.keys().filter_map(waiting).sum()
    }

    /// Jobs with a schedule.
    pub(super) fn scheduled(&self) -> Vec<JobId> {
        self.scheduled.iter().copied().collect()
    }

    fn rank(&self, jobs: &Jobs, key: GroupKey, now: Moment) -> Rank {
        let last = Rank { batch: true, lateness: u8::MAX, priority: u32::MAX, density: 0.0 };
        let (Some(job), Some(meta)) = (jobs.job(key.job), self.metas.get(&key.job)) else {
            return last;
        };
        let queue = jobs.change().and_then(|change| change.queue(&job.queue));
        let step = job.spec.steps.get(usize::from(key.step));
        let lasts = step.is_some_and(|step| step.long_running);
        if let Some(step) = step.filter(|step| step.long_running) {
            // The largest first, so that the small ones fill what is left.
            let density = -(step.need.millicores as f64);
            let priority = queue.map_or(u32::MAX, |queue| queue.priority);
            return Rank { batch: false, lateness: 0, priority, density };
        }
        let lateness = self.lateness(job, meta, queue, key.step, now);
        let left = meta.shape.work_left(job);
        let mean = self.means.get(&job.queue).copied().unwrap_or(0.0);
        Rank {
            batch: !lasts,
            lateness: if job.spec.schedule.is_some() { 0 } else { lateness as u8 },
            priority: queue.map_or(u32::MAX, |queue| queue.priority),
            density: -meta.shape.density(left, mean),
        }
    }

    fn lateness(
        &self,
        job: &Job,
        meta: &Meta,
        queue: Option<&Queue>,
        step: u16,
        now: Moment,
    ) -> Lateness {
        if job.spec.steps.iter().any(|step| step.long_running) {
            return Lateness::Prompt;
        }
        let tail = meta.shape.tails.get(usize::from(step)).copied().unwrap_or_default();
        Shape::lateness(meta.shape.objective(queue), now.since(meta.came), tail)
    }
}

/// What of a step is committed of a runner, and whom it may disturb.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// Serves users of its own and has a bound on its tail.
    Serving,
    /// May disturb those that serve.
    Filling,
}

impl Kind {
    pub(super) fn of(step: &StepSpec) -> Self {
        match step.target_ms > 0 {
            true => Self::Serving,
            false => Self::Filling,
        }
    }
}

/// Room that a step's one task takes.
pub(super) fn need(step: &StepSpec) -> Resources {
    step.committed()
}
