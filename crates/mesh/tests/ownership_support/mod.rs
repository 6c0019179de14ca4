//! A fleet of control machines with fake servers, a fake store and a faulty network, in virtual
//! time, all drawn from one seed. Each test file takes what it needs.
#![allow(dead_code, unused_imports)]

mod fake_server;
mod fake_store;
mod fleet;
mod schedule;
mod tracing;
mod trouble;

pub use fleet::Fleet;
pub use fleet::FleetPlan;
pub use schedule::check;
pub use schedule::plan;
pub use schedule::play;
pub use trouble::Trouble;
