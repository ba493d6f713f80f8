//! Disk work of a replica: writes, snapshots and their completion. Also leadership transfer.

use super::*;

impl Replica {
    /// Returns the next operation for the disk thread, writes first.
    pub(crate) fn next_work(&mut self) -> Option<DiskTask> {
        if !self.writes.is_empty() {
            return Some(DiskTask::Write(std::mem::take(&mut self.writes)));
        }
        if let Some((meta, bytes)) = &self.install {
            return Some(DiskTask::Install { index: meta.index, bytes: bytes.clone() });
        }
        self.snapshot_due()
    }

    /// Handles the completion of a disk operation.
    pub(crate) fn did(&mut self, done: &DiskEvent) {
        match done {
            DiskEvent::Written { seq, counts } => {
                self.written = *seq;
                self.counts = *counts;
                self.raft.persisted(*seq, self.shared.clock.now());
            }
            DiskEvent::Compacted { index } => self.raft.compact(*index, RETAINED_LOG_ENTRIES),
            DiskEvent::Installed => self.installed(),
            DiskEvent::Failed(_) => {}
        }
        self.propose();
    }

    pub(super) fn installed(&mut self) {
        let Some((meta, bytes)) = self.install.take() else { return };
        match snapshot::decode(&bytes, "a snapshot of the leader") {
            Ok(found) => {
                log::info!("installed the leader's snapshot of record {}", meta.index);
                self.state = Some(found.state);
                self.applied = meta.index;
                self.raft.installed(Some(meta));
            }
            Err(error) => {
                log::error!("the leader's snapshot cannot be read: {error}");
                self.raft.installed(None);
            }
        }
    }

    pub(super) fn encode_snapshot(&self) -> Option<(SnapshotMeta, Vec<u8>)> {
        let state = match &self.leader {
            Some(leader) => leader.state(),
            None => self.state.as_ref()?,
        };
        let index = self.applied;
        let term = self.raft.term_at(index)?;
        let members = self.raft.members_at(index);
        let encoded = peer::encode(&members).ok()?;
        let meta = Meta { index, term, members: encoded.into() };
        match snapshot::encode(&meta, state) {
            Ok(bytes) => Some((SnapshotMeta { index, term, members }, bytes)),
            Err(error) => {
                log::error!("the snapshot cannot be encoded: {error}");
                None
            }
        }
    }

    pub(super) fn snapshot_due(&mut self) -> Option<DiskTask> {
        let records = self.counts.records - self.snapshot_at.records;
        let bytes = self.counts.bytes - self.snapshot_at.bytes;
        if records < SNAPSHOT_RECORDS && bytes < SNAPSHOT_BYTES {
            return None;
        }
        self.snapshot_at = self.counts;
        let (meta, bytes) = self.encode_snapshot()?;
        Some(DiskTask::Compact { index: meta.index, bytes })
    }

    pub(super) fn offer_snapshot(&mut self, to: ReplicaId) {
        if let Some((meta, bytes)) = self.encode_snapshot() {
            log::info!("sending replica {to} a snapshot of record {}", meta.index);
            self.raft.offer_snapshot(self.shared.clock.now(), to, meta, bytes.into());
            self.pump();
        }
    }

    /// Asks another voter to take over the leadership before a planned stop.
    pub(crate) fn transfer_leadership(&mut self) -> bool {
        let asked = self.raft.transfer_leadership();
        self.pump();
        asked
    }

    /// Whether this replica is the leader, with or without a lease.
    pub(crate) fn is_leader(&self) -> bool {
        self.raft.role() == Role::Leader
    }
}
