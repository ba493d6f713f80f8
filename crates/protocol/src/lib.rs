//! The protocol layer: service documents in TOML, the JSON that callers, targets
//! and operators exchange with the daemon, and the messages between daemons.

pub mod api;
pub mod document;
pub mod fields;
pub mod peer;
pub mod problem;
pub mod request;
pub mod units;

#[allow(missing_docs, clippy::all, clippy::redundant_clone, clippy::needless_pass_by_value)]
#[rustfmt::skip]
pub mod peer_capnp;
