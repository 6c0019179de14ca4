//! The search for a leader, and the decision to claim the leadership.

mod leader_search;

pub(super) use leader_search::LeaderSearch;
pub(super) use leader_search::SearchAction;
