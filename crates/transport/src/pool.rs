//! A pool of HTTP/1.1 connections to runners, workers and other entries, one per thread.
//!
//! A connection carries one request at a time and is reused only after a complete
//! response was read from it, so a late response can never reach the next caller.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::http::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

/// Maximum size of a response head, in bytes.
const RESPONSE_HEAD_MAX: usize = 64 * 1024;
/// Time after which an idle connection is closed; shorter than the idle timeout of most servers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Why an upstream request got no response.
#[derive(Debug, displaydoc::Display)]
pub enum UpstreamError {
    /// no connection: {0}
    NotConnected(std::io::Error),
    /// no connection in time
    ConnectTimeout,
    /// the connection was closed before anything was sent: {0}
    NotSent(hyper::Error),
    /// the connection failed after the request was sent: {0}
    Lost(hyper::Error),
    /// no answer in time
    Timeout,
}

impl std::error::Error for UpstreamError {}

impl UpstreamError {
    /// Returns whether it is certain that no byte of the request was sent.
    pub fn is_unsent(&self) -> bool {
        match self {
            Self::NotConnected(_) | Self::ConnectTimeout | Self::NotSent(_) => true,
            Self::Lost(_) | Self::Timeout => false,
        }
    }
}

type Sender = SendRequest<Full<Bytes>>;

struct IdleConnection {
    sender: Sender,
    since: Instant,
}

/// Settings of a connection pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolSettings {
    /// Maximum number of idle connections kept to one address.
    pub idle_per_address: usize,
    /// Time limit for establishing a connection.
    pub connect_timeout: Duration,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self { idle_per_address: 4, connect_timeout: Duration::from_secs(1) }
    }
}

/// Destination of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Destination {
    /// Address to connect to.
    pub address: SocketAddr,
    /// Maximum number of idle connections to this address, instead of
    /// [`PoolSettings::idle_per_address`].
    pub idle: Option<usize>,
}

impl From<SocketAddr> for Destination {
    fn from(address: SocketAddr) -> Self {
        Self { address, idle: None }
    }
}

/// Connection pool of one thread.
#[derive(Clone)]
pub struct Pool {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>>,
    settings: PoolSettings,
}

/// A response whose head was received. Dropping it before the end of its body closes the
/// connection.
pub struct UpstreamResponse {
    /// Status and headers.
    pub head: hyper::http::response::Parts,
    body: Incoming,
    sender: Option<Sender>,
    to: Destination,
    pool: Pool,
}

impl Pool {
    /// Creates an empty pool, which stays on the current thread.
    pub fn new(settings: PoolSettings) -> Self {
        Self { idle: Rc::default(), settings }
    }

    /// Sends a request and waits for the head of the response, at most until `deadline`.
    ///
    /// # Errors
    /// [`UpstreamError`]; [`UpstreamError::is_unsent`] says whether a retry is safe.
    pub async fn send<D>(
        &self,
        to: D,
        req: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<UpstreamResponse, UpstreamError>
    where
        D: Into<Destination>,
    {
        let to = to.into();
        let mut req = req;
        while let Some(sender) = self.take_idle(to.address) {
            match self.send_on(to, sender, req, deadline).await {
                // The other side closed the idle connection before anything was sent, so
                // the request can be sent on another connection.
                Err((UpstreamError::NotSent(_), Some(unsent))) => req = unsent,
                result => return result.map_err(|(error, _)| error),
            }
        }
        let sender = self.connect(to.address, deadline).await?;
        self.send_on(to, sender, req, deadline).await.map_err(|(error, _)| error)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        let mut pool = self.idle.borrow_mut();
        let idle = pool.get_mut(&address)?;
        while let Some(connection) = idle.pop() {
            if !connection.sender.is_closed() && connection.since.elapsed() < IDLE_TIMEOUT {
                return Some(connection.sender);
            }
        }
        None
    }

    fn put_back(&self, to: Destination, sender: Sender) {
        if sender.is_closed() {
            return;
        }
        let mut pool = self.idle.borrow_mut();
        let idle = pool.entry(to.address).or_default();
        if idle.len() < to.idle.unwrap_or(self.settings.idle_per_address) {
            idle.push(IdleConnection { sender, since: Instant::now() });
        }
    }

    /// Closes connections that were idle for longer than the limit.
    pub fn close_expired(&self) {
        self.idle.borrow_mut().retain(|_, idle| {
            idle.retain(|i| !i.sender.is_closed() && i.since.elapsed() < IDLE_TIMEOUT);
            !idle.is_empty()
        });
    }

    async fn connect(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<Sender, UpstreamError> {
        let wait = self.settings.connect_timeout.min(deadline.duration_since(Instant::now()));
        let stream = timeout(wait, TcpStream::connect(address))
            .await
            .map_err(|_| UpstreamError::ConnectTimeout)?
            .map_err(UpstreamError::NotConnected)?;
        stream.set_nodelay(true).map_err(UpstreamError::NotConnected)?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(RESPONSE_HEAD_MAX)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(UpstreamError::NotSent)?;
        tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} ended: {error}");
            }
        });
        Ok(sender)
    }

    async fn send_on(
        &self,
        to: Destination,
        mut sender: Sender,
        req: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<UpstreamResponse, (UpstreamError, Option<Request<Full<Bytes>>>)> {
        if let Err(error) = sender.ready().await {
            return Err((UpstreamError::NotSent(error), Some(req)));
        }
        let sent = timeout_at(deadline, sender.try_send_request(req)).await;
        let response = match sent {
            Err(_) => return Err((UpstreamError::Timeout, None)),
            Ok(Ok(response)) => response,
            Ok(Err(mut failed)) => {
                let unsent = failed.take_message();
                let error = failed.into_error();
                let error = match unsent {
                    Some(_) => UpstreamError::NotSent(error),
                    None => UpstreamError::Lost(error),
                };
                return Err((error, unsent));
            }
        };
        let (head, body) = Response::into_parts(response);
        Ok(UpstreamResponse { head, body, sender: Some(sender), to, pool: self.clone() })
    }
}

impl UpstreamResponse {
    /// Returns the body length given in the response head, if any.
    pub fn content_length(&self) -> Option<u64> {
        use hyper::body::Body;
        self.body.size_hint().exact()
    }

    /// Returns the next chunk of the body, or `None` at its end.
    ///
    /// # Errors
    /// If the connection failed before the end of the body.
    pub async fn next(&mut self) -> Result<Option<Bytes>, hyper::Error> {
        loop {
            match self.body.frame().await {
                None => {
                    if let Some(sender) = self.sender.take() {
                        self.pool.put_back(self.to, sender);
                    }
                    return Ok(None);
                }
                Some(Err(error)) => return Err(error),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Reads the rest of the body; returns `None` if it exceeds `limit` bytes.
    ///
    /// # Errors
    /// If the connection failed before the end of the body.
    pub async fn collect_body(&mut self, limit: usize) -> Result<Option<Bytes>, hyper::Error> {
        let mut chunks: Vec<Bytes> = Vec::new();
        let mut size = 0;
        while let Some(chunk) = self.next().await? {
            size += chunk.len();
            if size > limit {
                return Ok(None);
            }
            chunks.push(chunk);
        }
        if chunks.len() == 1
            && let Some(only) = chunks.pop()
        {
            return Ok(Some(only));
        }
        Ok(Some(chunks.concat().into()))
    }
}
