//! Connections that wait for their turn on the host's link.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use quetzalrack_mesh::traffic::link::MessageId;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use super::LinkPacer;

/// How many bytes of a message go at once, without a turn: all of a short answer, and the first
/// packets of a long one.
const AT_ONCE: usize = 4 * 1024;

/// Is a connection on which long messages wait for their turn on the link.
///
/// A narrow link with a full queue delays everything that leaves the host: the short answers on which
/// other servers wait, and the opening of new connections, which then count as refused.
#[derive(Debug)]
pub(in crate::traffic) struct PacedStream<S> {
    inner: S,
    pacer: Option<Rc<LinkPacer>>,
    /// How many bytes have been written since the far side last spoke: on a connection that carries
    /// one exchange at a time, that is one message.
    written: usize,
    turn: Option<MessageId>,
}

impl<S> PacedStream<S> {
    /// Paces a connection; without a pacer its link is taken for wide.
    pub(in crate::traffic) fn new(inner: S, pacer: Option<Rc<LinkPacer>>) -> Self {
        Self {
            inner,
            pacer,
            written: 0,
            turn: None,
        }
    }

    fn end_message(&mut self) {
        self.written = 0;
        self.leave();
    }

    fn leave(&mut self) {
        if let (Some(turn), Some(pacer)) = (self.turn.take(), &self.pacer) {
            pacer.leave(turn);
        }
    }

    /// Returns how many bytes may be written now.
    fn allowance(&mut self, cx: &Context<'_>) -> Option<usize> {
        let Some(pacer) = &self.pacer else {
            return Some(usize::MAX);
        };
        if self.written < AT_ONCE {
            return Some(AT_ONCE - self.written);
        }
        let turn = *self.turn.get_or_insert_with(|| pacer.begin());
        pacer.ask(turn, cx.waker())
    }
}

impl<S> Drop for PacedStream<S> {
    fn drop(&mut self) {
        self.leave();
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
        let Some(allowed) = self.allowance(cx) else {
            return Poll::Pending;
        };
        let piece = buf.get(..buf.len().min(allowed)).unwrap_or(buf);
        let wrote = Pin::new(&mut self.inner).poll_write(cx, piece);
        if let Poll::Ready(Ok(count)) = &wrote {
            self.written += count;
            if let Some(pacer) = &self.pacer {
                pacer.spend(*count);
            }
        }
        // What follows asks again, under the same number. If nothing follows, or the far side takes
        // no more for now, the others go on.
        if let (Some(turn), Some(pacer)) = (self.turn, &self.pacer) {
            pacer.leave(turn);
        }
        wrote
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
