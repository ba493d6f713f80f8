//! The request ledger: the status of each at-most-once request, by service and
//! idempotency key. Its entries are bounded by age and by bytes.

use crate::command::RequestBegin;
use crate::document::Digest;
use crate::id::Name;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Time after its start for which a request is kept, in milliseconds: one day.
pub const KEEP_MS: u64 = 24 * 60 * 60 * 1000;
/// Maximum size of all entries, in bytes.
pub const KEEP_BYTES: usize = 64 * 1024 * 1024;
/// Maximum size of a response body that is kept, in bytes.
pub const ANSWER_MAX: usize = 256 * 1024;
/// Bytes that are counted for an entry in addition to its key and response.
const ENTRY_OVERHEAD: usize = 160;

/// A service and the idempotency key that a caller chose for one request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey {
    /// The service that the request is for.
    pub service: Name,
    /// Value of the caller's `Idempotency-Key` header.
    pub key: Box<str>,
}

/// A header of a stored response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name in lower case.
    pub name: Box<str>,
    /// Value as sent.
    pub value: Box<[u8]>,
}

/// A whole HTTP response, kept for replay under its idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Box<[Header]>,
    /// Whole body.
    pub body: Box<[u8]>,
}

/// The recorded status of a request that was allowed to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fate {
    /// The request is running, at the latest until `until_ms`; later its outcome is unknown.
    Running {
        /// Latest end of the request, in Unix milliseconds.
        until_ms: u64,
    },
    /// The request ran, with this response.
    Answered(StoredResponse),
    /// The request ran, but its response was too large to keep.
    AnsweredTooLarge,
    /// The request may have run; its response is lost.
    Unknown,
}

/// The ledger's decision on a caller's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The request is the first with its key and may run now.
    Go,
    /// The same request is running.
    Running,
    /// The request ran, with this response.
    Answered(StoredResponse),
    /// The request ran, but its response was too large to keep.
    AnsweredTooLarge,
    /// The request may have run.
    Unknown,
    /// The key was used for a different request.
    KeyReused,
    /// The ledger is full; the request did not run.
    Full,
}

/// How a request that was allowed to run ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestOutcome {
    /// With a whole response.
    Answered(StoredResponse),
    /// With a response over [`ANSWER_MAX`].
    AnsweredTooLarge,
    /// Without having run, which is certain; its key may be used again.
    NotRun,
    /// With an unknown outcome: the request may have run.
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

/// The table of recorded requests.
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
    /// Size of all entries in bytes, as counted against [`KEEP_BYTES`].
    ///
    /// ```
    /// assert_eq!(yuccalink_state::ledger::Ledger::default().bytes(), 0);
    /// ```
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of recorded requests.
    ///
    /// ```
    /// assert_eq!(yuccalink_state::ledger::Ledger::default().len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request is recorded.
    ///
    /// ```
    /// assert!(yuccalink_state::ledger::Ledger::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records that a request is about to run, or returns the status of the first
    /// request with its key.
    pub(crate) fn begin(&mut self, begin: &RequestBegin) -> Verdict {
        let RequestBegin { key, digest, attempt, at_ms: now_ms, until_ms } = begin;
        let (digest, attempt, now_ms, until_ms) = (*digest, *attempt, *now_ms, *until_ms);
        self.forget_old(now_ms);
        if let Some(entry) = self.entries.get(key) {
            return entry.verdict(digest, attempt, now_ms);
        }
        let fate = Fate::Running { until_ms };
        // Reserves space for the largest response, so that the ledger is never too
        // full to keep the response of a request that ran.
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

    /// Records how a request ended; only the first outcome counts.
    pub(crate) fn finish(&mut self, key: &RequestKey, attempt: u64, ended: RequestOutcome) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        // A resend through another entry VM that was not sent ends as "not run", which
        // is true of its own attempt only. Freeing the key while the first attempt is
        // running would let the request run twice.
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
            // The entry VM lost the leader's first verdict and asks again for the same
            // attempt. It has not sent the request yet, so it may send it now.
            Fate::Running { .. } if attempt == self.attempt => Verdict::Go,
            Fate::Running { until_ms } if now_ms > *until_ms => Verdict::Unknown,
            Fate::Running { .. } => Verdict::Running,
            Fate::Answered(answer) => Verdict::Answered(answer.clone()),
            Fate::AnsweredTooLarge => Verdict::AnsweredTooLarge,
            Fate::Unknown => Verdict::Unknown,
        }
    }
}
