//! Messages between replicas.

use super::{LogEntry, ReplicaId, SnapshotMeta};
use crate::moment::Moment;
use serde::{Deserialize, Serialize};

/// A message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: ReplicaId,
    /// The replica that it is for, identified by its disk.
    pub to: ReplicaId,
    /// The message.
    pub message: Message,
}

/// A Raft message. `sent` and `echo` are readings of the leader's own clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether the receiver would vote for the sender in this term.
    PreVote {
        /// The term that the sender would campaign in.
        term: u64,
        /// Last index of the sender's log.
        index: u64,
        /// Term of that entry.
        last_term: u64,
    },
    /// Response to [`Message::PreVote`].
    PreVoteReply {
        /// The requested term, or a newer one if refused.
        term: u64,
        /// Whether the receiver would vote for the candidate.
        granted: bool,
    },
    /// Asks for a vote in this term.
    Vote {
        /// The candidate's term.
        term: u64,
        /// Last index of the candidate's log.
        index: u64,
        /// Term of that entry.
        last_term: u64,
        /// Whether the leader requested this election.
        handed_over: bool,
    },
    /// A leader that is about to stop asks the receiver to take over.
    TakeOver {
        /// The leader's term.
        term: u64,
    },
    /// Response to [`Message::Vote`].
    VoteReply {
        /// The voter's term.
        term: u64,
        /// Whether the candidate got the vote.
        granted: bool,
    },
    /// Entries from the leader; without entries, a heartbeat.
    Append {
        /// The leader's term.
        term: u64,
        /// Index before the first entry.
        prev: u64,
        /// Term of the entry at `prev`.
        prev_term: u64,
        /// The entries.
        entries: Vec<LogEntry>,
        /// The leader's commit index.
        commit: u64,
        /// When the message was sent.
        sent: Moment,
    },
    /// Response to [`Message::Append`].
    AppendReply {
        /// The follower's term.
        term: u64,
        /// Whether the follower's log now matches.
        ok: bool,
        /// The index up to which the log matches, or the index that the leader should try next.
        index: u64,
        /// `sent` of the message that this answers.
        echo: Moment,
    },
    /// A chunk of a snapshot.
    Chunk {
        /// The leader's term.
        term: u64,
        /// Position of the snapshot in the log.
        meta: SnapshotMeta,
        /// Offset of the chunk in the snapshot, in bytes.
        offset: u64,
        /// Length of the snapshot in bytes.
        total: u64,
        /// The bytes of the chunk.
        data: Box<[u8]>,
        /// When the message was sent.
        sent: Moment,
    },
    /// Response to [`Message::Chunk`].
    ChunkReply {
        /// The follower's term.
        term: u64,
        /// Index of the snapshot.
        index: u64,
        /// Bytes of the snapshot that the follower has.
        offset: u64,
        /// `sent` of the message that this answers.
        echo: Moment,
    },
}

impl Message {
    /// Approximate size in bytes.
    pub fn size(&self) -> usize {
        const SMALL: usize = 64;
        match self {
            Self::Append { entries, .. } => {
                SMALL + entries.iter().map(LogEntry::size).sum::<usize>()
            }
            Self::Chunk { data, .. } => SMALL + data.len(),
            _ => SMALL,
        }
    }

    /// The term that the message carries.
    pub fn term(&self) -> u64 {
        match self {
            Self::PreVote { term, .. }
            | Self::PreVoteReply { term, .. }
            | Self::Vote { term, .. }
            | Self::VoteReply { term, .. }
            | Self::TakeOver { term }
            | Self::Append { term, .. }
            | Self::AppendReply { term, .. }
            | Self::Chunk { term, .. }
            | Self::ChunkReply { term, .. } => *term,
        }
    }
}
