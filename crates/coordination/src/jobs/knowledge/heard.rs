//! What a replica heard from the leaders, in case it becomes the leader.
//!
//! A leader's clock has another origin than this replica's. The least time between the
//! sending of a message, by the leader's clock, and its arrival, by the own clock, is the
//! difference of the two plus the delay of the fastest message. It does not depend on the wall
//! clocks.

use super::{MARGIN_AGE_MAX, RUNNERS_AGE_MAX};
use crate::jobs::margin_forecast::{MarginEstimate, RecalledMargin};
use crate::jobs::ready::StepKey;
use crate::moment::Moment;
use std::collections::BTreeMap;
use std::time::Duration;
use yuccalink_state::jobs::{
    CellState, DelaySummary, DistrustSummary, JobId, Knowledge, MarginSummary, ReserveSummary,
};

/// Knowledge heard by one replica since its process started.
#[derive(Clone, Debug, Default)]
pub struct HeardKnowledge {
    /// Clocks of the leaders, by term.
    clocks: BTreeMap<u64, LeaderClock>,
    margins: BTreeMap<StepKey, (Sent, MarginSummary)>,
    delays: BTreeMap<JobId, (Sent, DelaySummary)>,
    /// When all accounts were last known to be as heard.
    delays_complete: Option<Sent>,
    latest: Option<LatestMessage>,
}

/// Least time between sending and arrival, in microseconds.
#[derive(Clone, Copy, Debug)]
struct LeaderClock {
    offset_us: i64,
}

/// When a message was sent, by the clock of the leader of a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Sent {
    term: u64,
    at: Moment,
}

/// The parts of the last message that it replaces as a whole.
#[derive(Clone, Debug)]
struct LatestMessage {
    sent: Sent,
    period_ms: u32,
    report_interval_percent: u16,
    distrusted: Vec<DistrustSummary>,
    reserves: Vec<ReserveSummary>,
}

impl HeardKnowledge {
    /// Takes a message that arrives in the log at `now`. Only for records of the current
    /// term: those of earlier ones may be of any age. `state` tells which jobs are active.
    ///
    /// ```
    /// use yuccalink_coordination::Moment;
    /// use yuccalink_coordination::jobs::HeardKnowledge;
    /// use yuccalink_state::jobs::{CellState, Knowledge};
    /// let mut heard = HeardKnowledge::default();
    /// heard.hear(Moment::from_millis(70), 3, &Knowledge::default(), &CellState::new());
    /// assert_eq!(heard.margins(Moment::from_millis(90)).count(), 0);
    /// ```
    pub fn hear(&mut self, now: Moment, term: u64, message: &Knowledge, state: &CellState) {
        let sent = Sent { term, at: Moment::from_millis(message.sent_ms) };
        let offset_us = signed_us(now) - signed_us(sent.at);
        let clock = self.clocks.entry(term).or_insert(LeaderClock { offset_us });
        clock.offset_us = clock.offset_us.min(offset_us);
        for summary in &message.margins {
            let key =
                StepKey { job: summary.job, occurrence: summary.occurrence, step: summary.step };
            self.margins.insert(key, (sent, *summary));
        }
        for summary in &message.delays {
            self.delays.insert(summary.job, (sent, summary.clone()));
        }
        if message.delays_complete {
            self.delays_complete = Some(sent);
        }
        self.latest = Some(LatestMessage {
            sent,
            period_ms: message.period_ms,
            report_interval_percent: message.report_interval_percent,
            distrusted: message.distrusted.clone(),
            reserves: message.reserves.clone(),
        });
        self.forget_old(now, state);
    }

    fn forget_old(&mut self, now: Moment, state: &CellState) {
        let clocks = &self.clocks;
        self.margins.retain(|key, (sent, _)| {
            let age = age_of(clocks, *sent, now);
            state.is_active(key.job) && age.is_some_and(|age| age <= MARGIN_AGE_MAX)
        });
        self.delays.retain(|id, _| state.is_active(*id));
        let oldest = self.margins.values().map(|(sent, _)| sent.term);
        let oldest = oldest.chain(self.delays.values().map(|(sent, _)| sent.term));
        let oldest = oldest.chain(self.delays_complete.map(|sent| sent.term));
        let oldest = oldest.chain(self.latest.as_ref().map(|latest| latest.sent.term)).min();
        if let Some(oldest) = oldest {
            self.clocks.retain(|term, _| *term >= oldest);
        }
    }

    /// Period of the models in milliseconds, if it was told recently.
    pub fn period_ms(&self, now: Moment) -> Option<u32> {
        let latest = self.latest_within(now, MARGIN_AGE_MAX)?;
        Some(latest.period_ms)
    }

    /// Age of the last message.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.age_of(self.latest.as_ref()?.sent, now)
    }

    /// Models of margins that were told recently.
    pub(in crate::jobs) fn recent_margins(
        &self,
        now: Moment,
    ) -> impl Iterator<Item = RecalledMargin<StepKey>> {
        self.margins.iter().filter_map(move |(key, (sent, summary))| {
            let age = self.age_of(*sent, now).filter(|age| *age <= MARGIN_AGE_MAX)?;
            let shift_s = self.clocks.get(&sent.term)?.offset_us as f64 / 1e6;
            Some(RecalledMargin { job: *key, told: margin_estimate(summary), shift_s, age })
        })
    }

    /// Models of margins that were told recently, without their steps.
    pub fn margins(&self, now: Moment) -> impl Iterator<Item = MarginEstimate> {
        self.recent_margins(now).map(|margin| margin.told)
    }

    /// Runners whose latest runs failed, with the age of the last failure.
    pub(in crate::jobs) fn distrusted(
        &self,
        now: Moment,
    ) -> impl Iterator<Item = (DistrustSummary, Duration)> {
        let latest = self.latest_within(now, RUNNERS_AGE_MAX);
        latest.into_iter().flat_map(move |latest| {
            let told = self.age_of(latest.sent, now).unwrap_or(RUNNERS_AGE_MAX);
            latest
                .distrusted
                .iter()
                .map(move |runner| (*runner, told + Duration::from_millis(runner.age_ms.into())))
        })
    }

    /// Interval of the reports, in percent of the interval to a calm leader.
    pub(in crate::jobs) fn report_interval_percent(&self, now: Moment) -> Option<u16> {
        self.latest_within(now, RUNNERS_AGE_MAX).map(|latest| latest.report_interval_percent)
    }

    /// Reserves of margin of the pools.
    pub(in crate::jobs) fn reserves(&self, now: Moment) -> &[ReserveSummary] {
        self.latest_within(now, RUNNERS_AGE_MAX).map_or(&[], |latest| &latest.reserves)
    }

    /// The account of a job, and the time since it was known to be right. There is none if
    /// nothing was heard of a job that is older.
    pub(in crate::jobs) fn delay(
        &self,
        id: JobId,
        now: Moment,
    ) -> Option<(Option<&DelaySummary>, Duration)> {
        let complete = self.delays_complete.and_then(|sent| self.age_of(sent, now));
        let told = self.delays.get(&id);
        let told_age = told.and_then(|(sent, _)| self.age_of(*sent, now));
        let age = [complete, told_age].into_iter().flatten().min()?;
        Some((told.map(|(_, summary)| summary), age))
    }

    fn latest_within(&self, now: Moment, age_max: Duration) -> Option<&LatestMessage> {
        let latest = self.latest.as_ref()?;
        self.age_of(latest.sent, now).filter(|age| *age <= age_max).map(|_| latest)
    }

    fn age_of(&self, sent: Sent, now: Moment) -> Option<Duration> {
        age_of(&self.clocks, sent, now)
    }
}

fn age_of(clocks: &BTreeMap<u64, LeaderClock>, sent: Sent, now: Moment) -> Option<Duration> {
    let clock = clocks.get(&sent.term)?;
    let age_us = signed_us(now) - signed_us(sent.at) - clock.offset_us;
    Some(Duration::from_micros(u64::try_from(age_us).unwrap_or(0)))
}

fn signed_us(at: Moment) -> i64 {
    i64::try_from(at.0).unwrap_or(i64::MAX)
}

fn margin_estimate(summary: &MarginSummary) -> MarginEstimate {
    let value = |units: f64| units * MarginSummary::UNIT;
    MarginEstimate {
        parts: [summary.mean, summary.cosine, summary.sine].map(|part| value(part.into())),
        mean_variance: value(summary.mean_variance.into()),
        wave_variance: value(summary.wave_variance.into()),
    }
}
