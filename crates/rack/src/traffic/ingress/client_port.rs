//! The port for clients.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::header::CONNECTION;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::Ingress;
use super::pipeline::Pipeline;
use crate::accept::accept_until;
use crate::shared::Board;
use crate::traffic::body::PayloadStream;
use crate::traffic::wire::ActiveCounter;
use crate::traffic::wire::LinkPacer;
use crate::traffic::wire::PacedStream;
use crate::traffic::wire::WatchedStream;

/// The smallest buffer that the HTTP library accepts for a header section.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// How long the first request of a connection may take to arrive during shutdown: clients send it
/// once the connection is open, and a busy host may read it tenths of a second later.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Serves connections of clients.
#[derive(Clone)]
pub(in crate::traffic) struct ClientPort {
    pub(in crate::traffic) ingress: Rc<Ingress>,
    pub(in crate::traffic) board: Arc<Board>,
    /// Becomes true when idle connections are to be closed.
    pub(in crate::traffic) closing: watch::Receiver<bool>,
    pub(in crate::traffic) pacer: Option<Rc<LinkPacer>>,
    /// Counts the connections of clients.
    pub(in crate::traffic) connections: ActiveCounter,
}

impl ClientPort {
    /// Accepts connections until `stop_accepting` becomes true.
    pub(in crate::traffic) async fn run(
        self,
        listener: TcpListener,
        mut stop_accepting: watch::Receiver<bool>,
    ) {
        let stopped = async {
            // If the sender is dropped, the process ends as well.
            stop_accepting
                .wait_for(|stop_accepting| *stop_accepting)
                .await
                .ok();
        };
        accept_until(
            listener,
            "clients",
            |stream| self.clone().serve(stream),
            stopped,
        )
        .await;
    }

    async fn serve(self, stream: TcpStream) {
        let _active = self.connections.enter();
        let config = self.board.view().intent.config.clone();
        let limits = config.map(|config| config.limits).unwrap_or_default();
        let pipeline = Pipeline::new(Rc::clone(&self.ingress));
        let scanner = Rc::clone(&pipeline);
        let head_watch = Rc::clone(&pipeline);
        let (stream, disconnect) = WatchedStream::open(stream, move |bytes| scanner.scan(bytes));
        let stream = PacedStream::new(stream, self.pacer.clone());
        let (port, mut closing) = (self.clone(), self.closing.clone());
        let early_watch = Rc::clone(&pipeline);
        let service = service_fn(move |request| port.clone().handle(Rc::clone(&pipeline), request));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
            .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        // A disconnect of the client is checked first, so that its queued request is not started.
        tokio::select! {
            biased;
            () = disconnect.wait() => {}
            // A broken connection leaves nobody to notify.
            _ = connection.as_mut() => {}
            () = head_watch.wait_slow_head(limits.header_timeout) => {
                log::info!(event = "head_too_slow", after_ms = limits.header_timeout.as_millis() as u64; "");
            }
            _ = closing.wait_for(|closing| *closing) => {
                // The first request of a newly opened connection may be on its way.
                tokio::select! {
                    biased;
                    () = disconnect.wait() => return,
                    _ = connection.as_mut() => return,
                    () = head_watch.wait_first_request() => {}
                    () = tokio::time::sleep(FIRST_REQUEST_TIMEOUT) => {}
                }
                tokio::select! {
                    biased;
                    () = disconnect.wait() => return,
                    _ = connection.as_mut() => return,
                    () = early_watch.wait_early_requests() => {}
                }
                connection.as_mut().graceful_shutdown();
                tokio::select! {
                    biased;
                    () = disconnect.wait() => {}
                    _ = connection.as_mut() => {}
                }
            }
        }
    }

    async fn handle(
        self,
        pipeline: Rc<Pipeline>,
        request: Request<Incoming>,
    ) -> Result<Response<PayloadStream>, Infallible> {
        let mut response = pipeline.respond(request).await.map(PayloadStream::from);
        if self.board.is_shutting_down() && !pipeline.has_early_requests() {
            response
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }
}
