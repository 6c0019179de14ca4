//! Types of time; the state machines get it from their caller and never read a clock.

mod milliseconds;
mod moment;
mod wall_time;

pub use milliseconds::Milliseconds;
pub use moment::Moment;
pub use wall_time::WallTime;
