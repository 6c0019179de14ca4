//! A simulated fleet of node machines with fake servers, a fake store and a faulty network, in virtual
//! time. All random choices come from one seed.
//! Each test file uses a part of this module.
#![allow(dead_code, unused_imports)]

mod fake_server;
mod fake_store;
mod fault_kind;
mod fleet;
mod schedule;
mod tracing;

pub use fault_kind::FaultKind;
pub use fleet::DeparturePlan;
pub use fleet::Fleet;
pub use fleet::FleetPlan;
pub use fleet::Killed;
pub use schedule::check;
pub use schedule::plan;
pub use schedule::run_schedules;
