//! Application of worker commands: up, leaving and gone.

use super::*;
impl StateMachine {
    pub(super) fn worker_up(&mut self, spec: WorkerSpec) -> Outcome {
        if let Some(key) = self.worker_keys.get(&spec.name).copied() {
            let worker = &mut self.workers[key.0 as usize];
            let same_incarnation = worker.spec.incarnation == spec.incarnation;
            if worker.tasks > 0 && !same_incarnation {
                return Outcome::WorkerBusy;
            }
            if worker.tasks > 0 && !spec.capacity.covers(worker.committed) {
                return Outcome::WorkerBusy;
            }
            worker.spec = spec;
            worker.phase = WorkerPhase::Live;
            return Outcome::WorkerUp(key);
        }
        let worker =
            Worker { spec, phase: WorkerPhase::Live, committed: Resources::ZERO, tasks: 0 };
        let name = worker.spec.name.clone();
        let key = self.free_slot();
        match self.workers.get_mut(key.0 as usize) {
            Some(old) => {
                self.worker_keys.remove(&old.spec.name);
                *old = worker;
            }
            None => {
                self.workers.push(worker);
                self.tasks_by_worker.push(BTreeSet::new());
            }
        }
        self.worker_keys.insert(name, key);
        Outcome::WorkerUp(key)
    }

    pub(super) fn free_slot(&self) -> WorkerKey {
        let gone = self.workers.iter().position(|worker| worker.phase == WorkerPhase::Gone);
        worker_key(gone.unwrap_or(self.workers.len()))
    }

    pub(super) fn worker_leaving(&mut self, name: &Name, incarnation: Incarnation) -> Outcome {
        match self.live_worker(name, incarnation) {
            Some(key) => {
                self.workers[key.0 as usize].phase = WorkerPhase::Leaving;
                Outcome::Done
            }
            None => Outcome::Unknown(Missing::Worker(name.clone())),
        }
    }

    pub(super) fn worker_gone(&mut self, name: &Name, incarnation: Incarnation) -> Outcome {
        let Some(key) = self.live_worker(name, incarnation) else {
            return Outcome::Unknown(Missing::Worker(name.clone()));
        };
        let tasks: Box<[TaskId]> = self.tasks_by_worker[key.0 as usize].iter().copied().collect();
        for id in &tasks {
            let phase = self.tasks.get(id).map(|task| task.phase.clone());
            if let Some(phase) = phase {
                self.leave_worker(*id, &phase);
            }
        }
        self.workers[key.0 as usize].phase = WorkerPhase::Gone;
        Outcome::Freed(tasks)
    }

    pub(super) fn live_worker(&self, name: &Name, incarnation: Incarnation) -> Option<WorkerKey> {
        let key = *self.worker_keys.get(name)?;
        let worker = self.worker_at(key);
        (worker.spec.incarnation == incarnation && worker.phase != WorkerPhase::Gone).then_some(key)
    }
}
