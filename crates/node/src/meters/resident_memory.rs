//! The resident memory of this process.

use std::fs;

use quetzalrack_core::ids::ByteCount;
use rustix::param::page_size;

/// Returns the resident memory of this process, or zero where the host doesn't provide it.
pub(super) fn resident_memory() -> ByteCount {
    let pages = fs::read_to_string("/proc/self/statm")
        .ok()
        .and_then(|text| text.split_whitespace().nth(1)?.parse::<u64>().ok())
        .unwrap_or_default();
    ByteCount(pages * page_size() as u64)
}
