//! Evacuated zones: their runners get no orders to start anything. What runs there ends, and
//! long-running tasks move to other zones if the operator orders so.

use crate::jobs::leader::{Leader, Now, OnCommit, RequestToken};
use crate::jobs::messages::CellResponse;
use crate::jobs::policy::{Millis, Switch};
use crate::jobs::ready::StepKey;
use crate::jobs::runner::Runner;
use crate::moment::Moment;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use yuccalink_state::Resources;
use yuccalink_state::evacuation::{ZoneAction, ZoneOrder, ZoneOutcome, ZoneView, check_zone};
use yuccalink_state::jobs::{IncarnationKey, JobCommand, TaskKey};

/// Steps whose tasks may move in one tick, which bounds the scans for capacity elsewhere.
const STEPS_MOVED_PER_TICK: usize = 2;

/// How work leaves an evacuated zone, and how it comes back.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct EvacuationPolicy {
    /// Whether long-running tasks leave every evacuated zone, ordered so or not.
    pub empty: Switch,
    /// Time, in milliseconds, in which the capacity of a restored zone's runners grows from
    /// nothing to the whole. Tasks that start at once on all of them would all be slow or lost
    /// if the zone is cold or goes down again.
    #[serde(rename = "ramp-ms")]
    pub ramp: Millis,
}

impl Default for EvacuationPolicy {
    fn default() -> Self {
        Self { empty: Switch::Off, ramp: Millis(1_000) }
    }
}

/// What the leader remembers of evacuations outside of the replicated state.
#[derive(Debug, Default)]
pub(in crate::jobs) struct ZoneProgress {
    /// Since when each restored zone takes work again, while its capacity grows.
    restored_at: BTreeMap<Box<str>, Moment>,
    /// The last step whose tasks were moved, after which the next tick goes on.
    last_moved: Option<StepKey>,
}

impl Leader {
    /// Handles an operator's order for a zone; it is acknowledged once it is committed.
    pub(in crate::jobs) fn zone_order(
        &mut self,
        now: Now,
        token: RequestToken,
        order: ZoneOrder,
    ) -> Option<CellResponse> {
        if let Err(error) = check_zone(&order.zone) {
            log::info!("zone={:?} {} refused: {error}", order.zone, order.action);
            return Some(CellResponse::Invalid(error.to_string().into()));
        }
        let then = OnCommit::Zone { order: Box::new(order.clone()), token };
        self.propose(JobCommand::Zone { order, at_ms: now.unix_ms }, then);
        None
    }

    /// Applies a committed change of evacuations to the known runners.
    pub(in crate::jobs) fn update_zones(
        &mut self,
        now: Now,
        order: &ZoneOrder,
        outcome: ZoneOutcome,
    ) {
        if outcome != ZoneOutcome::Changed {
            return;
        }
        match order.action {
            ZoneAction::Evacuate => {
                self.zone_progress.restored_at.remove(&order.zone);
                self.counts.zones_evacuated += 1;
            }
            ZoneAction::Restore => {
                self.zone_progress.restored_at.insert(order.zone.clone(), now.at);
                self.counts.zones_restored += 1;
            }
        }
        for runner in self.runners.values_mut() {
            runner.zone_evacuated = self.state.evacuations().excludes(&runner.zone);
        }
    }

    /// Answers an operator whose order for a zone was committed.
    pub(in crate::jobs) fn zone_committed(
        &mut self,
        token: RequestToken,
        order: &ZoneOrder,
        outcome: ZoneOutcome,
    ) {
        let view = self.zone_view(&order.zone);
        log::info!(
            "zone={} {} outcome={outcome:?} number={:?} empty={} runners={} runs={}",
            order.zone,
            order.action,
            order.number,
            order.empty,
            view.targets,
            view.busy
        );
        let answer = match (outcome, outcome.refusal(&order.zone)) {
            (_, None) => CellResponse::Zone(view),
            (ZoneOutcome::Superseded(_), Some(why)) => CellResponse::Conflict(why),
            (_, Some(why)) => CellResponse::Invalid(why),
        };
        self.answer(token, answer);
    }

    /// All zones with runners or with an order, by name.
    pub(in crate::jobs) fn zones(&self) -> CellResponse {
        let ordered = self.state.evacuations().zones();
        let with_runners = self.runners.values().map(|runner| &*runner.zone);
        let names: BTreeSet<&str> = ordered.chain(with_runners).collect();
        let known = names.into_iter().filter(|zone| !zone.is_empty());
        CellResponse::Zones(known.map(|zone| self.zone_view(zone)).collect())
    }

    fn zone_view(&self, zone: &str) -> ZoneView {
        let runners = || self.runners.values().filter(|runner| &*runner.zone == zone);
        let listed: usize = runners().map(|runner| runner.running.len()).sum();
        let busy = listed + self.unreported_runs();
        ZoneView::new(self.state.evacuations(), zone, runners().count(), busy)
    }

    /// Runs on runners that have not reported to this leader. Each may be in any zone.
    fn unreported_runs(&self) -> usize {
        let with_runs = self.state.incarnations_with_runs();
        let silent = with_runs.filter(|incarnation| !self.runners.contains_key(incarnation));
        silent.map(|incarnation| self.state.assigned_runs(incarnation).count()).sum()
    }

    /// The part of a runner's capacity that is withheld because its zone was restored just now.
    pub(in crate::jobs) fn withheld_after_return(&self, now: Now, runner: &Runner) -> Resources {
        let ramp = self.cfg.policy.evacuation.ramp.to_duration();
        let Some(restored_at) = self.zone_progress.restored_at.get(&runner.zone) else {
            return Resources::ZERO;
        };
        let left = ramp.saturating_sub(now.at.since(*restored_at)).as_millis();
        let part = |whole: u64| {
            let withheld = u128::from(whole) * left / ramp.as_millis().max(1);
            u64::try_from(withheld).unwrap_or(u64::MAX)
        };
        Resources {
            millicores: part(runner.capacity.millicores),
            memory_mib: part(runner.capacity.memory_mib),
            accelerators: 0,
        }
    }

    /// Forgets the zones whose capacity is whole again, and moves long-running tasks out of
    /// zones that are to be emptied.
    pub(in crate::jobs) fn advance_evacuations(&mut self, now: Now) {
        let ramp = self.cfg.policy.evacuation.ramp.to_duration();
        self.zone_progress.restored_at.retain(|_, at| now.at.since(*at) < ramp);
        if self.state.evacuations().is_empty() {
            return;
        }
        let by_step = self.long_running_to_move();
        let last = self.zone_progress.last_moved;
        let after = by_step.keys().filter(|key| last.is_none_or(|last| **key > last));
        let next: Vec<StepKey> = after.chain(by_step.keys()).copied().collect();
        for step_key in next.into_iter().take(STEPS_MOVED_PER_TICK.min(by_step.len())) {
            self.zone_progress.last_moved = Some(step_key);
            self.move_tasks(now, &by_step[&step_key]);
        }
    }

    /// Long-running tasks at work in zones that are to be emptied, by step.
    fn long_running_to_move(&self) -> BTreeMap<StepKey, Vec<(IncarnationKey, TaskKey)>> {
        let all = self.cfg.policy.evacuation.empty.is_on();
        let empties = |runner: &&Runner| {
            runner.zone_evacuated && (all || self.state.evacuations().empties(&runner.zone))
        };
        let mut by_step: BTreeMap<StepKey, Vec<(IncarnationKey, TaskKey)>> = BTreeMap::new();
        for runner in self.runners.values().filter(empties) {
            for (task, view) in &runner.running {
                let long_running = self.ready.step_of(*task).is_some_and(|s| s.long_running);
                if long_running && !view.stopping && !self.ready.is_held(task.job) {
                    by_step.entry(StepKey::of(*task)).or_default().push((runner.key, *task));
                }
            }
        }
        by_step
    }

    /// Stops tasks of one step as far as other runners have capacity for them and the step's
    /// disruption budget allows.
    fn move_tasks(&mut self, now: Now, tasks: &[(IncarnationKey, TaskKey)]) {
        let Some((key, task)) = tasks.first() else { return };
        let (Some(runner), Some(step)) = (self.runners.get(key), self.ready.step_of(*task)) else {
            return;
        };
        let most =
            self.moving_long_running.saturating_add(u32::try_from(tasks.len()).unwrap_or(u32::MAX));
        let capacity = self.capacity_elsewhere(now, runner, *task, step, most);
        let most = capacity.saturating_sub(self.moving_long_running) as usize;
        let mut stopping = BTreeSet::new();
        for (_, task) in tasks {
            if stopping.len() < most && self.may_disrupt(*task, &stopping) {
                stopping.insert(*task);
            }
        }
        self.moving_long_running += u32::try_from(stopping.len()).unwrap_or(u32::MAX);
        for (key, task) in tasks.iter().filter(|(_, task)| stopping.contains(task)) {
            let Some(runner) = self.runners.get_mut(key) else { continue };
            if let Some(view) = runner.running.get_mut(task) {
                log::info!(
                    "stop task={task} run={} runner={} why=evacuation zone={}",
                    view.run,
                    runner.id,
                    runner.zone
                );
                view.stopping = true;
            }
        }
    }
}
