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

use super::ActiveCounter;
use super::LinkPacer;
use super::PacedStream;
use super::WriteLimiter;
use super::dial::DialError;
use super::dial::dial;
use crate::clock;

/// How often a busy pool is looked at for a free connection.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Bounds the connections to one address.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolLimits {
    /// How long opening one may take.
    pub(crate) dial_timeout: Duration,
    /// How long an idle one is used again: the far side closes it some time later.
    pub(crate) idle_timeout: Duration,
    /// How many are kept idle.
    pub(crate) max_idle: usize,
}

/// Says why an exchange brought no whole answer.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum ExchangeError {
    /// No connection could be opened; nothing was sent.
    #[error("no connection: {0}")]
    Connect(#[from] DialError),
    /// The connection broke, or brought bytes that are no answer; the request may have run.
    #[error("the connection broke: {0}")]
    Broken(#[from] hyper::Error),
}

/// Keeps warm connections by address.
#[derive(Debug)]
pub(crate) struct Pool {
    limits: PoolLimits,
    pacer: Option<Rc<LinkPacer>>,
    idle: RefCell<HashMap<SocketAddr, Vec<IdleEntry>>>,
    opened: RefCell<u64>,
    open: ActiveCounter,
}

#[derive(Debug)]
struct IdleEntry {
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
enum SendOutcome {
    Answered(Response<Bytes>),
    /// The connection had ended; nothing was written.
    Unwritten(Request<Full<Bytes>>),
}

impl Connection {
    async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<SendOutcome, ExchangeError> {
        let response = match self.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => match error.take_message() {
                Some(unsent) => return Ok(SendOutcome::Unwritten(unsent)),
                None => return Err(error.into_error().into()),
            },
        };
        let (head, body) = response.into_parts();
        let body = body.collect().await?.to_bytes();
        Ok(SendOutcome::Answered(Response::from_parts(head, body)))
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
            open: ActiveCounter::default(),
        })
    }

    /// Sends a request and reads the whole answer. `youngest` bounds how long a connection may have
    /// been idle to be used; a far side that drops idle ones resets what is sent next.
    pub(crate) async fn exchange<K>(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        idle_limit: Duration,
        limiter: &dyn WriteLimiter,
        is_reusable: K,
    ) -> Result<Response<Bytes>, ExchangeError>
    where
        K: FnOnce(&Response<Bytes>) -> bool,
    {
        let mut request = request;
        loop {
            let mut connection = self.take_or_open(address, idle_limit).await?;
            while let Some(wait) = limiter.try_write() {
                tokio::time::sleep(wait).await;
            }
            match connection.send(request).await? {
                SendOutcome::Answered(response) => {
                    if is_reusable(&response) {
                        self.put_back(address, connection);
                    }
                    return Ok(response);
                }
                // Another connection may carry it.
                SendOutcome::Unwritten(unsent) => request = unsent,
            }
        }
    }

    /// Sends a request that is written only once a connection is free, since its content depends on the
    /// time; none if it is too late by then, or if there is no connection that was opened before a moment.
    pub(crate) async fn exchange_deferred<M>(
        &self,
        address: SocketAddr,
        before: Option<Moment>,
        build_request: M,
    ) -> Result<Option<Response<Bytes>>, ExchangeError>
    where
        M: Fn() -> Option<Request<Full<Bytes>>>,
    {
        loop {
            let mut connection = match before {
                None => self.take_or_open(address, self.limits.idle_timeout).await?,
                Some(before) => match self.wait_opened_before(address, before).await {
                    Some(connection) => connection,
                    None => return Ok(None),
                },
            };
            let Some(request) = build_request() else {
                self.put_back(address, connection);
                return Ok(None);
            };
            if let SendOutcome::Answered(response) = connection.send(request).await? {
                self.put_back(address, connection);
                return Ok(Some(response));
            }
        }
    }

    /// Opens connections until as many are idle as are kept.
    pub(crate) async fn warm(&self, address: SocketAddr) -> Result<(), ExchangeError> {
        while self.idle_count(address) < self.limits.max_idle {
            let connection = self.open(address).await?;
            self.put_back(address, connection);
        }
        Ok(())
    }

    /// Waits for a connection that was opened before a moment; none if there is none, idle or in use.
    async fn wait_opened_before(&self, address: SocketAddr, before: Moment) -> Option<Connection> {
        loop {
            let found = self.take_opened_before(address, before);
            if found.is_some() || self.idle_count(address) >= self.open.count() {
                return found;
            }
            tokio::time::sleep(IDLE_POLL_INTERVAL).await;
        }
    }

    /// Takes the one that has been idle for longest, so that all stay in use.
    fn take_opened_before(&self, address: SocketAddr, before: Moment) -> Option<Connection> {
        self.drop_expired(address);
        let mut all = self.idle.borrow_mut();
        let kept = all.get_mut(&address)?;
        let usable = |entry: &IdleEntry| {
            entry.connection.opened < before && entry.connection.sender.is_ready()
        };
        let index = kept.iter().position(usable)?;
        Some(kept.remove(index).connection)
    }

    fn idle_count(&self, address: SocketAddr) -> usize {
        self.drop_expired(address);
        self.idle.borrow().get(&address).map_or(0, Vec::len)
    }

    fn drop_expired(&self, address: SocketAddr) {
        let now = clock::now();
        if let Some(kept) = self.idle.borrow_mut().get_mut(&address) {
            kept.retain(|idle| {
                now.since(idle.since) < self.limits.idle_timeout
                    && !idle.connection.sender.is_closed()
            });
        }
    }

    /// Tells whether a connection is open, idle or not.
    pub(crate) fn is_connected(&self) -> bool {
        self.open.count() > 0
    }

    /// Closes all idle connections to an address.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Returns how many connections were opened.
    pub(crate) fn opened_count(&self) -> u64 {
        *self.opened.borrow()
    }

    async fn take_or_open(
        &self,
        address: SocketAddr,
        idle_limit: Duration,
    ) -> Result<Connection, ExchangeError> {
        match self.take(address, idle_limit) {
            Some(connection) => Ok(connection),
            None => self.open(address).await,
        }
    }

    fn take(&self, address: SocketAddr, idle_limit: Duration) -> Option<Connection> {
        let now = clock::now();
        let idle_limit = idle_limit.min(self.limits.idle_timeout);
        self.drop_expired(address);
        let mut all = self.idle.borrow_mut();
        let kept = all.get_mut(&address)?;
        let newest = kept
            .last()
            .filter(|newest| now.since(newest.since) < idle_limit)?;
        if !newest.connection.sender.is_ready() {
            return None;
        }
        kept.pop().map(|idle| idle.connection)
    }

    fn put_back(&self, address: SocketAddr, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut all = self.idle.borrow_mut();
        let kept = all.entry(address).or_default();
        if kept.len() < self.limits.max_idle {
            let since = clock::now();
            kept.push(IdleEntry { connection, since });
        }
    }

    async fn open(&self, address: SocketAddr) -> Result<Connection, ExchangeError> {
        let stream = dial(address, self.limits.dial_timeout).await?;
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
