//! Queue of the steps with waiting tasks, in the order in which they are to be started.
//!
//! The expected load is a steady mix of short jobs of high priority and long jobs of low
//! priority, with bursts of the latter at up to 2.6 times the usual rate. During such a
//! burst, an order by arrival or by deadline makes every job late. An order by worth per
//! core-second left completes as many jobs as there is capacity for, and delays those
//! that could not end on time anyway.

use crate::jobs::capacity;
use crate::jobs::estimate::{JobEstimate, Lateness};
use crate::jobs::interference::{ImageKey, Interference};
use crate::jobs::policy::{Policy, Switch};
use crate::jobs::routes::Routes;
use crate::jobs::scarcity::{Claim, Room, ScarcityPolicy};
use crate::jobs::shares::QueueKey;
use crate::jobs::sizes::{BoostCandidate, SizeClass, Sizes};
use crate::moment::Moment;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Range;
use std::time::Duration;
use yuccalink_state::Resources;
use yuccalink_state::jobs::{
    CellState, IncarnationKey, Job, JobId, JobPhase, Queue, Step, StepSpec, Task, TaskKey,
};

/// Weight of a new job in the running mean of the work of its queue's jobs.
const QUEUE_MEAN_WEIGHT: f64 = 0.05;
/// Scale of the integer densities: worth per core-second is compared in millionths.
const DENSITY_SCALE: f64 = 1e6;
/// Factor on the density of jobs that returned when told, so that they come before newcomers of
/// about their density. Before all newcomers, large jobs would displace many small ones.
const RETURNED_RAISE: f64 = 1.1;

/// Criterion that orders the waiting steps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderBy {
    /// Jobs that can still end on time first, then by the priority of their queue, then
    /// by worth per core-second left.
    #[default]
    Worth,
    /// By deadline, the earliest first.
    Deadline,
    /// By arrival time of the job, the earliest first.
    Arrival,
}

/// Order in which waiting steps are offered free capacity.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct OrderPolicy {
    /// Criterion that orders the steps.
    pub by: OrderBy,
    /// Exponent of the work left in the density of a job. At 1 the density is the worth
    /// per core-second left, and the largest jobs are hardly ever started.
    pub size_weight: f64,
    /// Whether interrupted long-running tasks come before all others.
    pub again_first: Switch,
    /// Whether short jobs that can still end on time come before long-running tasks.
    pub short_first: Switch,
}

impl Default for OrderPolicy {
    fn default() -> Self {
        Self {
            by: OrderBy::Worth,
            size_weight: 0.85,
            again_first: Switch::On,
            short_first: Switch::On,
        }
    }
}

/// A step of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(in crate::jobs) struct StepKey {
    pub(in crate::jobs) job: JobId,
    pub(in crate::jobs) occurrence: u32,
    pub(in crate::jobs) step: u16,
}

impl StepKey {
    /// Returns the step that a task belongs to.
    pub(in crate::jobs) fn of(task: TaskKey) -> Self {
        Self { job: task.job, occurrence: task.occurrence, step: task.step }
    }
}

/// First criterion of the order; an earlier variant is started first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum StartClass {
    /// Long-running tasks that ran before and wait for a runner: their users have no
    /// service meanwhile. Runners with enough free capacity for a large task are rare,
    /// and without this class short tasks or larger tasks of other jobs would take that
    /// capacity every time. When there is too little room, also long-running tasks of jobs
    /// with less than their floor.
    Interrupted,
    /// Short tasks on reserved CPU that can still end on time: they free their capacity
    /// within a second, whereas a long-running task holds it for minutes. When there is too
    /// little room, also those that can still end with some worth.
    Short,
    /// Other long-running tasks.
    LongRunning,
    /// All other tasks.
    Other,
}

/// Sort key of a waiting step; the smallest is started first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::jobs) struct Rank {
    start_class: StartClass,
    /// Whether the job is boosted because jobs of its size end late.
    boosted: Reverse<bool>,
    lateness: Lateness,
    claim: Claim,
    /// Whether a long-running step with a claim has no task that ran before.
    never_ran: bool,
    priority: u32,
    /// Worth per core-second left, negated so that a higher density comes first.
    density: i64,
    since: Moment,
}

/// The criteria of a rank that come before density.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::jobs) struct RankClass(StartClass, Reverse<bool>, Lateness, Claim, bool, u32);

/// Role of a step's tasks on a runner shared with other tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::jobs) enum StepKind {
    /// Latency-critical: serves its own users and has a bound on its tail latency.
    Serving,
    /// May slow the serving tasks on its runner.
    Background,
}

/// Data of a step that placement needs. It is computed once per job, since hundreds of
/// steps are examined for each of hundreds of reports a second.
#[derive(Clone, Copy, Debug)]
pub(in crate::jobs) struct StepInfo {
    /// The job's queue.
    pub(in crate::jobs) queue: QueueKey,
    /// CPU, memory and accelerators that one task may use.
    pub(in crate::jobs) need: Resources,
    /// Part of `need` that is reserved for one task.
    pub(in crate::jobs) reserved: Resources,
    pub(in crate::jobs) kind: StepKind,
    pub(in crate::jobs) image: Option<ImageKey>,
    pub(in crate::jobs) opportunistic: bool,
    pub(in crate::jobs) long_running: bool,
    pub(in crate::jobs) checkpointing: bool,
    pub(in crate::jobs) speculative: bool,
    pub(in crate::jobs) tail_bound_ms: u64,
    pub(in crate::jobs) estimate_ms: u64,
}

impl StepInfo {
    fn of(step: &StepSpec, queue: QueueKey, learnt: &mut Interference) -> Self {
        Self {
            queue,
            need: step.need,
            reserved: step.reserved(),
            kind: if step.tail_bound_ms > 0 { StepKind::Serving } else { StepKind::Background },
            image: step.image.as_deref().map(|image| learnt.image(image)),
            opportunistic: step.opportunistic,
            long_running: step.long_running,
            checkpointing: step.checkpointing,
            speculative: step.speculative,
            tail_bound_ms: step.tail_bound_ms,
            estimate_ms: step.estimate_ms,
        }
    }

    /// Returns the CPU of one task, in millicores, by which a queue's use is counted.
    pub(in crate::jobs) fn used_millicores(&self) -> u64 {
        match self.reserved.millicores {
            0 => self.need.millicores,
            reserved => reserved,
        }
    }

    /// Returns whether the step's tasks may slow serving tasks.
    pub(in crate::jobs) fn may_interfere(&self) -> bool {
        self.kind == StepKind::Background && self.image.is_some()
    }
}

/// Scheduling data of a job that is not part of the replicated state.
#[derive(Debug)]
pub(in crate::jobs) struct JobInfo {
    arrived_at: Moment,
    estimate: JobEstimate,
    steps: Vec<StepInfo>,
    objective: Duration,
    priority: u32,
    long_running: bool,
    scheduled: bool,
    /// The queue is on hold: its tasks are not started.
    held: bool,
    /// Floor that the queue's configuration sets, in percent of the job's tasks.
    floor_percent: Option<u8>,
    size: SizeClass,
    /// Whether the size statistics already contain the outcome of this job, or must not
    /// contain it.
    outcome_recorded: bool,
}

/// A step with waiting tasks, as offered to a runner.
#[derive(Clone, Copy, Debug)]
pub(in crate::jobs) struct WaitingStep<'a> {
    pub(in crate::jobs) step_key: StepKey,
    pub(in crate::jobs) step: &'a StepInfo,
    /// Only steps of the same class are compared by density.
    pub(in crate::jobs) class: RankClass,
    pub(in crate::jobs) density: f64,
}

/// Queue entry of a step with waiting tasks.
#[derive(Clone, Debug)]
struct WaitingEntry {
    /// Time at which the step first had tasks to start.
    since: Moment,
    rank: Rank,
    /// Whether the step is long-running and has a task that ran before and waits again.
    interrupted: bool,
}

/// Ordered queue of all steps with waiting tasks.
#[derive(Debug, Default)]
pub(in crate::jobs) struct ReadyQueue {
    policy: OrderPolicy,
    entries: BTreeMap<StepKey, WaitingEntry>,
    /// The entries whose queue is not on hold.
    order: BTreeMap<(Rank, StepKey), StepInfo>,
    job_infos: HashMap<JobId, JobInfo>,
    mean_work: HashMap<Box<str>, f64>,
    queues: QueueNames,
    /// Jobs with a schedule, with their due and unopened occurrences that are in the queue.
    scheduled: BTreeMap<JobId, Range<u32>>,
    long_running: BTreeSet<JobId>,
    /// Jobs that were refused, returned when told, and have not ended.
    returned: BTreeSet<JobId>,
    sizes: Sizes,
    scarcity: ScarcityPolicy,
    /// Room for the long-running tasks, as found before the last ranking.
    room: Room,
    /// Runners whose tasks do not count as held, as of the last ranking.
    leaving: BTreeSet<IncarnationKey>,
}

/// Names of the queues that had a job.
#[derive(Debug, Default)]
struct QueueNames {
    names: Vec<Box<str>>,
    by_name: HashMap<Box<str>, QueueKey>,
}

impl QueueNames {
    fn key(&mut self, name: &str) -> QueueKey {
        if let Some(key) = self.by_name.get(name) {
            return *key;
        }
        let key = QueueKey(u32::try_from(self.names.len()).unwrap_or(u32::MAX));
        self.names.push(name.into());
        self.by_name.insert(name.into(), key);
        key
    }
}

impl ReadyQueue {
    pub(in crate::jobs) fn new(policy: &Policy) -> Self {
        let (order, scarcity) = (policy.order, policy.scarcity);
        Self { policy: order, sizes: Sizes::new(policy.sizes), scarcity, ..Self::default() }
    }

    /// Returns whether the last ranking found too little room for the long-running tasks.
    pub(in crate::jobs) fn is_scarce(&self) -> bool {
        self.room.is_too_little()
    }

    /// Returns the jobs with long-running tasks.
    pub(in crate::jobs) fn long_running(&self) -> impl Iterator<Item = JobId> {
        self.long_running.iter().copied()
    }

    /// Records the room for the long-running tasks, and the runners whose tasks do not count as
    /// held by their jobs.
    pub(in crate::jobs) fn set_room(&mut self, room: Room, leaving: BTreeSet<IncarnationKey>) {
        self.room = room;
        self.leaving = leaving;
    }

    /// Returns whether short tasks come before the long-running tasks of jobs that have their
    /// floor.
    pub(in crate::jobs) fn puts_short_first(&self) -> bool {
        self.room == Room::TooLittleShortFirst
    }

    /// Iterates over the long-running steps, those on hold apart, that have waited for longer than
    /// the time from which there may be too little room.
    pub(in crate::jobs) fn long_waiting(
        &self,
        now: Moment,
    ) -> impl Iterator<Item = (StepKey, &StepInfo)> {
        let waited = move |entry: &WaitingEntry| self.scarcity.is_too_long(now.since(entry.since));
        self.entries.iter().filter(move |(_, entry)| waited(entry)).filter_map(|(key, _)| {
            let step = self.step(key.job, key.step).filter(|step| step.long_running)?;
            (!self.is_held(key.job)).then_some((*key, step))
        })
    }

    /// Returns whether a step has an interrupted long-running task.
    pub(in crate::jobs) fn has_interrupted_task(&self, key: StepKey) -> bool {
        self.entries.get(&key).is_some_and(|entry| entry.interrupted)
    }

    /// Adds the scheduling data of a job that arrived at `arrived_at`.
    pub(in crate::jobs) fn add_job(
        &mut self,
        id: JobId,
        job: &Job,
        arrived_at: Moment,
        routes: &Routes,
        learnt: &mut Interference,
    ) {
        let estimate = JobEstimate::of(&job.spec);
        let mean = self.mean_work.entry(job.queue.clone()).or_insert(estimate.total_work);
        *mean += (estimate.total_work - *mean) * QUEUE_MEAN_WEIGHT;
        let queue = routes.queue(&job.queue);
        let scheduled = job.spec.schedule.is_some();
        if scheduled {
            self.scheduled.insert(id, 0..0);
        }
        let key = self.queues.key(&job.queue);
        let long_running = job.spec.steps.iter().any(|step| step.long_running);
        if long_running {
            self.long_running.insert(id);
        }
        let size = match long_running || scheduled {
            true => SizeClass::Typical,
            false => self.sizes.classify(&job.queue, estimate.total_work),
        };
        let info = JobInfo {
            arrived_at,
            objective: estimate.objective(queue),
            estimate,
            steps: job.spec.steps.iter().map(|step| StepInfo::of(step, key, learnt)).collect(),
            priority: queue.map_or(u32::MAX, |queue| queue.priority),
            long_running,
            scheduled,
            held: routes.is_held(&job.queue),
            floor_percent: routes.settings(&job.queue).floor_percent,
            size,
            outcome_recorded: long_running || scheduled,
        };
        self.job_infos.insert(id, info);
    }

    /// Records that a job was refused before and has returned when told.
    pub(in crate::jobs) fn mark_returned(&mut self, id: JobId) {
        self.returned.insert(id);
    }

    /// Returns the rank that the first step of a new job would have.
    pub(in crate::jobs) fn rank_of_new(
        &self,
        estimate: &JobEstimate,
        queue: &Queue,
        returned: bool,
        now: Moment,
    ) -> Rank {
        let mean = self.mean_work.get(&queue.name).copied().unwrap_or(0.0);
        let density = estimate.density(estimate.total_work, mean, self.policy.size_weight);
        let start_class = match self.policy.short_first.is_on() {
            true => StartClass::Short,
            false => StartClass::Other,
        };
        let base = Rank {
            start_class,
            boosted: Reverse(false),
            lateness: Lateness::OnTime,
            claim: Claim::default(),
            never_ran: false,
            priority: 0,
            density: 0,
            since: now,
        };
        match self.policy.by {
            OrderBy::Worth => Rank {
                priority: queue.priority,
                density: -scaled_density(density, returned),
                ..base
            },
            OrderBy::Deadline => Rank { since: now + estimate.objective(Some(queue)), ..base },
            OrderBy::Arrival => base,
        }
    }

    /// Iterates over the waiting steps that are not long-running, in their order, with the
    /// core-seconds of one task.
    pub(in crate::jobs) fn ranked(&self) -> impl Iterator<Item = (Rank, StepKey, f64)> {
        let short = self.order.iter().filter(|(_, step)| !step.long_running);
        short.map(|((rank, key), _)| (*rank, *key, self.task_work(key.job, key.step)))
    }

    /// Returns the core-seconds of one task of a step, by its declared run time.
    pub(in crate::jobs) fn task_work(&self, job: JobId, step: u16) -> f64 {
        let info = self.job_infos.get(&job);
        info.and_then(|info| info.estimate.task_work.get(usize::from(step))).copied().unwrap_or(0.0)
    }

    /// Returns the age and the objective of a job.
    pub(in crate::jobs) fn age_and_objective(
        &self,
        id: JobId,
        now: Moment,
    ) -> Option<(Duration, Duration)> {
        self.job_infos.get(&id).map(|info| (now.since(info.arrived_at), info.objective))
    }

    /// Applies the objectives, priorities, names and holds of a new change set. Returns whether
    /// the order must be computed again.
    #[must_use]
    pub(in crate::jobs) fn apply_change_set(&mut self, jobs: &CellState, routes: &Routes) -> bool {
        let mut order_changed = false;
        for (id, info) in &mut self.job_infos {
            let Some(job) = jobs.job(*id) else { continue };
            // A job whose queue was removed keeps its objective and priority.
            if let Some(queue) = routes.queue(&job.queue) {
                info.objective = info.estimate.objective(Some(queue));
                info.priority = queue.priority;
            }
            info.floor_percent = routes.settings(&job.queue).floor_percent;
            let held = routes.is_held(&job.queue);
            order_changed |= std::mem::replace(&mut info.held, held) != held;
            let key = self.queues.key(&job.queue);
            for step in &mut info.steps {
                order_changed |= std::mem::replace(&mut step.queue, key) != key;
            }
        }
        order_changed
    }

    /// Returns the key of the queue called `name`, if it ever had a job.
    pub(in crate::jobs) fn queue_key(&self, name: &str) -> Option<QueueKey> {
        self.queues.by_name.get(name).copied()
    }

    /// Returns the name of a queue.
    pub(in crate::jobs) fn queue_name(&self, key: QueueKey) -> &str {
        self.queues.names.get(key.0 as usize).map_or("", |name| name)
    }

    /// Returns whether the queue of a job is on hold.
    pub(in crate::jobs) fn is_held(&self, id: JobId) -> bool {
        self.job_infos.get(&id).is_some_and(|info| info.held)
    }

    /// Removes a job that needs no further scheduling.
    pub(in crate::jobs) fn drop_job(&mut self, id: JobId) {
        for key in self.keys_of(id) {
            self.remove(key);
        }
        self.job_infos.remove(&id);
        self.scheduled.remove(&id);
        self.long_running.remove(&id);
        self.returned.remove(&id);
        self.sizes.remove_job(id);
    }

    /// Records the end of a job in the statistics of its size; cancelled jobs do not
    /// count.
    pub(in crate::jobs) fn record_end(&mut self, id: JobId, job: &Job, now: Moment) {
        self.returned.remove(&id);
        if job.phase == JobPhase::Cancelled {
            return self.sizes.remove_job(id);
        }
        let Some(info) = self.job_infos.get(&id) else { return };
        let on_time =
            job.phase == JobPhase::Completed && now.since(info.arrived_at) <= info.objective;
        self.record_outcome(id, job, on_time);
    }

    /// Records the jobs that ended under earlier leaders, in the order of their ends.
    pub(in crate::jobs) fn recall_ends(&mut self, jobs: &CellState) {
        let ended = |job: &Job| matches!(job.phase, JobPhase::Completed | JobPhase::Failed);
        let mut ends: Vec<(u64, JobId)> =
            jobs.all().filter(|(_, job)| ended(job)).map(|(id, job)| (job.ended_ms, id)).collect();
        ends.sort_unstable();
        for (ended_ms, id) in ends {
            let (Some(job), Some(info)) = (jobs.job(id), self.job_infos.get(&id)) else { continue };
            let age = Duration::from_millis(ended_ms.saturating_sub(job.at_ms));
            let on_time = job.phase == JobPhase::Completed && age <= info.objective;
            self.record_outcome(id, job, on_time);
        }
    }

    fn record_outcome(&mut self, id: JobId, job: &Job, on_time: bool) {
        let Some(info) = self.job_infos.get_mut(&id) else { return };
        if !std::mem::replace(&mut info.outcome_recorded, true) {
            self.sizes.record_outcome(id, &job.queue, info.size, on_time);
        }
    }

    fn is_outcome_open(&self, id: JobId) -> bool {
        self.job_infos.get(&id).is_some_and(|info| !info.outcome_recorded)
    }

    /// Records jobs that can no longer end on time as late, and boosts jobs of sizes that
    /// end late too often. `available_cpu` is the CPU of each pool, in millicores, that
    /// is not reserved for long-running tasks.
    pub(in crate::jobs) fn boost_by_size(
        &mut self,
        jobs: &CellState,
        available_cpu: &BTreeMap<Box<str>, u64>,
    ) {
        let late = |(_, entry): &(&StepKey, &WaitingEntry)| entry.rank.lateness != Lateness::OnTime;
        let late = self.entries.iter().filter(late).map(|(key, _)| key.job);
        let late: Vec<JobId> = late.filter(|id| self.is_outcome_open(*id)).collect();
        for id in late {
            if let Some(job) = jobs.job(id) {
                self.record_outcome(id, job, false);
            }
        }
        let candidates =
            self.order.keys().filter(|(rank, _)| rank.start_class == StartClass::Short);
        for (_, key) in candidates {
            let (Some(job), Some(info)) = (jobs.job(key.job), self.job_infos.get(&key.job)) else {
                continue;
            };
            if info.size == SizeClass::Typical || info.outcome_recorded {
                continue;
            }
            let Some(spec) = job.spec.steps.get(usize::from(key.step)) else { continue };
            self.sizes.boost(BoostCandidate {
                id: key.job,
                queue: &job.queue,
                size: info.size,
                millicores: spec.need.millicores * u64::from(spec.count),
                available_millicores: available_cpu.get(&job.pool).copied().unwrap_or(0),
            });
        }
    }

    pub(in crate::jobs) fn keys_of(&self, id: JobId) -> Vec<StepKey> {
        let from = StepKey { job: id, occurrence: 0, step: 0 };
        let to = StepKey { job: id, occurrence: u32::MAX, step: u16::MAX };
        self.entries.range(from..=to).map(|(key, _)| *key).collect()
    }

    fn remove(&mut self, key: StepKey) {
        if let Some(entry) = self.entries.remove(&key) {
            self.order.remove(&(entry.rank, key));
        }
    }

    /// Replaces the known waiting steps of an occurrence of a job by the steps with these keys,
    /// which are in order.
    pub(in crate::jobs) fn set_waiting_steps(
        &mut self,
        id: JobId,
        occurrence: u32,
        keys: &[StepKey],
        jobs: &CellState,
        now: Moment,
    ) {
        let from = StepKey { job: id, occurrence, step: 0 };
        let to = StepKey { job: id, occurrence, step: u16::MAX };
        let known = self.entries.range(from..=to).map(|(key, _)| *key);
        let ended: Vec<StepKey> = known.filter(|key| keys.binary_search(key).is_err()).collect();
        for key in ended {
            self.remove(key);
        }
        for key in keys {
            if !self.entries.contains_key(key) {
                let rank = self.rank(jobs, *key, now, now);
                let interrupted = self.has_interrupted(jobs, *key);
                self.entries.insert(*key, WaitingEntry { since: now, rank, interrupted });
                if let Some(step) = self.step(key.job, key.step)
                    && !self.is_held(key.job)
                {
                    self.order.insert((rank, *key), *step);
                }
            }
        }
    }

    /// Removes the waiting steps of a job that has ended.
    pub(in crate::jobs) fn remove_waiting_steps(&mut self, id: JobId) {
        for key in self.keys_of(id) {
            self.remove(key);
        }
    }

    /// Replaces the due occurrences of a scheduled job that were not opened by those in `due`,
    /// which begins at the first unopened one. Returns the number of occurrences that changed.
    pub(in crate::jobs) fn set_due_occurrences(
        &mut self,
        id: JobId,
        due: Range<u32>,
        jobs: &CellState,
        now: Moment,
    ) -> u32 {
        let Some(known) = self.scheduled.get_mut(&id) else { return 0 };
        let former = std::mem::replace(known, due.clone());
        if former == due {
            return 0;
        }
        let removed = former.start.max(due.end)..former.end;
        for occurrence in removed.clone() {
            self.set_waiting_steps(id, occurrence, &[], jobs, now);
        }
        let added = due.start.max(former.end)..due.end;
        for occurrence in added.clone() {
            let keys = self.first_steps(jobs, id, occurrence);
            self.set_waiting_steps(id, occurrence, &keys, jobs, now);
        }
        u32::try_from(removed.len() + added.len()).unwrap_or(u32::MAX)
    }

    /// Returns the steps of an occurrence that depend on no other.
    fn first_steps(&self, jobs: &CellState, id: JobId, occurrence: u32) -> Vec<StepKey> {
        let steps = jobs.job(id).into_iter().flat_map(|job| &job.spec.steps);
        let first = (0_u16..).zip(steps).filter(|(_, step)| step.depends_on.is_empty());
        first.map(|(step, _)| StepKey { job: id, occurrence, step }).collect()
    }

    /// Recomputes the rank of every step, since ranks depend on time and on the work
    /// left.
    pub(in crate::jobs) fn rank_all(&mut self, jobs: &CellState, now: Moment) {
        let mut entries = std::mem::take(&mut self.entries);
        for (key, entry) in &mut entries {
            entry.rank = self.rank(jobs, *key, now, entry.since);
            entry.interrupted = self.has_interrupted(jobs, *key);
        }
        let ranked = |(key, entry): (&StepKey, &WaitingEntry)| {
            let step = self.step(key.job, key.step).filter(|_| !self.is_held(key.job));
            step.map(|step| ((entry.rank, *key), *step))
        };
        self.order = entries.iter().filter_map(ranked).collect();
        self.entries = entries;
    }

    /// Iterates over the waiting steps in start order.
    pub(in crate::jobs) fn order(&self) -> impl Iterator<Item = StepKey> {
        self.order.keys().map(|(_, key)| *key)
    }

    /// Iterates over the waiting steps in start order, with the data that placement
    /// needs.
    pub(in crate::jobs) fn waiting(&self) -> impl Iterator<Item = WaitingStep<'_>> {
        self.order.iter().map(|((rank, step_key), step)| WaitingStep {
            step_key: *step_key,
            step,
            class: RankClass(
                rank.start_class,
                rank.boosted,
                rank.lateness,
                rank.claim,
                rank.never_ran,
                rank.priority,
            ),
            density: -(rank.density as f64),
        })
    }

    /// Iterates over the waiting steps that may slow serving tasks and whose jobs may still end
    /// with some worth, with the slack of their jobs.
    pub(in crate::jobs) fn waiting_background(
        &self,
    ) -> impl Iterator<Item = (StepKey, &StepInfo, Duration)> {
        let waiting = self.order.iter().filter(|((rank, _), step)| {
            step.may_interfere() && !step.long_running && rank.lateness != Lateness::Overdue
        });
        waiting.filter_map(|((_, key), step)| {
            let info = self.job_infos.get(&key.job)?;
            let slack = info.objective.saturating_sub(info.estimate.critical_path);
            Some((*key, step, slack))
        })
    }

    /// Returns the first step of a job, in step order, that has waiting tasks.
    pub(in crate::jobs) fn first_waiting(&self, id: JobId) -> Option<StepKey> {
        self.keys_of(id).into_iter().next()
    }

    /// Returns whether a job has long-running tasks or a schedule, and therefore no
    /// deadline.
    pub(in crate::jobs) fn has_no_deadline(&self, id: JobId) -> bool {
        self.job_infos.get(&id).is_none_or(|info| info.long_running || info.scheduled)
    }

    /// Returns whether a job is so late that its result no longer counts.
    pub(in crate::jobs) fn is_overdue(&self, id: JobId, now: Moment) -> bool {
        let Some(info) = self.job_infos.get(&id) else { return false };
        let age = now.since(info.arrived_at);
        JobEstimate::lateness(info.objective, age, Duration::ZERO) == Lateness::Overdue
    }

    /// Returns the time at which a step first had tasks to start.
    pub(in crate::jobs) fn since(&self, key: StepKey) -> Option<Moment> {
        self.entries.get(&key).map(|entry| entry.since)
    }

    /// Returns the data of a step of a job.
    pub(in crate::jobs) fn step(&self, job: JobId, step: u16) -> Option<&StepInfo> {
        self.job_infos.get(&job)?.steps.get(usize::from(step))
    }

    /// Returns for how long the step that has waited longest has waited.
    pub(in crate::jobs) fn longest_wait(&self, now: Moment) -> Option<Duration> {
        self.entries.values().map(|entry| now.since(entry.since)).max()
    }

    /// Returns the data of the step that a task belongs to.
    pub(in crate::jobs) fn step_of(&self, task: TaskKey) -> Option<&StepInfo> {
        self.step(task.job, task.step)
    }

    /// Returns whether no step has waiting tasks.
    pub(in crate::jobs) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of steps with waiting tasks.
    pub(in crate::jobs) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the number of waiting tasks in all steps.
    pub(in crate::jobs) fn waiting_tasks(&self, jobs: &CellState) -> usize {
        let waiting = |key: &StepKey| {
            jobs.job(key.job).map(|job| capacity::waiting_tasks(job, *key) as usize)
        };
        self.entries.keys().filter_map(waiting).sum()
    }

    /// Returns the jobs with a schedule.
    pub(in crate::jobs) fn scheduled(&self) -> Vec<JobId> {
        self.scheduled.keys().copied().collect()
    }

    fn has_interrupted(&self, jobs: &CellState, key: StepKey) -> bool {
        let long_running = self.step(key.job, key.step).is_some_and(|step| step.long_running);
        long_running && jobs.job(key.job).is_some_and(|job| has_run_before(job, key))
    }

    /// Returns the floor of a job, in percent of its tasks: that of its queue if one is set.
    fn floor_percent(&self, id: JobId) -> u8 {
        let of_queue = self.job_infos.get(&id).and_then(|info| info.floor_percent);
        of_queue.unwrap_or(self.scarcity.floor_percent)
    }

    /// Returns the claim of a job on room for its long-running tasks.
    pub(in crate::jobs) fn claim(&self, id: JobId, job: &Job) -> Claim {
        let (tasks, held) = held_tasks(job, &self.leaving);
        Claim::new(held, tasks, self.floor_percent(id))
    }

    fn rank(&self, jobs: &CellState, key: StepKey, now: Moment, since: Moment) -> Rank {
        let last = Rank {
            start_class: StartClass::Other,
            boosted: Reverse(false),
            lateness: Lateness::Overdue,
            claim: Claim::default(),
            never_ran: false,
            priority: u32::MAX,
            density: 0,
            since,
        };
        let (Some(job), Some(info)) = (jobs.job(key.job), self.job_infos.get(&key.job)) else {
            return last;
        };
        let Some(step) = info.steps.get(usize::from(key.step)) else { return last };
        let priority = info.priority;
        if step.long_running {
            // The largest tasks come first, so that small ones fill the capacity that is
            // left.
            let density = -i64::try_from(step.need.millicores).unwrap_or(i64::MAX);
            let interrupted = self.policy.again_first.is_on() && has_run_before(job, key);
            let scarce = self.is_scarce();
            let claim = match scarce {
                true => self.claim(key.job, job),
                false => Claim::default(),
            };
            let first =
                (interrupted && !self.puts_short_first()) || (scarce && claim.is_below_floor());
            let start_class = if first { StartClass::Interrupted } else { StartClass::LongRunning };
            let never_ran = scarce && !interrupted;
            let lateness = Lateness::OnTime;
            // Behind the short tasks, interrupted tasks still come before the others.
            let boosted = Reverse(interrupted && self.puts_short_first());
            return Rank {
                start_class,
                boosted,
                lateness,
                claim,
                never_ran,
                priority,
                density,
                ..last
            };
        }
        let mean = self.mean_work.get(&job.queue).copied().unwrap_or(0.0);
        let left = info.estimate.work_left(job);
        let density = info.estimate.density(left, mean, self.policy.size_weight);
        let lateness = info.lateness(key.step, now);
        let in_time = match lateness {
            Lateness::OnTime => true,
            Lateness::Late => self.puts_short_first(),
            Lateness::Overdue => false,
        };
        let short = in_time && !step.opportunistic;
        let start_class = match short && self.policy.short_first.is_on() {
            true => StartClass::Short,
            false => StartClass::Other,
        };
        let boosted = Reverse(start_class == StartClass::Short && self.sizes.is_boosted(key.job));
        let base = Rank { start_class, boosted, lateness: Lateness::OnTime, priority: 0, ..last };
        match self.policy.by {
            OrderBy::Worth => {
                let returned = self.returned.contains(&key.job);
                let density = -scaled_density(density, returned);
                Rank { lateness, priority, density, ..base }
            }
            OrderBy::Deadline => Rank { since: info.arrived_at + info.objective, ..base },
            OrderBy::Arrival => Rank { since: info.arrived_at, ..base },
        }
    }
}

/// Returns the density as an integer, raised for a job that returned when told.
fn scaled_density(density: f64, returned: bool) -> i64 {
    let raise = if returned { RETURNED_RAISE } else { 1.0 };
    (density * raise * DENSITY_SCALE) as i64
}

/// Iterates over a job's long-running steps of unfinished occurrences, with their numbers.
fn long_running_steps(job: &Job) -> impl Iterator<Item = (u32, u16, &Step)> {
    let steps = job.unfinished().flat_map(|(k, occurrence)| {
        occurrence.steps.iter().zip(&job.spec.steps).zip(0..).map(move |(step, s)| (k, s, step))
    });
    let steps = steps.filter(|(_, _, (_, spec))| spec.long_running);
    steps.map(|(occurrence, s, (step, _))| (occurrence, s, step))
}

/// Iterates over a job's long-running tasks that are not done.
pub(in crate::jobs) fn long_running_tasks(
    id: JobId,
    job: &Job,
) -> impl Iterator<Item = (TaskKey, &Task)> {
    let tasks = long_running_steps(job).flat_map(move |(occurrence, step, state)| {
        let key = move |index| TaskKey { job: id, occurrence, step, index };
        state.tasks.iter().zip(0..).map(move |(task, index)| (key(index), task))
    });
    tasks.filter(|(_, task)| !task.done)
}

/// Returns the number of a job's long-running tasks, and of those assigned to runners that
/// are not in `leaving`.
fn held_tasks(job: &Job, leaving: &BTreeSet<IncarnationKey>) -> (u32, u32) {
    let (mut tasks, mut held) = (0, 0);
    for (_, _, step) in long_running_steps(job) {
        tasks += step.left;
        let stays =
            |task: &Task| task.assignments.iter().any(|a| !leaving.contains(&a.incarnation));
        let staying = step.tasks.assigned().filter(|(_, task)| !task.done && stays(task));
        held += u32::try_from(staying.count()).unwrap_or(u32::MAX);
    }
    (tasks, held)
}

/// Returns whether a step has a task that ran before and waits again.
fn has_run_before(job: &Job, key: StepKey) -> bool {
    let step = job.step(key.occurrence, key.step);
    let mut begun = step.into_iter().flat_map(|step| step.tasks.begun());
    begun.any(|(_, task)| task.is_waiting() && task.last_run > 0)
}

impl JobInfo {
    fn lateness(&self, step: u16, now: Moment) -> Lateness {
        if self.long_running || self.scheduled {
            return Lateness::OnTime;
        }
        let path_to_end =
            self.estimate.paths_to_end.get(usize::from(step)).copied().unwrap_or_default();
        JobEstimate::lateness(self.objective, now.since(self.arrived_at), path_to_end)
    }
}
