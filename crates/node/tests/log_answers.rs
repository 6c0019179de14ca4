//! The log client reports an append as refused only if the log service can't have stored it.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::Duration;

use assert_matches::assert_matches;
use quetzalrack_core::boundary::AppendOutcome;
use quetzalrack_core::boundary::LogService;
use quetzalrack_core::boundary::ReadOutcome;
use quetzalrack_core::boundary::Stream;
use quetzalrack_core::ids::Offset;
use quetzalrack_node::platform::HttpLog;
use quetzalrack_node::platform::LogCounters;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

fn stream() -> Stream {
    Stream::Intent("andina".parse().unwrap())
}

fn open(base: &str) -> HttpLog {
    HttpLog::open(base, Arc::new(LogCounters::default())).unwrap()
}

/// Answers every request with `bytes` and closes the connection.
async fn serve(bytes: &'static [u8]) -> HttpLog {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            let mut request = [0; 4096];
            let _ = socket.read(&mut request).await;
            let _ = socket.write_all(bytes).await;
        }
    });
    open(&format!("http://{address}"))
}

async fn append(log: &HttpLog) -> AppendOutcome {
    log.append(&stream(), b"{}".to_vec()).await
}

async fn read(log: &HttpLog) -> ReadOutcome {
    log.read(&stream(), Offset(3), Duration::from_millis(10))
        .await
}

#[tokio::test]
async fn append_accepted() {
    let log = serve(b"HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n{\"offset\":7}").await;
    assert_eq!(append(&log).await, AppendOutcome::Appended(Offset(7)));
}

#[tokio::test]
async fn append_refused() {
    let log = serve(b"HTTP/1.1 429 Too Many Requests\r\ncontent-length: 0\r\n\r\n").await;
    assert_eq!(append(&log).await, AppendOutcome::Refused);
    let log = serve(b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n").await;
    assert_eq!(append(&log).await, AppendOutcome::Refused);
}

#[tokio::test]
async fn connection_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let log = open(&format!("http://{address}"));
    assert_eq!(append(&log).await, AppendOutcome::Refused);
    assert_eq!(read(&log).await, ReadOutcome::Unavailable);
}

#[tokio::test]
async fn response_lost() {
    // The log service stores the record, and its response is lost or truncated. A writer that
    // treated this as "not stored" would append an order twice or report it as failed.
    let responses: [&[u8]; 4] = [
        b"",
        b"HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n{\"off",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
        b"HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n",
    ];
    for bytes in responses {
        let log = serve(bytes).await;
        assert_eq!(append(&log).await, AppendOutcome::Unknown);
    }
}

#[tokio::test]
async fn read_entries() {
    let log = serve(
        b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n\
        {\"entries\": [{\"offset\": 3, \"taken_ms\": 9, \"data\": {\"a\": [1]}}], \"next\": 4, \"at_end\": true}",
    )
    .await;
    assert_matches!(read(&log).await, ReadOutcome::Entries { entries, next: Offset(4), at_end: true } => {
        assert_eq!(entries[0].data, b"{\"a\": [1]}");
        assert_eq!((entries[0].offset, entries[0].taken.0), (Offset(3), 9));
    });
}

#[tokio::test]
async fn read_expired() {
    let log = serve(b"HTTP/1.1 410 Gone\r\ncontent-length: 13\r\n\r\n{\"oldest\": 9}").await;
    assert_eq!(read(&log).await, ReadOutcome::Expired(Offset(9)));
}

#[tokio::test]
async fn read_broken() {
    let responses: [&[u8]; 3] = [
        b"",
        b"HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n{\"entries\": [",
        b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n",
    ];
    for bytes in responses {
        let log = serve(bytes).await;
        assert_eq!(read(&log).await, ReadOutcome::Unavailable);
    }
}
