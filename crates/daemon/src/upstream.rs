//! Builds the requests that are sent to runners and other entries, and converts
//! response headers. Hop-by-hop headers are removed in both directions.

use crate::clock::millis;
use bytes::Bytes;
use http_body_util::Full;
use std::net::SocketAddr;
use std::time::Duration;
use yuccalink_protocol::request::{DEADLINE_HEADER, HOP_BY_HOP};
use yuccalink_state::ledger::{self, Header};
use yuccalink_transport::http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri, header};

/// A caller's request with its complete body, so that it can be sent more than once.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl CallerRequest {
    pub(crate) fn path(&self) -> &str {
        self.uri.path()
    }

    /// Builds the request to `destination`, with the `remaining` time until its deadline.
    pub(crate) fn build_upstream_request(
        &self,
        destination: SocketAddr,
        remaining: Duration,
    ) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.method.clone();
        let target = self.uri.path_and_query().map_or("/", |target| target.as_str());
        *req.uri_mut() = target.parse().unwrap_or_else(|_| Uri::from_static("/"));
        let headers = req.headers_mut();
        copy_end_to_end(&self.headers, headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        if !headers.contains_key(header::HOST)
            && let Ok(host) = HeaderValue::from_str(&destination.to_string())
        {
            headers.insert(header::HOST, host);
        }
        headers
            .insert(HeaderName::from_static(DEADLINE_HEADER), HeaderValue::from(millis(remaining)));
        req
    }
}

/// Copies all headers except the hop-by-hop headers and the headers that the
/// `Connection` header names.
pub(crate) fn copy_end_to_end(from: &HeaderMap, to: &mut HeaderMap) {
    let connection_options: Vec<&str> = from
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(str::trim)
        .collect();
    for (name, value) in from {
        let hop_by_hop = HOP_BY_HOP.contains(&name.as_str())
            || connection_options.iter().any(|option| option.eq_ignore_ascii_case(name.as_str()));
        if !hop_by_hop {
            to.append(name, value.clone());
        }
    }
}

/// Converts response headers to the form in which the ledger stores them.
pub(crate) fn ledger_headers(headers: &HeaderMap) -> Box<[Header]> {
    let mut end_to_end = HeaderMap::new();
    copy_end_to_end(headers, &mut end_to_end);
    end_to_end.remove(header::CONTENT_LENGTH);
    let header = |(name, value): (&HeaderName, &HeaderValue)| Header {
        name: name.as_str().into(),
        value: value.as_bytes().into(),
    };
    end_to_end.iter().map(header).collect()
}

/// Converts the headers of a stored response back.
pub(crate) fn headers_from_ledger(stored: &ledger::StoredResponse) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for header in &stored.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    headers
}
