//! Reads request bodies into memory that is charged to the client's account.

use crate::account::{Client, Exhausted, Phase};
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::yield_now;

/// Smallest buffer for a body, in bytes.
const BUFFER_MIN: usize = 1_024;
/// Smallest part of a buffer that is worth giving back, in bytes.
const SPARE_MIN: usize = 64 * 1024;
/// Chunks after which other tasks run. A chunk may be a single byte.
const CHUNKS_PER_TURN: usize = 64;

/// Why the body of a request cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum RequestBodyError {
    /// the body is over {0} bytes; send less
    TooLarge(usize),
    /// the body was not received in time; send it without pauses
    TooSlow,
    /// the body ended early; send all of it
    Broken,
    /// there is no memory for the body now; send it again later
    NoRoom,
}

impl std::error::Error for RequestBodyError {}

/// Bytes charged to a client for one request, given back when this is dropped.
#[derive(Debug)]
pub struct Holding {
    client: Arc<Client>,
    bytes: usize,
}

impl Holding {
    /// Holds nothing yet.
    pub fn new(client: Arc<Client>) -> Self {
        Self { client, bytes: 0 }
    }

    /// Charges `bytes` more, or counts a refusal.
    ///
    /// # Errors
    /// As [`Client::charge`].
    pub fn charge(&mut self, bytes: usize) -> Result<(), Exhausted> {
        self.try_charge(bytes).inspect_err(|_| self.client.count_refusal())
    }

    /// Charges `bytes` more, for something that waits if there is no room.
    ///
    /// # Errors
    /// As [`Client::charge`].
    pub fn try_charge(&mut self, bytes: usize) -> Result<(), Exhausted> {
        self.client.charge(bytes)?;
        self.bytes += bytes;
        Ok(())
    }

    /// Gives `bytes` back.
    fn release(&mut self, bytes: usize) {
        let bytes = bytes.min(self.bytes);
        self.client.release(bytes);
        self.bytes -= bytes;
    }

    /// The client that is charged.
    pub fn client(&self) -> &Arc<Client> {
        &self.client
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        self.client.release(self.bytes);
    }
}

/// Bounds on one body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyBounds {
    /// Most bytes.
    pub bytes: usize,
    /// Time limit for all of it.
    pub time: Duration,
}

/// Reads a body from `next`, which returns its chunks and `None` at its end. What the body takes
/// stays charged to `holding`.
///
/// # Errors
/// [`RequestBodyError`]; the rest of the body is not read.
pub async fn read_chunks<N>(
    next: N,
    bounds: BodyBounds,
    holding: &mut Holding,
) -> Result<Bytes, RequestBodyError>
where
    N: AsyncFnMut() -> Option<Result<Bytes, RequestBodyError>>,
{
    let client = holding.client.clone();
    client.enter(Phase::Body);
    let body = tokio::select! {
        biased;
        body = collect(next, bounds.bytes, holding) => body,
        () = client.sent_away() => Err(RequestBodyError::NoRoom),
        () = tokio::time::sleep(bounds.time) => Err(RequestBodyError::TooSlow),
    };
    match &body {
        Ok(_) => client.enter(Phase::Serving),
        Err(_) => holding.release(holding.bytes),
    }
    body
}

async fn collect<N>(
    mut next: N,
    limit: usize,
    holding: &mut Holding,
) -> Result<Bytes, RequestBodyError>
where
    N: AsyncFnMut() -> Option<Result<Bytes, RequestBodyError>>,
{
    let mut buf = Vec::new();
    let (mut chunks, mut uncounted) = (0, 0);
    while let Some(chunk) = next().await {
        let chunk = chunk?;
        let size = buf.len() + chunk.len();
        if size > limit {
            return Err(RequestBodyError::TooLarge(limit));
        }
        if size > buf.capacity() {
            grow(&mut buf, size, limit, holding)?;
        }
        // A chunk kept as it is would keep the whole buffer that it was received in.
        buf.extend_from_slice(&chunk);
        chunks += 1;
        uncounted += chunk.len();
        if chunks % CHUNKS_PER_TURN == 0 || uncounted >= BUFFER_MIN {
            holding.client.transferred(std::mem::take(&mut uncounted));
        }
        if chunks % CHUNKS_PER_TURN == 0 {
            yield_now().await;
        }
    }
    shrink(&mut buf, holding);
    Ok(buf.into())
}

/// Gives back the part of a large buffer that the body does not fill.
fn shrink(buf: &mut Vec<u8>, holding: &mut Holding) {
    let spare = buf.capacity() - buf.len();
    if spare >= SPARE_MIN {
        buf.shrink_to_fit();
        holding.release(spare.saturating_sub(buf.capacity() - buf.len()));
    }
}

/// Doubles the capacity of `buf` to at least `size` and at most `limit` bytes, charged first.
fn grow(
    buf: &mut Vec<u8>,
    size: usize,
    limit: usize,
    holding: &mut Holding,
) -> Result<(), RequestBodyError> {
    let capacity = size.max(buf.capacity() * 2).max(BUFFER_MIN).min(limit.max(size));
    holding.charge(capacity - buf.capacity()).map_err(|error| match error {
        Exhausted::TooLarge => RequestBodyError::TooLarge(buf.capacity()),
        Exhausted::Memory | Exhausted::Connections => RequestBodyError::NoRoom,
    })?;
    buf.reserve_exact(capacity - buf.len());
    Ok(())
}
