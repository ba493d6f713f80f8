//! Leader: proposals, membership changes and replication to followers.

use super::*;

impl Raft {
    /// Proposes commands; returns the index of the first one.
    ///
    /// # Errors
    /// [`NotProposed::NotLeader`] if this replica does not lead, or not yet with an entry committed
    /// in its term.
    pub fn propose(&mut self, now: Moment, commands: Vec<Arc<[u8]>>) -> Result<u64, NotProposed> {
        if !self.has_committed_in_term() {
            return Err(NotProposed::NotLeader);
        }
        let first = self.log.last() + 1;
        self.append(commands.into_iter().map(Payload::Command).collect());
        self.send_all(now, false);
        Ok(first)
    }

    /// Proposes the next members; the voters may differ by at most one.
    ///
    /// # Errors
    /// [`NotProposed::Busy`] while an earlier change is not committed.
    pub fn change_members(&mut self, now: Moment, members: Members) -> Result<(), NotProposed> {
        if !self.has_committed_in_term() {
            return Err(NotProposed::NotLeader);
        }
        // Two concurrent changes could produce two disjoint quorums.
        if self.members_index > self.commit || !is_single_change(&self.members, &members) {
            return Err(NotProposed::Busy);
        }
        self.append(vec![Payload::Members(members)]);
        self.sync_progress(now);
        self.send_all(now, false);
        self.advance_commit();
        Ok(())
    }

    /// Asks an up-to-date voter to take over before a planned stop, so that the others need not
    /// wait for an election timeout. Returns false if no voter is ready. From then on this leader
    /// grants no leases until it is elected again: the election that it requested may come late and
    /// does not wait for leases.
    pub fn transfer_leadership(&mut self) -> bool {
        if !self.has_committed_in_term() {
            return false;
        }
        let last = self.log.last();
        let ready = |(id, progress): &(&ReplicaId, &Progress)| {
            progress.matched == last && self.members.is_voter(**id)
        };
        let best = self.progress.iter().filter(ready).max_by_key(|(_, p)| p.last_heard);
        let Some((to, _)) = best else { return false };
        let to = *to;
        self.transferring_leadership = true;
        self.send_now(to, Message::TakeOver { term: self.hard.term });
        true
    }

    /// Whether entries of this replica's log are not durable on its own disk yet.
    pub fn lacks_synced_entries(&self) -> bool {
        self.stable < self.log.last()
    }

    /// Whether a learner has all but the newest entries.
    pub fn is_caught_up(&self, id: ReplicaId) -> bool {
        self.progress.get(&id).is_some_and(|p| p.matched + CAUGHT_UP_ENTRIES >= self.log.last())
    }

    /// When this leader last heard from a member.
    pub fn last_heard(&self, id: ReplicaId) -> Option<Moment> {
        self.progress.get(&id).map(|progress| progress.last_heard)
    }

    pub(super) fn append(&mut self, payloads: Vec<Payload>) {
        let first = self.log.last() + 1;
        let term = self.hard.term;
        let entries: Vec<LogEntry> =
            payloads.into_iter().map(|payload| LogEntry { term, payload }).collect();
        for entry in &entries {
            self.push(entry.clone());
        }
        self.write(first, entries);
    }

    pub(super) fn write(&mut self, first: u64, entries: Vec<LogEntry>) {
        self.seq += 1;
        if self.hard != self.hard_of_last_write {
            self.hard_of_last_write = self.hard;
            self.hard_seq = self.seq;
        }
        self.writing.push_back((self.seq, self.log.last()));
        self.out.persist.push(LogWrite { seq: self.seq, hard: self.hard, first, entries });
    }

    /// Records that the disk has confirmed all writes up to `seq`.
    pub fn persisted(&mut self, seq: u64, now: Moment) {
        self.written = self.written.max(seq);
        while let Some((at, last)) = self.writing.front().copied() {
            if at > seq {
                break;
            }
            self.writing.pop_front();
            self.stable = self.stable.max(last).min(self.log.last());
        }
        match self.role {
            Role::Candidate if self.written == self.seq => self.record_vote(now, self.id),
            Role::Leader => self.advance_commit(),
            _ => {}
        }
        // The timer may have run out while the disk was behind. The votes that waited for the
        // other disks are on their way now.
        if self.role != Role::Leader && self.written == self.seq && now >= self.election_at {
            self.reset_election_timer(now);
        }
    }

    pub(super) fn send(&mut self, to: ReplicaId, message: Message) {
        let envelope = Envelope { from: self.id, to, message };
        // Every message of this replica may depend on the newest write that it has queued.
        self.out.messages.push((self.seq, envelope));
    }

    /// Sends a message that depends on the hard state alone.
    pub(super) fn send_after_hard_state(&mut self, to: ReplicaId, message: Message) {
        let envelope = Envelope { from: self.id, to, message };
        self.out.messages.push((self.hard_seq, envelope));
    }

    /// Sends a message that does not depend on this replica's own disk.
    pub(super) fn send_now(&mut self, to: ReplicaId, message: Message) {
        let envelope = Envelope { from: self.id, to, message };
        self.out.messages.push((0, envelope));
    }

    pub(super) fn send_all(&mut self, now: Moment, heartbeat: bool) {
        let ids: Vec<ReplicaId> = self.progress.keys().copied().collect();
        for id in ids {
            self.send_to(now, id, heartbeat);
        }
    }

    pub(super) fn send_to(&mut self, now: Moment, to: ReplicaId, heartbeat: bool) {
        let Some(progress) = self.progress.get_mut(&to) else { return };
        match &mut progress.sending {
            Sending::Snapshot { requested: false, .. } => {
                self.out.need_snapshot.push(to);
                if let Sending::Snapshot { requested, .. } = &mut progress.sending {
                    *requested = true;
                }
                self.send_empty_append(now, to);
            }
            Sending::Snapshot { .. } => {
                if heartbeat {
                    self.send_empty_append(now, to);
                }
            }
            Sending::Entries => self.send_entries(now, to, heartbeat),
        }
    }

    /// Sends an empty append, so that a follower that is receiving a snapshot starts no election.
    pub(super) fn send_empty_append(&mut self, now: Moment, to: ReplicaId) {
        let base = self.log.base();
        let message = Message::Append {
            term: self.hard.term,
            prev: base,
            prev_term: self.log.term(base).unwrap_or(0),
            entries: Vec::new(),
            commit: 0,
            sent: now,
        };
        self.send_now(to, message);
    }

    pub(super) fn send_entries(&mut self, now: Moment, to: ReplicaId, heartbeat: bool) {
        let mut sent_any = false;
        loop {
            let Some(progress) = self.progress.get_mut(&to) else { return };
            let prev = progress.next - 1;
            let Some(prev_term) = self.log.term(prev) else {
                progress.sending = Sending::Snapshot { requested: true, bytes: None };
                self.out.need_snapshot.push(to);
                return self.send_empty_append(now, to);
            };
            let full = progress.in_flight >= progress.window();
            let more = progress.next <= self.log.last() && !full;
            if !more && (sent_any || !heartbeat) {
                return;
            }
            let entries = if more { self.log.slice(progress.next) } else { Vec::new() };
            if !entries.is_empty() {
                progress.in_flight += 1;
                progress.next += entries.len() as u64;
            }
            sent_any = true;
            let message = Message::Append {
                term: self.hard.term,
                prev,
                prev_term,
                entries,
                commit: self.commit,
                sent: now,
            };
            self.send_now(to, message);
        }
    }

    pub(super) fn handle_append_reply(
        &mut self,
        now: Moment,
        from: ReplicaId,
        ok: bool,
        index: u64,
        echo: Moment,
    ) {
        let last = self.log.last();
        let Some(progress) = self.progress.get_mut(&from) else { return };
        progress.record_response(now, echo);
        if ok {
            let index = index.min(last);
            progress.record_match(index);
            if let Sending::Snapshot { bytes, .. } = &progress.sending {
                let offered = bytes.as_ref().map(|(meta, _)| meta.index);
                if index >= self.log.base() {
                    progress.sending = Sending::Entries;
                    progress.next = index + 1;
                } else if offered.is_some_and(|offered| index >= offered) {
                    // The entries after the snapshot were compacted while it was sent.
                    progress.sending = Sending::Snapshot { requested: false, bytes: None };
                }
            }
            self.advance_commit();
        } else {
            progress.record_mismatch(index);
        }
        self.send_to(now, from, false);
    }

    pub(super) fn advance_commit(&mut self) {
        let reached = |voter: &Member| match voter.id == self.id {
            true => self.stable,
            false => self.progress.get(&voter.id).map_or(0, |p| p.matched),
        };
        let mut all: Vec<u64> = self.members.voters.iter().map(reached).collect();
        all.sort_by(|a, b| b.cmp(a));
        let Some(index) = all.get(self.members.quorum() - 1).copied() else { return };
        if index > self.commit && self.log.term(index) == Some(self.hard.term) {
            self.commit = index;
        }
    }
}
