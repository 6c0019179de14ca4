//! What shows that a server has ended.

/// What shows that the backend server has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndSign {
    /// Its port refuses connections.
    Refused,
    /// Its port does not respond.
    Silent,
    /// All connections broke, and its port closes new ones.
    Closed,
    /// A later incarnation of it runs.
    Replaced,
}

impl EndSign {
    /// Returns the sign's name in logs.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Refused => "its port refuses connections",
            Self::Silent => "its port does not respond",
            Self::Closed => "its connections broke together",
            Self::Replaced => "its successor runs",
        }
    }
}
