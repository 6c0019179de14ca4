//! Serves jobs that other nodes send.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use quetzalrack_mesh::traffic::RefusalReason;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::INTENT_PATH;
use super::SUSPECTS_PATH;
use super::hop_request;
use super::hop_request::DecodedRequest;
use super::hop_response;
use crate::accept::accept_all;
use crate::budget::NoRoom;
use crate::budget::ProcessBudget;
use crate::clock;
use crate::shared::Board;
use crate::traffic::body::Payload;
use crate::traffic::body::PayloadStream;
use crate::traffic::egress::Egress;
use crate::traffic::outcome::AttemptReport;
use crate::traffic::outcome::Outcome;
use crate::traffic::suspects::Suspects;
use crate::traffic::wire::ActiveCounter;
use crate::traffic::wire::LateEndStream;
use crate::traffic::wire::LinkPacer;
use crate::traffic::wire::PacedStream;

/// When a node may retry a job that is refused because this node is shutting down.
const RETRY_AFTER_SHUTDOWN: Duration = Duration::from_millis(500);

/// Serves connections of other nodes.
#[derive(Clone)]
pub(in crate::traffic) struct HopServer {
    pub(in crate::traffic) egress: Rc<Egress>,
    pub(in crate::traffic) board: Arc<Board>,
    pub(in crate::traffic) suspects: Rc<Suspects>,
    pub(in crate::traffic) budget: Rc<ProcessBudget>,
    pub(in crate::traffic) pacer: Option<Rc<LinkPacer>>,
    /// Counts the connections of other nodes.
    pub(in crate::traffic) connections: ActiveCounter,
    /// Becomes true when the connections are to be closed, each after the response that is being
    /// written.
    pub(in crate::traffic) closing: watch::Receiver<bool>,
}

impl HopServer {
    /// Accepts connections until the process ends.
    pub(in crate::traffic) async fn run(self, listener: TcpListener) {
        accept_all(listener, "nodes", |stream| self.clone().serve(stream)).await;
    }

    async fn serve(self, stream: TcpStream) {
        let _active = self.connections.enter();
        let mut closing = self.closing.clone();
        let stream = LateEndStream::new(PacedStream::new(stream, self.pacer.clone()));
        let service = service_fn(move |request| self.clone().handle(request));
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        tokio::select! {
            // A broken connection leaves nobody to notify; its jobs were cancelled with it.
            _ = connection.as_mut() => {}
            _ = closing.wait_for(|closing| *closing) => {
                connection.as_mut().graceful_shutdown();
                connection.await.ok();
            }
        }
    }

    async fn handle(
        self,
        request: Request<Incoming>,
    ) -> Result<Response<PayloadStream>, Infallible> {
        Ok(self.respond(request).await.map(PayloadStream::from))
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Payload> {
        let is_intent = request.uri().path() == INTENT_PATH;
        if is_intent && request.method() == Method::GET {
            return self.intent_response();
        }
        let is_suspects = request.uri().path() == SUSPECTS_PATH;
        if is_suspects && request.method() == Method::GET {
            return self.suspects_response();
        }
        let (parts, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return bad_request();
        };
        let body = body.to_bytes();
        if is_intent {
            return self.receive_intent_source(&body);
        }
        if is_suspects {
            return self.receive_suspects(&body);
        }
        let Some(request) = hop_request::decode(clock::now(), parts, Payload::from(body)) else {
            return bad_request();
        };
        let DecodedRequest { job, told, ends } = request;
        let mut report = match self.egress.takes_peer_job(&job) {
            false => AttemptReport::new(Outcome::NotRun(
                RefusalReason::NodeAway,
                RETRY_AFTER_SHUTDOWN,
            )),
            true => self.egress.serve_peer(&job, told.as_ref(), &ends).await,
        };
        report.age = self.suspects.age_to_tell();
        hop_response::encode(report)
    }

    /// Records the address of a node that has the operators' document.
    fn receive_intent_source(&self, body: &[u8]) -> Response<Payload> {
        match postcard::from_bytes(body) {
            Ok(source) => {
                self.board.set_intent_source(source);
                Response::default()
            }
            Err(error) => {
                log::warn!(event = "neighbour_unreadable"; "{error}");
                bad_request()
            }
        }
    }

    fn receive_suspects(&self, body: &[u8]) -> Response<Payload> {
        match postcard::from_bytes(body) {
            Ok(news) => {
                self.suspects.receive(&news);
                Response::default()
            }
            Err(error) => {
                log::warn!(event = "suspects_unreadable"; "{error}");
                bad_request()
            }
        }
    }

    fn suspects_response(&self) -> Response<Payload> {
        match postcard::to_allocvec(&self.suspects.all()) {
            Ok(bytes) => self.own_response(&bytes),
            Err(error) => {
                log::error!(event = "suspects_not_written"; "{error}");
                bad_request()
            }
        }
    }

    fn intent_response(&self) -> Response<Payload> {
        let view = self.board.view();
        match postcard::to_allocvec(view.intent.as_ref()) {
            Ok(bytes) => self.own_response(&bytes),
            Err(error) => {
                log::error!(event = "intent_not_written"; "{error}");
                bad_request()
            }
        }
    }

    /// Makes a response of this process, which is charged like those of servers: a peer may not read it.
    fn own_response(&self, bytes: &[u8]) -> Response<Payload> {
        match Payload::charged(&self.budget, bytes) {
            Ok(payload) => Response::new(payload),
            Err(NoRoom) => {
                let mut response = Response::new(Payload::default());
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                response
            }
        }
    }
}

fn bad_request() -> Response<Payload> {
    let mut response = Response::new(Payload::default());
    *response.status_mut() = StatusCode::BAD_REQUEST;
    response
}
