//! From a node to the backend server beside it. Nobody else reaches that server, so every limit is
//! kept here, in one process.

mod admission_queue;
mod egress_node;
mod outcome_log;
mod server_client;

pub(super) use egress_node::Egress;
