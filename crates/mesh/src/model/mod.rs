//! What the node knows of its backend server, of the operators' intent and of its own host.

mod client_limits;
mod fencing_token;
mod handover;
mod held_range;
mod host_settings;
mod key_range;
mod link_rate;
mod listen_addresses;
mod operators_intent;
mod renewal;
mod route;
mod routing_config;
mod server_heartbeat;
mod server_id;
mod service_settings;
mod time_bounds;
mod weighted_service;
mod work_kind;

pub use client_limits::ClientLimits;
pub use fencing_token::FencingToken;
pub use handover::Handover;
pub use held_range::HeldRange;
pub use host_settings::HostSettings;
pub use key_range::KeyRange;
pub use link_rate::LinkRate;
pub use link_rate::ParseLinkRateError;
pub use listen_addresses::ListenAddresses;
pub use operators_intent::OperatorsIntent;

pub use renewal::GrantedRange;
pub use renewal::Renewal;
pub use route::Route;
pub use routing_config::RoutingConfig;
pub use server_heartbeat::FreedRange;
pub use server_heartbeat::ServerHeartbeat;
pub use server_id::ServerId;
pub use server_id::ServerLife;
pub use service_settings::ServiceSettings;
pub use time_bounds::TimeBounds;
pub use weighted_service::WeightedService;
pub use work_kind::WorkKind;
