//! A generated body that may break off.

use std::io;
use std::io::SeekFrom;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncSeek;
use tokio::io::ReadBuf;

/// The filler of a body, repeated up to its size.
const FILLER: &[u8] = b"quetzalrack-filler-0123456789abcdef";

/// Is a body that starts with given bytes, goes on with filler up to its size, and fails after
/// `cut` bytes where one is set. It is generated while it is read, so that a large one takes no
/// memory.
#[derive(Clone, Debug)]
pub struct CutBody {
    head: Vec<u8>,
    size: u64,
    cut: Option<u64>,
    at: u64,
}

impl CutBody {
    /// Makes a body of `size` bytes, at least as many as the head has.
    pub fn new(head: Vec<u8>, size: u64, cut: Option<u64>) -> Self {
        let size = size.max(head.len() as u64);
        Self {
            head,
            size,
            cut,
            at: 0,
        }
    }

    /// Returns the size that the answer's head promises, in bytes.
    pub fn size(&self) -> u64 {
        self.size
    }

    fn piece(&self) -> &[u8] {
        let head = self.head.len() as u64;
        match self.at < head {
            true => &self.head[self.at as usize..],
            false => &FILLER[((self.at - head) % FILLER.len() as u64) as usize..],
        }
    }
}

impl AsyncRead for CutBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let end = self.cut.map_or(self.size, |cut| cut.min(self.size));
        while self.at < end && buffer.remaining() > 0 {
            let piece = self.piece();
            let left = usize::try_from(end - self.at).unwrap_or(usize::MAX);
            let count = piece.len().min(left).min(buffer.remaining());
            buffer.put_slice(&piece[..count]);
            self.at += count as u64;
        }
        if buffer.filled().is_empty() && end < self.size {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncSeek for CutBody {
    fn start_seek(mut self: Pin<&mut Self>, position: SeekFrom) -> io::Result<()> {
        self.at = match position {
            SeekFrom::Start(at) => at,
            SeekFrom::End(back) => self.size.saturating_add_signed(back),
            SeekFrom::Current(step) => self.at.saturating_add_signed(step),
        };
        Ok(())
    }

    fn poll_complete(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<u64>> {
        Poll::Ready(Ok(self.at))
    }
}
