//! Client connections that report when the client disconnects.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Notify;

/// How many bytes are buffered ahead of the HTTP library. Beyond that the client has to wait, as
/// usual, and its disconnect is noticed only once the library has read on.
const READ_AHEAD_BYTES: usize = 256 * 1024;
/// How many bytes are read at once.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// A client connection whose end is noticed while the HTTP library does not read from it.
///
/// While a request is in progress, the library stops reading once it holds the bytes of the next
/// one. The disconnect of a client that sent several requests would go unnoticed, and the backend
/// server would go on working on them.
#[derive(Debug)]
pub(in crate::traffic) struct WatchedStream {
    shared: Rc<Shared>,
    write: OwnedWriteHalf,
}

#[derive(Debug, Default)]
struct Shared {
    state: RefCell<State>,
    space: Notify,
    disconnected: Notify,
}

#[derive(Debug, Default)]
struct State {
    buffered: VecDeque<u8>,
    ended: bool,
    failed: bool,
    reader: Option<Waker>,
    task: Option<tokio::task::AbortHandle>,
}

/// Reports when the client has disconnected.
#[derive(Debug)]
pub(in crate::traffic) struct Disconnect(Rc<Shared>);

impl WatchedStream {
    /// Watches a connection; `inspect` is called with its bytes as they arrive, before the HTTP
    /// library reads them.
    pub(in crate::traffic) fn open<L>(stream: TcpStream, inspect: L) -> (Self, Disconnect)
    where
        L: Fn(&[u8]) + 'static,
    {
        let (read, write) = stream.into_split();
        let shared = Rc::new(Shared::default());
        let task = tokio::task::spawn_local(read_ahead(read, Rc::clone(&shared), inspect));
        shared.state.borrow_mut().task = Some(task.abort_handle());
        let disconnect = Disconnect(Rc::clone(&shared));
        (Self { shared, write }, disconnect)
    }
}

impl Disconnect {
    /// Waits until the client has closed the connection. The HTTP library notices that only if it
    /// holds no bytes of a next request.
    pub(in crate::traffic) async fn wait(&self) {
        self.0.disconnected.notified().await;
    }
}

async fn read_ahead<L>(mut read: OwnedReadHalf, shared: Rc<Shared>, inspect: L)
where
    L: Fn(&[u8]),
{
    let mut chunk = vec![0; READ_CHUNK_BYTES];
    loop {
        while shared.state.borrow().buffered.len() >= READ_AHEAD_BYTES {
            shared.space.notified().await;
        }
        let outcome = read.read(&mut chunk).await;
        if let Ok(count) = &outcome {
            inspect(chunk.get(..*count).unwrap_or_default());
        }
        let mut state = shared.state.borrow_mut();
        match outcome {
            Ok(0) => state.ended = true,
            Ok(count) => state.buffered.extend(chunk.iter().take(count)),
            Err(_) => state.failed = true,
        }
        let ended = state.ended || state.failed;
        if let Some(waker) = state.reader.take() {
            waker.wake();
        }
        if ended {
            shared.disconnected.notify_one();
            return;
        }
    }
}

impl Drop for WatchedStream {
    fn drop(&mut self) {
        if let Some(task) = self.shared.state.borrow_mut().task.take() {
            task.abort();
        }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut state = self.shared.state.borrow_mut();
        if state.buffered.is_empty() {
            if state.failed {
                return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
            }
            if state.ended {
                return Poll::Ready(Ok(()));
            }
            state.reader = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let (front, _) = state.buffered.as_slices();
        let count = front.len().min(buf.remaining());
        buf.put_slice(front.get(..count).unwrap_or_default());
        state.buffered.drain(..count);
        if state.buffered.is_empty() {
            state.buffered.shrink_to(READ_CHUNK_BYTES);
        }
        drop(state);
        self.shared.space.notify_one();
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.write).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.write).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.write).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.write).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.write.is_write_vectored()
    }
}
