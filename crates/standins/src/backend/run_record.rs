//! One run of one request.

use std::net::SocketAddr;

use quetzalrack_core::ids::AttemptId;
use quetzalrack_core::ids::Fence;
use quetzalrack_core::ids::IdempotencyKey;
use quetzalrack_core::ids::RequestId;
use quetzalrack_core::ids::SliceId;
use serde::Deserialize;
use serde::Serialize;

/// Records a run: the work began, whatever became of its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RunRecord {
    /// The method and path.
    pub target: String,
    /// The request's id.
    pub request: Option<RequestId>,
    /// The attempt's id.
    pub attempt: Option<AttemptId>,
    /// The identity of work that must not repeat.
    pub idempotency: Option<IdempotencyKey>,
    /// The slice under which it was sent.
    pub slice: Option<SliceId>,
    /// The fence under which it was sent.
    pub fence: Option<Fence>,
    /// Who sent it.
    pub sender: Option<SocketAddr>,
    /// When the request arrived, in microseconds since 1970; ownership is judged by this time,
    /// since a request that waits for a slot was sent earlier.
    pub arrived_us: u64,
    /// When the work began, in microseconds since 1970.
    pub began_us: u64,
    /// When it ended; none while it runs.
    pub ended_us: Option<u64>,
    /// Whether it was stopped by a cancellation.
    pub cancelled: bool,
    /// How many requests ran when it began, itself included.
    pub running: u32,
    /// Whether the server was cold when it began.
    pub cold: bool,
}
