//! The host's clocks.

use std::time::Duration;
use std::time::SystemTime;

use quetzalrack_core::time::Moment;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Reads the clock that counts suspended time. The monotonic clock stops during a suspension, so a
/// resumed node would take an expired lease for a valid one.
pub fn now() -> Moment {
    let read = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(read.tv_sec).unwrap_or_default();
    let nanoseconds = u64::try_from(read.tv_nsec).unwrap_or_default();
    Moment(seconds * 1_000_000_000 + nanoseconds)
}

/// Reads the time of day, as the time since the start of 1970. It can be set at any moment.
pub fn time_of_day() -> Duration {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap_or_default()
}
