//! A small runner whose responses are controlled by request headers.
//!
//! `fake-delay-ms` delays the response, `fake-size` sets the size of its body in bytes,
//! `fake-status` sets its status, `fake-cut` ends the body after half, `fake-chunked` omits the
//! content length, `fake-chunk-delay-ms` adds a delay after each chunk, and `fake-refuse` refuses
//! the request before it starts. The response repeats the request's `fake-tag` header, or else
//! its body.

use crate::request_body::read_whole;
use crate::target::{AnnounceOutcome, Announcer, random_incarnation};
use bytes::Bytes;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::sleep;
use xitca_web::body::ResponseBody;
use xitca_web::http::{WebRequest, WebResponse};
use yuccalink_coordination::invariants::RequestChecker;
use yuccalink_protocol::api::{Announce, Heartbeat, Leave};
use yuccalink_state::id::{Incarnation, Name};
use yuccalink_state::target::RunnerSpec;
use yuccalink_transport::body::{BodyChunk, streamed_body};
use yuccalink_transport::http::{HeaderMap, StatusCode};
use yuccalink_transport::reply;
use yuccalink_transport::server::{Handler, Server, ServerLimits};

const CHUNK_BYTES: usize = 64 * 1024;
const BUFFERED_CHUNKS: usize = 8;
/// Pause after a message that no entry accepted.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Settings of a fake runner.
#[derive(Clone, Debug)]
pub struct RunnerSettings {
    /// Name of the runner.
    pub name: Name,
    /// Service whose requests it answers.
    pub service: Name,
    /// Availability zone of the runner.
    pub zone: Name,
    /// Number of concurrent requests.
    pub slots: u32,
    /// Number of concurrent connections.
    pub connections: u32,
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Addresses of the entries that accept announcements.
    pub entries: Vec<SocketAddr>,
    /// Number of server threads.
    pub threads: usize,
}

#[derive(Default)]
struct State {
    busy: AtomicU32,
    peak: AtomicU32,
    served: AtomicU64,
    leaving: AtomicBool,
    stop: AtomicBool,
    heartbeats_stopped: AtomicBool,
    checker: Mutex<Option<Arc<Mutex<RequestChecker>>>>,
}

/// A fake runner that has been started.
pub struct FakeRunner {
    address: SocketAddr,
    state: Arc<State>,
    server: Option<Server>,
    thread: Option<JoinHandle<()>>,
}

impl FakeRunner {
    /// Starts to listen, and announces the runner until an entry accepts it.
    ///
    /// # Errors
    /// If the runner cannot listen.
    pub fn start(settings: RunnerSettings) -> std::io::Result<Self> {
        let listener = TcpListener::bind(settings.listen)?;
        let address = listener.local_addr()?;
        let state = Arc::new(State::default());
        let handler_state = state.clone();
        let (name, slots) = (settings.name.clone(), settings.slots);
        let limits = ServerLimits { threads: settings.threads, ..ServerLimits::default() };
        let server = Server::start(listener, limits, move || RequestHandler {
            state: handler_state.clone(),
            name: name.clone(),
            slots,
        })?;
        let announce_state = state.clone();
        let thread = thread::Builder::new()
            .name("runner-announce".into())
            .spawn(move || run_local(announce(settings, address, announce_state)))?;
        Ok(Self { address, state, server: Some(server), thread: Some(thread) })
    }

    /// Returns the address on which the runner listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the highest number of concurrent requests so far.
    pub fn peak_requests(&self) -> u32 {
        self.state.peak.load(Ordering::SeqCst)
    }

    /// Returns the number of requests that have started.
    pub fn served(&self) -> u64 {
        self.state.served.load(Ordering::SeqCst)
    }

    /// Reports the start and end of each request to `checker`. The `fake-name` header names
    /// the request.
    pub fn set_checker(&self, checker: Arc<Mutex<RequestChecker>>) {
        *self.state.checker.lock().unwrap_or_else(PoisonError::into_inner) = Some(checker);
    }

    /// Sends leave notices instead of heartbeats; the runner continues to answer requests.
    pub fn leave(&self) {
        self.state.leaving.store(true, Ordering::SeqCst);
    }

    /// Stops the heartbeats, as a network partition would; the runner continues to answer
    /// requests.
    pub fn stop_heartbeats(&self) {
        self.state.heartbeats_stopped.store(true, Ordering::SeqCst);
    }

    /// Stops the runner.
    pub fn stop(&mut self) {
        self.state.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        if let Some(server) = self.server.take() {
            server.stop(Duration::ZERO);
        }
    }
}

/// Runs a future on a new single-threaded runtime on the current thread.
pub(crate) fn run_local<F>(work: F)
where
    F: Future<Output = ()>,
{
    match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => LocalSet::new().block_on(&runtime, work),
        Err(error) => log::error!("cannot create the runtime: {error}"),
    }
}

async fn announce(settings: RunnerSettings, address: SocketAddr, state: Arc<State>) {
    let mut entries = Announcer::new(settings.entries.clone());
    let run = Incarnation(random_incarnation());
    let path = format!("/v1/targets/{}", settings.name);
    let mut registered = false;
    while !state.stop.load(Ordering::SeqCst) {
        if state.heartbeats_stopped.load(Ordering::SeqCst) {
            sleep(RETRY_PAUSE).await;
            continue;
        }
        let busy = state.busy.load(Ordering::SeqCst);
        let outcome = if !registered {
            let spec = RunnerSpec {
                name: settings.name.clone(),
                incarnation: run,
                service: settings.service.clone(),
                address: address.to_string().into(),
                slots: settings.slots,
                connections: settings.connections,
                zone: settings.zone.clone(),
            };
            entries.send("/v1/targets", &Announce::Runner { spec, busy }).await
        } else if state.leaving.load(Ordering::SeqCst) {
            entries.send(&format!("{path}/leave"), &Leave { incarnation: run }).await
        } else {
            let heartbeat = Heartbeat { incarnation: run, busy, ..Heartbeat::default() };
            entries.send(&format!("{path}/heartbeat"), &heartbeat).await
        };
        let pause = match outcome {
            AnnounceOutcome::Accepted(reply) => {
                registered = true;
                Duration::from_millis(reply.heartbeat_ms)
            }
            AnnounceOutcome::UnknownTarget => {
                registered = false;
                Duration::ZERO
            }
            AnnounceOutcome::Failed(error) => {
                log::debug!("runner {}: {error}", settings.name);
                RETRY_PAUSE
            }
        };
        sleep_unless_leaving(&state, pause).await;
    }
}

/// Sleeps for `pause` in short steps, and returns early when the runner stops or leaves.
async fn sleep_unless_leaving(state: &State, pause: Duration) {
    const POLL_INTERVAL: Duration = Duration::from_millis(20);
    let leaving = state.leaving.load(Ordering::SeqCst);
    let until = tokio::time::Instant::now() + pause;
    while tokio::time::Instant::now() < until {
        if state.stop.load(Ordering::SeqCst) || state.leaving.load(Ordering::SeqCst) != leaving {
            return;
        }
        sleep(POLL_INTERVAL.min(until - tokio::time::Instant::now())).await;
    }
}

struct RequestHandler {
    state: Arc<State>,
    name: Name,
    slots: u32,
}

/// Counts a request as busy until the guard is dropped.
struct BusyGuard<'a>(&'a RequestHandler);

impl<'a> BusyGuard<'a> {
    fn new(handler: &'a RequestHandler, headers: &HeaderMap) -> Self {
        let state = &handler.state;
        state.served.fetch_add(1, Ordering::SeqCst);
        let now = state.busy.fetch_add(1, Ordering::SeqCst) + 1;
        state.peak.fetch_max(now, Ordering::SeqCst);
        if let Some(checker) = &*state.checker.lock().unwrap_or_else(PoisonError::into_inner) {
            let request = header_text(headers, "fake-name").unwrap_or_default();
            let mut checker = checker.lock().unwrap_or_else(PoisonError::into_inner);
            checker.ran(request, handler.name.as_str(), handler.slots);
        }
        Self(handler)
    }
}

impl Drop for BusyGuard<'_> {
    fn drop(&mut self) {
        let state = &self.0.state;
        if let Some(checker) = &*state.checker.lock().unwrap_or_else(PoisonError::into_inner) {
            checker.lock().unwrap_or_else(PoisonError::into_inner).done(self.0.name.as_str());
        }
        state.busy.fetch_sub(1, Ordering::SeqCst);
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    header_text(headers, name).and_then(|value| value.parse().ok())
}

impl Handler for RequestHandler {
    async fn handle(&self, req: WebRequest) -> WebResponse {
        let (head, ext) = req.into_parts();
        let (_, body) = ext.replace_body(());
        if head.headers.contains_key("fake-refuse") {
            let mut refused = reply::text(StatusCode::SERVICE_UNAVAILABLE, "refused");
            refused.headers_mut().insert("yuccalink-not-run", "1".parse().expect("a constant"));
            return refused;
        }
        let busy = BusyGuard::new(self, &head.headers);
        let body = read_whole(body, Duration::from_secs(30)).await;
        if let Some(ms) = header_number(&head.headers, "fake-delay-ms") {
            sleep(Duration::from_millis(ms)).await;
        }
        let content = match (
            header_number(&head.headers, "fake-size"),
            header_text(&head.headers, "fake-tag"),
        ) {
            (Some(size), _) => return streamed_response(&head.headers, size),
            (None, Some(tag)) => Bytes::copy_from_slice(tag.as_bytes()),
            (None, None) => body,
        };
        drop(busy);
        let status =
            header_number(&head.headers, "fake-status").and_then(|s| u16::try_from(s).ok());
        let mut response = WebResponse::new(ResponseBody::bytes(content));
        *response.status_mut() =
            status.and_then(|s| StatusCode::from_u16(s).ok()).unwrap_or(StatusCode::OK);
        response
    }
}

/// Returns a response whose body of `size` bytes is sent in chunks, and which ends after half
/// of them if the request has the header `fake-cut`.
fn streamed_response(headers: &HeaderMap, size: u64) -> WebResponse {
    let cut = headers.contains_key("fake-cut");
    let announced = (!headers.contains_key("fake-chunked")).then_some(size);
    let delay = header_number(headers, "fake-chunk-delay-ms");
    let (tx, body) = streamed_body(announced, BUFFERED_CHUNKS);
    tokio::task::spawn_local(async move {
        let until = if cut { size / 2 } else { size };
        let mut sent = 0;
        let chunk = Bytes::from(vec![b'y'; CHUNK_BYTES]);
        while sent < until {
            let count = (until - sent).min(CHUNK_BYTES as u64);
            let piece = chunk.slice(..usize::try_from(count).unwrap_or(CHUNK_BYTES));
            if tx.send(BodyChunk::Data(piece)).await.is_err() {
                return;
            }
            sent += count;
            if let Some(ms) = delay {
                sleep(Duration::from_millis(ms)).await;
            }
        }
        if !cut {
            let _ = tx.send(BodyChunk::End).await;
        }
    });
    WebResponse::new(body)
}
