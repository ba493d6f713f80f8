//! Messages between the processes of a cell. A frame is a 4-byte little-endian length and a
//! postcard value.

use serde::{Deserialize, Serialize};
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};
use yuccalink_coordination::jobs::{CellRequest, CellResponse};
use yuccalink_coordination::peer_table::{LeaderInfo, NodeInfo};
use yuccalink_coordination::raft::{Envelope, ReplicaId};

/// Largest frame: a chunk of a snapshot or a batch of log entries, with some slack.
pub(crate) const FRAME_MAX_BYTES: usize = 16 * 1024 * 1024;
const HEADER_BYTES: usize = 4;

/// A message between two processes of a cell.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// Describes the sender; sent periodically to detect a dead connection.
    Hello(NodeInfo),
    /// Response to `Hello`.
    Welcome {
        #[serde(rename = "me")]
        sender: NodeInfo,
        #[serde(rename = "lead")]
        leader: Option<LeaderInfo>,
        /// Processes with a disk that the sender has received messages from.
        disks: Vec<NodeInfo>,
        /// Replica that is to bootstrap the cell, chosen by the first seed if it has no disk.
        #[serde(rename = "founder")]
        bootstrapper: Option<ReplicaId>,
    },
    /// Raft messages.
    Raft(Vec<Envelope>),
    /// Request to the leader.
    Ask {
        id: u64,
        #[serde(rename = "ask")]
        request: CellRequest,
    },
    /// Response of the leader to the request `id`.
    Answer {
        id: u64,
        #[serde(rename = "answer")]
        response: CellResponse,
    },
}

/// Appends a frame to `buf`.
pub(crate) fn encode(message: &PeerMessage, buf: &mut Vec<u8>) {
    let body = match postcard::to_stdvec(message) {
        Ok(body) => body,
        Err(error) => return log::error!("dropping a message to another daemon: {error}"),
    };
    match u32::try_from(body.len()) {
        Ok(size) if body.len() <= FRAME_MAX_BYTES => {
            buf.extend_from_slice(&size.to_le_bytes());
            buf.extend_from_slice(&body);
        }
        _ => log::error!("dropping a message of {} bytes to another daemon: too large", body.len()),
    }
}

/// Reads messages from a connection.
pub(crate) struct FrameReader<R> {
    source: R,
    buf: Vec<u8>,
    /// Bytes at the start of `buf` that have been parsed.
    consumed: usize,
}

/// Free buffer space before each read.
const READ_MIN_BYTES: usize = 16 * 1024;

impl<R> FrameReader<R>
where
    R: AsyncRead + Unpin,
{
    pub(crate) fn new(source: R) -> Self {
        Self { source, buf: Vec::new(), consumed: 0 }
    }

    /// Reads the next message. Cancel-safe: received bytes stay in the buffer.
    pub(crate) async fn next(&mut self) -> io::Result<PeerMessage> {
        loop {
            if let Some(message) = self.take_frame()? {
                return Ok(message);
            }
            if self.consumed > 0 {
                self.buf.drain(..self.consumed);
                self.consumed = 0;
            }
            self.buf.reserve(READ_MIN_BYTES);
            if self.source.read_buf(&mut self.buf).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn take_frame(&mut self) -> io::Result<Option<PeerMessage>> {
        let unread = &self.buf[self.consumed..];
        let Some((header, rest)) = unread.split_first_chunk::<HEADER_BYTES>() else {
            return Ok(None);
        };
        let size = u32::from_le_bytes(*header) as usize;
        if size > FRAME_MAX_BYTES {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "the frame is too large"));
        }
        let Some(bytes) = rest.get(..size) else { return Ok(None) };
        let message = postcard::from_bytes(bytes)
            .map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
        self.consumed += HEADER_BYTES + size;
        if self.consumed == self.buf.len() {
            self.buf.clear();
            self.consumed = 0;
            // Releases the memory of a rare large message.
            self.buf.shrink_to(READ_MIN_BYTES);
        }
        Ok(Some(message))
    }
}
