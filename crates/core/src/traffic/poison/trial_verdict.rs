//! Whether a request may be sent as far as its content is concerned.

/// Whether a request may be sent to the backend server now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialVerdict {
    /// It may.
    Send,
    /// Another suspect is under way there.
    Wait,
    /// It may not: servers end under it.
    Refuse {
        /// Whether the nodes beside the servers have seen the ends.
        certain: bool,
    },
}
