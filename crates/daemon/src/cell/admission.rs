//! Admits clients to the account of the process, and tells the log about those turned away.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use yuccalink_coordination::jobs::report_rate::{millis, spread};
use yuccalink_transport::account::{Client, ClientAccount, ClientClass};

/// Connections that may receive a rejection response at the same time; any more are closed
/// without a response.
const REJECTING_MAX: usize = 64;
/// Mean retry delay of a client that is refused.
const RETRY_AFTER: Duration = Duration::from_millis(1_500);
/// Minimum interval between log lines about clients turned away.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// How a new connection is handled.
#[derive(Debug)]
pub(crate) enum Admission {
    /// The connection's requests are served.
    Served(Client),
    /// The first request receives a rejection response.
    Rejected(RejectionPermit),
    /// The connection is closed without a response.
    Closed,
}

/// Admits the clients of a process.
#[derive(Debug)]
pub(crate) struct ClientAdmission {
    pub(crate) account: Arc<ClientAccount>,
    /// Connections that are receiving a rejection response now.
    rejecting: Cell<usize>,
    logged_at: Cell<Option<Instant>>,
}

/// Counts a connection that receives a rejection response until it is dropped.
#[derive(Debug)]
pub(crate) struct RejectionPermit(Rc<ClientAdmission>);

impl Drop for RejectionPermit {
    fn drop(&mut self) {
        self.0.rejecting.set(self.0.rejecting.get() - 1);
    }
}

impl ClientAdmission {
    pub(crate) fn new(account: Arc<ClientAccount>) -> Rc<Self> {
        Rc::new(Self { account, rejecting: Cell::new(0), logged_at: Cell::new(None) })
    }

    /// Decides how a new connection is handled.
    pub(crate) fn admit(self: &Rc<Self>, class: ClientClass) -> Admission {
        match self.account.connect(class) {
            Ok(client) => return Admission::Served(client),
            Err(why) => self.log_refusal(class, &why),
        }
        if self.rejecting.get() >= REJECTING_MAX {
            return Admission::Closed;
        }
        self.rejecting.set(self.rejecting.get() + 1);
        Admission::Rejected(RejectionPermit(self.clone()))
    }

    /// Retry delay of a client that is refused, in milliseconds. It varies, so that the clients do
    /// not return all at once.
    pub(crate) fn retry_after_ms(&self, class: ClientClass) -> u64 {
        let usage = self.account.usage(class);
        millis(spread(RETRY_AFTER, usage.refused_connections + usage.refused_requests))
    }

    /// Logs a refusal, with the counters of its class, unless one was logged just before.
    pub(crate) fn log_refusal<E>(&self, class: ClientClass, why: &E)
    where
        E: std::fmt::Display,
    {
        let now = Instant::now();
        if self.logged_at.get().is_some_and(|at| now - at < LOG_INTERVAL) {
            return;
        }
        self.logged_at.set(Some(now));
        let usage = self.account.usage(class);
        log::warn!(
            "clients={} refused: {why}; connections={} held={} of {} bytes, since the start: \
             connections-refused={} requests-refused={} gave-way={} timed-out={}",
            class.name(),
            usage.open,
            usage.held,
            usage.bound,
            usage.refused_connections,
            usage.refused_requests,
            usage.gave_way,
            usage.timed_out
        );
    }
}
