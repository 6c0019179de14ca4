//! Key ownership: one leader, elected through the metadata store, grants ranges of keys to backend
//! servers under leases that heartbeats renew.
//!
//! `docs/design/platform.md` proves that two backend servers never hold a key at the same time, and
//! names the checks that enforce each rule.

mod action;
mod directory;
mod election;
mod event;
mod intent_read;
mod leader;
mod lease_times;
mod message;
mod node_machine;
mod server_grants;

pub use action::Action;
pub use directory::Directory;
pub use directory::DirectoryEntry;
pub use event::Event;
pub use event::LeaderRead;
pub use event::ServerEvent;
pub use intent_read::IntentRead;
pub use lease_times::LeaseTimes;
pub use message::Assignment;
pub use message::DepartureState;
pub use message::Epoch;
pub use message::Handoff;
pub use message::HandoffHolder;
pub use message::HandoffRange;
pub use message::KeyLoad;
pub use message::LeaderRecord;
pub use message::LeaderReply;
pub use message::LoadSummary;
pub use message::Member;
pub use message::MemberDigest;
pub use message::NodeHeartbeat;
pub use message::NodeIncarnation;
pub use message::NodeLoad;
pub use message::OwnedRange;
pub use message::OwnersUpdate;
pub use message::PeerMessage;
pub use message::ServerDeparture;
pub use message::ServerInfo;
pub use message::TableUpdate;
pub use message::Voter;
pub use node_machine::LogEntry;
pub use node_machine::NodeMachine;
pub use node_machine::NodeProfile;
pub use server_grants::HeartbeatAnswer;
pub use server_grants::KeyCall;
pub use server_grants::KeyCallId;
pub use server_grants::KeyCallOutcome;
pub use server_grants::KeyRequest;
