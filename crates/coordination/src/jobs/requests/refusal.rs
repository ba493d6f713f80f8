//! Where the leader asks whether a new job is to be refused, before anything is stored, and where
//! it tells [`Admission`](crate::jobs::admission::Admission) what happens.

use crate::jobs::admission::{Decision, NewJob, Refusal};
use crate::jobs::capacity::waiting_tasks;
use crate::jobs::estimate::JobEstimate;
use crate::jobs::forecast::BandedRatios;
use crate::jobs::leader::{Leader, Now};
use crate::jobs::messages::CellResponse;
use crate::jobs::ready::{Rank, StepKey};
use crate::jobs::report_rate::millis;
use crate::jobs::returning::Standing;
use crate::moment::Moment;
use std::collections::BTreeMap;
use std::time::Duration;
use yuccalink_state::jobs::{JobId, JobSpec, Queue, RunStart, StepSpec};

/// Retry delay for callers while the log catches up, in milliseconds.
const LOG_FULL_RETRY_MS: u64 = 1_000;
/// Lines on refusals in each interval.
const LOG_LINES_MAX: u32 = 20;
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Queues whose forecast errors are logged at once.
const QUEUES_LOGGED: usize = 8;

/// Bounds the lines on refusals.
#[derive(Debug, Default)]
pub(in crate::jobs) struct RefusalLog {
    since: Moment,
    lines: u32,
    left_out: u64,
}

impl RefusalLog {
    /// Whether a refusal may be logged now.
    pub(in crate::jobs) fn may_log(&mut self, now: Moment) -> bool {
        if now.since(self.since) >= LOG_INTERVAL {
            if self.left_out > 0 {
                log::info!("refusals not logged={}", self.left_out);
            }
            *self = Self { since: now, ..Self::default() };
        }
        if self.lines >= LOG_LINES_MAX {
            self.left_out += 1;
            return false;
        }
        self.lines += 1;
        true
    }

    fn refused(&mut self, now: Moment, queue: &str, id: JobId, refusal: &Refusal) {
        if !self.may_log(now) {
            return;
        }
        log::info!(
            "job={id} queue={queue} refused after-ms={} why=too-late wait={:?} least-wait={:?} \
             worthless-after={:?} outcomes={}",
            millis(refusal.retry_after),
            refusal.wait,
            refusal.least_wait,
            refusal.worthless_after,
            refusal.outcomes
        );
    }
}

impl Leader {
    /// Retry delay in milliseconds if a new job must be refused now, because too many commands
    /// wait for the log.
    pub(in crate::jobs) fn overload_retry_ms(&self) -> Option<u64> {
        self.is_full().then_some(LOG_FULL_RETRY_MS)
    }

    /// The answer to a new job that cannot be served.
    pub(in crate::jobs) fn refuse(
        &mut self,
        now: Now,
        queue: &Queue,
        id: JobId,
        spec: &JobSpec,
    ) -> Option<CellResponse> {
        if self.submitting.contains(id) {
            // An earlier copy was admitted.
            return None;
        }
        if let Some(answer) = self.refuse_oversized(now, queue, id, spec) {
            return Some(answer);
        }
        if !self.admission.is_on() {
            return None;
        }
        let standing = self.admission.standing(&queue.pool, id, now.at);
        if let Standing::TooEarly(left) = standing {
            self.admission.note_repeated();
            self.counts.refused += 1;
            return Some(CellResponse::Refused { after_ms: millis(left) });
        }
        let job = self.new_job(now, queue, id, spec, standing == Standing::Returned)?;
        let Decision::Refuse(refusal) = self.admission.decide(now.at, &job) else { return None };
        self.counts.refused += 1;
        self.refusal_log.refused(now.at, &queue.name, id, &refusal);
        Some(CellResponse::Refused { after_ms: millis(refusal.retry_after) })
    }

    /// The answer to a job with a task that no known runner can hold. All runners that may be up
    /// have reported, or lost their lease, once this leader has led for a lease.
    fn refuse_oversized(
        &mut self,
        now: Now,
        queue: &Queue,
        id: JobId,
        spec: &JobSpec,
    ) -> Option<CellResponse> {
        let knows_runners = now.at.since(self.started) > self.cfg.lease;
        if !self.cfg.policy.admission.oversized.is_on() || !knows_runners {
            return None;
        }
        let error = self.largest_runners.check(&queue.pool, spec).err()?;
        self.counts.oversized += 1;
        self.counts.refused += 1;
        log::info!("job={id} queue={} refused why=oversized: {error}", queue.name);
        Some(CellResponse::Invalid(error.to_string().into()))
    }

    /// What admission needs to know of a new job; `None` if its wait is not forecast, since it
    /// does not start in the common order on any runner of its pool.
    fn new_job<'a>(
        &self,
        now: Now,
        queue: &'a Queue,
        id: JobId,
        spec: &JobSpec,
        returned: bool,
    ) -> Option<NewJob<'a, Rank>> {
        let is_usual = |step: &StepSpec| {
            !step.long_running
                && !step.gang
                && !step.opportunistic
                && step.required_label.is_none()
                && step.per_runner_max == 0
        };
        let is_forecast = spec.schedule.is_none()
            && queue.advisor.is_none()
            && !self.shares.is_active()
            && !self.routes.is_held(&queue.name)
            && spec.steps.iter().all(is_usual);
        let key = self.ready.queue_key(&queue.name).filter(|_| is_forecast)?;
        let estimate = JobEstimate::of(spec);
        let steps = spec.steps.iter().zip(&estimate.task_work);
        let first = steps.filter(|(step, _)| step.depends_on.is_empty());
        Some(NewJob {
            id,
            queue: key,
            pool: &queue.pool,
            rank: self.ready.rank_of_new(&estimate, queue, returned, now.at),
            first_work: first.map(|(step, work)| f64::from(step.count) * work).sum(),
            total_work: estimate.total_work,
            critical_path: estimate.critical_path,
            slack: queue.slack.clamp(1.0, 100.0),
            extra: Duration::from_millis(queue.objective_ms),
        })
    }

    /// Measures the waiting work of each pool, and the largest runners.
    pub(in crate::jobs) fn measure_backlogs(&mut self, now: Now) {
        if self.cfg.policy.admission.oversized.is_on() {
            for runner in self.runners.values() {
                self.largest_runners.saw(&runner.pool, runner.capacity);
            }
        }
        if !self.admission.is_on() {
            return;
        }
        let mut waiting: BTreeMap<Box<str>, Vec<(Rank, f64)>> = BTreeMap::new();
        for (rank, step_key, task_work) in self.ready.ranked() {
            let Some(job) = self.state.job(step_key.job) else { continue };
            let pool = self.pool_of(job);
            let work = f64::from(waiting_tasks(job, step_key)) * task_work;
            match waiting.get_mut(pool) {
                Some(steps) => steps.push((rank, work)),
                None => drop(waiting.insert(pool.into(), vec![(rank, work)])),
            }
        }
        self.admission.update(now.at, waiting);
    }

    /// Tells admission which work was started.
    pub(in crate::jobs) fn observe_work_started(&mut self, starts: &[RunStart]) {
        if !self.admission.is_on() {
            return;
        }
        for start in starts {
            let work = self.ready.task_work(start.task.job, start.task.step);
            let long_running = self.ready.step_of(start.task).is_none_or(|s| s.long_running);
            let Some(job) = self.state.job(start.task.job).filter(|_| !long_running) else {
                continue;
            };
            let queue = self.routes.queue(&job.queue);
            let pool = queue.map_or(&*job.pool, |queue| &*queue.pool);
            self.admission.started(pool, work);
        }
    }

    /// Tells admission if all tasks of a job that depend on no others have started. `waiting` are
    /// its steps with tasks to start.
    pub(in crate::jobs) fn observe_start(&mut self, id: JobId, waiting: &[StepKey], now: Moment) {
        if !self.admission.awaits_start(id) {
            return;
        }
        let Some(job) = self.state.job(id) else { return };
        let is_first = |key: &StepKey| {
            let step = job.spec.steps.get(usize::from(key.step));
            step.is_some_and(|step| step.depends_on.is_empty())
        };
        if !waiting.iter().any(is_first) {
            self.admission.first_tasks_started(id, now);
        }
    }

    /// Logs the errors of the forecasts, one line for each queue.
    pub(in crate::jobs) fn log_forecasts(&self, now: Now) {
        let mut errors: Vec<_> = self.admission.errors().collect();
        errors.sort_unstable_by_key(|(queue, _)| *queue);
        let tail = self.cfg.policy.admission.quantile;
        for (queue, errors) in errors.into_iter().take(QUEUES_LOGGED) {
            let ratios = |name: &str, bands: &BandedRatios| {
                let bands = bands.known().map(|(from, ratios)| {
                    format!(
                        " {name}-{}ms={}:{:.2}..{:.2}..{:.2}",
                        from.as_millis(),
                        ratios.outcomes(),
                        ratios.at_least(tail, 1),
                        ratios.at_least(0.5, 1),
                        ratios.at_most(tail)
                    )
                });
                bands.collect::<String>()
            };
            log::info!(
                "forecast queue={} age={:?}{}{}",
                self.ready.queue_name(queue),
                now.at.since(self.started),
                ratios("wait", &errors.waits),
                ratios("length", &errors.lengths)
            );
        }
    }
}
