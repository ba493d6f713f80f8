//! Keys of jobs, tasks and runner incarnations, and the state of one task.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A job's number, chosen by its caller: 16 hexadecimal digits.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct JobId(pub u64);

/// Number of digits in a job's number.
const DIGITS: usize = 16;

impl JobId {
    /// Parses 16 lower-case hexadecimal digits. No other form is accepted, so that the
    /// printed number always equals the text that the caller sent.
    ///
    /// ```
    /// use yuccalink_state::jobs::JobId;
    /// assert_eq!(JobId::parse("000000000000002a"), Some(JobId(42)));
    /// assert_eq!(JobId::parse("2a"), None);
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if text.len() != DIGITS || !text.bytes().all(digit) {
            return None;
        }
        u64::from_str_radix(text, 16).ok().map(Self)
    }
}

/// Key of a task, printed as `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{job}.{occurrence}.{step}.{index}")]
pub struct TaskKey {
    /// The task's job.
    pub job: JobId,
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Number of the step, from 0.
    pub step: u16,
    /// Number of the task within the step, from 0.
    pub index: u16,
}

impl TaskKey {
    /// Parses the form that [`Display`] writes.
    ///
    /// ```
    /// use yuccalink_state::jobs::TaskKey;
    /// let key = TaskKey::parse("000000000000002a.0.1.17").unwrap();
    /// assert_eq!(key.index, 17);
    /// assert_eq!(key.to_string(), "000000000000002a.0.1.17");
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('.');
        let job = JobId::parse(parts.next()?)?;
        let occurrence = parts.next()?.parse().ok()?;
        let step = parts.next()?.parse().ok()?;
        let index = parts.next()?.parse().ok()?;
        parts.next().is_none().then_some(Self { job, occurrence, step, index })
    }
}

/// Key of a runner incarnation; keys are numbered in the order of registration.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("life {_0}")]
#[serde(transparent)]
pub struct IncarnationKey(pub u32);

/// A run that is assigned to a runner incarnation and may still be running there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunAssignment {
    /// Number of the run.
    pub run: u32,
    /// The runner incarnation.
    #[serde(rename = "life")]
    pub incarnation: IncarnationKey,
}

/// The state of one task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Whether one of the task's runs has done its work.
    pub done: bool,
    /// Number of the newest run; the next run has a higher one.
    pub last_run: u32,
    /// Number of runs that failed.
    pub failures: u32,
    /// The newest checkpoint, empty for none.
    #[serde(rename = "saved")]
    pub checkpoint: Box<str>,
    /// Runs that may be running: at most one, or two in a speculative step.
    #[serde(rename = "holds")]
    pub assignments: Vec<RunAssignment>,
    /// Runner incarnations on which the task failed; later runs avoid them.
    pub failed_on: Vec<IncarnationKey>,
    /// Later runs on those incarnations.
    #[serde(skip)]
    pub retries: TaskRetries,
}

/// Later runs of a task on runner incarnations on which it had failed.
pub type TaskRetries = Vec<RetriedOn>;

/// Later runs of a task on a runner incarnation on which it had failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetriedOn {
    /// The runner incarnation.
    pub incarnation: IncarnationKey,
    /// Number of the first of these runs.
    pub first_run: u32,
    /// Numbers of those that failed.
    pub failed_runs: Vec<u32>,
}

impl Task {
    /// Whether the task is neither done nor assigned to a runner.
    pub fn is_waiting(&self) -> bool {
        !self.done && self.assignments.is_empty()
    }

    /// Whether the task is not done and has a run that may be running.
    pub(super) fn is_busy(&self) -> bool {
        !self.done && !self.assignments.is_empty()
    }

    /// Whether the failure of a run on a runner incarnation is recorded, for a run that is not
    /// assigned there any more. A run that was given up may have failed without a record.
    pub fn has_recorded_failure(&self, incarnation: IncarnationKey, run: u32) -> bool {
        let mut retries = self.retries.iter();
        match retries.find(|retried| retried.incarnation == incarnation) {
            Some(retried) if run >= retried.first_run => retried.failed_runs.contains(&run),
            // Before the first retry, the task failed there exactly once.
            _ => self.failed_on.contains(&incarnation),
        }
    }

    /// Records the start of a run on a runner incarnation, if the task has failed there.
    pub(super) fn record_retry(&mut self, incarnation: IncarnationKey, run: u32) {
        let is_known = self.retries.iter().any(|retried| retried.incarnation == incarnation);
        if self.failed_on.contains(&incarnation) && !is_known {
            self.retries.push(RetriedOn { incarnation, first_run: run, failed_runs: Vec::new() });
        }
    }

    /// Counts a failed run on a runner incarnation.
    pub(super) fn record_failure(&mut self, incarnation: IncarnationKey, run: u32) {
        self.failures += 1;
        if !self.failed_on.contains(&incarnation) {
            self.failed_on.push(incarnation);
        }
        let retried = self.retries.iter_mut().find(|r| r.incarnation == incarnation);
        if let Some(retried) = retried.filter(|retried| run >= retried.first_run) {
            retried.failed_runs.push(run);
        }
    }

    /// Number of runs that may be running.
    pub(super) fn assigned_len(&self) -> u32 {
        u32::try_from(self.assignments.len()).unwrap_or(u32::MAX)
    }
}
