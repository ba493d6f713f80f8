//! Calls to services outside the cell, on behalf of the leader.

use crate::cell::adapter::{ApiAdapter, ExternalRequest};
use crate::cell::node::Shared;
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

/// Longest wait for a whole answer; an order that got none may have been carried out.
const ANSWER_MAX: Duration = Duration::from_millis(2_200);
/// Largest answer in bytes: a page of the list of machines.
const BODY_MAX: usize = 1024 * 1024;

/// Why a call got no answer.
#[derive(Debug, displaydoc::Display)]
enum Unanswered {
    /// no connection: {0}
    Connect(std::io::Error),
    /// {0}
    Http(hyper::Error),
    /// the request cannot be written: {0}
    Request(hyper::http::Error),
    /// the answer cannot be read: {0}
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// no answer in time
    Late,
}

/// Makes one call and tells the leader what came of it.
pub(crate) async fn perform(
    node: Shared,
    adapter: Rc<dyn ApiAdapter>,
    id: ExternalCallId,
    call: ExternalCall,
) {
    let told = match adapter.request(&call) {
        None => ExternalReply::Refused,
        Some(outgoing) => match timeout(ANSWER_MAX, exchange(outgoing)).await {
            Ok(Ok((status, body))) => adapter.decode_reply(&call, status, &body),
            Ok(Err(why)) => unanswered(&call, &why),
            Err(_) => unanswered(&call, &Unanswered::Late),
        },
    };
    node.handle_external_reply(id, told);
}

fn unanswered(call: &ExternalCall, why: &Unanswered) -> ExternalReply {
    log::warn!("call={call:?} unanswered: {why}");
    ExternalReply::Later
}

async fn exchange(outgoing: ExternalRequest) -> Result<(u16, Bytes), Unanswered> {
    let stream = TcpStream::connect(outgoing.to).await.map_err(Unanswered::Connect)?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(Unanswered::Http)?;
    let running = tokio::task::spawn_local(connection);
    let mut req = Request::builder()
        .method(outgoing.method)
        .uri(&*outgoing.path)
        .header(HOST, outgoing.to.to_string())
        .header(CONTENT_TYPE, "application/json");
    for (name, value) in &outgoing.headers {
        req = req.header(*name, &**value);
    }
    let req = req.body(Full::new(Bytes::from(outgoing.body))).map_err(Unanswered::Request)?;
    let response = sender.send_request(req).await.map_err(Unanswered::Http)?;
    let status = response.status().as_u16();
    let body = Limited::new(response.into_body(), BODY_MAX).collect().await;
    running.abort();
    Ok((status, body.map_err(Unanswered::Body)?.to_bytes()))
}
