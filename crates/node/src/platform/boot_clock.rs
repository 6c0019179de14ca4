//! The host's clocks.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use quetzalrack_core::boundary::Clock;
use quetzalrack_core::time::Moment;
use quetzalrack_core::time::WallTime;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Reads the boot-time clock, which includes the time for which the host was suspended.
///
/// The monotonic clock of the standard library stops while a host is suspended, so that a holder
/// would treat a lease that lapsed during a suspension as valid.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> Moment {
        let read = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(read.tv_sec).unwrap_or_default();
        let nanoseconds = u64::try_from(read.tv_nsec).unwrap_or_default();
        Moment(seconds * 1_000_000_000 + nanoseconds)
    }

    fn wall(&self) -> WallTime {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        WallTime(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }
}
