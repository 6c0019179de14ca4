//! How the nodes of a fleet find the servers at which a suspected content is tried, and those that were lost
//! with their nodes.
//!
//! See `docs/design/poison-requests.md`.

mod known_nodes;
mod lost_hops;
mod trial_nodes;

pub use known_nodes::KnownNodes;
pub use lost_hops::LostHop;
pub use lost_hops::LostHops;
pub use lost_hops::MAX_AGE_TOLD;
pub use trial_nodes::trial_nodes;
