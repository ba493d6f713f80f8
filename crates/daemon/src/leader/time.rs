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
            self.bump();
        }
        if !self.settled && !self.entries.earlier_leases_may_run(now) {
            self.settled = true;
            self.bump();
        }
        self.entries.tidy(now);
        self.give_up_workers(now);
        self.answer_in_force();
        if now.since(self.swept) >= SWEEP {
            self.swept = now;
            self.dispatch.tidy(&self.state);
            self.dirty.extend(self.state.workers().filter(|(_, w)| w.tasks > 0).map(|(k, _)| k));
            self.plan_due |= self.state.waiting_len() > 0;
            self.orders.notify_one();
            self.gauges();
        }
    }

    pub(super) fn gauges(&self) {
        let metrics = &self.shared.metrics;
        metrics.gauge("tasks_waiting", self.state.waiting_len() as u64);
        metrics.gauge("ledger_bytes", self.state.ledger().bytes() as u64);
    }

    pub(super) fn give_up_workers(&mut self, now: Moment) {
        for (name, run) in workers::expired_workers(&self.state, &self.directory, self.started, now)
        {
            if !self.going.insert(name.clone()) {
                continue;
            }
            self.propose(Command::WorkerGone(name.clone(), run), Then::WorkerGone(name));
        }
    }
}
