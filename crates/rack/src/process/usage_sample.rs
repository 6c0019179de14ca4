//! What a process uses of its host at one moment.

use quetzalrack_mesh::model::ByteSize;

/// Is what a process uses, beside the work that it does.
#[derive(Clone, Copy, Debug, Default)]
pub struct UsageSample {
    /// The resident memory.
    pub memory: ByteSize,
    /// The most that it was since the start.
    pub memory_peak: ByteSize,
    /// How many descriptors are open, if the host tells.
    pub descriptors: Option<usize>,
    /// How many connections of clients are open.
    pub clients: usize,
    /// How many connections of other nodes are open.
    pub peers: usize,
}
