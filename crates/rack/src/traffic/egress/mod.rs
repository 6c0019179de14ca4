//! From a node to the backend server beside it. Nobody else reaches that server, so every limit is
//! kept here, in one process.

mod egress_node;
mod noting;
mod server_link;
mod turn;

pub(super) use egress_node::Egress;
