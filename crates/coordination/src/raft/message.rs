//! What replicas say to each other.

use super::{LogEntry, ReplicaId, SnapshotMeta};
use crate::moment::Moment;
use serde::{Deserialize, Serialize};

/// A message with its sender and the disk that it is for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: ReplicaId,
    /// The replica that it is for.
    pub to: ReplicaId,
    /// The message.
    pub message: Message,
}

/// One message. `sent` and `echo` are on the leader's own clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Would you vote for me in this term?
    PreVote {
        /// The term it would ask for.
        term: u64,
        /// Last index of its log.
        index: u64,
        /// Term of that entry.
        last_term: u64,
    },
    /// Answer to it.
    PreVoteReply {
        /// The term asked for, or a newer one when refused.
        term: u64,
        /// Whether it would.
        granted: bool,
    },
    /// Vote for me in this term.
    Vote {
        /// The term.
        term: u64,
        /// Last index of its log.
        index: u64,
        /// Term of that entry.
        last_term: u64,
        /// The leader asked for it.
        handed_over: bool,
    },
    /// A leader that is about to stop asks the receiver to take over.
    TakeOver {
        /// The leader's term.
        term: u64,
    },
    /// Answer to [`Message::Vote`].
    VoteReply {
        /// The term.
        term: u64,
        /// Whether it has the vote.
        granted: bool,
    },
    /// Entries of the leader; without any, a heartbeat.
    Append {
        /// The leader's term.
        term: u64,
        /// Index before the first entry.
        prev: u64,
        /// Term of that entry.
        prev_term: u64,
        /// Entries.
        entries: Vec<LogEntry>,
        /// The leader's commit index.
        commit: u64,
        /// When it was sent.
        sent: Moment,
    },
    /// Answer to it.
    AppendReply {
        /// The follower's term.
        term: u64,
        /// Whether its log matches now.
        ok: bool,
        /// Up to where it matches, or where the leader should try next.
        index: u64,
        /// `sent` of the message answered.
        echo: Moment,
    },
    /// A piece of a snapshot.
    Chunk {
        /// The leader's term.
        term: u64,
        /// What the snapshot stands for.
        meta: SnapshotMeta,
        /// Where the piece begins.
        offset: u64,
        /// Length of the snapshot.
        total: u64,
        /// The piece.
        data: Box<[u8]>,
        /// When it was sent.
        sent: Moment,
    },
    /// Answer to it.
    ChunkReply {
        /// The follower's term.
        term: u64,
        /// Index of the snapshot.
        index: u64,
        /// How much of it the follower has.
        offset: u64,
        /// `sent` of the message answered.
        echo: Moment,
    },
}

impl Message {
    /// About how many bytes it takes.
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
