//! A connection on which a faulty server sends a response a second time, where the next one is expected.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// What every refusal contains.
const REFUSAL: &[u8] = b"x-not-executed";
const GRANT: &[u8] = b"POST /grant";
const RELEASE: &[u8] = b"POST /release";

/// Which responses are sent twice.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum CopiedResponses {
    #[default]
    None,
    /// Refusals of requests, before the response to the next request.
    Refusals,
    /// Responses to grants, before the response to a release.
    Grants,
}

pub struct CopyingStream {
    inner: TcpStream,
    copied: Arc<Mutex<CopiedResponses>>,
    is_grant: bool,
    copy: Option<Vec<u8>>,
}

impl CopyingStream {
    pub fn new(inner: TcpStream, copied: Arc<Mutex<CopiedResponses>>) -> Self {
        Self {
            inner,
            copied,
            is_grant: false,
            copy: None,
        }
    }

    fn begin_request(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.is_grant = bytes.starts_with(GRANT);
        let copied = *self.copied.lock().unwrap();
        let fits = copied != CopiedResponses::Grants || bytes.starts_with(RELEASE);
        if let Some(copy) = self.copy.take().filter(|_| fits) {
            // Such a response fits into the socket's buffer.
            self.inner.try_write(&copy)?;
        }
        Ok(())
    }

    fn is_copied(&self, bytes: &[u8]) -> bool {
        match *self.copied.lock().unwrap() {
            CopiedResponses::None => false,
            CopiedResponses::Refusals => bytes.windows(REFUSAL.len()).any(|part| part == REFUSAL),
            CopiedResponses::Grants => self.is_grant,
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
        let bytes = &buffer.filled()[before..];
        if bytes.starts_with(b"GET ") || bytes.starts_with(b"POST ") {
            self.begin_request(bytes)?;
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
        if self.is_copied(bytes) {
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
