//! Free capacity of runners and pools, and runners kept free for long-running tasks.

use crate::jobs::leader::{Leader, Now};
use crate::jobs::place::label_fits;
use crate::jobs::policy::{Millis, Switch};
use crate::jobs::ready::{StepInfo, StepKey};
use crate::jobs::runner::Runner;
use crate::jobs::scarcity::{Claim, Room};
use crate::jobs::shares::{PoolLoad, QueueKey, QueueLoad};
use crate::moment::Moment;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use yuccalink_state::Resources;
use yuccalink_state::jobs::{IncarnationKey, Job, JobId, TaskKey};

/// Fruitless scans of all runners for one runner to keep free, per ranking. The steps behind get
/// their turn at a later ranking.
const FAILED_SCANS_MAX: u32 = 4;

/// Keeps runners free for large long-running tasks.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct KeptFreePolicy {
    /// Whether runners are kept free.
    pub mode: Switch,
    /// Waiting time of an interrupted long-running task, in milliseconds, after which a
    /// runner is kept free for it.
    #[serde(rename = "after-ms")]
    pub after: Millis,
    /// Time for which a runner is kept free, in milliseconds: its short tasks end by
    /// then.
    #[serde(rename = "span-ms")]
    pub span: Millis,
    /// One runner in this many may be kept free at once, but always at least one. The
    /// limit leaves capacity for short tasks in small pools too.
    pub one_in: usize,
    /// Waiting time of a long-running task that has never run, in milliseconds, after
    /// which a runner is kept free for it.
    #[serde(rename = "first-after-ms")]
    pub first_after: Millis,
    /// Most runners kept free at once for tasks that have never run. With more of them, a
    /// full pool would leave no capacity for short tasks, which have more worth on the
    /// same CPU.
    pub first_runners_max: usize,
}

/// Wait of a long-running task above its job's floor, while short tasks come first, after which a
/// runner is kept free for it.
const LONG_WAIT: Duration = Duration::from_secs(10);

impl Default for KeptFreePolicy {
    fn default() -> Self {
        Self {
            mode: Switch::On,
            after: Millis(1_000),
            span: Millis(2_500),
            one_in: 12,
            first_after: Millis(3_000),
            first_runners_max: 1,
        }
    }
}

/// A runner that starts only long-running tasks, and tasks without reserved CPU, for some
/// time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::jobs) struct KeptFree {
    pub(in crate::jobs) until: Moment,
    /// Whether the runner is kept free for tasks that have never run.
    pub(in crate::jobs) for_first_run: bool,
    /// The only step whose tasks may start there, if another long-running step must not take
    /// the capacity.
    pub(in crate::jobs) only_for: Option<StepKey>,
}

impl KeptFree {
    /// Returns whether a step's tasks may start on the runner.
    pub(in crate::jobs) fn admits(&self, step_key: StepKey, step: &StepInfo) -> bool {
        step.reserved.millicores == 0
            || (step.long_running && self.only_for.is_none_or(|only| only == step_key))
    }
}

/// CPU of a pool, in millicores.
#[derive(Clone, Copy, Debug, Default)]
struct PoolCapacity {
    total: u64,
    free: u64,
    /// CPU reserved for long-running tasks.
    long_running: u64,
}

impl Leader {
    /// Computes the free capacity of a runner: its capacity minus the resources reserved for
    /// all runs that may be running there. Runs that the runner reports as ended count as
    /// free, whether or not their ends are committed.
    pub(in crate::jobs) fn update_free_capacity(
        &mut self,
        now: Now,
        key: IncarnationKey,
        ended: &BTreeSet<(TaskKey, u32)>,
    ) {
        let Some(runner) = self.runners.get(&key) else { return };
        let mut taken: BTreeSet<(TaskKey, u32)> =
            self.state.assigned_runs(key).filter(|run| !ended.contains(run)).collect();
        taken.extend(runner.running.iter().map(|(task, view)| (*task, view.run)));
        taken.extend(self.starting.on(key).map(|start| (start.task, start.run)));
        let mut free = saturating_sub(runner.capacity, self.withheld_after_return(now, runner));
        let mut long_running_millicores = 0;
        for (task, _) in taken {
            let Some(step) = self.ready.step_of(task) else { continue };
            free = saturating_sub(free, step.reserved);
            if step.long_running {
                long_running_millicores += step.reserved.millicores;
            }
        }
        if let Some(runner) = self.runners.get_mut(&key) {
            runner.free = free;
            runner.long_running_millicores = long_running_millicores;
        }
    }

    /// Returns assigned runs that a runner has not listed and that do not fit in the
    /// capacity of its newest report, beside all listed runs and all orders that may
    /// still reach it.
    pub(in crate::jobs) fn runs_over_capacity(
        &self,
        now: Now,
        runner: &Runner,
    ) -> BTreeSet<(TaskKey, u32)> {
        let mut unlisted: Vec<(TaskKey, u32)> = self
            .state
            .assigned_runs(runner.key)
            .filter(|(task, run)| runner.view(*task, *run).is_none())
            .filter(|run| !self.ending.contains(run))
            .collect();
        if unlisted.is_empty() {
            return BTreeSet::new();
        }
        let need = |task: TaskKey| self.ready.step_of(task).map(|step| step.reserved);
        let listed = runner.running.keys().filter_map(|task| need(*task));
        let mut free = listed.fold(runner.capacity, saturating_sub);
        unlisted.sort_by_key(|(task, run)| !runner.may_yet_start(*task, *run, now.at));
        unlisted.retain(|(task, _)| match need(*task) {
            Some(need) if !free.covers(need) => true,
            Some(need) => {
                free = saturating_sub(free, need);
                false
            }
            None => false,
        });
        unlisted.into_iter().collect()
    }

    /// Keeps runners free for large long-running tasks that have waited, since short tasks
    /// would otherwise fill every gap before it is large enough. A runner is chosen if enough
    /// is free once its short tasks have ended, which takes about a second.
    pub(in crate::jobs) fn reserve_runners(&mut self, now: Now) {
        let policy = self.cfg.policy.kept_free;
        if policy.mode == Switch::Off {
            return;
        }
        let runners_max = match self.ready.puts_short_first() {
            true => 1,
            false => (self.usable_runners_len() / policy.one_in.max(1)).max(1),
        };
        let (ready, state) = (&self.ready, &self.state);
        let lacks_tasks = |id: JobId| {
            let claim = state.job(id).map(|job| ready.claim(id, job));
            claim.is_some_and(|claim| claim.is_below_floor() || claim.is_nothing())
        };
        self.kept_free.retain(|_, kept| {
            now.at < kept.until && kept.only_for.is_none_or(|step_key| lacks_tasks(step_key.job))
        });
        let has_waited = |step_key: &StepKey| {
            let step = self.ready.step(step_key.job, step_key.step);
            step.is_some_and(|step| step.long_running) && self.has_waited_for_runner(now, *step_key)
        };
        let mut largest = None;
        let mut failed_scans = 0;
        // Runners that are kept free take no short tasks. While these come first, a step above its
        // floor gets one only if it has waited for long.
        let may_be_first = |step_key: &StepKey| {
            let job = self.state.job(step_key.job);
            let since = self.ready.since(*step_key);
            !self.ready.puts_short_first()
                || job.is_some_and(|job| self.ready.claim(step_key.job, job).is_below_floor())
                || since.is_some_and(|since| now.at.since(since) > LONG_WAIT)
        };
        let step_keys: Vec<StepKey> =
            self.ready.order().filter(has_waited).filter(may_be_first).take(runners_max).collect();
        for step_key in step_keys {
            let for_first_run = !self.ready.has_interrupted_task(step_key);
            let kept_for_first_run =
                self.kept_free.values().filter(|kept| kept.for_first_run).count();
            if self.kept_free.len() >= runners_max {
                return;
            }
            if for_first_run && kept_for_first_run >= policy.first_runners_max {
                continue;
            }
            let Some(need) = self.ready.step(step_key.job, step_key.step).map(|step| step.reserved)
            else {
                continue;
            };
            let Some(job) = self.state.job(step_key.job) else { continue };
            let Some(step) = job.spec.steps.get(usize::from(step_key.step)) else { continue };
            let largest = largest.get_or_insert_with(|| self.largest_after_short_tasks(now));
            let may_fit = largest.get(self.pool_of(job)).is_some_and(|free| free.covers(need));
            if !may_fit || failed_scans >= FAILED_SCANS_MAX {
                continue;
            }
            let fits = |runner: &&Runner| {
                runner.takes_tasks()
                    && &*runner.pool == self.pool_of(job)
                    && label_fits(step, runner)
                    && !self.kept_free.contains_key(&runner.key)
                    && runner.reported_recently(now.at)
                    && (step.per_runner_max == 0
                        || self.task_count_on(runner.key, step_key) < step.per_runner_max)
                    && self.free_after_short_tasks(runner).covers(need)
            };
            let Some(key) = self.runners.values().find(fits).map(|runner| runner.key) else {
                failed_scans += 1;
                continue;
            };
            let until = now.at + policy.span.to_duration();
            let without =
                self.ready.is_scarce() && self.ready.claim(step_key.job, job).is_below_floor();
            let only_for = without.then_some(step_key);
            self.kept_free.insert(key, KeptFree { until, for_first_run, only_for });
        }
    }

    /// Returns, for each pool, an upper bound of what is free on one runner once its short tasks
    /// have ended.
    fn largest_after_short_tasks(&self, now: Now) -> BTreeMap<Box<str>, Resources> {
        let mut largest: BTreeMap<Box<str>, Resources> = BTreeMap::new();
        let eligible = |runner: &&Runner| runner.takes_tasks() && runner.reported_recently(now.at);
        for runner in self.runners.values().filter(eligible) {
            let free = self.free_after_short_tasks(runner);
            match largest.get_mut(&runner.pool) {
                Some(most) => *most = component_max(*most, free),
                None => drop(largest.insert(runner.pool.clone(), free)),
            }
        }
        largest
    }

    /// Returns the capacity that is free on a runner once its short tasks have ended.
    fn free_after_short_tasks(&self, runner: &Runner) -> Resources {
        let short = self.state.assigned_runs(runner.key).filter_map(|(task, _)| {
            self.ready.step_of(task).filter(|step| !step.long_running).map(|step| step.reserved)
        });
        short.fold(runner.free, |sum, need| sum.plus(need).unwrap_or(sum))
    }

    pub(in crate::jobs) fn has_waited_for_runner(&self, now: Now, step_key: StepKey) -> bool {
        let policy = &self.cfg.policy.kept_free;
        let wait = if self.ready.has_interrupted_task(step_key) {
            policy.after
        } else {
            policy.first_after
        };
        let wait = wait.to_duration();
        self.ready.since(step_key).is_some_and(|since| now.at.since(since) > wait)
    }

    /// Returns whether a long-running task has waited too long and no runner has room for it.
    pub(in crate::jobs) fn lacks_room(&self, now: Now) -> bool {
        self.ready.long_waiting(now.at).any(|(step_key, step)| {
            let Some(job) = self.state.job(step_key.job) else { return false };
            let pool = self.pool_of(job);
            let has_room = |runner: &Runner| {
                runner.takes_tasks()
                    && &*runner.pool == pool
                    && runner.free.covers(step.reserved)
                    && self.trial_on(now, runner).is_none()
            };
            let mut with_cpu = self.free_index.with_cpu(step.reserved.millicores);
            !with_cpu.any(|key| self.runners.get(&key).is_some_and(has_room))
        })
    }

    /// Returns the room for long-running tasks.
    pub(in crate::jobs) fn room(&mut self, now: Now) -> Room {
        let lacks_room = self.lacks_room(now);
        if !self.scarcity.note_room(now.at, &self.cfg.policy.scarcity, lacks_room) {
            return Room::Enough;
        }
        let (held, total) = self.short_millicores();
        match self.cfg.policy.scarcity.puts_short_first(held, total) {
            true => Room::TooLittleShortFirst,
            false => Room::TooLittle,
        }
    }

    /// Returns the CPU that short tasks reserve, and that of all runners that take tasks, in
    /// millicores.
    fn short_millicores(&self) -> (u64, u64) {
        self.usable_runners().fold((0, 0), |(held, total), runner| {
            let taken = runner.free.millicores + runner.long_running_millicores;
            let capacity = runner.capacity.millicores;
            (held + capacity.saturating_sub(taken), total + capacity)
        })
    }

    /// Returns whether at least half of a pool's CPU is not reserved.
    pub(in crate::jobs) fn is_pool_idle(&self, pool: &str) -> bool {
        self.idle_pools.contains(pool)
    }

    /// Determines the pools that are at least half idle, and boosts jobs within the CPU
    /// of the pools.
    pub(in crate::jobs) fn measure_pools(&mut self, now: Now) {
        let runners = &self.runners;
        self.free_index.retain(|key| {
            runners.get(&key).is_some_and(|r| r.takes_tasks() && r.reported_recently(now.at))
        });
        let mut sums: BTreeMap<&str, PoolCapacity> = BTreeMap::new();
        for runner in self.usable_runners() {
            let sum = sums.entry(&runner.pool).or_default();
            sum.free += runner.free.millicores;
            sum.total += runner.capacity.millicores;
            sum.long_running += runner.long_running_millicores;
        }
        let left = |sum: &PoolCapacity| sum.total.saturating_sub(sum.long_running);
        let not_long_running =
            sums.iter().map(|(pool, sum)| (Box::from(*pool), left(sum))).collect();
        let idle = sums.into_iter().filter(|(_, sum)| sum.free * 2 >= sum.total);
        self.idle_pools = idle.map(|(pool, _)| Box::from(pool)).collect();
        self.ready.boost_by_size(&self.state, &not_long_running);
    }

    /// Determines the shares of the queues, and keeps runners for those that are short.
    pub(in crate::jobs) fn measure_shares(&mut self, now: Now) {
        let loads = if self.routes.have_weights() { self.pool_loads(now) } else { BTreeMap::new() };
        let loads: Vec<PoolLoad> = loads.into_values().collect();
        self.shares.measure(now.at, &loads);
        let ready = &self.ready;
        let still_short: BTreeSet<QueueKey> = self.shares.to_reclaim(now.at).into_iter().collect();
        self.kept_for_queue
            .retain(|_, (queue, until)| now.at < *until && still_short.contains(queue));
        let without: BTreeSet<QueueKey> = still_short
            .into_iter()
            .filter(|key| self.kept_for_queue.values().all(|(queue, _)| queue != key))
            .collect();
        let kept_max = (self.usable_runners_len() / self.cfg.policy.kept_free.one_in.max(1)).max(1);
        let mut first_steps: BTreeMap<QueueKey, StepKey> = BTreeMap::new();
        for waiting in ready.waiting().filter(|_| !without.is_empty()) {
            if without.contains(&waiting.step.queue) && !waiting.step.long_running {
                first_steps.entry(waiting.step.queue).or_insert(waiting.step_key);
            }
        }
        for (queue, step_key) in first_steps {
            if self.kept_for_queue.len() >= kept_max {
                break;
            }
            if let Some(key) = self.runner_to_keep(now, step_key) {
                let until = now.at + self.cfg.policy.kept_free.span.to_duration();
                self.kept_for_queue.insert(key, (queue, until));
            }
        }
        for (key, count) in self.shares.take_deferred_to_log(now.at) {
            self.log_deferred(key, count);
        }
    }

    /// Returns the runner with the most free CPU among those where a step's tasks may run, unless
    /// that is enough already: then the step waits for something else.
    fn runner_to_keep(&self, now: Now, step_key: StepKey) -> Option<IncarnationKey> {
        let need = self.ready.step(step_key.job, step_key.step)?.reserved;
        let fits = |runner: &&Runner| {
            let short = runner.capacity.millicores.saturating_sub(runner.long_running_millicores);
            runner.takes_tasks()
                && runner.reported_recently(now.at)
                && !self.kept_for_queue.contains_key(&runner.key)
                && short >= need.millicores
                && self.may_host(now, runner, step_key).is_some()
        };
        let fitting = self.runners.values().filter(fits);
        let best = fitting.max_by_key(|runner| (runner.free.millicores, Reverse(runner.key)))?;
        (!best.free.covers(need)).then_some(best.key)
    }

    /// Returns the loads of the pools, as far as queues of the change set in force make them.
    fn pool_loads(&self, now: Now) -> BTreeMap<&str, PoolLoad> {
        let mut loads: BTreeMap<&str, PoolLoad> = BTreeMap::new();
        let eligible = |runner: &&Runner| runner.takes_tasks() && runner.reported_recently(now.at);
        for runner in self.runners.values().filter(eligible) {
            loads.entry(&runner.pool).or_default().capacity +=
                runner.capacity.millicores.saturating_sub(runner.long_running_millicores);
        }
        let mut queues: BTreeMap<QueueKey, QueueLoad> = BTreeMap::new();
        let assigned =
            self.state.incarnations_with_runs().flat_map(|key| self.state.assigned_runs(key));
        let running = assigned.map(|(task, _)| task).chain(self.starting.tasks());
        for step in running.filter_map(|task| self.ready.step_of(task)) {
            if !step.long_running {
                queues.entry(step.queue).or_default().used += step.used_millicores();
            }
        }
        for waiting in self.ready.waiting().filter(|waiting| !waiting.step.long_running) {
            let Some(job) = self.state.job(waiting.step_key.job) else { continue };
            let tasks = u64::from(waiting_tasks(job, waiting.step_key));
            let task = waiting.step.used_millicores();
            let load = queues.entry(waiting.step.queue).or_default();
            load.task = if load.waiting == 0 { task } else { load.task.min(task) };
            load.waiting += tasks * task;
        }
        for (key, load) in queues {
            let name = self.ready.queue_name(key);
            let Some(queue) = self.routes.queue(name) else { continue };
            let weight = self.routes.settings(name).weight;
            if let Some(pool) = loads.get_mut(&*queue.pool) {
                pool.queues.insert(key, QueueLoad { weight, ..load });
            }
        }
        loads
    }

    /// Counts the long-running tasks that wait for a runner or are being stopped on a
    /// leaving one.
    pub(in crate::jobs) fn count_moving_long_running(&mut self) {
        let is_long_running =
            |task: TaskKey| self.ready.step_of(task).is_some_and(|s| s.long_running);
        let leaving = self.runners.values().filter(|runner| !runner.takes_tasks());
        let stopping: Vec<JobId> = leaving
            .flat_map(|runner| &runner.running)
            .filter(|(task, view)| view.stopping && is_long_running(**task))
            .map(|(task, _)| task.job)
            .collect();
        let mut waiting = 0;
        let mut by_claim: BTreeMap<Claim, u32> = BTreeMap::new();
        for step_key in self.ready.order() {
            let step = self.ready.step(step_key.job, step_key.step);
            if step.is_none_or(|step| !step.long_running) {
                continue;
            }
            let Some(job) = self.state.job(step_key.job) else { continue };
            let count = waiting_tasks(job, step_key);
            waiting += count;
            if self.ready.is_scarce() {
                *by_claim.entry(self.ready.claim(step_key.job, job)).or_default() += count;
            }
        }
        if self.ready.is_scarce() {
            for (id, job) in stopping.iter().filter_map(|id| Some((*id, self.state.job(*id)?))) {
                *by_claim.entry(self.ready.claim(id, job)).or_default() += 1;
            }
        }
        self.waiting_by_claim = by_claim;
        self.moving_long_running = waiting + u32::try_from(stopping.len()).unwrap_or(u32::MAX);
    }
}

/// Returns the number of waiting tasks of a step.
pub(in crate::jobs) fn waiting_tasks(job: &Job, step_key: StepKey) -> u32 {
    let step = job.step(step_key.occurrence, step_key.step);
    step.map_or(0, |step| step.tasks.waiting_len())
}

fn component_max(a: Resources, b: Resources) -> Resources {
    Resources {
        millicores: a.millicores.max(b.millicores),
        memory_mib: a.memory_mib.max(b.memory_mib),
        accelerators: a.accelerators.max(b.accelerators),
    }
}

/// Subtracts resources; no result is negative.
pub(in crate::jobs) fn saturating_sub(free: Resources, need: Resources) -> Resources {
    Resources {
        millicores: free.millicores.saturating_sub(need.millicores),
        memory_mib: free.memory_mib.saturating_sub(need.memory_mib),
        accelerators: free.accelerators.saturating_sub(need.accelerators),
    }
}
