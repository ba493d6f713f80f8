//! Messages between the processes of a cell. A frame is a 4-byte little-endian length and a
//! postcard value.

use crate::cell::limits::LimitsInForce;
use serde::{Deserialize, Serialize};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt};
use yuccalink_coordination::jobs::{CellRequest, CellResponse};
use yuccalink_coordination::peer_table::{LeaderInfo, NodeInfo};
use yuccalink_coordination::raft::{Envelope, ReplicaId};
use yuccalink_transport::account::{Client, Exhausted, Phase};
use yuccalink_transport::request_body::Holding;

/// Largest frame: a chunk of a snapshot or a batch of log entries, with some slack.
pub(crate) const FRAME_MAX_BYTES: usize = 16 * 1024 * 1024;
/// Largest frame of a connection that has not sent a `Hello`.
const FIRST_FRAME_MAX_BYTES: usize = 64 * 1024;
/// Largest frame with a request to the leader.
const REQUEST_MAX_BYTES: usize = 1024 * 1024;
const HEADER_BYTES: usize = 4;
/// Tag of [`PeerMessage::Ask`].
const REQUEST_TAG: u8 = 3;
/// Bytes that a byte of a request may take once it is parsed: an empty text in a list, twice,
/// since lists double as they grow.
const PARSED_REQUEST_FACTOR: usize = 32;
/// Bytes that a byte of another message may take once it is parsed.
const PARSED_FACTOR: usize = 2;
/// Interval at which a message that finds no memory is tried again.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(5);

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
        /// Limits of callers' requests. They follow the message, where earlier releases do not
        /// look for them.
        #[serde(skip)]
        limits: Option<LimitsInForce>,
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
    let body = match to_bytes(message) {
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

fn to_bytes(message: &PeerMessage) -> postcard::Result<Vec<u8>> {
    let body = postcard::to_stdvec(message)?;
    match message {
        PeerMessage::Welcome { limits: Some(limits), .. } => postcard::to_extend(limits, body),
        _ => Ok(body),
    }
}

fn from_bytes(bytes: &[u8]) -> postcard::Result<PeerMessage> {
    let (mut message, rest) = postcard::take_from_bytes(bytes)?;
    if let PeerMessage::Welcome { limits, .. } = &mut message
        && !rest.is_empty()
    {
        *limits = Some(postcard::from_bytes(rest)?);
    }
    Ok(message)
}

/// Reads messages from a connection, and charges them to its client.
pub(crate) struct FrameReader<R> {
    source: R,
    client: Arc<Client>,
    buf: Vec<u8>,
    /// Bytes of `buf` that are charged.
    charged: usize,
    /// Bytes at the start of `buf` that have been parsed.
    consumed: usize,
    frame_max: usize,
    /// The connection gives way to others while it says nothing.
    gives_way: bool,
}

/// Free buffer space before each read.
const READ_MIN_BYTES: usize = 16 * 1024;

impl<R> FrameReader<R>
where
    R: AsyncRead + Unpin,
{
    /// Reads a connection that another process has opened.
    pub(crate) fn incoming(source: R, client: Arc<Client>) -> Self {
        Self {
            source,
            client,
            buf: Vec::new(),
            charged: 0,
            consumed: 0,
            frame_max: FIRST_FRAME_MAX_BYTES,
            gives_way: true,
        }
    }

    /// Reads a connection that this process has opened.
    pub(crate) fn outgoing(source: R, client: Arc<Client>) -> Self {
        client.enter(Phase::Serving);
        let mut reader = Self::incoming(source, client);
        reader.gives_way = false;
        reader.set_trusted();
        reader
    }

    /// Accepts large frames from now on.
    pub(crate) fn set_trusted(&mut self) {
        self.frame_max = FRAME_MAX_BYTES;
    }

    /// Reads the next message, with what it takes once it is parsed. Cancel-safe: received bytes
    /// stay in the buffer.
    pub(crate) async fn next(&mut self) -> io::Result<(PeerMessage, Holding)> {
        loop {
            if let Some(size) = self.complete_frame()? {
                let holding = self.charge_parsed(size).await?;
                return Ok((self.take_frame(size)?, holding));
            }
            if self.consumed > 0 {
                self.buf.drain(..self.consumed);
                self.consumed = 0;
            }
            self.reserve().await?;
            let read = self.source.read_buf(&mut self.buf).await?;
            if read == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.enter(Phase::Head);
            self.client.transferred(read);
        }
    }

    /// Size of the frame at the start of the unparsed bytes, once it is complete.
    fn complete_frame(&self) -> io::Result<Option<usize>> {
        let unread = &self.buf[self.consumed..];
        let Some((header, rest)) = unread.split_first_chunk::<HEADER_BYTES>() else {
            return Ok(None);
        };
        let size = u32::from_le_bytes(*header) as usize;
        let is_request = rest.first() == Some(&REQUEST_TAG);
        if size > self.frame_max || (is_request && size > REQUEST_MAX_BYTES) {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "the frame is too large"));
        }
        Ok((rest.len() >= size).then_some(size))
    }

    /// Makes room for the next read.
    async fn reserve(&mut self) -> io::Result<()> {
        let needed = self.buf.len() + READ_MIN_BYTES;
        if needed <= self.buf.capacity() {
            return Ok(());
        }
        let capacity = needed.max(2 * self.buf.capacity());
        charge(&self.client, capacity - self.charged).await?;
        self.charged = capacity;
        self.buf.reserve_exact(capacity - self.buf.len());
        Ok(())
    }

    fn enter(&self, phase: Phase) {
        if self.gives_way {
            self.client.enter(phase);
        }
    }

    async fn charge_parsed(&self, size: usize) -> io::Result<Holding> {
        let is_request = self.buf.get(self.consumed + HEADER_BYTES) == Some(&REQUEST_TAG);
        let factor = if is_request { PARSED_REQUEST_FACTOR } else { PARSED_FACTOR };
        // The message may outlive the connection.
        let mut holding = Holding::new(Arc::new(self.client.sibling()));
        holding.client().enter(Phase::Serving);
        while let Err(error) = holding.try_charge(size * factor) {
            wait_for_room(error).await?;
        }
        Ok(holding)
    }

    fn take_frame(&mut self, size: usize) -> io::Result<PeerMessage> {
        let start = self.consumed + HEADER_BYTES;
        let message = from_bytes(&self.buf[start..start + size])
            .map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
        self.consumed = start + size;
        if self.consumed == self.buf.len() {
            self.buf.clear();
            self.consumed = 0;
            // Releases the memory of a rare large message.
            self.buf.shrink_to(READ_MIN_BYTES);
            let released = self.charged.saturating_sub(self.buf.capacity());
            self.client.release(released);
            self.charged -= released;
            self.enter(Phase::Idle);
        }
        Ok(message)
    }
}

async fn charge(client: &Client, bytes: usize) -> io::Result<()> {
    while let Err(error) = client.charge(bytes) {
        wait_for_room(error).await?;
    }
    Ok(())
}

/// Other connections release their memory soon. Meanwhile nothing is read, so that the sender
/// waits as well.
async fn wait_for_room(error: Exhausted) -> io::Result<()> {
    if error != Exhausted::Memory {
        return Err(io::Error::new(io::ErrorKind::OutOfMemory, error));
    }
    tokio::time::sleep(ROOM_POLL_INTERVAL).await;
    Ok(())
}
