//! A point of a line.

use serde::Deserialize;
use serde::Serialize;

/// Is one point.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Point {
    /// Seconds from the start of the load.
    pub x: f64,
    /// The value.
    pub y: f64,
}
