//! Disk tasks of a replica: writes, snapshots and their completion. Also leadership transfer.

use super::*;

impl Replica {
    /// Returns the next disk task; writes come first.
    pub(crate) fn next_disk_task(&mut self) -> Option<DiskTask> {
        if !self.pending_writes.is_empty() {
            return Some(DiskTask::Write(std::mem::take(&mut self.pending_writes)));
        }
        if let Some((meta, bytes)) = &self.pending_install {
            return Some(DiskTask::Install { index: meta.index, bytes: bytes.clone() });
        }
        self.snapshot_due()
    }

    /// Handles the completion of a disk task.
    pub(crate) fn handle_disk_event(&mut self, event: &DiskEvent) {
        match event {
            DiskEvent::Written { seq, counts } => {
                self.persisted_seq = *seq;
                self.log_counters = *counts;
                self.raft.persisted(*seq, self.shared.clock.now());
            }
            DiskEvent::Compacted { index } => self.raft.compact(*index, RETAINED_LOG_ENTRIES),
            DiskEvent::Installed => self.finish_install(),
            DiskEvent::ReserveFilled | DiskEvent::NoSpace { .. } | DiskEvent::Failed(_) => {}
        }
        self.propose();
    }

    pub(super) fn finish_install(&mut self) {
        let Some((meta, bytes)) = self.pending_install.take() else { return };
        match snapshot::decode(&bytes, "a snapshot of the leader") {
            Ok(found) => {
                log::info!("installed the leader's snapshot up to record {}", meta.index);
                self.state = Some(found.state);
                self.applied_index = meta.index;
                self.raft.installed(Some(meta));
            }
            Err(error) => {
                log::error!("cannot decode the leader's snapshot: {error}");
                self.raft.installed(None);
            }
        }
    }

    pub(super) fn encode_snapshot(&self) -> Option<(SnapshotMeta, Vec<u8>)> {
        let state = match &self.leader {
            Some(leader) => leader.state(),
            None => self.state.as_ref()?,
        };
        let index = self.applied_index;
        let term = self.raft.term_at(index)?;
        let members = self.raft.members_at(index);
        let encoded = peer::encode(&members).ok()?;
        let meta = Meta { index, term, members: encoded.into() };
        match snapshot::encode(&meta, state) {
            Ok(bytes) => Some((SnapshotMeta { index, term, members }, bytes)),
            Err(error) => {
                log::error!("cannot encode a snapshot: {error}");
                None
            }
        }
    }

    pub(super) fn snapshot_due(&mut self) -> Option<DiskTask> {
        let records = self.log_counters.records - self.counters_at_snapshot.records;
        let bytes = self.log_counters.bytes - self.counters_at_snapshot.bytes;
        if records < SNAPSHOT_AFTER_RECORDS && bytes < SNAPSHOT_AFTER_BYTES {
            return None;
        }
        self.counters_at_snapshot = self.log_counters;
        let (meta, bytes) = self.encode_snapshot()?;
        Some(DiskTask::Compact { index: meta.index, bytes })
    }

    pub(super) fn offer_snapshot(&mut self, to: ReplicaId) {
        if let Some((meta, bytes)) = self.encode_snapshot() {
            log::info!("sending replica {to} a snapshot up to record {}", meta.index);
            self.raft.offer_snapshot(self.shared.clock.now(), to, meta, bytes.into());
            self.process_raft_output();
        }
    }

    /// Begins to hand the leadership to another voter before a planned stop; false if this
    /// replica does not lead or is the only voter.
    pub(crate) fn begin_handover(&mut self) -> bool {
        self.handover = Handover::begin(self.shared.clock.now(), &self.raft);
        self.handover.is_some()
    }

    /// Advances the hand-over; see [`Handover::advance`].
    pub(crate) fn advance_handover(&mut self) -> HandoverStatus {
        let now = self.shared.clock.now();
        let Some(handover) = &mut self.handover else { return HandoverStatus::Done };
        let status = handover.advance(now, &mut self.raft);
        self.process_raft_output();
        status
    }
}
