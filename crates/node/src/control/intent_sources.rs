//! Sources of newer intent.

use std::net::SocketAddr;

use quetzalrack_core::ids::Version;
use quetzalrack_core::ownership::Ownership;

/// The newest announced version of the intent, and the nodes that follow the log.
#[derive(Clone, Debug, Default)]
pub(super) struct IntentSources {
    /// The highest version that a controller announced.
    pub(super) announced: Version,
    /// Control addresses of the nodes that follow the log: the controller first, then its deputies.
    pub(super) readers: Vec<SocketAddr>,
}

impl IntentSources {
    /// Takes the sources from the ownership state.
    pub(super) fn of(state: &Ownership) -> Self {
        let followed = state.followed_controller().into_iter();
        let readers = followed.chain(state.log_readers());
        Self {
            announced: state.announced_intent(),
            readers: readers.map(|member| member.control).collect(),
        }
    }
}
