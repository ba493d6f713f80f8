//! Submissions and disturbances of an emulated cell.

use super::Disturbance;
use super::leader_process::{Input, Origin};
use super::load;
use super::world::{EmulatedCell, Event};
use std::time::Duration;

impl EmulatedCell {
    pub(super) fn submit(&mut self, long_running: bool, number: u64) {
        let (long, batch) = (self.spec.long_running, self.spec.batch);
        let gap = match long_running {
            true => {
                let request = load::long_running_job(&long, number);
                let from = Origin::Caller { request: number };
                self.leader_receives(Input::Request { from, request });
                long.gap
            }
            false => {
                let delay = self.plan_cancel(number);
                match delay.is_zero() {
                    true => self.submit_batch(number),
                    false => self.after(delay, Event::Submission(number)),
                }
                Duration::from_secs_f64(1.0 / batch.jobs_per_s)
            }
        };
        if !long_running || number + 1 < long.jobs {
            self.after(gap, Event::Submit(long_running, number + 1));
        }
    }

    /// Submits the job of short tasks with this number, perhaps again.
    pub(super) fn submit_batch(&mut self, number: u64) {
        let request = load::batch_job(&self.spec.batch, number);
        let from = Origin::Caller { request: number };
        self.leader_receives(Input::Request { from, request });
    }

    pub(super) fn disturb(&mut self, at: usize, starts: bool) {
        let (_, _, disturbance) = self.spec.disturbances[at];
        match disturbance {
            Disturbance::EntriesCut(part) => {
                let disks = self.spec.disks;
                let count = (self.entries.len() as f64 * part) as usize;
                self.entries.iter_mut().skip(disks).take(count).for_each(|e| e.cut = starts);
            }
            Disturbance::RunnersLost(part) if starts => {
                let count = (self.slots.len() as f64 * part) as usize;
                for slot in self.slots.iter_mut().take(count) {
                    if let Some(runner) = slot.runner.take() {
                        for task in runner.running() {
                            self.running_on.remove(&task);
                        }
                    }
                }
            }
            Disturbance::RunnersLost(_) => {}
            Disturbance::DearMessages(factor) => {
                self.leader.cost_factor = if starts { factor } else { 1.0 };
            }
        }
    }
}
