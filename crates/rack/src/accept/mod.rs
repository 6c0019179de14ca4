//! Accepting connections.

mod turn_away;

use std::io;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;

use turn_away::turn_away;

/// Delay after a failed accept: the process has usually run out of file descriptors, and some are
/// free shortly after.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// How long connections that are being opened are still accepted when a port is closed: their clients are
/// on the same host or near.
const HANDSHAKE_TIME: Duration = Duration::from_millis(20);

/// Serves each connection of a port in a task of its own, until the process ends.
pub(crate) async fn accept_all<F, S>(listener: TcpListener, port: &'static str, serve: F)
where
    F: Fn(TcpStream) -> S,
    S: Future + 'static,
{
    accept_until(listener, port, serve, std::future::pending()).await;
}

/// Serves each connection of a port in a task of its own until `stop` completes. Connections that are
/// queued then are still accepted and served, since closing the port before would reset them.
pub async fn accept_until<F, S, O>(listener: TcpListener, port: &'static str, serve: F, stop: O)
where
    F: Fn(TcpStream) -> S,
    S: Future + 'static,
    O: Future<Output = ()>,
{
    tokio::select! {
        () = accept_on(&listener, port, &serve) => {}
        () = stop => {}
    }
    match turn_away(&listener) {
        Ok(()) => {
            let accepting = accept_on(&listener, port, &serve);
            tokio::time::timeout(HANDSHAKE_TIME, accepting).await.ok();
        }
        // Not every kernel can do it; a connection that is opened right now may then be reset.
        Err(error) => log::info!(event = "connects_not_filtered", port = port; "{error}"),
    }
    if let Err(error) = accept_queued(listener, &serve) {
        log::warn!(event = "accept_failed", port = port; "{error}");
    }
}

async fn accept_on<F, S>(listener: &TcpListener, port: &'static str, serve: &F)
where
    F: Fn(TcpStream) -> S,
    S: Future + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => spawn_connection(stream, serve),
            Err(error) => {
                log::warn!(event = "accept_failed", port = port; "{error}");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn spawn_connection<F, S>(stream: TcpStream, serve: &F)
where
    F: Fn(TcpStream) -> S,
    S: Future + 'static,
{
    // Only latency depends on it; the connection works without it too.
    stream.set_nodelay(true).ok();
    let serving = serve(stream);
    tokio::task::spawn_local(async move { drop(serving.await) });
}

fn accept_queued<F, S>(listener: TcpListener, serve: &F) -> io::Result<()>
where
    F: Fn(TcpStream) -> S,
    S: Future + 'static,
{
    let listener = listener.into_std()?;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                spawn_connection(TcpStream::from_std(stream)?, serve);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error),
        }
    }
}
