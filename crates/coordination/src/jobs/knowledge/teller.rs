//! What a leader tells in its next message: what changed, in turn, within a number of bytes.

use super::{KnowledgePolicy, TELL_INTERVAL};
use crate::jobs::account::DelayAccounts;
use crate::jobs::margin_forecast::{MarginEstimate, MarginForecasts};
use crate::jobs::ready::StepKey;
use crate::moment::Moment;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use yuccalink_state::jobs::{DistrustSummary, JobId, Knowledge, MarginSummary, ReserveSummary};

/// Share of a message that runners may take, and that runners and models may take together.
/// Accounts take the rest, which influence no decision.
const RUNNERS_SHARE: f64 = 0.25;
const MARGINS_SHARE: f64 = 0.75;
/// Interval after which an unchanged model is told again, for replicas that were away.
const REPEAT_INTERVAL: Duration = Duration::from_secs(5);

/// What is told in the next message.
#[derive(Debug, Default)]
pub(in crate::jobs) struct Teller {
    told_margins: HashMap<StepKey, ToldMargin>,
    /// Steps and jobs whose turn is still to come.
    margin_turns: VecDeque<StepKey>,
    delay_turns: VecDeque<JobId>,
}

/// A model as it was last told.
#[derive(Clone, Copy, Debug)]
struct ToldMargin {
    at: Moment,
    parts: [f64; 3],
}

/// What a leader knows of its runners.
#[derive(Debug, Default)]
pub(in crate::jobs) struct RunnerKnowledge {
    /// Runners whose latest runs failed, the most important first.
    pub(in crate::jobs) distrusted: Vec<DistrustSummary>,
    pub(in crate::jobs) report_interval_percent: u16,
    pub(in crate::jobs) reserves: Vec<ReserveSummary>,
}

impl Teller {
    /// Makes the next message. Returns it with the number of its bytes.
    pub(in crate::jobs) fn next_message(
        &mut self,
        now: Moment,
        policy: KnowledgePolicy,
        runners: RunnerKnowledge,
        forecasts: &MarginForecasts<StepKey>,
        accounts: &mut DelayAccounts,
    ) -> (Knowledge, usize) {
        let most = f64::from(policy.bytes_per_s) * TELL_INTERVAL.as_secs_f64();
        let mut used = Knowledge::HEADER_LEN_MAX;
        let mut message = Knowledge {
            sent_ms: now.0 / 1_000,
            report_interval_percent: runners.report_interval_percent,
            ..Knowledge::default()
        };
        let limit = most * RUNNERS_SHARE;
        message.reserves =
            take_fitting(runners.reserves, ReserveSummary::encoded_len, &mut used, limit);
        message.distrusted =
            take_fitting(runners.distrusted, DistrustSummary::encoded_len, &mut used, limit);
        // The phases of the models refer to whole milliseconds, like `sent_ms`.
        let sent = Moment::from_millis(message.sent_ms);
        used = self.tell_margins(sent, forecasts, &mut message, used, most * MARGINS_SHARE);
        used = self.tell_delays(accounts, &mut message, used, most);
        (message, used)
    }

    /// Forgets the steps of jobs that have ended.
    pub(in crate::jobs) fn retain<F>(&mut self, is_kept: F)
    where
        F: Fn(JobId) -> bool,
    {
        self.told_margins.retain(|key, _| is_kept(key.job));
    }

    fn tell_margins(
        &mut self,
        now: Moment,
        forecasts: &MarginForecasts<StepKey>,
        message: &mut Knowledge,
        mut used: usize,
        most: f64,
    ) -> usize {
        let (period_ms, models) = forecasts.told();
        message.period_ms = period_ms;
        if self.margin_turns.is_empty() {
            let due = models.filter(|(key, model)| {
                let told = self.told_margins.get(key);
                told.is_none_or(|told| told.is_due(now, &model.estimate(now)))
            });
            let mut due: Vec<StepKey> = due.map(|(key, _)| key).collect();
            due.sort_unstable();
            self.margin_turns = due.into();
        }
        while let Some(key) = self.margin_turns.front().copied() {
            if let Some(model) = forecasts.get(key) {
                let estimate = model.estimate(now);
                let summary = margin_summary(key, &estimate);
                let len = summary.encoded_len();
                if (used + len) as f64 > most {
                    break;
                }
                used += len;
                message.margins.push(summary);
                self.told_margins.insert(key, ToldMargin { at: now, parts: estimate.parts });
            }
            self.margin_turns.pop_front();
        }
        used
    }

    fn tell_delays(
        &mut self,
        accounts: &mut DelayAccounts,
        message: &mut Knowledge,
        mut used: usize,
        most: f64,
    ) -> usize {
        if self.delay_turns.is_empty() {
            self.delay_turns = accounts.changed().into();
        }
        while let Some(id) = self.delay_turns.front().copied() {
            if let Some(summary) = accounts.summary(id) {
                let len = summary.encoded_len();
                if (used + len) as f64 > most {
                    break;
                }
                used += len;
                message.delays.push(summary);
                accounts.mark_told(id);
            }
            self.delay_turns.pop_front();
        }
        message.delays_complete = self.delay_turns.is_empty() && accounts.changed().is_empty();
        used
    }
}

/// Takes the first items that fit a message, of which `used` bytes are taken, up to `limit`.
fn take_fitting<T, F>(items: Vec<T>, encoded_len: F, used: &mut usize, limit: f64) -> Vec<T>
where
    F: Fn(&T) -> usize,
{
    let fits = |item: &T| {
        let len = *used + encoded_len(item);
        let fits = len as f64 <= limit;
        if fits {
            *used = len;
        }
        fits
    };
    items.into_iter().take_while(fits).collect()
}

impl ToldMargin {
    /// Whether the model changed by more than its own uncertainty, or was told long ago.
    fn is_due(&self, now: Moment, estimate: &MarginEstimate) -> bool {
        let [mean, cosine, sine] = estimate.parts;
        let differs = |part: f64, told: f64, variance: f64| (part - told).powi(2) > variance;
        now.since(self.at) >= REPEAT_INTERVAL
            || differs(mean, self.parts[0], estimate.mean_variance)
            || differs(cosine, self.parts[1], estimate.wave_variance)
            || differs(sine, self.parts[2], estimate.wave_variance)
    }
}

fn margin_summary(key: StepKey, estimate: &MarginEstimate) -> MarginSummary {
    // A conversion from a float saturates.
    let signed = |value: f64| (value / MarginSummary::UNIT).round() as i16;
    let unsigned = |value: f64| (value / MarginSummary::UNIT).ceil() as u16;
    let [mean, cosine, sine] = estimate.parts;
    MarginSummary {
        job: key.job,
        occurrence: key.occurrence,
        step: key.step,
        mean: signed(mean),
        cosine: signed(cosine),
        sine: signed(sine),
        mean_variance: unsigned(estimate.mean_variance),
        wave_variance: unsigned(estimate.wave_variance),
    }
}
