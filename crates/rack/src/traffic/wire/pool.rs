//! A pool of persistent HTTP/1.1 connections.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::Request;
use http::Response;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use quetzalrack_core::time::Moment;
use tokio_util::io::InspectReader;

use super::KeptResponse;
use super::LinkPacer;
use super::PacedStream;
use super::Reuse;
use super::WriteLimiter;
use super::connection::Connection;
use super::connection::SendOutcome;
use super::dial::DialError;
use super::dial::dial;
use super::open_connections::OpenConnections;
use super::response_meter::MAX_BUFFER_BYTES;
use super::response_meter::ResponseMeter;
use crate::budget::NoRoom;
use crate::budget::ProcessBudget;
use crate::clock;
use crate::traffic::body::Payload;

/// How often the pool is checked for an idle connection while all are in use.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The limits of the connections to one address.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolLimits {
    /// How long opening a connection may take.
    pub(crate) dial_timeout: Duration,
    /// How long an idle connection may be reused: the peer closes it some time later.
    pub(crate) idle_timeout: Duration,
    /// How many idle connections are kept.
    pub(crate) max_idle: usize,
}

/// Why an exchange brought no complete response.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum ExchangeError {
    /// No connection could be opened; nothing was sent.
    #[error("could not connect: {0}")]
    Connect(#[from] DialError),
    /// The connection broke, or brought no valid response; the request may have run.
    #[error("the connection broke: {0}")]
    Broken(#[from] hyper::Error),
    /// More bytes came than belong to any response; the request may have run.
    #[error("the response has no end")]
    Endless,
    /// The process can't hold the response now; the request may have run.
    #[error("no room for the response")]
    NoRoom,
}

impl From<NoRoom> for ExchangeError {
    fn from(_: NoRoom) -> Self {
        Self::NoRoom
    }
}

/// Keeps idle connections by address.
#[derive(Debug)]
pub(crate) struct Pool {
    limits: PoolLimits,
    pacer: Option<Rc<LinkPacer>>,
    budget: Rc<ProcessBudget>,
    idle: RefCell<HashMap<SocketAddr, Vec<IdleEntry>>>,
    opened_count: RefCell<u64>,
    open: OpenConnections,
}

#[derive(Debug)]
struct IdleEntry {
    connection: Connection,
    since: Moment,
}

impl Pool {
    /// Makes an empty pool; `pacer` paces the writes of its connections, if given, and responses are charged to
    /// `budget`.
    pub(crate) fn new(
        limits: PoolLimits,
        pacer: Option<Rc<LinkPacer>>,
        budget: Rc<ProcessBudget>,
    ) -> Rc<Self> {
        Rc::new(Self {
            limits,
            pacer,
            budget,
            idle: RefCell::default(),
            opened_count: RefCell::default(),
            open: OpenConnections::default(),
        })
    }

    /// Sends a request and reads the whole response.
    pub(crate) async fn exchange<K>(
        &self,
        address: SocketAddr,
        request: Request<Payload>,
        reuse: Reuse,
        limiter: &dyn WriteLimiter,
        is_reusable: K,
    ) -> Result<Response<Payload>, ExchangeError>
    where
        K: FnOnce(&Response<Payload>) -> bool,
    {
        let mut request = request;
        loop {
            let mut connection = self.take_or_open(address, &reuse).await?;
            while let Some(wait) = limiter.try_write() {
                tokio::time::sleep(wait).await;
            }
            if let Some(tag) = reuse.tag {
                connection.record(clock::now(), tag);
            }
            match connection.send(request).await? {
                SendOutcome::Answered(response) => {
                    if is_reusable(&response) {
                        self.put_back(address, connection);
                    }
                    return Ok(response);
                }
                // Another connection may be used.
                SendOutcome::Unwritten(unsent) => request = unsent,
            }
        }
    }

    /// Sends a request that is built only once a connection is free, because its content depends on
    /// the time. Returns `None` if `build_request` does, or if no connection that was opened before
    /// the given moment is left. A connection is kept only after a success: a second copy of any
    /// other response would be taken for the failure of a later call.
    pub(crate) async fn exchange_deferred<M>(
        &self,
        address: SocketAddr,
        before: Moment,
        build_request: M,
    ) -> Result<Option<KeptResponse>, ExchangeError>
    where
        M: Fn() -> Option<Request<Payload>>,
    {
        loop {
            let Some(mut connection) = self.wait_opened_before(address, before).await else {
                return Ok(None);
            };
            let is_first = !connection.is_used;
            let Some(request) = build_request() else {
                self.put_back(address, connection);
                return Ok(None);
            };
            if let SendOutcome::Answered(response) = connection.send(request).await? {
                if response.status().is_success() {
                    self.put_back(address, connection);
                }
                return Ok(Some(KeptResponse { response, is_first }));
            }
        }
    }

    /// Sends a request on a connection of its own, so that its response can't be one to another request.
    pub(crate) async fn exchange_alone(
        &self,
        address: SocketAddr,
        request: Request<Payload>,
    ) -> Result<Response<Payload>, ExchangeError> {
        let mut request = request;
        loop {
            let mut connection = self.open(address).await?;
            match connection.send(request).await? {
                SendOutcome::Answered(response) => return Ok(response),
                SendOutcome::Unwritten(unsent) => request = unsent,
            }
        }
    }

    /// Opens connections until `max_idle` are idle.
    pub(crate) async fn warm(&self, address: SocketAddr) -> Result<(), ExchangeError> {
        while self.idle_count(address) < self.limits.max_idle {
            let connection = self.open(address).await?;
            self.put_back(address, connection);
        }
        Ok(())
    }

    /// Waits for an idle connection that was opened before a moment; returns `None` if none is
    /// left, idle or in use.
    async fn wait_opened_before(&self, address: SocketAddr, before: Moment) -> Option<Connection> {
        loop {
            let found = self.take_opened_before(address, before);
            if found.is_some() || self.idle_count(address) >= self.open.count() {
                return found;
            }
            tokio::time::sleep(IDLE_POLL_INTERVAL).await;
        }
    }

    /// Takes the connection that has been idle for the longest time, so that all stay in use.
    fn take_opened_before(&self, address: SocketAddr, before: Moment) -> Option<Connection> {
        self.drop_expired(address);
        let mut by_address = self.idle.borrow_mut();
        let entries = by_address.get_mut(&address)?;
        let usable = |entry: &IdleEntry| {
            entry.connection.opened_at < before && entry.connection.sender.is_ready()
        };
        let index = entries.iter().position(usable)?;
        Some(entries.remove(index).connection)
    }

    fn idle_count(&self, address: SocketAddr) -> usize {
        self.drop_expired(address);
        self.idle.borrow().get(&address).map_or(0, Vec::len)
    }

    fn drop_expired(&self, address: SocketAddr) {
        let now = clock::now();
        if let Some(entries) = self.idle.borrow_mut().get_mut(&address) {
            entries.retain(|idle| {
                now.since(idle.since) < self.limits.idle_timeout
                    && !idle.connection.sender.is_closed()
            });
        }
    }

    /// Returns whether any connection is open, idle or in use.
    pub(crate) fn is_connected(&self) -> bool {
        self.open.count() > 0
    }

    /// Returns whether a connection that was opened before a moment is open, idle or in use.
    pub(crate) fn is_connected_since(&self, moment: Moment) -> bool {
        self.open.has_older(moment)
    }

    /// Closes all idle connections to an address.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Returns how many connections were opened so far.
    pub(crate) fn opened_count(&self) -> u64 {
        *self.opened_count.borrow()
    }

    async fn take_or_open(
        &self,
        address: SocketAddr,
        reuse: &Reuse,
    ) -> Result<Connection, ExchangeError> {
        match self.take(address, reuse) {
            Some(connection) => Ok(connection),
            None => self.open(address).await,
        }
    }

    /// Takes the connection that was used last among those that may carry the request.
    fn take(&self, address: SocketAddr, reuse: &Reuse) -> Option<Connection> {
        let now = clock::now();
        let idle_limit = reuse.idle_limit.min(self.limits.idle_timeout);
        self.drop_expired(address);
        let mut by_address = self.idle.borrow_mut();
        let entries = by_address.get_mut(&address)?;
        let index = entries
            .iter()
            .rposition(|idle| idle.connection.fits(reuse.tag.as_ref()))?;
        let newest = entries.get(index)?;
        if now.since(newest.since) >= idle_limit || !newest.connection.sender.is_ready() {
            return None;
        }
        Some(entries.remove(index).connection)
    }

    fn put_back(&self, address: SocketAddr, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut by_address = self.idle.borrow_mut();
        let entries = by_address.entry(address).or_default();
        if entries.len() < self.limits.max_idle {
            let since = clock::now();
            entries.push(IdleEntry { connection, since });
        }
    }

    async fn open(&self, address: SocketAddr) -> Result<Connection, ExchangeError> {
        let stream = dial(address, self.limits.dial_timeout).await;
        if let Err(DialError::Io(error)) = &stream {
            log::warn!(event = "dial_failed", to:% = address; "{error}");
        }
        let stream = stream?;
        *self.opened_count.borrow_mut() += 1;
        let meter = Rc::new(ResponseMeter::default());
        let counted = Rc::clone(&meter);
        let stream = PacedStream::new(stream, self.pacer.clone());
        let stream =
            InspectReader::new(stream, move |bytes: &[u8]| counted.record_read(bytes.len()));
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await?;
        let opened_at = clock::now();
        let open = self.open.enter(opened_at);
        // The sender reports when the connection ends.
        let task = tokio::task::spawn_local(async move {
            connection.await.ok();
            drop(open);
        });
        Ok(Connection {
            opened_at,
            sender,
            meter,
            budget: Rc::clone(&self.budget),
            task: task.abort_handle(),
            is_used: false,
            carried: Vec::new(),
        })
    }
}
