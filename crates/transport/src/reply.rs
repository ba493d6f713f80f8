//! Builds small responses: JSON, text and problem documents.

use crate::http::{HeaderName, HeaderValue, StatusCode, header};
use serde::Serialize;
use xitca_web::body::ResponseBody;
use xitca_web::http::WebResponse;
use yuccalink_protocol::problem::{MEDIA_TYPE, Problem, RAN_HEADER};

/// Media type of JSON bodies.
pub const JSON: &str = "application/json";

/// Builds a response with a JSON body.
pub fn json<T>(status: StatusCode, value: &T) -> WebResponse
where
    T: Serialize,
{
    match serde_json::to_vec(value) {
        Ok(body) => with_body(status, JSON, body),
        Err(error) => {
            log::error!("cannot encode a response: {error}");
            with_body(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", Vec::new())
        }
    }
}

/// Builds a response with a plain-text body.
pub fn text(status: StatusCode, body: &str) -> WebResponse {
    with_body(status, "text/plain; charset=utf-8", body.as_bytes().to_vec())
}

/// Builds a response with `body` of the media type `media_type`.
pub fn with_body(status: StatusCode, media_type: &'static str, body: Vec<u8>) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::bytes(body));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(media_type));
    response
}

/// Builds a response with a problem document. If the problem has a retry delay, `Retry-After`
/// is set to it, rounded up to whole seconds.
pub fn problem(problem: &Problem) -> WebResponse {
    let status = StatusCode::from_u16(problem.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = json(status, problem);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(MEDIA_TYPE));
    headers.insert(
        HeaderName::from_static(RAN_HEADER),
        HeaderValue::from_static(problem.ran.header_value()),
    );
    if let Some(ms) = problem.retry_after_ms {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(ms.div_ceil(1000)));
    }
    response
}
