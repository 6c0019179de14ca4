//! Sends a body.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use super::Payload;

/// Yields the blocks of a body to the HTTP library, each when there is room for it on the connection.
#[derive(Debug)]
pub(crate) struct PayloadStream {
    payload: Payload,
    next: usize,
    left: usize,
}

impl From<Payload> for PayloadStream {
    fn from(payload: Payload) -> Self {
        Self {
            left: payload.len(),
            payload,
            next: 0,
        }
    }
}

impl Body for PayloadStream {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let Some(block) = self.payload.blocks().get(self.next).cloned() else {
            return Poll::Ready(None);
        };
        self.next += 1;
        self.left -= block.len();
        Poll::Ready(Some(Ok(Frame::data(block))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left as u64)
    }
}
