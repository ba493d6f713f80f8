//! Limits the concurrent connections of callers, runners and operators, and rejects those
//! above the limit.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Connections that may receive a rejection response at the same time; any more are closed
/// without a response.
const REJECTING_MAX: usize = 64;
/// Minimum interval between log lines about rejected connections.
const REJECTION_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Counts the connections of a process and enforces their limit.
#[derive(Debug)]
pub(crate) struct ConnectionLimiter {
    max: usize,
    /// Connections that are served now.
    open: Cell<usize>,
    /// Connections that are receiving a rejection response now.
    rejecting: Cell<usize>,
    rejected_total: Cell<u64>,
    logged_at: Cell<Option<Instant>>,
}

/// How a new connection is handled.
#[derive(Debug)]
pub(crate) enum Admission {
    /// The connection's requests are served.
    Served(ConnectionPermit),
    /// The first request receives a rejection response.
    Rejected(ConnectionPermit),
    /// The connection is closed without a response.
    Closed,
}

#[derive(Clone, Copy, Debug)]
enum PermitKind {
    Served,
    Rejected,
}

/// Counts one connection until dropped.
#[derive(Debug)]
pub(crate) struct ConnectionPermit(Rc<ConnectionLimiter>, PermitKind);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let counter = self.0.counter(self.1);
        counter.set(counter.get() - 1);
    }
}

impl ConnectionLimiter {
    pub(crate) fn new(max: usize) -> Rc<Self> {
        Rc::new(Self {
            max,
            open: Cell::new(0),
            rejecting: Cell::new(0),
            rejected_total: Cell::new(0),
            logged_at: Cell::new(None),
        })
    }

    /// Number of connections that are served now.
    pub(crate) fn open(&self) -> usize {
        self.open.get()
    }

    /// Number of connections rejected or closed since the process started.
    pub(crate) fn rejected_total(&self) -> u64 {
        self.rejected_total.get()
    }

    /// Counts a new connection and decides how it is handled.
    pub(crate) fn admit(self: &Rc<Self>) -> Admission {
        if self.open.get() < self.max {
            return Admission::Served(self.permit(PermitKind::Served));
        }
        self.rejected_total.set(self.rejected_total.get() + 1);
        self.log_rejections();
        match self.rejecting.get() < REJECTING_MAX {
            true => Admission::Rejected(self.permit(PermitKind::Rejected)),
            false => Admission::Closed,
        }
    }

    /// Error text of the response to a rejected connection.
    pub(crate) fn rejection_message(&self) -> String {
        format!(
            "this process has reached its limit of {} connections: retry later or use another \
             entry; its operator can raise --connections-max and the limit of open files",
            self.max
        )
    }

    fn permit(self: &Rc<Self>, kind: PermitKind) -> ConnectionPermit {
        let counter = self.counter(kind);
        counter.set(counter.get() + 1);
        ConnectionPermit(self.clone(), kind)
    }

    fn counter(&self, kind: PermitKind) -> &Cell<usize> {
        match kind {
            PermitKind::Served => &self.open,
            PermitKind::Rejected => &self.rejecting,
        }
    }

    fn log_rejections(&self) {
        let now = Instant::now();
        if self.logged_at.get().is_some_and(|at| now - at < REJECTION_LOG_INTERVAL) {
            return;
        }
        self.logged_at.set(Some(now));
        log::warn!(
            "connections={} of {}: turned away {} since the start",
            self.open.get(),
            self.max,
            self.rejected_total.get()
        );
    }
}
