//! A broken promise.

use quetzalrack_core::ids::Fence;
use quetzalrack_core::ids::IdempotencyKey;
use quetzalrack_core::ids::RequestId;
use quetzalrack_core::ids::ServerName;
use quetzalrack_core::ids::SliceId;

/// Says which promise was broken and by what.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum Violation {
    /// An earlier owner sent work after a later one had taken over.
    #[error("{server} ran {target} of {slice} under {older} after {newer} was in use")]
    TwoOwners {
        /// The slice.
        slice: SliceId,
        /// The server that ran the late work.
        server: ServerName,
        /// The late work.
        target: String,
        /// The late work's fence.
        older: Fence,
        /// The fence that was in use already.
        newer: Fence,
    },
    /// One grant was in use at two servers of a service that is divided by key.
    #[error("{fence} of {slice} was in use at {first} and {second}")]
    SharedFence {
        /// The slice.
        slice: SliceId,
        /// The fence.
        fence: Fence,
        /// One server.
        first: ServerName,
        /// The other server.
        second: ServerName,
    },
    /// A server that checks took an older fence than it knew.
    #[error("{server} took {older} of {slice} although it knew {newer}")]
    FenceWentBack {
        /// The slice.
        slice: SliceId,
        /// The server.
        server: ServerName,
        /// The fence it took.
        older: Fence,
        /// The fence it knew.
        newer: Fence,
    },
    /// Work that must not repeat ran more than once.
    #[error("{idempotency} ran {runs} times, at {servers:?}")]
    Repeated {
        /// The work.
        idempotency: IdempotencyKey,
        /// How often it ran.
        runs: usize,
        /// Where.
        servers: Vec<ServerName>,
    },
    /// A server in cold start got more than it bears.
    #[error("{server} had {most} requests at once while cold and bears {bound}")]
    ColdOverload {
        /// The server.
        server: ServerName,
        /// The most it had.
        most: u32,
        /// What it bears.
        bound: u32,
    },
    /// A caller got another request's answer.
    #[error("{asked} was answered with {got:?}")]
    CrossedAnswer {
        /// What was asked.
        asked: String,
        /// What the answer was to.
        got: Option<String>,
    },
    /// A caller got a part of an answer as if it were whole.
    #[error("{target} was answered with {got} of {asked} bytes")]
    PartialAnswer {
        /// What was asked.
        target: String,
        /// The size of the answer.
        got: u64,
        /// The size that was asked for.
        asked: u64,
    },
    /// Work ran of which the caller was told that it had not.
    #[error("{target} ran although {request:?} was told that it had not")]
    FalseRefusal {
        /// What was asked.
        target: String,
        /// The request.
        request: Option<RequestId>,
    },
}
