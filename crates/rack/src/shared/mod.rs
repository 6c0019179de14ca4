//! State that the control thread and the traffic thread exchange.

mod board;
mod node_view;
mod server_view;
mod traffic_report;

pub use board::Board;
pub use node_view::NodeView;
pub use server_view::ServerView;
pub use traffic_report::TrafficReport;
