//! What this node knows of poison requests, and its exchange with the other nodes.
//!
//! See `docs/design/poison-requests.md`.

mod ends_header;
mod exchange;
mod known_suspects;
mod suspect_run;
mod trial_wait;

pub(super) use ends_header::read_ends;
pub(super) use ends_header::write_ends;
pub(super) use exchange::exchange_news;
pub(super) use known_suspects::Suspects;
pub(super) use suspect_run::SuspectRun;
