//! Finding a leader, and asking to become one.

mod search;

pub(super) use search::Search;
pub(super) use search::Verdict;
