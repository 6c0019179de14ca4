//! What this node knows of poison requests, and its exchange with the other nodes.
//!
//! See `docs/design/poison-requests.md`.

mod ends_header;
mod exchange;
mod known_suspects;

pub(super) use ends_header::read_ends;
pub(super) use ends_header::write_ends;
pub(super) use exchange::exchange_news;
pub(super) use known_suspects::SuspectRun;
pub(super) use known_suspects::Suspects;
