//! Connections: to clients, to other nodes and to the backend server.

mod dial;
mod listen;
mod pool;
mod watched_stream;

pub(super) use dial::DialError;
pub(super) use dial::dial;
pub(super) use listen::listen;
pub(super) use pool::ExchangeError;
pub(super) use pool::Pool;
pub(super) use pool::PoolLimits;
pub(super) use watched_stream::WatchedStream;
