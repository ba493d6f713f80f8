//! Application of task commands: submit, cancel, place, evict and report.

use super::*;
impl StateMachine {
    pub(super) fn submit(&mut self, submission: TaskSubmission) -> Outcome {
        if let Some(known) = self.submissions.get(&submission.key) {
            return Outcome::Submitted { first: known.first, count: known.count, resent: true };
        }
        let Some(service) = self.service_keys.get(&submission.service).copied() else {
            return Outcome::Unknown(Missing::Service(submission.service));
        };
        let document = &self.service_at(service).accepted.document;
        let Some(kind) = document.task_kind(&submission.kind) else {
            return Outcome::Unknown(Missing::Kind(submission.kind));
        };
        let need = kind.need;
        let first = TaskId(self.last_task + 1);
        for _ in 0..submission.count {
            self.last_task += 1;
            let id = TaskId(self.last_task);
            let task = Task {
                id,
                service,
                kind: submission.kind.clone(),
                need,
                urgent: submission.urgent,
                payload: submission.payload.clone(),
                phase: TaskPhase::Waiting,
                epoch: Epoch(0),
                checkpoint: None,
                evictions: 0,
                failures: 0,
                submitted_ms: submission.at_ms,
            };
            self.tasks.insert(id, task);
            self.index(id);
        }
        self.record_submission(submission.key, Submission { first, count: submission.count });
        Outcome::Submitted { first, count: submission.count, resent: false }
    }

    pub(super) fn record_submission(&mut self, key: Box<str>, submission: Submission) {
        if self.submission_order.len() == PAST_SUBMISSIONS
            && let Some(oldest) = self.submission_order.pop_front()
        {
            self.submissions.remove(&oldest);
        }
        self.submission_order.push_back(key.clone());
        self.submissions.insert(key, submission);
    }

    pub(super) fn cancel(&mut self, id: TaskId) -> CancelOutcome {
        let Some(task) = self.tasks.get(&id) else { return CancelOutcome::Unknown };
        match task.phase.clone() {
            TaskPhase::Ended(outcome) => CancelOutcome::Ended(outcome),
            TaskPhase::Waiting => {
                // Only a task that was never placed certainly did not run.
                let ran = task.epoch > Epoch(0);
                self.end(id, TaskOutcome::Cancelled);
                if ran {
                    CancelOutcome::Ended(TaskOutcome::Cancelled)
                } else {
                    CancelOutcome::NotRun
                }
            }
            TaskPhase::Placed(key) | TaskPhase::Running(key) | TaskPhase::Stopping(key, _) => {
                self.set_phase(id, TaskPhase::Stopping(key, StopReason::Cancel));
                CancelOutcome::Stopping
            }
        }
    }

    pub(super) fn place(&mut self, placement: Placement) -> Option<Committed> {
        let task = self.tasks.get(&placement.task)?;
        if task.phase != TaskPhase::Waiting {
            return None;
        }
        let worker = self.workers.get(placement.worker.0 as usize)?;
        let committed = worker.committed.plus(task.need)?;
        // The final check that a worker's capacity is never exceeded and that it takes tasks.
        // A leader may have planned the placement from an older state, so it is checked here
        // against the exact sum.
        if !self.takes_tasks(placement.worker) || !worker.spec.capacity.covers(committed) {
            return None;
        }
        let worker = self.workers.get_mut(placement.worker.0 as usize)?;
        worker.committed = committed;
        worker.tasks += 1;
        let rank = (self.rank(task), placement.task);
        self.waiting.remove(&rank);
        let task = self.tasks.get_mut(&placement.task)?;
        task.epoch = task.epoch.next();
        task.phase = TaskPhase::Placed(placement.worker);
        let epoch = task.epoch;
        self.index(placement.task);
        Some(Committed { task: placement.task, worker: placement.worker, epoch })
    }

    pub(super) fn evict(&mut self, id: TaskId) -> bool {
        match self.tasks.get(&id).map(|task| task.phase.clone()) {
            Some(TaskPhase::Placed(key) | TaskPhase::Running(key)) => {
                self.set_phase(id, TaskPhase::Stopping(key, StopReason::Evict));
                true
            }
            _ => false,
        }
    }

    /// Applies a report; returns the task if it left its worker.
    pub(super) fn report(&mut self, report: &TaskReport) -> Option<TaskId> {
        let id = report.task;
        let task = self.tasks.get_mut(&id)?;
        let worker = task.worker()?;
        // A report of an earlier placement is late, or from a worker that was
        // partitioned. Applying it would end or free a task that now runs elsewhere.
        if task.epoch != report.epoch {
            return None;
        }
        let phase = task.phase.clone();
        match &report.event {
            TaskEvent::Started => {
                if phase == TaskPhase::Placed(worker) {
                    task.phase = TaskPhase::Running(worker);
                }
                None
            }
            TaskEvent::Checkpointed { done_ms } => {
                let before = task.checkpoint.map_or(0, |checkpoint| checkpoint.done_ms);
                if *done_ms >= before {
                    task.checkpoint = Some(Checkpoint { epoch: report.epoch, done_ms: *done_ms });
                }
                None
            }
            TaskEvent::Finished => {
                self.end(id, TaskOutcome::Finished);
                Some(id)
            }
            TaskEvent::Failed { reason } => {
                task.failures += 1;
                let failed_too_often = task.failures >= FAILURES_MAX;
                match phase {
                    TaskPhase::Stopping(_, StopReason::Cancel) => {
                        self.end(id, TaskOutcome::Cancelled)
                    }
                    _ if failed_too_often => self.end(id, TaskOutcome::Failed(reason.clone())),
                    _ => self.requeue(id),
                }
                Some(id)
            }
            TaskEvent::Stopped | TaskEvent::Refused { .. } => {
                self.leave_worker(id, &phase);
                Some(id)
            }
        }
    }

    pub(super) fn leave_worker(&mut self, id: TaskId, phase: &TaskPhase) {
        match phase {
            TaskPhase::Stopping(_, StopReason::Cancel) => self.end(id, TaskOutcome::Cancelled),
            TaskPhase::Stopping(_, StopReason::Evict) => {
                if let Some(task) = self.tasks.get_mut(&id) {
                    task.evictions += 1;
                }
                self.requeue(id);
            }
            _ => self.requeue(id),
        }
    }
}
