//! Hand-over of the leadership to another voter before a planned stop.
//!
//! Only a voter with the whole log can take over. The caller therefore proposes nothing while a
//! hand-over is in progress, and a voter that is behind is asked as soon as it has caught up.

use crate::moment::Moment;
use crate::raft::{Raft, Role};
use std::time::Duration;

/// Longest wait for a successor.
pub const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval at which the leadership is offered again if nobody has taken it.
pub const OFFER_INTERVAL: Duration = Duration::from_millis(500);

/// Progress of a [`Handover`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum HandoverStatus {
    /// no successor yet
    Pending,
    /// another voter leads
    Done,
    /// no voter took over in time
    TimedOut,
}

/// A hand-over in progress.
#[derive(Clone, Copy, Debug)]
pub struct Handover {
    deadline: Moment,
    next_offer: Moment,
}

impl Handover {
    /// Begins a hand-over; `None` if `raft` does not lead or there is no other voter.
    ///
    /// ```
    /// use yuccalink_coordination::{Moment, handover::Handover, raft::*};
    /// let raft = Raft::new(ReplicaId(1), Restored::default(), 7, Moment::ZERO);
    /// assert!(Handover::begin(Moment::ZERO, &raft).is_none());
    /// ```
    pub fn begin(now: Moment, raft: &Raft) -> Option<Self> {
        let can_begin = raft.role() == Role::Leader && raft.members().voters.len() > 1;
        can_begin.then(|| Self { deadline: now + HANDOVER_TIMEOUT, next_offer: now })
    }

    /// Offers the leadership if that is due and a voter has the whole log. The caller carries
    /// out the output of `raft` and calls this again on its next tick until the status is final.
    pub fn advance(&mut self, now: Moment, raft: &mut Raft) -> HandoverStatus {
        let leads = raft.role() == Role::Leader;
        if !leads && raft.leader().is_some() {
            return HandoverStatus::Done;
        }
        if now >= self.deadline {
            return HandoverStatus::TimedOut;
        }
        if leads && now >= self.next_offer && raft.transfer_leadership() {
            self.next_offer = now + OFFER_INTERVAL;
        }
        HandoverStatus::Pending
    }
}
