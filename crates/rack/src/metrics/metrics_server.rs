//! The metrics address.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use super::Metrics;

/// Serves the page to whoever asks, whatever the path, until the process ends.
pub async fn serve_metrics(listener: TcpListener, metrics: Arc<Metrics>) {
    while let Ok((stream, _)) = listener.accept().await {
        let metrics = Arc::clone(&metrics);
        let service = service_fn(move |_: Request<Incoming>| {
            let page = metrics.page();
            async move { Ok::<_, Infallible>(Response::new(Full::new(Bytes::from(page)))) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        // Whoever asked has gone; the next one asks again.
        tokio::task::spawn_local(async move { connection.await.ok() });
    }
}
