//! Egress: sends requests to the backend server beside the node. All its requests go through here.

mod attempt;
mod build_request;
mod egress_node;
mod handovers;
mod load_counter;
mod maintenance;
mod non_repeatable_run;
mod prepared_request;
mod response_body;
mod response_head;
mod server_client;
mod server_end;
mod slice_requests;
mod slots;

pub(super) use build_request::http_method;
pub(super) use egress_node::Egress;
