//! The rare calls between nodes, JSON-RPC over HTTP, signed by the nodes' keys.

mod call_error;
mod sealed_call;

pub use call_error::CallError;
pub use sealed_call::SealedCall;

/// Asks for the intent records that a node keeps, when they are newer than the asker's.
pub const INTENT_SNAPSHOT: &str = "intent_snapshot";
/// Asks a node who it is and where its parts listen.
pub const MEMBER: &str = "member";
/// Hands a slice's memory over.
pub const HANDOVER: &str = "handover";

/// Tells a node of requests under which backend servers end.
pub const TELL_SUSPECTS: &str = "tell_suspects";
/// Asks a node for all such requests that it knows.
pub const KNOWN_SUSPECTS: &str = "known_suspects";

/// The greatest call or answer, in bytes: a slice's memory is the greatest thing carried.
pub const LARGEST_CALL: u32 = 16 * 1024 * 1024;
