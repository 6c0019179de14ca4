//! What the leader does: it accounts for all keys, places them and renews leases.

mod assigning;
mod authority;
mod calling;
mod candidates;
mod handing;
mod leader_machine;
mod ledger;
mod leveling;
mod moves;
mod owners_log;
mod peer;
mod publishing;
mod record_keeping;
mod row;
mod settling;
mod takeover;

pub(super) use leader_machine::Leader;
pub(super) use leader_machine::LeaderClaim;
