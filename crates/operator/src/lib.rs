//! The operator's side as a library: [`Client`] talks to any daemon of the
//! system, [`command`] holds what the program `yuccalink` does with it.

pub mod cell;
mod client;
pub mod command;
pub mod completions;
mod error;
pub mod losses;
mod plot;
pub mod render;
mod snapshot_file;
mod why;

pub use client::{Client, ClientBuilder};
pub use error::{Error, Result};
