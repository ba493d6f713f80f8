//! Requests of callers and operators, and their responses.

pub(super) mod acknowledgement;
pub mod admission;
pub(super) mod callers;
pub(super) mod cancellation;
pub(super) mod cancelled_runs;
pub mod forecast;
pub mod messages;
pub mod oversized;
pub(super) mod refusal;
pub(super) mod remembered;
pub mod returning;
pub mod room;
