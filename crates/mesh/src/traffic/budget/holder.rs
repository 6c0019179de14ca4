//! What holds memory for somebody else.

use std::fmt;

use quetzalrack_core::time::Moment;

/// Up to this many bytes a holder is small: what a request or a response mostly has.
pub(super) const SMALL_BYTES: u64 = 16 * 1024;

/// Names a holder while it is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId(pub(super) u64);

/// What a holder holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A connection of a client, with what was read ahead of it.
    Client,
    /// A connection of another node.
    Peer,
    /// A request in progress, without its body.
    Work,
    /// The body of a request.
    Request,
    /// The body of a response.
    Response,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 5] = [
        Self::Client,
        Self::Peer,
        Self::Work,
        Self::Request,
        Self::Response,
    ];

    /// Returns its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Client => "client",
            Self::Peer => "peer",
            Self::Work => "work",
            Self::Request => "request",
            Self::Response => "response",
        }
    }

    /// Returns its place in a list of all kinds.
    pub fn index(self) -> usize {
        self as usize
    }

    /// Returns whether it is a body, for which there is a common share too.
    pub(super) fn is_body(self) -> bool {
        matches!(self, Self::Request | Self::Response)
    }

    /// Returns whether it is a connection, which costs a descriptor too.
    pub(super) fn is_connection(self) -> bool {
        matches!(self, Self::Client | Self::Peer)
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// One holder.
#[derive(Clone, Copy, Debug)]
pub(super) struct Holder {
    pub(super) kind: Kind,
    pub(super) bytes: u64,
    pub(super) opened_at: Moment,
    /// When it last got on: a body grew, or a part of a response was taken.
    pub(super) moved_at: Moment,
    /// Whether it waits for the other side; what waits for this process is never evicted.
    pub(super) is_waiting: bool,
}
