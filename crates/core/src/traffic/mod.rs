//! Decisions that are made for each request.

pub mod admission;
pub mod balancing;
pub mod idempotency;
pub mod poison;
pub mod refusal;
pub mod retry;
pub mod routes;

mod key_load;
mod response_bounds;
mod response_meter;
mod slice_load;
mod traffic_stats;

pub use key_load::KeyLoad;
pub use response_bounds::ResponseBounds;
pub use response_meter::ResponseMeter;
pub use slice_load::SliceLoad;
pub use traffic_stats::TrafficStats;
