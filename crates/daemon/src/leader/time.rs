//! Periodic work of the leader.

use super::*;

impl Leader {
    /// Expires leases, gives up workers, completes overdue waits and updates the gauges.
    pub(crate) fn tick(&mut self) {
        let now = self.clock.now();
        let before = self.directory.version();
        for name in self.directory.tick(now, &self.entries) {
            let owner = self.directory.get(&name).and_then(|target| target.owner.clone());
            let owner = owner.map_or_else(|| "nobody".into(), |owner| owner.to_string());
            self.shared.decisions.note(format!("runner {name} is routed to by entry {owner}"));
        }
        if self.directory.version() != before {
            self.signal_update();
        }
        if !self.runner_table_complete && !self.entries.earlier_leases_may_run(now) {
            self.runner_table_complete = true;
            self.signal_update();
        }
        self.entries.tidy(now);
        self.give_up_workers(now);
        self.answer_in_force_waiters();
        self.answer_zone_waiters();
        if now.since(self.last_sweep) >= SWEEP_INTERVAL {
            self.last_sweep = now;
            self.dispatch.tidy(&self.state);
            self.release_placed_in_evacuated_zones();
            self.dirty_workers
                .extend(self.state.workers().filter(|(_, w)| w.tasks > 0).map(|(k, _)| k));
            self.plan_due |= self.state.waiting_len() > 0;
            self.order_wake.notify_one();
            self.update_gauges();
        }
    }

    pub(super) fn update_gauges(&self) {
        let metrics = &self.shared.metrics;
        metrics.gauge("tasks_waiting", self.state.waiting_len() as u64);
        metrics.gauge("ledger_bytes", self.state.ledger().bytes() as u64);
    }

    /// Proposes the removal of workers whose leases have expired.
    pub(super) fn give_up_workers(&mut self, now: Moment) {
        for (name, incarnation) in
            workers::expired_workers(&self.state, &self.directory, self.started, now)
        {
            if !self.removals_pending.insert(name.clone()) {
                continue;
            }
            self.propose(
                Command::WorkerGone(name.clone(), incarnation),
                OnCommit::WorkerGone(name),
            );
        }
    }
}
