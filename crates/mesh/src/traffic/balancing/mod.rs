//! Load balancing of requests that any backend server of a service may serve.
//!
//! It is designed for unequal servers whose speed changes many times a second, and for many nodes
//! that each see only a part of the traffic.

mod load_balancer;
mod peer_stats;

pub use load_balancer::LoadBalancer;
