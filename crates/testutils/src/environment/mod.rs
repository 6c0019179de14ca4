//! A whole environment on loopback: the log service, nodes and backend servers from one document.

mod backend_tuning;
mod environment_error;
mod environment_keys;
mod environment_plan;
mod host;
mod host_plan;
mod host_proxies;
mod node_listening;
mod operator_desk;
mod running_environment;

pub use backend_tuning::BackendTuning;
pub use environment_error::EnvironmentError;
pub use environment_keys::EnvironmentKeys;
pub use environment_plan::EnvironmentPlan;
pub use host::Host;
pub use host_plan::HostPlan;
pub use host_proxies::HostProxies;
pub use node_listening::NodeListening;
pub use operator_desk::OperatorDesk;
pub use running_environment::RunningEnvironment;
