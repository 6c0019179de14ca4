//! Measurements of the resource use of the node's control work, so that it is known and bounded.

mod cost_meter;
mod resident_memory;
mod thread_meter;

pub use cost_meter::CostMeter;
pub use thread_meter::ThreadMeter;
