//! Maintenance waves: machines go down for maintenance a few at a time. Each machine is
//! drained first, so that no long-running step loses more tasks than its document allows.

use crate::jobs::external::{ExternalCall, ExternalCallId, ExternalReply, Machine, MachineState};
use crate::jobs::leader::{Leader, Now, OnCommit, RequestToken};
use crate::jobs::messages::CellResponse;
use crate::moment::Moment;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use yuccalink_state::jobs::{IncarnationKey, JobCommand, TaskKey, Wave};

/// Interval at which the list of machines is read during a wave. The platform limits the
/// reads of all nodes together.
const LIST_INTERVAL: Duration = Duration::from_millis(700);
/// Longest wait for a reply of the platform.
const REPLY_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long tasks that are not long-running may go on while their machine is drained.
const DRAIN_TIME_MAX: Duration = Duration::from_millis(4_000);
/// Delay before a refused maintenance order is retried.
const MAINTENANCE_RETRY_DELAY: Duration = Duration::from_millis(1_000);
/// Machines named in each list of a line about a wave.
const MACHINES_LOGGED: usize = 8;
/// Refusals in a row after which a machine gets tasks again for [`RELEASE_DURATION`].
const REFUSALS_MAX: u32 = 5;
const RELEASE_DURATION: Duration = Duration::from_secs(10);
/// A machine that is listed as up this long after its order was confirmed is back, whatever its
/// runner is called. Earlier, the list may be older than the confirmation.
const LIST_SETTLED_AFTER: Duration = Duration::from_millis(2_500);

/// A machine that is drained before its maintenance.
#[derive(Debug)]
struct DrainingMachine {
    wave: u64,
    since: Moment,
    not_before: Moment,
    ordered: Option<(ExternalCallId, Moment)>,
    /// The runner on the machine when its maintenance was first ordered. A repeated order may find
    /// the runner that came after it.
    runner_before: Option<Option<Box<str>>>,
    refusals: u32,
}

/// A machine whose order for maintenance was confirmed.
#[derive(Debug)]
struct ConfirmedOrder {
    at: Moment,
    /// The incarnation that was on the machine at the order and may have ended by it.
    incarnation: Option<IncarnationKey>,
}

/// State of machines and waves that the leader keeps outside of the replicated state.
#[derive(Debug, Default)]
pub(in crate::jobs) struct Waves {
    machines: BTreeMap<Box<str>, Machine>,
    page: Vec<Machine>,
    pending_read: Option<(ExternalCallId, Moment)>,
    last_read: Option<Moment>,
    /// When the list in `machines` was requested, or the one that is being read.
    list_requested: Moment,
    next_list_requested: Moment,
    /// A whole list was read, so that a machine which is not in it has left the platform.
    listed: bool,
    draining: BTreeMap<Box<str>, DrainingMachine>,
    /// Confirmed orders of machines that are not back, by wave and machine.
    confirmed: BTreeMap<(u64, Box<str>), ConfirmedOrder>,
    /// Whether a runner may be marked as going down for maintenance.
    has_marked: bool,
    /// Machines that get tasks although their maintenance is due, because it was refused.
    released: BTreeMap<Box<str>, Moment>,
}

impl Waves {
    fn runner_of(&self, machine: &str) -> Option<&str> {
        self.machines.get(machine).and_then(|machine| machine.runner.as_deref())
    }
}

impl Leader {
    pub(in crate::jobs) fn wave_start(
        &mut self,
        token: RequestToken,
        wave: Wave,
    ) -> Option<CellResponse> {
        // A repeated request is acknowledged again.
        if self.state.wave(wave.id).is_some() {
            return Some(CellResponse::Ok);
        }
        log::info!("wave={} machines={} at-once={}", wave.id, wave.machines.len(), wave.at_once);
        self.propose(JobCommand::Wave(wave), OnCommit::Acknowledged(token));
        None
    }

    /// Advances all open waves.
    pub(in crate::jobs) fn advance_waves(&mut self, now: Now) {
        let open: Vec<u64> =
            self.state.waves().filter(|w| !w.is_done()).map(|w| w.wave.id).collect();
        if open.is_empty() {
            self.waves.draining.clear();
            self.waves.confirmed.clear();
            self.mark_maintenance_pending();
            return;
        }
        self.waves.released.retain(|_, until| now.at < *until);
        self.forget_ended_orders();
        self.read_machines(now);
        self.propose_maintenance_ends(now);
        for wave in open {
            self.choose_machines(now, wave);
        }
        self.mark_maintenance_pending();
        self.drain_machines(now);
    }

    /// Forgets the orders of machines whose maintenance has ended.
    fn forget_ended_orders(&mut self) {
        let state = &self.state;
        let ended = |wave: u64, machine: &str| {
            state.wave(wave).is_none_or(|wave| wave.is_machine_done(machine))
        };
        self.waves.draining.retain(|machine, draining| !ended(draining.wave, machine));
        self.waves.confirmed.retain(|(wave, machine), _| !ended(*wave, machine));
    }

    /// Marks the runners whose machines go down for maintenance, and only those: a runner that came
    /// back after it takes tasks.
    fn mark_maintenance_pending(&mut self) {
        let draining = self.waves.draining.keys();
        let draining = draining.filter_map(|machine| {
            self.waves.runner_of(machine).and_then(|id| self.incarnations.newest(id))
        });
        let confirmed = self.waves.confirmed.values().filter_map(|order| order.incarnation);
        let pending: BTreeSet<IncarnationKey> = draining.chain(confirmed).collect();
        if pending.is_empty() && !self.waves.has_marked {
            return;
        }
        self.waves.has_marked = !pending.is_empty();
        for (key, runner) in &mut self.runners {
            let was_pending =
                std::mem::replace(&mut runner.maintenance_pending, pending.contains(key));
            if was_pending && !runner.maintenance_pending {
                log::info!("runner={} takes tasks again: its maintenance is over", runner.id);
            }
        }
    }

    fn read_machines(&mut self, now: Now) {
        let waits = self.waves.pending_read.is_some_and(|(_, at)| now.at.since(at) < REPLY_TIMEOUT);
        let fresh = self.waves.last_read.is_some_and(|at| now.at.since(at) < LIST_INTERVAL);
        if waits || fresh {
            return;
        }
        self.waves.page.clear();
        self.waves.next_list_requested = now.at;
        let call = self.call(ExternalCall::Machines { page: None });
        self.waves.pending_read = Some((call, now.at));
    }

    /// Proposes the end of maintenance for machines that are up again or have left the platform.
    fn propose_maintenance_ends(&mut self, now: Now) {
        let mut done: Vec<(u64, Box<str>)> = Vec::new();
        for wave in self.state.waves() {
            for machine in wave.in_maintenance() {
                let found = self.waves.machines.get(machine);
                // An order of an earlier leader was confirmed before this one took over.
                let order = self.waves.confirmed.entry((wave.wave.id, machine.into()));
                let order = order.or_insert(ConfirmedOrder { at: now.at, incarnation: None });
                let settled = self.waves.list_requested >= order.at + LIST_SETTLED_AFTER;
                let runner = found.and_then(|machine| machine.runner.as_deref());
                let back = found.is_some_and(|m| m.state == MachineState::Up)
                    && self.waves.list_requested >= order.at
                    && (settled || runner != wave.runner_before(machine));
                // A machine that is no longer listed has left for good.
                let left =
                    self.waves.listed && found.is_none() && self.waves.list_requested >= order.at;
                if back || left {
                    done.push((wave.wave.id, Box::from(machine)));
                }
            }
        }
        for (wave, machine) in done {
            if self.proposed_maintenance_ends.insert((wave, machine.clone())) {
                self.propose(JobCommand::UpkeepDone { wave, machine }, OnCommit::Nothing);
            }
        }
    }

    fn choose_machines(&mut self, now: Now, id: u64) {
        let Some(wave) = self.state.wave(id) else { return };
        let in_maintenance = wave.in_maintenance().count();
        let draining = self.waves.draining.values().filter(|e| e.wave == id).count();
        let is_confirmed =
            |machine: &&str| self.waves.confirmed.contains_key(&(id, Box::from(*machine)));
        let confirmed = wave.waiting().filter(is_confirmed).count();
        let waiting: Vec<Box<str>> = wave
            .waiting()
            .filter(|machine| !self.waves.draining.contains_key(*machine))
            .filter(|machine| !is_confirmed(machine))
            .map(Box::from)
            .collect();
        // The platform may have begun the maintenance of these for an earlier leader, which did
        // not commit it.
        let known = waiting.iter().filter_map(|machine| self.waves.machines.get(machine));
        let away = known.filter(|machine| machine.state == MachineState::Away).count();
        let down = in_maintenance + confirmed + draining + away;
        let mut slots = (wave.wave.at_once as usize).saturating_sub(down);
        for machine in waiting {
            if slots == 0 {
                return;
            }
            let Some(found) = self.waves.machines.get(&machine) else { continue };
            let is_released = self.waves.released.contains_key(&machine);
            if found.state != MachineState::Up || is_released {
                continue;
            }
            slots -= 1;
            log::info!("wave={id} emptying machine={machine}");
            let draining = DrainingMachine {
                wave: id,
                since: now.at,
                not_before: now.at,
                ordered: None,
                runner_before: None,
                refusals: 0,
            };
            self.waves.draining.insert(machine, draining);
        }
    }

    /// Stops long-running tasks on the machines to drain. Orders the maintenance of a machine
    /// once it has no long-running task left, and either it has no other run left or
    /// `DRAIN_TIME_MAX` has passed.
    fn drain_machines(&mut self, now: Now) {
        let machines: Vec<Box<str>> = self.waves.draining.keys().cloned().collect();
        for machine in machines {
            let incarnation =
                self.waves.runner_of(&machine).and_then(|id| self.incarnations.newest(id));
            let empty = incarnation.is_none_or(|incarnation| self.drain_runner(incarnation));
            let Some(draining) = self.waves.draining.get_mut(&machine) else { continue };
            let late = now.at.since(draining.since) > DRAIN_TIME_MAX;
            let has_long_running = incarnation.is_some_and(|incarnation| {
                self.state
                    .assigned_runs(incarnation)
                    .any(|(task, _)| self.ready.step_of(task).is_some_and(|step| step.long_running))
            });
            let waits = draining.ordered.is_some_and(|(_, at)| now.at.since(at) < REPLY_TIMEOUT);
            if waits || now.at < draining.not_before || has_long_running || !(empty || late) {
                continue;
            }
            let wave = draining.wave;
            let runner = self.waves.machines.get(&machine).and_then(|found| found.runner.clone());
            let holder = self.node_name.clone();
            let call =
                ExternalCall::Upkeep { machine: machine.clone(), wave, holder, token: self.term };
            let call = self.call(call);
            if let Some(draining) = self.waves.draining.get_mut(&machine) {
                draining.ordered = Some((call, now.at));
                draining.runner_before.get_or_insert(runner);
            }
        }
    }

    /// Stops long-running tasks on a runner as far as their disruption budgets allow; true if
    /// no run is left there.
    fn drain_runner(&mut self, incarnation: IncarnationKey) -> bool {
        let tasks: Vec<TaskKey> =
            self.state.assigned_runs(incarnation).map(|(task, _)| task).collect();
        let mut stopping = BTreeSet::new();
        for task in &tasks {
            if self.may_disrupt(*task, &stopping) {
                stopping.insert(*task);
            }
        }
        let Some(runner) = self.runners.get_mut(&incarnation) else { return tasks.is_empty() };
        for task in stopping {
            if let Some(view) = runner.running.get_mut(&task) {
                view.stopping = true;
            }
        }
        tasks.is_empty()
    }

    /// Whether a long-running task may be stopped now, because fewer other tasks of its step
    /// are interrupted than its document allows.
    pub(in crate::jobs) fn may_disrupt(
        &self,
        task: TaskKey,
        also_stopping: &BTreeSet<TaskKey>,
    ) -> bool {
        let Some(step) = self.state.step_spec(task) else { return false };
        if !step.long_running {
            return false;
        }
        let Some(most) = step.disruptions_max else { return true };
        let disrupted = (0..step.count)
            .map(|index| TaskKey { index: u16::try_from(index).unwrap_or(u16::MAX), ..task })
            .filter(|other| {
                *other != task && (also_stopping.contains(other) || !self.is_working(*other))
            })
            .count();
        disrupted < most as usize
    }

    pub(in crate::jobs) fn is_working(&self, task: TaskKey) -> bool {
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
    pub(in crate::jobs) fn handle_platform_reply(
        &mut self,
        now: Now,
        call: ExternalCallId,
        reply: ExternalReply,
    ) {
        if self.waves.pending_read.is_some_and(|(pending_read, _)| pending_read == call) {
            return self.handle_machine_page(now, reply);
        }
        let ordered =
            |draining: &DrainingMachine| draining.ordered.is_some_and(|(id, _)| id == call);
        let found = self.waves.draining.iter().find(|(_, draining)| ordered(draining));
        let Some((machine, wave)) = found.map(|(name, e)| (name.clone(), e.wave)) else { return };
        log::info!("wave={wave} machine={machine} upkeep reply: {reply:?}");
        if reply == ExternalReply::Done {
            return self.confirm_maintenance(now, wave, machine);
        }
        self.counts.maintenance_orders_failed += 1;
        let Some(draining) = self.waves.draining.get_mut(&machine) else { return };
        draining.ordered = None;
        draining.not_before = now.at + MAINTENANCE_RETRY_DELAY;
        if reply == ExternalReply::Refused {
            draining.refusals += 1;
        }
        if draining.refusals >= REFUSALS_MAX {
            log::warn!(
                "wave={wave} machine={machine} refused {REFUSALS_MAX} times: gets tasks again"
            );
            self.waves.draining.remove(&machine);
            self.waves.released.insert(machine, now.at + RELEASE_DURATION);
        }
    }

    fn confirm_maintenance(&mut self, now: Now, wave: u64, machine: Box<str>) {
        let incarnation =
            self.waves.runner_of(&machine).and_then(|id| self.incarnations.newest(id));
        let draining = self.waves.draining.remove(&machine);
        let runner = draining.and_then(|draining| draining.runner_before).flatten();
        let order = ConfirmedOrder { at: now.at, incarnation };
        self.waves.confirmed.insert((wave, machine.clone()), order);
        self.propose(JobCommand::UpkeepBegun { wave, machine, runner }, OnCommit::Nothing);
    }

    /// Logs what each open wave waits for.
    pub(in crate::jobs) fn log_waves(&self, now: Now) {
        for wave in self.state.waves().filter(|wave| !wave.is_done()) {
            let id = wave.wave.id;
            let draining = self.waves.draining.iter().filter(|(_, draining)| draining.wave == id);
            let draining: Vec<String> = draining
                .take(MACHINES_LOGGED)
                .map(|(machine, draining)| match draining.ordered {
                    Some((_, at)) => format!("{machine}:answer-for={:?}", now.at.since(at)),
                    None => format!("{machine}:empty-for={:?}", now.at.since(draining.since)),
                })
                .collect();
            let away: Vec<&str> = wave.in_maintenance().take(MACHINES_LOGGED).collect();
            log::info!(
                "wave={id} waiting={} draining=[{}] in-maintenance=[{}]",
                wave.waiting().count(),
                draining.join(" "),
                away.join(" ")
            );
        }
    }

    fn handle_machine_page(&mut self, now: Now, reply: ExternalReply) {
        self.waves.pending_read = None;
        let ExternalReply::Machines { machines, next } = reply else {
            self.waves.last_read = Some(now.at);
            return;
        };
        self.waves.page.extend(machines);
        if let Some(page) = next {
            let call = self.call(ExternalCall::Machines { page: Some(page) });
            self.waves.pending_read = Some((call, now.at));
            return;
        }
        let whole = std::mem::take(&mut self.waves.page);
        self.waves.list_requested = self.waves.next_list_requested;
        self.waves.machines = whole.into_iter().map(|m| (m.name.clone(), m)).collect();
        self.waves.listed = true;
        self.waves.last_read = Some(now.at);
    }
}
