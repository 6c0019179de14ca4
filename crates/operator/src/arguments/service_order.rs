//! Service orders.

use clap::Args;
use quetzalrack_core::intent::Stage;

use super::Direction;
use super::reason::reason;

/// Is what zone and server orders share.
#[derive(Clone, Debug)]
#[derive(Args)]
pub struct ServiceOrder {
    /// out or in
    pub direction: Direction,
    /// The name
    pub name: String,
    /// The stage
    #[arg(long, default_value = "production")]
    pub stage: Stage,
    /// Why
    #[arg(long, value_parser = reason)]
    pub why: String,
}
