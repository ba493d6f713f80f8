//! Handles callers' requests: reads a request, routes it, sends it to a runner and
//! passes the response back to the caller.

mod at_most_once;
mod forward;
mod runner_attempt;

use crate::admin::body_problem;
use crate::clock::{millis, unix_ms};
use crate::metrics;
use crate::shared::{Admitted, Owner, RoutingTable, Shared};
use crate::upstream::{CallerRequest, copy_end_to_end, headers_from_ledger, ledger_headers};
use bytes::Bytes;
use rand::{Rng as _, RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout, timeout_at};
use xitca_web::body::ResponseBody;
use xitca_web::http::{WebRequest, WebResponse};
use yuccalink_coordination::router::{
    Grant, Refusal, RoutingRequest, RunnerKey, RunnerOutcome, Ticket,
};
use yuccalink_protocol::peer::{LeaderRequest, LeaderResponse};
use yuccalink_protocol::problem::{ExecutionStatus, Problem, ProblemKind, RAN_HEADER};
use yuccalink_protocol::request::{self, DEADLINE_HEADER, FORWARDED_BY, IDEMPOTENCY_KEY};
use yuccalink_state::command::{RequestBegin, RequestEnd};
use yuccalink_state::document::{Document, RequestKind};
use yuccalink_state::id::Name;
use yuccalink_state::ledger::{ANSWER_MAX, RequestKey, RequestOutcome, StoredResponse, Verdict};
use yuccalink_transport::account::{Client, ClientClass};
use yuccalink_transport::body::{BodyChunk, held_body, streamed_body};
use yuccalink_transport::http::{HeaderName, HeaderValue, Method, StatusCode, header};
use yuccalink_transport::pool::{self, Pool, PoolSettings, UpstreamError};
use yuccalink_transport::reply;
use yuccalink_transport::request_body::{BodyBounds, Holding};
use yuccalink_transport::server::{Handler, read_body};

/// Responses up to this size, in bytes, are read completely before they are passed
/// on, so that a slow caller does not occupy the runner's slot.
const BUFFERED_RESPONSE_MAX_BYTES: u64 = 64 * 1024;
/// Maximum number of chunks of a streamed response that are buffered for a slow caller.
const BUFFERED_CHUNKS_MAX: usize = 8;
/// Largest chunk of a runner's response, in bytes: the read buffer of its connection.
const CHUNK_BYTES_MAX: usize = 64 * 1024;
/// Interval at which a response that finds no memory is tried again.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of other entries that one request is forwarded to.
const MAX_FORWARD_ATTEMPTS: usize = 3;
/// Delay before the ledger is asked again about a request with the same key that is
/// still running. The delay doubles up to one second.
const INITIAL_POLL_DELAY: Duration = Duration::from_millis(50);
/// Response header with which a runner reports that it refused the request before
/// starting it.
const NOT_RUN_HEADER: &str = "yuccalink-not-run";
/// Response header that names the runner.
const RUNNER_HEADER: &str = "yuccalink-runner";
/// Time in milliseconds after a request's deadline until which the ledger waits for
/// its outcome.
const LEDGER_GRACE_MS: u64 = 5_000;

/// Handles callers' requests on one thread.
pub(crate) struct RequestHandler {
    shared: Arc<Shared>,
    pool: Pool,
    rng: RefCell<Pcg64Mcg>,
}

/// A caller's request that is being handled.
struct InboundRequest {
    request: CallerRequest,
    document: Arc<Document>,
    kind: RequestKind,
    deadline: Instant,
    is_forwarded: bool,
    key: Option<RequestKey>,
    /// Whether an earlier attempt may have run: one was lost on its way here, or the caller may
    /// have sent the request with this key before and the ledger has not said otherwise. A
    /// refusal of a later attempt does not tell that the request did not run.
    may_have_run: AtomicBool,
    /// What the request takes, until it is answered.
    holding: Holding,
}

impl InboundRequest {
    fn client(&self) -> Arc<Client> {
        self.holding.client().clone()
    }

    fn may_have_run(&self) -> bool {
        self.may_have_run.load(Ordering::Relaxed)
    }

    fn set_may_have_run(&self, may_have_run: bool) {
        self.may_have_run.store(may_have_run, Ordering::Relaxed);
    }

    /// Turns the problem of the last attempt into that of the whole request.
    fn problem_of_all_attempts(&self, problem: Problem) -> Problem {
        if self.may_have_run() { without_not_run(problem) } else { problem }
    }
}

/// A runner slot that is released on drop, however the request ends.
struct Slot {
    shared: Arc<Shared>,
    grant: Grant,
    outcome: RunnerOutcome,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.shared.release(self.grant, self.outcome);
    }
}

/// A request in the queue that is removed on drop, also when its caller disconnects.
struct QueuedRequest<'a> {
    shared: &'a Shared,
    waiting: Option<(Ticket, oneshot::Receiver<Grant>)>,
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        if let Some((ticket, rx)) = self.waiting.take() {
            self.shared.abandon(ticket, rx);
        }
    }
}

/// Counts a request as in flight until it is dropped.
struct InFlight(Arc<Shared>);

impl InFlight {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.in_flight.fetch_add(1, Ordering::AcqRel);
        Self(shared.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Why sending a request to one runner or entry gave no response.
enum AttemptError {
    /// The request was certainly not executed.
    NotRun(Box<str>),
    /// The request may have been executed.
    Unknown(Box<str>),
    /// The deadline passed after the request was sent.
    DeadlinePassed,
}

impl RequestHandler {
    pub(crate) fn new(shared: Arc<Shared>, seed: u64) -> Self {
        let settings = PoolSettings {
            connect_timeout: shared.config.connect_timeout,
            ..PoolSettings::default()
        };
        Self { shared, pool: Pool::new(settings), rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed)) }
    }

    async fn serve(&self, req: WebRequest) -> Result<WebResponse, Problem> {
        let refusal = if self.shared.is_refusing() {
            Some("this entry is stopping")
        } else if !self.shared.has_lease() {
            Some("this entry holds no valid configuration lease and must not serve requests")
        } else {
            None
        };
        if let Some(detail) = refusal {
            let problem = self.retry_later_problem(ProblemKind::NotServing, detail, 1000);
            // Without a lease it is not known whether requests of this kind use the ledger.
            let has_key = req.headers().contains_key(IDEMPOTENCY_KEY);
            return Err(if has_key { without_not_run(problem) } else { problem });
        }
        let inbound = self.read_request(req).await?;
        self.dispatch(inbound).await
    }

    async fn read_request(&self, req: WebRequest) -> Result<InboundRequest, Problem> {
        let started_at = Instant::now();
        let (head, body) = req.into_parts();
        let path = head.uri.path().to_string();
        let (service, service_path) = request::split(&path).ok_or_else(|| {
            not_found_problem("the path names no service; send requests to /SERVICE/...".into())
        })?;
        let table = self.shared.routing_table.load();
        let document = table.services.get(service).cloned().ok_or_else(|| {
            not_found_problem(format!(
                "no service is called `{service}`; check the first part of the path"
            ))
        })?;
        let kind = request::kind(&document, head.method.as_str(), service_path)
            .cloned()
            .ok_or_else(|| {
                not_found_problem(format!(
                    "`{service}` defines no request for {} {service_path}; see its document",
                    head.method
                ))
            })?;
        let deadline = started_at + request_deadline(&kind, head.headers.get(DEADLINE_HEADER))?;
        let key = ledger_key(&document, &kind, head.headers.get(IDEMPOTENCY_KEY))?;
        let config = &self.shared.config;
        let (_, body) = body.replace_body(());
        let bounds = BodyBounds { bytes: config.body_max, time: config.body_timeout };
        let mut holding = Holding::new(self.shared.account.open(ClientClass::Callers).into());
        let body = read_body(body, bounds, &mut holding).await;
        let body = body.map_err(|error| {
            let problem = body_problem(&error);
            if key.is_some() { without_not_run(problem) } else { problem }
        })?;
        let is_forwarded = head.headers.contains_key(FORWARDED_BY);
        let request =
            CallerRequest { method: head.method, uri: head.uri, headers: head.headers, body };
        let may_have_run = AtomicBool::new(key.is_some());
        Ok(InboundRequest {
            request,
            document,
            kind,
            deadline,
            is_forwarded,
            key,
            may_have_run,
            holding,
        })
    }

    async fn dispatch(&self, inbound: InboundRequest) -> Result<WebResponse, Problem> {
        let inbound = Arc::new(inbound);
        let result = match &inbound.key {
            Some(key) => self.run_at_most_once(&inbound, key).await,
            None => self.route(&inbound, None).await,
        };
        result.map_err(|problem| inbound.problem_of_all_attempts(problem))
    }

    // ---- routing ----

    fn owns_runners(&self, document: &Document) -> bool {
        let table = self.shared.routing_table.load();
        let owners = table.owners.get(document.service.as_str());
        owners.is_some_and(|owners| owners.iter().any(|o| o.name == self.shared.config.name))
    }

    async fn route(
        &self,
        inbound: &Arc<InboundRequest>,
        mut recorded: Option<&mut RecordedRequest>,
    ) -> Result<WebResponse, Problem> {
        let mut avoid = None;
        loop {
            let slot = match self.acquire_slot(inbound, avoid).await {
                Ok(slot) => slot,
                Err(AdmissionError::Refused(refusal, retry_after))
                    if recorded.is_none() && !inbound.is_forwarded =>
                {
                    return self.forward(inbound, refusal, retry_after).await;
                }
                Err(AdmissionError::Refused(refusal, retry_after)) => {
                    return Err(self.refusal_problem(inbound, refusal, retry_after));
                }
                Err(AdmissionError::DeadlinePassed) => {
                    self.log_decision(inbound, "dropped: its deadline passed in the queue");
                    let detail = "the deadline passed while the request waited for a runner";
                    return Err(Problem::new(
                        ProblemKind::DeadlinePassed,
                        ExecutionStatus::NotRun,
                        detail,
                    )
                    .retry_after(1000));
                }
            };
            let runner = slot.grant.runner;
            let error = match self.try_runner(inbound, slot, recorded.as_deref_mut()).await {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            if self.may_retry_attempt(inbound, &error, avoid) {
                if matches!(error, AttemptError::Unknown(_)) {
                    inbound.set_may_have_run(true);
                }
                avoid = Some(runner);
                continue;
            }
            return Err(self.attempt_problem(error));
        }
    }

    async fn acquire_slot(
        &self,
        inbound: &InboundRequest,
        avoid: Option<RunnerKey>,
    ) -> Result<Slot, AdmissionError> {
        let remaining = inbound.deadline.saturating_duration_since(Instant::now());
        let arrival = RoutingRequest {
            service: &inbound.document.service,
            deadline: self.shared.clock.now() + remaining,
            worth: inbound.kind.worth,
            avoid,
        };
        let slot =
            |grant| Slot { shared: self.shared.clone(), grant, outcome: RunnerOutcome::Abandoned };
        match self.shared.admit(arrival) {
            Admitted::Granted(grant) => Ok(slot(grant)),
            Admitted::Refused(refusal, retry_after) => {
                Err(AdmissionError::Refused(refusal, retry_after))
            }
            Admitted::Queued(ticket, rx) => {
                let mut queued =
                    QueuedRequest { shared: &self.shared, waiting: Some((ticket, rx)) };
                let Some((_, rx)) = &mut queued.waiting else {
                    return Err(AdmissionError::DeadlinePassed);
                };
                match timeout_at(inbound.deadline, rx).await {
                    Ok(Ok(grant)) => {
                        queued.waiting = None;
                        Ok(slot(grant))
                    }
                    Ok(Err(_)) | Err(_) => Err(AdmissionError::DeadlinePassed),
                }
            }
        }
    }

    fn may_retry_attempt(
        &self,
        inbound: &InboundRequest,
        error: &AttemptError,
        tried: Option<RunnerKey>,
    ) -> bool {
        let safe = match error {
            AttemptError::NotRun(_) => true,
            AttemptError::Unknown(_) => inbound.kind.idempotent,
            AttemptError::DeadlinePassed => false,
        };
        safe && tried.is_none()
            && Instant::now() < inbound.deadline
            && self.shared.routing().router.may_retry(&inbound.document.service)
    }

    fn attempt_problem(&self, error: AttemptError) -> Problem {
        match error {
            AttemptError::NotRun(detail) => {
                self.retry_later_problem(ProblemKind::RunnerFailed, &detail, 1000)
            }
            AttemptError::Unknown(detail) => {
                Problem::new(ProblemKind::RunnerFailed, ExecutionStatus::Unknown, detail)
            }
            AttemptError::DeadlinePassed => {
                let detail = "the runner did not respond before the deadline";
                Problem::new(ProblemKind::DeadlinePassed, ExecutionStatus::Unknown, detail)
            }
        }
    }

    fn refusal_problem(
        &self,
        inbound: &InboundRequest,
        refusal: Refusal,
        retry_after: Duration,
    ) -> Problem {
        self.log_decision(inbound, &format!("refused: {refusal}"));
        let kind = match refusal {
            Refusal::NoRunner | Refusal::NoneHealthy => ProblemKind::NoRunner,
            Refusal::QueueFull | Refusal::TooLate => ProblemKind::Overloaded,
        };
        let min_delay_ms = millis(retry_after).max(50);
        let detail = format!("{}: {refusal}; nothing was sent", inbound.document.service);
        self.retry_later_problem(kind, &detail, min_delay_ms)
    }

    // ---- responses ----

    /// Creates a forwarder for the response body of this request.
    fn body_forwarder(&self, inbound: &InboundRequest, holding: Holding) -> BodyForwarder {
        BodyForwarder {
            stall_timeout: self.shared.config.stall_timeout,
            deadline: inbound.deadline,
            in_flight: InFlight::new(&self.shared),
            holding,
        }
    }

    /// Charges the buffers of a streamed response and returns how many chunks they may hold. Waits
    /// for memory until the deadline of the request: the response is not lost meanwhile.
    async fn charge_stream(&self, inbound: &InboundRequest) -> (Holding, usize) {
        let mut holding = Holding::new(inbound.client());
        for chunks in [BUFFERED_CHUNKS_MAX, 1] {
            // One chunk is being sent, and one is in the connection to the runner.
            if holding.try_charge((chunks + 2) * CHUNK_BYTES_MAX).is_ok() {
                return (holding, chunks);
            }
        }
        self.wait_for_room(inbound, &mut holding, 3 * CHUNK_BYTES_MAX).await;
        (holding, 1)
    }

    /// Charges `bytes` for a response as soon as there is memory, at the latest at the deadline.
    async fn wait_for_room(&self, inbound: &InboundRequest, holding: &mut Holding, bytes: usize) {
        while holding.try_charge(bytes).is_err() && Instant::now() < inbound.deadline {
            sleep(ROOM_POLL_INTERVAL).await;
        }
    }

    // ---- decisions and problems ----

    fn log_decision(&self, inbound: &InboundRequest, detail: &str) {
        let request = &inbound.request;
        self.shared.decisions.note(format!(
            "{} {} ({}/{}) {detail}",
            request.method,
            request.path(),
            inbound.document.service,
            inbound.kind.name
        ));
    }

    /// A problem with a `Retry-After` time between `min_delay_ms` and twice that. It is
    /// random so that refused callers do not all retry at once.
    fn retry_later_problem(&self, kind: ProblemKind, detail: &str, min_delay_ms: u64) -> Problem {
        let delay_ms = self.rng.borrow_mut().random_range(
            min_delay_ms..=min_delay_ms.saturating_mul(2).max(min_delay_ms.saturating_add(1)),
        );
        Problem::new(kind, ExecutionStatus::NotRun, detail).retry_after(delay_ms)
    }
}

/// Why a request got no slot.
enum AdmissionError {
    Refused(Refusal, Duration),
    DeadlinePassed,
}

/// A request that the ledger has recorded as running.
struct RecordedRequest {
    shared: Arc<Shared>,
    key: Option<RequestKey>,
    attempt: u64,
}

impl RecordedRequest {
    /// Stores the complete response in the ledger before the caller gets it, so that a
    /// resent request gets the same response.
    async fn record_response(&mut self, response: &WebResponse, body: &Bytes) {
        let Some(key) = self.key.take() else { return };
        let stored = StoredResponse {
            status: response.status().as_u16(),
            headers: ledger_headers(response.headers()),
            body: body.as_ref().into(),
        };
        let end =
            RequestEnd { key, attempt: self.attempt, ended: RequestOutcome::Answered(stored) };
        if let LeaderResponse::Problem(problem) =
            self.shared.request_leader(LeaderRequest::RequestEnd(end)).await
        {
            log::warn!("cannot store a response for resent requests: {}", problem.detail);
        }
    }
}

/// Forwards a response body from its source to the caller.
struct BodyForwarder {
    stall_timeout: Duration,
    deadline: Instant,
    in_flight: InFlight,
    holding: Holding,
}

/// Is notified when a response body has ended, completely or not. Dropped afterwards, which
/// releases a runner's slot.
trait ResponseObserver {
    fn response_ended(&mut self, complete: bool);
}

impl ResponseObserver for Slot {
    fn response_ended(&mut self, complete: bool) {
        self.outcome = if complete { RunnerOutcome::Answered } else { RunnerOutcome::Failed };
    }
}

impl ResponseObserver for () {
    fn response_ended(&mut self, _: bool) {}
}

impl BodyForwarder {
    /// Returns without sending [`BodyChunk::End`] when the source ends early, the
    /// deadline passes or the caller stalls; the caller's connection is then closed.
    async fn run<H>(
        self,
        mut upstream: pool::UpstreamResponse,
        mut observer: H,
        tx: mpsc::Sender<BodyChunk>,
        prefix: Bytes,
    ) where
        H: ResponseObserver,
    {
        let _in_flight = self.in_flight;
        let _holding = self.holding;
        if !prefix.is_empty() && tx.send(BodyChunk::Data(prefix)).await.is_err() {
            return;
        }
        loop {
            let chunk = match timeout_at(self.deadline, upstream.next()).await {
                Ok(Ok(Some(bytes))) => BodyChunk::Data(bytes),
                Ok(Ok(None)) => BodyChunk::End,
                Ok(Err(_)) | Err(_) => return observer.response_ended(false),
            };
            let last = matches!(chunk, BodyChunk::End);
            if last {
                observer.response_ended(true);
                drop(observer);
                let _ = timeout(self.stall_timeout, tx.send(chunk)).await;
                return;
            }
            // A caller that stops reading must not occupy a runner's slot.
            match timeout(self.stall_timeout, tx.send(chunk)).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) | Err(_) => return,
            }
        }
    }
}

impl Handler for RequestHandler {
    async fn handle(&self, req: WebRequest) -> WebResponse {
        let started_at = Instant::now();
        let _in_flight = InFlight::new(&self.shared);
        let service =
            request::split(req.uri().path()).map(|(service, _)| Box::<str>::from(service));
        let result = self.serve(req).await;
        let service = service.unwrap_or_default();
        let outcome = match &result {
            Ok(_) => metrics::RequestResult::Answered,
            Err(problem) => match problem.ran {
                ExecutionStatus::NotRun => metrics::RequestResult::NotRun,
                ExecutionStatus::Unknown => metrics::RequestResult::Unknown,
                ExecutionStatus::Ran => metrics::RequestResult::Failed,
            },
        };
        self.shared.metrics.request(&service, outcome, started_at.elapsed());
        let mut response = result.unwrap_or_else(|problem| reply::problem(&problem));
        if self.shared.is_draining() {
            // The caller must reconnect: the load balancer then picks another entry.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }
}

/// Copies the status and the end-to-end headers of an upstream response, without the
/// body.
fn response_head(upstream: &pool::UpstreamResponse) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::none());
    *response.status_mut() = upstream.head.status;
    copy_end_to_end(&upstream.head.headers, response.headers_mut());
    response
}

/// Reads the body until it ends or exceeds `limit` bytes. The flag tells whether the
/// body is complete.
async fn read_prefix(
    upstream: &mut pool::UpstreamResponse,
    limit: usize,
    deadline: Instant,
) -> Result<(Bytes, bool), AttemptError> {
    let mut prefix: Vec<Bytes> = Vec::new();
    let mut size = 0;
    let complete = loop {
        let next = timeout_at(deadline, upstream.next())
            .await
            .map_err(|_| AttemptError::DeadlinePassed)?;
        match next {
            Ok(None) => break true,
            Ok(Some(chunk)) => {
                size += chunk.len();
                prefix.push(chunk);
                if size > limit {
                    break false;
                }
            }
            Err(error) => {
                let detail = format!("the runner's response ended early: {error}");
                return Err(AttemptError::Unknown(detail.into()));
            }
        }
    };
    let bytes = match prefix.len() {
        1 => prefix.pop().unwrap_or_default(),
        _ => prefix.concat().into(),
    };
    Ok((bytes, complete))
}

/// Whether another entry's response reports this execution status.
fn reports(upstream: &pool::UpstreamResponse, status: ExecutionStatus) -> bool {
    let ran = upstream.head.headers.get(RAN_HEADER);
    ran.is_some_and(|value| value.as_bytes() == status.header_value().as_bytes())
}

/// Whether another entry refused the request, so that the next one may get it. A request with a
/// key is refused as "unknown" before the ledger is asked; the next entry asks it.
fn was_refused(upstream: &pool::UpstreamResponse, has_key: bool) -> bool {
    upstream.head.status == StatusCode::SERVICE_UNAVAILABLE
        && (reports(upstream, ExecutionStatus::NotRun)
            || (has_key && reports(upstream, ExecutionStatus::Unknown)))
}

/// Changes "not run" to "unknown" in the refusal of one attempt at a request that may have run in
/// another.
fn without_not_run(problem: Problem) -> Problem {
    match problem.ran {
        ExecutionStatus::Ran | ExecutionStatus::Unknown => problem,
        ExecutionStatus::NotRun => {
            let detail = format!(
                "{}; this attempt did not run, an earlier one may have run",
                problem.detail
            );
            Problem { ran: ExecutionStatus::Unknown, detail: detail.into(), ..problem }
        }
    }
}

fn attempt_error(name: &impl std::fmt::Display, error: &UpstreamError) -> AttemptError {
    let detail = format!("{name} did not respond: {error}").into();
    match error {
        UpstreamError::Timeout => AttemptError::DeadlinePassed,
        other if other.is_unsent() => AttemptError::NotRun(detail),
        _ => AttemptError::Unknown(detail),
    }
}

fn request_deadline(kind: &RequestKind, header: Option<&HeaderValue>) -> Result<Duration, Problem> {
    let max_ms = kind.deadline_ms;
    let Some(header) = header else { return Ok(Duration::from_millis(max_ms)) };
    let requested_ms = header.to_str().ok().and_then(|text| text.parse::<u64>().ok());
    let Some(requested_ms) = requested_ms else {
        let detail = format!("{DEADLINE_HEADER} must be a whole number of milliseconds");
        return Err(Problem::new(ProblemKind::BadRequest, ExecutionStatus::NotRun, detail));
    };
    Ok(Duration::from_millis(requested_ms.min(max_ms)))
}

/// The ledger key of a request that must run at most once. Idempotent requests do not
/// use the ledger, even if the caller sends a key.
fn ledger_key(
    document: &Document,
    kind: &RequestKind,
    header: Option<&HeaderValue>,
) -> Result<Option<RequestKey>, Problem> {
    let Some(header) = header else { return Ok(None) };
    let key = request::check_key(header.as_bytes()).map_err(|error| {
        Problem::new(ProblemKind::BadRequest, ExecutionStatus::NotRun, error.to_string())
    })?;
    if kind.idempotent {
        return Ok(None);
    }
    Ok(Some(RequestKey { service: document.service.clone(), key: key.into() }))
}

fn not_found_problem(detail: String) -> Problem {
    Problem::new(ProblemKind::NotFound, ExecutionStatus::NotRun, detail)
}

/// Builds the response to a resent request from the stored one.
fn replayed_response(stored: &StoredResponse) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::bytes(Bytes::copy_from_slice(&stored.body)));
    *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    *response.headers_mut() = headers_from_ledger(stored);
    let repeated = HeaderName::from_static("yuccalink-repeated");
    response.headers_mut().insert(repeated, HeaderValue::from_static("true"));
    response
}
