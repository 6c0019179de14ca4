//! Poison requests: requests under which backend servers end.
//!
//! See `docs/design/poison-requests.md`.

mod content_digest;
mod server_life;
mod server_watch;

pub use content_digest::ContentDigest;
pub use server_life::ServerLife;
pub use server_watch::RunId;
pub use server_watch::RunningRequest;
pub use server_watch::ServerWatch;
