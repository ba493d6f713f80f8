//! State of the leader: commands that wait for the log, pending responses and timers.

use super::account::DelayAccounts;
use super::admission::Admission;
use super::advice::Advice;
use super::cancelled_runs::CancelledRuns;
use super::capacity::KeptFree;
use super::evacuation::ZoneProgress;
use super::external::{ExternalCall, ExternalCallId, ExternalReply};
use super::free_index::FreeIndex;
use super::incarnations::Incarnations;
use super::interference::Interference;
use super::job_harm::JobHarms;
use super::knowledge::Teller;
use super::margin_forecast::MarginForecasts;
use super::messages::{
    CellRequest, CellResponse, FinishedRun, RunnerOrders, RunnerReport, RunnerState,
};
use super::oversized::LargestRunners;
use super::policy::Policy;
use super::ready::{Rank, ReadyQueue, StepKey};
use super::refusal::RefusalLog;
use super::remembered::RememberedCancellations;
use super::report_rate::millis;
use super::report_rate::{self, ReportRate};
use super::reserve::Reserve;
use super::retry::FailureTimes;
use super::room::{JobRoom, PROCESS_MEMORY, Submitting};
use super::routes::Routes;
use super::runner::{Health, Runner};
use super::scarcity::{Claim, Scarcity};
use super::shares::{QueueKey, Share, Shares};
use super::starting::Starting;
use super::suspects::Suspects;
use super::telemetry::LeaderCounters;
use super::waves::Waves;
use crate::moment::Moment;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Weak;
use std::time::Duration;
use yuccalink_state::evacuation::ZoneOrder;
use yuccalink_state::jobs::{CellState, IncarnationKey, Job, JobCommand, JobId, JobPhase, TaskKey};

/// Mean retry delay after a request that expired while it waited.
const EXPIRED_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Current time on the clock of the leases and on the wall clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// Time on the clock that also runs while the VM is suspended.
    pub at: Moment,
    /// Wall clock time in Unix milliseconds; may jump.
    pub unix_ms: u64,
}

/// Correlates a request with its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestToken(pub u64);

/// Configuration of the leader.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaderConfig {
    /// Duration of a lease on runs; must be equal in all processes.
    pub lease: Duration,
    /// How long the state of an ended job is kept.
    pub job_retention: Duration,
    /// Longest interval between two reports of a runner.
    pub heartbeat: Duration,
    /// Bounds on the memory of jobs.
    pub room: JobRoom,
    /// Scheduling policy.
    pub policy: Policy,
}

impl Default for LeaderConfig {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(5_000),
            job_retention: Duration::from_secs(130),
            heartbeat: Duration::from_millis(1_500),
            room: JobRoom::of_process(PROCESS_MEMORY),
            policy: Policy::default(),
        }
    }
}

/// Action to take when a proposed command is committed.
pub(super) enum OnCommit {
    Submitted { id: JobId, token: RequestToken },
    Cancelled(RequestToken),
    Changed { version: u64, token: RequestToken },
    Met { token: RequestToken, report: Box<RunnerReport> },
    Heartbeat(u64),
    Zone { order: Box<ZoneOrder>, token: RequestToken },
    Acknowledged(RequestToken),
    Nothing,
}

/// A heartbeat whose response waits for its commands to be committed.
pub(super) struct PendingHeartbeat {
    pub(super) token: RequestToken,
    pub(super) incarnation: IncarnationKey,
    pub(super) commands: u32,
    /// Run ends that the report lists, to be acknowledged once the commands are committed.
    pub(super) finished: Vec<FinishedRun>,
    pub(super) since: Moment,
    /// The heartbeat was answered before all of its commands were committed.
    pub(super) answered: bool,
}

/// Leader of one job cell, for as long as its replica leads the Raft log.
pub struct Leader {
    pub(super) cfg: LeaderConfig,
    pub(super) term: u64,
    pub(super) started: Moment,
    pub(super) state: CellState,
    pub(super) runners: BTreeMap<IncarnationKey, Runner>,
    pub(super) free_index: FreeIndex,
    pub(super) incarnations: Incarnations,
    pub(super) routes: Routes,
    pub(super) ready: ReadyQueue,
    pub(super) shares: Shares,
    /// Runners that take no short tasks but those of one queue, and until when.
    pub(super) kept_for_queue: BTreeMap<IncarnationKey, (QueueKey, Moment)>,
    pub(super) interference: Interference,
    pub(super) forecasts: MarginForecasts<StepKey>,
    pub(super) teller: Teller,
    /// Health, as an earlier leader knew it, of runners that have not reported yet.
    pub(super) recalled_health: BTreeMap<IncarnationKey, Health>,
    pub(super) job_harms: JobHarms<StepKey>,
    /// Reserve of margin of each pool.
    pub(super) reserves: BTreeMap<Box<str>, Reserve>,
    /// Tasks whose start is proposed but not committed.
    pub(super) starting: Starting,
    /// Text of the change set with this version, as long as a response holds it.
    pub(super) document: (u64, Weak<[u8]>),
    /// Jobs whose submission is proposed but not committed.
    pub(super) submitting: Submitting,
    /// Runs whose end is proposed but not committed.
    pub(super) ending: BTreeSet<(TaskKey, u32)>,
    pub(super) heartbeats: BTreeMap<u64, PendingHeartbeat>,
    pub(super) next_heartbeat: u64,
    pub(super) proposal_queue: VecDeque<(JobCommand, OnCommit)>,
    pub(super) batch: Vec<OnCommit>,
    pub(super) committing: VecDeque<(u64, OnCommit)>,
    pub(super) answers: Vec<(RequestToken, CellResponse)>,
    calls: Vec<(ExternalCallId, ExternalCall)>,
    next_call: u64,
    pub(super) advice: Advice,
    pub(super) waves: Waves,
    pub(super) zone_progress: ZoneProgress,
    /// Runners on which no short tasks start, and until when.
    pub(super) kept_free: BTreeMap<IncarnationKey, KeptFree>,
    pub(super) scarcity: Scarcity,
    /// Waiting long-running tasks by the claim of their job, while there is too little room.
    pub(super) waiting_by_claim: BTreeMap<Claim, u32>,
    /// Stragglers that may have a second copy, as of the last ranking, the slowest first.
    pub(super) stragglers: Vec<TaskKey>,
    pub(super) suspects: Suspects,
    pub(super) failure_times: FailureTimes,
    /// Number of long-running tasks that must leave their runner or wait for another one.
    /// Counted at each ranking and increased as runners report.
    pub(super) moving_long_running: u32,
    /// Pools with at least half of their CPU unreserved, as of the last ranking.
    pub(super) idle_pools: BTreeSet<Box<str>>,
    /// Ends of maintenance, by wave and machine, that are proposed but not committed.
    pub(super) proposed_maintenance_ends: BTreeSet<(u64, Box<str>)>,
    /// Name under which this process calls the platform.
    pub(super) node_name: Box<str>,
    pub(super) accounts: DelayAccounts,
    pub(super) report_rate: ReportRate,
    /// When a request last expired while it waited for this leader.
    pub(super) last_expired: Option<Moment>,
    pub(super) cancelled_runs: CancelledRuns,
    pub(super) remembered: RememberedCancellations,
    pub(super) admission: Admission<Rank>,
    pub(super) largest_runners: LargestRunners,
    pub(super) refusal_log: RefusalLog,
    pub(super) last_ranked: Moment,
    pub(super) last_accounted: Moment,
    pub(super) last_told: Moment,
    pub(super) last_cleanup: Moment,
    pub(super) counts: LeaderCounters,
}

impl Leader {
    /// Starts to lead in `term` with `state`, to which all earlier commands are applied.
    ///
    /// ```
    /// use yuccalink_coordination::jobs::*;
    /// use yuccalink_state::jobs::CellState;
    /// let mut leader = Leader::new(LeaderConfig::default(), 1, CellState::new(), Now::default());
    /// leader.handle_request(Now::default(), RequestToken(1), CellRequest::Document);
    /// let answers = leader.take_answers();
    /// assert!(matches!(answers[0], (RequestToken(1), CellResponse::NotServing { .. })));
    /// ```
    pub fn new(cfg: LeaderConfig, term: u64, state: CellState, now: Now) -> Self {
        let mut leader = Self {
            cfg,
            term,
            started: now.at,
            state,
            runners: BTreeMap::new(),
            free_index: FreeIndex::default(),
            incarnations: Incarnations::default(),
            routes: Routes::default(),
            ready: ReadyQueue::new(&cfg.policy),
            shares: Shares::new(cfg.policy.shares),
            kept_for_queue: BTreeMap::new(),
            interference: Interference::new(cfg.policy.interference),
            forecasts: MarginForecasts::new(cfg.policy.forecast),
            teller: Teller::default(),
            recalled_health: BTreeMap::new(),
            job_harms: JobHarms::new(cfg.policy.job_harm),
            reserves: BTreeMap::new(),
            starting: Starting::default(),
            document: (0, Weak::<[u8; 0]>::new()),
            submitting: Submitting::default(),
            ending: BTreeSet::new(),
            heartbeats: BTreeMap::new(),
            next_heartbeat: 0,
            proposal_queue: VecDeque::new(),
            batch: Vec::new(),
            committing: VecDeque::new(),
            answers: Vec::new(),
            calls: Vec::new(),
            // Answers to calls of an earlier leader in this process must match none of these.
            next_call: term << u32::BITS,
            advice: Advice::default(),
            waves: Waves::default(),
            zone_progress: ZoneProgress::default(),
            kept_free: BTreeMap::new(),
            scarcity: Scarcity::default(),
            waiting_by_claim: BTreeMap::new(),
            stragglers: Vec::new(),
            suspects: Suspects::default(),
            failure_times: FailureTimes::default(),
            moving_long_running: 0,
            idle_pools: BTreeSet::new(),
            proposed_maintenance_ends: BTreeSet::new(),
            node_name: Box::default(),
            accounts: DelayAccounts::default(),
            report_rate: ReportRate::new(cfg.policy.reports),
            last_expired: None,
            cancelled_runs: CancelledRuns::default(),
            remembered: RememberedCancellations::default(),
            admission: Admission::new(cfg.policy.admission),
            largest_runners: LargestRunners::default(),
            refusal_log: RefusalLog::default(),
            last_ranked: now.at,
            last_accounted: now.at,
            last_told: now.at,
            last_cleanup: now.at,
            counts: LeaderCounters::default(),
        };
        leader.routes = Routes::new(&leader.state);
        leader.incarnations = Incarnations::from_state(&leader.state);
        leader.cancelled_runs = CancelledRuns::from_state(&leader.state, now);
        leader.remembered = RememberedCancellations::from_state(&leader.state, now.at);
        leader.interference.restore_weights(leader.state.learnt());
        let recalls = cfg.policy.knowledge.mode.is_on();
        let mut known: Vec<(u64, JobId)> =
            leader.state.all().map(|(id, job)| (job.at_ms, id)).collect();
        if recalls {
            // The statistics of queues depend on the order in which their jobs came.
            known.sort_unstable();
        }
        for (_, id) in known {
            leader.add_job(id, now);
            leader.refresh(id, now.at);
        }
        if recalls {
            leader.ready.recall_ends(&leader.state);
        }
        leader
    }

    /// Returns the replicated state when the replica no longer leads. Pending requests get
    /// no response, because their commands may still be committed.
    pub fn into_state(self) -> CellState {
        self.state
    }

    /// Replicated state of the cell.
    pub fn state(&self) -> &CellState {
        &self.state
    }

    /// Counters since this leader took over.
    pub fn counts(&self) -> LeaderCounters {
        let runners_scanned = self.counts.runners_scanned + self.free_index.scanned();
        let starts_deferred = self.shares.deferred_total();
        let admission = self.admission.counters();
        LeaderCounters { runners_scanned, starts_deferred, admission, ..self.counts }
    }

    /// The queues whose pools are contended and have weights, with their shares.
    pub fn queue_shares(&self) -> impl Iterator<Item = (&str, Share)> {
        let queues = self.routes.queues().into_iter();
        queues.filter_map(|queue| {
            let share = self.shares.share(self.ready.queue_key(&queue.name)?)?;
            Some((&*queue.name, share))
        })
    }

    /// Number of runners that have reported to this leader, whether or not they take tasks.
    pub fn runners_len(&self) -> usize {
        self.runners.len()
    }

    /// Number of runners that take tasks.
    pub fn usable_runners_len(&self) -> usize {
        self.usable_runners().count()
    }

    /// Number of runners that drain or go down for maintenance.
    pub fn leaving_runners_len(&self) -> usize {
        self.runners.values().filter(|runner| runner.is_leaving()).count()
    }

    /// Free CPU of the runners that take tasks, in millicores.
    pub fn free_millicores(&self) -> u64 {
        self.usable_runners().map(|runner| runner.free.millicores).sum()
    }

    /// Iterates over the runners that take tasks.
    pub(super) fn usable_runners(&self) -> impl Iterator<Item = &Runner> {
        self.runners.values().filter(|runner| runner.takes_tasks())
    }

    /// Number of steps with waiting tasks.
    pub fn waiting_len(&self) -> usize {
        self.ready.len()
    }

    /// Takes the responses since the last call of this function.
    pub fn take_answers(&mut self) -> Vec<(RequestToken, CellResponse)> {
        std::mem::take(&mut self.answers)
    }

    /// Sets the name under which this process calls external services.
    pub fn set_node_name(&mut self, name: &str) {
        self.node_name = name.into();
    }

    /// Takes the calls to external services since the last call of this function.
    pub fn take_calls(&mut self) -> Vec<(ExternalCallId, ExternalCall)> {
        std::mem::take(&mut self.calls)
    }

    /// Handles the reply of an external service.
    pub fn handle_external_reply(&mut self, now: Now, call: ExternalCallId, reply: ExternalReply) {
        if !self.advice.handle_reply(call, &reply) {
            self.handle_platform_reply(now, call, reply);
        }
    }

    pub(super) fn call(&mut self, call: ExternalCall) -> ExternalCallId {
        let id = ExternalCallId(self.next_call);
        self.next_call += 1;
        self.calls.push((id, call));
        id
    }

    /// Handles one request; its response is available at once or after a commit.
    pub fn handle_request(&mut self, now: Now, token: RequestToken, request: CellRequest) {
        match request {
            CellRequest::Heartbeat(report) => self.heartbeat(now, token, report),
            other => self.handle_other_request(now, token, other),
        }
    }

    /// Handles a request of a leader that does not keep up. A report without news only renews
    /// its runner's lease; any other request is handled like by [`Leader::handle_request`].
    pub fn handle_briefly(&mut self, now: Now, token: RequestToken, request: CellRequest) {
        match request {
            CellRequest::Heartbeat(report) => self.heartbeat_briefly(now, token, report),
            other => self.handle_other_request(now, token, other),
        }
    }

    /// Response to a request that has waited too long to be handled.
    pub fn reject(&mut self, now: Now, request: &CellRequest) -> CellResponse {
        self.counts.expired += 1;
        self.last_expired = Some(now.at);
        // Spread, so that the senders do not return all at once.
        let after_ms = report_rate::spread(EXPIRED_RETRY_AFTER, self.counts.expired);
        let after_ms = millis(after_ms);
        match request {
            // A runner that leaves stops waiting once its report is acknowledged.
            CellRequest::Heartbeat(report) if report.state == RunnerState::Ready => {
                let orders = self.orders_without_lease(report, "the report waited too long");
                CellResponse::Orders(Box::new(RunnerOrders { retry_after_ms: after_ms, ..orders }))
            }
            // An earlier copy of the request may have been accepted.
            CellRequest::Submit { id, .. } if self.state.job(*id).is_some() => {
                CellResponse::Accepted
            }
            CellRequest::Submit { id, .. } if self.submitting.contains(*id) => {
                CellResponse::Unknown
            }
            CellRequest::Submit { .. } => CellResponse::Refused { after_ms },
            _ => CellResponse::NotServing { after_ms },
        }
    }

    /// Response to new work while commits stall, which says that it has not run; `None` if the
    /// request is not new work, or an earlier copy of it may run.
    pub fn refuse_new_work(&mut self, request: &CellRequest) -> Option<CellResponse> {
        let CellRequest::Submit { id, .. } = request else { return None };
        if self.state.job(*id).is_some() || self.submitting.contains(*id) {
            return None;
        }
        self.counts.refused_stalled += 1;
        let after_ms =
            millis(report_rate::spread(EXPIRED_RETRY_AFTER, self.counts.refused_stalled));
        Some(CellResponse::NotServing { after_ms })
    }

    /// Records how long a request has waited before it was handled, or how late a tick was.
    pub fn note_wait(&mut self, waited: Duration) {
        self.report_rate.note_wait(waited);
    }

    pub(super) fn answer(&mut self, token: RequestToken, answer: CellResponse) {
        self.answers.push((token, answer));
    }

    pub(super) fn add_job(&mut self, id: JobId, now: Now) {
        let Some(job) = self.state.job(id) else { return };
        // The wall clock may have jumped since the submission. The age is limited to the
        // range from 0 to the longest objective.
        const AGE_MAX_MS: u64 = 60_000;
        let age = now.unix_ms.saturating_sub(job.at_ms).min(AGE_MAX_MS);
        let arrived_at = now.at - Duration::from_millis(age);
        self.ready.add_job(id, job, arrived_at, &self.routes, &mut self.interference);
        self.accounts.open(id, Duration::from_millis(age));
        if self.admission.take_returned(&job.pool, id, now.at) {
            self.ready.mark_returned(id);
        }
    }

    /// Updates the steps of a job that have tasks to start in the ready queue.
    pub(super) fn refresh(&mut self, id: JobId, now: Moment) {
        let Some(job) = self.state.job(id).filter(|job| job.phase == JobPhase::Active) else {
            return self.ready.remove_waiting_steps(id);
        };
        let occurrences: Vec<u32> = job.unfinished().map(|(k, _)| k).collect();
        self.refresh_occurrences(id, occurrences, now);
    }

    /// Same as [`Self::refresh`], for some opened occurrences of a job.
    pub(super) fn refresh_occurrences<I>(&mut self, id: JobId, occurrences: I, now: Moment)
    where
        I: IntoIterator<Item = u32>,
    {
        let Some(job) = self.state.job(id).filter(|job| job.phase == JobPhase::Active) else {
            return self.ready.remove_waiting_steps(id);
        };
        let mut waiting = Vec::new();
        for k in occurrences {
            if k >= job.opened() {
                continue;
            }
            let keys = startable(id, job, k);
            self.counts.steps_examined += job.spec.steps.len() as u64;
            self.ready.set_waiting_steps(id, k, &keys, &self.state, now);
            waiting.extend(keys);
        }
        self.observe_start(id, &waiting, now);
    }
}

/// Steps of an opened occurrence with tasks that are neither assigned nor done.
fn startable(id: JobId, job: &Job, occurrence: u32) -> Vec<StepKey> {
    let mut keys = Vec::new();
    let found = job.occurrences.get(occurrence as usize);
    for (s, step) in (0_u16..).zip(found.into_iter().flat_map(|found| &found.steps)) {
        if step.tasks.waiting_len() > 0 && job.may_run(occurrence, s) {
            keys.push(StepKey { job: id, occurrence, step: s });
        }
    }
    keys
}
