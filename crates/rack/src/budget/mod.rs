//! Draws what others make this process hold from one budget.

mod charge;
mod holder;
mod ledger;
mod process_budget;

pub(crate) use charge::Charge;
pub(crate) use holder::Holder;
pub(crate) use holder::NoRoom;
pub(crate) use process_budget::ProcessBudget;
