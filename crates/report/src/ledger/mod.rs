//! Adding the nodes' counters across their restarts.

mod route_entry;
mod sample_ledger;
mod service_moves;

pub use route_entry::RouteEntry;
pub use sample_ledger::SampleLedger;
pub use service_moves::ServiceMoves;
