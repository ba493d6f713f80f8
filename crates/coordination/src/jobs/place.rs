//! Which waiting tasks start on a runner that has just reported: its word is then
//! fresh, and the order reaches it with the answer.

use super::interference::ImageKey;
use super::leader::{Leader, Now};
use super::neighbours::Neighbours;
use super::policy::{Millis, Switch};
use super::ready::{GroupKey, Kind, StepInfo};
use super::runner::{Runner, Trust};
use crate::moment::Moment;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use yuccalink_state::Resources;
use yuccalink_state::jobs::{Job, JobId, LifeKey, Start, StepSpec, TaskKey};

/// Waiting steps looked at for one report; the first in order matter most. A step
/// beyond them is not looked at, so this is more than an hour of bursts leaves.
const GROUPS_MAX: usize = 1_024;
/// Starts ordered with one answer, so that it stays a small message.
const STARTS_MAX: usize = 64;

/// Tasks wait for the rack of their data, or of their step.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct RacksPolicy {
    /// Whether they do.
    pub mode: Switch,
    /// How long: tasks elsewhere take twice as long, so a wait of a fraction of the usual
    /// task pays.
    #[serde(rename = "wait-ms")]
    pub wait: Millis,
}

impl Default for RacksPolicy {
    fn default() -> Self {
        Self { mode: Switch::On, wait: Millis(500) }
    }
}

/// Serving tasks of one image gather, so that for each filling image there are runners
/// where it disturbs nobody.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct GatheringPolicy {
    /// Whether they do.
    pub mode: Switch,
    /// How long a serving task waits for a runner whose serving tasks are of its image.
    #[serde(rename = "wait-ms")]
    pub wait: Millis,
    /// Mean weight of a filling image, against all that serve, from which it is given
    /// the runners that serve nothing before others are.
    pub hard_weight: f64,
}

impl Default for GatheringPolicy {
    fn default() -> Self {
        Self { mode: Switch::On, wait: Millis(1_000), hard_weight: 5.0 }
    }
}

/// One task of a job that has nothing running starts on any runner, at the pace that its
/// neighbours bear, while half of the pool is idle: without it, a job whose image
/// disturbs all that serve would wait for ever while processors are idle. One only:
/// runners full of slowed tasks take nothing that suits them.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct PatiencePolicy {
    /// Whether it does.
    pub mode: Switch,
    /// How long the job waits before.
    #[serde(rename = "after-ms")]
    pub after: Millis,
}

impl Default for PatiencePolicy {
    fn default() -> Self {
        Self { mode: Switch::On, after: Millis(1_800) }
    }
}

/// Runners are kept free for large tasks that last.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct KeptFreePolicy {
    /// Whether they are.
    pub mode: Switch,
    /// How long a task that has run and is down waits before.
    #[serde(rename = "after-ms")]
    pub after: Millis,
    /// How long a runner is kept free: its short tasks end by then.
    #[serde(rename = "span-ms")]
    pub span: Millis,
    /// Runners kept free at once.
    pub runners_max: usize,
    /// How long a task that has never run waits before.
    #[serde(rename = "first-after-ms")]
    pub first_after: Millis,
    /// Runners kept free at once for such tasks: with more of them a full pool would
    /// shut short work out, which earns more on the same processors.
    pub first_runners_max: usize,
}

impl Default for KeptFreePolicy {
    fn default() -> Self {
        Self {
            mode: Switch::On,
            after: Millis(1_000),
            span: Millis(2_500),
            runners_max: 16,
            first_after: Millis(3_000),
            first_runners_max: 1,
        }
    }
}

/// A runner that is kept free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct KeptFree {
    until: Moment,
    /// For tasks that have never run.
    first: bool,
}

/// Filling images go where they press less than elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct MatchingPolicy {
    /// Whether they do; otherwise each runner takes them in the common order.
    pub mode: Switch,
}

impl Default for MatchingPolicy {
    fn default() -> Self {
        Self { mode: Switch::On }
    }
}

impl Leader {
    /// What a runner has left: its capacity less all that may be running there.
    /// Ends that it lists have freed their room, whether they are noted or not.
    pub(super) fn free_room(&self, key: LifeKey, ended: &BTreeSet<(TaskKey, u32)>) -> Resources {
        let Some(runner) = self.runners.get(&key) else { return Resources::ZERO };
        let mut taken: BTreeSet<(TaskKey, u32)> =
            self.jobs.held(key).filter(|run| !ended.contains(run)).collect();
        taken.extend(runner.running.iter().map(|(task, view)| (*task, view.run)));
        let starting = self.starting.values().filter(|start| start.life == key);
        taken.extend(starting.map(|start| (start.task, start.run)));
        let mut free = runner.capacity;
        for (task, _) in taken {
            let Some(step) = self.ready.step_of(task) else { continue };
            free = less(free, step.committed);
        }
        free
    }

    /// Chooses tasks for a runner, in the order of the waiting steps.
    pub(super) fn pick(&mut self, now: Now, key: LifeKey, neighbours: Neighbours) -> Vec<Start> {
        let Some(runner) = self.runners.get(&key) else { return Vec::new() };
        let trust = self.trust(now, runner);
        if !runner.takes_tasks() || (self.ready.is_empty() && self.laggards.is_empty()) {
            return Vec::new();
        }
        let mut chosen = Chosen {
            starts: Vec::new(),
            free: runner.free,
            most: starts_allowed(trust, runner),
            neighbours,
        };
        let kept_free = self.kept_free.get(&key).is_some_and(|kept| now.at < kept.until);
        let mut later = Vec::new();
        let serves_nothing = chosen.neighbours.serving.is_empty();
        for group in self.order_for(&chosen.neighbours) {
            let Some(step) = self.ready.step(group.job, group.step) else { continue };
            if !chosen.free.holds(step.committed) {
                continue;
            }
            if chosen.most == 0 {
                // A task that lasts loses nothing by another failure, and must not wait
                // beside room that only a distrusted runner has.
                if step.long_running && self.has_waited(now, group) {
                    chosen.most = 1;
                    self.pick_of(now, runner, trust, group, &mut chosen);
                    break;
                }
                continue;
            }
            if kept_free && !step.long_running && step.committed.millicores > 0 {
                continue;
            }
            if serves_nothing && !self.is_hard(step) {
                later.push(group);
                continue;
            }
            if chosen.starts.len() >= chosen.most {
                break;
            }
            self.pick_of(now, runner, trust, group, &mut chosen);
        }
        for group in later {
            if chosen.starts.len() >= chosen.most {
                break;
            }
            self.pick_of(now, runner, trust, group, &mut chosen);
        }
        self.pick_copies(runner, trust, &mut chosen);
        let Chosen { starts, free, neighbours, .. } = chosen;
        if let Some(runner) = self.runners.get_mut(&key) {
            runner.free = free;
            runner.serves = neighbours.only_serving();
        }
        starts
    }

    /// What may be started on a runner, by how its runs end.
    pub(super) fn trust(&self, now: Now, runner: &Runner) -> Trust {
        runner.health.trust(now.at, &self.cfg.policy.distrust)
    }

    /// The waiting steps as they are offered one runner. Steps that fill keep their places
    /// among the others, and go by how much less their image presses here than on most:
    /// the margin here is best spent by those who find it nowhere else.
    fn order_for(&self, beside: &Neighbours) -> Vec<GroupKey> {
        let mut order: Vec<GroupKey> = self.ready.order().take(GROUPS_MAX).collect();
        if self.cfg.policy.matching.mode == Switch::Off || beside.serving.is_empty() {
            return order;
        }
        let mut advantages: BTreeMap<ImageKey, f64> = BTreeMap::new();
        let mut fills = Vec::new();
        for (at, group) in order.iter().enumerate() {
            let step = self.ready.step(group.job, group.step);
            let Some(image) = step.filter(|step| step.disturbs()).and_then(|step| step.image)
            else {
                continue;
            };
            let Some((class, density)) = self.ready.class_and_density(*group) else { continue };
            let advantage = *advantages
                .entry(image)
                .or_insert_with(|| beside.advantage(image, &self.interference));
            fills.push((at, class, density * advantage, *group));
        }
        let places: Vec<usize> = fills.iter().map(|(at, ..)| *at).collect();
        fills.sort_by(|a, b| a.1.cmp(&b.1).then(b.2.total_cmp(&a.2)));
        for (at, (_, _, _, group)) in places.into_iter().zip(fills) {
            order[at] = group;
        }
        order
    }

    /// Keeps runners free for large tasks that last and have waited: short work would
    /// fill each hole before it is large enough, for ever. A runner is chosen where
    /// enough is free once its short tasks have ended, which takes about a second.
    pub(super) fn keep_room(&mut self, now: Now) {
        let policy = self.cfg.policy.kept_free;
        if policy.mode == Switch::Off {
            return;
        }
        self.kept_free.retain(|_, kept| now.at < kept.until);
        let waits = |group: &GroupKey| {
            let step = self.ready.step(group.job, group.step);
            step.is_some_and(|step| step.long_running) && self.has_waited(now, *group)
        };
        let groups: Vec<GroupKey> =
            self.ready.order().filter(waits).take(policy.runners_max).collect();
        for group in groups {
            let first = !self.ready.is_down(group);
            let firsts = self.kept_free.values().filter(|kept| kept.first).count();
            if self.kept_free.len() >= policy.runners_max {
                return;
            }
            if first && firsts >= policy.first_runners_max {
                continue;
            }
            let Some(need) = self.ready.step(group.job, group.step).map(|step| step.committed)
            else {
                continue;
            };
            let Some(job) = self.jobs.job(group.job) else { continue };
            let Some(step) = job.spec.steps.get(usize::from(group.step)) else { continue };
            let fits = |runner: &&Runner| {
                runner.takes_tasks()
                    && &*runner.pool == self.pool_of(job)
                    && label_fits(step, runner)
                    && !self.kept_free.contains_key(&runner.key)
                    && runner.is_heard_lately(now.at)
                    && (step.per_runner_max == 0
                        || self.count_here(runner.key, group) < step.per_runner_max)
                    && self.free_without_short(runner).holds(need)
            };
            let Some(key) = self.runners.values().find(fits).map(|runner| runner.key) else {
                continue;
            };
            self.kept_free.insert(key, KeptFree { until: now.at + policy.span.span(), first });
        }
    }

    /// What is free on a runner once its short tasks have ended.
    fn free_without_short(&self, runner: &Runner) -> Resources {
        let short = self.jobs.held(runner.key).filter_map(|(task, _)| {
            self.ready.step_of(task).filter(|step| !step.long_running).map(|step| step.committed)
        });
        short.fold(runner.free, |sum, need| sum.plus(need).unwrap_or(sum))
    }

    pub(super) fn has_waited(&self, now: Now, group: GroupKey) -> bool {
        let policy = &self.cfg.policy.kept_free;
        let wait = if self.ready.is_down(group) { policy.after } else { policy.first_after };
        let wait = wait.span();
        self.ready.since(group).is_some_and(|since| now.at.since(since) > wait)
    }

    /// Whether a step's tasks disturb most that serve, or are to serve themselves: the
    /// others find room beside serving tasks as well.
    fn is_hard(&self, step: &StepInfo) -> bool {
        let hard_weight = self.cfg.policy.gathering.hard_weight;
        let hard = |image| self.interference.hardness(image) >= hard_weight;
        step.long_running || step.image.is_some_and(hard)
    }

    fn pick_of(
        &self,
        now: Now,
        runner: &Runner,
        trust: Trust,
        group: GroupKey,
        chosen: &mut Chosen,
    ) {
        let Some(info) = self.ready.step(group.job, group.step) else { return };
        if !chosen.free.holds(info.committed) || !self.suits(now, group, info, chosen) {
            return;
        }
        let Some((job, step)) = self.may_host(now, runner, group) else { return };
        let mut seats = self.seats(runner, group, step);
        for index in 0..step.count {
            if chosen.starts.len() >= chosen.most || seats == 0 {
                return;
            }
            let index = u16::try_from(index).unwrap_or(u16::MAX);
            let (occurrence, step_at) = (group.occurrence, group.step);
            let task = TaskKey { job: group.job, occurrence, step: step_at, index };
            let Some(run) = self.next_run(job, step, task, runner.key, trust) else { continue };
            if !chosen.free.holds(info.committed) || !self.suits(now, group, info, chosen) {
                return;
            }
            chosen.free = less(chosen.free, info.committed);
            chosen.neighbours.started(now.at, info, &self.loads, group);
            chosen.starts.push(Start { task, run, life: runner.key });
            seats -= 1;
        }
    }

    /// A step and its job, if its tasks may run on a runner at all.
    pub(super) fn may_host(
        &self,
        now: Now,
        runner: &Runner,
        group: GroupKey,
    ) -> Option<(&Job, &StepSpec)> {
        let job = self.jobs.job(group.job)?;
        let step = job.spec.steps.get(usize::from(group.step))?;
        let may = self.pool_of(job) == &*runner.pool
            && label_fits(step, runner)
            && !step.gang
            && self.ticket_fits(now, group, runner)
            && self.rack_fits(now.at, job, step, group, runner);
        may.then_some((job, step))
    }

    /// How many more tasks of a step a runner may have beside those that it has.
    pub(super) fn seats(&self, runner: &Runner, group: GroupKey, step: &StepSpec) -> u32 {
        match step.per_runner_max {
            0 => step.count,
            most => most.saturating_sub(self.count_here(runner.key, group)),
        }
    }

    /// The number of a task's next run on a runner, if it may run there.
    pub(super) fn next_run(
        &self,
        job: &Job,
        step: &StepSpec,
        task: TaskKey,
        life: LifeKey,
        trust: Trust,
    ) -> Option<u32> {
        if self.starting.contains_key(&task) {
            return None;
        }
        // A task of an occurrence that has not begun has no state yet.
        let Some(state) = self.jobs.task(task) else { return Some(1) };
        if state.done || !state.holds.is_empty() {
            return None;
        }
        if !step.long_running {
            // A second failure of the kind would end the whole job.
            let last_try = state.failures + 1 >= job.attempts;
            if state.failed_on.contains(&life) || (last_try && trust != Trust::Full) {
                return None;
            }
        }
        Some(state.last_run + 1)
    }

    /// The pool that runs a job's tasks now.
    pub(super) fn pool_of<'a>(&'a self, job: &'a Job) -> &'a str {
        let queue = self.routes.queue(&job.queue);
        queue.map_or(&*job.pool, |queue| &*queue.pool)
    }

    fn ticket_fits(&self, now: Now, group: GroupKey, runner: &Runner) -> bool {
        !self.needs_ticket(group) || self.advice.ticket(group, runner.key, now.at).is_some()
    }

    pub(super) fn count_here(&self, life: LifeKey, group: GroupKey) -> u32 {
        let same = |task: TaskKey| {
            (task.job, task.occurrence, task.step) == (group.job, group.occurrence, group.step)
        };
        let held = self.jobs.held(life).filter(|(task, _)| same(*task)).count();
        let starting = self.starting.values().filter(|s| s.life == life && same(s.task)).count();
        u32::try_from(held + starting).unwrap_or(u32::MAX)
    }

    fn rack_fits(
        &self,
        now: Moment,
        job: &Job,
        step: &StepSpec,
        group: GroupKey,
        runner: &Runner,
    ) -> bool {
        let since = self.ready.since(group).unwrap_or(now);
        let policy = &self.cfg.policy.racks;
        if policy.mode == Switch::Off || now.since(since) > policy.wait.span() {
            return true;
        }
        if let Some(rack) = &step.data_rack {
            return *rack == runner.rack;
        }
        if !step.rack_affinity {
            return true;
        }
        let occurrence = job.occurrences.get(group.occurrence as usize);
        let tasks = occurrence.and_then(|found| found.steps.get(usize::from(group.step)));
        let mut lives = tasks.into_iter().flat_map(|step| &step.tasks).flat_map(|t| &t.holds);
        lives.all(|hold| self.runners.get(&hold.life).is_none_or(|r| r.rack == runner.rack))
    }

    /// Whether a task gets on with those on a runner. Serving tasks of one image
    /// gather, so that for each filling image there are runners where it disturbs
    /// nobody: among three images a filling one hardly ever suits all.
    fn suits(&self, now: Now, group: GroupKey, step: &StepInfo, chosen: &mut Chosen) -> bool {
        let since = self.ready.since(group).unwrap_or(now.at);
        let neighbours = &mut chosen.neighbours;
        match step.kind {
            Kind::Filling => {
                let spare = !step.opportunistic || neighbours.has_spare(step);
                if spare && neighbours.bears(step, &self.interference) {
                    return true;
                }
                let policy = &self.cfg.policy.patience;
                policy.mode.is_on()
                    && now.at.since(since) > policy.after.span()
                    && self.is_idle(&neighbours.pool)
                    && chosen.starts.iter().all(|start| start.task.job != group.job)
                    && self.runs_of(now, group.job) == 0
            }
            Kind::Serving => {
                let own = step.image;
                let alike = neighbours.serving.iter().all(|serving| Some(serving.image) == own);
                let settled = self.has_waited_alike(now, group);
                match neighbours.serving.is_empty() {
                    true => settled || !self.room_beside_alike(now, step),
                    false => alike || settled,
                }
            }
        }
    }

    /// Whether a serving step need not wait any longer for a runner of its image.
    pub(super) fn has_waited_alike(&self, now: Now, group: GroupKey) -> bool {
        let policy = &self.cfg.policy.gathering;
        let since = self.ready.since(group).unwrap_or(now.at);
        now.at.since(since) > policy.wait.span() || policy.mode == Switch::Off
    }

    /// How many runs of a job are under way or about to be.
    pub(super) fn runs_of(&self, now: Now, id: JobId) -> usize {
        let Some(job) = self.jobs.job(id) else { return 0 };
        let steps = job.occurrences.iter().flat_map(|occurrence| &occurrence.steps);
        let holds = steps.flat_map(|step| &step.tasks).flat_map(|task| &task.holds);
        let sound = holds.filter(|hold| {
            self.runners.get(&hold.life).is_some_and(|runner| runner.is_heard_lately(now.at))
        });
        sound.count() + self.starting.keys().filter(|task| task.job == id).count()
    }

    /// Whether at least half of a pool's processors are not even reserved.
    pub(super) fn is_idle(&self, pool: &str) -> bool {
        self.idle_pools.contains(pool)
    }

    /// Finds the pools of which half is idle.
    pub(super) fn find_idle_pools(&mut self) {
        let mut sums: BTreeMap<Box<str>, (u64, u64)> = BTreeMap::new();
        for runner in self.runners.values() {
            let (free, all) = sums.entry(runner.pool.clone()).or_default();
            *free += runner.free.millicores;
            *all += runner.capacity.millicores;
        }
        let idle = sums.into_iter().filter(|(_, (free, all))| free * 2 >= *all);
        self.idle_pools = idle.map(|(pool, _)| pool).collect();
    }

    /// Counts the tasks that last and wait for room, or are on their way to.
    pub(super) fn count_moving_out(&mut self) {
        let is_lasting = |task: TaskKey| self.ready.step_of(task).is_some_and(|s| s.long_running);
        let leaving = self.runners.values().filter(|runner| !runner.takes_tasks());
        let stopping = leaving
            .flat_map(|runner| &runner.running)
            .filter(|(task, view)| view.stopping && is_lasting(**task));
        let waiting: u32 = self
            .ready
            .order()
            .filter(|group| self.ready.step(group.job, group.step).is_some_and(|s| s.long_running))
            .filter_map(|group| self.jobs.job(group.job).map(|job| waiting_tasks(job, group)))
            .sum();
        self.moving_out = waiting + u32::try_from(stopping.count()).unwrap_or(u32::MAX);
    }

    /// Whether a runner that already serves this image has room for one more: then
    /// runners that serve nothing stay free for work that disturbs.
    fn room_beside_alike(&self, now: Now, step: &StepInfo) -> bool {
        step.image.is_some()
            && self.runners.values().any(|runner| {
                runner.serves == step.image
                    && runner.takes_tasks()
                    && runner.is_heard_lately(now.at)
                    && runner.free.holds(step.committed)
            })
    }
}

/// What a report's answer will start, and what that leaves.
pub(super) struct Chosen {
    pub(super) starts: Vec<Start>,
    pub(super) free: Resources,
    pub(super) most: usize,
    pub(super) neighbours: Neighbours,
}

/// A runner that is only being tried gets one task at a time.
fn starts_allowed(trust: Trust, runner: &Runner) -> usize {
    match trust {
        Trust::Full | Trust::SecondTryOnly => STARTS_MAX,
        Trust::Probe if runner.running.is_empty() => 1,
        Trust::Probe | Trust::None => 0,
    }
}

/// How many tasks of a step wait.
pub(super) fn waiting_tasks(job: &Job, group: GroupKey) -> u32 {
    let occurrence = job.occurrences.get(group.occurrence as usize);
    let step = occurrence.and_then(|found| found.steps.get(usize::from(group.step)));
    let tasks = step.into_iter().flat_map(|step| &step.tasks);
    let count = tasks.filter(|task| !task.done && task.holds.is_empty()).count();
    u32::try_from(count).unwrap_or(u32::MAX)
}

pub(super) fn label_fits(step: &StepSpec, runner: &Runner) -> bool {
    step.required_label.as_ref().is_none_or(|label| runner.has_label(label))
}

/// What is left, never below nothing.
pub(super) fn less(free: Resources, need: Resources) -> Resources {
    Resources {
        millicores: free.millicores.saturating_sub(need.millicores),
        memory_mib: free.memory_mib.saturating_sub(need.memory_mib),
        accelerators: free.accelerators.saturating_sub(need.accelerators),
    }
}
