//! The state layer: domain types, the deterministic state machine that every
//! replica applies, and the files that make it durable.
//!
//! Nothing here uses the network, reads a clock or draws random numbers; times
//! are passed in as milliseconds inside commands.

pub mod command;
pub mod document;
pub mod error;
pub mod evacuation;
pub mod id;
pub mod jobs;
pub mod ledger;
pub mod log;
pub mod machine;
pub mod resources;
pub mod snapshot;
pub mod store;
pub mod target;
pub mod task;
pub mod worker;

pub use command::{Command, Outcome};
pub use document::Document;
pub use error::{Error, Result};
pub use machine::StateMachine;
pub use resources::Resources;
pub use store::Store;
