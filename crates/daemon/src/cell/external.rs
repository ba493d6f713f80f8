//! HTTP calls to external services on behalf of the leader.

use crate::cell::adapter::{ApiAdapter, ExternalRequest};
use crate::cell::node::SharedNode;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper_util::rt::TokioIo;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;
use yuccalink_coordination::jobs::external::{ExternalCall, ExternalCallId, ExternalReply};

/// Time limit for a complete response. An order that gets no response may still have been
/// carried out.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(2_200);
/// Largest response body: a page of the list of machines.
const BODY_MAX_BYTES: usize = 1024 * 1024;

/// Reason why a call got no response.
#[derive(Debug, displaydoc::Display)]
enum ExternalCallError {
    /// cannot connect: {0}
    Connect(std::io::Error),
    /// {0}
    Http(hyper::Error),
    /// cannot build the request: {0}
    Request(hyper::http::Error),
    /// cannot read the response body: {0}
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// no answer in time
    TimedOut,
}

/// Performs one call and passes its reply to the leader.
pub(crate) async fn perform(
    node: SharedNode,
    adapter: Rc<dyn ApiAdapter>,
    id: ExternalCallId,
    call: ExternalCall,
) {
    let reply = match adapter.external_request(&call) {
        None => ExternalReply::Refused,
        Some(request) => match timeout(RESPONSE_TIMEOUT, send_request(request)).await {
            Ok(Ok((status, body))) => adapter.decode_reply(&call, status, &body),
            Ok(Err(error)) => retry_later(&call, &error),
            Err(_) => retry_later(&call, &ExternalCallError::TimedOut),
        },
    };
    node.handle_external_reply(id, reply);
}

fn retry_later(call: &ExternalCall, error: &ExternalCallError) -> ExternalReply {
    log::warn!("call={call:?} unanswered: {error}");
    ExternalReply::Later
}

async fn send_request(request: ExternalRequest) -> Result<(u16, Bytes), ExternalCallError> {
    let stream = TcpStream::connect(request.to).await.map_err(ExternalCallError::Connect)?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(ExternalCallError::Http)?;
    let connection_task = tokio::task::spawn_local(connection);
    let mut req = Request::builder()
        .method(request.method)
        .uri(&*request.path)
        .header(HOST, request.to.to_string())
        .header(CONTENT_TYPE, "application/json");
    for (name, value) in &request.headers {
        req = req.header(*name, &**value);
    }
    let req = req.body(Full::new(Bytes::from(request.body))).map_err(ExternalCallError::Request)?;
    let response = sender.send_request(req).await.map_err(ExternalCallError::Http)?;
    let status = response.status().as_u16();
    let body = Limited::new(response.into_body(), BODY_MAX_BYTES).collect().await;
    connection_task.abort();
    Ok((status, body.map_err(ExternalCallError::Body)?.to_bytes()))
}
