//! The transport layer: HTTP servers for callers, targets and operators, HTTP
//! connections to runners and workers, and RPC connections between daemons.

pub mod account;
pub mod auth;
pub mod body;
mod peer_reader;
pub mod pool;
pub mod reply;
pub mod request_body;
pub mod rpc;
pub mod server;

pub use hyper::http;
