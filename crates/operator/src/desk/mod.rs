//! Giving orders through the log and learning what became of them.

mod desk_config;
mod desk_error;
mod order_desk;
mod order_draft;
mod order_number;
mod verdict;

pub use desk_config::DeskConfig;
pub use desk_error::DeskError;
pub use order_desk::OrderDesk;
pub use order_draft::OrderDraft;
pub use verdict::Verdict;
