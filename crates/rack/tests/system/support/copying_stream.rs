//! A connection on which a faulty server sends a refusal a second time, where the next response is expected.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// What every refusal contains.
const REFUSAL: &[u8] = b"x-not-executed";

/// Sends refusals twice while `active`.
pub struct CopyingStream {
    inner: TcpStream,
    active: Arc<AtomicBool>,
    copy: Option<Vec<u8>>,
}

impl CopyingStream {
    pub fn new(inner: TcpStream, active: Arc<AtomicBool>) -> Self {
        Self {
            inner,
            active,
            copy: None,
        }
    }
}

impl AsyncRead for CopyingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(context, buffer);
        if buffer.filled().len() > before
            && let Some(copy) = self.copy.take()
        {
            // A refusal fits into the socket's buffer.
            self.inner.try_write(&copy)?;
        }
        read
    }
}

impl AsyncWrite for CopyingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let is_refusal = bytes.windows(REFUSAL.len()).any(|part| part == REFUSAL);
        if is_refusal && self.active.load(Ordering::Relaxed) {
            self.copy = Some(bytes.to_vec());
        }
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
