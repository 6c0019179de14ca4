//! Implementations of core's boundary traits: clocks, log service, network between nodes and backend
//! server.

mod backend_http;
mod boot_clock;
mod boundaries;
mod datagram_link;
mod datagram_network;
mod http_client_error;
mod http_log;
mod key_store;
mod link_counters;
mod log_counters;
mod open_link;
mod peer_inbox;
mod peer_network;

pub use backend_http::BackendHttp;
pub use boot_clock::BootClock;
pub use boundaries::Boundaries;
pub use datagram_network::DatagramNetwork;
pub use http_client_error::HttpClientError;
pub use http_log::HttpLog;
pub use key_store::KeyStore;
pub use link_counters::LinkCounters;
pub use log_counters::LogCounters;
pub use open_link::OpenLink;
pub use peer_inbox::PeerInbox;
pub use peer_network::PeerNetwork;
