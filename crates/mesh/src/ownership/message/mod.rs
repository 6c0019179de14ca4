//! The messages between nodes, and the leader's record in the store.

mod epoch;
mod handoff;
mod leader_record;
mod leader_reply;
mod load_summary;
mod member;
mod member_digest;
mod node_heartbeat;
mod node_incarnation;
mod node_load;
mod owners_update;
mod peer_message;
mod server_info;
mod table_update;

pub use epoch::Epoch;
pub use handoff::Handoff;
pub use handoff::HandoffHolder;
pub use handoff::HandoffRange;
pub use leader_record::LeaderRecord;
pub use leader_record::Voter;
pub use leader_reply::Assignment;
pub use leader_reply::LeaderReply;
pub use load_summary::LoadSummary;
pub use member::Member;
pub use member_digest::MemberDigest;
pub use node_heartbeat::KeyLoad;
pub use node_heartbeat::NodeHeartbeat;
pub use node_incarnation::NodeIncarnation;
pub use node_load::NodeLoad;
pub use owners_update::OwnedRange;
pub use owners_update::OwnersUpdate;
pub use peer_message::PeerMessage;
pub use server_info::ServerInfo;
pub use table_update::TableUpdate;
