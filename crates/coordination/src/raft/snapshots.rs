//! Sends snapshots to followers that are too far behind.

use super::*;

impl Raft {
    /// Responds to [`Output::need_snapshot`] with the state after an applied entry.
    pub fn offer_snapshot(
        &mut self,
        now: Moment,
        to: ReplicaId,
        meta: SnapshotMeta,
        bytes: Arc<[u8]>,
    ) {
        if let Some(progress) = self.progress.get_mut(&to) {
            progress.sending =
                Sending::Snapshot { requested: true, bytes: Some((Box::new(meta), bytes)) };
            progress.offset = 0;
            progress.offset_changed_at = now;
            self.send_chunk(now, to, 0);
        }
    }

    /// The members after the applied entry `index`, for a snapshot at that index.
    pub fn members_at(&self, index: u64) -> Members {
        self.log.members_at(index)
    }

    /// Removes entries that a durable snapshot at `index` contains, except the last `keep`, which
    /// serve followers that are slightly behind; see [`RETAINED_LOG_ENTRIES`] and
    /// [`RETAINED_LOG_BYTES`].
    pub fn compact(&mut self, index: u64, keep: u64) {
        let index = index.min(self.delivered).min(self.log.last());
        self.log.compact(self.log.retained_from(index, keep, RETAINED_LOG_BYTES));
    }

    pub(super) fn send_chunk(&mut self, now: Moment, to: ReplicaId, offset: u64) {
        let Some(progress) = self.progress.get(&to) else { return };
        let Sending::Snapshot { bytes: Some((meta, bytes)), .. } = &progress.sending else {
            return;
        };
        let start = usize::try_from(offset).unwrap_or(usize::MAX).min(bytes.len());
        let end = (start + SNAPSHOT_CHUNK_BYTES).min(bytes.len());
        let message = Message::Chunk {
            term: self.hard.term,
            meta: (**meta).clone(),
            offset,
            total: bytes.len() as u64,
            data: bytes[start..end].into(),
            sent: now,
        };
        self.send_now(to, message);
    }

    pub(super) fn handle_chunk_reply(
        &mut self,
        now: Moment,
        from: ReplicaId,
        index: u64,
        offset: u64,
        echo: Moment,
    ) {
        let Some(progress) = self.progress.get_mut(&from) else { return };
        progress.record_response(now, echo);
        let same = match &progress.sending {
            Sending::Snapshot { bytes: Some((meta, _)), .. } => meta.index == index,
            _ => false,
        };
        if same && offset > progress.offset {
            progress.offset = offset;
            progress.offset_changed_at = now;
            self.send_chunk(now, from, offset);
        }
    }
}
