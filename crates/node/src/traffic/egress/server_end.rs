//! What was under way at the backend server when it ended.

use std::net::SocketAddr;
use std::time::Duration;

use quetzalrack_core::ids::Incarnation;
use quetzalrack_core::ids::ServerName;
use quetzalrack_core::traffic::poison::ServerLife;
use tokio::net::TcpStream;

use super::Egress;
use super::prepared_request::ResponseOrigin;

/// How long the port may take to accept the connection that shows whether the server has ended.
const LOOK_TIMEOUT: Duration = Duration::from_millis(50);
/// How long that connection is watched: a port without a server behind it closes it at once.
const LOOK_TIME: Duration = Duration::from_millis(4);
/// How many contents a log line names.
const MAX_LOGGED_CONTENTS: usize = 8;

/// What shows that a backend server has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndSign {
    /// Its port refuses connections.
    Refused,
    /// Its port does not respond.
    Silent,
    /// Its port closes connections at once.
    Closed,
    /// A later incarnation of it has announced itself.
    Replaced,
}

impl Egress {
    /// Looks whether the server has ended after a response of it was lost, and records its end. A broken
    /// connection alone shows nothing: servers and links lose responses.
    pub(super) async fn check_server(&self, origin: &ResponseOrigin) {
        if let Some(sign) = look(origin.address).await {
            let life = server_life(&origin.server, origin.incarnation);
            self.record_end(life, &origin.server, sign);
            self.suspects.wait_told().await;
        }
    }

    /// Records the end of a server.
    pub(super) fn record_end(&self, life: ServerLife, server: &ServerName, sign: EndSign) {
        let ended = self.suspects.record_end(life);
        if ended.is_empty() {
            return;
        }
        let named = ended.iter().take(MAX_LOGGED_CONTENTS);
        let under: Vec<String> = named.map(|request| request.content.to_string()).collect();
        log::warn!(
            event = "server_ended", server:% = server, why = sign.name(), requests = ended.len(),
            under = under.join(" ");
            "the backend server ended with requests under way"
        );
    }
}

impl EndSign {
    fn name(self) -> &'static str {
        match self {
            Self::Refused => "its port refuses connections",
            Self::Silent => "its port does not respond",
            Self::Closed => "its port closes connections",
            Self::Replaced => "its successor runs",
        }
    }
}

/// Returns the identity by which nodes tell each other of the end of a server.
pub(super) fn server_life(server: &ServerName, incarnation: Incarnation) -> ServerLife {
    ServerLife::of(server.as_str(), incarnation.0)
}

async fn look(address: SocketAddr) -> Option<EndSign> {
    let connected = tokio::time::timeout(LOOK_TIMEOUT, TcpStream::connect(address)).await;
    let stream = match connected {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            return Some(EndSign::Refused);
        }
        Ok(Err(_)) | Err(_) => return Some(EndSign::Silent),
    };
    // The server has nothing to say on this connection, so that it becomes readable by its end alone.
    let closed = tokio::time::timeout(LOOK_TIME, stream.readable()).await;
    closed.is_ok().then_some(EndSign::Closed)
}
