//! Routes the requests of clients on the host, and the calls of its backend server, to the node
//! that serves them.

mod attempt;
mod attempts;
mod client_port;
mod client_response;
mod incoming_request;
mod ingress_node;
mod pipeline;
mod placement;
mod retrying;
mod shutdown;
mod suspect_reports;

pub(super) use client_port::ClientPort;
pub(super) use ingress_node::Ingress;
