//! The clocks of a host.

use crate::time::Moment;
use crate::time::WallTime;

/// Reads the host's clocks.
pub trait Clock: Send + Sync {
    /// Reads the boot-time clock, which also runs while the host is suspended.
    fn now(&self) -> Moment;

    /// Reads the calendar clock.
    fn wall(&self) -> WallTime;
}
