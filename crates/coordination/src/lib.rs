//! The coordination layer: the decisions, as parts that take an event and the
//! current [`Moment`] and return what is to be done.
//!
//! No part does input or output, reads a clock or draws its own randomness, so
//! the same part runs inside the daemon, under a property test, in a scenario
//! file and embedded in other programs.

pub mod directory;
pub mod dispatch;
pub mod entries;
pub mod invariants;
pub mod jobs;
pub mod moment;
pub mod peer_table;
pub mod placement;
pub mod pressure;
pub mod raft;
pub mod retry;
pub mod router;
pub mod scenario;
pub mod voters;
pub mod workers;

pub use moment::Moment;
