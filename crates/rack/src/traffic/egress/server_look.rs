//! Looks whether the backend server has ended.

use std::net::SocketAddr;
use std::time::Duration;

use quetzalrack_core::time::Moment;

use super::end_sign::EndSign;
use super::server_client::ServerClient;
use crate::clock;
use crate::traffic::wire::DialError;
use crate::traffic::wire::dial;

/// How long the other connections to the server are given to break as well: those of a server that has ended
/// break together.
const BREAK_SPREAD: Duration = Duration::from_millis(1);
/// How long the server's port may take to accept the connection that shows whether the server has ended.
const LOOK_TIMEOUT: Duration = Duration::from_millis(50);
/// How long that connection is watched: a port without a server behind it closes it at once.
const LOOK_TIME: Duration = Duration::from_millis(4);

impl ServerClient {
    /// Looks whether the server has ended, after a connection to it broke or a response did not come in time
    /// at `noticed`. A single broken connection shows nothing: servers and links lose responses.
    pub(super) async fn look_for_end(
        &self,
        address: SocketAddr,
        noticed: Moment,
    ) -> Option<EndSign> {
        tokio::time::sleep(BREAK_SPREAD).await;
        let stream = match dial(address, LOOK_TIMEOUT).await {
            Ok(stream) => stream,
            Err(DialError::Refused) => {
                self.refused_at.set(Some(clock::now()));
                return Some(EndSign::Refused);
            }
            Err(DialError::TimedOut | DialError::Io(_)) => {
                self.refused_at.set(Some(clock::now()));
                return Some(EndSign::Silent);
            }
        };
        if self.pool.is_connected_since(noticed) {
            return None;
        }
        // The server has nothing to say on this connection, so that it becomes readable by its end alone.
        let closed = tokio::time::timeout(LOOK_TIME, stream.readable()).await;
        if closed.is_err() || self.pool.is_connected_since(noticed) {
            return None;
        }
        // Requests sent there meanwhile would be lost, and suspected of an end that they have no part in.
        self.refused_at.set(Some(clock::now()));
        Some(EndSign::Closed)
    }
}
