//! The node on the users' platform: ingress and egress for requests, and the lease holder of the
//! backend server beside it.
//!
//! One thread runs the control state machine, another handles traffic; they share immutable views.
//! See `docs/design/platform.md`.

pub mod accept;
mod budget;
pub mod clock;
pub mod command;
pub mod control;
pub mod logging;
pub mod metrics;
pub mod node;
pub mod process;
pub mod shared;
pub mod traffic;
