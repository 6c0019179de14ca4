//! Requests between nodes: HTTP/1.1 on warm connections, with one header of ours each way.

mod hop_client;
mod hop_request;
mod hop_response;
mod hop_server;

pub(super) use hop_client::HopClient;
pub(super) use hop_server::HopServer;

/// The path at which a node gives the operators' intent to another.
pub(crate) const INTENT_PATH: &str = "/quetzalrack/intent";
/// Carries what a route says of a request.
const JOB_HEADER: &str = "qr-job";
/// Carries what became of it.
const OUTCOME_HEADER: &str = "qr-outcome";
