//! Translation between HTTP and the cell's requests and responses.

use bytes::Bytes;
use std::net::SocketAddr;
use yuccalink_coordination::jobs::external::{ExternalCall, ExternalReply};
use yuccalink_coordination::jobs::{CellRequest, CellResponse};

/// An HTTP request whose body has been read completely.
#[derive(Clone, Copy, Debug)]
pub struct ApiRequest<'a> {
    /// HTTP method in upper case.
    pub method: &'a str,
    /// Path without the query.
    pub path: &'a str,
    /// `Host` header as the client sent it.
    pub host: &'a str,
    /// Request body; may be empty.
    pub body: &'a [u8],
}

/// An HTTP response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ApiResponse {
    /// HTTP status code.
    pub status: u16,
    /// JSON body, or empty.
    pub body: Bytes,
    /// Delay after which the client may retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// URL to which the client should send the same request instead.
    pub location: Option<Box<str>>,
    /// The body is shared with other responses, so that it takes no memory of its own.
    pub shares_body: bool,
}

impl ApiResponse {
    /// Creates a response without a body.
    pub fn empty(status: u16) -> Self {
        Self { status, ..Self::default() }
    }

    /// Creates a response with a JSON body.
    pub fn json(status: u16, body: Vec<u8>) -> Self {
        Self { status, body: body.into(), ..Self::default() }
    }

    /// Creates a redirect of a request for `path` to another process.
    pub(crate) fn redirect(to: SocketAddr, path: &str) -> Self {
        let location = format!("http://{to}{path}").into();
        Self { status: 307, location: Some(location), ..Self::default() }
    }
}

/// Maps an HTTP interface to the cell's requests and responses: its native one or a platform's.
pub trait ApiAdapter {
    /// Parses a caller's request.
    ///
    /// # Errors
    /// Returns the response to send if the request is invalid.
    fn parse_caller(&self, req: ApiRequest<'_>) -> Result<CellRequest, ApiResponse>;

    /// Parses a runner's or operator's request.
    ///
    /// # Errors
    /// Returns the response to send if the request is invalid.
    fn parse_control(&self, req: ApiRequest<'_>) -> Result<CellRequest, ApiResponse>;

    /// Converts the cell's response to an HTTP response.
    fn to_response(&self, response: CellResponse) -> ApiResponse;

    /// Returns the HTTP request for a call to an external service, or `None` if no such
    /// service exists.
    fn external_request(&self, call: &ExternalCall) -> Option<ExternalRequest>;

    /// Decodes the response of an external service.
    fn decode_reply(&self, call: &ExternalCall, status: u16, body: &[u8]) -> ExternalReply;
}

/// An HTTP request to an external service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExternalRequest {
    /// Address of the service.
    pub to: SocketAddr,
    /// HTTP method in upper case.
    pub method: &'static str,
    /// Path with the query, if any.
    pub path: Box<str>,
    /// Headers in addition to those sent with every request.
    pub headers: Vec<(&'static str, Box<str>)>,
    /// JSON body, or empty.
    pub body: Vec<u8>,
}

/// Source of the seed addresses, which may change while the process runs.
pub trait SeedSource {
    /// Reads the current seed addresses.
    ///
    /// # Errors
    /// Describes what is wrong with the settings; the previous seeds stay in use.
    fn seeds(&self) -> Result<Vec<SocketAddr>, Box<str>>;
}
