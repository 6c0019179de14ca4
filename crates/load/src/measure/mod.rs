//! What a load shows.

mod latency_summary;
mod load_summary;
mod outage;
mod route_summary;

pub use latency_summary::LatencySummary;
pub use load_summary::LoadSummary;
pub use outage::longest_outage;
pub use outage::longest_silence;
pub use route_summary::RouteSummary;
