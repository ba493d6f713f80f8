//! Upkeep waves: machines go down for upkeep a few at a time. Each is drained first, so that
//! no long-running step loses more tasks than its document allows.

use super::external::{ExternalCall, ExternalCallId, ExternalReply, Machine, MachineState};
use super::leader::{Leader, Now, OnCommit, RequestToken};
use super::messages::CellResponse;
use crate::moment::Moment;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use yuccalink_state::jobs::{IncarnationKey, JobCommand, TaskKey, Wave};

/// Interval at which the list of machines is read during a wave. The platform limits the
/// reads of all nodes together.
const READ_EVERY: Duration = Duration::from_millis(700);
/// Longest wait for a reply of the platform.
const ANSWER_MAX: Duration = Duration::from_millis(2_500);
/// How long tasks that are not long-running may go on while their machine is drained.
const EMPTY_MAX: Duration = Duration::from_millis(4_000);
/// Delay before a refused upkeep order is retried.
const AGAIN_AFTER: Duration = Duration::from_millis(1_000);

/// A machine that is drained before its upkeep.
#[derive(Debug)]
struct Emptying {
    wave: u64,
    since: Moment,
    not_before: Moment,
    ordered: Option<(ExternalCallId, Moment)>,
}

/// State of machines and waves that the leader keeps outside of the replicated state.
#[derive(Debug, Default)]
pub(super) struct Waves {
    machines: BTreeMap<Box<str>, Machine>,
    page: Vec<Machine>,
    reading: Option<(ExternalCallId, Moment)>,
    read: Option<Moment>,
    emptying: BTreeMap<Box<str>, Emptying>,
}

impl Waves {
    fn runner_of(&self, machine: &str) -> Option<&str> {
        self.machines.get(machine).and_then(|machine| machine.runner.as_deref())
    }
}

impl Leader {
    pub(super) fn wave_start(&mut self, token: RequestToken, wave: Wave) -> Option<CellResponse> {
        // A repeated request is acknowledged again.
        if self.state.wave(wave.id).is_some() {
            return Some(CellResponse::Ok);
        }
        log::info!("wave={} machines={} at-once={}", wave.id, wave.machines.len(), wave.at_once);
        self.propose(JobCommand::Wave(wave), OnCommit::Acknowledged(token));
        None
    }

    /// Advances all open waves.
    pub(super) fn keep_waves(&mut self, now: Now) {
        let open: Vec<u64> =
            self.state.waves().filter(|w| !w.is_done()).map(|w| w.wave.id).collect();
        if open.is_empty() {
            return;
        }
        self.read_machines(now);
        self.note_returns();
        for wave in open {
            self.choose_machines(now, wave);
        }
        self.empty_machines(now);
    }

    fn read_machines(&mut self, now: Now) {
        let waits = self.waves.reading.is_some_and(|(_, at)| now.at.since(at) < ANSWER_MAX);
        let fresh = self.waves.read.is_some_and(|at| now.at.since(at) < READ_EVERY);
        if waits || fresh {
            return;
        }
        self.waves.page.clear();
        let call = self.call(ExternalCall::Machines { page: None });
        self.waves.reading = Some((call, now.at));
    }

    /// Proposes the end of upkeep for machines that are up again or have left the platform.
    fn note_returns(&mut self) {
        let mut done: Vec<(u64, Box<str>)> = Vec::new();
        for wave in self.state.waves() {
            for machine in wave.away() {
                let found = self.waves.machines.get(machine);
                let back = found.is_some_and(|m| m.state == MachineState::Up)
                    && self.waves.runner_of(machine) != wave.runner_before(machine);
                // A machine that is no longer listed has left for good.
                let left = self.waves.read.is_some() && found.is_none();
                if back || left {
                    done.push((wave.wave.id, Box::from(machine)));
                }
            }
        }
        for (wave, machine) in done {
            if self.noting.insert((wave, machine.clone())) {
                self.propose(JobCommand::UpkeepDone { wave, machine }, OnCommit::Nothing);
            }
        }
    }

    fn choose_machines(&mut self, now: Now, id: u64) {
        let Some(wave) = self.state.wave(id) else { return };
        let away = wave.away().count();
        let emptying = self.waves.emptying.values().filter(|e| e.wave == id).count();
        let mut room = (wave.wave.at_once as usize).saturating_sub(away + emptying);
        let waiting: Vec<Box<str>> = wave
            .waiting()
            .filter(|machine| !self.waves.emptying.contains_key(*machine))
            .map(Box::from)
            .collect();
        for machine in waiting {
            if room == 0 {
                return;
            }
            let Some(found) = self.waves.machines.get(&machine) else { continue };
            if found.state != MachineState::Up {
                continue;
            }
            room -= 1;
            log::info!("wave={id} emptying machine={machine}");
            let emptying = Emptying { wave: id, since: now.at, not_before: now.at, ordered: None };
            self.waves.emptying.insert(machine, emptying);
        }
    }

    /// Stops long-running tasks on machines that are drained, and orders the upkeep of
    /// machines that are empty or have been drained for `EMPTY_MAX`.
    fn empty_machines(&mut self, now: Now) {
        let machines: Vec<Box<str>> = self.waves.emptying.keys().cloned().collect();
        for machine in machines {
            let incarnation =
                self.waves.runner_of(&machine).and_then(|id| self.incarnations.newest(id));
            let empty = incarnation.is_none_or(|incarnation| self.empty_runner(incarnation));
            let Some(emptying) = self.waves.emptying.get_mut(&machine) else { continue };
            let late = now.at.since(emptying.since) > EMPTY_MAX;
            let lasting = incarnation.is_some_and(|incarnation| {
                self.state
                    .assigned_runs(incarnation)
                    .any(|(task, _)| self.ready.step_of(task).is_some_and(|step| step.long_running))
            });
            let waits = emptying.ordered.is_some_and(|(_, at)| now.at.since(at) < ANSWER_MAX);
            if waits || now.at < emptying.not_before || lasting || !(empty || late) {
                continue;
            }
            let wave = emptying.wave;
            let holder = self.cfg_name.clone();
            let call =
                ExternalCall::Upkeep { machine: machine.clone(), wave, holder, token: self.term };
            let call = self.call(call);
            if let Some(emptying) = self.waves.emptying.get_mut(&machine) {
                emptying.ordered = Some((call, now.at));
            }
        }
    }

    /// Stops long-running tasks on a runner as far as their disruption budgets allow; true if
    /// no run is left there.
    fn empty_runner(&mut self, incarnation: IncarnationKey) -> bool {
        let tasks: Vec<TaskKey> =
            self.state.assigned_runs(incarnation).map(|(task, _)| task).collect();
        let mut stopping = BTreeSet::new();
        for task in &tasks {
            if self.may_disrupt(*task, &stopping) {
                stopping.insert(*task);
            }
        }
        let Some(runner) = self.runners.get_mut(&incarnation) else { return tasks.is_empty() };
        runner.closing = true;
        for task in stopping {
            if let Some(view) = runner.running.get_mut(&task) {
                view.stopping = true;
            }
        }
        tasks.is_empty()
    }

    /// Whether a long-running task may be stopped now: fewer other tasks of its step are not
    /// working than its document allows.
    pub(super) fn may_disrupt(&self, task: TaskKey, also: &BTreeSet<TaskKey>) -> bool {
        let Some(step) = self.state.step_spec(task) else { return false };
        if !step.long_running {
            return false;
        }
        let Some(most) = step.disruptions_max else { return true };
        let away = (0..step.count)
            .map(|index| TaskKey { index: u16::try_from(index).unwrap_or(u16::MAX), ..task })
            .filter(|other| *other != task && (also.contains(other) || !self.is_at_work(*other)))
            .count();
        away < most as usize
    }

    fn is_at_work(&self, task: TaskKey) -> bool {
        let assignments =
            self.state.task(task).map(|state| state.assignments.as_slice()).unwrap_or_default();
        assignments.iter().any(|assignment| {
            let view = self.runners.get(&assignment.incarnation).and_then(|r| r.running.get(&task));
            view.is_some_and(|view| {
                view.run == assignment.run && view.percent >= 100 && !view.stopping
            })
        })
    }

    /// Handles a reply of the platform.
    pub(super) fn machines_told(&mut self, now: Now, call: ExternalCallId, told: ExternalReply) {
        if self.waves.reading.is_some_and(|(reading, _)| reading == call) {
            return self.list_told(now, told);
        }
        let ordered = |emptying: &Emptying| emptying.ordered.is_some_and(|(id, _)| id == call);
        let found = self.waves.emptying.iter().find(|(_, emptying)| ordered(emptying));
        let Some((machine, wave)) = found.map(|(name, e)| (name.clone(), e.wave)) else { return };
        log::info!("wave={wave} machine={machine} upkeep reply: {told:?}");
        if told == ExternalReply::Done {
            self.waves.emptying.remove(&machine);
            let runner = self.waves.runner_of(&machine).map(Box::from);
            self.propose(JobCommand::UpkeepBegun { wave, machine, runner }, OnCommit::Nothing);
        } else if let Some(emptying) = self.waves.emptying.get_mut(&machine) {
            emptying.ordered = None;
            emptying.not_before = now.at + AGAIN_AFTER;
        }
    }

    fn list_told(&mut self, now: Now, told: ExternalReply) {
        self.waves.reading = None;
        self.waves.read = self.waves.read.or(Some(now.at));
        let ExternalReply::Machines { machines, next } = told else {
            self.waves.read = Some(now.at);
            return;
        };
        self.waves.page.extend(machines);
        if let Some(page) = next {
            let call = self.call(ExternalCall::Machines { page: Some(page) });
            self.waves.reading = Some((call, now.at));
            return;
        }
        let whole = std::mem::take(&mut self.waves.page);
        self.waves.machines = whole.into_iter().map(|m| (m.name.clone(), m)).collect();
        self.waves.read = Some(now.at);
    }
}
