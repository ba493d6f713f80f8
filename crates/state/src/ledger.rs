//! The request ledger: what is known of each request that must run at most
//! once, keyed by service and idempotency key. Bounded by age and by bytes.

use crate::command::RequestBegin;
use crate::document::Digest;
use crate::id::Name;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Longest time an outcome is kept, in milliseconds: one day.
pub const KEEP_MS: u64 = 24 * 60 * 60 * 1000;
/// Most bytes that all kept outcomes may take.
pub const KEEP_BYTES: usize = 64 * 1024 * 1024;
/// Largest answer body that is kept, in bytes.
pub const ANSWER_MAX: usize = 256 * 1024;
/// Bytes counted for an entry besides its key and answer.
const ENTRY_OVERHEAD: usize = 160;

/// A service and the key that a caller chose for one request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey {
    /// The service asked.
    pub service: Name,
    /// The caller's `Idempotency-Key`.
    pub key: Box<str>,
}

/// One kept header of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Lower-case name.
    pub name: Box<str>,
    /// Value as sent.
    pub value: Box<[u8]>,
}

/// A whole answer, kept to be given again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Box<[Header]>,
    /// The whole body.
    pub body: Box<[u8]>,
}

/// What is known of a request that was let go.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fate {
    /// Under way, at the latest until `until_ms`; after that nobody knows.
    Running {
        /// Unix milliseconds.
        until_ms: u64,
    },
    /// It ran and this was its answer.
    Answered(StoredResponse),
    /// It ran, but its answer was too large to keep.
    AnsweredTooLarge,
    /// It may have run; its answer is lost.
    Unknown,
}

/// What a caller's request is told by the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// First of its key: it may run now.
    Go,
    /// The same request is under way.
    Running,
    /// It ran; its answer again.
    Answered(StoredResponse),
    /// It ran; its answer was too large to keep.
    AnsweredTooLarge,
    /// It may have run.
    Unknown,
    /// The key was used for a different request.
    KeyReused,
    /// The ledger is full; the request did not run.
    Full,
}

/// How a request that was let go ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestOutcome {
    /// With a whole answer.
    Answered(StoredResponse),
    /// With an answer over [`ANSWER_MAX`].
    AnsweredTooLarge,
    /// It surely did not run; its key is free again.
    NotRun,
    /// Nobody knows.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    digest: Digest,
    attempt: u64,
    fate: Fate,
    serial: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Begun {
    serial: u64,
    at_ms: u64,
    key: RequestKey,
}

/// All kept requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    entries: BTreeMap<RequestKey, Entry>,
    by_age: VecDeque<Begun>,
    bytes: usize,
    serial: u64,
}

fn size(key: &RequestKey, fate: &Fate) -> usize {
    let answer = match fate {
        Fate::Answered(answer) => {
            let headers: usize =
                answer.headers.iter().map(|h| h.name.len() + h.value.len() + 32).sum();
            answer.body.len() + headers
        }
        Fate::Running { .. } | Fate::AnsweredTooLarge | Fate::Unknown => 0,
    };
    ENTRY_OVERHEAD + 2 * (key.key.len() + key.service.as_str().len()) + answer
}

impl Ledger {
    /// Bytes that the kept requests take, as counted against [`KEEP_BYTES`].
    ///
    /// ```
    /// assert_eq!(yuccalink_state::ledger::Ledger::default().bytes(), 0);
    /// ```
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// How many requests are kept.
    ///
    /// ```
    /// assert_eq!(yuccalink_state::ledger::Ledger::default().len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is kept.
    ///
    /// ```
    /// assert!(yuccalink_state::ledger::Ledger::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records the intent to run a request, or says what became of the first of its key.
    pub(crate) fn begin(&mut self, begin: &RequestBegin) -> Verdict {
        let RequestBegin { key, digest, attempt, at_ms: now_ms, until_ms } = begin;
        let (digest, attempt, now_ms, until_ms) = (*digest, *attempt, *now_ms, *until_ms);
        self.forget_old(now_ms);
        if let Some(entry) = self.entries.get(key) {
            return entry.verdict(digest, attempt, now_ms);
        }
        let fate = Fate::Running { until_ms };
        // Room for the largest answer is set aside now: a request that ran must
        // never find the ledger full when its answer is to be kept.
        let cost = size(key, &fate);
        if self.bytes + cost + ANSWER_MAX > KEEP_BYTES {
            return Verdict::Full;
        }
        self.serial += 1;
        self.bytes += cost;
        let serial = self.serial;
        self.by_age.push_back(Begun { serial, at_ms: now_ms, key: key.clone() });
        self.entries.insert(key.clone(), Entry { digest, attempt, fate, serial });
        Verdict::Go
    }

    /// Records how a request ended; only the first ending counts.
    pub(crate) fn finish(&mut self, key: &RequestKey, attempt: u64, ended: RequestOutcome) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        // A resend through another entry that came to nothing says "not run" of its
        // own attempt only: freeing the key of the one under way would let it run twice.
        if entry.attempt != attempt || !matches!(entry.fate, Fate::Running { .. }) {
            return;
        }
        let before = size(key, &entry.fate);
        match ended {
            RequestOutcome::NotRun => {
                self.entries.remove(key);
                self.bytes -= before;
                return;
            }
            RequestOutcome::Answered(answer) if answer.body.len() <= ANSWER_MAX => {
                entry.fate = Fate::Answered(answer);
            }
            RequestOutcome::Answered(_) | RequestOutcome::AnsweredTooLarge => {
                entry.fate = Fate::AnsweredTooLarge
            }
            RequestOutcome::Unknown => entry.fate = Fate::Unknown,
        }
        self.bytes = self.bytes - before + size(key, &entry.fate);
    }

    fn forget_old(&mut self, now_ms: u64) {
        while let Some(begun) = self.by_age.front() {
            if now_ms.saturating_sub(begun.at_ms) <= KEEP_MS {
                return;
            }
            let Some(begun) = self.by_age.pop_front() else { return };
            let same = self.entries.get(&begun.key).is_some_and(|e| e.serial == begun.serial);
            if same && let Some(entry) = self.entries.remove(&begun.key) {
                self.bytes -= size(&begun.key, &entry.fate);
            }
        }
    }
}

impl Entry {
    fn verdict(&self, digest: Digest, attempt: u64, now_ms: u64) -> Verdict {
        if self.digest != digest {
            return Verdict::KeyReused;
        }
        match &self.fate {
            // The entry lost the answer to its first asking and asks again: it has
            // sent nothing yet, so its own intent must not stand in its way.
            Fate::Running { .. } if attempt == self.attempt => Verdict::Go,
            Fate::Running { until_ms } if now_ms > *until_ms => Verdict::Unknown,
            Fate::Running { .. } => Verdict::Running,
            Fate::Answered(answer) => Verdict::Answered(answer.clone()),
            Fate::AnsweredTooLarge => Verdict::AnsweredTooLarge,
            Fate::Unknown => Verdict::Unknown,
        }
    }
}
