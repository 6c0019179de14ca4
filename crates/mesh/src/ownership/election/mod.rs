//! Finding a leader, and asking to become one.

mod leader_search;

pub(super) use leader_search::LeaderSearch;
pub(super) use leader_search::SearchAction;
