//! Which runners suit a step's tasks: racks, neighbours, and what a runner is offered
//! first.

use super::colocation::Colocation;
use super::interference::ImageKey;
use super::leader::{Leader, Now};
use super::place::Chosen;
use super::policy::{Millis, Switch};
use super::ready::{StepInfo, StepKey, StepKind, WaitingStep};
use super::runner::Runner;
use crate::moment::Moment;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use yuccalink_state::jobs::{Job, JobId, StepSpec};

/// Waiting steps looked at for one report; the first in order matter most. A step
/// beyond them is not looked at, so this is more than an hour of bursts leaves.
const STEPS_MAX: usize = 1_024;

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
    /// The waiting steps that are looked at for one report, in the common order.
    pub(super) fn considered_steps(&self) -> impl Iterator<Item = WaitingStep<'_>> {
        self.ready.waiting().take(STEPS_MAX)
    }

    /// The waiting steps as they are offered one runner. Steps that fill keep their places
    /// among the others, and go by how much less their image presses here than on most:
    /// the margin here is best spent by those who find it nowhere else.
    pub(super) fn offer_order(&self, colocation: &Colocation) -> Vec<WaitingStep<'_>> {
        let mut order: Vec<WaitingStep<'_>> = self.considered_steps().collect();
        if self.cfg.policy.matching.mode == Switch::Off || colocation.serving.is_empty() {
            return order;
        }
        let mut advantages: BTreeMap<ImageKey, f64> = BTreeMap::new();
        let mut places = Vec::new();
        let mut background = Vec::new();
        for (at, waiting) in order.iter().enumerate() {
            let Some(image) = waiting.step.image.filter(|_| waiting.step.disturbs()) else {
                continue;
            };
            let advantage = *advantages
                .entry(image)
                .or_insert_with(|| colocation.advantage(image, &self.interference));
            places.push(at);
            background.push((waiting.density * advantage, *waiting));
        }
        background.sort_by(|(a, one), (b, other)| one.class.cmp(&other.class).then(b.total_cmp(a)));
        for (at, (_, waiting)) in places.into_iter().zip(background) {
            order[at] = waiting;
        }
        order
    }

    /// Whether a step's tasks disturb most that serve, or are to serve themselves: the
    /// others find room beside serving tasks as well.
    pub(super) fn needs_idle_runner(&self, step: &StepInfo) -> bool {
        let hard_weight = self.cfg.policy.gathering.hard_weight;
        let disturbs_most = |image| self.interference.mean_weight(image) >= hard_weight;
        step.long_running || step.image.is_some_and(disturbs_most)
    }

    pub(super) fn rack_fits(
        &self,
        now: Moment,
        job: &Job,
        step: &StepSpec,
        step_key: StepKey,
        runner: &Runner,
    ) -> bool {
        let since = self.ready.since(step_key).unwrap_or(now);
        let policy = &self.cfg.policy.racks;
        if policy.mode == Switch::Off || now.since(since) > policy.wait.to_duration() {
            return true;
        }
        if let Some(rack) = &step.data_rack {
            return *rack == runner.rack;
        }
        if !step.rack_affinity {
            return true;
        }
        let occurrence = job.occurrences.get(step_key.occurrence as usize);
        let tasks = occurrence.and_then(|found| found.steps.get(usize::from(step_key.step)));
        let mut incarnations =
            tasks.into_iter().flat_map(|step| &step.tasks).flat_map(|t| &t.assignments);
        incarnations.all(|assignment| {
            self.runners.get(&assignment.incarnation).is_none_or(|r| r.rack == runner.rack)
        })
    }

    /// Whether a task gets on with those on a runner. Serving tasks of one image
    /// gather, so that for each filling image there are runners where it disturbs
    /// nobody: among three images a filling one hardly ever suits all.
    pub(super) fn is_compatible(
        &self,
        now: Now,
        step_key: StepKey,
        step: &StepInfo,
        chosen: &mut Chosen,
    ) -> bool {
        let since = self.ready.since(step_key).unwrap_or(now.at);
        let colocation = &mut chosen.colocation;
        match step.kind {
            StepKind::Background => {
                let spare = !step.opportunistic || colocation.has_spare_cpu(step);
                if spare && colocation.has_margin_for(step, &self.interference) {
                    return true;
                }
                let policy = &self.cfg.policy.patience;
                policy.mode.is_on()
                    && now.at.since(since) > policy.after.to_duration()
                    && self.is_pool_idle(&colocation.pool)
                    && chosen.starts.iter().all(|start| start.task.job != step_key.job)
                    && self.active_runs(now, step_key.job) == 0
            }
            StepKind::Serving => {
                let own = step.image;
                let same_image =
                    colocation.serving.iter().all(|serving| Some(serving.image) == own);
                let waited = self.has_waited_for_image(now, step_key);
                match colocation.serving.is_empty() {
                    true => waited || !self.has_room_beside_image(now, step),
                    false => same_image || waited,
                }
            }
        }
    }

    /// Whether a serving step need not wait any longer for a runner of its image.
    pub(super) fn has_waited_for_image(&self, now: Now, step_key: StepKey) -> bool {
        let policy = &self.cfg.policy.gathering;
        let since = self.ready.since(step_key).unwrap_or(now.at);
        now.at.since(since) > policy.wait.to_duration() || policy.mode == Switch::Off
    }

    /// Whether a runner that already serves this image has room for one more: then
    /// runners that serve nothing stay free for work that disturbs.
    fn has_room_beside_image(&self, now: Now, step: &StepInfo) -> bool {
        step.image.is_some()
            && self.runners.values().any(|runner| {
                runner.serves == step.image
                    && runner.takes_tasks()
                    && runner.reported_recently(now.at)
                    && runner.free.covers(step.reserved)
            })
    }

    /// How many runs of a job are under way or about to be.
    pub(super) fn active_runs(&self, now: Now, id: JobId) -> usize {
        let Some(job) = self.state.job(id) else { return 0 };
        let steps = job.occurrences.iter().flat_map(|occurrence| &occurrence.steps);
        let assignments = steps.flat_map(|step| &step.tasks).flat_map(|task| &task.assignments);
        let active = assignments.filter(|assignment| {
            self.runners
                .get(&assignment.incarnation)
                .is_some_and(|runner| runner.reported_recently(now.at))
        });
        active.count() + self.starting.keys().filter(|task| task.job == id).count()
    }
}
