//! A fleet of control machines with fake servers, a fake store and a faulty network, in virtual
//! time, all drawn from one seed.

mod fake_server;
mod fake_store;
mod fleet;
mod tracing;
mod trouble;

pub use fleet::Fleet;
pub use fleet::FleetPlan;
pub use trouble::Trouble;
