//! What callers and operators ask.

use super::ask::{Answer, Ask, JobState, Place};
use super::leader::{Leader, Now, Then, Token};
use std::sync::Arc;
use yuccalink_state::jobs::{ChangeSet, Job, JobCommand, JobId, JobPhase, JobSpec, Queue, Submit};

/// When to come back to a leader that has no change set yet, in milliseconds: it
/// comes before traffic begins.
const NO_CHANGE_YET_MS: u64 = 1_000;

impl Leader {
    pub(super) fn ask_other(&mut self, now: Now, token: Token, ask: Ask) {
        let answer = match ask {
            Ask::Submit { at, id, spec } => self.submit(now, token, &at, id, &spec),
            Ask::State { at, id } => Some(self.in_queue(&at, |leader, queue| {
                leader.job_of(queue, id).map_or(Answer::Gone, |job| leader.told_state(id, job))
            })),
            Ask::Cancel { at, id } => self.cancel(now, token, &at, id),
            Ask::Pending { at } => {
                Some(self.in_queue(&at, |leader, queue| Answer::Pending(leader.pending(queue))))
            }
            Ask::Other { at } => Some(self.in_queue(&at, |_, _| Answer::NotTaken)),
            Ask::Leave { runner, born_ms } => {
                self.leave(now, token, &runner, born_ms);
                None
            }
            Ask::Change(change) => self.change(token, &change),
            Ask::Document => Some(self.document()),
            Ask::WaveStart(wave) => self.wave_start(token, wave),
            Ask::WaveState(id) => Some(match self.jobs.wave(id) {
                Some(wave) => Answer::Wave { done: wave.is_done() },
                None => Answer::Gone,
            }),
            // Taken in by the caller of this function.
            Ask::Heartbeat(_) => None,
        };
        if let Some(answer) = answer {
            self.answer(token, answer);
        }
    }

    fn in_queue<F>(&self, at: &Place, then: F) -> Answer
    where
        F: FnOnce(&Self, &Queue) -> Answer,
    {
        if !self.routes.in_force() {
            return Answer::NotServing { after_ms: NO_CHANGE_YET_MS };
        }
        match self.routes.route(&at.host, &at.path) {
            Some(queue) => then(self, queue),
            None => Answer::NoQueue,
        }
    }

    fn told_state(&self, id: JobId, job: &Job) -> Answer {
        match state(job) {
            JobState::Failed => Answer::Failed(self.why_failed(id, job).into()),
            other => Answer::State(other),
        }
    }

    fn why_failed(&self, id: JobId, job: &Job) -> String {
        let losses = self.jobs.losses();
        match losses.of_job(id).find(|(task, _)| self.jobs.lost_too_often(*task)) {
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

    fn job_of(&self, queue: &Queue, id: JobId) -> Option<&Job> {
        self.jobs.job(id).filter(|job| job.queue == queue.name)
    }

    fn submit(
        &mut self,
        now: Now,
        token: Token,
        at: &Place,
        id: JobId,
        spec: &Arc<JobSpec>,
    ) -> Option<Answer> {
        if !self.routes.in_force() {
            return Some(Answer::NotServing { after_ms: NO_CHANGE_YET_MS });
        }
        let Some(queue) = self.routes.route(&at.host, &at.path) else {
            return Some(Answer::NoQueue);
        };
        if self.jobs.job(id).is_some() {
            // A resend; the first answer may have been lost.
            return Some(Answer::Accepted);
        }
        if let Err(bad) = spec.check() {
            return Some(Answer::Invalid(bad.to_string().into()));
        }
        if let Some(after_ms) = self.refuse() {
            log::info!("job={id} queue={} refused after-ms={after_ms}", queue.name);
            self.counts.refused += 1;
            return Some(Answer::Refused { after_ms });
        }
        let submit = Submit {
            id,
            queue: queue.name.clone(),
            pool: queue.pool.clone(),
            attempts: queue.attempts,
            at_ms: now.unix_ms,
            spec: JobSpec::clone(spec),
        };
        self.propose(JobCommand::Submit(Box::new(submit)), Then::Submitted { id, token });
        None
    }

    fn cancel(&mut self, now: Now, token: Token, at: &Place, id: JobId) -> Option<Answer> {
        let found = self.in_queue(at, |leader, queue| {
            leader.job_of(queue, id).map_or(Answer::Gone, |job| Answer::State(state(job)))
        });
        match found {
            Answer::State(JobState::Queued | JobState::Running) => {
                let command = JobCommand::Cancel { id, at_ms: now.unix_ms };
                self.propose(command, Then::Cancelled { id, token });
                None
            }
            Answer::State(_) => Some(Answer::Ok),
            other => Some(other),
        }
    }

    fn pending(&self, queue: &Queue) -> u64 {
        let waits =
            |job: &Job| job.phase == JobPhase::Active && !job.begun && job.queue == queue.name;
        self.jobs.all().filter(|(_, job)| waits(job)).count() as u64
    }

    fn document(&self) -> Answer {
        let Some(change) = self.jobs.change() else {
            return Answer::NotServing { after_ms: NO_CHANGE_YET_MS };
        };
        log::info!("change version={} read bytes={}", change.version, change.text.len());
        Answer::Document(Arc::from(&*change.text))
    }

    fn change(&mut self, token: Token, change: &Arc<ChangeSet>) -> Option<Answer> {
        if let Err(bad) = change.check() {
            log::info!("change version={} refused: {bad}", change.version);
            return Some(Answer::Invalid(bad.to_string().into()));
        }
        let version = change.version;
        // An equal or lower one is acknowledged and changes nothing; the highest
        // is already agreed on.
        if let Some(current) = self.jobs.change()
            && current.version >= version
        {
            log::info!("change version={version} in-force=false current={}", current.version);
            return Some(Answer::Ok);
        }
        log::info!("change version={version} proposed queues={}", change.queues.len());
        let command = JobCommand::Change(Box::new(ChangeSet::clone(change)));
        self.propose(command, Then::Changed { version, token });
        None
    }
}

fn state(job: &Job) -> JobState {
    match job.phase {
        JobPhase::Active if job.begun => JobState::Running,
        JobPhase::Active => JobState::Queued,
        JobPhase::Completed => JobState::Completed,
        JobPhase::Failed => JobState::Failed,
        JobPhase::Cancelled => JobState::Cancelled,
    }
}
