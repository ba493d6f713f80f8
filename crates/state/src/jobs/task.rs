//! Keys of jobs, tasks and runners' lives, and the state of one task.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A job's number, chosen by its caller: 16 hexadecimal digits.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct JobId(pub u64);

/// Digits in a job's number.
const DIGITS: usize = 16;

impl JobId {
    /// Reads 16 lower-case hexadecimal digits; nothing else is a job's number, since
    /// it is given back in the same form.
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

/// One task: `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{job}.{occurrence}.{step}.{index}")]
pub struct TaskKey {
    /// Its job.
    pub job: JobId,
    /// Which time the job runs, from 0.
    pub occurrence: u32,
    /// Which step, from 0.
    pub step: u16,
    /// Which task of the step, from 0.
    pub index: u16,
}

impl TaskKey {
    /// Reads what [`Display`] writes.
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

/// One life of a runner, in the order in which lives were first heard of.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("life {_0}")]
#[serde(transparent)]
pub struct IncarnationKey(pub u32);

/// A run of a task that may be running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunAssignment {
    /// Number of the run.
    pub run: u32,
    /// Where it may be running.
    #[serde(rename = "life")]
    pub incarnation: IncarnationKey,
}

/// What became of one task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// One of its runs has ended as done.
    pub done: bool,
    /// The newest run's number; the next is higher.
    pub last_run: u32,
    /// Runs that failed.
    pub failures: u32,
    /// The newest checkpoint, empty for none.
    #[serde(rename = "saved")]
    pub checkpoint: Box<str>,
    /// Runs that may be running: one, or two of a speculative step.
    #[serde(rename = "holds")]
    pub assignments: Vec<RunAssignment>,
    /// Where it failed before; another try goes elsewhere.
    pub failed_on: Vec<IncarnationKey>,
}
