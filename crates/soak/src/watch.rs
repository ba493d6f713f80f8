//! What runners and callers saw, checked against the promises while it comes in.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;
use yuccalink_coordination::jobs::JobState;
use yuccalink_fakes::emulator::RunnerEvent;
use yuccalink_state::jobs::{JobId, RunOutcome, TaskKey};

/// Time after an acknowledgement from which everybody must know of it.
const VISIBLE_AFTER: Duration = Duration::from_secs(3);

/// What a soak came to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SoakReport {
    /// Promises that were broken, in the order in which it showed.
    pub broken: Vec<String>,
    /// Jobs that were acknowledged.
    pub accepted: usize,
    /// Jobs that were seen completed.
    pub completed: usize,
    /// Jobs that were seen failed, since their tasks crash each runner.
    pub given_up: usize,
    /// Of these, jobs whose tasks crashed none.
    pub sound_given_up: usize,
    /// Runners that crashed.
    pub crashes: usize,
    /// Runs that began.
    pub starts: usize,
    /// Faults that were injected.
    pub faults: usize,
    /// From when all processes were started again at the end until each had answered a read
    /// of the change set, shortest first.
    pub read_back: Vec<Duration>,
}

#[derive(Default)]
struct Task {
    running: BTreeSet<usize>,
    done: bool,
    noted: bool,
    runs: BTreeSet<u32>,
    /// Runners that it made crash.
    crashes: usize,
    /// Runners that crashed while it ran there.
    lost_runners: usize,
    /// Its starts since the third of them.
    starts_after: usize,
}

/// Crashes of runners under a task after which it is hardly ever started again, and starts
/// after them that are too many.
const CRASHES_BORNE: usize = 3;
const STARTS_AFTER: usize = 3;

/// One runner's listed ends that are not noted yet.
type Listed = BTreeMap<u64, (TaskKey, RunOutcome)>;

#[derive(Default)]
pub(crate) struct Watch {
    pub(crate) report: SoakReport,
    tasks: BTreeMap<TaskKey, Task>,
    listed: BTreeMap<usize, Listed>,
    counts: BTreeMap<usize, u64>,
    accepted: BTreeMap<JobId, (Instant, u16)>,
    pub(crate) completed: BTreeSet<JobId>,
    given_up: BTreeSet<JobId>,
    pub(crate) version: Option<(u64, Instant)>,
}

impl Watch {
    fn broken(&mut self, what: String) {
        self.report.broken.push(what);
    }

    pub(crate) fn accepted(&mut self, id: JobId, tasks: u16) {
        self.accepted.entry(id).or_insert((Instant::now(), tasks));
        self.report.accepted = self.accepted.len();
    }

    pub(crate) fn open(&self) -> Vec<JobId> {
        let ended = |id: &JobId| self.completed.contains(id) || self.given_up.contains(id);
        self.accepted.keys().filter(|id| !ended(id)).copied().collect()
    }

    /// A caller asked at `asked` and was told a job's state, or that there is none.
    pub(crate) fn told(&mut self, id: JobId, asked: Instant, state: Option<JobState>) {
        let Some((at, tasks)) = self.accepted.get(&id).copied() else { return };
        match state {
            None if asked.duration_since(at) > VISIBLE_AFTER => {
                self.broken(format!("{id} was acknowledged and is not known"));
            }
            Some(JobState::Completed) => {
                let key = |index| TaskKey { job: id, occurrence: 0, step: 0, index };
                let missing = (0..tasks).find(|i| self.tasks.get(&key(*i)).is_none_or(|t| !t.done));
                if let Some(index) = missing {
                    self.broken(format!("{id} is completed and its task {index} is not done"));
                }
                self.completed.insert(id);
                self.report.completed = self.completed.len();
            }
            Some(JobState::Failed) if self.given_up.contains(&id) => {}
            Some(JobState::Failed) if self.lost_runners_of(id) >= 2 => {
                self.given_up.insert(id);
                let guilty = self.tasks.iter().any(|(key, task)| key.job == id && task.crashes > 0);
                self.report.sound_given_up += usize::from(!guilty);
                self.report.given_up = self.given_up.len();
            }
            Some(JobState::Failed | JobState::Cancelled) => {
                self.broken(format!("{id} is {state:?} and nobody failed or cancelled it"));
            }
            _ => {}
        }
    }

    /// Most runners that crashed under one task of a job.
    fn lost_runners_of(&self, id: JobId) -> usize {
        let of_job = self.tasks.iter().filter(|(key, _)| key.job == id);
        of_job.map(|(_, task)| task.lost_runners).max().unwrap_or(0)
    }

    /// A task made a runner crash: nothing is left of that life.
    pub(crate) fn crashed(&mut self, runner: usize, by: TaskKey) {
        self.report.crashes += 1;
        self.listed.remove(&runner);
        self.counts.remove(&runner);
        for task in self.tasks.values_mut() {
            task.lost_runners += usize::from(task.running.remove(&runner));
        }
        self.tasks.entry(by).or_default().crashes += 1;
    }

    /// A start brought a runner over its room.
    pub(crate) fn overfull(&mut self, runner: usize) {
        self.broken(format!("a start brings w{runner} over its room"));
    }

    /// An operator asked at `asked` and was told that this version is in force.
    pub(crate) fn in_force(&mut self, version: u64, asked: Instant) {
        if let Some((acknowledged, at)) = self.version
            && version < acknowledged
            && asked > at
        {
            self.broken(format!("version {version} is told after {acknowledged} was acknowledged"));
        }
    }

    /// What happened on a runner.
    pub(crate) fn happened(&mut self, runner: usize, events: Vec<RunnerEvent>) {
        for event in events {
            match event {
                RunnerEvent::Started { task, run, .. } => self.started(runner, task, run),
                RunnerEvent::Ended { task, outcome, .. } => self.ended(runner, task, outcome),
                RunnerEvent::EndsAcknowledged(upto) => self.noted(runner, upto),
                RunnerEvent::LeaseExpired(_) => {
                    self.listed.remove(&runner);
                }
            }
        }
    }

    fn started(&mut self, runner: usize, key: TaskKey, run: u32) {
        self.report.starts += 1;
        let task = self.tasks.entry(key).or_default();
        let elsewhere = !task.running.is_empty();
        let again = !task.runs.insert(run);
        let noted = task.noted;
        task.running.insert(runner);
        task.starts_after += usize::from(task.crashes >= CRASHES_BORNE);
        let too_often = task.starts_after >= STARTS_AFTER;
        if elsewhere {
            self.broken(format!("{key} run {run} starts while it runs elsewhere"));
        }
        if again {
            self.broken(format!("{key} run {run} starts twice"));
        }
        if too_often {
            self.broken(format!("{key} run {run} starts once more after three crashes"));
        }
        if noted {
            self.broken(format!("{key} run {run} starts after its end was noted"));
        }
    }

    fn ended(&mut self, runner: usize, key: TaskKey, outcome: RunOutcome) {
        let task = self.tasks.entry(key).or_default();
        task.running.remove(&runner);
        task.done |= outcome == RunOutcome::Done;
        let count = self.counts.entry(runner).or_default();
        *count += 1;
        self.listed.entry(runner).or_default().insert(*count, (key, outcome));
    }

    fn noted(&mut self, runner: usize, upto: u64) {
        let Some(listed) = self.listed.get_mut(&runner) else { return };
        let rest = listed.split_off(&(upto + 1));
        for (key, outcome) in std::mem::replace(listed, rest).into_values() {
            if outcome == RunOutcome::Done {
                self.tasks.entry(key).or_default().noted = true;
            }
        }
    }
}
