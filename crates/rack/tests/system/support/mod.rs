//! A small platform on loopback: a store, backend servers that send heartbeats, and the router
//! beside each of them. Each test program uses only a part of it.
#![allow(dead_code, unused_imports)]

mod call_grants;
mod content_checker;
mod copying_stream;
mod limits;
mod node_process;
mod notice_checker;
mod raw_answers;
mod raw_connection;
mod stand_in_server;
mod stand_in_store;
mod texts;
mod truth;
mod world;

pub use call_grants::CallFault;
pub use content_checker::Content;
pub use content_checker::ContentChecker;
pub use content_checker::ContentRecord;
pub use copying_stream::CopiedResponses;
pub use limits::Limits;
pub use node_process::Lines;
pub use node_process::NodeProcess;
pub use node_process::count_descriptors;
pub use node_process::keep_logs;
pub use notice_checker::NoticeChecker;
pub use raw_answers::RawAnswer;
pub use raw_answers::RawRecord;
pub use raw_connection::ConnectionOutcome;
pub use raw_connection::RawConnection;
pub use stand_in_server::ServerPlan;
pub use stand_in_server::StandInServer;
pub use stand_in_server::echo_of;
pub use stand_in_store::EndpointFault;
pub use stand_in_store::StandInStore;
pub use stand_in_store::StoreEndpoint;
pub use stand_in_store::StoreFaults;
pub use texts::config;
pub use texts::settings;
pub use truth::Truth;
pub use truth::digest;
pub use world::ClientResponse;
pub use world::World;
