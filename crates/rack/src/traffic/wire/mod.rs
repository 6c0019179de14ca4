//! Connections to clients, to other nodes and to the backend server.

mod active_counter;
mod call_tag;
mod connection;
mod dial;
mod kept_response;
mod late_end_stream;
mod link_pacer;
mod listen;
mod open_connections;
mod paced_stream;
mod pool;
mod request_scanner;
mod response_meter;
mod reuse;
mod watched_stream;
mod write_limiter;

pub(super) use active_counter::ActiveCounter;
pub(crate) use call_tag::CallTag;
pub(crate) use dial::DialError;
pub(super) use dial::dial;
pub(crate) use kept_response::KeptResponse;
pub(super) use late_end_stream::LateEndStream;
pub(crate) use link_pacer::LinkPacer;
pub(super) use listen::listen;
pub(super) use paced_stream::PacedStream;
pub(crate) use pool::ExchangeError;
pub(crate) use pool::Pool;
pub(crate) use pool::PoolLimits;
pub(super) use request_scanner::RequestScanner;
pub(super) use request_scanner::ScannedHead;
pub(crate) use reuse::Reuse;
pub(super) use watched_stream::WatchedStream;
pub(super) use write_limiter::Unlimited;
pub(super) use write_limiter::WriteLimiter;
