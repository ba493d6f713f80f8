//! Keeps large jobs from starving when there is less capacity than the jobs ask for.
//!
//! The expected load is short jobs of one queue, the largest of them several times as
//! large as the usual ones, in a pool with slightly less capacity than they ask for
//! together. An order by worth per core-second left then completes nearly all small jobs
//! and none of the largest, whose callers wait in vain each time. Therefore the share of
//! jobs that end on time is tracked for each size and queue, and jobs of a size that
//! falls behind its queue are boosted to the front of the order, a few at a time and in
//! their usual order.

use crate::jobs::policy::Switch;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use yuccalink_state::jobs::JobId;

/// Latest jobs of a queue whose sizes are kept.
const RECENT_JOBS_MAX: usize = 200;
/// Jobs of a queue needed before its sizes are classified.
const RECENT_JOBS_MIN: usize = 20;
/// Quantiles of the work of a queue's jobs from which a job is of the largest or of the
/// large size.
const LARGEST_QUANTILE: f64 = 0.9;
const LARGE_QUANTILE: f64 = 0.7;
/// Factor by which the weight of an outcome falls with each later one of its size.
const OUTCOME_DECAY: f64 = 0.95;
/// Sum of decayed outcomes from which a size has an on-time share.
const OUTCOMES_MIN: f64 = 2.0;

/// Boosts jobs of a size that falls behind its queue.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct SizesPolicy {
    /// Whether jobs of a size that falls behind are boosted.
    pub mode: Switch,
    /// A size is behind if its on-time share is below this part, from 0 to 1, of the
    /// on-time share of its queue.
    pub behind: f64,
    /// Share, from 0 to 1, of the CPU not reserved for long-running tasks that boosted jobs
    /// may take at once. One job of each size may always be boosted.
    pub room: f64,
}

impl Default for SizesPolicy {
    fn default() -> Self {
        Self { mode: Switch::On, behind: 0.75, room: 0.75 }
    }
}

/// Size of a job relative to the latest jobs of its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(in crate::jobs) enum SizeClass {
    /// The smaller 70 % of the jobs.
    Typical,
    /// The 20 % of the jobs below the largest.
    Large,
    /// The largest 10 % of the jobs.
    Largest,
}

/// Decayed counts of all ended jobs and of the jobs that ended on time.
#[derive(Clone, Copy, Debug, Default)]
struct OnTimeRecord {
    ended: f64,
    on_time: f64,
}

impl OnTimeRecord {
    fn add(&mut self, on_time: bool) {
        self.ended = self.ended * OUTCOME_DECAY + 1.0;
        self.on_time = self.on_time * OUTCOME_DECAY + f64::from(u8::from(on_time));
    }

    fn share(&self) -> Option<f64> {
        (self.ended >= OUTCOMES_MIN).then(|| self.on_time / self.ended)
    }
}

#[derive(Clone, Debug, Default)]
struct QueueSizes {
    /// Core-seconds of the latest jobs, in order of arrival and sorted by size.
    recent: VecDeque<f64>,
    sorted: Vec<f64>,
    all: OnTimeRecord,
    large: OnTimeRecord,
    largest: OnTimeRecord,
}

impl QueueSizes {
    fn classify(&mut self, work: f64) -> SizeClass {
        if self.recent.len() == RECENT_JOBS_MAX
            && let Some(oldest) = self.recent.pop_front()
        {
            let at = self.sorted.partition_point(|known| *known < oldest);
            self.sorted.remove(at);
        }
        self.recent.push_back(work);
        let at = self.sorted.partition_point(|known| *known < work);
        self.sorted.insert(at, work);
        if self.sorted.len() < RECENT_JOBS_MIN {
            return SizeClass::Typical;
        }
        let rank = at as f64 / self.sorted.len() as f64;
        match rank {
            _ if rank >= LARGEST_QUANTILE => SizeClass::Largest,
            _ if rank >= LARGE_QUANTILE => SizeClass::Large,
            _ => SizeClass::Typical,
        }
    }

    fn record_outcome(&mut self, size: SizeClass, on_time: bool) {
        self.all.add(on_time);
        match size {
            SizeClass::Typical => {}
            SizeClass::Large => self.large.add(on_time),
            SizeClass::Largest => self.largest.add(on_time),
        }
    }
}

/// Size statistics of all queues, and the boosted jobs.
#[derive(Debug, Default)]
pub(in crate::jobs) struct Sizes {
    policy: SizesPolicy,
    queues: HashMap<Box<str>, QueueSizes>,
    /// Boosted jobs with the CPU that they take.
    boosted: HashMap<JobId, BoostedJob>,
}

#[derive(Clone, Copy, Debug)]
struct BoostedJob {
    size: SizeClass,
    millicores: u64,
}

/// A job that may be boosted.
#[derive(Clone, Copy, Debug)]
pub(in crate::jobs) struct BoostCandidate<'a> {
    pub(in crate::jobs) id: JobId,
    pub(in crate::jobs) queue: &'a str,
    pub(in crate::jobs) size: SizeClass,
    /// CPU that the tasks of the job's next step take together.
    pub(in crate::jobs) millicores: u64,
    /// CPU of the job's pool that is not reserved for long-running tasks.
    pub(in crate::jobs) available_millicores: u64,
}

impl Sizes {
    pub(in crate::jobs) fn new(policy: SizesPolicy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Classifies a new job by its core-seconds and adds it to its queue's statistics.
    pub(in crate::jobs) fn classify(&mut self, queue: &str, work: f64) -> SizeClass {
        match self.queues.get_mut(queue) {
            Some(known) => known.classify(work),
            None => self.queues.entry(queue.into()).or_default().classify(work),
        }
    }

    /// Records whether a job ended on time, or that it no longer can.
    pub(in crate::jobs) fn record_outcome(
        &mut self,
        id: JobId,
        queue: &str,
        size: SizeClass,
        on_time: bool,
    ) {
        self.boosted.remove(&id);
        if let Some(known) = self.queues.get_mut(queue) {
            known.record_outcome(size, on_time);
        }
    }

    /// Removes a job that needs no further scheduling.
    pub(in crate::jobs) fn remove_job(&mut self, id: JobId) {
        self.boosted.remove(&id);
    }

    /// Returns whether a job is boosted.
    pub(in crate::jobs) fn is_boosted(&self, id: JobId) -> bool {
        self.boosted.contains_key(&id)
    }

    /// Boosts a job if its size is behind and the boosted jobs leave enough CPU for it.
    pub(in crate::jobs) fn boost(&mut self, job: BoostCandidate<'_>) {
        if self.policy.mode == Switch::Off || self.is_boosted(job.id) {
            return;
        }
        if !self.is_behind(job.queue, job.size) {
            return;
        }
        let taken: u64 = self.boosted.values().map(|boosted| boosted.millicores).sum();
        let boosted_max = job.available_millicores as f64 * self.policy.room;
        let first = self.boosted.values().all(|boosted| boosted.size != job.size);
        if first || (taken + job.millicores) as f64 <= boosted_max {
            let boosted = BoostedJob { size: job.size, millicores: job.millicores };
            self.boosted.insert(job.id, boosted);
            log::info!("job={} boosted: its size is behind in queue {}", job.id, job.queue);
        }
    }

    fn is_behind(&self, queue: &str, size: SizeClass) -> bool {
        let Some(known) = self.queues.get(queue) else { return false };
        let record = match size {
            SizeClass::Typical => return false,
            SizeClass::Large => known.large,
            SizeClass::Largest => known.largest,
        };
        match (record.share(), known.all.share()) {
            (Some(own), Some(all)) => own < all * self.policy.behind,
            _ => false,
        }
    }
}
