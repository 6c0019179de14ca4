//! What a host leaves to this process.

use super::ByteSize;

/// The resources of a process, beyond which the platform ends it or calls of it fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// The memory that it may use.
    pub memory: ByteSize,
    /// How many file descriptors it may have open.
    pub descriptors: usize,
}

impl Default for ProcessLimits {
    /// Returns the limits of a host that states none.
    fn default() -> Self {
        Self {
            memory: ByteSize::from_megabytes(512),
            descriptors: 4_096,
        }
    }
}
