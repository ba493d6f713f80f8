//! Forwards requests to other entries that own runners of the service.

use super::*;

impl RequestHandler {
    /// Forwards a request to another entry that owns runners of the service, and to
    /// the next one if that entry did not execute it.
    pub(super) async fn forward(
        &self,
        inbound: &Arc<InboundRequest>,
        refusal: Refusal,
        retry_after: Duration,
    ) -> Result<WebResponse, Problem> {
        let mut tried: Vec<Name> = Vec::new();
        loop {
            let table = self.shared.routing_table.load_full();
            let Some(owner) = self.pick_other_owner(&table, &inbound.document, &tried) else {
                return Err(self.refusal_problem(inbound, refusal, retry_after));
            };
            self.log_decision(inbound, &format!("handed on to entry {}: {refusal}", owner.name));
            let last = tried.len() + 1 == MAX_FORWARD_ATTEMPTS;
            match self.send_to_entry(inbound, &owner).await {
                // Its "not run" covers the ledger's attempts, but not one lost on the way to
                // another entry.
                Ok(upstream)
                    if inbound.key.is_none()
                        && inbound.may_have_run()
                        && reports(&upstream, ExecutionStatus::NotRun) =>
                {
                    if last {
                        return Err(self.refusal_problem(inbound, refusal, retry_after));
                    }
                }
                Ok(upstream) if last || !was_refused(&upstream, inbound.key.is_some()) => {
                    self.shared.routing().router.earn_retry(&inbound.document.service);
                    return Ok(self.relay_from_entry(inbound, upstream).await);
                }
                Ok(_) => {}
                Err(error) if error.is_unsent() && last => {
                    return Err(self.refusal_problem(inbound, refusal, retry_after));
                }
                Err(error) if error.is_unsent() => {}
                Err(error) => {
                    let error = attempt_error(&owner.name, &error);
                    if last || !self.may_retry_attempt(inbound, &error, None) {
                        return Err(self.attempt_problem(error));
                    }
                    inbound.set_may_have_run(true);
                }
            }
            tried.push(owner.name);
        }
    }

    pub(super) async fn send_to_entry(
        &self,
        inbound: &InboundRequest,
        owner: &Owner,
    ) -> Result<pool::UpstreamResponse, UpstreamError> {
        let mut request = inbound.request.clone();
        if let Ok(value) = HeaderValue::from_str(self.shared.config.name.as_str()) {
            request.headers.insert(HeaderName::from_static(FORWARDED_BY), value);
        }
        let remaining = inbound.deadline.saturating_duration_since(Instant::now());
        let req = request.build_upstream_request(owner.caller_address, remaining);
        self.pool.send(owner.caller_address, req, inbound.deadline).await
    }

    /// Streams another entry's response to the caller.
    pub(super) async fn relay_from_entry(
        &self,
        inbound: &InboundRequest,
        upstream: pool::UpstreamResponse,
    ) -> WebResponse {
        let size = upstream.content_length();
        let mut response = response_head(&upstream);
        if inbound.request.method == Method::HEAD {
            return response;
        }
        let (holding, chunks) = self.charge_stream(inbound).await;
        let (tx, body) = streamed_body(size, chunks);
        *response.body_mut() = body;
        let forwarder = self.body_forwarder(inbound, holding);
        tokio::task::spawn_local(forwarder.run(upstream, (), tx, Bytes::new()));
        response
    }

    /// Picks one of the other owners at random, weighted by their slots.
    pub(super) fn pick_other_owner(
        &self,
        table: &RoutingTable,
        document: &Document,
        tried: &[Name],
    ) -> Option<Owner> {
        let owners = table.owners.get(document.service.as_str())?;
        let own = &self.shared.config.name;
        let others = || owners.iter().filter(|o| o.name != *own && !tried.contains(&o.name));
        let total_slots: u32 = others().map(|owner| owner.slots).sum();
        if total_slots == 0 {
            return None;
        }
        let mut offset = self.rng.borrow_mut().random_range(0..total_slots);
        for owner in others() {
            if offset < owner.slots {
                return Some(owner.clone());
            }
            offset -= owner.slots;
        }
        None
    }
}
