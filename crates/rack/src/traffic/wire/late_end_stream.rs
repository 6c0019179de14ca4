//! Connections whose end is noticed after what came before it was handled.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// A connection that reports its end one turn late.
///
/// The server drops a request as soon as it reads that its sender has closed the connection, and a process that was
/// frozen reads both at once: it would drop requests that it can handle without waiting for anything.
#[derive(Debug)]
pub(in crate::traffic) struct LateEndStream<S> {
    inner: S,
    has_ended: bool,
}

impl<S> LateEndStream<S> {
    /// Wraps a connection.
    pub(in crate::traffic) fn new(inner: S) -> Self {
        Self {
            inner,
            has_ended: false,
        }
    }
}

impl<S> AsyncRead for LateEndStream<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let is_asked = buf.remaining() > 0;
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        let is_end = matches!(read, Poll::Ready(Ok(()))) && buf.filled().len() == before;
        if is_asked && is_end && !self.has_ended {
            self.has_ended = true;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        read
    }
}

impl<S> AsyncWrite for LateEndStream<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

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
