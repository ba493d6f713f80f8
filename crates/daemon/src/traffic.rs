//! Callers' requests: one is read, routed, sent to a runner, and its whole
//! answer goes back to its own caller.

mod exchange;
mod hand_on;
mod once;

use crate::clock::{millis, unix_ms};
use crate::metrics;
use crate::shared::{Entrance, Owner, RoutingTable, Shared};
use crate::upstream::{CallerRequest, copy_end_to_end, from_ledger, to_ledger};
use bytes::Bytes;
use rand::{Rng as _, RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout, timeout_at};
use xitca_web::body::ResponseBody;
use xitca_web::http::{WebRequest, WebResponse};
use yuccalink_coordination::router::{
    Grant, Refusal, RoutingRequest, RunnerKey, RunnerOutcome, Ticket,
};
use yuccalink_protocol::peer::{LeaderRequest, LeaderResponse as LeaderAnswer};
use yuccalink_protocol::problem::{ExecutionStatus, Problem, ProblemKind, RAN};
use yuccalink_protocol::request::{self, DEADLINE, FORWARDED_BY, IDEMPOTENCY_KEY};
use yuccalink_state::command::{RequestBegin, RequestEnd};
use yuccalink_state::document::{Document, RequestKind};
use yuccalink_state::id::Name;
use yuccalink_state::ledger::{
    ANSWER_MAX, RequestKey, RequestOutcome as Outcome, StoredResponse as KeptAnswer, Verdict,
};
use yuccalink_transport::body::{BodyChunk, streamed_body};
use yuccalink_transport::http::{HeaderName, HeaderValue, Method, StatusCode, header};
use yuccalink_transport::pool::{self, Pool, PoolSettings, UpstreamError};
use yuccalink_transport::reply;
use yuccalink_transport::server::{Handler, RequestBodyError, read_body};

/// Answers up to this size are read whole before they are passed on, which
/// frees the runner's slot however slowly the caller reads.
const WHOLE_MAX: u64 = 64 * 1024;
/// Other entries that one request is handed to at most.
const HAND_ON_TRIES: usize = 3;
/// First pause before asking again what became of the same request elsewhere.
const RUNNING_PAUSE: Duration = Duration::from_millis(50);
/// Header by which a runner says that it refused before it started.
const RUNNER_NOT_RUN: &str = "yuccalink-not-run";
/// Header that names the runner, on answers.
const ANSWERED_BY: &str = "yuccalink-runner";
/// Longest the ledger waits for an outcome after the deadline, in milliseconds.
const LEDGER_GRACE_MS: u64 = 5_000;

/// Answers callers' requests on one thread.
pub(crate) struct Traffic {
    shared: Arc<Shared>,
    pool: Pool,
    rng: RefCell<Pcg64Mcg>,
}

/// A request while it is being served.
struct Serving {
    call: CallerRequest,
    document: Arc<Document>,
    kind: RequestKind,
    deadline: Instant,
    handed_on: bool,
    key: Option<RequestKey>,
}

/// A slot that is given back however the request ends.
struct Slot {
    shared: Arc<Shared>,
    grant: Grant,
    ended: RunnerOutcome,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.shared.release(self.grant, self.ended);
    }
}

/// A waiting request that leaves the queue however its caller leaves.
struct Queued<'a> {
    shared: &'a Shared,
    waiting: Option<(Ticket, oneshot::Receiver<Grant>)>,
}

impl Drop for Queued<'_> {
    fn drop(&mut self) {
        if let Some((ticket, rx)) = self.waiting.take() {
            self.shared.abandon(ticket, rx);
        }
    }
}

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

/// Why a try at one runner brought no answer.
enum Miss {
    /// It surely did not run.
    NotRun(Box<str>),
    /// It may have run.
    Unknown(Box<str>),
    /// The deadline passed after it was sent.
    Late,
}

impl Traffic {
    pub(crate) fn new(shared: Arc<Shared>, seed: u64) -> Self {
        let settings = PoolSettings {
            connect_timeout: shared.config.connect_timeout,
            ..PoolSettings::default()
        };
        Self { shared, pool: Pool::new(settings), rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed)) }
    }

    async fn serve(&self, req: WebRequest) -> Result<WebResponse, Problem> {
        if self.shared.is_refusing() {
            return Err(self.come_back(ProblemKind::NotServing, "this entry is stopping", 1000));
        }
        if !self.shared.has_lease() {
            let what = "this entry is out of touch with the others and must not serve";
            return Err(self.come_back(ProblemKind::NotServing, what, 1000));
        }
        let serving = self.read(req).await?;
        self.dispatch(serving).await
    }

    async fn read(&self, req: WebRequest) -> Result<Serving, Problem> {
        let started = Instant::now();
        let (head, body) = req.into_parts();
        let path = head.uri.path().to_string();
        let (service, inner) = request::split(&path).ok_or_else(|| {
            not_found("the path names no service; send requests to /SERVICE/...".into())
        })?;
        let view = self.shared.view.load();
        let document = view.services.get(service).cloned().ok_or_else(|| {
            not_found(format!("no service is called `{service}`; check the first part of the path"))
        })?;
        let kind =
            request::kind(&document, head.method.as_str(), inner).cloned().ok_or_else(|| {
                not_found(format!(
                    "`{service}` has no kind of request for {} {inner}; see its document",
                    head.method
                ))
            })?;
        let deadline = started + deadline_of(&kind, head.headers.get(DEADLINE))?;
        let key = key_of(&document, &kind, head.headers.get(IDEMPOTENCY_KEY))?;
        let config = &self.shared.config;
        let (_, body) = body.replace_body(());
        let body = read_body(body, config.body_max, config.body_timeout).await;
        let body = body.map_err(|bad| bad_body(&bad))?;
        let handed_on = head.headers.contains_key(FORWARDED_BY);
        let call =
            CallerRequest { method: head.method, uri: head.uri, headers: head.headers, body };
        Ok(Serving { call, document, kind, deadline, handed_on, key })
    }

    async fn dispatch(&self, serving: Serving) -> Result<WebResponse, Problem> {
        let serving = Arc::new(serving);
        match &serving.key {
            Some(key) => self.once(&serving, key).await,
            None => self.route(&serving, None).await,
        }
    }

    // ---- routing ----

    fn owns(&self, document: &Document) -> bool {
        let view = self.shared.view.load();
        let owners = view.owners.get(document.service.as_str());
        owners.is_some_and(|owners| owners.iter().any(|o| o.name == self.shared.config.name))
    }

    async fn route(
        &self,
        serving: &Arc<Serving>,
        mut noted: Option<&mut Noted>,
    ) -> Result<WebResponse, Problem> {
        let mut avoid = None;
        loop {
            let slot = match self.slot(serving, avoid).await {
                Ok(slot) => slot,
                Err(Turned::Away(why, retry)) if noted.is_none() && !serving.handed_on => {
                    return self.hand_on(serving, why, retry).await;
                }
                Err(Turned::Away(why, retry)) => return Err(self.refusal(serving, why, retry)),
                Err(Turned::Late) => {
                    self.decide(serving, "gave up waiting; its deadline passed in the queue");
                    let what = "the deadline passed while the request waited for a runner";
                    return Err(Problem::new(
                        ProblemKind::DeadlinePassed,
                        ExecutionStatus::NotRun,
                        what,
                    )
                    .retry_after(1000));
                }
            };
            let runner = slot.grant.runner;
            let miss = match self.exchange(serving, slot, noted.as_deref_mut()).await {
                Ok(response) => return Ok(response),
                Err(miss) => miss,
            };
            if self.may_try_again(serving, &miss, avoid) {
                avoid = Some(runner);
                continue;
            }
            return Err(self.missed(miss));
        }
    }

    async fn slot(&self, serving: &Serving, avoid: Option<RunnerKey>) -> Result<Slot, Turned> {
        let left = serving.deadline.saturating_duration_since(Instant::now());
        let arrival = RoutingRequest {
            service: &serving.document.service,
            deadline: self.shared.clock.now() + left,
            worth: serving.kind.worth,
            avoid,
        };
        let slot =
            |grant| Slot { shared: self.shared.clone(), grant, ended: RunnerOutcome::Abandoned };
        match self.shared.admit(arrival) {
            Entrance::Go(grant) => Ok(slot(grant)),
            Entrance::Refuse(why, retry) => Err(Turned::Away(why, retry)),
            Entrance::Wait(ticket, rx) => {
                let mut queued = Queued { shared: &self.shared, waiting: Some((ticket, rx)) };
                let Some((_, rx)) = &mut queued.waiting else { return Err(Turned::Late) };
                match timeout_at(serving.deadline, rx).await {
                    Ok(Ok(grant)) => {
                        queued.waiting = None;
                        Ok(slot(grant))
                    }
                    Ok(Err(_)) | Err(_) => Err(Turned::Late),
                }
            }
        }
    }

    fn may_try_again(&self, serving: &Serving, miss: &Miss, tried: Option<RunnerKey>) -> bool {
        let safe = match miss {
            Miss::NotRun(_) => true,
            Miss::Unknown(_) => serving.kind.idempotent,
            Miss::Late => false,
        };
        safe && tried.is_none()
            && Instant::now() < serving.deadline
            && self.shared.routing().router.may_retry(&serving.document.service)
    }

    fn missed(&self, miss: Miss) -> Problem {
        match miss {
            Miss::NotRun(what) => self.come_back(ProblemKind::RunnerFailed, &what, 1000),
            Miss::Unknown(what) => {
                Problem::new(ProblemKind::RunnerFailed, ExecutionStatus::Unknown, what)
            }
            Miss::Late => {
                let what = "the runner did not answer before the deadline";
                Problem::new(ProblemKind::DeadlinePassed, ExecutionStatus::Unknown, what)
            }
        }
    }

    fn refusal(&self, serving: &Serving, why: Refusal, retry: Duration) -> Problem {
        self.decide(serving, &format!("refused: {why}"));
        let kind = match why {
            Refusal::NoRunner | Refusal::NoneHealthy => ProblemKind::NoRunner,
            Refusal::QueueFull | Refusal::TooLate => ProblemKind::Overloaded,
        };
        let ms = millis(retry).max(50);
        let what = format!("{}: {why}; nothing was sent", serving.document.service);
        self.come_back(kind, &what, ms)
    }

    // ---- answers on their way back ----

    /// Moves an answer of this request to its caller.
    fn pump(&self, serving: &Serving) -> Pump {
        Pump {
            stall: self.shared.config.stall_timeout,
            deadline: serving.deadline,
            in_flight: InFlight::new(&self.shared),
        }
    }

    // ---- telling ----

    fn decide(&self, serving: &Serving, what: &str) {
        let call = &serving.call;
        self.shared.decisions.note(format!(
            "{} {} ({}/{}) {what}",
            call.method,
            call.path(),
            serving.document.service,
            serving.kind.name
        ));
    }

    /// A refusal that names a moment to come back, spread so that refused
    /// callers do not all come back at once.
    fn come_back(&self, kind: ProblemKind, what: &str, ms: u64) -> Problem {
        let jittered =
            self.rng.borrow_mut().random_range(ms..=ms.saturating_mul(2).max(ms.saturating_add(1)));
        Problem::new(kind, ExecutionStatus::NotRun, what).retry_after(jittered)
    }
}

enum Turned {
    Away(Refusal, Duration),
    Late,
}

/// A request that the ledger has noted as under way.
struct Noted {
    shared: Arc<Shared>,
    key: Option<RequestKey>,
    attempt: u64,
}

impl Noted {
    /// Keeps the whole answer before its caller gets it, so that a resend is
    /// given the same.
    async fn answered(&mut self, response: &WebResponse, body: &Bytes) {
        let Some(key) = self.key.take() else { return };
        let answer = KeptAnswer {
            status: response.status().as_u16(),
            headers: to_ledger(response.headers()),
            body: body.as_ref().into(),
        };
        let end = RequestEnd { key, attempt: self.attempt, ended: Outcome::Answered(answer) };
        if let LeaderAnswer::Problem(problem) =
            self.shared.ask(LeaderRequest::RequestEnd(end)).await
        {
            log::warn!("an answer could not be kept for resends: {}", problem.detail);
        }
    }
}

/// Moves an answer from its source to its caller.
struct Pump {
    stall: Duration,
    deadline: Instant,
    in_flight: InFlight,
}

/// What holds something until the whole answer has been read.
trait Held {
    fn finished(&mut self, whole: bool);
}

impl Held for Slot {
    fn finished(&mut self, whole: bool) {
        self.ended = if whole { RunnerOutcome::Answered } else { RunnerOutcome::Failed };
    }
}

impl Held for () {
    fn finished(&mut self, _: bool) {}
}

impl Pump {
    /// Ends without [`BodyChunk::End`] when the source breaks off, the deadline
    /// passes or the caller stalls; the caller's connection is then cut.
    async fn run<H>(
        self,
        mut answer: pool::UpstreamResponse,
        mut held: H,
        tx: mpsc::Sender<BodyChunk>,
        start: Bytes,
    ) where
        H: Held,
    {
        let _in_flight = self.in_flight;
        if !start.is_empty() && tx.send(BodyChunk::Data(start)).await.is_err() {
            return;
        }
        loop {
            let piece = match timeout_at(self.deadline, answer.next()).await {
                Ok(Ok(Some(bytes))) => BodyChunk::Data(bytes),
                Ok(Ok(None)) => BodyChunk::End,
                Ok(Err(_)) | Err(_) => return held.finished(false),
            };
            let last = matches!(piece, BodyChunk::End);
            if last {
                held.finished(true);
                drop(held);
                let _ = timeout(self.stall, tx.send(piece)).await;
                return;
            }
            // A caller that takes nothing must not keep a runner's slot.
            match timeout(self.stall, tx.send(piece)).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) | Err(_) => return,
            }
        }
    }
}

impl Handler for Traffic {
    async fn handle(&self, req: WebRequest) -> WebResponse {
        let started = Instant::now();
        let _in_flight = InFlight::new(&self.shared);
        let service =
            request::split(req.uri().path()).map(|(service, _)| Box::<str>::from(service));
        let result = self.serve(req).await;
        let service = service.unwrap_or_default();
        let outcome = match &result {
            Ok(_) => metrics::Result::Answered,
            Err(problem) => match problem.ran {
                ExecutionStatus::NotRun => metrics::Result::NotRun,
                ExecutionStatus::Unknown => metrics::Result::Unknown,
                ExecutionStatus::Ran => metrics::Result::Failed,
            },
        };
        self.shared.metrics.request(&service, outcome, started.elapsed());
        let mut response = result.unwrap_or_else(|problem| reply::problem(&problem));
        if self.shared.is_draining() {
            // The caller's next request goes to another entry, over the balancer.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }
}

/// Status and end-to-end headers of an answer, without its body.
fn head_of(answer: &pool::UpstreamResponse) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::none());
    *response.status_mut() = answer.head.status;
    copy_end_to_end(&answer.head.headers, response.headers_mut());
    response
}

async fn read_start(
    answer: &mut pool::UpstreamResponse,
    limit: usize,
    deadline: Instant,
) -> Result<(Bytes, bool), Miss> {
    let mut start: Vec<Bytes> = Vec::new();
    let mut size = 0;
    let whole = loop {
        let next = timeout_at(deadline, answer.next()).await.map_err(|_| Miss::Late)?;
        match next {
            Ok(None) => break true,
            Ok(Some(chunk)) => {
                size += chunk.len();
                start.push(chunk);
                if size > limit {
                    break false;
                }
            }
            Err(error) => {
                let what = format!("the runner broke off its answer: {error}");
                return Err(Miss::Unknown(what.into()));
            }
        }
    };
    let bytes = match start.len() {
        1 => start.pop().unwrap_or_default(),
        _ => start.concat().into(),
    };
    Ok((bytes, whole))
}

/// Whether another entry says that the request did not run there.
fn refused_before_start(answer: &pool::UpstreamResponse) -> bool {
    let ran = answer.head.headers.get(RAN);
    ran.is_some_and(|value| value.as_bytes() == ExecutionStatus::NotRun.token().as_bytes())
        && answer.head.status == StatusCode::SERVICE_UNAVAILABLE
}

fn miss(name: &impl std::fmt::Display, error: &UpstreamError) -> Miss {
    let what = format!("{name} did not answer: {error}").into();
    match error {
        UpstreamError::Timeout => Miss::Late,
        other if other.is_unsent() => Miss::NotRun(what),
        _ => Miss::Unknown(what),
    }
}

fn deadline_of(kind: &RequestKind, header: Option<&HeaderValue>) -> Result<Duration, Problem> {
    let most = kind.deadline_ms;
    let Some(header) = header else { return Ok(Duration::from_millis(most)) };
    let asked = header.to_str().ok().and_then(|text| text.parse::<u64>().ok());
    let Some(asked) = asked else {
        let what = format!("{DEADLINE} must be a whole number of milliseconds");
        return Err(Problem::new(ProblemKind::BadRequest, ExecutionStatus::NotRun, what));
    };
    Ok(Duration::from_millis(asked.min(most)))
}

/// The ledger's key of a request that must run at most once. Kinds that are
/// idempotent need no ledger, whatever the caller sends.
fn key_of(
    document: &Document,
    kind: &RequestKind,
    header: Option<&HeaderValue>,
) -> Result<Option<RequestKey>, Problem> {
    let Some(header) = header else { return Ok(None) };
    let key = request::check_key(header.as_bytes()).map_err(|bad| {
        Problem::new(ProblemKind::BadRequest, ExecutionStatus::NotRun, bad.to_string())
    })?;
    if kind.idempotent {
        return Ok(None);
    }
    Ok(Some(RequestKey { service: document.service.clone(), key: key.into() }))
}

fn bad_body(bad: &RequestBodyError) -> Problem {
    let kind = match bad {
        RequestBodyError::TooLarge(_) => ProblemKind::TooLarge,
        RequestBodyError::TooSlow | RequestBodyError::Broken => ProblemKind::BadRequest,
    };
    Problem::new(kind, ExecutionStatus::NotRun, bad.to_string())
}

fn not_found(what: String) -> Problem {
    Problem::new(ProblemKind::NotFound, ExecutionStatus::NotRun, what)
}

fn again(kept: &KeptAnswer) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::bytes(Bytes::copy_from_slice(&kept.body)));
    *response.status_mut() = StatusCode::from_u16(kept.status).unwrap_or(StatusCode::OK);
    *response.headers_mut() = from_ledger(kept);
    let repeated = HeaderName::from_static("yuccalink-repeated");
    response.headers_mut().insert(repeated, HeaderValue::from_static("true"));
    response
}
