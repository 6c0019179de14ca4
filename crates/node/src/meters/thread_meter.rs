//! The processor time of one thread.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Holds the processor time that one thread has cpu_time; only that thread writes it.
#[derive(Debug, Default)]
pub struct ThreadMeter {
    microseconds: AtomicU64,
}

impl ThreadMeter {
    /// Records the processor time of the calling thread.
    pub fn record(&self) {
        let cpu_time = clock_gettime(ClockId::ThreadCPUTime);
        let seconds = u64::try_from(cpu_time.tv_sec).unwrap_or_default();
        let nanoseconds = u64::try_from(cpu_time.tv_nsec).unwrap_or_default();
        let microseconds = seconds * 1_000_000 + nanoseconds / 1_000;
        self.microseconds.store(microseconds, Ordering::Relaxed);
    }

    /// Returns the processor time that was recorded last.
    pub fn cpu_time(&self) -> Duration {
        Duration::from_micros(self.microseconds.load(Ordering::Relaxed))
    }
}
