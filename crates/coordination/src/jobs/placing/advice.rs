//! Tickets of an external placement policy. The leader sends one query at a time, about the
//! runners with the most free capacity, before a step starts, and keeps the tickets for as
//! long as they are valid.

use crate::jobs::external::{ExternalCall, ExternalCallId, ExternalReply};
use crate::jobs::leader::{Leader, Now};
use crate::jobs::ready::StepKey;
use crate::moment::Moment;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use yuccalink_state::jobs::IncarnationKey;

/// Runners in one query. A job's objective leaves no time for more.
const RUNNERS_QUERIED_MAX: usize = 30;
/// A ticket that expires sooner than this may not reach its runner in time.
const TICKET_MARGIN: Duration = Duration::from_millis(1_200);
/// Longest wait for a reply before another query is sent.
const REPLY_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Tickets of one step, and the runners that were already queried.
#[derive(Debug, Default)]
struct StepTickets {
    tickets: BTreeMap<IncarnationKey, Box<str>>,
    until: Moment,
    queried: BTreeSet<IncarnationKey>,
}

/// The query that waits for its reply.
#[derive(Debug)]
struct PendingQuery {
    call: ExternalCallId,
    step_key: StepKey,
    /// The runners in the query, by name.
    incarnations: BTreeMap<Box<str>, IncarnationKey>,
    since: Moment,
}

/// Tickets of all steps, and the pending query.
#[derive(Debug, Default)]
pub(in crate::jobs) struct Advice {
    by_step: BTreeMap<StepKey, StepTickets>,
    pending: Option<PendingQuery>,
}

impl Advice {
    /// The ticket for a step's tasks on a runner, if it is valid for long enough.
    pub(in crate::jobs) fn ticket(
        &self,
        step_key: StepKey,
        incarnation: IncarnationKey,
        now: Moment,
    ) -> Option<&str> {
        let known =
            self.by_step.get(&step_key).filter(|known| known.until > now + TICKET_MARGIN)?;
        known.tickets.get(&incarnation).map(|ticket| &**ticket)
    }

    /// Handles a reply; false if it does not belong to the pending query.
    pub(in crate::jobs) fn handle_reply(
        &mut self,
        call: ExternalCallId,
        reply: &ExternalReply,
    ) -> bool {
        let Some(query) = self.pending.take_if(|query| query.call == call) else { return false };
        let ExternalReply::Advice { allowed, validity_ms } = reply else { return true };
        let known = self.by_step.entry(query.step_key).or_default();
        // The validity begins between the query and its reply; count from the earliest time.
        known.until = query.since + Duration::from_millis(*validity_ms);
        known.queried.extend(query.incarnations.values());
        for (name, ticket) in allowed {
            if let Some(incarnation) = query.incarnations.get(name) {
                known.tickets.insert(*incarnation, ticket.clone());
            }
        }
        true
    }
}

impl Leader {
    /// Whether a step's tasks need a ticket.
    pub(in crate::jobs) fn needs_ticket(&self, step_key: StepKey) -> bool {
        let job = self.state.job(step_key.job);
        let queue = job.and_then(|job| self.routes.queue(&job.queue));
        queue.is_some_and(|queue| queue.advisor.is_some())
    }

    /// Sends a query for the first step in order that needs tickets and has no usable one.
    pub(in crate::jobs) fn query_advice(&mut self, now: Now) {
        if self.advice.pending.as_ref().is_some_and(|a| now.at.since(a.since) < REPLY_TIMEOUT) {
            return;
        }
        self.advice.pending = None;
        // Tickets that expire too soon to be used are dropped, so that new ones are requested.
        self.advice.by_step.retain(|_, known| known.until > now.at + TICKET_MARGIN);
        let wants = |step_key: &StepKey| {
            self.needs_ticket(*step_key) && !self.has_capacity_by_ticket(*step_key)
        };
        let Some(step_key) = self.ready.order().find(wants) else { return };
        let incarnations = self.incarnations_to_query(step_key);
        if incarnations.is_empty() {
            return;
        }
        let call = self.call(ExternalCall::Advise {
            job: step_key.job,
            occurrence: step_key.occurrence,
            step: step_key.step,
            runners: incarnations.keys().cloned().collect(),
        });
        log::info!(
            "advice asked job={} step={} runners={}",
            step_key.job,
            step_key.step,
            incarnations.len()
        );
        self.advice.pending = Some(PendingQuery { call, step_key, incarnations, since: now.at });
    }

    /// Whether a runner with a ticket has free capacity for a task of the step.
    fn has_capacity_by_ticket(&self, step_key: StepKey) -> bool {
        let Some(known) = self.advice.by_step.get(&step_key) else { return false };
        let Some(step) = self.ready.step(step_key.job, step_key.step) else { return false };
        known.tickets.keys().any(|incarnation| {
            self.runners
                .get(incarnation)
                .is_some_and(|r| r.takes_tasks() && r.free.covers(step.reserved))
        })
    }

    /// The runners with the most free capacity that were not yet in a query for this step.
    /// All runners count again once the tickets of the step have expired.
    fn incarnations_to_query(&self, step_key: StepKey) -> BTreeMap<Box<str>, IncarnationKey> {
        let Some(step) = self.ready.step(step_key.job, step_key.step) else {
            return BTreeMap::new();
        };
        let known = self.advice.by_step.get(&step_key);
        let queried = |incarnation: IncarnationKey| {
            known.is_some_and(|known| known.queried.contains(&incarnation))
        };
        let fits = |r: &&crate::jobs::runner::Runner| {
            r.takes_tasks() && r.free.covers(step.reserved) && !queried(r.key)
        };
        let mut runners: Vec<_> = self.runners.values().filter(fits).collect();
        runners.sort_by_key(|runner| std::cmp::Reverse(runner.free.millicores));
        runners.into_iter().take(RUNNERS_QUERIED_MAX).map(|r| (r.id.clone(), r.key)).collect()
    }
}
