//! Handing requests on to entries that own runners of the service.

use super::*;

impl Traffic {
    /// Hands a request to another entry that owns runners of the service, and to
    /// the next one when that could not let it run.
    pub(super) async fn hand_on(
        &self,
        serving: &Arc<Serving>,
        why: Refusal,
        retry: Duration,
    ) -> Result<WebResponse, Problem> {
        let mut tried: Vec<Name> = Vec::new();
        loop {
            let view = self.shared.view.load_full();
            let Some(owner) = self.other_owner(&view, &serving.document, &tried) else {
                return Err(self.refusal(serving, why, retry));
            };
            self.decide(serving, &format!("handed on to entry {}: {why}", owner.name));
            let last = tried.len() + 1 == HAND_ON_TRIES;
            match self.hand_to(serving, &owner).await {
                Ok(answer) if last || !refused_before_start(&answer) => {
                    self.shared.routing().router.earn_retry(&serving.document.service);
                    return Ok(self.pass_back(serving, answer));
                }
                Ok(_) => {}
                Err(error) if error.is_unsent() && last => {
                    return Err(self.refusal(serving, why, retry));
                }
                Err(error) if error.is_unsent() => {}
                Err(error) => {
                    let miss = miss(&owner.name, &error);
                    if last || !self.may_try_again(serving, &miss, None) {
                        return Err(self.missed(miss));
                    }
                }
            }
            tried.push(owner.name);
        }
    }

    pub(super) async fn hand_to(
        &self,
        serving: &Serving,
        owner: &Owner,
    ) -> Result<pool::UpstreamResponse, UpstreamError> {
        let mut call = serving.call.clone();
        if let Ok(value) = HeaderValue::from_str(self.shared.config.name.as_str()) {
            call.headers.insert(HeaderName::from_static(FORWARDED_BY), value);
        }
        let left = serving.deadline.saturating_duration_since(Instant::now());
        let req = call.request(owner.callers, left);
        self.pool.send(owner.callers, req, serving.deadline).await
    }

    /// Gives another entry's answer to the caller as it comes.
    pub(super) fn pass_back(
        &self,
        serving: &Serving,
        answer: pool::UpstreamResponse,
    ) -> WebResponse {
        let size = answer.content_length();
        let mut response = head_of(&answer);
        if serving.call.method == Method::HEAD {
            return response;
        }
        let (tx, body) = streamed_body(size);
        *response.body_mut() = body;
        tokio::task::spawn_local(self.pump(serving).run(answer, (), tx, Bytes::new()));
        response
    }

    /// One of the other owners, drawn by their slots.
    pub(super) fn other_owner(
        &self,
        view: &RoutingTable,
        document: &Document,
        tried: &[Name],
    ) -> Option<Owner> {
        let owners = view.owners.get(document.service.as_str())?;
        let own = &self.shared.config.name;
        let others = || owners.iter().filter(|o| o.name != *own && !tried.contains(&o.name));
        let all: u32 = others().map(|owner| owner.slots).sum();
        if all == 0 {
            return None;
        }
        let mut at = self.rng.borrow_mut().random_range(0..all);
        for owner in others() {
            if at < owner.slots {
                return Some(owner.clone());
            }
            at -= owner.slots;
        }
        None
    }
}
