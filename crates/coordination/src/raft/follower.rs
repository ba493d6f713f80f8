//! Follower: handles entries and snapshots of the leader.

use super::*;

impl Raft {
    pub(super) fn handle_append(
        &mut self,
        from: ReplicaId,
        (prev, prev_term): (u64, u64),
        entries: &[LogEntry],
        commit: u64,
        sent: Moment,
    ) {
        let reply = |raft: &Self, ok, index| Message::AppendReply {
            term: raft.hard.term,
            ok,
            index,
            echo: sent,
        };
        if self.installing {
            return;
        }
        let known = prev <= self.log.base() || self.log.term(prev) == Some(prev_term);
        if !known {
            let hint = self.log.before_conflict(prev);
            let message = reply(self, false, hint);
            return self.send(from, message);
        }
        let last = prev + entries.len() as u64;
        let mut index = prev;
        for (at, entry) in entries.iter().enumerate() {
            index += 1;
            if index <= self.log.base() || self.log.term(index) == Some(entry.term) {
                continue;
            }
            // This is the first entry that differs. It and all later ones were never committed, so
            // the leader's entries replace them.
            self.replace(index, entries[at..].to_vec());
            break;
        }
        self.commit = self.commit.max(commit.min(last));
        if entries.is_empty() {
            // The leader's lease needs to know that it was heard, also while a sync stalls here.
            let message = reply(self, true, last.min(self.stable));
            return self.send_after_hard_state(from, message);
        }
        let message = reply(self, true, last);
        self.send(from, message);
    }

    pub(super) fn replace(&mut self, first: u64, entries: Vec<LogEntry>) {
        debug_assert!(first > self.commit, "a committed entry would be replaced");
        self.log.truncate(first);
        self.stable = self.stable.min(first - 1);
        for (_, last) in &mut self.writing {
            *last = (*last).min(first - 1);
        }
        if self.members_index >= first {
            self.read_members();
        }
        for entry in &entries {
            self.push(entry.clone());
        }
        self.write(first, entries);
    }

    pub(super) fn push(&mut self, entry: LogEntry) {
        self.log.push(entry);
        let index = self.log.last();
        if let Some(LogEntry { payload: Payload::Members(members), .. }) = self.log.get(index) {
            self.members = members.clone();
            self.members_index = index;
        }
    }

    /// Reads the newest members from the log.
    pub(super) fn read_members(&mut self) {
        self.members = self.log.base_members().clone();
        self.members_index = self.log.base();
        for index in self.log.base() + 1..=self.log.last() {
            if let Some(LogEntry { payload: Payload::Members(members), .. }) = self.log.get(index) {
                self.members = members.clone();
                self.members_index = index;
            }
        }
    }

    pub(super) fn handle_chunk(
        &mut self,
        from: ReplicaId,
        meta: &SnapshotMeta,
        offset: u64,
        total: u64,
        data: &[u8],
        sent: Moment,
    ) {
        let term = self.hard.term;
        if self.installing || total > SNAPSHOT_MAX_BYTES as u64 {
            return;
        }
        if meta.index <= self.commit {
            // The follower has caught up through entries in the meantime.
            let ok = Message::AppendReply { term, ok: true, index: self.commit, echo: sent };
            return self.send(from, ok);
        }
        let fresh = self.incoming.as_ref().is_none_or(|incoming| incoming.meta != *meta);
        if fresh {
            self.incoming = Some(IncomingSnapshot { meta: meta.clone(), bytes: Vec::new() });
        }
        let Some(incoming) = &mut self.incoming else { return };
        let have = incoming.bytes.len() as u64;
        if offset == have {
            incoming.bytes.extend_from_slice(data);
        }
        let have = incoming.bytes.len() as u64;
        if have >= total {
            if let Some(IncomingSnapshot { meta, bytes }) = self.incoming.take() {
                self.installing = true;
                self.out.install = Some((meta, bytes));
            }
            return;
        }
        self.send(from, Message::ChunkReply { term, index: meta.index, offset: have, echo: sent });
    }

    /// Reports that the snapshot of the last [`Output::install`] is durable and in place, or `None`
    /// if it could not be read.
    pub fn installed(&mut self, meta: Option<SnapshotMeta>) {
        self.installing = false;
        let Some(meta) = meta else { return };
        if meta.index <= self.commit {
            return;
        }
        if self.log.term(meta.index) == Some(meta.term) {
            // Entries after the snapshot were acknowledged here and must stay.
            self.log.compact(meta.index);
        } else {
            self.log = MemoryLog::new(meta.index, meta.term, Vec::new());
            self.log.set_base_members(meta.members);
            self.stable = meta.index;
            self.writing.clear();
            self.write(meta.index + 1, Vec::new());
        }
        self.read_members();
        self.commit = meta.index;
        self.delivered = meta.index;
        if let Some(leader) = self.leader {
            let term = self.hard.term;
            let done =
                Message::AppendReply { term, ok: true, index: meta.index, echo: Moment::ZERO };
            self.send(leader, done);
        }
    }
}
