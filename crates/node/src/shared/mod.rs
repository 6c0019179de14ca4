//! State and interfaces shared by the control thread and the traffic threads.

mod explanations;
mod handover;
mod handover_link;
mod shared_view;
mod suspect_link;
mod traffic_control;

pub use explanations::Explanations;
pub use handover::Handover;
pub use handover_link::HandoverLink;
pub use shared_view::SharedView;
pub use suspect_link::SuspectLink;
pub use traffic_control::TrafficControl;
