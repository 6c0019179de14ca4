//! HTTP calls to the backend server beside the node, whose answers are bounded whatever it sends.

mod connection;
mod metered_stream;
mod pool_limits;
mod server_call_error;
mod server_pool;

pub(crate) use pool_limits::PoolLimits;
pub(crate) use server_call_error::ServerCallError;
pub(crate) use server_pool::ServerPool;
