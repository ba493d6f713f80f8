//! One try at one runner, and its answer on the way back.

use super::*;

impl Traffic {
    pub(super) async fn exchange(
        &self,
        serving: &Arc<Serving>,
        mut slot: Slot,
        noted: Option<&mut Noted>,
    ) -> Result<WebResponse, Miss> {
        // The VM may have been frozen since the request came: by now another document
        // may be in force, and the runner somebody else's.
        if !self.shared.has_lease() {
            return Err(Miss::NotRun("this entry is out of touch with the others".into()));
        }
        let Some((to, name)) = self.shared.runner_of(slot.grant) else {
            return Err(Miss::NotRun("the runner has just left".into()));
        };
        self.decide(serving, &format!("to runner {name} at {}", to.address));
        let left = serving.deadline.saturating_duration_since(Instant::now());
        let req = serving.call.request(to.address, left);
        let answer = match self.pool.send(to, req, serving.deadline).await {
            Ok(answer) => answer,
            Err(error) => {
                slot.ended = RunnerOutcome::Failed;
                return Err(miss(&name, &error));
            }
        };
        if answer.head.headers.contains_key(RUNNER_NOT_RUN) {
            return Err(Miss::NotRun(format!("runner {name} refused it before starting").into()));
        }
        let failed = answer.head.status.is_server_error();
        let mut response = self.pass_on(serving, answer, slot, noted, failed).await?;
        if let Ok(value) = HeaderValue::from_str(name.as_str()) {
            response.headers_mut().insert(HeaderName::from_static(ANSWERED_BY), value);
        }
        Ok(response)
    }

    pub(super) async fn pass_on(
        &self,
        serving: &Arc<Serving>,
        mut answer: pool::UpstreamResponse,
        mut slot: Slot,
        noted: Option<&mut Noted>,
        failed: bool,
    ) -> Result<WebResponse, Miss> {
        let ended = if failed { RunnerOutcome::Failed } else { RunnerOutcome::Answered };
        let no_body = serving.call.method == Method::HEAD;
        let size = answer.content_length();
        let mut response = head_of(&answer);
        let keep = noted.is_some();
        let small = size.is_some_and(|size| size <= WHOLE_MAX);
        let keepable = keep && size.is_none_or(|size| size <= ANSWER_MAX as u64);
        if no_body || small || keepable {
            let limit = if keep { ANSWER_MAX } else { WHOLE_MAX as usize };
            let start = read_start(&mut answer, limit, serving.deadline).await;
            let (start, whole) = start.inspect_err(|_| slot.ended = RunnerOutcome::Failed)?;
            if whole {
                slot.ended = ended;
                drop(slot);
                if let Some(noted) = noted {
                    noted.answered(&response, &start).await;
                }
                if !no_body {
                    *response.body_mut() = ResponseBody::bytes(start);
                }
                return Ok(response);
            }
            return Ok(self.stream(serving, answer, slot, noted, response, (start, None)).await);
        }
        Ok(self.stream(serving, answer, slot, noted, response, (Bytes::new(), size)).await)
    }

    /// Passes a large answer on as it comes, within a bounded buffer.
    pub(super) async fn stream(
        &self,
        serving: &Arc<Serving>,
        answer: pool::UpstreamResponse,
        slot: Slot,
        noted: Option<&mut Noted>,
        mut response: WebResponse,
        (start, size): (Bytes, Option<u64>),
    ) -> WebResponse {
        if let Some(noted) = noted
            && let Some(key) = noted.key.take()
        {
            self.end(&key, noted.attempt, Outcome::AnsweredTooLarge).await;
        }
        let (tx, body) = streamed_body(size);
        *response.body_mut() = body;
        tokio::task::spawn_local(self.pump(serving).run(answer, slot, tx, start));
        response
    }
}
