//! What outlives a leader without being part of the replicated state: forecasts of margins,
//! distrust in runners, the interval of reports, and accounts of delay.
//!
//! The expected load is serving jobs whose margins need ten to twenty seconds to be learnt,
//! and leaders that are lost every thirty seconds under full load. Each second a leader tells
//! the other replicas a part of what it has learnt. A replica that becomes the leader begins
//! with it.

mod heard;
mod take_over;
mod teller;

pub use heard::HeardKnowledge;
pub(super) use teller::Teller;

use super::policy::Switch;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What a leader tells later leaders.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct KnowledgePolicy {
    /// Whether a leader tells what it has learnt, and begins with what it was told.
    pub mode: Switch,
    /// Most bytes that a leader tells in a second, however many jobs and runners there are.
    pub bytes_per_s: u32,
}

impl Default for KnowledgePolicy {
    fn default() -> Self {
        Self { mode: Switch::On, bytes_per_s: 4_096 }
    }
}

/// Interval of a leader's messages.
pub(super) const TELL_INTERVAL: Duration = Duration::from_secs(1);
/// Age from which a model is not taken over: phases drift, and jobs may have changed.
const MARGIN_AGE_MAX: Duration = Duration::from_secs(30);
/// Age from which distrust and the interval of reports are not taken over.
const RUNNERS_AGE_MAX: Duration = Duration::from_secs(8);
