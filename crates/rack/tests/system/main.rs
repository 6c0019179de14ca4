//! System tests: processes of the program with stand-ins for the platform, on loopback.
#![allow(clippy::unwrap_used, clippy::panic)]

mod broken_answers;
mod call_grants;
mod closing_ports;
mod cold_servers;
mod explained;
mod faults;
mod full_queue;
mod ground_truth;
mod growth;
mod idle_connections;
mod late_requests;
mod leaving_servers;
mod losses;
mod named_limits;
mod other_writers;
mod pipelines;
mod poison_requests;
mod reload;
mod second_answers;
mod shutdown;
mod store_faults;
mod support;
mod unread_output;
