//! Which connections of a pool may carry a request.

use std::time::Duration;

use super::CallTag;

/// Which open connections may carry a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reuse {
    /// How long a connection may have been idle; a peer that closes idle connections resets what is sent on
    /// them next.
    pub(crate) idle_limit: Duration,
    /// The call, if its response is told by an id: a connection that has carried it is not used again.
    pub(crate) tag: Option<CallTag>,
}
