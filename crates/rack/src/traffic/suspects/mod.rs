//! What this node knows of poison requests, and its exchange with the other nodes.
//!
//! See `docs/design/poison-requests.md`.

mod exchange;
mod known_suspects;

pub(super) use exchange::SuspectExchange;
pub(super) use known_suspects::Suspects;
