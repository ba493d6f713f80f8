//! The HTTP interface for targets, operators and the platform.

use crate::json_size;
use crate::leader::unacceptable_document;
use crate::shared::Shared;
use rand::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use serde::de::DeserializeOwned;
use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use xitca_web::body::RequestBody;
use xitca_web::http::{WebRequest, WebResponse};
use yuccalink_protocol::api::{
    Announce, Applied, CancelTasks, Heartbeat, LIST_MAX, Leave, SubmitTasks, ZoneChange,
};
use yuccalink_protocol::document;
use yuccalink_protocol::peer::{LeaderRequest, LeaderResponse, TaskFilter};
use yuccalink_protocol::problem::{ExecutionStatus, Problem, ProblemKind};
use yuccalink_protocol::request::{IDEMPOTENCY_KEY, check_key};
use yuccalink_state::id::{BadTaskId, Name, TaskId};
use yuccalink_transport::account::{ClientClass, Exhausted};
use yuccalink_transport::http::{HeaderMap, Method, StatusCode, request::Parts};
use yuccalink_transport::reply;
use yuccalink_transport::request_body::{BodyBounds, Holding, RequestBodyError};
use yuccalink_transport::server::{Handler, read_body};

/// Maximum size of a request body on this interface, in bytes.
const BODY_MAX_BYTES: usize = 4 * 1024 * 1024;
/// Maximum time for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Memory that a byte of a document may take while it is parsed, in bytes: an empty table in a
/// list.
const PARSED_DOCUMENT_FACTOR: usize = 64;
/// Retry delay of a request that found no memory.
const NO_ROOM_RETRY_AFTER_MS: u64 = 1_000;
/// Maximum wait until an applied document is in force on all entries.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);
/// Request header that names the author of a document.
const AUTHOR: &str = "yuccalink-author";

pub(crate) struct AdminHandler {
    shared: Arc<Shared>,
    rng: RefCell<Pcg64Mcg>,
}

/// The parts of a request.
struct AdminRequest<'a> {
    method: &'a Method,
    path: Vec<&'a str>,
    query: &'a str,
    headers: &'a HeaderMap,
    body: RequestBody,
    /// What the request takes, until it is answered.
    holding: &'a mut Holding,
}

type AdminResult = Result<WebResponse, Problem>;

impl Handler for AdminHandler {
    async fn handle(&self, req: WebRequest) -> WebResponse {
        let (head, ext) = req.into_parts();
        let (_, body) = ext.replace_body(());
        self.handle_request(&head, body).await.unwrap_or_else(|problem| reply::problem(&problem))
    }
}

impl AdminHandler {
    pub(crate) fn new(shared: Arc<Shared>, seed: u64) -> Self {
        Self { shared, rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed)) }
    }

    async fn handle_request(&self, head: &Parts, body: RequestBody) -> AdminResult {
        let path: Vec<&str> = head.uri.path().split('/').skip(1).collect();
        let query = head.uri.query().unwrap_or_default();
        let mut holding = Holding::new(self.shared.account.open(ClientClass::Control).into());
        let (method, headers, holding) = (&head.method, &head.headers, &mut holding);
        let request = AdminRequest { method, path, query, headers, body, holding };
        match request.path.as_slice() {
            ["livez"] => Ok(reply::text(StatusCode::OK, "alive\n")),
            ["readyz"] => Ok(self.readiness()),
            ["v1", "targets", ..] => self.targets(request).await,
            ["v1", "services", ..] => self.services(request).await,
            ["v1", "tasks", ..] => self.tasks(request).await,
            ["v1", "status"] => self.status(&request).await,
            ["v1", "zones", ..] => self.zones(request).await,
            ["v1", "decisions"] => self.decisions(&request).await,
            ["v1", "snapshot"] => {
                require_get(&request)?;
                self.ask_leader(LeaderRequest::Snapshot).await
            }
            _ => Err(path_problem(head.uri.path())),
        }
    }

    fn readiness(&self) -> WebResponse {
        let not_ready = |why: &str| reply::text(StatusCode::SERVICE_UNAVAILABLE, why);
        if self.shared.is_draining() {
            return not_ready("draining\n");
        }
        if !self.shared.has_lease() {
            return not_ready("no valid configuration lease from the leader\n");
        }
        if !self.shared.has_runner_table() {
            return not_ready("waiting for the runner table\n");
        }
        reply::text(StatusCode::OK, "ready\n")
    }

    async fn targets(&self, request: AdminRequest<'_>) -> AdminResult {
        let path = request.path.clone();
        match (request.method.as_str(), path.as_slice()) {
            ("GET", ["v1", "targets"]) => self.ask_leader(LeaderRequest::Targets).await,
            ("POST", ["v1", "targets"]) => {
                let announce: Announce = read_json(request).await?;
                let (target, busy) = announce.into_parts();
                check_target(&target)?;
                self.ask_leader(LeaderRequest::Announce { target, busy }).await
            }
            ("POST", ["v1", "targets", name, "heartbeat"]) => {
                let name = parse_name(name)?;
                let heartbeat: Heartbeat = read_json(request).await?;
                let held_count = heartbeat.held.as_ref().map_or(0, Vec::len);
                if held_count > LIST_MAX || heartbeat.reports.len() > LIST_MAX {
                    let detail =
                        format!("more than {LIST_MAX} items in a list; send several heartbeats");
                    return Err(Problem::new(
                        ProblemKind::TooLarge,
                        ExecutionStatus::NotRun,
                        detail,
                    ));
                }
                self.ask_leader(LeaderRequest::Heartbeat { name, heartbeat }).await
            }
            ("POST", ["v1", "targets", name, "leave"]) => {
                let name = parse_name(name)?;
                let leave: Leave = read_json(request).await?;
                self.ask_leader(LeaderRequest::Leave { name, incarnation: leave.incarnation }).await
            }
            _ => Err(method_problem(&request)),
        }
    }

    async fn zones(&self, request: AdminRequest<'_>) -> AdminResult {
        let path = request.path.clone();
        match (request.method.as_str(), path.as_slice()) {
            ("GET", ["v1", "zones"]) => self.ask_leader(LeaderRequest::Zones).await,
            ("PUT", ["v1", "zones", zone]) => {
                // Targets of this daemon name their zones with these characters only.
                let zone = parse_name(zone)?;
                let change: ZoneChange = read_json(request).await?;
                self.ask_leader(LeaderRequest::Zone(change.into_order(zone.as_str()))).await
            }
            _ => Err(method_problem(&request)),
        }
    }

    async fn services(&self, request: AdminRequest<'_>) -> AdminResult {
        let path = request.path.clone();
        match (request.method.as_str(), path.as_slice()) {
            ("GET", ["v1", "services"]) => self.ask_leader(LeaderRequest::Services).await,
            ("GET", ["v1", "services", name]) => {
                self.ask_leader(LeaderRequest::Service(parse_name(name)?)).await
            }
            ("PUT", ["v1", "services", name]) => self.apply(parse_name(name)?, request).await,
            ("POST", ["v1", "services", name, "check"]) => {
                read_document(&parse_name(name)?, request).await?;
                Ok(reply::json(StatusCode::OK, &serde_json::json!({ "ok": true })))
            }
            _ => Err(method_problem(&request)),
        }
    }

    async fn apply(&self, name: Name, request: AdminRequest<'_>) -> AdminResult {
        let wait = !request.query.split('&').any(|part| part == "wait=false");
        let author = request.headers.get(AUTHOR).and_then(|value| value.to_str().ok());
        let author = author.filter(|text| text.len() <= 255).unwrap_or("unnamed").into();
        let text = read_document(&name, request).await?;
        match self.shared.request_leader(LeaderRequest::Apply { text, author }).await {
            LeaderResponse::Applied(mut applied) => {
                if wait {
                    self.wait_in_force(&mut applied).await;
                }
                Ok(reply::json(StatusCode::OK, &applied))
            }
            other => to_response(other),
        }
    }

    async fn wait_in_force(&self, applied: &mut Applied) {
        let deadline = Instant::now() + IN_FORCE_TIMEOUT;
        while Instant::now() < deadline {
            match self
                .shared
                .request_leader(LeaderRequest::InForce { revision: applied.revision })
                .await
            {
                LeaderResponse::InForce { everywhere, waiting_for } => {
                    applied.in_force_everywhere = everywhere;
                    applied.waiting_for = waiting_for;
                    if everywhere {
                        return;
                    }
                }
                _ => tokio::time::sleep(Duration::from_millis(100)).await,
            }
        }
    }

    async fn tasks(&self, request: AdminRequest<'_>) -> AdminResult {
        let path = request.path.clone();
        match (request.method.as_str(), path.as_slice()) {
            ("GET", ["v1", "tasks"]) => {
                self.ask_leader(LeaderRequest::Tasks(task_filter(request.query)?)).await
            }
            ("POST", ["v1", "tasks"]) => {
                let key = self.submission_key(request.headers)?;
                let tasks: SubmitTasks = read_json(request).await?;
                self.ask_leader(LeaderRequest::Submit { key, tasks }).await
            }
            ("POST", ["v1", "tasks", "cancel"]) => {
                let cancel: CancelTasks = read_json(request).await?;
                self.ask_leader(LeaderRequest::Cancel(cancel.tasks)).await
            }
            ("GET", ["v1", "tasks", id]) => {
                self.ask_leader(LeaderRequest::Task(task_id(id)?)).await
            }
            ("POST", ["v1", "tasks", id, "cancel"]) => {
                self.ask_leader(LeaderRequest::Cancel(vec![task_id(id)?])).await
            }
            _ => Err(method_problem(&request)),
        }
    }

    /// The key of a submission, random if the caller sent none. A submission without a
    /// key that is sent again adds its tasks again.
    fn submission_key(&self, headers: &HeaderMap) -> Result<Box<str>, Problem> {
        match headers.get(IDEMPOTENCY_KEY) {
            Some(value) => check_key(value.as_bytes()).map(Into::into).map_err(|error| {
                Problem::new(ProblemKind::BadRequest, ExecutionStatus::NotRun, error.to_string())
            }),
            None => {
                let mut rng = self.rng.borrow_mut();
                Ok(format!("drawn-{:016x}{:016x}", rng.next_u64(), rng.next_u64()).into())
            }
        }
    }

    async fn status(&self, request: &AdminRequest<'_>) -> AdminResult {
        require_get(request)?;
        match self.shared.request_leader(LeaderRequest::Status).await {
            LeaderResponse::Status(mut status) => {
                status.entry = self.shared.config.name.clone();
                Ok(reply::json(StatusCode::OK, &status))
            }
            other => to_response(other),
        }
    }

    /// Lists this daemon's routing decisions and the leader's placements, newest first.
    async fn decisions(&self, request: &AdminRequest<'_>) -> AdminResult {
        require_get(request)?;
        let mut decisions = self.shared.decisions.list();
        if let LeaderResponse::Decisions(leader_decisions) =
            self.shared.request_leader(LeaderRequest::Decisions).await
        {
            let own = &self.shared.config.name;
            decisions
                .extend(leader_decisions.into_iter().filter(|decision| decision.entry != *own));
        }
        decisions.sort_by_key(|decision| std::cmp::Reverse(decision.at_ms));
        Ok(reply::json(StatusCode::OK, &decisions))
    }

    async fn ask_leader(&self, request: LeaderRequest) -> AdminResult {
        to_response(self.shared.request_leader(request).await)
    }
}

fn to_response(response: LeaderResponse) -> AdminResult {
    let ok = StatusCode::OK;
    Ok(match response {
        LeaderResponse::Applied(value) => reply::json(ok, &value),
        LeaderResponse::InForce { everywhere, waiting_for } => reply::json(
            ok,
            &serde_json::json!({ "everywhere": everywhere, "waiting-for": waiting_for }),
        ),
        LeaderResponse::Services(value) => reply::json(ok, &value),
        LeaderResponse::Service(value) => reply::json(ok, &value),
        LeaderResponse::Submitted(value) => reply::json(StatusCode::ACCEPTED, &value),
        LeaderResponse::Cancelled(value) => reply::json(ok, &value),
        LeaderResponse::Task(value) => reply::json(ok, &value),
        LeaderResponse::Tasks(value) => reply::json(ok, &value),
        LeaderResponse::Welcome(value) => reply::json(ok, &value),
        LeaderResponse::Request(_) | LeaderResponse::Done => {
            reply::json(ok, &serde_json::json!({ "ok": true }))
        }
        LeaderResponse::Status(value) => reply::json(ok, &value),
        LeaderResponse::Targets(value) => reply::json(ok, &value),
        LeaderResponse::Zone(value) => reply::json(ok, &value),
        LeaderResponse::Zones(value) => reply::json(ok, &value),
        LeaderResponse::Decisions(value) => reply::json(ok, &value),
        LeaderResponse::Snapshot(bytes) => {
            reply::with_body(ok, "application/octet-stream", bytes.into())
        }
        LeaderResponse::Problem(problem) => return Err(problem),
    })
}

async fn read_json<T>(request: AdminRequest<'_>) -> Result<T, Problem>
where
    T: DeserializeOwned,
{
    let bytes = read_bytes(request.body, request.holding).await?;
    charge(request.holding, json_size::parsed_bytes(&bytes))?;
    serde_json::from_slice(&bytes).map_err(|error| {
        let detail =
            format!("the body is not the JSON expected here: {error}; see docs/PROTOCOLS.md");
        Problem::new(ProblemKind::BadRequest, ExecutionStatus::NotRun, detail)
    })
}

async fn read_bytes(body: RequestBody, holding: &mut Holding) -> Result<bytes::Bytes, Problem> {
    let bounds = BodyBounds { bytes: BODY_MAX_BYTES, time: BODY_TIMEOUT };
    read_body(body, bounds, holding).await.map_err(|error| body_problem(&error))
}

/// Problem of a request whose body was not read. It has not run.
pub(crate) fn body_problem(error: &RequestBodyError) -> Problem {
    let kind = match error {
        RequestBodyError::TooLarge(_) => ProblemKind::TooLarge,
        RequestBodyError::TooSlow | RequestBodyError::Broken => ProblemKind::BadRequest,
        RequestBodyError::NoRoom => return no_room_problem(&error.to_string()),
    };
    Problem::new(kind, ExecutionStatus::NotRun, error.to_string())
}

fn no_room_problem(detail: &str) -> Problem {
    Problem::new(ProblemKind::Overloaded, ExecutionStatus::NotRun, detail)
        .retry_after(NO_ROOM_RETRY_AFTER_MS)
}

/// Charges what the parsed form of a request takes.
fn charge(holding: &mut Holding, bytes: usize) -> Result<(), Problem> {
    holding.charge(bytes).map_err(|why| match why {
        Exhausted::TooLarge => {
            let detail = "the request takes more memory than this daemon has for one; split it, or \
                          raise --memory-mb";
            Problem::new(ProblemKind::TooLarge, ExecutionStatus::NotRun, detail)
        }
        Exhausted::Memory | Exhausted::Connections => {
            no_room_problem("there is no memory for the request now; send it again later")
        }
    })
}

async fn read_document(name: &Name, request: AdminRequest<'_>) -> Result<Box<str>, Problem> {
    let bytes = read_bytes(request.body, request.holding).await?;
    charge(request.holding, bytes.len().saturating_mul(PARSED_DOCUMENT_FACTOR))?;
    let text = std::str::from_utf8(&bytes).map_err(|_| {
        Problem::new(
            ProblemKind::BadRequest,
            ExecutionStatus::NotRun,
            "the document is not UTF-8; save it as UTF-8",
        )
    })?;
    let document = document::read(text).map_err(|faults| unacceptable_document(&faults))?;
    if document.service != *name {
        let detail = format!(
            "the document is for `{}` and was sent for `{name}`; use the same name in both",
            document.service
        );
        return Err(Problem::new(ProblemKind::Unacceptable, ExecutionStatus::NotRun, detail));
    }
    Ok(text.into())
}

fn check_target(target: &yuccalink_state::target::TargetSpec) -> Result<(), Problem> {
    use yuccalink_state::target::TargetSpec;
    let unacceptable = |detail: &str| {
        Err(Problem::new(ProblemKind::Unacceptable, ExecutionStatus::NotRun, detail))
    };
    if target.address().parse::<std::net::SocketAddr>().is_err() {
        return unacceptable("address must be IP:PORT, such as 10.0.0.7:9000");
    }
    match target {
        TargetSpec::Runner(spec) if spec.slots == 0 || spec.slots > 4096 => {
            unacceptable("slots must be from 1 to 4096")
        }
        TargetSpec::Runner(spec) if spec.connections < spec.slots => {
            unacceptable("connections must be at least slots: each request takes one")
        }
        TargetSpec::Worker(spec) if spec.capacity.millicores == 0 => {
            unacceptable("capacity.millicores must be at least 1")
        }
        TargetSpec::Runner(_) | TargetSpec::Worker(_) => Ok(()),
    }
}

fn parse_name(text: &str) -> Result<Name, Problem> {
    Name::new(text).map_err(|error| {
        Problem::new(ProblemKind::BadRequest, ExecutionStatus::NotRun, error.to_string())
    })
}

fn task_id(text: &str) -> Result<TaskId, Problem> {
    text.parse().map_err(|error: BadTaskId| {
        Problem::new(ProblemKind::BadRequest, ExecutionStatus::NotRun, error.to_string())
    })
}

fn task_filter(query: &str) -> Result<TaskFilter, Problem> {
    const DEFAULT_LIMIT: u32 = 100;
    let mut filter = TaskFilter { limit: DEFAULT_LIMIT, ..TaskFilter::default() };
    let bad_request =
        |detail: String| Problem::new(ProblemKind::BadRequest, ExecutionStatus::NotRun, detail);
    for part in query.split('&').filter(|part| !part.is_empty()) {
        let (name, value) = part.split_once('=').unwrap_or((part, ""));
        let number =
            || value.parse().map_err(|_| bad_request(format!("{name} must be a whole number")));
        match name {
            "service" => filter.service = Some(parse_name(value)?),
            "phase" => filter.phase = Some(value.into()),
            "after" => filter.after = number()?,
            "limit" => filter.limit = u32::try_from(number()?).unwrap_or(u32::MAX),
            _ => {
                let detail = format!("`{name}` is not known; use service, phase, after or limit");
                return Err(bad_request(detail));
            }
        }
    }
    Ok(filter)
}

fn require_get(request: &AdminRequest<'_>) -> Result<(), Problem> {
    match *request.method {
        Method::GET => Ok(()),
        _ => Err(method_problem(request)),
    }
}

fn method_problem(request: &AdminRequest<'_>) -> Problem {
    let path = request.path.join("/");
    let detail = format!("{} /{path} is not supported; see docs/PROTOCOLS.md", request.method);
    Problem::new(ProblemKind::MethodNotAllowed, ExecutionStatus::NotRun, detail)
}

fn path_problem(path: &str) -> Problem {
    let detail = format!("no resource at {path}; see docs/PROTOCOLS.md");
    Problem::new(ProblemKind::NotFound, ExecutionStatus::NotRun, detail)
}
