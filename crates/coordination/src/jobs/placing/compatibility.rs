//! Which runners are compatible with a step's tasks, by rack and colocated tasks, and in
//! which order steps are offered to a runner.

use crate::jobs::colocation::Colocation;
use crate::jobs::interference::ImageKey;
use crate::jobs::leader::{Leader, Now};
use crate::jobs::place::Chosen;
use crate::jobs::policy::{Millis, Switch};
use crate::jobs::ready::{StepInfo, StepKey, StepKind, WaitingStep};
use crate::jobs::runner::Runner;
use crate::moment::Moment;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use yuccalink_state::jobs::{Job, JobId, StepSpec};

/// Waiting steps considered for one report, the first in order. Steps beyond the limit are
/// not considered, so it exceeds the backlog that an hour of bursts leaves.
const STEPS_MAX: usize = 1_024;

/// Lets tasks wait for a runner in the rack of their data or of their step.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct RacksPolicy {
    /// Whether tasks wait for their rack.
    pub mode: Switch,
    /// How long a task waits for its rack, in milliseconds, before it may run elsewhere.
    /// Tasks elsewhere take twice as long, so waiting for a fraction of the usual run
    /// time pays.
    #[serde(rename = "wait-ms")]
    pub wait: Millis,
}

impl Default for RacksPolicy {
    fn default() -> Self {
        Self { mode: Switch::On, wait: Millis(500) }
    }
}

/// Places serving tasks of one image together, so that for each background image there
/// are runners where it slows no serving task.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct GatheringPolicy {
    /// Whether serving tasks are grouped by image.
    pub mode: Switch,
    /// How long a serving task waits for a runner that serves only its image, in
    /// milliseconds, before it may run beside other serving images.
    #[serde(rename = "wait-ms")]
    pub wait: Millis,
    /// Mean weight of a background image, over all serving images, from which it gets
    /// runners without serving tasks before other images do.
    pub hard_weight: f64,
}

impl Default for GatheringPolicy {
    fn default() -> Self {
        Self { mode: Switch::On, wait: Millis(1_000), hard_weight: 5.0 }
    }
}

/// Starts one task of a job that has nothing running on any runner, at the pace that the
/// margins there allow, while half of the pool is idle. Without it, a job whose image
/// slows all serving tasks would wait for ever beside idle CPU. Only one task is started,
/// since runners full of slowed tasks cannot take compatible ones.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct PatiencePolicy {
    /// Whether a waiting job's first task is started in this way.
    pub mode: Switch,
    /// How long the job waits before this start, in milliseconds.
    #[serde(rename = "after-ms")]
    pub after: Millis,
}

impl Default for PatiencePolicy {
    fn default() -> Self {
        Self { mode: Switch::On, after: Millis(1_800) }
    }
}

/// Offers background images to the runners where they interfere least.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct MatchingPolicy {
    /// Whether background steps are reordered for each runner; otherwise every runner is
    /// offered them in the common order.
    pub mode: Switch,
}

impl Default for MatchingPolicy {
    fn default() -> Self {
        Self { mode: Switch::On }
    }
}

impl Leader {
    /// Iterates over the waiting steps considered for one report, in the common order. While a
    /// pool has shares, the steps of queues that yield come last, so that they do not take up the
    /// places of the others.
    pub(in crate::jobs) fn considered_steps(&self) -> impl Iterator<Item = WaitingStep<'_>> {
        let active = self.shares.is_active();
        let yields = move |waiting: &WaitingStep<'_>| {
            active && !waiting.step.long_running && self.shares.must_yield(waiting.step.queue, 0)
        };
        let first = self.ready.waiting().filter(move |waiting| !yields(waiting));
        let last = self.ready.waiting().filter(move |waiting| yields(waiting));
        first.take(STEPS_MAX).chain(last.take(if active { STEPS_MAX } else { 0 }))
    }

    /// Returns the waiting steps in the order in which they are offered to one runner.
    /// Background steps keep the positions of background steps, but are sorted by how
    /// much less their image interferes here than elsewhere: the margin here is best
    /// spent on images that find none elsewhere.
    pub(in crate::jobs) fn offer_order(&self, colocation: &Colocation) -> Vec<WaitingStep<'_>> {
        let mut order: Vec<WaitingStep<'_>> = self.considered_steps().collect();
        if self.cfg.policy.matching.mode == Switch::Off || colocation.serving.is_empty() {
            return order;
        }
        let mut advantages: BTreeMap<ImageKey, f64> = BTreeMap::new();
        let mut places = Vec::new();
        let mut background = Vec::new();
        for (at, waiting) in order.iter().enumerate() {
            let Some(image) = waiting.step.image.filter(|_| waiting.step.may_interfere()) else {
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

    /// Returns whether a step's tasks slow most serving tasks or are long-running. Such
    /// steps are offered runners without serving tasks first, since all others find
    /// capacity beside serving tasks as well.
    pub(in crate::jobs) fn needs_idle_runner(&self, step: &StepInfo) -> bool {
        let hard_weight = self.cfg.policy.gathering.hard_weight;
        let interferes_with_most = |image| self.interference.mean_weight(image) >= hard_weight;
        step.long_running || step.image.is_some_and(interferes_with_most)
    }

    pub(in crate::jobs) fn rack_fits(
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
        let step = job.step(step_key.occurrence, step_key.step);
        let mut incarnations = step
            .into_iter()
            .flat_map(|step| step.tasks.assigned())
            .flat_map(|(_, t)| &t.assignments);
        incarnations.all(|assignment| {
            self.runners.get(&assignment.incarnation).is_none_or(|r| r.rack == runner.rack)
        })
    }

    /// Returns whether a task of a step is compatible with the tasks on a runner. Serving
    /// tasks of one image are placed together, so that for each background image there
    /// are runners where it slows no serving task: a background image is hardly ever
    /// compatible with all of three serving images.
    pub(in crate::jobs) fn is_compatible(
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
                    true => waited || !self.has_capacity_beside_image(now, step),
                    false => same_image || waited,
                }
            }
        }
    }

    /// Returns whether a serving step no longer waits for a runner that serves its image.
    pub(in crate::jobs) fn has_waited_for_image(&self, now: Now, step_key: StepKey) -> bool {
        let policy = &self.cfg.policy.gathering;
        let since = self.ready.since(step_key).unwrap_or(now.at);
        now.at.since(since) > policy.wait.to_duration() || policy.mode == Switch::Off
    }

    /// Returns whether a runner that already serves this image has capacity for one more
    /// task. Runners without serving tasks then stay free for background tasks that
    /// interfere.
    fn has_capacity_beside_image(&self, now: Now, step: &StepInfo) -> bool {
        let Some(image) = step.image else { return false };
        let found = self.free_index.with_image(image, step.reserved.millicores);
        found.filter_map(|key| self.runners.get(&key)).any(|runner| {
            runner.serving_image == step.image
                && runner.takes_tasks()
                && runner.reported_recently(now.at)
                && runner.free.covers(step.reserved)
        })
    }

    /// Returns how many runs of a job are assigned to responsive runners or are about to
    /// start.
    pub(in crate::jobs) fn active_runs(&self, now: Now, id: JobId) -> usize {
        let Some(job) = self.state.job(id) else { return 0 };
        let active = job.assignments(id).filter(|(_, assignment)| {
            self.runners
                .get(&assignment.incarnation)
                .is_some_and(|runner| runner.reported_recently(now.at))
        });
        active.count() + self.starting.count_of_job(id)
    }
}
