//! Checks that nothing of a job is at work after the final answer to its cancellation.

use super::*;

/// Longest time from the final answer until all runs in touch with a leader have stopped.
const STOP_MAX: Duration = Duration::from_millis(4_400);
/// Longest time from the final answer until the last order that was on its way starts a run.
const ORDER_LIFETIME: Duration = Duration::from_millis(1_100);
/// Time between two looks at the states and counts that callers see.
const LOOK_INTERVAL_US: u64 = 100_000;

impl World {
    /// Checks an order that the leader sends now.
    pub(super) fn check_order_sent(&mut self, at: usize, orders: &RunnerOrders) {
        for start in &orders.start {
            if let Some(answer) = self.callers.final_answer(start.task.job) {
                let ms = self.now.since(answer.at).as_millis();
                let task = start.task;
                self.violations
                    .push(format!("{task} is ordered on w{at} {ms} ms after the answer"));
            }
        }
    }

    /// Checks a run that starts now.
    pub(super) fn check_start_after_answer(&mut self, at: usize, task: TaskKey) {
        let Some(answer) = self.callers.final_answer(task.job) else { return };
        let late = self.now.since(answer.at);
        if late > ORDER_LIFETIME {
            let ms = late.as_millis();
            self.violations.push(format!("{task} starts on w{at} {ms} ms after the answer"));
        }
    }

    /// Checks all runners, and what callers see, in each step.
    pub(super) fn check_cancellations(&mut self) {
        if self.callers.by_job.is_empty() {
            return;
        }
        self.count_time_out_of_touch();
        for at in 0..self.slots.len() {
            for task in self.running_on(at) {
                self.check_run_after_answer(at, task);
            }
        }
        if self.leader.is_some() && self.now.0.is_multiple_of(LOOK_INTERVAL_US) {
            self.check_states_after_answer();
            self.check_pending();
        }
    }

    fn count_time_out_of_touch(&mut self) {
        let leaderless = self.leader.is_none();
        for slot in &mut self.slots {
            if leaderless || slot.exchange_broken || slot.partitioned_until > self.now {
                slot.out_of_touch += TIME_STEP;
            }
        }
    }

    fn check_run_after_answer(&mut self, at: usize, task: TaskKey) {
        let Some(answer) = self.callers.final_answer(task.job) else { return };
        let out_of_touch = self.slots[at].out_of_touch.saturating_sub(answer.out_of_touch[at]);
        let after = self.now.since(answer.at);
        if after > STOP_MAX + out_of_touch && self.callers.reported.insert(task) {
            let (after, out) = (after.as_millis(), out_of_touch.as_millis());
            self.violations.push(format!(
                "{task} is at work on w{at} {after} ms after the answer, {out} ms out of touch"
            ));
        }
    }

    fn check_states_after_answer(&mut self) {
        let answered = self.callers.by_job.iter().filter(|(_, caller)| caller.cancelled.is_some());
        let answered: Vec<(JobId, QueueAddress)> =
            answered.map(|(id, caller)| (*id, caller.address.clone())).collect();
        for (id, at) in answered {
            let shown = self.request(CellRequest::State { at, id });
            if let Some(CellResponse::State(state @ (JobState::Queued | JobState::Running))) = shown
                && self.callers.shown.insert(id)
            {
                self.violations.push(format!("{id} is shown as {state} after the answer"));
            }
        }
    }

    /// The queues count no job that was cancelled, and none that has begun.
    fn check_pending(&mut self) {
        let has_started = |id: JobId| {
            let tasks = self.histories.range(key(id.0, 0, 0)..key(id.0 + 1, 0, 0));
            tasks.into_iter().any(|(_, history)| !history.starts.is_empty())
        };
        let callers = self.callers.by_job.iter();
        let may_wait = callers.filter(|(id, c)| c.cancelled.is_none() && !has_started(**id));
        let most = may_wait.count() as u64;
        let mut pending = 0;
        for path in self.callers.path_of_queues() {
            let at = QueueAddress { path: path.into(), ..queue_address() };
            if let Some(CellResponse::Pending(count)) = self.request(CellRequest::Pending { at }) {
                pending += count;
            }
        }
        if pending > most {
            self.violations.push(format!("{pending} jobs are pending, {most} at most can be"));
        }
    }

    /// Checks a finished history whose callers cancel, and returns all violations.
    pub fn cancelling_violations(&mut self) -> Vec<String> {
        self.check_final_state();
        self.check_completed();
        self.check_failed();
        let mut violations = Vec::new();
        for (id, caller) in &self.callers.by_job {
            match caller.cancels {
                CancelTime::Never if !self.accepted.contains(id) => {
                    violations.push(format!("{id} was never accepted"));
                }
                CancelTime::Never if self.is_active(*id) => {
                    violations.push(format!("{id} never ended"));
                }
                CancelTime::Never => {}
                _ if caller.cancelled.is_none() => {
                    violations.push(format!("the cancellation of {id} was never answered"));
                }
                _ if self.is_active(*id) => violations.push(format!("{id} is still active")),
                _ => {}
            }
        }
        self.violations.extend(violations);
        self.violations.clone()
    }

    pub fn caller_counts(&self) -> CallerCounts {
        self.callers.counts.clone()
    }
}
