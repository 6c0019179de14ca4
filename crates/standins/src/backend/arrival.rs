//! A request as it arrives.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use quetzalrack_core::ids::AttemptId;
use quetzalrack_core::ids::Fence;
use quetzalrack_core::ids::IdempotencyKey;
use quetzalrack_core::ids::RequestId;
use quetzalrack_core::ids::SliceId;
use quetzalrack_wire::headers;
use rocket::Request;

use crate::process::wall_us;

/// Is what a backend server reads from a request's head; a header that is missing or malformed
/// counts as absent.
#[derive(Clone, Debug)]
pub struct Arrival {
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
    /// What was left of the deadline when it was sent.
    pub deadline: Option<Duration>,
    /// Who sent it.
    pub sender: Option<SocketAddr>,
    /// When it arrived, in microseconds since 1970.
    pub arrived_us: u64,
    /// The wanted size of the answer in bytes.
    pub bytes: Option<u64>,
    /// The wanted time of the work.
    pub work: Option<Duration>,
}

impl Arrival {
    /// Reads a request's head.
    pub fn of(request: &Request<'_>) -> Self {
        let milliseconds: Option<u64> = header(request, headers::DEADLINE);
        let work: Option<u64> = parameter(request, "work_ms");
        Self {
            target: format!("{} {}", request.method(), request.uri().path()),
            request: header(request, headers::REQUEST),
            attempt: header(request, headers::ATTEMPT),
            idempotency: header(request, headers::IDEMPOTENCY),
            slice: header(request, headers::SLICE),
            fence: header(request, headers::FENCE),
            deadline: milliseconds.map(Duration::from_millis),
            sender: request.remote(),
            arrived_us: wall_us(),
            bytes: parameter(request, "bytes"),
            work: work.map(Duration::from_millis),
        }
    }
}

fn header<T>(request: &Request<'_>, name: &str) -> Option<T>
where
    T: FromStr,
{
    request.headers().get_one(name)?.parse().ok()
}

fn parameter<T>(request: &Request<'_>, name: &str) -> Option<T>
where
    T: FromStr,
{
    let field = request.query_fields().find(|field| field.name == name)?;
    field.value.parse().ok()
}
