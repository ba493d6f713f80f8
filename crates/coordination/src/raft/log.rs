//! The part of the log that is in memory: the entries after the last snapshot, and some before
//! it.

use super::{APPEND_BYTES, APPEND_ENTRIES, Members};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::Arc;

/// Payload of a log entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// No payload: the first entry of a new leader.
    Empty,
    /// New members, in effect as soon as they are in the log.
    Members(Members),
    /// An encoded command of the state machine.
    Command(Arc<[u8]>),
}

/// An entry with the term of the leader that created it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The leader's term.
    pub term: u64,
    /// Its payload.
    pub payload: Payload,
}

impl LogEntry {
    /// Approximate size in bytes.
    pub(super) fn size(&self) -> usize {
        const OVERHEAD: usize = 32;
        match &self.payload {
            Payload::Empty => OVERHEAD,
            Payload::Members(members) => OVERHEAD + members.all().count() * 100,
            Payload::Command(bytes) => OVERHEAD + bytes.len(),
        }
    }
}

/// Entries after a base index; everything up to the base is covered by a snapshot.
pub(super) struct MemoryLog {
    base: u64,
    base_term: u64,
    base_members: Members,
    entries: VecDeque<LogEntry>,
}

impl MemoryLog {
    pub(super) fn new(base: u64, base_term: u64, entries: Vec<LogEntry>) -> Self {
        Self { base, base_term, base_members: Members::default(), entries: entries.into() }
    }

    pub(super) fn base(&self) -> u64 {
        self.base
    }

    pub(super) fn base_members(&self) -> &Members {
        &self.base_members
    }

    pub(super) fn set_base_members(&mut self, members: Members) {
        self.base_members = members;
    }

    pub(super) fn last(&self) -> u64 {
        self.base + self.entries.len() as u64
    }

    /// The last index and its term.
    pub(super) fn tail(&self) -> (u64, u64) {
        (self.last(), self.entries.back().map_or(self.base_term, |entry| entry.term))
    }

    fn offset(&self, index: u64) -> Option<usize> {
        let offset = index.checked_sub(self.base + 1)?;
        usize::try_from(offset).ok().filter(|at| *at < self.entries.len())
    }

    pub(super) fn get(&self, index: u64) -> Option<&LogEntry> {
        self.entries.get(self.offset(index)?)
    }

    pub(super) fn term(&self, index: u64) -> Option<u64> {
        match index == self.base {
            true => Some(self.base_term),
            false => self.get(index).map(|entry| entry.term),
        }
    }

    pub(super) fn push(&mut self, entry: LogEntry) {
        self.entries.push_back(entry);
    }

    /// Removes `first` and all later entries.
    pub(super) fn truncate(&mut self, first: u64) {
        let keep = first.saturating_sub(self.base + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// The entries from `first` on that fit into one message.
    pub(super) fn slice(&self, first: u64) -> Vec<LogEntry> {
        let Some(start) = self.offset(first) else { return Vec::new() };
        let mut bytes = 0;
        let mut slice = Vec::new();
        for entry in self.entries.iter().skip(start).take(APPEND_ENTRIES) {
            bytes += entry.size();
            if bytes > APPEND_BYTES && !slice.is_empty() {
                break;
            }
            slice.push(entry.clone());
        }
        slice
    }

    /// The index that a leader should try next after `prev` did not match: the one before all
    /// entries of the conflicting term.
    pub(super) fn before_conflict(&self, prev: u64) -> u64 {
        if prev > self.last() {
            return self.last();
        }
        let Some(term) = self.term(prev) else { return self.base };
        let mut index = prev;
        while index > self.base && self.term(index) == Some(term) {
            index -= 1;
        }
        index
    }

    pub(super) fn members_at(&self, index: u64) -> Members {
        let mut members = &self.base_members;
        for at in self.base + 1..=index.min(self.last()) {
            if let Some(LogEntry { payload: Payload::Members(found), .. }) = self.get(at) {
                members = found;
            }
        }
        members.clone()
    }

    /// First index before `index` such that the entries after it are at most `entries` and have at
    /// most `bytes`.
    pub(super) fn retained_from(&self, index: u64, entries: u64, bytes: usize) -> u64 {
        let (mut base, mut size) = (index, 0);
        while base > self.base && index - base < entries {
            size += self.get(base).map_or(0, LogEntry::size);
            if size > bytes {
                break;
            }
            base -= 1;
        }
        base
    }

    /// Removes all entries up to `index`.
    pub(super) fn compact(&mut self, index: u64) {
        let index = index.min(self.last());
        if index <= self.base {
            return;
        }
        let members = self.members_at(index);
        let term = self.term(index).unwrap_or(self.base_term);
        let count = usize::try_from(index - self.base).unwrap_or(usize::MAX);
        self.entries.drain(..count.min(self.entries.len()));
        self.base = index;
        self.base_term = term;
        self.base_members = members;
    }
}
