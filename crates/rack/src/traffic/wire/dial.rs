//! Opens TCP connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// How long sent bytes may stay unacknowledged and keepalive probes unanswered: a host that lost
/// power never resets a connection, and a request sent to it would hang.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Interval of the keepalive probes on an idle connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// How many keepalive probes may stay unanswered.
const KEEPALIVE_RETRIES: u32 = 2;

/// Why no connection could be opened.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum DialError {
    /// The port refused the connection.
    #[error("connection refused")]
    Refused,
    /// The host did not respond in time.
    #[error("connection timed out")]
    TimedOut,
    /// Another error.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Opens a connection within a timeout.
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
