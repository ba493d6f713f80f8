//! Starts that are proposed but not committed, found by task, by job and by runner incarnation.

use crate::jobs::ready::StepKey;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use yuccalink_state::jobs::{IncarnationKey, JobId, RunStart, TaskKey};

/// Each lookup takes the same time however many starts wait for the log.
#[derive(Debug, Default)]
pub(in crate::jobs) struct Starting {
    by_task: BTreeMap<TaskKey, RunStart>,
    by_incarnation: HashMap<IncarnationKey, BTreeSet<TaskKey>>,
}

impl Starting {
    pub(in crate::jobs) fn add(&mut self, start: RunStart) {
        self.remove(start.task);
        self.by_task.insert(start.task, start);
        self.by_incarnation.entry(start.incarnation).or_default().insert(start.task);
    }

    pub(in crate::jobs) fn remove(&mut self, task: TaskKey) {
        let Some(start) = self.by_task.remove(&task) else { return };
        if let Some(tasks) = self.by_incarnation.get_mut(&start.incarnation) {
            tasks.remove(&task);
            if tasks.is_empty() {
                self.by_incarnation.remove(&start.incarnation);
            }
        }
    }

    pub(in crate::jobs) fn contains(&self, task: TaskKey) -> bool {
        self.by_task.contains_key(&task)
    }

    /// Starts on one runner incarnation.
    pub(in crate::jobs) fn on(
        &self,
        incarnation: IncarnationKey,
    ) -> impl Iterator<Item = RunStart> {
        let tasks = self.by_incarnation.get(&incarnation).into_iter().flatten();
        tasks.filter_map(|task| self.by_task.get(task).copied())
    }

    /// All tasks that are to start.
    pub(in crate::jobs) fn tasks(&self) -> impl Iterator<Item = TaskKey> {
        self.by_task.keys().copied()
    }

    /// Number of starts of one step on one runner incarnation.
    pub(in crate::jobs) fn count_of_step(
        &self,
        incarnation: IncarnationKey,
        step_key: StepKey,
    ) -> usize {
        self.on(incarnation).filter(|start| StepKey::of(start.task) == step_key).count()
    }

    /// Number of starts of one job.
    pub(in crate::jobs) fn count_of_job(&self, job: JobId) -> usize {
        let from = TaskKey { job, occurrence: 0, step: 0, index: 0 };
        let to = TaskKey { job, occurrence: u32::MAX, step: u16::MAX, index: u16::MAX };
        self.by_task.range(from..=to).count()
    }
}
