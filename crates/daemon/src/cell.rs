//! A job cell: daemons that agree on jobs and tell runners what to run.
//!
//! One process on each entry VM, with one thread for everything but the disk and
//! the log lines: where a VM has a fraction of one core, every hand-over between
//! threads is a wake-up that is paid for. Any process takes any request; the one
//! that leads decides, the others pass on.

mod adapter;
mod config;
mod connections;
mod disk;
mod external;
mod frame;
mod http;
mod membership;
mod metrics;
mod native;
mod node;
mod peer_connection;
mod peers;
pub mod policy;
mod replica;
mod run;

pub use adapter::{ApiAdapter, ApiRequest, ApiResponse, ExternalRequest, SeedSource};
pub use config::{CellConfig, CellConfigBuilder};
pub use native::{Native, common_response, json, number, parse, parse_caller_request, problem};
pub use run::run;
