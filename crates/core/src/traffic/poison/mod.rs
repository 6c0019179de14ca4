//! Poison requests: requests under which backend servers end.
//!
//! See `docs/design/poison-requests.md`.

mod answered_contents;
mod content_digest;
mod known_ends;
mod news_letter;
mod news_outbox;
mod peer_query;
mod poison_guard;
mod poison_tracker;
mod run_id;
mod running_request;
mod server_end;
mod server_life;
mod server_watch;
mod suspect_news;
mod suspect_record;
mod suspect_table;
mod suspicion;
mod trial_rank;
mod trial_verdict;
mod witness;

pub use answered_contents::AnsweredContents;
pub use content_digest::ContentDigest;
pub use known_ends::KnownEnds;
pub use news_letter::NewsLetter;
pub use news_outbox::NewsOutbox;
pub use peer_query::PeerQuery;
pub use poison_guard::PoisonGuard;
pub use poison_tracker::PoisonTracker;
pub use run_id::RunId;
pub use running_request::RunningRequest;
pub use server_end::ParseServerEndError;
pub use server_end::ServerEnd;
pub use server_life::ServerLife;
pub use server_watch::ServerWatch;
pub use suspect_news::SuspectNews;
pub use suspect_record::SuspectRecord;
pub use suspect_table::SuspectTable;
pub use suspicion::Suspicion;
pub use trial_rank::TrialRank;
pub use trial_verdict::TrialVerdict;
pub use witness::Witness;
