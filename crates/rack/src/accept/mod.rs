//! Accepting connections.

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
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Latency only; a socket that refuses it works all the same.
                stream.set_nodelay(true).ok();
                let serving = serve(stream);
                tokio::task::spawn_local(async move { drop(serving.await) });
            }
            Err(error) => {
                log::warn!(event = "accept_failed", port = port; "{error}");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}
