//! Load balancing of requests that any backend server of a service may serve.

mod balancing_policy;
mod chosen_nodes;
mod load_balancer;
mod node_load;
mod peer_stats;

pub use balancing_policy::BalancingPolicy;
pub use chosen_nodes::ChosenNodes;
pub use load_balancer::LoadBalancer;
pub use node_load::NodeLoad;
pub use node_load::ParseNodeLoadError;
