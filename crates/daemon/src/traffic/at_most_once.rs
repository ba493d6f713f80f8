//! Requests with an idempotency key, which must run at most once.

use super::*;

impl RequestHandler {
    /// Runs a request if it is the first with its key. Otherwise returns the outcome of
    /// the first request.
    pub(super) async fn run_at_most_once(
        &self,
        inbound: &Arc<InboundRequest>,
        key: &RequestKey,
    ) -> Result<WebResponse, Problem> {
        // An entry without runners of the service forwards the request without recording
        // it, so that the entry that sends it to a runner also records it.
        if !inbound.is_forwarded && !self.owns_runners(&inbound.document) {
            return self.forward(inbound, Refusal::NoRunner, Duration::from_secs(1)).await;
        }
        let attempt = self.rng.borrow_mut().next_u64();
        let mut delay = INITIAL_POLL_DELAY;
        loop {
            let verdict = self.record_begin(inbound, key, attempt).await?;
            if matches!(verdict, Verdict::Go | Verdict::KeyReused | Verdict::Full) {
                // The ledger has no earlier attempt of this request that was sent.
                inbound.set_may_have_run(false);
            }
            match verdict {
                Verdict::Go => return self.route_recorded(inbound, key, attempt).await,
                Verdict::Answered(stored) => return Ok(replayed_response(&stored)),
                Verdict::Running if Instant::now() + delay < inbound.deadline => {
                    sleep(delay).await;
                    delay = (delay * 2).min(Duration::from_secs(1));
                }
                Verdict::Running => {
                    let detail = "the same request is still running; retry with the same key";
                    return Err(Problem::new(
                        ProblemKind::InProgress,
                        ExecutionStatus::Unknown,
                        detail,
                    )
                    .retry_after(1000));
                }
                Verdict::AnsweredTooLarge => {
                    let detail = "the request ran once; its response was too large to store";
                    return Err(Problem::new(
                        ProblemKind::AnswerNotKept,
                        ExecutionStatus::Ran,
                        detail,
                    ));
                }
                Verdict::Unknown => {
                    let detail = "the request was sent once and its outcome is unknown; ask the \
                                  service whether it took effect, and use a new key to send it \
                                  again";
                    return Err(Problem::new(
                        ProblemKind::OutcomeUnknown,
                        ExecutionStatus::Unknown,
                        detail,
                    ));
                }
                Verdict::KeyReused => {
                    let detail = "this Idempotency-Key was used for another request; use a new key";
                    return Err(Problem::new(
                        ProblemKind::KeyReused,
                        ExecutionStatus::NotRun,
                        detail,
                    ));
                }
                Verdict::Full => {
                    let detail = "the ledger of requests with keys is full; retry later";
                    return Err(self.retry_later_problem(ProblemKind::Overloaded, detail, 5000));
                }
            }
        }
    }

    pub(super) async fn record_begin(
        &self,
        inbound: &InboundRequest,
        key: &RequestKey,
        attempt: u64,
    ) -> Result<Verdict, Problem> {
        let request = &inbound.request;
        let at_ms = unix_ms();
        let remaining = millis(inbound.deadline.saturating_duration_since(Instant::now()));
        let request = LeaderRequest::RequestBegin(RequestBegin {
            key: key.clone(),
            digest: request::digest(request.method.as_str(), request.path(), &request.body),
            attempt,
            at_ms,
            until_ms: at_ms.saturating_add(remaining).saturating_add(LEDGER_GRACE_MS),
        });
        match self.shared.request_leader(request).await {
            LeaderResponse::Request(verdict) => Ok(verdict),
            LeaderResponse::Problem(problem) => {
                // This attempt has sent nothing to a runner, whether or not the leader recorded
                // it.
                self.record_end(key, attempt, RequestOutcome::NotRun).await;
                Err(problem)
            }
            _ => Err(self.retry_later_problem(
                ProblemKind::NotServing,
                "the leader sent an unexpected response",
                1000,
            )),
        }
    }

    pub(super) async fn route_recorded(
        &self,
        inbound: &Arc<InboundRequest>,
        key: &RequestKey,
        attempt: u64,
    ) -> Result<WebResponse, Problem> {
        let mut recorded =
            RecordedRequest { shared: self.shared.clone(), key: Some(key.clone()), attempt };
        let result = self.route(inbound, Some(&mut recorded)).await;
        let (Err(problem), Some(key)) = (&result, recorded.key.take()) else { return result };
        let outcome = match problem.ran {
            ExecutionStatus::NotRun => RequestOutcome::NotRun,
            ExecutionStatus::Ran | ExecutionStatus::Unknown => RequestOutcome::Unknown,
        };
        let not_run = outcome == RequestOutcome::NotRun;
        self.record_end(&key, attempt, outcome).await;
        // The service's runners may have moved to another entry meanwhile. The key is free
        // again, so that entry can record the request anew.
        let table = self.shared.routing_table.load_full();
        if not_run
            && !inbound.is_forwarded
            && Instant::now() < inbound.deadline
            && self.pick_other_owner(&table, &inbound.document, &[]).is_some()
        {
            return self.forward(inbound, Refusal::NoneHealthy, Duration::from_secs(1)).await;
        }
        result
    }

    pub(super) async fn record_end(&self, key: &RequestKey, attempt: u64, ended: RequestOutcome) {
        let end = RequestEnd { key: key.clone(), attempt, ended };
        let _ = self.shared.request_leader(LeaderRequest::RequestEnd(end)).await;
    }
}
