//! A small caller that blocks: one request at a time, over HTTP/1.1, with
//! connections kept open.

use crate::runner::run_local;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use yuccalink_protocol::problem::Problem;
use yuccalink_transport::http::{HeaderMap, Method, Request, header};
use yuccalink_transport::pool::{Pool, PoolSettings};

const ANSWER_MAX: usize = 256 * 1024 * 1024;

/// A whole answer.
#[derive(Clone, Debug)]
pub struct CallerResponse {
    /// HTTP status.
    pub status: u16,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Vec<u8>,
}

impl CallerResponse {
    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The body as a problem document, if it is one.
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
    /// A caller of `to`.
    pub fn new(to: SocketAddr) -> Self {
        Self { to, headers: Vec::new(), timeout: Duration::from_secs(20) }
    }

    /// The same, with one more header on each request.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Sends a request and waits for the whole answer.
    ///
    /// # Errors
    /// Why there was no whole answer, in words.
    pub fn send(&self, method: &str, path: &str, body: &[u8]) -> Result<CallerResponse, String> {
        let mut result = Err("it was not sent".to_string());
        run_local(async {
            let pool = Pool::new(PoolSettings::default());
            result = self.send_on(&pool, method, path, body).await;
        });
        result
    }

    /// The same on connections of `pool`, for callers that are futures already.
    ///
    /// # Errors
    /// Why there was no whole answer, in words.
    pub async fn send_on(
        &self,
        pool: &Pool,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<CallerResponse, String> {
        let method: Method = method.parse().map_err(|_| "not a method".to_string())?;
        let mut req =
            Request::builder().method(method).uri(path).header(header::HOST, self.to.to_string());
        for (name, value) in &self.headers {
            req = req.header(&**name, &**value);
        }
        let req = req.body(body.to_vec().into()).map_err(|e| e.to_string())?;
        let deadline = Instant::now() + self.timeout;
        let mut answer = pool.send(self.to, req, deadline).await.map_err(|e| e.to_string())?;
        let whole = tokio::time::timeout_at(deadline, answer.collect_body(ANSWER_MAX)).await;
        let body = whole
            .map_err(|_| "the answer came too slowly".to_string())?
            .map_err(|e| format!("the answer broke off: {e}"))?
            .ok_or("the answer is too large")?;
        let status = answer.head.status.as_u16();
        Ok(CallerResponse { status, headers: answer.head.headers, body: body.to_vec() })
    }

    /// `GET path`.
    ///
    /// # Errors
    /// As [`Caller::send`].
    pub fn get(&self, path: &str) -> Result<CallerResponse, String> {
        self.send("GET", path, b"")
    }

    /// `POST path`.
    ///
    /// # Errors
    /// As [`Caller::send`].
    pub fn post(&self, path: &str, body: &[u8]) -> Result<CallerResponse, String> {
        self.send("POST", path, body)
    }

    /// `PUT path`.
    ///
    /// # Errors
    /// As [`Caller::send`].
    pub fn put(&self, path: &str, body: &[u8]) -> Result<CallerResponse, String> {
        self.send("PUT", path, body)
    }
}
