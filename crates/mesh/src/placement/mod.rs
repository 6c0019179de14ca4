//! Placement of keys on backend servers.
//!
//! It places all keys at a start, and a lost server's keys under full load. It also moves a few
//! neighbouring keys that suddenly receive a third of the requests, and others a few seconds later.

mod candidate;
mod distribute_ranges;
mod pick_moves;

pub use candidate::Candidate;
pub use distribute_ranges::distribute_ranges;
pub use pick_moves::KeyMove;
pub use pick_moves::pick_moves;
