//! Opening connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// How long bytes may go unacknowledged, and a silent connection without an answer to a probe: a
/// host without power never resets anything, and a request that was sent to it would hang.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How often a silent connection is probed.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// How many probes may go unanswered.
const KEEPALIVE_RETRIES: u32 = 2;

/// Says why no connection could be opened.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum DialError {
    /// Nobody listens there.
    #[error("nobody listens")]
    Refused,
    /// Nothing came back in time.
    #[error("no answer in time")]
    TimedOut,
    /// Another reason.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Opens a connection within a time.
pub(crate) async fn dial(address: SocketAddr, timeout: Duration) -> Result<TcpStream, DialError> {
    let opened = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
    let stream = match opened {
        Err(_) => return Err(DialError::TimedOut),
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            return Err(DialError::Refused);
        }
        Ok(opened) => opened?,
    };
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    Ok(stream)
}
