//! Gangs: all tasks of a step start together or not at all, so capacity for all of them
//! must be found on several runners at once. Each runner receives its order in the
//! response to its next report, within a second; members that start earlier wait that
//! long for the others.

use crate::jobs::leader::{Leader, Now, OnCommit};
use crate::jobs::policy::Switch;
use crate::jobs::ready::StepKey;
use crate::jobs::retry::GangPreference;
use crate::jobs::runner::{Runner, Trust};
use crate::jobs::suspects::CrashSuspicion;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use yuccalink_state::Resources;
use yuccalink_state::jobs::{IncarnationKey, Job, JobCommand, RunStart, Step, StepSpec, TaskKey};

/// A runner without a report for this long may not report in time to start its member.
const REPORT_AGE_MAX: Duration = Duration::from_millis(1_200);
/// Most gangs considered in one tick, which keeps the tick short.
const GANGS_MAX: usize = 8;

/// Places the members of a gang in one rack, if one has capacity for all.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct GangsPolicy {
    /// Whether a single rack is preferred; otherwise members run wherever there is
    /// capacity.
    pub one_rack: Switch,
}

impl Default for GangsPolicy {
    fn default() -> Self {
        Self { one_rack: Switch::On }
    }
}

impl Leader {
    /// Starts the waiting gangs for which there is capacity.
    pub(in crate::jobs) fn place_gangs(&mut self, now: Now) {
        let is_gang = |step_key: &StepKey| {
            let job = self.state.job(step_key.job);
            job.and_then(|j| j.spec.steps.get(usize::from(step_key.step))).is_some_and(|s| s.gang)
        };
        let step_keys: Vec<StepKey> = self.ready.order().filter(is_gang).take(GANGS_MAX).collect();
        for step_key in step_keys {
            let step = self.ready.step(step_key.job, step_key.step);
            let queue = step.filter(|step| !step.long_running).map(|step| step.queue);
            if let Some(queue) = queue.filter(|queue| self.shares.must_yield(*queue, 0)) {
                self.shares.note_deferred(queue);
                continue;
            }
            if let Some(starts) = self.gang_starts(now, step_key) {
                log::info!(
                    "gang job={} step={} members={}",
                    step_key.job,
                    step_key.step,
                    starts.len()
                );
                for start in &starts {
                    self.reserve_on_runner(step_key, start.incarnation);
                    self.starting.add(*start);
                }
                self.record_starts(now, &starts);
                self.counts.starts += starts.len() as u64;
                self.propose(JobCommand::Start(starts), OnCommit::Nothing);
            }
        }
    }

    fn reserve_on_runner(&mut self, step_key: StepKey, incarnation: IncarnationKey) {
        let Some(need) = self.ready.step(step_key.job, step_key.step).map(|step| step.reserved)
        else {
            return;
        };
        if let Some(runner) = self.runners.get_mut(&incarnation) {
            runner.free = runner.free.minus(need).unwrap_or(Resources::ZERO);
            self.free_index.update(runner);
        }
    }

    fn gang_starts(&self, now: Now, step_key: StepKey) -> Option<Vec<RunStart>> {
        let job = self.state.job(step_key.job)?;
        let spec = job.spec.steps.get(usize::from(step_key.step))?;
        let step = job.step(step_key.occurrence, step_key.step)?;
        let key = |index: u16| TaskKey {
            job: step_key.job,
            occurrence: step_key.occurrence,
            step: step_key.step,
            index,
        };
        let may_start = |index: u16| {
            !self.starting.contains(key(index))
                && self.crash_suspicion(now, key(index)) != CrashSuspicion::HeldBack
        };
        let all_waiting = step.tasks.waiting_len() == step.tasks.len();
        if !all_waiting || !step.tasks.waiting().all(may_start) {
            return None;
        }
        let run = step.tasks.begun().map(|(_, task)| task.last_run).max().unwrap_or(0) + 1;
        let candidates = self.gang_candidates(now, job, spec, step, GangPreference::default());
        let preference = self.gang_preference(now, step_key, &candidates);
        let incarnations = self.assign_gang(spec, &candidates).or_else(|| {
            if preference == GangPreference::default() {
                return None;
            }
            let candidates = self.gang_candidates(now, job, spec, step, preference);
            self.assign_gang(spec, &candidates)
        })?;
        let starts = (0..).zip(incarnations);
        Some(
            starts
                .map(|(index, incarnation)| RunStart { task: key(index), run, incarnation })
                .collect(),
        )
    }

    fn assign_gang(&self, spec: &StepSpec, candidates: &[&Runner]) -> Option<Vec<IncarnationKey>> {
        match self.cfg.policy.gangs.one_rack {
            Switch::On => assign_in_one_rack(spec, candidates),
            Switch::Off => assign_members(spec, candidates),
        }
    }

    fn gang_candidates(
        &self,
        now: Now,
        job: &Job,
        spec: &StepSpec,
        step: &Step,
        preference: GangPreference,
    ) -> Vec<&Runner> {
        let failed_on =
            |incarnation| step.tasks.begun().any(|(_, task)| task.failed_on.contains(&incarnation));
        let pool = self.pool_of(job);
        let fits = |runner: &&Runner| {
            runner.takes_tasks()
                && &*runner.pool == pool
                && now.at.since(runner.last_report_at) < REPORT_AGE_MAX
                && match self.trust(now, runner) {
                    Trust::Full => true,
                    Trust::RetryableOnly | Trust::Probe => preference.any_trust,
                    Trust::None => false,
                }
                && spec.required_label.as_ref().is_none_or(|label| runner.has_label(label))
                && (preference.returns || !failed_on(runner.key))
        };
        self.runners.values().filter(fits).collect()
    }
}

/// Returns a runner for each member, in one rack if possible, since members in several
/// racks take twice as long; otherwise wherever there is capacity.
fn assign_in_one_rack(spec: &StepSpec, candidates: &[&Runner]) -> Option<Vec<IncarnationKey>> {
    let mut racks: BTreeMap<&str, Vec<&Runner>> = BTreeMap::new();
    for runner in candidates {
        racks.entry(&runner.rack).or_default().push(runner);
    }
    let preferred = spec.data_rack.as_deref().and_then(|rack| racks.get(rack));
    let in_one_rack = preferred
        .into_iter()
        .chain(racks.values())
        .find_map(|runners| assign_members(spec, runners));
    in_one_rack.or_else(|| assign_members(spec, candidates))
}

fn assign_members(spec: &StepSpec, runners: &[&Runner]) -> Option<Vec<IncarnationKey>> {
    let need = spec.reserved();
    let member_count = spec.count as usize;
    let mut assigned = Vec::with_capacity(member_count);
    for runner in runners {
        let mut free = runner.free;
        let mut members_here = 0;
        while assigned.len() < member_count
            && (spec.per_runner_max == 0 || members_here < spec.per_runner_max)
            && let Some(rest) = free.minus(need)
        {
            free = rest;
            members_here += 1;
            assigned.push(runner.key);
        }
    }
    (assigned.len() == member_count).then_some(assigned)
}
