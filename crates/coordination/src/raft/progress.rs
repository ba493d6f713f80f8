//! The leader's view of a follower's replication progress.

use super::{APPENDS_IN_FLIGHT, SnapshotMeta};
use crate::moment::Moment;
use std::sync::Arc;

pub(super) enum Sending {
    Entries,
    Snapshot { requested: bool, bytes: Option<(Box<SnapshotMeta>, Arc<[u8]>)> },
}

pub(super) struct Progress {
    /// Next index to send.
    pub(super) next: u64,
    /// The index up to which its log is known to match.
    pub(super) matched: u64,
    pub(super) sending: Sending,
    /// Messages with entries that are not answered yet.
    pub(super) in_flight: usize,
    /// When the leader last heard from it.
    pub(super) last_heard: Moment,
    /// When the newest message that it answered was sent.
    pub(super) newest_answered: Moment,
    /// When sending was last restarted.
    pub(super) restarted_at: Moment,
    /// Bytes of the snapshot that it has.
    pub(super) offset: u64,
    /// When `offset` last increased.
    pub(super) offset_changed_at: Moment,
    probing: bool,
}

impl Progress {
    pub(super) fn new(next: u64, now: Moment) -> Self {
        Self {
            next,
            matched: 0,
            sending: Sending::Entries,
            in_flight: 0,
            last_heard: now,
            newest_answered: Moment::ZERO,
            restarted_at: now,
            offset: 0,
            offset_changed_at: now,
            probing: true,
        }
    }

    pub(super) fn sends_chunks(&self) -> bool {
        matches!(self.sending, Sending::Snapshot { bytes: Some(_), .. })
    }

    /// Maximum number of messages in flight: one until it is known where the logs match.
    pub(super) fn window(&self) -> usize {
        if self.probing { 1 } else { APPENDS_IN_FLIGHT }
    }

    pub(super) fn record_response(&mut self, now: Moment, echo: Moment) {
        self.last_heard = now;
        self.newest_answered = self.newest_answered.max(echo);
    }

    pub(super) fn record_match(&mut self, index: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.probing = false;
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched + 1);
    }

    pub(super) fn record_mismatch(&mut self, hint: u64) {
        self.in_flight = 0;
        self.probing = true;
        self.next = (hint + 1).min(self.next.saturating_sub(1)).max(self.matched + 1);
    }

    /// Restarts sending; everything in flight counts as lost.
    pub(super) fn restart_sending(&mut self, now: Moment) {
        self.restarted_at = now;
        self.in_flight = 0;
        self.probing = true;
        self.next = self.matched + 1;
        if let Sending::Snapshot { requested, bytes } = &mut self.sending {
            *requested = false;
            *bytes = None;
        }
    }
}
