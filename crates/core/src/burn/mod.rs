//! Counters from which the error budget burn of services is computed.
//!
//! Nodes count and `quetzalrack-report` adds up the counts; `docs/operations/report.md` explains the figures.

mod latency_histogram;
mod node_sample;
mod request_outcome;
mod route_counts;
mod route_sample;
mod slice_sample;
mod work_sample;

pub use latency_histogram::LatencyHistogram;
pub use node_sample::NodeSample;
pub use request_outcome::RequestOutcome;
pub use route_counts::RouteCounts;
pub use route_sample::RouteSample;
pub use slice_sample::SliceSample;
pub use work_sample::WorkSample;
