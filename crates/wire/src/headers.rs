//! The names of the HTTP headers; `docs/PROTOCOLS.md` gives their meaning.

/// The request's id, the same on every hop.
pub const REQUEST: &str = "quetzalrack-request";
/// The attempt's id, echoed by the far side.
pub const ATTEMPT: &str = "quetzalrack-attempt";
/// What is left of the deadline, in milliseconds, when a hop sends.
pub const DEADLINE: &str = "quetzalrack-deadline-ms";
/// The slice under which a request is sent.
pub const SLICE: &str = "quetzalrack-slice";
/// The fence under which a request is sent.
pub const FENCE: &str = "quetzalrack-fence";
/// The backend server that answered.
pub const SERVER: &str = "quetzalrack-server";
/// Says, with the value `true`, that the work surely did not run.
pub const NOT_RUN: &str = "quetzalrack-not-run";
/// Names work that must not repeat.
pub const IDEMPOTENCY: &str = "idempotency-key";
/// Where a node believes the slice's holder to be, on a "not owner" answer between nodes.
pub const OWNER: &str = "quetzalrack-owner";
/// The node's in-flight count, limit and recent latency, on answers between nodes.
pub const LOAD: &str = "quetzalrack-load";
/// Proves that a request comes from another node of the environment.
pub const AUTHENTICATOR: &str = "quetzalrack-authenticator";
/// The code of a refusal, so that a node reads it without the body.
pub const REFUSAL: &str = "quetzalrack-refusal";
/// The ends of backend servers under the request's content that a node knows, between nodes.
pub const ENDS: &str = "quetzalrack-ends";
/// What all of quetzalrack's own headers start with; a caller's are dropped.
pub const PREFIX: &str = "quetzalrack-";
