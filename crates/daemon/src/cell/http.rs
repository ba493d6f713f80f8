//! HTTP for callers, runners, operators and the balancer.

use crate::cell::adapter::{ApiAdapter, ApiRequest, ApiResponse};
use crate::cell::connections::{Admission, Connections, Held};
use crate::cell::native;
use crate::cell::node::{PassOn, Shared};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming as Body;
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST, HeaderValue, LOCATION, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;
use yuccalink_coordination::jobs::{CellRequest, CellResponse};

/// Longest wait for the leader on behalf of a caller: callers wait for 3 s, and
/// another entry may do better.
const CALLER_BUDGET: Duration = Duration::from_millis(2_000);
/// A runner drops an answer that comes later than a second.
const CONTROL_BUDGET: Duration = Duration::from_millis(900);
/// A change set of 1,400 queues takes its time on a slow link.
const LARGE_BUDGET: Duration = Duration::from_millis(2_500);
/// Largest body of a caller, in bytes.
const CALLER_BODY_MAX: usize = 256 * 1024;
/// Largest body of a runner or operator, in bytes: 10,000 queues.
const CONTROL_BODY_MAX: usize = 4 * 1024 * 1024;
/// Longest wait for a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest wait for a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest head, in bytes.
const HEAD_MAX: usize = 16 * 1024;
/// When to come back to a process that holds all the connections it may, in milliseconds.
const TOO_MANY_MS: u64 = 1_000;
/// Pause after a failed accept, as when no descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Where operators ask a process of itself, whatever dialect its cell speaks.
const STATUS: &str = "/v1/status";

/// What a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Port {
    Callers,
    Control,
    Ready,
    Metrics,
}

/// What all connections share.
pub(crate) struct Site {
    pub(crate) node: Shared,
    pub(crate) adapter: Rc<dyn ApiAdapter>,
    pub(crate) connections: Rc<Connections>,
    /// Requests being answered.
    pub(crate) in_flight: Cell<usize>,
    /// True once connections are to be closed after their answer.
    pub(crate) closing: watch::Receiver<bool>,
}

/// Accepts connections until told to close.
pub(crate) async fn serve(site: Rc<Site>, port: Port, listener: TcpListener) {
    let mut closing = site.closing.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|closing| *closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                if let Some(admitted) = admit(&site, port) {
                    tokio::task::spawn_local(connection(site.clone(), port, stream, admitted));
                }
            }
            Err(error) => {
                log::warn!("cannot accept a connection for {port:?}: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// A connection that was taken; it counts until this is dropped.
struct Admitted {
    /// Its first request is only told that there are too many.
    refused: bool,
    _held: Option<Held>,
}

/// The balancer and readers of metrics are few, and are to be answered most of all by a
/// process that is full.
fn admit(site: &Site, port: Port) -> Option<Admitted> {
    match port {
        Port::Ready | Port::Metrics => Some(Admitted { refused: false, _held: None }),
        Port::Callers | Port::Control => match site.connections.admit() {
            Admission::Served(held) => Some(Admitted { refused: false, _held: Some(held) }),
            Admission::Refused(held) => Some(Admitted { refused: true, _held: Some(held) }),
            Admission::Closed => None,
        },
    }
}

async fn connection(site: Rc<Site>, port: Port, stream: TcpStream, admitted: Admitted) {
    let _ = stream.set_nodelay(true);
    let mut closing = site.closing.clone();
    let refused = admitted.refused;
    let service = service_fn(move |req| {
        let site = site.clone();
        async move {
            Ok::<_, Infallible>(match refused {
                true => too_many(&site),
                false => respond(site, port, req).await,
            })
        }
    });
    let mut http = hyper::server::conn::http1::Builder::new();
    http.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT).max_buf_size(HEAD_MAX);
    let connection = http.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        _ = closing.wait_for(|closing| *closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!("a connection for {port:?} has ended: {error}");
    }
}

async fn respond(site: Rc<Site>, port: Port, req: Request<Body>) -> Response<Full<Bytes>> {
    site.in_flight.set(site.in_flight.get() + 1);
    let mut response = match port {
        Port::Ready => plain(if site.node.is_ready() { 200 } else { 503 }),
        Port::Metrics => metrics(&site),
        Port::Control if req.method() == Method::GET && req.uri().path() == STATUS => {
            render(native::json(200, &site.node.with(|node| node.status())))
        }
        Port::Callers | Port::Control => exchange(&site, port, req).await,
    };
    if site.node.is_draining() {
        // The next request of this connection is for a process that stays.
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    site.in_flight.set(site.in_flight.get() - 1);
    response
}

async fn exchange(site: &Site, port: Port, req: Request<Body>) -> Response<Full<Bytes>> {
    let began = Instant::now();
    let (head, body) = req.into_parts();
    let most = if port == Port::Callers { CALLER_BODY_MAX } else { CONTROL_BODY_MAX };
    let body = match tokio::time::timeout(BODY_TIMEOUT, Limited::new(body, most).collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => {
            log::info!("method={} path={} unread: {error}", head.method, head.uri.path());
            return plain(413);
        }
        Err(_) => return plain(408),
    };
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let path = head.uri.path();
    let incoming = ApiRequest { method: head.method.as_str(), path, host, body: &body };
    let asked = match port {
        Port::Callers => site.adapter.caller(incoming),
        _ => site.adapter.control(incoming),
    };
    let concerns_change = matches!(asked, Ok(CellRequest::Change(_) | CellRequest::Document));
    let reply = match asked {
        Err(reply) => {
            log::info!("method={} path={path} status={} by itself", head.method, reply.status);
            reply
        }
        Ok(ask) => {
            // Callers do not follow redirects.
            let (pass_on, budget) = match (port, PassOn::of_size(body.len())) {
                (Port::Callers, _) => (PassOn::Yes, CALLER_BUDGET),
                (_, PassOn::Yes) => (PassOn::Yes, CONTROL_BUDGET),
                (_, PassOn::No) => (PassOn::No, LARGE_BUDGET),
            };
            match site.node.ask(ask, pass_on, budget).await {
                CellResponse::AskLeader { control } => ApiResponse::elsewhere(control, path),
                CellResponse::Orders(mut orders) => {
                    orders.report_to = site.node.takes_reports_at();
                    site.adapter.reply(CellResponse::Orders(orders))
                }
                answer => site.adapter.reply(answer),
            }
        }
    };
    let took = began.elapsed();
    site.node.with(|node| {
        node.metrics.responded(reply.status);
        match port {
            Port::Callers => node.metrics.callers.add(took),
            _ => node.metrics.control.add(took),
        }
        if concerns_change {
            node.metrics.changes.add(took);
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
    render(reply)
}

/// The answer on a connection beyond those that are served: nothing was done.
fn too_many(site: &Site) -> Response<Full<Bytes>> {
    let mut reply = native::problem(503, &site.connections.refusal());
    reply.retry_after_ms = Some(TOO_MANY_MS);
    let mut response = render(reply);
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

fn metrics(site: &Site) -> Response<Full<Bytes>> {
    let text = site.node.with(|node| {
        let now = node.now();
        let version = node.change_version();
        let leader = node.replica.as_mut().and_then(|replica| replica.leader(now.at));
        node.metrics.text(leader.as_deref(), version, &site.connections)
    });
    Response::new(Full::new(Bytes::from(text)))
}

fn plain(status: u16) -> Response<Full<Bytes>> {
    render(ApiResponse::empty(status))
}

fn render(reply: ApiResponse) -> Response<Full<Bytes>> {
    let has_body = !reply.body.is_empty();
    let mut response = Response::new(Full::new(reply.body));
    *response.status_mut() =
        StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    if has_body {
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    }
    if let Some(location) = &reply.location {
        match HeaderValue::from_str(location) {
            Ok(location) => drop(headers.insert(LOCATION, location)),
            Err(error) => log::error!("location {location} cannot be sent: {error}"),
        }
    }
    if let Some(ms) = reply.retry_after_ms {
        headers.insert(RETRY_AFTER, HeaderValue::from(ms.div_ceil(1_000)));
    }
    response
}
