//! What was seen of runs that ended with their runners.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// What was seen of a run before its runner was lost.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Seen {
    /// Nothing: its runner has never reported to the leader at work.
    #[display("nothing")]
    Nothing,
    /// It was ordered, and its runner has not reported since.
    #[display("ordered")]
    Ordered,
    /// Its runner listed it.
    #[display("working")]
    Working,
    /// Its runner listed it for so long that it is no cause of the loss.
    #[display("proven")]
    Proven,
}
