//! The coordination layer: the scheduling decisions, as components that take an event and the
//! current [`Moment`] and return the actions to perform.
//!
//! No component does input or output, reads a clock or draws its own randomness. The same code
//! therefore runs in the daemon, in property tests, in scenario files and embedded in other
//! programs.

pub mod directory;
pub mod dispatch;
pub mod entries;
pub mod handover;
pub mod histogram;
pub mod intake;
pub mod invariants;
pub mod jobs;
pub mod lease_wait;
pub mod moment;
pub mod outbox;
pub mod peer_table;
pub mod placement;
pub mod pressure;
pub mod raft;
pub mod releases;
pub mod retry;
pub mod router;
pub mod scenario;
pub mod store_health;
pub mod voters;
pub mod workers;

pub use moment::Moment;
