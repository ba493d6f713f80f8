//! How many connections of callers, runners and operators a process holds at once, and what
//! becomes of one beyond them.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Connections that are being told at once that there are too many; further ones are closed
/// without a word.
const TURNED_AWAY_MAX: usize = 64;
/// Between lines on connections that were turned away.
const TELL_EVERY: Duration = Duration::from_secs(1);

/// Counts the connections of a process.
#[derive(Debug)]
pub(crate) struct Connections {
    most: usize,
    open: Cell<usize>,
    being_told: Cell<usize>,
    turned_away: Cell<u64>,
    told_at: Cell<Option<Instant>>,
}

/// What a new connection may do.
#[derive(Debug)]
pub(crate) enum Admission {
    /// Its requests are answered.
    Served(Held),
    /// Its first request is told that there are too many.
    Refused(Held),
    /// It is closed at once.
    Closed,
}

#[derive(Clone, Copy, Debug)]
enum Kind {
    Served,
    Refused,
}

/// Counts one connection until dropped.
#[derive(Debug)]
pub(crate) struct Held(Rc<Connections>, Kind);

impl Drop for Held {
    fn drop(&mut self) {
        let count = self.0.count(self.1);
        count.set(count.get() - 1);
    }
}

impl Connections {
    pub(crate) fn new(most: usize) -> Rc<Self> {
        Rc::new(Self {
            most,
            open: Cell::new(0),
            being_told: Cell::new(0),
            turned_away: Cell::new(0),
            told_at: Cell::new(None),
        })
    }

    /// Those that are served now.
    pub(crate) fn open(&self) -> usize {
        self.open.get()
    }

    /// Those that were turned away since the process began.
    pub(crate) fn turned_away(&self) -> u64 {
        self.turned_away.get()
    }

    /// Counts a new connection.
    pub(crate) fn admit(self: &Rc<Self>) -> Admission {
        if self.open.get() < self.most {
            return Admission::Served(self.hold(Kind::Served));
        }
        self.turned_away.set(self.turned_away.get() + 1);
        self.tell();
        match self.being_told.get() < TURNED_AWAY_MAX {
            true => Admission::Refused(self.hold(Kind::Refused)),
            false => Admission::Closed,
        }
    }

    /// What a connection is told that is turned away.
    pub(crate) fn refusal(&self) -> String {
        format!(
            "this process holds {} connections and takes no more: come back, or go to another \
             entry; its operator can raise --connections-max and the limit of open files",
            self.most
        )
    }

    fn hold(self: &Rc<Self>, kind: Kind) -> Held {
        let count = self.count(kind);
        count.set(count.get() + 1);
        Held(self.clone(), kind)
    }

    fn count(&self, kind: Kind) -> &Cell<usize> {
        match kind {
            Kind::Served => &self.open,
            Kind::Refused => &self.being_told,
        }
    }

    fn tell(&self) {
        let now = Instant::now();
        if self.told_at.get().is_some_and(|at| now - at < TELL_EVERY) {
            return;
        }
        self.told_at.set(Some(now));
        log::warn!(
            "connections={} of {}: turned away {} since the start",
            self.open.get(),
            self.most,
            self.turned_away.get()
        );
    }
}
