//! The decision logic of quetzalrack, without clocks, sockets and threads.
//!
//! Each decision is a state machine with one entry, `step(now, event) -> Vec<Action>`, so that the
//! same code runs in the node, in tests and in benches. The design is described in
//! `docs/ARCHITECTURE.md` and in `docs/design/`.

pub mod boundary;
pub mod burn;
pub mod cluster;
pub mod document;
pub mod explain;
pub mod ids;
pub mod intent;
pub mod language;
pub mod ownership;
pub mod security;
pub mod time;
pub mod traffic;
