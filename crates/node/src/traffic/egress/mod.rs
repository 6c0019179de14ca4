//! Egress: sends requests to the backend server beside the node. All its requests go through here.

mod answer_body;
mod answers;
mod attempt;
mod backend_link;
mod egress_node;
mod gate_pass;
mod load_counter;
mod outgoing;
mod served;
mod slice_book;
mod slice_moves;
mod slots;
mod upkeep;

pub(super) use egress_node::Egress;
pub(super) use outgoing::http_method;
