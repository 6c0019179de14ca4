//! HTTP server of the metrics page.

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
use crate::accept::accept_all;

/// Serves the page on every path until the process ends.
pub async fn serve_metrics(listener: TcpListener, metrics: Arc<Metrics>) {
    accept_all(listener, "metrics", move |stream| {
        let metrics = Arc::clone(&metrics);
        let service = service_fn(move |_: Request<Incoming>| {
            let page = metrics.page();
            async move { Ok::<_, Infallible>(Response::new(Full::new(Bytes::from(page)))) }
        });
        // A failed connection needs no handling: the client requests the page again.
        http1::Builder::new().serve_connection(TokioIo::new(stream), service)
    })
    .await;
}
