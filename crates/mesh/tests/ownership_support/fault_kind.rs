//! Kinds of faults injected into a fleet.

/// The faults from which a schedule draws.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// No faults.
    NoFaults,
    /// Node processes are killed and start again.
    Kills,
    /// Node processes are told to shut down, end after a while, and start again.
    Shutdowns,
    /// Hosts lose power, some permanently; the server's next incarnation holds nothing.
    PowerLosses,
    /// Nodes lose their connection to each other or to the store, in one direction or both.
    Partitions,
    /// The store is unreachable, slow, or loses responses.
    StoreFaults,
    /// Node processes are suspended and resumed.
    Freezes,
    /// All of these.
    All,
}
