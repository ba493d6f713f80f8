//! Requests that wait for the leader, in the order in which they are handled.
//!
//! A leader that receives more than it can handle must not spend its time on requests whose
//! senders no longer wait: every answer would then come too late, although the leader is never
//! idle. Requests therefore wait by class, and a request that has waited too long is handed out
//! as expired, to be answered without being handled.

use crate::jobs::{CellRequest, RunnerState};
use crate::moment::Moment;
use std::collections::VecDeque;
use std::time::Duration;

/// Class of a request; an earlier variant is handled first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestClass {
    /// Requests of operators, cancellations, and runners that leave: few, and they take load
    /// off the cell.
    Control,
    /// Reports of runs that have ended. The lease of such a run may expire before its end is
    /// committed, and the work is then done again.
    Ends,
    /// Requests of callers.
    Caller,
    /// All other reports of runners. A lost one is followed by the next.
    Report,
}

/// Longest wait of a report. The runner drops an answer that arrives more than a second after
/// the report was sent, and the way to the leader and back takes part of it.
pub const REPORT_WAIT_MAX: Duration = Duration::from_millis(500);
/// Longest wait of a caller's request, so that the caller learns in time that it has to return.
pub const CALLER_WAIT_MAX: Duration = Duration::from_millis(1_000);
/// Longest wait of a control request.
pub const CONTROL_WAIT_MAX: Duration = Duration::from_millis(800);
/// Wait of a report from which it is handled briefly: the lease is renewed and nothing is
/// started, so that a busy leader still renews all leases.
pub const REPORT_WAIT_FULL: Duration = Duration::from_millis(150);
/// Requests that may wait in one class. Any more are expired at once, so that the memory stays
/// bounded.
pub const WAITING_MAX: usize = 8 * 1024;

impl RequestClass {
    const ALL: [Self; 4] = [Self::Control, Self::Ends, Self::Caller, Self::Report];

    /// Class of a request.
    ///
    /// ```
    /// use yuccalink_coordination::intake::RequestClass;
    /// use yuccalink_coordination::jobs::{CellRequest, RunnerReport};
    /// let report = CellRequest::Heartbeat(Box::new(RunnerReport::default()));
    /// assert_eq!(RequestClass::of(&report), RequestClass::Report);
    /// assert!(RequestClass::of(&CellRequest::Document) < RequestClass::Report);
    /// ```
    pub fn of(request: &CellRequest) -> Self {
        match request {
            CellRequest::Heartbeat(report) if report.state == RunnerState::Draining => {
                Self::Control
            }
            CellRequest::Heartbeat(report) if !report.finished.is_empty() => Self::Ends,
            CellRequest::Heartbeat(_) => Self::Report,
            CellRequest::Submit { .. }
            | CellRequest::State { .. }
            | CellRequest::Pending { .. }
            | CellRequest::Other { .. } => Self::Caller,
            CellRequest::Cancel { .. }
            | CellRequest::Leave { .. }
            | CellRequest::Change(_)
            | CellRequest::ChangeWithSettings(_)
            | CellRequest::Document
            | CellRequest::WaveStart(_)
            | CellRequest::WaveState(_)
            | CellRequest::Zone(_)
            | CellRequest::Zones
            | CellRequest::Queues => Self::Control,
        }
    }

    fn wait_max(self) -> Duration {
        match self {
            Self::Control => CONTROL_WAIT_MAX,
            Self::Caller => CALLER_WAIT_MAX,
            Self::Ends | Self::Report => REPORT_WAIT_MAX,
        }
    }
}

/// A request taken from the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next<T> {
    /// To be handled; waited this long.
    Handle(T, Duration),
    /// A report to be handled briefly; waited this long.
    Brief(T, Duration),
    /// To be answered without being handled: its sender no longer waits for the result.
    Expired(T),
}

/// Queue of the requests that wait for the leader.
///
/// ```
/// use yuccalink_coordination::Moment;
/// use yuccalink_coordination::intake::{Intake, Next, RequestClass};
/// let mut intake = Intake::default();
/// intake.push(RequestClass::Report, "report", Moment::ZERO);
/// intake.push(RequestClass::Control, "cancel", Moment::ZERO);
/// assert!(matches!(intake.pop(Moment::ZERO), Some(Next::Handle("cancel", _))));
/// assert_eq!(intake.pop(Moment::from_millis(2_000)), Some(Next::Expired("report")));
/// ```
#[derive(Debug)]
pub struct Intake<T> {
    waiting: [VecDeque<(Moment, T)>; RequestClass::ALL.len()],
}

impl<T> Default for Intake<T> {
    fn default() -> Self {
        Self { waiting: Default::default() }
    }
}

impl<T> Intake<T> {
    /// Adds a request that arrived at `now`.
    pub fn push(&mut self, class: RequestClass, request: T, now: Moment) {
        self.waiting[class as usize].push_back((now, request));
    }

    /// Takes the next request: expired ones first, since their answers cost little and their
    /// senders wait for nothing else, then by class and arrival.
    pub fn pop(&mut self, now: Moment) -> Option<Next<T>> {
        if let Some(request) = self.pop_expired(now) {
            return Some(Next::Expired(request));
        }
        for class in RequestClass::ALL {
            if let Some((at, request)) = self.waiting[class as usize].pop_front() {
                let waited = now.since(at);
                return Some(match class == RequestClass::Report && waited > REPORT_WAIT_FULL {
                    true => Next::Brief(request, waited),
                    false => Next::Handle(request, waited),
                });
            }
        }
        None
    }

    /// Takes a request that has waited too long, or that exceeds the bound of its class.
    pub fn pop_expired(&mut self, now: Moment) -> Option<T> {
        for class in RequestClass::ALL {
            let queue = &mut self.waiting[class as usize];
            let over_full = queue.len() > WAITING_MAX;
            let waits_too_long =
                queue.front().is_some_and(|(at, _)| now.since(*at) > class.wait_max());
            if over_full || waits_too_long {
                return queue.pop_front().map(|(_, request)| request);
            }
        }
        None
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.iter().map(VecDeque::len).sum()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
