//! The edge of a process: how requests become asks and answers become responses.

use bytes::Bytes;
use std::net::SocketAddr;
use yuccalink_coordination::jobs::external::{ExternalCall, ExternalReply};
use yuccalink_coordination::jobs::{CellRequest, CellResponse};

/// A request, read whole.
#[derive(Clone, Copy, Debug)]
pub struct ApiRequest<'a> {
    /// Upper-case.
    pub method: &'a str,
    /// Without a query.
    pub path: &'a str,
    /// As the caller wrote it.
    pub host: &'a str,
    /// Possibly empty.
    pub body: &'a [u8],
}

/// A response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ApiResponse {
    /// Its HTTP status.
    pub status: u16,
    /// JSON, or nothing.
    pub body: Bytes,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Where to send the same request instead, as a URL.
    pub location: Option<Box<str>>,
}

impl ApiResponse {
    /// A response without a body.
    pub fn empty(status: u16) -> Self {
        Self { status, ..Self::default() }
    }

    /// A response with a JSON body.
    pub fn json(status: u16, body: Vec<u8>) -> Self {
        Self { status, body: body.into(), ..Self::default() }
    }

    /// A redirect of a request for `path` to another process.
    pub(crate) fn redirect(to: SocketAddr, path: &str) -> Self {
        let location = format!("http://{to}{path}").into();
        Self { status: 307, location: Some(location), ..Self::default() }
    }
}

/// One HTTP interface of the cell: its own, or that of a platform.
pub trait ApiAdapter {
    /// A caller's request.
    ///
    /// # Errors
    /// The response to one that cannot be understood.
    fn caller(&self, req: ApiRequest<'_>) -> Result<CellRequest, ApiResponse>;

    /// A runner's or operator's request.
    ///
    /// # Errors
    /// The response to one that cannot be understood.
    fn control(&self, req: ApiRequest<'_>) -> Result<CellRequest, ApiResponse>;

    /// The response to an answer.
    fn reply(&self, response: CellResponse) -> ApiResponse;

    /// The request for a call to a service outside; none where there is no such
    /// service.
    fn request(&self, call: &ExternalCall) -> Option<ExternalRequest>;

    /// What the service's response says.
    fn decode_reply(&self, call: &ExternalCall, status: u16, body: &[u8]) -> ExternalReply;
}

/// A request to a service outside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExternalRequest {
    /// Where the service listens.
    pub to: SocketAddr,
    /// Upper-case.
    pub method: &'static str,
    /// With a query, if any.
    pub path: Box<str>,
    /// Besides those that every request has.
    pub headers: Vec<(&'static str, Box<str>)>,
    /// JSON, or nothing.
    pub body: Vec<u8>,
}

/// Where settings that may change come from.
pub trait SeedSource {
    /// The seeds as they are set now.
    ///
    /// # Errors
    /// What is wrong with the settings; the former ones stay in use.
    fn seeds(&self) -> Result<Vec<SocketAddr>, Box<str>>;
}
