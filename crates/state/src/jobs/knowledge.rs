//! What a leader has learnt and tells the other replicas, so that a later leader begins with
//! it.
//!
//! It is not part of the replicated state: it is no decision, and it is worth nothing after
//! half a minute. Each replica keeps what it heard in memory, outside of snapshots.

use super::task::{IncarnationKey, JobId};
use serde::{Deserialize, Serialize};

/// One message of what a leader has learnt. Models and accounts are told in turn, so that a
/// message is small however many jobs there are.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Knowledge {
    /// When the message was made, in milliseconds of the leader's own clock. The phases of the
    /// models refer to the same clock.
    pub sent_ms: u64,
    /// Period of all models, in milliseconds.
    pub period_ms: u32,
    /// Interval of the runners' reports, in percent of the interval to a calm leader.
    pub report_interval_percent: u16,
    /// Models of the margins of serving steps.
    pub margins: Vec<MarginSummary>,
    /// All runners whose latest runs failed or stalled, as far as they fit.
    pub distrusted: Vec<DistrustSummary>,
    /// Accounts of delay of jobs that changed since they were last told.
    pub delays: Vec<DelaySummary>,
    /// Whether all other accounts are as they were last told, or empty.
    pub delays_complete: bool,
    /// Reserves of margin of the pools.
    pub reserves: Vec<ReserveSummary>,
}

/// Reserve of margin of one pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReserveSummary {
    /// Name of the pool.
    pub pool: Box<str>,
    /// Part of the reserve that is kept, in percent.
    pub percent: u8,
}

/// Model of the margin of one serving step: a mean and a wave, in units of
/// [`MarginSummary::UNIT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MarginSummary {
    /// The step's job.
    pub job: JobId,
    /// Occurrence of the job.
    pub occurrence: u32,
    /// The step.
    pub step: u16,
    /// Mean margin.
    pub mean: i16,
    /// Cosine part of the wave.
    pub cosine: i16,
    /// Sine part of the wave.
    pub sine: i16,
    /// Variance of the mean.
    pub mean_variance: u16,
    /// Variance of each part of the wave.
    pub wave_variance: u16,
}

impl MarginSummary {
    /// Value of one unit.
    pub const UNIT: f64 = 1.0 / 1_024.0;
}

/// A runner incarnation whose latest runs failed or stalled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DistrustSummary {
    /// The incarnation.
    pub incarnation: IncarnationKey,
    /// Failed or stalled runs since the last successful run.
    pub failures: u32,
    /// Age of the last of them, in milliseconds.
    pub age_ms: u32,
}

/// Account of delay of one job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DelaySummary {
    /// The job.
    pub job: JobId,
    /// Part of the job's age that no leader has accounted for, in milliseconds.
    pub unaccounted_ms: u32,
    /// Number of each cause that held the job up, and for how many milliseconds it did.
    pub causes: Vec<(u8, u32)>,
}

impl Knowledge {
    /// Most bytes of a message without models, runners and accounts.
    pub const HEADER_LEN_MAX: usize = 32;
}

impl MarginSummary {
    /// Number of bytes in a message.
    pub fn encoded_len(&self) -> usize {
        let unsigned = [
            self.job.0,
            u64::from(self.occurrence),
            u64::from(self.step),
            u64::from(self.mean_variance),
            u64::from(self.wave_variance),
        ];
        let signed = [self.mean, self.cosine, self.sine];
        unsigned.into_iter().map(varint_len).sum::<usize>()
            + signed.into_iter().map(signed_varint_len).sum::<usize>()
    }
}

impl DistrustSummary {
    /// Number of bytes in a message.
    pub fn encoded_len(&self) -> usize {
        let numbers = [self.incarnation.0, self.failures, self.age_ms];
        numbers.into_iter().map(|number| varint_len(number.into())).sum()
    }
}

impl ReserveSummary {
    /// Number of bytes in a message.
    pub fn encoded_len(&self) -> usize {
        let name = u64::try_from(self.pool.len()).unwrap_or(u64::MAX);
        varint_len(name) + self.pool.len() + 1
    }
}

impl DelaySummary {
    /// Number of bytes in a message.
    ///
    /// ```
    /// use yuccalink_state::jobs::{DelaySummary, JobId};
    /// let account = DelaySummary { job: JobId(7), unaccounted_ms: 200, causes: vec![(0, 250)] };
    /// assert_eq!(account.encoded_len(), 1 + 2 + 1 + (1 + 2));
    /// ```
    pub fn encoded_len(&self) -> usize {
        let count = u64::try_from(self.causes.len()).unwrap_or(u64::MAX);
        let causes = self.causes.iter().map(|(_, ms)| 1 + varint_len((*ms).into()));
        let head = [self.job.0, self.unaccounted_ms.into(), count];
        head.into_iter().map(varint_len).sum::<usize>() + causes.sum::<usize>()
    }
}

/// Number of bytes of a number in the encoding of the log: seven bits a byte.
fn varint_len(number: u64) -> usize {
    let bits = (u64::BITS - number.leading_zeros()).max(1);
    bits.div_ceil(7) as usize
}

/// The same for a signed number, whose sign is its lowest bit.
fn signed_varint_len(number: i16) -> usize {
    let number = i64::from(number);
    varint_len(((number << 1) ^ (number >> 63)).unsigned_abs())
}
