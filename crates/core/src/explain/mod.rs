//! Events with typed reasons, kept in a bounded history and served to operators.

mod explanation;
mod grant_reason;
mod happening;
mod lapse_reason;
mod move_reason;
mod stand_down_reason;
mod withdraw_reason;

pub use explanation::Explanation;
pub use grant_reason::GrantReason;
pub use happening::Happening;
pub use lapse_reason::LapseReason;
pub use move_reason::MoveReason;
pub use stand_down_reason::StandDownReason;
pub use withdraw_reason::WithdrawReason;
