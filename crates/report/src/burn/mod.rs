//! Error budgets and how fast they are spent.

mod burn_point;
mod burn_report;
mod burn_windows;
mod compute;
mod fault_share;
mod service_burn;
mod service_shape;
mod tally;
mod window_burn;

pub use burn_point::BurnPoint;
pub use burn_report::BurnReport;
pub use burn_windows::BurnWindows;
pub use compute::compute;
pub use fault_share::FaultShare;
pub use service_burn::ServiceBurn;
pub use service_shape::ServiceShape;
pub use window_burn::WindowBurn;
