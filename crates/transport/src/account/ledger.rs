//! What each client holds, and who gives way when there is no room.

use super::{AccountBounds, CONNECTION_BYTES, ClassUse, ClientClass, ClientTimeouts, Exhausted};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A client that holds more than this leaves room for those that hold less.
const SMALL_BYTES: usize = 32 * 1024;
/// One part in this many of a class's room is for clients that hold little.
const SMALL_PART: usize = 4;
/// One part in this many of the bytes may belong to clients that have been sent away and still
/// hold them.
const LEAVING_PART: usize = 8;
/// Time over which the rate of a client is measured.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Rate, in bytes per second, from which a client does not give way. At a lower rate, the largest
/// body of a caller takes longer than the time limit.
const RATE_MIN: u64 = 16 * 1024;

/// Key of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ClientKey(u64);

/// What a client is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It sends nothing.
    Idle,
    /// It sends the head of a request, or a message.
    Head,
    /// It sends the body of a request.
    Body,
    /// Its request is complete and is being served.
    Serving,
    /// It does not read what it is sent.
    Unread,
}

#[derive(Debug)]
struct Entry {
    class: ClientClass,
    is_connection: bool,
    held: usize,
    phase: Phase,
    since: Instant,
    rate: Rate,
    /// The client has shown what it is, such as by a valid first message.
    known: bool,
    sent_away: bool,
    wake: Arc<Notify>,
}

/// Rate at which a client transfers, in bytes per second.
#[derive(Clone, Copy, Debug)]
struct Rate {
    window_start: Instant,
    /// Bytes transferred since then.
    bytes: u64,
    /// Rate in the window before; `None` in the first one.
    before: Option<u64>,
    last_transfer: Instant,
}

impl Rate {
    fn new(now: Instant) -> Self {
        Self { window_start: now, bytes: 0, before: None, last_transfer: now }
    }

    fn add(&mut self, bytes: usize, now: Instant) {
        if let Some(rate) = self.of_whole_window(now) {
            *self = Self { before: Some(rate), ..Self::new(now) };
        }
        self.last_transfer = now;
        self.bytes = self.bytes.saturating_add(bytes as u64);
    }

    /// Rate in the current window, once it is long enough to tell.
    fn of_whole_window(&self, now: Instant) -> Option<u64> {
        let age = now.saturating_duration_since(self.window_start);
        let millis = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        (age >= RATE_WINDOW).then(|| self.bytes.saturating_mul(1_000) / millis.max(1))
    }

    fn latest(&self, now: Instant) -> Option<u64> {
        match now.saturating_duration_since(self.last_transfer) >= RATE_WINDOW {
            true => Some(0),
            false => self.of_whole_window(now).or(self.before),
        }
    }
}

impl Entry {
    /// Rank among the clients that give way, lowest first; `None` if it does not give way.
    fn slowness(&self, now: Instant) -> Option<(bool, u64, Instant)> {
        if self.sent_away || self.phase == Phase::Serving {
            return None;
        }
        let has_said_nothing = self.phase == Phase::Idle && !self.known;
        let rate = if has_said_nothing { 0 } else { self.rate.latest(now)? };
        (rate < RATE_MIN).then_some((self.known, rate, self.since))
    }
}

/// The clients of a process. All times are passed in.
#[derive(Debug)]
pub(super) struct Ledger {
    bounds: AccountBounds,
    classes: [ClassUse; ClientClass::ALL.len()],
    /// Bytes of clients that have been sent away and still hold them; not counted as held.
    leaving: usize,
    next: u64,
    entries: BTreeMap<ClientKey, Entry>,
}

impl Ledger {
    pub(super) fn new(bounds: AccountBounds) -> Self {
        let mut ledger = Self {
            bounds,
            classes: Default::default(),
            leaving: 0,
            next: 0,
            entries: BTreeMap::new(),
        };
        for class in ClientClass::ALL {
            ledger.classes[class as usize].bound = ledger.bound(class);
        }
        ledger
    }

    pub(super) fn usage(&self, class: ClientClass) -> ClassUse {
        self.classes[class as usize]
    }

    /// Adds a connection and charges what every connection takes.
    pub(super) fn connect(
        &mut self,
        class: ClientClass,
        now: Instant,
    ) -> Result<(ClientKey, Arc<Notify>), Exhausted> {
        while !self.has_place(class) {
            if !self.evict_for_place(class, now) {
                self.classes[class as usize].refused_connections += 1;
                return Err(Exhausted::Connections);
            }
        }
        let (key, wake) = self.insert(class, true, now);
        if let Err(error) = self.charge(key, CONNECTION_BYTES, now) {
            self.remove(key);
            self.classes[class as usize].refused_connections += 1;
            return Err(error);
        }
        Ok((key, wake))
    }

    /// Adds a client that holds nothing yet.
    pub(super) fn insert(
        &mut self,
        class: ClientClass,
        is_connection: bool,
        now: Instant,
    ) -> (ClientKey, Arc<Notify>) {
        let key = ClientKey(self.next);
        self.next += 1;
        let wake = Arc::new(Notify::new());
        let entry = Entry {
            class,
            is_connection,
            held: 0,
            phase: Phase::Idle,
            since: now,
            rate: Rate::new(now),
            known: false,
            sent_away: false,
            wake: wake.clone(),
        };
        self.classes[class as usize].open += usize::from(is_connection);
        self.entries.insert(key, entry);
        (key, wake)
    }

    /// Removes a client with everything that it holds.
    pub(super) fn remove(&mut self, key: ClientKey) {
        self.release(key, usize::MAX);
        if let Some(entry) = self.entries.remove(&key)
            && entry.is_connection
            && !entry.sent_away
        {
            self.classes[entry.class as usize].open -= 1;
        }
    }

    pub(super) fn charge(
        &mut self,
        key: ClientKey,
        bytes: usize,
        now: Instant,
    ) -> Result<(), Exhausted> {
        let Some(entry) = self.entries.get(&key) else { return Err(Exhausted::Memory) };
        let (class, held) = (entry.class, entry.held.saturating_add(bytes));
        // What a client that was sent away holds is counted as leaving.
        if entry.sent_away {
            return Err(Exhausted::Memory);
        }
        let kept = if held > SMALL_BYTES { self.bound(class) / SMALL_PART } else { 0 };
        let outcome = if held.saturating_add(kept) > self.bound(class) {
            Err(Exhausted::TooLarge)
        } else {
            self.make_room(key, class, bytes.saturating_add(kept), now)
        };
        if let (Ok(()), Some(entry)) = (&outcome, self.entries.get_mut(&key)) {
            entry.held = held;
            self.classes[class as usize].held += bytes;
        }
        outcome
    }

    pub(super) fn count_refusal(&mut self, key: ClientKey) {
        let class = self.class(key);
        self.classes[class as usize].refused_requests += 1;
    }

    fn make_room(
        &mut self,
        key: ClientKey,
        class: ClientClass,
        bytes: usize,
        now: Instant,
    ) -> Result<(), Exhausted> {
        while bytes > self.free(class) {
            let may_evict = self.leaving <= self.bounds.bytes / LEAVING_PART;
            // A connection that holds something besides itself is worth more than many idle ones.
            let rank = |other: ClientKey, entry: &Entry| {
                let holds = other != key && entry.class == class && entry.held > 0;
                holds.then_some(entry.is_connection && entry.held <= CONNECTION_BYTES)
            };
            if !may_evict || !self.evict(now, rank) {
                return Err(Exhausted::Memory);
            }
        }
        Ok(())
    }

    pub(super) fn release(&mut self, key: ClientKey, bytes: usize) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let bytes = bytes.min(entry.held);
        entry.held -= bytes;
        match entry.sent_away {
            true => self.leaving -= bytes,
            false => self.classes[entry.class as usize].held -= bytes,
        }
    }

    /// Begins a phase, if the client is in another one.
    pub(super) fn enter(&mut self, key: ClientKey, phase: Phase, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&key)
            && entry.phase != phase
        {
            entry.phase = phase;
            entry.since = now;
            entry.rate = Rate::new(now);
        }
    }

    pub(super) fn transferred(&mut self, key: ClientKey, bytes: usize, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.rate.add(bytes, now);
        }
    }

    pub(super) fn class(&self, key: ClientKey) -> ClientClass {
        self.entries.get(&key).map_or(ClientClass::Observers, |entry| entry.class)
    }

    pub(super) fn phase(&self, key: ClientKey) -> Phase {
        self.entries.get(&key).map_or(Phase::Idle, |entry| entry.phase)
    }

    pub(super) fn held(&self, key: ClientKey) -> usize {
        self.entries.get(&key).map_or(0, |entry| entry.held)
    }

    pub(super) fn set_known(&mut self, key: ClientKey) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.known = true;
        }
    }

    pub(super) fn is_sent_away(&self, key: ClientKey) -> bool {
        self.entries.get(&key).is_none_or(|entry| entry.sent_away)
    }

    /// Sends away the connections of a class that have exceeded a time limit.
    pub(super) fn expire(&mut self, class: ClientClass, timeouts: ClientTimeouts, now: Instant) {
        let late = |entry: &Entry| {
            let limit = match entry.phase {
                Phase::Idle => timeouts.idle,
                Phase::Head => timeouts.head,
                Phase::Unread => timeouts.unread,
                Phase::Body | Phase::Serving => return false,
            };
            let is_open = entry.class == class && entry.is_connection && !entry.sent_away;
            is_open && now.saturating_duration_since(entry.since) > limit
        };
        let late: Vec<ClientKey> =
            self.entries.iter().filter(|(_, entry)| late(entry)).map(|(key, _)| *key).collect();
        for key in late {
            self.classes[class as usize].timed_out += 1;
            self.send_away(key);
        }
    }

    /// Whether a connection of a class finds a place. Callers, runners and operators share theirs.
    fn has_place(&self, class: ClientClass) -> bool {
        let open = |class: ClientClass| self.classes[class as usize].open;
        let shared = open(ClientClass::Callers) + open(ClientClass::Control);
        let is_full = class.shares_places() && shared >= self.bounds.connections;
        !is_full && open(class) < self.bounds.classes[class as usize].connections
    }

    /// Most bytes that a class may hold while the others hold nothing.
    fn bound(&self, class: ClientClass) -> usize {
        let others = ClientClass::ALL.into_iter().filter(|other| *other != class);
        let reserved = others.map(|other| self.bounds.classes[other as usize].reserve);
        self.bounds.bytes.saturating_sub(reserved.sum())
    }

    /// Bytes that a class may still take.
    fn free(&self, class: ClientClass) -> usize {
        let taken = ClientClass::ALL.into_iter().map(|other| {
            let held = self.classes[other as usize].held;
            match other == class {
                true => held,
                false => held.max(self.bounds.classes[other as usize].reserve),
            }
        });
        self.bounds.bytes.saturating_sub(taken.sum())
    }

    fn evict_for_place(&mut self, class: ClientClass, now: Instant) -> bool {
        let own_full =
            self.classes[class as usize].open >= self.bounds.classes[class as usize].connections;
        self.evict(now, |_, entry| {
            let frees_place = match own_full {
                true => entry.class == class,
                false => entry.class.shares_places() == class.shares_places(),
            };
            (entry.is_connection && frees_place).then_some(())
        })
    }

    /// Sends away the slowest of the clients with the lowest rank; those without one stay.
    fn evict<F, R>(&mut self, now: Instant, rank: F) -> bool
    where
        F: Fn(ClientKey, &Entry) -> Option<R>,
        R: Ord,
    {
        let slow = self
            .entries
            .iter()
            .filter_map(|(key, entry)| Some((rank(*key, entry)?, entry.slowness(now)?, *key)));
        let Some((_, _, key)) = slow.min() else { return false };
        if let Some(entry) = self.entries.get(&key) {
            self.classes[entry.class as usize].gave_way += 1;
        }
        self.send_away(key);
        true
    }

    /// Tells a client to go. Its place and its bytes are free for others at once.
    fn send_away(&mut self, key: ClientKey) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        entry.sent_away = true;
        let usage = &mut self.classes[entry.class as usize];
        usage.held -= entry.held;
        usage.open -= usize::from(entry.is_connection);
        self.leaving += entry.held;
        entry.wake.notify_one();
    }
}
