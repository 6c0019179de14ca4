//! What the connections of a proxy suffer.

use super::DirectionFaults;

/// Is the whole set of faults in force; the default heals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamFaults {
    /// From the connecting side to the target.
    pub forward: DirectionFaults,
    /// From the target back; a blackhole here alone makes the connection half open.
    pub back: DirectionFaults,
    /// Closes new connections at once.
    pub refuse: bool,
}
