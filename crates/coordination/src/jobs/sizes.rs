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
const LARGEST_FROM: f64 = 0.9;
const LARGE_FROM: f64 = 0.7;
/// What an outcome still counts for after each further one of its size.
const FADING: f64 = 0.95;
/// Outcomes, as they fade, from which a size is judged.
const JUDGED_FROM: f64 = 2.0;

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
pub(super) enum Size {
    /// Seven in ten.
    Usual,
    /// The fifth below the largest.
    Large,
    /// The largest tenth.
    Largest,
}

/// How often jobs ended in time, the latest counting most.
#[derive(Clone, Copy, Debug, Default)]
struct Record {
    ended: f64,
    in_time: f64,
}

impl Record {
    fn add(&mut self, in_time: bool) {
        self.ended = self.ended * FADING + 1.0;
        self.in_time = self.in_time * FADING + f64::from(u8::from(in_time));
    }

    fn share(&self) -> Option<f64> {
        (self.ended >= JUDGED_FROM).then(|| self.in_time / self.ended)
    }
}

#[derive(Clone, Debug, Default)]
struct QueueSizes {
    /// Core-seconds of the latest jobs, and the same in order.
    recent: VecDeque<f64>,
    sorted: Vec<f64>,
    all: Record,
    large: Record,
    largest: Record,
}

impl QueueSizes {
    fn meet(&mut self, work: f64) -> Size {
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
            return Size::Usual;
        }
        let below = at as f64 / self.sorted.len() as f64;
        match below {
            _ if below >= LARGEST_FROM => Size::Largest,
            _ if below >= LARGE_FROM => Size::Large,
            _ => Size::Usual,
        }
    }

    fn ended(&mut self, size: Size, in_time: bool) {
        self.all.add(in_time);
        match size {
            Size::Usual => {}
            Size::Large => self.large.add(in_time),
            Size::Largest => self.largest.add(in_time),
        }
    }
}

/// The sizes of all queues, and which jobs are drawn to the front.
#[derive(Debug, Default)]
pub(super) struct Sizes {
    policy: SizesPolicy,
    queues: HashMap<Box<str>, QueueSizes>,
    /// Jobs at the front, with the processors that they take.
    front: HashMap<JobId, Front>,
}

#[derive(Clone, Copy, Debug)]
struct Front {
    size: Size,
    millicores: u64,
}

/// A job that may be drawn to the front.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<'a> {
    pub(super) id: JobId,
    pub(super) queue: &'a str,
    pub(super) size: Size,
    /// What the tasks of its next step take together.
    pub(super) millicores: u64,
    /// What its pool has beside tasks that last.
    pub(super) room_millicores: u64,
}

impl Sizes {
    pub(super) fn new(policy: SizesPolicy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// A job of so many core-seconds came in.
    pub(super) fn meet(&mut self, queue: &str, work: f64) -> Size {
        match self.queues.get_mut(queue) {
            Some(known) => known.meet(work),
            None => self.queues.entry(queue.into()).or_default().meet(work),
        }
    }

    /// A job ended, or can no longer end in time.
    pub(super) fn ended(&mut self, id: JobId, queue: &str, size: Size, in_time: bool) {
        self.front.remove(&id);
        if let Some(known) = self.queues.get_mut(queue) {
            known.ended(size, in_time);
        }
    }

    /// A job needs nothing any more.
    pub(super) fn forget(&mut self, id: JobId) {
        self.front.remove(&id);
    }

    /// Whether a job is at the front.
    pub(super) fn is_front(&self, id: JobId) -> bool {
        self.front.contains_key(&id)
    }

    /// Draws a job to the front if its size is behind and there is a place.
    pub(super) fn draw(&mut self, job: Candidate<'_>) {
        if self.policy.mode == Switch::Off || self.is_front(job.id) {
            return;
        }
        if !self.is_behind(job.queue, job.size) {
            return;
        }
        let taken: u64 = self.front.values().map(|front| front.millicores).sum();
        let places = job.room_millicores as f64 * self.policy.room;
        let first = self.front.values().all(|front| front.size != job.size);
        if first || (taken + job.millicores) as f64 <= places {
            let front = Front { size: job.size, millicores: job.millicores };
            self.front.insert(job.id, front);
            log::info!("job={} drawn to the front: its size is behind in {}", job.id, job.queue);
        }
    }

    fn is_behind(&self, queue: &str, size: Size) -> bool {
        let Some(known) = self.queues.get(queue) else { return false };
        let record = match size {
            Size::Usual => return false,
            Size::Large => known.large,
            Size::Largest => known.largest,
        };
        match (record.share(), known.all.share()) {
            (Some(own), Some(all)) => own < all * self.policy.behind,
            _ => false,
        }
    }
}
