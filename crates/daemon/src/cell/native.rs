//! The cell's native HTTP interface, in JSON.
//!
//! Callers: `POST`, `GET` and `DELETE /v1/HOST/QUEUE-PATH/JOB`, where the host comes
//! from the `Host` header. Runners: `POST /v1/runners/ID/heartbeat` and
//! `/leave`. Operators: `PUT` and `GET /v1/change`, `/v1/waves/ID`, `/v1/zones`,
//! `/v1/queues`.

use crate::cell::adapter::{ApiAdapter, ApiRequest, ApiResponse, ExternalRequest};
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use yuccalink_coordination::jobs::external::{ExternalCall, ExternalReply};
use yuccalink_coordination::jobs::messages::QueueAddress;
use yuccalink_coordination::jobs::{CellRequest, CellResponse, JobState, RunnerReport};
use yuccalink_protocol::api::ZoneChange;
use yuccalink_state::jobs::settings::ChangeSetBody;
use yuccalink_state::jobs::{JobId, JobSpec, Wave};

/// Adapter for the native HTTP interface.
#[derive(Clone, Copy, Debug, Default)]
pub struct Native;

/// JSON body of an error response.
#[derive(Debug, Serialize)]
struct Problem<'a> {
    error: &'a str,
}

/// JSON view of a job's state.
#[derive(Debug, Serialize)]
struct StateView {
    state: JobState,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<Box<str>>,
}

/// JSON view of the number of jobs that have not started.
#[derive(Debug, Serialize)]
struct PendingView {
    pending: u64,
}

/// JSON view of a wave's state.
#[derive(Debug, Serialize)]
struct WaveView {
    state: &'static str,
}

impl ApiAdapter for Native {
    fn parse_caller(&self, req: ApiRequest<'_>) -> Result<CellRequest, ApiResponse> {
        parse_caller_request(req, parse_json::<JobSpec>)
    }

    fn parse_control(&self, req: ApiRequest<'_>) -> Result<CellRequest, ApiResponse> {
        let parts: Vec<&str> = req.path.trim_matches('/').split('/').collect();
        match (req.method, parts.as_slice()) {
            ("POST", ["v1", "runners", id, "heartbeat"]) => {
                let mut report: RunnerReport = parse_json(req.body)?;
                report.runner = (*id).into();
                Ok(CellRequest::Heartbeat(Box::new(report)))
            }
            ("POST", ["v1", "runners", id, "leave"]) => {
                Ok(CellRequest::Leave { runner: (*id).into(), started_ms: None })
            }
            ("PUT", ["v1", "change"]) => {
                let body: ChangeSetBody = parse_json(req.body)?;
                let change = body.into_change_set(req.body);
                let change = change.map_err(|error| error_response(400, &error.to_string()))?;
                Ok(CellRequest::change(change))
            }
            ("GET", ["v1", "change"]) => Ok(CellRequest::Document),
            ("PUT", ["v1", "waves", id]) => {
                let mut wave: Wave = parse_json(req.body)?;
                wave.id = parse_number(id)?;
                Ok(CellRequest::WaveStart(wave))
            }
            ("GET", ["v1", "waves", id]) => Ok(CellRequest::WaveState(parse_number(id)?)),
            ("PUT", ["v1", "zones", zone]) => {
                let change: ZoneChange = parse_json(req.body)?;
                Ok(CellRequest::Zone(Box::new(change.into_order(&decode_path(zone)?))))
            }
            ("GET", ["v1", "zones"]) => Ok(CellRequest::Zones),
            ("GET", ["v1", "queues"]) => Ok(CellRequest::Queues),
            _ => {
                Err(error_response(404, "no such path; see docs/PROTOCOLS.md for the valid paths"))
            }
        }
    }

    fn to_response(&self, response: CellResponse) -> ApiResponse {
        match response {
            CellResponse::Orders(orders) => json_response(200, &*orders),
            CellResponse::Invalid(what) => error_response(400, &what),
            other => common_response(other),
        }
    }

    fn external_request(&self, _: &ExternalCall) -> Option<ExternalRequest> {
        // The native interface has no external policy to ask and no machines to order.
        None
    }

    fn decode_reply(&self, _: &ExternalCall, _: u16, _: &[u8]) -> ExternalReply {
        ExternalReply::Refused
    }
}

/// Decodes the percent-encoded characters of a path segment.
///
/// # Errors
/// Returns a 400 response if the segment is not UTF-8.
///
/// ```
/// use yuccalink_daemon::cell::decode_path;
/// assert_eq!(decode_path("brno%20a").as_deref(), Ok("brno a"));
/// ```
pub fn decode_path(segment: &str) -> Result<Box<str>, ApiResponse> {
    let decoded = percent_encoding::percent_decode_str(segment).decode_utf8();
    decoded.map(Box::from).map_err(|_| error_response(400, "a path segment is not UTF-8"))
}

/// Parses a number in a path.
///
/// # Errors
/// Returns a 400 response if `text` is not a number.
pub fn parse_number(text: &str) -> Result<u64, ApiResponse> {
    text.parse().map_err(|_| error_response(400, &format!("{text:?} is not a number; use digits")))
}

/// Parses a caller's request. The last segment of its path is the job ID.
///
/// # Errors
/// Returns the response of `read` if it rejects the body.
pub fn parse_caller_request<F>(req: ApiRequest<'_>, read: F) -> Result<CellRequest, ApiResponse>
where
    F: FnOnce(&[u8]) -> Result<JobSpec, ApiResponse>,
{
    let host = req.host.split(':').next().unwrap_or_default();
    let cut = req.path.rfind('/').map_or(0, |at| at + 1);
    let (prefix, name) = req.path.split_at(cut);
    let at = QueueAddress { host: host.into(), path: prefix.into() };
    if name.is_empty() {
        return Ok(if req.method == "GET" {
            CellRequest::Pending { at }
        } else {
            CellRequest::Other { at }
        });
    }
    let Some(id) = JobId::parse(name) else { return Ok(CellRequest::Other { at }) };
    match req.method {
        "POST" => Ok(CellRequest::Submit { at, id, spec: Arc::new(read(req.body)?) }),
        "GET" => Ok(CellRequest::State { at, id }),
        "DELETE" => Ok(CellRequest::Cancel { at, id }),
        _ => Ok(CellRequest::Other { at }),
    }
}

/// Converts a cell response to the HTTP response that all JSON interfaces share.
pub fn common_response(response: CellResponse) -> ApiResponse {
    let later = |status, after_ms| ApiResponse {
        retry_after_ms: Some(after_ms),
        ..ApiResponse::empty(status)
    };
    match response {
        CellResponse::Accepted | CellResponse::Ok => ApiResponse::empty(200),
        CellResponse::State(state) => json_response(200, &StateView { state, reason: None }),
        CellResponse::Failed(reason) => {
            json_response(200, &StateView { state: JobState::Failed, reason: Some(reason) })
        }
        CellResponse::Pending(pending) => json_response(200, &PendingView { pending }),
        CellResponse::Gone => ApiResponse::empty(410),
        CellResponse::NoQueue => ApiResponse::empty(404),
        CellResponse::NotTaken => ApiResponse::empty(405),
        CellResponse::Refused { after_ms } => later(429, after_ms),
        CellResponse::NotServing { after_ms } => later(503, after_ms),
        CellResponse::Unknown | CellResponse::NotLeader { .. } | CellResponse::AskLeader { .. } => {
            ApiResponse::empty(504)
        }
        // All responses share the text: a client may take long to read it.
        CellResponse::Document(text) => ApiResponse {
            body: Bytes::from_owner(text),
            shares_body: true,
            ..ApiResponse::empty(200)
        },
        CellResponse::Invalid(what) => error_response(400, &what),
        CellResponse::Conflict(what) => error_response(409, &what),
        CellResponse::Zone(zone) => json_response(200, &zone),
        CellResponse::Zones(zones) => json_response(200, &zones),
        CellResponse::Queues(queues) => json_response(200, &queues),
        CellResponse::Orders(orders) => json_response(200, &*orders),
        CellResponse::Wave { done } => {
            json_response(200, &WaveView { state: if done { "completed" } else { "running" } })
        }
    }
}

/// Parses a JSON body.
///
/// # Errors
/// Returns a 400 response that says what is wrong and where.
pub fn parse_json<T>(body: &[u8]) -> Result<T, ApiResponse>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(body).map_err(|error| error_response(400, &error.to_string()))
}

/// Creates an error response with a JSON body; `error` should name the remedy.
pub fn error_response(status: u16, error: &str) -> ApiResponse {
    json_response(status, &Problem { error })
}

/// Creates a response with `value` as its JSON body.
pub fn json_response<T>(status: u16, value: &T) -> ApiResponse
where
    T: Serialize,
{
    match serde_json::to_vec(value) {
        Ok(body) => ApiResponse::json(status, body),
        Err(error) => {
            log::error!("cannot serialize a response: {error}");
            ApiResponse::empty(500)
        }
    }
}
