//! What a process costs.

use std::fs;
use std::time::Duration;

use rustix::param::clock_ticks_per_second;
use rustix::param::page_size;

/// Is what a process has used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Resident memory, in bytes.
    pub memory: u64,
    /// Processor time of all threads since the start.
    pub processor: Duration,
}

impl ProcessUsage {
    /// Reads the usage of a process; none once it is gone.
    pub fn read(id: u32) -> Option<Self> {
        let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        // The name in parentheses may hold spaces; the fields after it are counted from 3 on.
        let (_, after) = stat.rsplit_once(')')?;
        let fields: Vec<&str> = after.split_whitespace().collect();
        let number = |place: usize| -> Option<u64> { fields.get(place - 3)?.parse().ok() };
        let ticks = number(14)? + number(15)?;
        let pages = number(24)?;
        Some(Self {
            memory: pages * page_size() as u64,
            processor: Duration::from_secs_f64(ticks as f64 / clock_ticks_per_second() as f64),
        })
    }
}
