//! A client of the daemons' HTTP interface.

use crate::error::{Error, Refused, Result};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use yuccalink_protocol::api::{
    Applied, CancelTasks, Cancelled, DecisionView, ServiceView, Status, SubmitTasks, Submitted,
    TargetView, TaskView,
};
use yuccalink_protocol::problem::Problem;
use yuccalink_protocol::request::IDEMPOTENCY_KEY;
use yuccalink_state::id::TaskId;
use yuccalink_transport::http::{Method, Request, Uri, header};
use yuccalink_transport::pool::{Pool, PoolSettings, UpstreamResponse};

/// Largest accepted response body, in bytes.
const RESPONSE_BYTES_MAX: usize = 64 * 1024 * 1024;
/// Delay before all servers are tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Redirects followed for one request. The second one allows for a change of leader after
/// the first.
const REDIRECTS_MAX: usize = 2;

/// Builder for a [`Client`].
#[derive(Clone, Debug)]
pub struct ClientBuilder {
    servers: Vec<SocketAddr>,
    author: Box<str>,
    timeout: Duration,
}

/// Sends each request to the first of its servers that answers.
pub struct Client {
    servers: Vec<SocketAddr>,
    author: Box<str>,
    timeout: Duration,
    pool: Pool,
}

impl ClientBuilder {
    /// Addresses of the daemons to try, in order. The default is 127.0.0.1:8081.
    #[must_use]
    pub fn servers(mut self, servers: Vec<SocketAddr>) -> Self {
        self.servers = servers;
        self
    }

    /// Name of the person who applies documents. It is shown to others whose document
    /// conflicts with an applied one.
    #[must_use]
    pub fn author(mut self, author: impl Into<Box<str>>) -> Self {
        self.author = author.into();
        self
    }

    /// Time limit for one request, including attempts at other servers.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Builds the client. Its requests must run on a `LocalSet`.
    pub fn build(self) -> Client {
        let Self { servers, author, timeout } = self;
        Client { servers, author, timeout, pool: Pool::new(PoolSettings::default()) }
    }
}

/// Request to a job cell.
struct CellCall<'a> {
    method: Method,
    host: Option<&'a str>,
    path: &'a str,
    body: Vec<u8>,
    deadline: Instant,
}

/// Reply of a process of a job cell.
enum CellReply {
    Response(u16, Vec<u8>),
    /// The leader, at this address, handles the request.
    Redirect(SocketAddr),
}

/// Request to a daemon outside a job cell.
struct Call<'a> {
    method: Method,
    path: &'a str,
    content_type: &'static str,
    body: Vec<u8>,
    key: Option<&'a str>,
}

impl Client {
    /// Returns a builder with the daemon on this machine as the only server.
    ///
    /// ```
    /// use yuccalink_operator::Client;
    /// let client = Client::builder().author("anna").build();
    /// # drop(client);
    /// ```
    pub fn builder() -> ClientBuilder {
        ClientBuilder {
            servers: vec![SocketAddr::from(([127, 0, 0, 1], 8081))],
            author: "unnamed".into(),
            timeout: Duration::from_secs(15),
        }
    }

    /// Puts a document in force. Sending the same text again has no further effect.
    ///
    /// # Errors
    /// [`Error::Refused`] for a conflict or an invalid document, [`Error::Unreachable`] if no
    /// daemon answers.
    pub async fn apply(&self, service: &str, text: &str, wait: bool) -> Result<Applied> {
        let path = format!("/v1/services/{service}?wait={wait}");
        let body = text.as_bytes().to_vec();
        let call = Call {
            method: Method::PUT,
            path: &path,
            content_type: "application/toml",
            body,
            key: None,
        };
        self.call(call).await
    }

    /// Returns the document in force for a service, with its text.
    ///
    /// # Errors
    /// [`Error::Refused`] if the service has no document.
    pub async fn service(&self, service: &str) -> Result<ServiceView> {
        self.get(&format!("/v1/services/{service}")).await
    }

    /// Returns all documents in force, without their texts.
    ///
    /// # Errors
    /// [`Error::Unreachable`] if no daemon answers.
    pub async fn services(&self) -> Result<Vec<ServiceView>> {
        self.get("/v1/services").await
    }

    /// Submits tasks. Sending the same key again adds no further tasks.
    ///
    /// # Errors
    /// [`Error::Refused`] with the reason and the remedy.
    pub async fn submit(&self, tasks: &SubmitTasks, key: &str) -> Result<Submitted> {
        self.post("/v1/tasks", tasks, Some(key)).await
    }

    /// Cancels tasks.
    ///
    /// # Errors
    /// [`Error::Refused`] with the reason and the remedy.
    pub async fn cancel(&self, tasks: Vec<TaskId>) -> Result<Vec<Cancelled>> {
        self.post("/v1/tasks/cancel", &CancelTasks { tasks }, None).await
    }

    /// Returns one task.
    ///
    /// # Errors
    /// [`Error::Refused`] if the task is not known.
    pub async fn task(&self, task: TaskId) -> Result<TaskView> {
        self.get(&format!("/v1/tasks/{task}")).await
    }

    /// Returns a page of tasks. An example of `query` is `service=quotes&after=100`.
    ///
    /// # Errors
    /// [`Error::Refused`] if the query is invalid.
    pub async fn tasks(&self, query: &str) -> Result<Vec<TaskView>> {
        self.get(&format!("/v1/tasks?{query}")).await
    }

    /// Returns the leader's view of the system.
    ///
    /// # Errors
    /// [`Error::Unreachable`] if no daemon answers.
    pub async fn status(&self) -> Result<Status> {
        self.get("/v1/status").await
    }

    /// Returns all targets.
    ///
    /// # Errors
    /// [`Error::Unreachable`] if no daemon answers.
    pub async fn targets(&self) -> Result<Vec<TargetView>> {
        self.get("/v1/targets").await
    }

    /// Returns the last decisions, newest first.
    ///
    /// # Errors
    /// [`Error::Unreachable`] if no daemon answers.
    pub async fn decisions(&self) -> Result<Vec<DecisionView>> {
        self.get("/v1/decisions").await
    }

    /// Returns a snapshot of the replicated state.
    ///
    /// # Errors
    /// [`Error::Unreachable`] if no daemon answers.
    pub async fn snapshot(&self) -> Result<Vec<u8>> {
        let path = "/v1/snapshot";
        let call =
            Call { method: Method::GET, path, content_type: "", body: Vec::new(), key: None };
        self.call_bytes(call).await
    }

    /// Sends a request to a job cell and returns the status and body of the response. All
    /// requests to a cell are idempotent, so after an error or a status of 503 or 504 the
    /// request is sent to the next server.
    pub(crate) async fn cell(
        &self,
        method: Method,
        host: Option<&str>,
        path: &str,
        body: Vec<u8>,
    ) -> Result<(u16, Vec<u8>)> {
        let deadline = Instant::now() + self.timeout;
        let call = CellCall { method, host, path, body, deadline };
        let mut last_error: Box<str> = "no server is set".into();
        loop {
            for server in &self.servers {
                match self.send_following_redirects(*server, &call).await {
                    Ok((503 | 504, _)) => last_error = "the server is not ready".into(),
                    Ok(response) => return Ok(response),
                    Err(why) => last_error = why.into(),
                }
            }
            if Instant::now() + RETRY_INTERVAL >= deadline {
                let all: Vec<String> = self.servers.iter().map(ToString::to_string).collect();
                return Err(Error::Unreachable { server: all.join(", ").into(), why: last_error });
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    async fn send_following_redirects(
        &self,
        server: SocketAddr,
        call: &CellCall<'_>,
    ) -> std::result::Result<(u16, Vec<u8>), String> {
        let mut to = server;
        for _ in 0..=REDIRECTS_MAX {
            match self.send_to_process(to, call).await? {
                CellReply::Response(status, body) => return Ok((status, body)),
                CellReply::Redirect(leader) => to = leader,
            }
        }
        Err("too many redirects".into())
    }

    async fn send_to_process(
        &self,
        server: SocketAddr,
        call: &CellCall<'_>,
    ) -> std::result::Result<CellReply, String> {
        let server_host = server.to_string();
        let req = Request::builder()
            .method(call.method.clone())
            .uri(call.path)
            .header(header::HOST, call.host.unwrap_or(&server_host))
            .header(header::CONTENT_TYPE, yuccalink_transport::reply::JSON)
            .body(call.body.clone().into())
            .map_err(|e| e.to_string())?;
        let response =
            self.pool.send(server, req, call.deadline).await.map_err(|e| e.to_string())?;
        let status = response.head.status;
        if status.is_redirection() {
            let leader =
                redirect_address(&response).ok_or("the redirect names no IP address and port")?;
            return Ok(CellReply::Redirect(leader));
        }
        Ok(CellReply::Response(status.as_u16(), read_body(response, call.deadline).await?))
    }

    async fn get<T>(&self, path: &str) -> Result<T>
    where
        T: DeserializeOwned,
    {
        let call =
            Call { method: Method::GET, path, content_type: "", body: Vec::new(), key: None };
        self.call(call).await
    }

    async fn post<B, T>(&self, path: &str, body: &B, key: Option<&str>) -> Result<T>
    where
        B: Serialize,
        T: DeserializeOwned,
    {
        let body =
            serde_json::to_vec(body).map_err(|e| Error::InvalidResponse(e.to_string().into()))?;
        let content_type = yuccalink_transport::reply::JSON;
        self.call(Call { method: Method::POST, path, content_type, body, key }).await
    }

    async fn call<T>(&self, call: Call<'_>) -> Result<T>
    where
        T: DeserializeOwned,
    {
        let body = self.call_bytes(call).await?;
        serde_json::from_slice(&body).map_err(|e| Error::InvalidResponse(e.to_string().into()))
    }

    /// Tries each server in turn until one answers or the time limit has passed. Every
    /// request can be sent again safely: it has an idempotency key or a version, or it only
    /// reads.
    async fn call_bytes(&self, call: Call<'_>) -> Result<Vec<u8>> {
        let deadline = Instant::now() + self.timeout;
        let mut last_error: Box<str> = "no server is set".into();
        loop {
            for server in &self.servers {
                match self.send_to_server(*server, &call, deadline).await {
                    Ok((true, body)) => return Ok(body),
                    Ok((false, body)) => {
                        let problem: Problem = serde_json::from_slice(&body)
                            .map_err(|e| Error::InvalidResponse(e.to_string().into()))?;
                        if problem.kind.ends_with("not-serving") && Instant::now() < deadline {
                            last_error = problem.detail;
                            continue;
                        }
                        return Err(Error::Refused(Refused(problem)));
                    }
                    Err(why) => last_error = why.into(),
                }
            }
            if Instant::now() + RETRY_INTERVAL >= deadline {
                let all: Vec<String> = self.servers.iter().map(ToString::to_string).collect();
                return Err(Error::Unreachable { server: all.join(", ").into(), why: last_error });
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    async fn send_to_server(
        &self,
        server: SocketAddr,
        call: &Call<'_>,
        deadline: Instant,
    ) -> std::result::Result<(bool, Vec<u8>), String> {
        let mut req = Request::builder()
            .method(call.method.clone())
            .uri(call.path)
            .header(header::HOST, server.to_string())
            .header("yuccalink-author", &*self.author);
        if !call.content_type.is_empty() {
            req = req.header(header::CONTENT_TYPE, call.content_type);
        }
        if let Some(key) = call.key {
            req = req.header(IDEMPOTENCY_KEY, key);
        }
        let req = req.body(call.body.clone().into()).map_err(|e| e.to_string())?;
        let response = self.pool.send(server, req, deadline).await.map_err(|e| e.to_string())?;
        let ok = response.head.status.is_success();
        Ok((ok, read_body(response, deadline).await?))
    }
}

/// Returns the address in the `Location` header of a redirect.
fn redirect_address(response: &UpstreamResponse) -> Option<SocketAddr> {
    let location = response.head.headers.get(header::LOCATION)?.to_str().ok()?;
    location.parse::<Uri>().ok()?.authority()?.as_str().parse().ok()
}

async fn read_body(
    mut response: UpstreamResponse,
    deadline: Instant,
) -> std::result::Result<Vec<u8>, String> {
    let body = tokio::time::timeout_at(deadline, response.collect_body(RESPONSE_BYTES_MAX)).await;
    let body = body
        .map_err(|_| "the response was not complete in time".to_string())?
        .map_err(|e| e.to_string())?
        .ok_or("the response is too large")?;
    Ok(body.to_vec())
}
