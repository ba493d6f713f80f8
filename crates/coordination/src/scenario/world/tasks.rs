//! Fake workers: leases, heartbeats and orders.

use super::*;

impl World {
    /// A worker whose lease has expired stops all tasks, whether it is connected or not.
    pub(super) fn expire_leases(&mut self) {
        for worker in &mut self.workers {
            if self.now < worker.lease_until {
                continue;
            }
            for (task, epoch) in std::mem::take(&mut worker.running) {
                self.task_checker.stopped(task, epoch);
                worker.reports.push(TaskReport { task, epoch, event: TaskEvent::Stopped });
            }
        }
    }

    pub(super) fn send_worker_heartbeats(&mut self) {
        for at in 0..self.workers.len() {
            let worker = &self.workers[at];
            if worker.silent || (self.now < worker.next_heartbeat && worker.reports.is_empty()) {
                continue;
            }
            if self.send_worker_heartbeat(at) {
                let worker = &mut self.workers[at];
                worker.lease_until = self.now + WORKER_LEASE;
                worker.next_heartbeat = self.now + HEARTBEAT_INTERVAL;
            }
        }
    }

    /// Sends one heartbeat or announcement; returns true if the lease was renewed.
    pub(super) fn send_worker_heartbeat(&mut self, at: usize) -> bool {
        let worker = &mut self.workers[at];
        let spec = worker.spec.clone();
        if !worker.known {
            let target = TargetSpec::Worker(spec.clone());
            if self.directory.announce(self.now, target, 0) != HeartbeatOutcome::Noted {
                return false;
            }
            if let Some(former) = workers::previous_incarnation(&self.state, &spec) {
                self.state.apply(Command::WorkerGone(spec.name.clone(), former));
            }
            let up = self.state.apply(Command::WorkerUp(Box::new(spec)));
            self.workers[at].known = matches!(up, Outcome::WorkerUp(_));
            return self.workers[at].known;
        }
        let usage = Usage::default();
        let heard = self.directory.heartbeat(self.now, &spec.name, spec.incarnation, usage);
        let record = self.state.worker(&spec.name);
        let gone = record.is_none_or(|(_, worker)| worker.phase == WorkerPhase::Gone);
        if heard != HeartbeatOutcome::Noted || gone {
            worker.known = false;
            return false;
        }
        let reports = std::mem::take(&mut worker.reports);
        if worker.leaving {
            self.directory.leave(&spec.name, spec.incarnation);
            self.state.apply(Command::WorkerLeaving(spec.name, spec.incarnation));
        }
        self.state.apply(Command::Report(reports.into()));
        true
    }

    pub(super) fn remove_expired_workers(&mut self) {
        for (name, run) in workers::expired_workers(&self.state, &self.directory, START, self.now) {
            self.state.apply(Command::WorkerGone(name.clone(), run));
            self.directory.drop_worker(&name);
        }
    }

    pub(super) fn place(&mut self) {
        let plan = placement::plan(&self.state);
        if !plan.decisions.is_empty() {
            self.state.apply(Command::Place(plan.placements()));
        }
    }

    pub(super) fn deliver_orders(&mut self) {
        for at in 0..self.workers.len() {
            let spec = &self.workers[at].spec;
            let Some((key, record)) = self.state.worker(&spec.name) else { continue };
            if record.spec.incarnation != spec.incarnation {
                continue;
            }
            let due = self.dispatch.due(self.now, &self.state, key);
            let mut reports = Vec::new();
            for due in due {
                match self.workers[at].silent {
                    true => self.dispatch.failed(&due),
                    false => reports.extend(self.execute_order(at, &due)),
                }
            }
            self.state.apply(Command::Report(reports.into()));
        }
    }

    pub(super) fn execute_order(&mut self, at: usize, due: &DueOrder) -> Option<TaskReport> {
        let DueOrder { task, epoch, order } = *due;
        let worker = &mut self.workers[at];
        let report = |event| Some(TaskReport { task, epoch, event });
        match order {
            Order::Start if self.now >= worker.lease_until => {
                report(TaskEvent::Refused { reason: "the lease has ended".into() })
            }
            Order::Start if worker.seen.get(&task).is_some_and(|seen| *seen >= epoch) => None,
            Order::Start => {
                worker.seen.insert(task, epoch);
                worker.running.insert(task, epoch);
                self.task_checker.started(task, epoch);
                report(TaskEvent::Started)
            }
            Order::Checkpoint | Order::Stop => {
                if worker.running.get(&task) == Some(&epoch) {
                    worker.running.remove(&task);
                    self.task_checker.stopped(task, epoch);
                }
                report(TaskEvent::Stopped)
            }
        }
    }
}
