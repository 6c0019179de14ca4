//! Accepting connections.

use std::io;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// How long to wait after a failed accept: the process has run out of descriptors, and a moment
/// later some are free.
const PAUSE: Duration = Duration::from_millis(20);

/// Serves each connection of a port in a task of its own, until the process ends.
pub(crate) async fn accept_all<F, S>(listener: TcpListener, port: &'static str, serve: F)
where
    F: Fn(TcpStream) -> S,
    S: Future + 'static,
{
    accept_until(listener, port, serve, std::future::pending()).await;
}

/// Serves each connection of a port in a task of its own until `over`, and those that wait to be accepted
/// then; the port is closed afterwards. Closed before, it would cut them.
pub(crate) async fn accept_until<F, S, O>(
    listener: TcpListener,
    port: &'static str,
    serve: F,
    over: O,
) where
    F: Fn(TcpStream) -> S,
    S: Future + 'static,
    O: Future<Output = ()>,
{
    let mut over = std::pin::pin!(over);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = over.as_mut() => break,
        };
        match accepted {
            Ok((stream, _)) => serve_apart(stream, &serve),
            Err(error) => {
                log::warn!(event = "accept_failed", port = port; "{error}");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
    if let Err(error) = accept_waiting(listener, &serve) {
        log::warn!(event = "accept_failed", port = port; "{error}");
    }
}

fn serve_apart<F, S>(stream: TcpStream, serve: &F)
where
    F: Fn(TcpStream) -> S,
    S: Future + 'static,
{
    // Latency only; a socket that refuses it works all the same.
    stream.set_nodelay(true).ok();
    let serving = serve(stream);
    tokio::task::spawn_local(async move { drop(serving.await) });
}

fn accept_waiting<F, S>(listener: TcpListener, serve: &F) -> io::Result<()>
where
    F: Fn(TcpStream) -> S,
    S: Future + 'static,
{
    let listener = listener.into_std()?;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                serve_apart(TcpStream::from_std(stream)?, serve);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error),
        }
    }
}
