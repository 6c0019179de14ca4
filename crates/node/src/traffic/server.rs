//! The HTTP server on the traffic port.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use axum::Router;
use axum::body::Body;
use axum::extract::Request;
use axum::extract::State;
use axum::http::HeaderValue;
use axum::http::Response;
use axum::http::header;
use axum::serve::ListenerExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::sync::watch;

use super::error::TrafficError;
use super::traffic_core::TrafficCore;

/// The most connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Opens the traffic port.
pub(super) fn listen(address: SocketAddr) -> Result<TcpListener, TrafficError> {
    let open = || -> std::io::Result<TcpListener> {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    open().map_err(|source| TrafficError::Bind { address, source })
}

/// Serves the traffic port until `shutdown` turns true and every open request is answered.
pub(super) async fn serve(
    listener: TcpListener,
    core: Arc<TrafficCore>,
    mut shutdown: watch::Receiver<bool>,
) {
    let router = Router::new().fallback(handle).with_state(core);
    let listener = listener.tap_io(|stream| {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(event = "nodelay_refused", error:% = error; "TCP_NODELAY was not set; small packets may be delayed");
        }
    });
    let shutdown_requested = async move {
        let _ = shutdown.wait_for(|shutdown| *shutdown).await;
    };
    let served = axum::serve(listener, router).with_graceful_shutdown(shutdown_requested);
    if let Err(error) = served.await {
        log::error!(event = "traffic_port_failed", error:% = error; "the traffic port no longer accepts requests");
    }
}

async fn handle(State(core): State<Arc<TrafficCore>>, request: Request) -> Response<Body> {
    let mut response = Arc::clone(&core).handle_request(request).await;
    if core.shutting_down.load(Ordering::Acquire) {
        // If an idle connection is closed while the caller sends its next request, that request
        // is lost. A close announced in a response avoids this race.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}
