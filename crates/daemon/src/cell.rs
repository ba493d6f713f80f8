//! A job cell: a Raft group of daemons that queues jobs and assigns them to runners.
//!
//! Each entry VM runs one process. A single thread does everything except disk writes and
//! logging, because a VM may have a fraction of one core, where each hand-over between
//! threads costs a wake-up. Any process accepts any request; the leader decides, and the
//! other processes forward requests to it.

mod adapter;
mod admission;
mod client_io;
mod config;
mod disk;
mod external;
mod frame;
mod http;
mod intake;
mod limits;
mod listener;
mod membership;
mod metrics;
mod native;
mod node;
mod peer_connection;
mod peers;
pub mod policy;
mod replica;
mod requests;
mod run;

pub use adapter::{ApiAdapter, ApiRequest, ApiResponse, ExternalRequest, SeedSource};
pub use config::{CellConfig, CellConfigBuilder};
pub use native::{
    Native, common_response, decode_path, error_response, json_response, parse_caller_request,
    parse_json, parse_number,
};
pub use run::run;
