//! Admission of jobs: which are refused because their result would come too late for anybody.
//!
//! A job that will be late is accepted: its caller still wants it, and it runs once there is free
//! capacity. It is refused only if even the least wait that the forecast, with its observed error,
//! leaves is past the time after which its result has no worth. An accepted job is never dropped.

use super::forecast::{Backlog, BandedRatios};
use super::returning::{Refused, Standing};
use crate::jobs::estimate::LATE_FACTOR;
use crate::jobs::policy::Switch;
use crate::jobs::shares::QueueKey;
use crate::moment::Moment;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;
use yuccalink_state::jobs::JobId;

/// Of the jobs to be refused, one in this many is accepted, so that the error of the forecast is
/// also observed where it decides.
const PROBE_ONE_IN: u64 = 50;
/// Shortest forecast whose error is observed: a report, with which tasks start, takes as long.
const OBSERVED_MIN: Duration = Duration::from_millis(1_000);
/// Jobs whose outcome is awaited. Further ones are not observed.
const OBSERVED_JOBS_MAX: usize = 4_096;
/// Queues whose errors are known. Jobs of further ones are not refused.
const QUEUES_MAX: usize = 256;
/// The start of a job is awaited for this many times as long as its result has some worth.
const OBSERVED_FACTOR: u32 = 2;
/// Longest such time.
const OBSERVED_AGE_MAX: Duration = Duration::from_secs(120);

/// What admission does.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, derive_more::Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum AdmissionMode {
    /// Nothing is forecast.
    #[default]
    #[display("off")]
    Off,
    /// Waits are forecast and compared with what happens; no job is refused.
    #[display("observe")]
    Observe,
    /// Jobs whose result would come too late are refused.
    #[display("refuse")]
    Refuse,
}

/// Refuses jobs whose result would come too late for anybody.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct AdmissionPolicy {
    /// Whether waits are forecast, and jobs refused by it.
    pub mode: AdmissionMode,
    /// Share of outcomes, from 0 to 1, that may be better than the least wait and the longest run
    /// time by which a job is refused.
    pub quantile: f64,
    /// Outcomes of a queue from which its jobs may be refused.
    pub outcomes_min: u32,
    /// Whether jobs are refused with a task larger than any runner of their pool that the leader
    /// has heard of.
    pub oversized: Switch,
}

impl Default for AdmissionPolicy {
    fn default() -> Self {
        Self { mode: AdmissionMode::Off, quantile: 0.01, outcomes_min: 300, oversized: Switch::Off }
    }
}

/// A job that asks to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct NewJob<'a, K> {
    /// The job's number.
    pub id: JobId,
    /// Its queue.
    pub queue: QueueKey,
    /// Its pool.
    pub pool: &'a str,
    /// Its place in the order.
    pub rank: K,
    /// Core-seconds of the steps that depend on no other, by declared run times.
    pub first_work: f64,
    /// Core-seconds of all steps, by declared run times.
    pub total_work: f64,
    /// Longest chain of dependent steps, by declared run times.
    pub critical_path: Duration,
    /// The objective is this many times the longest chain,
    pub slack: f64,
    /// and this much more.
    pub extra: Duration,
}

impl<K> NewJob<'_, K> {
    fn objective(&self, length_ratio: f64) -> Option<Duration> {
        let path = self.critical_path.as_secs_f64() * self.slack * length_ratio;
        Duration::try_from_secs_f64(path).ok().map(|path| path + self.extra)
    }

    /// Time after which the result has no worth, if tasks take `length_ratio` times as long as
    /// declared.
    fn worthless_after(&self, length_ratio: f64) -> Option<Duration> {
        self.objective(length_ratio)?.checked_mul(LATE_FACTOR)
    }
}

/// A refusal, with its inputs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// Delay after which the caller may return.
    pub retry_after: Duration,
    /// Forecast of the time until the job's first tasks have started.
    pub wait: Duration,
    /// Least wait by the observed error of the forecast.
    pub least_wait: Duration,
    /// Time after which the result has no worth, by the longest observed run times.
    pub worthless_after: Duration,
    /// Outcomes by which the error is known.
    pub outcomes: u32,
}

/// What to do with a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Store it.
    Accept,
    /// Refuse it: it cannot end in time.
    Refuse(Refusal),
}

/// Counters of admission.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmissionCounters {
    /// Jobs refused by forecast.
    pub refused: u64,
    /// Refusals repeated because the job came before its time.
    pub repeated: u64,
    /// Jobs accepted that returned when told.
    pub returned: u64,
    /// Jobs accepted although the forecast says that they end too late, to observe its error.
    pub probes: u64,
    /// Of these, jobs that ended while their result had some worth.
    pub probes_in_time: u64,
}

/// Errors of the forecasts of one queue.
#[derive(Clone, Debug, Default)]
pub struct QueueErrors {
    /// Observed to forecast waits.
    pub waits: BandedRatios,
    /// Times from the start of the first tasks to the end, to declared run times.
    pub lengths: BandedRatios,
}

/// A job whose outcome is awaited.
#[derive(Clone, Copy, Debug)]
struct Observed {
    queue: QueueKey,
    accepted_at: Moment,
    wait: Option<Duration>,
    critical_path: Duration,
    started_at: Option<Moment>,
    /// When its start is no longer awaited.
    until: Moment,
    /// Time after which the result has no worth, if the job is a probe.
    probe: Option<Duration>,
}

#[derive(Clone, Debug)]
struct Pool<K> {
    backlog: Backlog<K>,
    refused: Refused,
}

impl<K> Default for Pool<K> {
    fn default() -> Self {
        Self { backlog: Backlog::default(), refused: Refused::default() }
    }
}

/// Decides which jobs are refused. `K` is a place in the order.
#[derive(Clone, Debug)]
pub struct Admission<K> {
    policy: AdmissionPolicy,
    pools: BTreeMap<Box<str>, Pool<K>>,
    errors: HashMap<QueueKey, QueueErrors>,
    observed: BTreeMap<JobId, Observed>,
    observed_until: BTreeSet<(Moment, JobId)>,
    would_refuse: u64,
    counters: AdmissionCounters,
}

impl<K> Admission<K>
where
    K: Ord,
{
    /// Creates an admission that knows no outcome, and therefore refuses nothing yet.
    pub fn new(policy: AdmissionPolicy) -> Self {
        Self {
            policy,
            pools: BTreeMap::new(),
            errors: HashMap::new(),
            observed: BTreeMap::new(),
            observed_until: BTreeSet::new(),
            would_refuse: 0,
            counters: AdmissionCounters::default(),
        }
    }

    /// Whether waits are forecast.
    pub fn is_on(&self) -> bool {
        self.policy.mode != AdmissionMode::Off
    }

    /// Counters since this leader took over.
    pub fn counters(&self) -> AdmissionCounters {
        self.counters
    }

    /// Errors of the forecasts by queue.
    pub fn errors(&self) -> impl Iterator<Item = (QueueKey, &QueueErrors)> {
        self.errors.iter().map(|(queue, errors)| (*queue, errors))
    }

    /// Jobs that are remembered: those refused, and those whose outcome is awaited.
    pub fn remembered(&self) -> usize {
        let refused: usize = self.pools.values().map(|pool| pool.refused.len()).sum();
        refused + self.observed.len()
    }

    /// Replaces the waiting steps of all pools, given in their order with their core-seconds.
    pub fn update(&mut self, now: Moment, mut waiting: BTreeMap<Box<str>, Vec<(K, f64)>>) {
        for (name, pool) in &mut self.pools {
            pool.backlog.update(now, waiting.remove(name).unwrap_or_default());
            pool.refused.forget_late(now);
        }
        for (name, steps) in waiting {
            self.pools.entry(name).or_default().backlog.update(now, steps);
        }
        self.forget_old(now);
    }

    /// Stops awaiting jobs whose result has had no worth for some time.
    fn forget_old(&mut self, now: Moment) {
        while let Some((until, id)) = self.observed_until.first().copied()
            && until < now
        {
            let Some(job) = self.forget_observed(id).filter(|job| job.started_at.is_none()) else {
                continue;
            };
            if let (Some(wait), Some(errors)) = (job.wait, self.errors.get_mut(&job.queue)) {
                errors.waits.record_longer(wait, now.since(job.accepted_at));
            }
        }
    }

    fn forget_observed(&mut self, id: JobId) -> Option<Observed> {
        let job = self.observed.remove(&id)?;
        self.observed_until.remove(&(job.until, id));
        Some(job)
    }

    /// Records that tasks of a pool with these core-seconds were started.
    pub fn started(&mut self, pool: &str, core_seconds: f64) {
        self.pool(pool).backlog.started(core_seconds);
    }

    /// Records that all tasks of a job that depend on no others have started.
    pub fn first_tasks_started(&mut self, id: JobId, now: Moment) {
        let Some(job) = self.observed.get_mut(&id).filter(|job| job.started_at.is_none()) else {
            return;
        };
        job.started_at = Some(now);
        if let (Some(wait), Some(errors)) = (job.wait, self.errors.get_mut(&job.queue)) {
            errors.waits.record(wait, now.since(job.accepted_at));
        }
    }

    /// Whether the start of a job's first tasks is awaited.
    pub fn awaits_start(&self, id: JobId) -> bool {
        self.observed.get(&id).is_some_and(|job| job.started_at.is_none())
    }

    /// Records the end of a job.
    pub fn ended(&mut self, id: JobId, now: Moment, completed: bool) {
        let Some(job) = self.forget_observed(id).filter(|_| completed) else { return };
        if let (Some(at), Some(errors)) = (job.started_at, self.errors.get_mut(&job.queue)) {
            errors.lengths.record(job.critical_path, now.since(at));
        }
        let in_time = |limit| now.since(job.accepted_at) <= limit;
        self.counters.probes_in_time += u64::from(job.probe.is_some_and(in_time));
    }

    /// Whether a job was refused before.
    pub fn standing(&self, pool: &str, id: JobId, now: Moment) -> Standing {
        self.pools.get(pool).map_or(Standing::Newcomer, |pool| pool.refused.standing(id, now))
    }

    /// Counts a refusal that is repeated because the job came before its time.
    pub fn note_repeated(&mut self) {
        self.counters.repeated += 1;
    }

    /// Forgets that an accepted job was refused. Returns whether it returned when told.
    pub fn take_returned(&mut self, pool: &str, id: JobId, now: Moment) -> bool {
        let returned = self.standing(pool, id, now) == Standing::Returned;
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.refused.forget(id);
        }
        self.counters.returned += u64::from(returned);
        returned
    }

    /// Decides whether a job is refused, and observes it if it is not.
    pub fn decide(&mut self, now: Moment, job: &NewJob<'_, K>) -> Decision {
        if !self.is_on() {
            return Decision::Accept;
        }
        let backlog = self.pools.get(job.pool).map(|pool| &pool.backlog);
        let wait = backlog.and_then(|backlog| backlog.wait_at(&job.rank, job.first_work));
        let Some(mut refusal) = wait.and_then(|wait| self.refusal(wait, job)) else {
            self.observe(now, job, wait, None);
            return Decision::Accept;
        };
        self.would_refuse += 1;
        let is_probe = self.would_refuse.is_multiple_of(PROBE_ONE_IN);
        if self.policy.mode == AdmissionMode::Observe || is_probe {
            self.counters.probes += 1;
            self.observe(now, job, wait, job.worthless_after(1.0));
            return Decision::Accept;
        }
        refusal.retry_after = self.retry_after(now, job, refusal.wait);
        self.counters.refused += 1;
        Decision::Refuse(refusal)
    }

    /// The refusal of a job with this forecast, if it can certainly not end in time.
    fn refusal(&self, wait: Duration, job: &NewJob<'_, K>) -> Option<Refusal> {
        let errors = self.errors.get(&job.queue)?;
        let (waits, lengths) = (errors.waits.of(wait), errors.lengths.of(job.critical_path));
        let outcomes = waits.outcomes().min(lengths.outcomes());
        if outcomes < self.policy.outcomes_min {
            return None;
        }
        let ratio = waits.at_least(self.policy.quantile, self.policy.outcomes_min);
        let least_wait =
            Duration::try_from_secs_f64(wait.as_secs_f64() * ratio).unwrap_or(Duration::MAX);
        let worthless_after = job.worthless_after(lengths.at_most(self.policy.quantile))?;
        let refusal =
            Refusal { retry_after: Duration::ZERO, wait, least_wait, worthless_after, outcomes };
        (least_wait > worthless_after).then_some(refusal)
    }

    /// Delay until the backlog has shrunk so far that the job would end in time.
    fn retry_after(&mut self, now: Moment, job: &NewJob<'_, K>, wait: Duration) -> Duration {
        let room_in = wait.saturating_sub(job.objective(1.0).unwrap_or_default());
        let pool = self.pool(job.pool);
        let seconds = job.total_work / pool.backlog.rate().unwrap_or(f64::INFINITY);
        let work = Duration::try_from_secs_f64(seconds).unwrap_or_default();
        pool.refused.add(job.id, now, room_in, work)
    }

    fn observe(
        &mut self,
        now: Moment,
        job: &NewJob<'_, K>,
        wait: Option<Duration>,
        probe: Option<Duration>,
    ) {
        let is_known = self.errors.contains_key(&job.queue);
        if self.observed.len() >= OBSERVED_JOBS_MAX
            || (!is_known && self.errors.len() >= QUEUES_MAX)
        {
            return;
        }
        let errors = self.errors.entry(job.queue).or_default();
        let lengths = errors.lengths.of(job.critical_path);
        let length_ratio = match lengths.outcomes() >= self.policy.outcomes_min {
            true => lengths.at_most(self.policy.quantile),
            false => 1.0,
        };
        let worthless_after = job.worthless_after(length_ratio).unwrap_or(OBSERVED_AGE_MAX);
        let until = now + worthless_after.min(OBSERVED_AGE_MAX) * OBSERVED_FACTOR;
        let observed = Observed {
            queue: job.queue,
            accepted_at: now,
            wait: wait.filter(|wait| *wait >= OBSERVED_MIN),
            critical_path: job.critical_path,
            started_at: None,
            until,
            probe,
        };
        self.forget_observed(job.id);
        self.observed.insert(job.id, observed);
        self.observed_until.insert((until, job.id));
    }

    fn pool(&mut self, name: &str) -> &mut Pool<K> {
        if !self.pools.contains_key(name) {
            self.pools.insert(name.into(), Pool::default());
        }
        self.pools.entry(name.into()).or_default()
    }
}
