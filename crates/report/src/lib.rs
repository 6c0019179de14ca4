//! The service-level burn report: how much of its error budget each service spent, where, and on
//! which fault.
//!
//! Nodes count, this crate adds. `docs/operations/report.md` explains the figures.

pub mod arguments;
pub mod burn;
pub mod input;
pub mod ledger;
pub mod output;
