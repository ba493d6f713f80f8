//! Sends a request to one runner and passes its response back.

use super::*;

impl RequestHandler {
    pub(super) async fn try_runner(
        &self,
        inbound: &Arc<InboundRequest>,
        mut slot: Slot,
        recorded: Option<&mut RecordedRequest>,
    ) -> Result<WebResponse, AttemptError> {
        // The VM may have been suspended since the request arrived. Meanwhile another
        // document may be in force and another entry may own the runner.
        if !self.shared.has_lease() {
            return Err(AttemptError::NotRun(
                "this entry holds no valid configuration lease".into(),
            ));
        }
        let Some((destination, name)) = self.shared.runner_of(slot.grant) else {
            return Err(AttemptError::NotRun("the runner is no longer available".into()));
        };
        self.log_decision(inbound, &format!("to runner {name} at {}", destination.address));
        let remaining = inbound.deadline.saturating_duration_since(Instant::now());
        let req = inbound.request.build_upstream_request(destination.address, remaining);
        let upstream = match self.pool.send(destination, req, inbound.deadline).await {
            Ok(upstream) => upstream,
            Err(error) => {
                slot.outcome = RunnerOutcome::Failed;
                return Err(attempt_error(&name, &error));
            }
        };
        if upstream.head.headers.contains_key(NOT_RUN_HEADER) {
            return Err(AttemptError::NotRun(
                format!("runner {name} refused the request before starting it").into(),
            ));
        }
        let failed = upstream.head.status.is_server_error();
        let mut response = self.relay_response(inbound, upstream, slot, recorded, failed).await?;
        if let Ok(value) = HeaderValue::from_str(name.as_str()) {
            response.headers_mut().insert(HeaderName::from_static(RUNNER_HEADER), value);
        }
        Ok(response)
    }

    /// Passes a runner's response on. Small responses and those that the ledger stores are
    /// read completely first; larger ones are streamed.
    pub(super) async fn relay_response(
        &self,
        inbound: &Arc<InboundRequest>,
        mut upstream: pool::UpstreamResponse,
        mut slot: Slot,
        recorded: Option<&mut RecordedRequest>,
        failed: bool,
    ) -> Result<WebResponse, AttemptError> {
        let outcome = if failed { RunnerOutcome::Failed } else { RunnerOutcome::Answered };
        let no_body = inbound.request.method == Method::HEAD;
        let size = upstream.content_length();
        let mut response = response_head(&upstream);
        let must_record = recorded.is_some();
        let small = size.is_some_and(|size| size <= BUFFERED_RESPONSE_MAX_BYTES);
        let may_be_recorded = must_record && size.is_none_or(|size| size <= ANSWER_MAX as u64);
        let limit = if must_record { ANSWER_MAX } else { BUFFERED_RESPONSE_MAX_BYTES as usize };
        let bytes = size.map_or(limit, |size| usize::try_from(size).unwrap_or(limit).min(limit));
        let mut holding = Holding::new(inbound.client());
        if may_be_recorded {
            self.wait_for_room(inbound, &mut holding, bytes).await;
        }
        // Without memory for a small response, it is streamed.
        let small = small && (may_be_recorded || holding.try_charge(bytes).is_ok());
        if no_body || small || may_be_recorded {
            let prefix = read_prefix(&mut upstream, limit, inbound.deadline).await;
            let (prefix, complete) =
                prefix.inspect_err(|_| slot.outcome = RunnerOutcome::Failed)?;
            if complete {
                slot.outcome = outcome;
                drop(slot);
                if let Some(recorded) = recorded {
                    recorded.record_response(&response, &prefix).await;
                }
                if !no_body {
                    *response.body_mut() = held_body(prefix, holding);
                }
                return Ok(response);
            }
            return Ok(self
                .stream_response(inbound, upstream, slot, recorded, response, (prefix, None))
                .await);
        }
        Ok(self
            .stream_response(inbound, upstream, slot, recorded, response, (Bytes::new(), size))
            .await)
    }

    /// Streams a large response to the caller through a bounded buffer.
    pub(super) async fn stream_response(
        &self,
        inbound: &Arc<InboundRequest>,
        upstream: pool::UpstreamResponse,
        slot: Slot,
        recorded: Option<&mut RecordedRequest>,
        mut response: WebResponse,
        (prefix, size): (Bytes, Option<u64>),
    ) -> WebResponse {
        if let Some(recorded) = recorded
            && let Some(key) = recorded.key.take()
        {
            self.record_end(&key, recorded.attempt, RequestOutcome::AnsweredTooLarge).await;
        }
        let (holding, chunks) = self.charge_stream(inbound).await;
        let (tx, body) = streamed_body(size, chunks);
        *response.body_mut() = body;
        let forwarder = self.body_forwarder(inbound, holding);
        tokio::task::spawn_local(forwarder.run(upstream, slot, tx, prefix));
        response
    }
}
