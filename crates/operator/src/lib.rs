//! Library for operators: [`Client`] sends requests to the daemons of a system, and
//! [`command`] implements the commands of the program `yuccalink`.

pub mod cell;
mod client;
pub mod command;
pub mod completions;
mod error;
mod job_history;
pub mod losses;
mod plot;
pub mod render;
mod snapshot_file;
mod why;
pub mod zone;

pub use client::{Client, ClientBuilder};
pub use error::{Error, Result};
