//! Which waiting step is started next.

pub(super) mod estimate;
pub(super) mod ready;
pub mod scarcity;
pub mod shares;
pub(super) mod sizes;
