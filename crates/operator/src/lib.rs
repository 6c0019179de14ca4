//! The operators' commands: documents, service orders, status and explanations.
//!
//! An operator's order goes to the platform's log and nowhere else; whether it was accepted is
//! read back from there, by the same replay as the nodes use. `docs/operations/` has a page for
//! each command.

pub mod arguments;
pub mod commands;
pub mod desk;
pub mod nodes;
pub mod settings;
pub mod text;
