//! The leader: it accounts for all keys, places them and renews their leases.

mod assignments;
mod authority;
mod candidates;
mod departure_table;
mod handoff;
mod key_placement;
mod leader_machine;
mod owners_log;
mod peer;
mod publishing;
mod range_entry;
mod range_map;
mod range_updates;
mod rebalancing;
mod record_sync;
mod takeover;
mod unsolicited;

pub(super) use leader_machine::Leader;
pub(super) use leader_machine::LeaderClaim;
