//! Steps with tasks that wait, in the order in which they are to be started.
//!
//! The pattern answered here: a steady mix of short jobs of high priority and
//! long jobs of low priority, with bursts of the latter at up to 2.6 times the
//! usual rate. Under such a burst an order by arrival or by deadline makes every
//! job late; an order by worth for each core-second left finishes as many as
//! there is room for, and lets those fall behind that could not be prompt anyway.

use super::estimate::{Lateness, Shape};
use super::interference::{ImageKey, Interference};
use super::policy::Switch;
use super::routes::Routes;
use super::sizes::{Candidate, Size, Sizes, SizesPolicy};
use crate::moment::Moment;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;
use yuccalink_state::Resources;
use yuccalink_state::jobs::{CellState, Job, JobId, JobPhase, StepSpec, TaskKey};

/// Weight of a new job in the running mean of its queue's work.
const MEAN_WEIGHT: f64 = 0.05;
/// Worth for each core-second is compared in steps of a millionth.
const DENSITY_SCALE: f64 = 1e6;

/// What the order of waiting steps follows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderBy {
    /// Jobs that can still be prompt, then their queue's priority, then worth for each
    /// core-second left.
    #[default]
    Worth,
    /// The time by which a job is to end, the earliest first.
    Deadline,
    /// The time at which a job came.
    Arrival,
}

/// Whose turn it is when room comes free.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct OrderPolicy {
    /// What it follows.
    pub by: OrderBy,
    /// How much the size that is left counts against a job. With 1 it is the worth for
    /// each core-second, and the largest jobs hardly ever get their turn.
    pub size_weight: f64,
    /// Whether tasks that last and are down come first of all.
    pub again_first: Switch,
    /// Whether short work that can still be prompt comes before tasks that last.
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
pub(super) struct StepKey {
    pub(super) job: JobId,
    pub(super) occurrence: u32,
    pub(super) step: u16,
}

impl StepKey {
    /// The step of a task.
    pub(super) fn of(task: TaskKey) -> Self {
        Self { job: task.job, occurrence: task.occurrence, step: task.step }
    }
}

/// Whose turn it is when room comes free.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Turn {
    /// Tasks that last, have run and are down: their users are without them. Room for one
    /// of these sizes comes free now and then, and short work or another job's larger
    /// task would take it each time, for ever.
    Again,
    /// Short work on processors of its own that can still be prompt: it gives the
    /// room back within a second, where a task that lasts keeps it for minutes.
    Short,
    /// Tasks that last.
    Lasting,
    /// All others.
    Other,
}

/// Where a step stands in the order; smaller comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    turn: Turn,
    /// Drawn to the front for its size.
    front: Reverse<bool>,
    lateness: Lateness,
    priority: u32,
    /// Worth for each core-second left, below nothing so that more comes first.
    density: i64,
    since: Moment,
}

/// The part of a rank that goes before density.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RankClass(Turn, Reverse<bool>, Lateness, u32);

/// What a step's tasks are to their neighbours.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StepKind {
    /// Serves users of its own and has a bound on its tail.
    Serving,
    /// May disturb those that serve.
    Background,
}

/// What placement asks of a step for each report: kept ready, since hundreds of
/// steps are looked at for each of hundreds of reports a second.
#[derive(Clone, Copy, Debug)]
pub(super) struct StepInfo {
    /// Processors, memory and accelerators that one task may use.
    pub(super) need: Resources,
    /// What of that is committed.
    pub(super) reserved: Resources,
    pub(super) kind: StepKind,
    pub(super) image: Option<ImageKey>,
    pub(super) opportunistic: bool,
    pub(super) long_running: bool,
    pub(super) checkpointing: bool,
    pub(super) speculative: bool,
    pub(super) tail_bound_ms: u64,
    pub(super) estimate_ms: u64,
}

impl StepInfo {
    fn of(step: &StepSpec, learnt: &mut Interference) -> Self {
        Self {
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

    /// Whether its tasks may disturb those that serve.
    pub(super) fn disturbs(&self) -> bool {
        self.kind == StepKind::Background && self.image.is_some()
    }
}

/// What the leader keeps of a job beside its replicated state.
#[derive(Debug)]
pub(super) struct JobInfo {
    came: Moment,
    shape: Shape,
    steps: Vec<StepInfo>,
    objective: Duration,
    priority: u32,
    lasts: bool,
    scheduled: bool,
    size: Size,
    /// Whether it ended in time is counted.
    judged: bool,
}

/// A step with waiting tasks, as it is offered to a runner.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingStep<'a> {
    pub(super) group: StepKey,
    pub(super) step: &'a StepInfo,
    /// What two steps must have in common to be compared by density.
    pub(super) class: RankClass,
    pub(super) density: f64,
}

/// A step with waiting tasks.
#[derive(Clone, Debug)]
struct Group {
    /// When it first had tasks to start.
    since: Moment,
    rank: Rank,
    /// It lasts and has a task that has run.
    down: bool,
}

/// All of them.
#[derive(Debug, Default)]
pub(super) struct ReadyQueue {
    policy: OrderPolicy,
    groups: BTreeMap<StepKey, Group>,
    order: BTreeMap<(Rank, StepKey), StepInfo>,
    metas: HashMap<JobId, JobInfo>,
    means: HashMap<Box<str>, f64>,
    scheduled: BTreeSet<JobId>,
    sizes: Sizes,
}

impl ReadyQueue {
    pub(super) fn new(policy: OrderPolicy, sizes: SizesPolicy) -> Self {
        Self { policy, sizes: Sizes::new(sizes), ..Self::default() }
    }

    /// Whether a step has a task that has run and is down.
    pub(super) fn has_interrupted_task(&self, key: StepKey) -> bool {
        self.groups.get(&key).is_some_and(|group| group.down)
    }

    /// Keeps what is needed of a job that came in at `came`.
    pub(super) fn add_job(
        &mut self,
        id: JobId,
        job: &Job,
        came: Moment,
        routes: &Routes,
        learnt: &mut Interference,
    ) {
        let shape = Shape::of(&job.spec);
        let mean = self.means.entry(job.queue.clone()).or_insert(shape.work);
        *mean += (shape.work - *mean) * MEAN_WEIGHT;
        let queue = routes.queue(&job.queue);
        let scheduled = job.spec.schedule.is_some();
        if scheduled {
            self.scheduled.insert(id);
        }
        let lasts = job.spec.steps.iter().any(|step| step.long_running);
        let size = match lasts || scheduled {
            true => Size::Usual,
            false => self.sizes.meet(&job.queue, shape.work),
        };
        let meta = JobInfo {
            came,
            objective: shape.objective(queue),
            shape,
            steps: job.spec.steps.iter().map(|step| StepInfo::of(step, learnt)).collect(),
            priority: queue.map_or(u32::MAX, |queue| queue.priority),
            lasts,
            scheduled,
            size,
            judged: lasts || scheduled,
        };
        self.metas.insert(id, meta);
    }

    /// How long ago a job came in, and within what time it was to end.
    pub(super) fn age_and_objective(&self, id: JobId, now: Moment) -> Option<(Duration, Duration)> {
        self.metas.get(&id).map(|meta| (now.since(meta.came), meta.objective))
    }

    /// Another change set is in force.
    pub(super) fn changed(&mut self, jobs: &CellState, routes: &Routes) {
        for (id, meta) in &mut self.metas {
            let Some(job) = jobs.job(*id) else { continue };
            // A job whose queue is gone keeps what it came with.
            if let Some(queue) = routes.queue(&job.queue) {
                meta.objective = meta.shape.objective(Some(queue));
                meta.priority = queue.priority;
            }
        }
    }

    /// Forgets a job that needs nothing any more.
    pub(super) fn drop_job(&mut self, id: JobId) {
        for key in self.keys_of(id) {
            self.remove(key);
        }
        self.metas.remove(&id);
        self.scheduled.remove(&id);
        self.sizes.forget(id);
    }

    /// A job has ended.
    pub(super) fn ended(&mut self, id: JobId, job: &Job, now: Moment) {
        if job.phase == JobPhase::Cancelled {
            return self.sizes.forget(id);
        }
        let Some(meta) = self.metas.get(&id) else { return };
        let in_time = job.phase == JobPhase::Completed && now.since(meta.came) <= meta.objective;
        self.judge(id, job, in_time);
    }

    fn judge(&mut self, id: JobId, job: &Job, in_time: bool) {
        let Some(meta) = self.metas.get_mut(&id) else { return };
        if !std::mem::replace(&mut meta.judged, true) {
            self.sizes.ended(id, &job.queue, meta.size, in_time);
        }
    }

    fn is_unjudged(&self, id: JobId) -> bool {
        self.metas.get(&id).is_some_and(|meta| !meta.judged)
    }

    /// Judges jobs that can no longer end in time, and draws others to the front whose size
    /// is behind; `room` has, for each pool, the processors that no task that lasts holds.
    pub(super) fn draw_by_size(&mut self, jobs: &CellState, room: &BTreeMap<Box<str>, u64>) {
        let late = |(_, group): &(&StepKey, &Group)| group.rank.lateness != Lateness::Prompt;
        let late = self.groups.iter().filter(late).map(|(key, _)| key.job);
        let late: Vec<JobId> = late.filter(|id| self.is_unjudged(*id)).collect();
        for id in late {
            if let Some(job) = jobs.job(id) {
                self.judge(id, job, false);
            }
        }
        let in_turn = self.order.keys().filter(|(rank, _)| rank.turn == Turn::Short);
        for (_, key) in in_turn {
            let (Some(job), Some(meta)) = (jobs.job(key.job), self.metas.get(&key.job)) else {
                continue;
            };
            if meta.size == Size::Usual || meta.judged {
                continue;
            }
            let Some(spec) = job.spec.steps.get(usize::from(key.step)) else { continue };
            self.sizes.draw(Candidate {
                id: key.job,
                queue: &job.queue,
                size: meta.size,
                millicores: spec.need.millicores * u64::from(spec.count),
                room_millicores: room.get(&job.pool).copied().unwrap_or(0),
            });
        }
    }

    pub(super) fn keys_of(&self, id: JobId) -> Vec<StepKey> {
        let from = StepKey { job: id, occurrence: 0, step: 0 };
        let to = StepKey { job: id, occurrence: u32::MAX, step: u16::MAX };
        self.groups.range(from..=to).map(|(key, _)| *key).collect()
    }

    fn remove(&mut self, key: StepKey) {
        if let Some(group) = self.groups.remove(&key) {
            self.order.remove(&(group.rank, key));
        }
    }

    /// Puts the steps with these keys in place of those known of the job.
    pub(super) fn set_groups(
        &mut self,
        id: JobId,
        keys: &[StepKey],
        jobs: &CellState,
        now: Moment,
    ) {
        for key in self.keys_of(id) {
            if !keys.contains(&key) {
                self.remove(key);
            }
        }
        for key in keys {
            if !self.groups.contains_key(key) {
                let rank = self.rank(jobs, *key, now, now);
                let down = self.has_down(jobs, *key);
                self.groups.insert(*key, Group { since: now, rank, down });
                if let Some(step) = self.step(key.job, key.step) {
                    self.order.insert((rank, *key), *step);
                }
            }
        }
    }

    /// Ranks all steps anew: time has passed, work was done.
    pub(super) fn rank_all(&mut self, jobs: &CellState, now: Moment) {
        let mut groups = std::mem::take(&mut self.groups);
        for (key, group) in &mut groups {
            group.rank = self.rank(jobs, *key, now, group.since);
            group.down = self.has_down(jobs, *key);
        }
        let place = |(key, group): (&StepKey, &Group)| {
            self.step(key.job, key.step).map(|step| ((group.rank, *key), *step))
        };
        self.order = groups.iter().filter_map(place).collect();
        self.groups = groups;
    }

    /// The steps, the first to be started first.
    pub(super) fn order(&self) -> impl Iterator<Item = StepKey> {
        self.order.keys().map(|(_, key)| *key)
    }

    /// The same, with what placement asks of them.
    pub(super) fn waiting(&self) -> impl Iterator<Item = WaitingStep<'_>> {
        self.order.iter().map(|((rank, group), step)| WaitingStep {
            group: *group,
            step,
            class: RankClass(rank.turn, rank.front, rank.lateness, rank.priority),
            density: -(rank.density as f64),
        })
    }

    /// The first step of a job, in the order of its steps, that has tasks to start.
    pub(super) fn first_waiting(&self, id: JobId) -> Option<StepKey> {
        self.keys_of(id).into_iter().next()
    }

    /// Whether a job has tasks that last or occurrences to come: it has no time by which
    /// it is to end.
    pub(super) fn lasts_or_comes_later(&self, id: JobId) -> bool {
        self.metas.get(&id).is_none_or(|meta| meta.lasts || meta.scheduled)
    }

    /// Whether nobody waits for a job any more.
    pub(super) fn is_overdue(&self, id: JobId, now: Moment) -> bool {
        let Some(meta) = self.metas.get(&id) else { return false };
        let age = now.since(meta.came);
        Shape::lateness(meta.objective, age, Duration::ZERO) == Lateness::Overdue
    }

    /// When a step first had tasks to start.
    pub(super) fn since(&self, key: StepKey) -> Option<Moment> {
        self.groups.get(&key).map(|group| group.since)
    }

    /// A step of a job.
    pub(super) fn step(&self, job: JobId, step: u16) -> Option<&StepInfo> {
        self.metas.get(&job)?.steps.get(usize::from(step))
    }

    /// A task's step.
    pub(super) fn step_of(&self, task: TaskKey) -> Option<&StepInfo> {
        self.step(task.job, task.step)
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
    pub(super) fn waiting_tasks(&self, jobs: &CellState) -> usize {
        let waiting = |key: &StepKey| {
            let occurrence = jobs.job(key.job)?.occurrences.get(key.occurrence as usize)?;
            let step = occurrence.steps.get(usize::from(key.step))?;
            Some(step.tasks.iter().filter(|task| !task.done && task.assignments.is_empty()).count())
        };
        self.groups.keys().filter_map(waiting).sum()
    }

    /// Jobs with a schedule.
    pub(super) fn scheduled(&self) -> Vec<JobId> {
        self.scheduled.iter().copied().collect()
    }

    fn has_down(&self, jobs: &CellState, key: StepKey) -> bool {
        let lasts = self.step(key.job, key.step).is_some_and(|step| step.long_running);
        lasts && jobs.job(key.job).is_some_and(|job| has_run_before(job, key))
    }

    fn rank(&self, jobs: &CellState, key: StepKey, now: Moment, since: Moment) -> Rank {
        let last = Rank {
            turn: Turn::Other,
            front: Reverse(false),
            lateness: Lateness::Overdue,
            priority: u32::MAX,
            density: 0,
            since,
        };
        let (Some(job), Some(meta)) = (jobs.job(key.job), self.metas.get(&key.job)) else {
            return last;
        };
        let Some(step) = meta.steps.get(usize::from(key.step)) else { return last };
        let priority = meta.priority;
        if step.long_running {
            // The largest first, so that the small ones fill what is left.
            let density = -i64::try_from(step.need.millicores).unwrap_or(i64::MAX);
            let again = self.policy.again_first.is_on() && has_run_before(job, key);
            let turn = if again { Turn::Again } else { Turn::Lasting };
            return Rank { turn, lateness: Lateness::Prompt, priority, density, ..last };
        }
        let mean = self.means.get(&job.queue).copied().unwrap_or(0.0);
        let left = meta.shape.work_left(job);
        let density = meta.shape.density(left, mean, self.policy.size_weight);
        let lateness = meta.lateness(key.step, now);
        let short = lateness == Lateness::Prompt && !step.opportunistic;
        let turn = match short && self.policy.short_first.is_on() {
            true => Turn::Short,
            false => Turn::Other,
        };
        let front = Reverse(turn == Turn::Short && self.sizes.is_front(key.job));
        let alike = Rank { turn, front, lateness: Lateness::Prompt, priority: 0, ..last };
        match self.policy.by {
            OrderBy::Worth => {
                let density = -((density * DENSITY_SCALE) as i64);
                Rank { lateness, priority, density, ..alike }
            }
            OrderBy::Deadline => Rank { since: meta.came + meta.objective, ..alike },
            OrderBy::Arrival => Rank { since: meta.came, ..alike },
        }
    }
}

/// Whether a step has a task that ran once and waits.
fn has_run_before(job: &Job, key: StepKey) -> bool {
    let occurrence = job.occurrences.get(key.occurrence as usize);
    let step = occurrence.and_then(|found| found.steps.get(usize::from(key.step)));
    let mut tasks = step.into_iter().flat_map(|step| &step.tasks);
    tasks.any(|task| !task.done && task.assignments.is_empty() && task.last_run > 0)
}

impl JobInfo {
    fn lateness(&self, step: u16, now: Moment) -> Lateness {
        if self.lasts || self.scheduled {
            return Lateness::Prompt;
        }
        let tail = self.shape.tails.get(usize::from(step)).copied().unwrap_or_default();
        Shape::lateness(self.objective, now.since(self.came), tail)
    }
}
