//! An HTTP/1.1 server on its own threads, with connection limits and timeouts.

use crate::request_body::{BodyBounds, Holding, RequestBodyError, read_chunks};
use bytes::Bytes;
use socket2::SockRef;
use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::{future::Future, io};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use xitca_web::HttpServer;
use xitca_web::body::RequestBody;
use xitca_web::http::{WebRequest, WebResponse};
use xitca_web::service::Service;
use xitca_web::service::fn_build;
use xitca_web::service::ready::ReadyService;

/// Maximum size of a request head, in bytes; a larger one gets status 431.
pub const HEAD_MAX: usize = 32 * 1024;
/// Maximum number of headers in a request; more get status 431.
pub const HEADERS_MAX: usize = 64;
/// Maximum size of the write buffer of a connection, in bytes.
const WRITE_BUFFER_BYTES: usize = 16 * 1024;
/// Sizes of the buffers of a socket, in bytes; the kernel may hold twice as much.
const RECEIVE_BUFFER_BYTES: usize = 32 * 1024;
const SEND_BUFFER_BYTES: usize = 64 * 1024;
/// Time for which a refused client may go on sending before it is answered.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes that a refused client may go on sending.
const DISCARD_BYTES_MAX: usize = 4 * 1024 * 1024;
/// Memory that an open connection may take, in bytes, without its request bodies and the buffers
/// of its socket.
pub const CONNECTION_BYTES_MAX: usize = HEAD_MAX + WRITE_BUFFER_BYTES;
/// Time to wait for the server's threads after a forced stop; after that they are left
/// running.
const FORCED_STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// Request handler of one thread. Each thread creates its own, so a handler may hold
/// connections and caches that are not shared between threads.
pub trait Handler: 'static {
    /// Handles one request. A panic or a dropped future closes the connection.
    fn handle(&self, req: WebRequest) -> impl Future<Output = WebResponse>;
}

/// Limits of an HTTP server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    /// Number of threads that handle requests.
    pub threads: usize,
    /// Maximum number of open connections; further ones wait to be accepted.
    pub connections: usize,
    /// Time limit for receiving the head of a request.
    pub head_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
    /// Time after which a connection is closed if its caller does not accept the bytes sent to it.
    pub stall_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            threads: 2,
            connections: 4096,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(60),
            stall_timeout: Duration::from_secs(10),
        }
    }
}

/// A running server.
pub struct Server {
    address: SocketAddr,
    /// Stops the server, gracefully if the argument is true. A closure, because the library does
    /// not export the type of its handle.
    stop_server: Box<dyn Fn(bool) + Send + Sync>,
    thread: Option<thread::JoinHandle<io::Result<()>>>,
}

impl std::fmt::Debug for Server {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Server").field("address", &self.address).finish_non_exhaustive()
    }
}

struct ThreadService<H> {
    handler: Rc<H>,
    permits: Arc<Semaphore>,
}

impl<H> ReadyService for ThreadService<H> {
    type Ready = Option<OwnedSemaphorePermit>;

    /// Waits for a connection permit, which the next accepted connection holds until it closes.
    async fn ready(&self) -> Self::Ready {
        self.permits.clone().acquire_owned().await.ok()
    }
}

impl<H> Service<WebRequest> for ThreadService<H>
where
    H: Handler,
{
    type Response = WebResponse;
    type Error = Infallible;

    async fn call(&self, req: WebRequest) -> Result<WebResponse, Infallible> {
        Ok(self.handler.handle(req).await)
    }
}

impl Server {
    /// Starts threads that accept connections from `listener`. Each thread handles requests with
    /// the handler that `make_handler` creates for it.
    ///
    /// # Errors
    /// If the listener or a thread cannot be set up.
    pub fn start<F, H>(
        listener: TcpListener,
        limits: ServerLimits,
        make_handler: F,
    ) -> io::Result<Self>
    where
        F: Fn() -> H + Send + Sync + Clone + 'static,
        H: Handler,
    {
        let address = listener.local_addr()?;
        // A caller that stops reading blocks a write, which the server's own timers do not
        // cover, so it could hold its connection without limit. TCP_USER_TIMEOUT makes the
        // kernel close the connection; accepted sockets inherit it from the listener.
        let socket = SockRef::from(&listener);
        socket.set_tcp_user_timeout(Some(limits.stall_timeout))?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
        let permits = Arc::new(Semaphore::new(limits.connections.max(1)));
        let build = fn_build(async move |()| {
            Ok::<_, Infallible>(ThreadService {
                handler: Rc::new(make_handler()),
                permits: permits.clone(),
            })
        });
        let mut server = HttpServer::serve(build)
            .server_threads(1)
            .worker_threads(limits.threads.max(1))
            .disable_signal()
            .keep_alive_timeout(limits.idle_timeout)
            .request_head_timeout(limits.head_timeout)
            .max_read_buf_size::<HEAD_MAX>()
            .max_write_buf_size::<WRITE_BUFFER_BYTES>()
            .max_request_headers::<HEADERS_MAX>()
            .listen(listener)?
            .run();
        let stop = server.handle()?;
        let thread = thread::Builder::new()
            .name(format!("http-{}", address.port()))
            .spawn(move || server.wait())?;
        let stop_server = Box::new(move |graceful| stop.stop(graceful));
        Ok(Self { address, stop_server, thread: Some(thread) })
    }

    /// Address of the listener, with the actual port if port 0 was requested.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting, waits at most `grace` for open connections to end and closes the
    /// rest. Idle connections do not end by themselves in that time, so the caller should
    /// wait for requests in flight before it calls this.
    pub fn stop(self, grace: Duration) {
        if !grace.is_zero() {
            (self.stop_server)(true);
            if self.wait_for_exit(grace) {
                return;
            }
        }
        (self.stop_server)(false);
        self.wait_for_exit(FORCED_STOP_TIMEOUT);
    }

    /// Waits at most this long and returns whether the server's thread has ended.
    fn wait_for_exit(&self, time_limit: Duration) -> bool {
        let started = std::time::Instant::now();
        let finished = || self.thread.as_ref().is_none_or(thread::JoinHandle::is_finished);
        while !finished() && started.elapsed() < time_limit {
            thread::sleep(Duration::from_millis(5));
        }
        finished()
    }
}

/// Reads a complete body. What it takes stays charged to `holding`.
///
/// # Errors
/// [`RequestBodyError`] if the body is too large, too slow, truncated or finds no memory; the rest
/// of it is discarded for a while.
pub async fn read_body(
    body: RequestBody,
    bounds: BodyBounds,
    holding: &mut Holding,
) -> Result<Bytes, RequestBodyError> {
    use xitca_web::body::{Body, SizeHint};
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let announced = body.size_hint();
    let mut body = std::pin::pin!(body);
    let result = match announced {
        SizeHint::Exact(size) if size > bounds.bytes as u64 => {
            Err(RequestBodyError::TooLarge(bounds.bytes))
        }
        _ => read_chunks(async || next_chunk(body.as_mut()).await, bounds, holding).await,
    };
    if result.is_err() && !holding.client().is_sent_away() {
        let _ = tokio::time::timeout(DISCARD_TIMEOUT, discard(body)).await;
    }
    result
}

/// Reads on for a while, so that a client that is still sending receives the response: closed with
/// bytes unread, the connection would be reset.
async fn discard(mut body: Pin<&mut RequestBody>) {
    let mut discarded = 0;
    while discarded < DISCARD_BYTES_MAX
        && let Some(Ok(chunk)) = next_chunk(body.as_mut()).await
    {
        discarded += chunk.len();
    }
}

async fn next_chunk(mut body: Pin<&mut RequestBody>) -> Option<Result<Bytes, RequestBodyError>> {
    use xitca_web::body::{Body, Frame};
    loop {
        match std::future::poll_fn(|cx| body.as_mut().poll_frame(cx)).await? {
            Ok(Frame::Data(chunk)) => return Some(Ok(chunk)),
            // Trailers are ignored.
            Ok(Frame::Trailers(_)) => {}
            Err(_) => return Some(Err(RequestBodyError::Broken)),
        }
    }
}
