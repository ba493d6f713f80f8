//! A small HTTP/1.1 caller: [`Caller::send`] blocks until the response is complete,
//! [`Caller::send_on`] is the asynchronous variant on a shared connection pool.

use crate::runner::run_local;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use yuccalink_protocol::problem::Problem;
use yuccalink_transport::http::{HeaderMap, Method, Request, header};
use yuccalink_transport::pool::{Pool, PoolSettings};

const RESPONSE_MAX_BYTES: usize = 256 * 1024 * 1024;

/// A complete response.
#[derive(Clone, Debug)]
pub struct CallerResponse {
    /// HTTP status code.
    pub status: u16,
    /// Response headers.
    pub headers: HeaderMap,
    /// Complete response body.
    pub body: Vec<u8>,
}

impl CallerResponse {
    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the body as a problem document, if it is one.
    pub fn problem(&self) -> Option<Problem> {
        serde_json::from_slice(&self.body).ok()
    }
}

/// Sends requests to one address.
#[derive(Clone, Debug)]
pub struct Caller {
    to: SocketAddr,
    headers: Vec<(Box<str>, Box<str>)>,
    timeout: Duration,
}

impl Caller {
    /// Creates a caller that sends its requests to `to`.
    pub fn new(to: SocketAddr) -> Self {
        Self { to, headers: Vec::new(), timeout: Duration::from_secs(20) }
    }

    /// Adds a header to every request.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Sends a request and waits for the complete response.
    ///
    /// # Errors
    /// The reason why there was no complete response.
    pub fn send(&self, method: &str, path: &str, body: &[u8]) -> Result<CallerResponse, String> {
        let mut result = Err("the request was not sent".to_string());
        run_local(async {
            let pool = Pool::new(PoolSettings::default());
            result = self.send_on(&pool, method, path, body).await;
        });
        result
    }

    /// Sends a request on a connection of `pool`; for asynchronous callers.
    ///
    /// # Errors
    /// The reason why there was no complete response.
    pub async fn send_on(
        &self,
        pool: &Pool,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<CallerResponse, String> {
        let method: Method = method.parse().map_err(|_| "invalid HTTP method".to_string())?;
        let mut req =
            Request::builder().method(method).uri(path).header(header::HOST, self.to.to_string());
        for (name, value) in &self.headers {
            req = req.header(&**name, &**value);
        }
        let req = req.body(body.to_vec().into()).map_err(|e| e.to_string())?;
        let deadline = Instant::now() + self.timeout;
        let mut response = pool.send(self.to, req, deadline).await.map_err(|e| e.to_string())?;
        let collected =
            tokio::time::timeout_at(deadline, response.collect_body(RESPONSE_MAX_BYTES)).await;
        let body = collected
            .map_err(|_| "the response was not complete before the deadline".to_string())?
            .map_err(|e| format!("the response ended early: {e}"))?
            .ok_or("the response body is too large")?;
        let status = response.head.status.as_u16();
        Ok(CallerResponse { status, headers: response.head.headers, body: body.to_vec() })
    }

    /// Sends `GET path`.
    ///
    /// # Errors
    /// As [`Caller::send`].
    pub fn get(&self, path: &str) -> Result<CallerResponse, String> {
        self.send("GET", path, b"")
    }

    /// Sends `POST path`.
    ///
    /// # Errors
    /// As [`Caller::send`].
    pub fn post(&self, path: &str, body: &[u8]) -> Result<CallerResponse, String> {
        self.send("POST", path, body)
    }

    /// Sends `PUT path`.
    ///
    /// # Errors
    /// As [`Caller::send`].
    pub fn put(&self, path: &str, body: &[u8]) -> Result<CallerResponse, String> {
        self.send("PUT", path, body)
    }
}
