//! What all experiments are told.

use std::time::Duration;

/// Is the input of an experiment.
#[derive(Clone, Debug)]
pub struct ExperimentOptions {
    /// The environment's document.
    pub text: String,
    /// Seeds every draw.
    pub seed: u64,
    /// How long the log is down in the experiment about it.
    pub log_down: Duration,
}
