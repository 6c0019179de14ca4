//! A connection on which only so many bytes arrive that are no response.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;

use quetzalrack_core::traffic::ResponseBounds;
use quetzalrack_core::traffic::ResponseMeter;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// The meter of a connection, which its reader and the readers of its responses' bodies share.
#[derive(Clone, Debug)]
pub(super) struct SharedMeter(Arc<Mutex<ResponseMeter>>);

impl SharedMeter {
    pub(super) fn new(bounds: ResponseBounds) -> Self {
        Self(Arc::new(Mutex::new(ResponseMeter::new(bounds))))
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, ResponseMeter> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection that breaks once its meter's bounds are exceeded.
#[derive(Debug)]
pub(super) struct MeteredStream {
    stream: TcpStream,
    meter: SharedMeter,
}

/// The error that breaks such a connection.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("the response has no end")]
struct EndlessResponse;

impl MeteredStream {
    pub(super) fn new(stream: TcpStream, meter: SharedMeter) -> Self {
        Self { stream, meter }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let outcome = std::task::ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        let mut meter = self.meter.lock();
        meter.record_read(buf.filled().len() - before);
        if meter.is_exceeded() {
            return Poll::Ready(Err(io::Error::other(EndlessResponse)));
        }
        Poll::Ready(outcome)
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
