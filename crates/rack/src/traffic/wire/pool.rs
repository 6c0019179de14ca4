//! Warm connections.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use quetzalrack_core::time::Moment;
use tokio::task::AbortHandle;

use super::LinkPacer;
use super::OpenCount;
use super::PacedStream;
use super::WriteGate;
use super::dial::DialError;
use super::dial::dial;
use crate::clock;

/// How often a busy pool is looked at for a free connection.
const BUSY_LOOK: Duration = Duration::from_millis(5);

/// Bounds the connections to one address.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolLimits {
    /// How long opening one may take.
    pub(crate) dial: Duration,
    /// How long an idle one is used again: the far side closes it some time later.
    pub(crate) idle: Duration,
    /// How many are kept idle.
    pub(crate) kept: usize,
}

/// Says why an exchange brought no whole answer.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum ExchangeError {
    /// No connection could be opened; nothing was sent.
    #[error("no connection: {0}")]
    Dial(#[from] DialError),
    /// The connection broke, or brought bytes that are no answer; the request may have run.
    #[error("the connection broke: {0}")]
    Broken(#[from] hyper::Error),
}

/// Keeps warm connections by address.
#[derive(Debug)]
pub(crate) struct Pool {
    limits: PoolLimits,
    pacer: Option<Rc<LinkPacer>>,
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
    opened: RefCell<u64>,
    open: OpenCount,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Moment,
}

/// Is one connection; dropped, it is closed, and what was asked on it is cancelled at the far side.
#[derive(Debug)]
struct Connection {
    opened: Moment,
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

/// Says what became of a request on one connection.
enum Sent {
    Answered(Response<Bytes>),
    /// The connection had ended; nothing was written.
    Unwritten(Request<Full<Bytes>>),
}

impl Connection {
    async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Sent, ExchangeError> {
        let answer = match self.sender.try_send_request(request).await {
            Ok(answer) => answer,
            Err(mut error) => match error.take_message() {
                Some(unsent) => return Ok(Sent::Unwritten(unsent)),
                None => return Err(error.into_error().into()),
            },
        };
        let (head, body) = answer.into_parts();
        let body = body.collect().await?.to_bytes();
        Ok(Sent::Answered(Response::from_parts(head, body)))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Pool {
    /// Makes an empty pool; `pacer` shares the link that its connections use, if they use one.
    pub(crate) fn new(limits: PoolLimits, pacer: Option<Rc<LinkPacer>>) -> Rc<Self> {
        Rc::new(Self {
            limits,
            pacer,
            idle: RefCell::default(),
            opened: RefCell::default(),
            open: OpenCount::default(),
        })
    }

    /// Sends a request and reads the whole answer. `youngest` bounds how long a connection may have
    /// been idle to be used; a far side that drops idle ones resets what is sent next.
    pub(crate) async fn exchange<K>(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        idle: Duration,
        gate: &dyn WriteGate,
        is_kept: K,
    ) -> Result<Response<Bytes>, ExchangeError>
    where
        K: FnOnce(&Response<Bytes>) -> bool,
    {
        let mut request = request;
        loop {
            let mut connection = self.connect(address, idle).await?;
            while let Some(wait) = gate.pass() {
                tokio::time::sleep(wait).await;
            }
            match connection.send(request).await? {
                Sent::Answered(answer) => {
                    if is_kept(&answer) {
                        self.keep(address, connection);
                    }
                    return Ok(answer);
                }
                // Another connection may carry it.
                Sent::Unwritten(unsent) => request = unsent,
            }
        }
    }

    /// Sends a request that is written only once a connection is free, since its content depends on the
    /// time; none if it is too late by then, or if there is no connection that was opened before a moment.
    pub(crate) async fn exchange_late<M>(
        &self,
        address: SocketAddr,
        before: Option<Moment>,
        make: M,
    ) -> Result<Option<Response<Bytes>>, ExchangeError>
    where
        M: Fn() -> Option<Request<Full<Bytes>>>,
    {
        loop {
            let mut connection = match before {
                None => self.connect(address, self.limits.idle).await?,
                Some(before) => match self.older(address, before).await {
                    Some(connection) => connection,
                    None => return Ok(None),
                },
            };
            let Some(request) = make() else {
                self.keep(address, connection);
                return Ok(None);
            };
            if let Sent::Answered(answer) = connection.send(request).await? {
                self.keep(address, connection);
                return Ok(Some(answer));
            }
        }
    }

    /// Opens connections until as many are idle as are kept.
    pub(crate) async fn warm(&self, address: SocketAddr) -> Result<(), ExchangeError> {
        while self.idle_at(address) < self.limits.kept {
            let connection = self.open(address).await?;
            self.keep(address, connection);
        }
        Ok(())
    }

    /// Waits for a connection that was opened before a moment; none if there is none, idle or in use.
    async fn older(&self, address: SocketAddr, before: Moment) -> Option<Connection> {
        loop {
            let found = self.take_older(address, before);
            if found.is_some() || self.idle_at(address) >= self.open.get() {
                return found;
            }
            tokio::time::sleep(BUSY_LOOK).await;
        }
    }

    /// Takes the one that has been idle for longest, so that all stay in use.
    fn take_older(&self, address: SocketAddr, before: Moment) -> Option<Connection> {
        self.drop_old(address);
        let mut all = self.idle.borrow_mut();
        let kept = all.get_mut(&address)?;
        let usable =
            |idle: &Idle| idle.connection.opened < before && idle.connection.sender.is_ready();
        let place = kept.iter().position(usable)?;
        Some(kept.remove(place).connection)
    }

    fn idle_at(&self, address: SocketAddr) -> usize {
        self.drop_old(address);
        self.idle.borrow().get(&address).map_or(0, Vec::len)
    }

    fn drop_old(&self, address: SocketAddr) {
        let now = clock::now();
        if let Some(kept) = self.idle.borrow_mut().get_mut(&address) {
            kept.retain(|idle| {
                now.since(idle.since) < self.limits.idle && !idle.connection.sender.is_closed()
            });
        }
    }

    /// Tells whether a connection is open, idle or not.
    pub(crate) fn is_connected(&self) -> bool {
        self.open.get() > 0
    }

    /// Closes all idle connections to an address.
    pub(crate) fn forget(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Returns how many connections were opened.
    pub(crate) fn opened(&self) -> u64 {
        *self.opened.borrow()
    }

    async fn connect(
        &self,
        address: SocketAddr,
        idle: Duration,
    ) -> Result<Connection, ExchangeError> {
        match self.take(address, idle) {
            Some(connection) => Ok(connection),
            None => self.open(address).await,
        }
    }

    fn take(&self, address: SocketAddr, idle: Duration) -> Option<Connection> {
        let now = clock::now();
        let longest = idle.min(self.limits.idle);
        self.drop_old(address);
        let mut all = self.idle.borrow_mut();
        let kept = all.get_mut(&address)?;
        let newest = kept
            .last()
            .filter(|newest| now.since(newest.since) < longest)?;
        if !newest.connection.sender.is_ready() {
            return None;
        }
        kept.pop().map(|idle| idle.connection)
    }

    fn keep(&self, address: SocketAddr, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut all = self.idle.borrow_mut();
        let kept = all.entry(address).or_default();
        if kept.len() < self.limits.kept {
            let since = clock::now();
            kept.push(Idle { connection, since });
        }
    }

    async fn open(&self, address: SocketAddr) -> Result<Connection, ExchangeError> {
        let stream = dial(address, self.limits.dial).await?;
        *self.opened.borrow_mut() += 1;
        let stream = PacedStream::new(stream, self.pacer.clone());
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let open = self.open.enter();
        // Its end shows at the sender.
        let task = tokio::task::spawn_local(async move {
            connection.await.ok();
            drop(open);
        });
        Ok(Connection {
            opened: clock::now(),
            sender,
            task: task.abort_handle(),
        })
    }
}
