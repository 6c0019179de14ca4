//! Ingress: receives callers' requests and sends them to the node that answers.

mod balanced;
mod caller_response;
mod incoming_request;
mod ingress_node;
mod owned;
mod remote;
mod request_handler;
mod route_cache;
mod second_attempts;
mod trials;

pub(super) use ingress_node::Ingress;
