//! Reads the requests of callers, runners and operators, and responds to them.

use super::reply_body::ReplyBody;
use super::{Endpoint, HttpContext, to_http};
use crate::cell::adapter::{ApiRequest, ApiResponse};
use crate::cell::client_io::Connection;
use crate::cell::native;
use crate::cell::requests::LeaderRoute;
use crate::json_size;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming as Body};
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response};
use std::time::Duration;
use tokio::time::Instant;
use yuccalink_coordination::jobs::{CellRequest, CellResponse};
use yuccalink_transport::account::{Exhausted, Phase};
use yuccalink_transport::request_body::{BodyBounds, Holding, RequestBodyError, read_chunks};

/// Time limit for the leader's response to a caller's request. Callers give up after 3 s, and
/// this leaves them time to try another entry.
const CALLER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time limit for the leader's response to a runner or operator. A runner ignores a response
/// that arrives after more than 1 s.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(900);
/// Time limit for the leader's response to a large request, such as a change set of 1,400
/// queues on a slow link.
const LARGE_REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Largest request body of a runner or operator: a change set of 10,000 queues.
const CONTROL_BODY_MAX_BYTES: usize = 4 * 1024 * 1024;
/// Time limit for receiving a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest response that fits into the first buffers of a connection, in bytes.
const SMALL_REPLY_BYTES: usize = 4 * 1024;

/// Why a request is refused before the leader is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
enum Refusal {
    /// the head is over {0} bytes; send fewer or shorter headers
    HeadTooLarge(usize),
    /// {0}
    Body(RequestBodyError),
    /// there is no memory for the request now; send it again later
    NoRoom,
    /// the request takes more memory than this process has for one; send less at once
    TooLarge,
}

impl Refusal {
    fn status(self) -> u16 {
        match self {
            Self::HeadTooLarge(_) => 431,
            Self::Body(RequestBodyError::TooLarge(_)) | Self::TooLarge => 413,
            Self::Body(RequestBodyError::TooSlow) => 408,
            Self::Body(RequestBodyError::Broken) => 400,
            Self::Body(RequestBodyError::NoRoom) | Self::NoRoom => 503,
        }
    }
}

pub(super) async fn handle(
    context: &HttpContext,
    endpoint: Endpoint,
    connection: &Connection,
    req: Request<Body>,
) -> Response<ReplyBody> {
    let started = Instant::now();
    let (head, body) = req.into_parts();
    let mut holding = Holding::new(connection.client.clone());
    let received = receive(context, endpoint, &head, body, &mut holding).await;
    let body = match received {
        Ok(body) => body,
        Err(refusal) => return refuse(context, endpoint, connection, &head, refusal),
    };
    let reply = answer(context, endpoint, &head, &body, started).await;
    drop(body);
    let is_small = reply.shares_body || reply.body.len() <= SMALL_REPLY_BYTES;
    if !is_small && let Err(why) = holding.charge(reply.body.len()) {
        context.admission.log_refusal(endpoint.class(), &why);
        let text = "there is no memory for the response now; ask again later";
        return to_http(no_room_reply(context, endpoint, text));
    }
    let mut response = to_http(reply);
    response.body_mut().set_holding(holding);
    response
}

fn no_room_reply(context: &HttpContext, endpoint: Endpoint, text: &str) -> ApiResponse {
    let retry_after_ms = context.admission.retry_after_ms(endpoint.class());
    let reply = native::error_response(503, text);
    ApiResponse { retry_after_ms: Some(retry_after_ms), ..reply }
}

/// Receives a whole request and charges what its parsed form takes.
async fn receive(
    context: &HttpContext,
    endpoint: Endpoint,
    head: &Parts,
    mut body: Body,
    holding: &mut Holding,
) -> Result<Bytes, Refusal> {
    let limits = *context.limits.borrow();
    let mut bytes = CONTROL_BODY_MAX_BYTES;
    if endpoint == Endpoint::Callers {
        if head_bytes(head) > limits.head_max() {
            return Err(Refusal::HeadTooLarge(limits.head_max()));
        }
        bytes = limits.body_max();
    }
    if body.is_end_stream() {
        holding.client().enter(Phase::Serving);
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > bytes as u64 {
        return Err(Refusal::Body(RequestBodyError::TooLarge(bytes)));
    }
    let next = async || next_chunk(&mut body).await;
    let bounds = BodyBounds { bytes, time: BODY_TIMEOUT };
    let received = read_chunks(next, bounds, holding).await.map_err(Refusal::Body)?;
    holding.charge(json_size::parsed_bytes(&received)).map_err(|why| match why {
        Exhausted::TooLarge => Refusal::TooLarge,
        Exhausted::Memory | Exhausted::Connections => Refusal::NoRoom,
    })?;
    Ok(received)
}

async fn next_chunk(body: &mut Body) -> Option<Result<Bytes, RequestBodyError>> {
    loop {
        match body.frame().await? {
            // Trailers are ignored.
            Ok(frame) => match frame.into_data() {
                Ok(data) => return Some(Ok(data)),
                Err(_) => continue,
            },
            Err(_) => return Some(Err(RequestBodyError::Broken)),
        }
    }
}

/// Size of a request's head as it was sent, without optional white space.
fn head_bytes(head: &Parts) -> usize {
    const REQUEST_LINE: usize = "  HTTP/1.1\r\n".len();
    const HEADER_LINE: usize = ": \r\n".len();
    const END: usize = "\r\n".len();
    let target = head.uri.path_and_query().map_or(0, |target| target.as_str().len());
    let headers = head.headers.iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len() + HEADER_LINE);
    head.method.as_str().len() + target + REQUEST_LINE + headers.sum::<usize>() + END
}

/// Responds to a request that was not received in full, or not parsed. It has not run.
fn refuse(
    context: &HttpContext,
    endpoint: Endpoint,
    connection: &Connection,
    head: &Parts,
    refusal: Refusal,
) -> Response<ReplyBody> {
    let status = refusal.status();
    context.admission.log_refusal(
        endpoint.class(),
        &format_args!("method={} path={} status={status} {refusal}", head.method, head.uri.path()),
    );
    context.node.with(|node| node.metrics.record_status(status));
    connection.set_answered_early();
    let text = refusal.to_string();
    let reply = match status {
        503 => no_room_reply(context, endpoint, &text),
        _ => native::error_response(status, &text),
    };
    let mut response = to_http(reply);
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

async fn answer(
    context: &HttpContext,
    endpoint: Endpoint,
    head: &Parts,
    body: &[u8],
    started: Instant,
) -> ApiResponse {
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let path = head.uri.path();
    let api_request = ApiRequest { method: head.method.as_str(), path, host, body };
    let parsed = match endpoint {
        Endpoint::Callers => context.adapter.parse_caller(api_request),
        _ => context.adapter.parse_control(api_request),
    };
    let concerns_change = matches!(
        parsed,
        Ok(CellRequest::Change(_) | CellRequest::ChangeWithSettings(_) | CellRequest::Document)
    );
    let reply = match parsed {
        Err(reply) => {
            log::info!(
                "method={} path={path} status={} answered without the leader",
                head.method,
                reply.status
            );
            reply
        }
        Ok(request) => {
            // Callers do not follow redirects.
            let (route, time_limit) = match (endpoint, LeaderRoute::for_body_size(body.len())) {
                (Endpoint::Callers, _) => (LeaderRoute::Forward, CALLER_TIMEOUT),
                (_, LeaderRoute::Forward) => (LeaderRoute::Forward, CONTROL_TIMEOUT),
                (_, LeaderRoute::Redirect) => (LeaderRoute::Redirect, LARGE_REQUEST_TIMEOUT),
            };
            match context.node.request_leader(request, route, time_limit).await {
                CellResponse::AskLeader { control } => ApiResponse::redirect(control, path),
                CellResponse::Orders(mut orders) => {
                    orders.report_to = context.node.report_address();
                    context.adapter.to_response(CellResponse::Orders(orders))
                }
                response => context.adapter.to_response(response),
            }
        }
    };
    let took = started.elapsed();
    context.node.with(|node| {
        node.metrics.record_status(reply.status);
        match endpoint {
            Endpoint::Callers => node.metrics.callers.record(took),
            _ => node.metrics.control.record(took),
        }
        if concerns_change {
            node.metrics.changes.record(took);
        }
    });
    if reply.status >= 500 || reply.status == 429 || concerns_change {
        log::info!(
            "method={} path={path} status={} after-ms={} took={took:?} bytes={} location={}",
            head.method,
            reply.status,
            reply.retry_after_ms.unwrap_or(0),
            reply.body.len(),
            reply.location.as_deref().unwrap_or("here")
        );
    }
    reply
}
