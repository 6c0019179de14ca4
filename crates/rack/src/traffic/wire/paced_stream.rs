//! Connections whose long messages share the host's link.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use quetzalrack_mesh::traffic::link::MessageId;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use super::LinkPacer;

/// How many bytes of a message are written without waiting: a short response as a whole, and the
/// first packets of a long one.
const UNPACED_BYTES: usize = 4 * 1024;

/// A connection on which long messages wait until the link has capacity for them.
///
/// A narrow link with a full queue delays everything that leaves the host: short responses that
/// other servers wait for, and the opening of new connections, which then count as refused.
#[derive(Debug)]
pub(in crate::traffic) struct PacedStream<S> {
    inner: S,
    pacer: Option<Rc<LinkPacer>>,
    /// Bytes written since the peer last sent any. On a connection that carries one exchange at a
    /// time, that is one message.
    message_bytes: usize,
    message_id: Option<MessageId>,
}

impl<S> PacedStream<S> {
    /// Paces a connection; without a pacer its writes are not limited.
    pub(in crate::traffic) fn new(inner: S, pacer: Option<Rc<LinkPacer>>) -> Self {
        Self {
            inner,
            pacer,
            message_bytes: 0,
            message_id: None,
        }
    }

    fn end_message(&mut self) {
        self.message_bytes = 0;
        self.leave_queue();
    }

    fn leave_queue(&mut self) {
        if let (Some(message_id), Some(pacer)) = (self.message_id.take(), &self.pacer) {
            pacer.remove(message_id);
        }
    }

    /// Returns how many bytes may be written now.
    fn write_allowance(&mut self, cx: &Context<'_>) -> Option<usize> {
        let Some(pacer) = &self.pacer else {
            return Some(usize::MAX);
        };
        if self.message_bytes < UNPACED_BYTES {
            return Some(UNPACED_BYTES - self.message_bytes);
        }
        let message_id = *self.message_id.get_or_insert_with(|| pacer.add());
        pacer.request_write(message_id, cx.waker())
    }
}

impl<S> PacedStream<S> {
    fn record_write(&mut self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(count)) = written {
            self.message_bytes += count;
            if let Some(pacer) = &self.pacer {
                pacer.record_written(*count);
            }
        }
        // The next write requests its share again, under the same id. If there is no next write, or
        // the peer accepts no more for now, other messages proceed.
        if let (Some(message_id), Some(pacer)) = (self.message_id, &self.pacer) {
            pacer.remove(message_id);
        }
    }
}

/// Returns the first `allowed` bytes of some slices.
fn allowed_slices<'a>(slices: &'a [IoSlice<'a>], allowed: usize) -> Vec<IoSlice<'a>> {
    let mut left = allowed;
    let mut chunk = Vec::with_capacity(slices.len());
    for slice in slices {
        let count = slice.len().min(left);
        left -= count;
        chunk.push(IoSlice::new(slice.get(..count).unwrap_or(slice)));
        if left == 0 {
            break;
        }
    }
    chunk
}

impl<S> Drop for PacedStream<S> {
    fn drop(&mut self) {
        self.leave_queue();
    }
}

impl<S> AsyncRead for PacedStream<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.end_message();
        }
        read
    }
}

impl<S> AsyncWrite for PacedStream<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let Some(allowed) = self.write_allowance(cx) else {
            return Poll::Pending;
        };
        let chunk = buf.get(..buf.len().min(allowed)).unwrap_or(buf);
        let written = Pin::new(&mut self.inner).poll_write(cx, chunk);
        self.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let Some(allowed) = self.write_allowance(cx) else {
            return Poll::Pending;
        };
        let chunk = allowed_slices(bufs, allowed);
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, &chunk);
        self.record_write(&written);
        written
    }

    /// Parts of a message are written from where they lie; copied into one piece, a body would be held twice.
    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
