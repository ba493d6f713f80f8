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
    /// Placements in the order of the tasks' ranks.
    pub decisions: Vec<Decision>,
    /// Waiting tasks for which no worker has enough free capacity now.
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

/// Checks that some worker could run `need` if it were empty.
///
/// # Errors
/// Returns [`Impossible`] with the largest capacities of the workers.
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

struct Room {
    key: WorkerKey,
    free: Resources,
    capacity: Resources,
    rack: Name,
    zone: Name,
}

/// Number of tasks of one service and kind in each rack or zone, depending on the kind's
/// spread.
type Neighbours = HashMap<(ServiceKey, Name), HashMap<Name, u32>>;

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
    rooms: Vec<Room>,
    full_for: HashSet<Resources>,
    neighbours: Option<Neighbours>,
}

impl<'a> Planner<'a> {
    fn new(state: &'a StateMachine) -> Self {
        let live = state.workers().filter(|(_, w)| w.phase == WorkerPhase::Live);
        let rooms = live.map(|(key, worker)| Room {
            key,
            free: worker.free(),
            capacity: worker.spec.capacity,
            rack: worker.spec.rack.clone(),
            zone: worker.spec.zone.clone(),
        });
        let rooms = rooms.collect();
        Self { state, rooms, full_for: HashSet::new(), neighbours: None }
    }

    fn place(&mut self, task: &Task) -> Option<Decision> {
        // A need that fits no worker now fits none later in this plan. Skipping it avoids one scan
        // of all workers per task in a long queue of equal tasks.
        if self.full_for.contains(&task.need) {
            return None;
        }
        let kind = self.state.kind_of(task);
        let spread = kind.map_or(Spread::None, |kind| kind.spread);
        let class = kind.map_or(TaskClass::Batch, |kind| kind.class);
        let near = self.neighbours_of(task, spread);
        let mut best = None;
        let mut passed_over = 0;
        for (at, room) in self.rooms.iter().enumerate() {
            let Some(left) = room.free.minus(task.need) else {
                passed_over += 1;
                continue;
            };
            let crowd = spread_place(spread, room).and_then(|place| near.get(place));
            let rank = (crowd.copied().unwrap_or(0), packing(class, left, room.capacity));
            if best.is_none_or(|(least, _)| rank < least) {
                best = Some((rank, at));
            }
        }
        let Some((_, at)) = best else {
            self.full_for.insert(task.need);
            return None;
        };
        let room = &mut self.rooms[at];
        room.free = room.free.minus(task.need)?;
        let decision = Decision { task: task.id, worker: room.key, passed_over };
        self.note_neighbour(task, spread, at);
        Some(decision)
    }

    fn neighbours_of(&mut self, task: &Task, spread: Spread) -> HashMap<Name, u32> {
        if spread == Spread::None {
            return HashMap::new();
        }
        let state = self.state;
        let all = self.neighbours.get_or_insert_with(|| count_neighbours(state));
        all.get(&(task.service, task.kind.clone())).cloned().unwrap_or_default()
    }

    fn note_neighbour(&mut self, task: &Task, spread: Spread, at: usize) {
        let Some(place) = spread_place(spread, &self.rooms[at]).cloned() else { return };
        let Some(all) = &mut self.neighbours else { return };
        let counts = all.entry((task.service, task.kind.clone())).or_default();
        *counts.entry(place).or_default() += 1;
    }
}

fn count_neighbours(state: &StateMachine) -> Neighbours {
    let mut all = Neighbours::new();
    for (key, worker) in state.workers() {
        for task in state.tasks_on_worker(key) {
            let place = match state.kind_of(task).map(|kind| kind.spread) {
                Some(Spread::Racks) => &worker.spec.rack,
                Some(Spread::Zones) => &worker.spec.zone,
                Some(Spread::None) | None => continue,
            };
            let counts = all.entry((task.service, task.kind.clone())).or_default();
            *counts.entry(place.clone()).or_default() += 1;
        }
    }
    all
}

fn spread_place(spread: Spread, room: &Room) -> Option<&Name> {
    match spread {
        Spread::None => None,
        Spread::Racks => Some(&room.rack),
        Spread::Zones => Some(&room.zone),
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
    let empty = cores + memory + accelerators;
    match class {
        TaskClass::Batch => empty,
        TaskClass::LatencyCritical => u64::MAX - empty,
    }
}
