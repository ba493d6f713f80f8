//! Callers of an emulated cell that cancel their jobs.

use super::leader_process::{Input, Origin};
use super::load;
use super::world::{EmulatedCell, Event};
use crate::cancel_checker::CancelChecker;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use yuccalink_coordination::Moment;
use yuccalink_coordination::jobs::{CellResponse, RunnerOrders};
use yuccalink_state::jobs::TaskKey;

/// Pause of a caller after a response that is not definite.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Which jobs of short tasks are cancelled, and when.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CancelLoad {
    /// Part of the jobs of short tasks that are cancelled: as many at the time of their
    /// submission as later.
    pub share: f64,
}

/// State of the callers that cancel.
pub(super) struct Cancels {
    rng: Pcg64Mcg,
    checker: CancelChecker,
}

impl Cancels {
    pub(super) fn new(seed: u64) -> Self {
        // A separate random stream, so that a seed gives the same cell without cancellations.
        const STREAM: u64 = 0x6361_6e63_656c;
        Self { rng: Pcg64Mcg::seed_from_u64(seed ^ STREAM), checker: CancelChecker::default() }
    }

    pub(super) fn record_end(&mut self, task: TaskKey, now: Moment) {
        self.checker.record_end(task, now);
    }

    fn draw(&mut self, range_ms: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range_ms))
    }
}

impl EmulatedCell {
    /// Plans the cancellation of the job of short tasks that is submitted now, if it is one of
    /// those that are cancelled. Returns the time by which its submission is delayed.
    pub(super) fn plan_cancel(&mut self, number: u64) -> Duration {
        let share = self.spec.cancels.share;
        if share <= 0.0 || !self.cancels.rng.random_bool(share.min(1.0)) {
            return Duration::ZERO;
        }
        let (delay, cancel_in) = match self.cancels.rng.random_range(0..6) {
            0 => (self.cancels.draw(1..40), Duration::ZERO),
            1..=2 => (Duration::ZERO, self.cancels.draw(0..30)),
            _ => (Duration::ZERO, self.cancels.draw(100..4_000)),
        };
        self.after(cancel_in, Event::Cancel(number));
        delay
    }

    pub(super) fn cancel(&mut self, number: u64) {
        self.cancels.checker.record_requested(load::batch_id(number));
        let from = Origin::Canceller { number };
        self.leader_receives(Input::Request { from, request: load::cancellation(number) });
    }

    /// Handles the response to a cancellation.
    pub(super) fn cancel_answered(&mut self, number: u64, response: &CellResponse) {
        let is_unknown = matches!(response, CellResponse::Gone);
        if !is_unknown && !matches!(response, CellResponse::Ok) {
            return self.after(RETRY_PAUSE, Event::Cancel(number));
        }
        let (id, now) = (load::batch_id(number), self.now);
        if self.cancels.checker.record_answered(id, is_unknown, now) {
            self.second.cancelled += 1;
            if self.cancels.rng.random_bool(0.5) {
                let copy_in = self.cancels.draw(1_000..4_000);
                self.after(copy_in, Event::Submission(number));
            }
        }
    }

    pub(super) fn check_start(&mut self, at: usize, task: TaskKey, run: u32, now: Moment) {
        let violation = self.cancels.checker.check_start(at, task, run, now);
        self.report.violations.extend(violation);
    }

    /// Checks the runs at work on a runner.
    pub(super) fn check_at_work(&mut self, at: usize) {
        let Some(runner) = &self.slots[at].runner else { return };
        for task in runner.running() {
            let violation = self.cancels.checker.check_at_work(at, task, self.now);
            self.report.violations.extend(violation);
        }
    }

    /// Checks orders that the runner is about to apply.
    pub(super) fn check_orders(&mut self, at: usize, orders: &RunnerOrders) {
        let slot = &self.slots[at];
        let Some(runner) = &slot.runner else { return };
        let listed: Vec<_> = runner.runs().collect();
        let checker = &mut self.cancels.checker;
        let violations = checker.check_orders(at, slot.sent, self.now, &listed, orders);
        self.report.violations.extend(violations);
    }
}
