//! Requests that a client sends before the one before them is answered.

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
use crate::traffic::wire::RequestScanner;
use crate::traffic::wire::ScannedHead;

/// How many requests of one connection are worked on at once: clients send a few behind one another,
/// and more would let one connection take what others wait for.
const MOST_BEGUN: usize = 8;
/// How often a head that takes too long is looked at while an answer before it is on its way.
const ANSWER_LOOK: Duration = Duration::from_millis(100);

/// Begins the requests of one connection as they come, while the HTTP library answers them one after
/// the other, in their order.
///
/// Without this a client's second request would wait for the answer to its first, for a work time or
/// more, though a server is free: with work of 0.5 s and objectives of 1.2 s half of them came late.
pub(super) struct Pipeline {
    ingress: Rc<Ingress>,
    scanner: RefCell<RequestScanner>,
    begun: RefCell<BTreeMap<u64, Begun>>,
    /// How many requests the library has passed on.
    taken: Cell<u64>,
    first: Notify,
    /// How many of them are answered.
    answered: Cell<u64>,
    /// The place of the request whose head has begun and not ended, and since when.
    head: Cell<Option<(u64, Moment)>>,
    head_begun: Notify,
}

/// Is a request that was begun ahead of its turn; dropped, it is given up, also at its server.
struct Begun {
    parts: Parts,
    answer: JoinHandle<Response<Bytes>>,
}

impl Drop for Begun {
    fn drop(&mut self) {
        self.answer.abort();
    }
}

impl Pipeline {
    pub(super) fn new(ingress: Rc<Ingress>) -> Rc<Self> {
        Rc::new(Self {
            ingress,
            scanner: RefCell::default(),
            begun: RefCell::default(),
            taken: Cell::default(),
            first: Notify::new(),
            answered: Cell::default(),
            head: Cell::default(),
            head_begun: Notify::new(),
        })
    }

    /// Looks at what the client sent, before the library does.
    pub(super) fn look(&self, bytes: &[u8]) {
        let heads = self.scanner.borrow_mut().feed(bytes);
        self.follow_head();
        for head in heads {
            self.begin(head);
        }
    }

    fn follow_head(&self) {
        let unfinished = self.scanner.borrow().unfinished();
        let known = self.head.get().map(|(place, _)| place);
        if unfinished != known {
            self.head.set(unfinished.map(|place| (place, clock::now())));
            self.head_begun.notify_one();
        }
    }

    /// Waits until the library has passed on the first request.
    pub(super) async fn first_taken(&self) {
        if self.taken.get() == 0 {
            self.first.notified().await;
        }
    }

    /// Waits until the client has taken longer than `limit` for one head, and nothing before it is
    /// still to be answered.
    ///
    /// The HTTP library has one timer for a head and for the rest between two requests. By that alone a
    /// client that sends a byte now and then would hold its connection for the idle time, again and
    /// again for each head, and enough of them would use up the descriptors.
    pub(super) async fn slow_head(&self, limit: Duration) {
        loop {
            let Some((_, since)) = self.head.get() else {
                self.head_begun.notified().await;
                continue;
            };
            let left = (since + limit).since(clock::now());
            let busy = self.answered.get() < self.taken.get();
            match (left.is_zero(), busy) {
                (true, false) => return,
                (true, true) => tokio::time::sleep(ANSWER_LOOK).await,
                (false, _) => tokio::time::sleep(left).await,
            }
        }
    }

    /// Answers the next request that the library has read.
    pub(super) async fn answer(&self, request: Request<Incoming>) -> Response<Bytes> {
        let number = self.taken.get();
        self.taken.set(number + 1);
        self.first.notify_one();
        let (parts, body) = request.into_parts();
        let begun = self.begun.borrow_mut().remove(&number);
        let answer = match begun {
            Some(mut begun) if is_same(&begun.parts, &parts) => (&mut begun.answer).await.ok(),
            Some(_) => {
                // The library reads these bytes differently, and it decides.
                self.scanner.borrow_mut().stop();
                self.begun.borrow_mut().clear();
                None
            }
            None => None,
        };
        let answer = match answer {
            Some(answer) => answer,
            None => self.ingress.serve(parts, body).await,
        };
        self.answered.set(self.answered.get() + 1);
        answer
    }

    /// Begins a request that would have to wait for the answers before it. Only work that may be
    /// repeated: the client sends again what stood behind an answer that closes the connection.
    fn begin(&self, head: ScannedHead) {
        let waits = head.number > self.answered.get();
        let room = self.begun.borrow().len() < MOST_BEGUN;
        if !waits || !room || !self.ingress.is_repeatable(&head.parts) {
            return;
        }
        let (ingress, parts) = (Rc::clone(&self.ingress), head.parts.clone());
        let answer =
            tokio::task::spawn_local(
                async move { ingress.serve(parts, Empty::<Bytes>::new()).await },
            );
        let begun = Begun {
            parts: head.parts,
            answer,
        };
        self.begun.borrow_mut().insert(head.number, begun);
    }
}

fn is_same(one: &Parts, other: &Parts) -> bool {
    one.method == other.method && one.uri == other.uri && one.headers == other.headers
}
