//! Out of service or back.

use clap::ValueEnum;

/// Says which way a service order goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(ValueEnum)]
pub enum Direction {
    /// Out of service
    Out,
    /// Back into service
    In,
}
