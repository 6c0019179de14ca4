//! Which node gets a request that any backend server of its service may run.
//!
//! Load pattern: unequal servers whose speed changes many times a second, seen by many nodes that
//! each know only a part of the traffic.

mod load_balancer;
mod peer_stats;

pub use load_balancer::LoadBalancer;
