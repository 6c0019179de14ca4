//! The stage of a held grant.

/// The stage of a grant at its holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::ownership::machine) enum GrantStage {
    /// The backend server has not confirmed the grant yet, so the slice is not served.
    Activating,
    /// The slice is served.
    Active,
    /// The slice admits no more requests and finishes those it has.
    Draining,
}
