//! What may happen to a fleet.

/// Says which troubles a schedule draws from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    Calm,
    /// Processes are killed and start again.
    Kills,
    /// Processes are told to leave, do so after a while, and start again.
    Leaves,
    /// Hosts lose power, some for good; the server's next life holds nothing.
    Power,
    /// Nodes are cut from each other or from the store, one way or both.
    Cuts,
    /// The store is away, slow, or loses answers.
    Store,
    /// Nodes stand still and go on.
    Freezes,
    /// All of it.
    Everything,
}
