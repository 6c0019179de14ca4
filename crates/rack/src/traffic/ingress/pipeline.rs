//! Starts pipelined requests, which a client sends before the one before them is answered.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::request::Parts;
use http_body_util::Empty;
use hyper::body::Incoming;
use quetzalrack_core::time::Moment;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use super::Ingress;
use crate::clock;
use crate::traffic::body::Payload;
use crate::traffic::wire::RequestScanner;
use crate::traffic::wire::ScannedHead;

/// How many requests of one connection are started early: clients pipeline a few, and more would
/// let one connection take the capacity that others wait for.
const MAX_EARLY_REQUESTS: usize = 8;
/// How often an overdue head is checked again while an earlier response is in progress.
const SLOW_HEAD_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Starts the requests of one connection as they arrive, while the HTTP library answers them one
/// after another, in their order.
///
/// Without this a client's second request would wait for the response to its first, for a service
/// time or more, although a server is free: with a service time of 0.5 s and objectives of 1.2 s
/// half of them were late.
pub(super) struct Pipeline {
    ingress: Rc<Ingress>,
    scanner: RefCell<RequestScanner>,
    early_requests: RefCell<BTreeMap<u64, EarlyRequest>>,
    /// Notified when an early request was taken over.
    early_taken: Notify,
    /// How many requests the HTTP library has passed on.
    received: Cell<u64>,
    first_received: Notify,
    /// How many of them have been answered.
    answered: Cell<u64>,
    /// The number of the request whose head was received in part, and when it began.
    partial_head: Cell<Option<(u64, Moment)>>,
    head_started: Notify,
}

/// A request that was started early; dropping it cancels it, also at its server.
struct EarlyRequest {
    parts: Parts,
    response: JoinHandle<Response<Payload>>,
}

impl Drop for EarlyRequest {
    fn drop(&mut self) {
        self.response.abort();
    }
}

impl Pipeline {
    pub(super) fn new(ingress: Rc<Ingress>) -> Rc<Self> {
        Rc::new(Self {
            ingress,
            scanner: RefCell::default(),
            early_requests: RefCell::default(),
            early_taken: Notify::new(),
            received: Cell::default(),
            first_received: Notify::new(),
            answered: Cell::default(),
            partial_head: Cell::default(),
            head_started: Notify::new(),
        })
    }

    /// Scans what the client sent before the HTTP library reads it.
    pub(super) fn scan(&self, bytes: &[u8]) {
        let heads = self.scanner.borrow_mut().scan(bytes);
        self.track_head();
        for head in heads {
            self.start_early(head);
        }
    }

    fn track_head(&self) {
        let partial_request = self.scanner.borrow().partial_request();
        let tracked = self.partial_head.get().map(|(number, _)| number);
        if partial_request != tracked {
            self.partial_head
                .set(partial_request.map(|number| (number, clock::now())));
            self.head_started.notify_one();
        }
    }

    /// Waits until the HTTP library has passed on the first request.
    pub(super) async fn wait_first_request(&self) {
        if self.received.get() == 0 {
            self.first_received.notified().await;
        }
    }

    /// Returns whether requests were started that the HTTP library has not passed on yet. They may have been
    /// passed on to servers, so the connection must not close before their responses.
    pub(super) fn has_early_requests(&self) -> bool {
        !self.early_requests.borrow().is_empty()
    }

    /// Waits until no such request is left.
    pub(super) async fn wait_early_requests(&self) {
        while self.has_early_requests() {
            self.early_taken.notified().await;
        }
    }

    /// Waits until the client has taken longer than `limit` for one head and every earlier request
    /// is answered.
    ///
    /// The HTTP library has one timer for a head and for the idle time between two requests. With
    /// that timer alone a client that sends a byte now and then could hold its connection for the
    /// idle time, again for each head, and enough such clients would use up the file descriptors.
    pub(super) async fn wait_slow_head(&self, limit: Duration) {
        loop {
            let Some((_, since)) = self.partial_head.get() else {
                self.head_started.notified().await;
                continue;
            };
            let left = (since + limit).since(clock::now());
            let busy = self.answered.get() < self.received.get();
            match (left.is_zero(), busy) {
                (true, false) => return,
                (true, true) => tokio::time::sleep(SLOW_HEAD_POLL_INTERVAL).await,
                (false, _) => tokio::time::sleep(left).await,
            }
        }
    }

    /// Responds to the next request that the HTTP library has read.
    pub(super) async fn respond(&self, request: Request<Incoming>) -> Response<Payload> {
        let number = self.received.get();
        self.received.set(number + 1);
        self.first_received.notify_one();
        let (parts, body) = request.into_parts();
        let early = self.early_requests.borrow_mut().remove(&number);
        self.early_taken.notify_one();
        let response = match early {
            Some(mut early) if is_same(&early.parts, &parts) => (&mut early.response).await.ok(),
            Some(_) => {
                // The HTTP library parsed these bytes differently, and its result takes precedence.
                self.scanner.borrow_mut().stop();
                self.early_requests.borrow_mut().clear();
                None
            }
            None => None,
        };
        let response = match response {
            Some(response) => response,
            None => self.ingress.serve(parts, body).await,
        };
        self.answered.set(self.answered.get() + 1);
        response
    }

    /// Starts a request that would have to wait for earlier responses. Only requests that may be
    /// repeated are started: after a response that closes the connection, the client sends the
    /// requests behind it again. None is started during shutdown, when responses close the connection.
    fn start_early(&self, head: ScannedHead) {
        let must_wait = head.number > self.answered.get();
        let has_room = self.early_requests.borrow().len() < MAX_EARLY_REQUESTS;
        let closes = self.ingress.board.is_shutting_down();
        if closes || !must_wait || !has_room || !self.ingress.is_repeatable(&head.parts) {
            return;
        }
        let (ingress, parts) = (Rc::clone(&self.ingress), head.parts.clone());
        let response =
            tokio::task::spawn_local(
                async move { ingress.serve(parts, Empty::<Bytes>::new()).await },
            );
        let early = EarlyRequest {
            parts: head.parts,
            response,
        };
        self.early_requests.borrow_mut().insert(head.number, early);
    }
}

fn is_same(one: &Parts, other: &Parts) -> bool {
    one.method == other.method && one.uri == other.uri && one.headers == other.headers
}
