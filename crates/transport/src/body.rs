//! Response bodies that are forwarded while they are still being received.

use crate::request_body::Holding;
use bytes::Bytes;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;
use xitca_web::body::{Body, Frame, ResponseBody, SizeHint};
use xitca_web::error::BodyError;

/// A complete body, charged to its client until it is passed on.
struct HeldBody {
    bytes: Option<Bytes>,
    size: usize,
    _holding: Holding,
}

/// Creates a body that keeps `holding` until it is sent or dropped.
pub fn held_body(bytes: Bytes, holding: Holding) -> ResponseBody {
    let size = bytes.len();
    ResponseBody::boxed(HeldBody { bytes: Some(bytes), size, _holding: holding })
}

impl Body for HeldBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Poll::Ready(self.bytes.take().map(|bytes| Ok(Frame::Data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::Exact(self.size as u64)
    }
}

/// Why a streamed body ended early. The caller's connection is closed, so that a
/// truncated response is never taken for a complete one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum BodyAborted {
    /// the runner aborted its response
    ByRunner,
    /// the caller read the response too slowly
    ByCaller,
    /// the deadline passed
    ByDeadline,
}

impl std::error::Error for BodyAborted {}

/// A chunk of a streamed body, or its end. If the sender is dropped without
/// [`BodyChunk::End`], the response counts as truncated.
#[derive(Debug)]
pub enum BodyChunk {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is complete.
    End,
}

struct StreamedBody {
    rx: mpsc::Receiver<BodyChunk>,
    size: Option<u64>,
    ended: bool,
}

/// Creates a body that is fed through the returned sender, of `size` bytes if that is known. At
/// most `chunks` are buffered for a slow caller.
pub fn streamed_body(size: Option<u64>, chunks: usize) -> (mpsc::Sender<BodyChunk>, ResponseBody) {
    let (tx, rx) = mpsc::channel(chunks.max(1));
    (tx, ResponseBody::boxed(StreamedBody { rx, size, ended: false }))
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        match self.rx.poll_recv(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(BodyChunk::Data(bytes))) => Poll::Ready(Some(Ok(Frame::Data(bytes)))),
            Poll::Ready(Some(BodyChunk::End)) => {
                self.ended = true;
                Poll::Ready(None)
            }
            Poll::Ready(None) => Poll::Ready(Some(Err(Box::new(BodyAborted::ByRunner)))),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.ended
    }

    fn size_hint(&self) -> SizeHint {
        self.size.map_or(SizeHint::Unknown, SizeHint::Exact)
    }
}
