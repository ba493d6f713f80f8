//! Jobs of each size get their turn while there is room for less than what comes.
//!
//! The pattern answered here: short jobs of one queue, the largest of them several times as
//! large as the usual, in a pool that has a little less room than all of them ask for. An order by worth
//! for each core-second left serves nearly all of the small ones and none of the largest,
//! whose callers then wait in vain each time. So how often each size ends in time is counted
//! for each queue, and a size that falls behind its queue has jobs drawn to the front, a few
//! at a time and in their usual order.

use super::policy::Switch;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use yuccalink_state::jobs::JobId;

/// Jobs whose sizes are remembered for each queue.
const RECENT_MAX: usize = 200;
/// Jobs of a queue from which its sizes are told apart.
const RECENT_MIN: usize = 20;
/// Where the largest jobs of a queue begin, and those that come before them.
const LARGEST_QUANTILE: f64 = 0.9;
const LARGE_QUANTILE: f64 = 0.7;
/// What an outcome still counts for after each further one of its size.
const OUTCOME_DECAY: f64 = 0.95;
/// Outcomes, as they fade, from which a size is judged.
const OUTCOMES_MIN: f64 = 2.0;

/// A size that falls behind its queue is drawn to the front.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct SizesPolicy {
    /// Whether it is.
    pub mode: Switch,
    /// Share of its queue's jobs in time, as a part of one, below which a size is behind.
    pub behind: f64,
    /// Share of the processors that no task that lasts holds, as a part of one, that jobs at the
    /// front may take at once; one job of each size may always.
    pub room: f64,
}

impl Default for SizesPolicy {
    fn default() -> Self {
        Self { mode: Switch::On, behind: 0.75, room: 0.75 }
    }
}

/// Where a job stands among its queue's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum SizeClass {
    /// Seven in ten.
    Typical,
    /// The fifth below the largest.
    Large,
    /// The largest tenth.
    Largest,
}

/// How often jobs ended in time, the latest counting most.
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
    /// Core-seconds of the latest jobs, and the same in order.
    recent: VecDeque<f64>,
    sorted: Vec<f64>,
    all: OnTimeRecord,
    large: OnTimeRecord,
    largest: OnTimeRecord,
}

impl QueueSizes {
    fn classify(&mut self, work: f64) -> SizeClass {
        if self.recent.len() == RECENT_MAX
            && let Some(oldest) = self.recent.pop_front()
        {
            let at = self.sorted.partition_point(|known| *known < oldest);
            self.sorted.remove(at);
        }
        self.recent.push_back(work);
        let at = self.sorted.partition_point(|known| *known < work);
        self.sorted.insert(at, work);
        if self.sorted.len() < RECENT_MIN {
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

/// The sizes of all queues, and which jobs are drawn to the front.
#[derive(Debug, Default)]
pub(super) struct Sizes {
    policy: SizesPolicy,
    queues: HashMap<Box<str>, QueueSizes>,
    /// Jobs at the front, with the processors that they take.
    boosted: HashMap<JobId, BoostedJob>,
}

#[derive(Clone, Copy, Debug)]
struct BoostedJob {
    size: SizeClass,
    millicores: u64,
}

/// A job that may be drawn to the front.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<'a> {
    pub(super) id: JobId,
    pub(super) queue: &'a str,
    pub(super) size: SizeClass,
    /// What the tasks of its next step take together.
    pub(super) millicores: u64,
    /// What its pool has beside tasks that last.
    pub(super) available_millicores: u64,
}

impl Sizes {
    pub(super) fn new(policy: SizesPolicy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// A job of so many core-seconds came in.
    pub(super) fn classify(&mut self, queue: &str, work: f64) -> SizeClass {
        match self.queues.get_mut(queue) {
            Some(known) => known.classify(work),
            None => self.queues.entry(queue.into()).or_default().classify(work),
        }
    }

    /// A job ended, or can no longer end in time.
    pub(super) fn record_outcome(
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

    /// A job needs nothing any more.
    pub(super) fn remove_job(&mut self, id: JobId) {
        self.boosted.remove(&id);
    }

    /// Whether a job is at the front.
    pub(super) fn is_boosted(&self, id: JobId) -> bool {
        self.boosted.contains_key(&id)
    }

    /// Draws a job to the front if its size is behind and there is a place.
    pub(super) fn boost(&mut self, job: Candidate<'_>) {
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
            log::info!("job={} drawn to the front: its size is behind in {}", job.id, job.queue);
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
