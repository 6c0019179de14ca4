//! The admin port: announcements of the backend server beside the node, and reads by operators.

mod admin_server;
mod admin_state;
mod announcement_route;
mod local_sender;
mod operator_reader;
mod read_routes;
mod read_status;
mod running_admin;

pub use admin_server::AdminServer;
pub use admin_state::AdminState;
pub use running_admin::RunningAdmin;
