//! Ownership of slices: terms, voters, leases, grants and moves.
//!
//! `docs/design/ownership.md` argues why a slice never has two owners.

mod action;
mod ballot;
mod config;
mod event;
mod lease_times;
mod machine;
pub mod message;
pub mod record;
mod safety_rules;

pub use action::OwnershipAction;
pub use ballot::Ballot;
pub use config::OwnershipConfig;
pub use event::OwnershipEvent;
pub use lease_times::LeaseTimes;
pub use machine::Ownership;
pub use message::PeerMessage;
pub use safety_rules::SafetyRules;
