//! Requests between nodes: HTTP/1.1 over persistent connections, with one added header in each
//! direction.

mod age_field;
mod ends_field;
mod hop_client;
mod hop_request;
mod hop_response;
mod hop_server;
mod notice_field;

pub(super) use hop_client::HopClient;
pub(super) use hop_server::HopServer;

/// The path at which a node serves the operators' intent to its peers.
pub(crate) const INTENT_PATH: &str = "/quetzalrack/intent";
/// The path at which nodes tell each other of requests under which servers end.
const SUSPECTS_PATH: &str = "/quetzalrack/suspects";
/// The header of a request to another node with the route's settings.
const JOB_HEADER: &str = "qr-job";
/// The header of its response with the outcome.
const OUTCOME_HEADER: &str = "qr-outcome";
