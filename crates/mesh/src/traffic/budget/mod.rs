//! The memory and descriptors that others can make a process hold.
//!
//! Whatever a client, another node or the backend server sends is held until somebody else takes it: a request's
//! body until its server has answered, a response until the client has read it, a connection until its client
//! closes it. [`Budget`] bounds their sum. See `docs/CAPACITY.md`.

mod budget_machine;
mod budget_plan;
mod eviction;
mod holder;
mod share;
mod verdict;
mod work_shares;

pub use budget_machine::Budget;
pub use budget_plan::BudgetPlan;
pub use holder::HolderId;
pub use holder::Kind;
pub use share::Share;
pub use verdict::Verdict;
pub use work_shares::WorkShares;
