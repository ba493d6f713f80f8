//! Cancellations as operators see them: what each one found, and how it was answered.
//!
//! Nothing here decides anything.

use crate::jobs::leader::{Leader, Now};
use crate::jobs::messages::{CellResponse, JobState, QueueAddress};
use crate::jobs::routes::Routes;
use std::collections::BTreeMap;
use std::fmt;
use yuccalink_state::jobs::{CellState, JobId, JobPhase};

/// Cancellations by outcome, and the stops of their runs, since the leader took over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CancelCounters {
    /// The job was active and is cancelled.
    pub cancelled: u64,
    /// The job had ended before.
    pub ended_before: u64,
    /// No job has this number.
    pub unknown: u64,
    /// No job had this number yet, because its submission was proposed and not committed. Also
    /// counted by its outcome.
    pub under_way: u64,
    /// The job is in a queue of another name than the one that the address names. Also counted
    /// by its outcome.
    pub renamed: u64,
    /// The address names no queue.
    pub without_queue: u64,
    /// Runs of cancelled jobs that were ordered to stop.
    pub stops_ordered: u64,
    /// Further orders to stop such a run.
    pub stops_repeated: u64,
    /// Runs that were still at work long after the commit of their job's cancellation.
    pub stops_late: u64,
    /// Orders to stop a run of a cancelled job that its runner lists although the run's end is
    /// committed.
    pub stops_after_end: u64,
    /// Reports that list a run of a cancelled job, and whose answer renewed no lease. It had the
    /// stop.
    pub reports_without_lease: u64,
}

/// What the leader knows of a job at a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub(in crate::jobs) enum Found {
    #[display("unknown")]
    Unknown,
    /// The submission is proposed and not committed.
    #[display("under-way")]
    UnderWay,
    #[display("{_0}")]
    Job(JobState),
}

/// Text of an optional name, and `none` without one.
pub(in crate::jobs) struct OrNone<T>(pub(in crate::jobs) Option<T>);

impl<T> fmt::Display for OrNone<T>
where
    T: fmt::Display,
{
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Some(value) => value.fmt(f),
            None => f.write_str("none"),
        }
    }
}

impl Leader {
    pub(in crate::jobs) fn found(&self, id: JobId) -> Found {
        match self.state.job(id) {
            Some(job) => Found::Job(JobState::of(job)),
            None if self.submitting.contains(id) => Found::UnderWay,
            None => Found::Unknown,
        }
    }

    /// Records a cancellation that was answered from the leader's state, without the log.
    pub(in crate::jobs) fn cancellation_answered(
        &mut self,
        at: &QueueAddress,
        id: JobId,
        response: &CellResponse,
    ) {
        let found = self.found(id);
        let queue = self.routes.route(&at.host, &at.path).map(|queue| &*queue.name);
        let job = self.state.job(id);
        let own_queue = job.map(|job| &*job.queue);
        let runs = job.map_or(0, |job| job.assignments(id).count());
        log::info!(
            "job={id} cancel queue={} found={found} own-queue={} runs={runs} response={}",
            OrNone(queue),
            OrNone(own_queue),
            response_word(response)
        );
        let counts = &mut self.counts.cancels;
        let count = match found {
            _ if queue.is_none() => &mut counts.without_queue,
            Found::Unknown | Found::UnderWay => &mut counts.unknown,
            _ => &mut counts.ended_before,
        };
        *count += 1;
    }

    /// Records a cancellation whose address names the queue of the job by another name.
    pub(in crate::jobs) fn note_renamed_queue(&mut self, at: &QueueAddress, id: JobId) {
        let queue = self.routes.route(&at.host, &at.path);
        let (Some(queue), Some(job)) = (queue, self.state.job(id)) else { return };
        if job.queue != queue.name {
            log::info!("job={id} cancel queue={} own-queue={}", queue.name, job.queue);
            self.counts.cancels.renamed += 1;
        }
    }

    /// Records a cancellation of a job that is not active.
    pub(in crate::jobs) fn note_inactive_job(&mut self, id: JobId) {
        let found = self.found(id);
        log::info!("job={id} cancel found={found}");
        self.counts.cancels.under_way += u64::from(found == Found::UnderWay);
    }

    /// Records a committed cancellation that found the job as `found`.
    pub(in crate::jobs) fn cancellation_committed(
        &mut self,
        now: Now,
        index: u64,
        id: JobId,
        found: Found,
        response: &CellResponse,
    ) {
        let counts = &mut self.counts.cancels;
        let Some(job) = self.state.job(id) else {
            counts.unknown += 1;
            let response = response_word(response);
            log::info!("job={id} cancel found={found} index={index} response={response}");
            return;
        };
        let active = matches!(found, Found::Job(JobState::Queued | JobState::Running));
        let (event, count) = match active {
            true => ("cancelled", &mut counts.cancelled),
            false => ("cancel", &mut counts.ended_before),
        };
        *count += 1;
        log::info!(
            "job={id} {event} queue={} found={found} runs={} index={index} response=ok",
            job.queue,
            job.assignments(id).count()
        );
        if active {
            self.add_cancelled_runs(now, id);
        }
    }

    /// Logs one line for each queue whose address names another queue in the `next` change set,
    /// or no queue while it has active jobs.
    pub(in crate::jobs) fn log_moved_queues(&self, next: &Routes) {
        let version = self.state.change_set().map_or(0, |change| change.version);
        let jobs = active_by_queue(&self.state);
        for old in self.routes.queues() {
            let now = next.route(&old.host, &old.prefix).map(|queue| &*queue.name);
            let active = jobs.get(&*old.name).copied().unwrap_or(0);
            if now == Some(&*old.name) || (now.is_none() && active == 0) {
                continue;
            }
            log::info!(
                "change version={version} address={}{} queue={} now={} kept={} \
                 active-jobs={active}",
                old.host,
                old.prefix,
                old.name,
                OrNone(now),
                next.queue(&old.name).is_some()
            );
        }
    }
}

fn active_by_queue(state: &CellState) -> BTreeMap<&str, u64> {
    let mut jobs = BTreeMap::new();
    for (_, job) in state.all().filter(|(_, job)| job.phase == JobPhase::Active) {
        *jobs.entry(&*job.queue).or_default() += 1;
    }
    jobs
}

fn response_word(response: &CellResponse) -> &'static str {
    match response {
        CellResponse::Ok => "ok",
        CellResponse::Gone => "gone",
        CellResponse::NoQueue => "no-queue",
        CellResponse::NotServing { .. } => "not-serving",
        CellResponse::Refused { .. } => "refused",
        CellResponse::Unknown => "unknown",
        _ => "other",
    }
}
