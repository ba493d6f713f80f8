//! Availability zones under evacuation: their runners get no new requests, their workers no
//! tasks.

use super::*;

impl Leader {
    /// Handles an operator's order for a zone. It is acknowledged once it is committed and no
    /// entry can send anything to the zone any more.
    pub(super) fn order_zone(&mut self, order: ZoneOrder, reply: Reply) {
        if let Err(error) = check_zone(&order.zone) {
            let _ = reply.send(refused_order(ProblemKind::Unacceptable, &error.to_string()));
            return;
        }
        let command = Command::Zone { order: order.clone(), at_ms: unix_ms() };
        self.propose_request(command, |reply| OnCommit::Zone(order, reply), reply);
    }

    pub(super) fn finish_zone_order(&mut self, order: &ZoneOrder, outcome: &Outcome, reply: Reply) {
        let Outcome::Zone(outcome) = outcome else {
            let _ = reply.send(unexpected_outcome(outcome));
            return;
        };
        self.directory.set_evacuations(self.state.evacuations());
        self.shared.decisions.note(format!(
            "zone {}: {} ordered, {outcome:?} (number {:?})",
            order.zone, order.action, order.number
        ));
        if let Some(why) = outcome.refusal(&order.zone) {
            let kind = match outcome {
                ZoneOutcome::Superseded(_) => ProblemKind::Conflict,
                _ => ProblemKind::Unacceptable,
            };
            let _ = reply.send(refused_order(kind, &why));
            return;
        }
        self.shared.metrics.count("zone_orders", 1);
        self.plan_due = true;
        self.release_placed_in_evacuated_zones();
        self.signal_update();
        let version = self.directory.version();
        self.zone_waiters.push(ZoneWaiter { zone: order.zone.clone(), version, reply });
        self.answer_zone_waiters();
    }

    /// Answers the orders that all entries which may be serving have applied.
    pub(super) fn answer_zone_waiters(&mut self) {
        let now = self.clock.now();
        for waiter in std::mem::take(&mut self.zone_waiters) {
            match self.entries.directory_status(now, waiter.version) {
                RolloutStatus::Everywhere => {
                    let view = self.zone_view(&waiter.zone);
                    let _ = waiter.reply.send(LeaderResponse::Zone(view));
                }
                RolloutStatus::Not(_) | RolloutStatus::LeaderTooNew => {
                    self.zone_waiters.push(waiter);
                }
            }
        }
    }

    /// Takes back the placements in evacuated zones that their workers have not confirmed. The
    /// order to start may have arrived, so each task is stopped before it is placed elsewhere.
    pub(super) fn release_placed_in_evacuated_zones(&mut self) {
        let excluded = self.state.workers().filter(|(_, worker)| {
            worker.tasks > 0 && self.state.evacuations().excludes(worker.spec.zone.as_str())
        });
        let mut placed = Vec::new();
        for (key, _) in excluded {
            let tasks = self.state.tasks_on_worker(key);
            let unconfirmed = tasks.filter(|task| matches!(task.phase, TaskPhase::Placed(_)));
            placed.extend(unconfirmed.map(|task| task.id));
            self.dirty_workers.insert(key);
        }
        if !placed.is_empty() {
            self.propose(Command::Evict(placed.into()), OnCommit::Reported(None));
        }
    }

    /// All zones with targets or under evacuation, by name.
    pub(super) fn zones(&self) -> Vec<ZoneView> {
        let ordered = self.state.evacuations().zones();
        let with_targets = self.directory.iter().map(|(_, target)| target.spec.zone().as_str());
        let names: BTreeSet<&str> = ordered.chain(with_targets).collect();
        names.into_iter().map(|zone| self.zone_view(zone)).collect()
    }

    fn zone_view(&self, zone: &str) -> ZoneView {
        let in_zone = self.directory.iter().filter(|(_, t)| t.spec.zone().as_str() == zone);
        let (mut targets, mut busy) = (0, 0);
        for (_, target) in in_zone {
            targets += 1;
            busy += target.usage.busy as usize;
        }
        ZoneView::new(self.state.evacuations(), zone, targets, busy)
    }
}

fn refused_order(kind: ProblemKind, why: &str) -> LeaderResponse {
    LeaderResponse::Problem(Problem::new(kind, ExecutionStatus::NotRun, why))
}
