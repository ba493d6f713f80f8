//! Response bodies that stay charged to their client until they are sent.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use yuccalink_transport::request_body::Holding;

/// A complete response body.
#[derive(Debug, Default)]
pub(crate) struct ReplyBody {
    bytes: Bytes,
    /// What the request and the body take. Dropped with the body, once it is sent.
    _holding: Option<Holding>,
}

impl ReplyBody {
    pub(super) fn set_holding(&mut self, holding: Holding) {
        self._holding = Some(holding);
    }
}

impl From<Bytes> for ReplyBody {
    fn from(bytes: Bytes) -> Self {
        Self { bytes, _holding: None }
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let bytes = std::mem::take(&mut self.bytes);
        Poll::Ready((!bytes.is_empty()).then(|| Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.len() as u64)
    }
}
