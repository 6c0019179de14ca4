//! Sends jobs from a node to the backend server beside it. No other node connects to that server,
//! so every limit is enforced here, in one process.

mod admission_queue;
mod admission_update;
mod egress_node;
mod end_sign;
mod outcome_log;
mod server_client;
mod server_end;
mod server_look;
mod server_notices;
mod shutdown;
mod tracked_limiter;
mod trials;

pub(super) use egress_node::Egress;
pub(super) use trials::poison_refusal;
