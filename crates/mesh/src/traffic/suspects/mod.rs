//! How the nodes of a fleet share what they know of poison requests.
//!
//! See `docs/design/poison-requests.md`.

mod lost_hops;
mod news_outbox;
mod suspect_news;
mod trial_nodes;

pub use lost_hops::LostHop;
pub use lost_hops::LostHops;
pub use news_outbox::NewsLetter;
pub use news_outbox::NewsOutbox;
pub use suspect_news::SuspectNews;
pub use trial_nodes::trial_nodes;
