//! What backend servers say of themselves in their responses: a rate limit, and that they leave.
//!
//! Only the node beside a server sends requests to it, so it alone enforces both. Its process may end at
//! any time, and the next one knows nothing; the nodes that have passed such a response on to a caller
//! still do, and say so with their next request.

mod notice_tracker;
mod peer_notices;

pub use notice_tracker::NoticeTracker;
pub use peer_notices::PeerNotices;
