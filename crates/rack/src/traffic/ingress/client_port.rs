//! The port for clients.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header::CONNECTION;
use http_body_util::Full;
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
use crate::traffic::wire::LinkPacer;
use crate::traffic::wire::OpenCount;
use crate::traffic::wire::PacedStream;
use crate::traffic::wire::WatchedStream;

/// The smallest buffer that the HTTP library takes for a header section.
const SMALLEST_BUFFER: usize = 8 * 1024;
/// How long the first request of a connection may take to come while the process leaves: clients send it
/// when the connection is open, and a busy host reads it tenths of a second later.
const FIRST_REQUEST: Duration = Duration::from_millis(1_000);

/// Serves clients.
#[derive(Clone)]
pub(in crate::traffic) struct ClientPort {
    pub(in crate::traffic) ingress: Rc<Ingress>,
    pub(in crate::traffic) board: Arc<Board>,
    /// Turns true when idle connections are to be closed.
    pub(in crate::traffic) closing: watch::Receiver<bool>,
    pub(in crate::traffic) pacer: Option<Rc<LinkPacer>>,
    /// The connections of clients.
    pub(in crate::traffic) open: OpenCount,
}

impl ClientPort {
    /// Accepts connections until `last` turns true.
    pub(in crate::traffic) async fn run(
        self,
        listener: TcpListener,
        mut last: watch::Receiver<bool>,
    ) {
        let over = async {
            // Without a sender the process is over as well.
            last.wait_for(|last| *last).await.ok();
        };
        accept_until(
            listener,
            "clients",
            |stream| self.clone().serve(stream),
            over,
        )
        .await;
    }

    async fn serve(self, stream: TcpStream) {
        let _open = self.open.enter();
        let config = self.board.view().intent.config.clone();
        let limits = config.map(|config| config.limits).unwrap_or_default();
        let pipeline = Pipeline::new(Rc::clone(&self.ingress));
        let looking = Rc::clone(&pipeline);
        let watched = Rc::clone(&pipeline);
        let (stream, departure) = WatchedStream::open(stream, move |bytes| looking.look(bytes));
        let stream = PacedStream::new(stream, self.pacer.clone());
        let (port, mut closing) = (self.clone(), self.closing.clone());
        let service = service_fn(move |request| port.clone().answer(Rc::clone(&pipeline), request));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle_time.max(limits.header_time))
            .max_buf_size(limits.header_bytes.max(SMALLEST_BUFFER))
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        // A client that left while its request lay in a queue is looked for first, so that the
        // request is not started.
        tokio::select! {
            biased;
            () = departure.wait() => {}
            // A broken connection has no one to tell.
            _ = connection.as_mut() => {}
            () = watched.slow_head(limits.header_time) => {
                log::info!(event = "head_too_slow", after_ms = limits.header_time.as_millis() as u64; "");
            }
            _ = closing.wait_for(|closing| *closing) => {
                // The first request of a connection that has just been opened may be on its way.
                tokio::select! {
                    biased;
                    () = departure.wait() => return,
                    _ = connection.as_mut() => return,
                    () = watched.first_taken() => {}
                    () = tokio::time::sleep(FIRST_REQUEST) => {}
                }
                connection.as_mut().graceful_shutdown();
                tokio::select! {
                    biased;
                    () = departure.wait() => {}
                    _ = connection.as_mut() => {}
                }
            }
        }
    }

    async fn answer(
        self,
        pipeline: Rc<Pipeline>,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let mut answer = pipeline.answer(request).await.map(Full::new);
        if self.board.is_leaving() {
            answer
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(answer)
    }
}
