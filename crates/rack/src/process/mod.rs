//! What this process uses of its host, and how its threads end.

mod memory_alarm;
mod panic_log;
mod usage;
mod usage_sample;

pub use memory_alarm::MemoryAlarm;
pub use panic_log::log_panics;
pub use usage::ProcessUsage;
pub use usage_sample::UsageSample;
