//! A server that answers with raw bytes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Bytes after which a server stops, though its answer has no end.
const MAX_BYTES: u64 = 200_000_000;

/// What the server writes after a request.
#[derive(Clone, Debug, Default)]
pub struct RawAnswer {
    /// Written once; `ID` stands for the request's id.
    pub start: String,
    /// Written again and again until the caller closes; the connection is closed if there is none.
    pub repeated: String,
    /// How many bytes of `start` are written.
    pub length: usize,
}

/// What the server answers next, and what it has seen.
#[derive(Debug, Default)]
pub struct RawRecord {
    pub answer: Mutex<RawAnswer>,
    pub requests: AtomicU64,
    /// The most bytes that it wrote on one connection.
    pub longest: AtomicU64,
}

/// Answers each request on a connection of its own.
pub async fn serve_raw(listen: SocketAddr, record: Arc<RawRecord>) {
    let listener = loop {
        match TcpListener::bind(listen).await {
            Ok(listener) => break listener,
            Err(_) => tokio::time::sleep(std::time::Duration::from_millis(2)).await,
        }
    };
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(answer_one(stream, Arc::clone(&record)));
    }
}

async fn answer_one(mut stream: TcpStream, record: Arc<RawRecord>) {
    let mut head = Vec::new();
    while !head.windows(4).any(|end| end == b"\r\n\r\n") {
        match stream.read_buf(&mut head).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
    record.requests.fetch_add(1, Ordering::Relaxed);
    let answer = record.answer.lock().unwrap().clone();
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let id = head
        .lines()
        .find_map(|line| line.strip_prefix("x-request-id: "));
    let start = answer.start.replace("ID", id.unwrap_or_default());
    let start = &start.as_bytes()[..answer.length.min(start.len())];
    if stream.write_all(start).await.is_err() || answer.repeated.is_empty() {
        return;
    }
    let block = answer.repeated.repeat(65_536 / answer.repeated.len() + 1);
    let mut written = 0;
    while written < MAX_BYTES && stream.write_all(block.as_bytes()).await.is_ok() {
        written += block.len() as u64;
        record.longest.fetch_max(written, Ordering::Relaxed);
    }
}
