//! The body of an answer that is passed on while it still comes in.

use bytes::Bytes;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;
use xitca_web::body::{Body, Frame, ResponseBody, SizeHint};
use xitca_web::error::BodyError;

/// Chunks that may wait for a slow caller.
pub const CHUNKS: usize = 8;

/// The answer's source broke off; the caller's connection is closed, so that a
/// cut answer is never taken for a whole one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum BodyAborted {
    /// the runner broke off its answer
    ByRunner,
    /// the caller took the answer too slowly
    ByCaller,
    /// the deadline passed
    ByDeadline,
}

impl std::error::Error for BodyAborted {}

/// One piece of a passed-on body. The end is told apart from a sender that
/// was dropped: without [`BodyChunk::End`] the answer counts as cut.
#[derive(Debug)]
pub enum BodyChunk {
    /// Bytes.
    Data(Bytes),
    /// The whole body has been sent.
    End,
}

struct Passed {
    rx: mpsc::Receiver<BodyChunk>,
    size: Option<u64>,
    ended: bool,
}

/// A body fed through the sender, of `size` bytes if that is known.
pub fn streamed_body(size: Option<u64>) -> (mpsc::Sender<BodyChunk>, ResponseBody) {
    let (tx, rx) = mpsc::channel(CHUNKS);
    (tx, ResponseBody::boxed(Passed { rx, size, ended: false }))
}

impl Body for Passed {
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
