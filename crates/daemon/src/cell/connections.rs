//! How many connections of callers, runners and operators a process holds at once, and what
//! becomes of one beyond them.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Connections that are being told at once that there are too many; further ones are closed
/// without a word.
const REJECTING_MAX: usize = 64;
/// Between lines on connections that were turned away.
const TELL_EVERY: Duration = Duration::from_secs(1);

/// Counts the connections of a process.
#[derive(Debug)]
pub(crate) struct ConnectionLimiter {
    max: usize,
    open: Cell<usize>,
    rejecting: Cell<usize>,
    rejected_total: Cell<u64>,
    logged_at: Cell<Option<Instant>>,
}

/// What a new connection may do.
#[derive(Debug)]
pub(crate) enum Admission {
    /// Its requests are answered.
    Served(ConnectionPermit),
    /// Its first request is told that there are too many.
    Rejected(ConnectionPermit),
    /// It is closed at once.
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

    /// Those that are served now.
    pub(crate) fn open(&self) -> usize {
        self.open.get()
    }

    /// Those that were turned away since the process began.
    pub(crate) fn rejected_total(&self) -> u64 {
        self.rejected_total.get()
    }

    /// Counts a new connection.
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

    /// What a connection is told that is turned away.
    pub(crate) fn rejection_message(&self) -> String {
        format!(
            "this process holds {} connections and takes no more: come back, or go to another \
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
        if self.logged_at.get().is_some_and(|at| now - at < TELL_EVERY) {
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
