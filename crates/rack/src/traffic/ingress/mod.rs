//! From clients on the host, and from its backend server's own calls, to the node that serves them.

mod answer_client;
mod attempts;
mod client_port;
mod ingress_node;
mod intake;
mod judging;
mod leaving;
mod pipeline;
mod placing;

pub(super) use client_port::ClientPort;
pub(super) use ingress_node::Ingress;
