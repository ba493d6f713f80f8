//! Checks what becomes of jobs whose cancellation was answered.
//!
//! After an answer 2xx or 410, no run of the job may be at work for longer than it takes to stop
//! it, whatever arrives later and whoever is lost. A runner learns of the stop in the response to
//! its next report; a runner that gets no response ends its runs with its lease.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use yuccalink_coordination::Moment;
use yuccalink_coordination::jobs::{JobState, LeaderConfig, RunnerOrders};
use yuccalink_state::jobs::{JobId, TaskKey};

/// Time after the answer in which a start that was ordered before may still come.
const ORDER_LIFETIME: Duration = Duration::from_millis(1_100);
/// Time that a runner may take to stop a run and to notice the end.
const STOP_MAX: Duration = Duration::from_millis(500);

/// The first answer to the cancellation of a job.
#[derive(Clone, Copy)]
struct Answer {
    at: Moment,
    /// The answer was 410.
    is_unknown: bool,
}

impl Answer {
    fn status(self) -> &'static str {
        if self.is_unknown { "410" } else { "2xx" }
    }
}

/// What was observed of a cancelled job. Each is reported once.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Observation {
    Shown(JobId),
    Ordered(TaskKey),
    Started(TaskKey, u32),
    NotStopped(TaskKey, u32),
    AtWork(TaskKey),
}

/// Jobs whose cancellation was requested, and when it was answered.
#[derive(Default)]
pub struct CancelChecker {
    answers: BTreeMap<JobId, Option<Answer>>,
    reported: BTreeSet<Observation>,
    /// Longest time from an answer to the end of a run of its job.
    longest_stop: Duration,
}

impl CancelChecker {
    /// Records that a cancellation is sent.
    ///
    /// ```
    /// use yuccalink_coordination::Moment;
    /// use yuccalink_coordination::jobs::JobState;
    /// use yuccalink_fakes::cancel_checker::CancelChecker;
    /// use yuccalink_state::jobs::JobId;
    /// let (mut checker, job) = (CancelChecker::default(), JobId(7));
    /// checker.record_requested(job);
    /// checker.record_answered(job, true, Moment(10));
    /// assert!(checker.check_state(job, Moment(9), Moment(11), JobState::Queued).is_none());
    /// assert!(checker.check_state(job, Moment(11), Moment(12), JobState::Queued).is_some());
    /// ```
    pub fn record_requested(&mut self, id: JobId) {
        self.answers.entry(id).or_default();
    }

    /// Records an answer 2xx or, if the job `is_unknown`, 410. Returns whether it is the first for
    /// this job.
    pub fn record_answered(&mut self, id: JobId, is_unknown: bool, now: Moment) -> bool {
        let answer = self.answers.entry(id).or_default();
        let is_first = answer.is_none();
        answer.get_or_insert_with(|| Answer { at: now, is_unknown });
        is_first
    }

    /// Whether a cancellation of the job was sent.
    pub fn is_requested(&self, id: JobId) -> bool {
        self.answers.contains_key(&id)
    }

    /// Jobs whose cancellation was answered.
    pub fn answered(&self) -> Vec<JobId> {
        self.answers.iter().filter_map(|(id, answer)| answer.map(|_| *id)).collect()
    }

    /// Number of jobs whose cancellation was requested and not answered.
    pub fn unanswered(&self) -> usize {
        self.answers.values().filter(|answer| answer.is_none()).count()
    }

    fn answer(&self, id: JobId) -> Option<Answer> {
        self.answers.get(&id).copied().flatten()
    }

    /// Returns the text of a violation, unless the observation was reported before.
    fn report(
        &mut self,
        observed: Observation,
        what: &str,
        now: Moment,
        answer: Answer,
    ) -> Option<String> {
        let (status, since) = (answer.status(), now.since(answer.at));
        let text = format!("{what}, {since:?} after its cancellation was answered {status}");
        self.reported.insert(observed).then_some(text)
    }

    /// Longest time from an answer to the end of a run of its job.
    pub fn longest_stop(&self) -> Duration {
        self.longest_stop
    }

    /// Checks the state that a process showed for a read sent at `asked`.
    pub fn check_state(
        &mut self,
        id: JobId,
        asked: Moment,
        now: Moment,
        state: JobState,
    ) -> Option<String> {
        let answer = self.answer(id).filter(|answer| asked > answer.at)?;
        if !matches!(state, JobState::Queued | JobState::Running) {
            return None;
        }
        self.report(Observation::Shown(id), &format!("{id} is shown as {state:?}"), now, answer)
    }

    /// Checks a start that just happened.
    pub fn check_start(
        &mut self,
        runner: usize,
        key: TaskKey,
        run: u32,
        now: Moment,
    ) -> Option<String> {
        let answer = self.answer(key.job).filter(|a| now.since(a.at) > ORDER_LIFETIME)?;
        let what = format!("{key} run {run} starts on w{runner}");
        self.report(Observation::Started(key, run), &what, now, answer)
    }

    /// Records the end of a run.
    pub fn record_end(&mut self, key: TaskKey, now: Moment) {
        if let Some(answer) = self.answer(key.job) {
            self.longest_stop = self.longest_stop.max(now.since(answer.at));
        }
    }

    /// Checks a run that is at work on a runner whose lease is valid. No lease that was granted
    /// without a stop of the run lasts longer, whatever is lost.
    pub fn check_at_work(&mut self, runner: usize, key: TaskKey, now: Moment) -> Option<String> {
        let limit = LeaderConfig::default().lease + STOP_MAX;
        let answer = self.answer(key.job).filter(|answer| now.since(answer.at) > limit)?;
        let what = format!("{key} is at work on w{runner}");
        self.report(Observation::AtWork(key), &what, now, answer)
    }

    /// Checks the orders that a runner applies, in the response to the report that listed the
    /// runs `listed` and was sent at `sent`: a lease that lets a run of a cancelled job go on must
    /// come with its stop, and no run of it may be started.
    pub fn check_orders(
        &mut self,
        runner: usize,
        sent: Moment,
        now: Moment,
        listed: &[(TaskKey, u32)],
        orders: &RunnerOrders,
    ) -> Vec<String> {
        let mut violations = Vec::new();
        if orders.lease_ms == 0 {
            return violations;
        }
        for start in &orders.start {
            let answer = self.answer(start.task.job).filter(|answer| sent > answer.at);
            let Some(answer) = answer else { continue };
            let what = format!("w{runner} is told to start {} run {}", start.task, start.run);
            violations.extend(self.report(Observation::Ordered(start.task), &what, now, answer));
        }
        for (task, run) in listed.iter().copied() {
            let answer = self.answer(task.job).filter(|answer| sent > answer.at);
            let Some(answer) = answer else { continue };
            if !orders.stop.contains(&(task, run)) {
                let what = format!("w{runner} gets a lease and no stop of {task} run {run}");
                let observed = Observation::NotStopped(task, run);
                violations.extend(self.report(observed, &what, now, answer));
            }
        }
        violations
    }
}
