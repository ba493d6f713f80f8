//! Orders to be sent to workers.

use super::*;

impl Leader {
    /// Collects the due orders of all changed workers that are not in `busy`.
    pub(crate) fn orders_due(&mut self, busy: &BTreeSet<WorkerKey>) -> Vec<OrderBatch> {
        let now = self.clock.now();
        let ready: Vec<WorkerKey> =
            self.dirty_workers.iter().copied().filter(|key| !busy.contains(key)).collect();
        let mut batches = Vec::new();
        for key in ready {
            self.dirty_workers.remove(&key);
            let mut due = self.dispatch.due(now, &self.state, key);
            for (task, epoch) in self.stray_tasks.remove(&key).unwrap_or_default() {
                due.push(DueOrder { task, epoch, order: Order::Stop });
            }
            // A lost throttle order is not resent: the next heartbeat produces it again.
            let throttles = self.throttles.remove(&key).unwrap_or_default();
            if due.is_empty() && throttles.is_empty() {
                continue;
            }
            let worker = &self.state.worker_at(key).spec;
            batches.push(OrderBatch {
                worker: key,
                name: worker.name.clone(),
                incarnation: worker.incarnation,
                address: worker.address.clone(),
                orders: due
                    .iter()
                    .filter_map(|due| self.build_order(due))
                    .chain(throttles.iter().map(throttle_order))
                    .collect(),
                due,
            });
        }
        batches
    }

    pub(super) fn build_order(&self, due: &DueOrder) -> Option<OrderTask> {
        let assignment = ReportedTask { task: due.task, epoch: due.epoch };
        match due.order {
            Order::Stop => Some(OrderTask::Stop(assignment)),
            Order::Checkpoint => Some(OrderTask::Checkpoint(assignment)),
            Order::Start => {
                let task = self.state.task(due.task)?;
                let kind = self.state.kind_of(task);
                Some(OrderTask::Start(TaskStart {
                    task: task.id,
                    epoch: task.epoch,
                    service: self.state.document_of(task).service.clone(),
                    kind: task.kind.clone(),
                    need: task.need,
                    duration_ms: kind.map_or(0, |kind| kind.duration_ms),
                    done_ms: task.checkpoint.map_or(0, |saved| saved.done_ms),
                    checkpoint: task.checkpoint.map(|saved| saved.epoch),
                    payload: task.payload.clone(),
                }))
            }
        }
    }

    /// Records that orders could not be delivered: they are due again at the next sweep.
    pub(crate) fn mark_orders_failed(&mut self, due: &[DueOrder]) {
        for due in due {
            self.dispatch.failed(due);
        }
    }
}

fn throttle_order(throttle: &Throttle) -> OrderTask {
    OrderTask::Throttle {
        task: throttle.task,
        epoch: throttle.epoch,
        share: pressure::THROTTLED_SHARE_PERMILLE,
        for_ms: millis(pressure::THROTTLE_DURATION),
    }
}
