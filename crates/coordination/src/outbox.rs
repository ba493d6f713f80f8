//! Messages that wait for a connection to another replica or for a free call on it.

use crate::raft::Envelope;
use std::collections::VecDeque;

/// Maximum number of waiting messages; beyond it the oldest is dropped.
pub const OUTBOX_MAX: usize = 1024;
/// Maximum number of concurrent calls to one replica.
pub const CONCURRENT_CALLS_MAX: usize = 4;

/// State of the connection to a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Link {
    /// Not connected.
    #[default]
    Down,
    /// A connection is being established.
    Connecting,
    /// Connected.
    Up,
}

/// What to do for an outbox.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Nothing: it is empty, a connection is being established or all calls are taken.
    Wait,
    /// Establish a connection.
    Connect,
    /// Send these messages, in order.
    Send(Vec<Envelope>),
}

/// The messages for one replica.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    messages: VecDeque<Envelope>,
}

impl Outbox {
    /// Adds a message.
    pub fn push(&mut self, message: Envelope) {
        if self.messages.len() == OUTBOX_MAX {
            self.messages.pop_front();
        }
        self.messages.push_back(message);
    }

    /// Decides what to do now. Messages that cannot be sent yet wait: a vote that was dropped
    /// would cost an election timeout, a dropped entry the time until it is repeated.
    ///
    /// ```
    /// use yuccalink_coordination::outbox::{Action, Link, Outbox};
    /// assert_eq!(Outbox::default().next(Link::Up, 0), Action::Wait);
    /// ```
    pub fn next(&mut self, link: Link, calls: usize) -> Action {
        if self.messages.is_empty() {
            return Action::Wait;
        }
        match link {
            Link::Down => Action::Connect,
            Link::Up if calls < CONCURRENT_CALLS_MAX => {
                Action::Send(std::mem::take(&mut self.messages).into())
            }
            Link::Connecting | Link::Up => Action::Wait,
        }
    }

    /// Drops all messages, when the replica cannot be reached.
    pub fn clear(&mut self) {
        self.messages.clear();
    }
}
