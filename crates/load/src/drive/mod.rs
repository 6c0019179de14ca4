//! Sends load and remembers every request.

mod drive_load;
mod load_plan;
mod load_targets;
mod sample;

pub use drive_load::drive_load;
pub use load_plan::LoadPlan;
pub use load_targets::LoadTargets;
pub use sample::Sample;
