//! Taking jobs from other nodes.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use quetzalrack_mesh::traffic::RefusalReason;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::INTENT_PATH;
use super::hop_answer;
use super::hop_request;
use crate::accept::accept_all;
use crate::clock;
use crate::shared::Board;
use crate::traffic::egress::Egress;
use crate::traffic::outcome::Outcome;
use crate::traffic::outcome::Report;
use crate::traffic::wire::LinkPacer;
use crate::traffic::wire::OpenCount;
use crate::traffic::wire::PacedStream;

/// How soon a node asks again that was refused because this one is shutting down.
const AFTER_SHUTDOWN: Duration = Duration::from_millis(500);

/// Serves other nodes.
#[derive(Clone)]
pub(in crate::traffic) struct HopServer {
    pub(in crate::traffic) egress: Rc<Egress>,
    pub(in crate::traffic) board: Arc<Board>,
    pub(in crate::traffic) pacer: Option<Rc<LinkPacer>>,
    /// The connections of other nodes.
    pub(in crate::traffic) open: OpenCount,
    /// Turns true when they are to be closed, each after the answer that is being written.
    pub(in crate::traffic) closing: watch::Receiver<bool>,
}

impl HopServer {
    /// Accepts connections until the process ends.
    pub(in crate::traffic) async fn run(self, listener: TcpListener) {
        accept_all(listener, "nodes", |stream| self.clone().serve(stream)).await;
    }

    async fn serve(self, stream: TcpStream) {
        let _open = self.open.enter();
        let mut closing = self.closing.clone();
        let stream = PacedStream::new(stream, self.pacer.clone());
        let service = service_fn(move |request| self.clone().answer(request));
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        tokio::select! {
            // A broken connection has no one to tell; its jobs were cancelled with it.
            _ = connection.as_mut() => {}
            _ = closing.wait_for(|closing| *closing) => {
                connection.as_mut().graceful_shutdown();
                connection.await.ok();
            }
        }
    }

    async fn answer(self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        let of_intent = request.uri().path() == INTENT_PATH;
        if of_intent && request.method() == Method::GET {
            return Ok(self.intent());
        }
        let (parts, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return Ok(malformed());
        };
        let body = body.to_bytes();
        if of_intent {
            return Ok(self.meet(&body));
        }
        let Some(job) = hop_request::read(clock::now(), parts, body) else {
            return Ok(malformed());
        };
        let report = match self.board.is_leaving() && self.egress.is_closed() {
            true => Report::bare(Outcome::NotRun(RefusalReason::NodeAway, AFTER_SHUTDOWN)),
            false => self.egress.serve(&job).await,
        };
        Ok(hop_answer::write(report))
    }

    /// Notes a node that knows the operators' document.
    fn meet(&self, body: &[u8]) -> Response<Full<Bytes>> {
        match postcard::from_bytes(body) {
            Ok(neighbour) => {
                self.board.meet(neighbour);
                Response::default()
            }
            Err(error) => {
                log::warn!(event = "neighbour_unreadable"; "{error}");
                malformed()
            }
        }
    }

    fn intent(&self) -> Response<Full<Bytes>> {
        let view = self.board.view();
        match postcard::to_allocvec(view.intent.as_ref()) {
            Ok(bytes) => Response::new(Full::new(bytes.into())),
            Err(error) => {
                log::error!(event = "intent_not_written"; "{error}");
                malformed()
            }
        }
    }
}

fn malformed() -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::BAD_REQUEST;
    response
}
