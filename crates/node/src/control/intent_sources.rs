//! Who can tell of newer intent.

use std::net::SocketAddr;

use quetzalrack_core::ids::Version;
use quetzalrack_core::ownership::Ownership;

/// Says what the controller told of, and which nodes follow the log.
#[derive(Clone, Debug, Default)]
pub(super) struct IntentSources {
    /// The highest version that a controller told of.
    pub(super) told: Version,
    /// Control addresses of the controller, first, and of its deputies.
    pub(super) readers: Vec<SocketAddr>,
}

impl IntentSources {
    /// Reads them from the state of ownership.
    pub(super) fn of(state: &Ownership) -> Self {
        let followed = state.followed_controller().into_iter();
        let readers = followed.chain(state.log_readers());
        Self {
            told: state.announced_intent(),
            readers: readers.map(|member| member.control).collect(),
        }
    }
}
