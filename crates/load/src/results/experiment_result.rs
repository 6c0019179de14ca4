//! The result of an experiment.

use serde::Deserialize;
use serde::Serialize;

use super::Figure;
use super::Line;
use super::Machine;

/// Is everything an experiment found out.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ExperimentResult {
    /// The experiment's name.
    pub name: String,
    /// The environment.
    pub environment: String,
    /// What was done, in a sentence or two.
    pub setup: String,
    /// The seed.
    pub seed: u64,
    /// The machine.
    pub machine: Machine,
    /// How long it took, in seconds.
    pub seconds: f64,
    /// The figures.
    pub figures: Vec<Figure>,
    /// What the lines show.
    pub plotted: String,
    /// The lines.
    pub lines: Vec<Line>,
    /// Broken promises that the checker found.
    pub violations: Vec<String>,
}
