//! One measured figure.

use serde::Deserialize;
use serde::Serialize;

/// Is one figure of one variant of an experiment.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Figure {
    /// The variant, `quetzalrack` or a baseline.
    pub variant: String,
    /// What was measured.
    pub measure: String,
    /// The value.
    pub value: f64,
    /// Its unit.
    pub unit: String,
}

impl Figure {
    /// Makes a figure.
    pub fn new(variant: &str, measure: &str, value: f64, unit: &str) -> Self {
        Self {
            variant: variant.to_owned(),
            measure: measure.to_owned(),
            value,
            unit: unit.to_owned(),
        }
    }
}
