//! When a serving task's margin runs out: whoever presses on it is slowed by as much
//! as is needed, or moved away where little would be left of its pace.

use super::interference::{Filling, ImageKey, Interference};
use super::leader::{Leader, Now};
use super::neighbours::{Neighbours, Serving};
use super::ready::{GroupKey, Kind, Ready};
use super::runner::Runner;
use super::swing::Loads;
use std::time::Duration;
use yuccalink_state::jobs::{LifeKey, TaskKey};

/// Margin that pacing aims at: the figures are half a second old, and a load can
/// take 0.2 of a margin in that time.
const MARGIN_AIM: f64 = 1.12;
/// Least part of a pressure, of all that presses on a task, that makes an image one
/// of its causes.
const CAUSE_MIN: f64 = 0.15;
/// Pressure, in margin, that is not worth an order.
const PRESSURE_MIN: f64 = 0.1;
/// Below this pace, tasks with checkpoints are moved: elsewhere they do more.
const MOVE_BELOW: f64 = 0.4;
/// Pressure, in margin, from which an image is moved: half a usual margin. Less than
/// that is borne again as soon as the serving task's own load has swung back.
const HARD_PRESSURE: f64 = 0.8;
/// A task in this run or a later one is not moved any more: it seems to disturb
/// wherever it goes, and only its pace is left.
const RUNS_MOVED_MAX: u32 = 4;
/// Steps in which paces are given, in percent, so that few orders are needed.
const PACE_STEP: f64 = 10.0;
/// Least time before a pace is raised again.
const SETTLE: Duration = Duration::from_millis(700);

/// What a runner's margins allow.
struct Verdict {
    /// Share of full pace for the causes.
    pace: f64,
    causes: Vec<ImageKey>,
    /// Those of them that press too hard to stay.
    hard: Vec<ImageKey>,
    least: Serving,
}

impl Leader {
    /// Learns from a report, and acts on margins that run out. Returns who shares the
    /// runner.
    pub(super) fn pace(&mut self, now: Now, key: LifeKey) -> Neighbours {
        let Some(runner) = self.runners.get_mut(&key) else { return Neighbours::default() };
        let mut neighbours = Neighbours::of(now.at, runner, &self.jobs, &self.ready, &self.loads);
        let figures = figures(runner, &self.ready);
        if !figures.is_empty() {
            learn(now, &figures, &mut self.interference, &mut self.loads, &neighbours.filling);
            neighbours = Neighbours::of(now.at, runner, &self.jobs, &self.ready, &self.loads);
        }
        runner.serves = neighbours.only_serving();
        let verdict = neighbours
            .serving
            .iter()
            .filter_map(|serving| {
                let taken =
                    |fill: &Filling| (fill.image, self.interference.taken(serving.image, &[*fill]));
                let pressures: Vec<_> = neighbours.at_full_pace.iter().map(taken).collect();
                judge(*serving, &pressures)
            })
            .min_by(|a, b| a.pace.total_cmp(&b.pace));
        match verdict {
            Some(verdict) if verdict.pace < 1.0 => self.hold_back(now, key, &verdict),
            _ => {
                if runner.paces.values().any(|pace| *pace < 100)
                    && now.at.since(runner.paced_at) >= SETTLE
                {
                    log::info!("pace runner={} percent=100", runner.id);
                    runner.paces.clear();
                    runner.paced_at = now.at;
                }
            }
        }
        neighbours
    }

    /// Slows the causes to the pace that the margins allow; where that is little,
    /// tasks with checkpoints stop, which saves their work, and go elsewhere.
    fn hold_back(&mut self, now: Now, key: LifeKey, verdict: &Verdict) {
        let Some(runner) = self.runners.get_mut(&key) else { return };
        let pace = ((verdict.pace * 100.0 / PACE_STEP).floor() * PACE_STEP).clamp(0.0, 100.0) as u8;
        let mut changed = false;
        for image in &verdict.causes {
            let former = runner.paces.get(image).copied().unwrap_or(100);
            let raise = pace > former && now.at.since(runner.paced_at) >= SETTLE;
            if pace < former || raise {
                runner.paces.insert(*image, pace);
                changed = true;
            }
        }
        let mut moved = 0;
        if verdict.pace < MOVE_BELOW {
            for (task, view) in &mut runner.running {
                let Some(step) = self.ready.step_of(*task) else { continue };
                let hard = step.image.is_some_and(|image| verdict.hard.contains(&image));
                let moves = self.jobs.task(*task).map_or(0, |task| task.last_run);
                if hard
                    && !view.stopping
                    && step.checkpointing
                    && step.disturbs()
                    && moves < RUNS_MOVED_MAX
                {
                    view.stopping = true;
                    moved += 1;
                }
            }
        }
        if changed || moved > 0 {
            runner.paced_at = now.at;
            log::info!(
                "pace runner={} percent={pace} moved={moved} own-margin={:.2} report={}",
                runner.id,
                verdict.least.own,
                runner.sequence
            );
        }
    }
}

fn judge(serving: Serving, pressures: &[(ImageKey, f64)]) -> Option<Verdict> {
    let total: f64 = pressures.iter().map(|(_, pressure)| pressure).sum();
    if total < PRESSURE_MIN {
        return None;
    }
    let pace = ((serving.own - MARGIN_AIM) / total).clamp(0.0, 1.0);
    let causes = pressures
        .iter()
        .filter(|(_, pressure)| *pressure >= total * CAUSE_MIN)
        .map(|(image, _)| *image)
        .collect();
    let hard = pressures
        .iter()
        .filter(|(_, pressure)| *pressure >= HARD_PRESSURE)
        .map(|(image, _)| *image)
        .collect();
    Some(Verdict { pace, causes, hard, least: serving })
}

/// What the tasks of one serving job on a runner show.
struct Figure {
    group: GroupKey,
    image: ImageKey,
    margin: f64,
}

/// The figures of the tasks that serve. Tasks of one job on one runner share their load
/// and their neighbours, so only the first is taken: the others tell nothing new.
fn figures(runner: &Runner, ready: &Ready) -> Vec<Figure> {
    let mut figures: Vec<Figure> = Vec::new();
    for (task, view) in &runner.running {
        let Some(step) = ready.step_of(*task) else { continue };
        if step.kind != Kind::Serving || view.percent < 100 {
            continue;
        }
        let (Some(image), Some(gauge)) = (step.image, view.gauge) else { continue };
        let group = GroupKey::of(*task);
        if figures.iter().all(|figure| figure.group != group) {
            let margin = step.target_ms as f64 / (gauge as f64).max(1.0);
            figures.push(Figure { group, image, margin });
        }
    }
    figures
}

/// Learns from a runner's figures how loads swing and which images press on which.
fn learn(
    now: Now,
    figures: &[Figure],
    learnt: &mut Interference,
    loads: &mut Loads<GroupKey>,
    filling: &[Filling],
) {
    for figure in figures {
        let own = loads.entry(figure.group, now.at);
        let freed = learnt.observe(figure.image, own, figure.margin, filling, now.at);
        let Some(freed) = freed else { continue };
        if loads.judge(figure.group, freed, now.at) {
            log::info!("loads period={}s", loads.period_s());
        }
    }
}

impl Runner {
    /// Orders for runs that do not work at their image's pace yet.
    pub(super) fn rate_orders(&mut self, ready: &Ready) -> Vec<(TaskKey, u32, u8)> {
        let mut orders = Vec::new();
        for (task, view) in &mut self.running {
            let Some(step) = ready.step_of(*task) else { continue };
            let Some(image) = step.image.filter(|_| step.disturbs() && !view.stopping) else {
                continue;
            };
            let pace = self.paces.get(&image).copied().unwrap_or(100);
            if view.rate != Some(pace) {
                view.rate = Some(pace);
                orders.push((*task, view.run, pace));
            }
        }
        orders
    }
}
