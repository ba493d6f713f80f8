//! The request ledger: the status of each at-most-once request, by service and
//! idempotency key. Its entries are bounded by age and by bytes.

use crate::command::RequestBegin;
use crate::document::Digest;
use crate::id::Name;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Time for which a request is kept after its start, in milliseconds: one day.
pub const RETENTION_MS: u64 = 24 * 60 * 60 * 1000;
/// Maximum size of all entries, in bytes.
pub const RETAINED_BYTES_MAX: usize = 64 * 1024 * 1024;
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
pub enum RequestStatus {
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
    /// The request ran, with this response.
    Answered(StoredResponse),
    /// The request ran, with a response over [`ANSWER_MAX`].
    AnsweredTooLarge,
    /// The request certainly did not run; its key may be used again.
    NotRun,
    /// The request may have run.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LedgerEntry {
    digest: Digest,
    attempt: u64,
    #[serde(rename = "fate")]
    status: RequestStatus,
    serial: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct StartedRequest {
    serial: u64,
    at_ms: u64,
    key: RequestKey,
}

/// The table of recorded requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    entries: BTreeMap<RequestKey, LedgerEntry>,
    by_age: VecDeque<StartedRequest>,
    bytes: usize,
    serial: u64,
}

fn entry_size(key: &RequestKey, status: &RequestStatus) -> usize {
    let response_size = match status {
        RequestStatus::Answered(response) => {
            let headers: usize =
                response.headers.iter().map(|h| h.name.len() + h.value.len() + 32).sum();
            response.body.len() + headers
        }
        RequestStatus::Running { .. }
        | RequestStatus::AnsweredTooLarge
        | RequestStatus::Unknown => 0,
    };
    ENTRY_OVERHEAD + 2 * (key.key.len() + key.service.as_str().len()) + response_size
}

impl Ledger {
    /// Size of all entries in bytes, as counted against [`RETAINED_BYTES_MAX`].
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
        self.remove_expired(now_ms);
        if let Some(entry) = self.entries.get(key) {
            return entry.verdict(digest, attempt, now_ms);
        }
        let status = RequestStatus::Running { until_ms };
        // Reserves space for the largest response, so that the ledger is never too
        // full to keep the response of a request that ran.
        let cost = entry_size(key, &status);
        if self.bytes + cost + ANSWER_MAX > RETAINED_BYTES_MAX {
            return Verdict::Full;
        }
        self.serial += 1;
        self.bytes += cost;
        let serial = self.serial;
        self.by_age.push_back(StartedRequest { serial, at_ms: now_ms, key: key.clone() });
        self.entries.insert(key.clone(), LedgerEntry { digest, attempt, status, serial });
        Verdict::Go
    }

    /// Records how a request ended; only the first outcome counts.
    pub(crate) fn finish(&mut self, key: &RequestKey, attempt: u64, ended: RequestOutcome) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        // A resend through another entry VM that was not sent ends as "not run", which
        // is true of its own attempt only. Freeing the key while the first attempt is
        // running would let the request run twice.
        if entry.attempt != attempt || !matches!(entry.status, RequestStatus::Running { .. }) {
            return;
        }
        let before = entry_size(key, &entry.status);
        match ended {
            RequestOutcome::NotRun => {
                self.entries.remove(key);
                self.bytes -= before;
                return;
            }
            RequestOutcome::Answered(response) if response.body.len() <= ANSWER_MAX => {
                entry.status = RequestStatus::Answered(response);
            }
            RequestOutcome::Answered(_) | RequestOutcome::AnsweredTooLarge => {
                entry.status = RequestStatus::AnsweredTooLarge
            }
            RequestOutcome::Unknown => entry.status = RequestStatus::Unknown,
        }
        self.bytes = self.bytes - before + entry_size(key, &entry.status);
    }

    fn remove_expired(&mut self, now_ms: u64) {
        while let Some(begun) = self.by_age.front() {
            if now_ms.saturating_sub(begun.at_ms) <= RETENTION_MS {
                return;
            }
            let Some(begun) = self.by_age.pop_front() else { return };
            let is_current = self.entries.get(&begun.key).is_some_and(|e| e.serial == begun.serial);
            if is_current && let Some(entry) = self.entries.remove(&begun.key) {
                self.bytes -= entry_size(&begun.key, &entry.status);
            }
        }
    }
}

impl LedgerEntry {
    fn verdict(&self, digest: Digest, attempt: u64, now_ms: u64) -> Verdict {
        if self.digest != digest {
            return Verdict::KeyReused;
        }
        match &self.status {
            // The entry VM lost the leader's first verdict and asks again for the same
            // attempt. It has not sent the request yet, so it may send it now.
            RequestStatus::Running { .. } if attempt == self.attempt => Verdict::Go,
            RequestStatus::Running { until_ms } if now_ms > *until_ms => Verdict::Unknown,
            RequestStatus::Running { .. } => Verdict::Running,
            RequestStatus::Answered(response) => Verdict::Answered(response.clone()),
            RequestStatus::AnsweredTooLarge => Verdict::AnsweredTooLarge,
            RequestStatus::Unknown => Verdict::Unknown,
        }
    }
}
