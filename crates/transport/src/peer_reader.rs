//! Charges the messages of another daemon before they are received.

use crate::account::{Client, Exhausted, Phase};
use futures::io::AsyncRead;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::Sleep;

/// Largest number of segments of a message. Messages of daemons have a few.
const SEGMENTS_MAX: usize = 64;
const WORD_BYTES: usize = 8;
/// Interval at which a message that finds no memory is tried again.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A stream of messages in the standard framing of Cap'n Proto: the number of segments less one,
/// the size of each in words, padding to whole words, and the segments.
pub(crate) struct PeerReader<R> {
    source: R,
    client: Arc<Client>,
    /// Header of the message that is being received.
    header: Vec<u8>,
    /// Bytes of the header that have been passed on.
    passed: usize,
    /// Bytes of the message's segments that are still to be received.
    remaining: usize,
    /// Bytes charged for the message.
    charged: usize,
    /// The connection gives way to others while it says nothing.
    gives_way: bool,
    /// Wait for memory.
    pause: Option<Pin<Box<Sleep>>>,
}

impl<R> PeerReader<R>
where
    R: AsyncRead + Unpin,
{
    /// `gives_way` is false for a connection that this daemon has opened.
    pub(crate) fn new(source: R, client: Arc<Client>, gives_way: bool) -> Self {
        if !gives_way {
            client.enter(Phase::Serving);
        }
        Self {
            source,
            client,
            header: Vec::new(),
            passed: 0,
            remaining: 0,
            charged: 0,
            gives_way,
            pause: None,
        }
    }

    fn poll_header(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            let wanted = header_bytes(&self.header)?;
            if self.header.len() == wanted {
                return Poll::Ready(Ok(()));
            }
            let mut buf = [0; WORD_BYTES];
            let missing = (wanted - self.header.len()).min(buf.len());
            let read = ready!(Pin::new(&mut self.source).poll_read(cx, &mut buf[..missing]))?;
            if read == 0 {
                let is_between = self.header.is_empty();
                let kind = if is_between {
                    io::ErrorKind::ConnectionAborted
                } else {
                    io::ErrorKind::UnexpectedEof
                };
                return Poll::Ready(Err(kind.into()));
            }
            self.received(read);
            self.header.extend_from_slice(&buf[..read]);
        }
    }

    /// Charges the message whose header is complete.
    fn poll_charge(&mut self, cx: &mut Context<'_>, bytes: usize) -> Poll<io::Result<()>> {
        loop {
            if let Some(pause) = &mut self.pause {
                ready!(pause.as_mut().poll(cx));
                self.pause = None;
            }
            match self.client.charge(bytes) {
                Ok(()) => return Poll::Ready(Ok(())),
                Err(Exhausted::Memory) => {
                    self.pause = Some(Box::pin(tokio::time::sleep(ROOM_POLL_INTERVAL)));
                }
                Err(error) => {
                    return Poll::Ready(Err(io::Error::new(io::ErrorKind::OutOfMemory, error)));
                }
            }
        }
    }

    fn received(&self, bytes: usize) {
        self.enter(Phase::Head);
        self.client.transferred(bytes);
    }

    fn enter(&self, phase: Phase) {
        if self.gives_way {
            self.client.enter(phase);
        }
    }

    /// Prepares for the next message. The one before has been passed on and is handled by now.
    fn begin_message(&mut self) {
        self.client.release(std::mem::take(&mut self.charged));
        self.enter(Phase::Idle);
        self.header.clear();
        self.passed = 0;
    }
}

/// Size of a header whose start is known.
fn header_bytes(header: &[u8]) -> io::Result<usize> {
    let Some(count) = header.first_chunk::<4>() else { return Ok(WORD_BYTES) };
    let segments = (u32::from_le_bytes(*count) as usize).saturating_add(1);
    if segments > SEGMENTS_MAX {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "too many segments"));
    }
    Ok((4 + 4 * segments).next_multiple_of(WORD_BYTES))
}

/// Bytes of the segments that a complete header announces.
fn announced_bytes(header: &[u8]) -> usize {
    let sizes = header.chunks_exact(4).skip(1);
    let words = sizes.filter_map(|size| size.first_chunk::<4>());
    words.map(|words| u32::from_le_bytes(*words) as usize).sum::<usize>() * WORD_BYTES
}

impl<R> AsyncRead for PeerReader<R>
where
    R: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        if this.passed == this.header.len() && this.remaining == 0 {
            this.begin_message();
        }
        if this.passed == 0 {
            match ready!(this.poll_header(cx)) {
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {
                    return Poll::Ready(Ok(0));
                }
                result => result?,
            }
            let bytes = announced_bytes(&this.header);
            ready!(this.poll_charge(cx, bytes))?;
            this.charged = bytes;
            this.remaining = bytes;
        }
        if this.passed < this.header.len() {
            let passed = buf.len().min(this.header.len() - this.passed);
            buf[..passed].copy_from_slice(&this.header[this.passed..this.passed + passed]);
            this.passed += passed;
            return Poll::Ready(Ok(passed));
        }
        let wanted = buf.len().min(this.remaining);
        let read = ready!(Pin::new(&mut this.source).poll_read(cx, &mut buf[..wanted]))?;
        this.remaining -= read;
        this.received(read);
        if this.remaining == 0 {
            this.client.set_known();
        }
        Poll::Ready(Ok(read))
    }
}
