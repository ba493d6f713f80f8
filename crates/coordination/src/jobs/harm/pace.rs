//! Pacing of background tasks: when a serving task's margin runs out, the background
//! tasks that slow it are slowed as much as needed, or moved to other runners if little
//! of their pace would be left.

use crate::jobs::capacity;
use crate::jobs::colocation::{Colocation, ServingMargins};
use crate::jobs::interference::{BackgroundShare, ImageKey, Interference};
use crate::jobs::job_harm::ReportedTasks;
use crate::jobs::leader::{Leader, Now};
use crate::jobs::margin_forecast::MarginForecasts;
use crate::jobs::policy::{Millis, Switch};
use crate::jobs::ready::{ReadyQueue, StepKey, StepKind};
use crate::jobs::reserve::{BackgroundLoad, MarginRoom, Reserve};
use crate::jobs::runner::{BackgroundCores, Runner};
use crate::moment::Moment;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use yuccalink_state::jobs::{IncarnationKey, TaskKey};

/// Margin loss too small to be worth an order.
const MARGIN_LOSS_MIN: f64 = 0.1;
/// Granularity of paces, in percent; coarse steps need few orders.
const PACE_STEP_PERCENT: f64 = 5.0;

/// Slows background tasks where a serving task's margin runs out.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct PacingPolicy {
    /// Whether background tasks are slowed.
    pub mode: Switch,
    /// Target for the smallest forecast margin. The part above 1 covers the forecast's
    /// error.
    pub margin_aim: f64,
    /// Shortest time after a change of pace before a pace is raised, in milliseconds: one
    /// report. Forecasts already tell when a load falls.
    #[serde(rename = "settle-ms")]
    pub settle: Millis,
}

impl Default for PacingPolicy {
    fn default() -> Self {
        Self { mode: Switch::On, margin_aim: 1.03, settle: Millis(200) }
    }
}

/// Moves background tasks with checkpoints that would be slowed to little of their pace.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct MovingPolicy {
    /// Whether background tasks are moved.
    pub mode: Switch,
    /// Share of full pace below which tasks are moved, because they do more on another
    /// runner.
    pub below: f64,
    /// Margin loss from which the tasks of an image are moved: half a usual margin. A
    /// smaller loss is acceptable again as soon as the serving task's own load falls.
    pub pressure: f64,
    /// Tasks whose run number has reached this value are not moved any more, only slowed,
    /// since they seem to interfere on every runner.
    pub runs_max: u32,
}

impl Default for MovingPolicy {
    fn default() -> Self {
        Self { mode: Switch::On, below: 0.3, pressure: 0.8, runs_max: 4 }
    }
}

/// All background tasks beside a serving task that exceeds its bound for too long are
/// paused (pace 0).
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct StandstillPolicy {
    /// Whether background tasks are paused (pace 0).
    pub mode: Switch,
    /// Time for which a serving task exceeds its bound, in milliseconds, before
    /// background tasks are paused (pace 0) whatever the learnt weights say, so that a
    /// wrong weight costs users no more than a few seconds. Samples are half a second old,
    /// and an order takes as long to have an effect.
    #[serde(rename = "after-ms")]
    pub after: Millis,
}

impl Default for StandstillPolicy {
    fn default() -> Self {
        Self { mode: Switch::On, after: Millis(2_000) }
    }
}

/// What the serving jobs of a cell bear, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServingHarm {
    /// Jobs whose share of tasks over their bound is at the bound of `[job-harm]` now.
    pub jobs_at_bound: usize,
    /// Seconds for which tasks were over their bound since the leader took over, summed over all
    /// tasks.
    pub over_bound_s: u64,
}

/// What the margins on a runner allow a background image there.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Allowance {
    image: ImageKey,
    /// Allowed share of full pace, from 0 to 1.
    pace: f64,
    /// Whether the image costs a serving task so much margin that it is to be moved.
    is_heavy: bool,
}

impl Leader {
    /// Learns from a report and adjusts the paces on the runner. Returns the colocation
    /// on the runner.
    pub(in crate::jobs) fn pace(&mut self, now: Now, key: IncarnationKey) -> Colocation {
        self.count_reported_tasks(now, key);
        let policy = &self.cfg.policy;
        let Some(runner) = self.runners.get(&key) else { return Colocation::default() };
        let samples = samples(runner, &self.ready);
        let mut colocation = self.colocation(now, runner);
        if !samples.is_empty() {
            update_models(
                now,
                &samples,
                &mut self.interference,
                &mut self.forecasts,
                &colocation.background,
            );
            colocation = self.colocation(now, runner);
        }
        let Some(runner) = self.runners.get_mut(&key) else { return Colocation::default() };
        runner.serving_image = colocation.only_serving();
        colocation.bound_exceeded = runner.exceeds_bound(now.at, &samples, policy.standstill);
        let allowances = match (colocation.bound_exceeded, policy.pacing.mode) {
            (true, _) => standstill_allowances(&colocation),
            (false, Switch::On) => {
                allowances(&colocation, &self.interference, &policy.pacing, &policy.moving)
            }
            (false, Switch::Off) => full_pace_allowances(&colocation),
        };
        self.apply_allowances(now, key, &allowances, &colocation);
        colocation
    }

    /// Returns the colocation on a runner by its last report and the orders under way.
    pub(in crate::jobs) fn colocation(&self, now: Now, runner: &Runner) -> Colocation {
        let sharing = self.cfg.policy.sharing;
        let margins = self.serving_margins(&runner.pool);
        Colocation::of(now.at, runner, &self.state, &self.ready, margins, sharing)
    }

    /// Returns what limits the margin that background tasks may take in a pool.
    pub(in crate::jobs) fn serving_margins(&self, pool: &str) -> ServingMargins<'_> {
        let reserve = self.reserves.get(pool);
        ServingMargins {
            forecasts: &self.forecasts,
            job_harms: &self.job_harms,
            reserve: reserve
                .map_or(MarginRoom::default(), |reserve| reserve.room(&self.cfg.policy.reserve)),
            reserve_level: reserve.map_or(0.0, Reserve::level),
        }
    }

    /// Returns the lowest level of the reserves of all pools, in percent.
    pub fn reserve_percent(&self) -> u64 {
        let levels = self.reserves.values().map(Reserve::level);
        (levels.reduce(f64::min).unwrap_or(0.0) * 100.0) as u64
    }

    /// Returns what the serving jobs bear.
    pub fn serving_harm(&self) -> ServingHarm {
        ServingHarm {
            jobs_at_bound: self.job_harms.jobs_at_bound(),
            over_bound_s: self.job_harms.over_bound_s() as u64,
        }
    }

    /// Updates the sums of the serving jobs by the report of a runner.
    fn count_reported_tasks(&mut self, now: Now, key: IncarnationKey) {
        let Some(runner) = self.runners.get_mut(&key) else { return };
        let reported = reported_tasks(runner, &self.ready);
        self.job_harms.replace(&runner.serving_tasks, &reported, now.at);
        runner.serving_tasks = reported;
    }

    /// Adjusts the reserve of each pool to its background work.
    pub(in crate::jobs) fn update_reserves(&mut self, now: Now) {
        let policy = self.cfg.policy.reserve;
        if policy.mode == Switch::Off && self.cfg.policy.job_harm.mode == Switch::Off {
            return;
        }
        let mut loads: BTreeMap<&str, BackgroundLoad> = BTreeMap::new();
        for runner in self.runners.values() {
            let load = loads.entry(&runner.pool).or_default();
            load.full_pace_cores += runner.background_cores.full_pace;
            load.paced_cores += runner.background_cores.paced;
        }
        for (step_key, step, slack) in self.ready.waiting_background() {
            let Some(job) = self.state.job(step_key.job) else { continue };
            let duration_s = Duration::from_millis(step.estimate_ms).as_secs_f64();
            let cores = step.need.millicores as f64 / 1000.0;
            let work = f64::from(capacity::waiting_tasks(job, step_key)) * cores * duration_s;
            let load = loads.entry(self.pool_of(job)).or_default();
            load.waiting += work;
            load.waiting_by_slack += work * slack.as_secs_f64();
            load.waiting_by_duration += work * duration_s;
        }
        let loads: Vec<(Box<str>, BackgroundLoad)> =
            loads.into_iter().map(|(pool, load)| (Box::from(pool), load)).collect();
        let has_load = |pool: &str| loads.iter().any(|(known, _)| &**known == pool);
        self.reserves.retain(|pool, reserve| has_load(pool) || reserve.is_held(now.at));
        for (pool, load) in loads {
            let reserve = self.reserves.entry(pool.clone()).or_insert_with(|| Reserve::new(now.at));
            if reserve.update(&policy, &load, now.at) {
                log::info!(
                    "reserve pool={pool} level={:.2} pressure={:.2} waiting-core-s={:.0} \
                     background-cores={:.0} at-full-pace={:.0} jobs-at-bound={}",
                    reserve.level(),
                    reserve.pressure(),
                    load.waiting,
                    load.paced_cores,
                    load.full_pace_cores,
                    self.job_harms.jobs_at_bound()
                );
            }
        }
    }

    /// Sets the pace of each image to what the margins allow, up or down. Where little
    /// pace is left, tasks with checkpoints are stopped, which saves their work, so that
    /// they run elsewhere.
    fn apply_allowances(
        &mut self,
        now: Now,
        key: IncarnationKey,
        allowances: &[Allowance],
        colocation: &Colocation,
    ) {
        let moving = self.tasks_to_move(now, key, allowances);
        let Some(runner) = self.runners.get_mut(&key) else { return };
        let mut changed = runner.set_paces(now.at, allowances, self.cfg.policy.pacing.settle);
        runner.background_cores = runner.background_cores(colocation);
        for task in &moving {
            if let Some(view) = runner.running.get_mut(task) {
                view.stopping = true;
                changed = true;
            }
        }
        if changed {
            let paces: Vec<u8> = runner.paces.values().copied().collect();
            log::info!(
                "pace runner={} percent={paces:?} moved={} own-margin={:.2} report={}",
                runner.id,
                moving.len(),
                colocation.min_own_margin(),
                runner.sequence
            );
        }
    }

    /// Returns the tasks to move, which cost much margin and have little pace left.
    /// The only run of a job stays, slowed, while the pool is idle: otherwise the job
    /// might have nothing running while it waits for a compatible runner that does not
    /// exist.
    fn tasks_to_move(
        &self,
        now: Now,
        key: IncarnationKey,
        allowances: &[Allowance],
    ) -> Vec<TaskKey> {
        let policy = &self.cfg.policy.moving;
        let heavy_images: Vec<ImageKey> = allowances
            .iter()
            .filter(|allowance| policy.mode.is_on() && allowance.is_heavy)
            .filter(|allowance| allowance.pace < policy.below)
            .map(|allowance| allowance.image)
            .collect();
        let Some(runner) = self.runners.get(&key).filter(|_| !heavy_images.is_empty()) else {
            return Vec::new();
        };
        let mut moving = Vec::new();
        for (task, view) in &runner.running {
            let Some(step) = self.ready.step_of(*task) else { continue };
            let interferes = step.image.is_some_and(|image| heavy_images.contains(&image));
            let last_run = self.state.task(*task).map_or(0, |task| task.last_run);
            if interferes
                && !view.stopping
                && step.checkpointing
                && step.may_interfere()
                && last_run < policy.runs_max
                && !self.ready.is_held(task.job)
                && !(self.is_pool_idle(&runner.pool) && self.active_runs(now, task.job) <= 1)
            {
                moving.push(*task);
            }
        }
        moving
    }
}

/// Returns allowances by which all background tasks are paused (pace 0).
fn standstill_allowances(colocation: &Colocation) -> Vec<Allowance> {
    let paused = |background: &BackgroundShare| Allowance {
        image: background.image,
        pace: 0.0,
        is_heavy: false,
    };
    colocation.background_at_full_pace.iter().map(paused).collect()
}

fn full_pace_allowances(colocation: &Colocation) -> Vec<Allowance> {
    let full = |background: &BackgroundShare| Allowance {
        image: background.image,
        pace: 1.0,
        is_heavy: false,
    };
    colocation.background_at_full_pace.iter().map(full).collect()
}

/// Returns the pace that all margins together allow each image.
fn allowances(
    colocation: &Colocation,
    learnt: &Interference,
    pacing: &PacingPolicy,
    moving: &MovingPolicy,
) -> Vec<Allowance> {
    let mut all = full_pace_allowances(colocation);
    for serving in &colocation.serving {
        let pressures: Vec<ImagePressure> = colocation
            .background_at_full_pace
            .iter()
            .map(|background| ImagePressure {
                image: background.image,
                share: background.share,
                margin_loss: learnt.margin_loss(serving.image, &[*background]),
            })
            .collect();
        for (image, pace) in
            allocate_margin(serving.own_margin - pacing.margin_aim, pressures.clone())
        {
            let Some(allowance) = all.iter_mut().find(|known| known.image == image) else {
                continue;
            };
            let pressure = pressures.iter().find(|pressure| pressure.image == image);
            allowance.pace = allowance.pace.min(pace);
            allowance.is_heavy |=
                pressure.is_some_and(|pressure| pressure.margin_loss >= moving.pressure);
        }
    }
    all
}

/// Margin that a background image at full pace costs one serving task, and the image's
/// share of the runner.
#[derive(Clone, Copy, Debug)]
struct ImagePressure {
    image: ImageKey,
    share: f64,
    margin_loss: f64,
}

impl ImagePressure {
    fn weight(&self) -> f64 {
        self.margin_loss / self.share.max(1e-6)
    }
}

/// Allocates a margin to the images that reduce it, those with the lowest loss per share
/// first, so that as much CPU as possible works for the same margin. Returns the paces of
/// the images that are slowed.
fn allocate_margin(margin: f64, mut pressures: Vec<ImagePressure>) -> Vec<(ImageKey, f64)> {
    let total: f64 = pressures.iter().map(|pressure| pressure.margin_loss).sum();
    if total < MARGIN_LOSS_MIN {
        return Vec::new();
    }
    pressures.sort_by(|a, b| a.weight().total_cmp(&b.weight()));
    let mut left = margin.max(0.0);
    let mut slowed = Vec::new();
    for pressure in pressures {
        if pressure.margin_loss <= left {
            left -= pressure.margin_loss;
        } else {
            slowed.push((pressure.image, left / pressure.margin_loss));
            left = 0.0;
        }
    }
    slowed
}

/// Margin reported for the tasks of one serving step on a runner.
pub(in crate::jobs) struct MarginSample {
    step_key: StepKey,
    image: ImageKey,
    margin: f64,
}

/// Returns the margin samples of the serving tasks. Tasks of one step on one runner share
/// their load and their colocated tasks, so only the first of them is used: the others
/// add no information.
fn samples(runner: &Runner, ready: &ReadyQueue) -> Vec<MarginSample> {
    let mut samples: Vec<MarginSample> = Vec::new();
    for (task, view) in &runner.running {
        let Some(step) = ready.step_of(*task) else { continue };
        if step.kind != StepKind::Serving || view.percent < 100 {
            continue;
        }
        let (Some(image), Some(usage_or_tail)) = (step.image, view.usage_or_tail) else { continue };
        let step_key = StepKey::of(*task);
        if samples.iter().all(|sample| sample.step_key != step_key) {
            let margin = step.tail_bound_ms as f64 / (usage_or_tail as f64).max(1.0);
            samples.push(MarginSample { step_key, image, margin });
        }
    }
    samples
}

/// Counts the tasks of each serving step on a runner, and those that exceed their bound.
fn reported_tasks(runner: &Runner, ready: &ReadyQueue) -> Vec<ReportedTasks<StepKey>> {
    let mut reported: Vec<ReportedTasks<StepKey>> = Vec::new();
    for (task, view) in &runner.running {
        let Some(step) = ready.step_of(*task).filter(|step| step.kind == StepKind::Serving) else {
            continue;
        };
        let Some(tail) = view.usage_or_tail.filter(|_| view.percent >= 100) else { continue };
        let job = StepKey::of(*task);
        let over = u32::from(tail > step.tail_bound_ms);
        match reported.iter_mut().find(|known| known.job == job) {
            Some(known) => {
                known.tasks += 1;
                known.over += over;
            }
            None => reported.push(ReportedTasks { job, tasks: 1, over }),
        }
    }
    reported
}

/// Updates the load models and the interference weights from a runner's samples.
fn update_models(
    now: Now,
    samples: &[MarginSample],
    learnt: &mut Interference,
    forecasts: &mut MarginForecasts<StepKey>,
    background: &[BackgroundShare],
) {
    for sample in samples {
        let own = forecasts.entry(sample.step_key, now.at);
        let own_margin = learnt.observe(sample.image, own, sample.margin, background, now.at);
        let Some(own_margin) = own_margin else { continue };
        if forecasts.evaluate_periods(sample.step_key, own_margin, now.at) {
            log::info!("loads period={}s", forecasts.period_s());
        }
    }
}

impl Runner {
    /// Returns whether a serving task has exceeded its bound for too long.
    fn exceeds_bound(
        &mut self,
        now: Moment,
        samples: &[MarginSample],
        policy: StandstillPolicy,
    ) -> bool {
        if samples.iter().all(|sample| sample.margin >= 1.0) {
            self.bound_exceeded_since = None;
            return false;
        }
        let since = *self.bound_exceeded_since.get_or_insert(now);
        policy.mode.is_on() && now.since(since) >= policy.after.to_duration()
    }

    /// Sets the paces and returns whether any changed. A lower pace applies at once, a
    /// higher one only after the settling time.
    fn set_paces(&mut self, now: Moment, allowances: &[Allowance], settle: Millis) -> bool {
        let settled = now.since(self.paced_at) >= settle.to_duration();
        let mut changed = false;
        self.paces.retain(|image, _| allowances.iter().any(|allowed| allowed.image == *image));
        for allowed in allowances {
            let steps = (allowed.pace * 100.0 / PACE_STEP_PERCENT).floor();
            let pace = (steps * PACE_STEP_PERCENT).clamp(0.0, 100.0) as u8;
            let former = self.paces.get(&allowed.image).copied().unwrap_or(100);
            if pace < former || (pace > former && settled) {
                self.paces.insert(allowed.image, pace);
                changed = true;
            }
        }
        if changed {
            self.paced_at = now;
        }
        changed
    }

    /// Returns the cores that background tasks use at full pace and at their pace.
    fn background_cores(&self, colocation: &Colocation) -> BackgroundCores {
        let cores = self.capacity.millicores as f64 / 1000.0;
        let mut sum = BackgroundCores::default();
        for background in &colocation.background_at_full_pace {
            let pace = self.paces.get(&background.image).copied().unwrap_or(100);
            sum.full_pace += background.share * cores;
            sum.paced += background.share * cores * f64::from(pace) / 100.0;
        }
        sum
    }

    /// Returns orders for runs that do not yet have their image's pace.
    pub(in crate::jobs) fn pace_orders(&mut self, ready: &ReadyQueue) -> Vec<(TaskKey, u32, u8)> {
        let mut orders = Vec::new();
        for (task, view) in &mut self.running {
            let Some(step) = ready.step_of(*task) else { continue };
            let Some(image) = step.image.filter(|_| step.may_interfere() && !view.stopping) else {
                continue;
            };
            let pace = self.paces.get(&image).copied().unwrap_or(100);
            if view.pace != Some(pace) {
                view.pace = Some(pace);
                orders.push((*task, view.run, pace));
            }
        }
        orders
    }
}
