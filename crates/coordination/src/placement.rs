//! Placement: decides which worker gets which waiting task. It plans from the replicated state;
//! the state machine checks each placement again when it is committed.

use std::collections::{HashMap, HashSet};
use yuccalink_state::command::Placement;
use yuccalink_state::document::{Spread, TaskClass};
use yuccalink_state::id::{Name, ServiceKey, TaskId, WorkerKey};
use yuccalink_state::task::Task;
use yuccalink_state::worker::WorkerPhase;
use yuccalink_state::{Resources, StateMachine};

/// Maximum number of placements in one plan; bounds the size of one commit.
pub const PLAN_MAX: usize = 4096;

/// One planned placement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// The task.
    pub task: TaskId,
    /// The worker that it is placed on.
    pub worker: WorkerKey,
    /// Live workers without enough free capacity for the task.
    pub passed_over: usize,
}

/// The placements to commit now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Placements in the order of the waiting tasks, the most urgent first.
    pub decisions: Vec<Decision>,
    /// Number of waiting tasks for which no worker has enough free capacity now. Tasks after
    /// the last placement of a full plan are not counted.
    pub no_room: usize,
}

impl Plan {
    /// The placements in the form that the state machine's command takes.
    ///
    /// ```
    /// # use yuccalink_coordination::placement::Plan;
    /// assert!(Plan::default().placements().is_empty());
    /// ```
    pub fn placements(&self) -> Box<[Placement]> {
        self.decisions.iter().map(|d| Placement { task: d.task, worker: d.worker }).collect()
    }
}

/// Why no worker could run a task with this need.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum Impossible {
    /// no worker has announced itself yet
    NoWorker,
    /// no worker is large enough: the largest have {millicores} millicores, {memory_mib} MiB and {accelerators} accelerators; lower `needs` in the document
    TooLarge {
        /// Largest CPU capacity of any worker.
        millicores: u64,
        /// Largest memory of any worker.
        memory_mib: u64,
        /// Largest number of accelerators of any worker.
        accelerators: u32,
    },
}

/// Checks that some worker that is not gone could run a task with this need if the worker were
/// empty.
///
/// # Errors
/// [`Impossible::NoWorker`] if there is no such worker, [`Impossible::TooLarge`] if none is large
/// enough.
///
/// ```
/// # use yuccalink_coordination::placement::{possible, Impossible};
/// # use yuccalink_state::{StateMachine, Resources};
/// assert_eq!(possible(&StateMachine::new(), Resources::ZERO), Err(Impossible::NoWorker));
/// ```
pub fn possible(state: &StateMachine, need: Resources) -> Result<(), Impossible> {
    let known = || state.workers().filter(|(_, w)| w.phase != WorkerPhase::Gone);
    if known().any(|(_, worker)| worker.spec.capacity.covers(need)) {
        return Ok(());
    }
    if known().next().is_none() {
        return Err(Impossible::NoWorker);
    }
    let most = |amount: fn(&Resources) -> u64| {
        known().map(|(_, w)| amount(&w.spec.capacity)).max().unwrap_or(0)
    };
    Err(Impossible::TooLarge {
        millicores: most(|r| r.millicores),
        memory_mib: most(|r| r.memory_mib),
        accelerators: u32::try_from(most(|r| u64::from(r.accelerators))).unwrap_or(u32::MAX),
    })
}

struct WorkerCapacity {
    key: WorkerKey,
    free: Resources,
    capacity: Resources,
    rack: Name,
    zone: Name,
}

/// Number of tasks of one service and kind in each rack or zone, depending on the kind's
/// spread.
type SpreadCounts = HashMap<(ServiceKey, Name), HashMap<Name, u32>>;

/// Plans placements for the waiting tasks, the most urgent first.
///
/// ```
/// # use yuccalink_coordination::placement::{plan, Plan};
/// assert_eq!(plan(&yuccalink_state::StateMachine::new()), Plan::default());
/// ```
pub fn plan(state: &StateMachine) -> Plan {
    let mut planner = Planner::new(state);
    let mut plan = Plan::default();
    for task in state.waiting() {
        if plan.decisions.len() == PLAN_MAX {
            break;
        }
        match planner.place(task) {
            Some(decision) => plan.decisions.push(decision),
            None => plan.no_room += 1,
        }
    }
    plan
}

struct Planner<'a> {
    state: &'a StateMachine,
    workers: Vec<WorkerCapacity>,
    unplaceable: HashSet<Resources>,
    spread_counts: Option<SpreadCounts>,
}

impl<'a> Planner<'a> {
    fn new(state: &'a StateMachine) -> Self {
        let live = state.workers().filter(|(key, _)| state.takes_tasks(*key));
        let workers = live.map(|(key, worker)| WorkerCapacity {
            key,
            free: worker.free(),
            capacity: worker.spec.capacity,
            rack: worker.spec.rack.clone(),
            zone: worker.spec.zone.clone(),
        });
        let workers = workers.collect();
        Self { state, workers, unplaceable: HashSet::new(), spread_counts: None }
    }

    fn place(&mut self, task: &Task) -> Option<Decision> {
        // A need that fits no worker now fits none later in this plan. Skipping it avoids one scan
        // of all workers per task in a long queue of equal tasks.
        if self.unplaceable.contains(&task.need) {
            return None;
        }
        let kind = self.state.kind_of(task);
        let spread = kind.map_or(Spread::None, |kind| kind.spread);
        let class = kind.map_or(TaskClass::Batch, |kind| kind.class);
        let counts = self.counts_for(task, spread);
        let mut best = None;
        let mut passed_over = 0;
        for (at, worker) in self.workers.iter().enumerate() {
            let Some(left) = worker.free.minus(task.need) else {
                passed_over += 1;
                continue;
            };
            let in_domain = spread_domain(spread, worker).and_then(|domain| counts.get(domain));
            let rank = (in_domain.copied().unwrap_or(0), packing(class, left, worker.capacity));
            if best.is_none_or(|(least, _)| rank < least) {
                best = Some((rank, at));
            }
        }
        let Some((_, at)) = best else {
            self.unplaceable.insert(task.need);
            return None;
        };
        let worker = &mut self.workers[at];
        worker.free = worker.free.minus(task.need)?;
        let decision = Decision { task: task.id, worker: worker.key, passed_over };
        self.count_placement(task, spread, at);
        Some(decision)
    }

    fn counts_for(&mut self, task: &Task, spread: Spread) -> HashMap<Name, u32> {
        if spread == Spread::None {
            return HashMap::new();
        }
        let state = self.state;
        let by_kind = self.spread_counts.get_or_insert_with(|| count_tasks(state));
        by_kind.get(&(task.service, task.kind.clone())).cloned().unwrap_or_default()
    }

    fn count_placement(&mut self, task: &Task, spread: Spread, at: usize) {
        let Some(domain) = spread_domain(spread, &self.workers[at]).cloned() else { return };
        let Some(by_kind) = &mut self.spread_counts else { return };
        let counts = by_kind.entry((task.service, task.kind.clone())).or_default();
        *counts.entry(domain).or_default() += 1;
    }
}

fn count_tasks(state: &StateMachine) -> SpreadCounts {
    let mut by_kind = SpreadCounts::new();
    for (key, worker) in state.workers() {
        for task in state.tasks_on_worker(key) {
            let domain = match state.kind_of(task).map(|kind| kind.spread) {
                Some(Spread::Racks) => &worker.spec.rack,
                Some(Spread::Zones) => &worker.spec.zone,
                Some(Spread::None) | None => continue,
            };
            let counts = by_kind.entry((task.service, task.kind.clone())).or_default();
            *counts.entry(domain.clone()).or_default() += 1;
        }
    }
    by_kind
}

fn spread_domain(spread: Spread, worker: &WorkerCapacity) -> Option<&Name> {
    match spread {
        Spread::None => None,
        Spread::Racks => Some(&worker.rack),
        Spread::Zones => Some(&worker.zone),
    }
}

/// Packing score; smaller is better. A batch task takes the fullest worker with enough free
/// capacity, which keeps whole workers free for large tasks. A latency-critical task takes the
/// emptiest worker, where it meets the least interference.
fn packing(class: TaskClass, left: Resources, capacity: Resources) -> u64 {
    let share = |left: u64, all: u64| left.saturating_mul(1024) / all.max(1);
    let cores = share(left.millicores, capacity.millicores);
    let memory = share(left.memory_mib, capacity.memory_mib);
    let accelerators = share(left.accelerators.into(), capacity.accelerators.into());
    let free_share = cores + memory + accelerators;
    match class {
        TaskClass::Batch => free_share,
        TaskClass::LatencyCritical => u64::MAX - free_share,
    }
}
