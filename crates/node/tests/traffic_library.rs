//! Compares axum and rocket for the traffic port: what each does when a caller disconnects and when
//! a streamed response is truncated. `docs/design/traffic.md` explains the choice of axum.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod traffic_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::body::Body;
use bytes::Bytes;
use futures::stream;
use rocket::response::Responder;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio_util::io::StreamReader;
use traffic_support::eventually;

#[derive(Clone, Default)]
struct HandlerState {
    started: Arc<AtomicBool>,
    dropped: Arc<AtomicBool>,
    finished: Arc<AtomicBool>,
}

struct OnDrop(Arc<AtomicBool>);

impl Drop for OnDrop {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

impl HandlerState {
    async fn work(self) -> &'static str {
        let _on_drop = OnDrop(Arc::clone(&self.dropped));
        self.started.store(true, Ordering::SeqCst);
        tokio::time::sleep(Duration::from_millis(600)).await;
        self.finished.store(true, Ordering::SeqCst);
        "done"
    }

    async fn cancels_on_disconnect(&self, address: SocketAddr) -> bool {
        let mut caller = tokio::net::TcpStream::connect(address).await.unwrap();
        caller
            .write_all(b"GET /slow HTTP/1.1\r\nhost: x\r\n\r\n")
            .await
            .unwrap();
        eventually("started", || self.started.load(Ordering::SeqCst)).await;
        drop(caller);
        eventually("dropped", || self.dropped.load(Ordering::SeqCst)).await;
        !self.finished.load(Ordering::SeqCst)
    }
}

/// Reads a raw response and returns whether it ends with the last chunk of a chunked body.
async fn has_last_chunk(address: SocketAddr) -> bool {
    let mut caller = tokio::net::TcpStream::connect(address).await.unwrap();
    caller
        .write_all(b"GET /cut HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
        .await
        .unwrap();
    let mut response = Vec::new();
    let _ = caller.read_to_end(&mut response).await;
    response.ends_with(b"0\r\n\r\n")
}

#[rocket::get("/slow")]
async fn rocket_slow(state: &rocket::State<HandlerState>) -> &'static str {
    state.inner().clone().work().await
}

/// A streamed body of unknown length whose source fails midway.
struct TruncatedBody;

impl<'r> Responder<'r, 'static> for TruncatedBody {
    fn respond_to(self, _: &'r rocket::Request<'_>) -> rocket::response::Result<'static> {
        let broken = std::io::Error::other("source broke");
        let pieces = stream::iter([Ok(Bytes::from_static(b"half")), Err(broken)]);
        rocket::Response::build()
            .streamed_body(StreamReader::new(pieces))
            .ok()
    }
}

#[rocket::get("/cut")]
fn rocket_truncated() -> TruncatedBody {
    TruncatedBody
}

async fn start_rocket(state: HandlerState) -> SocketAddr {
    let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = free.local_addr().unwrap();
    drop(free);
    let config = rocket::Config {
        address: address.ip(),
        port: address.port(),
        log_level: rocket::config::LogLevel::Off,
        ..rocket::Config::debug_default()
    };
    let server = rocket::custom(config)
        .manage(state)
        .mount("/", rocket::routes![rocket_slow, rocket_truncated]);
    tokio::spawn(async move { server.launch().await });
    let mut tries = 0;
    while tokio::net::TcpStream::connect(address).await.is_err() {
        tries += 1;
        assert!(tries < 500, "rocket never listened");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    address
}

async fn start_axum(state: HandlerState) -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let truncated = || async {
        let pieces = stream::iter([Ok(Bytes::from_static(b"half")), Err("source broke")]);
        Body::from_stream(pieces)
    };
    let router = axum::Router::new()
        .route("/slow", axum::routing::get(move || state.clone().work()))
        .route("/cut", axum::routing::get(truncated));
    tokio::spawn(async move { axum::serve(listener, router).await.unwrap() });
    address
}

/// The caller disconnects while the handler works. Work whose response nobody reads must be
/// cancelled, so the handler's future must be dropped: axum drops it, rocket runs it to its end.
#[tokio::test]
async fn caller_disconnects() {
    let (axum_state, rocket_state) = (HandlerState::default(), HandlerState::default());
    let axum = start_axum(axum_state.clone()).await;
    assert!(
        axum_state.cancels_on_disconnect(axum).await,
        "axum must cancel"
    );
    let rocket = start_rocket(rocket_state.clone()).await;
    assert!(
        !rocket_state.cancels_on_disconnect(rocket).await,
        "rocket cancels too and could replace axum"
    );
}

/// A streamed body of unknown length fails midway. The caller must see a broken connection: with
/// axum it does, with rocket the truncated body looks complete.
#[tokio::test]
async fn truncated_stream() {
    let axum = start_axum(HandlerState::default()).await;
    assert!(
        !has_last_chunk(axum).await,
        "axum must break the connection"
    );
    let rocket = start_rocket(HandlerState::default()).await;
    assert!(
        has_last_chunk(rocket).await,
        "rocket breaks it too and could replace axum"
    );
}
