//! Where the leader tells what it has learnt, and takes over what it heard.

use super::HeardKnowledge;
use super::teller::RunnerKnowledge;
use crate::jobs::leader::{Leader, Now, OnCommit};
use crate::jobs::report_rate::millis;
use crate::jobs::reserve::Reserve;
use crate::jobs::runner::{Health, Runner};
use std::cmp::Reverse;
use yuccalink_state::jobs::{DistrustSummary, JobCommand, JobId, ReserveSummary};

impl Leader {
    /// Takes over what this replica heard from earlier leaders. Called once, before the first
    /// request.
    ///
    /// ```
    /// use yuccalink_coordination::jobs::*;
    /// use yuccalink_state::jobs::CellState;
    /// let mut leader = Leader::new(LeaderConfig::default(), 2, CellState::new(), Now::default());
    /// leader.recall(Now::default(), &HeardKnowledge::default());
    /// assert_eq!(leader.counts().margins_recalled, 0);
    /// ```
    pub fn recall(&mut self, now: Now, heard: &HeardKnowledge) {
        if !self.cfg.policy.knowledge.mode.is_on() {
            return;
        }
        if let Some(period_ms) = heard.period_ms(now.at) {
            let state = &self.state;
            let margins =
                heard.recent_margins(now.at).filter(|margin| state.is_active(margin.job.job));
            let count = self.forecasts.recall(period_ms, margins, now.at);
            self.counts.margins_recalled = count as u64;
        }
        for (runner, age) in heard.distrusted(now.at) {
            let health = Health::recalled(runner.failures, now.at - age);
            self.recalled_health.insert(runner.incarnation, health);
        }
        self.counts.distrusted_recalled = self.recalled_health.len() as u64;
        if let Some(percent) = heard.report_interval_percent(now.at) {
            self.report_rate.recall(percent);
        }
        for told in heard.reserves(now.at) {
            let level = f64::from(told.percent) / 100.0;
            self.reserves.insert(told.pool.clone(), Reserve::recalled(level, now.at));
        }
        self.recall_accounts(now, heard);
        log::info!(
            "recalled age={:?} period={}s margins={} distrusted={} accounts={} slowed={}",
            heard.age(now.at),
            self.forecasts.period_s(),
            self.counts.margins_recalled,
            self.counts.distrusted_recalled,
            self.counts.accounts_recalled,
            self.report_rate.is_slowed()
        );
    }

    fn recall_accounts(&mut self, now: Now, heard: &HeardKnowledge) {
        let active: Vec<JobId> =
            self.state.all().map(|(id, _)| id).filter(|id| self.state.is_active(*id)).collect();
        for id in active {
            let Some((summary, age)) = heard.delay(id, now.at) else { continue };
            if self.accounts.recall(id, summary, age) {
                self.counts.accounts_recalled += 1;
            }
        }
    }

    /// Proposes the next message of what this leader has learnt.
    pub(in crate::jobs) fn tell_knowledge(&mut self, now: Now) {
        let policy = self.cfg.policy.knowledge;
        if !policy.mode.is_on() {
            return;
        }
        let runners = RunnerKnowledge {
            distrusted: self.distrusted_runners(now),
            report_interval_percent: self.report_rate.percent(),
            reserves: self.told_reserves(),
        };
        let (message, len) =
            self.teller.next_message(now.at, policy, runners, &self.forecasts, &mut self.accounts);
        self.counts.knowledge_bytes += len as u64;
        self.propose(JobCommand::Tell(Box::new(message)), OnCommit::Nothing);
    }

    fn told_reserves(&self) -> Vec<ReserveSummary> {
        let summary = |pool: &str, reserve: &Reserve| ReserveSummary {
            pool: pool.into(),
            percent: (reserve.level() * 100.0).round() as u8,
        };
        self.reserves.iter().map(|(pool, reserve)| summary(pool, reserve)).collect()
    }

    /// Runners whose latest runs failed: the most failures first, then the latest.
    fn distrusted_runners(&self, now: Now) -> Vec<DistrustSummary> {
        let forgiven = self.cfg.policy.distrust.forgiven.to_duration();
        let summary = |runner: &Runner| {
            let (failures, age) = runner.health.failures(now.at)?;
            (age <= forgiven).then(|| DistrustSummary {
                incarnation: runner.key,
                failures,
                age_ms: u32::try_from(millis(age)).unwrap_or(u32::MAX),
            })
        };
        let mut found: Vec<DistrustSummary> = self.runners.values().filter_map(summary).collect();
        found.sort_by_key(|runner| (Reverse(runner.failures), runner.age_ms));
        found
    }
}
