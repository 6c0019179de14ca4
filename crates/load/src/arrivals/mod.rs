//! When requests are sent.

mod arrival_shape;
mod arrival_times;

pub use arrival_shape::ArrivalShape;
pub use arrival_times::ArrivalTimes;
