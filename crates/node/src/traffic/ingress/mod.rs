//! Ingress: receives callers' requests and sends them to the node that answers.

mod anywhere;
mod call;
mod caller_answer;
mod ingress_node;
mod intake;
mod owned;
mod remote;
mod route_cache;
mod second_attempts;

pub(super) use ingress_node::Ingress;
