//! Clients that write raw HTTP on a connection of their own.

use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::World;

/// Result of a request on a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionOutcome {
    Answered,
    /// No process listens on the port.
    Refused,
    /// The connection was opened and ended without a response.
    Cut,
}

/// A client's connection on which raw text is written.
pub struct RawConnection(TcpStream);

impl RawConnection {
    /// Writes a text.
    pub async fn send(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).await.unwrap();
    }

    /// Returns what is received until the connection ends, or within `stay`.
    pub async fn read_to_end(&mut self, stay: Duration) -> String {
        let mut text = Vec::new();
        tokio::time::timeout(stay, self.0.read_to_end(&mut text))
            .await
            .ok();
        String::from_utf8(text).unwrap()
    }
}

impl World {
    /// Opens a connection to a host's port for clients.
    pub async fn open_connection(&self, index: usize) -> RawConnection {
        RawConnection(TcpStream::connect(self.hosts[index].clients).await.unwrap())
    }

    /// Sends a text to a host's port for other nodes, and returns what is received within `stay`.
    pub async fn send_to_peer_port(&self, index: usize, text: &str, stay: Duration) -> String {
        let stream = TcpStream::connect(self.hosts[index].hops()).await.unwrap();
        let mut connection = RawConnection(stream);
        connection.send(text).await;
        connection.read_to_end(stay).await
    }

    /// Sends pipelined requests on one connection and closes it after `stay`.
    pub async fn send_and_close(&self, index: usize, sent: &[(&str, &str)], stay: Duration) {
        let _stream = self.send_pipelined(index, sent).await;
        tokio::time::sleep(stay).await;
    }

    /// Sends pipelined requests on one connection and returns the ids of the responses in order of
    /// arrival.
    pub async fn send_all(&self, index: usize, ids: &[&str]) -> Vec<String> {
        let sent: Vec<(&str, &str)> = ids.iter().map(|id| ("/plain/1", *id)).collect();
        let mut stream = self.send_pipelined(index, &sent).await;
        let mut text = String::new();
        while text.matches("done by").count() < ids.len() {
            let mut piece = [0; 4_096];
            let count = stream.read(&mut piece).await.unwrap();
            assert!(count > 0, "the connection ended after {text}");
            text.push_str(std::str::from_utf8(&piece[..count]).unwrap());
        }
        let lines = text.lines().filter_map(|line| line.split_once(": "));
        let ids = lines.filter(|(name, _)| name.eq_ignore_ascii_case("x-request-id"));
        ids.map(|(_, id)| id.to_owned()).collect()
    }

    async fn send_pipelined(&self, index: usize, sent: &[(&str, &str)]) -> TcpStream {
        let mut stream = TcpStream::connect(self.hosts[index].clients).await.unwrap();
        let requests = sent.iter().map(|(path, id)| {
            format!("GET {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1500\r\n\r\n")
        });
        let text: String = requests.collect();
        stream.write_all(text.as_bytes()).await.unwrap();
        stream
    }

    /// Sends a request on a new connection.
    pub async fn request_on_new_connection(&self, index: usize, path: &str) -> ConnectionOutcome {
        self.request_after_pause(index, path, Duration::ZERO).await
    }

    /// Opens a connection, and sends a request on it after a pause.
    pub async fn request_after_pause(
        &self,
        index: usize,
        path: &str,
        pause: Duration,
    ) -> ConnectionOutcome {
        let Ok(mut stream) = TcpStream::connect(self.hosts[index].clients).await else {
            return ConnectionOutcome::Refused;
        };
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
        let request = format!(
            "GET {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: anew\r\nX-Deadline-Ms: 1500\r\n\r\n"
        );
        if stream.write_all(request.as_bytes()).await.is_err() {
            return ConnectionOutcome::Cut;
        }
        match stream.read(&mut [0; 64]).await {
            Ok(count) if count > 0 => ConnectionOutcome::Answered,
            _ => ConnectionOutcome::Cut,
        }
    }

    /// Sends texts on one connection with short pauses between them, and returns everything that is
    /// received within `stay` after the last.
    pub async fn send_pieces(&self, index: usize, pieces: &[&str], stay: Duration) -> String {
        let mut stream = TcpStream::connect(self.hosts[index].clients).await.unwrap();
        for piece in pieces {
            stream.write_all(piece.as_bytes()).await.unwrap();
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let mut text = Vec::new();
        // The node keeps the connection open, so reading ends at the timeout.
        tokio::time::timeout(stay, stream.read_to_end(&mut text))
            .await
            .ok();
        String::from_utf8(text).unwrap()
    }

    /// Sends two texts on one connection with a pause between them, and returns what is received.
    pub async fn send_apart(
        &self,
        index: usize,
        first: &str,
        pause: Duration,
        second: &str,
    ) -> String {
        let mut stream = TcpStream::connect(self.hosts[index].clients).await.unwrap();
        stream.write_all(first.as_bytes()).await.unwrap();
        tokio::time::sleep(pause).await;
        stream.write_all(second.as_bytes()).await.unwrap();
        let mut text = Vec::new();
        // The node keeps the connection open, so reading ends at the timeout.
        tokio::time::timeout(Duration::from_secs(1), stream.read_to_end(&mut text))
            .await
            .ok();
        String::from_utf8(text).unwrap()
    }
}
