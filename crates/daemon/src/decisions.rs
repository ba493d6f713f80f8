//! The most recent decisions of this daemon. Each is logged as one line and kept in
//! memory for operators.

use crate::clock::unix_ms;
use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use yuccalink_protocol::api::DecisionView;
use yuccalink_state::id::Name;

/// Number of decisions kept in memory.
pub(crate) const MAX_DECISIONS: usize = 1000;
/// Log target of decisions, so that log filters can select them.
pub(crate) const TARGET: &str = "yuccalink::decision";

#[derive(Debug)]
pub(crate) struct Decisions {
    entry: Name,
    recent: Mutex<VecDeque<(u64, Box<str>)>>,
}

impl Decisions {
    pub(crate) fn new(entry: Name) -> Self {
        Self { entry, recent: Mutex::new(VecDeque::with_capacity(MAX_DECISIONS)) }
    }

    /// Logs a decision and keeps it.
    pub(crate) fn note(&self, line: String) {
        log::info!(target: TARGET, "{line}");
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        if recent.len() == MAX_DECISIONS {
            recent.pop_front();
        }
        recent.push_back((unix_ms(), line.into()));
    }

    /// Returns the decisions, newest first.
    pub(crate) fn list(&self) -> Vec<DecisionView> {
        let recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        let view = |(at_ms, line): &(u64, Box<str>)| DecisionView {
            at_ms: *at_ms,
            entry: self.entry.clone(),
            line: line.clone(),
        };
        recent.iter().rev().map(view).collect()
    }
}
