//! Handling of requests from callers and operators.

use crate::jobs::capacity::waiting_tasks;
use crate::jobs::commits::CANCELLATIONS_RETRY_AFTER_MS;
use crate::jobs::leader::{Leader, Now, OnCommit, RequestToken};
use crate::jobs::messages::{CellRequest, CellResponse, JobState, QueueAddress};
use std::collections::BTreeMap;
use std::sync::Arc;
use yuccalink_state::jobs::change::InvalidChangeSet;
use yuccalink_state::jobs::settings::QueueView;
use yuccalink_state::jobs::{
    ChangeSet, ConfiguredChangeSet, Job, JobCommand, JobId, JobPhase, JobSpec, JobSubmission, Queue,
};

/// Retry delay, in milliseconds, while the cell has no change set. Operators apply one
/// before traffic begins.
const NO_CHANGE_YET_MS: u64 = 1_000;
/// Queues that a view of one queue names.
const SHORT_QUEUES_SHOWN: usize = 4;

impl Leader {
    pub(in crate::jobs) fn handle_other_request(
        &mut self,
        now: Now,
        token: RequestToken,
        request: CellRequest,
    ) {
        let answer = match request {
            CellRequest::Submit { at, id, spec } => self.submit(now, token, &at, id, &spec),
            CellRequest::State { at, id } => Some(self.with_queue(&at, |leader, _| {
                let job = leader.state.job(id);
                job.map_or(CellResponse::Gone, |job| leader.state_response(id, job))
            })),
            CellRequest::Cancel { at, id } => self
                .cancel(now, token, &at, id)
                .inspect(|answer| self.cancellation_answered(&at, id, answer)),
            CellRequest::Pending { at } => Some(
                self.with_queue(&at, |leader, queue| CellResponse::Pending(leader.pending(queue))),
            ),
            CellRequest::Other { at } => Some(self.with_queue(&at, |_, _| CellResponse::NotTaken)),
            CellRequest::Leave { runner, started_ms } => {
                self.leave(now, token, &runner, started_ms);
                None
            }
            CellRequest::Zone(order) => self.zone_order(now, token, *order),
            CellRequest::Zones => Some(self.zones()),
            CellRequest::Change(change) => {
                let command = JobCommand::Change(Box::new(ChangeSet::clone(&change)));
                self.change(token, &change, change.check(), command)
            }
            CellRequest::ChangeWithSettings(change) => {
                let command = ConfiguredChangeSet::clone(&change);
                let command = JobCommand::ChangeWithSettings(Box::new(command));
                self.change(token, &change.change_set, change.check(), command)
            }
            CellRequest::Queues => Some(self.queues()),
            CellRequest::Document => Some(self.document()),
            CellRequest::WaveStart(wave) => self.wave_start(token, wave),
            CellRequest::WaveState(id) => Some(match self.state.wave(id) {
                Some(wave) => CellResponse::Wave { done: wave.is_done() },
                None => CellResponse::Gone,
            }),
            // Handled in `Leader::handle_request`, which calls this function.
            CellRequest::Heartbeat(_) => None,
        };
        if let Some(answer) = answer {
            self.answer(token, answer);
        }
    }

    fn with_queue<F>(&self, at: &QueueAddress, respond: F) -> CellResponse
    where
        F: FnOnce(&Self, &Queue) -> CellResponse,
    {
        if !self.routes.has_change_set() {
            return CellResponse::NotServing { after_ms: NO_CHANGE_YET_MS };
        }
        match self.routes.route(&at.host, &at.path) {
            Some(queue) => respond(self, queue),
            None => CellResponse::NoQueue,
        }
    }

    fn state_response(&self, id: JobId, job: &Job) -> CellResponse {
        match JobState::of(job) {
            JobState::Failed => CellResponse::Failed(self.failure_text(id, job).into()),
            other => CellResponse::State(other),
        }
    }

    fn failure_text(&self, id: JobId, job: &Job) -> String {
        let losses = self.state.losses();
        match losses.of_job(id).find(|(task, _)| self.state.exceeds_loss_limit(*task)) {
            Some((task, lost)) => format!(
                "{} runners were lost under task {task}, one after the other; \
                 correct what it runs, and submit the job under another number",
                lost.len()
            ),
            None => format!(
                "a task failed {} times; correct it, and submit the job under another number",
                job.attempts
            ),
        }
    }

    fn submit(
        &mut self,
        now: Now,
        token: RequestToken,
        at: &QueueAddress,
        id: JobId,
        spec: &Arc<JobSpec>,
    ) -> Option<CellResponse> {
        if !self.routes.has_change_set() {
            return Some(CellResponse::NotServing { after_ms: NO_CHANGE_YET_MS });
        }
        let Some(queue) = self.routes.route(&at.host, &at.path).cloned() else {
            // An earlier copy was, or may be, accepted before its queue was removed.
            let may_run = self.state.job(id).is_some() || self.submitting.contains(id);
            return Some(if may_run { CellResponse::Unknown } else { CellResponse::NoQueue });
        };
        if self.state.job(id).is_some() {
            // The caller sent the job again; the first response may have been lost.
            return Some(CellResponse::Accepted);
        }
        if let Err(error) = spec.check() {
            return Some(CellResponse::Invalid(error.to_string().into()));
        }
        let memory = spec.memory();
        let shortage = match self.overload_retry_ms() {
            Some(after_ms) => Some((after_ms, "log")),
            None => self.memory_retry_ms(&queue.name, memory).map(|ms| (ms, "memory")),
        };
        if let Some((after_ms, why)) = shortage {
            // An earlier copy of the request may be accepted after this one is refused.
            if self.submitting.contains(id) {
                return Some(CellResponse::Unknown);
            }
            self.counts.refused += 1;
            if self.refusal_log.may_log(now.at) {
                log::info!(
                    "job={id} queue={} refused after-ms={after_ms} why={why} memory={memory} \
                     queue-memory={} jobs-memory={} limit={}",
                    queue.name,
                    self.state.memory().of_queue(&queue.name),
                    self.state.memory().total(),
                    self.memory_limit()
                );
            }
            return Some(CellResponse::Refused { after_ms });
        }
        if let Some(answer) = self.refuse(now, &queue, id, spec) {
            return Some(answer);
        }
        let submit = JobSubmission {
            id,
            queue: queue.name,
            pool: queue.pool,
            attempts: queue.attempts,
            at_ms: now.unix_ms,
            spec: JobSpec::clone(spec),
        };
        self.submitting.add(&submit);
        self.propose(JobCommand::Submit(Box::new(submit)), OnCommit::Submitted { id, token });
        None
    }

    fn cancel(
        &mut self,
        now: Now,
        token: RequestToken,
        at: &QueueAddress,
        id: JobId,
    ) -> Option<CellResponse> {
        let found = self.with_queue(at, |leader, _| {
            let job = leader.state.job(id);
            job.map_or(CellResponse::Gone, |job| CellResponse::State(JobState::of(job)))
        });
        self.note_renamed_queue(at, id);
        let at_ms = now.unix_ms;
        let command = match found {
            CellResponse::State(JobState::Queued | JobState::Running) => {
                JobCommand::Cancel { id, at_ms }
            }
            CellResponse::State(_) | CellResponse::Gone if self.is_full_of_cancellations(id) => {
                return Some(CellResponse::Refused { after_ms: CANCELLATIONS_RETRY_AFTER_MS });
            }
            // The submission may be under way, or arrive once more.
            CellResponse::State(_) | CellResponse::Gone => {
                self.note_inactive_job(id);
                JobCommand::CancelInactive { id, at_ms }
            }
            other => return Some(other),
        };
        self.propose(command, OnCommit::Cancelled(token));
        None
    }

    /// Whether the cancellation of an inactive job cannot be stored now.
    fn is_full_of_cancellations(&self, id: JobId) -> bool {
        let cancellations = self.state.cancellations();
        self.is_full() || (cancellations.is_full() && !cancellations.contains(id))
    }

    fn pending(&self, queue: &Queue) -> u64 {
        let waits =
            |job: &Job| job.phase == JobPhase::Active && !job.begun && job.queue == queue.name;
        self.state.all().filter(|(_, job)| waits(job)).count() as u64
    }

    /// All queues, by name.
    fn queues(&self) -> CellResponse {
        let mut views: BTreeMap<&str, QueueView> = BTreeMap::new();
        for queue in self.routes.queues() {
            views.insert(&queue.name, self.queue_view(queue));
        }
        for (id, job) in self.state.all() {
            let Some(view) = views.get_mut(&*job.queue) else { continue };
            view.jobs += u64::from(job.phase == JobPhase::Active);
            view.tasks_running += job.assignments(id).count() as u64;
            let waiting = self.ready.keys_of(id).into_iter().map(|key| waiting_tasks(job, key));
            view.tasks_waiting += waiting.map(u64::from).sum::<u64>();
        }
        for view in views.values_mut() {
            view.short = self.shortage(view);
        }
        CellResponse::Queues(views.into_values().collect())
    }

    fn queue_view(&self, queue: &Queue) -> QueueView {
        let settings = self.routes.settings(&queue.name);
        let key = self.ready.queue_key(&queue.name);
        let share = key.and_then(|key| self.shares.share(key));
        QueueView {
            queue: queue.name.clone(),
            pool: queue.pool.clone(),
            weight: settings.weight,
            floor_percent: settings.floor_percent,
            hold: settings.hold,
            used_millicores: share.map(|share| share.used),
            share_millicores: share.map(|share| share.share),
            deferred: key.map_or(0, |key| self.shares.deferred(key)),
            ..QueueView::default()
        }
    }

    /// Why a queue has tasks that wait, in words.
    fn shortage(&self, view: &QueueView) -> Box<str> {
        let key = self.ready.queue_key(&view.queue);
        let share = key.and_then(|key| self.shares.share(key));
        match share {
            _ if view.tasks_waiting == 0 => Box::default(),
            _ if view.hold => "on hold; no tasks start until the hold is taken out".into(),
            Some(share) if share.short => {
                "below its share; it gets the CPU that comes free next".into()
            }
            Some(share) if share.yields => {
                let beside = key.map(|key| self.shares.short_beside(key)).unwrap_or_default();
                let names = beside.into_iter().take(SHORT_QUEUES_SHOWN);
                let names: Vec<&str> = names.map(|key| self.ready.queue_name(key)).collect();
                format!("has its share; yields to {}", names.join(", ")).into()
            }
            Some(_) => "has its share, and the pool is full".into(),
            None => "waits for a runner that fits; yuccalink why JOB names the cause".into(),
        }
    }

    /// Returns the text of the change set. All responses share it, since clients may take long to
    /// read it.
    fn document(&mut self) -> CellResponse {
        let Some(change) = self.state.change_set() else {
            return CellResponse::NotServing { after_ms: NO_CHANGE_YET_MS };
        };
        log::info!("change version={} read bytes={}", change.version, change.text.len());
        let (version, text) = &self.document;
        let shared = text.upgrade().filter(|_| *version == change.version);
        let text = shared.unwrap_or_else(|| Arc::from(&*change.text));
        self.document = (change.version, Arc::downgrade(&text));
        CellResponse::Document(text)
    }

    fn change(
        &mut self,
        token: RequestToken,
        change: &ChangeSet,
        checked: Result<(), InvalidChangeSet>,
        command: JobCommand,
    ) -> Option<CellResponse> {
        if let Err(error) = checked {
            log::info!("change version={} refused: {error}", change.version);
            return Some(CellResponse::Invalid(error.to_string().into()));
        }
        let version = change.version;
        // An equal or lower version is acknowledged and changes nothing, because the highest
        // version is already committed.
        if let Some(current) = self.state.change_set()
            && current.version >= version
        {
            log::info!("change version={version} in-force=false current={}", current.version);
            return Some(CellResponse::Ok);
        }
        log::info!("change version={version} proposed queues={}", change.queues.len());
        self.propose(command, OnCommit::Changed { version, token });
        None
    }
}
