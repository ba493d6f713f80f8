//! Runners: their reports, their orders, and how they leave or are lost.

pub(super) mod evacuation;
pub(super) mod expiry;
pub mod external;
pub(super) mod heartbeat;
pub(super) mod incarnations;
pub(super) mod leaving;
pub(super) mod lost;
pub(super) mod orders;
pub mod report_rate;
pub mod runner;
pub(super) mod suspects;
pub(super) mod waves;
