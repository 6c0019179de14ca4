//! The real program beside stand-ins of the platform, as separate processes on loopback.
#![allow(clippy::unwrap_used, clippy::panic)]

mod called_keys;
mod cold_servers;
mod explained;
mod faults;
mod full_queue;
mod ground_truth;
mod growth;
mod leaving;
mod losses;
mod pipelines;
mod reload;
mod store_faults;
mod support;
mod unread_output;
