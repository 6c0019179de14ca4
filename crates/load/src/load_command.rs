//! What the tool can do.

use std::path::PathBuf;

use clap::Subcommand;

use super::RunOptions;
use crate::experiments::ExperimentName;

/// Is one thing to do.
#[derive(Clone, Debug)]
#[derive(Subcommand)]
pub enum LoadCommand {
    /// Send the mix of a document to running nodes
    Run(RunOptions),
    /// Run a named experiment, or all, and write its results
    Experiment {
        /// The experiment
        name: ExperimentName,
        /// The environment's document
        #[arg(long, default_value = "examples/andina.json")]
        document: PathBuf,
        /// Where the results go
        #[arg(long, default_value = "results")]
        out: PathBuf,
        /// Seeds every draw
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How long the log is down in the experiment about it, in seconds
        #[arg(long, default_value_t = 120)]
        log_down: u64,
    },
    /// Run load with random faults and stop at the first broken promise
    Soak {
        /// The environment's document
        #[arg(long, default_value = "examples/andina.json")]
        document: PathBuf,
        /// How long, in minutes
        #[arg(long, default_value_t = 20)]
        minutes: u64,
        /// Seeds every draw; drawn and printed when it is not given
        #[arg(long)]
        seed: Option<u64>,
    },
}
