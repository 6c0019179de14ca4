//! Reads what the kernel counts for this process.

use std::fs;

use quetzalrack_mesh::model::ByteSize;

/// Memory of this process in pages: the whole first, then what is resident.
const MEMORY_FILE: &str = "/proc/self/statm";
/// A folder with one entry for each open descriptor.
const DESCRIPTORS_FOLDER: &str = "/proc/self/fd";

/// Reads this process's use of its host; a figure that the host doesn't show is `None`.
#[derive(Clone, Copy, Debug)]
pub struct ProcessUsage;

impl ProcessUsage {
    /// Returns the resident memory.
    pub fn memory() -> Option<ByteSize> {
        let text = fs::read_to_string(MEMORY_FILE).ok()?;
        let pages: u64 = text.split_whitespace().nth(1)?.parse().ok()?;
        let page_bytes = u64::try_from(rustix::param::page_size()).ok()?;
        Some(ByteSize(pages * page_bytes))
    }

    /// Returns how many descriptors are open, with the one that the look itself takes.
    pub fn descriptors() -> Option<usize> {
        Some(fs::read_dir(DESCRIPTORS_FOLDER).ok()?.count())
    }
}
