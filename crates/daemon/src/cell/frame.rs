//! Messages between the processes of a cell: a length, then a postcard value.

use serde::{Deserialize, Serialize};
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};
use yuccalink_coordination::jobs::{CellRequest, CellResponse};
use yuccalink_coordination::peer_table::{LeaderInfo, NodeInfo};
use yuccalink_coordination::raft::{Envelope, ReplicaId};

/// Largest frame in bytes: a chunk of a snapshot or a batch of entries, with room.
pub(crate) const FRAME_MAX: usize = 16 * 1024 * 1024;
const HEAD: usize = 4;

/// One message.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// Here I am; also shows that the connection is alive.
    Hello(NodeInfo),
    /// Answer to it.
    Welcome {
        me: NodeInfo,
        lead: Option<LeaderInfo>,
        /// Disks that the sender has heard itself.
        disks: Vec<NodeInfo>,
        /// Whom the first seed, having no disk, lets found the cell.
        founder: Option<ReplicaId>,
    },
    /// Messages of the consensus.
    Raft(Vec<Envelope>),
    /// To the leader.
    Ask { id: u64, ask: CellRequest },
    /// Back.
    Answer { id: u64, answer: CellResponse },
}

/// Appends a frame to `buf`.
pub(crate) fn encode(frame: &PeerMessage, buf: &mut Vec<u8>) {
    let body = match postcard::to_stdvec(frame) {
        Ok(body) => body,
        Err(error) => return log::error!("a message to another daemon is dropped: {error}"),
    };
    match u32::try_from(body.len()) {
        Ok(size) if body.len() <= FRAME_MAX => {
            buf.extend_from_slice(&size.to_le_bytes());
            buf.extend_from_slice(&body);
        }
        _ => log::error!("a message of {} bytes to another daemon is dropped", body.len()),
    }
}

/// Reads frames from a connection.
pub(crate) struct Reader<R> {
    from: R,
    buf: Vec<u8>,
    start: usize,
}

/// What one read asks for at least.
const READ: usize = 16 * 1024;

impl<R> Reader<R>
where
    R: AsyncRead + Unpin,
{
    pub(crate) fn new(from: R) -> Self {
        Self { from, buf: Vec::new(), start: 0 }
    }

    /// The next frame; cancelling the call loses nothing.
    pub(crate) async fn next(&mut self) -> io::Result<PeerMessage> {
        loop {
            if let Some(frame) = self.take()? {
                return Ok(frame);
            }
            if self.start > 0 {
                self.buf.drain(..self.start);
                self.start = 0;
            }
            self.buf.reserve(READ);
            if self.from.read_buf(&mut self.buf).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn take(&mut self) -> io::Result<Option<PeerMessage>> {
        let waiting = &self.buf[self.start..];
        let Some((head, rest)) = waiting.split_first_chunk::<HEAD>() else { return Ok(None) };
        let size = u32::from_le_bytes(*head) as usize;
        if size > FRAME_MAX {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "a frame is too large"));
        }
        let Some(bytes) = rest.get(..size) else { return Ok(None) };
        let frame = postcard::from_bytes(bytes)
            .map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
        self.start += HEAD + size;
        if self.start == self.buf.len() {
            self.buf.clear();
            self.start = 0;
            // A rare large message must not keep its memory for ever.
            self.buf.shrink_to(READ);
        }
        Ok(Some(frame))
    }
}
