//! HTTP servers for callers, runners, operators, the load balancer and metrics.

mod reply_body;
mod request;

use crate::cell::adapter::{ApiAdapter, ApiResponse};
use crate::cell::admission::{Admission, ClientAdmission};
use crate::cell::client_io::{ClientIo, Connection, linger};
use crate::cell::limits::{LimitsInForce, UNREAD_TIMEOUT};
use crate::cell::native;
use crate::cell::node::SharedNode;
use bytes::Bytes;
use hyper::body::Incoming as Body;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, LOCATION, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use reply_body::ReplyBody;
use serde::Serialize;
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;
use yuccalink_coordination::store_health::StoreState;
use yuccalink_transport::account::{Client, ClientClass, ClientTimeouts, Phase};

/// Time limit for receiving the headers of a request of a runner, an operator or a load balancer,
/// and for the next request on an open connection.
const HEADER_TIMEOUT: Duration = Duration::from_secs(15);
/// Size limit of the headers of such a request.
const HEADER_MAX_BYTES: usize = 16 * 1024;
/// Time for a client that gives way to receive its response.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which the time limits of connections are checked.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);
/// Delay after a failed accept, for example because no file descriptor is left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Path of the status of this process, the same with every adapter.
const STATUS_PATH: &str = "/v1/status";

/// Kind of clients that a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Endpoint {
    Callers,
    Control,
    Ready,
    Metrics,
}

impl Endpoint {
    fn class(self) -> ClientClass {
        match self {
            Self::Callers => ClientClass::Callers,
            Self::Control => ClientClass::Control,
            Self::Ready | Self::Metrics => ClientClass::Observers,
        }
    }

    /// Largest read buffer of the HTTP server.
    fn read_buffer(self, limits: &LimitsInForce) -> usize {
        match self {
            Self::Callers => limits.read_buffer(),
            Self::Control | Self::Ready | Self::Metrics => HEADER_MAX_BYTES,
        }
    }
}

/// JSON body of a response to the load balancer.
#[derive(Debug, Serialize)]
struct ReadinessView {
    store: StoreState,
}

/// State shared by all connections.
pub(crate) struct HttpContext {
    pub(crate) node: SharedNode,
    pub(crate) adapter: Rc<dyn ApiAdapter>,
    pub(crate) admission: Rc<ClientAdmission>,
    /// Limits of callers' requests.
    pub(crate) limits: watch::Receiver<LimitsInForce>,
    /// Number of requests being processed.
    pub(crate) in_flight: Cell<usize>,
    /// True once connections are to be closed after their current response.
    pub(crate) closing: watch::Receiver<bool>,
}

/// Counts a request as being processed until it is dropped.
struct InFlight<'a>(&'a Cell<usize>);

impl<'a> InFlight<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Accepts connections until `closing` becomes true.
pub(crate) async fn serve(context: Rc<HttpContext>, endpoint: Endpoint, listener: TcpListener) {
    let mut closing = context.closing.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|closing| *closing) => return,
        };
        match accepted {
            Ok((stream, _)) => accept(&context, endpoint, stream),
            Err(error) => {
                log::warn!("cannot accept a connection for {endpoint:?}: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Applies the time limits of connections until the process ends.
pub(crate) async fn expire_connections(context: Rc<HttpContext>) {
    let account = &context.admission.account;
    let timeouts =
        ClientTimeouts { idle: HEADER_TIMEOUT, head: HEADER_TIMEOUT, unread: UNREAD_TIMEOUT };
    let mut interval = tokio::time::interval(EXPIRY_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let of_callers = context.limits.borrow().timeouts();
        account.expire(ClientClass::Callers, of_callers);
        account.expire(ClientClass::Control, timeouts);
        account.expire(ClientClass::Observers, timeouts);
    }
}

fn accept(context: &Rc<HttpContext>, endpoint: Endpoint, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    match context.admission.admit(endpoint.class()) {
        Admission::Served(client) => {
            let serving = serve_connection(context.clone(), endpoint, stream, client.into());
            tokio::task::spawn_local(serving);
        }
        Admission::Rejected(permit) => {
            let retry_after_ms = context.admission.retry_after_ms(endpoint.class());
            tokio::task::spawn_local(async move {
                let _permit = permit;
                reject_connection(stream, retry_after_ms).await;
            });
        }
        Admission::Closed => {}
    }
}

async fn serve_connection(
    context: Rc<HttpContext>,
    endpoint: Endpoint,
    stream: TcpStream,
    client: Arc<Client>,
) {
    let mut closing = context.closing.clone();
    let mut limits = context.limits.clone();
    let read_buffer = endpoint.read_buffer(&limits.borrow_and_update());
    let socket_buffers = endpoint.socket_buffers().bytes();
    let connection = Connection::new(stream, client.clone(), read_buffer, socket_buffers);
    let service = service_fn({
        let connection = connection.clone();
        move |req| {
            let (context, connection) = (context.clone(), connection.clone());
            async move { Ok::<_, Infallible>(respond(&context, endpoint, &connection, req).await) }
        }
    });
    let mut http = hyper::server::conn::http1::Builder::new();
    http.timer(TokioTimer::new()).header_read_timeout(None).max_buf_size(read_buffer);
    let serving = http.serve_connection(TokioIo::new(ClientIo(connection.clone())), service);
    tokio::pin!(serving);
    let needs_larger_buffer = |limits: &LimitsInForce| endpoint.read_buffer(limits) > read_buffer;
    let result = tokio::select! {
        result = serving.as_mut() => result,
        () = client.sent_away() => {
            if client.phase() != Phase::Body {
                return;
            }
            // The request is refused, and the client is told so.
            serving.as_mut().graceful_shutdown();
            match timeout(REFUSAL_TIMEOUT, serving).await {
                Ok(result) => result,
                Err(_) => return,
            }
        }
        _ = closing.wait_for(|closing| *closing) => {
            serving.as_mut().graceful_shutdown();
            serving.await
        }
        _ = limits.wait_for(needs_larger_buffer) => {
            serving.as_mut().graceful_shutdown();
            tokio::select! {
                result = serving => result,
                () = client.sent_away() => return,
            }
        }
    };
    match result {
        Ok(()) => connection.linger().await,
        Err(error) => log::debug!("connection for {endpoint:?} failed: {error}"),
    }
}

async fn respond(
    context: &HttpContext,
    endpoint: Endpoint,
    connection: &Connection,
    req: Request<Body>,
) -> Response<ReplyBody> {
    let _in_flight = InFlight::new(&context.in_flight);
    let mut response = match endpoint {
        Endpoint::Ready => readiness(&context.node),
        Endpoint::Metrics => render_metrics(context),
        Endpoint::Control if req.method() == Method::GET && req.uri().path() == STATUS_PATH => {
            to_http(native::json_response(200, &context.node.with(|node| node.status())))
        }
        Endpoint::Callers | Endpoint::Control => {
            request::handle(context, endpoint, connection, req).await
        }
    };
    if context.node.is_draining() {
        // The client must send its next request to a process that is not stopping.
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    connection.request_ended();
    response
}

/// Responds to the first request on a connection that finds no place.
async fn reject_connection(stream: TcpStream, retry_after_ms: u64) {
    let message = "this process has no place for another connection: retry later or use another \
                   entry; its operator can raise --connections-max, --memory-mb and the limit of \
                   open files";
    let service = service_fn(move |_: Request<Body>| {
        let reply = native::error_response(503, message);
        let reply = ApiResponse { retry_after_ms: Some(retry_after_ms), ..reply };
        let mut response = to_http(reply);
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        std::future::ready(Ok::<_, Infallible>(response))
    });
    let mut http = hyper::server::conn::http1::Builder::new();
    http.max_buf_size(HEADER_MAX_BYTES);
    let serving = http.serve_connection(TokioIo::new(stream), service).without_shutdown();
    match timeout(REFUSAL_TIMEOUT, serving).await {
        Ok(Ok(parts)) => {
            let mut stream = parts.io.into_inner();
            if stream.shutdown().await.is_ok() {
                linger(&mut stream).await;
            }
        }
        Ok(Err(error)) => log::debug!("a rejected connection failed: {error}"),
        Err(_) => {}
    }
}

fn render_metrics(context: &HttpContext) -> Response<ReplyBody> {
    let text = context.node.with(|node| {
        let now = node.now();
        let version = node.change_version();
        let store = node.replica.as_ref();
        let store = store.map(|replica| (replica.store.state(), replica.store_changes.clone()));
        let leader = node.replica.as_mut().and_then(|replica| replica.leader(now.at));
        node.metrics.render(leader.as_deref(), version, store, &context.admission.account)
    });
    Response::new(Bytes::from(text).into())
}

/// Response to the load balancer. A process whose store takes no writes still serves callers; the
/// body tells operators.
fn readiness(node: &SharedNode) -> Response<ReplyBody> {
    let status = if node.is_ready() { 200 } else { 503 };
    match node.with(|node| node.store_state()) {
        None | Some(StoreState::Writable) => empty_response(status),
        Some(store) => to_http(native::json_response(status, &ReadinessView { store })),
    }
}

fn empty_response(status: u16) -> Response<ReplyBody> {
    to_http(ApiResponse::empty(status))
}

fn to_http(reply: ApiResponse) -> Response<ReplyBody> {
    let has_body = !reply.body.is_empty();
    let mut response = Response::new(reply.body.into());
    *response.status_mut() =
        StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    if has_body {
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    }
    if let Some(location) = &reply.location {
        match HeaderValue::from_str(location) {
            Ok(location) => drop(headers.insert(LOCATION, location)),
            Err(error) => log::error!("cannot send the location header {location}: {error}"),
        }
    }
    if let Some(ms) = reply.retry_after_ms {
        headers.insert(RETRY_AFTER, HeaderValue::from(ms.div_ceil(1_000)));
    }
    response
}
