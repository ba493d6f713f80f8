//! The daemon as a library. [`Config`] holds the settings and [`Daemon::start`] starts
//! the daemon. The program `yuccalinkd` only reads flags and waits for signals.
//!
//! Threads: one for the control state (`control`), one for disk writes (`journal`), one
//! for requests of targets and operators, and the traffic threads for callers' requests.

mod admin;
pub mod cell;
mod clock;
mod config;
mod control;
mod daemon;
mod decisions;
mod entry;
mod error;
mod journal;
mod json_size;
mod leader;
mod leader_client;
mod logging;
mod metrics;
mod orders;
mod peers;
mod replica;
mod shared;
mod traffic;
mod upstream;
mod views;
mod voters;

pub use config::{Config, ConfigBuilder, Peer};
pub use daemon::Daemon;
pub use error::{Error, Result};
pub use logging::{finish as finish_logging, start as start_logging};
