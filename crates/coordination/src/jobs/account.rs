//! Accounts of delay: for each job that must end, how long each cause held it up.
//!
//! The accounts do not influence decisions. They are part of the log line that ends a job,
//! so that lost time can be summed by cause from logs alone.

use super::leader::{Leader, Now};
use super::ready::StepKey;
use super::runner::{RunView, Runner, Trust};
use super::shares::{QueueKey, Shares};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;
use yuccalink_state::Resources;
use yuccalink_state::jobs::{DelaySummary, Job, JobId, JobPhase, StepSpec, TaskKey, Tasks};

/// Interval at which jobs are checked; each check adds this time to the cause it finds.
pub(super) const ACCOUNT_INTERVAL: Duration = Duration::from_millis(250);
/// A run that takes this many times its estimate is a straggler.
const STRAGGLER_FACTOR: u32 = 2;
/// Most runners with free capacity that are checked for one job. Checking more would rarely
/// change the cause that is found.
const RUNNERS_SCANNED_MAX: usize = 32;

/// Cause that holds a job up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub enum DelayCause {
    /// No runner has free capacity for the next task.
    #[display("room")]
    Room,
    /// Only runners of zones under evacuation have free capacity.
    #[display("evacuation")]
    Evacuation,
    /// Runners have free capacity, but their serving tasks would exceed their bounds.
    #[display("margin")]
    Margin,
    /// Only runners that are not trusted have free capacity.
    #[display("trust")]
    Trust,
    /// Runners have free capacity, but runners were lost during runs of the next task.
    #[display("suspect")]
    Suspect,
    /// A runner has free capacity, and the order to start is on its way.
    #[display("order")]
    Order,
    /// A task runs at a reduced pace for a colocated serving task.
    #[display("pace")]
    Pace,
    /// A task runs again because it failed, was moved, or lost its runner.
    #[display("again")]
    Again,
    /// A run of a task is a straggler.
    #[display("lag")]
    Lag,
    /// An operator holds the job's queue.
    #[display("hold")]
    Hold,
    /// The job's queue has its share of the CPU, and other queues are short of theirs.
    #[display("share")]
    Share,
}

/// All causes. Leaders name them to later ones by their place here, so a new one comes last.
const CAUSES: [DelayCause; 11] = [
    DelayCause::Room,
    DelayCause::Evacuation,
    DelayCause::Margin,
    DelayCause::Trust,
    DelayCause::Suspect,
    DelayCause::Order,
    DelayCause::Pace,
    DelayCause::Again,
    DelayCause::Lag,
    DelayCause::Hold,
    DelayCause::Share,
];

/// Time that each cause has held one job up so far.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DelayAccount {
    spans: [Duration; CAUSES.len()],
    /// Part of the job's age that no leader has accounted for: what passed before this leader
    /// first saw the job, and after an earlier one last told its account.
    unaccounted: Duration,
    /// Sum of all parts when the account was last told to later leaders.
    told: Duration,
    /// Whether the log says already that the job is overdue.
    overdue_logged: bool,
}

impl fmt::Display for DelayAccount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "former:{}", self.unaccounted.as_millis())?;
        for (cause, span) in CAUSES.iter().zip(&self.spans) {
            if !span.is_zero() {
                write!(f, ",{cause}:{}", span.as_millis())?;
            }
        }
        Ok(())
    }
}

impl DelayAccount {
    /// Sum of the part without a cause and of all causes.
    fn sum(&self) -> Duration {
        self.unaccounted + self.spans.iter().sum::<Duration>()
    }
}

/// Accounts of all jobs that must end.
#[derive(Debug, Default)]
pub(super) struct DelayAccounts(HashMap<JobId, DelayAccount>);

impl DelayAccounts {
    /// Opens the account of a job whose age is already `age`.
    pub(super) fn open(&mut self, id: JobId, age: Duration) {
        // The time that the log takes is not worth telling.
        let told = if age < ACCOUNT_INTERVAL { age } else { Duration::ZERO };
        let account = DelayAccount { unaccounted: age, told, ..DelayAccount::default() };
        self.0.entry(id).or_insert(account);
    }

    /// Account of a job.
    pub(super) fn get(&self, id: JobId) -> DelayAccount {
        self.0.get(&id).copied().unwrap_or_default()
    }

    pub(super) fn close(&mut self, id: JobId) {
        self.0.remove(&id);
    }

    /// Takes over the account of an earlier leader, which was right `age` ago. Without a
    /// `summary` it was empty. Returns whether there is an account of the job.
    pub(super) fn recall(
        &mut self,
        id: JobId,
        summary: Option<&DelaySummary>,
        age: Duration,
    ) -> bool {
        let Some(account) = self.0.get_mut(&id) else { return false };
        let Some(summary) = summary else {
            // A younger job was accepted after that.
            account.unaccounted = account.unaccounted.min(age);
            return true;
        };
        let mut before = Duration::from_millis(summary.unaccounted_ms.into());
        for (cause, ms) in &summary.causes {
            let told = Duration::from_millis((*ms).into());
            match account.spans.get_mut(usize::from(*cause)) {
                Some(span) => *span = told,
                // A later release told a cause that this one does not know.
                None => before += told,
            }
        }
        account.unaccounted = account.unaccounted.min(before + age);
        true
    }

    /// Jobs whose accounts changed since they were last told, in the order of their numbers.
    pub(super) fn changed(&self) -> Vec<JobId> {
        let changed = self.0.iter().filter(|(_, account)| account.sum() != account.told);
        let mut ids: Vec<JobId> = changed.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }

    /// The account of a job, for later leaders.
    pub(super) fn summary(&self, id: JobId) -> Option<DelaySummary> {
        let account = self.0.get(&id)?;
        let whole_ms = |span: Duration| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
        let numbered = (0_u8..).zip(&account.spans).filter(|(_, span)| !span.is_zero());
        Some(DelaySummary {
            job: id,
            unaccounted_ms: whole_ms(account.unaccounted),
            causes: numbered.map(|(cause, span)| (cause, whole_ms(*span))).collect(),
        })
    }

    pub(super) fn mark_told(&mut self, id: JobId) {
        if let Some(account) = self.0.get_mut(&id) {
            account.told = account.sum();
        }
    }

    fn add(&mut self, id: JobId, cause: DelayCause) {
        let account = self.0.entry(id).or_default();
        if let Some(at) = CAUSES.iter().position(|known| *known == cause) {
            account.spans[at] += ACCOUNT_INTERVAL;
        }
    }

    /// Marks a job as overdue; true only the first time.
    fn mark_overdue(&mut self, id: JobId) -> bool {
        let account = self.0.entry(id).or_default();
        !std::mem::replace(&mut account.overdue_logged, true)
    }
}

/// Runners that take tasks, by pool, sorted by free CPU from most to least.
struct FreeRunners<'a> {
    by_pool: HashMap<&'a str, Vec<&'a Runner>>,
    /// The runner with the most free CPU in the evacuated zones, by pool.
    evacuated: HashMap<&'a str, &'a Runner>,
    /// Whether a queue waits for others that are short of their share, as far as asked.
    yields: HashMap<QueueKey, bool>,
    /// Number of runners checked so far.
    runners_scanned: u64,
}

impl<'a> FreeRunners<'a> {
    /// Some runners of a pool with enough free capacity for a task.
    fn with_capacity_for(&mut self, pool: &str, need: Resources) -> Vec<&'a Runner> {
        let runners = self.by_pool.get(pool).into_iter().flatten().copied();
        let enough = runners.take_while(|runner| runner.free.millicores >= need.millicores);
        let runners_scanned: Vec<&Runner> = enough.take(RUNNERS_SCANNED_MAX).collect();
        self.runners_scanned += runners_scanned.len() as u64;
        runners_scanned.into_iter().filter(|runner| runner.free.covers(need)).collect()
    }

    /// Whether a queue waits for others that are short of their share.
    fn yields(&mut self, key: QueueKey, shares: &Shares) -> bool {
        let yields = || shares.must_yield(key, 0) && !shares.short_beside(key).is_empty();
        *self.yields.entry(key).or_insert_with(yields)
    }

    /// Whether a runner of an evacuated zone has enough free capacity for a task.
    fn has_evacuated(&self, pool: &str, need: Resources) -> bool {
        self.evacuated.get(pool).is_some_and(|runner| runner.free.covers(need))
    }
}

impl Leader {
    /// Adds the time since the last check to the account of each job that must end.
    pub(super) fn update_accounts(&mut self, now: Now) {
        let mut held_up = Vec::new();
        let mut overdue = Vec::new();
        let mut free_runners = self.free_runners(now);
        for (id, job) in self.state.all() {
            if job.phase != JobPhase::Active || self.ready.has_no_deadline(id) {
                continue;
            }
            if let Some(cause) = self.delay_cause(now, id, job, &mut free_runners) {
                held_up.push((id, cause));
            }
            if self.ready.is_overdue(id, now.at) {
                overdue.push(id);
            }
        }
        self.counts.runners_scanned += free_runners.runners_scanned;
        for (id, cause) in held_up {
            self.accounts.add(id, cause);
        }
        for id in overdue {
            if self.accounts.mark_overdue(id) {
                self.log_overdue(id, now);
            }
        }
    }

    fn delay_cause(
        &self,
        now: Now,
        id: JobId,
        job: &Job,
        free_runners: &mut FreeRunners<'_>,
    ) -> Option<DelayCause> {
        if let Some(step_key) = self.ready.first_waiting(id) {
            return Some(self.waiting_cause(now, step_key, free_runners));
        }
        let mut worst = None;
        for (task, last_run, view) in self.running_of(id, job) {
            let cause = self.running_cause(now, task, last_run, view);
            worst = worst.max(cause);
        }
        worst
    }

    /// Collects the runners that take tasks, for one check of all waiting jobs.
    fn free_runners(&self, now: Now) -> FreeRunners<'_> {
        let mut by_pool: HashMap<&str, Vec<&Runner>> = HashMap::new();
        let mut evacuated: HashMap<&str, &Runner> = HashMap::new();
        for runner in self.runners.values().filter(|runner| runner.reported_recently(now.at)) {
            if runner.takes_tasks() {
                by_pool.entry(&runner.pool).or_default().push(runner);
            } else if runner.zone_evacuated {
                let most = evacuated.entry(&runner.pool).or_insert(runner);
                if runner.free.millicores > most.free.millicores {
                    *most = runner;
                }
            }
        }
        for runners in by_pool.values_mut() {
            runners.sort_by_key(|runner| Reverse(runner.free.millicores));
        }
        let runners_scanned = self.runners.len() as u64;
        FreeRunners { by_pool, evacuated, yields: HashMap::new(), runners_scanned }
    }

    /// Cause that keeps a step's next task from starting.
    fn waiting_cause(
        &self,
        now: Now,
        step_key: StepKey,
        free_runners: &mut FreeRunners<'_>,
    ) -> DelayCause {
        let Some(step) = self.ready.step(step_key.job, step_key.step) else {
            return DelayCause::Order;
        };
        let Some(job) = self.state.job(step_key.job) else { return DelayCause::Order };
        if self.ready.is_held(step_key.job) {
            return DelayCause::Hold;
        }
        let yields = !step.long_running && free_runners.yields(step.queue, &self.shares);
        let mut cause = if yields { DelayCause::Share } else { DelayCause::Room };
        for runner in free_runners.with_capacity_for(self.pool_of(job), step.reserved) {
            let Some((job, spec)) = self.may_host(now, runner, step_key) else { continue };
            let kept_for = self.kept_for_queue.get(&runner.key).map(|(queue, _)| *queue);
            if !step.long_running && kept_for.is_some_and(|queue| queue != step.queue) {
                cause = DelayCause::Share;
                continue;
            }
            let trust = self.trust(now, runner);
            let takes_more = matches!(trust, Trust::Full | Trust::RetryableOnly);
            if !takes_more || !self.has_task_for(now, job, spec, step_key, runner, trust) {
                let suspect = self.has_suspect(now, step_key);
                cause = if suspect { DelayCause::Suspect } else { DelayCause::Trust };
            } else if step.may_interfere() {
                return DelayCause::Margin;
            } else {
                return if yields { DelayCause::Share } else { DelayCause::Order };
            }
        }
        match cause {
            DelayCause::Room if free_runners.has_evacuated(self.pool_of(job), step.reserved) => {
                DelayCause::Evacuation
            }
            found => found,
        }
    }

    /// Whether a waiting task of a step may run on a runner, given where it failed before.
    fn has_task_for(
        &self,
        now: Now,
        job: &Job,
        step: &StepSpec,
        step_key: StepKey,
        runner: &Runner,
        trust: Trust,
    ) -> bool {
        let StepKey { job: id, occurrence, step: at } = step_key;
        let unopened = Tasks::new(step.count);
        let tasks = job.step(occurrence, at).map_or(&unopened, |step| &step.tasks);
        tasks.waiting().any(|index| {
            let task = TaskKey { job: id, occurrence, step: at, index };
            self.next_run_unless_suspect(now, job, step, task, runner, trust).is_some()
        })
    }

    /// Runs of a job that their runners have reported.
    fn running_of<'a>(
        &'a self,
        id: JobId,
        job: &'a Job,
    ) -> impl Iterator<Item = (TaskKey, u32, &'a RunView)> {
        let steps = job.unfinished().flat_map(move |(k, occurrence)| {
            occurrence.steps.iter().enumerate().map(move |(s, step)| (k, s, step))
        });
        steps.flat_map(move |(occurrence, s, step)| {
            step.tasks.assigned().filter_map(move |(index, task)| {
                let step = u16::try_from(s).unwrap_or(u16::MAX);
                let key = TaskKey { job: id, occurrence, step, index };
                let assignment = task.assignments.last()?;
                let view = self.runners.get(&assignment.incarnation)?.running.get(&key)?;
                Some((key, task.last_run, view))
            })
        })
    }

    fn running_cause(
        &self,
        now: Now,
        task: TaskKey,
        last_run: u32,
        view: &RunView,
    ) -> Option<DelayCause> {
        let step = self.ready.step_of(task)?;
        let estimate = Duration::from_millis(step.estimate_ms);
        if view.pace.is_some_and(|pace| pace < 100) {
            Some(DelayCause::Pace)
        } else if last_run > 1 {
            Some(DelayCause::Again)
        } else {
            (now.at.since(view.first_seen) > estimate * STRAGGLER_FACTOR).then_some(DelayCause::Lag)
        }
    }
}
